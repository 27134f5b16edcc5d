/** @file parent_func.h Answers confirmations of nodes, on control hosts and
 * relays. */

#ifndef WASABIWIND_MEMBER_PARENT_FUNC_H_
#define WASABIWIND_MEMBER_PARENT_FUNC_H_

#include <member.pb.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "member/store_func.h"

namespace wasabiwind::member {

/** A node that confirms with this host. */
struct ChildState {
  gen::NodeRecord m_record;
  base::TimePoint m_last_seen;
  std::uint64_t m_revision = 0;  ///< lowest in force at it and its children
};

/** Nodes that confirm with this host, by name. Not thread-safe. */
struct ChildTable {
  std::map<std::string, ChildState> m_children;
  /** Control: nodes that confirm with a relay, and when it last listed them. */
  std::map<std::string, base::TimePoint> m_relayed_nodes;
};

/** State of a host that answers confirmations. Not thread-safe. */
struct Parent {
  ConfigLog m_config;
  MemberStore m_members;
  ChildTable m_children;
};

/** Reply to a confirmation and its effect on the leader. */
struct ConfirmOutcome {
  gen::ConfirmReply m_reply;
  bool m_members_changed = false;  ///< notify the other nodes
};

/**
 * Control leader: answers a confirmation.
 * @param age time since a quorum last confirmed the leadership, counted from
 *        before the quorum was asked
 * @pre the host is the leader and its term is parent->m_members.m_term
 */
ConfirmOutcome AnswerAsLeader(Parent *parent,
                              const gen::ConfirmRequest &request,
                              base::milliseconds age, base::TimePoint now,
                              const MemberOptions &options);

/**
 * Relay: answers a confirmation from its own copy. The caller forwards the
 * child's reports.
 * @param age time since the relay's own confirmation
 */
gen::ConfirmReply AnswerAsRelay(Parent *parent,
                                const gen::ConfirmRequest &request,
                                base::milliseconds age, base::TimePoint now,
                                const MemberOptions &options);

/** Nodes that stopped confirming, and upstreams that nobody reports. */
struct LostMembers {
  std::vector<std::string> m_lost_nodes;
  std::vector<gen::UpstreamRecord> m_lost_upstreams;
};

/** Control leader: removes nodes that timed out, and expired records. */
LostMembers TickLeader(Parent *parent, base::TimePoint now,
                       const MemberOptions &options);

/** Relay: removes children that timed out. */
void TickRelay(Parent *parent, base::TimePoint now,
               const MemberOptions &options);

/** @return the lowest revision in force at the children; 0 if none. */
std::uint64_t GetLeastChildRevision(const ChildTable &children);

/** Whether an accepted revision is in force at all nodes. */
struct InForceStatus {
  bool m_in_force = false;
  std::vector<std::string> m_waiting_for;  ///< nodes that haven't confirmed it
};

/**
 * A revision is in force when every known node has confirmed it, or when the
 * lease has passed since it was accepted: a node that hasn't received it by
 * then admits no requests.
 * @param accepted when the revision was committed, by this host's clock
 */
InForceStatus GetInForceStatus(const Parent &parent, std::uint64_t revision,
                               base::TimePoint accepted, base::TimePoint now,
                               const MemberOptions &options);

/**
 * Chooses the parent of a node. With few nodes it is control itself. With more,
 * the first nodes of each failure domain by name are relays, and the other
 * nodes of the domain are distributed over them by a hash of their names.
 * @return the message address of a relay, or "" for control
 */
std::string ChooseParent(const MemberStore &members,
                         const gen::NodeRecord &node,
                         const MemberOptions &options);

/** Serialized declarations of one revision, for nodes too far behind. */
struct SnapshotSource {
  std::uint64_t m_revision = 0;
  std::string m_data;
};

constexpr std::size_t kSnapshotChunkBytes = 256 * 1024;

/**
 * Serializes the declarations for a request, unless the log has the deltas that
 * follow the snapshot that the source holds. A newer revision alone doesn't
 * replace it, because that would restart all transfers in progress.
 * @param serialize returns the declarations of the log's revision
 */
void RefreshSnapshot(SnapshotSource *source, const ConfigLog &config,
                     const std::function<std::string()> &serialize);

/**
 * @return the requested part, or the first part if the source holds another
 *         revision than the requested one
 */
gen::SnapshotChunk MakeSnapshotChunk(const SnapshotSource &source,
                                     const gen::SnapshotRequest &request);

}  // namespace wasabiwind::member

#endif  // WASABIWIND_MEMBER_PARENT_FUNC_H_
