/** @file placement_planner_test.cpp Choice of runners, schedule, idle times. */

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>

#include "placement/planner_internal.h"
#include "placement_test_helpers.h"
#include "processor_time.h"

namespace wasabiwind::placement {
namespace {

using base::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** Guards against a transfer from the store when some runner has a cached copy,
 * and against a farther region when a nearer one has a copy in the same tier.
 */
TEST(RunnerChoiceTest, PrefersCachedCopyThenNearRegion) {
  gen::Declarations all;
  AddDeployment(&all, "d", 8 * kGib, 3);
  auto make_cached = [](const std::string &name, const std::string &region,
                        const std::string &tier) {
    gen::UpstreamRecord runner = MakeRunner(name, region, name, 20 * kGib);
    runner.add_cached()->set_target("md@1");
    runner.mutable_cached(0)->set_tier(tier);
    return runner;
  };
  auto choose = [&all](const std::vector<gen::UpstreamRecord> &runners) {
    Leader leader(all);
    for (const gen::UpstreamRecord &runner : runners) leader.Add(runner);
    leader.Add(MakeRunner("near-empty", "near", "n2", 80 * kGib));
    leader.RequestActivation(MakeActivation("d", 60'000));
    EXPECT_EQ(leader.m_orders.size(), 1U);
    return leader.m_orders.empty() ? "" : leader.m_orders[0].m_runner;
  };
  EXPECT_EQ(choose({make_cached("far-disk", "far", "disk")}), "far-disk");
  EXPECT_EQ(choose({make_cached("far-disk", "far", "disk"),
                    make_cached("near-disk", "near", "disk")}),
            "near-disk");
  EXPECT_EQ(choose({make_cached("far-memory", "far", "memory"),
                    make_cached("near-memory", "near", "memory")}),
            "near-memory");
  EXPECT_EQ(choose({make_cached("near-disk", "near", "disk"),
                    make_cached("far-memory", "far", "memory")}),
            "far-memory");
}

/** Guards against a refusal when a cached copy in another region would be
 * loaded in time. */
TEST(RunnerChoiceTest, TakesCachedCopyElsewhereForShortDeadline) {
  gen::Declarations all;
  AddDeployment(&all, "d", 8 * kGib, 3);
  Leader leader(all);
  gen::UpstreamRecord far = MakeRunner("far-1", "far", "f1", 80 * kGib);
  far.add_cached()->set_target("md@1");
  far.mutable_cached(0)->set_tier("memory");
  leader.Add(far);
  leader.Add(MakeRunner("near-empty", "near", "n2", 80 * kGib));
  leader.RequestActivation(MakeActivation("d", 3'000));
  ASSERT_EQ(leader.m_orders.size(), 1U);
  EXPECT_EQ(leader.m_orders[0].m_runner, "far-1");
  EXPECT_FALSE(leader.m_answers.at(0).m_reply.is_refused());
}

TEST(RunnerChoiceTest, KeepsMaxPerDomain) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 4)->set_min_replicas(4);
  Leader leader(all);
  for (int i = 0; i < 6; ++i) {
    leader.Add(MakeRunner("runner-" + std::to_string(i), "near",
                          "domain-" + std::to_string(i / 2), 80 * kGib));
  }
  leader.Advance(seconds(20));
  EXPECT_EQ(leader.Count("d", gen::GRANT_LOADED), 3);
}

/** Guards against more transfers than the store serves at full speed. */
TEST(ScheduleTest, KeepsRateAndConcurrencyOfStore) {
  gen::Declarations all;
  PlannerSettings settings;
  for (int i = 0; i < 20; ++i) {
    AddDeployment(&all, "d" + std::to_string(i), kGib, 1);
  }
  Leader leader(all, settings);
  leader.m_load_time = seconds(3);
  for (int i = 0; i < 20; ++i) {
    leader.Add(
        MakeRunner("runner-" + std::to_string(i), "near", "n", 80 * kGib));
  }
  for (int i = 0; i < 20; ++i) {
    leader.RequestActivation(MakeActivation("d" + std::to_string(i), 120'000));
  }
  int most = 0;
  for (int step = 0; step < 600; ++step) {
    leader.Advance(milliseconds(50));
    int loading = 0;
    for (const auto &[id, grant] : leader.m_ledger.m_grants) {
      if (grant.state() == gen::GRANT_LOADING) ++loading;
    }
    most = std::max(most, loading);
  }
  EXPECT_EQ(most, settings.m_store_concurrency);
  ASSERT_EQ(leader.m_orders.size(), 20U);
  for (std::size_t i = 1; i < leader.m_order_times.size(); ++i) {
    EXPECT_GE(leader.m_order_times[i] - leader.m_order_times[i - 1],
              milliseconds(300));
  }
}

/** Guards against a load that starts before a more urgent one. */
TEST(ScheduleTest, EarliestDeadlineFirst) {
  gen::Declarations all;
  for (const char *name : {"a", "b", "c", "d"}) {
    AddDeployment(&all, name, kGib, 1);
  }
  PlannerSettings settings;
  settings.m_store_concurrency = 1;
  Leader leader(all, settings);
  leader.Add(MakeRunner("runner-1", "near", "n", 80 * kGib));
  leader.RequestActivation(MakeActivation("a", 100'000));  // starts at once
  leader.RequestActivation(MakeActivation("b", 90'000));
  leader.RequestActivation(MakeActivation("c", 60'000));
  leader.RequestActivation(MakeActivation("d", 30'000));
  leader.Advance(seconds(30));
  std::string order;
  for (const Order &load : leader.m_orders) order += load.m_target[1];
  EXPECT_EQ(order, "adcb");
}

/** Guards against letting a request wait for a load that ends too late, and
 * against never loading a target whose requests are refused. */
TEST(ScheduleTest, RefusesEarlyAndLoadsInBackground) {
  gen::Declarations all;
  AddDeployment(&all, "d", 50 * kGib, 1);
  Leader leader(all);
  leader.m_load_time = seconds(20);
  leader.Add(MakeRunner("runner-1", "near", "n", 80 * kGib));
  leader.RequestActivation(MakeActivation("d", 5'000));
  ASSERT_EQ(leader.m_answers.size(), 1U);
  EXPECT_TRUE(leader.m_answers[0].m_reply.is_refused());
  EXPECT_EQ(leader.m_answers[0].m_reply.reason(), "cold_start_too_late");
  leader.Advance(seconds(30));
  EXPECT_EQ(leader.Count("d", gen::GRANT_LOADED), 1);
}

/** Guards against one load for each node that requests the same target. */
TEST(ActivationTest, BurstIsOneLoadAndAnswersAllNodes) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 5);
  Leader leader(all);
  for (int i = 0; i < 5; ++i) {
    leader.Add(MakeRunner("runner-" + std::to_string(i), "near",
                          "n" + std::to_string(i), 80 * kGib));
  }
  for (int i = 0; i < 9; ++i) {
    leader.RequestActivation(MakeActivation("d", 60'000),
                             "entry-" + std::to_string(i));
  }
  leader.Advance(seconds(5));
  EXPECT_EQ(leader.m_orders.size(), 1U);
  EXPECT_EQ(leader.m_answers.back().m_nodes.size(), 9U);
}

/** Guards against refusing requests that a loaded replica serves because a
 * further one can't be placed, and against scaling up on outdated reports. */
TEST(ActivationTest, ManyWaitingRequestsAddReplicasAndAreNotRefused) {
  gen::Declarations all;
  AddDeployment(&all, "d", 6 * kGib, 3);
  Leader leader(all);
  leader.Add(MakeRunner("runner-1", "near", "n1", 10 * kGib));
  leader.RequestActivation(MakeActivation("d", 60'000));
  leader.Advance(seconds(5));
  gen::ActivationRequest burst = MakeActivation("d", 60'000);
  burst.set_waiting(40);
  leader.RequestActivation(burst);
  for (const ActivationAnswer &answer : leader.m_answers) {
    EXPECT_FALSE(answer.m_reply.is_refused());
  }
  leader.Add(MakeRunner("runner-2", "near", "n2", 10 * kGib));
  leader.Add(MakeRunner("runner-3", "near", "n3", 10 * kGib));
  leader.RequestActivation(burst);
  leader.Advance(seconds(20));
  EXPECT_EQ(leader.Count("d", gen::GRANT_LOADED), 2);
}

TEST(ActivationTest, UnknownScopeAndMissingRunnerAreRefused) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  Leader leader(all);
  leader.RequestActivation(MakeActivation("x", 60'000));
  leader.RequestActivation(MakeActivation("d", 60'000));
  ASSERT_EQ(leader.m_answers.size(), 2U);
  EXPECT_EQ(leader.m_answers[0].m_reply.reason(), "unknown_model");
  EXPECT_EQ(leader.m_answers[1].m_reply.reason(), "no_upstream");
}

/** Guards against an adapter on a runner without its model. */
TEST(ActivationTest, AdapterLoadsAfterItsModel) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  gen::Adapter *adapter = all.add_adapter();
  adapter->set_name("a");
  adapter->set_model("md");
  adapter->set_version("1");
  adapter->set_weight_bytes(1 << 20);
  adapter->set_memory_bytes(1 << 20);
  adapter->set_max_replicas(1);
  Leader leader(all);
  leader.Add(MakeRunner("runner-1", "near", "n1", 80 * kGib));
  leader.Add(MakeRunner("runner-2", "near", "n2", 90 * kGib));
  gen::ActivationRequest activation = MakeActivation("d", 60'000);
  activation.set_adapter("a");
  leader.RequestActivation(activation);
  leader.Advance(seconds(10));
  ASSERT_EQ(leader.m_orders.size(), 2U);
  EXPECT_EQ(leader.m_orders[0].m_target, "md@1");
  EXPECT_EQ(leader.m_orders[1].m_target, "md@1/a@1");
  EXPECT_EQ(leader.m_orders[0].m_runner, leader.m_orders[1].m_runner);
  EXPECT_GE(leader.m_order_times[1] - leader.m_order_times[0],
            leader.m_load_time);
}

/** Guards against a version change that leaves callers without a replica. */
TEST(RetireTest, NewVersionIsLoadedBeforeOldOneLeaves) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 3)->set_min_replicas(2);
  Leader leader(all);
  for (int i = 0; i < 4; ++i) {
    leader.Add(MakeRunner("runner-" + std::to_string(i), "near",
                          "n" + std::to_string(i), 80 * kGib));
  }
  leader.Advance(seconds(10));
  ASSERT_EQ(leader.Count("d", gen::GRANT_LOADED), 2);
  all.mutable_model(0)->set_version("2");
  OnCatalog(&leader.m_planner, config::BuildCatalog(all, base::Revision(2)));
  for (int step = 0; step < 600; ++step) {
    leader.Advance(milliseconds(100));
    ASSERT_GE(leader.Count("d", gen::GRANT_LOADED), 1);
    ASSERT_LE(CountReplicas(leader.m_ledger, "d"), 3);
  }
  EXPECT_EQ(leader.Count("d", gen::GRANT_LOADED), 2);
  for (const auto &[id, grant] : leader.m_ledger.m_grants) {
    EXPECT_EQ(grant.target(), "md@2");
  }
}

/** Guards against aborting requests that still run on a retiring replica. */
TEST(RetireTest, UnloadWaitsForTheEndOfRequests) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  Leader leader(all);
  leader.Add(MakeRunner("runner-1", "near", "n1", 80 * kGib));
  leader.RequestActivation(MakeActivation("d", 60'000));
  leader.Advance(seconds(5));
  OnCatalog(&leader.m_planner, config::BuildCatalog({}, base::Revision(2)));
  leader.Advance(seconds(3));
  EXPECT_EQ(leader.Count("d", gen::GRANT_RETIRING), 1);
  EXPECT_EQ(leader.m_orders.size(), 1U);
  leader.Advance(seconds(10));
  EXPECT_EQ(leader.m_orders.back().m_action, OrderAction::kUnload);
  EXPECT_TRUE(leader.m_ledger.m_grants.empty());
}

/** Guards against idle replicas that keep a model from ever being loaded
 * because the runner is full. */
TEST(RetireTest, IdleReplicaMakesRoom) {
  gen::Declarations all;
  AddDeployment(&all, "a", 6 * kGib, 1);
  AddDeployment(&all, "b", 6 * kGib, 1);
  Leader leader(all);
  leader.Add(MakeRunner("runner-1", "near", "n1", 10 * kGib));
  leader.RequestActivation(MakeActivation("a", 60'000));
  leader.Advance(seconds(60));
  ASSERT_EQ(leader.Count("a", gen::GRANT_LOADED), 1);
  leader.RequestActivation(MakeActivation("b", 60'000));
  leader.Advance(seconds(30));
  EXPECT_EQ(leader.Count("b", gen::GRANT_LOADED), 1);
  EXPECT_EQ(CountReplicas(leader.m_ledger, "a"), 0);
}

/** Guards against replicas that hold memory for hours after their last use. */
TEST(IdleTest, ScalesToZeroAfterDeclaredTime) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  Leader leader(all);
  leader.Add(MakeRunner("runner-1", "near", "n1", 80 * kGib));
  leader.RequestActivation(MakeActivation("d", 60'000));
  leader.Advance(minutes(9));
  EXPECT_EQ(leader.Count("d", gen::GRANT_LOADED), 1);
  leader.Advance(minutes(2));
  EXPECT_EQ(CountReplicas(leader.m_ledger, "d"), 0);
}

/** Guards against keeping a scope loaded that is used too rarely, and against
 * unloading one that is used regularly. */
TEST(IdleTest, KeepAliveFollowsGaps) {
  Planner planner;
  base::TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 10; ++i) {
    RecordUse(&planner, "rare", now + i * std::chrono::hours(5));
    RecordUse(&planner, "regular", now + i * minutes(4));
  }
  base::Duration cold = seconds(30);
  base::Duration bound = minutes(10);
  EXPECT_EQ(GetKeepAlive(planner, "rare", cold, bound),
            planner.m_settings.m_min_idle);
  EXPECT_GT(GetKeepAlive(planner, "regular", cold, bound), minutes(4));
  EXPECT_LT(GetKeepAlive(planner, "regular", cold, bound), minutes(6));
  EXPECT_EQ(GetKeepAlive(planner, "new", cold, bound), bound);
}

/** Guards against a grant that stays reserved forever on a reclaimed host, or
 * is released while the host may only be unreachable. */
TEST(FailureTest, GrantOfGoneRunnerIsReleasedAfterForgetTime) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  Leader leader(all);
  gen::UpstreamRecord runner = MakeRunner("runner-1", "near", "n", 80 * kGib);
  leader.Add(runner);
  leader.RequestActivation(MakeActivation("d", 60'000));
  leader.Advance(seconds(5));
  runner.set_state(gen::UPSTREAM_GONE);
  leader.Add(runner);
  leader.Advance(minutes(9));
  EXPECT_EQ(CountReplicas(leader.m_ledger, "d"), 1);
  leader.Advance(minutes(2));
  EXPECT_EQ(CountReplicas(leader.m_ledger, "d"), 0);
}

/** Guards against replicas that the ledger doesn't count: a runner whose grants
 * were released returns with its replica after another was loaded. */
TEST(FailureTest, ReplicaOfReturningRunnerIsAdoptedAndUnloaded) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  Leader leader(all);
  leader.Add(MakeRunner("runner-1", "near", "n1", 80 * kGib));
  leader.RequestActivation(MakeActivation("d", 60'000));
  leader.Advance(seconds(5));
  gen::UpstreamRecord returning = MakeRunner("runner-2", "near", "n2", kGib);
  returning.add_loaded()->set_target("md@1");
  returning.mutable_loaded(0)->set_bytes(kGib);
  leader.m_entries["runner-2"]["md@1"] = leader.m_now;
  leader.Add(returning);
  leader.Advance(seconds(3));
  EXPECT_EQ(CountReplicas(leader.m_ledger, "d"), 2);
  EXPECT_EQ(leader.Count("d", gen::GRANT_RETIRING), 1);
  returning.clear_loaded();
  leader.Add(returning);
  leader.Advance(seconds(20));
  EXPECT_TRUE(leader.m_entries["runner-2"].empty());
  EXPECT_EQ(CountReplicas(leader.m_ledger, "d"), 1);
}

/** Guards against loading a target again that is still loaded after the ledger
 * was lost. */
TEST(FailureTest, ReplicaWithinBoundsIsAdoptedAsLoaded) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  Leader leader(all);
  gen::UpstreamRecord runner = MakeRunner("runner-1", "near", "n1", 80 * kGib);
  runner.add_loaded()->set_target("md@1");
  runner.mutable_loaded(0)->set_bytes(kGib);
  leader.m_entries["runner-1"]["md@1"] = leader.m_now;
  leader.Add(runner);
  leader.Advance(seconds(3));
  EXPECT_EQ(leader.Count("d", gen::GRANT_LOADED), 1);
  EXPECT_TRUE(leader.m_orders.empty());
}

/** @return milliseconds for an activation request and a full review at a number
 * of runners, each with 12 loaded replicas */
double MeasureEvents(int runners) {
  gen::Declarations all;
  AddDeployment(&all, "d", kGib, 1);
  for (int j = 0; j < 12; ++j) {
    AddDeployment(&all, "other-" + std::to_string(j), kGib, runners);
  }
  Leader leader(all);
  gen::PlacementSnapshot snapshot;
  snapshot.set_term(1);
  snapshot.set_next_grant_id(1'000'000);
  for (int i = 0; i < runners; ++i) {
    std::string name = "runner-" + std::to_string(i);
    leader.Add(
        MakeRunner(name, "far", "domain-" + std::to_string(i), 100 * kGib));
    for (int j = 0; j < 12; ++j) {
      gen::Grant *grant = snapshot.add_grants();
      grant->set_grant_id(static_cast<std::uint64_t>(i * 12 + j + 1));
      grant->set_scope("other-" + std::to_string(j));
      grant->set_deployment(grant->scope());
      grant->set_target("m" + grant->scope() + "@1");
      grant->set_runner(name);
      grant->set_region("far");
      grant->set_domain("domain-" + std::to_string(i));
      grant->set_runner_incarnation(1);
      grant->set_bytes(kGib);
      grant->set_state(gen::GRANT_LOADED);
    }
  }
  auto restored = RestoreLedger(snapshot.SerializeAsString());
  EXPECT_TRUE(restored);
  leader.m_ledger = *restored;
  auto begin = tests::GetThreadProcessorTime();
  leader.RequestActivation(MakeActivation("d", 60'000));
  auto activated = tests::GetThreadProcessorTime();
  leader.Advance(seconds(1));
  auto end = tests::GetThreadProcessorTime();
  EXPECT_EQ(leader.m_orders.size(), 1U);
  tests::ProcessorTime activation_ms = activated - begin;
  tests::ProcessorTime second_ms = end - activated;
  std::cout << runners * 12 << " grants: activation request "
            << activation_ms.count() << " ms, one second of timers "
            << second_ms.count() << " ms\n";
  return activation_ms.count() + second_ms.count();
}

/** Guards against quadratic work; the ratio doesn't depend on the machine. */
TEST(SizeTest, EventsAreNearlyLinearInRunners) {
  double small = tests::MeasureMinimum([] { return MeasureEvents(100); });
  double large = tests::MeasureMinimum([] { return MeasureEvents(1'000); });
  EXPECT_LT(large, 40.0 * small) << "a quadratic algorithm gives 100";
}

}  // namespace
}  // namespace wasabiwind::placement
