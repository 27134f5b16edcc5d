/** @file placer.h Sends the planner's orders to runners while this host leads.
 */

#ifndef WASABIWIND_FLEET_CONTROL_PLACER_H_
#define WASABIWIND_FLEET_CONTROL_PLACER_H_

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

/** All methods belong to one fiber thread. */
class Placer {
 public:
  struct Hooks {
    /** @return whether an order may leave now. */
    std::function<bool(base::TimePoint)> m_may_order;
    std::function<std::uint64_t()> m_get_term;
    std::function<routes::RouteIndexPtr()> m_get_routes;
    std::function<const fleet::FleetView &()> m_get_view;
    std::function<void(gen::Residency)> m_publish;
  };

  /** @param protocol outlives this object */
  Placer(std::string holder, fleet::ResidencySettings settings,
         const ControlProtocol *protocol, Hooks hooks);

  /** Takes in what an entry host says of its requests. */
  void HandleUse(const gen::UseReport &report, base::TimePoint now);

  /** Plans again without waiting for the timer. */
  void Wake();

  /** Plans and orders until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

 private:
  static constexpr base::milliseconds kTick{100};
  /** Time between plans for each runner, since a plan looks at all of them. */
  static constexpr std::chrono::microseconds kPlanPausePerRunner{400};
  static constexpr base::milliseconds kMostPlanPause{100};
  /** After a plan, none follows for so many times as long as it took, and none
   * that looks ahead of requests for so many times. */
  static constexpr int kPlanParts = 2;
  static constexpr int kAheadParts = 3;
  static constexpr base::milliseconds kCallTimeout{800};
  /** Time that a runner needs for an adapter from the store. */
  static constexpr base::milliseconds kAdapterLoad{14};
  static constexpr std::size_t kMaxStatusBytes = 256 * 1024;

  void Plan(base::TimePoint now);
  base::Duration GetPlanPause() const;
  void SendOrder(const fleet::PlannedOrder &order);
  void SendQuery(const std::string &upstream);
  base::Result<net::Endpoint> FindAddress(const std::string &upstream) const;
  fleet::OrderOutcome CallRunner(const fleet::PlannedOrder &order,
                                 const net::Endpoint &address);

  std::string m_holder;
  const ControlProtocol *m_protocol;
  Hooks m_hooks;
  base::Duration m_plan_took{0};  ///< of the last plan
  base::TimePoint m_ahead_at;     ///< next plan that looks ahead
  fleet::ResidencyPlanner m_planner;
  std::unique_ptr<net::HttpClientPool> m_client;
  std::uint64_t m_planned_term = 0;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_wake;
  bool m_is_awake = false;
  bool m_is_stopped = false;
  int m_calls = 0;  ///< fibers that wait for a runner
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_PLACER_H_
