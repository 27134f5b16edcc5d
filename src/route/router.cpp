/** @file router.cpp Interface of routing: handles events and returns decisions.
 */

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

#include "route/router_func.h"

namespace wasabiwind::route {

namespace {

constexpr double kFirstTokenLearningRate = 0.1;
constexpr double kTokenLearningRate = 0.1;
/** Samples before a pool's latency is used for predictions. */
constexpr std::uint32_t kMinPoolSamples = 8;
constexpr base::milliseconds kActivationInterval{500};
constexpr base::milliseconds kMaxTimerDelay{100};
/** An older load report says nothing about the present load. */
constexpr base::milliseconds kLoadValidTime{2'000};
/** Time after which to retry when no better estimate is known. */
constexpr base::milliseconds kDefaultRetryAfter{1'000};
constexpr double kMaxBudgetCredit = 20;
/** Time over which the use of slots by short requests is averaged. */
constexpr EstimatedSeconds kShortMeanTime{4};
/** With fewer slots, one reserved slot would be too large a part of them. */
constexpr int kMinSlotsForReserve = 4;
/** Least time between two checks of one upstream by its token times,
 * because the median of its peers takes time proportional to their number. */
constexpr base::milliseconds kCheckInterval{50};
/** With this many pools, those without requests are removed, and with them
 * their latencies, before another one is added. */
constexpr std::size_t kPoolCleanupThreshold = 4'096;

std::string MakePoolKey(const RequestInfo &info) {
  return info.m_deployment.Value() + '\n' + info.m_target.Value();
}

const std::vector<Upstream *> &FindCandidates(const Router &router,
                                              const base::TargetId &target) {
  static const std::vector<Upstream *> kNone;
  auto found = router.m_by_target.find(target);
  if (found == router.m_by_target.end()) return kNone;
  const TargetUpstreams &upstreams = found->second;
  return upstreams.m_with_slots.empty() ? upstreams.m_all
                                        : upstreams.m_with_slots;
}

void RemoveIdlePools(Router *router) {
  absl::erase_if(router->m_pools, [](const auto &entry) {
    return entry.second->m_requests == 0;
  });
}

Pool &FindOrAddPool(Router *router, const RequestInfo &info) {
  std::string key = MakePoolKey(info);
  bool is_full = router->m_pools.size() >= kPoolCleanupThreshold;
  if (is_full && !router->m_pools.contains(key)) RemoveIdlePools(router);
  std::unique_ptr<Pool> &pool = router->m_pools[key];
  if (pool == nullptr) {
    pool = std::make_unique<Pool>();
    pool->m_deployment = info.m_deployment;
    pool->m_target = info.m_target;
  }
  return *pool;
}

Pool &FindPool(Router *router, const RoutedRequest &request) {
  return *router->m_pools.find(request.m_pool)->second;
}

bool IsLong(const Router &router, const SizeEstimate &size) {
  return size.m_output_tokens > router.m_options.m_long_tokens;
}

MovingMean &FindFirstTokenMean(Pool *pool, std::uint32_t prompt_bytes) {
  return pool->m_first_token_seconds[std::bit_width(prompt_bytes)];
}

RequestLength GetLength(const Router &router, const SizeEstimate &size) {
  return IsLong(router, size) ? RequestLength::kLong : RequestLength::kShort;
}

/** @return expected time to the first token, zero while it isn't known. */
EstimatedSeconds PredictFirstToken(const Pool &pool,
                                   std::uint32_t prompt_bytes) {
  const MovingMean &mean =
      pool.m_first_token_seconds[std::bit_width(prompt_bytes)];
  return EstimatedSeconds(mean.m_samples >= kMinPoolSamples ? mean.m_value : 0);
}

/** @return expected service time, zero while the pool hasn't been measured. */
EstimatedSeconds PredictService(const Pool &pool,
                                const RoutedRequest &request) {
  const SizeEstimate &size = request.m_size;
  EstimatedSeconds service =
      PredictFirstToken(pool, request.m_info.m_prompt_bytes);

  if (pool.m_token_seconds.m_samples >= kMinPoolSamples) {
    double tokens = size.m_output_tokens - 1;
    service += EstimatedSeconds(pool.m_token_seconds.m_value * tokens);
  }
  return service;
}

EstimatedSeconds PredictQueueWait(const Router &router, const Pool &pool,
                                  PriorityClass priority_class,
                                  RequestLength length) {
  if (pool.m_token_seconds.m_samples < kMinPoolSamples) {
    return EstimatedSeconds(0);
  }
  double slots = 0;
  for (const Upstream *upstream : FindCandidates(router, pool.m_target)) {
    if (upstream->m_ejection != EjectionState::kHealthy) continue;
    slots += GetConcurrencyLimit(*upstream);
  }
  if (slots == 0) return EstimatedSeconds(0);
  double ahead = ComputeCostAhead(pool.m_queue, priority_class, length);
  return EstimatedSeconds(ahead * pool.m_token_seconds.m_value / slots);
}

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

/** Removes a request that has ended. @pre none of its attempts runs */
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

/** @return the upstream of an attempt, or nullptr if it is gone or restarted.
 */
Upstream *FindUpstream(Router *router, const Attempt &attempt) {
  auto found = router->m_upstreams.find(attempt.m_upstream);
  if (found == router->m_upstreams.end()) return nullptr;
  Upstream *upstream = found->second.get();
  bool is_same = upstream->m_info.m_incarnation == attempt.m_incarnation;
  return is_same ? upstream : nullptr;
}

/** Ejects or readmits an upstream and adapts its concurrency limit. Between the
 * ends of attempts it does so at most once per kCheckInterval. */
void CheckUpstream(Router *router, Upstream *upstream,
                   const base::TargetId &target, bool is_attempt_done,
                   base::TimePoint now) {
  if (!is_attempt_done && now - upstream->m_checked_at < kCheckInterval) return;
  upstream->m_checked_at = now;
  const ChooseOptions &options = router->m_options.m_choose;
  bool is_ejected = UpdateEjection(
      options, upstream, FindCandidates(*router, target), is_attempt_done, now);
  if (is_ejected) ++router->m_counters.m_ejections;
  UpdateConcurrencyLimit(upstream, now);
}

/** Removes an attempt from its request and its upstream's load. */
Attempt EndAttempt(Router *router, AttemptNumber number) {
  auto found = router->m_attempts.find(number);
  Attempt attempt = found->second;
  router->m_attempts.erase(found);
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

/** Updates the speed of an upstream with a time to the first token. */
void UpdateFirstTokenRatio(const Pool &pool, const RoutedRequest &request,
                           EstimatedSeconds waited, Upstream *upstream) {
  EstimatedSeconds expected =
      PredictFirstToken(pool, request.m_info.m_prompt_bytes);
  if (expected.count() <= 0) return;
  AddSample(&upstream->m_first_token_ratio, waited / expected,
            kFirstTokenLearningRate);
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
  input.m_avoid = request.m_failed_upstream;
  return input;
}

/** @return whether the answer would miss the deadline if the service took the
 * predicted time, multiplied by the certainty. */
bool IsTooLate(const Pool &pool, const RoutedRequest &request,
               base::TimePoint ready_at, double certainty) {
  EstimatedSeconds service = PredictService(pool, request) * certainty;
  return ready_at + ToDuration(service) > request.m_info.m_deadline;
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

/** Serves pools with waiting requests in turn, so that pools which share
 * upstreams share their free slots. */
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

/** Queues a request whose attempt failed for a retry, or refuses it. */
void RetryOrRefuse(Router *router, RoutedRequest *request, ExecutionState ran,
                   base::TimePoint now, Decisions *decisions) {
  const RequestInfo &info = request->m_info;
  RefusalReason reason = now >= info.m_deadline
                             ? RefusalReason::kUpstreamTimeout
                             : RefusalReason::kUpstreamFailed;
  bool is_safe = ran == ExecutionState::kNotRun || info.m_is_repeatable;
  if (request->m_delivered > 0) is_safe = info.m_may_resume;
  bool may_try_again =
      now < info.m_deadline &&
      request->m_attempts_made < router->m_options.m_max_attempts;
  auto options = router->m_pool_options.find(info.m_deployment);
  if (!is_safe || !may_try_again || options == router->m_pool_options.end()) {
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
  QueueRequest(router, request,
               MakeQueuedRequest(*router, *request, options->second, now));
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
  ChooseInput input = MakeChooseInput(*router, request);
  input.m_avoid = attempt.m_upstream;
  input.m_must_avoid = true;
  input.m_affinity = 0;
  Upstream *upstream = ChooseInRegions(router, request, input, now);
  if (upstream == nullptr) return;
  if (!SpendBudget(&router->m_hedge_budget)) {
    ++router->m_counters.m_hedge_budget_empty;
    return;
  }
  ++router->m_counters.m_hedges;
  StartAttempt(router, &request, upstream, true, now, decisions);
}

void RemoveFromTargets(Router *router, Upstream *upstream) {
  for (const base::TargetId &target : upstream->m_info.m_loaded) {
    auto found = router->m_by_target.find(target);
    if (found == router->m_by_target.end()) continue;
    std::erase(found->second.m_all, upstream);
    std::erase(found->second.m_with_slots, upstream);
    if (found->second.m_all.empty()) router->m_by_target.erase(found);
  }
}

/** Sets the concurrency limit of an upstream that is new or has changed. */
void ResetConcurrencyLimit(const Router &router, Upstream *upstream) {
  const ChooseOptions &options = router.m_options.m_choose;
  int slots = upstream->m_info.m_slots;
  // The remainder of the division goes to different nodes at each upstream.
  const std::string &name = upstream->m_info.m_upstream.Value();
  std::size_t offset = XXH3_64bits(name.data(), name.size()) % router.m_nodes;
  auto divide = [&](int total) {
    std::size_t shifted_index = (router.m_node_index + offset) % router.m_nodes;
    std::size_t sum = static_cast<std::size_t>(total) + shifted_index;
    std::size_t part = sum / router.m_nodes;
    return static_cast<double>(part);
  };
  upstream->m_max_limit = divide(slots > 0 ? slots : options.m_max_limit);
  upstream->m_limit =
      slots > 0 ? upstream->m_max_limit : divide(options.m_initial_limit);
}

/** Lists an upstream under its targets. One that is leaving isn't listed, so
 * that its targets count as not loaded if no other upstream has them. */
void AddToTargets(Router *router, Upstream *upstream) {
  if (upstream->m_info.m_is_leaving) return;
  for (const base::TargetId &target : upstream->m_info.m_loaded) {
    TargetUpstreams &upstreams = router->m_by_target[target];
    bool is_listed = std::find(upstreams.m_all.begin(), upstreams.m_all.end(),
                               upstream) != upstreams.m_all.end();
    if (is_listed) continue;
    upstreams.m_all.push_back(upstream);
    if (upstream->m_max_limit >= 1) upstreams.m_with_slots.push_back(upstream);
  }
}

}  // namespace

void SetNodeShare(Router *router, std::size_t index, std::size_t nodes) {
  assert(index < nodes);
  if (index == router->m_node_index && nodes == router->m_nodes) return;
  router->m_node_index = index;
  router->m_nodes = nodes;
  for (auto &[name, upstream] : router->m_upstreams) {
    RemoveFromTargets(router, upstream.get());
    ResetConcurrencyLimit(*router, upstream.get());
    AddToTargets(router, upstream.get());
  }
}

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

void OnUpstream(Router *router, const UpstreamInfo &info, base::TimePoint now,
                Decisions *decisions) {
  std::unique_ptr<Upstream> &upstream = router->m_upstreams[info.m_upstream];
  bool is_new = upstream == nullptr;
  if (!is_new && info.m_incarnation < upstream->m_info.m_incarnation) return;
  bool is_restarted =
      !is_new && info.m_incarnation > upstream->m_info.m_incarnation;
  if (!is_new) RemoveFromTargets(router, upstream.get());
  if (is_new || is_restarted) {
    upstream = std::make_unique<Upstream>();
  }
  bool is_resized = upstream->m_info.m_slots != info.m_slots;
  upstream->m_info = info;
  if (is_new || is_restarted || is_resized)
    ResetConcurrencyLimit(*router, upstream.get());
  AddToTargets(router, upstream.get());
  DispatchAll(router, now, decisions);
}

void OnUpstreamGone(Router *router, const base::UpstreamId &name) {
  auto found = router->m_upstreams.find(name);
  if (found == router->m_upstreams.end()) return;
  RemoveFromTargets(router, found->second.get());
  router->m_upstreams.erase(found);
}

void OnUpstreamLoad(Router *router, const base::UpstreamId &name,
                    const UpstreamLoad &load, base::TimePoint now) {
  auto found = router->m_upstreams.find(name);
  if (found == router->m_upstreams.end()) return;
  Upstream *upstream = found->second.get();
  int reported = load.m_running + load.m_waiting;
  upstream->m_external_load = std::max(0, reported - upstream->m_in_flight);
  upstream->m_load_valid_until = now + kLoadValidTime - load.m_age;
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

EstimatedSeconds PredictWait(const Router &router, const RequestInfo &info,
                             base::TimePoint now) {
  auto found = router.m_pools.find(MakePoolKey(info));
  if (found == router.m_pools.end()) return EstimatedSeconds(0);
  const Pool &pool = *found->second;
  if (FindCandidates(router, info.m_target).empty()) {
    return std::max(EstimatedSeconds(0),
                    EstimatedSeconds(pool.m_ready_at - now));
  }
  SizeInput input = {info.m_deployment, info.m_customer, info.m_prompt_bytes,
                     info.m_max_tokens};
  SizeEstimate size = EstimateSize(router.m_sizes, input);
  return PredictQueueWait(router, pool, info.m_class, GetLength(router, size));
}

}  // namespace wasabiwind::route
