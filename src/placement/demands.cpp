/** @file demands.cpp Demands: what to load next, and when it will be ready. */

#include <algorithm>
#include <optional>

#include "placement/ledger_cmd.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

/** Lifetime of a demand for which no request waits. A refused demand becomes
 * one, for callers that retry. */
constexpr base::milliseconds kBackgroundDemandTime{30'000};
/** Reports of waiting requests count for as long as one activation interval. */
constexpr base::milliseconds kMaxWaitingReportAge{1'000};
constexpr const char *kReasonUnknown = "unknown_model";
constexpr const char *kReasonTooLate = "cold_start_too_late";
constexpr const char *kReasonNoUpstream = "no_upstream";

/** Numbers of replicas of a scope by state. */
struct ScopeCount {
  int m_loaded = 0;   ///< of the current target
  int m_loading = 0;  ///< of the current target, including pending
  int m_total = 0;    ///< of any version, including pending
  /** When the first of the loading ones is expected to be ready. */
  std::optional<base::TimePoint> m_ready_at;
};

/** State of one pass over all demands. */
struct PlanningPass {
  Planner *m_planner;
  const Ledger *m_ledger;
  base::TimePoint m_now;
  StoreSchedule m_schedule;
  int m_free_model_slots = 0;    ///< store transfers that may start now
  int m_free_adapter_slots = 0;  ///< store transfers that may start now
  Decisions *m_decisions;
};

/** A load that takes longer than estimated is expected to take another quarter
 * of its duration so far. */
base::TimePoint EstimateReady(const Planner &planner, const ScopeTarget &wanted,
                              std::uint64_t grant_id, bool uses_store,
                              base::TimePoint now) {
  CacheTier tier = uses_store ? CacheTier::kRemote : CacheTier::kDisk;
  auto view = planner.m_grants.find(grant_id);
  base::TimePoint since =
      view == planner.m_grants.end() ? now : view->second.m_since;
  base::TimePoint end =
      since + EstimateLoad(planner, tier, wanted.m_weight_bytes);
  return std::max(end, now + (now - since) / 4);
}

void CountLoading(base::TimePoint ready_at, ScopeCount *count) {
  ++count->m_loading;
  bool is_first = !count->m_ready_at || ready_at < *count->m_ready_at;
  if (is_first) count->m_ready_at = ready_at;
}

ScopeCount CountScope(const PlanningPass &pass, const ScopeTarget &wanted) {
  ScopeCount count;
  bool ignores_loading =
      pass.m_planner->m_settings.m_faults.m_count_only_confirmed;
  for (std::uint64_t id : GetScopeGrants(*pass.m_ledger, wanted.m_scope)) {
    const gen::Grant &grant = pass.m_ledger->m_grants.at(id);
    if (ignores_loading && grant.state() != gen::GRANT_LOADED) continue;
    ++count.m_total;
    if (grant.target() != wanted.m_target) continue;
    if (grant.state() == gen::GRANT_LOADED) ++count.m_loaded;
    if (grant.state() != gen::GRANT_LOADING) continue;
    CountLoading(EstimateReady(*pass.m_planner, wanted, id, grant.uses_store(),
                               pass.m_now),
                 &count);
  }
  for (const gen::ReserveCommand &pending :
       pass.m_planner->m_pending_reserves) {
    if (pending.grant().scope() != wanted.m_scope) continue;
    ++count.m_total;
    CountLoading(EstimateReady(*pass.m_planner, wanted, 0,
                               pending.grant().uses_store(), pass.m_now),
                 &count);
  }
  return count;
}

gen::ActivationReply MakeReply(const Demand &demand) {
  gen::ActivationReply reply;
  reply.set_deployment(demand.m_deployment);
  reply.set_adapter(demand.m_adapter);
  return reply;
}

void SendAnswer(const PlanningPass &pass, gen::ActivationReply reply,
                Demand *demand) {
  demand->m_needs_answer = false;
  if (demand->m_nodes.empty()) return;
  ActivationAnswer answer;
  for (const auto &[node, unused] : demand->m_nodes) {
    answer.m_nodes.push_back(node);
  }
  answer.m_reply = std::move(reply);
  pass.m_decisions->m_answers.push_back(std::move(answer));
}

void AnswerReadyTime(const PlanningPass &pass, base::TimePoint ready_at,
                     Demand *demand) {
  gen::ActivationReply reply = MakeReply(*demand);
  base::Duration wait =
      std::max<base::Duration>(ready_at - pass.m_now, base::Duration::zero());
  reply.set_ready_in_ms(
      std::chrono::duration_cast<base::milliseconds>(wait).count());
  SendAnswer(pass, std::move(reply), demand);
}

/** Tells all nodes that their requests can't be served in time. The demand
 * stays as a background demand; otherwise repeated requests would never load
 * it. */
void Refuse(const PlanningPass &pass, const char *reason, Demand *demand) {
  gen::ActivationReply reply = MakeReply(*demand);
  reply.set_is_refused(true);
  reply.set_reason(reason);
  SendAnswer(pass, std::move(reply), demand);
  demand->m_nodes.clear();
  demand->m_is_background = true;
  demand->m_expires_at = pass.m_now + kBackgroundDemandTime;
}

/** Answers with the predicted time, or refuses at once if that is too late. */
void AnswerOrRefuse(const PlanningPass &pass, base::TimePoint ready_at,
                    Demand *demand) {
  if (demand->m_is_background) return;
  if (ready_at > demand->m_deadline) {
    Refuse(pass, kReasonTooLate, demand);
    return;
  }
  if (demand->m_needs_answer) AnswerReadyTime(pass, ready_at, demand);
}

void ReserveReplica(PlanningPass *pass, const ScopeTarget &wanted,
                    const RunnerChoice &choice) {
  const gen::UpstreamRecord &runner = choice.m_runner->m_record;
  gen::PlacementCommand command;
  command.set_term(pass->m_planner->m_term);
  gen::ReserveCommand *reserve = command.mutable_reserve();
  gen::Grant *grant = reserve->mutable_grant();
  grant->set_scope(wanted.m_scope);
  grant->set_deployment(wanted.m_deployment->name());
  if (wanted.m_adapter != nullptr) {
    grant->set_adapter(wanted.m_adapter->name());
  }
  grant->set_target(wanted.m_target);
  grant->set_runner(runner.upstream());
  grant->set_runner_incarnation(runner.incarnation());
  grant->set_region(runner.region());
  grant->set_domain(runner.domain());
  grant->set_bytes(wanted.m_bytes);
  *grant->mutable_fence() = AllocateFence(pass->m_planner);
  grant->set_checks_fences(wanted.m_deployment->engine_fencing() == "checked");
  grant->set_uses_store(choice.m_tier == CacheTier::kRemote);
  reserve->set_decided(wanted.m_max_replicas);
  reserve->set_max_per_domain(wanted.m_deployment->max_per_domain());
  reserve->set_runner_memory_bytes(runner.memory_bytes());
  pass->m_planner->m_pending_reserves.push_back(*reserve);
  pass->m_decisions->m_commands.push_back(std::move(command));
}

bool IsCached(const RunnerChoice &choice) {
  return choice.m_runner != nullptr && choice.m_tier != CacheTier::kRemote;
}

/** Reserves on a runner that has the weights, so that the store isn't needed.
 * @return when the replica will be ready */
base::TimePoint PlaceFromCache(PlanningPass *pass, const ScopeTarget &wanted,
                               const RunnerChoice &choice) {
  ReserveReplica(pass, wanted, choice);
  return pass->m_now +
         EstimateLoad(*pass->m_planner, choice.m_tier, wanted.m_weight_bytes);
}

/** Takes the next slot of the store, and reserves a replica if the slot starts
 * now. @return when a replica will be ready */
base::TimePoint PlaceFromStore(PlanningPass *pass, const ScopeTarget &wanted,
                               const RunnerChoice &choice,
                               base::TimePoint deadline) {
  bool is_adapter = wanted.m_adapter != nullptr;
  base::Duration duration =
      EstimateLoad(*pass->m_planner, CacheTier::kRemote, wanted.m_weight_bytes);
  StoreSchedule before = pass->m_schedule;
  LoadSlot slot = AddStoreLoad(*pass->m_planner, is_adapter, duration,
                               pass->m_now, &pass->m_schedule);
  if (slot.m_end > deadline) {
    RunnerChoice cached = ChooseRunner(*pass->m_planner, *pass->m_ledger,
                                       wanted, true, pass->m_now);
    if (IsCached(cached)) {
      pass->m_schedule = before;
      return PlaceFromCache(pass, wanted, cached);
    }
  }
  int &free_slots =
      is_adapter ? pass->m_free_adapter_slots : pass->m_free_model_slots;
  if (slot.m_start <= pass->m_now && free_slots > 0) {
    --free_slots;
    pass->m_planner->m_next_store_start = pass->m_schedule.m_next_start;
    ReserveReplica(pass, wanted, choice);
  }
  return slot.m_end;
}

/** Adds a demand for the model that an adapter needs, with the same deadline.
 */
void AddModelDemand(PlanningPass *pass, const Demand &adapter_demand) {
  std::string scope = MakeScope(adapter_demand.m_deployment, "");
  auto [found, is_new] = pass->m_planner->m_demands.try_emplace(scope);
  Demand &demand = found->second;
  if (!is_new && demand.m_deadline <= adapter_demand.m_deadline) return;
  demand.m_deployment = adapter_demand.m_deployment;
  demand.m_deadline = adapter_demand.m_deadline;
  demand.m_expires_at = adapter_demand.m_expires_at;
  demand.m_is_background = adapter_demand.m_is_background;
}

/** @return when an adapter will be ready whose model has to be loaded first. */
base::TimePoint PlaceAfterModel(PlanningPass *pass, const ScopeTarget &wanted,
                                const Demand &demand) {
  AddModelDemand(pass, demand);
  ScopeTarget model =
      FindScopeTarget(*pass->m_planner, demand.m_deployment, "");
  ScopeCount count = CountScope(*pass, model);
  base::TimePoint model_ready = pass->m_now;
  if (count.m_ready_at) {
    model_ready = *count.m_ready_at;
  } else {
    RunnerChoice choice = ChooseRunner(*pass->m_planner, *pass->m_ledger, model,
                                       true, pass->m_now);
    CacheTier tier = IsCached(choice) ? choice.m_tier : CacheTier::kRemote;
    model_ready += EstimateLoad(*pass->m_planner, tier, model.m_weight_bytes);
  }
  return model_ready + EstimateLoad(*pass->m_planner, CacheTier::kRemote,
                                    wanted.m_weight_bytes);
}

/** Chooses a runner for one more replica and predicts when it is ready. */
void PlaceReplica(PlanningPass *pass, const ScopeTarget &wanted,
                  Demand *demand) {
  RunnerChoice choice = ChooseRunner(*pass->m_planner, *pass->m_ledger, wanted,
                                     true, pass->m_now);
  base::TimePoint ready_at;
  if (choice.m_failure == ChoiceFailure::kNoModel) {
    ready_at = PlaceAfterModel(pass, wanted, *demand);
  } else if (choice.m_failure == ChoiceFailure::kNoMemory) {
    bool will_fit = FreeMemoryFor(pass->m_planner, *pass->m_ledger, wanted,
                                  pass->m_now, pass->m_decisions);
    ready_at = will_fit
                   ? pass->m_now + pass->m_planner->m_settings.m_retire_min +
                         EstimateLoad(*pass->m_planner, CacheTier::kRemote,
                                      wanted.m_weight_bytes)
                   : base::TimePoint::max();
  } else if (choice.m_failure == ChoiceFailure::kNoRunner) {
    if (!demand->m_is_background) Refuse(*pass, kReasonNoUpstream, demand);
    return;
  } else if (IsCached(choice)) {
    ready_at = PlaceFromCache(pass, wanted, choice);
  } else {
    ready_at = PlaceFromStore(pass, wanted, choice, demand->m_deadline);
  }
  AnswerOrRefuse(*pass, ready_at, demand);
}

/** @return number of requests that wait at all nodes, by recent reports. */
int CountWaiting(const Demand &demand, base::TimePoint now) {
  int waiting = 0;
  for (const auto &[node, entry] : demand.m_nodes) {
    if (now - entry.m_heard_at > kMaxWaitingReportAge) continue;
    waiting += static_cast<int>(entry.m_waiting);
  }
  return waiting;
}

/** @return whether more requests wait than the loaded replicas can soon serve.
 */
bool NeedsAnotherReplica(const PlanningPass &pass, const Demand &demand,
                         const ScopeCount &count) {
  if (count.m_loading > 0) return false;
  return CountWaiting(demand, pass.m_now) >
         pass.m_planner->m_settings.m_waiting_per_replica * count.m_loaded;
}

/** Plans one demand. @return whether it can be removed */
bool PlanDemand(PlanningPass *pass, Demand *demand) {
  ScopeTarget wanted = FindScopeTarget(*pass->m_planner, demand->m_deployment,
                                       demand->m_adapter);
  if (wanted.m_deployment == nullptr) {
    Refuse(*pass, kReasonUnknown, demand);
    return true;
  }
  if (pass->m_now >= demand->m_expires_at) return true;
  ScopeCount count = CountScope(*pass, wanted);
  int active = count.m_loaded + count.m_loading;
  bool has_room = count.m_total < wanted.m_max_replicas;
  bool wants_more =
      active < demand->m_replicas || NeedsAnotherReplica(*pass, *demand, count);
  if (count.m_loaded > 0) {
    // A further replica is for later requests: if it can't be placed, the
    // requests that the loaded ones serve must not be refused.
    if (demand->m_needs_answer) AnswerReadyTime(*pass, pass->m_now, demand);
    demand->m_is_background = true;
  }
  if (wants_more && has_room) {
    PlaceReplica(pass, wanted, demand);
  } else if (count.m_loaded == 0 && count.m_ready_at) {
    AnswerOrRefuse(*pass, *count.m_ready_at, demand);
  } else if (count.m_loaded == 0) {
    // A replica of another version, or one that is unloading, has to leave
    // first.
    AnswerOrRefuse(*pass,
                   pass->m_now + pass->m_planner->m_settings.m_retire_min +
                       EstimateLoad(*pass->m_planner, CacheTier::kRemote,
                                    wanted.m_weight_bytes),
                   demand);
  }
  return count.m_loaded >= demand->m_replicas && !(wants_more && has_room);
}

int CountStoreLoads(const Planner &planner, const Ledger &ledger,
                    bool is_adapter) {
  int count = 0;
  for (std::uint64_t id : ledger.m_in_transition) {
    const gen::Grant &grant = ledger.m_grants.at(id);
    bool is_load = grant.state() == gen::GRANT_LOADING && grant.uses_store();
    if (is_load && grant.adapter().empty() != is_adapter) ++count;
  }
  for (const gen::ReserveCommand &pending : planner.m_pending_reserves) {
    const gen::Grant &grant = pending.grant();
    if (grant.uses_store() && grant.adapter().empty() != is_adapter) ++count;
  }
  return count;
}

/** @return scopes, most urgent first. */
std::vector<std::string> SortDemands(const Planner &planner) {
  std::vector<std::string> scopes;
  for (const auto &[scope, demand] : planner.m_demands) {
    scopes.push_back(scope);
  }
  std::stable_sort(
      scopes.begin(), scopes.end(),
      [&](const std::string &a, const std::string &b) {
        const Demand &first = planner.m_demands.find(a)->second;
        const Demand &second = planner.m_demands.find(b)->second;
        return std::make_pair(first.m_is_background, first.m_deadline) <
               std::make_pair(second.m_is_background, second.m_deadline);
      });
  return scopes;
}

}  // namespace

void PlanDemands(Planner *planner, const Ledger &ledger, base::TimePoint now,
                 Decisions *decisions) {
  if (planner->m_demands.empty()) return;
  PlanningPass pass{
      planner, &ledger, now,      MakeStoreSchedule(*planner, ledger, now),
      0,       0,       decisions};
  const PlannerSettings &settings = planner->m_settings;
  pass.m_free_model_slots =
      settings.m_store_concurrency - CountStoreLoads(*planner, ledger, false);
  pass.m_free_adapter_slots =
      settings.m_adapters_in_flight - CountStoreLoads(*planner, ledger, true);
  for (const std::string &scope : SortDemands(*planner)) {
    // AddModelDemand may add entries, which invalidates references.
    Demand demand = planner->m_demands.find(scope)->second;
    bool is_done = PlanDemand(&pass, &demand);
    if (is_done) {
      planner->m_demands.erase(scope);
    } else {
      planner->m_demands[scope] = std::move(demand);
    }
  }
}

void AddBackgroundDemand(Planner *planner, const std::string &deployment,
                         const std::string &adapter, base::TimePoint now) {
  auto [found, is_new] =
      planner->m_demands.try_emplace(MakeScope(deployment, adapter));
  if (!is_new) return;
  found->second.m_deployment = deployment;
  found->second.m_adapter = adapter;
  found->second.m_is_background = true;
  found->second.m_deadline = base::TimePoint::max();
  found->second.m_expires_at = now + kBackgroundDemandTime;
}

}  // namespace wasabiwind::placement
