/** @file runner_pace_func.h Pace of upstreams that have started or recovered.
 *
 * An upstream that has just started, or was unreachable, gets a small limit on
 * requests in flight. Answers in about the expected time raise it, failures
 * lower it, and it ends once it no longer binds. The limit only orders the
 * choice of an upstream: it never makes a request wait.
 */

#ifndef WASABIWIND_GATEWAY_RUNNER_PACE_FUNC_H_
#define WASABIWIND_GATEWAY_RUNNER_PACE_FUNC_H_

#include <cstdint>

#include "base/time_type.h"

namespace wasabiwind::gateway {

/** Why a limit begins. */
enum class PaceCause : std::uint8_t {
  kStart,     ///< the process has just started
  kRecovery,  ///< it refused connections and accepts them again
  kEnd,
};

/** What an answer or a failure did to a limit. */
enum class PaceChange : std::uint8_t {
  kNone,
  kBegun,
  kGrew,
  kHeld,  ///< the answer was late
  kFell,
  kEnded,
  kEnd,
};

/** Limit on the requests in flight at one start of an upstream, as seen by the
 * observer that keeps it: a load tracker, or one entry host. Not thread-safe.
 */
struct RunnerPace {
  double m_limit = 0;  ///< 0: none
  PaceCause m_cause = PaceCause::kStart;
  /** Growth is by one a round from here on: half of the limit that failed. */
  double m_careful_above = 0;
  double m_usual_ratio = 0;   ///< lowest of actual to expected time; 0: unknown
  int m_unbound_answers = 0;  ///< in a row, while the limit did not bind
  base::TimePoint m_begun_at;         ///< also the time of the last fall
  base::TimePoint m_first_sample_at;  ///< since it began or last fell
};

/** An answer, or a failure, of a request at an upstream. */
struct PaceSample {
  int m_in_flight = 0;  ///< requests there, with this one
  base::TimePoint m_sent_at;
  /** Actual to expected time until the first event. Unused for failures. */
  double m_ratio = 1;
};

/** Begins a limit, unless a lower one is in force. */
void BeginPace(RunnerPace *pace, PaceCause cause, base::TimePoint now);

/** Applies an answer. @return what it did to the limit */
PaceChange RecordPaceAnswer(RunnerPace *pace, const PaceSample &sample,
                            base::TimePoint now);

/**
 * Applies a failure or a refusal, which lowers a limit but begins none: answers
 * may be lost on the way. Failures of requests that were sent before the limit
 * last fell don't lower it again. @return what it did to the limit
 */
PaceChange RecordPaceFailure(RunnerPace *pace, const PaceSample &sample,
                             base::TimePoint now);

/** @return the limit, at least 1, or 0 if there is none (any more). */
std::uint32_t GetMaxInFlight(const RunnerPace &pace, base::TimePoint now);

/**
 * @param max_in_flight from GetMaxInFlight
 * @param in_flight requests at the upstream, without the one to be placed
 * @return what a further request costs there because of the limit
 */
double GetPacePenaltyMs(std::uint32_t max_in_flight, std::uint32_t in_flight);

/** @return the name of a cause or change for logs and metrics. */
const char *GetPaceCauseName(PaceCause cause);
const char *GetPaceChangeName(PaceChange change);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_RUNNER_PACE_FUNC_H_
