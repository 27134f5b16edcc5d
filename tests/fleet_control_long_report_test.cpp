/** @file fleet_control_long_report_test.cpp Control hosts and reports that are
 * longer than those of runners. */

#include "fleet_control_harness.h"

namespace wasabiwind::fleet_control {
namespace {

/** Limit of a message between hosts. */
constexpr std::size_t kMaxMessageBytes = 8 << 20;
/** Limit of a report. */
constexpr std::size_t kMaxReportBytes = 256 * 1024;
/** Long enough for the hosts to tell each other what they acknowledged. */
constexpr seconds kExchangeTime{1};

/** @return a report of a runner that has weights on its disk.
 * @param bytes the size of the report, at least 300
 */
std::string MakeLongReport(std::size_t bytes) {
  constexpr std::size_t kNameBytes = 250;
  std::string report =
      R"({"service":"unknown","addr":"10.0.0.8:80","zone":"z",)"
      R"("state":"ready","slots":4,"seq":1,"born":5,"available":)"
      R"({"inMemory":[],"onDisk":[)";
  const std::string name = "\"" + std::string(kNameBytes, 'w') + "\",";
  const std::string end = R"("w"]}})";
  while (report.size() + name.size() + end.size() <= bytes) report += name;
  // Blanks between two values change nothing.
  report.append(bytes - report.size() - end.size(), ' ');
  return report + end;
}

class LongReportTest : public FleetControlTest {
 protected:
  /** @return the status of the answer to a report. */
  int Report(int host, const std::string &upstream, std::size_t bytes) {
    return Call(host, "POST", "/wasabiwind/Instances.Beat/" + upstream,
                MakeLongReport(bytes))
        .m_status;
  }

  void ExpectAllRunning() {
    for (const auto &[host, process] : m_processes) {
      EXPECT_TRUE(process->IsRunning()) << "host " << host;
    }
  }
};

// Guards against an update that takes in more long reports than a message can
// carry: it ended the host that sent it to one that had started again.
TEST_F(LongReportTest, ManyReachAHostThatStartsAgain) {
  constexpr std::size_t kReportBytes = 40'000;
  constexpr int kReports = 250;
  static_assert(kReports * kReportBytes > kMaxMessageBytes);
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  for (int i = 0; i < kReports; ++i) {
    ASSERT_EQ(Report(1, "i-" + std::to_string(i), kReportBytes), 200);
  }
  Kill(2);
  Start(2, /*is_first=*/false);
  std::this_thread::sleep_for(kExchangeTime);
  ExpectAllRunning();
  EXPECT_TRUE(Put({1, 2, 3}, 3));
}

// Guards against a report that is too long for a message to the other hosts: it
// ended the control host that had acknowledged it.
TEST_F(LongReportTest, ReportAboveTheLimitIsRefused) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  for (int host = 1; host <= 3; ++host) {
    EXPECT_EQ(Report(host, "odd", kMaxMessageBytes + 1), 413);
    EXPECT_EQ(Report(host, "odd", kMaxReportBytes + 1), 413);
    EXPECT_EQ(Report(host, "long", kMaxReportBytes), 200);
  }
  std::this_thread::sleep_for(kExchangeTime);
  ExpectAllRunning();
  EXPECT_TRUE(Put({1, 2, 3}, 3));
}

// A leave is a report as well, and a document of an operator may be longer.
TEST_F(LongReportTest, OnlyDocumentsMayBeLonger) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  EXPECT_EQ(Call(1, "POST", "/wasabiwind/Instances.Leave/odd",
                 MakeLongReport(kMaxReportBytes + 1))
                .m_status,
            413);
  const std::string document = MakeDocument(3, "s1");
  const std::string padding(kMaxReportBytes, ' ');
  EXPECT_TRUE(CallUntil({1, 2, 3}, 200, "POST", "/wasabiwind/Config.Put",
                        document + padding));
}

}  // namespace
}  // namespace wasabiwind::fleet_control
