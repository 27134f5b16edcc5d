/** @file planner_func.h Facade of placement for the control program.
 *
 * The leader feeds events in and carries out the decisions that come back.
 * Commands go through the replicated log; every host executes them on its
 * ledger with ExecuteCommand, and the leader then reports each to OnCommand.
 * An order is sent at most order_lifetime after it was decided, with its
 * timeout and the network included, and only while the leadership is
 * confirmed. A host that loses its leadership drops its planner.
 */

#ifndef WASABIWIND_PLACEMENT_PLANNER_FUNC_H_
#define WASABIWIND_PLACEMENT_PLANNER_FUNC_H_

#include "placement/planner_type.h"

namespace wasabiwind::placement {

/** @return settings from section [placement]. */
PlannerSettings MakePlannerSettings(const gen::PlacementSettings &settings);

/**
 * Makes the planner of a new leader.
 * @param term term of the leadership, above that of the ledger
 * @param[out] decisions the BeginTerm command, which comes first in the log
 */
Planner MakePlanner(const PlannerSettings &settings, std::uint64_t term,
                    config::CatalogPtr catalog, base::TimePoint now,
                    Decisions *decisions);

/** Takes a new configuration. Its effects follow at the next OnTimer. */
void OnCatalog(Planner *planner, config::CatalogPtr catalog);

/**
 * Takes what a node reports of a runner; other kinds and older incarnations
 * are ignored. Its effects follow at the next OnTimer.
 */
void OnUpstream(Planner *planner, const gen::UpstreamRecord &record,
                base::TimePoint now);

/**
 * Takes a wake. One with `waiting` 0 reports only that a scope is in use,
 * which keeps it loaded; nodes send such a report every few seconds.
 */
Decisions OnActivationRequest(Planner *planner, const Ledger &ledger,
                              const std::string &node,
                              const gen::ActivationRequest &request,
                              base::TimePoint now);

/**
 * Takes the outcome of a command that this planner decided.
 * @param ledger after the command
 */
Decisions OnCommand(Planner *planner, const Ledger &ledger,
                    const gen::PlacementCommand &command, bool is_accepted,
                    base::TimePoint now);

/** Takes the outcome of an order. Every order has one; kLost if none came. */
Decisions OnOrderResult(Planner *planner, const Ledger &ledger,
                        const OrderResult &result, base::TimePoint now);

/** Takes the answer to a query. */
Decisions OnStateReport(Planner *planner, const Ledger &ledger,
                        const StateReport &report, base::TimePoint now);

/** Does what is due. Called about every 100 ms. */
Decisions OnTimer(Planner *planner, const Ledger &ledger, base::TimePoint now);

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_PLACEMENT_PLANNER_FUNC_H_
