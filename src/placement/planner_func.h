/** @file planner_func.h Interface of placement for the control program.
 *
 * The leader passes events to the planner and carries out the decisions that it
 * returns. Commands go through the replicated log; every host executes them on
 * its ledger with ExecuteCommand, and the leader then reports each to
 * OnCommand. An order is sent only while the leadership is confirmed and only
 * if it arrives at most order_lifetime after it was decided, with its timeout
 * and the network delay included. A host that loses its leadership discards its
 * planner.
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

/** Replaces the configuration. It takes effect at the next OnTimer. */
void OnCatalog(Planner *planner, config::CatalogPtr catalog);

/**
 * Records what a node reports about a runner. Upstreams of other kinds and
 * older incarnations are ignored. The report takes effect at the next OnTimer.
 */
void OnUpstream(Planner *planner, const gen::UpstreamRecord &record,
                base::TimePoint now);

/**
 * Handles a node's request to load a scope. With `waiting` 0 the request only
 * reports that the scope is in use, which keeps it loaded; nodes send such a
 * report every few seconds.
 */
Decisions OnActivationRequest(Planner *planner, const Ledger &ledger,
                              const std::string &node,
                              const gen::ActivationRequest &request,
                              base::TimePoint now);

/**
 * Handles the outcome of a command that this planner proposed.
 * @param ledger state after the command
 */
Decisions OnCommand(Planner *planner, const Ledger &ledger,
                    const gen::PlacementCommand &command, bool is_accepted,
                    base::TimePoint now);

/** Handles the outcome of an order. Every order gets one; kLost if no answer
 * came. */
Decisions OnOrderResult(Planner *planner, const Ledger &ledger,
                        const OrderResult &result, base::TimePoint now);

/** Handles the answer to a query. */
Decisions OnStateReport(Planner *planner, const Ledger &ledger,
                        const StateReport &report, base::TimePoint now);

/** Does periodic work. Called about every 100 ms. */
Decisions OnTimer(Planner *planner, const Ledger &ledger, base::TimePoint now);

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_PLACEMENT_PLANNER_FUNC_H_
