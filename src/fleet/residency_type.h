/** @file residency_type.h State of the planner that loads models on runners. */

#ifndef WASABIWIND_FLEET_RESIDENCY_TYPE_H_
#define WASABIWIND_FLEET_RESIDENCY_TYPE_H_

#include <fleet.pb.h>
#include <routes.pb.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "fleet/view_func.h"

namespace wasabiwind::fleet {

/** A model, or an adapter of it, of one service. */
struct TargetKey {
  std::string m_service;
  std::string m_model;
  std::string m_adapter;  ///< "" for the model itself

  friend auto operator<=>(const TargetKey &, const TargetKey &) = default;
  friend bool operator==(const TargetKey &, const TargetKey &) = default;
};

/** Last report of one entry host on the requests that wait for a target. */
struct WaitingReport {
  std::uint32_t m_waiting = 0;
  std::uint32_t m_rank = 0;  ///< of the request that began to wait last
  base::TimePoint m_at;      ///< arrival of the report
};

struct TargetDemand {
  double m_rate = 0;          ///< requests/s, decaying mean over seconds
  double m_recent_rate = 0;   ///< requests/s, mean over about 1 s
  base::TimePoint m_rate_at;  ///< last update of both rates
  std::map<std::string, WaitingReport> m_waiting;  ///< by entry host
};

/** An order to load or unload a model or adapter on a runner. */
struct PlannedOrder {
  std::string m_upstream;
  bool m_is_load = true;
  std::string m_model;
  std::string m_adapter;
  bool m_is_from_store = false;  ///< reads the weights from the weight store
  std::uint64_t m_expected_order_count = 0;  ///< accepted by the runner before
  const char *m_reason = "";                 ///< for the log
  double m_rate = 0;  ///< demand for the model, for the log
  int m_copies = 0;   ///< known when planned, for the log
};

/** Load or unload of a model that a runner is executing. */
struct OrderInProgress {
  std::string m_model;  ///< "" if the order came from another host
  bool m_is_load = true;
  bool m_is_from_store = false;
  base::TimePoint m_ends_at;  ///< estimate
};

/** A planned load of a model, for which a runner may first need free memory. */
struct PendingLoad {
  std::string m_model;
  base::TimePoint m_since;
  const char *m_reason = "";
  double m_gain = 0;  ///< waiting time avoided, in ms
};

/** A change on a runner that its reports may not show yet. */
struct UnreportedChange {
  base::TimePoint m_at;
  std::uint64_t m_report_number = 0;  ///< last report before the change
};

using UnreportedChanges = std::map<std::string, UnreportedChange>;

/** What the leader, which sends the orders, knows of one start of a runner. */
struct RunnerState {
  std::uint64_t m_start_time_ms = 0;
  /** Orders accepted by the runner; nullopt: its status must be queried. */
  std::optional<std::uint64_t> m_accepted_order_count;
  bool m_is_call_pending = false;  ///< an order or query is in flight
  std::optional<OrderInProgress> m_in_progress;
  std::optional<PlannedOrder> m_in_doubt;  ///< sent, but no answer was received
  std::optional<PendingLoad> m_pending_load;
  /** A status with fewer accepted orders is outdated. */
  std::uint64_t m_min_accepted_order_count = 0;
  UnreportedChanges m_loaded;    ///< by target
  UnreportedChanges m_unloaded;  ///< by target
  /** Targets whose load may have been accepted; their space is reserved. */
  UnreportedChanges m_maybe_loaded;
  std::map<std::string, base::TimePoint> m_last_used_at;  ///< by target
  std::map<std::string, base::TimePoint> m_refused_at;    ///< by target
  base::TimePoint m_retry_at;           ///< no order or query before this time
  base::TimePoint m_order_answered_at;  ///< last answer to an order
  base::TimePoint m_status_at;  ///< arrival of the last status that was used
  std::uint64_t m_report_number = 0;
  std::uint64_t m_published_hash = 0;  ///< of the last published residency
};

struct ResidencySettings {
  /** Window over which the rate of loads from the store is limited. */
  base::milliseconds m_load_window{5'000};
  // Limits of concurrent loads from the store.
  std::size_t m_max_store_loads = 4;       ///< for waiting requests
  std::size_t m_max_urgent_loads = 2;      ///< for overloaded copies
  std::size_t m_max_background_loads = 1;  ///< for other preloads
  /** Requests/s per copy that are assumed until demand is known. */
  double m_requests_per_copy = 3.0;
};

/** Not thread-safe. */
struct ResidencyPlanner {
  ResidencySettings m_settings;
  std::map<TargetKey, TargetDemand> m_demands;
  /** Time of the last report that an upstream can't be reached, by upstream. */
  std::map<std::string, base::TimePoint> m_unreachable;
  std::map<std::string, RunnerState> m_runner_states;  ///< by upstream
  std::deque<base::TimePoint> m_store_load_starts;     ///< in the load window
  /** First use report. Preloads wait from then on until demand is known. */
  std::optional<base::TimePoint> m_first_use_at;
  std::uint64_t m_residency_number = 0;
};

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_TYPE_H_
