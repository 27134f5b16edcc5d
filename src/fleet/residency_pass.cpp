/** @file residency_pass.cpp State and orders of a planning pass. */

#include <algorithm>
#include <limits>

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Lowest rate in requests/s that is assumed for a model, also for one without
 * requests so far. */
constexpr double kAssumedRate = 0.05;
constexpr base::milliseconds kUnloadEstimate{1'000};
/** A runner that an entry host couldn't reach gets no orders for this long. */
constexpr base::milliseconds kUnreachableDuration{1'500};
/** A target used within this time may have running requests, which delay an
 * unload. */
constexpr base::milliseconds kInUseWindow{1'300};
/** Time from the first use report until demand counts as known. */
constexpr base::milliseconds kDemandLearningTime{3'000};
/** Adapters requested more often, in requests/s, are assumed to need a slot. */
constexpr double kMinAdapterRate = 0.05;
/** Added to the load window, because orders have different network delays. */
constexpr base::milliseconds kLoadWindowMargin{1'000};

/** Sets the models, adapters, reserved slots and used memory of a runner. */
void CollectTargets(const Pass &pass, Runner *runner) {
  const RunnerState &state = *runner->m_state;
  std::set<std::string> reserved;
  for (const gen::ResidentModel &held : runner->m_entry->m_report.models()) {
    reserved.insert(held.name());
    for (const std::string &adapter : held.adapters()) {
      runner->m_adapters.insert(MakeTarget(held.name(), adapter));
    }
  }
  for (const auto &[target, change] : state.m_loaded) {
    bool is_model = target.find('/') == std::string::npos;
    (is_model ? reserved : runner->m_adapters).insert(target);
  }
  runner->m_models = reserved;
  for (const auto &[target, change] : state.m_maybe_loaded) {
    bool is_model = target.find('/') == std::string::npos;
    if (is_model) reserved.insert(target);
    if (!is_model && !runner->m_adapters.contains(target)) {
      ++runner->m_reserved_slots;
    }
  }
  for (const auto &[target, at] : state.m_unloaded) {
    runner->m_models.erase(target);
    runner->m_adapters.erase(target);
  }
  if (state.m_in_progress && state.m_in_progress->m_is_load) {
    reserved.insert(state.m_in_progress->m_model);
  }
  for (const std::string &model : reserved) {
    runner->m_used_mb += GetWeightsMb(pass, *runner, model);
  }
}

/** Adds a runner's copies to those that share the demand. */
void CountCopies(Pass *pass, std::size_t position) {
  const Runner &runner = pass->m_runners[position];
  const RunnerState &state = *runner.m_state;
  std::set<std::string> models = runner.m_models;
  for (const std::string &model : models) {
    pass->m_demands[{runner.m_service->name(), model, ""}]
        .m_serving_runners.push_back(position);
  }
  if (state.m_in_progress && state.m_in_progress->m_is_load) {
    models.insert(state.m_in_progress->m_model);
    if (state.m_in_progress->m_is_from_store) ++pass->m_active_store_loads;
  }
  if (state.m_pending_load) {
    const std::string &model = state.m_pending_load->m_model;
    models.insert(model);
    if (GetSource(runner, model) == LoadSource::kStore)
      ++pass->m_active_store_loads;
  }
  for (const std::string &model : models) {
    ++pass->m_demands[{runner.m_service->name(), model, ""}].m_copies;
  }
}

/** @return the number of adapters of a model that are requested repeatedly. */
std::size_t CountRequestedAdapters(const Pass &pass, const TargetKey &key) {
  std::size_t count = 0;
  auto found = pass.m_planner->m_demands.upper_bound(key);
  for (; found != pass.m_planner->m_demands.end(); ++found) {
    if (found->first.m_service != key.m_service ||
        found->first.m_model != key.m_model) {
      break;
    }
    if (GetRate(*pass.m_planner, found->first, pass.m_now) > kMinAdapterRate) {
      ++count;
    }
  }
  return count;
}

double GetModelRate(const Pass &pass, const TargetKey &key, int copies) {
  double rate =
      std::max(kAssumedRate, GetRate(*pass.m_planner, key, pass.m_now));
  if (IsDemandKnown(pass) || copies < 2) return rate;
  // Until demand is known, it is estimated from the number of copies.
  return std::max(rate,
                  copies * pass.m_planner->m_settings.m_requests_per_copy);
}

/** Distributes the demand for each model over its copies. */
void ShareDemand(Pass *pass) {
  for (auto &[key, demand] : pass->m_demands) {
    demand.m_rate = GetModelRate(*pass, key, demand.m_copies);
    demand.m_repeated_adapter_count = CountRequestedAdapters(*pass, key);
    for (std::size_t position : demand.m_serving_runners) {
      pass->m_runners[position].m_rate += demand.m_rate / demand.m_copies;
    }
  }
}

void CollectRunners(Pass *pass) {
  std::set<std::string> known;
  std::erase_if(pass->m_planner->m_unreachable, [pass](const auto &item) {
    return pass->m_now >= item.second + kUnreachableDuration;
  });
  for (const auto &[id, entry] : pass->m_view->m_upstreams) {
    const gen::RoutedService *service =
        routes::FindService(*pass->m_routes, entry.m_report.service());
    if (service == nullptr || !service->has_engine()) continue;
    bool is_usable = IsServing(*pass->m_view, entry) &&
                     !entry.m_report.has_end() &&
                     !IsSilent(*pass->m_view, entry.m_silence, pass->m_now);
    if (!is_usable || pass->m_planner->m_unreachable.contains(id)) continue;
    known.insert(id);
    RunnerState &state = pass->m_planner->m_runner_states[id];
    RefreshRunnerState(&state, entry, pass->m_now);
    Runner runner{id, &entry, service, &state, {}, {}, 0, 0, 0};
    CollectTargets(*pass, &runner);
    pass->m_runners.push_back(std::move(runner));
  }
  std::erase_if(pass->m_planner->m_runner_states, [&known](const auto &item) {
    return !known.contains(item.first) && !item.second.m_is_call_pending;
  });
  std::sort(pass->m_runners.begin(), pass->m_runners.end(),
            [](const Runner &a, const Runner &b) { return a.m_id < b.m_id; });
}

/** Counts a runner for each model whose weights it has or is loading. */
void CountWeightCopies(Pass *pass, const Runner &runner) {
  const gen::UpstreamReport &report = runner.m_entry->m_report;
  std::set<std::string> models(report.in_memory().begin(),
                               report.in_memory().end());
  models.insert(report.on_disk().begin(), report.on_disk().end());
  const RunnerState &state = *runner.m_state;
  if (state.m_in_progress && state.m_in_progress->m_is_load) {
    models.insert(state.m_in_progress->m_model);
  }
  if (state.m_pending_load) models.insert(state.m_pending_load->m_model);
  for (const std::string &model : models) {
    ++pass->m_demands[{runner.m_service->name(), model, ""}].m_weight_copies;
  }
}

}  // namespace

void CollectFleet(Pass *pass) {
  CollectRunners(pass);
  for (const gen::RoutedService &service : pass->m_routes->m_table.services()) {
    for (const gen::HostedModel &model : service.engine().models()) {
      pass->m_demands.try_emplace({service.name(), model.name(), ""});
    }
  }
  for (std::size_t i = 0; i < pass->m_runners.size(); ++i) {
    CountCopies(pass, i);
    CountWeightCopies(pass, pass->m_runners[i]);
  }
  ShareDemand(pass);
}

double GetWeightsMb(const Pass &pass, const Runner &runner,
                    const std::string &model) {
  const gen::HostedModel *declared =
      routes::FindModel(*pass.m_routes, runner.m_service->name(), model);
  return declared == nullptr ? runner.m_service->engine().weight_mb()
                             : declared->weight_mb();
}

double GetCapacityMb(const Runner &runner) {
  const gen::EngineCapacity &engine = runner.m_service->engine();
  double adapter_mb = 0;
  for (const gen::HostedModel &model : engine.models()) {
    if (model.adapters() != 0) {
      adapter_mb = std::max(adapter_mb, model.adapter_mb());
    }
  }
  return engine.weight_mb() - engine.adapter_slots() * adapter_mb;
}

LoadSource GetSource(const Runner &runner, const std::string &model) {
  const gen::UpstreamReport &report = runner.m_entry->m_report;
  if (Contains(report.in_memory(), model)) return LoadSource::kMemory;
  if (Contains(report.on_disk(), model)) return LoadSource::kDisk;
  return LoadSource::kStore;
}

bool MayLoadFromStore(const Pass &pass, const gen::RoutedService &service,
                      std::size_t limit) {
  ResidencyPlanner *planner = pass.m_planner;
  base::Duration window = planner->m_settings.m_load_window + kLoadWindowMargin;
  while (!planner->m_store_load_starts.empty() &&
         pass.m_now >= planner->m_store_load_starts.front() + window) {
    planner->m_store_load_starts.pop_front();
  }
  double seconds =
      std::chrono::duration<double>(planner->m_settings.m_load_window).count();
  auto max_starts = static_cast<std::size_t>(
      std::max(1.0, service.engine().loads_per_second() * seconds));
  return planner->m_store_load_starts.size() < max_starts &&
         pass.m_active_store_loads < limit;
}

double EstimateLoadMs(const Pass &pass, const Runner &runner,
                      const std::string &model) {
  const gen::HostedModel *declared =
      routes::FindModel(*pass.m_routes, runner.m_service->name(), model);
  if (declared == nullptr) return std::numeric_limits<double>::infinity();
  switch (GetSource(runner, model)) {
    case LoadSource::kMemory:
      return declared->memory_load_ms();
    case LoadSource::kDisk:
      return declared->disk_load_ms();
    case LoadSource::kStore:
    case LoadSource::kEnd:
      break;
  }
  double slowdown = static_cast<double>(pass.m_active_store_loads + 1) /
                    static_cast<double>(std::max<std::size_t>(
                        1, pass.m_planner->m_settings.m_max_store_loads));
  return declared->store_load_ms() * std::max(1.0, slowdown);
}

const ModelDemand &GetDemand(const Pass &pass, const TargetKey &key) {
  static const ModelDemand kNone;
  auto found = pass.m_demands.find(key);
  return found == pass.m_demands.end() ? kNone : found->second;
}

bool IsDemandKnown(const Pass &pass) {
  const std::optional<base::TimePoint> &first = pass.m_planner->m_first_use_at;
  return first && pass.m_now >= *first + kDemandLearningTime;
}

bool IsInUse(const Pass &pass, const Runner &runner,
             const std::string &target) {
  auto used = runner.m_state->m_last_used_at.find(target);
  return used != runner.m_state->m_last_used_at.end() &&
         pass.m_now < used->second + kInUseWindow;
}

bool CanCall(const Pass &pass, const Runner &runner) {
  return !runner.m_state->m_is_call_pending &&
         pass.m_now >= runner.m_state->m_retry_at;
}

void IssueOrder(Pass *pass, Runner *runner, PlannedOrder order) {
  RunnerState *state = runner->m_state;
  if (!state->m_accepted_order_count) {
    state->m_is_call_pending = true;
    pass->m_actions->m_queries.push_back(runner->m_id);
    return;
  }
  if (!state->m_in_doubt) {
    order.m_upstream = runner->m_id;
    order.m_expected_order_count = *state->m_accepted_order_count;
  }
  const ModelDemand &demand =
      GetDemand(*pass, {runner->m_service->name(), order.m_model, ""});
  order.m_rate = demand.m_rate;
  order.m_copies = demand.m_copies;
  if (order.m_adapter.empty()) {
    double estimate = order.m_is_load
                          ? EstimateLoadMs(*pass, *runner, order.m_model)
                          : static_cast<double>(kUnloadEstimate.count());
    state->m_in_progress = OrderInProgress{
        order.m_model, order.m_is_load, order.m_is_from_store,
        pass->m_now + base::milliseconds(static_cast<int>(estimate))};
  }
  if (!order.m_is_load) {
    state->m_unloaded[MakeTarget(order.m_model, order.m_adapter)] =
        UnreportedChange{pass->m_now, state->m_report_number};
  }
  if (order.m_is_from_store) {
    pass->m_planner->m_store_load_starts.push_back(pass->m_now);
  }
  state->m_is_call_pending = true;
  pass->m_actions->m_orders.push_back(std::move(order));
}

std::vector<RankedDemand> ListWaiting(const Pass &pass, bool wants_adapters) {
  std::vector<RankedDemand> demands;
  for (const auto &[key, demand] : pass.m_planner->m_demands) {
    if (key.m_adapter.empty() == wants_adapters) continue;
    std::uint32_t waiting = CountWaiting(demand, pass.m_now);
    if (waiting == 0) continue;
    demands.push_back(
        RankedDemand{key, GetWaitingRank(demand, pass.m_now), waiting});
  }
  std::stable_sort(demands.begin(), demands.end(),
                   [](const RankedDemand &a, const RankedDemand &b) {
                     return std::make_pair(a.m_rank, b.m_waiting) <
                            std::make_pair(b.m_rank, a.m_waiting);
                   });
  return demands;
}

}  // namespace wasabiwind::fleet
