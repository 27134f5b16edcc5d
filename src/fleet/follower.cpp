/** @file follower.cpp Client side of the facts that control hosts publish. */

#include <xxhash.h>

#include <algorithm>
#include <tuple>

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
    request->set_settled_number(known->second.m_settled_number);
  }
  request->set_routes_version(follower->m_routes_version);
  request->set_quarantine_version(follower->m_quarantine_version);
  request->set_wants_routes(wants_routes);
  follower->m_asked_at[publisher] = now;
  return out;
}

/** @return how long a control host may be silent. One that was replaced isn't a
 * member of the group any more and won't come back. */
base::milliseconds GetRetention(const Follower &follower,
                                const std::string &publisher) {
  bool is_former = !follower.m_group_members.empty() &&
                   !follower.m_group_members.contains(publisher);
  return is_former ? kFormerMemberRetention : kPublisherRetention;
}

/** @return whether the publisher whose facts hold tells of a control host, or
 * hasn't sent all its facts yet. One that only a former publisher told of may
 * be gone for good. */
bool IsToldOf(const Follower &follower, const std::string &endpoint) {
  if (!follower.m_has_all_facts) return true;
  auto found = follower.m_told_by.find(endpoint);
  return found != follower.m_told_by.end() &&
         found->second == follower.m_fact_source;
}

/** Records which control hosts a publisher tells of. */
void RecordToldOf(Follower *follower, const std::string &publisher,
                  const gen::FactUpdate &update, base::TimePoint now) {
  if (follower->m_fact_source != publisher) {
    follower->m_fact_source = publisher;
    follower->m_fact_source_since = now;
    follower->m_has_all_facts = false;
  }
  for (const gen::Fact &fact : update.facts()) {
    if (!fact.has_control()) continue;
    follower->m_told_by[fact.control().endpoint()] = publisher;
  }
}

/** Removes control hosts of which the publisher hasn't told for
 * kPublisherRetention. */
void ForgetUntoldControlHosts(Follower *follower, base::TimePoint now) {
  if (now <= follower->m_fact_source_since + kPublisherRetention) return;
  absl::erase_if(follower->m_view.m_control_hosts, [&](const auto &item) {
    return !IsToldOf(*follower, item.second.endpoint());
  });
  std::erase_if(follower->m_told_by, [follower](const auto &item) {
    return item.second != follower->m_fact_source;
  });
}

/** @return when a control host was last heard; one that was never heard counts
 * from when this host learned of it. */
base::TimePoint GetHeardAt(Follower *follower, const std::string &publisher,
                           base::TimePoint now) {
  auto found = follower->m_view.m_publishers.find(publisher);
  bool is_heard = found != follower->m_view.m_publishers.end() &&
                  found->second.m_heard_at != base::TimePoint();
  if (is_heard) return found->second.m_heard_at;
  return follower->m_learned_at.try_emplace(publisher, now).first->second;
}

/** Removes control hosts that have been silent for longer than their retention.
 * Other control hosts go on to tell of one that was replaced. A follower of one
 * publisher hears from it which others are silent. */
