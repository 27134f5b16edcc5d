/** @file follower_func.h Client side of the facts that control hosts publish.
 */

#ifndef WASABIWIND_FLEET_FOLLOWER_FUNC_H_
#define WASABIWIND_FLEET_FOLLOWER_FUNC_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/publisher_choice_func.h"
#include "fleet/view_func.h"

namespace wasabiwind::fleet {

/** Which publishers a follower follows. */
enum class FollowMode : std::uint8_t {
  kAll,      ///< control hosts, which exchange what each heard
  kNearest,  ///< entry hosts; see publisher_choice_func.h
  kEnd,
};

/** State of one follower. Not thread-safe. */
struct Follower {
  FollowMode m_mode = FollowMode::kAll;
  PublisherChoice m_choice;  ///< used by FollowMode::kNearest
  std::string m_own_name;    ///< spreads followers over equal publishers
  std::string m_own_domain;
  std::string m_own_endpoint;  ///< never followed
  gen::FollowRequest m_self;   ///< sent with each request
  FleetView m_view;
  std::uint64_t m_routes_version = 0;
  std::uint64_t m_quarantine_version = 0;
  /** Message endpoints of the control hosts that the settings name. */
  std::set<std::string> m_seeds;
  /** Message endpoints of the members of the replicated group, as far as this
   * host knows them. Used by FollowMode::kAll. */
  std::set<std::string> m_group_members;
  /** By endpoint of a control host: when this host learned of it. Used by
   * FollowMode::kAll. */
  std::map<std::string, base::TimePoint> m_learned_at;
  /** Publisher whose facts were merged last, and since when. Used by
   * FollowMode::kNearest. */
  std::string m_fact_source;
  base::TimePoint m_fact_source_since;
  bool m_has_all_facts = false;  ///< of m_fact_source
  /** By endpoint of a control host: the publisher that told of it last. */
  std::map<std::string, std::string> m_told_by;
  /** Failure domains whose control hosts are asked for route tables first. */
  std::set<std::string> m_near_domains;
  /** Time of the last request, by publisher. */
  std::map<std::string, base::TimePoint> m_asked_at;
  base::TimePoint m_routes_asked_at;
  std::uint64_t m_announced_version = 0;  ///< highest table version seen
  /** When this host learned that its table is not the newest; the epoch while
   * it is. */
  base::TimePoint m_outdated_since;
  int m_routes_request_count = 0;  ///< since m_outdated_since
};

/** A message and the endpoint that it goes to. */
struct OutMessage {
  std::string m_to;
  gen::FleetMessage m_message;
};

/** Interval between requests to one publisher while nothing changes. */
inline constexpr base::milliseconds kFollowPeriod{500};
/** A publisher that isn't a seed is removed after this long without messages.
 */
inline constexpr base::milliseconds kPublisherRetention{30'000};
/** The same for one that is no member of the replicated group. Longer than the
 * pause of a host that joins. */
inline constexpr base::milliseconds kFormerMemberRetention{2'000};
/** Minimum time between two requests for the route table, whichever publishers
 * they go to. */
inline constexpr base::milliseconds kRoutesRetryDelay{300};
/** Time for which a newer table is only requested from near publishers, or from
 * the followed one. It
 * starts when the current table becomes outdated, not with each version. */
inline constexpr base::milliseconds kNearRoutesWait{400};

/** @return the endpoints of all other control hosts: seeds and known ones. */
std::set<std::string> ListPublishers(const Follower &follower);

/** @return the endpoints that the follower follows now. */
std::set<std::string> ListFollowed(const Follower &follower);

/**
 * Removes silent publishers and upstreams. Called at least every 100 ms.
 * @return requests that are due
 */
std::vector<OutMessage> TickFollower(Follower *follower, base::TimePoint now);

/** Records that a newer route table exists, so that it is requested from other
 * publishers if the followed one doesn't send it. */
void RecordAnnouncedRoutes(Follower *follower, std::uint64_t announced,
                           base::TimePoint now);

/** @return a request to each followed publisher, to announce a change of this
 * host. */
std::vector<OutMessage> AnnounceToFollowed(Follower *follower,
                                           base::TimePoint now);

/** @return a request that states which facts have arrived and settled. */
OutMessage MakeAcknowledgement(Follower *follower, const std::string &publisher,
                               base::TimePoint now);

struct FactUpdateResult {
  /** A request that acknowledges the update, if one is due. The publisher hears
   * of other updates with the next periodic request. */
  std::vector<OutMessage> m_messages;
  std::vector<std::string> m_changed_upstreams;
  std::optional<gen::RouteTable> m_routes;  ///< newer than the current one
  /** For how long this host knew that its table wasn't the newest, and how
   * often it requested one. With m_routes. */
  base::Duration m_outdated_time{0};
  int m_routes_request_count = 0;
  /** Newer than the current one. */
  std::optional<gen::Quarantine> m_quarantine;
};

/**
 * Handles a message of a publisher.
 * @param from message endpoint of the publisher
 */
FactUpdateResult HandleFactUpdate(Follower *follower, const std::string &from,
                                  const gen::FactUpdate &update,
                                  base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_FOLLOWER_FUNC_H_
