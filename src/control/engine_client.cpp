/** @file engine_client.cpp Orders and state queries to engines over HTTP. */

#include "control/engine_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiwind::control {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxAnswerBytes = 1 << 20;

std::string GetText(const json::object &object, const char *key) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return "";
  return std::string(value->as_string().c_str());
}

std::optional<std::uint64_t> GetNumber(const json::object &object,
                                       const char *key) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr) return std::nullopt;
  json::error_code code;
  auto number = value->to_number<std::uint64_t>(code);
  if (code) return std::nullopt;
  return number;
}

std::optional<json::object> ParseObject(const std::string &body) {
  json::error_code code;
  json::value value = json::parse(body, code);
  if (code || !value.is_object()) return std::nullopt;
  return std::move(value.as_object());
}

placement::TargetState ParseTargetState(const std::string &name) {
  if (name == "loading") return placement::TargetState::kLoading;
  if (name == "loaded") return placement::TargetState::kLoaded;
  return placement::TargetState::kFailed;
}

std::string MakeOrderBody(const placement::Order &order) {
  json::object body;
  body["order_id"] = order.m_order_id;
  body["fence"] = json::array{order.m_fence.m_term, order.m_fence.m_sequence};
  bool is_load = order.m_action == placement::OrderAction::kLoad;
  body["action"] = is_load ? "load" : "unload";
  body["target"] = order.m_target;
  body["bytes"] = order.m_bytes;
  return json::serialize(body);
}

}  // namespace

placement::OrderOutcome ParseOrderAnswer(int status, const std::string &body) {
  if (status == 200 || status == 202) return placement::OrderOutcome::kAccepted;
  // A server error may come after the order took effect.
  if (status >= 500) return placement::OrderOutcome::kLost;
  if (status == 409) {
    std::optional<json::object> object = ParseObject(body);
    std::string reason = object ? GetText(*object, "reason") : "";
    if (reason == "stale_fence") return placement::OrderOutcome::kStaleFence;
    if (reason == "no_memory") return placement::OrderOutcome::kNoMemory;
  }
  return placement::OrderOutcome::kRefused;
}

std::optional<placement::StateReport> ParseStateReport(
    const std::string &body) {
  std::optional<json::object> object = ParseObject(body);
  if (!object) return std::nullopt;
  placement::StateReport report;
  std::optional<std::uint64_t> incarnation = GetNumber(*object, "incarnation");
  const json::value *entries = object->if_contains("entries");
  if (!incarnation || entries == nullptr || !entries->is_array()) {
    return std::nullopt;
  }
  report.m_incarnation = *incarnation;
  for (const json::value &entry : entries->as_array()) {
    if (!entry.is_object()) return std::nullopt;
    std::string target = GetText(entry.as_object(), "target");
    if (target.empty()) return std::nullopt;
    report.m_entries[target] =
        ParseTargetState(GetText(entry.as_object(), "state"));
  }
  std::optional<std::uint64_t> running = GetNumber(*object, "running");
  if (running) report.m_running = static_cast<int>(*running);
  return report;
}

placement::OrderResult SendOrder(net::HttpClientPool *pool,
                                 const placement::Order &order,
                                 base::TimePoint deadline) {
  placement::OrderResult result{order.m_order_id, order.m_grant_id,
                                placement::OrderOutcome::kLost};
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(order.m_address);
  if (!endpoint) {
    result.m_outcome = placement::OrderOutcome::kRefused;
    return result;
  }
  net::HttpRequest request{
      "POST", "/admin/v1/orders", {}, MakeOrderBody(order)};
  request.m_headers.Add("Content-Type", "application/json");
  net::HttpClientPool::StartResult start = pool->Start(
      *endpoint, request, deadline, net::HttpClientPool::Reuse::kFresh);
  if (start.m_call == nullptr) {
    bool nothing_sent = start.m_send_state == net::SendState::kNothingSent;
    if (nothing_sent) result.m_outcome = placement::OrderOutcome::kRefused;
    return result;
  }
  base::Result<net::HttpResponse> head = start.m_call->ReadHead(deadline);
  if (!head) return result;
  std::string body;
  while (body.size() < kMaxAnswerBytes) {
    base::Result<bool> more = start.m_call->ReadSome(&body, deadline);
    if (!more) return result;
    if (!*more) break;
  }
  result.m_outcome = ParseOrderAnswer(head->m_status, body);
  return result;
}

std::optional<placement::StateReport> QueryState(
    net::HttpClientPool *pool, const placement::StateQuery &query,
    base::TimePoint deadline) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(query.m_address);
  if (!endpoint) return std::nullopt;
  net::HttpRequest request{"GET", "/admin/v1/state", {}, ""};
  base::Result<net::HttpResponse> response =
      pool->Fetch(*endpoint, request, deadline, kMaxAnswerBytes);
  if (!response || response->m_status != 200) return std::nullopt;
  std::optional<placement::StateReport> report =
      ParseStateReport(response->m_body);
  if (!report) return std::nullopt;
  report->m_runner = query.m_runner;
  report->m_asked_at = query.m_asked_at;
  return report;
}

}  // namespace wasabiwind::control
