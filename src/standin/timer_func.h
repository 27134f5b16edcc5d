/** @file timer_func.h Sleep with a resolution below a millisecond. */

#ifndef WASABIWIND_STANDIN_TIMER_FUNC_H_
#define WASABIWIND_STANDIN_TIMER_FUNC_H_

#include "base/time_type.h"

namespace wasabiwind::standin {

/**
 * Suspends the calling fiber until a time. net::SleepFor resumes up to 1 ms
 * late, since it sets an epoll timeout, which has a resolution of 1 ms; this
 * uses a timer of the io_context, which has one of 1 ns.
 * @pre called inside net::RunFiberThread
 */
void SleepUntil(base::TimePoint time);

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_TIMER_FUNC_H_
