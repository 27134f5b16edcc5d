/** @file residency_models.cpp Chooses models to load on runners. */

#include <algorithm>
#include <limits>

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

constexpr base::milliseconds kPendingLoadLifetime{15'000};
/** Wait of other requests that a load may cause for each waiting request. */
constexpr double kWaitingRequestGainMs = 6'000.0;
/** Requests up to this rank count kUrgentFactor times. */
constexpr std::uint32_t kUrgentRank = 1;
constexpr double kUrgentFactor = 3.0;
/** Cost of a preload from the store, as waiting time. */
constexpr double kStoreLoadCostMs = 2'000.0;
/** For smaller gains, the costs at each runner aren't compared. */
constexpr double kMinGainMs = 500.0;
/** Lowest ratio of gain to cost of a preload. */
constexpr double kMinGainRatio = 1.3;
/** From this gain on, copies count as overloaded; see m_max_urgent_loads. */
constexpr double kUrgentGainMs = 15'000.0;

/** @return the cost of a load to other models: evictions, sharing the runner,
 * and loads that must wait for it. */
double GetPlacementCost(const Pass &pass, const Runner &runner,
                        const TargetKey &key) {
  double load_ms = EstimateLoadMs(pass, runner, key.m_model);
  return GetTotalEvictionCost(pass, runner, key.m_model) +
         GetSharingCost(pass, runner, key) +
         GetBlockingCost(pass, runner, load_ms);
}

/** The choice of a runner for a load. */
struct RunnerChoice {
  Runner *m_runner = nullptr;  ///< nullptr: no runner can load it now
  double m_cost = 0;           ///< to other requests, as waiting time in ms
};

/**
 * Chooses the runner for the next load of a model.
 * @param requests number of requests that wait for the load
 */
RunnerChoice ChooseRunner(Pass *pass, const TargetKey &key,
                          std::size_t store_limit, double requests) {
  RunnerChoice best;
  double least = std::numeric_limits<double>::infinity();
  for (Runner &runner : pass->m_runners) {
    const RunnerState &state = *runner.m_state;
    bool is_free = !state.m_pending_load && !state.m_in_progress &&
                   !state.m_in_doubt && pass->m_now >= state.m_retry_at &&
                   !state.m_refused_at.contains(key.m_model);
    if (!is_free || runner.m_service->name() != key.m_service) continue;
    if (runner.m_models.contains(key.m_model)) continue;
    bool is_blocked = GetSource(runner, key.m_model) == LoadSource::kStore &&
                      !MayLoadFromStore(*pass, *runner.m_service, store_limit);
    if (is_blocked) continue;
    double cost = GetPlacementCost(*pass, runner, key);
    double total = requests * EstimateLoadMs(*pass, runner, key.m_model) + cost;
    if (total >= least) continue;
    least = total;
    best = RunnerChoice{&runner, cost};
  }
  return best;
}

void SetPendingLoad(Pass *pass, Runner *runner, const TargetKey &key,
                    const char *reason, double gain) {
  runner->m_state->m_pending_load =
      PendingLoad{key.m_model, pass->m_now, reason, gain};
  ++pass->m_demands[key].m_copies;
  if (GetSource(*runner, key.m_model) == LoadSource::kStore) {
    ++pass->m_active_store_loads;
  }
}

/** A model that may be preloaded. */
struct PreloadCandidate {
  TargetKey m_key;
  double m_gain = 0;  ///< waiting time avoided, in ms
  const char *m_reason = "";
  bool m_needs_free_room = false;  ///< not worth an eviction
};

std::vector<PreloadCandidate> ListPreloadCandidates(const Pass &pass) {
  std::vector<PreloadCandidate> candidates;
  for (const auto &[key, demand] : pass.m_demands) {
    PreloadCandidate candidate{key, GetCopyGain(pass, key), "busy", false};
    if (demand.m_copies == 0) {
      // A model on a runner's disk or in its memory loads fast when it is
      // requested.
      candidate.m_needs_free_room = demand.m_weight_copies != 0;
      candidate.m_reason =
          candidate.m_needs_free_room ? "no_copy" : "no_copy_on_disk";
    }
    bool is_useful = demand.m_copies == 0 || candidate.m_gain >= kMinGainMs;
    if (is_useful) candidates.push_back(std::move(candidate));
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const PreloadCandidate &a, const PreloadCandidate &b) {
                     return a.m_gain > b.m_gain;
                   });
  return candidates;
}

