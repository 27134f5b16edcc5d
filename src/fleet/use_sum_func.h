/** @file use_sum_func.h Adds up the use reports of the entry hosts that follow
 * a control host. */

#ifndef WASABIWIND_FLEET_USE_SUM_FUNC_H_
#define WASABIWIND_FLEET_USE_SUM_FUNC_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/residency_type.h"

namespace wasabiwind::fleet {

/** Use of one target by all reporting entry hosts. */
struct TargetUseSum {
  std::uint32_t m_arrivals = 0;                    ///< since the last sum
  std::map<std::string, WaitingReport> m_waiting;  ///< by entry host
  std::set<std::string> m_upstreams;               ///< used since the last sum
  bool m_is_changed = false;                       ///< since the last sum
};

/** Not thread-safe. Bounded by the targets that are declared, as entry hosts
 * report no others, and by the bounds of each report. */
struct UseSum {
  std::map<TargetKey, TargetUseSum> m_targets;
  std::set<std::string> m_unreachable;
  /** Serialized lost prompts; hosts report each for some seconds. */
  std::set<std::string> m_lost_requests;
  std::set<std::uint64_t> m_sound_parts;
  std::set<std::uint64_t> m_sound_requests;
  bool m_has_new_waiting = false;  ///< since the last sum
};

/**
 * Adds a report of one entry host.
 * @param upstream_count known upstreams, to judge whether the host is cut off
 */
void AddUseReport(UseSum *sum, const gen::UseReport &report,
                  std::size_t upstream_count, base::TimePoint now);

/** @return the sum since the last call, or nullopt if there is nothing to
 * report. */
std::optional<gen::UseReport> TakeUseSum(UseSum *sum, base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_USE_SUM_FUNC_H_
