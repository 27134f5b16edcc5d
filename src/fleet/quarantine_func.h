/** @file quarantine_func.h Finds prompt parts that crash runners.
 *
 * Each request without an event on a runner that crashes is suspect, with all
 * parts of its prompt. A part is quarantined when it is suspect in several
 * crashes and no request with it has been answered.
 */

#ifndef WASABIWIND_FLEET_QUARANTINE_FUNC_H_
#define WASABIWIND_FLEET_QUARANTINE_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <fleet.pb.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time_type.h"

namespace wasabiwind::fleet {

/** A runner that ended while it had requests that it hadn't begun to answer. */
struct RunnerCrash {
  base::TimePoint m_at;
  /** Position in the prompt of each suspect part, by its key. */
  std::map<std::uint64_t, std::size_t> m_suspects;
};

/** What entry hosts have reported. Not thread-safe. */
struct QuarantinePlanner {
  std::optional<base::TimePoint> m_first_report_at;
  /** By ID and start time of the runner. */
  std::map<std::pair<std::string, std::uint64_t>, RunnerCrash> m_crashes;
  /** Time of the last answer to a prompt with a part, by its key. */
  absl::flat_hash_map<std::uint64_t, base::TimePoint> m_sound_at;
  /** When this host learned that a part is quarantined. */
  std::map<std::uint64_t, base::TimePoint> m_quarantined_at;
};

/** Crashes in which a part must be suspect; one is enough after a release. */
inline constexpr int kCrashesToQuarantine = 3;
/** Crashes and answers are forgotten after this time. */
inline constexpr base::milliseconds kCrashEvidenceTime{60'000};
/** Crashes within this time count once: a lost host or failure domain ends
 * several runners at the same time. */
inline constexpr base::milliseconds kCommonCauseTime{200};
/** Parts are quarantined only after so many reports' time, in which answers to
 * sound prompts clear the parts that they share with suspect ones. */
inline constexpr base::milliseconds kMinEvidenceTime{2'000};
/** After this time requests with a part are admitted again. */
inline constexpr base::milliseconds kQuarantineTime{600'000};
inline constexpr int kMaxQuarantinedParts = 64;

/** Adds the evidence in an entry host's report; repeated evidence counts once.
 */
void RecordCrashEvidence(QuarantinePlanner *planner,
                         const gen::UseReport &report, base::TimePoint now);

/**
 * Drops old evidence, then decides on one change.
 * @param current the quarantine in force
 */
std::optional<gen::QuarantineChange> PlanQuarantineChange(
    QuarantinePlanner *planner, const gen::Quarantine &current,
    base::TimePoint now);

/** Changes a quarantine; the least recently changed part is dropped beyond
 * kMaxQuarantinedParts. Deterministic: executed by each replica. */
void ApplyQuarantineChange(const gen::QuarantineChange &change,
                           gen::Quarantine *quarantine);

/** @return whether requests with a part are refused. */
bool IsQuarantined(const gen::Quarantine &quarantine, std::uint64_t part);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_QUARANTINE_FUNC_H_
