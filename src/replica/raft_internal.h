/** @file raft_internal.h Functions shared by the sources of the protocol. */

#ifndef WASABIWIND_REPLICA_RAFT_INTERNAL_H_
#define WASABIWIND_REPLICA_RAFT_INTERNAL_H_

#include "replica/log_func.h"
#include "replica/raft_func.h"

namespace wasabiwind::replica {

/** @return a message to a member, without body. */
gen::ReplicaMessage MakeMessage(const RaftState &state, const HostIdentity &to);

/** @return the identity that a message states for its sender. */
HostIdentity GetSender(const gen::ReplicaMessage &message);

/**
 * Becomes a follower in a term, which may be a new one.
 * @param leader invalid if unknown
 */
void BecomeFollower(RaftState *state, TermNumber term, base::NodeId leader,
                    base::TimePoint now, Effects *effects);

void ResetElectionTimer(RaftState *state, base::TimePoint now);

/** Asks the voters whether this host could win an election. */
void StartPreVote(RaftState *state, base::TimePoint now, Effects *effects);

/** Repeats the requests of an election, which may have been lost. */
void RepeatVoteRequests(RaftState *state, base::TimePoint now,
                        Effects *effects);

/** Becomes the leader of the current term. */
void BecomeLeader(RaftState *state, base::TimePoint now, Effects *effects);

void HandleVoteRequest(RaftState *state, const gen::ReplicaMessage &message,
                       base::TimePoint now, Effects *effects);
void HandleVoteReply(RaftState *state, const gen::ReplicaMessage &message,
                     base::TimePoint now, Effects *effects);
void HandleAppendRequest(RaftState *state, const gen::ReplicaMessage &message,
                         base::TimePoint now, Effects *effects);
void HandleAppendReply(RaftState *state, const gen::ReplicaMessage &message,
                       base::TimePoint now, Effects *effects);
void HandleSnapshotPart(RaftState *state, const gen::ReplicaMessage &message,
                        base::TimePoint now, Effects *effects);
void HandleSnapshotReply(RaftState *state, const gen::ReplicaMessage &message,
                         base::TimePoint now, Effects *effects);
void HandleRepairRequest(const RaftState &state,
                         const gen::ReplicaMessage &message, Effects *effects);
void HandleRepairReply(RaftState *state, const gen::ReplicaMessage &message,
                       Effects *effects);

/** Asks all members for damaged entries. */
void RequestRepair(RaftState *state, base::TimePoint now, Effects *effects);

/** Records that the log differs from the saved one from an index on. */
void MarkLogChanged(RaftState *state, LogIndex index, Effects *effects);

/** Takes the members from the last members entry, else from the snapshot. */
void RefreshMembers(RaftState *state);

/** Raises the vote floor to the last position of the log. */
void RaiseVoteFloorToLast(RaftState *state, Effects *effects);

/** @return whether this host counts as a voter by its own log. */
bool IsVoter(const RaftState &state);

/**
 * @return whether this host leads or heard from a leader within the election
 *         timeout, so that it must not support a candidate
 */
bool HasRecentLeader(const RaftState &state, base::TimePoint now);

/** @return whether this host and the given hosts are a quorum of voters. */
bool IsQuorum(const RaftState &state, const std::set<base::NodeId> &hosts);

/** @return voters needed for a quorum. */
std::size_t GetNeededVoters(const RaftState &state);

/** Commits the entries that a quorum has synced. Leader only. */
void AdvanceCommit(RaftState *state);

/** Reports reads whose round a quorum has confirmed. */
void ConfirmReads(RaftState *state, Effects *effects);

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_RAFT_INTERNAL_H_
