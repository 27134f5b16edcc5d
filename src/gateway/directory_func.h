/** @file directory_func.h Addresses of entry hosts for callers. */

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
 * region, then all others, until at least kSufficientAddresses are
 * listed. Only serving hosts with recent heartbeats are listed; without contact
 * to a control host, missing heartbeats can't be detected and are ignored.
 * @param own this host; listed only while it serves
 * @return at most kMaxAddresses addresses, empty if none is known
 */
std::vector<std::string> ListAddresses(const fleet::FleetView &view,
                                       const Location &location,
                                       const gen::EntryHost &own,
                                       const AddressQuery &query,
                                       base::TimePoint now);

/** A caller needs a second address to fail over to. */
inline constexpr std::size_t kSufficientAddresses = 2;
inline constexpr std::size_t kMaxAddresses = 64;

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_DIRECTORY_FUNC_H_
