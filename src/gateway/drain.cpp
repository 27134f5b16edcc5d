/** @file drain.cpp Times of the steps of a planned stop of an entry host. */

#include <algorithm>

#include "gateway/drain_func.h"

namespace wasabiwind::gateway {

namespace {

/** After this time callers have dropped address answers with this host. */
constexpr base::milliseconds kCallerSwitchTime{3'000};
/** Requests are taken for at most this part of the grace time, so that most of
 * it is left to answer them. */
constexpr double kTakingShare = 0.375;
/** Time that is reserved for final answers and the exit, at most, and as part
 * of the grace time. */
constexpr base::milliseconds kMaxExitReserve{500};
constexpr double kExitReserveShare = 0.125;

base::Duration GetShare(base::milliseconds time, double share) {
  return std::chrono::duration_cast<base::Duration>(time * share);
}

}  // namespace

DrainSchedule MakeDrainSchedule(base::TimePoint start,
                                base::milliseconds grace) {
  auto taking = std::min<base::Duration>(kCallerSwitchTime,
                                         GetShare(grace, kTakingShare));
  auto reserve = std::min<base::Duration>(kMaxExitReserve,
                                          GetShare(grace, kExitReserveShare));
  DrainSchedule schedule;
  schedule.m_refuse_from = start + taking;
  schedule.m_answer_at = start + grace - reserve;
  schedule.m_exit_at = start + grace - reserve / 2;
  return schedule;
}

}  // namespace wasabiwind::gateway
