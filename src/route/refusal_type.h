/** @file refusal_type.h Reasons why a request is refused. */

#ifndef WASABIWIND_ROUTE_REFUSAL_TYPE_H_
#define WASABIWIND_ROUTE_REFUSAL_TYPE_H_

#include <cstdint>
#include <string>

#include "base/time_type.h"

namespace wasabiwind::route {

/** Why a request is refused. */
enum class RefusalReason : std::uint8_t {
  kBadRequest,           ///< body or headers are malformed
  kUnknownModel,         ///< no such deployment or adapter
  kUnknownService,       ///< no such service
  kUnauthorized,         ///< customer credentials are missing or wrong
  kNotAllowed,           ///< the deployment isn't open to the customer
  kStaleConfiguration,   ///< this node can't confirm its configuration
  kStopping,             ///< this node is shutting down
  kRateLimited,          ///< a declared limit is used up
  kQueueFull,            ///< the queue's bound is reached
  kDeadlineTooShort,     ///< the predicted wait exceeds the deadline
  kDeadlinePassed,       ///< the deadline passed while the request waited
  kColdStartTooLate,     ///< the model can't be loaded before the deadline
  kNoUpstream,           ///< no upstream may or can serve it
  kUpstreamFailed,       ///< upstreams failed and retries are used up
  kUpstreamTimeout,      ///< the upstream didn't answer in time
  kKeyRequired,          ///< a non-idempotent request without Idempotency-Key
  kKeyConflict,          ///< the key was used for a different request
  kKeyInProgress,        ///< another request with this key is running
  kKeyExpired,           ///< the key is older than its retention
  kRecorderUnavailable,  ///< no majority of recorders can be reached
  kOutcomeUnknown,       ///< the request may have run; no answer is kept
  kEnd,
};

/** Whether a refused request was executed. */
enum class ExecutionState : std::uint8_t { kNotRun, kUnknown, kEnd };

/** Properties of a refusal reason. */
struct RefusalRow {
  const char *m_name;     ///< value of "reason", also the metric label
  int m_status;           ///< HTTP status
  bool m_may_retry;       ///< a later attempt may succeed
  const char *m_message;  ///< what happened and what the caller can do
};

/** A refusal as it is sent to the caller. */
struct Refusal {
  RefusalReason m_reason = RefusalReason::kEnd;
  ExecutionState m_ran = ExecutionState::kNotRun;
  base::milliseconds m_retry_after{0};  ///< 0: no time is given
  std::string m_detail;                 ///< values for the message; may be ""
};

/** @return the row of a reason. @pre reason < RefusalReason::kEnd */
const RefusalRow &GetRefusalRow(RefusalReason reason);

/** @return "not_run" or "unknown". */
const char *GetExecutionStateName(ExecutionState ran);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_REFUSAL_TYPE_H_
