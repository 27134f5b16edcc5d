/** @file engine_interface.cpp HTTP interface of the engine test double. */

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdlib>

#include "base/log_func.h"
#include "standin/engine_base.h"
#include "standin/json_func.h"

namespace wasabiwind::standin {

namespace json = boost::json;

namespace {

/** Most cache events in one response. */
constexpr std::size_t kMaxListedEvents = 1000;
/** Exit code of an injected crash: that which a shell reports for SIGKILL. */
constexpr int kCrashExitCode = 137;

void RespondJson(net::HttpExchange &exchange, int status,
                 const json::object &body) {
  (void)exchange.Respond(
      net::MakeJsonResponse(status, boost::json::serialize(body)));
}

/** Responds with a refusal in the format of entry hosts. */
void Refuse(net::HttpExchange &exchange, int status, const char *reason,
            const std::string &message) {
  json::object error;
  error["type"] = "refusal";
  error["reason"] = reason;
  error["message"] = message;
  error["ran"] = "not_run";
  json::object body;
  body["error"] = std::move(error);
  RespondJson(exchange, status, body);
}

json::array MakeFenceArray(const FencingToken &fence) {
  json::array array;
  array.push_back(fence.m_term);
  array.push_back(fence.m_sequence);
  return array;
}

/** Reads "fence": [term, sequence]. @return false if it is malformed */
bool ReadFence(const json::object &body, FencingToken *fence) {
  const json::array *items = FindArray(body, "fence");
  if (items == nullptr || items->size() != 2) return false;
  std::array<std::uint64_t, 2> numbers{};
  for (std::size_t i = 0; i < 2; ++i) {
    json::error_code error;
    numbers[i] = (*items)[i].to_number<std::uint64_t>(error);
    if (error) return false;
  }
  *fence = FencingToken{numbers[0], numbers[1]};
  return true;
}

base::Result<Order> ReadOrder(const std::string &text) {
  base::Result<json::object> body = ParseObject(text);
  if (!body) return tl::unexpected(body.error());
  Order order;
  order.m_order_id = GetString(*body, "order_id");
  order.m_target = GetString(*body, "target");
  order.m_bytes = GetInteger(*body, "bytes");
  std::string action = GetString(*body, "action");
  if (action == "load") order.m_action = OrderAction::kLoad;
  if (action == "unload") order.m_action = OrderAction::kUnload;
  if (action == "role") order.m_action = OrderAction::kRole;
  bool is_valid = !order.m_order_id.empty() && !order.m_target.empty() &&
                  order.m_action != OrderAction::kEnd && order.m_bytes >= 0 &&
                  ReadFence(*body, &order.m_fence);
  if (is_valid) return order;
  return base::MakeError(
      base::ErrorKind::kInvalidArgument, "the order is incomplete",
      "send order_id, fence [term, seq], action load, unload or role, target "
      "and bytes");
}

int ReadPriority(const json::object &body, const net::HttpHeaders &headers) {
  std::string name = GetString(body, "priority", headers.Get("X-Priority"));
  if (name == "interactive") return 0;
  if (name == "batch") return 2;
  return 1;
}

/** @return N of the query parameter after=N, or 0. */
std::uint64_t ReadAfterParameter(const std::string &target) {
  constexpr std::string_view kName = "after=";
  std::size_t found = target.find(kName);
  std::uint64_t after = 0;
  if (found == std::string::npos) return after;
  std::from_chars(target.data() + found + kName.size(),
                  target.data() + target.size(), after);
  return after;
}

}  // namespace

void Engine::Handle(const net::HttpRequest &request,
                    net::HttpExchange &exchange) {
  std::string_view path = request.Path();
  if (HandleStandin(request, exchange)) return;
  if (path == "/v1/chat/completions" && request.m_method == "POST") {
    HandleCompletion(request, /*is_chat=*/true, exchange);
  } else if (path == "/v1/completions" && request.m_method == "POST") {
    HandleCompletion(request, /*is_chat=*/false, exchange);
  } else if (path == "/v1/cancel" && request.m_method == "POST") {
    HandleCancel(request, exchange);
  } else if (path == "/admin/v1/orders" && request.m_method == "POST") {
    HandleOrder(request, exchange);
  } else if (path == "/admin/v1/state") {
    HandleState(exchange);
  } else if (path == "/admin/v1/events") {
    HandleEvents(request, exchange);
  } else if (path == "/healthz") {
    (void)exchange.Respond({});
  } else {
    Refuse(exchange, 404, "bad_request", "unknown path");
  }
}

bool Engine::HandleStandin(const net::HttpRequest &request,
                           net::HttpExchange &exchange) {
  if (request.Path() == "/standin/v1/fault" && request.m_method == "POST") {
    HandleFault(request, exchange);
    return true;
  }
  if (request.Path() == "/standin/v1/record") {
    HandleRecord(exchange);
    return true;
  }
  return false;
}

void Engine::HandleCompletion(const net::HttpRequest &request, bool is_chat,
                              net::HttpExchange &exchange) {
  base::Result<json::object> body = ParseObject(request.m_body);
  if (!body) {
    Refuse(exchange, 400, "bad_request", body.error().ToString());
    return;
  }
  base::Result<AnswerPlan> plan = PlanAnswer(*body);
  if (!plan) {
    Refuse(exchange, 400, "bad_request", plan.error().ToString());
    return;
  }
  EngineJob job;
  job.m_plan = std::move(*plan);
  job.m_target = GetString(*body, "model");
  job.m_request_id =
      GetString(*body, "request_id", request.m_headers.Get("X-Request-Id"));
  if (job.m_request_id.empty()) {
    job.m_request_id = fmt::format("engine-{:016x}", NextRandom(&m_random));
  }
  job.m_first_token = static_cast<int>(std::clamp<std::int64_t>(
      GetInteger(*body, "resume_from_token"), 0, job.m_plan.m_output_tokens));
  job.m_priority = ReadPriority(*body, request.m_headers);
  job.m_id_json = json::serialize(json::value(job.m_request_id));
  job.m_model_json = json::serialize(json::value(job.m_target));
  job.m_is_chat = is_chat;
  job.m_is_stream = GetBool(*body, "stream");
  job.m_created_s = GetWallMicroseconds() / 1'000'000;
  if (!IsServable(m_ledger, job.m_target)) {
    Refuse(exchange, 404, "model_not_loaded",
           fmt::format("{} isn't loaded here", job.m_target));
    return;
  }
  bool is_full = m_running >= m_settings.engine().slots() &&
                 m_waiting.size() >= static_cast<std::size_t>(
                                         m_settings.engine().queue_limit());
  if (is_full) {
    Refuse(exchange, 503, "queue_full", "too many requests wait for a slot");
    return;
  }
  AcquireTarget(&m_ledger, job.m_target);
  auto position = m_jobs.emplace(job.m_request_id, &job);
  const char *outcome = "cancelled";
  if (WaitForSlot(&job)) {
    m_record->Add("run_begin", {{"request_id", job.m_request_id},
                                {"target", job.m_target},
                                {"first_token", job.m_first_token}});
    outcome = RunJob(&job, exchange);
    m_record->Add("run_end", {{"request_id", job.m_request_id},
                              {"target", job.m_target},
                              {"outcome", outcome}});
    ReleaseSlot(&job);
  } else {
    Refuse(exchange, 409, "cancelled", "the request was cancelled");
  }
  m_jobs.erase(position);
  RecordUnloads(ReleaseTarget(&m_ledger, job.m_target));
}

void Engine::HandleCancel(const net::HttpRequest &request,
                          net::HttpExchange &exchange) {
  base::Result<json::object> body = ParseObject(request.m_body);
  std::string id = body ? GetString(*body, "request_id") : "";
  if (id.empty()) {
    Refuse(exchange, 400, "bad_request", "request_id is missing");
    return;
  }
  auto [first, last] = m_jobs.equal_range(id);
  bool found = first != last;
  for (auto item = first; item != last; ++item) {
    item->second->m_is_cancelled = true;
    item->second->m_changed.notify_all();
  }
  RespondJson(exchange, 200, {{"cancelled", found}});
}

void Engine::HandleOrder(const net::HttpRequest &request,
                         net::HttpExchange &exchange) {
  base::Result<Order> order = ReadOrder(request.m_body);
  if (!order) {
    Refuse(exchange, 400, "bad_request", order.error().ToString());
    return;
  }
  OrderEffect effect = ApplyOrder(&m_ledger, *order);
  const char *result = GetOrderResultName(effect.m_result);
  m_record->Add("order",
                {{"order_id", order->m_order_id},
                 {"fence", MakeFenceArray(order->m_fence)},
                 {"action", GetString(*ParseObject(request.m_body), "action")},
                 {"target", order->m_target},
                 {"bytes", order->m_bytes},
                 {"result", result},
                 {"used_bytes", GetUsedBytes(m_ledger)}});
  RecordUnloads(effect.m_unloaded);
  if (effect.m_start_load) StartLoad(order->m_target, order->m_bytes);
  if (effect.m_result == OrderResult::kAccepted) {
    RespondJson(exchange, 202, {{"order_id", order->m_order_id}});
    NotifyChange();
  } else {
    RespondJson(exchange, 409,
                {{"reason", result},
                 {"highest_fence", MakeFenceArray(m_ledger.m_highest_fence)}});
  }
}

void Engine::HandleState(net::HttpExchange &exchange) {
  json::array entries;
  for (const auto &[target, entry] : m_ledger.m_targets) {
    entries.push_back(json::object{{"target", target},
                                   {"state", GetTargetStateName(entry.m_state)},
                                   {"bytes", entry.m_bytes},
                                   {"unloading", entry.m_unloading}});
  }
  RespondJson(exchange, 200,
              {{"incarnation", m_incarnation},
               {"memory_bytes", m_settings.engine().memory_bytes()},
               {"used_bytes", GetUsedBytes(m_ledger)},
               {"entries", std::move(entries)},
               {"role", m_ledger.m_role},
               {"highest_fence", MakeFenceArray(m_ledger.m_highest_fence)}});
}

void Engine::HandleEvents(const net::HttpRequest &request,
                          net::HttpExchange &exchange) {
  std::uint64_t after = ReadAfterParameter(request.m_target);
  std::int64_t published_until =
      GetWallMicroseconds() - m_settings.engine().event_delay_ms() * 1000;
  json::array events;
  for (const json::object &event : m_events) {
    if (event.at("sequence").to_number<std::uint64_t>() <= after) continue;
    if (event.at("t_us").to_number<std::int64_t>() > published_until) break;
    events.push_back(event);
    if (events.size() >= kMaxListedEvents) break;
  }
  RespondJson(exchange, 200,
              {{"incarnation", m_incarnation}, {"events", std::move(events)}});
}

void Engine::HandleRecord(net::HttpExchange &exchange) {
  RespondJson(exchange, 200,
              {{"incarnation", m_incarnation},
               {"memory_bytes", m_settings.engine().memory_bytes()},
               {"peak_bytes", m_ledger.m_peak_bytes},
               {"running", m_running},
               {"waiting", m_waiting.size()},
               {"tokens_sent", m_tokens_sent},
               {"events", m_record->List()}});
}

void Engine::HandleFault(const net::HttpRequest &request,
                         net::HttpExchange &exchange) {
  constexpr std::array kFaultNames = {
      "slow_factor",        "duration_ms",        "crash",
      "crash_after_tokens", "crash_in_load",      "fail_loads",
      "break_after_tokens", "stall_after_tokens", "skip_tokens",
      "swap_tokens",        "foreign_tokens",     "short_answers",
      "overcommit",         "silent_leave"};
  base::Result<json::object> body = ParseObject(request.m_body);
  if (!body) {
    Refuse(exchange, 400, "bad_request", body.error().ToString());
    return;
  }
  for (const auto &field : *body) {
    std::string key(field.key().data(), field.key().size());
    if (std::find(kFaultNames.begin(), kFaultNames.end(), key) ==
        kFaultNames.end()) {
      Refuse(exchange, 400, "bad_request", "unknown fault " + key);
      return;
    }
  }
  base::LogEvent(base::LogLevel::kWarn, "fault_planted",
                 {{"fault", request.m_body}});
  if (GetBool(*body, "crash")) std::_Exit(kCrashExitCode);
  if (body->contains("slow_factor")) {
    m_faults.m_slow_factor = GetNumber(*body, "slow_factor", 1.0);
    m_faults.m_slow_until =
        base::Clock::now() +
        base::milliseconds(GetInteger(*body, "duration_ms", 3'600'000));
  }
  auto count = [&body](const char *key, int current) {
    return static_cast<int>(GetInteger(*body, key, current));
  };
  EngineFaults &faults = m_faults;
  faults.m_crash_after_tokens =
      count("crash_after_tokens", faults.m_crash_after_tokens);
  faults.m_break_after_tokens =
      count("break_after_tokens", faults.m_break_after_tokens);
  faults.m_stall_after_tokens =
      count("stall_after_tokens", faults.m_stall_after_tokens);
  faults.m_fail_loads = count("fail_loads", faults.m_fail_loads);
  faults.m_crash_in_load =
      GetBool(*body, "crash_in_load", faults.m_crash_in_load);
  faults.m_skip_tokens = GetBool(*body, "skip_tokens", faults.m_skip_tokens);
  faults.m_swap_tokens = GetBool(*body, "swap_tokens", faults.m_swap_tokens);
  faults.m_foreign_tokens =
      GetBool(*body, "foreign_tokens", faults.m_foreign_tokens);
  faults.m_short_answers =
      GetBool(*body, "short_answers", faults.m_short_answers);
  faults.m_silent_leave = GetBool(*body, "silent_leave", faults.m_silent_leave);
  m_ledger.m_allow_overcommit =
      GetBool(*body, "overcommit", m_ledger.m_allow_overcommit);
  RespondJson(exchange, 200, {{"planted", true}});
}

json::object Engine::MakeAnnouncement(const net::Endpoint &address) {
  json::array loaded;
  for (const auto &[target, entry] : m_ledger.m_targets) {
    if (!IsServable(m_ledger, target)) continue;
    loaded.push_back(
        json::object{{"target", target}, {"bytes", entry.m_bytes}});
  }
  json::array cached;
  for (const std::string &target : m_memory_cache) {
    cached.push_back(json::object{{"target", target}, {"tier", "memory"}});
  }
  for (const std::string &target : m_disk_cache) {
    cached.push_back(json::object{{"target", target}, {"tier", "disk"}});
  }
  SampleLoad();
  const LoadSample &sample = m_load_samples.front();
  auto age = std::chrono::duration_cast<base::milliseconds>(base::Clock::now() -
                                                            sample.m_time);
  return {{"upstream", m_settings.node().name()},
          {"kind", "engine"},
          {"service", ""},
          {"address", address.ToString()},
          {"incarnation", m_incarnation},
          {"region", m_settings.node().region()},
          {"domain", m_settings.node().domain()},
          {"accelerators", m_settings.engine().accelerators()},
          {"memory_bytes", m_settings.engine().memory_bytes()},
          {"slots", m_settings.engine().slots()},
          {"loaded", std::move(loaded)},
          {"cached", std::move(cached)},
          {"load",
           {{"running", sample.m_running},
            {"waiting", sample.m_waiting},
            {"kv_used", sample.m_kv_used},
            {"age_ms", age.count()}}}};
}

}  // namespace wasabiwind::standin
