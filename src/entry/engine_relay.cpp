/** @file engine_relay.cpp Relay of chat and completion requests to engines. */

#include <fmt/format.h>

#include <algorithm>

#include "entry/completion_request.h"
#include "entry/entry_internal.h"
#include "entry/token_stream.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::entry {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
/** Bound in tokens that is assumed for a stream whose caller gives none. */
constexpr std::int64_t kDefaultMaxTokens = 512;
/** Shortest time between two reports of tokens to routing. */
constexpr base::milliseconds kProgressInterval{50};

/** How one attempt ended. */
enum class AttemptEnd : std::uint8_t {
  kAnswered,    ///< the caller has its complete answer
  kCallerGone,  ///< the caller has disconnected
  kDeadline,    ///< the request's deadline passed
  kFailed,      ///< another attempt may help
};

/** @return whether the status means that the engine didn't run the request. */
bool IsNotAccepted(int status) {
  return status == kTooManyRequests || status == kUnavailable ||
         status == kNotFound || status == kConflict;
}

/** Sends one request to engines until one has answered it. */
class EngineRelay {
 public:
  EngineRelay(RequestScope *scope, CompletionRequest completion,
              const config::ResolvedModel &model)
      : m_scope(scope),
        m_completion(std::move(completion)),
        m_model(model),
        m_shared(*scope->m_shared) {}

  void Run();

 private:
  AcquireRequest MakeAcquireRequest() const;
  void ReportUse();
  std::optional<UpstreamLease> TryOnce(const UpstreamLease &lease);
  AttemptEnd RunAttempt(const UpstreamLease &lease);
  AttemptEnd ReadAnswer(const net::HttpClientPool::StartResult &start,
                        const std::string &attempt_id);
  AttemptEnd RelayStream(net::HttpCall *call);
  AttemptEnd RelayWhole(net::HttpCall *call, net::HttpResponse response);
  AttemptEnd FinishStream();
  AttemptEnd WriteToCaller();
  void NoteProgress();
  AttemptEnd Fail(RetryReason reason, const std::string &detail);
  AttemptEnd FailRead(const base::Error &error, RetryReason reason);
  base::TimePoint NextPartDeadline() const;

  RequestScope *m_scope;
  CompletionRequest m_completion;
  config::ResolvedModel m_model;
  EntryShared &m_shared;

  TokenProgress m_progress;
  EventReader m_reader;
  std::string m_output;  ///< events to be written to the caller
  const UpstreamLease *m_lease = nullptr;  ///< of the present attempt
  std::uint64_t m_tokens_before = 0;       ///< delivered by earlier attempts
  bool m_has_first_part = false;           ///< of the present attempt
  base::TimePoint m_noted_at;              ///< last report of tokens to routing
  AttemptFailure m_failure;                ///< of the last attempt
};

AcquireRequest EngineRelay::MakeAcquireRequest() const {
  AcquireRequest acquire_request;
  acquire_request.m_deployment =
      base::DeploymentId(m_model.m_deployment->name());
  acquire_request.m_target = m_model.m_target;
  acquire_request.m_customer = base::CustomerId(m_scope->m_customer);
  acquire_request.m_customer_weight = m_scope->m_customer_weight;
  acquire_request.m_priority = m_scope->m_priority;
  acquire_request.m_prompt_bytes = m_completion.m_prompt_bytes;
  if (m_completion.m_is_stream) {
    acquire_request.m_max_tokens = m_completion.m_max_tokens > 0
                                       ? m_completion.m_max_tokens
                                       : kDefaultMaxTokens;
  }
  acquire_request.m_affinity = m_completion.m_affinity;
  acquire_request.m_is_repeatable = true;
  acquire_request.m_deadline = m_scope->m_deadline;
  return acquire_request;
}

/** Reports to control that the target is in use, if a report is due. */
void EngineRelay::ReportUse() {
  const std::string &deployment = m_model.m_deployment->name();
  std::string adapter =
      m_model.m_adapter == nullptr ? "" : m_model.m_adapter->name();
  base::TimePoint now = base::Clock::now();
  if (!m_shared.m_usage.NoteUse(deployment, adapter, now)) return;
  gen::ActivationRequest use;
  use.set_deployment(deployment);
  use.set_adapter(adapter);
  use.set_region(m_shared.m_settings.node().region());
  m_shared.m_link->RequestActivation(use);
}

