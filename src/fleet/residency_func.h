/** @file residency_func.h Which models and adapters runners shall hold.
 *
 * The leader of the control hosts plans; the shell sends the orders and tells
 * the answers. What a runner holds is what it last reported, changed by the
 * orders that it has accepted since. An order without answer is repeated with
 * the same number of accepted orders, so that only one of the two can be
 * carried out.
 */

#ifndef WASABIWIND_FLEET_RESIDENCY_FUNC_H_
#define WASABIWIND_FLEET_RESIDENCY_FUNC_H_

#include "fleet/residency_type.h"
#include "routes/table_func.h"

namespace wasabiwind::fleet {

/** Takes in what an entry host says of its requests. */
void RecordUse(ResidencyPlanner *planner, const gen::UseReport &report,
               base::TimePoint now);

/** What to do now. */
struct ResidencyActions {
  std::vector<PlannedOrder> m_orders;  ///< at most one a runner
  std::vector<std::string> m_queries;  ///< runners whose status is needed
  std::vector<gen::Residency> m_changed_residencies;  ///< to publish
};

/**
 * Plans the next orders.
 * @param term leadership of this host; part of the residencies' version
 * @param plans_ahead whether loads ahead of requests are planned too, which
 *        looks at each runner for each model
 */
ResidencyActions PlanResidency(ResidencyPlanner *planner, const FleetView &view,
                               const routes::RouteIndex &routes,
                               std::uint64_t term, bool plans_ahead,
                               base::TimePoint now);

/** How a runner answered an order. */
enum class OrderOutcome : std::uint8_t {
  kStarted,       ///< accepted, is being carried out
  kAlreadyHolds,  ///< nothing to do
  kConflict,      ///< busy, or another number of orders was accepted
  kStaleFence,    ///< the runner has seen a later term
  kRefused,       ///< the order can't be carried out
  kOtherRunner,   ///< the address belongs to another runner now
  kUnknown,       ///< no answer that can be read; it may be carried out yet
  kEnd,
};

/** Takes in the answer of an order that PlanResidency gave. */
void RecordOrderOutcome(ResidencyPlanner *planner, const PlannedOrder &order,
                        OrderOutcome outcome, base::TimePoint now);

/** State that a runner told when asked. */
struct StatusQueryResult {
  bool m_is_known = false;            ///< the runner answered
  std::uint64_t m_start_time_ms = 0;  ///< 0 if it didn't say
  std::uint64_t m_accepted_order_count = 0;
  bool m_is_busy = false;
  std::vector<std::string> m_targets;  ///< held or on their way
};

/** Takes in the answer of a query that PlanResidency asked for. */
void RecordStatus(ResidencyPlanner *planner, const std::string &upstream,
                  const StatusQueryResult &status, base::TimePoint now);

/** Forgets what was known of runners, when another host may have ordered. */
void ResetRunnerStates(ResidencyPlanner *planner);

/** @return requests a second for a target; a fast rise counts at once. */
double GetRate(const ResidencyPlanner &planner, const TargetKey &key,
               base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_FUNC_H_
