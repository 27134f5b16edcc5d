/** @file request_scope.cpp Answers, refusals and the log line of a request. */

#include <fmt/format.h>

#include <boost/fiber/fiber.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/log_func.h"
#include "entry/entry_internal.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::entry {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr base::seconds kCancelTimeout{1};
/** Largest number of cancel messages in flight on one thread; beyond it none is
 * sent, and engines only notice the closed connection. */
constexpr std::size_t kMaxBackgroundFibers = 256;

constexpr std::array<const char *, static_cast<std::size_t>(RetryReason::kEnd)>
    kRetryReasonNames = {"connect_failed", "not_accepted",  "server_error",
                         "answer_lost",    "stream_broken", "stalled",
                         "bad_answer"};

/** @return whether a caller's request ID can go into headers and logs. */
bool IsValidRequestId(const std::string &id) {
  if (id.empty() || id.size() > kMaxRequestIdBytes) return false;
  for (char letter : id) {
    if (letter <= ' ' || letter > '~' || letter == '"') return false;
  }
  return true;
}

std::int64_t ToMicroseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

const char *GetRetryReasonName(RetryReason reason) {
  return kRetryReasonNames[static_cast<std::size_t>(reason)];
}

EntryMetrics::EntryMetrics()
    : m_answered(base::GetCounter("ww_entry_answered_total",
                                  "Requests answered completely")),
      m_broken(base::GetCounter("ww_entry_broken_streams_total",
                                "Streams ended by an error event")),
      m_caller_gone(base::GetCounter("ww_entry_caller_gone_total",
                                     "Callers that left before the end")),
      m_resumed(base::GetCounter("ww_entry_resumed_streams_total",
                                 "Streams continued on another upstream")),
      m_cancels(base::GetCounter("ww_entry_cancels_total",
                                 "Cancel messages to engines")),
      m_tokens(base::GetCounter("ww_entry_tokens_total",
                                "Tokens passed to callers")),
      m_first_token(base::GetLatencyHistogram(
          "ww_entry_first_token_seconds",
          "Time from arrival to the first part of the answer")),
      m_total(base::GetLatencyHistogram("ww_entry_request_seconds",
                                        "Time from arrival to the end")) {
  for (std::size_t i = 0; i < m_refusals.size(); ++i) {
    const char *name =
        route::GetRefusalRow(static_cast<route::RefusalReason>(i)).m_name;
    m_refusals[i] =
        &base::GetCounter("ww_entry_refusals_total",
                          "Requests refused, by reason", {{"reason", name}});
  }
  for (std::size_t i = 0; i < m_retries.size(); ++i) {
    m_retries[i] = &base::GetCounter("ww_entry_retries_total",
                                     "Requests sent again, by reason",
                                     {{"reason", kRetryReasonNames[i]}});
  }
}

RequestScope::RequestScope(EntryShared *shared, EntryThread *thread,
                           const net::HttpRequest *request,
                           net::HttpExchange *exchange)
    : m_shared(shared),
      m_thread(thread),
      m_request(request),
      m_exchange(exchange),
      m_catalog(shared->m_link->GetCatalog()),
      m_start(base::Clock::now()),
      m_deadline(m_start +
                 base::milliseconds(
                     shared->m_settings.entry().default_deadline_ms())) {
  const std::string *id = request->m_headers.Find("X-Request-Id");
  if (id != nullptr && IsValidRequestId(*id)) {
    m_id = *id;
  } else {
    m_id = fmt::format("{:08x}-{:x}", shared->m_process_nonce,
                       ++shared->m_id_counter);
  }
  thread->m_active.insert(this);
}

