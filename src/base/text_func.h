/** @file text_func.h Lists in text. */

#ifndef WASABIWIND_BASE_TEXT_FUNC_H_
#define WASABIWIND_BASE_TEXT_FUNC_H_

#include <string>
#include <vector>

namespace wasabiwind::base {

/**
 * @return the items of a list separated by commas, without the spaces around
 *         them; empty items are left out. Thread-safe.
 */
std::vector<std::string> SplitList(const std::string &text);

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_TEXT_FUNC_H_
