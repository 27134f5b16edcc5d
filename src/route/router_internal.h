/** @file router_internal.h Helpers shared by the parts of the router. */

#ifndef WASABIWIND_ROUTE_ROUTER_INTERNAL_H_
#define WASABIWIND_ROUTE_ROUTER_INTERNAL_H_

#include <string>
#include <vector>

#include "route/router_func.h"

namespace wasabiwind::route {

inline constexpr double kFirstTokenLearningRate = 0.1;
/** Time after which to retry when no better estimate is known. */
inline constexpr base::milliseconds kDefaultRetryAfter{1'000};

// Pools and predictions.

std::string MakePoolKey(const RequestInfo &info);

const std::vector<Upstream *> &FindCandidates(const Router &router,
                                              const base::TargetId &target);

Pool &FindOrAddPool(Router *router, const RequestInfo &info);

Pool &FindPool(Router *router, const RoutedRequest &request);

bool IsLong(const Router &router, const SizeEstimate &size);

MovingMean &FindFirstTokenMean(Pool *pool, std::uint32_t prompt_bytes);

RequestLength GetLength(const Router &router, const SizeEstimate &size);

/** @return expected time to the first token, zero while it isn't known. */
EstimatedSeconds PredictFirstToken(const Pool &pool,
                                   std::uint32_t prompt_bytes);

EstimatedSeconds PredictQueueWait(const Router &router, const Pool &pool,
                                  PriorityClass priority_class,
                                  RequestLength length);

/** @return whether the answer would miss the deadline if the service took the
 * predicted time, multiplied by the certainty. */
bool IsTooLate(const Pool &pool, const RoutedRequest &request,
               base::TimePoint ready_at, double certainty);

// Upstreams.

/** @return the upstream of an attempt, or nullptr if it is gone or restarted.
 */
Upstream *FindUpstream(Router *router, const Attempt &attempt);

/** Ejects or readmits an upstream and adapts its concurrency limit. Between the
 * ends of attempts it does so at most once per kCheckInterval. */
void CheckUpstream(Router *router, Upstream *upstream,
                   const base::TargetId &target, bool is_attempt_done,
                   base::TimePoint now);

/** Updates the speed of an upstream with a time to the first token. */
void UpdateFirstTokenRatio(const Pool &pool, const RoutedRequest &request,
                           EstimatedSeconds waited, Upstream *upstream);

// Queueing, attempts and dispatch.

void AddRefusal(RequestNumber request, RefusalReason reason, ExecutionState ran,
                base::milliseconds retry_after, Decisions *decisions);

/** Removes a request that has ended. @pre none of its attempts runs */
void EndRequest(Router *router, RequestNumber number);

void RefuseRequest(Router *router, RequestNumber number, RefusalReason reason,
                   base::milliseconds retry_after, Decisions *decisions);

/** Removes an attempt from its request and its upstream's load. */
Attempt EndAttempt(Router *router, AttemptNumber number);

/** Serves pools with waiting requests in turn, so that pools which share
 * upstreams share their free slots. */
void DispatchAll(Router *router, base::TimePoint now, Decisions *decisions);

void QueueRequest(Router *router, RoutedRequest *request,
                  const QueuedRequest &queued);

QueuedRequest MakeQueuedRequest(const Router &router,
                                const RoutedRequest &request,
                                const PoolOptions &options,
                                base::TimePoint now);

/** Queues a request whose attempt failed for a retry, or refuses it. */
void RetryOrRefuse(Router *router, RoutedRequest *request, ExecutionState ran,
                   base::TimePoint now, Decisions *decisions);

void CancelOtherAttempts(Router *router, RequestNumber request,
                         AttemptNumber winner, base::TimePoint now,
                         Decisions *decisions);

void TryHedge(Router *router, AttemptNumber number, base::TimePoint now,
              Decisions *decisions);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_ROUTER_INTERNAL_H_
