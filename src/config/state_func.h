/** @file state_func.h Queries and snapshots of the configuration state. */

#ifndef WASABIWIND_CONFIG_STATE_FUNC_H_
#define WASABIWIND_CONFIG_STATE_FUNC_H_

#include <string>
#include <vector>

#include "config/state_type.h"

namespace wasabiwind::config {

/** @return the current declarations in canonical form. */
gen::Declarations ToDeclarations(const ConfigState &state);

/**
 * @return the declarations as of a revision, or kNotFound if the revision
 *         doesn't exist yet or the history no longer reaches back to it
 */
base::Result<gen::Declarations> GetDeclarationsAt(const ConfigState &state,
                                                  base::Revision revision);

/** @return the oldest revision that GetDeclarationsAt can give. */
base::Revision GetOldestRevision(const ConfigState &state);

/**
 * @return deltas after a revision, oldest first, or kNotFound if the history
 *         no longer reaches back, so that a snapshot is needed
 */
base::Result<std::vector<gen::ConfigDelta>> GetDeltasAfter(
    const ConfigState &state, base::Revision revision);

/** @return the effect of a history entry on each entity. */
std::vector<EntityEffect> GetEffects(const gen::HistoryEntry &entry);

/**
 * Applies a delta to a node's copy of the declarations. The time is linear in
 * the declarations.
 * @param[in,out] declarations in canonical form
 */
void ApplyDelta(const gen::ConfigDelta &delta, gen::Declarations *declarations);

/** @return bytes from which RestoreSnapshot makes an equal state. */
std::string SerializeSnapshot(const ConfigState &state);

/** @return the state, or kCorrupt if the bytes can't be parsed, the hash
 * doesn't match or the history has a gap. */
base::Result<ConfigState> RestoreSnapshot(const std::string &bytes);

}  // namespace wasabiwind::config

#endif  // WASABIWIND_CONFIG_STATE_FUNC_H_
