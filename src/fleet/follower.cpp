/** @file follower.cpp Client side of the facts that control hosts publish. */

#include "fleet/follower_func.h"

namespace wasabiwind::fleet {

namespace {

OutMessage MakeRequest(Follower *follower, const std::string &publisher,
                       bool wants_routes, base::TimePoint now) {
  OutMessage out;
  out.m_to = publisher;
  gen::FollowRequest *request = out.m_message.mutable_follow();
  *request = follower->m_self;
  auto known = follower->m_view.m_publishers.find(publisher);
  if (known != follower->m_view.m_publishers.end()) {
    request->set_publisher_epoch(known->second.m_epoch);
    request->set_acked_number(known->second.m_acked_number);
  }
  request->set_routes_version(follower->m_routes_version);
  request->set_quarantine_version(follower->m_quarantine_version);
  request->set_wants_routes(wants_routes);
  follower->m_asked_at[publisher] = now;
  return out;
}

/** Removes control hosts whose last message is older than kPublisherRetention.
 * Hosts that have never sent one are kept. */
void ForgetSilentPublishers(Follower *follower, base::TimePoint now) {
  FleetView &view = follower->m_view;
  absl::erase_if(view.m_control_hosts, [&](const auto &item) {
    auto found = view.m_publishers.find(item.second.endpoint());
    return found != view.m_publishers.end() &&
           now > found->second.m_heard_at + kPublisherRetention;
  });
}

/** @return whether a publisher is in a near failure domain. */
bool IsNear(const Follower &follower, const std::string &publisher) {
  for (const auto &[name, control] : follower.m_view.m_control_hosts) {
    if (control.endpoint() != publisher) continue;
    return follower.m_near_domains.contains(control.domain());
  }
  return false;
}

/** @return whether a publisher in a near failure domain was heard recently. */
bool HasNearPublisher(const Follower &follower, base::TimePoint now) {
  for (const auto &[name, control] : follower.m_view.m_control_hosts) {
    if (!follower.m_near_domains.contains(control.domain())) continue;
    auto found = follower.m_view.m_publishers.find(control.endpoint());
    bool is_heard = found != follower.m_view.m_publishers.end() &&
                    now < found->second.m_heard_at + 2 * kFollowPeriod;
    if (is_heard) return true;
  }
  return false;
}

void RecordAnnouncement(Follower *follower, std::uint64_t announced,
                        base::TimePoint now) {
  if (announced <= follower->m_announced_version) return;
  follower->m_announced_version = announced;
  if (follower->m_outdated_since == base::TimePoint()) {
    follower->m_outdated_since = now;
  }
}

/** Moves to a received table. @pre it is newer than the current one */
void AdoptRoutes(Follower *follower, const gen::RouteTable &routes,
                 FactUpdateResult *result, base::TimePoint now) {
  follower->m_routes_version = routes.version();
  result->m_routes = routes;
  result->m_routes_request_count = follower->m_routes_request_count;
  if (follower->m_outdated_since != base::TimePoint()) {
    result->m_outdated_time = now - follower->m_outdated_since;
  }
  bool is_newest = routes.version() >= follower->m_announced_version;
  follower->m_outdated_since = is_newest ? base::TimePoint() : now;
  follower->m_routes_request_count = 0;
}

/**
 * Decides whether to ask a publisher for the table that it announces. Tables
 * are large and traffic between regions is charged, so a host that has a table
 * waits for a near publisher first. A host without a table asks at once.
 */
bool WantsRoutes(const Follower &follower, const std::string &publisher,
                 std::uint64_t announced, base::TimePoint now) {
  if (announced <= follower.m_routes_version) return false;
  if (now < follower.m_routes_asked_at + kRoutesRetryDelay) return false;
  bool must_wait = follower.m_routes_version != 0 &&
                   now < follower.m_outdated_since + kNearRoutesWait &&
                   !IsNear(follower, publisher) &&
                   HasNearPublisher(follower, now);
  return !must_wait;
}

}  // namespace

std::set<std::string> ListPublishers(const Follower &follower) {
  std::set<std::string> publishers = follower.m_seeds;
  for (const auto &[name, control] : follower.m_view.m_control_hosts) {
    publishers.insert(control.endpoint());
  }
  publishers.erase(follower.m_own_endpoint);
  publishers.erase("");
  return publishers;
}

std::vector<OutMessage> TickFollower(Follower *follower, base::TimePoint now) {
  ForgetSilentPublishers(follower, now);
  ForgetUpstreams(&follower->m_view, now);
  std::vector<OutMessage> messages;
  for (const std::string &publisher : ListPublishers(*follower)) {
    auto asked = follower->m_asked_at.find(publisher);
    bool is_due = asked == follower->m_asked_at.end() ||
                  now >= asked->second + kFollowPeriod;
    if (!is_due) continue;
    messages.push_back(
        MakeRequest(follower, publisher, /*wants_routes=*/false, now));
  }
  return messages;
}

std::vector<OutMessage> AnnounceToAll(Follower *follower, base::TimePoint now) {
  std::vector<OutMessage> messages;
  for (const std::string &publisher : ListPublishers(*follower)) {
    messages.push_back(
        MakeRequest(follower, publisher, /*wants_routes=*/false, now));
  }
  return messages;
}

FactUpdateResult HandleFactUpdate(Follower *follower, const std::string &from,
                                  const gen::FactUpdate &update,
                                  base::TimePoint now) {
  FactUpdateResult result;
  FactUpdateChanges outcome =
      ApplyFactUpdate(&follower->m_view, from, update, now);
  result.m_changed_upstreams = std::move(outcome.m_changed_upstreams);
  if (update.routes_version() > follower->m_routes_version) {
    RecordAnnouncement(follower, update.routes_version(), now);
  }
  if (update.routes().version() > follower->m_routes_version) {
    AdoptRoutes(follower, update.routes(), &result, now);
  }
  if (update.quarantine().version() > follower->m_quarantine_version) {
    follower->m_quarantine_version = update.quarantine().version();
    result.m_quarantine = update.quarantine();
  }
  bool wants_routes =
      WantsRoutes(*follower, from, update.routes_version(), now);
  if (wants_routes) {
    follower->m_routes_asked_at = now;
    ++follower->m_routes_request_count;
  }
  bool must_answer = update.facts_size() != 0 || outcome.m_is_new_epoch ||
                     !outcome.m_is_complete || wants_routes ||
                     result.m_quarantine.has_value();
  if (must_answer) {
    result.m_messages.push_back(MakeRequest(follower, from, wants_routes, now));
  }
  return result;
}

}  // namespace wasabiwind::fleet
