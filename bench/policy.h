/** @file policy.h Routing policies under benchmark: router and baselines. */

#ifndef WASABIWIND_BENCH_POLICY_H_
#define WASABIWIND_BENCH_POLICY_H_

#include <memory>

#include "bench/simulation.h"
#include "route/router_func.h"

namespace wasabiwind::bench {

/** Policies that ignore priority, request size and runner speed. */
enum class Baseline : std::uint8_t {
  kRoundRobin,        ///< each runner in turn, without a queue
  kLeastOutstanding,  ///< the runner with fewest requests of
                      ///< the entry host, without a queue
  kFifoQueue,         ///< a queue in order of arrival for free slots
};

/** @return a baseline policy. */
std::unique_ptr<Policy> MakeBaseline(Baseline baseline);

/** @return a policy with one router per entry host. */
std::unique_ptr<Policy> MakeRouterPolicy(const route::RouterOptions &options,
                                         std::uint64_t seed);

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_POLICY_H_
