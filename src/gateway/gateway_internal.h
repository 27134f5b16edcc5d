/** @file gateway_internal.h State of one request, internal to the request path.
 */

#ifndef WASABIWIND_GATEWAY_GATEWAY_INTERNAL_H_
#define WASABIWIND_GATEWAY_GATEWAY_INTERNAL_H_

#include "gateway/event_stream_func.h"
#include "gateway/gateway.h"

namespace wasabiwind::gateway {

/** Reasons of refusals because the request, or a part of its prompt, crashes
 * runners. */
inline constexpr const char *kRequestQuarantineReason = "request_quarantined";
inline constexpr const char *kPromptQuarantineReason = "prompt_quarantined";

/** Reason of answers to requests that a stop of this host cuts short. */
inline constexpr const char *kStoppingReason = "stopping";
inline constexpr const char *kKeyRevokedReason = "key_revoked";
inline constexpr const char *kQuotaExhaustedReason = "quota_exhausted";

/** Reason of the end of an attempt because the silent upstream, instead of
 * which it was made, answers again. */
inline constexpr const char *kAnswersAgainReason = "first_upstream_answers";

/** Reason of the end of an attempt whose answer is too long to be held. */
inline constexpr const char *kAnswerTooLongReason = "answer_too_long";

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
  kAnswered,  ///< the caller has the whole answer
  kNotRun,    ///< it certainly didn't run at the upstream
  kUnknown,   ///< it may have run, or it ran and failed
  kTimedOut,  ///< the deadline of the request has passed
  kCallerGone,
  kSilent,  ///< it goes on, but its upstream is silent: try another one
  kEnd,
};

/** State of one attempt of a request at one upstream. */
struct Attempt {
  Choice m_choice;
  std::uint64_t m_runner_start_ms = 0;  ///< start of the upstream's process
  base::TimePoint m_sent_at;
  std::unique_ptr<net::HttpCall> m_call;  ///< nullptr if it isn't under way
  bool m_is_connection_reused = false;
  std::optional<net::HttpResponse> m_head;  ///< once it was accepted
  /** A body byte of a stream arrived, or the head of another answer. */
  bool m_has_begun_answer = false;
  base::TimePoint m_first_byte_at;  ///< of a stream
  EventSplitter m_splitter;
  int m_event_count = 0;  ///< whole events of a stream
  /** The caller got an event from it; without one a stream isn't complete. */
  bool m_has_forwarded_event = false;
  bool m_is_connection_lost = false;  ///< before the end of the answer
};

/** State of one request over all its attempts. */
struct RequestScope {
  const net::HttpRequest *m_request = nullptr;
  net::HttpExchange *m_exchange = nullptr;
  RequestMetadata m_metadata;
  routes::RouteIndexPtr m_routes;
  const gen::Route *m_route = nullptr;
  const gen::RoutedService *m_service = nullptr;
  const gen::Team *m_team = nullptr;  ///< of the caller's key, or nullptr
  /** The service's engine declares the model. Demand for others is neither
   * counted nor waited for, since nothing will load them. */
  bool m_is_model_declared = false;
  std::vector<std::uint64_t> m_prefix_keys;
  /** Of the prompt parts that other requests may share, in order. */
  std::vector<std::uint64_t> m_part_keys;
  std::uint64_t m_request_key = 0;  ///< the same if the request comes again
  std::uint64_t m_request_hash = 0;
  base::TimePoint m_started_at;
  base::TimePoint m_deadline;

  // Progress over all attempts.
  std::set<std::string> m_excluded;
  int m_send_count = 0;          ///< attempts that sent bytes to an upstream
  int m_possible_run_count = 0;  ///< attempts that may have run
  int m_not_run_count = 0;       ///< attempts that certainly didn't run
  bool m_is_head_sent = false;   ///< the caller has status and headers
  std::optional<std::uint64_t> m_last_event_id;  ///< sent to the caller

  Attempt m_attempt;  ///< the last one
  AttemptEnd m_attempt_end = AttemptEnd::kUnknown;
  std::string m_reason;  ///< why the attempt failed
  /** An attempt at a silent upstream, kept until another one answers: if none
   * does, the request still depends on it. */
  std::optional<Attempt> m_silent_attempt;
  /** Of answers, and parts of events, that the caller hasn't got. */
  std::size_t m_buffered_bytes = 0;
  /** Set if all suitable upstreams pause for longer than the caller waits, or
   * its team has no credit. */
  base::TimePoint m_pause_ends_at;

  std::string m_charged_by;  ///< control host that charged the team, or ""
  base::TimePoint m_charged_at;

  /** Why this host cancelled the attempt, or nullptr. */
  const char *m_cancel_reason = nullptr;

  // Outcome, for the log.
  bool m_is_caller_gone = false;
  std::string m_upstream;                    ///< of the last attempt
  base::milliseconds m_expected_latency{0};  ///< of the last choice
  std::uint32_t m_prefill_tokens = 0;        ///< of the last choice
  int m_loads_queried = 0;                   ///< runners, at the last choice
  int m_loads_known = 0;  ///< of these, those whose load was learned
  int m_status = 0;       ///< 0 if none was sent
  std::string m_outcome;
  base::Duration m_wait_time{0};  ///< for an upstream that can run it
  /** First byte of a stream, or the end of another answer. */
  base::TimePoint m_first_byte_at;
  base::TimePoint m_last_byte_at;   ///< last byte of a stream so far
  base::Duration m_longest_gap{0};  ///< between bytes of a stream
};

/** Candidates whose load was queried for one request. */
struct PendingLoadQuery {
  const ChoiceRequest *m_request = nullptr;
  Candidates *m_candidates = nullptr;
  int m_missing_answers = 0;
};

/** Queries to control hosts that shall charge one request. */
struct PendingCharge {
  std::uint64_t m_number = 0;
  std::set<std::string> m_asked;  ///< message endpoints
  gen::QuotaOutcome m_outcome = gen::QUOTA_UNKNOWN;
  std::string m_last_asked;
  bool m_is_declined = false;  ///< the host asked last can't tell
  std::string m_answered_by;
  bool m_is_pending = false;            ///< m_answered_by waits for credit
  base::milliseconds m_retry_after{0};  ///< with QUOTA_EXHAUSTED
};

/** Registers a request as active while it is in scope. */
struct ActiveRequestGuard {
  ActiveRequestGuard(Gateway *gateway, RequestScope *scope);
  ~ActiveRequestGuard();
  ActiveRequestGuard(const ActiveRequestGuard &) = delete;
  ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

  Gateway *m_gateway;
  RequestScope *m_scope;
};

/** Records whether the end of an answer reached its caller's connection. */
inline void RecordSent(RequestScope *scope, const base::Result<void> &sent) {
  if (sent) return;
  scope->m_outcome = "unsent";
  if (!scope->m_reason.empty()) scope->m_reason += ", ";
  scope->m_reason += sent.error().m_message;
}

/** @return what the last attempt of a request says about its upstream. */
gen::LoadOutcome GetLoadOutcome(const RequestScope &scope);

/** @return the time until the deadline of a request. */
inline base::Duration GetRemaining(const RequestScope &scope,
                                   base::TimePoint now) {
  return scope.m_deadline - now;
}

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_GATEWAY_INTERNAL_H_
