/** @file refusal.cpp Table of refusal reasons. */

#include <array>
#include <cassert>

#include "route/refusal_type.h"

namespace wasabiwind::route {

namespace {

constexpr std::array<RefusalRow, static_cast<std::size_t>(RefusalReason::kEnd)>
    kRefusalRows = {{
        {"bad_request", 400, false, "the request is malformed; correct it"},
        {"unknown_model", 404, false,
         "the model isn't deployed; GET /v1/models lists the names"},
        {"unknown_service", 404, false,
         "the service isn't declared; check the path"},
        {"unauthorized", 401, false,
         "the customer's credentials are missing or wrong; send Authorization: "
         "Bearer with a valid key"},
        {"not_allowed", 403, false,
         "the deployment isn't open to this customer; ask the operators"},
        {"stale_configuration", 503, true,
         "this node can't confirm its configuration; use another address from "
         "GET /v1/addresses"},
        {"stopping", 503, true,
         "this node is shutting down; use another address from GET "
         "/v1/addresses"},
        {"rate_limited", 429, true,
         "a declared limit is used up; retry after the stated time"},
        {"queue_full", 503, true,
         "too many requests are waiting; retry after the stated time"},
        {"deadline_too_short", 503, true,
         "the request can't be served before its deadline; retry later or "
         "allow more time"},
        {"deadline_passed", 504, true,
         "the deadline passed while the request waited; retry later"},
        {"cold_start_too_late", 503, true,
         "the model can't be loaded before the deadline; retry after the "
         "stated time"},
        {"no_upstream", 503, true,
         "no upstream can serve the request now; retry after the stated time"},
        {"upstream_failed", 502, true,
         "the upstreams that were tried failed; retry later"},
        {"upstream_timeout", 504, true,
         "the upstream didn't answer before the deadline"},
        {"key_required", 400, false,
         "the call isn't idempotent; send an Idempotency-Key header"},
        {"key_conflict", 422, false,
         "the Idempotency-Key was used for a different request; use a new key"},
        {"key_in_progress", 409, true,
         "a request with this Idempotency-Key is running; retry to get its "
         "answer"},
        {"key_expired", 410, false,
         "the Idempotency-Key is older than its retention; check whether the "
         "action happened and use a new key"},
        {"recorder_unavailable", 503, true,
         "the request can't be recorded durably now; retry with the same key"},
        {"outcome_unknown", 502, false,
         "the request may have run and no answer is kept; check before you "
         "send it under a new key"},
    }};

}  // namespace

const RefusalRow &GetRefusalRow(RefusalReason reason) {
  assert(reason < RefusalReason::kEnd);
  return kRefusalRows[static_cast<std::size_t>(reason)];
}

const char *GetExecutionStateName(ExecutionState ran) {
  return ran == ExecutionState::kNotRun ? "not_run" : "unknown";
}

}  // namespace wasabiwind::route
