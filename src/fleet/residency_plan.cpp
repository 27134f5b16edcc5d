/** @file residency_plan.cpp Choice of the next orders to runners. */

#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Repeats orders without answer and asks about orders that are late. */
void ResolveDoubts(Pass *pass) {
  for (Runner &runner : pass->m_runners) {
    RunnerBook *book = runner.m_book;
    if (!CanCall(*pass, runner)) continue;
    if (book->m_in_doubt) {
      Emit(pass, &runner, *book->m_in_doubt);
      continue;
    }
    if (book->m_in_progress && !book->m_accepted_order_count) {
      book->m_is_calling = true;
      pass->m_actions->m_queries.push_back(runner.m_id);
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
    pass->m_actions->m_changed_residencies.push_back(std::move(residency));
  }
}

}  // namespace

ResidencyActions PlanResidency(ResidencyPlanner *planner, const FleetView &view,
                               const routes::RouteIndex &routes,
                               std::uint64_t term, bool plans_ahead,
                               base::TimePoint now) {
  ResidencyActions actions;
  Pass pass;
  pass.m_planner = planner;
  pass.m_view = &view;
  pass.m_routes = &routes;
  pass.m_now = now;
  pass.m_actions = &actions;
  CollectFleet(&pass);
  ResolveDoubts(&pass);
  PlaceWaiting(&pass);
  if (plans_ahead) PlaceAhead(&pass);
  for (Runner &runner : pass.m_runners) AdvanceIntention(&pass, &runner);
  PlaceAdapters(&pass);
  PlaceAdaptersAhead(&pass);
  PublishChanges(&pass, term);
  return actions;
}

}  // namespace wasabiwind::fleet
