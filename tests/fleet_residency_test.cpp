/** @file fleet_residency_test.cpp Single decisions of the planner. */

#include <gtest/gtest.h>

#include "fleet_residency_fixture.h"

namespace wasabiwind::fleet {
namespace {

TEST(ResidencyTest, LoadsAModelThatRequestsWaitFor) {
  PlannerFixture fleet(2);
  fleet.Report(MakeRunner("i-1", 1, {"m0"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m1", "", 1), At(10));
  ResidencyActions first = fleet.Plan(At(20));
  ASSERT_EQ(first.m_queries.size(), 1u);
  fleet.AnswerStatusQuery("i-1", 3, At(30));
  ResidencyActions second = fleet.Plan(At(40));
  ASSERT_EQ(second.m_orders.size(), 1u);
  EXPECT_EQ(second.m_orders[0].m_model, "m1");
  EXPECT_EQ(second.m_orders[0].m_expected_order_count, 3u);
  EXPECT_TRUE(second.m_orders[0].m_is_from_store);
}

TEST(ResidencyTest, UnloadsBeforeItLoadsWhereThereIsNoRoom) {
  PlannerFixture fleet(3);
  fleet.Report(MakeRunner("i-1", 1, {"m0", "m1"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m2", "", 1), At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 0, At(30));
  ResidencyActions actions = fleet.Plan(At(40));
  ASSERT_EQ(actions.m_orders.size(), 1u);
  EXPECT_FALSE(actions.m_orders[0].m_is_load);
  // The eviction is published before the runner starts it.
  ASSERT_EQ(actions.m_changed_residencies.size(), 1u);
  EXPECT_EQ(actions.m_changed_residencies[0].unloaded(0),
            actions.m_orders[0].m_model);
}

// A model that the table no longer declared counted as free memory while its
// runner still held it, so that the runner was ordered to load too much.
// (review/3)
TEST(ResidencyTest, RetiredModelIsUnloadedBeforeAnotherIsLoaded) {
  PlannerFixture fleet(3);
  fleet.Report(MakeRunner("i-1", 1, {"m0", "m2"}), At(0));
  gen::RouteTable table = MakeModelTable(2);
  table.set_version(2);
  fleet.m_routes = routes::MakeRouteIndex(std::move(table));
  RecordUse(&fleet.m_planner, MakeUse("m1", "", 1), At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 0, At(30));
  ResidencyActions actions = fleet.Plan(At(40));
  ASSERT_EQ(actions.m_orders.size(), 1u);
  EXPECT_FALSE(actions.m_orders[0].m_is_load);
  EXPECT_EQ(actions.m_orders[0].m_model, "m2");
  RecordOrderOutcome(&fleet.m_planner, actions.m_orders[0],
                     OrderOutcome::kStarted, At(50));
  fleet.Report(MakeRunner("i-1", 2, {"m0"}), At(1'000));
  actions = fleet.Plan(At(1'010));
  ASSERT_EQ(actions.m_orders.size(), 1u);
  EXPECT_TRUE(actions.m_orders[0].m_is_load);
  EXPECT_EQ(actions.m_orders[0].m_model, "m1");
}

// A retired model may be larger than any that is declared.
TEST(ResidencyTest, RetiredModelTakesAllMemoryUntilItIsUnloaded) {
  PlannerFixture fleet(2);
  fleet.Report(MakeRunner("i-1", 1, {"retired"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m1", "", 1), At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 0, At(30));
  ResidencyActions actions = fleet.Plan(At(40));
  ASSERT_EQ(actions.m_orders.size(), 1u);
  EXPECT_FALSE(actions.m_orders[0].m_is_load);
  EXPECT_EQ(actions.m_orders[0].m_model, "retired");
}

// After a leader change, the last known report may be older than a load that
// the previous leader ordered. The new leader must reserve the memory from the
// runner's status. (Broke a limit in the run spillsack-core scale-1,
// seed 863628808495.)
TEST(ResidencyTest, StatusReservesWhatTheReportDoesNotShowYet) {
  PlannerFixture fleet(3);
  fleet.Report(MakeRunner("i-1", 1, {"m0"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m2", "", 1), At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 4, At(30), {"m0", "m1"});
  ResidencyActions actions = fleet.Plan(At(40));
  for (const PlannedOrder &order : actions.m_orders) {
    EXPECT_FALSE(order.m_is_load) << order.m_model;
  }
}

// Unloading an adapter with running requests kept the runner busy for seconds
// and blocked all loads on it. (Seen in the run hutchworks-live trouble-1.)
TEST(ResidencyTest, AdapterInUseIsNotUnloaded) {
  PlannerFixture fleet(1);
  gen::Fact runner = MakeRunner("i-1", 1, {"m0"});
  runner.mutable_upstream()->mutable_models(0)->add_adapters("a1");
  runner.mutable_upstream()->mutable_models(0)->add_adapters("a2");
  fleet.Report(runner, At(0));
  fleet.Plan(At(1));
  gen::UseReport use = MakeUse("m0", "a3", 1);
  for (const char *adapter : {"a1", "a2"}) {
    gen::TargetUse *active = use.add_uses();
    active->set_service("llm");
    active->set_model("m0");
    active->set_adapter(adapter);
    active->add_upstreams("i-1");
  }
  RecordUse(&fleet.m_planner, use, At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 0, At(30));
  EXPECT_TRUE(fleet.Plan(At(40)).m_orders.empty());
  // Once a report shows no use, the least recently used one is unloaded.
  RecordUse(&fleet.m_planner, MakeUse("m0", "a3", 1), At(2'000));
  ResidencyActions later = fleet.Plan(At(2'010));
  ASSERT_EQ(later.m_orders.size(), 1u);
  EXPECT_FALSE(later.m_orders[0].m_is_load);
}

// After a power failure, a leader without known demand unloaded the busiest
// model for one without requests. (Seen in the run spillsack-core trouble-1.)
TEST(ResidencyTest, NoPreloadsBeforeDemandIsKnown) {
  PlannerFixture fleet(3);
  fleet.Report(MakeRunner("i-1", 1, {"m0", "m1"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m0", "", 0), At(10));
  EXPECT_TRUE(fleet.Plan(At(20)).m_queries.empty());
}

// Before traffic began, second copies of busy models were evicted for models
// that load from disk within a second; the first copies were then overloaded.
// (Seen in the run spillsack-core scale-1.)
TEST(ResidencyTest, CopiesStayWhileDemandIsUnknown) {
  PlannerFixture fleet(4);
  fleet.Report(MakeRunner("i-1", 1, {"m0", "m1"}), At(0));
  gen::Fact second = MakeRunner("i-2", 1, {"m0", "m2"});
  second.mutable_upstream()->add_on_disk("m3");
  fleet.Report(second, At(0));
  ResidencyActions actions = fleet.Plan(At(10));
  EXPECT_TRUE(actions.m_queries.empty());
  EXPECT_TRUE(actions.m_orders.empty());
}

TEST(ResidencyTest, OrderWithoutAnswerIsRepeatedWithTheSameCount) {
  PlannerFixture fleet(2);
  fleet.Report(MakeRunner("i-1", 1, {"m0"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m1", "", 1), At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 3, At(30));
  ResidencyActions first = fleet.Plan(At(40));
  ASSERT_EQ(first.m_orders.size(), 1u);
  RecordOrderOutcome(&fleet.m_planner, first.m_orders[0],
                     OrderOutcome::kUnknown, At(840));
  ResidencyActions second = fleet.Plan(At(1'100));
  ASSERT_EQ(second.m_orders.size(), 1u);
  EXPECT_EQ(second.m_orders[0].m_model, "m1");
  EXPECT_EQ(second.m_orders[0].m_expected_order_count, 3u);
}

// A status reported the runner as not busy while an order was in doubt; the
// repeated order then reserved no memory. (Broke a limit in the run
// spillsack-core with late-orders-new-leader, seed 298094673652.)
TEST(ResidencyTest, RepeatedOrderReservesRoomAgain) {
  PlannerFixture fleet(3);
  fleet.Report(MakeRunner("i-1", 1, {"m0"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m1", "", 1), At(10));
  fleet.Plan(At(20));
  fleet.AnswerStatusQuery("i-1", 3, At(30));
  ResidencyActions first = fleet.Plan(At(40));
  ASSERT_EQ(first.m_orders.size(), 1u);
  RecordOrderOutcome(&fleet.m_planner, first.m_orders[0],
                     OrderOutcome::kUnknown, At(840));
  ASSERT_EQ(fleet.Plan(At(9'000)).m_queries.size(), 1u);
  fleet.AnswerStatusQuery("i-1", 3, At(9'010));
  ResidencyActions repeated = fleet.Plan(At(9'020));
  ASSERT_EQ(repeated.m_orders.size(), 1u);
  RecordOrderOutcome(&fleet.m_planner, repeated.m_orders[0],
                     OrderOutcome::kStarted, At(9'030));
  RecordUse(&fleet.m_planner, MakeUse("m2", "", 1), At(9'040));
  EXPECT_TRUE(fleet.Plan(At(9'050)).m_orders.empty());
}

TEST(ResidencyTest, UnreachableRunnerGetsNoOrders) {
  PlannerFixture fleet(2);
  fleet.Report(MakeRunner("i-1", 1, {"m0"}), At(0));
  gen::UseReport use = MakeUse("m1", "", 1);
  use.add_unreachable("i-1");
  RecordUse(&fleet.m_planner, use, At(10));
  ResidencyActions actions = fleet.Plan(At(20));
  EXPECT_TRUE(actions.m_queries.empty());
  EXPECT_TRUE(actions.m_orders.empty());
}

TEST(ResidencyTest, LeavingRunnerDoesNotCountAsACopy) {
  PlannerFixture fleet(2);
  gen::Fact leaving = MakeRunner("i-1", 1, {"m1"});
  leaving.mutable_upstream()->set_state(gen::UPSTREAM_LEAVING);
  fleet.Report(leaving, At(0));
  fleet.Report(MakeRunner("i-2", 1, {"m0"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m1", "", 1), At(10));
  ResidencyActions actions = fleet.Plan(At(20));
  ASSERT_EQ(actions.m_queries.size(), 1u);
  EXPECT_EQ(actions.m_queries[0], "i-2");
}

/** Reports arrivals of requests for a model at a constant rate. */
void ReportArrivals(PlannerFixture *fleet, const std::string &model,
                    int from_ms, int to_ms, std::uint32_t each_100_ms) {
  for (int ms = from_ms; ms < to_ms; ms += 100) {
    gen::UseReport use = MakeUse(model, "", 0);
    use.mutable_uses(0)->set_arrivals(each_100_ms);
    RecordUse(&fleet->m_planner, use, At(ms));
  }
}

// A request for a rare model evicted one of two copies of the busiest model,
// because the other models on the runner had just been used; the remaining copy
// was then overloaded. (Seen in the run spillsack-core trouble-1.)
TEST(ResidencyTest, RareModelDoesNotEvictABusyCopy) {
  PlannerFixture fleet(4);
  fleet.Report(MakeRunner("i-1", 1, {"m0", "m1"}), At(0));
  fleet.Report(MakeRunner("i-2", 1, {"m0", "m2"}), At(0));
  ReportArrivals(&fleet, "m0", 0, 7'000, /*each_100_ms=*/1);
  gen::UseReport rare = MakeUse("m3", "", 1);
  for (const char *model : {"m1", "m2"}) {
    gen::TargetUse *used = rare.add_uses();
    used->set_service("llm");
    used->set_model(model);
    used->add_upstreams(std::string(model) == "m1" ? "i-1" : "i-2");
  }
  RecordUse(&fleet.m_planner, rare, At(7'000));
  fleet.Plan(At(7'010));
  fleet.AnswerStatusQuery("i-1", 0, At(7'020));
  fleet.AnswerStatusQuery("i-2", 0, At(7'020));
  for (const PlannedOrder &order : fleet.Plan(At(7'030)).m_orders) {
    EXPECT_TRUE(order.m_is_load || order.m_model != "m0");
  }
}

// Demand moved to another model within 5 s, and its second copy was ordered
// only after the first had been overloaded for seconds. (Seen in the run
// spillsack-core trouble-1.)
TEST(ResidencyTest, RisingModelGetsACopyWithinTwoSeconds) {
  PlannerFixture fleet(3);
  fleet.Report(MakeRunner("i-1", 1, {"m0"}), At(0));
  fleet.Report(MakeRunner("i-2", 1, {"m1", "m2"}), At(0));
  ReportArrivals(&fleet, "m1", 0, 7'000, /*each_100_ms=*/0);
  ReportArrivals(&fleet, "m0", 7'000, 8'500, /*each_100_ms=*/1);
  fleet.Plan(At(8'500));
  fleet.AnswerStatusQuery("i-2", 0, At(8'510));
  ResidencyActions actions = fleet.Plan(At(8'520));
  ASSERT_EQ(actions.m_orders.size(), 1u);
  EXPECT_EQ(actions.m_orders[0].m_upstream, "i-2");
  EXPECT_STREQ(actions.m_orders[0].m_reason, "busy");
}

// A further copy is less useful on a runner that is busy with another model
// than on an idle runner.
TEST(ResidencyTest, FurtherCopyGoesToTheRunnerWithLeastWork) {
  PlannerFixture fleet(4);
  fleet.Report(MakeRunner("i-1", 1, {"m1"}), At(0));
  fleet.Report(MakeRunner("i-2", 1, {"m2"}), At(0));
  fleet.Report(MakeRunner("i-3", 1, {"m3"}), At(0));
  for (int ms = 0; ms < 7'000; ms += 100) {
    ReportArrivals(&fleet, "m1", ms, ms + 100, /*each_100_ms=*/1);
    if (ms % 200 == 0) ReportArrivals(&fleet, "m2", ms, ms + 100, 1);
  }
  ResidencyActions actions = fleet.Plan(At(7'000));
  ASSERT_EQ(actions.m_queries.size(), 1u);
  EXPECT_EQ(actions.m_queries[0], "i-3");
}

// Reports of one entry host that was cut off from the runners made the leader
// treat all runners as unreachable.
TEST(ResidencyTest, UnreachableReportsOfAnIsolatedEntryHostAreIgnored) {
  PlannerFixture fleet(5);
  gen::UseReport use = MakeUse("m4", "", 1);
  for (const char *id : {"i-1", "i-2", "i-3", "i-4"}) {
    fleet.Report(MakeRunner(id, 1, {"m0"}), At(0));
    use.add_unreachable(id);
  }
  fleet.Plan(At(5));
  RecordUse(&fleet.m_planner, use, At(10));
  EXPECT_EQ(fleet.Plan(At(20)).m_queries.size(), 1u);
}

// A load from the store kept the only runner with the weights of another model
// busy for 6 s while requests waited for that model. (Seen in the run
// spillsack-core trouble-3.)
TEST(ResidencyTest, LongLoadAvoidsTheOnlyRunnerWithAnotherModel) {
  PlannerFixture fleet(4);
  gen::Fact alone = MakeRunner("i-1", 1, {"m0"});
  alone.mutable_upstream()->add_on_disk("m2");
  fleet.Report(alone, At(0));
  fleet.Report(MakeRunner("i-2", 1, {"m1"}), At(0));
  RecordUse(&fleet.m_planner, MakeUse("m3", "", 1), At(10));
  ResidencyActions actions = fleet.Plan(At(20));
  ASSERT_EQ(actions.m_queries.size(), 1u);
  EXPECT_EQ(actions.m_queries[0], "i-2");
}

}  // namespace
}  // namespace wasabiwind::fleet
