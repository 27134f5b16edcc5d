/** @file server.h Control host for declared routes. */

#ifndef WASABIWIND_FLEET_CONTROL_SERVER_H_
#define WASABIWIND_FLEET_CONTROL_SERVER_H_

#include <string>

#include "fleet_control/protocol_type.h"

namespace wasabiwind::fleet_control {

/**
 * Runs a control host until SIGTERM. It replicates the route table, registers
 * upstreams, publishes facts to entry hosts and orders loads on runners.
 * @param name of the program, for its logs
 * @param protocol the platform's protocol
 * @return the exit code
 * @pre called once, at the start of main
 */
int RunFleetControl(int argc, char **argv, const std::string &name,
                    const ControlProtocol &protocol);

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_SERVER_H_
