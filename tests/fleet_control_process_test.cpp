/** @file fleet_control_process_test.cpp The group of control hosts, and the
 * requests of operators and upstreams. */

#include "fleet_control_harness.h"

namespace wasabiwind::fleet_control {
namespace {

TEST_F(FleetControlTest, SeedHostsFormAGroupAndKeepTheHighestVersion) {
  // Before the first table no host returns one.
  EXPECT_TRUE(CallUntil({1}, 503, "GET", "/wasabiwind/Config.Get", ""));
  ASSERT_TRUE(Put({1, 2, 3}, 5));
  for (int host = 1; host <= 3; ++host) {
    EXPECT_EQ(Get({host}), MakeDocument(5, "s1"));
  }
  // A resend, an older version and other content under the same version are
  // acknowledged and change nothing.
  EXPECT_TRUE(Put({2}, 5));
  EXPECT_TRUE(Put({3}, 4));
  EXPECT_EQ(Get({1}), MakeDocument(5, "s1"));
  // An invalid table is refused under any version and isn't put in force.
  for (int version : {4, 9}) {
    EXPECT_TRUE(CallUntil({1, 2, 3}, 400, "POST", "/wasabiwind/Config.Put",
                          MakeDocument(version, "nobody")));
  }
  EXPECT_EQ(Get({2}), MakeDocument(5, "s1"));
}

TEST_F(FleetControlTest, AcknowledgedTableSurvivesCrashOfAllHosts) {
  ASSERT_TRUE(Put({1, 2, 3}, 7));
  for (int host = 1; host <= 3; ++host) Kill(host);
  for (int host = 1; host <= 3; ++host) Start(host, /*is_first=*/false);
  EXPECT_EQ(Get({1, 2, 3}), MakeDocument(7, "s1"));
}

// A host that lost its disk must become a voter again without an operator, so
// that the group tolerates the next loss.
TEST_F(FleetControlTest, HostWithEmptyDataFolderRejoinsAsVoter) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  Kill(3);
  fs::remove_all(DataFolder(3));
  Start(3, /*is_first=*/false);
  std::this_thread::sleep_for(seconds(4));
  Kill(1);
  EXPECT_TRUE(Put({2, 3}, 3));
  EXPECT_EQ(Get({2, 3}), MakeDocument(3, "s1"));
}

// A host that failed for good is replaced by an empty one at another address.
TEST_F(FleetControlTest, NewHostReplacesAFailedOne) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  Kill(2);
  Start(4, /*is_first=*/false);
  std::this_thread::sleep_for(seconds(4));
  Kill(1);
  EXPECT_TRUE(Put({3, 4}, 3));
  EXPECT_EQ(Get({3, 4}), MakeDocument(3, "s1"));
}

TEST_F(FleetControlTest, MinorityNeitherAcknowledgesPutsNorAnswersReads) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  Kill(1);
  Kill(2);
  std::this_thread::sleep_for(seconds(2));
  EXPECT_NE(Call(3, "GET", "/wasabiwind/Config.Get", "").m_status, 200);
  EXPECT_NE(
      Call(3, "POST", "/wasabiwind/Config.Put", MakeDocument(3, "s1")).m_status,
      200);
}

TEST_F(FleetControlTest, ReportsAreAcknowledgedAndSighupReloadsSettings) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  m_processes[1]->Signal(SIGHUP);
  const std::string report =
      R"({"service":"s1","addr":"10.0.0.9:80","zone":"z","state":"ready",)"
      R"("slots":4,"seq":1,"born":5})";
  EXPECT_EQ(Call(1, "POST", "/wasabiwind/Instances.Beat/i-1", report).m_status,
            200);
  EXPECT_EQ(Call(1, "POST", "/wasabiwind/Instances.Leave/i-1", "").m_status,
            200);
  EXPECT_EQ(Call(1, "POST", "/wasabiwind/Instances.Beat/i-1", "{").m_status,
            400);
  EXPECT_TRUE(m_processes[1]->IsRunning());
}

}  // namespace
}  // namespace wasabiwind::fleet_control
