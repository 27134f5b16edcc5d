/** @file metrics.cpp Process-wide Prometheus metrics. */

#include <prometheus/family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "base/metrics_func.h"

namespace wasabiwind::base {

namespace {

prometheus::Registry &Registry() {
  static prometheus::Registry registry(
      prometheus::Registry::InsertBehavior::Merge);
  return registry;
}

const prometheus::Histogram::BucketBoundaries &LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1,
      0.2,    0.5,    1.0,   1.4,   2.0,   5.0,  10.0, 30.0,  60.0, 300.0};
  return buckets;
}

}  // namespace

prometheus::Counter &GetCounter(const std::string &name,
                                const std::string &help,
                                const MetricLabels &labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(Registry())
      .Add(labels);
}

prometheus::Gauge &GetGauge(const std::string &name, const std::string &help,
                            const MetricLabels &labels) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(Registry())
      .Add(labels);
}

prometheus::Histogram &GetLatencyHistogram(const std::string &name,
                                           const std::string &help,
                                           const MetricLabels &labels) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(Registry())
      .Add(labels, LatencyBuckets());
}

std::string SerializeMetrics() {
  return prometheus::TextSerializer().Serialize(Registry().Collect());
}

}  // namespace wasabiwind::base
