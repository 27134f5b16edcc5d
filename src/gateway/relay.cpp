/** @file relay.cpp Relays an upstream's answer to the caller. */

#include <algorithm>

#include "gateway/attempt_internal.h"

namespace wasabiwind::gateway {

namespace {

constexpr std::size_t kMaxBodyBytes = 16 << 20;
/** For all answers, and parts of events, that are held at the same time. */
constexpr std::size_t kMaxBufferedBytes = 48 << 20;
/** A stream has stalled after this multiple of its route's max_gap_ms. */
constexpr int kStallFactor = 3;
constexpr base::milliseconds kMinStallTime{1'200};

/** @return memory that holds the part of a request's answers that the caller
 * hasn't got; strings that grow reserve up to twice their size. That of an
 * attempt that was cancelled is about to be freed. */
std::size_t CountBufferedBytes(const RequestScope &scope) {
  if (scope.m_cancel_reason != nullptr) return 0;
  const Attempt &attempt = scope.m_attempt;
  std::size_t size = attempt.m_splitter.m_partial_event.capacity();
  if (attempt.m_head) size += attempt.m_head->m_body.capacity();
  if (scope.m_silent_attempt) {
    size += scope.m_silent_attempt->m_splitter.m_partial_event.capacity();
  }
  return size;
}

/** Frees what an attempt that was cancelled holds. Its fiber may run only after
 * others have read more. */
void FreeAnswer(Attempt *attempt) {
  attempt->m_splitter = EventSplitter();
  if (attempt->m_head) std::string().swap(attempt->m_head->m_body);
}

bool IsReadingAnswer(const RequestScope &scope) {
  return scope.m_attempt.m_call != nullptr &&
         scope.m_attempt_end != AttemptEnd::kAnswered;
}

/** @return whether callers take a status to mean that nothing was run. */
bool ImpliesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

/** @return the request whose answer holds the most bytes of those that are
 * being read, or nullptr. */
RequestScope *Gateway::FindLargestAnswer() const {
  RequestScope *largest = nullptr;
  for (RequestScope *scope : m_active_requests) {
    if (!IsReadingAnswer(*scope) || scope->m_buffered_bytes == 0) continue;
    if (largest == nullptr ||
        scope->m_buffered_bytes > largest->m_buffered_bytes) {
      largest = scope;
    }
  }
  return largest;
}

/**
 * Records how many bytes of a request's answers are held. Beyond the bound for
 * all requests the largest answer ends, so that upstreams that send without end
 * don't end the answers of sound ones.
 */
void Gateway::UpdateBufferedBytes(RequestScope *scope) {
  std::size_t size = CountBufferedBytes(*scope);
  m_buffered_bytes += size - scope->m_buffered_bytes;
  scope->m_buffered_bytes = size;
  while (m_buffered_bytes > kMaxBufferedBytes) {
    RequestScope *largest = FindLargestAnswer();
    if (largest == nullptr) return;
    m_buffered_bytes -= largest->m_buffered_bytes;
    largest->m_buffered_bytes = 0;
    largest->m_cancel_reason = kAnswerTooLongReason;
    largest->m_attempt.m_call->Cancel();
    FreeAnswer(&largest->m_attempt);
  }
}

/**
 * Forwards complete events to the caller, without those it has already.
 * @return false if the attempt has ended
 */
bool Gateway::ForwardEvents(RequestScope *scope, const std::string &bytes) {
  Attempt &attempt = scope->m_attempt;
  std::vector<StreamEvent> events;
  if (!SplitEvents(&attempt.m_splitter, bytes, &events)) {
    EndAttempt(scope, AttemptEnd::kUnknown, "event_too_long");
    return false;
  }
  bool was_sound = attempt.m_event_count >= kSoundEventCount;
  attempt.m_event_count += static_cast<int>(events.size());
  if (!was_sound && attempt.m_event_count >= kSoundEventCount) {
    RecordSoundRequest(&m_crash_evidence, scope->m_request_key,
                       scope->m_part_keys, base::Clock::now());
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
    scope->m_status = attempt.m_head->m_status;
    sent = scope->m_exchange->BeginStream(
        attempt.m_head->m_status,
        m_protocol->m_strip_connection_headers(attempt.m_head->m_headers));
  }
  if (sent) sent = scope->m_exchange->WriteStream(text);
  if (!sent) {
    EndAttempt(scope, AttemptEnd::kCallerGone, "caller_gone");
    return false;
  }
  scope->m_last_event_id = last;
  attempt.m_has_forwarded_event = true;
  return true;
}

/** Records that bytes of a stream have arrived; with the first ones, its
 * upstream has taken the request over from a silent one. */
void Gateway::RecordStreamBytes(RequestScope *scope) {
  Attempt &attempt = scope->m_attempt;
  base::TimePoint now = base::Clock::now();
  if (scope->m_last_byte_at != base::TimePoint()) {
    scope->m_longest_gap =
        std::max(scope->m_longest_gap, now - scope->m_last_byte_at);
  }
  scope->m_last_byte_at = now;
  if (attempt.m_has_begun_answer) return;
  attempt.m_has_begun_answer = true;
  attempt.m_first_byte_at = now;
  scope->m_silent_attempt.reset();
  ReportRunnerLoad(*scope, gen::LOAD_READ);
  RecordPaceOfAnswer(*scope, now);
  if (scope->m_first_byte_at == base::TimePoint()) scope->m_first_byte_at = now;
  UpstreamStats &stats = m_stats[scope->m_upstream];
  RecordSuccess(&stats, now - attempt.m_sent_at,
                attempt.m_choice.m_expected_latency, now);
  RecordCachedPrompt(&stats.m_prefix_cache, scope->m_metadata,
                     scope->m_prefix_keys,
                     scope->m_service->engine().kv_tokens());
}

void Gateway::RelayStream(RequestScope *scope) {
  Attempt &attempt = scope->m_attempt;
  base::milliseconds max_gap(scope->m_route->max_gap_ms());
  base::Duration stall_time = std::max(kMinStallTime, max_gap * kStallFactor);
  while (true) {
    // Before the first byte the prompt may be queued or being prefilled.
    base::Duration patience = attempt.m_has_begun_answer
                                  ? stall_time
                                  : GetRemaining(*scope, base::Clock::now());
    std::string bytes;
    base::Result<bool> more;
    ReadOrLeave(scope, patience, "stalled", [&](base::TimePoint limit) {
      more = attempt.m_call->ReadSome(&bytes, limit);
      return IsTimeout(more);
    });
    if (scope->m_attempt_end == AttemptEnd::kSilent) return;
    if (!more) {
      EndFailedRead(scope, more.error());
      if (scope->m_attempt_end == AttemptEnd::kUnknown) {
        RecordFailure(&m_stats[scope->m_upstream], kFailureWeight,
                      base::Clock::now());
      }
      return;
    }
    if (!*more) break;
    RecordStreamBytes(scope);
    if (!ForwardEvents(scope, bytes)) return;
    UpdateBufferedBytes(scope);
  }
  if (!IsAtEventBoundary(attempt.m_splitter) ||
      !attempt.m_has_forwarded_event) {
    EndAttempt(scope, AttemptEnd::kUnknown, "stream_incomplete");
    attempt.m_is_connection_lost = true;
    return;
  }
  scope->m_outcome = "answered";
  EndAttempt(scope, AttemptEnd::kAnswered, "");
  RecordSent(scope, scope->m_exchange->EndStream());
}

void Gateway::RelayFullResponse(RequestScope *scope) {
  Attempt &attempt = scope->m_attempt;
  net::HttpResponse &head = *attempt.m_head;
  attempt.m_has_begun_answer = true;
  while (true) {
    base::Result<bool> more =
        attempt.m_call->ReadSome(&head.m_body, scope->m_deadline);
    if (!more) {
      EndFailedRead(scope, more.error());
      if (scope->m_attempt_end == AttemptEnd::kUnknown) {
        RecordFailure(&m_stats[scope->m_upstream], kFailureWeight,
                      base::Clock::now());
      }
      return;
    }
    if (!*more) break;
    UpdateBufferedBytes(scope);
    if (head.m_body.size() > kMaxBodyBytes) {
      EndAttempt(scope, AttemptEnd::kUnknown, kAnswerTooLongReason);
      return;
    }
  }
  base::TimePoint now = base::Clock::now();
  scope->m_first_byte_at = now;
  bool is_failure = head.m_status >= 500;

  if (is_failure) {
    RecordFailure(&m_stats[scope->m_upstream], kFailureWeight, now);
  } else {
    RecordSuccess(&m_stats[scope->m_upstream], now - attempt.m_sent_at,
                  attempt.m_choice.m_expected_latency, now);
    RecordPaceOfAnswer(*scope, now);
  }
  bool may_retry =
      is_failure && (HasAttemptsLeft(*scope) || scope->m_silent_attempt);
  if (may_retry || ImpliesNotRun(head.m_status) || scope->m_is_head_sent) {
    // The request may have run, so its caller must not get a status that
    // implies that it didn't.
    EndAttempt(scope, AttemptEnd::kUnknown, "upstream_failed");
    return;
  }
  head.m_headers = m_protocol->m_strip_connection_headers(head.m_headers);
  scope->m_status = head.m_status;
  scope->m_outcome = "answered";
  EndAttempt(scope, AttemptEnd::kAnswered, "");
  SendAnswer(scope, head);
}

}  // namespace wasabiwind::gateway
