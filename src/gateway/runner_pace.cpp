/** @file runner_pace.cpp Pace of upstreams that have started or recovered. */

#include <algorithm>
#include <cmath>

#include "gateway/runner_pace_func.h"

namespace wasabiwind::gateway {

namespace {

/** First limits. After a refused connection a single request shows whether the
 * upstream answers at all. */
constexpr double kStartLimit = 4;
constexpr double kRecoveryLimit = 1;
/** An answer is late beyond this multiple of the upstream's usual ratio. */
constexpr double kLateFactor = 1.5;
constexpr double kFallFactor = 0.5;
/** The limit binds while more than this share of it is in flight. */
constexpr double kBindingShare = 0.5;
/** Successive answers, while the limit does not bind, that end it. */
constexpr int kUnboundAnswersToEnd = 4;
/** No upstream runs so many requests at a time: the limit has no effect. */
constexpr double kMaxLimit = 256;
/** A limit that neither ended nor fell for this long after the first answer
 * ends, so that an upstream whose answers remain slow is judged by its load and
 * speed alone. */
constexpr base::milliseconds kMaxPaceTime{30'000};
/** More than the spread by affinity, so that the limit orders copies of similar
 * load; little against the seconds that a queue of prompts takes. */
constexpr double kMsPerRequestAboveLimit = 150;

bool IsLimited(const RunnerPace &pace, base::TimePoint now) {
  if (pace.m_limit == 0) return false;
  return pace.m_first_sample_at == base::TimePoint() ||
         now < pace.m_first_sample_at + kMaxPaceTime;
}

PaceChange EndPace(RunnerPace *pace) {
  *pace = RunnerPace();
  return PaceChange::kEnded;
}

void LowerLimit(RunnerPace *pace, double limit, base::TimePoint now) {
  pace->m_careful_above = std::max(1.0, limit);
  pace->m_limit = std::max(1.0, limit);
  pace->m_begun_at = now;
  pace->m_first_sample_at = now;
  pace->m_unbound_answers = 0;
}

/** @return whether an answer is late for this upstream. A slow upstream's usual
 * ratio is above 1; one that is faster than expected may slow down to 1. */
bool IsLate(RunnerPace *pace, double ratio) {
  double usual =
      pace->m_usual_ratio == 0 ? ratio : std::min(pace->m_usual_ratio, ratio);
  pace->m_usual_ratio = std::max(1.0, usual);
  return ratio > kLateFactor * pace->m_usual_ratio;
}

}  // namespace

void BeginPace(RunnerPace *pace, PaceCause cause, base::TimePoint now) {
  double limit = cause == PaceCause::kStart ? kStartLimit : kRecoveryLimit;
  if (IsLimited(*pace, now)) limit = std::min(limit, pace->m_limit);
  *pace = RunnerPace();
  pace->m_limit = limit;
  pace->m_cause = cause;
  pace->m_careful_above = kMaxLimit;
  pace->m_begun_at = now;
}

PaceChange RecordPaceAnswer(RunnerPace *pace, const PaceSample &sample,
                            base::TimePoint now) {
  if (pace->m_limit == 0) return PaceChange::kNone;
  if (!IsLimited(*pace, now)) return EndPace(pace);
  if (pace->m_first_sample_at == base::TimePoint()) {
    pace->m_first_sample_at = now;
  }
  if (IsLate(pace, sample.m_ratio)) {
    pace->m_unbound_answers = 0;
    return PaceChange::kHeld;
  }
  if (sample.m_in_flight <= kBindingShare * pace->m_limit) {
    if (++pace->m_unbound_answers < kUnboundAnswersToEnd) {
      return PaceChange::kNone;
    }
    return EndPace(pace);
  }
  pace->m_unbound_answers = 0;
  // One for each answer doubles the limit in a round of answers.
  bool is_careful = pace->m_limit >= pace->m_careful_above;
  pace->m_limit += is_careful ? 1 / pace->m_limit : 1;
  return pace->m_limit > kMaxLimit ? EndPace(pace) : PaceChange::kGrew;
}

PaceChange RecordPaceFailure(RunnerPace *pace, const PaceSample &sample,
                             base::TimePoint now) {
  if (!IsLimited(*pace, now)) return PaceChange::kNone;
  if (sample.m_sent_at < pace->m_begun_at) return PaceChange::kNone;
  LowerLimit(pace, kFallFactor * pace->m_limit, now);
  return PaceChange::kFell;
}

std::uint32_t GetMaxInFlight(const RunnerPace &pace, base::TimePoint now) {
  if (!IsLimited(pace, now)) return 0;
  return static_cast<std::uint32_t>(std::max(1.0, std::floor(pace.m_limit)));
}

double GetPacePenaltyMs(std::uint32_t max_in_flight, std::uint32_t in_flight) {
  if (max_in_flight == 0 || in_flight < max_in_flight) return 0;
  return kMsPerRequestAboveLimit * (in_flight + 1 - max_in_flight);
}

const char *GetPaceCauseName(PaceCause cause) {
  switch (cause) {
    case PaceCause::kStart:
      return "start";
    case PaceCause::kRecovery:
      return "recovery";
    case PaceCause::kEnd:
      break;
  }
  return "unknown";
}

const char *GetPaceChangeName(PaceChange change) {
  switch (change) {
    case PaceChange::kNone:
      return "none";
    case PaceChange::kBegun:
      return "begun";
    case PaceChange::kGrew:
      return "grew";
    case PaceChange::kHeld:
      return "held";
    case PaceChange::kFell:
      return "fell";
    case PaceChange::kEnded:
      return "ended";
    case PaceChange::kEnd:
      break;
  }
  return "unknown";
}

}  // namespace wasabiwind::gateway
