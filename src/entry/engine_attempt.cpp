/** @file engine_attempt.cpp One attempt to get an answer from an engine. */

#include "entry/engine_attempt.h"

#include <fmt/format.h>

namespace wasabiwind::entry {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

/** @return whether the status means that the engine didn't run the request. */
bool IsNotAccepted(int status) {
  return status == kTooManyRequests || status == kUnavailable ||
         status == kNotFound || status == kConflict;
}

AttemptFailure MakeStatusFailure(RetryReason reason, int status) {
  return MakeFailure(reason, fmt::format("status {} of the engine", status));
}

}  // namespace

AttemptFailure MakeFailure(RetryReason reason, const std::string &detail) {
  AttemptFailure failure;
  failure.m_reason = reason;
  failure.m_detail = detail;
  return failure;
}

bool SendAttempt(EntryThread *thread, EngineAttempt *attempt,
                 net::HttpClientPool::Reuse reuse) {
  attempt->m_start =
      thread->m_pool.Start(attempt->m_lease.m_upstream->m_endpoint,
                           attempt->m_request, attempt->m_deadline, reuse);
  return attempt->m_start.m_call != nullptr;
}

base::Result<void> ReadMore(EngineAttempt *attempt, base::TimePoint deadline) {
  net::HttpCall *call = attempt->m_start.m_call.get();
  if (!attempt->m_head) {
    base::Result<net::HttpResponse> head = call->ReadHead(deadline);
    if (!head) return tl::unexpected(head.error());
    attempt->m_head = std::move(*head);
    return {};
  }
  base::Result<bool> more =
      call->ReadSome(attempt->m_reader.Buffer(), deadline);
  if (!more) return tl::unexpected(more.error());
  attempt->m_is_body_complete = !*more;
  return {};
}

std::optional<AttemptFailure> CheckHead(const EngineAttempt &attempt) {
  const net::HttpResponse &head = *attempt.m_head;
  std::string echoed = head.m_headers.Get("X-Request-Id");
  // Errors may lack an ID, but on a connection that was used before they may be
  // a repeated answer to an earlier request.
  bool must_have_id = attempt.m_start.m_is_reused && head.m_status >= 400;
  bool has_id = !echoed.empty() || must_have_id;
  if (has_id && echoed != attempt.m_id) {
    return MakeFailure(RetryReason::kBadAnswer,
                       "the answer carries the ID of another request");
  }
  if (IsNotAccepted(head.m_status)) {
    return MakeStatusFailure(RetryReason::kNotAccepted, head.m_status);
  }
  if (head.m_status >= 500) {
    return MakeStatusFailure(RetryReason::kServerError, head.m_status);
  }
  return std::nullopt;
}

std::optional<AttemptFailure> CheckStreamHead(const EngineAttempt &attempt) {
  std::optional<AttemptFailure> failure = CheckHead(attempt);
  if (failure) return failure;
  const net::HttpResponse &head = *attempt.m_head;
  if (head.m_status != 200) {
    return MakeStatusFailure(RetryReason::kBadAnswer, head.m_status);
  }
  constexpr std::string_view kEventStream = "text/event-stream";
  std::string type = head.m_headers.Get("Content-Type");
  if (type.substr(0, kEventStream.size()) == kEventStream) return std::nullopt;
  return MakeFailure(RetryReason::kBadAnswer, "the engine answered no stream");
}

std::optional<EventAction> TakeEvent(EventReader *reader,
                                     TokenProgress *progress,
                                     std::string *output) {
  TokenEvent event;
  base::Result<bool> next = reader->Next(&event);
  if (!next) return EventAction::kBroken;
  if (!*next) return std::nullopt;
  EventAction action = ClassifyEvent(event, progress);
  if (action != EventAction::kForward) return action;
  *output += "data: ";
  *output += event.m_data;
  *output += "\n\n";
  return action;
}

void StopAttempt(EntryShared *shared, EntryThread *thread,
                 EngineAttempt *attempt) {
  if (attempt->m_start.m_call == nullptr) return;
  attempt->m_start.m_call->Discard();
  attempt->m_start.m_call.reset();
  std::optional<AttemptFailure> failure;
  if (attempt->m_head) failure = CheckHead(*attempt);
  if (failure && failure->m_reason == RetryReason::kNotAccepted) return;
  CancelAtEngine(shared, thread, attempt->m_lease.m_upstream->m_endpoint,
                 attempt->m_id);
}

void ReportFailure(RequestScope *scope, const EngineAttempt &attempt,
                   RetryReason reason, std::uint64_t tokens) {
  bool is_not_run = reason == RetryReason::kNotAccepted ||
                    reason == RetryReason::kConnectFailed;
  scope->m_shared->m_dispatcher->NoteFailure(
      attempt.m_lease,
      is_not_run ? route::ExecutionState::kNotRun
                 : route::ExecutionState::kUnknown,
      tokens);
  NoteAttempt(scope, attempt.m_lease.m_upstream->m_id,
              GetRetryReasonName(reason));
}

}  // namespace wasabiwind::entry
