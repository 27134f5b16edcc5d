/** @file residency_models.cpp Which models runners get next. */

#include <algorithm>
#include <limits>

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

constexpr base::milliseconds kIntentionLifetime{15'000};
/** What one waiting request may cost others, in milliseconds of waiting. */
constexpr double kWaitingRequestMs = 6'000.0;
/** Requests up to this rank count so many times. */
constexpr std::uint32_t kUrgentRank = 1;
constexpr double kUrgentFactor = 3.0;
/** Price of an early load from the store, in milliseconds of waiting. */
constexpr double kStoreLoadMs = 2'000.0;
/** Gains below this aren't compared with the cost at each runner. */
constexpr double kLeastGainMs = 500.0;
/** An early load gains at least this many times what it costs. */
constexpr double kLeastGain = 1.3;
/** From this gain on, a load relieves copies that are overloaded. */
constexpr double kUrgentGainMs = 15'000.0;

/** @return what a load costs others: evictions, shared work and orders that
 * must wait for it. */
double GetPlacementCost(const Pass &pass, const Runner &runner,
                        const TargetKey &key) {
  double load_ms = EstimateLoadMs(pass, runner, key.m_model);
  return GetRoomCost(pass, runner, key.m_model) +
         GetSharingCost(pass, runner, key) +
         GetBlockingCost(pass, runner, load_ms);
}

/** A runner for a load. */
struct RunnerChoice {
  Runner *m_runner = nullptr;  ///< nullptr: none can take it now
  double m_cost = 0;           ///< to others, in milliseconds of waiting
};

/**
 * Chooses where a model is loaded next.
 * @param requests that wait for the load
 */
RunnerChoice ChooseRunner(Pass *pass, const TargetKey &key,
                          std::size_t store_limit, double requests) {
  RunnerChoice best;
  double least = std::numeric_limits<double>::infinity();
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
    double cost = GetPlacementCost(*pass, runner, key);
    double total = requests * EstimateLoadMs(*pass, runner, key.m_model) + cost;
    if (total >= least) continue;
    least = total;
    best = RunnerChoice{&runner, cost};
  }
  return best;
}

void SetIntention(Pass *pass, Runner *runner, const TargetKey &key,
                  const char *reason, double gain) {
  runner->m_book->m_intention =
      Intention{key.m_model, pass->m_now, reason, gain};
  ++pass->m_demands[key].m_copies;
  if (GetSource(*runner, key.m_model) == LoadSource::kStore) {
    ++pass->m_store_loads;
  }
}

/** A model that deserves a copy ahead of requests. */
struct Candidate {
  TargetKey m_key;
  double m_gain = 0;  ///< milliseconds of waiting avoided
  const char *m_reason = "";
  bool m_needs_free_room = false;  ///< not worth an eviction
};

std::vector<Candidate> ListCandidates(const Pass &pass) {
  std::vector<Candidate> candidates;
  for (const auto &[key, demand] : pass.m_demands) {
    Candidate candidate{key, GetCopyGain(pass, key), "busy", false};
    if (demand.m_copies == 0) {
      // A model on some disk comes back fast when it is asked for.
      candidate.m_needs_free_room = demand.m_near != 0;
      candidate.m_reason =
          candidate.m_needs_free_room ? "no_copy" : "no_copy_on_disk";
    }
    bool is_useful = demand.m_copies == 0 || candidate.m_gain >= kLeastGainMs;
    if (is_useful) candidates.push_back(std::move(candidate));
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate &a, const Candidate &b) {
                     return a.m_gain > b.m_gain;
                   });
  return candidates;
}

/** @return whether a load ahead of requests pays. */
bool IsWorthIt(const Pass &pass, const Candidate &candidate,
               const RunnerChoice &choice) {
  const Runner &runner = *choice.m_runner;
  if (candidate.m_needs_free_room) {
    return GetRoomCost(pass, runner, candidate.m_key.m_model) == 0;
  }
  bool is_from_store =
      GetSource(runner, candidate.m_key.m_model) == LoadSource::kStore;
  double cost = choice.m_cost + (is_from_store ? kStoreLoadMs : 0);
  return candidate.m_gain > kLeastGain * cost;
}

}  // namespace

void PlaceWaiting(Pass *pass) {
  for (const RankedDemand &demand : ListWaiting(*pass, false)) {
    const ModelDemand &known = GetDemand(*pass, demand.m_key);
    if (known.m_copies > 0) continue;
    RunnerChoice choice = ChooseRunner(
        pass, demand.m_key, pass->m_planner->m_settings.m_store_loads,
        demand.m_waiting);
    if (choice.m_runner == nullptr) continue;
    double factor = demand.m_rank <= kUrgentRank ? kUrgentFactor : 1.0;
    double gain = kWaitingRequestMs * factor * demand.m_waiting +
                  GetCopyGain(*pass, demand.m_key);
    if (gain < choice.m_cost) continue;
    SetIntention(pass, choice.m_runner, demand.m_key, "requests_wait", gain);
  }
}

void PlaceAhead(Pass *pass) {
  bool has_demand = pass->m_planner->m_first_use_at.has_value();
  if (has_demand && !IsDemandKnown(*pass)) return;
  const ResidencySettings &settings = pass->m_planner->m_settings;
  for (const Candidate &candidate : ListCandidates(*pass)) {
    std::size_t limit = settings.m_background_loads;
    if (candidate.m_gain >= kUrgentGainMs) limit = settings.m_urgent_loads;
    // Before traffic, no waiting request needs the store's speed.
    if (!has_demand) limit = settings.m_store_loads;
    RunnerChoice choice =
        ChooseRunner(pass, candidate.m_key, limit, /*requests=*/1);
    bool is_worth_it =
        choice.m_runner != nullptr && IsWorthIt(*pass, candidate, choice);
    if (!is_worth_it) continue;
    SetIntention(pass, choice.m_runner, candidate.m_key, candidate.m_reason,
                 candidate.m_gain);
    return;
  }
}

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
  std::string victim =
      ChooseVictim(*pass, *runner, {intention.m_model},
                   EstimateLoadMs(*pass, *runner, intention.m_model), &cost);
  // Demand may have moved since the load was decided.
  if (victim.empty() || cost > intention.m_gain) {
    book->m_intention.reset();
    return;
  }
  order.m_is_load = false;
  order.m_model = victim;
  Emit(pass, runner, std::move(order));
}

}  // namespace wasabiwind::fleet
