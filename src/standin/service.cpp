/** @file service.cpp Test double of a service. */

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "standin/announce_base.h"
#include "standin/json_func.h"
#include "standin/service_base.h"

namespace wasabiwind::standin {

namespace json = boost::json;

namespace {

constexpr int kCrashExitCode = 137;
constexpr base::seconds kHangTime{600};
/** Keys whose executions are counted; tests use far fewer. */
constexpr std::size_t kMaxKeys = 200'000;

struct FaultName {
  const char *m_name;
  ServiceFault m_fault;
};

constexpr std::array<FaultName, 7> kFaultNames = {{
    {"none", ServiceFault::kNone},
    {"fail_before", ServiceFault::kFailBefore},
    {"fail_after", ServiceFault::kFailAfter},
    {"close_before", ServiceFault::kCloseBefore},
    {"close_after", ServiceFault::kCloseAfter},
    {"hang_after", ServiceFault::kHangAfter},
    {"execute_twice", ServiceFault::kExecuteTwice},
}};

void RespondJson(net::HttpExchange &exchange, int status,
                 const json::object &body) {
  (void)exchange.Respond(net::MakeJsonResponse(status, json::serialize(body)));
}

}  // namespace

Service::Service(const gen::ServiceProgramSettings &settings,
                 EventRecord *record)
    : m_settings(settings),
      m_record(record),
      m_incarnation(MakeIncarnation(settings.upstream())),
      m_delay(settings.service().delay_ms()) {
  m_record->Add("start", {{"upstream", settings.node().name()},
                          {"incarnation", m_incarnation}});
}

/** @return the fault to inject into this request. */
ServiceFault Service::ConsumeFault() {
  if (m_fault_count <= 0) return ServiceFault::kNone;
  --m_fault_count;
  return m_fault;
}

/** @return the number of executions of the key, including this one. */
int Service::Execute(const net::HttpRequest &request, const std::string &key) {
  ++m_execution_count;
  std::string path(request.Path());
  m_record->Add("execute",
                {{"key", key},
                 {"method", request.m_method},
                 {"path", path},
                 {"request_id", request.m_headers.Get("X-Request-Id")}});
  if (key.empty()) return 1;
  if (m_keys.size() >= kMaxKeys && !m_keys.contains(key)) return 1;
  KeyExecutions &executions = m_keys[key];
  if (executions.m_count == 0) {
    executions.m_method = request.m_method;
    executions.m_path = path;
    executions.m_first_us = GetWallMicroseconds();
  }
  return ++executions.m_count;
}

void Service::Handle(const net::HttpRequest &request,
                     net::HttpExchange &exchange) {
  if (HandleStandin(request, exchange)) return;
  ServiceFault fault = ConsumeFault();
  if (fault == ServiceFault::kFailBefore) {
    RespondJson(exchange, 500, {{"error", "planted failure"}});
    return;
  }
  if (fault == ServiceFault::kCloseBefore) {
    exchange.Abort();
    return;
  }
  ++m_running;
  net::SleepFor(m_delay);
  std::string key = request.m_headers.Get("Idempotency-Key");
  int count = Execute(request, key);
  if (fault == ServiceFault::kExecuteTwice) count = Execute(request, key);
  --m_running;
  if (fault == ServiceFault::kHangAfter) {
    base::TimePoint end = base::Clock::now() + kHangTime;
    while (!m_stopped && base::Clock::now() < end) {
      net::SleepFor(base::milliseconds(20));
    }
  }
  if (fault == ServiceFault::kCloseAfter || fault == ServiceFault::kHangAfter) {
    exchange.Abort();
    return;
  }
  if (fault == ServiceFault::kFailAfter) {
    RespondJson(exchange, 500, {{"error", "planted failure"}});
    return;
  }
  RespondJson(exchange, 200,
              {{"service", m_settings.service().service()},
               {"path", std::string(request.Path())},
               {"key", key},
               {"execution", count},
               {"received", request.m_body}});
}

bool Service::HandleStandin(const net::HttpRequest &request,
                            net::HttpExchange &exchange) {
  if (request.Path() == "/standin/v1/executions") {
    HandleExecutions(exchange);
    return true;
  }
  if (request.Path() == "/standin/v1/fault" && request.m_method == "POST") {
    HandleFault(request, exchange);
    return true;
  }
  return false;
}

void Service::HandleExecutions(net::HttpExchange &exchange) {
  json::array list;
  list.reserve(m_keys.size());
  for (const auto &[key, executions] : m_keys) {
    list.push_back(json::object{{"key", key},
                                {"count", executions.m_count},
                                {"method", executions.m_method},
                                {"path", executions.m_path},
                                {"first_us", executions.m_first_us}});
  }
  RespondJson(exchange, 200,
              {{"incarnation", m_incarnation},
               {"total", m_execution_count},
               {"executions", std::move(list)}});
}

void Service::HandleFault(const net::HttpRequest &request,
                          net::HttpExchange &exchange) {
  base::Result<json::object> body = ParseObject(request.m_body);
  if (!body) {
    RespondJson(exchange, 400, {{"error", body.error().ToString()}});
    return;
  }
  base::LogEvent(base::LogLevel::kWarn, "fault_planted",
                 {{"fault", request.m_body}});
  if (GetBool(*body, "crash")) std::_Exit(kCrashExitCode);
  m_delay = base::milliseconds(GetInteger(*body, "delay_ms", m_delay.count()));
  std::string mode = GetString(*body, "mode", "none");
  for (const FaultName &name : kFaultNames) {
    if (mode != name.m_name) continue;
    m_fault = name.m_fault;
    m_fault_count = GetInteger(*body, "count", 1);
    RespondJson(exchange, 200, {{"planted", true}});
    return;
  }
  RespondJson(exchange, 400, {{"error", "unknown mode " + mode}});
}

json::object Service::MakeAnnouncement(const net::Endpoint &address) {
  return {{"upstream", m_settings.node().name()},
          {"kind", "service"},
          {"service", m_settings.service().service()},
          {"address", address.ToString()},
          {"incarnation", m_incarnation},
          {"region", m_settings.node().region()},
          {"domain", m_settings.node().domain()},
          {"accelerators", 0},
          {"memory_bytes", 0},
          {"slots", m_settings.service().slots()},
          {"loaded", json::array()},
          {"cached", json::array()},
          {"load",
           {{"running", m_running},
            {"waiting", 0},
            {"kv_used", 0.0},
            {"age_ms", 0}}}};
}

}  // namespace wasabiwind::standin
