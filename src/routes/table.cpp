/** @file table.cpp Validation of route tables and lookups in them. */

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>
#include <utility>

#include "routes/table_func.h"

namespace wasabiwind::routes {

namespace {

/** Callers disconnect from a stream after the longest of these pauses: a
 * minimum, a multiple of the objective and a multiple of the largest gap. */
constexpr std::chrono::milliseconds kMinStreamPauseTimeout{2'000};
constexpr int kPauseTimeoutObjectives = 4;
constexpr int kPauseTimeoutGaps = 8;
/** Number of urgency steps within a rank, and the objectives where the second
 * and third begin. */
constexpr std::uint32_t kUrgencySteps = 3;
constexpr std::chrono::milliseconds kMiddleObjective{700};
constexpr std::chrono::milliseconds kLongObjective{1'500};

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string MakeModelKey(const std::string &service, const std::string &model) {
  return service + "/" + model;
}

tl::unexpected<base::Error> MakeRouteError(const gen::Route &route,
                                           const std::string &problem,
                                           const std::string &remedy) {
  return base::MakeError(base::ErrorKind::kInvalidArgument,
                         fmt::format("route {}: {}", route.name(), problem),
                         remedy);
}

base::Result<void> CheckTargets(const gen::Route &route,
                                const std::set<std::string> &services) {
  std::uint64_t weight = 0;
  for (const gen::RouteTarget &target : route.targets()) {
    if (!services.contains(target.service())) {
      return MakeRouteError(
          route, fmt::format("service \"{}\" is unknown", target.service()),
          "declare the service or name another one");
    }
    weight += target.weight();
  }
  if (weight == 0) {
    return MakeRouteError(route, "the weights of its services add up to 0",
                          "give at least one service a weight above 0");
  }
  return {};
}

tl::unexpected<base::Error> MakeTeamError(const gen::Team &team,
                                          const std::string &problem,
                                          const std::string &remedy) {
  return base::MakeError(base::ErrorKind::kInvalidArgument,
                         fmt::format("team \"{}\": {}", team.name(), problem),
                         remedy);
}

bool IsAmount(double number) { return std::isfinite(number) && number >= 0; }

/** @return whether a text can be sent as the value of a header. */
bool IsHeaderValue(const std::string &text) {
  bool has_outer_space =
      !text.empty() && (text.front() == ' ' || text.back() == ' ');
  return !has_outer_space &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return std::iscntrl(c) != 0; });
}

/** Validates the teams. The errors don't contain keys. */
base::Result<void> CheckTeams(const gen::RouteTable &table) {
  std::set<std::string> names;
  std::set<std::string> keys;
  for (const gen::Team &team : table.teams()) {
    if (team.name().empty() || !names.insert(team.name()).second) {
      return MakeTeamError(team, "its name is empty or used twice",
                           "give each team a name of its own");
    }
    if (!IsHeaderValue(team.name())) {
      return MakeTeamError(team, "no header can hold its name",
                           "use a name without control characters and without "
                           "spaces at its ends");
    }
    for (const std::string &key : team.keys()) {
      if (!key.empty() && keys.insert(key).second) continue;
      return MakeTeamError(team, "one of its keys is empty or used twice",
                           "give each key to one team only");
    }
    if (!IsAmount(team.rate_per_second()) || !IsAmount(team.burst())) {
      return MakeTeamError(team, "its rate or burst is negative or no number",
                           "give numbers from 0 on, or none for no limit");
    }
  }
  return {};
}

}  // namespace

base::Result<void> CheckRouteTable(const gen::RouteTable &table) {
  std::set<std::string> services;
  for (const gen::RoutedService &service : table.services()) {
    services.insert(service.name());
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const gen::Route &route : table.routes()) {
    if (base::Result<void> done = CheckTargets(route, services); !done) {
      return done;
    }
    if (route.timeout_ms() == 0) {
      return MakeRouteError(route, "its timeout is 0",
                            "give a timeout above 0 ms");
    }
    if (!places.emplace(ToLower(route.host()), route.path_prefix()).second) {
      return MakeRouteError(
          route,
          fmt::format("another route has host {} and prefix {}", route.host(),
                      route.path_prefix()),
          "remove one of the two routes");
    }
  }
  return CheckTeams(table);
}

RouteIndexPtr MakeRouteIndex(gen::RouteTable table) {
  auto index = std::make_shared<RouteIndex>();
  index->m_table = std::move(table);
  for (const gen::Route &route : index->m_table.routes()) {
    index->m_by_host[ToLower(route.host())].push_back(&route);
  }
  for (auto &[host, routes] : index->m_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const gen::Route *a, const gen::Route *b) {
                       return a->path_prefix().size() > b->path_prefix().size();
                     });
  }
  for (const gen::RoutedService &service : index->m_table.services()) {
    index->m_services[service.name()] = &service;
    for (const gen::HostedModel &model : service.engine().models()) {
      index->m_models[MakeModelKey(service.name(), model.name())] = &model;
    }
  }
  for (const gen::Team &team : index->m_table.teams()) {
    for (const std::string &key : team.keys()) {
      index->m_teams_by_key[key] = &team;
    }
  }
  return index;
}

