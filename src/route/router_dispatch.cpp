/** @file router_dispatch.cpp Queueing of requests, and their attempts at
 * upstreams. */

#include <algorithm>
#include <cassert>
#include <cmath>

#include "route/router_internal.h"

namespace wasabiwind::route {

namespace {

constexpr base::milliseconds kActivationInterval{500};
/** Time over which the use of slots by short requests is averaged. */
constexpr EstimatedSeconds kShortMeanTime{4};
/** With fewer slots, one reserved slot would be too large a part of them. */
constexpr int kMinSlotsForReserve = 4;

/** Removes a request from the queue, if it waits. */
void StopWaiting(Router *router, RoutedRequest *request) {
  if (!request->m_is_waiting) return;
  request->m_is_waiting = false;
  --router->m_waiting[request->m_info.m_deployment];
  Pool &pool = FindPool(router, *request);
  RemoveRequest(&pool.m_queue, request->m_info.m_request);
  if (pool.m_queue.m_queued.empty()) {
    router->m_waiting_pools.erase(request->m_pool);
  }
}

/** Cancels an attempt that lost against another or whose caller disconnected.
 */
void CancelAttempt(Router *router, AttemptNumber number, base::TimePoint now,
                   Decisions *decisions) {
  Attempt attempt = EndAttempt(router, number);
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  request.m_may_have_run = true;
  decisions->m_cancels.push_back(
      {attempt.m_request, number, attempt.m_upstream});
  Upstream *upstream = FindUpstream(router, attempt);
  if (upstream == nullptr || attempt.m_tokens > 0) return;
  // The elapsed time is a lower bound of the time to the first token.
  EstimatedSeconds waited = now - attempt.m_started_at;
  UpdateFirstTokenRatio(FindPool(router, request), request, waited, upstream);
  CheckUpstream(router, upstream, request.m_info.m_target, true, now);
}

void ScheduleHedge(Router *router, const RoutedRequest &request,
                   AttemptNumber attempt, base::TimePoint now) {
  const RouterOptions &options = router->m_options;
  const Pool &pool = FindPool(router, request);
  if (!request.m_info.m_is_repeatable) return;
  if (request.m_attempts_made >= options.m_max_attempts) return;
  EstimatedSeconds expected =
      PredictFirstToken(pool, request.m_info.m_prompt_bytes);
  if (expected.count() <= 0) return;
  EstimatedSeconds delay = expected * options.m_hedge_factor;
  base::Duration wait =
      std::max<base::Duration>(options.m_hedge_min, ToDuration(delay));
  router->m_hedge_timers.emplace(now + wait, attempt);
  router->m_attempts.find(attempt)->second.m_hedge_at = now + wait;
}

void StartAttempt(Router *router, RoutedRequest *request, Upstream *upstream,
                  bool is_hedge, base::TimePoint now, Decisions *decisions) {
  AttemptNumber number(router->m_next_attempt++);
  Attempt attempt;
  attempt.m_request = request->m_info.m_request;
  attempt.m_upstream = upstream->m_info.m_upstream;
  attempt.m_incarnation = upstream->m_info.m_incarnation;
  attempt.m_started_at = now;
  attempt.m_progress_at = now;
  attempt.m_is_deferrable = IsDeferrable(request->m_info.m_class,
                                         GetLength(*router, request->m_size));
  attempt.m_is_hedge = is_hedge;
  if (upstream->m_ejection != EjectionState::kHealthy) BeginProbe(upstream);
  ++upstream->m_in_flight;
  if (!attempt.m_is_deferrable) ++FindPool(router, *request).m_short_running;
  if (request->m_attempts_made == 0) {
    ++router->m_counters.m_first_attempts;
    EarnBudget(&router->m_hedge_budget);
    EarnBudget(&router->m_retry_budget);
  }
  ++request->m_attempts_made;
  request->m_attempts.push_back(number);
  router->m_attempts.emplace(number, attempt);
  if (request->m_delivered > 0) ++router->m_counters.m_resumes;
  decisions->m_starts.push_back({attempt.m_request, number, attempt.m_upstream,
                                 is_hedge, request->m_delivered});
  if (!is_hedge) ScheduleHedge(router, *request, number, now);
}

/** @return the candidates in a region; an invalid region means all. */
std::vector<Upstream *> SelectRegion(const std::vector<Upstream *> &candidates,
                                     const base::RegionId &region) {
  std::vector<Upstream *> selected;
  for (Upstream *upstream : candidates) {
    bool is_inside = !region.IsValid() || upstream->m_info.m_region == region;
    if (is_inside) selected.push_back(upstream);
  }
  return selected;
}

bool HasHealthyUpstream(const std::vector<Upstream *> &upstreams) {
  return std::any_of(upstreams.begin(), upstreams.end(), [](Upstream *one) {
    return one->m_ejection == EjectionState::kHealthy &&
           !one->m_info.m_is_leaving;
  });
}

/** Chooses in region order; a farther region gets requests that have waited, or
 * whose nearer regions have no healthy upstream. */
Upstream *ChooseInRegions(Router *router, const RoutedRequest &request,
                          const ChooseInput &input, base::TimePoint now) {
  const RouterOptions &options = router->m_options;
  const auto &all = FindCandidates(*router, request.m_info.m_target);
  auto pool_options = router->m_pool_options.find(request.m_info.m_deployment);
  if (pool_options == router->m_pool_options.end() ||
      pool_options->second.m_regions.empty()) {
    return ChooseUpstream(options.m_choose, all, input, now, &router->m_random);
  }
  bool may_spill = now - request.m_queued_at >= options.m_choose.m_spill_after;
  bool is_first = true;
  for (const base::RegionId &region : pool_options->second.m_regions) {
    std::vector<Upstream *> candidates = SelectRegion(all, region);
    Upstream *chosen = ChooseUpstream(options.m_choose, candidates, input, now,
                                      &router->m_random);
    if (chosen != nullptr) {
      if (!is_first) ++router->m_counters.m_spills;
      return chosen;
    }
    if (!may_spill && HasHealthyUpstream(candidates)) return nullptr;
    is_first = false;
  }
  return nullptr;
}

ChooseInput MakeChooseInput(const Router &router,
                            const RoutedRequest &request) {
  ChooseInput input;
  input.m_length = GetLength(router, request.m_size);
  input.m_affinity = request.m_info.m_affinity;
  if (request.m_failed_upstream.IsValid()) {
    input.m_avoid.push_back(request.m_failed_upstream);
  }
  return input;
}

/** @return the input for an attempt beside the running ones. */
ChooseInput MakeChooseInputBeside(const Router &router,
                                  const RoutedRequest &request) {
  ChooseInput input;
  input.m_length = GetLength(router, request.m_size);
  for (AttemptNumber attempt : request.m_attempts) {
    input.m_avoid.push_back(router.m_attempts.find(attempt)->second.m_upstream);
  }
  return input;
}

/** @return whether a failed or silent attempt may be followed by another. */
bool MayTryAgain(const Router &router, const RoutedRequest &request,
                 ExecutionState ran, base::TimePoint now) {
  const RequestInfo &info = request.m_info;
  bool is_safe = ran == ExecutionState::kNotRun || info.m_is_repeatable;
  if (request.m_delivered > 0) is_safe = info.m_may_resume;
  return is_safe && now < info.m_deadline &&
         request.m_attempts_made < router.m_options.m_max_attempts &&
         router.m_pool_options.contains(info.m_deployment);
}

void UpdateShortMean(Pool *pool, base::TimePoint now) {
  EstimatedSeconds elapsed = now - pool->m_short_mean_at;
  pool->m_short_mean_at = now;
  double weight = 1 - std::exp(-(elapsed / kShortMeanTime));
  pool->m_short_mean += weight * (pool->m_short_running - pool->m_short_mean);
}

/**
 * Long and batch requests leave free the slots that short ones usually need and
 * don't use now. Slots that short requests need beyond that become free soon,
 * because there are many slots; a larger reserve would be idle at peak load.
 */
bool MayStartDeferrable(const Router &router, const Pool &pool) {
  int slots = 0;
  int free = 0;
  for (const Upstream *upstream : FindCandidates(router, pool.m_target)) {
    if (upstream->m_ejection != EjectionState::kHealthy) continue;
    slots += GetConcurrencyLimit(*upstream);
    free += std::max(0, GetConcurrencyLimit(*upstream) - upstream->m_in_flight);
  }
  const RouterOptions &options = router.m_options;
  double mean = std::max(0.0, pool.m_short_mean);
  double reserve = mean + options.m_reserve_deviations * std::sqrt(mean);
  if (slots >= kMinSlotsForReserve) reserve = std::max(1.0, reserve);
  reserve = std::min(reserve, std::floor(slots * options.m_max_reserve_share));
  int wanted = static_cast<int>(std::lround(reserve));
  return free > std::max(0, wanted - pool.m_short_running);
}

/** Starts one request of a pool, or refuses one that is too late.
 * @return whether anything was done */
bool DispatchOne(Router *router, Pool *pool, base::TimePoint now,
                 Decisions *decisions) {
  UpdateShortMean(pool, now);
  bool may_start_deferrable = MayStartDeferrable(*router, *pool);
  for (bool allow_deferrable : {true, false}) {
    if (allow_deferrable && !may_start_deferrable) continue;
    const QueuedRequest *queued = PeekRequest(pool->m_queue, allow_deferrable);
    if (queued == nullptr) return false;
    RequestNumber number = queued->m_request;
    RoutedRequest &request = router->m_requests.find(number)->second;
    if (IsTooLate(*pool, request, now, router->m_options.m_start_certainty)) {
      RefuseRequest(router, number, RefusalReason::kDeadlineTooShort,
                    kDefaultRetryAfter, decisions);
      return true;
    }
    Upstream *upstream = ChooseInRegions(
        router, request, MakeChooseInput(*router, request), now);
    if (upstream != nullptr) {
      TakeRequest(&pool->m_queue, number);
      StopWaiting(router, &request);
      StartAttempt(router, &request, upstream, false, now, decisions);
      return true;
    }
    if (!IsDeferrable(queued->m_class, queued->m_length)) return false;
  }
  return false;
}

void RequestActivation(Pool *pool, base::TimePoint now, Decisions *decisions) {
  if (now < pool->m_activate_at || pool->m_queue.m_queued.empty()) return;
  pool->m_activate_at = now + kActivationInterval;
  ActivationDecision activation;
  activation.m_deployment = pool->m_deployment;
  activation.m_target = pool->m_target;
  activation.m_deadline = pool->m_queue.m_deadlines.begin()->first;
  activation.m_waiting =
      static_cast<std::uint32_t>(pool->m_queue.m_queued.size());
  decisions->m_activations.push_back(std::move(activation));
}

}  // namespace

void AddRefusal(RequestNumber request, RefusalReason reason, ExecutionState ran,
                base::milliseconds retry_after, Decisions *decisions) {
  RefuseDecision decision;
  decision.m_request = request;
  decision.m_refusal.m_reason = reason;
  decision.m_refusal.m_ran = ran;
  if (GetRefusalRow(reason).m_may_retry) {
    decision.m_refusal.m_retry_after = retry_after;
  }
  decisions->m_refusals.push_back(std::move(decision));
}

void EndRequest(Router *router, RequestNumber number) {
  auto found = router->m_requests.find(number);
  RoutedRequest &request = found->second;
  assert(request.m_attempts.empty());
  StopWaiting(router, &request);
  --FindPool(router, request).m_requests;
  ReleaseLimits(&router->m_limits, request.m_info.m_customer,
                request.m_info.m_deployment);
  router->m_requests.erase(found);
}

void RefuseRequest(Router *router, RequestNumber number, RefusalReason reason,
                   base::milliseconds retry_after, Decisions *decisions) {
  const RoutedRequest &request = router->m_requests.find(number)->second;
  ExecutionState ran = request.m_may_have_run ? ExecutionState::kUnknown
                                              : ExecutionState::kNotRun;
  AddRefusal(number, reason, ran, retry_after, decisions);
  EndRequest(router, number);
}

Attempt EndAttempt(Router *router, AttemptNumber number) {
  auto found = router->m_attempts.find(number);
  Attempt attempt = found->second;
  router->m_attempts.erase(found);
  router->m_hedge_timers.erase({attempt.m_hedge_at, number});
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  std::erase(request.m_attempts, number);
  if (!attempt.m_is_deferrable) --FindPool(router, request).m_short_running;
  Upstream *upstream = FindUpstream(router, attempt);
  if (upstream != nullptr) {
    --upstream->m_in_flight;
    assert(upstream->m_in_flight >= 0);
  }
  return attempt;
}

void DispatchAll(Router *router, base::TimePoint now, Decisions *decisions) {
  std::size_t blocked_pools = 0;
  while (blocked_pools < router->m_waiting_pools.size()) {
    auto next = router->m_waiting_pools.upper_bound(router->m_last_pool);
    if (next == router->m_waiting_pools.end()) {
      next = router->m_waiting_pools.begin();
    }
    router->m_last_pool = *next;
    Pool *pool = router->m_pools.find(*next)->second.get();
    bool has_candidates = !FindCandidates(*router, pool->m_target).empty();
    if (!has_candidates) RequestActivation(pool, now, decisions);
    bool made_progress =
        has_candidates && DispatchOne(router, pool, now, decisions);
    blocked_pools = made_progress ? 0 : blocked_pools + 1;
  }
}

void QueueRequest(Router *router, RoutedRequest *request,
                  const QueuedRequest &queued) {
  request->m_is_waiting = true;
  ++router->m_waiting[request->m_info.m_deployment];
  PushRequest(&FindPool(router, *request).m_queue, queued);
  router->m_waiting_pools.insert(request->m_pool);
}

QueuedRequest MakeQueuedRequest(const Router &router,
                                const RoutedRequest &request,
                                const PoolOptions &options,
                                base::TimePoint now) {
  QueuedRequest queued;
  queued.m_request = request.m_info.m_request;
  queued.m_customer = request.m_info.m_customer;
  queued.m_customer_weight = request.m_info.m_customer_weight;
  queued.m_class = request.m_info.m_class;
  queued.m_length = GetLength(router, request.m_size);
  queued.m_cost = request.m_size.m_cost;
  queued.m_deadline =
      std::min(request.m_info.m_deadline, now + options.m_max_wait);
  queued.m_queued_at = now;
  return queued;
}

void RetryOrRefuse(Router *router, RoutedRequest *request, ExecutionState ran,
                   base::TimePoint now, Decisions *decisions) {
  const RequestInfo &info = request->m_info;
  RefusalReason reason = now >= info.m_deadline
                             ? RefusalReason::kUpstreamTimeout
                             : RefusalReason::kUpstreamFailed;
  if (!MayTryAgain(*router, *request, ran, now)) {
    ++router->m_counters.m_retry_not_allowed;
    RefuseRequest(router, info.m_request, reason, kDefaultRetryAfter,
                  decisions);
    return;
  }
  if (!SpendBudget(&router->m_retry_budget)) {
    ++router->m_counters.m_retry_budget_empty;
    RefuseRequest(router, info.m_request, reason, kDefaultRetryAfter,
                  decisions);
    return;
  }
  ++router->m_counters.m_retries;
  // The queue limit was already checked when the request was admitted.
  const PoolOptions &options =
      router->m_pool_options.find(info.m_deployment)->second;
  QueueRequest(router, request,
               MakeQueuedRequest(*router, *request, options, now));
}

void CancelOtherAttempts(Router *router, RequestNumber request,
                         AttemptNumber winner, base::TimePoint now,
                         Decisions *decisions) {
  std::vector<AttemptNumber> attempts =
      router->m_requests.find(request)->second.m_attempts;
  for (AttemptNumber attempt : attempts) {
    if (attempt != winner) CancelAttempt(router, attempt, now, decisions);
  }
}

void TryHedge(Router *router, AttemptNumber number, base::TimePoint now,
              Decisions *decisions) {
  auto found = router->m_attempts.find(number);
  if (found == router->m_attempts.end()) return;
  const Attempt &attempt = found->second;
  RoutedRequest &request = router->m_requests.find(attempt.m_request)->second;
  if (attempt.m_tokens > 0 || request.m_attempts.size() > 1) return;
  ChooseInput input = MakeChooseInputBeside(*router, request);
  input.m_must_avoid = true;
  Upstream *upstream = ChooseInRegions(router, request, input, now);
  if (upstream == nullptr) return;
  if (!SpendBudget(&router->m_hedge_budget)) {
    ++router->m_counters.m_hedge_budget_empty;
    return;
  }
  ++router->m_counters.m_hedges;
  StartAttempt(router, &request, upstream, true, now, decisions);
}

std::optional<StartDecision> StartBackup(Router *router, AttemptNumber number,
                                         base::TimePoint now) {
  auto found = router->m_attempts.find(number);
  if (found == router->m_attempts.end()) return std::nullopt;
  RoutedRequest &request =
      router->m_requests.find(found->second.m_request)->second;
  if (!MayTryAgain(*router, request, ExecutionState::kUnknown, now)) {
    return std::nullopt;
  }
  ChooseInput input = MakeChooseInputBeside(*router, request);
  bool is_only = request.m_attempts.size() == 1 &&
                 FindCandidates(*router, request.m_info.m_target).size() == 1;
  input.m_must_avoid = !is_only;
  Upstream *upstream = ChooseInRegions(router, request, input, now);
  if (upstream == nullptr) return std::nullopt;
  if (!SpendBudget(&router->m_retry_budget)) {
    ++router->m_counters.m_retry_budget_empty;
    return std::nullopt;
  }
  ++router->m_counters.m_retries;
  Decisions decisions;
  StartAttempt(router, &request, upstream, /*is_hedge=*/true, now, &decisions);
  return decisions.m_starts.front();
}

void OnCancelled(Router *router, AttemptNumber number, base::TimePoint now,
                 Decisions *decisions) {
  if (!router->m_attempts.contains(number)) return;
  CancelAttempt(router, number, now, decisions);
  DispatchAll(router, now, decisions);
}

}  // namespace wasabiwind::route
