/** @file runner_internal.h Helpers of the source files of the runner. */

#ifndef WASABIWIND_SCENARIO_RUNNER_INTERNAL_H_
#define WASABIWIND_SCENARIO_RUNNER_INTERNAL_H_

#include <string>

#include "base/error_type.h"
#include "base/time_type.h"

namespace wasabiwind::scenario {

/** Interval at which a condition that is waited for is checked. */
inline constexpr base::milliseconds kPollInterval{20};

/** @return the error of an expectation or statement that failed. */
tl::unexpected<base::Error> MakeFailure(std::string message);

/** @return the content of a file, or kIo. */
base::Result<std::string> ReadFile(const std::string &path);

/** @return the last bytes of a file, for error messages. */
std::string ReadFileEnd(const std::string &path);

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_RUNNER_INTERNAL_H_
