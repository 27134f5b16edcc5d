/** @file batch_cmd.h Commands that change the configuration. */

#ifndef WASABIWIND_CONFIG_BATCH_CMD_H_
#define WASABIWIND_CONFIG_BATCH_CMD_H_

#include "config/state_type.h"

namespace wasabiwind::config {

/**
 * Returns what ExecuteBatch would return for the same state and command, and
 * changes nothing. Thread-safe on a const state.
 */
BatchResult TestBatch(const ConfigState &state,
                      const gen::ConfigCommand &command);

/**
 * Applies a batch as a whole or not at all, and keeps the outcome under its
 * operation ID. Deterministic: all hosts that execute the same commands hold
 * the same state. The leader therefore appends every batch that an operator
 * applies to the log, also one that TestBatch refuses; otherwise the first
 * outcome of a refused operation would be lost with the leader.
 *
 * Errors: kConflict if the base revision is no longer current, or if the
 * operation ID was used for another batch; kNotFound for a delete of an unknown
 * entity; kOverloaded for an exceeded limit; kInvalidArgument for all else.
 * Every error has a remedy. The outcome of a batch without a valid operation ID
 * isn't kept.
 */
BatchResult ExecuteBatch(ConfigState *state, const gen::ConfigCommand &command);

}  // namespace wasabiwind::config

#endif  // WASABIWIND_CONFIG_BATCH_CMD_H_
