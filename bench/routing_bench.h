/** @file routing_bench.h Benchmarks of routing in virtual time. */

#ifndef WASABIWIND_BENCH_ROUTING_BENCH_H_
#define WASABIWIND_BENCH_ROUTING_BENCH_H_

#include <cstdint>

#include "bench/report.h"
#include "bench/workload.h"

namespace wasabiwind::bench {

/** Latency of short requests behind long ones, compared with a FIFO queue. */
void MeasureHeadOfLine(const Firm &firm, std::uint64_t seed, Report *report);

/** Tail latency of short requests while 2 runners are five times slower. */
void MeasureSlowUpstreams(const Firm &firm, std::uint64_t seed, Report *report);

/** Goodput at the peak of a demand swing and at threefold overload. */
void MeasureGoodput(const Firm &firm, std::uint64_t seed, Report *report);

/** Wall-clock time of the router per request; reported without a bound. */
void MeasureHotPath(std::uint64_t seed, Report *report);

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_ROUTING_BENCH_H_
