/** @file group_policy.cpp Chooses membership changes of the control group. */

#include "fleet/group_policy_func.h"
#include "replica/log_func.h"

namespace wasabiwind::fleet {

namespace {

using replica::Member;
using replica::MemberChange;
using replica::MemberChangeKind;
using replica::Progress;
using replica::RaftState;

const Progress *FindProgress(const RaftState &state, const Member &member) {
  auto found = state.m_progress.find(member.m_identity.m_host);
  return found == state.m_progress.end() ? nullptr : &found->second;
}

bool IsSilent(const RaftState &state, const Member &member,
              base::milliseconds silence, base::TimePoint now) {
  if (member.m_identity == state.m_self) return false;
  const Progress *progress = FindProgress(state, member);
  return progress != nullptr && now >= progress->m_heard_at + silence;
}

MemberChange MakeRemoval(const Member &member) {
  MemberChange change;
  change.m_kind = MemberChangeKind::kRemove;
  change.m_host = member.m_identity.m_host;
  return change;
}

bool IsCurrent(const JoinCandidate &candidate, const GroupPolicy &policy,
               base::TimePoint now) {
  return now < candidate.m_heard_at + policy.m_candidate_lifetime;
}

/** Replaces the identity of a member that lost its disk by its new one. */
std::optional<MemberChange> PlanReplacement(const RaftState &state,
                                            const JoinCandidates &candidates,
                                            const GroupPolicy &policy,
                                            base::TimePoint now) {
  for (const auto &[host, candidate] : candidates) {
    const Member *member = replica::FindMember(state.m_members, host);
    if (member == nullptr || member->m_identity == state.m_self) continue;
    if (member->m_identity == candidate.m_identity) continue;
    if (!IsCurrent(candidate, policy, now)) continue;
    MemberChange change;
    change.m_kind = MemberChangeKind::kReplace;
    change.m_host = host;
    change.m_incarnation = candidate.m_identity.m_incarnation;
    return change;
  }
  return std::nullopt;
}

/** Removes a lost voter if a standby has caught up. */
std::optional<MemberChange> PlanVoterRemoval(const RaftState &state,
                                             const GroupPolicy &policy,
                                             base::TimePoint now) {
  const Member *lost = nullptr;
  std::size_t heard_voters = 0;
  bool has_standby = false;
  for (const Member &member : state.m_members) {
    bool is_silent = IsSilent(state, member, policy.m_voter_silence, now);
    if (member.m_is_voter) {
      if (is_silent) lost = &member;
      heard_voters += is_silent ? 0 : 1;
      continue;
    }
    const Progress *progress = FindProgress(state, member);
    has_standby |= !is_silent && progress != nullptr &&
                   progress->m_match >= state.m_commit_index;
  }
  if (lost == nullptr || !has_standby) return std::nullopt;
  std::size_t voters_after = replica::CountVoters(state.m_members) - 1;
  if (heard_voters < voters_after / 2 + 1) return std::nullopt;
  return MakeRemoval(*lost);
}

/** Adds a candidate as standby. The group has at most one member more than the
 * wanted voters. */
std::optional<MemberChange> PlanAddition(const RaftState &state,
                                         const JoinCandidates &candidates,
                                         const GroupPolicy &policy,
                                         base::TimePoint now) {
  if (state.m_members.size() > policy.m_wanted_voters) return std::nullopt;
  for (const auto &[host, candidate] : candidates) {
    if (replica::FindMember(state.m_members, host) != nullptr) continue;
    if (!IsCurrent(candidate, policy, now)) continue;
    MemberChange change;
    change.m_kind = MemberChangeKind::kAdd;
    change.m_host = host;
    change.m_incarnation = candidate.m_identity.m_incarnation;
    change.m_endpoint = candidate.m_endpoint;
    change.m_operators_address = candidate.m_operators_address;
    return change;
  }
  return std::nullopt;
}

std::optional<MemberChange> PlanStandbyRemoval(const RaftState &state,
                                               const GroupPolicy &policy,
                                               base::TimePoint now) {
  for (const Member &member : state.m_members) {
    if (member.m_is_voter) continue;
    if (IsSilent(state, member, policy.m_standby_silence, now)) {
      return MakeRemoval(member);
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<MemberChange> PlanMemberChange(const RaftState &state,
                                             const JoinCandidates &candidates,
                                             const GroupPolicy &policy,
                                             base::TimePoint now) {
  if (state.m_role != replica::Role::kLeader) return std::nullopt;
  if (state.m_members_index > state.m_commit_index) return std::nullopt;
  if (auto change = PlanReplacement(state, candidates, policy, now)) {
    return change;
  }
  if (auto change = PlanVoterRemoval(state, policy, now)) return change;
  if (auto change = PlanAddition(state, candidates, policy, now)) return change;
  return PlanStandbyRemoval(state, policy, now);
}

}  // namespace wasabiwind::fleet
