/** @file quarantine_func.h Finds what crashes runners.
 *
 * Each request without an event on a runner that crashes is suspect, and so are
 * all parts of its prompt. A suspect is quarantined after several crashes, if
 * no request that it is in has been answered.
 */

#ifndef WASABIWIND_FLEET_QUARANTINE_FUNC_H_
#define WASABIWIND_FLEET_QUARANTINE_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <fleet.pb.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time_type.h"
#include "fleet/suspect_type.h"

namespace wasabiwind::fleet {

/** A runner that ended while it had requests that it hadn't begun to answer. */
struct RunnerCrash {
  base::TimePoint m_at;
  /** Keys of the parts, with the highest position in a prompt. */
  std::map<std::uint64_t, std::size_t> m_parts;
  /** Keys of the requests, with the hashes of the IDs that they had. */
  std::map<std::uint64_t, std::set<std::uint64_t>> m_requests;
};

/** What entry hosts have reported. Not thread-safe. */
struct QuarantinePlanner {
  std::optional<base::TimePoint> m_first_report_at;
  /** By ID and start time of the runner. */
  std::map<std::pair<std::string, std::uint64_t>, RunnerCrash> m_crashes;
  /** Time of the last answer to a prompt with a part, or to a quarantined
   * request. */
  absl::flat_hash_map<Suspect, base::TimePoint> m_sound_at;
  /** When this host learned of a quarantine. */
  std::map<Suspect, base::TimePoint> m_quarantined_at;
  /** Evidence of crashes was added since all of it was last judged. */
  bool m_has_new_crashes = false;
};

/** Crashes under one part, or arrivals of one request that were lost; one is
 * enough after a release. */
inline constexpr int kLossesToQuarantine = 3;
/** Crashes and answers are forgotten after this time. */
inline constexpr base::milliseconds kEvidenceTime{60'000};
/** Crashes within this time count once for a part: a lost host or failure
 * domain ends several runners, and the same part may be on all of them. */
inline constexpr base::milliseconds kCommonCauseTime{200};
/** Parts are quarantined only after so many reports' time, in which answers to
 * sound prompts clear the parts that they share with suspect ones. */
inline constexpr base::milliseconds kMinEvidenceTime{2'000};
/** After this time requests with a quarantined suspect are admitted again. */
inline constexpr base::milliseconds kQuarantineTime{600'000};
inline constexpr int kMaxQuarantinedParts = 64;
inline constexpr int kMaxQuarantinedRequests = 512;

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

/** Changes a quarantine. Beyond the largest number of one kind the least
 * recently changed item of that kind is dropped. Deterministic: executed by
 * each replica. */
void ApplyQuarantineChange(const gen::QuarantineChange &change,
                           gen::Quarantine *quarantine);

/** @return whether requests with a suspect are refused. */
bool IsQuarantined(const gen::Quarantine &quarantine, const Suspect &suspect);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_QUARANTINE_FUNC_H_
