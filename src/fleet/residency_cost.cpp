/** @file residency_cost.cpp Costs and gains of copies of models. */

#include <algorithm>
#include <limits>

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Period for which costs and gains are estimated. */
constexpr double kHorizonSeconds = 10.0;
/** Extra delay of a request whose model must be reloaded from disk. */
constexpr double kReloadDelayMs = 300.0;
/** Requests per second that a runner can serve before its queue grows. */
constexpr double kRunnerCapacityRate = 11.0;
/** Processing time of one request on a runner. */
constexpr double kRequestMs = 100.0;
/** Share of kRunnerCapacityRate from which the queue grows over the horizon. */
constexpr double kSaturatedShare = 0.9;
/** Wait of a request for an adapter that isn't in a slot. */
constexpr double kAdapterMissMs = 50.0;
/** The last copy of a model used within this time has an extra eviction cost,
 * so that a model isn't evicted right after its load. */
constexpr base::milliseconds kFreshCopyAge{3'000};
constexpr double kFreshCopyCostMs = 5'000.0;
/** Delay of a load by an eviction before it. */
constexpr double kEvictionMs = 200.0;
/** Extra cost of an unload that waits for running requests of its model. */
constexpr double kInUseCostMs = 4'000.0;

/** @return the wait of a request at a runner with a rate in requests/s. */
double GetWaitMs(double rate) {
  double share = std::max(0.0, rate) / kRunnerCapacityRate;
  double queue = std::min(share, kSaturatedShare);
  double wait = kRequestMs * queue / (1 - queue);
  if (share <= kSaturatedShare) return wait;
  // On average, half of the accumulated requests are ahead in the queue.
  double excess = (rate - kSaturatedShare * kRunnerCapacityRate) / rate;
  return wait + excess * kHorizonSeconds * 1000 / 2;
}

/**
 * @param part rate of the requests to add up, in requests/s
 * @param rate rate of all requests at their runner
 * @return the total wait of these requests over the horizon
 */
double GetTotalWaitMs(double part, double rate) {
  return part * kHorizonSeconds * GetWaitMs(rate);
}

/**
 * @return the total wait for a model over the horizon
 * @param copies that share its requests
 * @param excluded runner whose copy isn't counted, or nullptr
 */
double GetModelWaitMs(const Pass &pass, const ModelDemand &demand, int copies,
                      const Runner *excluded) {
  double current_share = demand.m_rate / std::max(1, demand.m_copies);
  double share = demand.m_rate / copies;
  double total = 0;
  int counted = 0;
  for (std::size_t position : demand.m_serving_runners) {
    const Runner &runner = pass.m_runners[position];
    if (&runner == excluded) continue;
    total += GetTotalWaitMs(share, runner.m_rate - current_share + share);
    ++counted;
  }
  // Copies that aren't loaded yet are assumed to be on idle runners.
  if (counted < copies) {
    total += (copies - counted) * GetTotalWaitMs(share, share);
  }
  return total;
}

/** @return the total wait for adapters that have no slot on any copy. */
double GetAdapterWaitMs(const Pass &pass, const TargetKey &key,
                        const ModelDemand &demand, int copies) {
  const gen::RoutedService *service =
      routes::FindService(*pass.m_routes, key.m_service);
  if (service == nullptr || demand.m_repeated_adapter_count == 0) return 0;
  double slots = copies * std::max(1u, service->engine().adapter_slots());
  double missing = std::max(0.0, 1 - slots / demand.m_repeated_adapter_count);
  return demand.m_rate * kHorizonSeconds * kAdapterMissMs * missing;
}

double GetWaitWithCopies(const Pass &pass, const TargetKey &key,
                         const ModelDemand &demand, int copies,
                         const Runner *excluded) {
  return GetModelWaitMs(pass, demand, copies, excluded) +
         GetAdapterWaitMs(pass, key, demand, copies);
}

/**
 * @param has_local_weights whether a runner has the weights on disk or in
 * memory
 * @return the total wait for a model that no runner has loaded
 */
double GetReloadWaitMs(const Pass &pass, const TargetKey &key,
                       const ModelDemand &demand, bool has_local_weights) {
  const gen::HostedModel *model =
      routes::FindModel(*pass.m_routes, key.m_service, key.m_model);
  if (model == nullptr) return 0;
  double delay = has_local_weights ? kReloadDelayMs + model->disk_load_ms()
                                   : model->store_load_ms();
  return demand.m_rate * kHorizonSeconds * delay;
}

/** @return the total wait for a model while the only runner with its weights
 * loads another model. */
double GetBlockedWaitMs(const ModelDemand &demand, double load_ms) {
  // On average, a request arrives in the middle of the load.
  return demand.m_rate * load_ms / 1000 * load_ms / 2;
}

bool IsWaitedFor(const Pass &pass, const TargetKey &key) {
  auto found = pass.m_planner->m_demands.find(key);
  return found != pass.m_planner->m_demands.end() &&
         CountWaiting(found->second, pass.m_now) != 0;
}

}  // namespace

