/** @file message_endpoint.cpp Message endpoints of control hosts. */

#include "fleet/message_endpoint_func.h"

namespace wasabiwind::fleet {

std::string MakeMessageEndpoint(const std::string &operators_address,
                                int message_port) {
  return operators_address.substr(0, operators_address.rfind(':')) + ":" +
         std::to_string(message_port);
}

}  // namespace wasabiwind::fleet
