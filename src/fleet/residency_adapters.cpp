/** @file residency_adapters.cpp Chooses adapters to load on runners. */

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Lowest demand in requests/s at which adapters of a model are preloaded. */
constexpr double kPreloadRate = 0.3;

std::uint64_t HashPair(const std::string &a, const std::string &b) {
  std::string text = a + "\n" + b;
  return XXH3_64bits(text.data(), text.size());
}

bool HasFreeSlot(const Runner &runner) {
  return runner.m_adapters.size() + runner.m_reserved_slots <
         runner.m_service->engine().adapter_slots();
}

/** Chooses the runner with a copy of the model for an adapter. */
Runner *ChooseAdapterRunner(Pass *pass, const TargetKey &key) {
  Runner *best = nullptr;
  auto best_order = std::make_tuple(true, true, std::uint64_t{0});
  std::string target = MakeTarget(key.m_model, key.m_adapter);
  for (Runner &runner : pass->m_runners) {
    if (runner.m_service->name() != key.m_service) continue;
    if (!runner.m_models.contains(key.m_model)) continue;
    if (runner.m_state->m_refused_at.contains(target)) continue;
    bool is_busy = runner.m_state->m_in_progress.has_value();
    bool is_full = !HasFreeSlot(runner);
    auto order =
        std::make_tuple(is_busy, is_full, HashPair(runner.m_id, target));
    if (best != nullptr && order >= best_order) continue;
    best = &runner;
    best_order = order;
  }
  return best;
}

/** @return the least recently used adapter in a runner's slots. */
std::string ChooseAdapterVictim(const Pass &pass, const Runner &runner) {
  std::string victim;
  base::TimePoint oldest = base::TimePoint::max();
  for (const std::string &target : runner.m_adapters) {
    // Unloading an adapter in use keeps the runner busy for seconds.
    if (runner.m_state->m_refused_at.contains(target)) continue;
    if (IsInUse(pass, runner, target)) continue;
    auto used = runner.m_state->m_last_used_at.find(target);
    base::TimePoint at = used == runner.m_state->m_last_used_at.end()
                             ? base::TimePoint()
                             : used->second;
    if (at >= oldest) continue;
    oldest = at;
    victim = target;
  }
  return victim;
}

bool IsAdapterLoaded(const Pass &pass, const TargetKey &key) {
  std::string target = MakeTarget(key.m_model, key.m_adapter);
  return std::any_of(pass.m_runners.begin(), pass.m_runners.end(),
                     [&](const Runner &runner) {
                       return runner.m_service->name() == key.m_service &&
                              runner.m_models.contains(key.m_model) &&
                              runner.m_adapters.contains(target);
                     });
}

/** @return an adapter of a model that no copy has loaded, or "". Adapters are
 * named a1, a2 and so on. */
std::string FindMissingAdapter(const Pass &pass, const TargetKey &key,
                               const gen::HostedModel &model) {
  for (std::uint32_t i = 1; i <= model.adapters(); ++i) {
    std::string name = "a" + std::to_string(i);
    if (!IsAdapterLoaded(pass, TargetKey{key.m_service, key.m_model, name})) {
      return name;
    }
  }
  return "";
}

}  // namespace

void PlanRequestedAdapters(Pass *pass) {
  for (const RankedDemand &demand : ListWaiting(*pass, true)) {
    if (IsAdapterLoaded(*pass, demand.m_key)) continue;
    Runner *runner = ChooseAdapterRunner(pass, demand.m_key);
    if (runner == nullptr || runner->m_state->m_in_doubt) continue;
    // A runner refuses orders while it loads or unloads a model.
    if (runner->m_state->m_in_progress || !CanCall(*pass, *runner)) continue;
    PlannedOrder order;
    order.m_reason = "requests_wait";
    order.m_model = demand.m_key.m_model;
    order.m_adapter = demand.m_key.m_adapter;
    if (!HasFreeSlot(*runner)) {
      std::string victim = ChooseAdapterVictim(*pass, *runner);
      if (victim.empty()) continue;
      std::size_t slash = victim.find('/');
      order.m_is_load = false;
      order.m_model = victim.substr(0, slash);
      order.m_adapter = victim.substr(slash + 1);
    }
    IssueOrder(pass, runner, std::move(order));
  }
}

void PlanAdapterPreloads(Pass *pass) {
  for (Runner &runner : pass->m_runners) {
    RunnerState &state = *runner.m_state;
    bool is_free = HasFreeSlot(runner) && CanCall(*pass, runner) &&
                   !state.m_in_progress && !state.m_in_doubt &&
                   !state.m_pending_load;
    if (!is_free) continue;
    for (const std::string &name : runner.m_models) {
      TargetKey key{runner.m_service->name(), name, ""};
      const gen::HostedModel *model =
          routes::FindModel(*pass->m_routes, key.m_service, name);
      if (model == nullptr || model->adapters() == 0) continue;
      if (GetRate(*pass->m_planner, key, pass->m_now) < kPreloadRate) continue;
      PlannedOrder order;
      order.m_reason = "ahead";
      order.m_model = name;
      order.m_adapter = FindMissingAdapter(*pass, key, *model);
      if (order.m_adapter.empty()) continue;
      // Counts at once, so that another copy gets another adapter.
      runner.m_adapters.insert(MakeTarget(name, order.m_adapter));
      IssueOrder(pass, &runner, std::move(order));
      break;
    }
  }
}

}  // namespace wasabiwind::fleet
