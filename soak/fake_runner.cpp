/** @file fake_runner.cpp A simulated upstream of a soak. */

#include "soak/fake_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::soak {

namespace {

using base::Clock;
using base::milliseconds;
using fleet::OrderOutcome;

constexpr milliseconds kReportInterval{1'000};
constexpr milliseconds kReportTimeout{1'000};
constexpr milliseconds kStoreLoadTime{1'200};
constexpr milliseconds kDiskLoadTime{250};
constexpr milliseconds kUnloadTime{30};
constexpr milliseconds kAdapterLoadTime{8};
constexpr milliseconds kPlainExecutionTime{12};
constexpr milliseconds kEventInterval{25};
constexpr milliseconds kOrderDelay{1'500};
/** How long a leaving runner serves after its drain time. */
constexpr milliseconds kServeAfterDrain{300};
/** After a crash that a prompt or a request causes. */
constexpr milliseconds kRestartTime{1'500};
/** That a runner asks for. */
constexpr milliseconds kPause{1'500};
/** From the end of a freeze to the next one. */
constexpr milliseconds kMinAwakeTime{1'000};
constexpr milliseconds kFrozenPollInterval{5};
constexpr int kSlowFactor = 10;
constexpr int kSlots = 32;

std::uint64_t GetUnixTimeMs() {
  return static_cast<std::uint64_t>(
      base::ToMilliseconds(base::WallClock::now().time_since_epoch()));
}

net::HttpServerOptions MakeServerOptions(const net::Endpoint &listen) {
  net::HttpServerOptions options;
  options.m_listen = listen;
  options.m_treat_half_closed_as_gone = true;
  return options;
}

}  // namespace

FakeRunner::FakeRunner(FakeRunnerOptions options, const SoakProtocol *protocol,
                       Monitor *monitor)
    : m_options(std::move(options)),
      m_protocol(protocol),
      m_monitor(monitor),
      m_link(m_options.m_reported_endpoint, m_options.m_listen),
      m_server(
          MakeServerOptions(m_options.m_listen),
          [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
            Handle(request, exchange);
          }),
      m_random{m_options.m_seed} {
  for (const std::string &model : m_options.m_first_models) {
    m_models[model];
    m_on_disk.insert(model);
  }
}

base::Result<void> FakeRunner::Listen() {
  if (base::Result<void> done = m_server.Listen(); !done) return done;
  return m_link.Listen();
}

/** Starts, or restarts under a new ID. */
void FakeRunner::StartIncarnation() {
  ++m_incarnation;
  m_id = fmt::format("{}-{}", m_options.m_name, m_incarnation);
  m_start_time_ms = std::max(GetUnixTimeMs(), m_start_time_ms + 1);
  m_report_number = 0;
  m_accepted_order_count = 0;
  m_is_busy = false;
  m_is_leaving = false;
  m_says_leaving = false;
  m_is_up = true;
  m_link.m_state.m_is_refusing = false;
}

void FakeRunner::Run() {
  StartIncarnation();
  boost::fibers::fiber server([this] { m_server.Serve(); });
  boost::fibers::fiber link([this] { m_link.Serve(); });
  base::TimePoint next = Clock::now();
  while (!m_is_stopped) {
    if (m_is_up && !m_is_frozen && Clock::now() >= next) {
      (void)Report(m_is_leaving ? gen::UPSTREAM_LEAVING : gen::UPSTREAM_READY);
      next = Clock::now() + kReportInterval;
    }
    net::SleepFor(milliseconds(20));
  }
  m_link.Stop();
  m_server.Stop();
  link.join();
  server.join();
  while (m_background_fibers > 0) net::SleepFor(milliseconds(5));
}

void FakeRunner::Stop() { m_is_stopped = true; }

void FakeRunner::Crash(milliseconds downtime) {
  if (!m_is_up || m_is_leaving) return;
  m_is_up = false;
  m_link.m_state.m_is_refusing = true;
  m_link.Reset();
  m_models.clear();
  ++m_background_fibers;
  boost::fibers::fiber([this, downtime] {
    net::SleepFor(downtime);
    if (!m_is_stopped) StartIncarnation();
    --m_background_fibers;
  }).detach();
}

void FakeRunner::Freeze(milliseconds duration) {
  if (!m_is_up || m_is_leaving || m_is_frozen) return;
  if (Clock::now() < m_may_freeze_at) return;
  ++m_monitor->m_counts["freezes"];
  LinkState &link = m_link.m_state;
  m_is_frozen = true;
  link.m_holds_forward_bytes = true;
  link.m_holds_backward_bytes = true;
  net::SleepFor(duration);
  link.m_holds_forward_bytes = false;
  link.m_holds_backward_bytes = false;
  m_is_frozen = false;
  m_may_freeze_at = Clock::now() + kMinAwakeTime;
}

void FakeRunner::SleepAwake(milliseconds time) const {
  net::SleepFor(time);
  while (m_is_frozen && !m_is_stopped) net::SleepFor(kFrozenPollInterval);
}

void FakeRunner::Leave(milliseconds drain) {
  if (!m_is_up || m_is_leaving) return;
  m_is_leaving = true;
  ++m_background_fibers;
  boost::fibers::fiber([this, drain] {
    std::string id = m_id;
    std::uint64_t incarnation = m_incarnation;
    bool is_acknowledged = false;
    for (int i = 0;
         i < 5 && !is_acknowledged && IsCurrentIncarnation(incarnation); ++i) {
      is_acknowledged = Report(gen::UPSTREAM_LEAVING);
    }
    if (is_acknowledged) m_monitor->RecordLeaving(id, Clock::now());
    base::TimePoint end = Clock::now() + drain + kServeAfterDrain;
    while (IsCurrentIncarnation(incarnation) && Clock::now() < end) {
      net::SleepFor(milliseconds(20));
    }
    while (IsCurrentIncarnation(incarnation) && m_running_requests > 0)
      net::SleepFor(milliseconds(20));
    m_is_leaving = false;
    Crash(milliseconds(2'500));
    --m_background_fibers;
  }).detach();
}

void FakeRunner::LeaveSilently(milliseconds drain) {
  if (!m_is_up || m_is_leaving || m_says_leaving) return;
  m_says_leaving = true;
  ++m_background_fibers;
  boost::fibers::fiber([this, drain] {
    std::uint64_t incarnation = m_incarnation;
    net::SleepFor(2 * drain);
    if (IsCurrentIncarnation(incarnation)) {
      // Entry hosts without an answer from it don't know, so this is a crash.
      m_monitor->RecordUpstreamDisturbance(Clock::now() + kRestartTime);
      Crash(kRestartTime);
    }
    --m_background_fibers;
  }).detach();
}

gen::UpstreamReport FakeRunner::MakeReport(gen::UpstreamState state) {
  gen::UpstreamReport report;
  report.set_id(m_id);
  report.set_born_ms(m_start_time_ms);
  report.set_report_number(++m_report_number);
  report.set_service(m_options.m_service);
  report.set_address(m_options.m_reported_endpoint.ToString());
  report.set_domain(m_options.m_domain);
  report.set_state(state);
  report.set_slots(kSlots);
  for (const auto &[name, held] : m_models) {
    if (held.m_is_loading) continue;
    gen::ResidentModel *model = report.add_models();
    model->set_name(name);
    for (const std::string &adapter : held.m_adapters) {
      model->add_adapters(adapter);
    }
  }
  for (const std::string &model : m_on_disk) report.add_on_disk(model);
  return report;
}

/** Reports to any control host. @return whether one acknowledged it */
bool FakeRunner::Report(gen::UpstreamState state) {
  net::HttpRequest request = m_protocol->m_encode_report(MakeReport(state));
  auto count = m_options.m_control_endpoints.size();
  std::size_t first = NextRandomBelow(&m_random, count);
  for (std::size_t i = 0; i < count; ++i) {
    const net::Endpoint &host =
        m_options.m_control_endpoints[(first + i) % count];
    auto answer =
        m_client.Fetch(host, request, Clock::now() + kReportTimeout, 4'096);
    if (answer && answer->m_status == 200) return true;
    m_client.CloseIdle(host);
  }
  return false;
}

bool FakeRunner::IsLoaded(const std::string &target) const {
  std::size_t slash = target.find('/');
  auto found = m_models.find(target.substr(0, slash));
  if (found == m_models.end() || found->second.m_is_loading) return false;
  return slash == std::string::npos ||
         found->second.m_adapters.contains(target.substr(slash + 1));
}

void FakeRunner::Handle(const net::HttpRequest &request,
                        net::HttpExchange &exchange) {
  if (m_is_frozen) SleepAwake(kFrozenPollInterval);
  if (!m_is_up) {
    exchange.Abort();
    return;
  }
  if (m_protocol->m_is_status_query(request)) {
    fleet_control::RunnerStatus status;
    status.m_start_time_ms = m_start_time_ms;
    status.m_accepted_order_count = m_accepted_order_count;
    status.m_is_busy = m_is_busy;
    gen::UpstreamReport report = MakeReport(gen::UPSTREAM_READY);
    status.m_models.assign(report.models().begin(), report.models().end());
    (void)exchange.Respond(m_protocol->m_encode_status(status));
    return;
  }
  if (auto order = m_protocol->m_decode_order(request)) {
    HandleOrder(*order, exchange);
    return;
  }
  HandleRequest(request, exchange);
}

void FakeRunner::HandleOrder(const fleet_control::RunnerOrder &order,
                             net::HttpExchange &exchange) {
  std::uint64_t incarnation = m_incarnation;
  if (!m_injected_faults.m_delays_orders) {
    OrderOutcome outcome = order.m_upstream == m_id
                               ? ExecuteOrder(order)
                               : OrderOutcome::kOtherRunner;
    (void)exchange.Respond(m_protocol->m_encode_order_answer(outcome));
    return;
  }
  exchange.Abort();
  ++m_background_fibers;
  boost::fibers::fiber([this, order, incarnation] {
    SleepAwake(kOrderDelay);
    if (IsCurrentIncarnation(incarnation) && order.m_upstream == m_id)
      (void)ExecuteOrder(order);
    --m_background_fibers;
  }).detach();
}

Monitor::RunnerUsage FakeRunner::ComputeUsage(
    const fleet_control::RunnerOrder &order) const {
  Monitor::RunnerUsage usage;
  for (const auto &[name, held] : m_models) {
    usage.m_weight_mb += m_options.m_model_mb;
    usage.m_adapters += held.m_adapters.size();
  }
  if (!order.m_is_load) return usage;
  if (order.m_adapter.empty()) {
    usage.m_weight_mb += m_options.m_model_mb;
  } else {
    ++usage.m_adapters;
  }
  usage.m_weight_mb +=
      static_cast<double>(usage.m_adapters * m_options.m_adapter_mb);
  return usage;
}

OrderOutcome FakeRunner::ExecuteOrder(const fleet_control::RunnerOrder &order) {
  if (m_is_busy || order.m_expected_order_count != m_accepted_order_count) {
    return OrderOutcome::kConflict;
  }
  auto held = m_models.find(order.m_model);
  bool is_held = held != m_models.end();
  bool is_adapter = !order.m_adapter.empty();
  if (is_adapter && !is_held) return OrderOutcome::kRefused;
  bool has_target =
      is_adapter ? held->second.m_adapters.contains(order.m_adapter) : is_held;
  if (has_target == order.m_is_load) return OrderOutcome::kAlreadyHolds;
  ++m_accepted_order_count;
  bool is_from_store =
      order.m_is_load && !is_adapter && !m_on_disk.contains(order.m_model);
  m_monitor->RecordAcceptedOrder(m_id, order, ComputeUsage(order),
                                 is_from_store);
  if (is_adapter && !order.m_is_load) {
    held->second.m_adapters.erase(order.m_adapter);
    return OrderOutcome::kAlreadyHolds;
  }
  if (is_adapter) {
    // Added at once: a runner of the platform loads an adapter within
    // milliseconds, and answers "not run" to requests that arrive before that.
    held->second.m_adapters.insert(order.m_adapter);
    return OrderOutcome::kStarted;
  }
  m_is_busy = true;
  if (order.m_is_load) {
    m_models[order.m_model].m_is_loading = true;
    ScheduleLoadEnd(order.m_model,
                    is_from_store ? kStoreLoadTime : kDiskLoadTime);
    return OrderOutcome::kStarted;
  }
  m_models.erase(held);
  ++m_background_fibers;
  boost::fibers::fiber([this, incarnation = m_incarnation] {
    SleepAwake(kUnloadTime);
    if (IsCurrentIncarnation(incarnation)) {
      m_is_busy = false;
      (void)Report(gen::UPSTREAM_READY);
    }
    --m_background_fibers;
  }).detach();
  return OrderOutcome::kStarted;
}

/** Marks a model as loaded after its load time, and reports it. */
void FakeRunner::ScheduleLoadEnd(const std::string &model, milliseconds time) {
  ++m_background_fibers;
  boost::fibers::fiber([this, model, time, incarnation = m_incarnation] {
    SleepAwake(time);
    if (IsCurrentIncarnation(incarnation)) {
      m_is_busy = false;
      m_models[model].m_is_loading = false;
      m_on_disk.insert(model);
      (void)Report(m_is_leaving ? gen::UPSTREAM_LEAVING : gen::UPSTREAM_READY);
    }
    --m_background_fibers;
  }).detach();
}

void FakeRunner::AddLeaving(const ForwardedRequest &forwarded,
                            net::HttpHeaders *headers) {
  if (!m_says_leaving) return;
  m_protocol->m_add_leaving(headers);
  m_monitor->RecordSaidLeaving(m_id, forwarded.m_id);
}

void FakeRunner::Refuse(const ForwardedRequest &forwarded, bool is_misdirected,
                        net::HttpExchange &exchange) {
  net::HttpResponse refusal =
      m_protocol->m_make_not_run_answer(forwarded.m_id, m_id, is_misdirected);
  if (m_injected_faults.m_asks_for_pause && !is_misdirected) {
    m_protocol->m_add_pause(kPause, &refusal.m_headers);
    m_monitor->RecordPause(m_id, forwarded.m_id, kPause);
  }
  (void)exchange.Respond(refusal);
}

void FakeRunner::HandleRequest(const net::HttpRequest &request,
                               net::HttpExchange &exchange) {
  ForwardedRequest forwarded = m_protocol->m_decode_forwarded(request);
  bool is_other_upstream = !forwarded.m_expected_upstream.empty() &&
                           forwarded.m_expected_upstream != m_id;
  bool is_missing = !forwarded.m_model.empty() && !IsLoaded(forwarded.m_model);
  if (!is_other_upstream) m_monitor->RecordArrival(m_id, forwarded.m_id);
  if (is_other_upstream || is_missing || m_running_requests >= kSlots ||
      m_injected_faults.m_asks_for_pause) {
    Refuse(forwarded, is_other_upstream || is_missing, exchange);
    return;
  }
  m_monitor->RecordForwardedRequest(m_id, forwarded.m_id);
  const std::vector<std::string> &parts = forwarded.m_prompt_parts;
  bool is_crashing = std::find(parts.begin(), parts.end(),
                               Monitor::kCrashingPart) != parts.end();
  if (is_crashing) m_monitor->RecordCrashingPrompt(forwarded.m_id);
  std::string signature =
      fmt::format("{}.{}", m_id, m_monitor->m_counts["runs"]);
  if (!m_monitor->RecordExecution(m_options.m_service, signature, forwarded,
                                  request)) {
    return;
  }
  std::uint64_t incarnation = m_incarnation;
  ++m_running_requests;
  SleepAwake(kPlainExecutionTime *
             (m_injected_faults.m_is_slow ? kSlowFactor : 1));
  if (!IsCurrentIncarnation(incarnation) || m_injected_faults.m_loses_answers) {
    exchange.Abort();
  } else if (is_crashing && !m_is_leaving) {
    m_monitor->RecordPromptCrash();
    Crash(kRestartTime);
    exchange.Abort();
  } else if (!m_is_leaving && m_monitor->TakeCrash(forwarded.m_id)) {
    m_monitor->RecordUpstreamDisturbance(Clock::now() + kRestartTime);
    Crash(kRestartTime);
    exchange.Abort();
  } else if (forwarded.m_model.empty()) {
    AnswerPlain(forwarded, signature, exchange);
  } else {
    AnswerStream(forwarded, signature, exchange);
  }
  --m_running_requests;
}

void FakeRunner::AnswerPlain(const ForwardedRequest &forwarded,
                             const std::string &signature,
                             net::HttpExchange &exchange) {
  net::HttpResponse response;
  std::string request_id =
      m_injected_faults.m_garbles_answers ? "nobody" : forwarded.m_id;
  response.m_headers = m_protocol->m_make_answer_headers(request_id, signature);
  AddLeaving(forwarded, &response.m_headers);
  response.m_body = Monitor::MakeAnswer(request_id, signature);
  (void)exchange.Respond(response);
}

void FakeRunner::AnswerStream(const ForwardedRequest &forwarded,
                              const std::string &signature,
                              net::HttpExchange &exchange) {
  std::uint64_t incarnation = m_incarnation;
  net::HttpHeaders headers =
      m_protocol->m_make_answer_headers(forwarded.m_id, signature);
  headers.Add("Content-Type", "text/event-stream");
  AddLeaving(forwarded, &headers);
  if (!exchange.BeginStream(200, headers)) return;
  auto first = static_cast<int>(forwarded.m_last_event_id.value_or(0)) + 1;
  for (int event = first; event <= Monitor::kEventsPerStream; ++event) {
    if (!IsCurrentIncarnation(incarnation) ||
        m_injected_faults.m_loses_answers ||
        m_injected_faults.m_garbles_answers) {
      exchange.Abort();
      return;
    }
    std::string text = Monitor::MakeEvent(forwarded.m_id, event);
    if (!exchange.WriteStream(text)) return;
    SleepAwake(kEventInterval *
               (m_injected_faults.m_is_slow ? kSlowFactor : 1));
  }
  (void)exchange.EndStream();
}

}  // namespace wasabiwind::soak
