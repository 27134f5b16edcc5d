/** @file caller.cpp Sends requests as a caller does, with retries. */

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "load/caller_base.h"
#include "load/stream_func.h"
#include "net/fiber_scheduler.h"
#include "standin/json_func.h"

namespace wasabiwind::load {

namespace json = boost::json;

namespace {

/** Longest body of a response that isn't streamed. */
constexpr std::size_t kMaxResponseBytes = 64 << 20;

/** @return whether other addresses may accept the refused request. */
bool IsAddressSpecific(const std::string &reason) {
  return reason == "stopping" || reason == "stale_configuration";
}

/** @return whether a refused order may succeed later with the same key. */
bool IsWorthRetrying(const std::string &reason) {
  constexpr std::array kReasons = {"key_in_progress", "recorder_unavailable"};
  return std::find(kReasons.begin(), kReasons.end(), reason) != kReasons.end();
}

std::string MakeOrderBody(const PlannedRequest &request) {
  return json::serialize(json::object{{"order", request.m_id}});
}

void SetViolation(RequestResult *result, std::string kind) {
  result->m_outcome = Outcome::kViolation;
  result->m_reason = std::move(kind);
}

}  // namespace

RefusalResponse ParseRefusal(const std::string &body) {
  RefusalResponse response;
  base::Result<json::object> object = standin::ParseObject(body);
  if (!object) return response;
  const json::object *error = standin::FindObject(*object, "error");
  if (error == nullptr) return response;
  response.m_reason = standin::GetString(*error, "reason");
  response.m_ran = standin::GetString(*error, "ran");
  response.m_is_refusal =
      standin::GetString(*error, "type") == "refusal" &&
      !response.m_reason.empty() &&
      (response.m_ran == "not_run" || response.m_ran == "unknown");
  return response;
}

json::object MakeCompletionBody(const PlannedRequest &request) {
  json::object message{{"role", "user"}, {"content", request.m_prompt}};
  return {{"model", request.m_model},
          {"messages", json::array{std::move(message)}},
          {"max_tokens", request.m_max_tokens},
          {"stream", request.m_is_stream}};
}

Caller::Caller(CallerOptions options, AddressCache *addresses,
               Histogram *token_gap)
    : m_options(std::move(options)),
      m_addresses(addresses),
      m_token_gap(token_gap) {}

RequestResult Caller::Send(const PlannedRequest &request,
                           base::TimePoint intended) {
  RequestResult result;
  result.m_start_lag = base::Clock::now() - intended;
  NextStep step = NextStep::kRetryOtherHost;
  while (step != NextStep::kFinish) {
    if (result.m_attempts >= m_options.m_max_attempts) break;
    if (result.m_attempts > 0 && base::Clock::now() >= GetEnd(intended)) break;
    if (step == NextStep::kRetryLater) net::SleepFor(m_options.m_retry_delay);
    ++result.m_attempts;
    step = Attempt(request, intended, &result);
  }
  result.m_total = base::Clock::now() - intended;
  // If any attempt may have executed the order, its outcome is unknown.
  bool is_uncertain_order = request.m_kind == RequestKind::kOrder &&
                            result.m_may_have_run &&
                            (result.m_outcome == Outcome::kRefused ||
                             result.m_outcome == Outcome::kNotConnected);
  if (is_uncertain_order) result.m_outcome = Outcome::kUnknown;
  return result;
}

Caller::NextStep Caller::Attempt(const PlannedRequest &request,
                                 base::TimePoint intended,
                                 RequestResult *result) {
  net::Endpoint endpoint = m_addresses->Pick();
  result->m_address = endpoint.ToString();
  result->m_reason.clear();
  // A pooled connection may close after an order was sent on it; the caller
  // then can't tell whether the order was executed.
  auto reuse = request.m_kind == RequestKind::kOrder
                   ? net::HttpClientPool::Reuse::kFresh
                   : net::HttpClientPool::Reuse::kPooled;
  auto start = m_clients.Start(endpoint, MakeRequest(request, intended),
                               GetEnd(intended), reuse);
  if (start.m_call == nullptr) {
    m_addresses->Avoid(endpoint);
    if (start.m_send_state != net::SendState::kNothingSent) {
      return HandleLostConnection(request, intended, result);
    }
    result->m_outcome = Outcome::kNotConnected;
    return NextStep::kRetryLater;
  }
  NextStep step = ReadResponse(request, intended, start.m_call.get(), result);
  if (step == NextStep::kRetryOtherHost) m_addresses->Avoid(endpoint);
  return step;
}

net::HttpRequest Caller::MakeRequest(const PlannedRequest &request,
                                     base::TimePoint intended) const {
  net::HttpRequest message;
  message.m_method = "POST";
  message.m_headers.Add("Content-Type", "application/json");
  message.m_headers.Add("X-Request-Id", request.m_id);
  auto left = std::chrono::duration_cast<base::milliseconds>(
      intended + m_options.m_deadline - base::Clock::now());
  message.m_headers.Add(
      "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
  if (!request.m_customer.empty()) {
    message.m_headers.Add("X-Customer", request.m_customer);
  }
  if (!request.m_priority.empty()) {
    message.m_headers.Add("X-Priority", request.m_priority);
  }
  if (!m_options.m_bearer_token.empty()) {
    message.m_headers.Add("Authorization",
                          "Bearer " + m_options.m_bearer_token);
  }
  if (request.m_kind == RequestKind::kOrder) {
    message.m_target = "/svc/" + request.m_service + "/orders";
    message.m_headers.Add("Idempotency-Key", request.m_id);
    message.m_body = MakeOrderBody(request);
  } else {
    message.m_target = "/v1/chat/completions";
    message.m_body = json::serialize(MakeCompletionBody(request));
  }
  return message;
}

Caller::NextStep Caller::ReadResponse(const PlannedRequest &request,
                                      base::TimePoint intended,
                                      net::HttpCall *call,
                                      RequestResult *result) {
  base::TimePoint end = GetEnd(intended);
  base::Result<net::HttpResponse> head = call->ReadHead(end);
  if (!head) return HandleLostConnection(request, intended, result);
  if (head->m_status == 200 && request.m_is_stream) {
    return ReadStream(request, intended, call, result);
  }
  std::string body;
  while (true) {
    base::Result<bool> more = call->ReadSome(&body, end);
    if (!more) return HandleLostConnection(request, intended, result);
    if (!*more) break;
    if (body.size() > kMaxResponseBytes) {
      SetViolation(result, "too_long");
      return NextStep::kFinish;
    }
  }
  if (head->m_status != 200) {
    return HandleRefusal(request, head->m_status, body, result);
  }
  if (request.m_kind == RequestKind::kOrder) {
    return CheckOrderResponse(request, body, result);
  }
  return CheckPlainResponse(request, body, result);
}

Caller::NextStep Caller::ReadStream(const PlannedRequest &request,
                                    base::TimePoint intended,
                                    net::HttpCall *call,
                                    RequestResult *result) {
  StreamCheck check =
      BeginStreamCheck(*standin::PlanAnswer(MakeCompletionBody(request)));
  base::TimePoint last = intended;
  bool is_first = true;
  base::Result<bool> more = true;
  while (more && *more) {
    std::string bytes;
    more = call->ReadSome(&bytes, GetEnd(intended));
    int tokens = FeedStream(&check, bytes);
    if (tokens == 0) continue;
    base::TimePoint now = base::Clock::now();
    if (is_first) {
      result->m_first_token = now - intended;
      is_first = false;
    } else {
      AddDuration(m_token_gap, now - last);
    }
    last = now;
  }
  result->m_tokens = check.m_tokens;
  AnswerStatus answer_status = FinishStream(check);
  if (IsViolation(answer_status)) {
    SetViolation(result, GetAnswerStatusName(answer_status));
    return NextStep::kFinish;
  }
  if (answer_status == AnswerStatus::kExplicitError) {
    result->m_outcome = Outcome::kExplicitError;
    result->m_reason = check.m_error_reason;
    return NextStep::kFinish;
  }
  if (answer_status == AnswerStatus::kCutOff) {
    return HandleLostConnection(request, intended, result);
  }
  result->m_outcome = Outcome::kComplete;
  return NextStep::kFinish;
}

Caller::NextStep Caller::CheckPlainResponse(const PlannedRequest &request,
                                            const std::string &body,
                                            RequestResult *result) {
  standin::AnswerPlan plan = *standin::PlanAnswer(MakeCompletionBody(request));
  AnswerStatus answer_status = CheckPlainAnswer(plan, body);
  if (answer_status != AnswerStatus::kComplete) {
    SetViolation(result, GetAnswerStatusName(answer_status));
    return NextStep::kFinish;
  }
  result->m_tokens = plan.m_output_tokens;
  result->m_outcome = Outcome::kComplete;
  return NextStep::kFinish;
}

/** Checks that the response is for this order and that it ran only once. */
Caller::NextStep Caller::CheckOrderResponse(const PlannedRequest &request,
                                            const std::string &body,
                                            RequestResult *result) {
  result->m_may_have_run = true;
  base::Result<json::object> response = standin::ParseObject(body);
  if (!response) {
    SetViolation(result, "malformed");
  } else if (standin::GetString(*response, "key") != request.m_id ||
             standin::GetString(*response, "received") !=
                 MakeOrderBody(request)) {
    SetViolation(result, "foreign");
  } else if (standin::GetInteger(*response, "execution") != 1) {
    SetViolation(result, "executed_twice");
  } else {
    result->m_outcome = Outcome::kComplete;
  }
  return NextStep::kFinish;
}

Caller::NextStep Caller::HandleRefusal(const PlannedRequest &request,
                                       int status, const std::string &body,
                                       RequestResult *result) {
  bool is_order = request.m_kind == RequestKind::kOrder;
  RefusalResponse refusal = ParseRefusal(body);
  if (!refusal.m_is_refusal) {
    if (!is_order) {
      SetViolation(result, "untyped_refusal");
      return NextStep::kFinish;
    }
    // An error response of the service itself, passed through.
    result->m_may_have_run = true;
    result->m_outcome = Outcome::kUnknown;
    result->m_reason = fmt::format("status_{}", status);
    return NextStep::kRetryLater;
  }
  result->m_reason = refusal.m_reason;
  result->m_outcome = Outcome::kRefused;
  if (refusal.m_ran != "not_run") {
    result->m_may_have_run = true;
    if (is_order) result->m_outcome = Outcome::kUnknown;
  }
  if (IsAddressSpecific(refusal.m_reason)) return NextStep::kRetryOtherHost;
  bool retry = is_order && (IsWorthRetrying(refusal.m_reason) ||
                            refusal.m_ran != "not_run");
  return retry ? NextStep::kRetryLater : NextStep::kFinish;
}

/** Ends an attempt without a response: connection lost or deadline passed. */
Caller::NextStep Caller::HandleLostConnection(const PlannedRequest &request,
                                              base::TimePoint intended,
                                              RequestResult *result) {
  result->m_may_have_run = true;
  if (base::Clock::now() >= GetEnd(intended)) {
    result->m_outcome = Outcome::kNoAnswer;
    return NextStep::kFinish;
  }
  ++result->m_lost_attempts;
  result->m_outcome = request.m_kind == RequestKind::kOrder ? Outcome::kUnknown
                                                            : Outcome::kLost;
  return NextStep::kRetryOtherHost;
}

}  // namespace wasabiwind::load
