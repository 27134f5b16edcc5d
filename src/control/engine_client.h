/** @file engine_client.h Orders and state queries to engines over HTTP. */

#ifndef WASABIWIND_CONTROL_ENGINE_CLIENT_H_
#define WASABIWIND_CONTROL_ENGINE_CLIENT_H_

#include <optional>

#include "net/http_client.h"
#include "placement/planner_type.h"

namespace wasabiwind::control {

/**
 * Sends an order.
 * @param deadline without an answer by then the outcome is kLost
 * @pre called inside net::RunFiberThread
 */
placement::OrderResult SendOrder(net::HttpClientPool *pool,
                                 const placement::Order &order,
                                 base::TimePoint deadline);

/** @return the runner's answer to a query, or nothing. */
std::optional<placement::StateReport> QueryState(
    net::HttpClientPool *pool, const placement::StateQuery &query,
    base::TimePoint deadline);

/** @return the outcome that an HTTP answer to an order states. */
placement::OrderOutcome ParseOrderAnswer(int status, const std::string &body);

/** @return the report in the body of GET /admin/v1/state, or nothing. */
std::optional<placement::StateReport> ParseStateReport(const std::string &body);

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_ENGINE_CLIENT_H_
