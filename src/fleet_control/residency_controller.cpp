/** @file residency_controller.cpp Plans and orders loads on runners. */

#include "fleet_control/residency_controller.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::fleet_control {

namespace {

using base::LogEvent;
using base::LogLevel;
using fleet::OrderOutcome;

const char *GetOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kStarted:
      return "started";
    case OrderOutcome::kAlreadyHolds:
      return "already_holds";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kStaleFence:
      return "stale_fence";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kOtherRunner:
      return "other_runner";
    case OrderOutcome::kUnknown:
    case OrderOutcome::kEnd:
      break;
  }
  return "unknown";
}

std::vector<std::string> ListTargets(const RunnerStatus &status) {
  std::vector<std::string> targets(status.m_pending_adapters.begin(),
                                   status.m_pending_adapters.end());
  for (const gen::ResidentModel &model : status.m_models) {
    targets.push_back(model.name());
    for (const std::string &adapter : model.adapters()) {
      targets.push_back(fleet::MakeTarget(model.name(), adapter));
    }
  }
  return targets;
}

void CountOrder(const char *outcome) {
  base::GetCounter("ww_orders_total", "Orders to runners by their outcome",
                   {{"outcome", outcome}})
      .Increment();
}

}  // namespace

ResidencyController::ResidencyController(std::string holder,
                                         fleet::ResidencySettings settings,
                                         const ControlProtocol *protocol,
                                         Hooks hooks)
    : m_holder(std::move(holder)),
      m_protocol(protocol),
      m_hooks(std::move(hooks)) {
  m_planner.m_settings = settings;
}

void ResidencyController::HandleUseReport(const gen::UseReport &report,
                                          base::TimePoint now) {
  fleet::RecordUse(&m_planner, report, now);
  for (const gen::TargetUse &use : report.uses()) {
    if (use.waiting() != 0) RequestPlan();
  }
}

void ResidencyController::RequestPlan() {
  m_is_plan_requested = true;
  m_plan_condition.notify_one();
}

base::Result<net::Endpoint> ResidencyController::FindAddress(
    const std::string &upstream) const {
  const fleet::FleetView &view = m_hooks.m_get_view();
  auto found = view.m_upstreams.find(upstream);
  if (found == view.m_upstreams.end()) {
    return base::MakeError(base::ErrorKind::kNotFound,
                           "the runner isn't known any more");
  }
  return net::ParseEndpoint(found->second.m_report.address());
}

OrderOutcome ResidencyController::CallRunner(const fleet::PlannedOrder &order,
                                             const net::Endpoint &address) {
  base::TimePoint now = base::Clock::now();
  // Checked just before sending: this process may have been paused since the
  // plan, and another host may lead now.
  if (!m_hooks.m_may_send_orders(now)) return OrderOutcome::kConflict;
  RunnerOrder call;
  call.m_upstream = order.m_upstream;
  call.m_is_load = order.m_is_load;
  call.m_model = order.m_model;
  call.m_adapter = order.m_adapter;
  call.m_expected_order_count = order.m_expected_order_count;
  call.m_holder = m_holder;
  call.m_fence = m_hooks.m_get_term();
  auto answer = m_client->Fetch(address, m_protocol->m_encode_order(call),
                                now + kCallTimeout, kMaxResponseBytes);
  if (!answer) {
    LogEvent(
        LogLevel::kWarn, "order_unanswered",
        {{"upstream", order.m_upstream}, {"error", answer.error().ToString()}});
    return OrderOutcome::kUnknown;
  }
  return m_protocol->m_decode_order_answer(*answer);
}

void ResidencyController::SendOrder(const fleet::PlannedOrder &order) {
  base::TimePoint start = base::Clock::now();
  base::Result<net::Endpoint> address = FindAddress(order.m_upstream);
  OrderOutcome outcome =
      address ? CallRunner(order, *address) : OrderOutcome::kOtherRunner;
  bool is_adapter_load = order.m_is_load && !order.m_adapter.empty();
  if (is_adapter_load && outcome == OrderOutcome::kStarted) {
    net::SleepFor(kAdapterLoadTime);
  }
  fleet::RecordOrderOutcome(&m_planner, order, outcome, base::Clock::now());
  CountOrder(GetOutcomeName(outcome));
  LogEvent(LogLevel::kInfo, "order",
           {{"upstream", order.m_upstream},
            {"is_load", order.m_is_load},
            {"target", fleet::MakeTarget(order.m_model, order.m_adapter)},
            {"from_store", order.m_is_from_store},
            {"expected", order.m_expected_order_count},
            {"reason", order.m_reason},
            {"rate", order.m_rate},
            {"copies", order.m_copies},
            {"outcome", GetOutcomeName(outcome)},
            {"took_ms", base::ToMilliseconds(base::Clock::now() - start)}});
}

