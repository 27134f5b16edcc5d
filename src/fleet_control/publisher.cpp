/** @file publisher.cpp Publishes facts of this control host to its followers.
 */

#include "fleet_control/publisher.h"

#include <algorithm>
#include <utility>

#include "base/random_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::fleet_control {

Publisher::Publisher(Sender sender, HeaderSource header, StateSource state)
    : m_sender(std::move(sender)),
      m_header(std::move(header)),
      m_state(std::move(state)) {
  m_log.m_epoch = base::MakeSeed() | 1;
}

bool Publisher::Put(gen::Fact fact) {
  if (!fleet::PutFact(&m_log, std::move(fact))) return false;
  m_has_changes = true;
  m_change_condition.notify_one();
  return true;
}

bool Publisher::PutAgain(gen::Fact fact) {
  fleet::EraseFact(&m_log, fleet::GetFactKey(fact));
  return Put(std::move(fact));
}

void Publisher::AnnounceHeader() {
  ++m_header_number;
  m_has_changes = true;
  m_change_condition.notify_one();
}

void Publisher::HandleFollow(const std::string &from,
                             const gen::FollowRequest &request,
                             base::TimePoint now) {
  FollowerState &follower = m_followers[from];
  follower.m_kind = request.has_control() ? fleet::FollowerKind::kControl
                                          : fleet::FollowerKind::kEntry;
  follower.m_quarantine_version = request.quarantine_version();
  bool is_known_epoch = request.publisher_epoch() == m_log.m_epoch;
  RecordAcknowledged(&follower, is_known_epoch ? request.acked_number() : 0,
                     now);
  // A follower of another epoch has none of the facts that were sent.
  if (!is_known_epoch) follower.m_sent_number = 0;
  follower.m_heard_at = now;
  m_ack_condition.notify_all();
  // An acknowledgement alone needs no answer.
  bool must_answer = request.wants_routes() || !is_known_epoch ||
                     IsSendDue(follower, now) ||
                     now >= follower.m_sent_at + kMaxAnswerInterval;
  if (must_answer) SendFactUpdate(from, &follower, request.wants_routes(), now);
}

void Publisher::RecordAcknowledged(FollowerState *follower,
                                   std::uint64_t number, base::TimePoint now) {
  if (number > follower->m_acked_number) {
    follower->m_progress_at = now;
    follower->m_resend_delay = kResendDelay;
  }
  follower->m_acked_number = number;
  follower->m_sent_number = std::max(follower->m_sent_number, number);
}

/**
 * Facts in flight aren't resent before the resend delay has passed; a resend
 * doubles the delay.
 * @return the number after which facts are sent now
 */
std::uint64_t Publisher::ChooseFirstNumber(FollowerState *follower,
                                           base::TimePoint now) {
  bool is_outstanding = follower->m_sent_number > follower->m_acked_number;
  if (!is_outstanding) {
    follower->m_progress_at = now;
    return follower->m_acked_number;
  }
  if (now < follower->m_progress_at + follower->m_resend_delay) {
    return follower->m_sent_number;
  }
  follower->m_progress_at = now;
  follower->m_resend_delay =
      std::min(kMaxResendDelay, follower->m_resend_delay * 2);
  return follower->m_acked_number;
}

bool Publisher::IsSendDue(const FollowerState &follower,
                          base::TimePoint now) const {
  if (follower.m_sent_header_number < m_header_number) return true;
  if (follower.m_acked_number >= m_log.m_last_number) return false;
  return follower.m_sent_number < m_log.m_last_number ||
         now >= follower.m_progress_at + follower.m_resend_delay;
}

void Publisher::SendFactUpdate(const std::string &to, FollowerState *follower,
                               bool wants_routes, base::TimePoint now) {
  gen::FleetMessage message;
  gen::FactUpdate *update = message.mutable_news();
  fleet::FillFactUpdate(m_log, m_log.m_epoch, ChooseFirstNumber(follower, now),
                        follower->m_kind, update);
  FactUpdateHeader header = m_header();
  update->set_routes_version(header.m_routes_version);
  update->set_leader_term(header.m_leader_term);
  update->set_leader_endpoint(header.m_leader_endpoint);
  const gen::StoredRouteTable &state = m_state();
  if (wants_routes) *update->mutable_routes() = state.table();
  if (state.quarantine().version() > follower->m_quarantine_version) {
    *update->mutable_quarantine() = state.quarantine();
  }
  follower->m_sent_number = update->last_number();
  follower->m_sent_header_number = m_header_number;
  follower->m_sent_at = now;
  m_sender(to, message);
}

void Publisher::PushAll(base::TimePoint now) {
  std::erase_if(m_followers, [now](const auto &item) {
    return now > item.second.m_heard_at + kFollowerRetention;
  });
  for (auto &[endpoint, follower] : m_followers) {
    if (now > follower.m_heard_at + kPushDuration) continue;
    if (IsSendDue(follower, now)) {
      SendFactUpdate(endpoint, &follower, /*wants_routes=*/false, now);
    }
  }
}

bool Publisher::HaveAllAcknowledged(std::uint64_t number,
                                    base::TimePoint now) const {
  for (const auto &[endpoint, follower] : m_followers) {
    bool is_live = now < follower.m_heard_at + kFollowerTimeout;
    if (is_live && follower.m_acked_number < number) return false;
  }
  return true;
}

bool Publisher::WaitForFollowers(base::TimePoint deadline) {
  std::uint64_t number = m_log.m_last_number;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  return m_ack_condition.wait_until(lock, deadline, [&] {
    return m_is_stopped || HaveAllAcknowledged(number, base::Clock::now());
  });
}

void Publisher::Run() {
  while (!m_is_stopped) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_change_condition.wait_until(
          lock, base::Clock::now() + kTickPeriod,
          [this] { return m_has_changes || m_is_stopped; });
    }
    m_has_changes = false;
    PushAll(base::Clock::now());
    // Changes during the pause are sent in one message.
    if (!m_is_stopped) net::SleepFor(GetPushPause());
  }
}

base::milliseconds Publisher::GetPushPause() const {
  return std::min(kMaxPushPause,
                  kPushPausePerFollower * static_cast<int>(m_followers.size()));
}

void Publisher::Stop() {
  m_is_stopped = true;
  m_change_condition.notify_all();
  m_ack_condition.notify_all();
}

}  // namespace wasabiwind::fleet_control
