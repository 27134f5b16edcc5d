/** @file review.cpp Review of replicas that are idle, obsolete, surplus or
 * missing. */

#include <algorithm>

#include "placement/ledger_cmd.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

/** The grants of one scope. */
struct ScopeGrants {
  std::string m_deployment;
  std::string m_adapter;
  std::vector<const gen::Grant *> m_current;   ///< loaded, as declared now
  std::vector<const gen::Grant *> m_obsolete;  ///< loaded, not as declared now
  int m_loading = 0;
  int m_leaving = 0;          ///< retiring or unloading
  bool m_is_pending = false;  ///< a proposal isn't committed yet
};

bool IsObsolete(const gen::Grant &grant, const ScopeTarget &wanted) {
  if (wanted.m_deployment == nullptr) return true;
  if (grant.target() != wanted.m_target) return true;
  const auto &regions = wanted.m_deployment->regions();
  return std::find(regions.begin(), regions.end(), grant.region()) ==
         regions.end();
}

void AddGrant(const Planner &planner, const gen::Grant &grant,
              const ScopeTarget &wanted, ScopeGrants *scope) {
  scope->m_deployment = grant.deployment();
  scope->m_adapter = grant.adapter();
  if (planner.m_pending_grants.contains(grant.grant_id())) {
    scope->m_is_pending = true;
  }
  if (grant.state() == gen::GRANT_LOADING) {
    ++scope->m_loading;
  } else if (grant.state() != gen::GRANT_LOADED) {
    ++scope->m_leaving;
  } else if (IsObsolete(grant, wanted)) {
    scope->m_obsolete.push_back(&grant);
  } else {
    scope->m_current.push_back(&grant);
  }
}

std::map<std::string, ScopeGrants> GroupByScope(const Planner &planner,
                                                const Ledger &ledger) {
  std::map<std::string, ScopeGrants> scopes;
  for (const auto &[id, grant] : ledger.m_grants) {
    ScopeTarget wanted =
        FindScopeTarget(planner, grant.deployment(), grant.adapter());
    AddGrant(planner, grant, wanted, &scopes[grant.scope()]);
  }
  for (const gen::ReserveCommand &pending : planner.m_pending_reserves) {
    auto found = scopes.find(pending.grant().scope());
    if (found != scopes.end()) found->second.m_is_pending = true;
  }
  return scopes;
}

void Retire(Planner *planner, const gen::Grant &grant, Decisions *decisions) {
  gen::PlacementCommand command;
  command.mutable_retire()->set_grant_id(grant.grant_id());
  ProposeForGrant(planner, grant.grant_id(), std::move(command), decisions);
}

/**
 * Replaces obsolete replicas one at a time. A new one is loaded before an old
 * one is retired, unless the maximum number of replicas is loaded.
 */
void ReplaceObsolete(Planner *planner, const ScopeGrants &scope,
                     const ScopeTarget &wanted, base::TimePoint now,
                     Decisions *decisions) {
  if (wanted.m_deployment == nullptr) {
    for (const gen::Grant *grant : scope.m_obsolete) {
      Retire(planner, *grant, decisions);
    }
    return;
  }
  if (scope.m_loading > 0 || scope.m_leaving > 0) return;
  int loaded =
      static_cast<int>(scope.m_current.size() + scope.m_obsolete.size());
  bool is_full = loaded >= wanted.m_max_replicas;
  if (is_full || !scope.m_current.empty()) {
    Retire(planner, *scope.m_obsolete.front(), decisions);
  }
  if (is_full) return;
  AddBackgroundDemand(planner, scope.m_deployment, scope.m_adapter, now);
}

base::Duration GetIdleTime(const Planner &planner, const std::string &scope,
                           base::TimePoint now) {
  auto found = planner.m_idle.find(scope);
  return now - (found == planner.m_idle.end() ? planner.m_started_at
                                              : found->second.m_last_use);
}

