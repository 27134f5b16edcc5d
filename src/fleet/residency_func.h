/** @file residency_func.h Plans which models and adapters runners load.
 *
 * The leader of the control hosts plans. This module sends nothing: its user
 * sends the orders and records the answers. The models of a runner are those
 * that it last reported, changed by the orders that it has accepted since. An
 * order without an answer is repeated with the same expected order count, so
 * that the runner executes at most one of the two.
 */

#ifndef WASABIWIND_FLEET_RESIDENCY_FUNC_H_
#define WASABIWIND_FLEET_RESIDENCY_FUNC_H_

#include "fleet/residency_type.h"
#include "routes/table_func.h"

namespace wasabiwind::fleet {

/** A report of waiting requests expires after this time. */
inline constexpr base::milliseconds kWaitingLifetime{1'500};

/** @return whether a host's report of unreachable upstreams is to be believed:
 *         one that can't reach many of them is probably cut off itself */
bool IsPlausiblyUnreachable(std::size_t unreachable_count,
                            std::size_t upstream_count);

/** Records an entry host's report on its requests, or a sum of such reports. */
void RecordUse(ResidencyPlanner *planner, const gen::UseReport &report,
               base::TimePoint now);

/** Result of a planning pass. */
struct ResidencyActions {
  std::vector<PlannedOrder> m_orders;  ///< at most one per runner
  std::vector<std::string> m_queries;  ///< runners to query for their status
  std::vector<gen::Residency> m_changed_residencies;  ///< to publish
};

/**
 * Plans the next orders.
 * @param term leader term of this host; part of the version of residencies
 * @param plans_preloads whether to plan preloads of models too, which compares
 *        all runners for each model
 */
ResidencyActions PlanResidency(ResidencyPlanner *planner, const FleetView &view,
                               const routes::RouteIndex &routes,
                               std::uint64_t term, bool plans_preloads,
                               base::TimePoint now);

/** Answer of a runner to an order. */
enum class OrderOutcome : std::uint8_t {
  kStarted,       ///< accepted, in progress
  kAlreadyHolds,  ///< nothing to change
  kConflict,      ///< busy, or the expected order count doesn't match
  kStaleFence,    ///< the runner has seen a later term
  kRefused,       ///< the order can't be executed
  kOtherRunner,   ///< another runner has the address now
  kUnknown,       ///< no valid answer; the order may still be executed
  kEnd,
};

/** Records the answer to an order of PlanResidency. */
void RecordOrderOutcome(ResidencyPlanner *planner, const PlannedOrder &order,
                        OrderOutcome outcome, base::TimePoint now);

/** Answer of a runner to a status query. */
struct StatusQueryResult {
  bool m_is_known = false;            ///< the runner answered
  std::uint64_t m_start_time_ms = 0;  ///< 0 if not given
  std::uint64_t m_accepted_order_count = 0;
  bool m_is_busy = false;
  std::vector<std::string> m_targets;  ///< loaded or being loaded
};

/** Records the answer to a status query of PlanResidency. */
void RecordStatus(ResidencyPlanner *planner, const std::string &upstream,
                  const StatusQueryResult &status, base::TimePoint now);

/** Drops the state of runners, since another host may have sent them orders. */
void ResetRunnerStates(ResidencyPlanner *planner);

/** @return requests per second for a target; a fast rise counts at once. */
double GetRate(const ResidencyPlanner &planner, const TargetKey &key,
               base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_FUNC_H_
