/** @file ledger_cmd.h Commands that change the ledger of grants. */

#ifndef WASABIWIND_PLACEMENT_LEDGER_CMD_H_
#define WASABIWIND_PLACEMENT_LEDGER_CMD_H_

#include "placement/ledger_type.h"

namespace wasabiwind::placement {

/**
 * Returns what ExecuteCommand would return, without changing the ledger.
 * @return kConflict for a command of an older term or fence, or in a state of
 *         the grant that doesn't allow it; kNotFound for an unknown grant;
 *         kOverloaded where replicas or memory would exceed their bound
 */
base::Result<void> ValidateCommand(const Ledger &ledger,
                                   const gen::PlacementCommand &command);

/** Applies a command that ValidateCommand accepts. Deterministic. */
base::Result<void> ExecuteCommand(Ledger *ledger,
                                  const gen::PlacementCommand &command);

/** @return a snapshot, from which RestoreLedger makes an equal ledger. */
std::string SerializeLedger(const Ledger &ledger);

/** @return the ledger, or kCorrupt. */
base::Result<Ledger> RestoreLedger(const std::string &bytes);

/** @return reserved bytes of a runner. */
std::int64_t GetReservedBytes(const Ledger &ledger, const std::string &runner);

/** @return number of grants of a scope, in any state. */
int CountReplicas(const Ledger &ledger, const std::string &scope);

/** @return IDs of the grants of a scope. */
const Ledger::GrantIds &GetScopeGrants(const Ledger &ledger,
                                       const std::string &scope);

/** @return IDs of the grants on a runner. */
const Ledger::GrantIds &GetRunnerGrants(const Ledger &ledger,
                                        const std::string &runner);

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_PLACEMENT_LEDGER_CMD_H_
