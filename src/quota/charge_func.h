/** @file charge_func.h Which control host an entry host asks for credit. */

#ifndef WASABIWIND_QUOTA_CHARGE_FUNC_H_
#define WASABIWIND_QUOTA_CHARGE_FUNC_H_

#include <map>
#include <set>
#include <string>

#include "base/time_type.h"

namespace wasabiwind::quota {

/** Control hosts that left queries unanswered. Not thread-safe. */
struct ChargeHosts {
  std::map<std::string, base::TimePoint> m_avoid_until;  ///< by endpoint
};

/** A control host is asked last for this long after it left a query unanswered.
 */
inline constexpr base::milliseconds kAvoidSilentHost{1'000};

/**
 * @param followed control host that this host follows, or ""
 * @param known all control hosts
 * @param asked hosts that were asked for the same request already
 * @param spread chooses among the other hosts
 * @return the host to ask next, or "" if all were asked
 */
std::string ChooseChargeHost(const ChargeHosts &hosts,
                             const std::string &followed,
                             const std::set<std::string> &known,
                             const std::set<std::string> &asked,
                             std::uint64_t spread, base::TimePoint now);

/** Records that a host didn't answer in time, or couldn't tell. */
void RecordSilentHost(ChargeHosts *hosts, const std::string &host,
                      base::TimePoint now);

/** Records an answer. */
void RecordAnsweringHost(ChargeHosts *hosts, const std::string &host);

}  // namespace wasabiwind::quota

#endif  // WASABIWIND_QUOTA_CHARGE_FUNC_H_
