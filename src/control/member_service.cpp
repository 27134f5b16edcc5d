/** @file member_service.cpp Answers confirmations of nodes on control hosts. */

#include "control/member_service.h"

#include <algorithm>
#include <utility>

#include "base/log_func.h"
#include "base/metrics_func.h"

namespace wasabiwind::control {

MemberService::MemberService(member::MemberOptions options,
                             MemberServiceHooks hooks)
    : m_options(options), m_hooks(std::move(hooks)) {}

void MemberService::ResetRevision(std::uint64_t revision) {
  member::ResetConfigLog(&m_parent.m_config, revision);
  m_acceptances.clear();
}

void MemberService::OnCommitted(const gen::ConfigDelta &delta,
                                base::TimePoint now) {
  if (!member::AppendConfigDelta(&m_parent.m_config, delta, m_options)) return;
  m_acceptances.push_back({delta.revision(), now});
  NotifyNodes();
}

void MemberService::HandleMessage(const std::string &from,
                                  const gen::MemberMessage &message,
                                  base::TimePoint now) {
  Leadership leadership = m_hooks.m_get_leadership();
  switch (message.body_case()) {
    case gen::MemberMessage::kConfirmRequest:
      if (leadership.m_is_leader && leadership.m_confirmed_at) {
        AnswerConfirm(from, message.confirm_request(), now);
      } else {
        Redirect(from, message.confirm_request(), leadership);
      }
      break;
    case gen::MemberMessage::kSnapshotRequest:
      // Followers may serve it too: the node confirms the revision afterwards.
      AnswerSnapshot(from, message.snapshot_request());
      break;
    case gen::MemberMessage::kWakeRequest:
      if (leadership.m_is_leader && m_hooks.m_on_activation_request) {
        m_hooks.m_on_activation_request(from, message.wake_request());
      }
      break;
    default:
      break;
  }
}

void MemberService::AnswerConfirm(const std::string &from,
                                  const gen::ConfirmRequest &request,
                                  base::TimePoint now) {
  Leadership leadership = m_hooks.m_get_leadership();
  if (leadership.m_term > m_parent.m_members.m_term) {
    member::BeginMemberTerm(&m_parent.m_members, leadership.m_term);
  }
  auto age =
      std::chrono::ceil<base::milliseconds>(now - *leadership.m_confirmed_at);
  member::ConfirmOutcome outcome =
      member::AnswerAsLeader(&m_parent, request, age, now, m_options);
  m_needs_notice |= outcome.m_members_changed;
  gen::MemberMessage answer;
  *answer.mutable_confirm_reply() = std::move(outcome.m_reply);
  m_hooks.m_send(from, answer);
  if (!m_hooks.m_on_upstream) return;
  for (const gen::UpstreamRecord &record : request.upstreams()) {
    const gen::UpstreamRecord *known =
        member::FindUpstream(m_parent.m_members, record.upstream());
    if (known != nullptr) m_hooks.m_on_upstream(*known);
  }
}

void MemberService::Redirect(const std::string &from,
                             const gen::ConfirmRequest &request,
                             const Leadership &leadership) {
  gen::MemberMessage answer;
  gen::ConfirmReply *reply = answer.mutable_confirm_reply();
  reply->set_request_number(request.request_number());
  reply->set_is_redirect(true);
  // A leader that isn't confirmed yet names nobody; the node asks again.
  if (!leadership.m_is_leader) reply->set_parent(leadership.m_leader_address);
  m_hooks.m_send(from, answer);
}

void MemberService::AnswerSnapshot(const std::string &from,
                                   const gen::SnapshotRequest &request) {
  if (m_parent.m_config.m_revision == 0) return;
  member::RefreshSnapshot(&m_snapshot, m_parent.m_config,
                          m_hooks.m_serialize_declarations);
  gen::MemberMessage answer;
  *answer.mutable_snapshot_chunk() =
      member::MakeSnapshotChunk(m_snapshot, request);
  m_hooks.m_send(from, answer);
}

void MemberService::NotifyNodes() {
  gen::MemberMessage message;
  message.mutable_notice()->set_revision(m_parent.m_config.m_revision);
  message.mutable_notice()->set_member_sequence(m_parent.m_members.m_sequence);
  for (const auto &[name, child] : m_parent.m_children.m_children) {
    m_hooks.m_send(child.m_record.message_address(), message);
  }
}

void MemberService::Tick(base::TimePoint now) {
  Leadership leadership = m_hooks.m_get_leadership();
  if (leadership.m_is_leader != m_was_leader) {
    m_was_leader = leadership.m_is_leader;
    m_leadership_changed_at = now;
    m_parent.m_children = {};
  }
  while (!m_acceptances.empty() &&
         now - m_acceptances.front().m_accepted_at > 2 * m_options.m_lease) {
    m_acceptances.pop_front();
  }
  if (!leadership.m_is_leader) return;
  member::LostMembers outcome = member::TickLeader(&m_parent, now, m_options);
  for (const std::string &node : outcome.m_lost_nodes) {
    base::LogEvent(base::LogLevel::kWarn, "node_lost", {{"node", node}});
    m_needs_notice = true;
  }
  for (const gen::UpstreamRecord &record : outcome.m_lost_upstreams) {
    if (m_hooks.m_on_upstream) m_hooks.m_on_upstream(record);
  }
  if (!m_needs_notice) return;
  m_needs_notice = false;
  NotifyNodes();
}

base::TimePoint MemberService::GetAcceptedTime(std::uint64_t revision) const {
  for (const Acceptance &acceptance : m_acceptances) {
    if (acceptance.m_revision == revision) return acceptance.m_accepted_at;
  }
  // Committed before this host recorded the time, so at the latest when it
  // began to lead.
  return m_leadership_changed_at;
}

member::InForceStatus MemberService::GetInForceStatus(
    std::uint64_t revision, base::TimePoint now) const {
  member::InForceStatus status = member::GetInForceStatus(
      m_parent, revision, GetAcceptedTime(revision), now, m_options);
  // Until a lease has passed, a new leader may not know all nodes that
  // confirmed with the earlier one.
  bool knows_nodes = now - m_leadership_changed_at > m_options.m_lease;
  bool lease_passed = now - GetAcceptedTime(revision) > m_options.m_lease;
  if (!knows_nodes && !lease_passed) status.m_in_force = false;
  return status;
}

std::uint64_t MemberService::GetInForceRevision(base::TimePoint now) const {
  std::uint64_t revision = m_parent.m_config.m_revision;
  if (GetInForceStatus(revision, now).m_in_force) return revision;
  // Revisions that all nodes confirmed, or since which a lease has passed.
  std::uint64_t in_force = 0;
  if (now - m_leadership_changed_at > m_options.m_lease) {
    in_force =
        m_acceptances.empty() ? revision : m_acceptances.front().m_revision - 1;
    std::uint64_t confirmed =
        member::GetLeastChildRevision(m_parent.m_children);
    in_force = std::max(in_force, std::min(confirmed, revision));
  }
  for (const Acceptance &acceptance : m_acceptances) {
    if (now - acceptance.m_accepted_at <= m_options.m_lease) break;
    in_force = std::max(in_force, acceptance.m_revision);
  }
  return in_force;
}

}  // namespace wasabiwind::control
