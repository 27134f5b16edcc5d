/** @file router_upstreams.cpp Upstreams of the router: targets, limits,
 * ejection. */

#include <xxhash.h>

#include <algorithm>
#include <cassert>

#include "route/router_internal.h"

namespace wasabiwind::route {

namespace {

/** An older load report says nothing about the present load. */
constexpr base::milliseconds kLoadValidTime{2'000};
/** Least time between two checks of one upstream by its token times,
 * because the median of its peers takes time proportional to their number. */
constexpr base::milliseconds kCheckInterval{50};

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

Upstream *FindUpstream(Router *router, const Attempt &attempt) {
  auto found = router->m_upstreams.find(attempt.m_upstream);
  if (found == router->m_upstreams.end()) return nullptr;
  Upstream *upstream = found->second.get();
  bool is_same = upstream->m_info.m_incarnation == attempt.m_incarnation;
  return is_same ? upstream : nullptr;
}

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

void UpdateFirstTokenRatio(const Pool &pool, const RoutedRequest &request,
                           EstimatedSeconds waited, Upstream *upstream) {
  EstimatedSeconds expected =
      PredictFirstToken(pool, request.m_info.m_prompt_bytes);
  if (expected.count() <= 0) return;
  AddSample(&upstream->m_first_token_ratio, waited / expected,
            kFirstTokenLearningRate);
}

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

}  // namespace wasabiwind::route
