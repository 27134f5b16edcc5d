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
  scope->m_outcome = "answered";
  EndAttempt(scope, AttemptEnd::kAnswered, "");
  RecordSent(scope, scope->m_exchange->EndStream());
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
  EndAttempt(scope, AttemptEnd::kAnswered, "");
  SendAnswer(scope, head);
}

}  // namespace wasabiwind::gateway
