/** @file runner_internal.h What the files of the scenario runner share. */

#ifndef WASABIWIND_SCENARIO_RUNNER_INTERNAL_H_
#define WASABIWIND_SCENARIO_RUNNER_INTERNAL_H_

#include <string>

#include "base/error_type.h"
#include "base/time_type.h"

namespace wasabiwind::scenario {

/** Time between two looks at something that is waited for. */
inline constexpr base::milliseconds kPollInterval{20};

/** @return the error of a statement that doesn't hold. */
tl::unexpected<base::Error> Unmet(std::string message);

/** @return the text of a file, or kIo. */
base::Result<std::string> ReadFile(const std::string &path);

/** @return the end of a file, for error messages. */
std::string LastLines(const std::string &path);

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_RUNNER_INTERNAL_H_
