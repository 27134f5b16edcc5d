/** @file runner_model.cpp Model of a runner, learned from its answers. */

#include <algorithm>
#include <cmath>

#include "gateway/runner_model_func.h"

namespace wasabiwind::gateway {

namespace {

/** Time to the first event of an idle runner, without prefill and network. */
constexpr base::milliseconds kBaseFirstEvent{25};
/** Each request in flight slows every step of the other requests. */
constexpr base::milliseconds kDelayPerInFlightRequest{10};
/** Smaller prompts say little of the prefill speed, as the time to their first
 * event is mostly network and decoding. */
constexpr std::uint64_t kMinLearnedTokens = 2'000;
/** The default counts as this many answers. */
constexpr double kDefaultWeight = 4;
/** Least weight of the newest answer. */
constexpr double kMinSpeedWeight = 0.05;
constexpr double kMinGapWeight = 0.1;
/** One answer counts as a speed this many times higher or lower at most, so
 * that a short spell or a lost update doesn't decide. */
constexpr double kMaxSampleRatio = 3.0;
constexpr double kMinPrefillTokensPerMs = 0.5;
constexpr double kMaxPrefillTokensPerMs = 2'000;
constexpr double kMaxEventGapMs = 60'000;
constexpr double kSlowdownWeight = 0.5;
constexpr double kMaxSlowdown = 10.0;
constexpr double kSlowdownHalfLifeSeconds = 0.5;
/** Share of the longest permitted pause that queued prompts may take without a
 * cost. The rest is left for decoding and for prompts that arrive meanwhile. */
constexpr double kFreeGapShare = 0.5;
/** A prompt is long if its prefill takes this share of the longest permitted
 * pause. Shorter ones change the pauses of others little. */
constexpr double kLongPromptShare = 0.1;

double ToMs(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

base::Duration FromMs(double milliseconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

void LearnFirstEvent(RunnerModel *model, std::uint64_t prefill_tokens,
                     std::uint64_t queued_tokens, base::Duration first_event,
                     base::TimePoint now) {
  std::uint64_t tokens = prefill_tokens + queued_tokens;
  if (tokens < kMinLearnedTokens) return;
  double prefill_ms = std::max(1.0, ToMs(first_event - kBaseFirstEvent));
  double ratio =
      static_cast<double>(tokens) / prefill_ms / model->m_prefill_tokens_per_ms;
  double slowdown = std::clamp(1 / ratio, 1.0, kMaxSlowdown);
  model->m_slowdown = GetSlowdown(*model, now);
  model->m_slowdown += kSlowdownWeight * (slowdown - model->m_slowdown);
  model->m_slowdown_at = now;
  double weight = std::max(kMinSpeedWeight,
                           1 / (kDefaultWeight + 1 + model->m_sample_count));
  ratio = std::clamp(ratio, 1 / kMaxSampleRatio, kMaxSampleRatio);
  model->m_prefill_tokens_per_ms =
      std::clamp(model->m_prefill_tokens_per_ms * std::pow(ratio, weight),
                 kMinPrefillTokensPerMs, kMaxPrefillTokensPerMs);
  ++model->m_sample_count;
}

void LearnEventGap(RunnerModel *model, std::uint32_t event_count,
                   base::Duration stream_time) {
  if (event_count < 2) return;
  double gap_ms =
      std::min(kMaxEventGapMs, ToMs(stream_time) / (event_count - 1));
  double weight =
      std::max(kMinGapWeight, 1 / (kDefaultWeight + 1 + model->m_stream_count));
  model->m_event_gap_ms += weight * (gap_ms - model->m_event_gap_ms);
  ++model->m_stream_count;
}

double GetSlowdown(const RunnerModel &model, base::TimePoint now) {
  double seconds = std::max(
      0.0, std::chrono::duration<double>(now - model.m_slowdown_at).count());
  return 1 + (model.m_slowdown - 1) *
                 std::exp2(-seconds / kSlowdownHalfLifeSeconds);
}

RequestForecast PredictRequest(const RunnerModel &model, const RunnerWork &work,
                               std::uint64_t prefill_tokens,
                               base::TimePoint now) {
  double ms_per_token = GetSlowdown(model, now) / model.m_prefill_tokens_per_ms;
  base::Duration own =
      FromMs(static_cast<double>(prefill_tokens) * ms_per_token);
  base::Duration queue =
      FromMs(static_cast<double>(work.m_queued_tokens) * ms_per_token);
  RequestForecast forecast;
  forecast.m_first_event =
      kBaseFirstEvent + own + queue +
      FromMs(work.m_in_flight *
             static_cast<double>(kDelayPerInFlightRequest.count()));
  forecast.m_longest_gap = FromMs(model.m_event_gap_ms) + own + queue;
  forecast.m_own_delay = own;
  return forecast;
}

base::Duration GetDelayToOthers(const RequestForecast &forecast,
                                const RunnerWork &work,
                                base::milliseconds max_gap) {
  if (max_gap.count() == 0) return base::Duration(0);
  base::Duration excess =
      forecast.m_longest_gap - FromMs(kFreeGapShare * ToMs(max_gap));
  excess = std::clamp(excess, base::Duration(0), forecast.m_own_delay);
  return FromMs(ToMs(excess) * work.m_in_flight);
}

bool IsLongPrompt(std::uint64_t prefill_tokens, base::milliseconds max_gap) {
  double prefill_ms =
      static_cast<double>(prefill_tokens) / kDefaultPrefillTokensPerMs;
  return max_gap.count() != 0 && prefill_ms >= kLongPromptShare * ToMs(max_gap);
}

base::Duration GetHoldTime(const RequestForecast &forecast,
                           const RunnerWork &work, std::uint64_t prefill_tokens,
                           base::milliseconds max_gap) {
  bool may_pass =
      work.m_queued_tokens == 0 || !IsLongPrompt(prefill_tokens, max_gap);
  if (may_pass) return base::Duration(0);
  return std::max(base::Duration(0), forecast.m_longest_gap - max_gap);
}

gen::RunnerModel EncodeModel(const RunnerModel &model, base::TimePoint now) {
  gen::RunnerModel message;
  message.set_prefill_tokens_per_ms(model.m_prefill_tokens_per_ms);
  message.set_event_gap_ms(model.m_event_gap_ms);
  message.set_slowdown(GetSlowdown(model, now));
  message.set_sample_count(model.m_sample_count);
  return message;
}

RunnerModel DecodeModel(const gen::RunnerModel &message, base::TimePoint now) {
  RunnerModel model;
  auto is_within = [](double value, double low, double high) {
    return value >= low && value <= high;  // false for NaN
  };
  if (is_within(message.prefill_tokens_per_ms(), kMinPrefillTokensPerMs,
                kMaxPrefillTokensPerMs)) {
    model.m_prefill_tokens_per_ms = message.prefill_tokens_per_ms();
  }
  if (is_within(message.event_gap_ms(), 0, kMaxEventGapMs)) {
    model.m_event_gap_ms = message.event_gap_ms();
  }
  if (is_within(message.slowdown(), 1, kMaxSlowdown)) {
    model.m_slowdown = message.slowdown();
  }
  model.m_slowdown_at = now;
  model.m_sample_count = message.sample_count();
  return model;
}

}  // namespace wasabiwind::gateway
