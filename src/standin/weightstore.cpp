/** @file weightstore.cpp Test double of the weight store. */

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "standin/json_func.h"
#include "standin/weightstore_base.h"

namespace wasabiwind::standin {

namespace json = boost::json;

namespace {

/** Interval at which transfers adapt to the number of transfers. */
constexpr base::milliseconds kTransferStep{10};

void RespondJson(net::HttpExchange &exchange, int status,
                 const json::object &body) {
  (void)exchange.Respond(net::MakeJsonResponse(status, json::serialize(body)));
}

}  // namespace

double GetStoreSlowdown(const gen::WeightStoreSettings &settings,
                        const RunningTransfers &transfers, bool is_adapter) {
  double running = is_adapter ? transfers.m_adapters : transfers.m_models;
  double full =
      is_adapter ? settings.full_speed_adapters() : settings.full_speed_loads();
  return std::max(1.0, running / full);
}

WeightStore::WeightStore(const gen::WeightStoreSettings &settings,
                         EventRecord *record)
    : m_settings(settings), m_record(record) {}

void WeightStore::Handle(const net::HttpRequest &request,
                         net::HttpExchange &exchange) {
  if (HandleStandin(request, exchange)) return;
  if (request.Path() == "/v1/fetch" && request.m_method == "POST") {
    HandleFetch(request, exchange);
    return;
  }
  RespondJson(exchange, 404, {{"error", "unknown path; use /v1/fetch"}});
}

bool WeightStore::HandleStandin(const net::HttpRequest &request,
                                net::HttpExchange &exchange) {
  if (request.Path() == "/standin/v1/transfers") {
    HandleTransfers(exchange);
    return true;
  }
  if (request.Path() == "/standin/v1/fault" && request.m_method == "POST") {
    HandleFault(request, exchange);
    return true;
  }
  return false;
}

void WeightStore::HandleFetch(const net::HttpRequest &request,
                              net::HttpExchange &exchange) {
  base::Result<json::object> body = ParseObject(request.m_body);
  std::string target = body ? GetString(*body, "target") : "";
  std::int64_t bytes = body ? GetInteger(*body, "bytes", -1) : -1;
  std::string kind = body ? GetString(*body, "kind") : "";
  bool is_adapter = kind == "adapter";
  if (target.empty() || bytes < 0 || (!is_adapter && kind != "model")) {
    RespondJson(exchange, 400,
                {{"error", "send target, bytes and kind model or adapter"}});
    return;
  }
  if (m_fail_next > 0) {
    --m_fail_next;
    RespondJson(exchange, 500, {{"error", "planted failure"}});
    return;
  }
  if (m_waiting >= m_settings.queue_limit()) {
    RespondJson(exchange, 503, {{"error", "too many transfers wait"}});
    return;
  }
  if (!is_adapter) WaitForStart();
  m_record->Add("transfer_begin",
                {{"target", target}, {"kind", kind}, {"bytes", bytes}});
  base::Duration time = base::milliseconds(m_settings.adapter_ms());
  if (!is_adapter) {
    time = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(
            static_cast<double>(bytes) /
            static_cast<double>(m_settings.model_bytes_per_s())));
  }
  Transfer(time, is_adapter);
  ++m_completed;
  m_record->Add("transfer_end", {{"target", target}});
  RespondJson(exchange, 200, {{"target", target}, {"bytes", bytes}});
}

/** Limits the rate at which model transfers start to `loads_per_s`. */
void WeightStore::WaitForStart() {
  base::TimePoint now = base::Clock::now();
  base::TimePoint start = std::max(now, m_next_start);
  m_next_start =
      start +
      std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(1.0 / m_settings.loads_per_s()));
  ++m_waiting;
  if (start > now) net::SleepFor(start - now);
  --m_waiting;
}

void WeightStore::Transfer(base::Duration full_speed_time, bool is_adapter) {
  int *running = is_adapter ? &m_running.m_adapters : &m_running.m_models;
  ++*running;
  m_peak.m_models = std::max(m_peak.m_models, m_running.m_models);
  m_peak.m_adapters = std::max(m_peak.m_adapters, m_running.m_adapters);
  std::chrono::duration<double> rest = full_speed_time;
  while (rest.count() > 0.0) {
    double slowdown =
        GetStoreSlowdown(m_settings, m_running, is_adapter) * GetSlowFactor();
    auto step = std::min<base::Duration>(
        kTransferStep,
        std::chrono::duration_cast<base::Duration>(rest * slowdown) +
            std::chrono::microseconds(1));
    base::TimePoint before = base::Clock::now();
    net::SleepFor(step);
    rest -=
        std::chrono::duration<double>(base::Clock::now() - before) / slowdown;
  }
  --*running;
}

double WeightStore::GetSlowFactor() const {
  return base::Clock::now() < m_slow_until ? m_slow_factor : 1.0;
}

void WeightStore::HandleTransfers(net::HttpExchange &exchange) {
  RespondJson(exchange, 200,
              {{"running_models", m_running.m_models},
               {"running_adapters", m_running.m_adapters},
               {"waiting", m_waiting},
               {"peak_models", m_peak.m_models},
               {"peak_adapters", m_peak.m_adapters},
               {"completed", m_completed},
               {"events", m_record->List()}});
}

void WeightStore::HandleFault(const net::HttpRequest &request,
                              net::HttpExchange &exchange) {
  base::Result<json::object> body = ParseObject(request.m_body);
  if (!body) {
    RespondJson(exchange, 400, {{"error", body.error().ToString()}});
    return;
  }
  base::LogEvent(base::LogLevel::kWarn, "fault_planted",
                 {{"fault", request.m_body}});
  m_fail_next = GetInteger(*body, "fail_next", m_fail_next);
  if (body->contains("slow_factor")) {
    m_slow_factor = std::max(1.0, GetNumber(*body, "slow_factor", 1.0));
    m_slow_until = base::Clock::now() + base::milliseconds(GetInteger(
                                            *body, "duration_ms", 3'600'000));
  }
  RespondJson(exchange, 200, {{"planted", true}});
}

}  // namespace wasabiwind::standin
