/** @file parse_func.h Parser of the scenario language (docs/scenarios.md). */

#ifndef WASABIWIND_SCENARIO_PARSE_FUNC_H_
#define WASABIWIND_SCENARIO_PARSE_FUNC_H_

#include <string>

#include "base/error_type.h"
#include "scenario/scenario_type.h"

namespace wasabiwind::scenario {

/**
 * Parses a scenario and checks that the names in it are declared.
 * @param file_name for error messages
 * @return kInvalidArgument with file and line. Thread-safe.
 */
base::Result<Scenario> ParseScenario(const std::string &text,
                                     const std::string &file_name);

/** Parses "250ms", "2s" or "1.5min". Thread-safe. */
base::Result<base::Duration> ParseDuration(const std::string &text);

/** @return whether the relation holds. @pre op < CompareOperator::kEnd */
bool Compare(double left, CompareOperator op, double right);

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_PARSE_FUNC_H_
