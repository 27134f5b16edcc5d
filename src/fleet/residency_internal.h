/** @file residency_internal.h Functions shared by the planner's files. */

#ifndef WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_
#define WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_

#include "fleet/residency_func.h"
#include "fleet/residency_pass_type.h"

namespace wasabiwind::fleet {

inline constexpr std::uint32_t kLeastUrgentRank = 1'000;

// residency.cpp: demand and runner states.

/** @return requests that wait for a target at all entry hosts. */
std::uint32_t CountWaiting(const TargetDemand &demand, base::TimePoint now);

/** @return the most urgent rank that entry hosts reported for waiting requests.
 */
std::uint32_t GetWaitingRank(const TargetDemand &demand, base::TimePoint now);

/** Updates the state of a runner from its report. */
void RefreshRunnerState(RunnerState *state, const UpstreamEntry &entry,
                        base::TimePoint now);

/** @return the changes that the report of a runner lacks, without a version. */
gen::Residency MakeResidency(const RunnerState &state, const std::string &id);

std::uint64_t HashResidency(const gen::Residency &residency);

// residency_pass.cpp: state of a pass, and its orders.

/** Collects the runners that can receive orders and the demand for models. */
void CollectFleet(Pass *pass);

/** @return size of a declared model's weights in MB. That of another model
 * isn't known: it counts as all memory of its runner. */
double GetWeightsMb(const Pass &pass, const Runner &runner,
                    const std::string &model);

/** @return memory for model weights in MB, without the share of adapters. */
double GetCapacityMb(const Runner &runner);

LoadSource GetSource(const Runner &runner, const std::string &model);

/**
 * @param limit maximum number of loads from the store in progress
 * @return whether another load from the store may start
 */
bool MayLoadFromStore(const Pass &pass, const gen::RoutedService &service,
                      std::size_t limit);

/** @return the time of a load in milliseconds; infinity if undeclared. */
double EstimateLoadMs(const Pass &pass, const Runner &runner,
                      const std::string &model);

/** @return demand for a model; empty if it is undeclared and no runner has it.
 */
const ModelDemand &GetDemand(const Pass &pass, const TargetKey &key);

/** @return whether use was reported for long enough to know the demand. */
bool IsDemandKnown(const Pass &pass);

bool IsInUse(const Pass &pass, const Runner &runner, const std::string &target);

/** @return whether an order or query may be sent to a runner now. */
bool CanCall(const Pass &pass, const Runner &runner);

/** Adds an order to the actions, or a status query if one is needed first. */
void IssueOrder(Pass *pass, Runner *runner, PlannedOrder order);

/** A target with waiting requests. */
struct RankedDemand {
  TargetKey m_key;
  std::uint32_t m_rank = 0;
  std::uint32_t m_waiting = 0;
};

/** @return targets with waiting requests, the most urgent first. */
std::vector<RankedDemand> ListWaiting(const Pass &pass, bool wants_adapters);

// residency_cost.cpp: costs and gains, as waiting time of requests in ms.

/** @return the gain of a first or further copy on an idle runner. */
double GetCopyGain(const Pass &pass, const TargetKey &key);

/** @return the cost of a further model to the other models of its runner. */
double GetSharingCost(const Pass &pass, const Runner &runner,
                      const TargetKey &key);

/**
 * @param load_ms duration of the load that follows, during which the runner
 *        accepts no other order
 * @return the cost of evicting a copy; infinity if it is the last one and
 *         requests wait for it
 */
double GetEvictionCost(const Pass &pass, const Runner &runner,
                       const std::string &model, double load_ms);

/** @return the cost of a load to models whose weights only its runner has. */
double GetBlockingCost(const Pass &pass, const Runner &runner, double load_ms);

/** @return the model with the lowest eviction cost, or "". */
std::string ChooseVictim(const Pass &pass, const Runner &runner,
                         const std::set<std::string> &excluded_models,
                         double load_ms, double *cost);

/** @return the cost of all evictions that make room for a model; infinity if it
 * can't fit. */
double GetTotalEvictionCost(const Pass &pass, const Runner &runner,
                            const std::string &model);

// residency_models.cpp and residency_adapters.cpp: choice of orders.

/** Plans loads of models that requests wait for and that no runner has loaded,
 * is loading or is planned to load. */
void PlanRequestedModels(Pass *pass);

/** Plans the preload of at most one model, if its gain exceeds its cost. */
void PlanModelPreloads(Pass *pass);

/** Issues the next order for the pending load of a runner, or drops the load.
 */
void AdvancePendingLoad(Pass *pass, Runner *runner);

/** Loads adapters that requests wait for and frees slots for them. */
void PlanRequestedAdapters(Pass *pass);

/** Fills free slots of runners with adapters of models in demand. */
void PlanAdapterPreloads(Pass *pass);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_
