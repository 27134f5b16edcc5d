/** @file identify.cpp Identification of callers by the keys of teams. */

#include "access/identify_func.h"

namespace wasabiwind::access {

bool HasTeams(const routes::RouteIndex &index) {
  return index.m_table.teams_size() != 0;
}

CallerIdentity IdentifyCaller(const routes::RouteIndex &index,
                              const gen::Route &route, const std::string &key,
                              bool is_confirmed) {
  CallerIdentity identity;
  if (!HasTeams(index) || route.is_public()) return identity;
  if (!is_confirmed) {
    identity.m_outcome = IdentityOutcome::kTableNotConfirmed;
    return identity;
  }
  identity.m_team = routes::FindTeam(index, key);
  if (identity.m_team == nullptr) {
    identity.m_outcome = IdentityOutcome::kUnknownKey;
  }
  return identity;
}

}  // namespace wasabiwind::access
