/** @file runner_model_func.h Model of a runner, learned from its answers. */

#ifndef WASABIWIND_GATEWAY_RUNNER_MODEL_FUNC_H_
#define WASABIWIND_GATEWAY_RUNNER_MODEL_FUNC_H_

#include <fleet.pb.h>

#include <cstdint>

#include "base/time_type.h"

namespace wasabiwind::gateway {

/** Prefill speed of a runner of which nothing has been learned. */
inline constexpr double kDefaultPrefillTokensPerMs = 38.0;
/** Mean time between two events of a runner of which nothing has been learned.
 */
inline constexpr base::milliseconds kDefaultEventGap{25};

/** What is known of the speed of one start of a runner. Not thread-safe. */
struct RunnerModel {
  double m_prefill_tokens_per_ms = kDefaultPrefillTokensPerMs;
  double m_event_gap_ms = static_cast<double>(kDefaultEventGap.count());
  /** Of the last answers against m_prefill_tokens_per_ms, as of
   * m_slowdown_at; it fades within seconds. */
  double m_slowdown = 1;
  base::TimePoint m_slowdown_at;
  /** Answers from which the prefill speed was learned. */
  std::uint32_t m_sample_count = 0;
  std::uint32_t m_stream_count = 0;  ///< streams behind m_event_gap_ms
};

/** The requests at a runner. */
struct RunnerWork {
  std::uint64_t m_queued_tokens = 0;  ///< prompt tokens not prefilled yet
  double m_in_flight = 0;             ///< requests, those queued included
};

/** What a further request is expected to cost at a runner. */
struct RequestForecast {
  base::Duration m_first_event{0};  ///< its time to the first event
  /** Longest pause between events while the queue, with its prompt, is
   * prefilled. */
  base::Duration m_longest_gap{0};
  /** The part of that pause that is due to its prompt. */
  base::Duration m_own_delay{0};
};

/**
 * Learns the prefill speed and the short slowdown from a first event.
 * @param prefill_tokens prompt tokens that had to be prefilled
 * @param queued_tokens those of the requests before it
 * @param first_event since the request was sent
 */
void LearnFirstEvent(RunnerModel *model, std::uint64_t prefill_tokens,
                     std::uint64_t queued_tokens, base::Duration first_event,
                     base::TimePoint now);

/**
 * Learns the time between events from a stream that has ended.
 * @param stream_time first to last event
 */
void LearnEventGap(RunnerModel *model, std::uint32_t event_count,
                   base::Duration stream_time);

/** @return the short slowdown, faded to a time; 1 is the usual speed. */
double GetSlowdown(const RunnerModel &model, base::TimePoint now);

/** @return what a request costs that brings prefill_tokens. */
RequestForecast PredictRequest(const RunnerModel &model, const RunnerWork &work,
                               std::uint64_t prefill_tokens,
                               base::TimePoint now);

/**
 * @param max_gap longest pause of a punctual stream; 0: no pause is too long
 * @return the delay that the prompt of a request adds to the pauses of the
 *         requests at the runner, as far as these become critical, summed up
 *         over these requests
 */
base::Duration GetDelayToOthers(const RequestForecast &forecast,
                                const RunnerWork &work,
                                base::milliseconds max_gap);

/**
 * @return whether a prompt of this length, at the default speed, delays other
 *         streams noticeably
 */
bool IsLongPrompt(std::uint64_t prefill_tokens, base::milliseconds max_gap);

/**
 * @return how long a request should wait before it is sent: the prompts queued
 *         at the runner, read together with its own, would pause the streams
 *         there for longer than max_gap. 0 if nothing is queued, and for
 *         prompts that aren't long.
 */
base::Duration GetHoldTime(const RequestForecast &forecast,
                           const RunnerWork &work, std::uint64_t prefill_tokens,
                           base::milliseconds max_gap);

/** @return the model as sent to other hosts. */
gen::RunnerModel EncodeModel(const RunnerModel &model, base::TimePoint now);

/** @return a received model. Figures out of range are replaced by defaults. */
RunnerModel DecodeModel(const gen::RunnerModel &message, base::TimePoint now);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_RUNNER_MODEL_FUNC_H_