RequestScope::~RequestScope() {
  m_thread->m_active.erase(this);
  base::Duration total = base::Clock::now() - m_start;
  m_shared->m_metrics.m_total.Observe(ToSeconds(total));
  if (m_tokens > 0) {
    m_shared->m_metrics.m_tokens.Increment(static_cast<double>(m_tokens));
    m_shared->m_metrics.m_first_token.Observe(ToSeconds(m_first_token));
  }
  if (!m_shared->m_settings.entry().log_requests()) return;
  base::LogEvent(
      base::LogLevel::kInfo, "request",
      {{"request_id", m_id},
       {"kind", m_kind},
       {"name", m_name},
       {"customer", m_customer},
       {"priority", GetPriorityName(m_priority)},
       {"outcome", m_outcome},
       {"detail", m_detail},
       {"status", m_status},
       {"upstreams", m_upstreams},
       {"attempts", m_attempts},
       {"waited_us", ToMicroseconds(m_waited)},
       {"first_token_us", ToMicroseconds(m_first_token)},
       {"total_us", ToMicroseconds(total)},
       {"tokens", m_tokens},
       {"answer_bytes", m_answer_bytes},
       {"revision", m_catalog == nullptr ? 0 : m_catalog->m_revision.Value()}});
}

void NoteAttempt(RequestScope *scope, const base::UpstreamId &upstream,
                 const std::string &outcome) {
  if (!scope->m_upstreams.empty()) scope->m_upstreams += ' ';
  scope->m_upstreams += upstream.Value();
  scope->m_upstreams += ':';
  scope->m_upstreams += outcome;
}

void CountRetry(RequestScope *scope, RetryReason reason) {
  scope->m_shared->m_metrics.m_retries[static_cast<std::size_t>(reason)]
      ->Increment();
}

std::string MakeRefusalBody(const route::Refusal &refusal,
                            const std::string &request_id) {
  const route::RefusalRow &row = route::GetRefusalRow(refusal.m_reason);
  std::string message = row.m_message;
  if (!refusal.m_detail.empty()) message += " (" + refusal.m_detail + ")";
  json::object error;
  error["type"] = "refusal";
  error["reason"] = row.m_name;
  error["message"] = message;
  error["ran"] = route::GetExecutionStateName(refusal.m_ran);
  if (refusal.m_retry_after.count() > 0) {
    error["retry_after_ms"] = refusal.m_retry_after.count();
  }
  error["request_id"] = request_id;
  json::object body;
  body["error"] = std::move(error);
  return json::serialize(body);
}

void Refuse(RequestScope *scope, route::Refusal refusal) {
  if (scope->m_before_failure) scope->m_before_failure();
  if (scope->m_may_have_run) refusal.m_ran = route::ExecutionState::kUnknown;
  EntryMetrics &metrics = scope->m_shared->m_metrics;
  const route::RefusalRow &row = route::GetRefusalRow(refusal.m_reason);
  metrics.m_refusals[static_cast<std::size_t>(refusal.m_reason)]->Increment();
  scope->m_detail = row.m_name;
  if (!refusal.m_detail.empty()) scope->m_detail += ": " + refusal.m_detail;
  std::string body = MakeRefusalBody(refusal, scope->m_id);
  if (scope->m_exchange->HasStarted()) {
    metrics.m_broken.Increment();
    scope->m_outcome = "broken";
    (void)scope->m_exchange->WriteStream("data: " + body + "\n\n");
    (void)scope->m_exchange->EndStream();
    return;
  }
  scope->m_outcome = "refused";
  scope->m_status = row.m_status;
  net::HttpResponse response =
      net::MakeJsonResponse(row.m_status, std::move(body));
  response.m_headers.Add("X-Request-Id", scope->m_id);
  if (refusal.m_retry_after.count() > 0) {
    // Whole seconds, rounded up so that no caller retries too early.
    std::int64_t seconds = (refusal.m_retry_after.count() + 999) / 1'000;
    response.m_headers.Add("Retry-After", std::to_string(seconds));
  }
  (void)scope->m_exchange->Respond(response);
}

void Refuse(RequestScope *scope, route::RefusalReason reason,
            const std::string &detail) {
  route::Refusal refusal;
  refusal.m_reason = reason;
  refusal.m_detail = detail;
  Refuse(scope, std::move(refusal));
}

void Answer(RequestScope *scope, net::HttpResponse response) {
  response.m_headers.Add("X-Request-Id", scope->m_id);
  scope->m_status = response.m_status;
  scope->m_answer_bytes = response.m_body.size();
  base::Result<void> sent = scope->m_exchange->Respond(response);
  if (!sent) {
    scope->m_detail = sent.error().m_message;
    HandleCallerGone(scope);
    return;
  }
  scope->m_outcome = "answered";
  scope->m_shared->m_metrics.m_answered.Increment();
}

