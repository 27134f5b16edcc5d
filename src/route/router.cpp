/** @file router.cpp Interface of routing: handles events and returns decisions.
 */

#include <algorithm>
#include <cassert>

#include "route/router_internal.h"

namespace wasabiwind::route {

namespace {

constexpr double kTokenLearningRate = 0.1;
constexpr base::milliseconds kMaxTimerDelay{100};
constexpr double kMaxBudgetCredit = 20;

/** @return the reason why a new request can't be queued, or kEnd. */
RefusalReason CheckAdmission(const Router &router, const Pool &pool,
                             const RoutedRequest &request,
                             const PoolOptions &options, EstimatedSeconds wait,
                             base::TimePoint now) {
  bool is_cold = FindCandidates(router, pool.m_target).empty();
  double certainty = router.m_options.m_refusal_certainty;
  if (is_cold && !options.m_can_activate) return RefusalReason::kNoUpstream;
  if (is_cold && pool.m_ready_at > now &&
      IsTooLate(pool, request, pool.m_ready_at, certainty)) {
    return RefusalReason::kColdStartTooLate;
  }
  base::TimePoint start = now + ToDuration(wait * certainty);
  if (!is_cold && IsTooLate(pool, request, start, certainty)) {
    return RefusalReason::kDeadlineTooShort;
  }
  return RefusalReason::kEnd;
}

/** Makes room for a new request in a full queue by evicting another one, if
 * FindEvictable finds one. @return whether the new request may be queued */
bool EnsureQueueRoom(Router *router, const Pool &pool,
                     const QueuedRequest &queued, std::size_t queue_limit,
                     base::milliseconds retry_after, Decisions *decisions,
                     const base::DeploymentId &name) {
  auto waiting = router->m_waiting.find(name);
  if (waiting == router->m_waiting.end()) return queue_limit > 0;
  if (waiting->second < queue_limit) return true;
  std::optional<RequestNumber> evicted = FindEvictable(pool.m_queue, queued);
  if (!evicted) return false;
  RefuseRequest(router, *evicted, RefusalReason::kQueueFull, retry_after,
                decisions);
  return true;
}

void UpdateTokenTime(Router *router, Attempt *attempt, std::uint32_t tokens,
                     base::TimePoint now) {
  if (tokens <= attempt->m_tokens) return;
  EstimatedSeconds elapsed = now - attempt->m_progress_at;
  double per_token = elapsed.count() / (tokens - attempt->m_tokens);
  attempt->m_tokens = tokens;
  attempt->m_progress_at = now;
  const RoutedRequest &request =
      router->m_requests.find(attempt->m_request)->second;
  AddSample(&FindPool(router, request).m_token_seconds, per_token,
            kTokenLearningRate);
  Upstream *upstream = FindUpstream(router, *attempt);
  if (upstream == nullptr) return;
  AddSample(&upstream->m_token_seconds, per_token, kTokenLearningRate);
  CheckUpstream(router, upstream, request.m_info.m_target, false, now);
}

/** Corrects the size of a running request. A short request that turns out to be
 * long no longer counts in m_short_running. */
void CorrectLength(Router *router, RoutedRequest *request, Attempt *attempt) {
  SizeEstimate corrected =
      CorrectSize(request->m_size, request->m_size_input, attempt->m_tokens);
  if (corrected.m_output_tokens > request->m_size.m_output_tokens) {
    ++router->m_counters.m_corrected_sizes;
  }
  request->m_size = corrected;
  if (attempt->m_is_deferrable || !IsLong(*router, corrected)) return;
  attempt->m_is_deferrable = true;
  --FindPool(router, *request).m_short_running;
}

}  // namespace

Router MakeRouter(const RouterOptions &options, std::uint64_t seed) {
  Router router;
  router.m_options = options;
  router.m_random.m_state = seed;
  router.m_hedge_budget = {options.m_hedge_share, kMaxBudgetCredit, 1};
  router.m_retry_budget = {options.m_retry_share, kMaxBudgetCredit, 1};
  return router;
}

void SetPoolOptions(Router *router, const base::DeploymentId &deployment,
                    const PoolOptions &options) {
  router->m_pool_options[deployment] = options;
}

void RemovePoolOptions(Router *router, const base::DeploymentId &deployment,
                       Decisions *decisions) {
  router->m_pool_options.erase(deployment);
  std::vector<RequestNumber> waiting;
  for (const auto &[number, request] : router->m_requests) {
    bool is_affected =
        request.m_is_waiting && request.m_info.m_deployment == deployment;
    if (is_affected) waiting.push_back(number);
  }
  for (RequestNumber number : waiting) {
    RefuseRequest(router, number, RefusalReason::kUnknownModel, {}, decisions);
  }
}

void AdmitRequest(Router *router, const RequestInfo &info, base::TimePoint now,
                  Decisions *decisions) {
  assert(!router->m_requests.contains(info.m_request));
  auto refuse = [&](RefusalReason reason, base::milliseconds retry_after) {
    AddRefusal(info.m_request, reason, ExecutionState::kNotRun, retry_after,
               decisions);
  };
  auto found = router->m_pool_options.find(info.m_deployment);
  if (found == router->m_pool_options.end()) {
    return refuse(RefusalReason::kUnknownModel, {});
  }
  const PoolOptions &options = found->second;
  if (now >= info.m_deadline) return refuse(RefusalReason::kDeadlinePassed, {});
  if (router->m_requests.size() >= router->m_options.m_max_requests) {
    return refuse(RefusalReason::kQueueFull, kDefaultRetryAfter);
  }
  RoutedRequest request;
  request.m_info = info;
  request.m_size_input = {info.m_deployment, info.m_customer,
                          info.m_prompt_bytes, info.m_max_tokens};
  request.m_size = EstimateSize(router->m_sizes, request.m_size_input);
  request.m_pool = MakePoolKey(info);
  request.m_queued_at = now;
  Pool &pool = FindOrAddPool(router, info);
  QueuedRequest queued = MakeQueuedRequest(*router, request, options, now);
  EstimatedSeconds wait =
      PredictQueueWait(*router, pool, queued.m_class, queued.m_length);
  base::milliseconds retry_after =
      std::max(kDefaultRetryAfter, ToMilliseconds(wait));
  RefusalReason reason =
      CheckAdmission(*router, pool, request, options, wait, now);
  if (reason == RefusalReason::kColdStartTooLate) {
    retry_after = std::chrono::ceil<base::milliseconds>(pool.m_ready_at - now);
  }
  if (reason != RefusalReason::kEnd) return refuse(reason, retry_after);
  if (!EnsureQueueRoom(router, pool, queued, options.m_queue_limit, retry_after,
                       decisions, info.m_deployment)) {
    return refuse(RefusalReason::kQueueFull, retry_after);
  }
  std::optional<base::milliseconds> limited =
      ChargeLimits(&router->m_limits, info.m_customer, info.m_deployment,
                   request.m_size.m_cost, now);
  if (limited) return refuse(RefusalReason::kRateLimited, *limited);
  RoutedRequest &stored =
      router->m_requests.emplace(info.m_request, std::move(request))
          .first->second;
  ++pool.m_requests;
  QueueRequest(router, &stored, queued);
  DispatchAll(router, now, decisions);
}

void OnFirstToken(Router *router, AttemptNumber number, base::TimePoint now,
                  Decisions *decisions) {
  auto found = router->m_attempts.find(number);
  if (found == router->m_attempts.end()) return;
  Attempt &attempt = found->second;
  if (attempt.m_tokens > 0) return;
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  EstimatedSeconds waited = now - attempt.m_started_at;
  attempt.m_tokens = 1;
  attempt.m_progress_at = now;
  request.m_delivered = std::max(request.m_delivered, attempt.m_tokens);
  Pool &pool = FindPool(router, request);
  AddSample(&FindFirstTokenMean(&pool, request.m_info.m_prompt_bytes),
            waited.count(), kFirstTokenLearningRate);
  Upstream *upstream = FindUpstream(router, attempt);
  if (upstream != nullptr) {
    UpdateFirstTokenRatio(pool, request, waited, upstream);
    CheckUpstream(router, upstream, request.m_info.m_target, false, now);
  }
  if (request.m_attempts.size() <= 1) return;
  CancelOtherAttempts(router, request.m_info.m_request, number, now, decisions);
  DispatchAll(router, now, decisions);
}

void OnTokens(Router *router, AttemptNumber number, std::uint32_t tokens,
              base::TimePoint now, Decisions *decisions) {
  auto found = router->m_attempts.find(number);
  if (found == router->m_attempts.end()) return;
  if (found->second.m_tokens == 0) {
    OnFirstToken(router, number, now, decisions);
    found = router->m_attempts.find(number);
  }
  Attempt &attempt = found->second;
  UpdateTokenTime(router, &attempt, tokens, now);
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  request.m_delivered = std::max(request.m_delivered, attempt.m_tokens);
  CorrectLength(router, &request, &attempt);
}

void OnFinished(Router *router, AttemptNumber number, std::uint32_t tokens,
                base::TimePoint now, Decisions *decisions) {
  if (!router->m_attempts.contains(number)) return;
  OnTokens(router, number, tokens, now, decisions);
  Attempt attempt = EndAttempt(router, number);
  CancelOtherAttempts(router, attempt.m_request, number, now, decisions);
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  RecordSize(&router->m_sizes, request.m_size_input, attempt.m_tokens);
  Upstream *upstream = FindUpstream(router, attempt);
  if (upstream != nullptr) {
    upstream->m_failures = 0;
    CheckUpstream(router, upstream, request.m_info.m_target, true, now);
  }
  EndRequest(router, attempt.m_request);
  DispatchAll(router, now, decisions);
}

void OnFailed(Router *router, AttemptNumber number, ExecutionState ran,
              std::uint32_t tokens, base::TimePoint now, Decisions *decisions) {
  if (!router->m_attempts.contains(number)) return;
  Attempt attempt = EndAttempt(router, number);
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  request.m_delivered = std::max(request.m_delivered, tokens);
  request.m_failed_upstream = attempt.m_upstream;
  if (ran == ExecutionState::kUnknown) request.m_may_have_run = true;
  Upstream *upstream = FindUpstream(router, attempt);
  if (upstream != nullptr) {
    ++upstream->m_failures;
    CheckUpstream(router, upstream, request.m_info.m_target, true, now);
  }
  if (request.m_attempts.empty()) {
    RetryOrRefuse(router, &request, ran, now, decisions);
  }
  DispatchAll(router, now, decisions);
}

void OnCallerGone(Router *router, RequestNumber number, base::TimePoint now,
                  Decisions *decisions) {
  if (!router->m_requests.contains(number)) return;
  CancelOtherAttempts(router, number, AttemptNumber::Invalid(), now, decisions);
  EndRequest(router, number);
  DispatchAll(router, now, decisions);
}

void OnReadyTimePrediction(Router *router, const base::DeploymentId &deployment,
                           const base::TargetId &target,
                           base::TimePoint ready_at, base::TimePoint now,
                           Decisions *decisions) {
  RequestInfo info;
  info.m_deployment = deployment;
  info.m_target = target;
  auto found = router->m_pools.find(MakePoolKey(info));
  if (found == router->m_pools.end()) return;
  Pool *pool = found->second.get();
  pool->m_ready_at = ready_at;
  if (!FindCandidates(*router, target).empty()) return;
  std::vector<RequestNumber> late;
  for (const auto &[number, queued] : pool->m_queue.m_queued) {
    const RoutedRequest &request = router->m_requests.find(number)->second;
    bool is_late = queued.m_deadline <= ready_at ||
                   IsTooLate(*pool, request, ready_at,
                             router->m_options.m_refusal_certainty);
    if (is_late) late.push_back(number);
  }
  base::milliseconds retry_after =
      std::max(kDefaultRetryAfter,
               std::chrono::ceil<base::milliseconds>(ready_at - now));
  for (RequestNumber number : late) {
    RefuseRequest(router, number, RefusalReason::kColdStartTooLate, retry_after,
                  decisions);
  }
}

void OnTimer(Router *router, base::TimePoint now, Decisions *decisions) {
  std::set<std::string> waiting_pools = router->m_waiting_pools;
  for (const std::string &key : waiting_pools) {
    Pool *pool = router->m_pools.find(key)->second.get();
    while (!pool->m_queue.m_deadlines.empty() &&
           pool->m_queue.m_deadlines.begin()->first <= now) {
      RefuseRequest(router, pool->m_queue.m_deadlines.begin()->second,
                    RefusalReason::kDeadlinePassed, kDefaultRetryAfter,
                    decisions);
    }
  }
  while (!router->m_hedge_timers.empty() &&
         router->m_hedge_timers.begin()->first <= now) {
    AttemptNumber attempt = router->m_hedge_timers.begin()->second;
    router->m_hedge_timers.erase(router->m_hedge_timers.begin());
    TryHedge(router, attempt, now, decisions);
  }
  DispatchAll(router, now, decisions);
}

base::TimePoint GetNextTimer(const Router &router, base::TimePoint now) {
  base::TimePoint next = now + kMaxTimerDelay;
  if (!router.m_hedge_timers.empty()) {
    next = std::min(next, router.m_hedge_timers.begin()->first);
  }
  return std::max(next, now);
}

}  // namespace wasabiwind::route
