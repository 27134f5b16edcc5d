/** @file residency_internal.h Functions shared by the parts of the planner. */

#ifndef WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_
#define WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_

#include "fleet/residency_func.h"

namespace wasabiwind::fleet {

inline constexpr std::uint32_t kLeastUrgentRank = 1'000;

/** @return requests that wait for a target at all entry hosts. */
std::uint32_t CountWaiting(const TargetDemand &demand, base::TimePoint now);

/** @return the rank of the most urgent waiting request. */
std::uint32_t GetWaitingRank(const TargetDemand &demand, base::TimePoint now);

/** Brings a book up to date with a runner's report. */
void RefreshBook(RunnerBook *book, const UpstreamEntry &entry,
                 base::TimePoint now);

/** @return what the book adds to the runner's report, without version. */
gen::Residency MakeResidency(const RunnerBook &book, const std::string &id);

std::uint64_t HashResidency(const gen::Residency &residency);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_RESIDENCY_INTERNAL_H_
