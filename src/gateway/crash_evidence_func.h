/** @file crash_evidence_func.h Which requests were answered, and which were
 * lost with their runner. */

#ifndef WASABIWIND_GATEWAY_CRASH_EVIDENCE_FUNC_H_
#define WASABIWIND_GATEWAY_CRASH_EVIDENCE_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <fleet.pb.h>

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/time_type.h"
#include "fleet/suspect_type.h"
#include "fleet/view_func.h"

namespace wasabiwind::gateway {

/** A request whose connection ended before the runner had begun to answer. */
struct LostRequest {
  base::TimePoint m_at;
  std::string m_address;  ///< of the runner
  gen::LostRequest m_report;
};

/** Evidence of one entry host for the quarantine. Not thread-safe. */
struct CrashEvidence {
  /** Their runners may still run: faulty ones break off single answers, and
   * connections are reset on the way. Oldest first. */
  std::deque<LostRequest> m_unconfirmed_losses;
  std::deque<LostRequest> m_losses;  ///< of runners that ended; oldest first
  absl::flat_hash_set<std::uint64_t> m_sound_parts;  ///< not reported yet
  /** Keys of answered requests with the time of their last answer. */
  absl::flat_hash_map<std::uint64_t, base::TimePoint> m_answered_at;
  /** Each answer, oldest first. */
  std::deque<std::pair<base::TimePoint, std::uint64_t>> m_answers;
};

/** What is quarantined. */
using SuspectSet = absl::flat_hash_set<fleet::Suspect>;

/** A stream with fewer events doesn't show that its prompt is sound: a runner
 * may crash while it writes the first one. */
inline constexpr int kSoundEventCount = 2;

/** Records a request that a runner has begun to answer without a crash. */
void RecordSoundRequest(CrashEvidence *evidence, std::uint64_t request_key,
                        const std::vector<std::uint64_t> &parts,
                        base::TimePoint now);

/** Records a lost request. It is reported once it is known that its runner has
 * ended. */
void RecordLostRequest(CrashEvidence *evidence, LostRequest lost);

/**
 * Reports losses from now on if their runners have ended.
 * @param has_ended tells it of one
 * @return whether there are any
 */
bool ConfirmLosses(CrashEvidence *evidence, base::TimePoint now,
                   const std::function<bool(const LostRequest &)> &has_ended);

/**
 * @return whether the fleet view shows that the runner of a lost request has
 *         ended: it is gone or started again, or another one has its address
 */
bool HasEnded(const fleet::FleetView &view, const LostRequest &lost);

/**
 * Adds the evidence to a report. Losses are reported again for some seconds,
 * since reports can be lost. Of the answered requests those are reported that
 * are quarantined.
 */
void FillCrashEvidence(CrashEvidence *evidence, const SuspectSet &quarantined,
                       gen::UseReport *report, base::TimePoint now);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_CRASH_EVIDENCE_FUNC_H_
