/** @file metrics_func.h Process-wide Prometheus metrics. */

#ifndef WASABIWIND_BASE_METRICS_FUNC_H_
#define WASABIWIND_BASE_METRICS_FUNC_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <map>
#include <string>

namespace wasabiwind::base {

using MetricLabels = std::map<std::string, std::string>;

/**
 * Finds or creates a counter. The lookup takes a lock, so hot paths keep the
 * reference, which stays valid until the process ends. Thread-safe.
 */
prometheus::Counter &GetCounter(const std::string &name,
                                const std::string &help,
                                const MetricLabels &labels = {});

/** As GetCounter, for a gauge. Thread-safe. */
prometheus::Gauge &GetGauge(const std::string &name, const std::string &help,
                            const MetricLabels &labels = {});

/**
 * As GetCounter, for a histogram of latencies in seconds. Thread-safe.
 */
prometheus::Histogram &GetLatencyHistogram(const std::string &name,
                                           const std::string &help,
                                           const MetricLabels &labels = {});

/** @return all metrics in the Prometheus text format. Thread-safe. */
std::string SerializeMetrics();

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_METRICS_FUNC_H_
