/** @file claimant_func.h Claimant of the at-most-once protocol. */

#ifndef WASABIWIND_ONCE_CLAIMANT_FUNC_H_
#define WASABIWIND_ONCE_CLAIMANT_FUNC_H_

#include <once.pb.h>

#include <array>
#include <cstdint>
#include <string>

#include "base/time_type.h"
#include "once/recorder_func.h"

namespace wasabiwind::once {

/** Longest time from the first message of a claim until the claimant has
 * decided and sent its request. It must stay below
 * RecorderOptions::m_retention_margin. */
constexpr base::seconds kMaxClaimTime{30};

/** How a claim ended. */
enum class ClaimOutcome : std::uint8_t {
  kPending,      ///< more replies are needed
  kGranted,      ///< the request may be sent, once
  kInProgress,   ///< another claim has the key and may still finish
  kFinished,     ///< the request was executed; the reply has the answer if kept
  kConflict,     ///< the key was used for a different request
  kUnknown,      ///< another claim had the key and got no answer in time
  kSplit,        ///< no claim is known to have a majority: release and retry
  kUnavailable,  ///< no majority can decide; the request must not be sent
  kEnd,
};

/** @return the snake_case name of the outcome. */
const char *GetClaimOutcomeName(ClaimOutcome outcome);

/** The reply of one recorder that AddReply has kept. */
struct ClaimVote {
  bool m_has_reply = false;
  gen::OnceClaimReply m_reply;
};

/** One claim. Not thread-safe. */
struct Claimant {
  gen::OnceClaim m_claim;
  std::array<ClaimVote, kGroupSize> m_votes;
};

/** @return a claim without replies. */
Claimant MakeClaimant(const gen::OnceClaim &claim);

/**
 * Records a reply. A later epoch replaces an earlier one; within one epoch a
 * grant stays, because a recorder keeps it until the claimant releases it.
 * Replies to other claims are ignored.
 */
void AddReply(Claimant *claimant, std::size_t recorder,
              const gen::OnceClaimReply &reply);

/**
 * @return whether the recorder should be asked (again): it hasn't replied or
 *         wasn't ready, or its reply has an older epoch than another one
 */
bool NeedsReply(const Claimant &claimant, std::size_t recorder);

/**
 * Decides on the claim. Only grants of one epoch are counted together.
 * @param is_final whether the time for further replies is over
 * @return kPending only if is_final is false
 */
ClaimOutcome DecideClaim(const Claimant &claimant, bool is_final);

/** @return the reply with the answer. @pre DecideClaim returned kFinished */
const gen::OnceClaimReply &GetFinishedReply(const Claimant &claimant);

/**
 * @return whether a key that the caller created at this time is older than its
 *         retention, so that recorders may have forgotten it
 */
bool IsKeyExpired(base::WallTime created_at, base::milliseconds retention,
                  base::WallTime now);

}  // namespace wasabiwind::once

#endif  // WASABIWIND_ONCE_CLAIMANT_FUNC_H_
