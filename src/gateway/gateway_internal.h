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
  RequestMetadata m_facts;
  routes::RouteIndexPtr m_routes;
  const gen::Route *m_route = nullptr;
  const gen::RoutedService *m_service = nullptr;
  std::vector<std::uint64_t> m_chain_keys;
  std::uint64_t m_draw = 0;
  base::TimePoint m_started;
  base::TimePoint m_deadline;

  // Progress over all attempts.
  std::set<std::string> m_excluded;
  int m_sends = 0;              ///< attempts that reached an upstream
  int m_runs = 0;               ///< of these, those that may have run
  int m_not_runs = 0;           ///< of these, those that surely didn't
  bool m_is_head_sent = false;  ///< the caller has status and headers
  std::optional<std::uint64_t> m_last_event_id;  ///< passed on to the caller
  EventCutter m_cutter;

  // The attempt in progress.
  net::HttpCall *m_call = nullptr;
  AttemptEnd m_end = AttemptEnd::kUnknown;
  std::string m_reason;  ///< why the attempt ended as it did

  // Outcome, for the log.
  bool m_is_caller_gone = false;
  std::string m_upstream;             ///< last one tried
  base::milliseconds m_expected{0};   ///< of the last choice
  std::uint32_t m_unread_tokens = 0;  ///< of the last choice
  int m_books_asked = 0;              ///< for the last choice
  int m_books_known = 0;              ///< of these, those that answered
  int m_status = 0;                   ///< 0: none was sent
  std::string m_outcome;
  base::Duration m_waited{0};       ///< for an upstream that can run it
  base::TimePoint m_sent_at;        ///< of the last attempt
  base::TimePoint m_first_at;       ///< first byte from an upstream
  base::TimePoint m_last_at;        ///< last byte from an upstream
  base::Duration m_longest_gap{0};  ///< between bytes from upstreams
};

/** Candidates of a request whose books were asked. */
struct PendingLoads {
  const ChoiceRequest *m_request = nullptr;
  Candidates *m_candidates = nullptr;
  int m_missing = 0;  ///< answers
};

/** Keeps a request in the set that the sweep looks at. */
struct ActiveGuard {
  ActiveGuard(Gateway *gateway, RequestScope *scope);
  ~ActiveGuard();
  ActiveGuard(const ActiveGuard &) = delete;
  ActiveGuard &operator=(const ActiveGuard &) = delete;

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
