/** @file quota_simulation_test.cpp Quotas over many hosts in virtual time. */

#include "quota_simulation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace wasabiwind::quota {
namespace {

using base::seconds;

class QuotaSimulationTest : public testing::TestWithParam<int> {
 protected:
  static SimulationOptions MakeOptions(std::uint64_t seed) {
    SimulationOptions options;
    options.m_entry_hosts = GetParam();
    options.m_seed = seed;
    return options;
  }

  /** Fewer seeds with many hosts, whose courses have more requests each. */
  static std::uint64_t GetSeedCount() { return GetParam() > 100 ? 2 : 6; }

  /** Plays one course with several seeds and adds up. */
  void Play(const char *name,
            const std::function<void(SimulationOptions *)> &change,
            const std::function<void(QuotaSimulation *)> &run) {
    m_sum = Outcomes();
    Outcomes hot;
    double most = 0;
    double hot_use = 0;
    double messages = 0;
    for (std::uint64_t seed = 1; seed <= GetSeedCount(); ++seed) {
      SimulationOptions options = MakeOptions(seed);
      change(&options);
      QuotaSimulation simulation(options);
      simulation.HeatUp();
      run(&simulation);
      EXPECT_LE(simulation.GetLargestUse(), 1) << "seed " << seed;
      most = std::max(most, simulation.GetLargestUse());
      hot_use += simulation.GetHotUse() / static_cast<double>(GetSeedCount());
      messages +=
          simulation.GetMessagesPerS() / static_cast<double>(GetSeedCount());
      m_sum.Add(simulation.GetOutcomes(false));
      hot.Add(simulation.GetOutcomes(true));
    }
    fmt::print(
        "{} hosts, {}: refused {:.3f}% of {} within the quota ({} exhausted, "
        "{} unavailable); largest window {:.2f} of the bound; {:.0f} "
        "messages/s\n",
        GetParam(), name, 100 * m_sum.GetRefusedShare(), m_sum.m_owed,
        m_sum.m_exhausted, m_sum.m_unavailable, most, messages);
    if (hot.m_owed == 0) return;
    // Hot teams reach the sum of a window by an onset that the bucket spreads
    // over that window, so their refusals aren't a loss of credit.
    fmt::print(
        "  hot teams used {:.2f} of their rate; refused {} of {} before the "
        "sum of a window\n",
        hot_use, hot.m_exhausted + hot.m_unavailable, hot.m_owed);
    EXPECT_GE(hot_use, 0.85);
  }

