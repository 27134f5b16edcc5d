/** @file router_pool.cpp Pools of requests for one target, and predictions for
 * them. */

#include <bit>

#include "route/router_internal.h"

namespace wasabiwind::route {

namespace {

/** Samples before a pool's latency is used for predictions. */
constexpr std::uint32_t kMinPoolSamples = 8;
/** With this many pools, those without requests are removed, and with them
 * their latencies, before another one is added. */
constexpr std::size_t kPoolCleanupThreshold = 4'096;

void RemoveIdlePools(Router *router) {
  absl::erase_if(router->m_pools, [](const auto &entry) {
    return entry.second->m_requests == 0;
  });
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

}  // namespace

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

EstimatedSeconds PredictFirstToken(const Pool &pool,
                                   std::uint32_t prompt_bytes) {
  const MovingMean &mean =
      pool.m_first_token_seconds[std::bit_width(prompt_bytes)];
  return EstimatedSeconds(mean.m_samples >= kMinPoolSamples ? mean.m_value : 0);
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

bool IsTooLate(const Pool &pool, const RoutedRequest &request,
               base::TimePoint ready_at, double certainty) {
  EstimatedSeconds service = PredictService(pool, request) * certainty;
  return ready_at + ToDuration(service) > request.m_info.m_deadline;
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
