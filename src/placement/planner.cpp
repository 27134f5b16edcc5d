/** @file planner.cpp Interface of placement: handles events and returns
 * decisions. */

#include <algorithm>
#include <cassert>

#include "placement/planner_func.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

/** Interval at which replicas are checked for being idle or obsolete. */
constexpr base::milliseconds kReviewInterval{1'000};
/** The same bound as that of a node's upstream table. */
constexpr std::size_t kMaxRunners = 4'096;
/** Bytes per second by CacheTier, used until loads have been measured. */
constexpr double kInitialSpeeds[] = {8e9, 2e9, 1e9};
/** Later deadlines are clamped to this, so that sums of times stay in range. */
constexpr base::milliseconds kMaxDeadline{3'600'000};

const gen::Adapter *FindAdapter(const config::Catalog &catalog,
                                const std::string &name) {
  auto found = catalog.m_adapters.find(name);
  return found == catalog.m_adapters.end() ? nullptr : found->second;
}

/** Advances grants and plans demands after an event. */
void Plan(Planner *planner, const Ledger &ledger, base::TimePoint now,
          Decisions *decisions) {
  if (ledger.m_term != planner->m_term) return;  // BeginTerm isn't executed yet
  ReconcileInTransition(planner, ledger, now, decisions);
  PlanDemands(planner, ledger, now, decisions);
}

void MergeDemand(Planner *planner, const std::string &node,
                 const gen::ActivationRequest &request, base::TimePoint now) {
  std::string scope = MakeScope(request.deployment(), request.adapter());
  auto [found, is_new] = planner->m_demands.try_emplace(scope);
  Demand &demand = found->second;
  base::TimePoint deadline =
      now +
      std::clamp<base::milliseconds>(base::milliseconds(request.deadline_ms()),
                                     base::milliseconds::zero(), kMaxDeadline);
  demand.m_deployment = request.deployment();
  demand.m_adapter = request.adapter();
  demand.m_needs_answer = true;
  demand.m_nodes[node] = {request.waiting(), now};
  bool is_first = is_new || demand.m_is_background;
  if (is_first || deadline < demand.m_deadline) {
    demand.m_deadline = deadline;
    demand.m_region = request.region();
  }
  demand.m_expires_at =
      std::max(is_first ? deadline : demand.m_expires_at, deadline);
  demand.m_is_background = false;
}

void UpdateCachedTargets(const gen::UpstreamRecord &record,
                         RunnerView *runner) {
  runner->m_cached.clear();
  for (const gen::CachedTarget &cached : record.cached()) {
    runner->m_cached[cached.target()] =
        cached.tier() == "memory" ? CacheTier::kMemory : CacheTier::kDisk;
  }
}

}  // namespace

PlannerSettings MakePlannerSettings(const gen::PlacementSettings &settings) {
  using base::milliseconds;
  PlannerSettings result;
  result.m_store_loads_per_s = settings.store_loads_per_s();
  result.m_store_concurrency = settings.store_concurrency();
  result.m_adapters_in_flight = settings.adapters_in_flight();
  result.m_order_lifetime = milliseconds(settings.order_lifetime_ms());
  result.m_query_interval = milliseconds(settings.query_interval_ms());
  result.m_retire_min = milliseconds(settings.retire_min_ms());
  result.m_retire_max = milliseconds(settings.retire_max_ms());
  result.m_forget_after = milliseconds(settings.forget_after_ms());
  result.m_min_idle = milliseconds(settings.min_idle_ms());
  result.m_waiting_per_replica = settings.waiting_per_replica();
  return result;
}

Planner MakePlanner(const PlannerSettings &settings, std::uint64_t term,
                    config::CatalogPtr catalog, base::TimePoint now,
                    Decisions *decisions) {
  assert(catalog != nullptr);
  Planner planner;
  planner.m_settings = settings;
  planner.m_term = term;
  planner.m_started_at = now;
  planner.m_next_store_start = now;
  planner.m_next_review = now;
  planner.m_catalog = std::move(catalog);
  for (int i = 0; i < static_cast<int>(CacheTier::kEnd); ++i) {
    planner.m_speeds[i].m_bytes_per_s = kInitialSpeeds[i];
  }
  gen::PlacementCommand command;
  command.set_term(term);
  command.mutable_begin_term();
  decisions->m_commands.push_back(std::move(command));
  return planner;
}

void OnCatalog(Planner *planner, config::CatalogPtr catalog) {
  assert(catalog != nullptr);
  planner->m_catalog = std::move(catalog);
}

void OnUpstream(Planner *planner, const gen::UpstreamRecord &record,
                base::TimePoint now) {
  if (record.kind() != "engine" || record.upstream().empty()) return;
  auto found = planner->m_runners.find(record.upstream());
  if (found == planner->m_runners.end()) {
    if (planner->m_runners.size() >= kMaxRunners) return;
    found = planner->m_runners.emplace(record.upstream(), RunnerView()).first;
  }
  RunnerView &runner = found->second;
  const gen::UpstreamRecord &known = runner.m_record;
  bool is_same_process = record.incarnation() == known.incarnation();
  bool is_older = record.incarnation() < known.incarnation() ||
                  (is_same_process && record.sequence() < known.sequence());
  if (is_older) return;
  bool is_gone = record.state() == gen::UPSTREAM_GONE;
  if (is_gone && !runner.m_is_gone) runner.m_gone_since = now;
  runner.m_is_gone = is_gone;
  runner.m_record = record;
  UpdateCachedTargets(record, &runner);
}

