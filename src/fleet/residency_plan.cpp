/** @file residency_plan.cpp Plans the next orders to runners. */

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Repeats orders without an answer, and queries runners whose order in
 * progress is overdue. */
void ResolveInDoubtOrders(Pass *pass) {
  for (Runner &runner : pass->m_runners) {
    RunnerState *state = runner.m_state;
    if (!CanCall(*pass, runner)) continue;
    if (state->m_in_doubt) {
      IssueOrder(pass, &runner, *state->m_in_doubt);
      continue;
    }
    if (state->m_in_progress && !state->m_accepted_order_count) {
      state->m_is_call_pending = true;
      pass->m_actions->m_queries.push_back(runner.m_id);
    }
  }
}

void PublishChanges(Pass *pass, std::uint64_t term) {
  for (auto &[id, state] : pass->m_planner->m_runner_states) {
    gen::Residency residency = MakeResidency(state, id);
    std::uint64_t hash = HashResidency(residency);
    if (hash == state.m_published_hash) continue;
    state.m_published_hash = hash;
    residency.set_term(term);
    residency.set_number(++pass->m_planner->m_residency_number);
    pass->m_actions->m_changed_residencies.push_back(std::move(residency));
  }
}

}  // namespace

ResidencyActions PlanResidency(ResidencyPlanner *planner, const FleetView &view,
                               const routes::RouteIndex &routes,
                               std::uint64_t term, bool plans_preloads,
                               base::TimePoint now) {
  ResidencyActions actions;
  Pass pass;
  pass.m_planner = planner;
  pass.m_view = &view;
  pass.m_routes = &routes;
  pass.m_now = now;
  pass.m_actions = &actions;
  CollectFleet(&pass);
  ResolveInDoubtOrders(&pass);
  PlanRequestedModels(&pass);
  if (plans_preloads) PlanModelPreloads(&pass);
  for (Runner &runner : pass.m_runners) AdvancePendingLoad(&pass, &runner);
  PlanRequestedAdapters(&pass);
  PlanAdapterPreloads(&pass);
  PublishChanges(&pass, term);
  return actions;
}

}  // namespace wasabiwind::fleet
