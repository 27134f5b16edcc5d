/** @file attempt.cpp One attempt of a request at one upstream. */

#include <fmt/format.h>

#include <algorithm>

#include "base/log_func.h"
#include "gateway/gateway_internal.h"

namespace wasabiwind::gateway {

namespace {

using base::LogEvent;
using base::LogLevel;

/** Limit for connecting to the upstream and sending the request. */
constexpr base::milliseconds kSendTimeout{1'500};
constexpr std::size_t kMaxBodyBytes = 16 << 20;
/** For all answers that are being read at the same time. */
constexpr std::size_t kMaxTotalBodyBytes = 48 << 20;
/** An answer is late after this multiple of the expected latency, but not
 * before kMinLateAnswerTime. */
constexpr int kLateAnswerFactor = 4;
/** Keeps short delays from counting as late. */
constexpr base::milliseconds kMinLateAnswerTime{400};
/** A stream has stalled after this multiple of its route's max_gap_ms. */
constexpr int kStallFactor = 3;
constexpr base::milliseconds kMinStallTime{1'200};
constexpr double kFailureWeight = 1.0;
constexpr double kRefusalWeight = 0.5;
/** A runner that refused a model gets none of its requests for this time. */
constexpr base::milliseconds kModelRefusedPause{300};
constexpr base::milliseconds kModelMisdirectedPause{1'000};

void EndAttempt(RequestScope *scope, AttemptEnd end, const char *reason) {
  scope->m_attempt_end = end;
  scope->m_reason = reason;
}

/** @return keys as hexadecimal numbers, separated by commas. */
std::string FormatKeys(const std::vector<std::uint64_t> &keys) {
  return fmt::format("{:x}", fmt::join(keys, ","));
}

/** Ends an attempt after a failed read from the upstream. */
void EndFailedRead(RequestScope *scope, const base::Error &error) {
  if (scope->m_is_caller_gone) {
    EndAttempt(scope, AttemptEnd::kCallerGone, "caller_gone");
  } else if (error.m_kind == base::ErrorKind::kTimeout) {
    EndAttempt(scope, AttemptEnd::kTimedOut, "timeout");
  } else if (scope->m_is_quarantined) {
    EndAttempt(scope, AttemptEnd::kUnknown, kQuarantineReason);
  } else {
    EndAttempt(scope, AttemptEnd::kUnknown, "connection_lost");
    scope->m_is_connection_lost = true;
  }
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

/** @return whether the route allows another attempt after the current one. */
bool HasAttemptsLeft(const RequestScope &scope) {
  return routes::IsRepeatable(*scope.m_route) &&
         scope.m_possible_run_count + 1 <
             static_cast<int>(scope.m_route->max_attempts());
}

/** Adds the size of one buffer to a total while it is in scope. */
class BufferedBytesGuard {
 public:
  explicit BufferedBytesGuard(std::size_t *total) : m_total(total) {}
  ~BufferedBytesGuard() { *m_total -= m_size; }
  BufferedBytesGuard(const BufferedBytesGuard &) = delete;
  BufferedBytesGuard &operator=(const BufferedBytesGuard &) = delete;

  void Update(std::size_t size) {
    *m_total += size - m_size;
    m_size = size;
  }

 private:
  std::size_t *m_total;
  std::size_t m_size = 0;
};

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

/** @return whether callers take a status to mean that nothing was run. */
bool ImpliesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

/** Runs one attempt and counts it in the upstream's load meanwhile. */
void Gateway::RunAttempt(RequestScope *scope, const Choice &choice) {
  scope->m_upstream = choice.m_upstream;
  scope->m_expected_latency = choice.m_expected_latency;
  scope->m_prefill_tokens = choice.m_prefill_tokens;
  scope->m_sent_at = base::Clock::now();
  scope->m_splitter = EventSplitter();
  scope->m_event_count = 0;
  scope->m_has_forwarded_event = false;
  scope->m_is_connection_lost = false;
  UpstreamStats &stats_before = m_stats[choice.m_upstream];
  std::uint64_t runner_start_ms = stats_before.m_start_time_ms;
  ++stats_before.m_in_flight;
  stats_before.m_prefill_tokens += choice.m_prefill_tokens;
  ReportRunnerLoad(*scope, gen::LOAD_SENT);
  SendAndRelay(scope, choice);
  scope->m_call = nullptr;
  ReportRunnerLoad(*scope, gen::LOAD_OVER);
  UpstreamStats &stats_after = m_stats[choice.m_upstream];
  stats_after.m_in_flight = std::max(0, stats_after.m_in_flight - 1);
  stats_after.m_prefill_tokens -= std::min<std::uint64_t>(
      stats_after.m_prefill_tokens, choice.m_prefill_tokens);
  RecordPromptOutcome(*scope, runner_start_ms);
  if (scope->m_attempt_end == AttemptEnd::kAnswered) return;
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", scope->m_metadata.m_id},
            {"upstream", choice.m_upstream},
            {"reason", scope->m_reason},
            {"may_have_run", scope->m_attempt_end != AttemptEnd::kNotRun},
            {"head_sent", scope->m_is_head_sent},
            {"events", scope->m_event_count},
            {"parts", FormatKeys(scope->m_part_keys)},
            {"took_ms",
             base::ToMilliseconds(base::Clock::now() - scope->m_sent_at)}});
}

/** Records whether an attempt clears its prompt or makes it suspect. */
void Gateway::RecordPromptOutcome(const RequestScope &scope,
                                  std::uint64_t runner_start_ms) {
  if (scope.m_part_keys.empty()) return;
  bool is_answered =
      scope.m_attempt_end == AttemptEnd::kAnswered && IsSuccess(scope.m_status);
  if (is_answered || scope.m_event_count >= kSoundEventCount) {
    RecordSoundPrompt(&m_prompt_evidence, scope.m_part_keys);
    return;
  }
  if (!scope.m_is_connection_lost) return;
  gen::LostPrompt prompt;
  prompt.set_upstream(scope.m_upstream);
  prompt.set_born_ms(runner_start_ms);
  for (std::uint64_t part : scope.m_part_keys) prompt.add_parts(part);
  RecordLostPrompt(&m_prompt_evidence, std::move(prompt), base::Clock::now());
  m_is_use_report_urgent = true;
}

void Gateway::SendAndRelay(RequestScope *scope, const Choice &choice) {
  base::TimePoint now = base::Clock::now();
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(choice.m_address);
  if (!endpoint) {
    EndAttempt(scope, AttemptEnd::kNotRun, "address_unreadable");
    return;
  }
  ForwardMetadata metadata;
  metadata.m_remaining =
      std::chrono::duration_cast<base::milliseconds>(GetRemaining(*scope, now));
  metadata.m_upstream = choice.m_upstream;
  if (scope->m_service->has_engine()) {
    metadata.m_urgency = routes::GetUrgency(*scope->m_route);
  }
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
    m_client->CloseIdle(*endpoint);
    if (!is_not_run) ++scope->m_send_count;
    EndAttempt(scope, is_not_run ? AttemptEnd::kNotRun : AttemptEnd::kUnknown,
               is_not_run ? "no_connection" : "send_failed");
    return;
  }
  ++scope->m_send_count;
  if (scope->m_service->has_engine() && !scope->m_metadata.m_model.empty()) {
    bool has_adapter = !scope->m_metadata.m_adapter.empty();
    GetTargetCounts(*scope, has_adapter).m_upstreams.insert(choice.m_upstream);
  }
  scope->m_call = start.m_call.get();
  if (scope->m_is_caller_gone) {
    EndAttempt(scope, AttemptEnd::kCallerGone, "caller_gone");
    return;
  }
  net::HttpResponse head;
  if (!AwaitHead(scope, choice, start, &head)) return;
  bool is_stream = scope->m_route->kind() == gen::ROUTE_STREAM;
  if (is_stream && IsSuccess(head.m_status)) {
    RelayStream(scope, choice, start.m_call.get(), head);
  } else {
    RelayFullResponse(scope, choice, start.m_call.get(), std::move(head));
  }
}

bool Gateway::HasAlternative(const RequestScope &scope, const Choice &choice) {
  ChoiceRequest request = MakeChoiceRequest(scope);
  request.m_excluded.insert(choice.m_upstream);
  Choice other = ChooseUpstream(m_follower.m_view, &m_stats, m_location,
                                request, base::Clock::now());
  return other.m_problem == ChoiceProblem::kNone && !other.m_is_silent;
}

/** Waits for status and headers. @return false if the attempt has ended */
bool Gateway::AwaitHead(RequestScope *scope, const Choice &choice,
                        const net::HttpClientPool::StartResult &start,
                        net::HttpResponse *head) {
  base::milliseconds late_time = std::max(
      kMinLateAnswerTime, choice.m_expected_latency * kLateAnswerFactor);
  bool may_retry_elsewhere =
      HasAttemptsLeft(*scope) && HasAlternative(*scope, choice);
  base::TimePoint limit =
      may_retry_elsewhere
          ? std::min(scope->m_deadline, base::Clock::now() + late_time)
          : scope->m_deadline;
  base::Result<net::HttpResponse> answer = start.m_call->ReadHead(limit);
  bool is_late = !answer && limit < scope->m_deadline &&
                 answer.error().m_kind == base::ErrorKind::kTimeout;
  UpstreamStats &stats = m_stats[choice.m_upstream];
  if (!answer) {
    EndFailedRead(scope, answer.error());
    if (is_late) EndAttempt(scope, AttemptEnd::kUnknown, "late");
    if (scope->m_attempt_end != AttemptEnd::kCallerGone) {
      RecordFailure(&stats, kFailureWeight, base::Clock::now());
    }
    return false;
  }
  ResponseMetadata metadata = m_protocol->m_decode_response(
      *answer, scope->m_metadata, choice.m_upstream);
  bool is_for_request =
      IsForRequest(metadata, answer->m_status, start.m_is_reused);
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
                    (IsSuccess(answer->m_status) && !metadata.m_is_signed);
  if (is_foreign) {
    start.m_call->Discard();
    RecordFailure(&stats, kFailureWeight, base::Clock::now());
    EndAttempt(scope, AttemptEnd::kUnknown, "foreign_answer");
    return false;
  }
  *head = std::move(*answer);
  return true;
}

/**
 * Forwards complete events to the caller, without those it has already.
 * @return false if the attempt has ended
 */
bool Gateway::ForwardEvents(RequestScope *scope, const net::HttpResponse &head,
                            const std::string &bytes) {
  std::vector<StreamEvent> events;
  if (!SplitEvents(&scope->m_splitter, bytes, &events)) {
    EndAttempt(scope, AttemptEnd::kUnknown, "event_too_long");
    return false;
  }
  bool was_sound = scope->m_event_count >= kSoundEventCount;
  scope->m_event_count += static_cast<int>(events.size());
  if (!was_sound && scope->m_event_count >= kSoundEventCount) {
    RecordSoundPrompt(&m_prompt_evidence, scope->m_part_keys);
  }
  std::string text;
  std::optional<std::uint64_t> last = scope->m_last_event_id;
  for (const StreamEvent &event : events) {
    if (!event.m_id) {
      EndAttempt(scope, AttemptEnd::kUnknown, "event_without_id");
      return false;
    }
    if (last && *event.m_id <= *last) continue;
    if (last && *event.m_id != *last + 1) {
      EndAttempt(scope, AttemptEnd::kUnknown, "event_missing");
      return false;
    }
    last = event.m_id;
    text += event.m_text;
  }
  if (text.empty()) return true;
  base::Result<void> sent;
  if (!scope->m_is_head_sent) {
    scope->m_is_head_sent = true;
    scope->m_status = head.m_status;
    sent = scope->m_exchange->BeginStream(
        head.m_status, m_protocol->m_strip_connection_headers(head.m_headers));
  }
  if (sent) sent = scope->m_exchange->WriteStream(text);
  if (!sent) {
    EndAttempt(scope, AttemptEnd::kCallerGone, "caller_gone");
    return false;
  }
  scope->m_last_event_id = last;
  scope->m_has_forwarded_event = true;
  return true;
}

void Gateway::RelayStream(RequestScope *scope, const Choice &choice,
                          net::HttpCall *call, const net::HttpResponse &head) {
  base::milliseconds max_gap(scope->m_route->max_gap_ms());
  base::milliseconds stall_time =
      std::max(kMinStallTime, max_gap * kStallFactor);
  bool is_first = true;
  while (true) {
    bool may_retry_elsewhere =
        HasAttemptsLeft(*scope) && !is_first && HasAlternative(*scope, choice);
    base::TimePoint limit = scope->m_deadline;
    if (may_retry_elsewhere)
      limit = std::min(limit, base::Clock::now() + stall_time);
    std::string bytes;
    base::Result<bool> more = call->ReadSome(&bytes, limit);
    base::TimePoint now = base::Clock::now();
    if (!more) {
      bool is_stalled = limit < scope->m_deadline &&
                        more.error().m_kind == base::ErrorKind::kTimeout;
      EndFailedRead(scope, more.error());
      if (is_stalled) EndAttempt(scope, AttemptEnd::kUnknown, "stalled");
      if (scope->m_attempt_end == AttemptEnd::kUnknown) {
        RecordFailure(&m_stats[choice.m_upstream], kFailureWeight, now);
      }
      return;
    }
    if (!*more) break;
    if (scope->m_last_byte_at != base::TimePoint()) {
      scope->m_longest_gap =
          std::max(scope->m_longest_gap, now - scope->m_last_byte_at);
    }
    scope->m_last_byte_at = now;
    if (is_first) {
      is_first = false;
      ReportRunnerLoad(*scope, gen::LOAD_READ);
      if (scope->m_first_byte_at == base::TimePoint())
        scope->m_first_byte_at = now;
      UpstreamStats &stats = m_stats[choice.m_upstream];
      RecordSuccess(&stats, now - scope->m_sent_at, choice.m_expected_latency,
                    now);
      RecordCachedPrompt(&stats.m_prefix_cache, scope->m_metadata,
                         scope->m_prefix_keys,
                         scope->m_service->engine().kv_tokens());
    }
    if (!ForwardEvents(scope, head, bytes)) return;
  }
  if (!IsAtEventBoundary(scope->m_splitter) || !scope->m_has_forwarded_event) {
    EndAttempt(scope, AttemptEnd::kUnknown, "stream_incomplete");
    scope->m_is_connection_lost = true;
    return;
  }
  (void)scope->m_exchange->EndStream();
  scope->m_outcome = "answered";
  EndAttempt(scope, AttemptEnd::kAnswered, "");
}

void Gateway::RelayFullResponse(RequestScope *scope, const Choice &choice,
                                net::HttpCall *call, net::HttpResponse head) {
  BufferedBytesGuard buffered{&m_buffered_body_bytes};
  while (true) {
    base::Result<bool> more = call->ReadSome(&head.m_body, scope->m_deadline);
    if (!more) {
      EndFailedRead(scope, more.error());
      if (scope->m_attempt_end == AttemptEnd::kUnknown) {
        RecordFailure(&m_stats[choice.m_upstream], kFailureWeight,
                      base::Clock::now());
      }
      return;
    }
    if (!*more) break;
    buffered.Update(head.m_body.size());
    if (head.m_body.size() > kMaxBodyBytes ||
        m_buffered_body_bytes > kMaxTotalBodyBytes) {
      EndAttempt(scope, AttemptEnd::kUnknown, "answer_too_long");
      return;
    }
  }
  base::TimePoint now = base::Clock::now();
  scope->m_first_byte_at = now;
  bool is_failure = head.m_status >= 500;

  if (is_failure) {
    RecordFailure(&m_stats[choice.m_upstream], kFailureWeight, now);
  } else {
    RecordSuccess(&m_stats[choice.m_upstream], now - scope->m_sent_at,
                  choice.m_expected_latency, now);
  }
  bool may_retry = is_failure && HasAttemptsLeft(*scope);
  if (may_retry || ImpliesNotRun(head.m_status) || scope->m_is_head_sent) {
    // The request may have run, so its caller must not get a status that
    // implies that it didn't.
    EndAttempt(scope, AttemptEnd::kUnknown, "upstream_failed");
    return;
  }
  head.m_headers = m_protocol->m_strip_connection_headers(head.m_headers);
  scope->m_status = head.m_status;
  scope->m_outcome = "answered";
  (void)scope->m_exchange->Respond(head);
  EndAttempt(scope, AttemptEnd::kAnswered, "");
}

}  // namespace wasabiwind::gateway
