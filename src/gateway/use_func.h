/** @file use_func.h Request counts by target, reported to control hosts. */

#ifndef WASABIWIND_GATEWAY_USE_FUNC_H_
#define WASABIWIND_GATEWAY_USE_FUNC_H_

#include <fleet.pb.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "fleet/residency_type.h"

namespace wasabiwind::gateway {

/** Demand for one target at this host. */
struct TargetCounts {
  std::uint32_t m_arrivals = 0;       ///< since the last report
  std::uint32_t m_waiting = 0;        ///< requests that wait now
  std::uint32_t m_rank = 0;           ///< of the last request that waited
  std::set<std::string> m_upstreams;  ///< used since the last report
};

/** Not thread-safe. Holds targets that were requested since the last report,
 * and those that requests wait for. */
struct UseCounts {
  std::map<fleet::TargetKey, TargetCounts> m_targets;
};

/** Adds all counts to a report and starts the next reporting period. */
inline void TakeUseReport(UseCounts *counts, gen::UseReport *report) {
  for (auto &[key, target] : counts->m_targets) {
    gen::TargetUse *use = report->add_uses();
    use->set_service(key.m_service);
    use->set_model(key.m_model);
    use->set_adapter(key.m_adapter);
    use->set_arrivals(target.m_arrivals);
    use->set_waiting(target.m_waiting);
    use->set_rank(target.m_rank);
    for (const std::string &upstream : target.m_upstreams) {
      use->add_upstreams(upstream);
    }
    target.m_arrivals = 0;
    target.m_upstreams.clear();
  }
  // A target for which no request waits is reported once and then dropped.
  std::erase_if(counts->m_targets,
                [](const auto &item) { return item.second.m_waiting == 0; });
}

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_USE_FUNC_H_
