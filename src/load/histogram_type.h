/** @file histogram_type.h Histogram of durations with bounded relative error.
 */

#ifndef WASABIWIND_LOAD_HISTOGRAM_TYPE_H_
#define WASABIWIND_LOAD_HISTOGRAM_TYPE_H_

#include <array>
#include <boost/json/object.hpp>
#include <cstdint>

#include "base/time_type.h"

namespace wasabiwind::load {

/**
 * Counts durations in buckets whose width is at most 1/64 of their value.
 * Durations are kept in microseconds up to about 19 hours; longer ones count
 * in the last bucket. Debian has no library for such histograms.
 */
struct Histogram {
  static constexpr int kSubBits = 6;  ///< 64 buckets for each power of two
  static constexpr int kPowers = 31;
  static constexpr std::size_t kBuckets = static_cast<std::size_t>(kPowers)
                                          << kSubBits;

  std::array<std::uint64_t, kBuckets> m_counts{};
  std::uint64_t m_total = 0;
  std::chrono::microseconds m_max{0};
};

/** Adds a duration; a negative one counts as zero. */
void AddDuration(Histogram *histogram, base::Duration duration);

/** Adds all counts of another histogram. */
void MergeHistogram(Histogram *histogram, const Histogram &other);

/**
 * @param share between 0 and 1, such as 0.99
 * @return a duration that at least this share of the recorded durations doesn't
 *         exceed, at most 1/64 too high; zero for an empty histogram
 */
std::chrono::microseconds GetQuantile(const Histogram &histogram, double share);

/** @return count, p50, p90, p95, p99, p999 and max in milliseconds. */
boost::json::object DescribeHistogram(const Histogram &histogram);

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_HISTOGRAM_TYPE_H_
