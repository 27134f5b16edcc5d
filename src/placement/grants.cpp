/** @file grants.cpp Advances grants through load and unload. */

#include <fmt/format.h>

#include <algorithm>

#include "placement/ledger_cmd.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

constexpr base::milliseconds kOrderResendDelay{1'000};
/** After this many orders without an answer the load is given up and its runner
 * is avoided for a while. */
constexpr int kMaxUnansweredOrders = 5;
constexpr base::milliseconds kRunnerAvoidTime{10'000};
/** If the effect of an accepted order isn't visible after this time, an unload
 * is ordered under a new fence. */
constexpr base::milliseconds kOrderEffectTimeout{30'000};

/** What the functions below need to advance one grant. */
struct GrantTask {
  Planner *m_planner;
  const Ledger *m_ledger;
  const gen::Grant *m_grant;
  GrantView *m_view;
  RunnerView *m_runner;
  base::TimePoint m_now;
  Decisions *m_decisions;
};

void ProposeRelease(const GrantTask &task, gen::ReleaseReason reason) {
  gen::PlacementCommand command;
  gen::ReleaseCommand *release = command.mutable_release();
  release->set_grant_id(task.m_grant->grant_id());
  release->set_reason(reason);
  release->set_newer_incarnation(task.m_runner->m_record.incarnation());
  ProposeForGrant(task.m_planner, task.m_grant->grant_id(), std::move(command),
                  task.m_decisions);
}

void ProposeUnload(const GrantTask &task) {
  gen::PlacementCommand command;
  gen::BeginUnloadCommand *unload = command.mutable_begin_unload();
  unload->set_grant_id(task.m_grant->grant_id());
  unload->set_runner_incarnation(task.m_runner->m_record.incarnation());
  *unload->mutable_fence() = AllocateFence(task.m_planner);
  ProposeForGrant(task.m_planner, task.m_grant->grant_id(), std::move(command),
                  task.m_decisions);
}

void ProposeRetire(Planner *planner, std::uint64_t grant_id,
                   Decisions *decisions) {
  gen::PlacementCommand command;
  command.mutable_retire()->set_grant_id(grant_id);
  ProposeForGrant(planner, grant_id, std::move(command), decisions);
}

void ProposeConfirm(const GrantTask &task) {
  gen::PlacementCommand command;
  command.mutable_confirm_load()->set_grant_id(task.m_grant->grant_id());
  ProposeForGrant(task.m_planner, task.m_grant->grant_id(), std::move(command),
                  task.m_decisions);
}

std::string MakeOrderId(std::uint64_t grant_id, FencingToken fence) {
  return fmt::format("{}-{}-{}", grant_id, fence.m_term, fence.m_sequence);
}

/** Sends the order that the grant's state requires. Each runner gets one order
 * at a time, so that orders reach it in the order of their fences. */
void SendOrder(const GrantTask &task, OrderAction action) {
  if (!task.m_runner->m_open_order.empty()) return;
  if (task.m_now < task.m_view->m_next_attempt) return;
  Order order;
  order.m_grant_id = task.m_grant->grant_id();
  order.m_fence = ToFencingToken(task.m_grant->fence());
  order.m_order_id = MakeOrderId(order.m_grant_id, order.m_fence);
  order.m_runner = task.m_grant->runner();
  order.m_address = task.m_runner->m_record.address();
  order.m_action = action;
  order.m_target = task.m_grant->target();
  order.m_bytes = task.m_grant->bytes();
  task.m_runner->m_open_order = order.m_order_id;
  task.m_runner->m_open_since = task.m_now;
  ++task.m_view->m_attempts;
  task.m_decisions->m_orders.push_back(std::move(order));
}

/** @return the report of the runner's current incarnation, or nullptr. */
const StateReport *GetReport(const RunnerView &runner) {
  if (!runner.m_report) return nullptr;
  if (runner.m_report->m_incarnation != runner.m_record.incarnation()) {
    return nullptr;
  }
  return &*runner.m_report;
}

/** @return the state of the grant's target, kEnd if it isn't on the runner. */
TargetState FindTargetState(const GrantTask &task, const StateReport &report) {
  auto found = report.m_entries.find(task.m_grant->target());
  return found == report.m_entries.end() ? TargetState::kEnd : found->second;
}

bool IsOrderOpen(const GrantTask &task) {
  std::string prefix = fmt::format("{}-", task.m_grant->grant_id());
  return task.m_runner->m_open_order.compare(0, prefix.size(), prefix) == 0;
}

/** Handles a grant whose runner has restarted. Its replica is lost, unless a
 * delayed order has reached the new process. */
void ReconcileRestarted(const GrantTask &task) {
  if (IsOrderOpen(task)) return;
  bool waits = !task.m_planner->m_settings.m_faults.m_skip_order_lifetime;
  if (waits && task.m_now < task.m_view->m_uncertain_until) return;
  const StateReport *report = GetReport(*task.m_runner);
  if (report == nullptr) return;
  if (report->m_asked_at <= task.m_view->m_resolved_at) return;
  if (waits && report->m_asked_at < task.m_view->m_uncertain_until) return;
  if (FindTargetState(task, *report) == TargetState::kEnd) {
    ProposeRelease(task, gen::RELEASE_INCARNATION_ENDED);
    return;
  }
  // A loaded grant must be retired before it can be unloaded.
  if (task.m_grant->state() == gen::GRANT_LOADED) {
    ProposeRetire(task.m_planner, task.m_grant->grant_id(), task.m_decisions);
    return;
  }
  ProposeUnload(task);
}

void RecordLoadDuration(const GrantTask &task) {
  if (!task.m_view->m_is_accepted) return;
  ScopeTarget scope = FindScopeTarget(
      *task.m_planner, task.m_grant->deployment(), task.m_grant->adapter());
  if (scope.m_deployment == nullptr) return;
  CacheTier tier = CacheTier::kRemote;
  if (!task.m_grant->uses_store()) {
    auto cached = task.m_runner->m_cached.find(task.m_grant->target());
    if (cached == task.m_runner->m_cached.end()) return;
    tier = cached->second;
  }
  UpdateLoadSpeed(task.m_planner, tier, scope.m_weight_bytes,
                  task.m_now - task.m_view->m_accepted_at);
}

void ReconcileLoading(const GrantTask &task) {
  const StateReport *report = GetReport(*task.m_runner);
  TargetState target_state =
      report == nullptr ? TargetState::kEnd : FindTargetState(task, *report);
  if (target_state == TargetState::kLoaded) {
    RecordLoadDuration(task);
    ProposeConfirm(task);
    return;
  }
  bool has_failed =
      task.m_view->m_is_refused || target_state == TargetState::kFailed;
  bool gives_up = task.m_view->m_attempts >= kMaxUnansweredOrders &&
                  task.m_runner->m_open_order.empty() &&
                  !task.m_view->m_is_accepted;
  bool is_missing =
      task.m_view->m_is_accepted && report != nullptr &&
      target_state == TargetState::kEnd &&
      report->m_asked_at > task.m_view->m_accepted_at + kOrderEffectTimeout;
  if (has_failed || gives_up || is_missing) {
    if (IsOrderOpen(task)) return;
    task.m_runner->m_avoid_until = task.m_now + kRunnerAvoidTime;
    ProposeUnload(task);
    return;
  }
  if (!task.m_view->m_is_accepted) SendOrder(task, OrderAction::kLoad);
}

/** Retires the grant if the engine has unloaded the replica on its own. */
void ReconcileLoaded(const GrantTask &task) {
  const StateReport *report = GetReport(*task.m_runner);
  if (report == nullptr || report->m_asked_at <= task.m_view->m_since) return;
  if (FindTargetState(task, *report) == TargetState::kLoaded) return;
  ProposeRetire(task.m_planner, task.m_grant->grant_id(), task.m_decisions);
}

/** Retires the adapters that need this model replica. @return their number */
int RetireAdapters(const GrantTask &task) {
  int count = 0;
  for (std::uint64_t id :
       GetRunnerGrants(*task.m_ledger, task.m_grant->runner())) {
    const gen::Grant &grant = task.m_ledger->m_grants.at(id);
    bool depends = grant.deployment() == task.m_grant->deployment() &&
                   !grant.adapter().empty();
    if (!depends) continue;
    ++count;
    bool is_loaded = grant.state() == gen::GRANT_LOADED;
    if (is_loaded && !task.m_planner->m_pending_grants.contains(id)) {
      ProposeRetire(task.m_planner, id, task.m_decisions);
    }
  }
  for (const gen::ReserveCommand &pending :
       task.m_planner->m_pending_reserves) {
    const gen::Grant &grant = pending.grant();
    bool depends = grant.runner() == task.m_grant->runner() &&
                   grant.deployment() == task.m_grant->deployment() &&
                   !grant.adapter().empty();
    if (depends) ++count;
  }
  return count;
}

/** Waits until the replica's requests have ended, so that none is aborted. */
void ReconcileRetiring(const GrantTask &task) {
  const PlannerSettings &settings = task.m_planner->m_settings;
  if (task.m_grant->adapter().empty() && RetireAdapters(task) > 0) return;
  base::Duration waited = task.m_now - task.m_view->m_since;
  if (waited < settings.m_retire_min) return;
  const StateReport *report = GetReport(*task.m_runner);
  bool is_idle =
      report != nullptr && report->m_running == 0 &&
      report->m_asked_at >= task.m_view->m_since + settings.m_retire_min;
  if (is_idle || waited >= settings.m_retire_max) ProposeUnload(task);
}

void ReconcileUnloading(const GrantTask &task) {
  const PlannerSettings &settings = task.m_planner->m_settings;
  if (settings.m_faults.m_free_before_unload) {
    SendOrder(task, OrderAction::kUnload);
    ProposeRelease(task, gen::RELEASE_UNLOADED);
    return;
  }
  // An engine that ignores fences would execute a delayed load order after
  // the unload.
  bool waits = !settings.m_faults.m_skip_order_lifetime;
  bool is_certain = task.m_now >= task.m_view->m_uncertain_until;
  if (waits && !is_certain && !task.m_grant->checks_fences()) return;
  if (task.m_view->m_is_refused) {
    if (!IsOrderOpen(task)) ProposeUnload(task);
    return;
  }
  if (!task.m_view->m_is_accepted) {
    SendOrder(task, OrderAction::kUnload);
    return;
  }
  const StateReport *report = GetReport(*task.m_runner);
  if (report == nullptr || report->m_asked_at <= task.m_view->m_accepted_at) {
    return;
  }
  // An engine that checks fences loses them when it restarts, so that a delayed
  // order may still take effect.
  if (waits && report->m_asked_at < task.m_view->m_uncertain_until) return;
  if (FindTargetState(task, *report) == TargetState::kEnd) {
    ProposeRelease(task, gen::RELEASE_UNLOADED);
    return;
  }
  if (task.m_now > task.m_view->m_accepted_at + kOrderEffectTimeout) {
    // A new fence gives a new order ID; an engine executes each ID only once.
    ProposeUnload(task);
  }
}

/** Resets the view when the grant has changed to another state or order. */
void SyncGrantView(const gen::Grant &grant, base::TimePoint now,
                   GrantView *view) {
  FencingToken fence = ToFencingToken(grant.fence());
  if (view->m_state == grant.state() && view->m_fence == fence) return;
  GrantView next;
  next.m_uncertain_until = view->m_uncertain_until;
  next.m_resolved_at = view->m_resolved_at;
  *view = next;
  view->m_state = grant.state();
  view->m_fence = fence;
  view->m_since = now;
}

void ReconcileByState(const GrantTask &task) {
  const PlannerSettings &settings = task.m_planner->m_settings;
  const gen::UpstreamRecord &record = task.m_runner->m_record;
  base::TimePoint gone_since = task.m_runner->m_gone_since;
  bool is_unknown = record.upstream().empty();
  if (is_unknown || task.m_runner->m_is_gone) {
    if (is_unknown) gone_since = task.m_planner->m_started_at;
    if (task.m_now - gone_since >= settings.m_forget_after) {
      ProposeRelease(task, gen::RELEASE_RUNNER_FORGOTTEN);
    }
    return;
  }
  if (record.incarnation() > task.m_grant->runner_incarnation()) {
    ReconcileRestarted(task);
    return;
  }
  // A node's report may be older than what the leader already knows.
  if (record.incarnation() < task.m_grant->runner_incarnation()) return;
  switch (task.m_grant->state()) {
    case gen::GRANT_LOADING:
      ReconcileLoading(task);
      return;
    case gen::GRANT_LOADED:
      ReconcileLoaded(task);
      return;
    case gen::GRANT_RETIRING:
      ReconcileRetiring(task);
      return;
    default:
      ReconcileUnloading(task);
      return;
  }
}

/** An order without an answer for the whole lifetime counts as lost. */
void ExpireOpenOrders(Planner *planner, base::TimePoint now) {
  for (auto &[name, runner] : planner->m_runners) {
    bool is_overdue =
        !runner.m_open_order.empty() &&
        now - runner.m_open_since > planner->m_settings.m_order_lifetime;
    if (is_overdue) runner.m_open_order.clear();
  }
}

/** Queries a runner whose grant waits for the effect of an order or restart to
 * become visible. */
void QueryRunner(const gen::Grant &grant, base::TimePoint now,
                 const PlannerSettings &settings, RunnerView *runner,
                 Decisions *decisions) {
  bool is_known = !runner->m_record.upstream().empty() && !runner->m_is_gone;
  bool is_settled =
      grant.state() == gen::GRANT_LOADED &&
      grant.runner_incarnation() == runner->m_record.incarnation();
  if (!is_known || is_settled || now < runner->m_next_query) return;
  runner->m_next_query = now + settings.m_query_interval;
  decisions->m_queries.push_back(
      {grant.runner(), runner->m_record.address(), now});
}

void ReconcileGrant(Planner *planner, const Ledger &ledger,
                    const gen::Grant &grant, base::TimePoint now,
                    Decisions *decisions) {
  auto [found, is_new] = planner->m_grants.try_emplace(grant.grant_id());
  GrantView &view = found->second;
  // An order of an earlier leader may still be on its way.
  if (is_new && grant.fence().term() != planner->m_term) {
    view.m_uncertain_until =
        planner->m_started_at + planner->m_settings.m_order_lifetime;
  }
  SyncGrantView(grant, now, &view);
  RunnerView &runner = planner->m_runners[grant.runner()];
  QueryRunner(grant, now, planner->m_settings, &runner, decisions);
  if (planner->m_pending_grants.contains(grant.grant_id())) return;
  ReconcileByState({planner, &ledger, &grant, &view, &runner, now, decisions});
}

}  // namespace

void ReconcileInTransition(Planner *planner, const Ledger &ledger,
                           base::TimePoint now, Decisions *decisions) {
  for (std::uint64_t id : ledger.m_in_transition) {
    ReconcileGrant(planner, ledger, ledger.m_grants.at(id), now, decisions);
  }
}

void ReconcileAll(Planner *planner, const Ledger &ledger, base::TimePoint now,
                  Decisions *decisions) {
  ExpireOpenOrders(planner, now);
  for (const auto &[id, grant] : ledger.m_grants) {
    ReconcileGrant(planner, ledger, grant, now, decisions);
  }
  for (auto it = planner->m_grants.begin(); it != planner->m_grants.end();) {
    it = ledger.m_grants.contains(it->first) ? std::next(it)
                                             : planner->m_grants.erase(it);
  }
}

void HandleOrderResult(Planner *planner, const OrderResult &result,
                       base::TimePoint now) {
  RunnerView *runner = nullptr;
  for (auto &[name, candidate] : planner->m_runners) {
    if (candidate.m_open_order == result.m_order_id) runner = &candidate;
  }
  // A late outcome of an order that has already been counted as lost.
  if (runner == nullptr) return;
  base::TimePoint sent_at = runner->m_open_since;
  runner->m_open_order.clear();
  auto found = planner->m_grants.find(result.m_grant_id);
  if (found == planner->m_grants.end()) return;
  GrantView &view = found->second;
  view.m_resolved_at = now;
  if (result.m_outcome == OrderOutcome::kLost) {
    view.m_uncertain_until = std::max(
        view.m_uncertain_until, sent_at + planner->m_settings.m_order_lifetime);
  }
  // The grant may have changed to another order in the meantime.
  if (MakeOrderId(result.m_grant_id, view.m_fence) != result.m_order_id) return;
  view.m_next_attempt = now + kOrderResendDelay;
  if (result.m_outcome == OrderOutcome::kLost) return;
  view.m_is_accepted = result.m_outcome == OrderOutcome::kAccepted;
  view.m_is_refused = !view.m_is_accepted;
  view.m_accepted_at = now;
}

}  // namespace wasabiwind::placement
