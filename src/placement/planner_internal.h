/** @file planner_internal.h Internal functions of the planner. */

#ifndef WASABIWIND_PLACEMENT_PLANNER_INTERNAL_H_
#define WASABIWIND_PLACEMENT_PLANNER_INTERNAL_H_

#include "placement/planner_type.h"

namespace wasabiwind::placement {

/** What a scope has to load by the current configuration. */
struct ScopeTarget {
  std::string m_scope;
  const gen::Deployment *m_deployment = nullptr;  ///< nullptr: not declared
  const gen::Adapter *m_adapter = nullptr;
  std::string m_target;
  std::int64_t m_bytes = 0;  ///< memory on the runner
  std::int64_t m_weight_bytes = 0;
  int m_max_replicas = 0;
};

/** @return name of the adapter's scope, or of the deployment's if adapter is
 * "". */
std::string MakeScope(const std::string &deployment,
                      const std::string &adapter);

/** Looks a scope up in the planner's catalog. */
ScopeTarget FindScopeTarget(const Planner &planner,
                            const std::string &deployment,
                            const std::string &adapter);

/** @return an unused fence of the planner's term. */
gen::Fence AllocateFence(Planner *planner);

/** Adds a command that concerns one grant, and marks the grant as pending. */
void ProposeForGrant(Planner *planner, std::uint64_t grant_id,
                     gen::PlacementCommand command, Decisions *decisions);

/** @return whether a grant is loading or loaded. */
bool IsActive(const gen::Grant &grant);

/** Why no runner was chosen. */
enum class ChoiceFailure : std::uint8_t {
  kNone,
  kNoRunner,  ///< no runner is eligible, whatever memory it has free
  kNoMemory,  ///< some are eligible once memory is freed
  kNoModel,   ///< the adapter's model isn't loaded anywhere
  kEnd,
};

/** The runner chosen for a replica. */
struct RunnerChoice {
  const RunnerView *m_runner = nullptr;
  CacheTier m_tier = CacheTier::kRemote;
  ChoiceFailure m_failure = ChoiceFailure::kNone;
};

/**
 * Chooses by region order, spread over domains, cached copies and free memory.
 * @param prefer_cached compares cached copies before regions
 */
RunnerChoice ChooseRunner(const Planner &planner, const Ledger &ledger,
                          const ScopeTarget &wanted, bool prefer_cached,
                          base::TimePoint now);

/**
 * Retires idle replicas of other deployments on one runner to free memory for a
 * replica. Does nothing while enough memory is already being freed.
 * @return whether memory will become free
 */
bool FreeMemoryFor(Planner *planner, const Ledger &ledger,
                   const ScopeTarget &wanted, base::TimePoint now,
                   Decisions *decisions);

/** Schedule of the weight store: when further loads can start and end. */
struct StoreSchedule {
  base::TimePoint m_next_start;
  std::vector<base::TimePoint> m_model_ends;    ///< one for each used slot
  std::vector<base::TimePoint> m_adapter_ends;  ///< one for each used slot
};

StoreSchedule MakeStoreSchedule(const Planner &planner, const Ledger &ledger,
                                base::TimePoint now);

/** @return expected duration of a load, from its start. */
base::Duration EstimateLoad(const Planner &planner, CacheTier tier,
                            std::int64_t weight_bytes);

/** Start and end of a load that was added to a schedule. */
struct LoadSlot {
  base::TimePoint m_start;
  base::TimePoint m_end;
};

/** Adds one store transfer to the schedule. */
LoadSlot AddStoreLoad(const Planner &planner, bool is_adapter,
                      base::Duration duration, base::TimePoint now,
                      StoreSchedule *schedule);

/** Updates the loading speed of a tier with the duration of a load. */
void UpdateLoadSpeed(Planner *planner, CacheTier tier,
                     std::int64_t weight_bytes, base::Duration duration);

/** Records that a scope is in use. */
void RecordUse(Planner *planner, const std::string &scope, base::TimePoint now);

/**
 * @param idle_after upper bound that operators set
 * @return how long an idle scope stays loaded: the time with the least cost,
 *         where a cold start costs as much as several times its own duration of
 *         idle time
 */
base::Duration GetKeepAlive(const Planner &planner, const std::string &scope,
                            base::Duration cold_start,
                            base::Duration idle_after);

/** Answers demands, reserves replicas that can be loaded now, and refuses
 * demands that can't be served before their deadline. */
void PlanDemands(Planner *planner, const Ledger &ledger, base::TimePoint now,
                 Decisions *decisions);

/** Advances each grant that isn't loaded through its load or unload. */
void ReconcileInTransition(Planner *planner, const Ledger &ledger,
                           base::TimePoint now, Decisions *decisions);

/** As ReconcileInTransition, also for loaded grants, whose runner may have
 * restarted. */
void ReconcileAll(Planner *planner, const Ledger &ledger, base::TimePoint now,
                  Decisions *decisions);

/** Records the outcome of an order. */
void HandleOrderResult(Planner *planner, const OrderResult &result,
                       base::TimePoint now);

/** Retires replicas that are idle, obsolete or surplus; adds demands for
 * minimum replicas and new versions. */
void ReviewScopes(Planner *planner, const Ledger &ledger, base::TimePoint now,
                  Decisions *decisions);

/** An older report isn't used for an adoption: the target may have been
 * unloaded since. */
constexpr base::milliseconds kMaxAdoptionReportAge{2'000};

/** Adds grants for loaded replicas that have none, each after its runner has
 * confirmed it. */
void AdoptReplicas(Planner *planner, const Ledger &ledger, base::TimePoint now,
                   Decisions *decisions);

/** Adds a demand for which no request waits. */
void AddBackgroundDemand(Planner *planner, const std::string &deployment,
                         const std::string &adapter, base::TimePoint now);

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_PLACEMENT_PLANNER_INTERNAL_H_
