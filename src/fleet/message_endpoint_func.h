/** @file message_endpoint_func.h Message endpoints of control hosts. */

#ifndef WASABIWIND_FLEET_MESSAGE_ENDPOINT_FUNC_H_
#define WASABIWIND_FLEET_MESSAGE_ENDPOINT_FUNC_H_

#include <string>

namespace wasabiwind::fleet {

/**
 * @param operators_address "ip:port" of a control host, for operators
 * @return its message endpoint: the same IP address with the message port
 */
std::string MakeMessageEndpoint(const std::string &operators_address,
                                int message_port);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_MESSAGE_ENDPOINT_FUNC_H_
