/** @file runner_load_func.h Load of runners, kept for all entry hosts.
 *
 * An entry host sees few of the requests that a runner gets. So each runner
 * has one entry host of its region that keeps its book: others tell it which
 * requests they send there, and ask it before they choose among copies. The
 * book is only advice: a host that gets no answer in time chooses by what it
 * knows itself.
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
#include "gateway/upstream_stats_func.h"

namespace wasabiwind::gateway {

struct TrackedRequest {
  std::uint32_t m_prefill_tokens = 0;        ///< 0 once its first event came
  base::TimePoint m_ends_at;                 ///< by then its caller has left
  std::vector<std::uint64_t> m_prefix_keys;  ///< of its prompt
  std::vector<std::uint32_t> m_part_tokens;  ///< of the same parts
};

struct RunnerLoad {
  std::uint64_t m_start_time_ms = 0;  ///< start that the rest belongs to
  absl::flat_hash_map<std::string, TrackedRequest> m_requests;  ///< by ID
  std::uint64_t m_prefill_tokens = 0;                           ///< sum
  PrefixCacheEstimate m_prefix_cache;
  base::TimePoint m_updated_at;
};

/** Not thread-safe. Books that nobody updates are forgotten. */
using RunnerLoads = absl::flat_hash_map<std::string, RunnerLoad>;

/**
 * Takes in what happened to a request.
 * @param capacity tokens that the runner keeps
 */
void ApplyLoadUpdate(RunnerLoads *loads, const gen::LoadUpdate &update,
                     std::uint64_t capacity, base::TimePoint now);

/** @return the load of a runner as its book has it. */
gen::LoadAnswer MakeLoadAnswer(RunnerLoads *loads, const gen::LoadQuery &query,
                               base::TimePoint now);

/** Drops requests that must have ended and books without news. */
void ForgetRunnerLoads(RunnerLoads *loads, base::TimePoint now);

/**
 * @return the entry host that keeps a runner's book: all hosts that know the
 *         same entry hosts agree. nullptr if none is known
 * @param own this host, which the view may lack
 */
const gen::EntryHost *FindLoadTracker(const fleet::FleetView &view,
                                      const Location &location,
                                      const gen::EntryHost &own,
                                      const std::string &upstream,
                                      const std::string &domain,
                                      base::TimePoint now);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_RUNNER_LOAD_FUNC_H_
