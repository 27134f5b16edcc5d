/** @file run_func.h Runs a schedule against entry hosts. */

#ifndef WASABIWIND_LOAD_RUN_FUNC_H_
#define WASABIWIND_LOAD_RUN_FUNC_H_

#include <atomic>
#include <functional>
#include <vector>

#include "load/caller_base.h"
#include "load/result_type.h"
#include "load/schedule_func.h"

namespace wasabiwind::load {

struct RunOptions {
  std::vector<net::Endpoint> m_entry_hosts;  ///< to fetch addresses from
  bool m_direct = false;  ///< send to m_entry_hosts, fetch none
  int m_threads = 1;
  int m_max_in_flight = 4'000;  ///< per thread; requests beyond it aren't sent
  std::uint64_t m_seed = 1;
  CallerOptions m_caller;
};

/** Counters of a run in progress. Thread-safe. */
struct RunProgress {
  std::atomic<std::uint64_t> m_sent = 0;
  std::atomic<std::uint64_t> m_ended = 0;
  std::atomic<std::uint64_t> m_complete = 0;
};

/** Called for each request that has ended, from several threads. */
using ResultCallback =
    std::function<void(const PlannedRequest &, const RequestResult &)>;

/**
 * Sends each request at its time, whether or not earlier ones have ended, and
 * waits for all of them.
 * @pre the calling thread isn't inside RunFiberThread; m_entry_hosts isn't
 * empty
 */
LoadResult RunSchedule(const RunOptions &options,
                       const std::vector<PlannedRequest> &schedule,
                       const ResultCallback &on_result, RunProgress *progress);

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_RUN_FUNC_H_