void ResidencyController::SendStatusQuery(const std::string &upstream) {
  base::Result<net::Endpoint> address = FindAddress(upstream);
  fleet::StatusQueryResult result;
  if (address) {
    auto answer =
        m_client->Fetch(*address, m_protocol->m_encode_status_query(upstream),
                        base::Clock::now() + kCallTimeout, kMaxResponseBytes);
    base::Result<RunnerStatus> status =
        answer ? m_protocol->m_decode_status(*answer)
               : tl::unexpected(answer.error());
    if (status) {
      result.m_is_known = true;
      result.m_start_time_ms = status->m_start_time_ms;
      result.m_accepted_order_count = status->m_accepted_order_count;
      result.m_is_busy = status->m_is_busy;
      result.m_targets = ListTargets(*status);
    } else {
      LogEvent(LogLevel::kWarn, "status_unanswered",
               {{"upstream", upstream}, {"error", status.error().ToString()}});
    }
  }
  fleet::RecordStatus(&m_planner, upstream, result, base::Clock::now());
  LogEvent(LogLevel::kInfo, "runner_status",
           {{"upstream", upstream},
            {"is_known", result.m_is_known},
            {"accepted_orders", result.m_accepted_order_count},
            {"is_busy", result.m_is_busy}});
}

void ResidencyController::Plan(base::TimePoint now) {
  if (!m_hooks.m_may_send_orders(now)) return;
  std::uint64_t term = m_hooks.m_get_term();
  if (term != m_planned_term) {
    fleet::ResetRunnerStates(&m_planner);
    m_planned_term = term;
  }
  routes::RouteIndexPtr routes = m_hooks.m_get_routes();
  bool has_preloads = now >= m_preload_at;
  fleet::ResidencyActions actions = fleet::PlanResidency(
      &m_planner, m_hooks.m_get_view(), *routes, term, has_preloads, now);
  base::TimePoint end = base::Clock::now();
  m_plan_duration = end - now;
  if (has_preloads) m_preload_at = end + kPreloadPauseFactor * m_plan_duration;
  for (gen::Residency &residency : actions.m_changed_residencies) {
    m_hooks.m_publish(std::move(residency));
  }
  for (fleet::PlannedOrder &order : actions.m_orders) {
    ++m_pending_calls;
    boost::fibers::fiber([this, order = std::move(order)] {
      SendOrder(order);
      --m_pending_calls;
      RequestPlan();
    }).detach();
  }
  for (std::string &upstream : actions.m_queries) {
    ++m_pending_calls;
    boost::fibers::fiber([this, upstream = std::move(upstream)] {
      SendStatusQuery(upstream);
      --m_pending_calls;
      RequestPlan();
    }).detach();
  }
}

base::Duration ResidencyController::GetPlanPause() const {
  auto runners = static_cast<int>(m_hooks.m_get_view().m_upstreams.size());
  base::Duration pause =
      std::min<base::Duration>(kMaxPlanPause, kPlanPausePerRunner * runners);
  return std::max(pause, kPlanPauseFactor * m_plan_duration);
}

void ResidencyController::Run() {
  net::HttpClientOptions options;
  options.m_user_timeout = kCallTimeout;
  options.m_connect_timeout = kCallTimeout / 2;
  m_client = std::make_unique<net::HttpClientPool>(options);
  while (!m_is_stopped) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_plan_condition.wait_until(
          lock, base::Clock::now() + kTickPeriod,
          [this] { return m_is_plan_requested || m_is_stopped; });
    }
    m_is_plan_requested = false;
    if (!m_is_stopped) Plan(base::Clock::now());
    if (!m_is_stopped) net::SleepFor(GetPlanPause());
  }
  while (m_pending_calls > 0) net::SleepFor(base::milliseconds(5));
  m_client.reset();
}

void ResidencyController::Stop() {
  m_is_stopped = true;
  m_plan_condition.notify_all();
}

}  // namespace wasabiwind::fleet_control
