/** @file parent.cpp Answers confirmations of nodes, on control hosts and
 * relays. */

#include <xxhash.h>

#include <algorithm>
#include <cassert>

#include "member/parent_func.h"

namespace wasabiwind::member {

namespace {

/** Updates the state of a child from its confirmation. */
void RecordChild(ChildTable *children, const gen::ConfirmRequest &request,
                 base::TimePoint now) {
  ChildState &child = children->m_children[request.node().node()];
  if (request.node().incarnation() < child.m_record.incarnation()) return;
  child.m_record = request.node();
  child.m_last_seen = now;
  child.m_revision = request.revision();
  if (request.subtree_revision() != 0) {
    child.m_revision = std::min(child.m_revision, request.subtree_revision());
  }
}

/** Adds the deltas that the node lacks. */
void AddDeltas(const Parent &parent, const gen::ConfirmRequest &request,
               const MemberOptions &options, gen::ConfirmReply *reply) {
  DeltaSelection config = SelectConfigDeltas(
      parent.m_config, request.revision(), options.m_max_reply_bytes);
  reply->set_needs_snapshot(config.m_needs_snapshot);
  for (const gen::ConfigDelta *delta : config.m_deltas) {
    *reply->add_config_deltas() = *delta;
  }
  MemberSelection members =
      SelectMemberDeltas(parent.m_members, request.member_term(),
                         request.member_sequence(), options.m_max_reply_bytes);
  for (const gen::MemberDelta *delta : members.m_deltas) {
    *reply->add_member_deltas() = *delta;
  }
  reply->set_has_more(config.m_has_more || members.m_has_more);
}

gen::ConfirmReply MakeReply(const Parent &parent,
                            const gen::ConfirmRequest &request,
                            base::milliseconds age,
                            const MemberOptions &options) {
  gen::ConfirmReply reply;
  reply.set_request_number(request.request_number());
  reply.set_revision(parent.m_config.m_revision);
  reply.set_age_ms(static_cast<std::uint64_t>(age.count()));
  reply.set_member_term(parent.m_members.m_term);
  reply.set_needs_full_report(request.member_term() != parent.m_members.m_term);
  AddDeltas(parent, request, options, &reply);
  return reply;
}

bool RecordReports(MemberStore *members, const gen::ConfirmRequest &request,
                   base::TimePoint now, const MemberOptions &options) {
  bool changed = RecordNode(members, request.node(), now, options);
  for (const gen::NodeRecord &node : request.child_nodes()) {
    changed |= RecordNode(members, node, now, options);
  }

  for (const gen::UpstreamRecord &upstream : request.upstreams()) {
    changed |= RecordUpstream(members, upstream, now, options);
  }
  return changed;
}

/** Records when a relay last listed each of its children. */
void RefreshRelayedNodes(ChildTable *children,
                         const gen::ConfirmRequest &request,
                         base::TimePoint now, const MemberOptions &options) {
  children->m_relayed_nodes.erase(request.node().node());
  for (const std::string &name : request.live_children()) {
    auto direct = children->m_children.find(name);
    if (direct != children->m_children.end()) {
      // A relay lists a node for some time after the node has left it, so a
      // node that still confirms here stays a direct child.
      if (now - direct->second.m_last_seen < 2 * options.m_confirm_period) {
        continue;
      }
      children->m_children.erase(direct);
    }
    children->m_relayed_nodes[name] = now;
  }
}

/** @return whether a node confirmed here or with a relay recently. */
bool WasSeenRecently(const ChildTable &children, const std::string &node,
                     base::TimePoint now, const MemberOptions &options) {
  auto direct = children.m_children.find(node);
  if (direct != children.m_children.end() &&
      now - direct->second.m_last_seen <= options.m_node_timeout) {
    return true;
  }
  auto relayed = children.m_relayed_nodes.find(node);
  return relayed != children.m_relayed_nodes.end() &&
         now - relayed->second <= options.m_node_timeout;
}

}  // namespace

ConfirmOutcome AnswerAsLeader(Parent *parent,
                              const gen::ConfirmRequest &request,
                              base::milliseconds age, base::TimePoint now,
                              const MemberOptions &options) {
  ConfirmOutcome outcome;
  RecordChild(&parent->m_children, request, now);
  RefreshRelayedNodes(&parent->m_children, request, now, options);
  outcome.m_members_changed =
      RecordReports(&parent->m_members, request, now, options);
  outcome.m_reply = MakeReply(*parent, request, age, options);
  outcome.m_reply.set_parent(
      ChooseParent(parent->m_members, request.node(), options));
  return outcome;
}

gen::ConfirmReply AnswerAsRelay(Parent *parent,
                                const gen::ConfirmRequest &request,
                                base::milliseconds age, base::TimePoint now,
                                const MemberOptions &options) {
  RecordChild(&parent->m_children, request, now);
  gen::ConfirmReply reply = MakeReply(*parent, request, age, options);
  reply.set_parent(ChooseParent(parent->m_members, request.node(), options));
  return reply;
}

LostMembers TickLeader(Parent *parent, base::TimePoint now,
                       const MemberOptions &options) {
  LostMembers outcome;
  ChildTable *children = &parent->m_children;
  std::vector<std::string> lost;
  for (const auto &[name, child] : children->m_children) {
    if (!WasSeenRecently(*children, name, now, options)) lost.push_back(name);
  }
  for (const auto &[name, last_listed] : children->m_relayed_nodes) {
    if (!WasSeenRecently(*children, name, now, options)) lost.push_back(name);
  }
  for (const std::string &name : lost) {
    children->m_children.erase(name);
    children->m_relayed_nodes.erase(name);
    if (!RecordNodeRemoval(&parent->m_members, name, now)) continue;
    outcome.m_lost_nodes.push_back(name);
  }
  outcome.m_lost_upstreams = ExpireMembers(&parent->m_members, now, options);
  return outcome;
}

void TickRelay(Parent *parent, base::TimePoint now,
               const MemberOptions &options) {
  std::erase_if(parent->m_children.m_children, [&](const auto &item) {
    return now - item.second.m_last_seen > options.m_node_timeout;
  });
}

std::uint64_t GetLeastChildRevision(const ChildTable &children) {
  std::uint64_t least = 0;
  for (const auto &[name, child] : children.m_children) {
    // Revision 0 means no children, so a child without configuration counts
    // as 1.
    std::uint64_t revision = std::max<std::uint64_t>(child.m_revision, 1);
    least = least == 0 ? revision : std::min(least, revision);
  }
  return least;
}

InForceStatus GetInForceStatus(const Parent &parent, std::uint64_t revision,
                               base::TimePoint accepted, base::TimePoint now,
                               const MemberOptions &options) {
  InForceStatus status;
  for (const auto &[name, child] : parent.m_children.m_children) {
    if (child.m_revision < revision) status.m_waiting_for.push_back(name);
  }
  bool lease_passed = now - accepted > options.m_lease;
  // Nodes of an earlier leader may not have found this one yet, so the list of
  // children is certainly complete only after the lease.
  status.m_in_force = lease_passed || (status.m_waiting_for.empty() &&
                                       !parent.m_children.m_children.empty());
  return status;
}

std::string ChooseParent(const MemberStore &members,
                         const gen::NodeRecord &node,
                         const MemberOptions &options) {
  std::vector<const gen::NodeRecord *> nodes = ListNodes(members);
  if (nodes.size() <= options.m_max_direct_nodes) return "";
  std::vector<const gen::NodeRecord *> relays;
  for (const gen::NodeRecord *candidate : nodes) {
    if (relays.size() == options.m_relays_per_domain) break;
    bool is_in_domain = candidate->region() == node.region() &&
                        candidate->domain() == node.domain();
    if (is_in_domain && !candidate->is_leaving()) relays.push_back(candidate);
  }
  for (const gen::NodeRecord *relay : relays) {
    if (relay->node() == node.node()) return "";
  }
  if (relays.empty()) return "";
  std::uint64_t hash = XXH3_64bits(node.node().data(), node.node().size());
  return relays[hash % relays.size()]->message_address();
}

void RefreshSnapshot(SnapshotSource *source, const ConfigLog &config,
                     const std::function<std::string()> &serialize) {
  bool is_usable =
      source->m_revision != 0 && !SelectConfigDeltas(config, source->m_revision,
                                                     /*max_bytes=*/0)
                                      .m_needs_snapshot;
  if (is_usable) return;
  *source = {config.m_revision, serialize()};
}

gen::SnapshotChunk MakeSnapshotChunk(const SnapshotSource &source,
                                     const gen::SnapshotRequest &request) {
  gen::SnapshotChunk chunk;
  bool continues = request.revision() == source.m_revision &&
                   request.offset() < source.m_data.size();
  std::size_t offset = continues ? request.offset() : 0;
  chunk.set_request_number(request.request_number());
  chunk.set_revision(source.m_revision);
  chunk.set_offset(offset);
  chunk.set_total_bytes(source.m_data.size());
  chunk.set_data(source.m_data.substr(offset, kSnapshotChunkBytes));
  return chunk;
}

}  // namespace wasabiwind::member
