/** @file attempt.cpp One attempt of a request at one upstream. */

#include <fmt/format.h>

#include <algorithm>

#include "access/identify_func.h"
#include "base/log_func.h"
#include "gateway/attempt_internal.h"

namespace wasabiwind::gateway {

namespace {

using base::LogEvent;
using base::LogLevel;

/** Limit for connecting to the upstream and sending the request. */
constexpr base::milliseconds kSendTimeout{1'500};
/** An answer is late after this multiple of the expected latency, but not
 * before kMinLateAnswerTime. */
constexpr int kLateAnswerFactor = 4;
/** Keeps short delays from counting as late. */
constexpr base::milliseconds kMinLateAnswerTime{400};
constexpr double kRefusalWeight = 0.5;
/** A runner that refused a model gets none of its requests for this time. */
constexpr base::milliseconds kModelRefusedPause{300};
constexpr base::milliseconds kModelMisdirectedPause{1'000};

/** @return keys as hexadecimal numbers, separated by commas. */
std::string FormatKeys(const std::vector<std::uint64_t> &keys) {
  return fmt::format("{:x}", fmt::join(keys, ","));
}

/**
 * @return whether a response answers the request that was just sent. Errors may
 *         lack an ID, but on a connection that was used before they may be a
 *         repeated answer to an earlier request.
 */
bool IsForRequest(const ResponseMetadata &metadata, int status,
                  bool is_reused_connection) {
  if (metadata.m_request_id == RequestIdEcho::kMatching) return true;
  bool may_lack_id = status >= 300 && !is_reused_connection;
  return metadata.m_request_id == RequestIdEcho::kMissing && may_lack_id;
}

}  // namespace

/** Runs one attempt at an upstream, which excludes its other attempts. */
void Gateway::RunAttempt(RequestScope *scope, const Choice &choice) {
  scope->m_upstream = choice.m_upstream;
  scope->m_expected_latency = choice.m_expected_latency;
  scope->m_prefill_tokens = choice.m_prefill_tokens;
  scope->m_attempt = Attempt();
  if (!m_is_ending_requests) scope->m_cancel_reason = nullptr;
  UpdateBufferedBytes(scope);
  Attempt &attempt = scope->m_attempt;
  attempt.m_choice = choice;
  attempt.m_sent_at = base::Clock::now();
  UpstreamStats &stats_before = m_stats[choice.m_upstream];
  attempt.m_runner_start_ms = stats_before.m_start_time_ms;
  stats_before.m_prefill_tokens += choice.m_prefill_tokens;
  ReportRunnerLoad(*scope, gen::LOAD_SENT);
  RunCountedAttempt(scope, [this, scope] {
    if (SendRequest(scope)) RelayAnswer(scope);
  });
  ReportRunnerLoad(*scope, gen::LOAD_OVER);
  UpstreamStats &stats_after = m_stats[choice.m_upstream];
  stats_after.m_prefill_tokens -= std::min<std::uint64_t>(
      stats_after.m_prefill_tokens, choice.m_prefill_tokens);
}

/** Goes on with the attempt at an upstream that was silent, since no other one
 * has taken the request. */
void Gateway::ResumeSilentAttempt(RequestScope *scope) {
  scope->m_attempt = std::move(*scope->m_silent_attempt);
  scope->m_silent_attempt.reset();
  scope->m_cancel_reason = nullptr;
  scope->m_upstream = scope->m_attempt.m_choice.m_upstream;
  // It is counted again when it ends.
  --scope->m_possible_run_count;
  LogEvent(LogLevel::kInfo, "attempt_resumed",
           {{"request", scope->m_metadata.m_id},
            {"upstream", scope->m_upstream},
            {"reason", scope->m_reason},
            {"events", scope->m_attempt.m_event_count}});
  RunCountedAttempt(scope, [this, scope] { RelayAnswer(scope); });
}

/** Runs an attempt, counts it in the upstream's load meanwhile and records what
 * it came to. Closes its connection unless it may go on. */
void Gateway::RunCountedAttempt(RequestScope *scope,
                                const std::function<void()> &run) {
  scope->m_attempt_end = AttemptEnd::kUnknown;
  ++m_stats[scope->m_upstream].m_in_flight;
  run();
  UpstreamStats &stats = m_stats[scope->m_upstream];
  RecordPaceOutcome(*scope);
  stats.m_in_flight = std::max(0, stats.m_in_flight - 1);
  RecordOutcome(*scope);
  bool is_silent = scope->m_attempt_end == AttemptEnd::kSilent;
  if (!is_silent) scope->m_attempt.m_call.reset();
  if (scope->m_attempt_end == AttemptEnd::kAnswered) return;
  LogEvent(LogLevel::kInfo, is_silent ? "attempt_silent" : "attempt_failed",
           {{"request", scope->m_metadata.m_id},
            {"upstream", scope->m_upstream},
            {"reason", scope->m_reason},
            {"may_have_run", scope->m_attempt_end != AttemptEnd::kNotRun},
            {"head_sent", scope->m_is_head_sent},
            {"events", scope->m_attempt.m_event_count},
            {"parts", FormatKeys(scope->m_part_keys)},
            {"request_key", fmt::format("{:x}", scope->m_request_key)},
            {"took_ms", base::ToMilliseconds(base::Clock::now() -
                                             scope->m_attempt.m_sent_at)}});
}

/**
 * Records that an upstream says in an answer that it leaves or wants a pause.
 * @param start_ms start of the process that answered; a late answer says
 *        nothing about a process that was started since
 */
void Gateway::RecordLeavingOrPause(const std::string &upstream,
                                   std::uint64_t start_ms,
                                   const ResponseMetadata &metadata) {
  UpstreamStats &stats = m_stats[upstream];
  if (stats.m_start_time_ms != start_ms) return;
  if (metadata.m_is_leaving && !stats.m_is_leaving) {
    stats.m_is_leaving = true;
    LogEvent(LogLevel::kInfo, "upstream_leaving", {{"upstream", upstream}});
  }
  if (!metadata.m_pause) return;
  stats.m_paused_until =
      std::max(stats.m_paused_until, base::Clock::now() + *metadata.m_pause);
  LogEvent(LogLevel::kInfo, "upstream_paused",
           {{"upstream", upstream}, {"pause_ms", metadata.m_pause->count()}});
}

/** Records whether an attempt clears its request or makes it suspect. */
void Gateway::RecordOutcome(const RequestScope &scope) {
  const Attempt &attempt = scope.m_attempt;
  base::TimePoint now = base::Clock::now();
  bool is_answered =
      scope.m_attempt_end == AttemptEnd::kAnswered && IsSuccess(scope.m_status);
  if (is_answered || attempt.m_event_count >= kSoundEventCount) {
    RecordSoundRequest(&m_crash_evidence, scope.m_request_key,
                       scope.m_part_keys, now);
    return;
  }
  if (!attempt.m_is_connection_lost) return;
  LostRequest lost;
  lost.m_at = now;
  lost.m_address = attempt.m_choice.m_address;
  lost.m_report.set_upstream(scope.m_upstream);
  lost.m_report.set_born_ms(attempt.m_runner_start_ms);
  lost.m_report.set_request_key(scope.m_request_key);
  lost.m_report.set_arrival(scope.m_request_hash);
  for (std::uint64_t part : scope.m_part_keys) lost.m_report.add_parts(part);
  CheckRunner(lost);
  RecordLostRequest(&m_crash_evidence, std::move(lost));
}

/** Sends the request to the chosen upstream. @return false if the attempt has
 * ended */
bool Gateway::SendRequest(RequestScope *scope) {
  const Choice &choice = scope->m_attempt.m_choice;
  base::TimePoint now = base::Clock::now();
  // This host may have begun to end its requests while the load of runners was
  // queried, or below while the request is sent.
  if (m_is_ending_requests) {
    EndAttempt(scope, AttemptEnd::kNotRun, kStoppingReason);
    return false;
  }
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(choice.m_address);
  if (!endpoint) {
    EndAttempt(scope, AttemptEnd::kNotRun, "address_unreadable");
    return false;
  }
  ForwardMetadata metadata;
  metadata.m_remaining =
      std::chrono::duration_cast<base::milliseconds>(GetRemaining(*scope, now));
  metadata.m_upstream = choice.m_upstream;
  if (scope->m_service->has_engine()) {
    metadata.m_urgency = routes::GetUrgency(*scope->m_route, scope->m_team);
  }
  metadata.m_drops_credential = access::HasTeams(*scope->m_routes);
  if (scope->m_team != nullptr) metadata.m_team = scope->m_team->name();
  metadata.m_last_event_id = scope->m_last_event_id
                                 ? std::to_string(*scope->m_last_event_id)
                                 : scope->m_metadata.m_last_event_id;
  net::HttpRequest request;
  request.m_method = scope->m_request->m_method;
  request.m_target = scope->m_request->m_target;
  request.m_headers =
      m_protocol->m_make_upstream_headers(*scope->m_request, metadata);
  request.m_body = scope->m_request->m_body;
  // If the peer closes a pooled connection during the send, it is unknown
  // whether the request was read.
  auto reuse = routes::IsRepeatable(*scope->m_route)
                   ? net::HttpClientPool::Reuse::kPooled
                   : net::HttpClientPool::Reuse::kFresh;
  net::HttpClientPool::StartResult start =
      m_client->Start(*endpoint, request,
                      std::min(scope->m_deadline, now + kSendTimeout), reuse);
  if (start.m_call == nullptr) {
    bool is_not_run = start.m_send_state == net::SendState::kNothingSent;
    RecordUnreachable(&m_stats[choice.m_upstream], base::Clock::now());
    if (start.m_error.m_kind == base::ErrorKind::kIo) {
      RecordRunnerEnd(choice.m_upstream, scope->m_attempt.m_runner_start_ms);
    }
    m_client->CloseIdle(*endpoint);
    if (!is_not_run) RecordSend(scope);
    EndAttempt(scope, is_not_run ? AttemptEnd::kNotRun : AttemptEnd::kUnknown,
               is_not_run ? "no_connection" : "send_failed");
    return false;
  }
  RecordSend(scope);
  if (scope->m_is_model_declared) {
    bool has_adapter = !scope->m_metadata.m_adapter.empty();
    GetTargetCounts(*scope, has_adapter).m_upstreams.insert(choice.m_upstream);
  }
  scope->m_attempt.m_call = std::move(start.m_call);
  scope->m_attempt.m_is_connection_reused = start.m_is_reused;
  if (scope->m_is_caller_gone) {
    EndAttempt(scope, AttemptEnd::kCallerGone, "caller_gone");
  } else if (m_is_ending_requests) {
    EndAttempt(scope, AttemptEnd::kUnknown, kStoppingReason);
  } else {
    return true;
  }
  return false;
}

/** Waits for the answer of an attempt, unless it has begun, and relays it. */
void Gateway::RelayAnswer(RequestScope *scope) {
  if (!scope->m_attempt.m_head && !AwaitHead(scope)) return;
  bool is_stream = scope->m_route->kind() == gen::ROUTE_STREAM;
  if (is_stream && IsSuccess(scope->m_attempt.m_head->m_status)) {
    RelayStream(scope);
  } else {
    RelayFullResponse(scope);
  }
}

bool Gateway::HasAlternative(const RequestScope &scope) {
  ChoiceRequest request = MakeChoiceRequest(scope);
  request.m_excluded.insert(scope.m_upstream);
  Choice other = ChooseUpstream(m_follower.m_view, &m_stats, m_location,
                                request, base::Clock::now());
  return other.m_problem == ChoiceProblem::kNone && !other.m_is_silent;
}

/**
 * Reads from the upstream of the current attempt. Whenever nothing comes for a
 * while, another upstream may be tried, which ends the attempt as silent.
 * @param patience how long nothing may come
 * @param reason of the end, if the attempt ends as silent
 * @param read_until reads until a time; returns whether nothing came
 */
void Gateway::ReadOrLeave(
    RequestScope *scope, base::Duration patience, const char *reason,
    const std::function<bool(base::TimePoint)> &read_until) {
  bool may_leave = HasAttemptsLeft(*scope) && !scope->m_silent_attempt;
  bool was_silent = false;
  while (true) {
    base::TimePoint now = base::Clock::now();
    base::TimePoint limit = scope->m_deadline;
    if (may_leave) limit = std::min(limit, now + patience);
    bool is_silent = read_until(limit) && limit < scope->m_deadline;
    if (!is_silent) return;
    if (!was_silent) {
      RecordFailure(&m_stats[scope->m_upstream], kFailureWeight,
                    base::Clock::now());
    }
    was_silent = true;
    if (LeaveSilentUpstream(scope, reason)) return;
  }
}

/** Waits for status and headers. @return false if the attempt has ended */
bool Gateway::AwaitHead(RequestScope *scope) {
  base::milliseconds late_time = std::max(
      kMinLateAnswerTime,
      scope->m_attempt.m_choice.m_expected_latency * kLateAnswerFactor);
  base::Result<net::HttpResponse> head;
  ReadOrLeave(scope, late_time, "late", [scope, &head](base::TimePoint limit) {
    head = scope->m_attempt.m_call->ReadHead(limit);
    return IsTimeout(head);
  });
  if (scope->m_attempt_end == AttemptEnd::kSilent) return false;
  if (head) return AcceptHead(scope, std::move(*head));
  EndFailedRead(scope, head.error());
  if (scope->m_attempt_end != AttemptEnd::kCallerGone) {
    RecordFailure(&m_stats[scope->m_upstream], kFailureWeight,
                  base::Clock::now());
  }
  return false;
}

/** Checks whether a response answers the request. @return false if the attempt
 * has ended */
bool Gateway::AcceptHead(RequestScope *scope, net::HttpResponse head) {
  Attempt &attempt = scope->m_attempt;
  const std::string &upstream = scope->m_upstream;
  UpstreamStats &stats = m_stats[upstream];
  ResponseMetadata metadata =
      m_protocol->m_decode_response(head, scope->m_metadata, upstream);
  bool is_for_request =
      IsForRequest(metadata, head.m_status, attempt.m_is_connection_reused);
  if (is_for_request && !metadata.m_is_from_other_upstream) {
    RecordLeavingOrPause(upstream, attempt.m_runner_start_ms, metadata);
  }
  if (is_for_request && metadata.m_is_not_run) {
    RecordFailure(&stats, kRefusalWeight, base::Clock::now());
    if (metadata.m_is_from_other_upstream) {
      RecordUnreachable(&stats, base::Clock::now());
    } else if (!scope->m_metadata.m_model.empty()) {
      RecordModelRefused(&stats, scope->m_metadata.m_model,
                         metadata.m_is_misdirected ? kModelMisdirectedPause
                                                   : kModelRefusedPause,
                         base::Clock::now());
    }
    EndAttempt(scope, AttemptEnd::kNotRun,
               metadata.m_is_from_other_upstream ? "address_reused"
               : metadata.m_is_misdirected       ? "misdirected"
                                                 : "upstream_refused");
    return false;
  }
  // Another server may have answered, or a proxy changed the answer.
  bool is_foreign = !is_for_request || metadata.m_has_content_encoding ||
                    (IsSuccess(head.m_status) && !metadata.m_is_signed);
  if (is_foreign) {
    attempt.m_call->Discard();
    RecordFailure(&stats, kFailureWeight, base::Clock::now());
    EndAttempt(scope, AttemptEnd::kUnknown, "foreign_answer");
    return false;
  }
  attempt.m_head = std::move(head);
  return true;
}

}  // namespace wasabiwind::gateway
