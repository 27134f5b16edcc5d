/** @file directory_func.h Which addresses callers shall use. */

#ifndef WASABIWIND_GATEWAY_DIRECTORY_FUNC_H_
#define WASABIWIND_GATEWAY_DIRECTORY_FUNC_H_

#include <string>
#include <vector>

#include "fleet/view_func.h"
#include "gateway/choose_func.h"
#include "gateway/protocol_type.h"

namespace wasabiwind::gateway {

/**
 * Lists entry hosts for a caller: those of its failure domain, then of its
 * region, then all others, until there are kEnoughAddresses. Hosts that stop,
 * start or are silent are left out; if no control host is in touch, what was
 * last known counts.
 * @param own this host; listed only while it serves
 * @return at most kMostAddresses addresses, empty if none is known
 */
std::vector<std::string> ListAddresses(const fleet::FleetView &view,
                                       const Location &location,
                                       const gen::EntryHost &own,
                                       const AddressQuery &query,
                                       base::TimePoint now);

/** Fewer than these leave a caller without a second choice. */
inline constexpr std::size_t kSufficientAddresses = 2;
inline constexpr std::size_t kMaxAddresses = 64;

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_DIRECTORY_FUNC_H_
