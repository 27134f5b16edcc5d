/** @file placer.cpp Sends the planner's orders to runners. */

#include "fleet_control/placer.h"

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

Placer::Placer(std::string holder, fleet::ResidencySettings settings,
               const ControlProtocol *protocol, Hooks hooks)
    : m_holder(std::move(holder)),
      m_protocol(protocol),
      m_hooks(std::move(hooks)) {
  m_planner.m_settings = settings;
}

void Placer::HandleUse(const gen::UseReport &report, base::TimePoint now) {
  fleet::RecordUse(&m_planner, report, now);
  for (const gen::TargetUse &use : report.uses()) {
    if (use.waiting() != 0) Wake();
  }
}

void Placer::Wake() {
  m_is_awake = true;
  m_wake.notify_one();
}

base::Result<net::Endpoint> Placer::FindAddress(
    const std::string &upstream) const {
  const fleet::FleetView &view = m_hooks.m_get_view();
  auto found = view.m_upstreams.find(upstream);
  if (found == view.m_upstreams.end()) {
    return base::MakeError(base::ErrorKind::kNotFound,
                           "the runner isn't known any more");
  }
  return net::ParseEndpoint(found->second.m_report.address());
}

OrderOutcome Placer::CallRunner(const fleet::PlannedOrder &order,
                                const net::Endpoint &address) {
  base::TimePoint now = base::Clock::now();
  // The lease is checked last: this host may have been frozen since planning.
  if (!m_hooks.m_may_order(now)) return OrderOutcome::kConflict;
  RunnerOrder call;
  call.m_upstream = order.m_upstream;
  call.m_is_load = order.m_is_load;
  call.m_model = order.m_model;
  call.m_adapter = order.m_adapter;
  call.m_expected_order_count = order.m_expected_order_count;
  call.m_holder = m_holder;
  call.m_fence = m_hooks.m_get_term();
  auto answer = m_client->Fetch(address, m_protocol->m_encode_order(call),
                                now + kCallTimeout, kMaxStatusBytes);
  if (!answer) {
    LogEvent(
        LogLevel::kWarn, "order_unanswered",
        {{"upstream", order.m_upstream}, {"error", answer.error().ToString()}});
    return OrderOutcome::kUnknown;
  }
  return m_protocol->m_decode_order_answer(*answer);
}

void Placer::SendOrder(const fleet::PlannedOrder &order) {
  base::TimePoint start = base::Clock::now();
  base::Result<net::Endpoint> address = FindAddress(order.m_upstream);
  OrderOutcome outcome =
      address ? CallRunner(order, *address) : OrderOutcome::kOtherRunner;
  bool is_adapter_load = order.m_is_load && !order.m_adapter.empty();
  if (is_adapter_load && outcome == OrderOutcome::kStarted) {
    net::SleepFor(kAdapterLoad);
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

void Placer::SendQuery(const std::string &upstream) {
  base::Result<net::Endpoint> address = FindAddress(upstream);
  fleet::StatusQueryResult facts;
  if (address) {
    auto answer =
        m_client->Fetch(*address, m_protocol->m_encode_status_query(upstream),
                        base::Clock::now() + kCallTimeout, kMaxStatusBytes);
    base::Result<RunnerStatus> status =
        answer ? m_protocol->m_decode_status(*answer)
               : tl::unexpected(answer.error());
    if (status) {
      facts.m_is_known = true;
      facts.m_start_time_ms = status->m_start_time_ms;
      facts.m_accepted_order_count = status->m_accepted_orders;
      facts.m_is_busy = status->m_is_busy;
      facts.m_targets = ListTargets(*status);
    } else {
      LogEvent(LogLevel::kWarn, "status_unanswered",
               {{"upstream", upstream}, {"error", status.error().ToString()}});
    }
  }
  fleet::RecordStatus(&m_planner, upstream, facts, base::Clock::now());
  LogEvent(LogLevel::kInfo, "runner_status",
           {{"upstream", upstream},
            {"is_known", facts.m_is_known},
            {"accepted_orders", facts.m_accepted_order_count},
            {"is_busy", facts.m_is_busy}});
}

void Placer::Plan(base::TimePoint now) {
  if (!m_hooks.m_may_order(now)) return;
  std::uint64_t term = m_hooks.m_get_term();
  if (term != m_planned_term) {
    fleet::ResetRunnerStates(&m_planner);
    m_planned_term = term;
  }
  routes::RouteIndexPtr routes = m_hooks.m_get_routes();
  bool plans_ahead = now >= m_ahead_at;
  fleet::ResidencyActions actions = fleet::PlanResidency(
      &m_planner, m_hooks.m_get_view(), *routes, term, plans_ahead, now);
  base::TimePoint end = base::Clock::now();
  m_plan_took = end - now;
  if (plans_ahead) m_ahead_at = end + kAheadParts * m_plan_took;
  for (gen::Residency &residency : actions.m_changed_residencies) {
    m_hooks.m_publish(std::move(residency));
  }
  for (fleet::PlannedOrder &order : actions.m_orders) {
    ++m_calls;
    boost::fibers::fiber([this, order = std::move(order)] {
      SendOrder(order);
      --m_calls;
      Wake();
    }).detach();
  }
  for (std::string &upstream : actions.m_queries) {
    ++m_calls;
    boost::fibers::fiber([this, upstream = std::move(upstream)] {
      SendQuery(upstream);
      --m_calls;
      Wake();
    }).detach();
  }
}

base::Duration Placer::GetPlanPause() const {
  auto runners = static_cast<int>(m_hooks.m_get_view().m_upstreams.size());
  base::Duration pause =
      std::min<base::Duration>(kMostPlanPause, kPlanPausePerRunner * runners);
  return std::max(pause, kPlanParts * m_plan_took);
}

void Placer::Run() {
  net::HttpClientOptions options;
  options.m_user_timeout = kCallTimeout;
  options.m_connect_timeout = kCallTimeout / 2;
  m_client = std::make_unique<net::HttpClientPool>(options);
  while (!m_is_stopped) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_wake.wait_until(lock, base::Clock::now() + kTick,
                        [this] { return m_is_awake || m_is_stopped; });
    }
    m_is_awake = false;
    if (!m_is_stopped) Plan(base::Clock::now());
    if (!m_is_stopped) net::SleepFor(GetPlanPause());
  }
  while (m_calls > 0) net::SleepFor(base::milliseconds(5));
  m_client.reset();
}

void Placer::Stop() {
  m_is_stopped = true;
  m_wake.notify_all();
}

}  // namespace wasabiwind::fleet_control
