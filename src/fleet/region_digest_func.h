/** @file region_digest_func.h What other regions need to know of a region's
 * entry hosts. */

#ifndef WASABIWIND_FLEET_REGION_DIGEST_FUNC_H_
#define WASABIWIND_FLEET_REGION_DIGEST_FUNC_H_

#include <vector>

#include "fleet/view_func.h"

namespace wasabiwind::fleet {

/** Entry hosts of a region that track the load of its runners, at most. Enough
 * to spread the queries; all hosts of all regions know them. */
inline constexpr std::size_t kMaxTrackersPerRegion = 16;

/** @return a digest of each region that has entry hosts. */
std::vector<gen::RegionDigest> MakeRegionDigests(const FleetView &view,
                                                 base::TimePoint now);

/** @return the number of entry hosts in all regions. */
std::size_t CountEntryHosts(const FleetView &view);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_REGION_DIGEST_FUNC_H_
