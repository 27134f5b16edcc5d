/** @file gateway_pace.cpp Pace of upstreams at an entry host. */

#include <algorithm>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "gateway/attempt_internal.h"
#include "gateway/gateway_internal.h"

namespace wasabiwind::gateway {

namespace {

using base::LogEvent;
using base::LogLevel;

/** Upstreams that a host learns of this soon after its own start may be old. */
constexpr base::milliseconds kViewSettleTime{5'000};
constexpr std::size_t kMaxProbes = 16;  ///< that wait to be made
constexpr const char *kHostObserver = "host";

PaceSample MakePaceSample(const RequestScope &scope,
                          const UpstreamStats &stats) {
  PaceSample sample;
  sample.m_in_flight = stats.m_in_flight;
  sample.m_sent_at = scope.m_attempt.m_sent_at;
  return sample;
}

}  // namespace

gen::LoadOutcome GetLoadOutcome(const RequestScope &scope) {
  if (scope.m_cancel_reason != nullptr) return gen::LOAD_ABANDONED;
  switch (scope.m_attempt_end) {
    case AttemptEnd::kAnswered:
      return scope.m_status >= 500 ? gen::LOAD_FAILED : gen::LOAD_ANSWERED;
    case AttemptEnd::kNotRun:
      if (scope.m_reason == "upstream_refused") return gen::LOAD_REFUSED;
      return scope.m_reason == "no_connection" ? gen::LOAD_FAILED
                                               : gen::LOAD_OUTCOME_UNKNOWN;
    case AttemptEnd::kUnknown:
    case AttemptEnd::kSilent:
      return gen::LOAD_FAILED;
    case AttemptEnd::kTimedOut:
      return scope.m_attempt.m_has_begun_answer ? gen::LOAD_ABANDONED
                                                : gen::LOAD_FAILED;
    case AttemptEnd::kCallerGone:
      return gen::LOAD_ABANDONED;
    case AttemptEnd::kEnd:
      break;
  }
  return gen::LOAD_OUTCOME_UNKNOWN;
}

/** @return whether limits are kept for upstreams that start or recover. */
bool Gateway::IsPaced() const {
  return m_settings.upstreams().pace() == "true";
}

/** Counts and logs what an answer did to a limit.
 * @param observer "tracker" for all hosts' requests, "host" for this one's */
void Gateway::ReportPaceChange(const std::string &upstream,
                               const char *observer, const RunnerPace &pace,
                               PaceChange change) {
  if (change == PaceChange::kNone) return;
  base::GetCounter(
      "ww_pace_changes_total",
      "Changes of the limits of started and recovered upstreams",
      {{"change", GetPaceChangeName(change)}, {"observer", observer}})
      .Increment();
  if (change == PaceChange::kBegun) {
    LogEvent(LogLevel::kInfo, "pace_begun",
             {{"upstream", upstream},
              {"observer", observer},
              {"cause", GetPaceCauseName(pace.m_cause)},
              {"limit", pace.m_limit}});
  } else if (change == PaceChange::kEnded) {
    LogEvent(LogLevel::kInfo, "pace_ended",
             {{"upstream", upstream}, {"observer", observer}});
  }
}

/** Begins limits for upstreams that have just started. */
void Gateway::RecordStarts(const std::vector<std::string> &changed,
                           base::TimePoint now) {
  if (!IsPaced()) return;
  bool is_view_settled = m_routes_known_at != base::TimePoint() &&
                         now > m_routes_known_at + kViewSettleTime;
  for (const std::string &id : changed) {
    const gen::UpstreamReport &report =
        m_follower.m_view.m_upstreams[id].m_report;
    UpstreamStats &stats = m_stats[id];
    bool is_restart = stats.m_start_time_ms != 0;
    if (!ResetRestartedStats(&stats, report.born_ms())) continue;
    if (!is_restart && !is_view_settled && report.cold_left_ms() == 0) continue;
    stats.m_started_at = now;
    BeginPace(&stats.m_pace, PaceCause::kStart, now);
    ReportPaceChange(id, kHostObserver, stats.m_pace, PaceChange::kBegun);
  }
}

/** Applies an answer, or the first event of a stream, to this host's limit. */
void Gateway::RecordPaceOfAnswer(const RequestScope &scope,
                                 base::TimePoint now) {
  UpstreamStats &stats = m_stats[scope.m_upstream];
  const Attempt &attempt = scope.m_attempt;
  if (!IsPaced() || stats.m_start_time_ms != attempt.m_runner_start_ms) return;
  PaceSample sample = MakePaceSample(scope, stats);
  base::Duration expected = std::max<base::Duration>(
      attempt.m_choice.m_expected_latency, base::milliseconds(1));
  sample.m_ratio = std::chrono::duration<double>(now - attempt.m_sent_at) /
                   std::chrono::duration<double>(expected);
  PaceChange change = RecordPaceAnswer(&stats.m_pace, sample, now);
  ReportPaceChange(scope.m_upstream, kHostObserver, stats.m_pace, change);
}

/** Applies the failure of an attempt to this host's limit. */
void Gateway::RecordPaceOutcome(const RequestScope &scope) {
  UpstreamStats &stats = m_stats[scope.m_upstream];
  base::TimePoint now = base::Clock::now();
  if (!IsPaced() || stats.m_start_time_ms != scope.m_attempt.m_runner_start_ms)
    return;
  gen::LoadOutcome outcome = GetLoadOutcome(scope);
  bool is_failure = outcome == gen::LOAD_FAILED || outcome == gen::LOAD_REFUSED;
  if (!is_failure) return;
  PaceChange change =
      RecordPaceFailure(&stats.m_pace, MakePaceSample(scope, stats), now);
  ReportPaceChange(scope.m_upstream, kHostObserver, stats.m_pace, change);
}

/** Has upstreams that refused a connection checked. */
void Gateway::ProbeUnreachable(base::TimePoint now) {
  if (!IsPaced()) return;
  int limited = 0;
  for (auto &[id, stats] : m_stats) {
    if (GetMaxInFlight(stats.m_pace, now) > 0) ++limited;
    auto found = m_follower.m_view.m_upstreams.find(id);
    if (found == m_follower.m_view.m_upstreams.end()) continue;
    if (m_runner_checks.size() >= kMaxProbes) continue;
    if (!TakeProbe(&stats, now)) continue;
    m_runner_checks.push_back(
        {id, found->second.m_report.address(), stats.m_start_time_ms});
    m_runner_check_due.notify_one();
  }
  static prometheus::Gauge &gauge = base::GetGauge(
      "ww_paced_upstreams", "Upstreams whose requests this host limits");
  gauge.Set(limited);
}

/** Begins to use an upstream that accepts connections again. */
void Gateway::RecordProbed(const std::string &upstream, std::uint64_t born_ms) {
  auto found = m_stats.find(upstream);
  bool is_same_start =
      found != m_stats.end() && found->second.m_start_time_ms == born_ms;
  if (!IsPaced() || !is_same_start) return;
  if (!RecordReachable(&found->second, base::Clock::now())) return;
  ReportPaceChange(upstream, kHostObserver, found->second.m_pace,
                   PaceChange::kBegun);
  m_view_changed.notify_all();
}

}  // namespace wasabiwind::gateway