void EngineRelay::Run() {
  std::optional<UpstreamLease> lease =
      AcquireUpstream(m_scope, MakeAcquireRequest());
  if (lease) ReportUse();
  while (lease) lease = TryOnce(*lease);
}

/** @return the lease of the next attempt, or nothing at the end. */
std::optional<UpstreamLease> EngineRelay::TryOnce(const UpstreamLease &lease) {
  Dispatcher &dispatcher = *m_shared.m_dispatcher;
  m_lease = &lease;
  m_tokens_before = m_progress.m_tokens;
  bool may_have_run_before = m_scope->m_may_have_run;
  AttemptEnd end = RunAttempt(lease);
  m_lease = nullptr;
  std::uint64_t tokens = m_progress.m_tokens - m_tokens_before;
  m_scope->m_tokens = m_progress.m_tokens;
  const base::UpstreamId &upstream = lease.m_upstream->m_id;
  switch (end) {
    case AttemptEnd::kAnswered:
      dispatcher.Finish(lease, std::max<std::uint64_t>(tokens, 1));
      NoteAttempt(m_scope, upstream, "ok");
      return std::nullopt;
    case AttemptEnd::kCallerGone:
      dispatcher.Abandon(lease);
      NoteAttempt(m_scope, upstream, "cancelled");
      HandleCallerGone(m_scope);
      return std::nullopt;
    case AttemptEnd::kDeadline:
      dispatcher.Abandon(lease);
      NoteAttempt(m_scope, upstream, "deadline");
      Refuse(m_scope, route::RefusalReason::kUpstreamTimeout);
      return std::nullopt;
    default:
      break;
  }
  NoteAttempt(m_scope, upstream, GetRetryReasonName(m_failure.m_reason));
  bool is_first_possible_run = m_scope->m_may_have_run && !may_have_run_before;
  m_failure.m_ran = is_first_possible_run ? route::ExecutionState::kUnknown
                                          : route::ExecutionState::kNotRun;
  m_failure.m_tokens = tokens;
  return RetryUpstream(m_scope, lease, m_failure);
}

AttemptEnd EngineRelay::Fail(RetryReason reason, const std::string &detail) {
  m_failure.m_reason = reason;
  m_failure.m_detail = detail;
  return AttemptEnd::kFailed;
}

/** Ends an attempt after an error of its connection. @param reason if neither
 * the caller, the deadline nor a stall is the cause */
AttemptEnd EngineRelay::FailRead(const base::Error &error, RetryReason reason) {
  if (m_scope->m_is_caller_gone) return AttemptEnd::kCallerGone;
  if (base::Clock::now() >= m_scope->m_deadline) return AttemptEnd::kDeadline;
  bool is_stalled = error.m_kind == base::ErrorKind::kTimeout;
  return Fail(is_stalled ? RetryReason::kStalled : reason, error.m_message);
}

base::TimePoint EngineRelay::NextPartDeadline() const {
  base::milliseconds stall(m_shared.m_settings.entry().stall_ms());
  return std::min(m_scope->m_deadline, base::Clock::now() + stall);
}

AttemptEnd EngineRelay::RunAttempt(const UpstreamLease &lease) {
  // The attempt has an ID of its own, so that a late cancel of it can't hit
  // another attempt or another caller's request with the same ID.
  std::string attempt_id =
      fmt::format("{}.{:08x}{:x}", m_scope->m_id, m_shared.m_process_nonce,
                  ++m_shared.m_id_counter);
  EngineExtensions extensions;
  extensions.m_target = m_model.m_target.Value();
  extensions.m_priority = GetPriorityName(m_scope->m_priority);
  extensions.m_request_id = attempt_id;
  extensions.m_resume_from_token = m_progress.m_tokens;
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = std::string(m_scope->m_request->Path());
  request.m_headers.Add("Content-Type", "application/json");
  request.m_headers.Add("X-Request-Id", attempt_id);
  request.m_headers.Add("X-Deadline-Ms",
                        std::to_string(RemainingTime(*m_scope).count()));
  request.m_body = MakeEngineBody(m_completion, extensions);
  net::HttpClientPool::StartResult start = m_scope->m_thread->m_pool.Start(
      lease.m_upstream->m_endpoint, request, m_scope->m_deadline);
  if (start.m_call == nullptr) {
    bool is_sent = start.m_send_state != net::SendState::kNothingSent;
    m_scope->m_may_have_run = m_scope->m_may_have_run || is_sent;
    return FailRead(start.m_error, is_sent ? RetryReason::kAnswerLost
                                           : RetryReason::kConnectFailed);
  }
  bool may_have_run_before = m_scope->m_may_have_run;
  m_scope->m_may_have_run = true;
  m_scope->m_cancel = [call = start.m_call.get()] { call->Cancel(); };
  AttemptEnd end = m_scope->m_is_caller_gone ? AttemptEnd::kCallerGone
                                             : ReadAnswer(start, attempt_id);
  m_scope->m_cancel = nullptr;
  if (end == AttemptEnd::kAnswered) return end;
  if (end == AttemptEnd::kFailed &&
      m_failure.m_reason == RetryReason::kNotAccepted) {
    m_scope->m_may_have_run = may_have_run_before;
    return end;
  }
  start.m_call->Discard();
  CancelAtEngine(m_scope, lease.m_upstream->m_endpoint, attempt_id);
  return end;
}