void ForgetSilentPublishers(Follower *follower, base::TimePoint now) {
  if (follower->m_mode == FollowMode::kNearest) {
    ForgetUntoldControlHosts(follower, now);
    return;
  }
  auto &control_hosts = follower->m_view.m_control_hosts;
  absl::erase_if(control_hosts, [&](const auto &item) {
    const std::string &endpoint = item.second.endpoint();
    if (endpoint == follower->m_own_endpoint) return false;
    return now > GetHeardAt(follower, endpoint, now) +
                     GetRetention(*follower, endpoint);
  });
  std::erase_if(follower->m_learned_at, [&control_hosts](const auto &item) {
    return std::none_of(control_hosts.begin(), control_hosts.end(),
                        [&item](const auto &control) {
                          return control.second.endpoint() == item.first;
                        });
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
 * are large and traffic between regions is charged, so a host that follows all
 * publishers and has a table waits for a near one first. A host that follows
 * the nearest that works, or has no table, asks at once.
 */
bool WantsRoutes(const Follower &follower, const std::string &publisher,
                 std::uint64_t announced, base::TimePoint now) {
  if (announced <= follower.m_routes_version) return false;
  if (now < follower.m_routes_asked_at + kRoutesRetryDelay) return false;
  bool must_wait =
      follower.m_mode == FollowMode::kAll && follower.m_routes_version != 0 &&
      now < follower.m_outdated_since + kNearRoutesWait &&
      !IsNear(follower, publisher) && HasNearPublisher(follower, now);
  return !must_wait;
}

/** Distance of a publisher, as far as it is known. */
enum class Distance : std::uint8_t {
  kDomain,
  kRegion,
  kOther,
  kUnknown,  ///< the publisher doesn't tell of it; it may be gone for good
  kEnd,
};

Distance GetDistance(const Follower &follower, const std::string &domain) {
  if (domain == follower.m_own_domain) return Distance::kDomain;
  return follower.m_near_domains.contains(domain) ? Distance::kRegion
                                                  : Distance::kOther;
}

/** @return all publishers, nearest first; equally near ones in an order that
 * differs between followers. */
std::vector<PublisherCandidate> RankPublishers(const Follower &follower) {
  std::map<std::string, Distance> distances;
  for (const std::string &endpoint : ListPublishers(follower)) {
    distances[endpoint] = Distance::kUnknown;
  }
  for (const auto &[name, control] : follower.m_view.m_control_hosts) {
    auto found = distances.find(control.endpoint());
    bool is_known =
        found != distances.end() && IsToldOf(follower, control.endpoint());
    if (is_known) found->second = GetDistance(follower, control.domain());
  }
  std::vector<std::tuple<Distance, std::uint64_t, std::string>> ranked;
  for (const auto &[endpoint, distance] : distances) {
    std::string text = follower.m_own_name + '/' + endpoint;
    ranked.emplace_back(distance, XXH3_64bits(text.data(), text.size()),
                        endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<PublisherCandidate> candidates;
  for (const auto &[distance, hash, endpoint] : ranked) {
    PublisherCandidate candidate{endpoint, {}, {}};
    auto known = follower.m_view.m_publishers.find(endpoint);
    if (known != follower.m_view.m_publishers.end()) {
      candidate.m_heard_at = known->second.m_heard_at;
      candidate.m_led_at = known->second.m_led_at;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

/**
 * Updates the choice, and tells publishers that aren't followed any more, so
 * that they don't wait for this host's acknowledgements. A newly followed
 * publisher sends all its facts: not all facts have a version, so what the one
 * before sent may have replaced newer ones.
 */
void UpdateChoice(Follower *follower, base::TimePoint now,
                  std::vector<OutMessage> *messages) {
  if (follower->m_mode != FollowMode::kNearest) return;
  std::set<std::string> before = ListFollowed(*follower);
  std::string current_before = follower->m_choice.m_current;
  UpdatePublisherChoice(&follower->m_choice, RankPublishers(*follower), now);
  std::set<std::string> after = ListFollowed(*follower);
  for (const std::string &publisher : after) {
    bool is_new = !before.contains(publisher) ||
                  (publisher == follower->m_choice.m_current &&
                   publisher != current_before);
    if (is_new) follower->m_view.m_publishers[publisher].m_acked_number = 0;
  }
  for (const std::string &publisher : before) {
    if (after.contains(publisher)) continue;
    OutMessage out;
    out.m_to = publisher;
    out.m_message.mutable_follow()->set_stops_following(true);
    messages->push_back(std::move(out));
  }
}

/**
 * A followed publisher may lack a newer table that others have announced to it,
 * for example while its disk stalls. The others are then asked for it in turn.
 * The leader that the publisher names isn't preferred: a leader whose disk
 * stalls goes on to name itself after another one was elected.
 */
void RequestRoutesElsewhere(Follower *follower, base::TimePoint now,
                            std::vector<OutMessage> *messages) {
  bool is_due = follower->m_mode == FollowMode::kNearest &&
                follower->m_announced_version > follower->m_routes_version &&
                now >= follower->m_outdated_since + kNearRoutesWait &&
                now >= follower->m_routes_asked_at + kRoutesRetryDelay;
  if (!is_due) return;
  std::vector<PublisherCandidate> others = RankPublishers(*follower);
  std::erase_if(others, [follower](const PublisherCandidate &candidate) {
    return candidate.m_endpoint == follower->m_choice.m_current;
  });
  if (others.empty()) return;
  std::size_t turn =
      static_cast<std::size_t>(follower->m_routes_request_count) %
      others.size();
  follower->m_routes_asked_at = now;
  ++follower->m_routes_request_count;
  OutMessage out;
  out.m_to = others[turn].m_endpoint;
  out.m_message.mutable_follow()->set_wants_routes_only(true);
  messages->push_back(std::move(out));
}

/**
 * @return whether facts of a publisher count. Those of a probed publisher don't
 *         before it is the current one, since two publishers would replace each
 *         other's facts. Before the first choice, those of any publisher do.
 */
bool IsCurrent(const Follower &follower, const std::string &publisher) {
  return follower.m_mode == FollowMode::kAll ||
         follower.m_choice.m_current.empty() ||
         follower.m_choice.m_current == publisher;
}

/** Records that a publisher works, before its facts are merged. */
void RecordHeard(Follower *follower, const std::string &publisher,
                 const gen::FactUpdate &update, base::TimePoint now) {
  PublisherState &state = follower->m_view.m_publishers[publisher];
  state.m_heard_at = now;
  if (!update.leader_endpoint().empty()) state.m_led_at = now;
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

std::set<std::string> ListFollowed(const Follower &follower) {
  if (follower.m_mode == FollowMode::kAll) return ListPublishers(follower);
  std::set<std::string> followed = {follower.m_choice.m_current};
  for (const auto &[endpoint, since] : follower.m_choice.m_probes) {
    followed.insert(endpoint);
  }
  followed.erase("");
  return followed;
}

void RecordAnnouncedRoutes(Follower *follower, std::uint64_t announced,
                           base::TimePoint now) {
  bool is_new = announced > follower->m_routes_version &&
                announced > follower->m_announced_version;
  if (!is_new) return;
  follower->m_announced_version = announced;
  if (follower->m_outdated_since == base::TimePoint()) {
    follower->m_outdated_since = now;
  }
}

std::vector<OutMessage> TickFollower(Follower *follower, base::TimePoint now) {
  ForgetSilentPublishers(follower, now);
  ForgetUpstreams(&follower->m_view, now);
  std::vector<OutMessage> messages;
  UpdateChoice(follower, now, &messages);
  RequestRoutesElsewhere(follower, now, &messages);
  for (const std::string &publisher : ListFollowed(*follower)) {
    auto asked = follower->m_asked_at.find(publisher);
    bool is_due = asked == follower->m_asked_at.end() ||
                  now >= asked->second + kFollowPeriod;
    if (!is_due) continue;
    messages.push_back(
        MakeRequest(follower, publisher, /*wants_routes=*/false, now));
  }
  return messages;
}

OutMessage MakeAcknowledgement(Follower *follower, const std::string &publisher,
                               base::TimePoint now) {
  return MakeRequest(follower, publisher, /*wants_routes=*/false, now);
}

std::vector<OutMessage> AnnounceToFollowed(Follower *follower,
                                           base::TimePoint now) {
  std::vector<OutMessage> messages;
  for (const std::string &publisher : ListFollowed(*follower)) {
    messages.push_back(
        MakeRequest(follower, publisher, /*wants_routes=*/false, now));
  }
  return messages;
}

FactUpdateResult HandleFactUpdate(Follower *follower, const std::string &from,
                                  const gen::FactUpdate &update,
                                  base::TimePoint now) {
  FactUpdateResult result;
  FactUpdateChanges outcome;
  outcome.m_is_complete = true;
  RecordHeard(follower, from, update, now);
  UpdateChoice(follower, now, &result.m_messages);
  bool is_current = IsCurrent(*follower, from);
  if (is_current) {
    RecordToldOf(follower, from, update, now);
    outcome = ApplyFactUpdate(&follower->m_view, from, update, now);
    // A list that is cut has to be acknowledged.
    if (outcome.m_is_complete && !update.must_acknowledge()) {
      follower->m_has_all_facts = true;
    }
  }
  result.m_changed_upstreams = std::move(outcome.m_changed_upstreams);
  std::uint64_t announced =
      std::max(update.routes_version(), update.newest_routes_version());
  RecordAnnouncedRoutes(follower, announced, now);
  if (update.routes().version() > follower->m_routes_version) {
    AdoptRoutes(follower, update.routes(), &result, now);
  }
  if (update.quarantine().version() > follower->m_quarantine_version) {
    follower->m_quarantine_version = update.quarantine().version();
    result.m_quarantine = update.quarantine();
  }
  bool wants_routes =
      is_current && WantsRoutes(*follower, from, update.routes_version(), now);
  if (wants_routes) {
    follower->m_routes_asked_at = now;
    ++follower->m_routes_request_count;
  }
  // The facts may name publishers that are nearer than the current one.
  UpdateChoice(follower, now, &result.m_messages);
  bool must_answer = update.must_acknowledge() || outcome.m_is_new_epoch ||
                     !outcome.m_is_complete || wants_routes ||
                     result.m_quarantine.has_value();
  if (must_answer && is_current) {
    result.m_messages.push_back(MakeRequest(follower, from, wants_routes, now));
  }
  return result;
}

}  // namespace wasabiwind::fleet
