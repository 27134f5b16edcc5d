/** @file fleet_control_route_state_machine_test.cpp Replicated table and
 * quarantine.
 */

#include <gtest/gtest.h>

#include "fleet/quarantine_func.h"
#include "fleet_control/route_state_machine.h"

namespace wasabiwind::fleet_control {
namespace {

std::string MakePut(std::uint64_t version) {
  gen::RouteCommand command;
  command.mutable_stored()->mutable_table()->set_version(version);
  return command.SerializeAsString();
}

std::string MakeQuarantineChange(std::uint64_t part) {
  gen::RouteCommand command;
  command.mutable_quarantine_change()->set_key(part);
  return command.SerializeAsString();
}

// A quarantine that a new table or a restart ends costs further runners.
TEST(RouteStateMachineTest, QuarantineSurvivesTablesAndSnapshots) {
  int tables = 0;
  int quarantines = 0;
  RouteStateMachine::Hooks hooks;
  hooks.m_on_table = [&tables] { ++tables; };
  hooks.m_on_quarantine = [&quarantines] { ++quarantines; };
  RouteStateMachine machine(hooks);
  (void)machine.Apply(MakePut(1));
  (void)machine.Apply(MakeQuarantineChange(7));
  (void)machine.Apply(MakePut(2));
  EXPECT_EQ(machine.GetVersion(), 2u);
  EXPECT_TRUE(fleet::IsQuarantined(machine.GetStored().quarantine(),
                                   fleet::MakePartSuspect(7)));
  EXPECT_EQ(tables, 2);
  EXPECT_EQ(quarantines, 1);

  RouteStateMachine restored(hooks);
  ASSERT_TRUE(restored.Restore(machine.PrepareSnapshot()()));
  EXPECT_EQ(restored.GetVersion(), 2u);
  EXPECT_TRUE(fleet::IsQuarantined(restored.GetStored().quarantine(),
                                   fleet::MakePartSuspect(7)));
  EXPECT_EQ(tables, 3);
  EXPECT_EQ(quarantines, 2);
}

}  // namespace
}  // namespace wasabiwind::fleet_control
