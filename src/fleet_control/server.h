/** @file server.h The control program for declared routes. */

#ifndef WASABIWIND_FLEET_CONTROL_SERVER_H_
#define WASABIWIND_FLEET_CONTROL_SERVER_H_

#include <string>

#include "fleet_control/protocol_type.h"

namespace wasabiwind::fleet_control {

/**
 * Runs a control host until SIGTERM: replicated route table, registry of
 * upstreams, news for entry hosts, loads on runners.
 * @param name of the program, for its logs
 * @param protocol translations of the platform
 * @return the exit code
 * @pre called once, first thing in main
 */
int RunFleetControl(int argc, char **argv, const std::string &name,
                    const ControlProtocol &protocol);

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_SERVER_H_