AttemptEnd EngineRelay::ReadAnswer(
    const net::HttpClientPool::StartResult &start,
    const std::string &attempt_id) {
  net::HttpCall *call = start.m_call.get();
  base::Result<net::HttpResponse> head = call->ReadHead(
      m_completion.m_is_stream ? NextPartDeadline() : m_scope->m_deadline);
  if (!head) return FailRead(head.error(), RetryReason::kAnswerLost);
  std::string echoed = head->m_headers.Get("X-Request-Id");
  // Errors may lack an ID, but on a connection that was used before they may be
  // a repeated answer to an earlier request.
  bool must_have_id = start.m_is_reused && head->m_status >= 400;
  bool has_id = !echoed.empty() || must_have_id;
  if (has_id && echoed != attempt_id) {
    return Fail(RetryReason::kBadAnswer,
                "the answer carries the ID of another request");
  }
  if (IsNotAccepted(head->m_status)) {
    std::string rest;
    (void)call->ReadSome(&rest, NextPartDeadline());
    return Fail(RetryReason::kNotAccepted,
                fmt::format("status {} of the engine", head->m_status));
  }
  if (head->m_status >= 500) {
    return Fail(RetryReason::kServerError,
                fmt::format("status {} of the engine", head->m_status));
  }
  if (head->m_status != 200 || !m_completion.m_is_stream) {
    return RelayWhole(call, std::move(*head));
  }
  constexpr std::string_view kEventStream = "text/event-stream";
  if (head->m_headers.Get("Content-Type").substr(0, kEventStream.size()) !=
      kEventStream) {
    return Fail(RetryReason::kBadAnswer, "the engine answered no stream");
  }
  return RelayStream(call);
}

AttemptEnd EngineRelay::RelayWhole(net::HttpCall *call,
                                   net::HttpResponse response) {
  auto max_bytes =
      static_cast<std::size_t>(m_shared.m_settings.entry().max_answer_bytes());
  while (true) {
    base::Result<bool> more =
        call->ReadSome(&response.m_body, m_scope->m_deadline);
    if (!more) return FailRead(more.error(), RetryReason::kAnswerLost);
    if (!*more) break;
    if (response.m_body.size() > max_bytes) {
      return Fail(RetryReason::kBadAnswer, "the engine's answer is too long");
    }
  }
  if (m_scope->m_exchange->HasStarted()) {
    // A resumed stream was answered with an error status.
    return Fail(RetryReason::kBadAnswer,
                fmt::format("status {} of the engine", response.m_status));
  }
  net::HttpResponse answer =
      net::MakeJsonResponse(response.m_status, std::move(response.m_body));
  Answer(m_scope, std::move(answer));
  return AttemptEnd::kAnswered;
}

