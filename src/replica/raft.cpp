/** @file raft.cpp Raft state, dispatch of messages, and timers. */

#include <cassert>

#include "replica/raft_internal.h"

namespace wasabiwind::replica {

RaftState MakeRaftState(const RaftSettings &settings, LoadedState loaded,
                        std::uint64_t seed, base::TimePoint now) {
  RaftState state;
  state.m_settings = settings;
  state.m_self = std::move(loaded.m_self);
  state.m_random.m_state = seed;
  state.m_term = loaded.m_term;
  state.m_voted_for = std::move(loaded.m_voted_for);
  state.m_vote_floor = loaded.m_vote_floor;
  state.m_log = std::move(loaded.m_log);
  state.m_snapshot = std::move(loaded.m_snapshot);
  state.m_is_snapshot_damaged = loaded.m_is_snapshot_damaged;
  state.m_synced_index = GetLastIndex(state.m_log);
  if (!state.m_is_snapshot_damaged) {
    state.m_commit_index = state.m_snapshot.m_position.m_index;
    state.m_applied_index = state.m_commit_index;
  }
  state.m_repair_at = now;
  RefreshMembers(&state);
  ResetElectionTimer(&state, now);
  return state;
}

gen::ReplicaMessage MakeMessage(const RaftState &state,
                                const HostIdentity &to) {
  gen::ReplicaMessage message;
  message.set_from_host(state.m_self.m_host.Value());
  message.set_from_incarnation(state.m_self.m_incarnation);
  message.set_to_host(to.m_host.Value());
  message.set_to_incarnation(to.m_incarnation);
  message.set_term(state.m_term);
  return message;
}

HostIdentity GetSender(const gen::ReplicaMessage &message) {
  return HostIdentity{base::NodeId(message.from_host()),
                      message.from_incarnation()};
}

void ResetElectionTimer(RaftState *state, base::TimePoint now) {
  base::milliseconds timeout = state->m_settings.m_election_timeout;
  base::milliseconds extra(NextRandomBelow(
      &state->m_random, static_cast<std::uint64_t>(timeout.count())));
  state->m_election_at = now + timeout + extra;
}

void BecomeFollower(RaftState *state, TermNumber term, base::NodeId leader,
                    base::TimePoint now, Effects *effects) {
  assert(term >= state->m_term);
  if (term > state->m_term) {
    state->m_term = term;
    state->m_voted_for = HostIdentity();
    effects->m_is_vote_changed = true;
  }
  for (const PendingRead &read : state->m_pending_reads) {
    effects->m_reads.push_back(ReadOutcome{read.m_read_id, false, 0});
  }
  state->m_pending_reads.clear();
  if (state->m_role != Role::kFollower) ResetElectionTimer(state, now);
  state->m_role = Role::kFollower;
  state->m_leader = std::move(leader);
  state->m_votes.clear();
  state->m_progress.clear();
}

bool IsVoter(const RaftState &state) {
  const Member *self = FindMember(state.m_members, state.m_self.m_host);
  return self != nullptr && self->m_is_voter &&
         self->m_identity == state.m_self;
}

bool CanCampaign(const RaftState &state) {
  if (!IsVoter(state)) return false;
  if (state.m_is_snapshot_damaged || state.m_log.m_damaged != 0) return false;
  return GetLastPosition(state.m_log) >= state.m_vote_floor;
}

bool HasRecentLeader(const RaftState &state, base::TimePoint now) {
  if (state.m_role == Role::kLeader) return true;
  return now < state.m_leader_heard_at + state.m_settings.m_election_timeout;
}

std::size_t GetNeededVoters(const RaftState &state) {
  if (state.m_settings.m_quorum_for_test != 0) {
    return state.m_settings.m_quorum_for_test;
  }
  return GetQuorumSize(state.m_members);
}

bool IsQuorum(const RaftState &state, const std::set<base::NodeId> &hosts) {
  std::size_t count = 0;
  for (const Member &member : state.m_members) {
    if (!member.m_is_voter) continue;
    bool is_self = member.m_identity == state.m_self;
    if (is_self || hosts.contains(member.m_identity.m_host)) ++count;
  }
  return count >= GetNeededVoters(state);
}

void MarkLogChanged(RaftState *state, LogIndex index, Effects *effects) {
  if (!effects->m_log_changed_from || *effects->m_log_changed_from > index) {
    effects->m_log_changed_from = index;
  }
  if (state->m_synced_index >= index) state->m_synced_index = index - 1;
}

void RefreshMembers(RaftState *state) {
  const Log &log = state->m_log;
  for (LogIndex index = GetLastIndex(log); index > log.m_base.m_index;
       --index) {
    const Entry &entry = GetEntry(log, index);
    if (entry.m_is_damaged || entry.m_kind != gen::ENTRY_MEMBERS) continue;
    gen::ReplicaMembers members;
    if (!members.ParseFromString(entry.m_body)) continue;
    state->m_members = ParseMembers(members);
    state->m_members_index = index;
    return;
  }
  state->m_members = state->m_snapshot.m_members;
  state->m_members_index = 0;
}

void RaiseVoteFloorToLast(RaftState *state, Effects *effects) {
  LogPosition last = GetLastPosition(state->m_log);
  if (last <= state->m_vote_floor) return;
  state->m_vote_floor = last;
  effects->m_is_vote_changed = true;
}

namespace {

/** Answers a message that was meant for another incarnation of this host. */
void ReportIdentity(const RaftState &state, const gen::ReplicaMessage &message,
                    Effects *effects) {
  gen::ReplicaMessage report = MakeMessage(state, GetSender(message));
  report.mutable_identity_report()->set_expected_incarnation(
      message.to_incarnation());
  effects->m_messages.push_back(std::move(report));
}

/** Records the incarnation of a member that lost its superblock. */
void HandleIdentityReport(RaftState *state,
                          const gen::ReplicaMessage &message) {
  HostIdentity sender = GetSender(message);
  const Member *member = FindMember(state->m_members, sender.m_host);
  if (member == nullptr || member->m_identity == sender) return;
  // A report that was delayed past a replacement names an incarnation that has
  // ended since.
  std::uint64_t expected = message.identity_report().expected_incarnation();
  if (expected != member->m_identity.m_incarnation) return;
  state->m_reported_incarnations[sender.m_host] = sender.m_incarnation;
}

/** @return whether a higher term in this message may be adopted. */
bool CarriesNewTerm(const gen::ReplicaMessage &message) {
  if (message.has_vote_request()) return !message.vote_request().is_pre_vote();
  if (message.has_vote_reply()) {
    const gen::VoteReply &reply = message.vote_reply();
    return !(reply.is_pre_vote() && reply.is_granted());
  }
  return !message.has_repair_request() && !message.has_repair_reply();
}

/** @return whether the sender is a member under its recorded incarnation. */
bool IsFromMember(const RaftState &state, const gen::ReplicaMessage &message) {
  HostIdentity sender = GetSender(message);
  const Member *member = FindMember(state.m_members, sender.m_host);
  return member != nullptr && member->m_identity == sender;
}

void DispatchRequest(RaftState *state, const gen::ReplicaMessage &message,
                     base::TimePoint now, Effects *effects) {
  if (message.has_vote_request()) {
    HandleVoteRequest(state, message, now, effects);
  } else if (message.has_append_request()) {
    HandleAppendRequest(state, message, now, effects);
  } else if (message.has_snapshot_part()) {
    HandleSnapshotPart(state, message, now, effects);
  } else if (message.has_repair_request()) {
    HandleRepairRequest(*state, message, effects);
  }
}

void DispatchReply(RaftState *state, const gen::ReplicaMessage &message,
                   base::TimePoint now, Effects *effects) {
  if (message.has_repair_reply()) {
    HandleRepairReply(state, message, effects);
    return;
  }
  if (message.has_vote_reply()) {
    HandleVoteReply(state, message, now, effects);
    return;
  }
  if (message.term() != state->m_term || state->m_role != Role::kLeader) return;
  if (message.has_append_reply()) {
    HandleAppendReply(state, message, now, effects);
  } else if (message.has_snapshot_reply()) {
    HandleSnapshotReply(state, message, now, effects);
  }
}

bool IsReply(const gen::ReplicaMessage &message) {
  return message.has_vote_reply() || message.has_append_reply() ||
         message.has_snapshot_reply() || message.has_repair_reply();
}

/** Steps down if no quorum answered within an election timeout. */
void CheckQuorum(RaftState *state, base::TimePoint now, Effects *effects) {
  std::set<base::NodeId> heard;
  for (const auto &[host, progress] : state->m_progress) {
    if (now - progress.m_heard_at < state->m_settings.m_election_timeout) {
      heard.insert(host);
    }
  }
  if (IsQuorum(*state, heard)) return;
  BecomeFollower(state, state->m_term, base::NodeId::Invalid(), now, effects);
}

}  // namespace

void HandleMessage(RaftState *state, const gen::ReplicaMessage &message,
                   base::TimePoint now, Effects *effects) {
  if (message.to_host() != state->m_self.m_host.Value()) return;
  if (message.from_host() == message.to_host()) return;
  if (message.has_identity_report()) {
    HandleIdentityReport(state, message);
    return;
  }
  if (message.to_incarnation() != state->m_self.m_incarnation) {
    ReportIdentity(*state, message, effects);
    return;
  }
  if (IsReply(message) && !IsFromMember(*state, message)) return;
  if (message.has_vote_request() && !message.vote_request().is_pre_vote() &&
      HasRecentLeader(*state, now)) {
    return;
  }
  if (message.term() > state->m_term && CarriesNewTerm(message)) {
    BecomeFollower(state, message.term(), base::NodeId::Invalid(), now,
                   effects);
  }
  if (IsReply(message)) {
    DispatchReply(state, message, now, effects);
  } else {
    DispatchRequest(state, message, now, effects);
  }
}

void Tick(RaftState *state, base::TimePoint now, Effects *effects) {
  if (state->m_log.m_damaged != 0 && now >= state->m_repair_at) {
    RequestRepair(state, now, effects);
  }
  if (state->m_role == Role::kLeader) {
    CheckQuorum(state, now, effects);
    return;
  }
  if (now < state->m_election_at) {
    bool is_campaigning = state->m_role != Role::kFollower;
    if (is_campaigning && now >= state->m_vote_request_at) {
      RepeatVoteRequests(state, now, effects);
    }
    return;
  }
  ResetElectionTimer(state, now);
  if (CanCampaign(*state)) StartPreVote(state, now, effects);
}

void MarkSynced(RaftState *state, Effects *effects) {
  state->m_synced_index = GetLastIndex(state->m_log);
  if (state->m_role != Role::kLeader) return;
  AdvanceCommit(state);
  ConfirmReads(state, effects);
}

bool NeedsFirstSnapshot(const RaftState &state) {
  if (state.m_snapshot.m_data != nullptr) return false;
  for (const auto &[host, progress] : state.m_progress) {
    if (progress.m_needs_snapshot) return true;
  }
  return false;
}

std::vector<CommittedEntry> TakeCommitted(RaftState *state) {
  std::vector<CommittedEntry> result;
  LogIndex end = std::min(state->m_commit_index, state->m_synced_index);
  while (state->m_applied_index < end) {
    LogIndex index = ++state->m_applied_index;
    const Entry &entry = GetEntry(state->m_log, index);
    assert(!entry.m_is_damaged);
    result.push_back(
        CommittedEntry{index, entry.m_term, entry.m_kind, entry.m_body});
  }
  return result;
}

}  // namespace wasabiwind::replica
