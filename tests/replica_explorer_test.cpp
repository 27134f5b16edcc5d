/** @file replica_explorer_test.cpp Explores schedules of the replicated log.
 *
 * WW_SEED=N runs one schedule; WW_SCHEDULES=N sets how many are run from the
 * seed on.
 */

#include "replica_explorer.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace wasabiwind::replica {
namespace {

// Sanitizers slow the hosts down about tenfold.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t kSchedules = 1'500;
#else
constexpr std::uint64_t kSchedules = 40'000;
#endif
/** Schedules within which a planted fault must be detected. */
constexpr std::uint64_t kMaxSchedulesToFault = 6'000;

std::uint64_t GetNumber(const char *variable, std::uint64_t otherwise) {
  const char *text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Guards against lost or changed commits, two leaders in a term, state
// machines that diverge, stale reads and hosts that never recover.
TEST(ReplicaExplorerTest, InvariantsHoldInAllSchedules) {
  std::uint64_t first = GetNumber("WW_SEED", 1);
  std::uint64_t count = GetNumber(
      "WW_SCHEDULES", std::getenv("WW_SEED") == nullptr ? kSchedules : 1);
  ScheduleResult sum;
  std::size_t recoveries = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    ScheduleOptions options;
    options.m_seed = seed;
    ScheduleResult result = Explorer(options).Run();
    ASSERT_EQ(result.m_violation, "") << "run again with WW_SEED=" << seed;
    sum.m_committed += result.m_committed;
    sum.m_reads += result.m_reads;
    sum.m_leaders += result.m_leaders;
    sum.m_crashes += result.m_crashes;
    sum.m_repaired += result.m_repaired;
    sum.m_replacements += result.m_replacements;
    sum.m_second_losses += result.m_second_losses;
    sum.m_member_changes += result.m_member_changes;
    sum.m_installs += result.m_installs;
    recoveries += result.m_is_recovery_checked ? 1 : 0;
  }
  std::printf(
      "schedules %lu, committed %zu, reads %zu, leaders %zu, crashes %zu, "
      "repaired entries %zu, replacements %zu, second losses %zu, member "
      "changes %zu, snapshots installed %zu, recoveries checked %zu\n",
      count, sum.m_committed, sum.m_reads, sum.m_leaders, sum.m_crashes,
      sum.m_repaired, sum.m_replacements, sum.m_second_losses,
      sum.m_member_changes, sum.m_installs, recoveries);
  if (count < kSchedules) return;
  // Each kind of event must have happened, else the invariants prove nothing.
  EXPECT_GT(sum.m_committed, count);
  EXPECT_GT(sum.m_reads, count / 10);
  EXPECT_GT(sum.m_leaders, count);
  EXPECT_GT(sum.m_crashes, count);
  EXPECT_GT(sum.m_repaired, count / 100);
  EXPECT_GT(sum.m_replacements, count / 100);
  EXPECT_GT(sum.m_second_losses, count / 100);
  EXPECT_GT(sum.m_member_changes, count / 100);
  EXPECT_GT(sum.m_installs, count / 100);
  EXPECT_GT(recoveries, count / 10);
}

class PlantedFaultTest : public testing::TestWithParam<PlantedFault> {};

// Guards against an explorer that can't detect the faults it looks for.
TEST_P(PlantedFaultTest, IsFound) {
  for (std::uint64_t seed = 1; seed <= kMaxSchedulesToFault; ++seed) {
    ScheduleOptions options;
    options.m_seed = seed;
    options.m_fault = GetParam();
    ScheduleResult result = Explorer(options).Run();
    if (result.m_violation.empty()) continue;
    std::printf("found after %lu schedules: %s\n", seed,
                result.m_violation.c_str());
    return;
  }
  FAIL() << "no violation in " << kMaxSchedulesToFault << " schedules";
}

INSTANTIATE_TEST_SUITE_P(All, PlantedFaultTest,
                         testing::Values(PlantedFault::kAcknowledgeBeforeSync,
                                         PlantedFault::kSmallerQuorum,
                                         PlantedFault::kForgetVote,
                                         PlantedFault::kDamagedIsAbsent,
                                         PlantedFault::kSkipReadConfirmation));

}  // namespace
}  // namespace wasabiwind::replica
