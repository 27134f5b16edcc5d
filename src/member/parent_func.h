/** @file parent_func.h Answers confirmations of nodes; control and relays. */

#ifndef WASABIWIND_MEMBER_PARENT_FUNC_H_
#define WASABIWIND_MEMBER_PARENT_FUNC_H_

#include <member.pb.h>

#include <map>
#include <string>
#include <vector>

#include "member/store_func.h"

namespace wasabiwind::member {

/** A node that confirms with this host. */
struct ChildState {
  gen::NodeRecord m_record;
  base::TimePoint m_last_seen;
  std::uint64_t m_revision = 0;  ///< least revision in force at and below it
};

/** Nodes that confirm with this host, by name. Not thread-safe. */
struct ChildTable {
  std::map<std::string, ChildState> m_children;
  /** Control: nodes that confirm with a relay, and when it last said so. */
  std::map<std::string, base::TimePoint> m_indirect;
};

/** Everything a host needs to answer confirmations. Not thread-safe. */
struct Parent {
  ConfigLog m_config;
  MemberStore m_members;
  ChildTable m_children;
};

/** What a confirmation changed at the host that answered it. */
struct ConfirmOutcome {
  gen::ConfirmReply m_reply;
  bool m_members_changed = false;  ///< other nodes should get a notice
};

/**
 * Control leader: answers a confirmation.
 * @param age time since the leadership was last confirmed by a quorum, counted
 *        from before the question to the quorum
 * @pre the host is the leader and its term is parent->m_members.m_term
 */
ConfirmOutcome AnswerAsLeader(Parent *parent,
                              const gen::ConfirmRequest &request,
                              base::milliseconds age, base::TimePoint now,
                              const MemberOptions &options);

/**
 * Relay: answers a confirmation from its own copy. Reports of the child are
 * passed on by the caller.
 * @param age time since the relay's own confirmation
 */
gen::ConfirmReply AnswerAsRelay(Parent *parent,
                                const gen::ConfirmRequest &request,
                                base::milliseconds age, base::TimePoint now,
                                const MemberOptions &options);

/** Nodes that stopped confirming. */
struct LostMembers {
  std::vector<std::string> m_lost_nodes;
  std::vector<gen::UpstreamRecord> m_lost_upstreams;
};

/** Control leader: removes nodes that are silent, and expired records. */
LostMembers TickLeader(Parent *parent, base::TimePoint now,
                       const MemberOptions &options);

/** Relay: forgets silent children. */
void TickRelay(Parent *parent, base::TimePoint now,
               const MemberOptions &options);

/** @return the least revision in force at the children; 0 without children. */
std::uint64_t GetLeastChildRevision(const ChildTable &children);

/** Whether an accepted revision is in force at all nodes. */
struct InForceStatus {
  bool m_in_force = false;
  std::vector<std::string> m_waiting_for;  ///< nodes that haven't confirmed it
};

/**
 * A revision is in force when each known node has confirmed it, or when the
 * lease has passed since it was accepted: a node that hasn't heard of it by
 * then admits no requests.
 * @param accepted when the revision was committed, by this host's clock
 */
InForceStatus GetInForceStatus(const Parent &parent, std::uint64_t revision,
                               base::TimePoint accepted, base::TimePoint now,
                               const MemberOptions &options);

/**
 * Chooses the parent of a node in the tree: control itself while there are
 * few nodes; beyond that, relays are the first nodes of each failure domain
 * by name, and the other nodes of the domain are spread over them.
 * @return the message address of a relay, or "" for control
 */
std::string ChooseParent(const MemberStore &members,
                         const gen::NodeRecord &node,
                         const MemberOptions &options);

/** Serialized declarations of one revision, for nodes far behind. */
struct SnapshotSource {
  std::uint64_t m_revision = 0;
  std::string m_data;
};

constexpr std::size_t kSnapshotChunkBytes = 256 * 1024;

/**
 * @return the requested part; from the start if the node asks for a revision
 *         that isn't held any more
 */
gen::SnapshotChunk MakeSnapshotChunk(const SnapshotSource &source,
                                     const gen::SnapshotRequest &request);

}  // namespace wasabiwind::member

#endif  // WASABIWIND_MEMBER_PARENT_FUNC_H_
