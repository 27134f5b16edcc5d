/** @file runner_load_func.h Load of runners, tracked for all entry hosts.
 *
 * An entry host sees only some of the requests that a runner gets. So one entry
 * host in the runner's region is its load tracker: the others report to it
 * which requests they send to the runner, and query it before they choose among
 * replicas. The result is a hint only: a host that gets no answer in time
 * chooses by its own estimate.
 */

#ifndef WASABIWIND_GATEWAY_RUNNER_LOAD_FUNC_H_
#define WASABIWIND_GATEWAY_RUNNER_LOAD_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <fleet.pb.h>

#include <string>
#include <vector>

#include "base/time_type.h"
#include "fleet/view_func.h"
#include "gateway/choose_func.h"
#include "gateway/runner_model_func.h"
#include "gateway/upstream_stats_func.h"

namespace wasabiwind::gateway {

/** A request at a runner. */
struct TrackedRequest {
  std::uint32_t m_prefill_tokens = 0;  ///< 0 after its first event
  std::uint64_t m_queued_tokens = 0;   ///< of the requests before it
  bool m_is_streaming = false;         ///< its first event has arrived
  base::TimePoint m_ends_at;           ///< its caller has given up by then
  std::vector<std::uint64_t> m_prefix_keys;  ///< of its prompt parts
  std::vector<std::uint32_t> m_part_tokens;  ///< of its prompt parts
  base::TimePoint m_sent_at;
};

/** What the load tracker of a runner knows of it. */
struct RunnerLoad {
  std::uint64_t m_start_time_ms = 0;  ///< of the runner's process
  absl::flat_hash_map<std::string, TrackedRequest> m_requests;  ///< by ID
  std::uint64_t m_prefill_tokens = 0;  ///< sum over m_requests
  PrefixCacheEstimate m_prefix_cache;
  RunnerModel m_model;
  base::TimePoint m_updated_at;
  bool m_is_pace_known = false;  ///< false until its start was judged
  RunnerPace m_pace;             ///< limit on m_requests
};

/** By upstream. Not thread-safe. Bounded by ForgetRunnerLoads. */
using RunnerLoads = absl::flat_hash_map<std::string, RunnerLoad>;

/** Forgets the load of a former start of a runner.
 * @return false if the start has been replaced by a later one */
bool ResetRestartedLoad(RunnerLoad *load, std::uint64_t start_time_ms);

/**
 * Applies a reported event of a request.
 * @param capacity size of the runner's prefix cache, in tokens
 */
void ApplyLoadUpdate(RunnerLoads *loads, const gen::LoadUpdate &update,
                     std::uint64_t capacity, base::TimePoint now);

/**
 * Applies a reported event to the pace of its runner.
 * @param started_at when this host heard of the runner's start, or 0
 * @pre called before ApplyLoadUpdate with the same update
 * @return what it did to the limit
 */
PaceChange ApplyPaceUpdate(RunnerLoads *loads, const gen::LoadUpdate &update,
                           base::TimePoint started_at, base::TimePoint now);

/** @return the tracked load of a runner. */
gen::LoadAnswer MakeLoadAnswer(RunnerLoads *loads, const gen::LoadQuery &query,
                               base::TimePoint now);

/** Drops runners without a recent update. */
void ForgetRunnerLoads(RunnerLoads *loads, base::TimePoint now);

/**
 * @return the load tracker of a runner, the same at all hosts that have the
 *         same digests of regions; nullptr if none is known
 * @param domain failure domain of the runner
 */
const gen::EntryHost *FindLoadTracker(const fleet::FleetView &view,
                                      const Location &location,
                                      const std::string &upstream,
                                      const std::string &domain);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_RUNNER_LOAD_FUNC_H_
