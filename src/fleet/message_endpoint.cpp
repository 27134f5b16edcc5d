/** @file message_endpoint.cpp Message endpoints of control hosts. */

#include "fleet/message_endpoint_func.h"

namespace wasabiwind::fleet {

std::string MakeMessageEndpoint(const std::string &host, int message_port) {
  return host.substr(0, host.rfind(':')) + ":" + std::to_string(message_port);
}

}  // namespace wasabiwind::fleet