Decisions OnActivationRequest(Planner *planner, const Ledger &ledger,
                              const std::string &node,
                              const gen::ActivationRequest &request,
                              base::TimePoint now) {
  Decisions decisions;
  ScopeTarget wanted =
      FindScopeTarget(*planner, request.deployment(), request.adapter());
  if (wanted.m_deployment == nullptr) {
    ActivationAnswer answer;
    answer.m_nodes.push_back(node);
    answer.m_reply.set_deployment(request.deployment());
    answer.m_reply.set_adapter(request.adapter());
    answer.m_reply.set_is_refused(true);
    answer.m_reply.set_reason("unknown_model");
    decisions.m_answers.push_back(std::move(answer));
    return decisions;
  }
  RecordUse(planner, wanted.m_scope, now);
  if (!request.adapter().empty()) {
    RecordUse(planner, MakeScope(request.deployment(), ""), now);
  }
  if (request.waiting() == 0) return decisions;
  MergeDemand(planner, node, request, now);
  Plan(planner, ledger, now, &decisions);
  return decisions;
}

Decisions OnCommand(Planner *planner, const Ledger &ledger,
                    const gen::PlacementCommand &command, bool is_accepted,
                    base::TimePoint now) {
  (void)is_accepted;  // planning starts from the ledger, which shows it
  Decisions decisions;
  if (command.has_reserve()) {
    FencingToken fence = ToFencingToken(command.reserve().grant().fence());
    std::erase_if(planner->m_pending_reserves,
                  [&](const gen::ReserveCommand &pending) {
                    return ToFencingToken(pending.grant().fence()) == fence;
                  });
  }
  planner->m_pending_grants.erase(command.confirm_load().grant_id());
  planner->m_pending_grants.erase(command.retire().grant_id());
  planner->m_pending_grants.erase(command.begin_unload().grant_id());
  planner->m_pending_grants.erase(command.release().grant_id());
  Plan(planner, ledger, now, &decisions);
  return decisions;
}

Decisions OnOrderResult(Planner *planner, const Ledger &ledger,
                        const OrderResult &result, base::TimePoint now) {
  Decisions decisions;
  HandleOrderResult(planner, result, now);
  Plan(planner, ledger, now, &decisions);
  return decisions;
}

Decisions OnStateReport(Planner *planner, const Ledger &ledger,
                        const StateReport &report, base::TimePoint now) {
  Decisions decisions;
  auto found = planner->m_runners.find(report.m_runner);
  if (found == planner->m_runners.end()) return decisions;
  RunnerView &runner = found->second;
  bool is_newer =
      !runner.m_report || report.m_asked_at >= runner.m_report->m_asked_at;
  if (!is_newer) return decisions;
  runner.m_report = report;
  Plan(planner, ledger, now, &decisions);
  return decisions;
}

Decisions OnTimer(Planner *planner, const Ledger &ledger, base::TimePoint now) {
  Decisions decisions;
  if (ledger.m_term != planner->m_term) return decisions;
  if (now >= planner->m_next_review) {
    planner->m_next_review = now + kReviewInterval;
    ReconcileAll(planner, ledger, now, &decisions);
    AdoptReplicas(planner, ledger, now, &decisions);
    ReviewScopes(planner, ledger, now, &decisions);
  }
  Plan(planner, ledger, now, &decisions);
  return decisions;
}

std::string MakeScope(const std::string &deployment,
                      const std::string &adapter) {
  return adapter.empty() ? deployment : "adapter@" + adapter;
}

ScopeTarget FindScopeTarget(const Planner &planner,
                            const std::string &deployment,
                            const std::string &adapter) {
  ScopeTarget result;
  result.m_scope = MakeScope(deployment, adapter);
  config::ResolvedModel resolved = config::ResolveModel(
      *planner.m_catalog,
      adapter.empty() ? deployment : deployment + "/" + adapter);
  if (resolved.m_deployment == nullptr) return result;
  result.m_deployment = resolved.m_deployment;
  result.m_target = resolved.m_target.Value();
  result.m_bytes = resolved.m_model->memory_bytes();
  result.m_weight_bytes = resolved.m_model->weight_bytes();
  result.m_max_replicas = resolved.m_deployment->max_replicas();
  if (adapter.empty()) return result;
  result.m_adapter = FindAdapter(*planner.m_catalog, adapter);
  result.m_bytes = result.m_adapter->memory_bytes();
  result.m_weight_bytes = result.m_adapter->weight_bytes();
  result.m_max_replicas = result.m_adapter->max_replicas();
  return result;
}

gen::Fence AllocateFence(Planner *planner) {
  gen::Fence fence;
  fence.set_term(planner->m_term);
  fence.set_sequence(planner->m_next_sequence++);
  return fence;
}

void ProposeForGrant(Planner *planner, std::uint64_t grant_id,
                     gen::PlacementCommand command, Decisions *decisions) {
  command.set_term(planner->m_term);
  planner->m_pending_grants.insert(grant_id);
  decisions->m_commands.push_back(std::move(command));
}

bool IsActive(const gen::Grant &grant) {
  return grant.state() == gen::GRANT_LOADING ||
         grant.state() == gen::GRANT_LOADED;
}

}  // namespace wasabiwind::placement
