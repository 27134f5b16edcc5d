/** @file text.cpp Comma-separated lists. */

#include <sstream>

#include "base/text_func.h"

namespace wasabiwind::base {

std::vector<std::string> SplitList(const std::string &text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    std::size_t first = item.find_first_not_of(" \t");
    if (first == std::string::npos) continue;
    std::size_t last = item.find_last_not_of(" \t");
    items.push_back(item.substr(first, last - first + 1));
  }
  return items;
}

}  // namespace wasabiwind::base