const gen::Route *FindRoute(const RouteIndex &index, std::string_view host,
                            std::string_view path) {
  auto found = index.m_by_host.find(ToLower(host.substr(0, host.find(':'))));
  if (found == index.m_by_host.end()) return nullptr;
  for (const gen::Route *route : found->second) {
    if (path.substr(0, route->path_prefix().size()) == route->path_prefix()) {
      return route;
    }
  }
  return nullptr;
}

const gen::RoutedService *FindService(const RouteIndex &index,
                                      const std::string &service) {
  auto found = index.m_services.find(service);
  return found == index.m_services.end() ? nullptr : found->second;
}

const gen::HostedModel *FindModel(const RouteIndex &index,
                                  const std::string &service,
                                  const std::string &model) {
  auto found = index.m_models.find(MakeModelKey(service, model));
  return found == index.m_models.end() ? nullptr : found->second;
}

const gen::Team *FindTeam(const RouteIndex &index, const std::string &key) {
  auto found = index.m_teams_by_key.find(key);
  return found == index.m_teams_by_key.end() ? nullptr : found->second;
}

const std::string &ChooseService(const gen::Route &route, std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const gen::RouteTarget &target : route.targets()) {
    total += target.weight();
  }
  std::uint64_t rest = draw % total;
  for (const gen::RouteTarget &target : route.targets()) {
    if (rest < target.weight()) return target.service();
    rest -= target.weight();
  }
  return route.targets(route.targets_size() - 1).service();
}

std::chrono::milliseconds GetStreamPauseTimeout(const gen::Route &route) {
  return std::max(
      {kMinStreamPauseTimeout,
       std::chrono::milliseconds(route.objective_ms()) *
           kPauseTimeoutObjectives,
       std::chrono::milliseconds(route.max_gap_ms()) * kPauseTimeoutGaps});
}

std::uint32_t GetRank(const gen::Route &route, const gen::Team *team) {
  return team != nullptr && team->has_rank() ? team->rank() : route.rank();
}

std::uint32_t GetUrgency(const gen::Route &route, const gen::Team *team) {
  std::chrono::milliseconds objective(route.objective_ms());
  std::uint32_t step = 0;
  if (objective >= kMiddleObjective) step = 1;
  if (objective >= kLongObjective) step = 2;
  return GetRank(route, team) * kUrgencySteps + step;
}

bool IsRepeatable(const gen::Route &route) {
  return route.kind() == gen::ROUTE_IDEMPOTENT ||
         (route.kind() == gen::ROUTE_STREAM && route.is_resumable());
}

}  // namespace wasabiwind::routes
