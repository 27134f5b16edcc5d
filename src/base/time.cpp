/** @file time.cpp Steady clock that includes suspended time. */

#include <ctime>

#include "base/time_type.h"

namespace wasabiwind::base {

BootClock::time_point BootClock::now() noexcept {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace wasabiwind::base
