/** @file text_func.h Comma-separated lists. */

#ifndef WASABIWIND_BASE_TEXT_FUNC_H_
#define WASABIWIND_BASE_TEXT_FUNC_H_

#include <string>
#include <vector>

namespace wasabiwind::base {

/**
 * @return the items of a comma-separated list without surrounding spaces and
 *         tabs; empty items are omitted. Thread-safe.
 */
std::vector<std::string> SplitList(const std::string &text);

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_TEXT_FUNC_H_
