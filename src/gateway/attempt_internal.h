/** @file attempt_internal.h Shared by the steps of one attempt. */

#ifndef WASABIWIND_GATEWAY_ATTEMPT_INTERNAL_H_
#define WASABIWIND_GATEWAY_ATTEMPT_INTERNAL_H_

#include "gateway/gateway_internal.h"

namespace wasabiwind::gateway {

/** What a failed attempt adds to the failures of its upstream. */
inline constexpr double kFailureWeight = 1.0;

/** @param reason why it failed, "" for kAnswered */
inline void EndAttempt(RequestScope *scope, AttemptEnd end,
                       const char *reason) {
  scope->m_attempt_end = end;
  scope->m_reason = reason;
}

/** Ends an attempt after a failed read from the upstream. */
inline void EndFailedRead(RequestScope *scope, const base::Error &error) {
  if (scope->m_is_caller_gone) {
    EndAttempt(scope, AttemptEnd::kCallerGone, "caller_gone");
  } else if (error.m_kind == base::ErrorKind::kTimeout) {
    EndAttempt(scope, AttemptEnd::kTimedOut, "timeout");
  } else if (scope->m_cancel_reason != nullptr) {
    EndAttempt(scope, AttemptEnd::kUnknown, scope->m_cancel_reason);
  } else {
    EndAttempt(scope, AttemptEnd::kUnknown, "connection_lost");
    scope->m_attempt.m_is_connection_lost = true;
  }
}

template <typename Value>
bool IsTimeout(const base::Result<Value> &result) {
  return !result && result.error().m_kind == base::ErrorKind::kTimeout;
}

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }

/** @return whether the route allows another attempt after the current one. */
inline bool HasAttemptsLeft(const RequestScope &scope) {
  return routes::IsRepeatable(*scope.m_route) &&
         scope.m_possible_run_count + 1 <
             static_cast<int>(scope.m_route->max_attempts());
}

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_ATTEMPT_INTERNAL_H_
