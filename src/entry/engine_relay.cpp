/** @file engine_relay.cpp Relay of chat and completion requests to engines. */

#include <fmt/format.h>

#include <algorithm>

#include "entry/completion_request.h"
#include "entry/engine_backup.h"
#include "entry/entry_internal.h"
#include "entry/token_stream.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::entry {

namespace {

/** Bound in tokens that is assumed for a stream whose caller gives none. */
constexpr std::int64_t kDefaultMaxTokens = 512;
/** Shortest time between two reports of tokens to routing. */
constexpr base::milliseconds kProgressInterval{50};
/** Wait for the end of a body after its last event; usually it is there. */
constexpr base::milliseconds kBodyEndTimeout{100};
/** How often the backups of a silent attempt are looked at. */
constexpr base::milliseconds kBackupCheckInterval{50};
/** Time until a backup is requested again after none could be started or one
 * has failed. */
constexpr base::milliseconds kBackupRetryInterval{250};

/** How one attempt ended. */
enum class AttemptEnd : std::uint8_t {
  kAnswered,    ///< the caller has its complete answer
  kCallerGone,  ///< the caller has disconnected
  kDeadline,    ///< the request's deadline passed
  kFailed,      ///< another attempt may help
};

/**
 * Sends one request to engines until one has answered it. While the engine of a
 * stream is silent, others are asked to go on with it as backups; the silent
 * attempt is left only once a backup has a token, because none may ever have.
 */
class EngineRelay {
 public:
  EngineRelay(RequestScope *scope, CompletionRequest completion,
              const config::ResolvedModel &model)
      : m_scope(scope),
        m_completion(std::move(completion)),
        m_model(model),
        m_shared(*scope->m_shared),
        m_backups(scope) {}

  void Run();

 private:
  AcquireRequest MakeAcquireRequest() const;
  void ReportUse();
  std::optional<UpstreamLease> TryOnce(const UpstreamLease &lease);
  EngineAttempt MakeAttempt(const UpstreamLease &lease);
  AttemptEnd RunAttempt();
  void UseAttempt(EngineAttempt attempt);
  AttemptEnd ReadAnswer();
  AttemptEnd ReadWholeAnswer();
  AttemptEnd RelayStream();
  AttemptEnd RelayWhole();
  EventAction TakeEvents();
  AttemptEnd Receive();
  void StartBackup();
  bool SwitchToBackup();
  AttemptEnd GoOnWithBackup();
  void LeaveAttempt(RetryReason reason);
  AttemptEnd FinishStream();
  AttemptEnd WriteToCaller();
  void NoteProgress();
  AttemptEnd Fail(RetryReason reason, const std::string &detail);
  AttemptEnd Fail(AttemptFailure failure);
  AttemptEnd FailRead(const base::Error &error, RetryReason reason);
  bool IsSilence(const base::Error &error) const;
  base::Duration StallTime() const;
  std::uint64_t AttemptTokens() const;

  RequestScope *m_scope;
  CompletionRequest m_completion;
  config::ResolvedModel m_model;
  EntryShared &m_shared;

