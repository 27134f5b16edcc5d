/** @file server.h The control program, for a given state machine. */

#ifndef WASABIWIND_CONTROL_SERVER_H_
#define WASABIWIND_CONTROL_SERVER_H_

#include "control/state_machine.h"

namespace wasabiwind::control {

class ControlServices;

/**
 * Runs ww_control until SIGTERM: command line, settings, files, messages,
 * operators' HTTP and admin endpoints. With --format it formats the empty data
 * folder of a host of the initial group and returns.
 * @param services answer nodes and place replicas; nullptr for none
 * @return the exit code
 * @pre called once, first thing in main
 */
int RunControl(int argc, char **argv, ControlStateMachine *machine,
               ControlServices *services = nullptr);

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_SERVER_H_
