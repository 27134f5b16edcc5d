/** @file publisher.cpp Facts of this control host and who follows them. */

#include "fleet_control/publisher.h"

#include <algorithm>
#include <utility>

#include "base/random_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::fleet_control {

Publisher::Publisher(Sender sender, HeaderSource header, TableSource table)
    : m_sender(std::move(sender)),
      m_header(std::move(header)),
      m_table(std::move(table)) {
  m_log.m_epoch = base::MakeSeed() | 1;
}

bool Publisher::Put(gen::Fact fact) {
  if (!fleet::PutFact(&m_log, std::move(fact))) return false;
  m_is_dirty = true;
  m_wake.notify_one();
  return true;
}

bool Publisher::PutAgain(gen::Fact fact) {
  fleet::EraseFact(&m_log, fleet::GetFactKey(fact));
  return Put(std::move(fact));
}

void Publisher::AnnounceHeader() {
  ++m_header_number;
  m_is_dirty = true;
  m_wake.notify_one();
}

void Publisher::HandleFollow(const std::string &from,
                             const gen::FollowRequest &request,
                             base::TimePoint now) {
  FollowerState &follower = m_followers[from];
  follower.m_kind = request.has_control() ? fleet::FollowerKind::kControl
                                          : fleet::FollowerKind::kEntry;
  bool is_known_epoch = request.publisher_epoch() == m_log.m_epoch;
  RecordAcknowledged(&follower, is_known_epoch ? request.acked_number() : 0,
                     now);
  // A follower that doesn't know this publisher has lost what was sent.
  if (!is_known_epoch) follower.m_sent_number = 0;
  follower.m_heard_at = now;
  m_acked.notify_all();
  // An acknowledgement alone needs no answer.
  bool must_answer = request.wants_routes() || !is_known_epoch ||
                     IsSendDue(follower, now) ||
                     now >= follower.m_sent_at + kLeastAnswerPeriod;
  if (must_answer) SendNews(from, &follower, request.wants_routes(), now);
}

void Publisher::RecordAcknowledged(FollowerState *follower,
                                   std::uint64_t number, base::TimePoint now) {
  if (number > follower->m_acked_number) {
    follower->m_progress_at = now;
    follower->m_resend_pause = kResend;
  }
  follower->m_acked_number = number;
  follower->m_sent_number = std::max(follower->m_sent_number, number);
}

/**
 * @return the number after which facts are sent now: what is on its way isn't
 *         sent again before its time
 */
std::uint64_t Publisher::ChooseFirst(FollowerState *follower,
                                     base::TimePoint now) {
  bool is_outstanding = follower->m_sent_number > follower->m_acked_number;
  if (!is_outstanding) {
    follower->m_progress_at = now;
    return follower->m_acked_number;
  }
  if (now < follower->m_progress_at + follower->m_resend_pause) {
    return follower->m_sent_number;
  }
  follower->m_progress_at = now;
  follower->m_resend_pause =
      std::min(kMostResend, follower->m_resend_pause * 2);
  return follower->m_acked_number;
}

bool Publisher::IsSendDue(const FollowerState &follower,
                          base::TimePoint now) const {
  if (follower.m_sent_header < m_header_number) return true;
  if (follower.m_acked_number >= m_log.m_last_number) return false;
  return follower.m_sent_number < m_log.m_last_number ||
         now >= follower.m_progress_at + follower.m_resend_pause;
}

void Publisher::SendNews(const std::string &to, FollowerState *follower,
                         bool wants_routes, base::TimePoint now) {
  gen::FleetMessage message;
  gen::FactUpdate *news = message.mutable_news();
  fleet::FillFactUpdate(m_log, m_log.m_epoch, ChooseFirst(follower, now),
                        follower->m_kind, news);
  NewsHeader header = m_header();
  news->set_routes_version(header.m_routes_version);
  news->set_leader_term(header.m_leader_term);
  news->set_leader_endpoint(header.m_leader_endpoint);
  if (wants_routes) *news->mutable_routes() = m_table();
  follower->m_sent_number = news->last_number();
  follower->m_sent_header = m_header_number;
  follower->m_sent_at = now;
  m_sender(to, message);
}

void Publisher::PushAll(base::TimePoint now) {
  std::erase_if(m_followers, [now](const auto &item) {
    return now > item.second.m_heard_at + kForgetFollower;
  });
  for (auto &[endpoint, follower] : m_followers) {
    if (now > follower.m_heard_at + kPushLifetime) continue;
    if (IsSendDue(follower, now)) {
      SendNews(endpoint, &follower, /*wants_routes=*/false, now);
    }
  }
}

bool Publisher::HaveAll(std::uint64_t number, base::TimePoint now) const {
  for (const auto &[endpoint, follower] : m_followers) {
    bool is_in_touch = now < follower.m_heard_at + kInTouch;
    if (is_in_touch && follower.m_acked_number < number) return false;
  }
  return true;
}

bool Publisher::WaitForFollowers(base::TimePoint deadline) {
  std::uint64_t number = m_log.m_last_number;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  return m_acked.wait_until(lock, deadline, [&] {
    return m_is_stopped || HaveAll(number, base::Clock::now());
  });
}

void Publisher::Run() {
  while (!m_is_stopped) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_wake.wait_until(lock, base::Clock::now() + kTick,
                        [this] { return m_is_dirty || m_is_stopped; });
    }
    m_is_dirty = false;
    PushAll(base::Clock::now());
    // Changes that come meanwhile travel together.
    if (!m_is_stopped) net::SleepFor(GetPushPause());
  }
}

base::milliseconds Publisher::GetPushPause() const {
  return std::min(kMostPushPause,
                  kPausePerFollower * static_cast<int>(m_followers.size()));
}

void Publisher::Stop() {
  m_is_stopped = true;
  m_wake.notify_all();
  m_acked.notify_all();
}

}  // namespace wasabiwind::fleet_control
