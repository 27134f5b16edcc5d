/** @file routes_table_test.cpp Validation of route tables and lookups. */

#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <vector>

#include "routes/table_func.h"

namespace wasabiwind::routes {
namespace {

gen::Route MakeRoute(const std::string &name, const std::string &prefix,
                     const std::string &service) {
  gen::Route route;
  route.set_name(name);
  route.set_host("a.example");
  route.set_path_prefix(prefix);
  route.set_kind(gen::ROUTE_IDEMPOTENT);
  route.set_timeout_ms(1'000);
  gen::RouteTarget *target = route.add_targets();
  target->set_service(service);
  target->set_weight(1);
  return route;
}

gen::RouteTable MakeTable() {
  gen::RouteTable table;
  table.set_version(1);
  table.add_services()->set_name("desk");
  *table.add_routes() = MakeRoute("short", "/a/", "desk");
  *table.add_routes() = MakeRoute("long", "/a/b/", "desk");
  return table;
}

TEST(RouteTableTest, AcceptsAProperTable) {
  EXPECT_TRUE(CheckRouteTable(MakeTable()));
}

// Invalid tables must not be acknowledged; each test covers one reason.
TEST(RouteTableTest, RefusesAnUnknownService) {
  gen::RouteTable table = MakeTable();
  table.mutable_routes(0)->mutable_targets(0)->set_service("nobody");
  EXPECT_FALSE(CheckRouteTable(table));
}

TEST(RouteTableTest, RefusesTwoRoutesWithOneHostAndPrefix) {
  gen::RouteTable table = MakeTable();
  *table.add_routes() = MakeRoute("twin", "/a/", "desk");
  table.mutable_routes(2)->set_host("A.EXAMPLE");
  EXPECT_FALSE(CheckRouteTable(table));
}

TEST(RouteTableTest, RefusesWeightsThatAddUpToZero) {
  gen::RouteTable table = MakeTable();
  table.mutable_routes(0)->mutable_targets(0)->set_weight(0);
  EXPECT_FALSE(CheckRouteTable(table));
}

TEST(RouteTableTest, RefusesAZeroTimeout) {
  gen::RouteTable table = MakeTable();
  table.mutable_routes(1)->set_timeout_ms(0);
  EXPECT_FALSE(CheckRouteTable(table));
}

TEST(RouteTableTest, FindsTheLongestPrefixOfAHost) {
  RouteIndexPtr index = MakeRouteIndex(MakeTable());
  EXPECT_EQ(FindRoute(*index, "a.example:80", "/a/b/c")->name(), "long");
  EXPECT_EQ(FindRoute(*index, "A.example", "/a/c")->name(), "short");
  EXPECT_EQ(FindRoute(*index, "a.example", "/b/"), nullptr);
  EXPECT_EQ(FindRoute(*index, "b.example", "/a/"), nullptr);
}

TEST(RouteTableTest, ChoosesServicesByWeight) {
  gen::Route route = MakeRoute("split", "/", "desk");
  route.mutable_targets(0)->set_weight(3);
  gen::RouteTarget *other = route.add_targets();
  other->set_service("other");
  other->set_weight(1);
  int desk = 0;
  for (std::uint64_t draw = 0; draw < 400; ++draw) {
    desk += ChooseService(route, draw) == "desk" ? 1 : 0;
  }
  EXPECT_EQ(desk, 300);
}

TEST(RouteTableTest, OnlyResumableStreamsMayBeRepeated) {
  gen::Route route = MakeRoute("stream", "/", "desk");
  route.set_kind(gen::ROUTE_STREAM);
  EXPECT_FALSE(IsRepeatable(route));
  route.set_is_resumable(true);
  EXPECT_TRUE(IsRepeatable(route));
  route.set_kind(gen::ROUTE_NON_IDEMPOTENT);
  EXPECT_FALSE(IsRepeatable(route));
}

// Digests with an objective of 0.8 s to their first event waited behind plans
// with 2.5 s, because both have the same rank. (Seen in the run
// hutchworks-live-grown scale-1.)
TEST(RouteTableTest, UrgencyFollowsRankThenObjective) {
  gen::Route chat;
  chat.set_objective_ms(500);
  gen::Route digest;
  digest.set_rank(1);
  digest.set_objective_ms(800);
  gen::Route plan;
  plan.set_rank(1);
  plan.set_objective_ms(2'500);
  EXPECT_EQ(GetUrgency(chat, nullptr), 0u);
  EXPECT_LT(GetUrgency(chat, nullptr), GetUrgency(digest, nullptr));
  EXPECT_LT(GetUrgency(digest, nullptr), GetUrgency(plan, nullptr));
}

TEST(RouteTableTest, StreamPauseTimeoutIsTheLongestOfThree) {
  gen::Route route;
  EXPECT_EQ(GetStreamPauseTimeout(route), std::chrono::milliseconds(2'000));
  route.set_max_gap_ms(400);
  EXPECT_EQ(GetStreamPauseTimeout(route), std::chrono::milliseconds(3'200));
  route.set_objective_ms(2'500);
  EXPECT_EQ(GetStreamPauseTimeout(route), std::chrono::milliseconds(10'000));
}

gen::Team MakeTeam(const std::string &name,
                   const std::vector<std::string> &keys) {
  gen::Team team;
  team.set_name(name);
  for (const std::string &key : keys) team.add_keys(key);
  return team;
}

gen::RouteTable MakeTableWithTeams() {
  gen::RouteTable table = MakeTable();
  *table.add_teams() = MakeTeam("red", {"secret-1", "secret-2"});
  *table.add_teams() = MakeTeam("blue", {"secret-3"});
  *table.add_teams() = MakeTeam("grey", {});
  return table;
}

// A team whose keys were all revoked stays valid, and so does one whose rate
// is 0.
TEST(RouteTableTest, AcceptsProperTeams) {
  gen::RouteTable table = MakeTableWithTeams();
  table.mutable_teams(0)->set_rate_per_second(29'000);
  table.mutable_teams(0)->set_burst(0.5);
  EXPECT_TRUE(CheckRouteTable(table));
  RouteIndexPtr index = MakeRouteIndex(table);
  EXPECT_EQ(FindTeam(*index, "secret-2")->name(), "red");
  EXPECT_EQ(FindTeam(*index, "secret-3")->name(), "blue");
  EXPECT_EQ(FindTeam(*index, ""), nullptr);
  EXPECT_EQ(FindTeam(*index, "red"), nullptr);
}

// With one key in two teams, hosts could charge different teams for a request.
// The error reaches the operator and the log, so that it must contain no key.
TEST(RouteTableTest, RefusesSharedAndEmptyKeysWithoutNamingThem) {
  for (const char *key : {"secret-1", "secret-3", ""}) {
    gen::RouteTable table = MakeTableWithTeams();
    table.mutable_teams(1)->add_keys(key);
    base::Result<void> done = CheckRouteTable(table);
    ASSERT_FALSE(done) << key;
    EXPECT_EQ(done.error().ToString().find("secret"), std::string::npos);
    EXPECT_NE(done.error().ToString().find("blue"), std::string::npos);
  }
}

// Quotas and refunds are found by the team's name.
TEST(RouteTableTest, RefusesMissingNamesOfTeamsAndNamesUsedTwice) {
  for (const char *name : {"", "blue"}) {
    gen::RouteTable table = MakeTableWithTeams();
    table.mutable_teams(0)->set_name(name);
    EXPECT_FALSE(CheckRouteTable(table)) << name;
  }
}

// The name is sent to runners in a header; a line break in it would add headers
// of its own.
TEST(RouteTableTest, RefusesNamesOfTeamsThatNoHeaderCanHold) {
  for (const std::string &name :
       {std::string("red\r\nX-Other: 1"), std::string("red\n"),
        std::string("r\0d", 3), std::string("red\x7f"), std::string(" red"),
        std::string("red ")}) {
    gen::RouteTable table = MakeTableWithTeams();
    table.mutable_teams(0)->set_name(name);
    EXPECT_FALSE(CheckRouteTable(table)) << name;
  }
  gen::RouteTable table = MakeTableWithTeams();
  table.mutable_teams(0)->set_name(
      "r\xc3\xa9"
      "d team");
  EXPECT_TRUE(CheckRouteTable(table));
}

// A rate that is no number would make each comparison with it false.
TEST(RouteTableTest, RefusesRatesAndBurstsThatAreNoAmounts) {
  using Limits = std::numeric_limits<double>;
  for (double bad : {-1.0, -1e-9, Limits::infinity(), -Limits::infinity(),
                     Limits::quiet_NaN()}) {
    gen::RouteTable table = MakeTableWithTeams();
    table.mutable_teams(0)->set_rate_per_second(bad);
    EXPECT_FALSE(CheckRouteTable(table)) << bad;
    table = MakeTableWithTeams();
    table.mutable_teams(0)->set_burst(bad);
    EXPECT_FALSE(CheckRouteTable(table)) << bad;
  }
}

// A team's rank counts instead of the route's, also if it is 0 or less urgent.
TEST(RouteTableTest, RankOfTheTeamComesBeforeThatOfTheRoute) {
  gen::Route route;
  route.set_rank(2);
  route.set_objective_ms(500);
  gen::Team team;
  team.set_rank(7);
  EXPECT_EQ(GetRank(route, nullptr), 2u);
  EXPECT_EQ(GetRank(route, &team), 2u);  // rank without has_rank isn't set
  team.set_has_rank(true);
  EXPECT_EQ(GetRank(route, &team), 7u);
  EXPECT_GT(GetUrgency(route, &team), GetUrgency(route, nullptr));
  team.set_rank(0);
  EXPECT_EQ(GetRank(route, &team), 0u);
  EXPECT_LT(GetUrgency(route, &team), GetUrgency(route, nullptr));
}

}  // namespace
}  // namespace wasabiwind::routes