  Outcomes m_sum;
};

// Guards against refusals within the quota while nothing is wrong.
TEST_P(QuotaSimulationTest, CalmRefusesNextToNothing) {
  Play(
      "calm", [](SimulationOptions *) {},
      [](QuotaSimulation *simulation) { simulation->Run(seconds(60)); });
  EXPECT_LT(m_sum.GetRefusedShare(), 0.005);
}

// The same for quotas without a declared burst.
TEST_P(QuotaSimulationTest, CalmWithoutBurstRefusesLittle) {
  Play(
      "calm without burst",
      [](SimulationOptions *options) { options->m_burst_s = 0; },
      [](QuotaSimulation *simulation) { simulation->Run(seconds(60)); });
  EXPECT_LT(m_sum.GetRefusedShare(), 0.005);
}

// Guards against hot teams that exceed their quota, or that cost the others
// theirs.
TEST_P(QuotaSimulationTest, HotTeamsGetTheirRateOnly) {
  Play(
      "3 hot teams",
      [](SimulationOptions *options) { options->m_hot_teams = 3; },
      [](QuotaSimulation *simulation) { simulation->Run(seconds(60)); });
  EXPECT_LT(m_sum.GetRefusedShare(), 0.005);
}

// Guards against quotas that depend on every message.
TEST_P(QuotaSimulationTest, LostMessagesCostLittle) {
  Play(
      "3 hot teams, 3% loss",
      [](SimulationOptions *options) {
        options->m_hot_teams = 3;
        options->m_loss = 0.03;
      },
      [](QuotaSimulation *simulation) { simulation->Run(seconds(60)); });
  // A plain request waits for 200 ms. If one of up to four messages is lost,
  // that is too short for a second try: 30% of requests, 11% of those.
  EXPECT_LT(m_sum.GetRefusedShare(), 0.034);
}

// Guards against credit that is granted twice when leaders change, and against
// refusals that go on after the next one has begun.
TEST_P(QuotaSimulationTest, ChangesOfLeader) {
  Outcomes around;
  Play(
      "3 hot teams, 4 lost leaders",
      [](SimulationOptions *options) {
        options->m_hot_teams = 3;
        options->m_loss = 0.01;
      },
      [&around](QuotaSimulation *simulation) {
        for (int i = 0; i < 4; ++i) {
          simulation->Run(seconds(10));
          TimePoint lost_at = simulation->Now();
          int leader = simulation->Leader();
          if (i % 3 == 0) simulation->Freeze(leader, seconds(3));
          if (i % 3 == 1) simulation->Cut(leader, seconds(4));
          if (i % 3 == 2) simulation->Restart(leader, milliseconds(600));
          simulation->Run(seconds(10));
          around.Add(
              simulation->GetOutcomes(false, lost_at, lost_at + seconds(4)));
        }
      });
  fmt::print("4 s after the loss: {} of {} exhausted, {} unavailable\n",
             around.m_exhausted, around.m_owed, around.m_unavailable);
  // Four times in 80 s there is no leader for up to 1.7 s, and the bucket of
  // the next one is filled with about 1 s of the rate.
  EXPECT_LT(m_sum.GetRefusedShare(), 0.135);
}

// Guards against credit of a lost host that is spent, and against entry hosts
// that go on asking it.
TEST_P(QuotaSimulationTest, LostControlHosts) {
  Play(
      "3 hot teams, control hosts lost",
      [](SimulationOptions *options) { options->m_hot_teams = 3; },
      [](QuotaSimulation *simulation) {
        for (int i = 0; i < 6; ++i) {
          simulation->Run(seconds(5));
          int other = (simulation->Leader() + 1 + i % 5) % 6;
          if (i % 3 == 0) simulation->Freeze(other, seconds(3));
          if (i % 3 == 1) simulation->Restart(other, milliseconds(800));
          if (i % 3 == 2) simulation->Cut(other, seconds(3));
        }
        simulation->Run(seconds(10));
      });
  EXPECT_LT(m_sum.GetRefusedShare(), 0.02);
}

// Guards against hosts that charge anything while they lack the table, and
// against a start that takes credit twice.
TEST_P(QuotaSimulationTest, AllRestartedAtOnce) {
  Play(
      "3 hot teams, all restarted",
      [](SimulationOptions *options) { options->m_hot_teams = 3; },
      [](QuotaSimulation *simulation) {
        simulation->Run(seconds(8));
        simulation->RestartAll(milliseconds(500));
        simulation->Run(seconds(20));
      });
  // Of 28 s, 0.5 s without processes, up to 0.7 s without a table, up to 0.8 s
  // without a leader, and about 1 s until buckets are filled.
  EXPECT_LT(m_sum.GetRefusedShare(), 0.11);
}

// Proves that the checks find a leader that grants beyond its lease.
TEST_P(QuotaSimulationTest, TwoLeadersAreFound) {
  SimulationOptions options = MakeOptions(1);
  options.m_hot_teams = 3;
  options.m_keeps_lease = true;
  QuotaSimulation simulation(options);
  simulation.HeatUp();
  simulation.Run(seconds(10));
  simulation.Cut(simulation.Leader(), seconds(20));
  simulation.Run(seconds(20));
  EXPECT_GT(simulation.GetLargestUse(), 1);
}

INSTANTIATE_TEST_SUITE_P(EntryHosts, QuotaSimulationTest,
                         testing::Values(86, 300));

}  // namespace
}  // namespace wasabiwind::quota