/** @return whether the gain of a preload exceeds its cost. */
bool IsWorthIt(const Pass &pass, const PreloadCandidate &candidate,
               const RunnerChoice &choice) {
  const Runner &runner = *choice.m_runner;
  if (candidate.m_needs_free_room) {
    return GetTotalEvictionCost(pass, runner, candidate.m_key.m_model) == 0;
  }
  bool is_from_store =
      GetSource(runner, candidate.m_key.m_model) == LoadSource::kStore;
  double cost = choice.m_cost + (is_from_store ? kStoreLoadCostMs : 0);
  return candidate.m_gain > kMinGainRatio * cost;
}

}  // namespace

void PlanRequestedModels(Pass *pass) {
  for (const RankedDemand &demand : ListWaiting(*pass, false)) {
    const ModelDemand &known = GetDemand(*pass, demand.m_key);
    if (known.m_copies > 0) continue;
    RunnerChoice choice = ChooseRunner(
        pass, demand.m_key, pass->m_planner->m_settings.m_max_store_loads,
        demand.m_waiting);
    if (choice.m_runner == nullptr) continue;
    double factor = demand.m_rank <= kUrgentRank ? kUrgentFactor : 1.0;
    double gain = kWaitingRequestGainMs * factor * demand.m_waiting +
                  GetCopyGain(*pass, demand.m_key);
    if (gain < choice.m_cost) continue;
    SetPendingLoad(pass, choice.m_runner, demand.m_key, "requests_wait", gain);
  }
}

void PlanModelPreloads(Pass *pass) {
  bool has_demand = pass->m_planner->m_first_use_at.has_value();
  if (has_demand && !IsDemandKnown(*pass)) return;
  const ResidencySettings &settings = pass->m_planner->m_settings;
  for (const PreloadCandidate &candidate : ListPreloadCandidates(*pass)) {
    std::size_t limit = settings.m_max_background_loads;
    if (candidate.m_gain >= kUrgentGainMs) limit = settings.m_max_urgent_loads;
    // Without traffic, no waiting request competes for the store's bandwidth.
    if (!has_demand) limit = settings.m_max_store_loads;
    RunnerChoice choice =
        ChooseRunner(pass, candidate.m_key, limit, /*requests=*/1);
    bool is_worth_it =
        choice.m_runner != nullptr && IsWorthIt(*pass, candidate, choice);
    if (!is_worth_it) continue;
    SetPendingLoad(pass, choice.m_runner, candidate.m_key, candidate.m_reason,
                   candidate.m_gain);
    return;
  }
}

void AdvancePendingLoad(Pass *pass, Runner *runner) {
  RunnerState *state = runner->m_state;
  if (!state->m_pending_load) return;
  PendingLoad pending_load = *state->m_pending_load;
  bool is_over = runner->m_models.contains(pending_load.m_model) ||
                 pass->m_now > pending_load.m_since + kPendingLoadLifetime;
  if (is_over) {
    state->m_pending_load.reset();
    return;
  }
  if (state->m_in_progress || state->m_in_doubt || !CanCall(*pass, *runner)) {
    return;
  }
  double free_mb = GetCapacityMb(*runner) - runner->m_used_mb;
  PlannedOrder order;
  order.m_reason = pending_load.m_reason;
  if (free_mb >= GetWeightsMb(*pass, *runner, pending_load.m_model)) {
    order.m_model = pending_load.m_model;
    order.m_is_from_store =
        GetSource(*runner, pending_load.m_model) == LoadSource::kStore;
    bool is_blocked = order.m_is_from_store &&
                      !MayLoadFromStore(*pass, *runner->m_service,
                                        std::numeric_limits<size_t>::max());
    if (is_blocked) return;
    IssueOrder(pass, runner, std::move(order));
    if (state->m_in_progress) state->m_pending_load.reset();
    return;
  }
  double cost = 0;
  std::string victim =
      ChooseVictim(*pass, *runner, {pending_load.m_model},
                   EstimateLoadMs(*pass, *runner, pending_load.m_model), &cost);
  // Demand may have changed since the load was planned.
  if (victim.empty() || cost > pending_load.m_gain) {
    state->m_pending_load.reset();
    return;
  }
  order.m_is_load = false;
  order.m_model = victim;
  IssueOrder(pass, runner, std::move(order));
}

}  // namespace wasabiwind::fleet
