/** @file residency_controller.h Plans and orders loads while this host leads.
 */

#ifndef WASABIWIND_FLEET_CONTROL_RESIDENCY_CONTROLLER_H_
#define WASABIWIND_FLEET_CONTROL_RESIDENCY_CONTROLLER_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fleet/residency_func.h"
#include "fleet_control/protocol_type.h"
#include "net/http_client.h"
#include "routes/table_func.h"

namespace wasabiwind::fleet_control {

/**
 * Plans which targets runners hold and sends them orders, while this host is
 * the leader. Not thread-safe: used on one fiber thread.
 */
class ResidencyController {
 public:
  struct Hooks {
    /** @return whether orders may be sent now. */
    std::function<bool(base::TimePoint)> m_may_send_orders;
    std::function<std::uint64_t()> m_get_term;
    std::function<routes::RouteIndexPtr()> m_get_routes;
    std::function<const fleet::FleetView &()> m_get_view;
    std::function<void(gen::Residency)> m_publish;
  };

  /** @param protocol outlives this object */
  ResidencyController(std::string holder, fleet::ResidencySettings settings,
                      const ControlProtocol *protocol, Hooks hooks);

  /** Records an entry host's report of its use of targets. */
  void HandleUseReport(const gen::UseReport &report, base::TimePoint now);

  /** Plans again without waiting for the timer. */
  void RequestPlan();

  /** Plans and sends orders until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

 private:
  static constexpr base::milliseconds kTickPeriod{100};
  /** Pause between plans per runner, since a plan looks at all of them. */
  static constexpr std::chrono::microseconds kPlanPausePerRunner{400};
  static constexpr base::milliseconds kMaxPlanPause{100};
  /** Minimum pause after a plan, as a multiple of the plan's duration. */
  static constexpr int kPlanPauseFactor = 2;
  /** Minimum pause before the next plan that includes preloads, as a multiple
   * of the last such plan's duration. */
  static constexpr int kPreloadPauseFactor = 3;
  static constexpr base::milliseconds kCallTimeout{800};
  /** Time that a runner takes to load an adapter from the weight store. */
  static constexpr base::milliseconds kAdapterLoadTime{14};
  static constexpr std::size_t kMaxResponseBytes = kMaxReportBytes;

  void Plan(base::TimePoint now);
  base::Duration GetPlanPause() const;
  void SendOrder(const fleet::PlannedOrder &order);
  void SendStatusQuery(const std::string &upstream);
  base::Result<net::Endpoint> FindAddress(const std::string &upstream) const;
  fleet::OrderOutcome CallRunner(const fleet::PlannedOrder &order,
                                 const net::Endpoint &address);

  std::string m_holder;
  const ControlProtocol *m_protocol;
  Hooks m_hooks;
  base::Duration m_plan_duration{0};  ///< of the last plan
  base::TimePoint m_preload_at;       ///< when preloads may be planned again
  fleet::ResidencyPlanner m_planner;
  std::unique_ptr<net::HttpClientPool> m_client;
  std::uint64_t m_planned_term = 0;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_plan_condition;
  bool m_is_plan_requested = false;
  bool m_is_stopped = false;
  int m_pending_calls = 0;  ///< fibers that wait for a runner's response
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_RESIDENCY_CONTROLLER_H_
