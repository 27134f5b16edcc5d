/** @file request.cpp Handling of a caller's request up to its final answer. */

#include <xxhash.h>

#include <algorithm>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "gateway/attempt_internal.h"
#include "gateway/request_key_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::gateway {

namespace {

using base::LogEvent;
using base::LogLevel;

/** A request with less time left isn't sent to an upstream. */
constexpr base::milliseconds kMinSendTime{10};
/** Share of the time of a request for which it may wait for an upstream. */
constexpr double kWaitShare = 0.55;
/** Longest pause between two checks whether a wait is over. */
constexpr base::milliseconds kWaitPollPeriod{250};
/** Pause before a request is sent again to upstreams where it failed. */
constexpr base::milliseconds kAllExcludedPause{60};
constexpr int kMaxNotRunAttempts = 4;
constexpr base::milliseconds kRetryAfter{250};
/** Longer, because the model may have to be loaded from the weight store. */
constexpr base::milliseconds kModelRetryAfter{3'500};
/** Callers that were refused in a pause return within this time after it. */
constexpr base::milliseconds kReturnSpread{500};
/** A quarantine of a part lasts for minutes. One of a request that was answered
 * elsewhere ends within a second. */
constexpr base::milliseconds kPromptQuarantineRetryAfter{60'000};
constexpr base::milliseconds kRequestQuarantineRetryAfter{5'000};
constexpr base::milliseconds kDefaultCallerTimeout{30'000};
constexpr std::size_t kMaxAdapterNameBytes = 255;
/** Longest wait for the first route table, also as share of the timeout. */
constexpr base::milliseconds kMaxStartWait{3'000};
constexpr double kStartWaitShare = 0.4;

void CountRefusal(const std::string &reason) {
  base::GetCounter("ww_refusals_total", "Requests that this host refused",
                   {{"reason", reason}})
      .Increment();
}

void CountCutAnswer(const std::string &reason) {
  base::GetCounter("ww_answers_cut_total",
                   "Answers that began and weren't completed",
                   {{"reason", reason}})
      .Increment();
}

void CountRetry(const char *reason, bool is_allowed) {
  base::GetCounter("ww_repeats_total",
                   "Further attempts by reason, and whether they were made",
                   {{"reason", reason}, {"made", is_allowed ? "yes" : "no"}})
      .Increment();
}

const char *GetKindName(gen::RouteKind kind) {
  switch (kind) {
    case gen::ROUTE_IDEMPOTENT:
      return "idempotent";
    case gen::ROUTE_NON_IDEMPOTENT:
      return "non_idempotent";
    case gen::ROUTE_STREAM:
      return "stream";
    default:
      return "unknown";
  }
}

void ObserveLatency(const RequestScope &scope) {
  if (scope.m_route == nullptr) return;
  base::GetLatencyHistogram("ww_request_seconds",
                            "Time from a request to the end of its answer",
                            {{"kind", GetKindName(scope.m_route->kind())},
                             {"outcome", scope.m_outcome}})
      .Observe(
          std::chrono::duration<double>(base::Clock::now() - scope.m_started_at)
              .count());
}

/** @return the end of a pause, and a part of kReturnSpread by the request's
 * hash, so that callers don't return at the same moment. */
base::milliseconds GetPauseRetryAfter(const RequestScope &scope) {
  auto left = std::chrono::ceil<base::milliseconds>(scope.m_pause_ends_at -
                                                    base::Clock::now());
  auto spread = static_cast<std::uint64_t>(kReturnSpread.count());
  return std::max(kRetryAfter, left) +
         base::milliseconds(scope.m_request_hash % spread);
}

base::milliseconds GetRetryAfter(const RequestScope &scope,
                                 const std::string &reason) {
  if (reason == kPromptQuarantineReason) return kPromptQuarantineRetryAfter;
  if (reason == kRequestQuarantineReason) return kRequestQuarantineRetryAfter;
  bool has_pause = reason == GetProblemName(ChoiceProblem::kPaused) ||
                   reason == kQuotaExhaustedReason;
  if (has_pause) {
    return GetPauseRetryAfter(scope);
  }
  bool is_model_missing = reason == GetProblemName(ChoiceProblem::kNoModel);
  return is_model_missing ? kModelRetryAfter : kRetryAfter;
}

/** @return whether a caller's text may name an adapter, or is empty. */
bool IsAdapterName(const std::string &text) {
  return text.size() <= kMaxAdapterNameBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character <= '~';
         });
}

std::uint64_t HashRequestId(const std::string &id) {
  return XXH3_64bits(id.data(), id.size());
}

}  // namespace

ActiveRequestGuard::ActiveRequestGuard(Gateway *gateway, RequestScope *scope)
    : m_gateway(gateway), m_scope(scope) {
  m_gateway->m_active_requests.insert(scope);
}

ActiveRequestGuard::~ActiveRequestGuard() {
  m_gateway->m_active_requests.erase(m_scope);
  m_gateway->m_buffered_bytes -= m_scope->m_buffered_bytes;
}

/**
 * Waits for the first route table after a start. Control hosts send it at once
 * unless they are starting as well.
 */
void Gateway::WaitForRoutes(RequestScope *scope) {
  base::milliseconds caller_timeout =
      scope->m_metadata.m_caller_timeout.value_or(kDefaultCallerTimeout);
  auto max_wait = std::min<base::Duration>(
      kMaxStartWait, std::chrono::duration_cast<base::Duration>(
                         caller_timeout * kStartWaitShare));
  base::TimePoint give_up_at = scope->m_started_at + max_wait;
  while (m_routes == nullptr && !m_is_stopped) {
    if (scope->m_exchange->IsPeerGone()) scope->m_is_caller_gone = true;
    base::TimePoint now = base::Clock::now();
    if (scope->m_is_caller_gone || now >= give_up_at) return;
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_view_changed.wait_until(lock,
                              std::min(give_up_at, now + kWaitPollPeriod));
  }
}

/**
 * Finds the route in the current table.
 * @return false if the request was refused
 * @pre a table is known
 */
bool Gateway::FindRouteOfRequest(RequestScope *scope) {
  scope->m_routes = m_routes;
  scope->m_route = routes::FindRoute(*m_routes, scope->m_metadata.m_host,
                                     scope->m_request->Path());
  if (scope->m_route != nullptr) return true;
  Refuse(scope, 404, "no_route", "no route has this host and path");
  return false;
}

/** Finds route and service. @return false if the request has ended */
bool Gateway::Admit(RequestScope *scope) {
  scope->m_metadata = m_protocol->m_decode_request(*scope->m_request);
  scope->m_request_hash = HashRequestId(scope->m_metadata.m_id);
  WaitForRoutes(scope);
  if (scope->m_is_caller_gone) {
    scope->m_outcome = "caller_gone";
    return false;
  }
  if (m_routes == nullptr) {
    Refuse(scope, 503, "starting", "no routes are known yet; try another host");
    return false;
  }
  if (!FindRouteOfRequest(scope)) return false;
  if (m_is_refusing) {
    Refuse(scope, 503, kStoppingReason, "this host stops; use another one");
    return false;
  }
  if (!AdmitCaller(scope)) return false;
  scope->m_service = routes::FindService(
      *scope->m_routes,
      routes::ChooseService(*scope->m_route, scope->m_request_hash));
  scope->m_prefix_keys = MakePrefixKeys(scope->m_metadata);
  scope->m_part_keys = MakePartKeys(scope->m_metadata);
  scope->m_request_key = MakeRequestKey(*scope->m_request, scope->m_metadata);
  base::milliseconds timeout(scope->m_route->timeout_ms());
  base::milliseconds caller_timeout =
      scope->m_metadata.m_caller_timeout.value_or(kDefaultCallerTimeout);
  scope->m_deadline = scope->m_started_at + std::min(timeout, caller_timeout);
  EarnBudget(&GetRetryBudget(scope->m_service->name()));
  scope->m_is_model_declared =
      routes::FindModel(*scope->m_routes, scope->m_service->name(),
                        scope->m_metadata.m_model) != nullptr &&
      IsAdapterName(scope->m_metadata.m_adapter);
  if (scope->m_is_model_declared) {
    ++GetTargetCounts(*scope, false).m_arrivals;
    if (!scope->m_metadata.m_adapter.empty()) {
      ++GetTargetCounts(*scope, true).m_arrivals;
    }
  }
  return true;
}

void Gateway::HandleCaller(const net::HttpRequest &request,
                           net::HttpExchange &exchange) {
  RequestScope scope;
  scope.m_request = &request;
  scope.m_exchange = &exchange;
  scope.m_started_at = base::Clock::now();
  if (Admit(&scope)) {
    ActiveRequestGuard guard(this, &scope);
    if (ChargeTeam(&scope)) {
      Serve(&scope);
      RefundTeam(scope);
    }
  }
  ObserveLatency(scope);
  LogRequest(scope);
}

ChoiceRequest Gateway::MakeChoiceRequest(const RequestScope &scope) const {
  ChoiceRequest choice;
  choice.m_metadata = &scope.m_metadata;
  choice.m_service = scope.m_service;
  choice.m_prefix_keys = scope.m_prefix_keys;
  choice.m_excluded = scope.m_excluded;
  choice.m_request_hash = scope.m_request_hash;
  choice.m_max_gap = base::milliseconds(scope.m_route->max_gap_ms());
  choice.m_is_paced = IsPaced();
  return choice;
}

/**
 * Decides whether another attempt may follow, and charges the retry budget.
 * @param reason why the last attempt failed
 */
bool Gateway::MayRetry(RequestScope *scope, const char *reason) {
  auto max_runs = static_cast<int>(
      std::max<std::uint32_t>(1, scope->m_route->max_attempts()));
  bool is_possible = scope->m_possible_run_count < max_runs &&
                     scope->m_not_run_count <= kMaxNotRunAttempts &&
                     (scope->m_possible_run_count == 0 ||
                      routes::IsRepeatable(*scope->m_route));
  bool is_allowed =
      is_possible && (scope->m_send_count == 0 ||
                      SpendBudget(&GetRetryBudget(scope->m_service->name())));
  CountRetry(reason, is_allowed);
  if (is_possible && !is_allowed) scope->m_reason += ",retry_budget";
  return is_allowed;
}

/**
 * Decides whether another upstream may be tried while that of the current
 * attempt is silent, and charges the retry budget. Without another upstream or
 * credit the attempt goes on: giving it up would end the request, although its
 * upstream may only have paused.
 * @param reason how the silence showed
 * @return whether the attempt has ended as silent
 */
bool Gateway::LeaveSilentUpstream(RequestScope *scope, const char *reason) {
  bool is_possible = HasAttemptsLeft(*scope) && !scope->m_silent_attempt &&
                     scope->m_not_run_count <= kMaxNotRunAttempts &&
                     HasAlternative(*scope);
  if (!is_possible) return false;
  bool is_allowed = SpendBudget(&GetRetryBudget(scope->m_service->name()));
  CountRetry(reason, is_allowed);
  if (is_allowed) EndAttempt(scope, AttemptEnd::kSilent, reason);
  return is_allowed;
}

void Gateway::Serve(RequestScope *scope) {
  while (true) {
    base::TimePoint now = base::Clock::now();
    if (EndIfDue(scope, now)) return;
    if (RunNextAttempt(scope, now)) {
      if (HandleAttemptEnd(scope)) return;
    } else if (!scope->m_outcome.empty()) {
      return;
    }
  }
}

/** Ends a request that may get no further attempt, whatever the last one came
 * to. @return whether it has ended */
bool Gateway::EndIfDue(RequestScope *scope, base::TimePoint now) {
  if (scope->m_is_caller_gone) {
    scope->m_outcome = "caller_gone";
    return true;
  }
  const char *reason = nullptr;
  if (GetRemaining(*scope, now) < kMinSendTime) {
    reason = "timeout";
  } else if (m_is_ending_requests) {
    reason = kStoppingReason;
  } else {
    reason = FindQuarantine(*scope);
  }
  if (reason == nullptr && IsKeyRevoked(*scope)) reason = kKeyRevokedReason;
  if (reason == nullptr) return false;
  scope->m_reason = reason;
  FinishUnanswered(scope);
  return true;
}

/**
 * Runs an attempt at the best upstream, or goes on with the silent one if no
 * other upstream has taken the request.
 * @return false if no attempt was run: the request has waited for an upstream,
 *         or it has ended and has an outcome
 */
bool Gateway::RunNextAttempt(RequestScope *scope, base::TimePoint now) {
  bool other_has_failed = scope->m_attempt_end != AttemptEnd::kSilent;
  if (scope->m_silent_attempt && other_has_failed) {
    ResumeSilentAttempt(scope);
    return true;
  }
  Choice choice = ChooseByRunnerLoad(scope, now);
  if (choice.m_problem == ChoiceProblem::kNone) {
    if (WaitForRunnerQueue(scope, choice)) return false;
    RunAttempt(scope, choice);
    return true;
  }
  if (scope->m_silent_attempt) {
    ResumeSilentAttempt(scope);
    return true;
  }
  if (WaitForChoice(scope, choice) || scope->m_is_caller_gone) return false;
  scope->m_reason = GetProblemName(choice.m_problem);
  FinishUnanswered(scope);
  return false;
}

/** Decides what follows an attempt. @return whether the request has ended */
bool Gateway::HandleAttemptEnd(RequestScope *scope) {
  switch (scope->m_attempt_end) {
    case AttemptEnd::kAnswered:
      return true;
    case AttemptEnd::kCallerGone:
      scope->m_is_caller_gone = true;
      return false;
    case AttemptEnd::kTimedOut:
      FinishUnanswered(scope);
      return true;
    case AttemptEnd::kSilent:
      ++scope->m_possible_run_count;
      scope->m_excluded.insert(scope->m_upstream);
      scope->m_silent_attempt = std::move(scope->m_attempt);
      scope->m_attempt = Attempt();
      return false;
    case AttemptEnd::kNotRun:
      ++scope->m_not_run_count;
      break;
    case AttemptEnd::kUnknown:
    case AttemptEnd::kEnd:
      ++scope->m_possible_run_count;
      break;
  }
  if (FindQuarantine(*scope) != nullptr || m_is_ending_requests) return false;
  scope->m_excluded.insert(scope->m_upstream);
  if (scope->m_silent_attempt) return false;
  if (MayRetry(scope, scope->m_reason.c_str())) return false;
  FinishUnanswered(scope);
  return true;
}

/** @return the time at which a request that waits is refused. */
base::TimePoint Gateway::GetWaitEnd(const RequestScope &scope) const {
  base::Duration caller_timeout = scope.m_deadline - scope.m_started_at;
  if (scope.m_route->kind() == gen::ROUTE_STREAM) {
    caller_timeout = std::min<base::Duration>(
        caller_timeout, routes::GetStreamPauseTimeout(*scope.m_route));
  }
  return scope.m_started_at + std::chrono::duration_cast<base::Duration>(
                                  caller_timeout * kWaitShare);
}

/**
 * Waits until an upstream may have become available.
 * @return false if the request should end now
 */
bool Gateway::WaitForChoice(RequestScope *scope, const Choice &choice) {
  ChoiceProblem problem = choice.m_problem;
  base::TimePoint start = base::Clock::now();
  base::TimePoint give_up_at = GetWaitEnd(*scope);
  if (start >= give_up_at || m_is_refusing) return false;
  if (problem == ChoiceProblem::kPaused) {
    scope->m_pause_ends_at = choice.m_pause_ends_at;
    if (choice.m_pause_ends_at >= give_up_at) return false;
    give_up_at = choice.m_pause_ends_at;
  }
  if (problem == ChoiceProblem::kAllExcluded) {
    net::SleepFor(kAllExcludedPause);
    scope->m_excluded.clear();
    scope->m_wait_time += base::Clock::now() - start;
    return true;
  }
  bool is_target_missing = problem == ChoiceProblem::kNoModel ||
                           problem == ChoiceProblem::kNoAdapter;
  bool wants_adapter = problem == ChoiceProblem::kNoAdapter;
  if (is_target_missing && !scope->m_is_model_declared) return false;
  if (is_target_missing) {
    TargetCounts &counts = GetTargetCounts(*scope, wants_adapter);
    if (counts.m_waiting++ == 0) m_is_use_report_urgent = true;
    counts.m_rank = routes::GetRank(*scope->m_route, scope->m_team);
    if (m_is_use_report_urgent) SendUseReport(start);
  }
  {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_view_changed.wait_until(lock,
                              std::min(give_up_at, start + kWaitPollPeriod));
  }
  if (is_target_missing) --GetTargetCounts(*scope, wants_adapter).m_waiting;
  scope->m_wait_time += base::Clock::now() - start;
  return !scope->m_is_caller_gone;
}

/** Ends a request that no attempt has answered completely. */
void Gateway::FinishUnanswered(RequestScope *scope) {
  if (scope->m_is_head_sent) {
    // Closes the connection, so that the answer doesn't look complete.
    scope->m_exchange->Abort();
    scope->m_outcome = "cut";
    CountCutAnswer(scope->m_reason);
    return;
  }
  if (scope->m_possible_run_count == 0 &&
      scope->m_attempt_end != AttemptEnd::kTimedOut) {
    Refuse(scope, 503, scope->m_reason, "the request didn't run; try again");
    return;
  }
  bool is_timeout = scope->m_attempt_end == AttemptEnd::kTimedOut ||
                    scope->m_reason == "timeout";
  Refuse(scope, is_timeout ? 504 : 502, scope->m_reason,
         "the request may have run");
}

void Gateway::Refuse(RequestScope *scope, int status, const std::string &reason,
                     const std::string &message) {
  RefusalDetails details;
  details.m_status = status;
  details.m_request_id = scope->m_metadata.m_id;
  details.m_reason = reason;
  details.m_message = message;
  if (status == 503 || status == 429)
    details.m_retry_after = GetRetryAfter(*scope, reason);
  scope->m_status = status;
  scope->m_outcome = "refused";
  scope->m_reason = reason;
  CountRefusal(reason);
  SendAnswer(scope, m_protocol->m_make_refusal(details));
}

/** Sends a whole answer. The log tells if its caller couldn't be reached. */
void Gateway::SendAnswer(RequestScope *scope,
                         const net::HttpResponse &response) {
  RecordSent(scope, scope->m_exchange->Respond(response));
}

void Gateway::LogRequest(const RequestScope &scope) const {
  base::TimePoint now = base::Clock::now();
  bool is_good = scope.m_outcome == "answered" && scope.m_status < 400;
  base::Duration first_byte_time =
      scope.m_first_byte_at == base::TimePoint()
          ? base::Duration(-1)
          : scope.m_first_byte_at - scope.m_started_at;
  LogEvent(is_good ? LogLevel::kInfo : LogLevel::kWarn, "request",
           {{"request", scope.m_metadata.m_id},
            {"route", scope.m_route == nullptr ? "" : scope.m_route->name()},
            {"team", scope.m_team == nullptr ? "" : scope.m_team->name()},
            {"routes_version",
             scope.m_routes == nullptr ? 0 : scope.m_routes->m_table.version()},
            {"target", fleet::MakeTarget(scope.m_metadata.m_model,
                                         scope.m_metadata.m_adapter)},
            {"upstream", scope.m_upstream},
            {"shared_prompt", GetSharedPrefixKey(scope.m_prefix_keys)},
            {"unread_tokens", scope.m_prefill_tokens},
            {"expected_ms", scope.m_expected_latency.count()},
            {"books_asked", scope.m_loads_queried},
            {"books_known", scope.m_loads_known},
            {"outcome", scope.m_outcome},
            {"status", scope.m_status},
            {"reason", scope.m_reason},
            {"sends", scope.m_send_count},
            {"not_runs", scope.m_not_run_count},
            {"runs", scope.m_possible_run_count},
            {"waited_ms", base::ToMilliseconds(scope.m_wait_time)},
            {"first_ms", base::ToMilliseconds(first_byte_time)},
            {"longest_gap_ms", base::ToMilliseconds(scope.m_longest_gap)},
            {"took_ms", base::ToMilliseconds(now - scope.m_started_at)}});
}

}  // namespace wasabiwind::gateway
