/** @file residency_type.h State of the planner of loads on runners. */

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

/** What one entry host last said of requests that wait for a target. */
struct WaitingReport {
  std::uint32_t m_waiting = 0;
  std::uint32_t m_rank = 0;  ///< of the most urgent one
  base::TimePoint m_at;
};

struct TargetDemand {
  double m_rate = 0;          ///< requests a second, mean of some seconds
  double m_recent_rate = 0;   ///< requests a second, mean of about a second
  base::TimePoint m_rate_at;  ///< time of both rates
  std::map<std::string, WaitingReport> m_waiting;  ///< by entry host
};

/** An order as the shell sends it. */
struct PlannedOrder {
  std::string m_upstream;
  bool m_is_load = true;
  std::string m_model;
  std::string m_adapter;
  bool m_is_from_store = false;  ///< load that the weight store counts
  std::uint64_t m_expected_order_count = 0;  ///< orders accepted before it
  const char *m_reason = "";                 ///< for the log
  double m_rate = 0;  ///< demand for the model, for the log
  int m_copies = 0;   ///< that were known, for the log
};

/** Load or unload of a model that a runner carries out. */
struct OrderInProgress {
  std::string m_model;  ///< "" if another host ordered it
  bool m_is_load = true;
  bool m_is_from_store = false;
  base::TimePoint m_ends_at;  ///< estimate
};

/** A model that a runner shall get, once there is room. */
struct Intention {
  std::string m_model;
  base::TimePoint m_since;
  const char *m_reason = "";
  double m_gain = 0;  ///< milliseconds of waiting avoided
};

/** A change at a runner that its reports may not show yet. */
struct UnreportedChange {
  base::TimePoint m_at;
  std::uint64_t m_report_number = 0;  ///< of the last report before it
};

using UnreportedChanges = std::map<std::string, UnreportedChange>;

/** What the holder of the orders knows of one start of a runner. */
struct RunnerBook {
  std::uint64_t m_start_time_ms = 0;
  std::optional<std::uint64_t>
      m_accepted_order_count;  ///< orders; nullopt: must ask
  bool m_is_calling = false;   ///< an order or query is on its way
  std::optional<OrderInProgress> m_in_progress;
  std::optional<PlannedOrder> m_in_doubt;  ///< sent without answer
  std::optional<Intention> m_intention;
  std::uint64_t m_least_accepted = 0;  ///< orders surely accepted
  UnreportedChanges m_loaded;          ///< targets
  UnreportedChanges m_unloaded;        ///< targets
  /** Targets whose load may have been accepted: they take up room. */
  UnreportedChanges m_maybe_loaded;
  std::map<std::string, base::TimePoint> m_used;     ///< targets
  std::map<std::string, base::TimePoint> m_refused;  ///< targets
  base::TimePoint m_retry_at;    ///< no order before this time
  base::TimePoint m_ordered_at;  ///< answer to the last order
  base::TimePoint m_status_at;   ///< arrival of the last status that counted
  std::uint64_t m_report_number = 0;
  std::uint64_t m_published = 0;  ///< hash of the residency last published
};

struct ResidencySettings {
  base::milliseconds m_load_window{5'000};  ///< over which loads are counted
  std::size_t m_store_loads = 4;            ///< at once, for waiting requests
  std::size_t m_urgent_loads = 2;           ///< at once, for overloaded copies
  std::size_t m_background_loads = 1;       ///< at once, ahead of requests
  double m_requests_per_copy = 3.0;         ///< a second, that one copy bears
};

/** Not thread-safe. */
struct ResidencyPlanner {
  ResidencySettings m_settings;
  std::map<TargetKey, TargetDemand> m_demands;
  /** When an entry host last couldn't reach an upstream. */
  std::map<std::string, base::TimePoint> m_unreachable;
  std::map<std::string, RunnerBook> m_books;  ///< by upstream
  std::deque<base::TimePoint> m_store_loads;  ///< starts
  /** First report of use; loads ahead wait until demand is known. */
  std::optional<base::TimePoint> m_first_use_at;
  std::uint64_t m_residency_number = 0;
};

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_TYPE_H_
