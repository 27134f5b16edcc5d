/** @file table_func.h Validation of route tables and lookups in them. */

#ifndef WASABIWIND_ROUTES_TABLE_FUNC_H_
#define WASABIWIND_ROUTES_TABLE_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <routes.pb.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error_type.h"

namespace wasabiwind::routes {

/**
 * Validates a table. Thread-safe.
 * @return kInvalidArgument, naming the route, for an unknown service, two
 *         routes with the same host and prefix, a total weight of 0, or a
 *         timeout of 0; naming the team, for a key or name that another team
 *         has, an empty key or name, or an impossible quota
 */
base::Result<void> CheckRouteTable(const gen::RouteTable &table);

/**
 * A table with indexes for the request path. Immutable after MakeRouteIndex,
 * so that threads can share it.
 */
struct RouteIndex {
  gen::RouteTable m_table;
  /** Routes by lower-case host, longest prefix first. */
  absl::flat_hash_map<std::string, std::vector<const gen::Route *>> m_by_host;
  absl::flat_hash_map<std::string, const gen::RoutedService *> m_services;
  /** Models by "service/model". */
  absl::flat_hash_map<std::string, const gen::HostedModel *> m_models;
  absl::flat_hash_map<std::string, const gen::Team *> m_teams_by_key;
};

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

RouteIndexPtr MakeRouteIndex(gen::RouteTable table);

/**
 * @param host value of a Host header, with or without port
 * @return the route with the longest prefix of a path, or nullptr
 */
const gen::Route *FindRoute(const RouteIndex &index, std::string_view host,
                            std::string_view path);

/** @return a service, or nullptr. */
const gen::RoutedService *FindService(const RouteIndex &index,
                                      const std::string &service);

/** @return a model of a service, or nullptr. */
const gen::HostedModel *FindModel(const RouteIndex &index,
                                  const std::string &service,
                                  const std::string &model);

/** @return the team that holds a key, or nullptr. Thread-safe. */
const gen::Team *FindTeam(const RouteIndex &index, const std::string &key);

/**
 * Chooses the service of a request by the weights of its route.
 * @param draw a random number
 * @pre the table passed CheckRouteTable
 */
const std::string &ChooseService(const gen::Route &route, std::uint64_t draw);

/**
 * @return how long callers of a stream wait for its first or next event before
 *         they disconnect
 */
std::chrono::milliseconds GetStreamPauseTimeout(const gen::Route &route);

/**
 * @param team of the caller, or nullptr
 * @return the rank of a request: that of its team, if it has one, or that of
 *         its route. Thread-safe.
 */
std::uint32_t GetRank(const gen::Route &route, const gen::Team *team);

/**
 * @param team of the caller, or nullptr
 * @return the urgency of a request in the queue of a runner; 0 is served first.
 *         Ordered by rank, and within a rank by the route's objective.
 *         Thread-safe.
 */
std::uint32_t GetUrgency(const gen::Route &route, const gen::Team *team);

/** @return whether a request of the route may run more than once. */
bool IsRepeatable(const gen::Route &route);

}  // namespace wasabiwind::routes

#endif  // WASABIWIND_ROUTES_TABLE_FUNC_H_