AttemptEnd EngineRelay::RelayStream(net::HttpCall *call) {
  m_reader = EventReader();
  m_has_first_part = false;
  m_progress.m_is_resumed = m_scope->m_exchange->HasStarted();
  if (m_progress.m_is_resumed) m_shared.m_metrics.m_resumed.Increment();
  while (true) {
    base::Result<bool> more =
        call->ReadSome(m_reader.Buffer(), NextPartDeadline());
    if (!more) {
      if (m_progress.m_is_finished) return FinishStream();
      return FailRead(more.error(), RetryReason::kStreamBroken);
    }
    EventAction action = EventAction::kForward;
    while (action == EventAction::kForward || action == EventAction::kDrop) {
      TokenEvent event;
      base::Result<bool> next = m_reader.Next(&event);
      if (!next) {
        action = EventAction::kBroken;
        break;
      }
      if (!*next) break;
      action = ClassifyEvent(event, &m_progress);
      if (action != EventAction::kForward) continue;
      m_output += "data: ";
      m_output += event.m_data;
      m_output += "\n\n";
    }
    if (action == EventAction::kDone) {
      // Reads the end of the body, so that the connection can be reused.
      std::string rest;
      (void)call->ReadSome(&rest, NextPartDeadline());
      return FinishStream();
    }
    AttemptEnd written = WriteToCaller();
    if (written != AttemptEnd::kAnswered) return written;
    if (action == EventAction::kBroken) {
      return Fail(RetryReason::kBadAnswer, "the engine's events are not valid");
    }
    if (*more) continue;
    if (m_progress.m_is_finished) return FinishStream();
    return Fail(RetryReason::kStreamBroken, "the stream ended without [DONE]");
  }
}

/** Writes the remaining events and [DONE], and ends the stream. */
AttemptEnd EngineRelay::FinishStream() {
  m_output += "data: [DONE]\n\n";
  AttemptEnd written = WriteToCaller();
  if (written != AttemptEnd::kAnswered) return written;
  if (!m_scope->m_exchange->EndStream()) return AttemptEnd::kCallerGone;
  m_scope->m_outcome = "answered";
  m_shared.m_metrics.m_answered.Increment();
  return AttemptEnd::kAnswered;
}

/** Reports tokens to routing, rarely enough to keep its lock uncontended. */
void EngineRelay::NoteProgress() {
  base::TimePoint now = base::Clock::now();
  if (!m_has_first_part) {
    m_has_first_part = true;
    m_noted_at = now;
    m_shared.m_dispatcher->NoteFirstToken(*m_lease);
  } else if (now - m_noted_at >= kProgressInterval) {
    m_noted_at = now;
    m_shared.m_dispatcher->NoteTokens(*m_lease,
                                      m_progress.m_tokens - m_tokens_before);
  }
}

/** Writes m_output to the caller.
 * @return kCallerGone if that failed, else kAnswered: the stream may go on */
AttemptEnd EngineRelay::WriteToCaller() {
  if (m_output.empty()) return AttemptEnd::kAnswered;
  NoteProgress();
  if (!m_scope->m_exchange->HasStarted()) {
    net::HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("Cache-Control", "no-cache");
    headers.Add("X-Request-Id", m_scope->m_id);
    m_scope->m_status = 200;
    m_scope->m_first_token = base::Clock::now() - m_scope->m_start;
    if (!m_scope->m_exchange->BeginStream(200, headers)) {
      return AttemptEnd::kCallerGone;
    }
  }
  m_scope->m_answer_bytes += m_output.size();
  base::Result<void> written = m_scope->m_exchange->WriteStream(m_output);
  m_output.clear();
  return written ? AttemptEnd::kAnswered : AttemptEnd::kCallerGone;
}

}  // namespace

void RelayCompletion(RequestScope *scope, bool is_chat) {
  scope->m_kind = is_chat ? "chat" : "completion";
  base::Result<CompletionRequest> completion =
      ParseCompletionRequest(scope->m_request->m_body, is_chat);
  if (!completion) {
    Refuse(scope, route::RefusalReason::kBadRequest,
           completion.error().ToString());
    return;
  }
  scope->m_name = completion->m_model;
  config::ResolvedModel model =
      config::ResolveModel(*scope->m_catalog, completion->m_model);
  if (model.m_deployment == nullptr) {
    Refuse(scope, route::RefusalReason::kUnknownModel, completion->m_model);
    return;
  }
  const gen::Deployment &deployment = *model.m_deployment;
  bool may_serve = scope->m_shared->m_link->IsFresh(scope->m_start) ||
                   deployment.cut_off() == "serve";
  if (!may_serve) {
    Refuse(scope, route::RefusalReason::kStaleConfiguration);
    return;
  }
  const auto &customers = deployment.customers();
  if (!customers.empty() && std::find(customers.begin(), customers.end(),
                                      scope->m_customer) == customers.end()) {
    Refuse(scope, route::RefusalReason::kNotAllowed, deployment.name());
    return;
  }
  if (scope->m_request->m_headers.Find("X-Priority") == nullptr) {
    scope->m_priority =
        FindPriority(deployment.priority()).value_or(Priority::kStandard);
  }
  EngineRelay(scope, std::move(*completion), model).Run();
}

}  // namespace wasabiwind::entry
