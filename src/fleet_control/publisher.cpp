/** @file publisher.cpp Publishes facts of this control host to its followers.
 */

#include "fleet_control/publisher.h"

#include <algorithm>
#include <utility>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/random_func.h"

namespace wasabiwind::fleet_control {

namespace {

void ReportUnreadableFact() {
  static prometheus::Counter &unreadable =
      base::GetCounter("ww_facts_unreadable_total",
                       "Facts not published because their text isn't UTF-8");
  unreadable.Increment();
  base::LogEvent(base::LogLevel::kWarn, "fact_unreadable",
                 {{"total", static_cast<std::uint64_t>(unreadable.Value())}});
}

}  // namespace

Publisher::Publisher(Hooks hooks) : m_hooks(std::move(hooks)) {
  m_log.m_epoch = base::MakeSeed() | 1;
}

bool Publisher::Put(gen::Fact fact) {
  std::uint64_t unreadable_before = m_log.m_unreadable_count;
  bool is_changed = fleet::PutFact(&m_log, std::move(fact));
  if (m_log.m_unreadable_count != unreadable_before) ReportUnreadableFact();
  if (!is_changed) return false;
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
  m_is_urgent = true;
  m_change_condition.notify_one();
}

std::uint64_t Publisher::DemandAcknowledgement() {
  m_demanded_number = m_log.m_last_number;
  m_has_changes = true;
  m_is_urgent = true;
  m_change_condition.notify_one();
  return m_demanded_number;
}

void Publisher::HandleFollow(const std::string &from,
                             const gen::FollowRequest &request,
                             base::TimePoint now) {
  if (request.wants_routes() || request.wants_routes_only()) SendRoutes(from);
  if (request.wants_routes_only()) return;
  if (request.stops_following()) {
    m_followers.erase(from);
    m_ack_condition.notify_all();
    if (m_hooks.m_on_acknowledged) m_hooks.m_on_acknowledged(now);
    return;
  }
  FollowerState &follower = m_followers[from];
  follower.m_audience.m_kind = request.has_control()
                                   ? fleet::FollowerKind::kControl
                                   : fleet::FollowerKind::kEntry;
  follower.m_audience.m_region = request.entry().region();
  follower.m_quarantine_version = request.quarantine_version();
  bool is_known_epoch = request.publisher_epoch() == m_log.m_epoch;
  RecordAcknowledged(&follower, request, is_known_epoch, now);
  // A follower of another epoch has none of the facts that were sent.
  if (!is_known_epoch) follower.m_sent_number = 0;
  follower.m_heard_at = now;
  m_ack_condition.notify_all();
  if (m_hooks.m_on_acknowledged) m_hooks.m_on_acknowledged(now);
  // An acknowledgement alone needs no answer.
  bool may_resend = IsResendDue(follower, now);
  bool must_answer = !is_known_epoch || may_resend ||
                     IsPushDue(follower, now) ||
                     now >= follower.m_sent_at + kMaxAnswerInterval;
  if (must_answer) SendFactUpdate(from, &follower, may_resend, now);
}

void Publisher::RecordAcknowledged(FollowerState *follower,
                                   const gen::FollowRequest &request,
                                   bool is_known_epoch, base::TimePoint now) {
  std::uint64_t number = is_known_epoch ? request.acked_number() : 0;
  if (number > follower->m_acked_number) {
    follower->m_progress_at = now;
    follower->m_resend_delay = kResendDelay;
    follower->m_bytes_in_flight = 0;
  }
  follower->m_acked_number = number;
  follower->m_settled_number = is_known_epoch ? request.settled_number() : 0;
  follower->m_sent_number = std::max(follower->m_sent_number, number);
}

/**
 * Facts in flight aren't resent before the resend delay has passed; a resend
 * doubles the delay.
 * @return the number after which facts are sent now
 */
std::uint64_t Publisher::ChooseFirstNumber(FollowerState *follower,
                                           bool may_resend,
                                           base::TimePoint now) {
  bool is_outstanding = follower->m_sent_number > follower->m_acked_number;
  if (!is_outstanding) {
    follower->m_progress_at = now;
    return follower->m_acked_number;
  }
  if (!may_resend) return follower->m_sent_number;
  follower->m_progress_at = now;
  follower->m_resend_delay =
      std::min(kMaxResendDelay, follower->m_resend_delay * 2);
  follower->m_bytes_in_flight = 0;
  return follower->m_acked_number;
}

std::uint64_t Publisher::GetConfirmedNumber(const FollowerState &follower) {
  return follower.m_audience.m_kind == fleet::FollowerKind::kControl
             ? follower.m_settled_number
             : follower.m_acked_number;
}

/** @return whether a follower has to acknowledge facts at once. */
bool Publisher::IsDemanded(const FollowerState &follower) const {
  return GetConfirmedNumber(follower) < m_demanded_number;
}

bool Publisher::IsResendDue(const FollowerState &follower,
                            base::TimePoint now) const {
  return follower.m_sent_number > follower.m_acked_number &&
         now >= follower.m_progress_at + follower.m_resend_delay;
}

bool Publisher::IsPushDue(const FollowerState &follower,
                          base::TimePoint now) const {
  if (follower.m_sent_header_number < m_header_number) return true;
  if (IsDemanded(follower)) {
    if (follower.m_demanded_number < m_demanded_number) return true;
    if (IsResendDue(follower, now)) return true;
  }
  return follower.m_sent_number < m_log.m_last_number &&
         follower.m_bytes_in_flight < kMaxBytesInFlight;
}

/** Drops encoded updates that no longer state what would be sent. */
void Publisher::DropOutdatedUpdates() {
  FactUpdateHeader header = m_hooks.m_get_header();
  bool is_current = m_encoded_last_number == m_log.m_last_number &&
                    m_encoded_header_number == m_header_number &&
                    m_encoded_header == header &&
                    m_encoded_updates.size() < kMaxEncodedUpdates;
  if (is_current) return;
  m_encoded_updates.clear();
  m_encoded_last_number = m_log.m_last_number;
  m_encoded_header_number = m_header_number;
  m_encoded_header = std::move(header);
}

std::string Publisher::EncodeUpdate(gen::FactUpdate update) const {
  update.set_publisher_epoch(m_log.m_epoch);
  update.set_routes_version(m_encoded_header.m_routes_version);
  update.set_newest_routes_version(m_encoded_header.m_newest_routes_version);
  update.set_leader_term(m_encoded_header.m_leader_term);
  update.set_leader_endpoint(m_encoded_header.m_leader_endpoint);
  gen::FleetMessage message;
  *message.mutable_news() = std::move(update);
  return m_hooks.m_encode(message);
}

const Publisher::EncodedUpdate &Publisher::Encode(const UpdateKey &key) {
  auto [found, is_new] = m_encoded_updates.try_emplace(key);
  if (!is_new) return found->second;
  gen::FactUpdate update;
  fleet::FillFactUpdate(m_log, m_log.m_epoch, key.m_first_number,
                        key.m_audience, &update);
  if (key.m_wants_quarantine) {
    *update.mutable_quarantine() = m_hooks.m_get_state().quarantine();
  }
  // The rest of a list that was cut is sent after the acknowledgement.
  bool is_cut = update.last_number() < m_log.m_last_number;
  update.set_must_acknowledge(key.m_must_acknowledge || is_cut);
  found->second.m_last_number = update.last_number();
  found->second.m_message = EncodeUpdate(std::move(update));
  return found->second;
}

void Publisher::SendFactUpdate(const std::string &to, FollowerState *follower,
                               bool may_resend, base::TimePoint now) {
  DropOutdatedUpdates();
  UpdateKey key;
  key.m_audience = follower->m_audience;
  key.m_first_number = ChooseFirstNumber(follower, may_resend, now);
  // Control hosts take the quarantine from the replicated log.
  key.m_wants_quarantine =
      follower->m_audience.m_kind == fleet::FollowerKind::kEntry &&
      m_hooks.m_get_state().quarantine().version() >
          follower->m_quarantine_version;
  key.m_must_acknowledge = IsDemanded(*follower) ||
                           follower->m_bytes_in_flight >= kMaxBytesInFlight / 2;
  const EncodedUpdate &update = Encode(key);
  follower->m_sent_number = update.m_last_number;
  follower->m_sent_header_number = m_header_number;
  follower->m_demanded_number = m_demanded_number;
  follower->m_sent_at = now;
  if (update.m_last_number > key.m_first_number) {
    follower->m_bytes_in_flight += update.m_message.size();
  }
  m_hooks.m_send(to, update.m_message);
}

/** Sends the route table alone, so that one encoding serves all followers. */
void Publisher::SendRoutes(const std::string &to) {
  DropOutdatedUpdates();
  const gen::RouteTable &routes = m_hooks.m_get_state().table();
  if (m_encoded_routes.empty() ||
      m_encoded_routes_version != routes.version()) {
    gen::FactUpdate update;
    *update.mutable_routes() = routes;
    m_encoded_routes = EncodeUpdate(std::move(update));
    m_encoded_routes_version = routes.version();
  }
  m_hooks.m_send(to, m_encoded_routes);
}

void Publisher::PushDue(base::TimePoint now) {
  m_has_changes = false;
  m_is_urgent = false;
  std::erase_if(m_followers, [now](const auto &item) {
    return now > item.second.m_heard_at + kFollowerRetention;
  });
  for (auto &[endpoint, follower] : m_followers) {
    if (now > follower.m_heard_at + kPushDuration) continue;
    if (IsPushDue(follower, now)) {
      SendFactUpdate(endpoint, &follower,
                     IsDemanded(follower) && IsResendDue(follower, now), now);
    }
  }
}

bool Publisher::HaveAllAcknowledged(std::uint64_t number,
                                    base::TimePoint now) const {
  return std::all_of(
      m_followers.begin(), m_followers.end(), [number, now](const auto &item) {
        const FollowerState &follower = item.second;
        bool is_live = now < follower.m_heard_at + kFollowerTimeout;
        return !is_live || GetConfirmedNumber(follower) >= number;
      });
}

bool Publisher::WaitForFollowers(base::TimePoint deadline) {
  std::uint64_t number = DemandAcknowledgement();
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
    PushDue(base::Clock::now());
    WaitForPushPause();
  }
}

/** Waits so that changes of some time are sent in one message. An urgent change
 * ends the wait. */
void Publisher::WaitForPushPause() {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_change_condition.wait_until(lock, base::Clock::now() + GetPushPause(),
                                [this] { return m_is_urgent || m_is_stopped; });
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
