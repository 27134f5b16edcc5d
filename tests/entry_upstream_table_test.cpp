/** @file entry_upstream_table_test.cpp Upstreams that change the host they
 * announce to. */

#include <gtest/gtest.h>

#include "entry/dispatch.h"
#include "entry/upstream_table.h"

namespace wasabiwind::entry {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

Announcement MakeAnnouncement() {
  Announcement announcement;
  announcement.m_record.set_upstream("desk1");
  announcement.m_record.set_incarnation(7);
  announcement.m_record.set_kind("service");
  announcement.m_record.set_service("orders");
  announcement.m_record.set_address("127.0.0.1:9000");
  return announcement;
}

/** An entry host's table and what it reports. */
struct Host {
  explicit Host(const std::string &name)
      : m_dispatcher(2, [](const ActivationNeed &) {}),
        m_table(MakeOptions(name), &m_dispatcher,
                [this](const gen::UpstreamRecord &record) {
                  m_reports.push_back(record);
                }) {}

  static UpstreamTableOptions MakeOptions(const std::string &name) {
    UpstreamTableOptions options;
    options.m_node = name;
    return options;
  }

  Dispatcher m_dispatcher;
  std::vector<gen::UpstreamRecord> m_reports;
  UpstreamTable m_table;
};

// Guards against the loss of an upstream that announces itself to one host and
// then to another, as happens while hosts start. When both reported it with the
// same sequence number, the first host never learned of the move: it refused
// requests after 3 s and reported the upstream as gone after 10 s
// (whole-path.scenario, seed 701696217).
TEST(UpstreamTableTest, UpstreamThatMovesItsAnnouncementsIsNotLost) {
  Host first("first");
  Host second("second");
  first.m_table.Announce(MakeAnnouncement(), At(0));
  second.m_table.Announce(MakeAnnouncement(), At(1'000));
  // Control keeps the first of two records with the same sequence number.
  second.m_table.ApplyRemote(first.m_reports.at(0));
  second.m_table.Announce(MakeAnnouncement(), At(2'000));
  ASSERT_EQ(second.m_reports.size(), 2u);
  EXPECT_GT(second.m_reports[1].sequence(), first.m_reports[0].sequence());
  first.m_table.ApplyRemote(second.m_reports[1]);
  for (int ms = 2'100; ms < 15'000; ms += 100) first.m_table.Tick(At(ms));
  EXPECT_EQ(first.m_table.Count(), 1u);
  EXPECT_EQ(first.m_reports.size(), 1u);
}

TEST(UpstreamTableTest, LateReportOfAMoveClearsTheSuspicion) {
  Host first("first");
  Host second("second");
  first.m_table.Announce(MakeAnnouncement(), At(0));
  second.m_table.Announce(MakeAnnouncement(), At(1'000));
  first.m_table.Tick(At(3'500));
  first.m_table.ApplyRemote(second.m_reports.at(0));
  first.m_table.Tick(At(11'000));
  EXPECT_EQ(first.m_table.Count(), 1u);
  EXPECT_EQ(first.m_reports.size(), 1u);
}

// Two hosts that both get announcements must not keep overwriting each other's
// reports.
TEST(UpstreamTableTest, HostsThatShareAnUpstreamStopReporting) {
  Host first("first");
  Host second("second");
  for (int ms = 0; ms < 20'000; ms += 1'000) {
    first.m_table.Announce(MakeAnnouncement(), At(ms));
    second.m_table.Announce(MakeAnnouncement(), At(ms + 500));
    first.m_table.ApplyRemote(second.m_reports.back());
    second.m_table.ApplyRemote(first.m_reports.back());
  }
  EXPECT_LE(first.m_reports.size() + second.m_reports.size(), 4u);
}

// A silent upstream that announces itself to no other host is still reported as
// gone.
TEST(UpstreamTableTest, SilentUpstreamIsReportedAsGone) {
  Host host("first");
  host.m_table.Announce(MakeAnnouncement(), At(0));
  host.m_table.Tick(At(3'500));
  host.m_table.Tick(At(11'000));
  EXPECT_EQ(host.m_table.Count(), 0u);
  ASSERT_EQ(host.m_reports.size(), 2u);
  EXPECT_EQ(host.m_reports[1].state(), gen::UPSTREAM_GONE);
}

}  // namespace
}  // namespace wasabiwind::entry
