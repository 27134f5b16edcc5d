/** @file time_type.h Time types shared by all modules. */

#ifndef WASABIWIND_BASE_TIME_TYPE_H_
#define WASABIWIND_BASE_TIME_TYPE_H_

#include <chrono>

namespace wasabiwind::base {

/**
 * Steady clock that also counts the time for which the machine is suspended.
 * A lease measured with std::chrono::steady_clock would still seem valid after
 * a suspension that outlasted it. Thread-safe.
 */
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /** @return the time since the machine started. */
  static time_point now() noexcept;  // NOLINT(readability-identifier-naming)
};

/** Clock for deadlines and intervals; never compared between hosts. */
using Clock = BootClock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Clock for calendar times that people or other hosts read. */
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;

/** @return a duration in whole milliseconds, as in logs and messages. */
template <typename Rep, typename Period>
std::int64_t ToMilliseconds(std::chrono::duration<Rep, Period> duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_TIME_TYPE_H_
