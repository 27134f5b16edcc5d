/** @file raft_election.cpp Elections: pre-vote, vote and their replies. */

#include "replica/raft_internal.h"

namespace wasabiwind::replica {

namespace {

/** Sends a vote request to all other voters. */
void RequestVotes(const RaftState &state, bool is_pre_vote,
                  std::vector<gen::ReplicaMessage> *messages) {
  LogPosition last = GetLastPosition(state.m_log);
  for (const Member &member : state.m_members) {
    if (!member.m_is_voter || member.m_identity == state.m_self) continue;
    gen::ReplicaMessage message = MakeMessage(state, member.m_identity);
    if (is_pre_vote) message.set_term(state.m_term + 1);
    gen::VoteRequest *request = message.mutable_vote_request();
    request->set_is_pre_vote(is_pre_vote);
    request->set_last_index(last.m_index);
    request->set_last_term(last.m_term);
    messages->push_back(std::move(message));
  }
}

/**
 * @return whether a candidate's log is at least as up to date as anything
 *         that this host may have acknowledged
 */
bool IsUpToDate(const RaftState &state, const gen::VoteRequest &request) {
  LogPosition candidate{request.last_term(), request.last_index()};
  LogPosition own = std::max(GetLastPosition(state.m_log), state.m_vote_floor);
  return candidate >= own;
}

void StartElection(RaftState *state, base::TimePoint now, Effects *effects) {
  state->m_role = Role::kCandidate;
  ++state->m_term;
  state->m_voted_for = state->m_self;
  effects->m_is_vote_changed = true;
  state->m_votes.clear();
  ResetElectionTimer(state, now);
  state->m_vote_request_at = now + state->m_settings.m_heartbeat;
  RequestVotes(*state, false, &effects->m_messages_after_sync);
}

}  // namespace

void StartPreVote(RaftState *state, base::TimePoint now, Effects *effects) {
  state->m_role = Role::kPreCandidate;
  state->m_leader = base::NodeId::Invalid();
  state->m_votes.clear();
  state->m_vote_request_at = now + state->m_settings.m_heartbeat;
  RequestVotes(*state, true, &effects->m_messages);
}

void RepeatVoteRequests(RaftState *state, base::TimePoint now,
                        Effects *effects) {
  state->m_vote_request_at = now + state->m_settings.m_heartbeat;
  RequestVotes(*state, state->m_role == Role::kPreCandidate,
               &effects->m_messages_after_sync);
}

void HandleVoteRequest(RaftState *state, const gen::ReplicaMessage &message,
                       base::TimePoint now, Effects *effects) {
  const gen::VoteRequest &request = message.vote_request();
  HostIdentity candidate = GetSender(message);
  bool is_granted =
      message.term() >= state->m_term && IsUpToDate(*state, request);
  if (request.is_pre_vote()) {
    is_granted = is_granted && message.term() > state->m_term &&
                 !HasRecentLeader(*state, now);
  } else {
    bool is_vote_available =
        state->m_voted_for == HostIdentity() || state->m_voted_for == candidate;
    is_granted = is_granted && is_vote_available;
  }
  if (is_granted && !request.is_pre_vote()) {
    effects->m_is_vote_changed |= state->m_voted_for != candidate;
    state->m_voted_for = candidate;
    ResetElectionTimer(state, now);
  }
  gen::ReplicaMessage reply = MakeMessage(*state, candidate);
  if (is_granted) reply.set_term(message.term());
  reply.mutable_vote_reply()->set_is_pre_vote(request.is_pre_vote());
  reply.mutable_vote_reply()->set_is_granted(is_granted);
  effects->m_messages_after_sync.push_back(std::move(reply));
}

void HandleVoteReply(RaftState *state, const gen::ReplicaMessage &message,
                     base::TimePoint now, Effects *effects) {
  const gen::VoteReply &reply = message.vote_reply();
  if (!reply.is_granted()) return;
  bool is_pre_vote = state->m_role == Role::kPreCandidate;
  if (!is_pre_vote && state->m_role != Role::kCandidate) return;
  TermNumber wanted = is_pre_vote ? state->m_term + 1 : state->m_term;
  if (reply.is_pre_vote() != is_pre_vote || message.term() != wanted) return;
  state->m_votes.insert(base::NodeId(message.from_host()));
  if (!IsQuorum(*state, state->m_votes)) return;
  if (is_pre_vote) {
    StartElection(state, now, effects);
  } else {
    BecomeLeader(state, now, effects);
  }
}

}  // namespace wasabiwind::replica
