/** @file gateway_runner_pace_test.cpp Pace of started and recovered upstreams.
 */

#include <gtest/gtest.h>

#include "gateway/runner_pace_func.h"
#include "gateway/upstream_stats_func.h"

namespace wasabiwind::gateway {
namespace {

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) + base::milliseconds(ms);
}

// A limit that grows while nothing tests it says nothing about the upstream.
TEST(RunnerPaceTest, GrowsWithAnswersInTimeWhileItBinds) {
  RunnerPace pace;
  BeginPace(&pace, PaceCause::kStart, At(0));
  std::uint32_t first = GetMaxInFlight(pace, At(0));
  ASSERT_GT(first, 0u);
  for (std::uint32_t i = 0; i < first; ++i) {
    EXPECT_EQ(RecordPaceAnswer(&pace, {int(first), At(0), 1}, At(50)),
              PaceChange::kGrew);
  }
  EXPECT_EQ(GetMaxInFlight(pace, At(50)), 2 * first);
  EXPECT_EQ(RecordPaceAnswer(&pace, {1, At(0), 1}, At(60)), PaceChange::kNone);
  EXPECT_EQ(GetMaxInFlight(pace, At(60)), 2 * first);
}

// Without an end an upstream would be passed over long after its start.
TEST(RunnerPaceTest, EndsWhenItNoLongerBindsOrIsOld) {
  RunnerPace pace;
  BeginPace(&pace, PaceCause::kStart, At(0));
  PaceChange change = PaceChange::kNone;
  for (int i = 0; i < 4; ++i) {
    change = RecordPaceAnswer(&pace, {1, At(0), 1}, At(i));
  }
  EXPECT_EQ(change, PaceChange::kEnded);
  EXPECT_EQ(GetMaxInFlight(pace, At(10)), 0u);
  BeginPace(&pace, PaceCause::kStart, At(0));
  EXPECT_GT(GetMaxInFlight(pace, At(60'000)), 0u) << "it has answered nothing";
  RecordPaceAnswer(&pace, {4, At(0), 1}, At(60'000));
  EXPECT_EQ(GetMaxInFlight(pace, At(120'000)), 0u);
}

// An upstream that slows down would get more requests than it can answer.
TEST(RunnerPaceTest, HoldsWhileAnswersAreLateForThisUpstream) {
  RunnerPace pace;
  BeginPace(&pace, PaceCause::kStart, At(0));
  RecordPaceAnswer(&pace, {4, At(0), 0.5}, At(1));
  std::uint32_t limit = GetMaxInFlight(pace, At(1));
  EXPECT_EQ(RecordPaceAnswer(&pace, {4, At(0), 2.5}, At(2)), PaceChange::kHeld);
  EXPECT_EQ(GetMaxInFlight(pace, At(2)), limit);
}

// An upstream that is always slow would remain at its first limit.
TEST(RunnerPaceTest, GrowsAtAnUpstreamThatIsSlowByNature) {
  RunnerPace pace;
  BeginPace(&pace, PaceCause::kStart, At(0));
  EXPECT_EQ(RecordPaceAnswer(&pace, {4, At(0), 3}, At(1)), PaceChange::kGrew);
  EXPECT_EQ(RecordPaceAnswer(&pace, {4, At(0), 3}, At(2)), PaceChange::kGrew);
}

// One crash fails all requests in flight: that is one failure of the limit.
TEST(RunnerPaceTest, FallsOnceForRequestsThatFailTogether) {
  RunnerPace pace;
  BeginPace(&pace, PaceCause::kStart, At(0));
  for (int i = 0; i < 12; ++i) RecordPaceAnswer(&pace, {16, At(0), 1}, At(1));
  ASSERT_EQ(GetMaxInFlight(pace, At(1)), 16u);
  EXPECT_EQ(RecordPaceFailure(&pace, {16, At(5), 0}, At(9)), PaceChange::kFell);
  EXPECT_EQ(RecordPaceFailure(&pace, {15, At(5), 0}, At(9)), PaceChange::kNone);
  EXPECT_EQ(GetMaxInFlight(pace, At(9)), 8u);
  // Near the limit that failed it grows by one a round only.
  for (int i = 0; i < 8; ++i) RecordPaceAnswer(&pace, {8, At(10), 1}, At(20));
  EXPECT_EQ(GetMaxInFlight(pace, At(20)), 8u);
  for (int i = 0; i < 60; ++i) RecordPaceFailure(&pace, {9, At(30), 0}, At(29));
  EXPECT_GE(GetMaxInFlight(pace, At(30)), 1u);
}

// Answers that are lost on the way would limit sound upstreams.
TEST(RunnerPaceTest, FailuresAloneBeginNoLimit) {
  RunnerPace pace;
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(RecordPaceFailure(&pace, {8, At(i), 0}, At(i + 1)),
              PaceChange::kNone);
  }
  EXPECT_EQ(GetMaxInFlight(pace, At(20)), 0u);
}

// A limit below the requests in flight must order copies, not forbid them.
TEST(RunnerPaceTest, PenaltyBeginsAtTheLimitAndIsFinite) {
  EXPECT_EQ(GetPacePenaltyMs(0, 100), 0);
  EXPECT_EQ(GetPacePenaltyMs(4, 3), 0);
  EXPECT_GT(GetPacePenaltyMs(4, 4), 0);
  EXPECT_GT(GetPacePenaltyMs(4, 8), GetPacePenaltyMs(4, 4));
  EXPECT_LT(GetPacePenaltyMs(1, 1'000), 1e6);
}

// An upstream that accepts connections again would be left idle by what its
// failures cost, or get all requests at once.
TEST(RunnerPaceTest, ReachableUpstreamGetsOneRequest) {
  UpstreamStats stats;
  EXPECT_FALSE(TakeProbe(&stats, At(0)));
  RecordUnreachable(&stats, At(0));
  EXPECT_FALSE(TakeProbe(&stats, At(100)));
  EXPECT_TRUE(TakeProbe(&stats, At(300)));
  EXPECT_FALSE(TakeProbe(&stats, At(310)));
  EXPECT_TRUE(TakeProbe(&stats, At(5'000))) << "its pause has ended";
  EXPECT_TRUE(RecordReachable(&stats, At(5'000)));
  EXPECT_FALSE(RecordReachable(&stats, At(5'001)));
  EXPECT_EQ(stats.m_failures, 0);
  EXPECT_EQ(GetMaxInFlight(stats.m_pace, At(5'001)), 1u);
}

// An upstream that accepts connections but no requests would have one fail
// after each check.
TEST(RunnerPaceTest, ChecksThatLetRequestsFailBecomeRarer) {
  UpstreamStats stats;
  for (int i = 0; i < 3; ++i) {
    RecordUnreachable(&stats, At(10'000 * i));
    ASSERT_TRUE(RecordReachable(&stats, At(10'000 * i + 300)));
  }
  RecordUnreachable(&stats, At(30'000));
  EXPECT_FALSE(TakeProbe(&stats, At(31'500)));
  EXPECT_TRUE(TakeProbe(&stats, At(32'100)));
}

}  // namespace
}  // namespace wasabiwind::gateway
