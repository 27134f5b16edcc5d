/** @file residency_cost.cpp Costs and gains of copies of models. */

#include <algorithm>
#include <limits>

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Time over which costs and gains are weighed. */
constexpr double kHorizonSeconds = 10.0;
/** Milliseconds that a request loses when its model must return from disk. */
constexpr double kReturnDelayMs = 300.0;
/** Requests a second at which a runner's queue begins to grow. */
constexpr double kRunnerRate = 11.0;
/** Work of one request at a runner, in milliseconds. */
constexpr double kRequestMs = 100.0;
/** Share of the rate above which the queue grows within the horizon. */
constexpr double kFullShare = 0.9;
/** Milliseconds that a request waits for an adapter without a slot. */
constexpr double kAdapterMissMs = 50.0;
/** Keeps a model that has just come from being evicted again. */
constexpr base::milliseconds kFreshCopy{3'000};
constexpr double kFreshCopyMs = 5'000.0;
/** Time that an eviction adds before a load can begin. */
constexpr double kEvictionMs = 200.0;
/** An unload waits for the runs of its model. */
constexpr double kInUseMs = 4'000.0;

/** @return the wait of a request at a runner that gets so many a second. */
double GetWaitMs(double rate) {
  double share = std::max(0.0, rate) / kRunnerRate;
  double queue = std::min(share, kFullShare);
  double wait = kRequestMs * queue / (1 - queue);
  if (share <= kFullShare) return wait;
  // On average, half of the requests that pile up are ahead.
  double excess = (rate - kFullShare * kRunnerRate) / rate;
  return wait + excess * kHorizonSeconds * 1000 / 2;
}

/** @return the waits at a runner over the horizon, for part of its requests. */
double GetTotalWaitMs(double part, double rate) {
  return part * kHorizonSeconds * GetWaitMs(rate);
}

/**
 * @return the waits for a model over the horizon
 * @param copies among which its requests are shared
 * @param left_out runner whose copy doesn't count, or nullptr
 */
double GetModelWaitMs(const Pass &pass, const ModelDemand &demand, int copies,
                      const Runner *left_out) {
  double before = demand.m_rate / std::max(1, demand.m_copies);
  double share = demand.m_rate / copies;
  double total = 0;
  int counted = 0;
  for (std::size_t position : demand.m_serving) {
    const Runner &runner = pass.m_runners[position];
    if (&runner == left_out) continue;
    total += GetTotalWaitMs(share, runner.m_rate - before + share);
    ++counted;
  }
  // Copies that are on their way have no other work as far as is known.
  if (counted < copies) {
    total += (copies - counted) * GetTotalWaitMs(share, share);
  }
  return total;
}

/** @return the waits for adapters that find no slot on any copy. */
double GetAdapterWaitMs(const Pass &pass, const TargetKey &key,
                        const ModelDemand &demand, int copies) {
  const gen::RoutedService *service =
      routes::FindService(*pass.m_routes, key.m_service);
  if (service == nullptr || demand.m_adapters == 0) return 0;
  double slots = copies * std::max(1u, service->engine().adapter_slots());
  double missing = std::max(0.0, 1 - slots / demand.m_adapters);
  return demand.m_rate * kHorizonSeconds * kAdapterMissMs * missing;
}

double GetWaitWithCopies(const Pass &pass, const TargetKey &key,
                         const ModelDemand &demand, int copies,
                         const Runner *left_out) {
  return GetModelWaitMs(pass, demand, copies, left_out) +
         GetAdapterWaitMs(pass, key, demand, copies);
}

/**
 * @param is_near whether the weights are on a runner's disk or in its memory
 * @return the waits for a model that no runner holds
 */
double GetReturnWaitMs(const Pass &pass, const TargetKey &key,
                       const ModelDemand &demand, bool is_near) {
  const gen::HostedModel *model =
      routes::FindModel(*pass.m_routes, key.m_service, key.m_model);
  if (model == nullptr) return 0;
  double delay =
      is_near ? kReturnDelayMs + model->disk_load_ms() : model->store_load_ms();
  return demand.m_rate * kHorizonSeconds * delay;
}

/** @return the waits for a model whose only near runner is loading another. */
double GetBlockedWaitMs(const ModelDemand &demand, double load_ms) {
  // On average, a request comes in the middle of the load.
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
    return GetReturnWaitMs(pass, key, demand, demand.m_near != 0);
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
  const ModelDemand &demand = GetDemand(pass, key);
  bool is_last = demand.m_copies <= 1;
  double cost = 0;
  if (is_last) {
    if (IsWaitedFor(pass, key)) return std::numeric_limits<double>::infinity();
    cost = GetReturnWaitMs(pass, key, demand, /*is_near=*/true);
    if (demand.m_near <= 1) cost += GetBlockedWaitMs(demand, load_ms);
  } else {
    double more =
        GetWaitWithCopies(pass, key, demand, demand.m_copies - 1, &runner) -
        GetWaitWithCopies(pass, key, demand, demand.m_copies, nullptr);
    cost = std::max(0.0, more);
  }
  if (IsInUse(pass, runner, model)) cost += kInUseMs;
  auto used = runner.m_book->m_used.find(model);
  bool is_fresh = used != runner.m_book->m_used.end() &&
                  pass.m_now < used->second + kFreshCopy;
  return is_fresh && is_last ? cost + kFreshCopyMs : cost;
}

double GetBlockingCost(const Pass &pass, const Runner &runner, double load_ms) {
  const gen::UpstreamReport &report = runner.m_entry->m_report;
  double cost = 0;
  for (const std::string &model : report.on_disk()) {
    const ModelDemand &demand =
        GetDemand(pass, {runner.m_service->name(), model, ""});
    if (demand.m_copies == 0 && demand.m_near <= 1) {
      cost += GetBlockedWaitMs(demand, load_ms);
    }
  }
  return cost;
}

std::string ChooseVictim(const Pass &pass, const Runner &runner,
                         const std::set<std::string> &spared, double load_ms,
                         double *cost) {
  std::string victim;
  *cost = std::numeric_limits<double>::infinity();
  for (const std::string &model : runner.m_models) {
    if (spared.contains(model) || runner.m_book->m_refused.contains(model)) {
      continue;
    }
    double candidate = GetEvictionCost(pass, runner, model, load_ms);
    if (candidate >= *cost) continue;
    *cost = candidate;
    victim = model;
  }
  return victim;
}

double GetRoomCost(const Pass &pass, const Runner &runner,
                   const std::string &model) {
  double free_mb = GetCapacity(runner) - runner.m_used_mb;
  double weight = GetWeight(pass, runner, model);
  double load_ms = EstimateLoadMs(pass, runner, model);
  double cost = 0;
  std::set<std::string> spared = {model};
  while (free_mb < weight) {
    double victim_cost = 0;
    std::string victim =
        ChooseVictim(pass, runner, spared, load_ms, &victim_cost);
    if (victim.empty()) return std::numeric_limits<double>::infinity();
    cost += victim_cost + kEvictionMs;
    free_mb += GetWeight(pass, runner, victim);
    spared.insert(victim);
  }
  return cost;
}

}  // namespace wasabiwind::fleet
