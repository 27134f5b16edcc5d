/** @file crash_evidence_func.h Which prompts were answered, and which were
 * lost with their runner. */

#ifndef WASABIWIND_GATEWAY_CRASH_EVIDENCE_FUNC_H_
#define WASABIWIND_GATEWAY_CRASH_EVIDENCE_FUNC_H_

#include <absl/container/flat_hash_set.h>
#include <fleet.pb.h>

#include <deque>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::gateway {

/** Evidence of one entry host for the quarantine. Not thread-safe. */
struct CrashEvidence {
  struct Loss {
    base::TimePoint m_at;
    gen::LostRequest m_prompt;
  };
  std::deque<Loss> m_losses;                         ///< oldest first
  absl::flat_hash_set<std::uint64_t> m_sound_parts;  ///< not reported yet
};

/** A stream with fewer events doesn't show that its prompt is sound: a runner
 * may crash while it writes the first one. */
inline constexpr int kSoundEventCount = 2;

void RecordSoundPrompt(CrashEvidence *evidence,
                       const std::vector<std::uint64_t> &parts);

/** Records a request whose connection ended before kSoundEventCount events. */
void RecordLostRequest(CrashEvidence *evidence, gen::LostRequest prompt,
                       base::TimePoint now);

/** Adds the evidence to a report. Losses are reported again for some seconds,
 * since reports can be lost. */
void FillCrashEvidence(CrashEvidence *evidence, gen::UseReport *report,
                       base::TimePoint now);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_CRASH_EVIDENCE_FUNC_H_
