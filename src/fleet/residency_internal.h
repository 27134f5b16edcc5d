/** @file residency_internal.h Functions shared by the parts of the planner. */

#ifndef WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_
#define WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_

#include "fleet/residency_func.h"
#include "fleet/residency_pass_type.h"

namespace wasabiwind::fleet {

inline constexpr std::uint32_t kLeastUrgentRank = 1'000;

// residency.cpp: demands and books.

/** @return requests that wait for a target at all entry hosts. */
std::uint32_t CountWaiting(const TargetDemand &demand, base::TimePoint now);

/** @return the rank of the most urgent waiting request. */
std::uint32_t GetWaitingRank(const TargetDemand &demand, base::TimePoint now);

/** Brings a book up to date with a runner's report. */
void RefreshBook(RunnerBook *book, const UpstreamEntry &entry,
                 base::TimePoint now);

/** @return what the book adds to the runner's report, without version. */
gen::Residency MakeResidency(const RunnerBook &book, const std::string &id);

std::uint64_t HashResidency(const gen::Residency &residency);

// residency_pass.cpp: what a pass knows, and the orders that it gives.

/** Lists the runners that may get orders and the demand for each model. */
void CollectFleet(Pass *pass);

/** @return weight of a declared model in MB, 0 for others. */
double GetWeight(const Pass &pass, const Runner &runner,
                 const std::string &model);

/** @return memory for weights in MB, without what adapters may take. */
double GetCapacity(const Runner &runner);

LoadSource GetSource(const Runner &runner, const std::string &model);

/**
 * @param limit most loads from the store that may be in progress
 * @return whether one more load from the store may begin
 */
bool MayLoadFromStore(const Pass &pass, const gen::RoutedService &service,
                      std::size_t limit);

/** @return the time of a load in milliseconds; infinity if undeclared. */
double EstimateLoadMs(const Pass &pass, const Runner &runner,
                      const std::string &model);

/** @return demand for a model; nothing is known of undeclared ones. */
const ModelDemand &GetDemand(const Pass &pass, const TargetKey &key);

/** @return whether requests were reported long enough to know the demand. */
bool IsDemandKnown(const Pass &pass);

bool IsInUse(const Pass &pass, const Runner &runner, const std::string &target);

/** @return whether a runner can take a call now. */
bool CanCall(const Pass &pass, const Runner &runner);

/** Hands an order to the shell, or first asks for the runner's state. */
void Emit(Pass *pass, Runner *runner, PlannedOrder order);

/** A target with waiting requests. */
struct RankedDemand {
  TargetKey m_key;
  std::uint32_t m_rank = 0;
  std::uint32_t m_waiting = 0;
};

/** @return targets with waiting requests, the most urgent first. */
std::vector<RankedDemand> ListWaiting(const Pass &pass, bool wants_adapters);

// residency_cost.cpp: costs and gains, in milliseconds that requests wait.

/** @return the gain from a first or further copy on a runner without work. */
double GetCopyGain(const Pass &pass, const TargetKey &key);

/** @return the cost of a further model to those that its runner serves. */
double GetSharingCost(const Pass &pass, const Runner &runner,
                      const TargetKey &key);

/**
 * @param load_ms time of the load that follows, during which the runner takes
 *        no other order
 * @return the cost of giving up a copy; infinity if requests wait for it
 */
double GetEvictionCost(const Pass &pass, const Runner &runner,
                       const std::string &model, double load_ms);

/** @return the cost of a load to models that only its runner has near. */
double GetBlockingCost(const Pass &pass, const Runner &runner, double load_ms);

/** @return the model whose eviction costs least, or "". */
std::string ChooseVictim(const Pass &pass, const Runner &runner,
                         const std::set<std::string> &spared, double load_ms,
                         double *cost);

/** @return the cost of making room for a model; infinity if there is no way. */
double GetRoomCost(const Pass &pass, const Runner &runner,
                   const std::string &model);

// residency_models.cpp and residency_adapters.cpp: what to order.

/** Loads models that requests wait for and no runner holds. */
void PlaceWaiting(Pass *pass);

/** Loads models ahead of requests where the gain outweighs the evictions. */
void PlaceAhead(Pass *pass);

/** Takes the next step towards a model that a runner shall get. */
void AdvanceIntention(Pass *pass, Runner *runner);

/** Loads adapters that requests wait for, making room in the slots. */
void PlaceAdapters(Pass *pass);

/** Fills free slots of runners with adapters of the models in demand. */
void PlaceAdaptersAhead(Pass *pass);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_
