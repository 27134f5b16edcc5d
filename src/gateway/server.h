/** @file server.h Main function of entry hosts that serve declared routes. */

#ifndef WASABIWIND_GATEWAY_SERVER_H_
#define WASABIWIND_GATEWAY_SERVER_H_

#include <string>

#include "gateway/protocol_type.h"

namespace wasabiwind::gateway {

/**
 * Runs an entry host until SIGTERM and then drains it: until its requests have
 * ended, or until shortly before the end of grace_ms.
 * @param name of the program, for its logs
 * @param protocol conversions of the platform
 * @return the exit code
 * @pre called once, first thing in main
 */
int RunGateway(int argc, char **argv, const std::string &name,
               const GatewayProtocol &protocol);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_SERVER_H_