void HandleCallerGone(RequestScope *scope) {
  if (scope->m_before_failure) scope->m_before_failure();
  scope->m_outcome = "caller_gone";
  scope->m_shared->m_metrics.m_caller_gone.Increment();
  scope->m_exchange->Abort();
}

namespace {

CancelHook MakeCancelHook(RequestScope *scope) {
  return [scope](std::function<void()> cancel) {
    scope->m_cancel = std::move(cancel);
  };
}

/** @return the lease that a wait has led to, or nothing after the request was
 * refused or its caller has disconnected. */
std::optional<UpstreamLease> TakeLease(RequestScope *scope,
                                       const AcquireResult &acquired,
                                       const std::string &detail) {
  scope->m_waited += acquired.m_waited;
  bool is_cut_off = scope->m_shared->m_is_cut_off;
  if (acquired.m_lease && !is_cut_off) {
    ++scope->m_attempts;
    return acquired.m_lease;
  }
  if (acquired.m_lease) {
    scope->m_shared->m_dispatcher->Abandon(*acquired.m_lease);
  }
  if (scope->m_is_caller_gone) {
    HandleCallerGone(scope);
  } else if (acquired.m_is_cancelled || is_cut_off) {
    Refuse(scope, route::RefusalReason::kStopping);
  } else {
    route::Refusal refusal = acquired.m_refusal;
    if (refusal.m_detail.empty()) refusal.m_detail = detail;
    Refuse(scope, std::move(refusal));
  }
  return std::nullopt;
}

}  // namespace

std::optional<UpstreamLease> AcquireUpstream(
    RequestScope *scope, const AcquireRequest &acquire_request) {
  AcquireResult acquired = scope->m_shared->m_dispatcher->Acquire(
      scope->m_catalog, acquire_request, MakeCancelHook(scope));
  return TakeLease(scope, acquired, "");
}

std::optional<UpstreamLease> RetryUpstream(RequestScope *scope,
                                           const UpstreamLease &lease,
                                           const AttemptFailure &failure) {
  AcquireResult acquired = scope->m_shared->m_dispatcher->Fail(
      lease, failure.m_ran, failure.m_tokens, scope->m_deadline,
      MakeCancelHook(scope));
  if (acquired.m_lease) CountRetry(scope, failure.m_reason);
  return TakeLease(scope, acquired, failure.m_detail);
}

std::optional<UpstreamLease> AcquireBackup(RequestScope *scope,
                                           const UpstreamLease &lease) {
  if (scope->m_shared->m_is_cut_off) return std::nullopt;
  std::optional<UpstreamLease> backup =
      scope->m_shared->m_dispatcher->StartBackup(lease);
  if (!backup) return std::nullopt;
  ++scope->m_attempts;
  CountRetry(scope, RetryReason::kStalled);
  return backup;
}

base::milliseconds RemainingTime(const RequestScope &scope) {
  base::Duration left = scope.m_deadline - base::Clock::now();
  if (left <= base::Duration::zero()) return base::milliseconds(0);
  return std::chrono::duration_cast<base::milliseconds>(left);
}

void CancelAtEngine(EntryShared *shared, EntryThread *thread,
                    const net::Endpoint &engine,
                    const std::string &attempt_id) {
  if (thread->m_background_fibers >= kMaxBackgroundFibers) return;
  shared->m_metrics.m_cancels.Increment();
  ++thread->m_background_fibers;
  boost::fibers::fiber([thread, engine, attempt_id] {
    json::object body;
    body["request_id"] = attempt_id;
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/cancel";
    request.m_headers.Add("Content-Type", "application/json");
    request.m_body = json::serialize(body);
    (void)thread->m_pool.Fetch(engine, request,
                               base::Clock::now() + kCancelTimeout);
    --thread->m_background_fibers;
  }).detach();
}

}  // namespace wasabiwind::entry
