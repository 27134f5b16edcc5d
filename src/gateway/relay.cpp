/** @file relay.cpp Relays an upstream's answer to the caller. */

#include <algorithm>

#include "gateway/attempt_internal.h"

namespace wasabiwind::gateway {

namespace {

constexpr std::size_t kMaxBodyBytes = 16 << 20;
/** For all answers that are being read at the same time. */
constexpr std::size_t kMaxTotalBodyBytes = 48 << 20;
/** A stream has stalled after this multiple of its route's max_gap_ms. */
constexpr int kStallFactor = 3;
constexpr base::milliseconds kMinStallTime{1'200};

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

/** @return whether callers take a status to mean that nothing was run. */
bool ImpliesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

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
  scope->m_silent_attempt.reset();
  ReportRunnerLoad(*scope, gen::LOAD_READ);
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
  BufferedBytesGuard buffered{&m_buffered_body_bytes};
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
    RecordFailure(&m_stats[scope->m_upstream], kFailureWeight, now);
  } else {
    RecordSuccess(&m_stats[scope->m_upstream], now - attempt.m_sent_at,
                  attempt.m_choice.m_expected_latency, now);
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
