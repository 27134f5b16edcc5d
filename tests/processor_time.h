/** @file processor_time.h Processor time of a thread, for ratios in tests. */

#ifndef WASABIWIND_TESTS_PROCESSOR_TIME_H_
#define WASABIWIND_TESTS_PROCESSOR_TIME_H_

#include <algorithm>
#include <chrono>
#include <ctime>
#include <limits>

namespace wasabiwind::tests {

using ProcessorTime = std::chrono::duration<double, std::milli>;

/**
 * @return processor time that the calling thread has used. Unlike elapsed
 *         time it doesn't count waits for a core on a busy machine.
 */
inline ProcessorTime GetThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<ProcessorTime>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

/** @return the minimum of several measurements, which other load on the machine
 * affects least. */
template <typename Measure>
double MeasureMinimum(Measure measure) {
  constexpr int kRepeats = 3;
  double minimum = std::numeric_limits<double>::max();
  for (int i = 0; i < kRepeats; ++i) minimum = std::min(minimum, measure());
  return minimum;
}

}  // namespace wasabiwind::tests

#endif  // WASABIWIND_TESTS_PROCESSOR_TIME_H_