  TokenProgress m_progress;
  std::string m_output;     ///< events to be written to the caller
  EngineAttempt m_attempt;  ///< the one whose answer the caller gets
  BackupSet m_backups;
  base::TimePoint m_next_backup;      ///< earliest start while it is silent
  std::uint64_t m_tokens_before = 0;  ///< delivered before m_attempt
  bool m_has_first_part = false;      ///< of m_attempt
  base::TimePoint m_noted_at;         ///< last report of tokens to routing
  AttemptFailure m_failure;           ///< of the last attempt
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
  bool may_have_run_before = m_scope->m_may_have_run;
  UseAttempt(MakeAttempt(lease));
  AttemptEnd end = RunAttempt();
  m_scope->m_tokens = m_progress.m_tokens;
  const UpstreamLease &last = m_attempt.m_lease;
  const base::UpstreamId &upstream = last.m_upstream->m_id;
  switch (end) {
    case AttemptEnd::kAnswered:
      dispatcher.Finish(last, std::max<std::uint64_t>(AttemptTokens(), 1));
      NoteAttempt(m_scope, upstream, "ok");
      return std::nullopt;
    case AttemptEnd::kCallerGone:
      dispatcher.Abandon(last);
      NoteAttempt(m_scope, upstream, "cancelled");
      HandleCallerGone(m_scope);
      return std::nullopt;
    case AttemptEnd::kDeadline:
      dispatcher.Abandon(last);
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
  m_failure.m_tokens = AttemptTokens();
  return RetryUpstream(m_scope, last, m_failure);
}

AttemptEnd EngineRelay::Fail(AttemptFailure failure) {
  m_failure = std::move(failure);
  return AttemptEnd::kFailed;
}

AttemptEnd EngineRelay::Fail(RetryReason reason, const std::string &detail) {
  return Fail(MakeFailure(reason, detail));
}

/** Ends an attempt after an error of its connection. @param reason if neither
 * the caller, the deadline nor a stall is the cause */
AttemptEnd EngineRelay::FailRead(const base::Error &error, RetryReason reason) {
  if (m_scope->m_is_caller_gone) return AttemptEnd::kCallerGone;
  if (base::Clock::now() >= m_scope->m_deadline) return AttemptEnd::kDeadline;
  bool is_stalled = error.m_kind == base::ErrorKind::kTimeout;
  return Fail(is_stalled ? RetryReason::kStalled : reason, error.m_message);
}

/** @return whether a read has ended only because the engine was silent. */
bool EngineRelay::IsSilence(const base::Error &error) const {
  return error.m_kind == base::ErrorKind::kTimeout &&
         !m_scope->m_is_caller_gone && base::Clock::now() < m_scope->m_deadline;
}

base::Duration EngineRelay::StallTime() const {
  return base::milliseconds(m_shared.m_settings.entry().stall_ms());
}

/** @return how many tokens the caller has got from the present attempt. */
std::uint64_t EngineRelay::AttemptTokens() const {
  return m_progress.m_tokens - m_tokens_before;
}

EngineAttempt EngineRelay::MakeAttempt(const UpstreamLease &lease) {
  EngineAttempt attempt;
  attempt.m_lease = lease;
  attempt.m_deadline = m_scope->m_deadline;
  // The attempt has an ID of its own, so that a late cancel of it can't hit
  // another attempt or another caller's request with the same ID.
  attempt.m_id = fmt::format("{}.{:08x}{:x}", m_scope->m_id,
                             m_shared.m_process_nonce, ++m_shared.m_id_counter);
  EngineExtensions extensions;
  extensions.m_target = m_model.m_target.Value();
  extensions.m_priority = GetPriorityName(m_scope->m_priority);
  extensions.m_request_id = attempt.m_id;
  extensions.m_resume_from_token = m_progress.m_tokens;
  net::HttpRequest &request = attempt.m_request;
  request.m_method = "POST";
  request.m_target = std::string(m_scope->m_request->Path());
  request.m_headers.Add("Content-Type", "application/json");
  request.m_headers.Add("X-Request-Id", attempt.m_id);
  request.m_headers.Add("X-Deadline-Ms",
                        std::to_string(RemainingTime(*m_scope).count()));
  request.m_body = MakeEngineBody(m_completion, extensions);
  return attempt;
}

/** From now on the caller gets the answer of this attempt. */
void EngineRelay::UseAttempt(EngineAttempt attempt) {
  m_attempt = std::move(attempt);
  m_tokens_before = m_progress.m_tokens;
  m_has_first_part = false;
  m_progress.m_is_resumed = m_scope->m_exchange->HasStarted();
}

AttemptEnd EngineRelay::RunAttempt() {
  std::string first_id = m_attempt.m_id;
  bool is_open = SendAttempt(m_scope->m_thread, &m_attempt,
                             net::HttpClientPool::Reuse::kPooled);
  if (!is_open) {
    const net::HttpClientPool::StartResult &start = m_attempt.m_start;
    bool is_sent = start.m_send_state != net::SendState::kNothingSent;
    m_scope->m_may_have_run = m_scope->m_may_have_run || is_sent;
    return FailRead(start.m_error, is_sent ? RetryReason::kAnswerLost
                                           : RetryReason::kConnectFailed);
  }
  bool may_have_run_before = m_scope->m_may_have_run;
  m_scope->m_may_have_run = true;
  m_scope->m_cancel = [this] {
    net::HttpCall *call = m_attempt.m_start.m_call.get();
    if (call != nullptr) call->Cancel();
  };
  AttemptEnd end = m_scope->m_is_caller_gone  ? AttemptEnd::kCallerGone
                   : m_completion.m_is_stream ? ReadAnswer()
                                              : ReadWholeAnswer();
  while (end == AttemptEnd::kFailed && !m_backups.IsEmpty()) {
    end = GoOnWithBackup();
  }
  m_scope->m_cancel = nullptr;
  m_backups.Abandon();
  if (end == AttemptEnd::kAnswered) {
    m_attempt.m_start.m_call.reset();  // returns the connection to the pool
    return end;
  }
  bool was_refused = end == AttemptEnd::kFailed &&
                     m_failure.m_reason == RetryReason::kNotAccepted;
  if (was_refused && m_attempt.m_id == first_id) {
    m_scope->m_may_have_run = may_have_run_before;
  }
  StopAttempt(&m_shared, m_scope->m_thread, &m_attempt);
  return end;
}

AttemptEnd EngineRelay::ReadWholeAnswer() {
  base::Result<void> head = ReadMore(&m_attempt, m_scope->m_deadline);
  if (!head) return FailRead(head.error(), RetryReason::kAnswerLost);
  if (std::optional<AttemptFailure> failure = CheckHead(m_attempt)) {
    return Fail(std::move(*failure));
  }
  return RelayWhole();
}

AttemptEnd EngineRelay::ReadAnswer() {
  AttemptEnd received = Receive();
  if (received != AttemptEnd::kAnswered) return received;
  if (std::optional<AttemptFailure> failure = CheckHead(m_attempt)) {
    return Fail(std::move(*failure));
  }
  if (m_attempt.m_head->m_status != 200) return RelayWhole();
  if (std::optional<AttemptFailure> failure = CheckStreamHead(m_attempt)) {
    return Fail(std::move(*failure));
  }
  return RelayStream();
}

AttemptEnd EngineRelay::RelayWhole() {
  auto max_bytes =
      static_cast<std::size_t>(m_shared.m_settings.entry().max_answer_bytes());
  int status = m_attempt.m_head->m_status;
  std::string body;
  while (true) {
    base::Result<bool> more =
        m_attempt.m_start.m_call->ReadSome(&body, m_scope->m_deadline);
    if (!more) return FailRead(more.error(), RetryReason::kAnswerLost);
    if (!*more) break;
    if (body.size() > max_bytes) {
      return Fail(RetryReason::kBadAnswer, "the engine's answer is too long");
    }
  }
  if (m_scope->m_exchange->HasStarted()) {
    // A resumed stream was answered with an error status.
    return Fail(RetryReason::kBadAnswer,
                fmt::format("status {} of the engine", status));
  }
  m_backups.Abandon();
  Answer(m_scope, net::MakeJsonResponse(status, std::move(body)));
  return AttemptEnd::kAnswered;
}

/** Takes the events that have arrived. */
EventAction EngineRelay::TakeEvents() {
  if (m_attempt.m_is_done) return EventAction::kDone;
  while (true) {
    std::optional<EventAction> action =
        TakeEvent(&m_attempt.m_reader, &m_progress, &m_output);
    if (!action) return EventAction::kForward;
    bool is_end =
        action == EventAction::kDone || action == EventAction::kBroken;
    if (is_end) return *action;
  }
}

AttemptEnd EngineRelay::RelayStream() {
  while (true) {
    EventAction action = TakeEvents();
    if (action == EventAction::kDone) {
      AttemptEnd finished = FinishStream();
      // Reads the end of the body, so that the connection can be reused.
      std::string rest;
      (void)m_attempt.m_start.m_call->ReadSome(
          &rest, base::Clock::now() + kBodyEndTimeout);
      return finished;
    }
    AttemptEnd written = WriteToCaller();
    if (written != AttemptEnd::kAnswered) return written;
    if (action == EventAction::kBroken) {
      return Fail(RetryReason::kBadAnswer, "the engine's events are not valid");
    }
    if (m_attempt.m_is_body_complete) {
      if (m_progress.m_is_finished) return FinishStream();
      return Fail(RetryReason::kStreamBroken,
                  "the stream ended without [DONE]");
    }
    AttemptEnd received = Receive();
    if (received == AttemptEnd::kAnswered) continue;
    return m_progress.m_is_finished ? FinishStream() : received;
  }
}

/**
 * Waits for the next bytes of the present attempt. While it is silent, starts
 * backups, the first of which to have a token becomes the present attempt.
 * @return kAnswered if something has arrived
 */
AttemptEnd EngineRelay::Receive() {
  m_next_backup = base::Clock::now() + StallTime();
  while (true) {
    if (SwitchToBackup()) return AttemptEnd::kAnswered;
    if (m_backups.DropFailed()) {
      m_next_backup =
          std::min(m_next_backup, base::Clock::now() + kBackupRetryInterval);
    }
    base::TimePoint wake_at = m_next_backup;
    if (!m_backups.IsEmpty()) {
      wake_at = std::min(wake_at, base::Clock::now() + kBackupCheckInterval);
    }
    base::Result<void> more =
        ReadMore(&m_attempt, std::min(wake_at, m_scope->m_deadline));
    if (more) return AttemptEnd::kAnswered;
    if (!IsSilence(more.error()) || m_progress.m_is_finished) {
      return FailRead(more.error(), m_attempt.m_head
                                        ? RetryReason::kStreamBroken
                                        : RetryReason::kAnswerLost);
    }
    if (base::Clock::now() >= m_next_backup) StartBackup();
  }
}

void EngineRelay::StartBackup() {
  std::optional<UpstreamLease> lease =
      AcquireBackup(m_scope, m_attempt.m_lease);
  base::TimePoint now = base::Clock::now();
  m_next_backup = now + (lease ? StallTime() : kBackupRetryInterval);
  if (!lease) return;
  TokenProgress progress = m_progress;
  progress.m_is_resumed = m_scope->m_exchange->HasStarted();
  m_backups.Open(MakeAttempt(*lease), progress);
}

/** Goes on with a backup that has a token, and stops all other attempts.
 * @return false if there is none */
bool EngineRelay::SwitchToBackup() {
  BackupPtr backup = m_backups.TakeBegun();
  if (backup == nullptr) return false;
  bool is_running = m_attempt.m_start.m_call != nullptr;
  if (is_running) LeaveAttempt(RetryReason::kStalled);
  UseAttempt(std::move(backup->m_attempt));
  m_progress = backup->m_progress;
  m_output += backup->m_output;
  m_backups.Abandon();
  return true;
}

/**
 * Goes on after the present attempt has failed while backups are being opened.
 * @return kFailed if all of them have failed; the last one is the present
 *         attempt now
 */
AttemptEnd EngineRelay::GoOnWithBackup() {
  LeaveAttempt(m_failure.m_reason);
  while (true) {
    if (m_scope->m_is_caller_gone) return AttemptEnd::kCallerGone;
    if (base::Clock::now() >= m_scope->m_deadline) return AttemptEnd::kDeadline;
    if (SwitchToBackup()) return RelayStream();
    if (BackupPtr last = m_backups.TakeLastFailed()) {
      UseAttempt(std::move(last->m_attempt));
      return Fail(std::move(last->m_failure));
    }
    net::SleepFor(kBackupCheckInterval);
  }
}

/** Stops the present attempt, which has failed or is silent. */
void EngineRelay::LeaveAttempt(RetryReason reason) {
  ReportFailure(m_scope, m_attempt, reason, AttemptTokens());
  StopAttempt(&m_shared, m_scope->m_thread, &m_attempt);
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
    if (m_progress.m_is_resumed) m_shared.m_metrics.m_resumed.Increment();
    m_shared.m_dispatcher->NoteFirstToken(m_attempt.m_lease);
  } else if (now - m_noted_at >= kProgressInterval) {
    m_noted_at = now;
    m_shared.m_dispatcher->NoteTokens(m_attempt.m_lease, AttemptTokens());
  }
}

/** Writes m_output to the caller.
 * @return kCallerGone if that failed, else kAnswered: the stream may go on */
AttemptEnd EngineRelay::WriteToCaller() {
  if (m_output.empty()) return AttemptEnd::kAnswered;
  m_backups.Abandon();
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
