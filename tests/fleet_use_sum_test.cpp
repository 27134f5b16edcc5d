/** @file fleet_use_sum_test.cpp Sums of the use reports of entry hosts. */

#include <gtest/gtest.h>

#include "fleet/residency_func.h"
#include "fleet/use_sum_func.h"

namespace wasabiwind::fleet {
namespace {

using std::chrono::milliseconds;

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

gen::UseReport MakeReport(const std::string &entry, std::uint32_t arrivals,
                          std::uint32_t waiting, std::uint32_t rank = 1) {
  gen::UseReport report;
  report.set_entry(entry);
  gen::TargetUse *use = report.add_uses();
  use->set_service("s");
  use->set_model("m");
  use->set_arrivals(arrivals);
  use->set_waiting(waiting);
  use->set_rank(rank);
  return report;
}

TEST(UseSumTest, AddsArrivalsAndWaitingOfAllHosts) {
  UseSum sum;
  AddUseReport(&sum, MakeReport("e1", 3, 2, 4), 10, At(0));
  AddUseReport(&sum, MakeReport("e2", 5, 1, 2), 10, At(10));
  EXPECT_TRUE(sum.m_has_new_waiting);
  std::optional<gen::UseReport> report = TakeUseSum(&sum, At(20));
  ASSERT_TRUE(report);
  EXPECT_TRUE(report->is_sum());
  ASSERT_EQ(report->uses_size(), 1);
  EXPECT_EQ(report->uses(0).arrivals(), 8u);
  EXPECT_EQ(report->uses(0).waiting(), 3u);
  EXPECT_EQ(report->uses(0).rank(), 2u);
}

// Arrivals that are counted twice would call for loads that nobody needs.
TEST(UseSumTest, ReportsArrivalsOnceAndWaitingUntilItEnds) {
  UseSum sum;
  AddUseReport(&sum, MakeReport("e1", 3, 2), 10, At(0));
  ASSERT_TRUE(TakeUseSum(&sum, At(20)));
  std::optional<gen::UseReport> second = TakeUseSum(&sum, At(200));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->uses(0).arrivals(), 0u);
  EXPECT_EQ(second->uses(0).waiting(), 2u);
  AddUseReport(&sum, MakeReport("e1", 0, 0), 10, At(300));
  std::optional<gen::UseReport> third = TakeUseSum(&sum, At(400));
  ASSERT_TRUE(third);
  EXPECT_EQ(third->uses(0).waiting(), 0u);
  EXPECT_FALSE(TakeUseSum(&sum, At(600)));
}

// An entry host that was lost while its requests waited must not hold a claim
// on loads for ever.
TEST(UseSumTest, ForgetsWaitingOfHostsThatStoppedReporting) {
  UseSum sum;
  AddUseReport(&sum, MakeReport("e1", 1, 2), 10, At(0));
  ASSERT_TRUE(TakeUseSum(&sum, At(20)));
  std::optional<gen::UseReport> late = TakeUseSum(&sum, At(2'000));
  ASSERT_TRUE(late);
  EXPECT_EQ(late->uses(0).waiting(), 0u);
  EXPECT_TRUE(sum.m_targets.empty());
}

// A host that is cut off can't reach any runner; its report would have all
// models loaded again elsewhere.
TEST(UseSumTest, IgnoresUnreachableRunnersOfAHostThatIsCutOff) {
  UseSum sum;
  gen::UseReport cut_off;
  cut_off.set_entry("e1");
  for (int i = 0; i < 8; ++i) cut_off.add_unreachable("i-" + std::to_string(i));
  AddUseReport(&sum, cut_off, 10, At(0));
  EXPECT_FALSE(TakeUseSum(&sum, At(10)));
  gen::UseReport sound;
  sound.set_entry("e2");
  sound.add_unreachable("i-1");
  AddUseReport(&sum, sound, 10, At(20));
  std::optional<gen::UseReport> report = TakeUseSum(&sum, At(30));
  ASSERT_TRUE(report);
  EXPECT_EQ(report->unreachable_size(), 1);
}

// The losses of one prompt are reported for seconds, by one host; evidence of
// several hosts must all arrive.
TEST(UseSumTest, KeepsEvidenceOnPrompts) {
  UseSum sum;
  for (int host = 0; host < 3; ++host) {
    gen::UseReport report;
    report.set_entry("e" + std::to_string(host));
    gen::LostRequest *lost = report.add_lost_requests();
    lost->set_upstream("i-" + std::to_string(host));
    lost->add_parts(7);
    report.add_sound_parts(static_cast<std::uint64_t>(10 + host));
    report.add_sound_requests(static_cast<std::uint64_t>(20 + host));
    AddUseReport(&sum, report, 10, At(host));
    AddUseReport(&sum, report, 10, At(host + 1));
  }
  std::optional<gen::UseReport> report = TakeUseSum(&sum, At(20));
  ASSERT_TRUE(report);
  EXPECT_EQ(report->lost_requests_size(), 3);
  EXPECT_EQ(report->lost_requests(0).parts_size(), 1);
  EXPECT_EQ(report->sound_parts_size(), 3);
  EXPECT_EQ(report->sound_requests_size(), 3);
}

// The planner must see the same demand from sums as from single reports.
TEST(UseSumTest, PlannerGetsTheSameRateFromSums) {
  ResidencyPlanner single;
  ResidencyPlanner summed;
  UseSum sum;
  for (int ms = 0; ms < 5'000; ms += 100) {
    for (int host = 0; host < 4; ++host) {
      gen::UseReport report = MakeReport("e" + std::to_string(host), 1, 0);
      RecordUse(&single, report, At(ms));
      AddUseReport(&sum, report, 10, At(ms));
    }
    std::optional<gen::UseReport> report = TakeUseSum(&sum, At(ms));
    ASSERT_TRUE(report);
    RecordUse(&summed, *report, At(ms));
  }
  TargetKey key{"s", "m", ""};
  EXPECT_NEAR(GetRate(summed, key, At(5'000)), GetRate(single, key, At(5'000)),
              0.1);
}

}  // namespace
}  // namespace wasabiwind::fleet
