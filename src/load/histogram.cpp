/** @file histogram.cpp Histogram of durations with bounded relative error. */

#include <algorithm>
#include <bit>
#include <cmath>

#include "load/histogram_type.h"

namespace wasabiwind::load {

namespace {

constexpr std::uint64_t kSubBuckets = 1ULL << Histogram::kSubBits;

std::size_t GetBucket(std::uint64_t value) {
  if (value < kSubBuckets) return static_cast<std::size_t>(value);
  int shift = std::bit_width(value) - 1 - Histogram::kSubBits;
  std::uint64_t sub = (value >> shift) - kSubBuckets;
  std::size_t bucket = (static_cast<std::size_t>(shift) + 1) * kSubBuckets +
                       static_cast<std::size_t>(sub);
  return std::min(bucket, Histogram::kBuckets - 1);
}

/** @return the largest value of a bucket. */
std::uint64_t GetLargestValue(std::size_t bucket) {
  if (bucket < kSubBuckets) return bucket;
  std::size_t shift = bucket / kSubBuckets - 1;
  std::uint64_t sub = bucket % kSubBuckets + kSubBuckets;
  return ((sub + 1) << shift) - 1;
}

}  // namespace

void AddDuration(Histogram *histogram, base::Duration duration) {
  auto value =
      std::max(std::chrono::microseconds(0),
               std::chrono::duration_cast<std::chrono::microseconds>(duration));
  ++histogram->m_counts[GetBucket(static_cast<std::uint64_t>(value.count()))];
  ++histogram->m_total;
  histogram->m_max = std::max(histogram->m_max, value);
}

void MergeHistogram(Histogram *histogram, const Histogram &other) {
  for (std::size_t i = 0; i < Histogram::kBuckets; ++i) {
    histogram->m_counts[i] += other.m_counts[i];
  }
  histogram->m_total += other.m_total;
  histogram->m_max = std::max(histogram->m_max, other.m_max);
}

std::chrono::microseconds GetQuantile(const Histogram &histogram,
                                      double share) {
  auto wanted = static_cast<std::uint64_t>(
      std::ceil(share * static_cast<double>(histogram.m_total)));
  wanted = std::max<std::uint64_t>(wanted, 1);
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < Histogram::kBuckets; ++i) {
    seen += histogram.m_counts[i];
    if (seen < wanted) continue;
    if (i + 1 == Histogram::kBuckets) return histogram.m_max;
    std::chrono::microseconds value(
        static_cast<std::int64_t>(GetLargestValue(i)));
    return std::min(value, histogram.m_max);
  }
  return histogram.m_max;
}

boost::json::object DescribeHistogram(const Histogram &histogram) {
  auto to_ms = [](std::chrono::microseconds value) {
    return static_cast<double>(value.count()) / 1000.0;
  };
  auto quantile = [&](double share) {
    return to_ms(GetQuantile(histogram, share));
  };
  return {{"count", histogram.m_total},   {"p50", quantile(0.5)},
          {"p90", quantile(0.9)},         {"p95", quantile(0.95)},
          {"p99", quantile(0.99)},        {"p999", quantile(0.999)},
          {"max", to_ms(histogram.m_max)}};
}

}  // namespace wasabiwind::load
