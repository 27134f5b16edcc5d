/** @file server.h The program of entry hosts that serve declared routes. */

#ifndef WASABIWIND_GATEWAY_SERVER_H_
#define WASABIWIND_GATEWAY_SERVER_H_

#include <string>

#include "gateway/protocol_type.h"

namespace wasabiwind::gateway {

/**
 * Runs an entry host until SIGTERM, and then until its requests have ended or
 * the grace of its settings is nearly over.
 * @param name of the program, for its logs
 * @param protocol translations of the platform
 * @return the exit code
 * @pre called once, first thing in main
 */
int RunGateway(int argc, char **argv, const std::string &name,
               const GatewayProtocol &protocol);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_SERVER_H_
