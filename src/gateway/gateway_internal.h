/** @file gateway_internal.h State of one request, for the request path alone.
 */

#ifndef WASABIWIND_GATEWAY_GATEWAY_INTERNAL_H_
#define WASABIWIND_GATEWAY_GATEWAY_INTERNAL_H_

#include "gateway/event_stream_func.h"
#include "gateway/gateway.h"

namespace wasabiwind::gateway {

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
  kAnswered,  ///< the caller has its final answer
  kNotRun,    ///< the upstream surely didn't run it
  kUnknown,   ///< it may have run, or ran and failed
  kTimedOut,  ///< the time of the request is over
  kCallerGone,
  kEnd,
};

struct RequestScope {
  const net::HttpRequest *m_request = nullptr;
  net::HttpExchange *m_exchange = nullptr;
  RequestMetadata m_metadata;
  routes::RouteIndexPtr m_routes;
  const gen::Route *m_route = nullptr;
  const gen::RoutedService *m_service = nullptr;
  std::vector<std::uint64_t> m_prefix_keys;
  std::uint64_t m_request_hash = 0;
  base::TimePoint m_started_at;
  base::TimePoint m_deadline;

  // Progress over all attempts.
  std::set<std::string> m_excluded;
  int m_send_count = 0;          ///< attempts that reached an upstream
  int m_possible_run_count = 0;  ///< of these, those that may have run
  int m_not_run_count = 0;       ///< of these, those that surely didn't
  bool m_is_head_sent = false;   ///< the caller has status and headers
  std::optional<std::uint64_t> m_last_event_id;  ///< passed on to the caller
  EventSplitter m_splitter;

  // The attempt in progress.
  net::HttpCall *m_call = nullptr;
  AttemptEnd m_attempt_end = AttemptEnd::kUnknown;
  std::string m_reason;  ///< why the attempt ended as it did

  // Outcome, for the log.
  bool m_is_caller_gone = false;
  std::string m_upstream;                    ///< last one tried
  base::milliseconds m_expected_latency{0};  ///< of the last choice
  std::uint32_t m_prefill_tokens = 0;        ///< of the last choice
  int m_loads_queried = 0;                   ///< for the last choice
  int m_loads_known = 0;                     ///< of these, those that answered
  int m_status = 0;                          ///< 0: none was sent
  std::string m_outcome;
  base::Duration m_wait_time{0};    ///< for an upstream that can run it
  base::TimePoint m_sent_at;        ///< of the last attempt
  base::TimePoint m_first_byte_at;  ///< first byte from an upstream
  base::TimePoint m_last_byte_at;   ///< last byte from an upstream
  base::Duration m_longest_gap{0};  ///< between bytes from upstreams
};

/** Candidates of a request whose books were asked. */
struct PendingLoadQuery {
  const ChoiceRequest *m_request = nullptr;
  Candidates *m_candidates = nullptr;
  int m_missing_answers = 0;  ///< answers
};

/** Keeps a request in the set that the sweep looks at. */
struct ActiveRequestGuard {
  ActiveRequestGuard(Gateway *gateway, RequestScope *scope);
  ~ActiveRequestGuard();
  ActiveRequestGuard(const ActiveRequestGuard &) = delete;
  ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

  Gateway *m_gateway;
  RequestScope *m_scope;
};

/** @return the time that a request still has. */
inline base::Duration GetRemaining(const RequestScope &scope,
                                   base::TimePoint now) {
  return scope.m_deadline - now;
}

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_GATEWAY_INTERNAL_H_
