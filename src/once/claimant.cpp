/** @file claimant.cpp Claimant of the at-most-once protocol. */

#include <algorithm>
#include <cassert>

#include "once/claimant_func.h"

namespace wasabiwind::once {

namespace {

constexpr std::array<const char *, static_cast<std::size_t>(ClaimOutcome::kEnd)>
    kOutcomeNames = {"pending",  "granted", "in_progress", "finished",
                     "conflict", "unknown", "split",       "unavailable"};

bool HasState(const ClaimVote &vote, gen::OnceClaimState state) {
  return vote.m_has_reply && vote.m_reply.state() == state;
}

std::uint64_t FindLatestEpoch(const Claimant &claimant) {
  std::uint64_t latest = 0;
  for (const ClaimVote &vote : claimant.m_votes) {
    if (vote.m_has_reply) latest = std::max(latest, vote.m_reply.epoch());
  }
  return latest;
}

bool HasMajority(const Claimant &claimant) {
  for (const ClaimVote &one : claimant.m_votes) {
    if (!HasState(one, gen::ONCE_GRANTED)) continue;
    auto same =
        std::count_if(claimant.m_votes.begin(), claimant.m_votes.end(),
                      [&one](const ClaimVote &other) {
                        return HasState(other, gen::ONCE_GRANTED) &&
                               other.m_reply.epoch() == one.m_reply.epoch();
                      });
    if (static_cast<std::size_t>(same) >= kMajority) return true;
  }
  return false;
}

const ClaimVote *FindState(const Claimant &claimant,
                           gen::OnceClaimState state) {
  for (const ClaimVote &vote : claimant.m_votes) {
    if (HasState(vote, state)) return &vote;
  }
  return nullptr;
}

std::size_t CountState(const Claimant &claimant, gen::OnceClaimState state) {
  auto count = std::count_if(
      claimant.m_votes.begin(), claimant.m_votes.end(),
      [state](const ClaimVote &vote) { return HasState(vote, state); });
  return static_cast<std::size_t>(count);
}

/** @pre a majority of recorders hold the key for other claims */
ClaimOutcome DecideHeldKey(const Claimant &claimant) {
  std::uint64_t holder = 0;
  bool is_overdue = false;
  bool is_contested = false;
  bool is_split = false;
  bool is_conflict = false;
  for (const ClaimVote &vote : claimant.m_votes) {
    if (!HasState(vote, gen::ONCE_HELD)) continue;
    const gen::OnceClaimReply &reply = vote.m_reply;
    is_split = is_split || (holder != 0 && holder != reply.holder_claim_id());
    holder = reply.holder_claim_id();
    is_overdue = is_overdue || reply.is_overdue();
    is_contested = is_contested || reply.is_contested();
    is_conflict = is_conflict ||
                  reply.holder_fingerprint() != claimant.m_claim.fingerprint();
  }
  if (is_split && !is_contested && !is_overdue) return ClaimOutcome::kSplit;
  if (is_conflict) return ClaimOutcome::kConflict;
  return is_overdue ? ClaimOutcome::kUnknown : ClaimOutcome::kInProgress;
}

}  // namespace

const char *GetClaimOutcomeName(ClaimOutcome outcome) {
  assert(outcome < ClaimOutcome::kEnd);
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

Claimant MakeClaimant(const gen::OnceClaim &claim) {
  Claimant claimant;
  claimant.m_claim = claim;
  return claimant;
}

void AddReply(Claimant *claimant, std::size_t recorder,
              const gen::OnceClaimReply &reply) {
  assert(recorder < kGroupSize);
  if (reply.key() != claimant->m_claim.key()) return;
  if (reply.claim_id() != claimant->m_claim.claim_id()) return;
  if (reply.state() == gen::ONCE_NOT_READY) return;
  ClaimVote &vote = claimant->m_votes[recorder];
  if (vote.m_has_reply) {
    if (reply.epoch() < vote.m_reply.epoch()) return;
    bool is_same_epoch = reply.epoch() == vote.m_reply.epoch();
    bool must_keep = HasState(vote, gen::ONCE_FINISHED) ||
                     (HasState(vote, gen::ONCE_GRANTED) &&
                      reply.state() != gen::ONCE_FINISHED);
    if (is_same_epoch && must_keep) return;
  }
  vote.m_has_reply = true;
  vote.m_reply = reply;
}

bool NeedsReply(const Claimant &claimant, std::size_t recorder) {
  const ClaimVote &vote = claimant.m_votes[recorder];
  if (!vote.m_has_reply) return true;
  return vote.m_reply.epoch() < FindLatestEpoch(claimant);
}

ClaimOutcome DecideClaim(const Claimant &claimant, bool is_final) {
  if (HasMajority(claimant)) return ClaimOutcome::kGranted;
  const ClaimVote *finished = FindState(claimant, gen::ONCE_FINISHED);
  if (finished != nullptr) {
    bool is_same = finished->m_reply.holder_fingerprint() ==
                   claimant.m_claim.fingerprint();
    return is_same ? ClaimOutcome::kFinished : ClaimOutcome::kConflict;
  }
  std::size_t held = CountState(claimant, gen::ONCE_HELD);
  if (held >= kMajority) return DecideHeldKey(claimant);
  std::size_t full = CountState(claimant, gen::ONCE_FULL);
  if (full >= kMajority) return ClaimOutcome::kUnavailable;
  std::size_t replies = static_cast<std::size_t>(
      std::count_if(claimant.m_votes.begin(), claimant.m_votes.end(),
                    [](const ClaimVote &vote) { return vote.m_has_reply; }));
  // No majority within one epoch, so two grants are of different epochs.
  bool has_mixed_epochs = CountState(claimant, gen::ONCE_GRANTED) >= kMajority;
  if (held > 0 && !has_mixed_epochs && replies == kGroupSize) {
    return ClaimOutcome::kSplit;
  }
  return is_final ? ClaimOutcome::kUnavailable : ClaimOutcome::kPending;
}

const gen::OnceClaimReply &GetFinishedReply(const Claimant &claimant) {
  const ClaimVote *finished = FindState(claimant, gen::ONCE_FINISHED);
  assert(finished != nullptr);
  return finished->m_reply;
}

bool IsKeyExpired(base::WallTime created_at, base::milliseconds retention,
                  base::WallTime now) {
  return now - created_at > retention;
}

}  // namespace wasabiwind::once
