/** @file residency_plan.cpp Choice of the next orders to runners. */

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "fleet/residency_func.h"
#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Requests a second assumed for a model that nobody asked for yet. */
constexpr double kUnknownRate = 0.05;
/** Time over which the cost of an eviction is weighed. */
constexpr double kHorizonSeconds = 10.0;
/** Milliseconds that a request loses when its model must return from disk. */
constexpr double kReturnDelayMs = 300.0;
/** Weight of a spare copy that the remaining ones can do without. */
constexpr double kSpareCopyMs = 2.0;
constexpr double kNeededCopyMs = 50.0;
/** Keeps a model that has just come from being evicted again. */
constexpr base::milliseconds kFreshCopy{3'000};
constexpr double kFreshCopyMs = 5'000.0;
/** Time that an eviction adds before a load can begin. */
constexpr double kEvictionMs = 200.0;
constexpr base::milliseconds kIntentionLifetime{15'000};
constexpr base::milliseconds kUnloadEstimate{1'000};
/** A runner that an entry host couldn't reach gets no orders for so long. */
constexpr base::milliseconds kUnreachableTime{1'500};
/** A target used within this time may have runs, which an unload waits for. */
constexpr base::milliseconds kInUse{1'300};
constexpr double kInUseMs = 4'000.0;
/** A host that hears of requests for the first time learns for so long. */
constexpr base::milliseconds kLearnDemand{6'000};
/** Adapters of a model asked for by more than this rate keep a slot. */
constexpr double kAdapterRate = 0.05;
/** Models with less demand get no adapters ahead of requests. */
constexpr double kAheadRate = 0.3;
/** Added to the load window, for orders that travel at different speeds. */
constexpr base::milliseconds kLoadWindowMargin{1'000};

enum class LoadSource : std::uint8_t { kMemory, kDisk, kStore, kEnd };

/** A runner that may get orders now. */
struct Runner {
  std::string m_id;
  const UpstreamEntry *m_entry = nullptr;
  const gen::RoutedService *m_service = nullptr;
  RunnerBook *m_book = nullptr;
  std::set<std::string> m_models;    ///< that serve requests
  std::set<std::string> m_adapters;  ///< targets MODEL/ADAPTER in its slots
  std::size_t m_reserved_slots = 0;  ///< for adapters that may have come
  double m_used_mb = 0;              ///< held, or reserved by an order
};

struct Pass {
  ResidencyPlanner *m_planner = nullptr;
  const FleetView *m_view = nullptr;
  const routes::RouteIndex *m_routes = nullptr;
  base::TimePoint m_now;
  std::vector<Runner> m_runners;
  /** Copies that serve, are being loaded or are intended, by model. */
  std::map<TargetKey, int> m_copies;
  std::size_t m_store_loads = 0;  ///< in progress
  ResidencyActions *m_actions = nullptr;
};

bool Contains(const google::protobuf::RepeatedPtrField<std::string> &list,
              const std::string &item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

double GetWeight(const Pass &pass, const Runner &runner,
                 const std::string &model) {
  const gen::HostedModel *declared =
      routes::FindModel(*pass.m_routes, runner.m_service->name(), model);
  return declared == nullptr ? 0 : declared->weight_mb();
}

/** @return memory for weights, without what adapters may take. */
double GetCapacity(const Runner &runner) {
  const gen::EngineCapacity &engine = runner.m_service->engine();
  double adapter_mb = 0;
  for (const gen::HostedModel &model : engine.models()) {
    if (model.adapters() != 0) {
      adapter_mb = std::max(adapter_mb, model.adapter_mb());
    }
  }
  return engine.weight_mb() - engine.adapter_slots() * adapter_mb;
}

void CollectHeld(const Pass &pass, Runner *runner) {
  const RunnerBook &book = *runner->m_book;
  std::set<std::string> reserved;
  for (const gen::ResidentModel &held : runner->m_entry->m_report.models()) {
    reserved.insert(held.name());
    for (const std::string &adapter : held.adapters()) {
      runner->m_adapters.insert(MakeTarget(held.name(), adapter));
    }
  }
  for (const auto &[target, change] : book.m_loaded) {
    bool is_model = target.find('/') == std::string::npos;
    (is_model ? reserved : runner->m_adapters).insert(target);
  }
  runner->m_models = reserved;
  for (const auto &[target, change] : book.m_maybe_loaded) {
    bool is_model = target.find('/') == std::string::npos;
    if (is_model) reserved.insert(target);
    if (!is_model && !runner->m_adapters.contains(target)) {
      ++runner->m_reserved_slots;
    }
  }
  for (const auto &[target, at] : book.m_unloaded) {
    runner->m_models.erase(target);
    runner->m_adapters.erase(target);
  }
  if (book.m_in_progress && book.m_in_progress->m_is_load) {
    reserved.insert(book.m_in_progress->m_model);
  }
  for (const std::string &model : reserved) {
    runner->m_used_mb += GetWeight(pass, *runner, model);
  }
}

void CountCopies(Pass *pass, const Runner &runner) {
  std::set<std::string> models = runner.m_models;
  const RunnerBook &book = *runner.m_book;
  if (book.m_in_progress && book.m_in_progress->m_is_load) {
    models.insert(book.m_in_progress->m_model);
    if (book.m_in_progress->m_is_from_store) ++pass->m_store_loads;
  }
  if (book.m_intention) models.insert(book.m_intention->m_model);
  for (const std::string &model : models) {
    ++pass->m_copies[TargetKey{runner.m_service->name(), model, ""}];
  }
}

/** Lists the runners that may get orders and refreshes their books. */
void CollectRunners(Pass *pass) {
  std::set<std::string> known;
  std::erase_if(pass->m_planner->m_unreachable, [pass](const auto &item) {
    return pass->m_now >= item.second + kUnreachableTime;
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
    RunnerBook &book = pass->m_planner->m_books[id];
    RefreshBook(&book, entry, pass->m_now);
    Runner runner{id, &entry, service, &book, {}, {}, 0, 0};
    CollectHeld(*pass, &runner);
    pass->m_runners.push_back(std::move(runner));
  }
  std::erase_if(pass->m_planner->m_books, [&known](const auto &item) {
    return !known.contains(item.first) && !item.second.m_is_calling;
  });
  std::sort(pass->m_runners.begin(), pass->m_runners.end(),
            [](const Runner &a, const Runner &b) { return a.m_id < b.m_id; });
  for (const Runner &runner : pass->m_runners) CountCopies(pass, runner);
}

LoadSource GetSource(const Runner &runner, const std::string &model) {
  const gen::UpstreamReport &report = runner.m_entry->m_report;
  if (Contains(report.in_memory(), model)) return LoadSource::kMemory;
  if (Contains(report.on_disk(), model)) return LoadSource::kDisk;
  return LoadSource::kStore;
}

bool IsOnAnyDisk(const Pass &pass, const TargetKey &key) {
  return std::any_of(pass.m_runners.begin(), pass.m_runners.end(),
                     [&key](const Runner &runner) {
                       return runner.m_service->name() == key.m_service &&
                              GetSource(runner, key.m_model) !=
                                  LoadSource::kStore;
                     });
}

/** @return whether one more load from the store may begin. */
bool MayLoadFromStore(const Pass &pass, const gen::RoutedService &service,
                      std::size_t limit) {
  ResidencyPlanner *planner = pass.m_planner;
  base::Duration window = planner->m_settings.m_load_window + kLoadWindowMargin;
  while (!planner->m_store_loads.empty() &&
         pass.m_now >= planner->m_store_loads.front() + window) {
    planner->m_store_loads.pop_front();
  }
  double seconds =
      std::chrono::duration<double>(planner->m_settings.m_load_window).count();
  auto most = static_cast<std::size_t>(
      std::max(1.0, service.engine().loads_per_second() * seconds));
  return planner->m_store_loads.size() < most && pass.m_store_loads < limit;
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
  double crowd = static_cast<double>(pass.m_store_loads + 1) /
                 static_cast<double>(std::max<std::size_t>(
                     1, pass.m_planner->m_settings.m_store_loads));
  return declared->store_load_ms() * std::max(1.0, crowd);
}

/** @return whether requests were reported long enough to know the demand. */
bool IsDemandKnown(const Pass &pass) {
  const std::optional<base::TimePoint> &first = pass.m_planner->m_first_use_at;
  return first && pass.m_now >= *first + kLearnDemand;
}

int GetCopies(const Pass &pass, const TargetKey &key) {
  auto found = pass.m_copies.find(key);
  return found == pass.m_copies.end() ? 0 : found->second;
}

double GetModelRate(const Pass &pass, const TargetKey &key) {
  double rate =
      std::max(kUnknownRate, GetRate(*pass.m_planner, key, pass.m_now));
  int copies = GetCopies(pass, key);
  if (IsDemandKnown(pass) || copies < 2) return rate;
  // Until then, the copies that are there tell how busy a model is.
  return std::max(rate,
                  copies * pass.m_planner->m_settings.m_requests_per_copy);
}

/** @return adapters of a model that are asked for again and again. */
std::size_t CountAskedAdapters(const Pass &pass, const TargetKey &key) {
  std::size_t count = 0;
  auto found = pass.m_planner->m_demands.upper_bound(key);
  for (; found != pass.m_planner->m_demands.end(); ++found) {
    if (found->first.m_service != key.m_service ||
        found->first.m_model != key.m_model) {
      break;
    }
    if (GetRate(*pass.m_planner, found->first, pass.m_now) > kAdapterRate) {
      ++count;
    }
  }
  return count;
}

/** @return copies that bear the requests and hold the adapters in demand. */
int GetNeededCopies(const Pass &pass, const TargetKey &key) {
  double for_rate =
      GetModelRate(pass, key) / pass.m_planner->m_settings.m_requests_per_copy;
  const gen::RoutedService *service =
      routes::FindService(*pass.m_routes, key.m_service);
  double slots = std::max(1u, service->engine().adapter_slots());
  double for_adapters =
      static_cast<double>(CountAskedAdapters(pass, key)) / slots;
  return std::max(
      1, static_cast<int>(std::ceil(std::max(for_rate, for_adapters))));
}

bool IsInUse(const Pass &pass, const Runner &runner,
             const std::string &target) {
  auto used = runner.m_book->m_used.find(target);
  return used != runner.m_book->m_used.end() &&
         pass.m_now < used->second + kInUse;
}

bool IsWaitedFor(const Pass &pass, const TargetKey &key) {
  auto found = pass.m_planner->m_demands.find(key);
  return found != pass.m_planner->m_demands.end() &&
         CountWaiting(found->second, pass.m_now) != 0;
}

/** @return the cost of giving up a copy, in milliseconds of waiting. */
double GetEvictionCost(const Pass &pass, const Runner &runner,
                       const std::string &model) {
  TargetKey key{runner.m_service->name(), model, ""};
  int others = GetCopies(pass, key) - 1;
  double rate = GetModelRate(pass, key);
  double cost = 0;
  if (others <= 0) {
    if (IsWaitedFor(pass, key)) return std::numeric_limits<double>::infinity();
    const gen::HostedModel *declared =
        routes::FindModel(*pass.m_routes, runner.m_service->name(), model);
    double delay =
        kReturnDelayMs + (declared == nullptr ? 0 : declared->disk_load_ms());
    cost = rate * kHorizonSeconds * delay;
  } else if (others >= GetNeededCopies(pass, key)) {
    cost = rate * kHorizonSeconds * kSpareCopyMs;
  } else {
    cost = rate * kHorizonSeconds * kNeededCopyMs;
  }
  if (IsInUse(pass, runner, model)) cost += kInUseMs;
  auto used = runner.m_book->m_used.find(model);
  bool is_fresh = used != runner.m_book->m_used.end() &&
                  pass.m_now < used->second + kFreshCopy;
  return is_fresh && others <= 0 ? cost + kFreshCopyMs : cost;
}

/** @return the model whose eviction costs least, or "". */
std::string ChooseVictim(const Pass &pass, const Runner &runner,
                         const std::set<std::string> &spared, double *cost) {
  std::string victim;
  *cost = std::numeric_limits<double>::infinity();
  for (const std::string &model : runner.m_models) {
    if (spared.contains(model) || runner.m_book->m_refused.contains(model)) {
      continue;
    }
    double candidate = GetEvictionCost(pass, runner, model);
    if (candidate >= *cost) continue;
    *cost = candidate;
    victim = model;
  }
  return victim;
}

/** @return the cost of making room for a model; infinity if there is no way. */
double GetRoomCost(const Pass &pass, const Runner &runner,
                   const std::string &model) {
  double free_mb = GetCapacity(runner) - runner.m_used_mb;
  double weight = GetWeight(pass, runner, model);
  double cost = 0;
  std::set<std::string> spared = {model};
  while (free_mb < weight) {
    double victim_cost = 0;
    std::string victim = ChooseVictim(pass, runner, spared, &victim_cost);
    if (victim.empty()) return std::numeric_limits<double>::infinity();
    cost += victim_cost + kEvictionMs;
    free_mb += GetWeight(pass, runner, victim);
    spared.insert(victim);
  }
  return cost;
}

/**
 * Chooses where a model is loaded next.
 * @param[out] cost load time and evictions, in milliseconds of waiting
 */
Runner *ChooseRunner(Pass *pass, const TargetKey &key, std::size_t store_limit,
                     double *cost) {
  Runner *best = nullptr;
  *cost = std::numeric_limits<double>::infinity();
  for (Runner &runner : pass->m_runners) {
    const RunnerBook &book = *runner.m_book;
    bool is_free = !book.m_intention && !book.m_in_progress &&
                   !book.m_in_doubt && pass->m_now >= book.m_retry_at &&
                   !book.m_refused.contains(key.m_model);
    if (!is_free || runner.m_service->name() != key.m_service) continue;
    if (runner.m_models.contains(key.m_model)) continue;
    bool is_blocked = GetSource(runner, key.m_model) == LoadSource::kStore &&
                      !MayLoadFromStore(*pass, *runner.m_service, store_limit);
    if (is_blocked) continue;
    double candidate = EstimateLoadMs(*pass, runner, key.m_model) +
                       GetRoomCost(*pass, runner, key.m_model);
    if (candidate >= *cost) continue;
    *cost = candidate;
    best = &runner;
  }
  return best;
}

void SetIntention(Pass *pass, Runner *runner, const TargetKey &key,
                  const char *reason) {
  runner->m_book->m_intention = Intention{key.m_model, pass->m_now, reason};
  ++pass->m_copies[key];
  if (GetSource(*runner, key.m_model) == LoadSource::kStore) {
    ++pass->m_store_loads;
  }
}

/** Hands an order to the shell. */
void Emit(Pass *pass, Runner *runner, PlannedOrder order) {
  RunnerBook *book = runner->m_book;
  if (!book->m_accepted) {
    book->m_is_calling = true;
    pass->m_actions->m_queries.push_back(runner->m_id);
    return;
  }
  if (!book->m_in_doubt) {
    order.m_upstream = runner->m_id;
    order.m_expected = *book->m_accepted;
  }
  if (order.m_adapter.empty()) {
    double estimate = order.m_is_load
                          ? EstimateLoadMs(*pass, *runner, order.m_model)
                          : static_cast<double>(kUnloadEstimate.count());
    book->m_in_progress = OrderInProgress{
        order.m_model, order.m_is_load, order.m_is_from_store,
        pass->m_now + base::milliseconds(static_cast<int>(estimate))};
  }
  if (!order.m_is_load) {
    book->m_unloaded[MakeTarget(order.m_model, order.m_adapter)] =
        UnreportedChange{pass->m_now, book->m_report_number};
  }
  if (order.m_is_from_store) {
    pass->m_planner->m_store_loads.push_back(pass->m_now);
  }
  book->m_is_calling = true;
  pass->m_actions->m_orders.push_back(std::move(order));
}

bool CanCall(const Pass &pass, const Runner &runner) {
  return !runner.m_book->m_is_calling &&
         pass.m_now >= runner.m_book->m_retry_at;
}

/** Repeats orders without answer and asks about orders that are late. */
void ResolveDoubts(Pass *pass) {
  for (Runner &runner : pass->m_runners) {
    RunnerBook *book = runner.m_book;
    if (!CanCall(*pass, runner)) continue;
    if (book->m_in_doubt) {
      Emit(pass, &runner, *book->m_in_doubt);
      continue;
    }
    if (book->m_in_progress && !book->m_accepted) {
      book->m_is_calling = true;
      pass->m_actions->m_queries.push_back(runner.m_id);
    }
  }
}

/** Takes the next step towards a model that a runner shall get. */
void AdvanceIntention(Pass *pass, Runner *runner) {
  RunnerBook *book = runner->m_book;
  if (!book->m_intention) return;
  Intention intention = *book->m_intention;
  bool is_over = runner->m_models.contains(intention.m_model) ||
                 pass->m_now > intention.m_since + kIntentionLifetime;
  if (is_over) {
    book->m_intention.reset();
    return;
  }
  if (book->m_in_progress || book->m_in_doubt || !CanCall(*pass, *runner)) {
    return;
  }
  double free_mb = GetCapacity(*runner) - runner->m_used_mb;
  PlannedOrder order;
  order.m_reason = intention.m_reason;
  if (free_mb >= GetWeight(*pass, *runner, intention.m_model)) {
    order.m_model = intention.m_model;
    order.m_is_from_store =
        GetSource(*runner, intention.m_model) == LoadSource::kStore;
    bool is_blocked = order.m_is_from_store &&
                      !MayLoadFromStore(*pass, *runner->m_service,
                                        std::numeric_limits<size_t>::max());
    if (is_blocked) return;
    Emit(pass, runner, std::move(order));
    if (book->m_in_progress) book->m_intention.reset();
    return;
  }
  double cost = 0;
  std::string victim = ChooseVictim(*pass, *runner, {intention.m_model}, &cost);
  if (victim.empty()) {
    book->m_intention.reset();
    return;
  }
  order.m_is_load = false;
  order.m_model = victim;
  Emit(pass, runner, std::move(order));
}

struct RankedDemand {
  TargetKey m_key;
  std::uint32_t m_rank = 0;
  std::uint32_t m_waiting = 0;
};

/** @return targets with waiting requests, the most urgent first. */
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

/** Loads models that requests wait for and no runner holds. */
void PlaceWaiting(Pass *pass) {
  for (const RankedDemand &demand : ListWaiting(*pass, false)) {
    if (GetCopies(*pass, demand.m_key) > 0) continue;
    double cost = 0;
    Runner *runner = ChooseRunner(
        pass, demand.m_key, pass->m_planner->m_settings.m_store_loads, &cost);
    if (runner != nullptr) {
      SetIntention(pass, runner, demand.m_key, "requests_wait");
    }
  }
}

/** A model that deserves a copy ahead of requests. */
struct Candidate {
  TargetKey m_key;
  double m_benefit = 0;  ///< milliseconds of waiting avoided
  const char *m_reason = "";
  bool m_needs_free_room = false;  ///< not worth an eviction
};

std::vector<Candidate> ListCandidates(const Pass &pass) {
  std::vector<Candidate> candidates;
  for (const gen::RoutedService &service : pass.m_routes->m_table.services()) {
    for (const gen::HostedModel &model : service.engine().models()) {
      TargetKey key{service.name(), model.name(), ""};
      double rate = GetModelRate(pass, key);
      int copies = GetCopies(pass, key);
      if (copies == 0) {
        // A model on some disk comes back fast when it is asked for.
        bool is_near = IsOnAnyDisk(pass, key);
        double delay = is_near ? kReturnDelayMs + model.disk_load_ms()
                               : model.store_load_ms();
        candidates.push_back({key, rate * kHorizonSeconds * delay,
                              is_near ? "no_copy" : "no_copy_on_disk",
                              is_near});
      } else if (copies < GetNeededCopies(pass, key)) {
        candidates.push_back(
            {key, rate * kHorizonSeconds * kNeededCopyMs, "busy", false});
      }
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate &a, const Candidate &b) {
                     return a.m_benefit > b.m_benefit;
                   });
  return candidates;
}

/** Loads models ahead of requests where the gain outweighs the evictions. */
void PlaceAhead(Pass *pass) {
  bool has_demand = pass->m_planner->m_first_use_at.has_value();
  if (has_demand && !IsDemandKnown(*pass)) return;
  for (const Candidate &candidate : ListCandidates(*pass)) {
    double cost = 0;
    // Before traffic, no waiting request needs the store's speed.
    const ResidencySettings &settings = pass->m_planner->m_settings;
    std::size_t limit =
        has_demand ? settings.m_background_loads : settings.m_store_loads;
    Runner *runner = ChooseRunner(pass, candidate.m_key, limit, &cost);
    if (runner == nullptr) continue;
    double room = GetRoomCost(*pass, *runner, candidate.m_key.m_model);
    bool is_worth_it =
        candidate.m_needs_free_room ? room == 0 : room < candidate.m_benefit;
    if (!is_worth_it) continue;
    SetIntention(pass, runner, candidate.m_key, candidate.m_reason);
    return;
  }
}

std::uint64_t HashPair(const std::string &a, const std::string &b) {
  std::string text = a + "\n" + b;
  return XXH3_64bits(text.data(), text.size());
}

bool HasFreeSlot(const Runner &runner) {
  return runner.m_adapters.size() + runner.m_reserved_slots <
         runner.m_service->engine().adapter_slots();
}

/** Chooses the copy of a model that shall get an adapter. */
Runner *ChooseAdapterRunner(Pass *pass, const TargetKey &key) {
  Runner *best = nullptr;
  auto best_order = std::make_tuple(true, true, std::uint64_t{0});
  std::string target = MakeTarget(key.m_model, key.m_adapter);
  for (Runner &runner : pass->m_runners) {
    if (runner.m_service->name() != key.m_service) continue;
    if (!runner.m_models.contains(key.m_model)) continue;
    if (runner.m_book->m_refused.contains(target)) continue;
    bool is_busy = runner.m_book->m_in_progress.has_value();
    bool is_full = !HasFreeSlot(runner);
    auto order =
        std::make_tuple(is_busy, is_full, HashPair(runner.m_id, target));
    if (best != nullptr && order >= best_order) continue;
    best = &runner;
    best_order = order;
  }
  return best;
}

/** @return the adapter in a runner's slots that was used least lately. */
std::string ChooseAdapterVictim(const Pass &pass, const Runner &runner) {
  std::string victim;
  base::TimePoint oldest = base::TimePoint::max();
  for (const std::string &target : runner.m_adapters) {
    // An unload of an adapter in use keeps the runner busy for seconds.
    if (runner.m_book->m_refused.contains(target)) continue;
    if (IsInUse(pass, runner, target)) continue;
    auto used = runner.m_book->m_used.find(target);
    base::TimePoint at =
        used == runner.m_book->m_used.end() ? base::TimePoint() : used->second;
    if (at >= oldest) continue;
    oldest = at;
    victim = target;
  }
  return victim;
}

bool HoldsAdapter(const Pass &pass, const TargetKey &key) {
  std::string target = MakeTarget(key.m_model, key.m_adapter);
  return std::any_of(pass.m_runners.begin(), pass.m_runners.end(),
                     [&](const Runner &runner) {
                       return runner.m_service->name() == key.m_service &&
                              runner.m_models.contains(key.m_model) &&
                              runner.m_adapters.contains(target);
                     });
}

/** Loads adapters that requests wait for, making room in the slots. */
void PlaceAdapters(Pass *pass) {
  for (const RankedDemand &demand : ListWaiting(*pass, true)) {
    if (HoldsAdapter(*pass, demand.m_key)) continue;
    Runner *runner = ChooseAdapterRunner(pass, demand.m_key);
    if (runner == nullptr || runner->m_book->m_in_doubt) continue;
    // A runner refuses orders while it loads or unloads a model.
    if (runner->m_book->m_in_progress || !CanCall(*pass, *runner)) continue;
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
    Emit(pass, runner, std::move(order));
  }
}

/** @return an adapter of a model that no copy holds, "" if there is none. */
std::string FindMissingAdapter(const Pass &pass, const TargetKey &key,
                               const gen::HostedModel &model) {
  for (std::uint32_t i = 1; i <= model.adapters(); ++i) {
    std::string name = "a" + std::to_string(i);
    if (!HoldsAdapter(pass, TargetKey{key.m_service, key.m_model, name})) {
      return name;
    }
  }
  return "";
}

/** Fills free slots of runners with adapters of the models in demand. */
void PlaceAdaptersAhead(Pass *pass) {
  for (Runner &runner : pass->m_runners) {
    RunnerBook &book = *runner.m_book;
    bool is_free = HasFreeSlot(runner) && CanCall(*pass, runner) &&
                   !book.m_in_progress && !book.m_in_doubt && !book.m_intention;
    if (!is_free) continue;
    for (const std::string &name : runner.m_models) {
      TargetKey key{runner.m_service->name(), name, ""};
      const gen::HostedModel *model =
          routes::FindModel(*pass->m_routes, key.m_service, name);
      if (model == nullptr || model->adapters() == 0) continue;
      if (GetRate(*pass->m_planner, key, pass->m_now) < kAheadRate) continue;
      PlannedOrder order;
      order.m_reason = "ahead";
      order.m_model = name;
      order.m_adapter = FindMissingAdapter(*pass, key, *model);
      if (order.m_adapter.empty()) continue;
      // Counts at once, so that another copy takes another adapter.
      runner.m_adapters.insert(MakeTarget(name, order.m_adapter));
      Emit(pass, &runner, std::move(order));
      break;
    }
  }
}

void PublishChanges(Pass *pass, std::uint64_t term) {
  for (auto &[id, book] : pass->m_planner->m_books) {
    gen::Residency residency = MakeResidency(book, id);
    std::uint64_t hash = HashResidency(residency);
    if (hash == book.m_published) continue;
    book.m_published = hash;
    residency.set_term(term);
    residency.set_number(++pass->m_planner->m_residency_number);
    pass->m_actions->m_changed.push_back(std::move(residency));
  }
}

}  // namespace

ResidencyActions PlanResidency(ResidencyPlanner *planner, const FleetView &view,
                               const routes::RouteIndex &routes,
                               std::uint64_t term, base::TimePoint now) {
  ResidencyActions actions;
  Pass pass;
  pass.m_planner = planner;
  pass.m_view = &view;
  pass.m_routes = &routes;
  pass.m_now = now;
  pass.m_actions = &actions;
  CollectRunners(&pass);
  ResolveDoubts(&pass);
  PlaceWaiting(&pass);
  PlaceAhead(&pass);
  for (Runner &runner : pass.m_runners) AdvanceIntention(&pass, &runner);
  PlaceAdapters(&pass);
  PlaceAdaptersAhead(&pass);
  PublishChanges(&pass, term);
  return actions;
}

}  // namespace wasabiwind::fleet
