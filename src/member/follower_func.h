/** @file follower_func.h Keeps a node's configuration fresh. */

#ifndef WASABIWIND_MEMBER_FOLLOWER_FUNC_H_
#define WASABIWIND_MEMBER_FOLLOWER_FUNC_H_

#include <member.pb.h>

#include <optional>
#include <string>
#include <vector>

#include "member/parent_func.h"

namespace wasabiwind::member {

/** A confirmation that waits for its reply. */
struct PendingConfirm {
  std::uint64_t m_number = 0;
  base::TimePoint m_sent;
};

/** A snapshot that is being fetched. */
struct PendingSnapshot {
  bool m_active = false;
  std::uint64_t m_number = 0;
  std::uint64_t m_revision = 0;  ///< 0 until the first chunk names it
  std::uint64_t m_total_bytes = 0;
  std::string m_data;
  base::TimePoint m_asked;
};

/**
 * A node's side of the confirmation protocol. The node's Parent holds its copy
 * of deltas and members, so that it can serve as a relay. Not thread-safe.
 */
struct Follower {
  gen::NodeRecord m_node;               ///< this node
  std::vector<std::string> m_controls;  ///< message addresses of control
  std::size_t m_control = 0;            ///< index of the one in use
  std::string m_redirect;               ///< leader named by a control host
  std::string m_relay;                  ///< parent named by control, or ""
  base::TimePoint m_relay_retry;        ///< no relay before this time
  Parent m_parent;
  std::uint64_t m_next_number = 1;
  PendingConfirm m_pending;
  PendingSnapshot m_snapshot;
  base::TimePoint m_next_confirm;                   ///< when to confirm next
  std::optional<base::TimePoint> m_confirmed_at;    ///< start of the lease
  std::vector<gen::UpstreamRecord> m_reports;       ///< not yet acknowledged
  std::vector<gen::UpstreamRecord> m_sent_reports;  ///< in the pending request
  bool m_needs_full_report = true;
  std::vector<gen::NodeRecord> m_child_changes;  ///< relay: to pass on

  std::uint64_t m_stale_replies = 0;  ///< replies with an older revision
};

/** A message to send. */
struct OutgoingMessage {
  std::string m_to;  ///< message address
  gen::MemberMessage m_message;
};

/** What a reply means for the node. */
struct FollowerEffects {
  std::vector<gen::ConfigDelta> m_config;       ///< apply in this order
  std::optional<gen::Declarations> m_snapshot;  ///< replaces all declarations
  std::uint64_t m_snapshot_revision = 0;
  std::vector<gen::UpstreamRecord> m_upstreams;  ///< new or changed records
  std::vector<OutgoingMessage> m_messages;
  bool m_members_changed = false;  ///< relay: children should get a notice
};

/** Sets up a node. @pre controls isn't empty */
void InitializeFollower(Follower *follower, const gen::NodeRecord &node,
                        std::vector<std::string> controls, base::TimePoint now);

/** @return whether the node may admit requests under its configuration. */
bool IsFollowerFresh(const Follower &follower, base::TimePoint now,
                     const MemberOptions &options);

/** @return age of the node's confirmation, for a relay's answers. */
std::optional<base::milliseconds> GetConfirmAge(const Follower &follower,
                                                base::TimePoint now);

/** @return the message address of the host that the node confirms with. */
const std::string &GetParentAddress(const Follower &follower);

/** @return the message address of the control host that is taken for leader. */
const std::string &GetLeaderAddress(const Follower &follower);

/**
 * Sends a confirmation or snapshot request when one is due; changes the
 * parent when the last one wasn't answered in time.
 * @param announced upstreams that announce to this node, for a full report
 */
std::vector<OutgoingMessage> TickFollower(
    Follower *follower, const std::vector<gen::UpstreamRecord> &announced,
    base::TimePoint now, const MemberOptions &options);

/** Confirms at the next tick, after a notice or a local change. */
void RequestConfirm(Follower *follower, base::TimePoint now);

/** Queues a record for the next confirmation and asks for one. */
void QueueReport(Follower *follower, const gen::UpstreamRecord &record,
                 base::TimePoint now);

/** Handles a reply. Replies to older requests are ignored. */
FollowerEffects HandleConfirmReply(Follower *follower,
                                   const gen::ConfirmReply &reply,
                                   base::TimePoint now,
                                   const MemberOptions &options);

/** Handles part of a snapshot. */
FollowerEffects HandleSnapshotChunk(Follower *follower,
                                    const gen::SnapshotChunk &chunk,
                                    base::TimePoint now);

/** Relay: takes up what a child reports, to be passed on. */
void QueueChildReports(Follower *follower, const gen::ConfirmRequest &request,
                       base::TimePoint now);

}  // namespace wasabiwind::member

#endif  // WASABIWIND_MEMBER_FOLLOWER_FUNC_H_
