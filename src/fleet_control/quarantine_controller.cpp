/** @file quarantine_controller.cpp Quarantines what crashes runners.
 */

#include "fleet_control/quarantine_controller.h"

#include <fmt/format.h>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::fleet_control {

namespace {

using base::LogEvent;
using base::LogLevel;

const char *GetKindName(gen::SuspectKind kind) {
  return kind == gen::SUSPECT_REQUEST ? "request" : "part";
}

}  // namespace

void QuarantineController::HandleUseReport(const gen::UseReport &report,
                                           base::TimePoint now) {
  fleet::RecordCrashEvidence(&m_planner, report, now);
}

void QuarantineController::Decide(base::TimePoint now) {
  // Every host plans, so that a new leader knows since when a part is
  // quarantined.
  auto change =
      fleet::PlanQuarantineChange(&m_planner, m_hooks.m_get_quarantine(), now);
  if (!change || !m_hooks.m_is_leader(now)) return;
  gen::RouteCommand command;
  *command.mutable_quarantine_change() = *change;
  base::Result<void> done = m_hooks.m_execute(command, now + kCommandTimeout);
  LogEvent(LogLevel::kWarn, "quarantine_changed",
           {{"kind", GetKindName(change->kind())},
            {"key", fmt::format("{:x}", change->key())},
            {"is_release", change->is_release()},
            {"is_cleared", change->is_cleared()},
            {"known_crashes", m_planner.m_crashes.size()},
            {"error", done ? "" : done.error().ToString()}});
  if (!done) return;
  base::GetCounter("ww_quarantine_changes_total",
                   "Prompt parts and requests quarantined and released",
                   {{"change", change->is_release() ? "release" : "quarantine"},
                    {"kind", GetKindName(change->kind())}})
      .Increment();
}

void QuarantineController::Run() {
  while (!m_is_stopped) {
    Decide(base::Clock::now());
    net::SleepFor(kTickPeriod);
  }
}

}  // namespace wasabiwind::fleet_control
