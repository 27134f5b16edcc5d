/** @file follower.cpp Keeps a node's configuration and members up to date. */

#include <algorithm>
#include <cassert>
#include <utility>

#include "member/follower_func.h"

namespace wasabiwind::member {

namespace {

/** Adds a record, or replaces an older one of the same upstream. */
void MergeReport(std::vector<gen::UpstreamRecord> *reports,
                 const gen::UpstreamRecord &record) {
  for (gen::UpstreamRecord &known : *reports) {
    if (known.upstream() != record.upstream()) continue;
    if (IsNewerUpstream(known, record)) known = record;
    return;
  }
  reports->push_back(record);
}

/** Moves reports to those that are sent, as many as one message may carry; at
 * least one is sent. The rest follows with the next confirmation, which is
 * requested as soon as this one is answered. */
void MoveReportsToSent(Follower *follower) {
  std::size_t bytes = 0;
  for (const gen::UpstreamRecord &record : follower->m_sent_reports) {
    bytes += record.ByteSizeLong();
  }
  auto next = follower->m_reports.begin();
  for (; next != follower->m_reports.end(); ++next) {
    bytes += next->ByteSizeLong();
    bool is_full = bytes > kMaxConfirmReportBytes;
    if (is_full && !follower->m_sent_reports.empty()) break;
    MergeReport(&follower->m_sent_reports, *next);
  }
  follower->m_reports.erase(follower->m_reports.begin(), next);
}

gen::ConfirmRequest MakeConfirmRequest(
    Follower *follower, const std::vector<gen::UpstreamRecord> &announced) {
  gen::ConfirmRequest request;
  request.set_request_number(follower->m_next_number++);
  *request.mutable_node() = follower->m_node;
  request.set_revision(follower->m_parent.m_config.m_revision);
  request.set_member_term(follower->m_parent.m_members.m_term);
  request.set_member_sequence(follower->m_parent.m_members.m_sequence);
  request.set_subtree_revision(
      GetLeastChildRevision(follower->m_parent.m_children));
  request.set_is_full_report(follower->m_needs_full_report);
  if (follower->m_needs_full_report) {
    for (const gen::UpstreamRecord &record : announced) {
      MergeReport(&follower->m_reports, record);
    }
    follower->m_changed_children.clear();
    for (const auto &[name, child] : follower->m_parent.m_children.m_children) {
      follower->m_changed_children.push_back(child.m_record);
    }
    follower->m_needs_full_report = false;
  }
  MoveReportsToSent(follower);
  for (const gen::UpstreamRecord &record : follower->m_sent_reports) {
    *request.add_upstreams() = record;
  }
  for (const gen::NodeRecord &node : follower->m_changed_children) {
    *request.add_child_nodes() = node;
  }
  for (const auto &[name, child] : follower->m_parent.m_children.m_children) {
    request.add_live_children(name);
  }
  return request;
}

/** Switches to another parent after a failed confirmation. */
void ChangeParent(Follower *follower, base::TimePoint now,
                  const MemberOptions &options) {
  if (!follower->m_relay_address.empty()) {
    follower->m_relay_address.clear();
    follower->m_relay_retry_at = now + options.m_node_timeout;
    return;
  }
  if (!follower->m_redirect_address.empty()) {
    follower->m_redirect_address.clear();
    return;
  }
  follower->m_control_index =
      (follower->m_control_index + 1) % follower->m_controls.size();
}

gen::MemberMessage MakeSnapshotRequest(Follower *follower,
                                       base::TimePoint now) {
  PendingSnapshot &snapshot = follower->m_snapshot;
  snapshot.m_number = follower->m_next_number++;
  snapshot.m_requested_at = now;
  gen::MemberMessage message;
  gen::SnapshotRequest *request = message.mutable_snapshot_request();
  request->set_request_number(snapshot.m_number);
  request->set_revision(snapshot.m_revision);
  request->set_offset(snapshot.m_data.size());
  return message;
}

void FollowRedirect(Follower *follower, const gen::ConfirmReply &reply,
                    base::TimePoint now, const MemberOptions &options) {
  if (reply.parent().empty() || reply.parent() == GetParentAddress(*follower)) {
    // That host knows no leader. The next confirmation waits for its regular
    // period, which avoids a busy loop.
    ChangeParent(follower, now, options);
    return;
  }
  follower->m_redirect_address = reply.parent();
  RequestConfirm(follower, now);
}

void ApplyMembers(Follower *follower, const gen::ConfirmReply &reply,
                  base::TimePoint now, FollowerEffects *effects) {
  MemberStore *members = &follower->m_parent.m_members;
  if (reply.member_term() < members->m_term) return;
  if (reply.member_term() > members->m_term) {
    BeginMemberTerm(members, reply.member_term());
    follower->m_needs_full_report = true;
  }
  for (const gen::MemberDelta &delta : reply.member_deltas()) {
    if (!ApplyMemberDelta(members, reply.member_term(), delta, now)) continue;
    effects->m_members_changed = true;
    if (delta.has_upstream()) effects->m_upstreams.push_back(delta.upstream());
  }
}

/** Applies consecutive deltas. @return whether the node is up to date */
bool ApplyConfig(Follower *follower, const gen::ConfirmReply &reply,
                 const MemberOptions &options, FollowerEffects *effects) {
  ConfigLog *config = &follower->m_parent.m_config;
  for (const gen::ConfigDelta &delta : reply.config_deltas()) {
    if (!AppendConfigDelta(config, delta, options)) continue;
    effects->m_config.push_back(delta);
  }
  return config->m_revision == reply.revision();
}

/**
 * Uses the parent that the reply names, unless a relay failed recently. A relay
 * names another parent after the set of nodes has changed.
 */
void AcceptRelay(Follower *follower, const gen::ConfirmReply &reply,
                 base::TimePoint now) {
  if (now < follower->m_relay_retry_at && !reply.parent().empty()) return;
  follower->m_relay_address = reply.parent();
}

}  // namespace

void InitializeFollower(Follower *follower, const gen::NodeRecord &node,
                        std::vector<std::string> controls,
                        base::TimePoint now) {
  assert(!controls.empty());
  follower->m_node = node;
  follower->m_controls = std::move(controls);
  follower->m_next_confirm = now;
}

bool IsFollowerFresh(const Follower &follower, base::TimePoint now,
                     const MemberOptions &options) {
  return follower.m_confirmed_at.has_value() &&
         now - *follower.m_confirmed_at < options.m_lease;
}

std::optional<base::milliseconds> GetConfirmAge(const Follower &follower,
                                                base::TimePoint now) {
  if (!follower.m_confirmed_at) return std::nullopt;
  // Rounded up, so that a chain of relays never understates the age.
  return std::chrono::ceil<base::milliseconds>(now - *follower.m_confirmed_at);
}

const std::string &GetParentAddress(const Follower &follower) {
  if (!follower.m_relay_address.empty()) return follower.m_relay_address;
  return GetLeaderAddress(follower);
}

const std::string &GetLeaderAddress(const Follower &follower) {
  if (!follower.m_redirect_address.empty()) return follower.m_redirect_address;
  return follower.m_controls[follower.m_control_index];
}

std::vector<OutgoingMessage> TickFollower(
    Follower *follower, const std::vector<gen::UpstreamRecord> &announced,
    base::TimePoint now, const MemberOptions &options) {
  std::vector<OutgoingMessage> messages;
  bool is_waiting = follower->m_pending.m_number != 0;
  if (is_waiting &&
      now - follower->m_pending.m_sent >= options.m_confirm_timeout) {
    follower->m_pending = {};
    ChangeParent(follower, now, options);
    follower->m_next_confirm = now;
    is_waiting = false;
  }
  if (!is_waiting && now >= follower->m_next_confirm) {
    gen::MemberMessage message;
    *message.mutable_confirm_request() =
        MakeConfirmRequest(follower, announced);
    follower->m_pending = {message.confirm_request().request_number(), now};
    follower->m_next_confirm = now + options.m_confirm_period;
    messages.push_back({GetParentAddress(*follower), std::move(message)});
  }
  PendingSnapshot &snapshot = follower->m_snapshot;
  if (snapshot.m_active &&
      now - snapshot.m_requested_at >= options.m_confirm_timeout) {
    messages.push_back(
        {GetParentAddress(*follower), MakeSnapshotRequest(follower, now)});
  }
  return messages;
}

void RequestConfirm(Follower *follower, base::TimePoint now) {
  follower->m_next_confirm = std::min(follower->m_next_confirm, now);
}

void QueueReport(Follower *follower, const gen::UpstreamRecord &record,
                 base::TimePoint now) {
  MergeReport(&follower->m_reports, record);
  RequestConfirm(follower, now);
}

FollowerEffects HandleConfirmReply(Follower *follower,
                                   const gen::ConfirmReply &reply,
                                   base::TimePoint now,
                                   const MemberOptions &options) {
  FollowerEffects effects;
  if (follower->m_pending.m_number == 0 ||
      reply.request_number() != follower->m_pending.m_number) {
    return effects;
  }
  base::TimePoint sent = follower->m_pending.m_sent;
  follower->m_pending = {};
  if (reply.is_redirect()) {
    FollowRedirect(follower, reply, now, options);
    return effects;
  }
  if (reply.revision() < follower->m_parent.m_config.m_revision) {
    // An accepted configuration is never reverted, so the answering host is
    // behind; the next confirmation goes to another host.
    ++follower->m_stale_replies;
    ChangeParent(follower, now, options);
    return effects;
  }
  follower->m_sent_reports.clear();
  follower->m_changed_children.clear();

  ApplyMembers(follower, reply, now, &effects);
  bool is_current = ApplyConfig(follower, reply, options, &effects);
  base::TimePoint confirmed = sent - base::milliseconds(reply.age_ms());
  if (is_current) {
    follower->m_confirmed_at =
        std::max(confirmed, follower->m_confirmed_at.value_or(confirmed));
  }
  if (reply.needs_full_report()) follower->m_needs_full_report = true;
  if (reply.needs_snapshot() && !follower->m_snapshot.m_active) {
    follower->m_snapshot = {};
    follower->m_snapshot.m_active = true;
    effects.m_messages.push_back(
        {GetParentAddress(*follower), MakeSnapshotRequest(follower, now)});
  }
  bool relay_is_stale =
      !follower->m_relay_address.empty() &&
      base::milliseconds(reply.age_ms()) * 2 > options.m_lease;
  if (relay_is_stale) ChangeParent(follower, now, options);
  AcceptRelay(follower, reply, now);
  if (reply.has_more() || follower->m_needs_full_report || relay_is_stale ||
      !follower->m_reports.empty()) {
    RequestConfirm(follower, now);
  }
  return effects;
}

FollowerEffects HandleSnapshotChunk(Follower *follower,
                                    const gen::SnapshotChunk &chunk,
                                    base::TimePoint now) {
  FollowerEffects effects;
  PendingSnapshot &snapshot = follower->m_snapshot;
  if (!snapshot.m_active || chunk.request_number() != snapshot.m_number) {
    return effects;
  }
  if (chunk.revision() != snapshot.m_revision) {
    snapshot.m_revision = chunk.revision();
    snapshot.m_data.clear();
  }
  if (chunk.offset() != snapshot.m_data.size()) snapshot.m_data.clear();
  if (chunk.offset() == snapshot.m_data.size()) {
    snapshot.m_data += chunk.data();
    snapshot.m_total_bytes = chunk.total_bytes();
  }
  if (snapshot.m_data.size() < snapshot.m_total_bytes) {
    effects.m_messages.push_back(
        {GetParentAddress(*follower), MakeSnapshotRequest(follower, now)});
    return effects;
  }
  gen::Declarations declarations;
  bool is_usable =
      snapshot.m_revision > follower->m_parent.m_config.m_revision &&
      declarations.ParseFromString(snapshot.m_data);
  if (is_usable) {
    effects.m_snapshot = std::move(declarations);
    effects.m_snapshot_revision = snapshot.m_revision;
    ResetConfigLog(&follower->m_parent.m_config, snapshot.m_revision);
  }
  snapshot = {};
  RequestConfirm(follower, now);
  return effects;
}

void QueueChildReports(Follower *follower, const gen::ConfirmRequest &request,
                       base::TimePoint now) {
  for (const gen::UpstreamRecord &record : request.upstreams()) {
    QueueReport(follower, record, now);
  }
  const gen::NodeRecord *known =
      FindNode(follower->m_parent.m_members, request.node().node());
  bool is_known = known != nullptr && known->SerializeAsString() ==
                                          request.node().SerializeAsString();
  if (is_known) return;
  for (gen::NodeRecord &queued : follower->m_changed_children) {
    if (queued.node() != request.node().node()) continue;
    queued = request.node();
    return;
  }
  follower->m_changed_children.push_back(request.node());
  RequestConfirm(follower, now);
}

}  // namespace wasabiwind::member
