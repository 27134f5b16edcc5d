/** @file residency_pass_type.h State of one pass of the planner of loads. */

#ifndef WASABIWIND_FLEET_RESIDENCY_PASS_TYPE_H_
#define WASABIWIND_FLEET_RESIDENCY_PASS_TYPE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/residency_func.h"

namespace wasabiwind::fleet {

/** Where a runner gets the weights of a model from. */
enum class LoadSource : std::uint8_t { kMemory, kDisk, kStore, kEnd };

/** A runner that may get orders now. */
struct Runner {
  std::string m_id;
  const UpstreamEntry *m_entry = nullptr;
  const gen::RoutedService *m_service = nullptr;
  RunnerBook *m_book = nullptr;
  std::set<std::string> m_models;    ///< that serve requests
  std::set<std::string> m_adapters;  ///< targets MODEL/ADAPTER in its slots
  std::size_t m_reserved_slots = 0;  ///< for adapters that may have come
  double m_used_mb = 0;              ///< held, or reserved by an order
  double m_rate = 0;  ///< requests a second, if copies share them evenly
};

/** Demand for a model and the copies that bear it. */
struct ModelDemand {
  double m_rate = 0;       ///< requests a second
  int m_copies = 0;        ///< that serve, are being loaded or are intended
  std::size_t m_near = 0;  ///< runners with the weights on disk or in memory
  std::size_t m_adapters = 0;          ///< that are asked for again and again
  std::vector<std::size_t> m_serving;  ///< positions in Pass::m_runners
};

struct Pass {
  ResidencyPlanner *m_planner = nullptr;
  const FleetView *m_view = nullptr;
  const routes::RouteIndex *m_routes = nullptr;
  base::TimePoint m_now;
  std::vector<Runner> m_runners;
  std::map<TargetKey, ModelDemand> m_demands;  ///< of declared models
  std::size_t m_store_loads = 0;               ///< in progress
  ResidencyActions *m_actions = nullptr;
};

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_PASS_TYPE_H_
