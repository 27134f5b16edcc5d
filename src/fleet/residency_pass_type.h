/** @file residency_pass_type.h State of one planning pass. */

#ifndef WASABIWIND_FLEET_RESIDENCY_PASS_TYPE_H_
#define WASABIWIND_FLEET_RESIDENCY_PASS_TYPE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/residency_func.h"

namespace wasabiwind::fleet {

/** Where a runner reads the weights of a model from. */
enum class LoadSource : std::uint8_t { kMemory, kDisk, kStore, kEnd };

/** A runner that can receive orders. */
struct Runner {
  std::string m_id;
  const UpstreamEntry *m_entry = nullptr;
  const gen::RoutedService *m_service = nullptr;
  RunnerState *m_state = nullptr;
  std::set<std::string> m_models;    ///< that serve requests
  std::set<std::string> m_adapters;  ///< targets MODEL/ADAPTER in its slots
  /** Slots for adapters whose load may have been accepted. */
  std::size_t m_reserved_slots = 0;
  double m_used_mb = 0;  ///< in use, or reserved for a load
  double m_rate = 0;     ///< requests/s; copies share demand evenly
};

/** Demand for a model and the copies that share it. */
struct ModelDemand {
  double m_rate = 0;  ///< requests/s
  int m_copies = 0;   ///< serving, being loaded, or planned
  /** Runners that have the weights on disk or in memory, or load them. */
  std::size_t m_weight_copies = 0;
  std::size_t m_repeated_adapter_count = 0;  ///< adapters requested repeatedly
  std::vector<std::size_t> m_serving_runners;  ///< positions in Pass::m_runners
};

struct Pass {
  ResidencyPlanner *m_planner = nullptr;
  const FleetView *m_view = nullptr;
  const routes::RouteIndex *m_routes = nullptr;
  base::TimePoint m_now;
  std::vector<Runner> m_runners;
  std::map<TargetKey, ModelDemand> m_demands;  ///< by model
  std::size_t m_active_store_loads = 0;        ///< in progress or pending
  ResidencyActions *m_actions = nullptr;
};

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_PASS_TYPE_H_
