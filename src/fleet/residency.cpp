/** @file residency.cpp Demands, books of runners and answers to orders. */

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "fleet/residency_func.h"
#include "fleet/residency_internal.h"

namespace wasabiwind::fleet {

namespace {

/** Time constants of the mean rates of requests. */
constexpr double kRateSeconds = 6.0;
constexpr double kRecentRateSeconds = 1.5;
/** Below this recent rate, a few requests say nothing of a rise. */
constexpr double kLeastRecentRate = 2.0;
/** So many unreachable runners say nothing of the host that reports them. */
constexpr std::size_t kFewRunners = 2;
constexpr std::size_t kMostBooks = 4'096;
/** A report of waiting requests counts for this long. */
constexpr base::milliseconds kWaitingLifetime{1'500};
/** A runner's report may be older than its arrival by this much. */
constexpr base::milliseconds kReportLag{3'000};
/** So many reports after a change, one of them was surely made after it. */
constexpr std::uint64_t kLateReports = 3;
/** A runner's status may be older than its arrival by this much. */
constexpr base::milliseconds kStatusLag{450};
/** A status shows all that was accepted this long before its arrival. */
constexpr base::milliseconds kStatusAge{1'300};
constexpr base::milliseconds kConflictPause = kStatusLag;
constexpr base::milliseconds kRefusalPause{5'000};
constexpr base::milliseconds kUnknownPause{150};
/** A load in progress is asked for when it is late by this much. */
constexpr base::milliseconds kLateBy{1'000};
constexpr base::milliseconds kUnknownBusy{1'500};

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

/** Drops loads that the runner's report shows. */
void DropReportedLoads(UnreportedChanges *loads,
                       const gen::UpstreamReport &report) {
  std::erase_if(*loads, [&report](const auto &item) {
    return report.report_number() > item.second.m_report_number &&
           ReportsTarget(report, item.first);
  });
}

/**
 * Drops unloads that the runner's report shows, and those that several reports
 * haven't shown.
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
    return now >= change.m_at + kReportLag &&
           report.report_number() >= change.m_report_number + kLateReports;
  });
}

/**
 * Drops loads that a runner's status doesn't show. Reports can't tell this:
 * they come through other hosts, which may be seconds behind.
 */
void DropMissingLoads(UnreportedChanges *loads,
                      const std::vector<std::string> &held,
                      base::TimePoint now) {
  std::erase_if(*loads, [&](const auto &item) {
    bool is_held =
        std::find(held.begin(), held.end(), item.first) != held.end();
    return !is_held && now >= item.second.m_at + kStatusAge;
  });
}

bool HasOldLoad(const UnreportedChanges &loads, base::TimePoint now) {
  return std::any_of(loads.begin(), loads.end(), [now](const auto &item) {
    return now >= item.second.m_at + kReportLag;
  });
}

/** Ends the order in progress if a report shows its effect. */
void FinishByReport(RunnerBook *book, const gen::UpstreamReport &report,
                    base::TimePoint now) {
  if (!book->m_in_progress || book->m_in_progress->m_model.empty()) return;
  const OrderInProgress &order = *book->m_in_progress;
  bool is_held = ReportsTarget(report, order.m_model);
  if (is_held != order.m_is_load) return;
  if (order.m_is_load) book->m_used[order.m_model] = now;
  book->m_in_progress.reset();
}

}  // namespace

void RecordUse(ResidencyPlanner *planner, const gen::UseReport &report,
               base::TimePoint now) {
  if (!planner->m_first_use_at) planner->m_first_use_at = now;
  // A host that reaches few runners is cut off itself.
  auto unreachable = static_cast<std::size_t>(report.unreachable_size());
  if (unreachable <= std::max(kFewRunners, planner->m_books.size() / 2)) {
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
      if (planner->m_books.size() >= kMostBooks) continue;
      RunnerBook &book = planner->m_books[upstream];
      book.m_used[MakeTarget(use.model(), use.adapter())] = now;
      book.m_used[use.model()] = now;
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
  return recent < kLeastRecentRate ? rate : std::max(rate, recent);
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

void RefreshBook(RunnerBook *book, const UpstreamEntry &entry,
                 base::TimePoint now) {
  const gen::UpstreamReport &report = entry.m_report;
  if (book->m_start_time_ms != report.born_ms()) {
    // Use may have been reported before the first plan.
    bool is_first = book->m_start_time_ms == 0;
    std::map<std::string, base::TimePoint> used;
    if (is_first) used = std::move(book->m_used);
    *book = RunnerBook();
    book->m_used = std::move(used);
    book->m_start_time_ms = report.born_ms();
  }
  FinishByReport(book, report, now);
  if (book->m_report_number != report.report_number()) {
    book->m_report_number = report.report_number();
    DropReportedLoads(&book->m_loaded, report);
    DropReportedLoads(&book->m_maybe_loaded, report);
    // An unload waits for the runs of its model, which may take seconds.
    bool is_unloading = book->m_in_progress && !book->m_in_progress->m_is_load;
    DropReportedUnloads(&book->m_unloaded, report,
                        is_unloading ? book->m_in_progress->m_model : "", now);
  }
  // The next order asks for the status first.
  if (!book->m_is_calling && !book->m_in_doubt &&
      now >= book->m_status_at + kReportLag &&
      (HasOldLoad(book->m_loaded, now) ||
       HasOldLoad(book->m_maybe_loaded, now))) {
    book->m_accepted_order_count.reset();
  }
  std::erase_if(book->m_refused, [now](const auto &item) {
    return now >= item.second + kRefusalPause;
  });
  if (book->m_in_progress && now >= book->m_in_progress->m_ends_at + kLateBy) {
    book->m_accepted_order_count.reset();
  }
}

namespace {

UnreportedChange MakeChange(const RunnerBook &book, base::TimePoint now) {
  return UnreportedChange{now, book.m_report_number};
}

void CountAccepted(RunnerBook *book) {
  if (!book->m_accepted_order_count) return;
  ++*book->m_accepted_order_count;
  book->m_least_accepted = *book->m_accepted_order_count;
}

/** Takes in that a runner accepted an order, or had nothing to do. */
void RecordAccepted(RunnerBook *book, const PlannedOrder &order,
                    bool was_started, base::TimePoint now) {
  std::string target = MakeTarget(order.m_model, order.m_adapter);
  bool is_model = order.m_adapter.empty();
  // An unused adapter leaves at once, which is answered like an order that
  // changes nothing but counts as accepted.
  if (was_started || (!is_model && !order.m_is_load)) CountAccepted(book);
  if (was_started && is_model) return;  // the report shows its end
  if (is_model) book->m_in_progress.reset();
  if (order.m_is_load) {
    book->m_unloaded.erase(target);
    book->m_loaded[target] = MakeChange(*book, now);
    book->m_used[target] = now;
    return;
  }
  book->m_loaded.erase(target);
  if (was_started) {
    // The adapter is still in use and leaves later.
    book->m_unloaded.erase(target);
    book->m_refused[target] = now;
    return;
  }
  book->m_unloaded[target] = MakeChange(*book, now);
}

/** Takes back what was assumed when an order was planned. */
void UndoPlanned(RunnerBook *book, const PlannedOrder &order) {
  if (order.m_adapter.empty()) book->m_in_progress.reset();
  if (!order.m_is_load) {
    book->m_unloaded.erase(MakeTarget(order.m_model, order.m_adapter));
  }
}

}  // namespace

void RecordOrderOutcome(ResidencyPlanner *planner, const PlannedOrder &order,
                        OrderOutcome outcome, base::TimePoint now) {
  auto found = planner->m_books.find(order.m_upstream);
  if (found == planner->m_books.end()) return;
  RunnerBook &book = found->second;
  bool was_in_doubt = book.m_in_doubt.has_value();
  book.m_is_calling = false;
  book.m_in_doubt.reset();
  book.m_ordered_at = now;
  switch (outcome) {
    case OrderOutcome::kStarted:
      RecordAccepted(&book, order, /*was_started=*/true, now);
      return;
    case OrderOutcome::kAlreadyHolds:
      RecordAccepted(&book, order, /*was_started=*/false, now);
      return;
    case OrderOutcome::kConflict:
      book.m_accepted_order_count.reset();
      book.m_retry_at = now + kConflictPause;
      if (was_in_doubt && order.m_is_load) {
        // The order without answer may be the one that was accepted.
        book.m_maybe_loaded[MakeTarget(order.m_model, order.m_adapter)] =
            MakeChange(book, now);
      }
      break;
    case OrderOutcome::kStaleFence:
    case OrderOutcome::kRefused:
      book.m_refused[MakeTarget(order.m_model, order.m_adapter)] = now;
      book.m_intention.reset();
      break;
    case OrderOutcome::kOtherRunner:
      book.m_accepted_order_count.reset();
      book.m_intention.reset();
      book.m_retry_at = now + kRefusalPause;
      break;
    case OrderOutcome::kUnknown:
    case OrderOutcome::kEnd:
      book.m_in_doubt = order;
      book.m_retry_at = now + kUnknownPause;
      return;
  }
  UndoPlanned(&book, order);
}

void RecordStatus(ResidencyPlanner *planner, const std::string &upstream,
                  const StatusQueryResult &status, base::TimePoint now) {
  auto found = planner->m_books.find(upstream);
  if (found == planner->m_books.end()) return;
  RunnerBook &book = found->second;
  book.m_is_calling = false;
  bool is_other_start = status.m_start_time_ms != 0 &&
                        status.m_start_time_ms != book.m_start_time_ms;
  if (!status.m_is_known || is_other_start) {
    book.m_retry_at = now + kConflictPause;
    return;
  }
  if (now < book.m_ordered_at + kStatusLag ||
      status.m_accepted_order_count < book.m_least_accepted) {
    // The status may be older than the last order.
    book.m_retry_at = now + kStatusLag;
    return;
  }
  book.m_accepted_order_count = status.m_accepted_order_count;
  book.m_least_accepted = status.m_accepted_order_count;
  book.m_retry_at = now;
  book.m_status_at = now;
  DropMissingLoads(&book.m_loaded, status.m_targets, now);
  DropMissingLoads(&book.m_maybe_loaded, status.m_targets, now);
  // The last report known here may be older than the status, for instance
  // after a partition of the control hosts.
  for (const std::string &target : status.m_targets) {
    bool is_known =
        book.m_loaded.contains(target) || book.m_unloaded.contains(target);
    if (!is_known) book.m_maybe_loaded[target] = MakeChange(book, now);
  }
  if (status.m_is_busy) {
    if (!book.m_in_progress) book.m_in_progress = OrderInProgress();
    book.m_in_progress->m_ends_at = now + kUnknownBusy;
    return;
  }
  // What an order of another host loaded is known with the next reports.
  bool was_unknown = book.m_in_progress && book.m_in_progress->m_model.empty();
  if (was_unknown) book.m_retry_at = now + kUnknownBusy;
  book.m_in_progress.reset();
}

void ResetRunnerStates(ResidencyPlanner *planner) {
  for (auto &[id, book] : planner->m_books) {
    RunnerBook fresh;
    fresh.m_start_time_ms = book.m_start_time_ms;
    fresh.m_used = std::move(book.m_used);
    book = std::move(fresh);
  }
}

gen::Residency MakeResidency(const RunnerBook &book, const std::string &id) {
  gen::Residency residency;
  residency.set_upstream(id);
  residency.set_born_ms(book.m_start_time_ms);
  for (const auto &[target, at] : book.m_loaded) residency.add_loaded(target);
  for (const auto &[target, at] : book.m_unloaded) {
    residency.add_unloaded(target);
  }

  return residency;
}

std::uint64_t HashResidency(const gen::Residency &residency) {
  std::string bytes = residency.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace wasabiwind::fleet