double GetCopyGain(const Pass &pass, const TargetKey &key) {
  const ModelDemand &demand = GetDemand(pass, key);
  if (demand.m_copies == 0) {
    return GetReloadWaitMs(pass, key, demand, demand.m_weight_copies != 0);
  }
  return GetWaitWithCopies(pass, key, demand, demand.m_copies, nullptr) -
         GetWaitWithCopies(pass, key, demand, demand.m_copies + 1, nullptr);
}

double GetSharingCost(const Pass &pass, const Runner &runner,
                      const TargetKey &key) {
  const ModelDemand &demand = GetDemand(pass, key);
  double share = demand.m_rate / (demand.m_copies + 1);
  double both = runner.m_rate + share;
  return GetTotalWaitMs(both, both) -
         GetTotalWaitMs(runner.m_rate, runner.m_rate) -
         GetTotalWaitMs(share, share);
}

double GetEvictionCost(const Pass &pass, const Runner &runner,
                       const std::string &model, double load_ms) {
  TargetKey key{runner.m_service->name(), model, ""};
  bool is_declared =
      routes::FindModel(*pass.m_routes, key.m_service, key.m_model) != nullptr;
  if (!is_declared) return IsInUse(pass, runner, model) ? kInUseCostMs : 0;
  const ModelDemand &demand = GetDemand(pass, key);
  bool is_last = demand.m_copies <= 1;
  double cost = 0;
  if (is_last) {
    if (IsWaitedFor(pass, key)) return std::numeric_limits<double>::infinity();
    cost = GetReloadWaitMs(pass, key, demand, /*has_local_weights=*/true);
    if (demand.m_weight_copies <= 1) cost += GetBlockedWaitMs(demand, load_ms);
  } else {
    double more =
        GetWaitWithCopies(pass, key, demand, demand.m_copies - 1, &runner) -
        GetWaitWithCopies(pass, key, demand, demand.m_copies, nullptr);
    cost = std::max(0.0, more);
  }
  if (IsInUse(pass, runner, model)) cost += kInUseCostMs;
  auto used = runner.m_state->m_last_used_at.find(model);
  bool is_fresh = used != runner.m_state->m_last_used_at.end() &&
                  pass.m_now < used->second + kFreshCopyAge;
  return is_fresh && is_last ? cost + kFreshCopyCostMs : cost;
}

double GetBlockingCost(const Pass &pass, const Runner &runner, double load_ms) {
  const gen::UpstreamReport &report = runner.m_entry->m_report;
  double cost = 0;
  for (const std::string &model : report.on_disk()) {
    const ModelDemand &demand =
        GetDemand(pass, {runner.m_service->name(), model, ""});
    if (demand.m_copies == 0 && demand.m_weight_copies <= 1) {
      cost += GetBlockedWaitMs(demand, load_ms);
    }
  }
  return cost;
}

std::string ChooseVictim(const Pass &pass, const Runner &runner,
                         const std::set<std::string> &excluded_models,
                         double load_ms, double *cost) {
  std::string victim;
  *cost = std::numeric_limits<double>::infinity();
  for (const std::string &model : runner.m_models) {
    if (excluded_models.contains(model) ||
        runner.m_state->m_refused_at.contains(model)) {
      continue;
    }
    double candidate = GetEvictionCost(pass, runner, model, load_ms);
    if (candidate >= *cost) continue;
    *cost = candidate;
    victim = model;
  }
  return victim;
}

double GetTotalEvictionCost(const Pass &pass, const Runner &runner,
                            const std::string &model) {
  double free_mb = GetCapacityMb(runner) - runner.m_used_mb;
  double weight = GetWeightsMb(pass, runner, model);
  double load_ms = EstimateLoadMs(pass, runner, model);
  double cost = 0;
  std::set<std::string> excluded_models = {model};
  while (free_mb < weight) {
    double victim_cost = 0;
    std::string victim =
        ChooseVictim(pass, runner, excluded_models, load_ms, &victim_cost);
    if (victim.empty()) return std::numeric_limits<double>::infinity();
    cost += victim_cost + kEvictionMs;
    free_mb += GetWeightsMb(pass, runner, victim);
    excluded_models.insert(victim);
  }
  return cost;
}

}  // namespace wasabiwind::fleet
