/** @file raft_base.h Raft state of one host and the effects of its functions.
 *
 * The protocol is Raft with pre-votes, a leader that steps down without a
 * quorum, reads that a quorum confirms, and changes of one member at a time. It
 * differs from plain Raft in how it handles damaged files:
 * - Entries that fail their checksum keep their place in the log. They are
 *   repaired from other members, and until then the host doesn't campaign.
 * - The vote floor keeps the position of entries that this host may have
 *   acknowledged and has since given up. Votes depend on it as on the log.
 * - A host that lost its superblock, and with it its vote, gets a new
 *   incarnation. It counts as a member again only after a leader has accepted
 *   the incarnation, and first without a vote.
 */

#ifndef WASABIWIND_REPLICA_RAFT_BASE_H_
#define WASABIWIND_REPLICA_RAFT_BASE_H_

#include <map>
#include <optional>
#include <set>

#include "base/random_func.h"
#include "base/time_type.h"
#include "replica/log_type.h"

namespace wasabiwind::replica {

struct RaftSettings {
  /**
   * A follower campaigns after one to two times this without contact from a
   * leader; a leader steps down after this without answers from a quorum.
   */
  base::milliseconds m_election_timeout{300};
  base::milliseconds m_heartbeat{50};
  std::size_t m_max_append_bytes = 512 * 1024;  ///< entry bodies in one message
  std::size_t m_max_append_entries = 1'024;     ///< entries in one message
  std::size_t m_max_in_flight = 8'192;          ///< entries not yet confirmed
  std::size_t m_snapshot_part_bytes = 256 * 1024;
  std::size_t m_max_command_bytes = 768 * 1024;
  std::size_t m_max_log_bytes = 64 * 1024 * 1024;  ///< bodies kept in the log
  std::size_t m_max_pending_reads = 10'000;
  /** Non-voters are promoted while there are fewer voters; 0: always. */
  std::size_t m_max_voters = 0;
  std::size_t m_quorum_for_test = 0;  ///< planted fault; 0: the majority
};

enum class Role : std::uint8_t {
  kFollower,
  kPreCandidate,  ///< asks whether it could win, without a new term
  kCandidate,
  kLeader,
  kEnd,
};

/** Replication progress of another member, as the leader knows it. */
struct Progress {
  LogIndex m_match = 0;      ///< synced there and equal to this log up to here
  LogIndex m_next = 1;       ///< next entry to send
  bool m_is_probing = true;  ///< m_next is unconfirmed; one message at a time
  bool m_needs_snapshot = false;
  base::TimePoint m_heard_at;     ///< last reply in this term
  base::TimePoint m_sent_at;      ///< last append or snapshot part
  base::TimePoint m_progress_at;  ///< last growth of m_match or the snapshot
  std::uint64_t m_acked_round = 0;
  std::uint64_t m_sent_round = 0;
  LogIndex m_snapshot_index = 0;        ///< snapshot in transfer, 0: none
  std::uint64_t m_snapshot_offset = 0;  ///< bytes
};

/** A read that waits for a quorum to confirm the leadership. */
struct PendingRead {
  std::uint64_t m_read_id = 0;
  std::uint64_t m_round = 0;
  LogIndex m_index = 0;  ///< entries that the answer must reflect
};

/** Parts of a snapshot received so far. */
struct IncomingSnapshot {
  LogPosition m_position;
  std::uint64_t m_total_bytes = 0;
  std::string m_data;
};

/** All state of one host. Owned by one thread. */
struct RaftState {
  RaftSettings m_settings;
  HostIdentity m_self;
  base::Random m_random;

  // Synced to disk before any message that depends on it is sent.
  TermNumber m_term = 0;
  HostIdentity m_voted_for;
  /**
   * Least position of a candidate's last entry that gets this host's vote. This
   * host may have acknowledged entries up to here and lost them to damage, so
   * it doesn't campaign either until its own log reaches this position.
   */
  LogPosition m_vote_floor;
  Log m_log;
  Snapshot m_snapshot;
  bool m_is_snapshot_damaged = false;

  LogIndex m_synced_index = 0;
  LogIndex m_commit_index = 0;
  LogIndex m_applied_index = 0;  ///< last entry taken with TakeCommitted
  Members m_members;             ///< of the last members entry in the log
  LogIndex m_members_index = 0;  ///< 0 if they come from the snapshot

  Role m_role = Role::kFollower;
  base::NodeId m_leader;  ///< invalid if unknown
  base::TimePoint m_leader_heard_at;
  base::TimePoint m_election_at;
  base::TimePoint m_repair_at;        ///< next request for damaged entries
  base::TimePoint m_vote_request_at;  ///< next repetition of vote requests
  std::set<base::NodeId> m_votes;
  IncomingSnapshot m_incoming;

  // Leader only.
  std::map<base::NodeId, Progress> m_progress;
  LogIndex m_term_start_index = 0;  ///< first entry of this leader's term
  std::uint64_t m_confirm_round = 0;
  std::deque<PendingRead> m_pending_reads;
  /** Incarnations that members reported and that differ from the recorded. */
  std::map<base::NodeId, std::uint64_t> m_reported_incarnations;
};

/** Outcome of a read request. */
struct ReadOutcome {
  std::uint64_t m_read_id = 0;
  bool m_is_confirmed = false;  ///< false: leadership was lost
  LogIndex m_index = 0;         ///< apply up to here before answering
};

/** What the caller of the Raft functions must do next, in this order. */
struct Effects {
  std::vector<gen::ReplicaMessage> m_messages;  ///< may be sent at once
  bool m_is_vote_changed = false;               ///< term, vote or floor
  std::optional<LogIndex> m_log_changed_from;   ///< lowest index that changed
  bool m_is_snapshot_changed = false;           ///< save snapshot and log base
  bool m_must_restore = false;  ///< restore the state machine from snapshot
  /** May be sent once all of the above is synced and MarkSynced was called. */
  std::vector<gen::ReplicaMessage> m_messages_after_sync;
  std::vector<ReadOutcome> m_reads;

  /** @return whether something must be written and synced. */
  bool NeedsSave() const {
    return m_is_vote_changed || m_log_changed_from || m_is_snapshot_changed;
  }
};

/** An entry that is committed and synced, for the state machine. */
struct CommittedEntry {
  LogIndex m_index = 0;
  TermNumber m_term = 0;
  gen::EntryKind m_kind = gen::ENTRY_NOOP;
  std::string m_body;
};

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_RAFT_BASE_H_
