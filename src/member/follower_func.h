/** @file follower_func.h Keeps a node's configuration and members up to date.
 */

#ifndef WASABIWIND_MEMBER_FOLLOWER_FUNC_H_
#define WASABIWIND_MEMBER_FOLLOWER_FUNC_H_

#include <member.pb.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "member/parent_func.h"

namespace wasabiwind::member {

/** The confirmation request that awaits its reply. */
struct PendingConfirm {
  std::uint64_t m_number = 0;
  base::TimePoint m_sent;
};

/** A snapshot that is being fetched. */
struct PendingSnapshot {
  bool m_active = false;
  std::uint64_t m_number = 0;
  std::uint64_t m_revision = 0;  ///< 0 until the first chunk arrives
  std::uint64_t m_total_bytes = 0;
  std::string m_data;
  base::TimePoint m_requested_at;
};

/** Records of upstreams in one confirmation, serialized. A longer record is
 * sent alone. */
inline constexpr std::size_t kMaxConfirmReportBytes = 256 * 1024;

/**
 * A node's side of the confirmation protocol. The copy of deltas and members is
 * kept in a Parent, so that the node can serve as a relay. Not thread-safe.
 */
struct Follower {
  gen::NodeRecord m_node;               ///< this node
  std::vector<std::string> m_controls;  ///< message addresses of control hosts
  std::size_t m_control_index = 0;      ///< of the control host in use
  std::string m_redirect_address;    ///< leader named by a control host, or ""
  std::string m_relay_address;       ///< relay to confirm with, or ""
  base::TimePoint m_relay_retry_at;  ///< use no relay before this
  Parent m_parent;
  std::uint64_t m_next_number = 1;
  PendingConfirm m_pending;
  PendingSnapshot m_snapshot;
  base::TimePoint m_next_confirm;                   ///< when to confirm next
  std::optional<base::TimePoint> m_confirmed_at;    ///< start of the lease
  std::vector<gen::UpstreamRecord> m_reports;       ///< not yet sent
  std::vector<gen::UpstreamRecord> m_sent_reports;  ///< in the pending request
  bool m_needs_full_report = true;
  std::vector<gen::NodeRecord> m_changed_children;  ///< relay: to forward

  std::uint64_t m_stale_replies = 0;  ///< with an older revision
};

/** A member message to send. */
struct OutgoingMessage {
  std::string m_to;  ///< message address
  gen::MemberMessage m_message;
};

/** What the caller must do after a reply. */
struct FollowerEffects {
  std::vector<gen::ConfigDelta> m_config;       ///< apply in this order
  std::optional<gen::Declarations> m_snapshot;  ///< replaces all declarations
  std::uint64_t m_snapshot_revision = 0;
  std::vector<gen::UpstreamRecord> m_upstreams;  ///< new or changed records
  std::vector<OutgoingMessage> m_messages;
  bool m_members_changed = false;  ///< relay: notify the children
};

/** Sets up a node. @pre controls isn't empty */
void InitializeFollower(Follower *follower, const gen::NodeRecord &node,
                        std::vector<std::string> controls, base::TimePoint now);

/** @return whether the node may admit requests under its configuration. */
bool IsFollowerFresh(const Follower &follower, base::TimePoint now,
                     const MemberOptions &options);

/** @return age of the node's confirmation, for replies as a relay. */
std::optional<base::milliseconds> GetConfirmAge(const Follower &follower,
                                                base::TimePoint now);

/** @return the message address of the host that the node confirms with. */
const std::string &GetParentAddress(const Follower &follower);

/** @return the message address of the presumed control leader. */
const std::string &GetLeaderAddress(const Follower &follower);

/**
 * Sends a confirmation or snapshot request when one is due; switches to
 * another parent if the last confirmation wasn't answered in time.
 * @param announced upstreams that announce to this node, for a full report
 */
std::vector<OutgoingMessage> TickFollower(
    Follower *follower, const std::vector<gen::UpstreamRecord> &announced,
    base::TimePoint now, const MemberOptions &options);

/** Confirms at the next tick; for use after a notice or a local change. */
void RequestConfirm(Follower *follower, base::TimePoint now);

/** Queues a record for the next confirmation, due at the next tick. */
void QueueReport(Follower *follower, const gen::UpstreamRecord &record,
                 base::TimePoint now);

/** Handles a reply. Replies to older requests are ignored. */
FollowerEffects HandleConfirmReply(Follower *follower,
                                   const gen::ConfirmReply &reply,
                                   base::TimePoint now,
                                   const MemberOptions &options);

/** Handles a part of a snapshot. */
FollowerEffects HandleSnapshotChunk(Follower *follower,
                                    const gen::SnapshotChunk &chunk,
                                    base::TimePoint now);

/** Relay: queues a child's reports for forwarding. */
void QueueChildReports(Follower *follower, const gen::ConfirmRequest &request,
                       base::TimePoint now);

}  // namespace wasabiwind::member

#endif  // WASABIWIND_MEMBER_FOLLOWER_FUNC_H_
