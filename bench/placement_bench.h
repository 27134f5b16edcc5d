/** @file placement_bench.h Benchmark of placement in virtual time. */

#ifndef WASABIWIND_BENCH_PLACEMENT_BENCH_H_
#define WASABIWIND_BENCH_PLACEMENT_BENCH_H_

#include <cstdint>

#include "bench/report.h"
#include "bench/workload.h"

namespace wasabiwind::bench {

/**
 * Measures the tail latency of cold starts and the idle hours of the placement
 * planner. Baselines: loads on the first request, and eager keep-alive.
 */
void MeasurePlacement(const Firm &firm, std::uint64_t seed, Report *report);

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_PLACEMENT_BENCH_H_