/** Retires one replica of a scope that has been idle for its keep-alive time.
 */
void RetireIdle(Planner *planner, const ScopeGrants &scope,
                const ScopeTarget &wanted, base::TimePoint now,
                Decisions *decisions) {
  int least =
      wanted.m_adapter == nullptr ? wanted.m_deployment->min_replicas() : 0;
  if (static_cast<int>(scope.m_current.size()) <= least) return;
  if (planner->m_demands.contains(wanted.m_scope)) return;
  base::Duration cold_start =
      EstimateLoad(*planner, CacheTier::kRemote, wanted.m_weight_bytes);
  base::Duration keep =
      GetKeepAlive(*planner, wanted.m_scope, cold_start,
                   base::milliseconds(wanted.m_deployment->idle_after_ms()));
  if (GetIdleTime(*planner, wanted.m_scope, now) < keep) return;
  Retire(planner, *scope.m_current.back(), decisions);
}

void ReviewScope(Planner *planner, const ScopeGrants &scope,
                 base::TimePoint now, Decisions *decisions) {
  if (scope.m_is_pending) return;
  ScopeTarget wanted =
      FindScopeTarget(*planner, scope.m_deployment, scope.m_adapter);
  if (!scope.m_obsolete.empty()) {
    ReplaceObsolete(planner, scope, wanted, now, decisions);
    return;
  }
  if (wanted.m_deployment == nullptr) return;
  int active = static_cast<int>(scope.m_current.size()) + scope.m_loading;
  if (active > wanted.m_max_replicas && !scope.m_current.empty()) {
    Retire(planner, *scope.m_current.back(), decisions);
    return;
  }
  RetireIdle(planner, scope, wanted, now, decisions);
}

/** Adds demands for deployments below their minimum of replicas. */
void AddMinReplicaDemands(Planner *planner,
                          const std::map<std::string, ScopeGrants> &scopes,
                          base::TimePoint now) {
  for (const gen::Deployment &deployment :
       planner->m_catalog->m_declarations.deployment()) {
    if (deployment.min_replicas() == 0) continue;
    auto found = scopes.find(MakeScope(deployment.name(), ""));
    int active = 0;
    if (found != scopes.end()) {
      active = static_cast<int>(found->second.m_current.size()) +
               found->second.m_loading;
    }
    if (active >= deployment.min_replicas()) continue;
    AddBackgroundDemand(planner, deployment.name(), "", now);
    Demand &demand = planner->m_demands[MakeScope(deployment.name(), "")];
    demand.m_replicas = std::max(demand.m_replicas, deployment.min_replicas());
  }
}

/** Removes runners that are gone and have no grants, and idle times beyond a
 * bound. */
void RemoveStaleRecords(Planner *planner, const Ledger &ledger,
                        base::TimePoint now) {
  for (auto it = planner->m_runners.begin(); it != planner->m_runners.end();) {
    const RunnerView &runner = it->second;
    bool is_old = runner.m_is_gone && now - runner.m_gone_since >
                                          planner->m_settings.m_forget_after;
    bool is_used = ledger.m_runner_bytes.contains(it->first);
    it = is_old && !is_used ? planner->m_runners.erase(it) : std::next(it);
  }
  constexpr std::size_t kMaxIdleHistories = 50'000;
  while (planner->m_idle.size() > kMaxIdleHistories) {
    planner->m_idle.erase(planner->m_idle.begin());
  }
}

}  // namespace

void ReviewScopes(Planner *planner, const Ledger &ledger, base::TimePoint now,
                  Decisions *decisions) {
  std::map<std::string, ScopeGrants> scopes = GroupByScope(*planner, ledger);
  for (const auto &[name, scope] : scopes) {
    ReviewScope(planner, scope, now, decisions);
  }
  AddMinReplicaDemands(planner, scopes, now);
  RemoveStaleRecords(planner, ledger, now);
}

}  // namespace wasabiwind::placement
