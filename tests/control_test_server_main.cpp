/** @file control_test_server_main.cpp ww_control with a ListMachine. */

#include "control/server.h"
#include "control_list_machine.h"

int main(int argc, char **argv) {
  wasabiwind::control::ListMachine machine;
  return wasabiwind::control::RunControl(argc, argv, &machine);
}
