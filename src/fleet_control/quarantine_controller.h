/** @file quarantine_controller.h Quarantines what crashes runners.
 */

#ifndef WASABIWIND_FLEET_CONTROL_QUARANTINE_CONTROLLER_H_
#define WASABIWIND_FLEET_CONTROL_QUARANTINE_CONTROLLER_H_

#include <routes.pb.h>

#include <functional>

#include "base/error_type.h"
#include "base/time_type.h"
#include "fleet/quarantine_func.h"

namespace wasabiwind::fleet_control {

/**
 * Collects the evidence of entry hosts on each control host, and decides on the
 * leader. Not thread-safe: used on one fiber thread.
 */
class QuarantineController {
 public:
  struct Hooks {
    /** @return whether this host is the leader now. */
    std::function<bool(base::TimePoint)> m_is_leader;
    std::function<const gen::Quarantine &()> m_get_quarantine;
    /** Executes a command through the replicated log. */
    std::function<base::Result<void>(const gen::RouteCommand &,
                                     base::TimePoint deadline)>
        m_execute;
  };

  explicit QuarantineController(Hooks hooks) : m_hooks(std::move(hooks)) {}

  /** Records the evidence in an entry host's report. */
  void HandleUseReport(const gen::UseReport &report, base::TimePoint now);

  /** Decides until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop() { m_is_stopped = true; }

 private:
  static constexpr base::milliseconds kTickPeriod{100};
  static constexpr base::milliseconds kCommandTimeout{900};

  void Decide(base::TimePoint now);

  Hooks m_hooks;
  fleet::QuarantinePlanner m_planner;
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_QUARANTINE_CONTROLLER_H_
