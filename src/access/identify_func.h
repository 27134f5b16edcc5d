/** @file identify_func.h Identification of callers by the keys of teams. */

#ifndef WASABIWIND_ACCESS_IDENTIFY_FUNC_H_
#define WASABIWIND_ACCESS_IDENTIFY_FUNC_H_

#include <cstdint>
#include <string>

#include "routes/table_func.h"

namespace wasabiwind::access {

enum class IdentityOutcome : std::uint8_t {
  kAccepted,
  kUnknownKey,         ///< no team holds the key, or none was sent
  kTableNotConfirmed,  ///< a newer table may have added or revoked the key
  kEnd,
};

/** Whether a request is accepted, and for which team. */
struct CallerIdentity {
  IdentityOutcome m_outcome = IdentityOutcome::kAccepted;
  /** nullptr without a key; lives as long as the route index. */
  const gen::Team *m_team = nullptr;
};

/** @return whether requests need keys, unless their route is public.
 * Thread-safe. */
bool HasTeams(const routes::RouteIndex &index);

/**
 * Identifies the caller of a request. Thread-safe.
 * @param route of the request, from the same index
 * @param key that the caller sent, or ""
 * @param is_confirmed whether the table was the newest recently enough to
 *        accept and to refuse keys
 */
CallerIdentity IdentifyCaller(const routes::RouteIndex &index,
                              const gen::Route &route, const std::string &key,
                              bool is_confirmed);

}  // namespace wasabiwind::access

#endif  // WASABIWIND_ACCESS_IDENTIFY_FUNC_H_
