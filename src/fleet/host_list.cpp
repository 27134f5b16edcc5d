/** @file host_list.cpp Addresses of control hosts in settings. */

#include <sstream>

#include "fleet/host_list_func.h"

namespace wasabiwind::fleet {

std::vector<std::string> ParseHostList(const std::string &text) {
  std::vector<std::string> hosts;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    std::size_t first = item.find_first_not_of(" \t");
    if (first == std::string::npos) continue;
    std::size_t last = item.find_last_not_of(" \t");
    hosts.push_back(item.substr(first, last - first + 1));
  }
  return hosts;
}

std::string MakeMessageEndpoint(const std::string &host, int message_port) {
  return host.substr(0, host.rfind(':')) + ":" + std::to_string(message_port);
}

}  // namespace wasabiwind::fleet
