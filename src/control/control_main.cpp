/** @file control_main.cpp Entry point of ww_control. */

#include "control/control_state.h"
#include "control/server.h"
#include "control/services.h"

int main(int argc, char **argv) {
  wasabiwind::control::ControlState state;
  wasabiwind::control::ControlServices services(&state);
  return wasabiwind::control::RunControl(argc, argv, &state, &services);
}
