/** @file raft_func.h The Raft protocol as functions over RaftState.
 *
 * The functions do no input or output. The caller passes in time and messages,
 * saves what Effects names, syncs, calls MarkSynced and only then sends
 * m_messages_after_sync. After each batch of calls it calls SendLeaderMessages
 * once, so that commands that arrive together share messages and a sync.
 */

#ifndef WASABIWIND_REPLICA_RAFT_FUNC_H_
#define WASABIWIND_REPLICA_RAFT_FUNC_H_

#include "base/error_type.h"
#include "replica/raft_base.h"

namespace wasabiwind::replica {

/** What a host's files hold at start. */
struct LoadedState {
  HostIdentity m_self;
  TermNumber m_term = 0;
  HostIdentity m_voted_for;
  LogPosition m_vote_floor;
  Log m_log;
  Snapshot m_snapshot;  ///< at position 0: the initial members
  bool m_is_snapshot_damaged = false;
  std::size_t m_torn_bytes = 0;  ///< unsynced bytes dropped after the tail
};

/** Builds the state of a host that starts as a follower. */
RaftState MakeRaftState(const RaftSettings &settings, LoadedState loaded,
                        std::uint64_t seed, base::TimePoint now);

/**
 * Handles one message. A message for another incarnation of this host changes
 * nothing, nor does a reply under an incarnation that isn't a member's.
 */
void HandleMessage(RaftState *state, const gen::ReplicaMessage &message,
                   base::TimePoint now, Effects *effects);

/** Handles timeouts. Called at least every heartbeat interval. */
void Tick(RaftState *state, base::TimePoint now, Effects *effects);

/**
 * Appends a command on the leader.
 * @return its index; it is accepted once an entry of this index and of the
 *         current term is committed
 * @return kUnavailable if this host isn't the leader, kInvalidArgument for an
 *         oversized command, kOverloaded if the log is at its size limit
 */
base::Result<LogIndex> Propose(RaftState *state, std::string command,
                               Effects *effects);

enum class MemberChangeKind : std::uint8_t {
  kAdd,      ///< adds a host; it becomes a voter once it has caught up
  kRemove,   ///< removes a host other than the leader
  kReplace,  ///< accepts the new incarnation of a host that lost its superblock
  kEnd,
};

struct MemberChange {
  MemberChangeKind m_kind = MemberChangeKind::kEnd;
  base::NodeId m_host;
  std::uint64_t m_incarnation = 0;  ///< kReplace: 0 takes the reported one
  std::string m_endpoint;           ///< kAdd
  std::string m_operators_address;  ///< kAdd
};

/**
 * Starts a change of one member on the leader.
 * @return index of its entry
 * @return kUnavailable if not leader, kConflict while another change is in
 *         progress, kInvalidArgument or kNotFound for a change that can't be
 *         made
 */
base::Result<LogIndex> ProposeMemberChange(RaftState *state,
                                           const MemberChange &change,
                                           Effects *effects);

/**
 * Starts a read on the leader; its outcome comes in Effects::m_reads.
 * @return kUnavailable if not leader or its term has no committed entry yet,
 *         kOverloaded if too many reads are pending
 */
base::Result<void> RequestRead(RaftState *state, std::uint64_t read_id,
                               Effects *effects);

/**
 * On the leader, adds to the effects the messages that are due: new entries,
 * snapshot parts, heartbeats and confirmation rounds. Also starts the promotion
 * of a non-voter that has caught up.
 */
void SendLeaderMessages(RaftState *state, base::TimePoint now,
                        Effects *effects);

/** Records that everything in memory is synced. */
void MarkSynced(RaftState *state, Effects *effects);

/** @return entries to apply next, in order; each is returned once. */
std::vector<CommittedEntry> TakeCommitted(RaftState *state);

/**
 * Replaces the snapshot with a newer one and drops the log up to it, except
 * for entries that lagging members may need.
 * @param index last entry in the snapshot
 * @param data serialized state machine after that entry
 * @param keep_bytes size of the entries to keep up to the snapshot
 * @pre index is above the current snapshot's and at most m_applied_index
 */
void CompactLog(RaftState *state, LogIndex index,
                std::shared_ptr<const std::string> data, std::size_t keep_bytes,
                Effects *effects);

/**
 * @return whether a member lost its snapshot and this leader has none to send;
 *         the caller must then call CompactLog
 */
bool NeedsFirstSnapshot(const RaftState &state);

/** @return whether this host may campaign, judged by its own log. */
bool CanCampaign(const RaftState &state);

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_RAFT_FUNC_H_
