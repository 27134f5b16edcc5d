/** @file grants.cpp Steps that take grants through load and unload. */

#include <fmt/format.h>

#include <algorithm>

#include "placement/ledger_cmd.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

constexpr base::milliseconds kResendDelay{1'000};
/** After so many orders without an answer the runner is given up for now. */
constexpr int kMaxAttempts = 5;
constexpr base::milliseconds kAvoidTime{10'000};
/** An accepted order whose effect isn't visible for so long is sent again. */
constexpr base::milliseconds kEffectTimeout{30'000};

/** What one step works on. */
struct Step {
  Planner *m_planner;
  const Ledger *m_ledger;
  const gen::Grant *m_grant;
  GrantView *m_view;
  RunnerView *m_runner;
  base::TimePoint m_now;
  Decisions *m_decisions;
};

void ProposeRelease(const Step &step, gen::ReleaseReason reason) {
  gen::PlacementCommand command;
  gen::ReleaseCommand *release = command.mutable_release();
  release->set_grant_id(step.m_grant->grant_id());
  release->set_reason(reason);
  release->set_newer_incarnation(step.m_runner->m_record.incarnation());
  ProposeForGrant(step.m_planner, step.m_grant->grant_id(), std::move(command),
                  step.m_decisions);
}

void ProposeUnload(const Step &step) {
  gen::PlacementCommand command;
  gen::BeginUnloadCommand *unload = command.mutable_begin_unload();
  unload->set_grant_id(step.m_grant->grant_id());
  unload->set_runner_incarnation(step.m_runner->m_record.incarnation());
  *unload->mutable_fence() = TakeFence(step.m_planner);
  ProposeForGrant(step.m_planner, step.m_grant->grant_id(), std::move(command),
                  step.m_decisions);
}

void ProposeRetire(Planner *planner, std::uint64_t grant_id,
                   Decisions *decisions) {
  gen::PlacementCommand command;
  command.mutable_retire()->set_grant_id(grant_id);
  ProposeForGrant(planner, grant_id, std::move(command), decisions);
}

void ProposeConfirm(const Step &step) {
  gen::PlacementCommand command;
  command.mutable_confirm_load()->set_grant_id(step.m_grant->grant_id());
  ProposeForGrant(step.m_planner, step.m_grant->grant_id(), std::move(command),
                  step.m_decisions);
}

std::string MakeOrderId(std::uint64_t grant_id, FenceNumber fence) {
  return fmt::format("{}-{}-{}", grant_id, fence.m_term, fence.m_sequence);
}

/** Sends the order of the grant's state, one at a time to each runner, so that
 * orders reach it in the order of their fences. */
void SendOrder(const Step &step, OrderAction action) {
  if (!step.m_runner->m_open_order.empty()) return;
  if (step.m_now < step.m_view->m_next_attempt) return;
  Order order;
  order.m_grant_id = step.m_grant->grant_id();
  order.m_fence = ToFenceNumber(step.m_grant->fence());
  order.m_order_id = MakeOrderId(order.m_grant_id, order.m_fence);
  order.m_runner = step.m_grant->runner();
  order.m_address = step.m_runner->m_record.address();
  order.m_action = action;
  order.m_target = step.m_grant->target();
  order.m_bytes = step.m_grant->bytes();
  step.m_runner->m_open_order = order.m_order_id;
  step.m_runner->m_open_since = step.m_now;
  ++step.m_view->m_attempts;
  step.m_decisions->m_orders.push_back(std::move(order));
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
TargetState FindEntry(const Step &step, const StateReport &report) {
  auto found = report.m_entries.find(step.m_grant->target());
  return found == report.m_entries.end() ? TargetState::kEnd : found->second;
}

bool IsOrderOpen(const Step &step) {
  std::string prefix = fmt::format("{}-", step.m_grant->grant_id());
  return step.m_runner->m_open_order.compare(0, prefix.size(), prefix) == 0;
}

/** The runner has restarted, so what the grant stands for is gone, unless an
 * order that was on its way reached the new process. */
void DriveEnded(const Step &step) {
  if (IsOrderOpen(step)) return;
  bool waits = !step.m_planner->m_settings.m_faults.m_skip_order_lifetime;
  if (waits && step.m_now < step.m_view->m_uncertain_until) return;
  const StateReport *report = GetReport(*step.m_runner);
  if (report == nullptr) return;
  if (report->m_asked_at <= step.m_view->m_resolved_at) return;
  if (waits && report->m_asked_at < step.m_view->m_uncertain_until) return;
  if (FindEntry(step, *report) == TargetState::kEnd) {
    ProposeRelease(step, gen::RELEASE_INCARNATION_ENDED);
    return;
  }
  // Only a grant that isn't loaded can begin to unload.
  if (step.m_grant->state() == gen::GRANT_LOADED) {
    ProposeRetire(step.m_planner, step.m_grant->grant_id(), step.m_decisions);
    return;
  }
  ProposeUnload(step);
}

void LearnFromLoad(const Step &step) {
  if (!step.m_view->m_is_accepted) return;
  ScopeTarget scope = FindScopeTarget(
      *step.m_planner, step.m_grant->deployment(), step.m_grant->adapter());
  if (scope.m_deployment == nullptr) return;
  CacheTier tier = CacheTier::kRemote;
  if (!step.m_grant->uses_store()) {
    auto cached = step.m_runner->m_cached.find(step.m_grant->target());
    if (cached == step.m_runner->m_cached.end()) return;
    tier = cached->second;
  }
  LearnLoadSpeed(step.m_planner, tier, scope.m_weight_bytes,
                 step.m_now - step.m_view->m_accepted_at);
}

void DriveLoading(const Step &step) {
  const StateReport *report = GetReport(*step.m_runner);
  TargetState entry =
      report == nullptr ? TargetState::kEnd : FindEntry(step, *report);
  if (entry == TargetState::kLoaded) {
    LearnFromLoad(step);
    ProposeConfirm(step);
    return;
  }
  bool has_failed = step.m_view->m_is_refused || entry == TargetState::kFailed;
  bool gives_up = step.m_view->m_attempts >= kMaxAttempts &&
                  step.m_runner->m_open_order.empty() &&
                  !step.m_view->m_is_accepted;
  bool is_missing =
      step.m_view->m_is_accepted && report != nullptr &&
      entry == TargetState::kEnd &&
      report->m_asked_at > step.m_view->m_accepted_at + kEffectTimeout;
  if (has_failed || gives_up || is_missing) {
    if (IsOrderOpen(step)) return;
    step.m_runner->m_avoid_until = step.m_now + kAvoidTime;
    ProposeUnload(step);
    return;
  }
  if (!step.m_view->m_is_accepted) SendOrder(step, OrderAction::kLoad);
}

/** An engine may drop a replica by itself; the grant has to follow. */
void DriveLoaded(const Step &step) {
  const StateReport *report = GetReport(*step.m_runner);
  if (report == nullptr || report->m_asked_at <= step.m_view->m_since) return;
  if (FindEntry(step, *report) == TargetState::kLoaded) return;
  ProposeRetire(step.m_planner, step.m_grant->grant_id(), step.m_decisions);
}

/** Retires the adapters that need this model replica. @return their number */
int RetireAdapters(const Step &step) {
  int count = 0;
  for (std::uint64_t id :
       GetRunnerGrants(*step.m_ledger, step.m_grant->runner())) {
    const gen::Grant &grant = step.m_ledger->m_grants.at(id);
    bool depends = grant.deployment() == step.m_grant->deployment() &&
                   !grant.adapter().empty();
    if (!depends) continue;
    ++count;
    bool is_loaded = grant.state() == gen::GRANT_LOADED;
    if (is_loaded && !step.m_planner->m_pending_grants.contains(id)) {
      ProposeRetire(step.m_planner, id, step.m_decisions);
    }
  }
  for (const gen::ReserveCommand &pending :
       step.m_planner->m_pending_reserves) {
    const gen::Grant &grant = pending.grant();
    bool depends = grant.runner() == step.m_grant->runner() &&
                   grant.deployment() == step.m_grant->deployment() &&
                   !grant.adapter().empty();
    if (depends) ++count;
  }
  return count;
}

/** Waits until the replica's requests have ended, so that none is cut. */
void DriveRetiring(const Step &step) {
  const PlannerSettings &settings = step.m_planner->m_settings;
  if (step.m_grant->adapter().empty() && RetireAdapters(step) > 0) return;
  base::Duration waited = step.m_now - step.m_view->m_since;
  if (waited < settings.m_retire_min) return;
  const StateReport *report = GetReport(*step.m_runner);
  bool is_idle =
      report != nullptr && report->m_running == 0 &&
      report->m_asked_at >= step.m_view->m_since + settings.m_retire_min;
  if (is_idle || waited >= settings.m_retire_max) ProposeUnload(step);
}

void DriveUnloading(const Step &step) {
  const PlannerSettings &settings = step.m_planner->m_settings;
  if (settings.m_faults.m_free_before_unload) {
    SendOrder(step, OrderAction::kUnload);
    ProposeRelease(step, gen::RELEASE_UNLOADED);
    return;
  }
  // An engine that ignores fences would execute a delayed load order after
  // the unload.
  bool waits = !settings.m_faults.m_skip_order_lifetime;
  bool is_certain = step.m_now >= step.m_view->m_uncertain_until;
  if (waits && !is_certain && !step.m_grant->checks_fences()) return;
  if (step.m_view->m_is_refused) {
    if (!IsOrderOpen(step)) ProposeUnload(step);
    return;
  }
  if (!step.m_view->m_is_accepted) {
    SendOrder(step, OrderAction::kUnload);
    return;
  }
  const StateReport *report = GetReport(*step.m_runner);
  if (report == nullptr || report->m_asked_at <= step.m_view->m_accepted_at) {
    return;
  }
  // An engine that checks fences forgets them when it restarts, so that a
  // delayed order may still take effect.
  if (waits && report->m_asked_at < step.m_view->m_uncertain_until) return;
  if (FindEntry(step, *report) == TargetState::kEnd) {
    ProposeRelease(step, gen::RELEASE_UNLOADED);
    return;
  }
  if (step.m_now > step.m_view->m_accepted_at + kEffectTimeout) {
    // Under a new fence, as an engine executes an order ID once only.
    ProposeUnload(step);
  }
}

/** Starts the view anew where the grant has moved to another state or order. */
void FollowLedger(const gen::Grant &grant, base::TimePoint now,
                  GrantView *view) {
  FenceNumber fence = ToFenceNumber(grant.fence());
  if (view->m_state == grant.state() && view->m_fence == fence) return;
  GrantView next;
  next.m_uncertain_until = view->m_uncertain_until;
  next.m_resolved_at = view->m_resolved_at;
  *view = next;
  view->m_state = grant.state();
  view->m_fence = fence;
  view->m_since = now;
}

void DriveGrant(const Step &step) {
  const PlannerSettings &settings = step.m_planner->m_settings;
  const gen::UpstreamRecord &record = step.m_runner->m_record;
  base::TimePoint gone_since = step.m_runner->m_gone_since;
  bool is_unknown = record.upstream().empty();
  if (is_unknown || step.m_runner->m_is_gone) {
    if (is_unknown) gone_since = step.m_planner->m_started_at;
    if (step.m_now - gone_since >= settings.m_forget_after) {
      ProposeRelease(step, gen::RELEASE_RUNNER_FORGOTTEN);
    }
    return;
  }
  if (record.incarnation() > step.m_grant->runner_incarnation()) {
    DriveEnded(step);
    return;
  }
  // A node's older report may come after the leader's own knowledge.
  if (record.incarnation() < step.m_grant->runner_incarnation()) return;
  switch (step.m_grant->state()) {
    case gen::GRANT_LOADING:
      DriveLoading(step);
      return;
    case gen::GRANT_LOADED:
      DriveLoaded(step);
      return;
    case gen::GRANT_RETIRING:
      DriveRetiring(step);
      return;
    default:
      DriveUnloading(step);
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

/** Asks runners whose grants wait for something to become visible. */
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

void DriveOne(Planner *planner, const Ledger &ledger, const gen::Grant &grant,
              base::TimePoint now, Decisions *decisions) {
  auto [found, is_new] = planner->m_grants.try_emplace(grant.grant_id());
  GrantView &view = found->second;
  if (is_new && grant.fence().term() != planner->m_term) {
    view.m_uncertain_until =
        planner->m_started_at + planner->m_settings.m_order_lifetime;
  }
  FollowLedger(grant, now, &view);
  RunnerView &runner = planner->m_runners[grant.runner()];
  QueryRunner(grant, now, planner->m_settings, &runner, decisions);
  if (planner->m_pending_grants.contains(grant.grant_id())) return;
  DriveGrant({planner, &ledger, &grant, &view, &runner, now, decisions});
}

}  // namespace

void DriveMoving(Planner *planner, const Ledger &ledger, base::TimePoint now,
                 Decisions *decisions) {
  for (std::uint64_t id : ledger.m_moving) {
    DriveOne(planner, ledger, ledger.m_grants.at(id), now, decisions);
  }
}

void DriveAll(Planner *planner, const Ledger &ledger, base::TimePoint now,
              Decisions *decisions) {
  ExpireOpenOrders(planner, now);
  for (const auto &[id, grant] : ledger.m_grants) {
    DriveOne(planner, ledger, grant, now, decisions);
  }
  for (auto it = planner->m_grants.begin(); it != planner->m_grants.end();) {
    it = ledger.m_grants.contains(it->first) ? std::next(it)
                                             : planner->m_grants.erase(it);
  }
}

void NoteOrderResult(Planner *planner, const OrderResult &result,
                     base::TimePoint now) {
  RunnerView *runner = nullptr;
  for (auto &[name, candidate] : planner->m_runners) {
    if (candidate.m_open_order == result.m_order_id) runner = &candidate;
  }
  // A late outcome of an order that already counts as lost.
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
  // The grant may have moved on to another order since.
  if (MakeOrderId(result.m_grant_id, view.m_fence) != result.m_order_id) return;
  view.m_next_attempt = now + kResendDelay;
  if (result.m_outcome == OrderOutcome::kLost) return;
  view.m_is_accepted = result.m_outcome == OrderOutcome::kAccepted;
  view.m_is_refused = !view.m_is_accepted;
  view.m_accepted_at = now;
}

}  // namespace wasabiwind::placement
