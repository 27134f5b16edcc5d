/** @file drain_func.h Times of the steps of a planned stop of an entry host. */

#ifndef WASABIWIND_GATEWAY_DRAIN_FUNC_H_
#define WASABIWIND_GATEWAY_DRAIN_FUNC_H_

#include "base/time_type.h"

namespace wasabiwind::gateway {

/** Steps of a planned stop. Each follows the one before it. */
struct DrainSchedule {
  /** Requests that arrive later are refused, as not run. */
  base::TimePoint m_refuse_from;
  /** Requests still in progress get their final answer now. */
  base::TimePoint m_answer_at;
  /** Connections that are still open are closed by the exit of the process. */
  base::TimePoint m_exit_at;
};

/**
 * @param start when the process was told to stop
 * @param grace time from then until it is killed
 */
DrainSchedule MakeDrainSchedule(base::TimePoint start,
                                base::milliseconds grace);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_DRAIN_FUNC_H_
