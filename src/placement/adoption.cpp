/** @file adoption.cpp Adoption of replicas that a runner holds without a grant.
 *
 * Such a replica stems from a runner that returns after its grants were
 * released, or from a ledger that was lost. Until the ledger counts it, a scope
 * could exceed its maximum of replicas and a runner's memory could be
 * overcommitted.
 */

#include <algorithm>

#include "placement/ledger_cmd.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

/** Parts of "model@version" or "model@version/adapter@version". */
struct TargetName {
  std::string m_model;
  std::string m_adapter;
};

TargetName SplitTarget(const std::string &target) {
  TargetName name;
  name.m_model = target.substr(0, target.find('@'));
  std::size_t slash = target.find('/');
  if (slash == std::string::npos) return name;
  std::string adapter = target.substr(slash + 1);
  name.m_adapter = adapter.substr(0, adapter.find('@'));
  return name;
}

/** @return the first deployment of a model, or "" */
std::string FindDeployment(const Planner &planner, const std::string &model) {
  for (const gen::Deployment &deployment :
       planner.m_catalog->m_declarations.deployment()) {
    if (deployment.model() == model) return deployment.name();
  }
  return "";
}

bool HasGrant(const Planner &planner, const Ledger &ledger,
              const std::string &runner, const std::string &target) {
  for (std::uint64_t id : GetRunnerGrants(ledger, runner)) {
    if (ledger.m_grants.at(id).target() == target) return true;
  }
  return std::any_of(planner.m_pending_reserves.begin(),
                     planner.m_pending_reserves.end(),
                     [&](const gen::ReserveCommand &pending) {
                       return pending.grant().runner() == runner &&
                              pending.grant().target() == target;
                     });
}

void AdoptReplica(Planner *planner, const gen::UpstreamRecord &runner,
                  const gen::LoadedTarget &loaded, Decisions *decisions) {
  TargetName name = SplitTarget(loaded.target());
  std::string deployment = FindDeployment(*planner, name.m_model);
  ScopeTarget wanted = FindScopeTarget(*planner, deployment, name.m_adapter);
  gen::PlacementCommand command;
  command.set_term(planner->m_term);
  gen::ReserveCommand *reserve = command.mutable_reserve();
  reserve->set_is_adoption(true);
  reserve->set_runner_memory_bytes(runner.memory_bytes());
  gen::Grant *grant = reserve->mutable_grant();
  grant->set_scope("unknown@" + loaded.target());
  if (wanted.m_deployment != nullptr) {
    reserve->set_decided(wanted.m_max_replicas);
    reserve->set_max_per_domain(wanted.m_deployment->max_per_domain());
    grant->set_scope(wanted.m_scope);
    grant->set_deployment(deployment);
    grant->set_adapter(name.m_adapter);
    grant->set_checks_fences(wanted.m_deployment->engine_fencing() ==
                             "checked");
  }
  grant->set_target(loaded.target());
  grant->set_runner(runner.upstream());
  grant->set_runner_incarnation(runner.incarnation());
  grant->set_region(runner.region());
  grant->set_domain(runner.domain());
  grant->set_bytes(std::max<std::int64_t>(loaded.bytes(), 1));
  *grant->mutable_fence() = AllocateFence(planner);
  planner->m_pending_reserves.push_back(*reserve);
  decisions->m_commands.push_back(std::move(command));
}

/** @return whether the runner itself reports the target as loaded now. */
bool IsConfirmed(const RunnerView &runner, const std::string &target) {
  if (!runner.m_report) return false;
  const StateReport &report = *runner.m_report;
  if (report.m_incarnation != runner.m_record.incarnation()) return false;
  auto found = report.m_entries.find(target);
  return found != report.m_entries.end() &&
         found->second == TargetState::kLoaded;
}

}  // namespace

void AdoptReplicas(Planner *planner, const Ledger &ledger, base::TimePoint now,
                   Decisions *decisions) {
  for (auto &[name, runner] : planner->m_runners) {
    if (runner.m_is_gone) continue;
    bool needs_report = false;
    for (const gen::LoadedTarget &loaded : runner.m_record.loaded()) {
      if (HasGrant(*planner, ledger, name, loaded.target())) continue;
      bool is_recent = runner.m_report && now - runner.m_report->m_asked_at <=
                                              kMaxAdoptionReportAge;
      if (is_recent && IsConfirmed(runner, loaded.target())) {
        AdoptReplica(planner, runner.m_record, loaded, decisions);
      } else {
        needs_report = true;
      }
    }
    if (!needs_report || now < runner.m_next_query) continue;
    runner.m_next_query = now + planner->m_settings.m_query_interval;
    decisions->m_queries.push_back({name, runner.m_record.address(), now});
  }
}

}  // namespace wasabiwind::placement
