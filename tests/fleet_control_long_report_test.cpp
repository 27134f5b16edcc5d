/** @file fleet_control_long_report_test.cpp Control hosts and reports that are
 * longer than those of runners. */

#include "fleet_control_harness.h"

namespace wasabiwind::fleet_control {
namespace {

/** Limit of a message between hosts. */
constexpr std::size_t kMaxMessageBytes = 8 << 20;
/** Limit of a report. */
constexpr std::size_t kMaxReportBytes = 256 * 1024;
/** Memory of the smallest machine of a control host. */
constexpr std::size_t kMaxResidentBytes = 256'000'000;
constexpr std::size_t kLongNameBytes = 250;
/** A service that the document of the tests declares. */
constexpr const char *kDeclared = "s1";
constexpr const char *kUnknown = "unknown";
/** Long enough for the hosts to tell each other what they acknowledged. */
constexpr seconds kExchangeTime{1};

/** @return a report of a runner that has weights on its disk.
 * @param name_bytes length of the names of the weights
 * @param bytes the size of the report, at least 200 more than a name
 */
std::string MakeReport(const std::string &service, std::size_t name_bytes,
                       std::size_t bytes) {
  std::string report =
      R"({"service":")" + service +
      R"(","addr":"10.0.0.8:80","zone":"z",)"
      R"("state":"ready","slots":4,"seq":1,"born":5,"available":)"
      R"({"inMemory":[],"onDisk":[)";
  const std::string name = "\"" + std::string(name_bytes, 'w') + "\",";
  const std::string end = R"("w"]}})";
  while (report.size() + name.size() + end.size() <= bytes) report += name;
  // Blanks between two values change nothing.
  report.append(bytes - report.size() - end.size(), ' ');
  return report + end;
}

class LongReportTest : public FleetControlTest {};

// Guards against an update that takes in more long reports than a message can
// carry: it ended the host that sent it to one that had started again.
TEST_F(LongReportTest, ManyReachAHostThatStartsAgain) {
  constexpr std::size_t kReportBytes = 40'000;
  constexpr int kReports = 250;
  static_assert(kReports * kReportBytes > kMaxMessageBytes);
  const std::string report =
      MakeReport(kDeclared, kLongNameBytes, kReportBytes);
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  for (int i = 0; i < kReports; ++i) {
    // Until host 1 has the table, no service is declared there.
    ASSERT_TRUE(CallUntil({1}, 200, "POST",
                          "/wasabiwind/Instances.Beat/i-" + std::to_string(i),
                          report));
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
  auto report = [this](int host, std::size_t bytes) {
    return Report(host, "odd", MakeReport(kUnknown, kLongNameBytes, bytes));
  };
  for (int host = 1; host <= 3; ++host) {
    EXPECT_EQ(report(host, kMaxMessageBytes + 1), 413);
    EXPECT_EQ(report(host, kMaxReportBytes + 1), 413);
    EXPECT_EQ(report(host, kMaxReportBytes), 200);
  }
  std::this_thread::sleep_for(kExchangeTime);
  ExpectAllRunning();
  EXPECT_TRUE(Put({1, 2, 3}, 3));
}

// A leave is a report as well, and a document of an operator may be longer.
TEST_F(LongReportTest, OnlyDocumentsMayBeLonger) {
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  EXPECT_EQ(Call(1, "POST", "/wasabiwind/Instances.Leave/odd",
                 MakeReport(kUnknown, kLongNameBytes, kMaxReportBytes + 1))
                .m_status,
            413);
  const std::string document = MakeDocument(3, "s1");
  const std::string padding(kMaxReportBytes, ' ');
  EXPECT_TRUE(CallUntil({1, 2, 3}, 200, "POST", "/wasabiwind/Config.Put",
                        document + padding));
}

// Guards against reports under ever new IDs that fill the memory: each was
// short enough, and all were kept for minutes.
TEST_F(LongReportTest, UnusedUpstreamsHaveABoundInMemory) {
  constexpr int kReports = 60;
  const std::string report =
      MakeReport(kUnknown, /*name_bytes=*/1, kMaxReportBytes);
  ASSERT_TRUE(Put({1, 2, 3}, 2));
  int accepted = 0;
  for (int i = 0; i < kReports; ++i) {
    int status = Report(1, "odd-" + std::to_string(i), report);
    ASSERT_TRUE(status == 200 || status == 503) << status;
    if (status == 200) ++accepted;
  }
  EXPECT_LT(accepted, kReports);
  std::this_thread::sleep_for(kExchangeTime);
  for (const auto &[host, process] : m_processes) {
    std::size_t resident = process->ReadPeakResidentBytes();
    std::printf("host %d: peak %zu MB\n", host, resident / 1'000'000);
    EXPECT_GT(resident, 0u);
    EXPECT_LT(resident, kMaxResidentBytes);
  }
  // Upstreams of declared services are recorded as before.
  EXPECT_EQ(
      Report(1, "i-1", MakeReport(kDeclared, kLongNameBytes, kMaxReportBytes)),
      200);
  EXPECT_EQ(Call(1, "POST", "/wasabiwind/Instances.Leave/i-1", "").m_status,
            200);
}

}  // namespace
}  // namespace wasabiwind::fleet_control
