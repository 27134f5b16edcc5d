/** @file residency.cpp Demand, runner states and answers to orders. */

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "fleet/residency_func.h"
#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Time constants of the decaying mean rates of requests. */
constexpr double kRateSeconds = 6.0;
constexpr double kRecentRateSeconds = 1.5;
/** A lower recent rate in requests/s is ignored, because it may come from a few
 * requests. */
constexpr double kMinRecentRate = 2.0;
/** Up to this many unreachable runners don't indicate that the reporting host
 * itself is cut off. */
constexpr std::size_t kFewUnreachableRunners = 2;
constexpr std::size_t kMaxRunnerStates = 4'096;
/** Assumed largest age of a runner's report at its arrival; reports through an
 * overloaded host can be older. */
constexpr base::milliseconds kMaxReportDelay{3'000};
/** Of this many reports after a change, one was certainly made after it. */
constexpr std::uint64_t kReportsUntilCurrent = 3;
/** Largest age of a runner's status at its arrival. */
constexpr base::milliseconds kMaxStatusDelay{450};
/** A status shows all orders accepted at least this long before its arrival. */
constexpr base::milliseconds kStatusCompleteAfter{1'300};
constexpr base::milliseconds kConflictRetryDelay = kMaxStatusDelay;
constexpr base::milliseconds kRefusalRetryDelay{5'000};
constexpr base::milliseconds kUnknownRetryDelay{150};
/** The status is queried when the order in progress is overdue by this much. */
constexpr base::milliseconds kOverdueMargin{1'000};
/** Assumed remaining time of an order of another host. */
constexpr base::milliseconds kUnknownOrderTime{1'500};

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddArrivals(TargetDemand *demand, std::uint32_t arrivals,
                 base::TimePoint now) {
  if (demand->m_rate_at != base::TimePoint()) {
    double seconds = ToSeconds(now - demand->m_rate_at);
    demand->m_rate *= std::exp(-seconds / kRateSeconds);
    demand->m_recent_rate *= std::exp(-seconds / kRecentRateSeconds);
  }
  demand->m_rate_at = now;
  demand->m_rate += arrivals / kRateSeconds;
  demand->m_recent_rate += arrivals / kRecentRateSeconds;
}

/** Removes loads that the runner's report shows. */
void DropReportedLoads(UnreportedChanges *loads,
                       const gen::UpstreamReport &report) {
  std::erase_if(*loads, [&report](const auto &item) {
    return report.report_number() > item.second.m_report_number &&
           ReportsTarget(report, item.first);
  });
}

/**
 * Removes unloads that the runner's report shows, and those that several
 * reports haven't shown.
 * @param kept target whose unload isn't complete yet, or ""
 */
void DropReportedUnloads(UnreportedChanges *unloads,
                         const gen::UpstreamReport &report,
                         const std::string &kept, base::TimePoint now) {
  std::erase_if(*unloads, [&](const auto &item) {
    const UnreportedChange &change = item.second;
    if (report.report_number() <= change.m_report_number) return false;
    if (!ReportsTarget(report, item.first)) return true;
    if (item.first == kept) return false;
    return now >= change.m_at + kMaxReportDelay &&
           report.report_number() >=
               change.m_report_number + kReportsUntilCurrent;
  });
}

/**
 * Removes loads that a runner's status doesn't show. Reports can't show this:
 * they arrive through other hosts, which may delay them by seconds.
 */
void DropMissingLoads(UnreportedChanges *loads,
                      const std::vector<std::string> &held,
                      base::TimePoint now) {
  std::erase_if(*loads, [&](const auto &item) {
    bool is_held =
        std::find(held.begin(), held.end(), item.first) != held.end();
    return !is_held && now >= item.second.m_at + kStatusCompleteAfter;
  });
}

bool HasOldLoad(const UnreportedChanges &loads, base::TimePoint now) {
  return std::any_of(loads.begin(), loads.end(), [now](const auto &item) {
    return now >= item.second.m_at + kMaxReportDelay;
  });
}

/** Ends the order in progress if a report shows its effect. */
void FinishByReport(RunnerState *state, const gen::UpstreamReport &report,
                    base::TimePoint now) {
  if (!state->m_in_progress || state->m_in_progress->m_model.empty()) return;
  const OrderInProgress &order = *state->m_in_progress;
  bool is_held = ReportsTarget(report, order.m_model);
  if (is_held != order.m_is_load) return;
  if (order.m_is_load) state->m_last_used_at[order.m_model] = now;
  state->m_in_progress.reset();
}

}  // namespace

bool IsPlausiblyUnreachable(std::size_t unreachable_count,
                            std::size_t upstream_count) {
  return unreachable_count <=
         std::max(kFewUnreachableRunners, upstream_count / 2);
}

void RecordUse(ResidencyPlanner *planner, const gen::UseReport &report,
               base::TimePoint now) {
  if (!planner->m_first_use_at) planner->m_first_use_at = now;
  auto unreachable = static_cast<std::size_t>(report.unreachable_size());
  if (report.is_sum() ||
      IsPlausiblyUnreachable(unreachable, planner->m_runner_states.size())) {
    for (const std::string &upstream : report.unreachable()) {
      planner->m_unreachable[upstream] = now;
    }
  }
  for (const gen::TargetUse &use : report.uses()) {
    TargetKey key{use.service(), use.model(), use.adapter()};
    TargetDemand &demand = planner->m_demands[key];
    AddArrivals(&demand, use.arrivals(), now);
    if (use.waiting() == 0) {
      demand.m_waiting.erase(report.entry());
    } else {
      demand.m_waiting[report.entry()] =
          WaitingReport{use.waiting(), use.rank(), now};
    }
    for (const std::string &upstream : use.upstreams()) {
      if (planner->m_runner_states.size() >= kMaxRunnerStates) continue;
      RunnerState &state = planner->m_runner_states[upstream];
      state.m_last_used_at[MakeTarget(use.model(), use.adapter())] = now;
      state.m_last_used_at[use.model()] = now;
    }
  }
}

double GetRate(const ResidencyPlanner &planner, const TargetKey &key,
               base::TimePoint now) {
  auto found = planner.m_demands.find(key);
  if (found == planner.m_demands.end()) return 0;
  const TargetDemand &demand = found->second;
  double seconds = ToSeconds(now - demand.m_rate_at);
  double rate = demand.m_rate * std::exp(-seconds / kRateSeconds);
  double recent =
      demand.m_recent_rate * std::exp(-seconds / kRecentRateSeconds);
  return recent < kMinRecentRate ? rate : std::max(rate, recent);
}

std::uint32_t CountWaiting(const TargetDemand &demand, base::TimePoint now) {
  std::uint32_t waiting = 0;
  for (const auto &[entry, report] : demand.m_waiting) {
    if (now < report.m_at + kWaitingLifetime) waiting += report.m_waiting;
  }
  return waiting;
}

std::uint32_t GetWaitingRank(const TargetDemand &demand, base::TimePoint now) {
  std::uint32_t rank = kLeastUrgentRank;
  for (const auto &[entry, report] : demand.m_waiting) {
    if (now < report.m_at + kWaitingLifetime) {
      rank = std::min(rank, report.m_rank);
    }
  }
  return rank;
}

void RefreshRunnerState(RunnerState *state, const UpstreamEntry &entry,
                        base::TimePoint now) {
  const gen::UpstreamReport &report = entry.m_report;
  if (state->m_start_time_ms != report.born_ms()) {
    // Use may have been reported before the first planning pass.
    bool is_first = state->m_start_time_ms == 0;
    std::map<std::string, base::TimePoint> used;
    if (is_first) used = std::move(state->m_last_used_at);
    *state = RunnerState();
    state->m_last_used_at = std::move(used);
    state->m_start_time_ms = report.born_ms();
  }
  FinishByReport(state, report, now);
  if (state->m_report_number != report.report_number()) {
    state->m_report_number = report.report_number();
    DropReportedLoads(&state->m_loaded, report);
    DropReportedLoads(&state->m_maybe_loaded, report);
    // An unload waits for running requests of its model, which may take
    // seconds.
    bool is_unloading =
        state->m_in_progress && !state->m_in_progress->m_is_load;
    DropReportedUnloads(&state->m_unloaded, report,
                        is_unloading ? state->m_in_progress->m_model : "", now);
  }
  // Reports should show these loads by now. Without the count, the status is
  // queried before the next order.
  if (!state->m_is_call_pending && !state->m_in_doubt &&
      now >= state->m_status_at + kMaxReportDelay &&
      (HasOldLoad(state->m_loaded, now) ||
       HasOldLoad(state->m_maybe_loaded, now))) {
    state->m_accepted_order_count.reset();
  }
  std::erase_if(state->m_refused_at, [now](const auto &item) {
    return now >= item.second + kRefusalRetryDelay;
  });
  if (state->m_in_progress &&
      now >= state->m_in_progress->m_ends_at + kOverdueMargin) {
    state->m_accepted_order_count.reset();
  }
}

namespace {

UnreportedChange MakeChange(const RunnerState &state, base::TimePoint now) {
  return UnreportedChange{now, state.m_report_number};
}

void CountAccepted(RunnerState *state) {
  if (!state->m_accepted_order_count) return;
  ++*state->m_accepted_order_count;
  state->m_min_accepted_order_count = *state->m_accepted_order_count;
}

/** Records that a runner accepted an order, or had nothing to change. */
void RecordAccepted(RunnerState *state, const PlannedOrder &order,
                    bool was_started, base::TimePoint now) {
  std::string target = MakeTarget(order.m_model, order.m_adapter);
  bool is_model = order.m_adapter.empty();
  // An unused adapter is unloaded at once: the answer is that of an order that
  // changes nothing, but the order counts as accepted.
  if (was_started || (!is_model && !order.m_is_load)) CountAccepted(state);
  if (was_started && is_model) return;  // a report shows the end
  if (is_model) state->m_in_progress.reset();
  if (order.m_is_load) {
    state->m_unloaded.erase(target);
    state->m_loaded[target] = MakeChange(*state, now);
    state->m_last_used_at[target] = now;
    return;
  }
  state->m_loaded.erase(target);
  if (was_started) {
    // The adapter is still in use and is unloaded later.
    state->m_unloaded.erase(target);
    state->m_refused_at[target] = now;
    return;
  }
  state->m_unloaded[target] = MakeChange(*state, now);
}

/** Reverts the state that was assumed when an order was planned. */
void UndoPlanned(RunnerState *state, const PlannedOrder &order) {
  if (order.m_adapter.empty()) state->m_in_progress.reset();
  if (!order.m_is_load) {
    state->m_unloaded.erase(MakeTarget(order.m_model, order.m_adapter));
  }
}

}  // namespace

void RecordOrderOutcome(ResidencyPlanner *planner, const PlannedOrder &order,
                        OrderOutcome outcome, base::TimePoint now) {
  auto found = planner->m_runner_states.find(order.m_upstream);
  if (found == planner->m_runner_states.end()) return;
  RunnerState &state = found->second;
  bool was_in_doubt = state.m_in_doubt.has_value();
  state.m_is_call_pending = false;
  state.m_in_doubt.reset();
  state.m_order_answered_at = now;
  switch (outcome) {
    case OrderOutcome::kStarted:
      RecordAccepted(&state, order, /*was_started=*/true, now);
      return;
    case OrderOutcome::kAlreadyHolds:
      RecordAccepted(&state, order, /*was_started=*/false, now);
      return;
    case OrderOutcome::kConflict:
      state.m_accepted_order_count.reset();
      state.m_retry_at = now + kConflictRetryDelay;
      if (was_in_doubt && order.m_is_load) {
        // The order without an answer may be the accepted one.
        state.m_maybe_loaded[MakeTarget(order.m_model, order.m_adapter)] =
            MakeChange(state, now);
      }
      break;
    case OrderOutcome::kStaleFence:
    case OrderOutcome::kRefused:
      state.m_refused_at[MakeTarget(order.m_model, order.m_adapter)] = now;
      state.m_pending_load.reset();
      break;
    case OrderOutcome::kOtherRunner:
      state.m_accepted_order_count.reset();
      state.m_pending_load.reset();
      state.m_retry_at = now + kRefusalRetryDelay;
      break;
    case OrderOutcome::kUnknown:
    case OrderOutcome::kEnd:
      state.m_in_doubt = order;
      state.m_retry_at = now + kUnknownRetryDelay;
      return;
  }
  UndoPlanned(&state, order);
}

void RecordStatus(ResidencyPlanner *planner, const std::string &upstream,
                  const StatusQueryResult &status, base::TimePoint now) {
  auto found = planner->m_runner_states.find(upstream);
  if (found == planner->m_runner_states.end()) return;
  RunnerState &state = found->second;
  state.m_is_call_pending = false;
  bool is_other_start = status.m_start_time_ms != 0 &&
                        status.m_start_time_ms != state.m_start_time_ms;
  if (!status.m_is_known || is_other_start) {
    state.m_retry_at = now + kConflictRetryDelay;
    return;
  }
  if (now < state.m_order_answered_at + kMaxStatusDelay ||
      status.m_accepted_order_count < state.m_min_accepted_order_count) {
    // The status may be older than the last order.
    state.m_retry_at = now + kMaxStatusDelay;
    return;
  }
  state.m_accepted_order_count = status.m_accepted_order_count;
  state.m_min_accepted_order_count = status.m_accepted_order_count;
  state.m_retry_at = now;
  state.m_status_at = now;
  DropMissingLoads(&state.m_loaded, status.m_targets, now);
  DropMissingLoads(&state.m_maybe_loaded, status.m_targets, now);
  // The last report on this host may be older than the status, for instance
  // after a partition of the control hosts.
  for (const std::string &target : status.m_targets) {
    bool is_known =
        state.m_loaded.contains(target) || state.m_unloaded.contains(target);
    if (!is_known) state.m_maybe_loaded[target] = MakeChange(state, now);
  }
  if (status.m_is_busy) {
    if (!state.m_in_progress) state.m_in_progress = OrderInProgress();
    state.m_in_progress->m_ends_at = now + kUnknownOrderTime;
    return;
  }
  // Waits for the reports that show the result of an order of another host.
  bool was_unknown =
      state.m_in_progress && state.m_in_progress->m_model.empty();
  if (was_unknown) state.m_retry_at = now + kUnknownOrderTime;
  state.m_in_progress.reset();
}

void ResetRunnerStates(ResidencyPlanner *planner) {
  for (auto &[id, state] : planner->m_runner_states) {
    RunnerState fresh;
    fresh.m_start_time_ms = state.m_start_time_ms;
    fresh.m_last_used_at = std::move(state.m_last_used_at);
    state = std::move(fresh);
  }
}

gen::Residency MakeResidency(const RunnerState &state, const std::string &id) {
  gen::Residency residency;
  residency.set_upstream(id);
  residency.set_born_ms(state.m_start_time_ms);
  for (const auto &[target, at] : state.m_loaded) residency.add_loaded(target);
  for (const auto &[target, at] : state.m_unloaded) {
    residency.add_unloaded(target);
  }

  return residency;
}

std::uint64_t HashResidency(const gen::Residency &residency) {
  std::string bytes = residency.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace wasabiwind::fleet
