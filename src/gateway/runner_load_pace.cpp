/** @file runner_load_pace.cpp Pace of a tracked runner. */

#include <algorithm>

#include "gateway/runner_load_func.h"

namespace wasabiwind::gateway {

namespace {

/** A tracker that begins later after the start of a runner sets no limit. */
constexpr base::milliseconds kRecentStart{60'000};

double GetLatencyRatio(const gen::LoadUpdate &update) {
  return static_cast<double>(update.first_event_ms()) /
         std::max(1u, update.expected_ms());
}

}  // namespace

PaceChange ApplyPaceUpdate(RunnerLoads *loads, const gen::LoadUpdate &update,
                           base::TimePoint started_at, base::TimePoint now) {
  RunnerLoad &load = (*loads)[update.upstream()];
  if (!ResetRestartedLoad(&load, update.born_ms())) return PaceChange::kNone;
  if (!load.m_is_pace_known) {
    load.m_is_pace_known = true;
    if (started_at != base::TimePoint() && now < started_at + kRecentStart) {
      BeginPace(&load.m_pace, PaceCause::kStart, now);
      return PaceChange::kBegun;
    }
  }
  auto found = load.m_requests.find(update.request());
  if (found == load.m_requests.end()) return PaceChange::kNone;
  PaceSample sample;
  sample.m_in_flight = static_cast<int>(load.m_requests.size());
  sample.m_sent_at = found->second.m_sent_at;
  if (update.event() == gen::LOAD_READ) {
    sample.m_ratio = GetLatencyRatio(update);
    return RecordPaceAnswer(&load.m_pace, sample, now);
  }
  if (update.event() != gen::LOAD_OVER) return PaceChange::kNone;
  bool is_failure = update.outcome() == gen::LOAD_FAILED ||
                    update.outcome() == gen::LOAD_REFUSED;
  if (!is_failure) return PaceChange::kNone;
  return RecordPaceFailure(&load.m_pace, sample, now);
}

}  // namespace wasabiwind::gateway
