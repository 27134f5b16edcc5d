/** @file planner_type.h State and decisions of the placement planner of a
 * control leader. */

#ifndef WASABIWIND_PLACEMENT_PLANNER_TYPE_H_
#define WASABIWIND_PLACEMENT_PLANNER_TYPE_H_

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <member.pb.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id_type.h"
#include "base/time_type.h"
#include "config/catalog_type.h"
#include "placement/ledger_type.h"

namespace wasabiwind::placement {

/** Where a runner has the weights of a target. */
enum class CacheTier : std::uint8_t { kMemory, kDisk, kRemote, kEnd };

enum class OrderAction : std::uint8_t { kLoad, kUnload, kEnd };

/** Outcome of an order that was sent to an engine. */
enum class OrderOutcome : std::uint8_t {
  kAccepted,    ///< 202
  kStaleFence,  ///< 409 stale_fence: not executed
  kNoMemory,    ///< 409 no_memory: not executed
  kRefused,     ///< another definite answer: not executed
  kLost,        ///< no answer in time: it may be executed now or later
  kEnd,
};

/** An order to an engine. It is idempotent, so it may be sent again. */
struct Order {
  std::string m_order_id;
  std::uint64_t m_grant_id = 0;
  std::string m_runner;
  std::string m_address;  ///< "ip:port"
  FencingToken m_fence;
  OrderAction m_action = OrderAction::kEnd;
  std::string m_target;
  std::int64_t m_bytes = 0;
};

struct OrderResult {
  std::string m_order_id;
  std::uint64_t m_grant_id = 0;
  OrderOutcome m_outcome = OrderOutcome::kEnd;
};

/** A GET /admin/v1/state to send. */
struct StateQuery {
  std::string m_runner;
  std::string m_address;       ///< "ip:port"
  base::TimePoint m_asked_at;  ///< returned with the report
};

enum class TargetState : std::uint8_t { kLoading, kLoaded, kFailed, kEnd };

/** Answer to a StateQuery. Without an answer there is no report. */
struct StateReport {
  std::string m_runner;
  base::TimePoint m_asked_at;  ///< of the query
  std::uint64_t m_incarnation = 0;
  std::map<std::string, TargetState> m_entries;  ///< by target
  std::optional<int> m_running;  ///< requests on the runner, where known
};

/** Answer to the activation requests of a scope, for all nodes that sent one.
 */
struct ActivationAnswer {
  std::vector<std::string> m_nodes;
  gen::ActivationReply m_reply;
};

/** What the control program must do, in the order of each list. */
struct Decisions {
  std::vector<gen::PlacementCommand> m_commands;  ///< append to the log
  std::vector<Order> m_orders;
  std::vector<StateQuery> m_queries;
  std::vector<ActivationAnswer> m_answers;
};

struct PlannerSettings {
  double m_store_loads_per_s = 3.0;
  int m_store_concurrency = 4;
  int m_adapters_in_flight = 30;
  /** An order has no effect later than this after it was sent. Covers the
   * step-down of an old leader, the order's timeout and the network delay. */
  base::milliseconds m_order_lifetime{10'000};
  base::milliseconds m_query_interval{500};
  base::milliseconds m_retire_min{5'000};
  base::milliseconds m_retire_max{120'000};
  base::milliseconds m_forget_after{600'000};
  /** Shorter gaps between uses don't count as idle times. */
  base::milliseconds m_min_idle{30'000};
  int m_waiting_per_replica = 16;
  InjectedFaults m_faults;
};

/** What the leader knows of a runner. */
struct RunnerView {
  gen::UpstreamRecord m_record;  ///< without a name: not reported yet
  std::map<std::string, CacheTier> m_cached;
  bool m_is_gone = false;
  base::TimePoint m_gone_since;
  base::TimePoint m_avoid_until;  ///< after a load that failed
  std::string m_open_order;       ///< ID of an unanswered order, or ""
  base::TimePoint m_open_since;
  std::optional<StateReport> m_report;  ///< newest by the time of its query
  base::TimePoint m_next_query;
};

/** What the leader knows of a grant beyond the ledger. */
struct GrantView {
  /** Until then, orders that got no answer may still take effect. */
  base::TimePoint m_uncertain_until;
  /** When the last order of the grant was answered or given up. A report that
   * was queried earlier may not show its effect. */
  base::TimePoint m_resolved_at;
  base::TimePoint m_next_attempt;
  base::TimePoint m_accepted_at;  ///< order of the current state
  bool m_is_accepted = false;     ///< order of the current state
  bool m_is_refused = false;      ///< order of the current state
  int m_attempts = 0;             ///< orders sent in the current state
  base::TimePoint m_since;        ///< when the current state was first seen
  gen::GrantState m_state = gen::GRANT_LOADING;
  FencingToken m_fence;  ///< fence that the fields above belong to
};

/** Requests that wait for a scope at one node. */
struct NodeDemand {
  std::uint32_t m_waiting = 0;
  base::TimePoint m_heard_at;
};

/** A scope that has to be loaded, with the requests of all nodes for it. */
struct Demand {
  std::string m_deployment;
  std::string m_adapter;
  std::string m_region;          ///< of the most urgent request
  base::TimePoint m_deadline;    ///< of the most urgent request
  base::TimePoint m_expires_at;  ///< removed then
  bool m_is_background = false;  ///< no request depends on it
  bool m_needs_answer = false;   ///< a request came since the last answer
  int m_replicas = 1;            ///< wanted, of the current version
  std::map<std::string, NodeDemand> m_nodes;  ///< by node name
};

/** Idle times of a scope, from which its keep-alive time is computed. */
struct IdleHistory {
  base::TimePoint m_last_use;
  std::deque<base::Duration> m_idle_gaps;  ///< newest last, bounded
};

/** Loading speed of a tier, in bytes per second. */
struct LoadSpeed {
  double m_bytes_per_s = 0.0;
};

/** State of the leader of one term; a new term begins with a new planner. Not
 * thread-safe. */
struct Planner {
  PlannerSettings m_settings;
  std::uint64_t m_term = 0;
  std::uint64_t m_next_sequence = 1;
  base::TimePoint m_started_at;
  config::CatalogPtr m_catalog;
  absl::btree_map<std::string, RunnerView> m_runners;
  absl::btree_map<std::uint64_t, GrantView> m_grants;
  absl::btree_map<std::string, Demand> m_demands;    ///< by scope
  absl::btree_map<std::string, IdleHistory> m_idle;  ///< by scope
  /** Proposed, not committed yet. */
  std::vector<gen::ReserveCommand> m_pending_reserves;
  /** Grants that a proposed command concerns. */
  absl::btree_set<std::uint64_t> m_pending_grants;
  base::TimePoint m_next_store_start;
  base::TimePoint m_next_review;
  LoadSpeed m_speeds[static_cast<int>(CacheTier::kEnd)];
};

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_PLACEMENT_PLANNER_TYPE_H_
