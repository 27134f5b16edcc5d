/** @file publisher.cpp Facts of this control host and who follows them. */

#include "fleet_control/publisher.h"

#include <utility>

#include "base/random_func.h"

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
  m_log.m_facts.erase(fleet::GetFactKey(fact));
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
  follower.m_acked_number = is_known_epoch ? request.acked_number() : 0;
  follower.m_heard_at = now;
  m_acked.notify_all();
  SendNews(from, &follower, request.wants_routes(), now);
}

void Publisher::SendNews(const std::string &to, FollowerState *follower,
                         bool wants_routes, base::TimePoint now) {
  gen::FleetMessage message;
  gen::News *news = message.mutable_news();
  fleet::FillNews(m_log, m_log.m_epoch, follower->m_acked_number,
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
    bool lacks_facts = follower.m_acked_number < m_log.m_last_number;
    bool was_sent = follower.m_sent_number >= m_log.m_last_number;
    bool is_resend_due = now >= follower.m_sent_at + kResend;
    bool lacks_header = follower.m_sent_header < m_header_number;
    bool must_send =
        lacks_header || (lacks_facts && (!was_sent || is_resend_due));
    if (must_send) SendNews(endpoint, &follower, /*wants_routes=*/false, now);
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
  }
}

void Publisher::Stop() {
  m_is_stopped = true;
  m_wake.notify_all();
  m_acked.notify_all();
}

}  // namespace wasabiwind::fleet_control
