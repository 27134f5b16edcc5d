/** @file follower_func.h Following the facts that control hosts publish. */

#ifndef WASABIWIND_FLEET_FOLLOWER_FUNC_H_
#define WASABIWIND_FLEET_FOLLOWER_FUNC_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/view_func.h"

namespace wasabiwind::fleet {

/** State of one follower. Not thread-safe. */
struct Follower {
  std::string m_own_endpoint;  ///< never followed
  gen::FollowRequest m_self;   ///< identity that each request carries
  FleetView m_view;
  std::uint64_t m_routes_version = 0;
  /** Control hosts that the settings name, as message endpoints. */
  std::set<std::string> m_seeds;
  /** Failure domains whose control hosts are asked for tables first. */
  std::set<std::string> m_near_domains;
  std::map<std::string, base::TimePoint> m_asked_at;  ///< by publisher
  base::TimePoint m_routes_asked_at;
  std::uint64_t m_announced_version = 0;  ///< highest one of a table
  base::TimePoint m_announced_at;
};

/** A message and the endpoint that it goes to. */
struct OutMessage {
  std::string m_to;
  gen::FleetMessage m_message;
};

/** Time between requests to one publisher without changes. */
inline constexpr base::milliseconds kFollowPeriod{500};
/** A publisher that isn't a seed is forgotten after this long in silence. */
inline constexpr base::milliseconds kForgetPublisher{30'000};
/** Time after which another publisher is asked for the table. */
inline constexpr base::milliseconds kRoutesRetry{300};
/** Time that near publishers get to announce a table that others have. */
inline constexpr base::milliseconds kNearRoutesWait{400};

/** @return the endpoints to follow: seeds and control hosts that are known. */
std::set<std::string> ListPublishers(const Follower &follower);

/** @return requests that are due. Called at least every 100 ms. */
std::vector<OutMessage> TickFollower(Follower *follower, base::TimePoint now);

/** @return one request to each publisher, to tell a change of this host. */
std::vector<OutMessage> AnnounceToAll(Follower *follower, base::TimePoint now);

struct FactUpdateResult {
  std::vector<OutMessage> m_messages;  ///< acknowledgement, if one is due
  std::vector<std::string> m_changed_upstreams;
  std::optional<gen::RouteTable> m_routes;  ///< newer than the one held
};

/**
 * Handles a message of a publisher.
 * @param from its message endpoint
 */
FactUpdateResult HandleFactUpdate(Follower *follower, const std::string &from,
                                  const gen::FactUpdate &news,
                                  base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_FOLLOWER_FUNC_H_
