/** @file fleet_view_test.cpp Fact logs, followers and views of the fleet. */

#include <gtest/gtest.h>

#include "fleet/fact_log_func.h"
#include "fleet/follower_func.h"

namespace wasabiwind::fleet {
namespace {

using std::chrono::milliseconds;

constexpr const char *kA = "10.0.0.1:7000";
constexpr const char *kB = "10.0.0.2:7000";

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

gen::Fact MakeReport(const std::string &id, std::uint64_t start_time_ms,
                     std::uint64_t number, gen::UpstreamState state) {
  gen::Fact fact;
  gen::UpstreamReport *report = fact.mutable_upstream();
  report->set_id(id);
  report->set_born_ms(start_time_ms);
  report->set_report_number(number);
  report->set_service("llm");
  report->set_address("10.1.0.1:80");
  report->set_state(state);
  return fact;
}

const UpstreamEntry &Get(const FleetView &view, const std::string &id) {
  return view.m_upstreams.at(id);
}

// A report delayed by a partition must not replace a later one.
TEST(FleetViewTest, LateReportChangesNothing) {
  FleetView view;
  ApplyFact(&view, kA, MakeReport("i-1", 5, 9, gen::UPSTREAM_LEAVING), At(0));
  ApplyFact(&view, kB, MakeReport("i-1", 5, 8, gen::UPSTREAM_READY), At(1));
  EXPECT_EQ(Get(view, "i-1").m_report.state(), gen::UPSTREAM_LEAVING);
}

// An upstream that has left stays gone, whatever the number of a late report.
TEST(FleetViewTest, GoneStaysGoneForOneStart) {
  FleetView view;
  ApplyFact(&view, kA, MakeReport("i-1", 5, 9, gen::UPSTREAM_READY), At(0));
  ApplyFact(&view, kA, MakeReport("i-1", 5, 0, gen::UPSTREAM_GONE), At(1));
  ApplyFact(&view, kB, MakeReport("i-1", 5, 10, gen::UPSTREAM_READY), At(2));
  EXPECT_FALSE(IsServing(view, Get(view, "i-1")));
}

TEST(FleetViewTest, LaterStartUnderTheSameIdServesAgain) {
  FleetView view;
  ApplyFact(&view, kA, MakeReport("i-1", 5, 9, gen::UPSTREAM_GONE), At(0));
  ApplyFact(&view, kA, MakeReport("i-1", 6, 1, gen::UPSTREAM_READY), At(1));
  EXPECT_TRUE(IsServing(view, Get(view, "i-1")));
}

// A leave without a start time ends the known start and keeps the address.
TEST(FleetViewTest, LeaveWithoutStartEndsTheKnownOne) {
  FleetView view;
  ApplyFact(&view, kA, MakeReport("i-1", 5, 9, gen::UPSTREAM_READY), At(0));
  gen::Fact leave;
  leave.mutable_upstream()->set_id("i-1");
  leave.mutable_upstream()->set_state(gen::UPSTREAM_GONE);
  ApplyFact(&view, kA, leave, At(1));
  EXPECT_FALSE(IsServing(view, Get(view, "i-1")));
  EXPECT_EQ(Get(view, "i-1").m_report.born_ms(), 5u);
}

// A late report of an earlier owner must not reclaim a reused address.
TEST(FleetViewTest, AddressBelongsToTheLatestStart) {
  FleetView view;
  ApplyFact(&view, kA, MakeReport("i-2", 8, 1, gen::UPSTREAM_READY), At(0));
  ApplyFact(&view, kB, MakeReport("i-1", 5, 9, gen::UPSTREAM_READY), At(1));
  EXPECT_TRUE(IsServing(view, Get(view, "i-2")));
  EXPECT_FALSE(IsServing(view, Get(view, "i-1")));
}

TEST(FleetViewTest, SilentOnlyIfNoActivePublisherHearsIt) {
  FleetView view;
  view.m_publishers[kA].m_heard_at = At(0);
  view.m_publishers[kB].m_heard_at = At(0);
  gen::Fact silent = MakeReport("i-1", 5, 9, gen::UPSTREAM_READY);
  silent.mutable_upstream()->set_is_silent(true);
  ApplyFact(&view, kA, silent, At(0));
  EXPECT_TRUE(IsSilent(view, Get(view, "i-1").m_silence, At(1)));
  ApplyFact(&view, kB, MakeReport("i-1", 5, 10, gen::UPSTREAM_READY), At(1));
  EXPECT_FALSE(IsSilent(view, Get(view, "i-1").m_silence, At(2)));
  // Later, the publisher that hears it isn't heard itself.
  EXPECT_TRUE(IsSilent(view, Get(view, "i-1").m_silence, At(3'100)));
}

TEST(FleetViewTest, ResidencyChangesWhatARunnerHolds) {
  FleetView view;
  gen::Fact fact = MakeReport("i-1", 5, 9, gen::UPSTREAM_READY);
  fact.mutable_upstream()->add_models()->set_name("m1");
  ApplyFact(&view, kA, fact, At(0));
  gen::Fact change;
  change.mutable_residency()->set_upstream("i-1");
  change.mutable_residency()->set_born_ms(5);
  change.mutable_residency()->set_term(3);
  change.mutable_residency()->set_number(1);
  change.mutable_residency()->add_unloaded("m1");
  change.mutable_residency()->add_loaded("m2/a1");
  ApplyFact(&view, kA, change, At(1));
  EXPECT_FALSE(HasTarget(Get(view, "i-1"), "m1", "", At(2)));
  EXPECT_TRUE(HasTarget(Get(view, "i-1"), "m2", "a1", At(2)));
  // The residency of a leader that is gone expires.
  EXPECT_TRUE(HasTarget(Get(view, "i-1"), "m1", "", At(5'000)));
}

// Upstreams come and go for years; entries of gone ones must not accumulate.
TEST(FleetViewTest, ForgetsUpstreamsThatAreGoneForLong) {
  FleetView view;
  view.m_publishers[kA].m_heard_at = At(301'000);
  ApplyFact(&view, kA, MakeReport("i-1", 5, 9, gen::UPSTREAM_GONE), At(0));
  ApplyFact(&view, kA, MakeReport("i-2", 6, 9, gen::UPSTREAM_READY), At(0));
  ForgetUpstreams(&view, At(299'000));
  EXPECT_EQ(view.m_upstreams.size(), 2u);
  ForgetUpstreams(&view, At(301'000));
  EXPECT_EQ(view.m_upstreams.size(), 1u);
  EXPECT_TRUE(IsServing(view, Get(view, "i-2")));
}

TEST(FactLogTest, SameReportUnderAnotherNumberIsNoChange) {
  FactLog log;
  log.m_epoch = 1;
  EXPECT_TRUE(PutFact(&log, MakeReport("i-1", 5, 1, gen::UPSTREAM_READY)));
  EXPECT_FALSE(PutFact(&log, MakeReport("i-1", 5, 2, gen::UPSTREAM_READY)));
  EXPECT_TRUE(PutFact(&log, MakeReport("i-1", 5, 3, gen::UPSTREAM_LEAVING)));
}

// Lost facts must be sent again, and a restarted publisher sends all facts.
TEST(FactLogTest, FollowerGetsWhatItHasNotAcknowledged) {
  FactLog log;
  log.m_epoch = 7;
  PutFact(&log, MakeReport("i-1", 5, 1, gen::UPSTREAM_READY));
  PutFact(&log, MakeReport("i-2", 5, 1, gen::UPSTREAM_READY));
  gen::FactUpdate update;
  FillFactUpdate(log, 7, 1, {FollowerKind::kEntry, ""}, &update);
  ASSERT_EQ(update.facts_size(), 1);
  EXPECT_EQ(update.facts(0).upstream().id(), "i-2");
  gen::FactUpdate all;
  FillFactUpdate(log, 6, 2, {FollowerKind::kEntry, ""}, &all);
  EXPECT_EQ(all.facts_size(), 2);
}

TEST(FactLogTest, LongUpdateContinuesWhereItStopped) {
  constexpr int kFacts = 300;
  FactLog log;
  log.m_epoch = 7;
  for (int i = 0; i < kFacts; ++i) {
    PutFact(&log,
            MakeReport("i-" + std::to_string(i), 5, 1, gen::UPSTREAM_READY));
  }
  EraseFact(&log, GetUpstreamKey("i-3"));
  gen::FactUpdate first;
  FillFactUpdate(log, 7, 0, {FollowerKind::kEntry, ""}, &first);
  gen::FactUpdate second;
  FillFactUpdate(log, 7, first.last_number(), {FollowerKind::kEntry, ""},
                 &second);
  EXPECT_LT(first.facts_size(), kFacts - 1);
  EXPECT_EQ(first.facts_size() + second.facts_size(), kFacts - 1);
  EXPECT_EQ(second.last_number(), static_cast<std::uint64_t>(kFacts));
}

gen::Fact MakeLongReport(const std::string &id, std::size_t bytes) {
  gen::Fact fact = MakeReport(id, 5, 1, gen::UPSTREAM_READY);
  fact.mutable_upstream()->add_models()->set_name(std::string(bytes, 'm'));
  return fact;
}

/** @return the updates with which a follower gets all facts of a log. */
std::vector<gen::FactUpdate> TakeAllUpdates(const FactLog &log) {
  std::vector<gen::FactUpdate> updates;
  std::uint64_t acked_number = 0;
  while (acked_number < log.m_last_number) {
    gen::FactUpdate &update = updates.emplace_back();
    FillFactUpdate(log, log.m_epoch, acked_number, {FollowerKind::kEntry, ""},
                   &update);
    if (update.last_number() <= acked_number) break;
    acked_number = update.last_number();
  }
  return updates;
}

// An update was bounded by its number of facts only. 256 long reports made a
// message that the transport doesn't carry, and the publisher ended.
TEST(FactLogTest, UpdateOfLongReportsHasABoundInBytes) {
  constexpr int kFacts = 300;
  constexpr std::size_t kReportBytes = 40'000;
  constexpr std::size_t kMaxBytes = 512 * 1024;
  FactLog log;
  log.m_epoch = 7;
  for (int i = 0; i < kFacts; ++i) {
    PutFact(&log, MakeLongReport("i-" + std::to_string(i), kReportBytes));
  }
  int received = 0;
  for (const gen::FactUpdate &update : TakeAllUpdates(log)) {
    EXPECT_LT(update.ByteSizeLong(), kMaxBytes);
    received += update.facts_size();
  }
  EXPECT_EQ(received, kFacts);
}

// Guards against an update that stays empty because its first fact is longer
// than the bound; the follower would never get the facts after it.
TEST(FactLogTest, FactAboveTheBoundIsSentAlone) {
  constexpr std::size_t kReportBytes = 1 << 20;
  FactLog log;
  log.m_epoch = 7;
  PutFact(&log, MakeReport("i-1", 5, 1, gen::UPSTREAM_READY));
  PutFact(&log, MakeLongReport("i-2", kReportBytes));
  PutFact(&log, MakeReport("i-3", 5, 1, gen::UPSTREAM_READY));
  std::vector<gen::FactUpdate> updates = TakeAllUpdates(log);
  ASSERT_EQ(updates.size(), 3u);
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(updates[i].facts_size(), 1);
    EXPECT_EQ(updates[i].facts(0).upstream().id(),
              "i-" + std::to_string(i + 1));
  }
}

TEST(FollowerTest, AsksForANewerTableOnceAndAdoptsIt) {
  Follower follower;
  follower.m_seeds = {kA};
  gen::FactUpdate update;
  update.set_publisher_epoch(4);
  update.set_routes_version(3);
  FactUpdateResult first = HandleFactUpdate(&follower, kA, update, At(1'000));
  ASSERT_EQ(first.m_messages.size(), 1u);
  EXPECT_TRUE(first.m_messages[0].m_message.follow().wants_routes());
  FactUpdateResult second = HandleFactUpdate(&follower, kA, update, At(1'010));
  EXPECT_TRUE(second.m_messages.empty());
  update.mutable_routes()->set_version(3);
  FactUpdateResult third = HandleFactUpdate(&follower, kA, update, At(1'020));
  ASSERT_TRUE(third.m_routes.has_value());
  // An older table never replaces a newer one.
  update.mutable_routes()->set_version(2);
  EXPECT_FALSE(HandleFactUpdate(&follower, kB, update, At(1'030)).m_routes);
  EXPECT_EQ(follower.m_routes_version, 3u);
}

/** @return facts on two publishers: kA is in failure domain near, kB in far. */
gen::FactUpdate MakePublisherUpdate() {
  gen::FactUpdate update;
  update.set_publisher_epoch(1);
  for (const char *publisher : {kA, kB}) {
    gen::ControlHost *control = update.add_facts()->mutable_control();
    control->set_name(publisher);
    control->set_endpoint(publisher);
    control->set_domain(publisher == std::string(kA) ? "near" : "far");
  }
  update.set_last_number(2);
  update.set_routes_version(1);
  return update;
}

/** @return an update without facts after MakePublisherUpdate. */
gen::FactUpdate MakeAnnouncement(std::uint64_t routes_version) {
  gen::FactUpdate update;
  update.set_publisher_epoch(1);
  update.set_first_number(2);
  update.set_last_number(2);
  update.set_routes_version(routes_version);
  return update;
}

bool RequestsRoutes(const FactUpdateResult &result) {
  return !result.m_messages.empty() &&
         result.m_messages[0].m_message.follow().wants_routes();
}

// Entry hosts fetched tables from the first control host that announced them,
// mostly over charged links between regions. (0.23 GB in the run
// hutchworks-live-grown trouble-2.)
TEST(FollowerTest, AsksANearPublisherForATableFirst) {
  Follower follower;
  follower.m_routes_version = 1;
  follower.m_near_domains = {"near"};
  HandleFactUpdate(&follower, kA, MakePublisherUpdate(), At(1'000));
  auto wants = [&](const char *publisher, int ms) {
    return RequestsRoutes(
        HandleFactUpdate(&follower, publisher, MakeAnnouncement(2), At(ms)));
  };
  EXPECT_FALSE(wants(kB, 1'010));
  EXPECT_TRUE(wants(kA, 1'020));
  // The near publisher doesn't answer, so another one is asked after a delay.
  EXPECT_TRUE(wants(kB, 1'500));
}

// A control host that was reachable but behind kept the entry hosts near it
// from requesting a table for as long as newer versions followed each other.
TEST(FollowerTest, SeriesOfChangesDoesNotProlongTheWaitForANearPublisher) {
  Follower follower;
  follower.m_routes_version = 1;
  follower.m_near_domains = {"near"};
  gen::FactUpdate update = MakePublisherUpdate();
  HandleFactUpdate(&follower, kA, update, At(1'000));
  HandleFactUpdate(&follower, kB, update, At(1'000));
  std::optional<base::TimePoint> requested_at;
  for (int ms = 1'100; ms < 4'000 && !requested_at; ms += 100) {
    HandleFactUpdate(&follower, kA, MakeAnnouncement(1), At(ms));
    FactUpdateResult result =
        HandleFactUpdate(&follower, kB, MakeAnnouncement(ms), At(ms));
    if (RequestsRoutes(result)) requested_at = At(ms);
  }
  ASSERT_TRUE(requested_at.has_value());
  EXPECT_LE(*requested_at, At(1'100) + kNearRoutesWait);
}

// Each table that arrives starts a new wait, so that later ones are requested
// from a near publisher again.
TEST(FollowerTest, WaitsForANearPublisherAgainAfterEachTable) {
  Follower follower;
  follower.m_routes_version = 1;
  follower.m_near_domains = {"near"};
  gen::FactUpdate update = MakePublisherUpdate();
  HandleFactUpdate(&follower, kA, update, At(1'000));
  HandleFactUpdate(&follower, kB, update, At(1'000));
  EXPECT_FALSE(RequestsRoutes(
      HandleFactUpdate(&follower, kB, MakeAnnouncement(2), At(1'100))));
  gen::FactUpdate table = MakeAnnouncement(2);
  table.mutable_routes()->set_version(2);
  HandleFactUpdate(&follower, kA, table, At(1'200));
  EXPECT_FALSE(RequestsRoutes(
      HandleFactUpdate(&follower, kB, MakeAnnouncement(3), At(1'900))));
  EXPECT_TRUE(RequestsRoutes(
      HandleFactUpdate(&follower, kA, MakeAnnouncement(3), At(1'910))));
}

// An older quarantine must not replace a newer one: it would admit requests
// that crash runners.
TEST(FollowerTest, AdoptsOnlyANewerQuarantineAndStatesItsVersion) {
  Follower follower;
  gen::FactUpdate update = MakeAnnouncement(0);
  update.mutable_quarantine()->set_version(3);
  FactUpdateResult first = HandleFactUpdate(&follower, kA, update, At(1'000));
  ASSERT_TRUE(first.m_quarantine.has_value());
  ASSERT_EQ(first.m_messages.size(), 1u);
  EXPECT_EQ(first.m_messages[0].m_message.follow().quarantine_version(), 3u);
  EXPECT_FALSE(HandleFactUpdate(&follower, kB, update, At(1'010)).m_quarantine);
  update.mutable_quarantine()->set_version(2);
  EXPECT_FALSE(HandleFactUpdate(&follower, kB, update, At(1'020)).m_quarantine);
}

TEST(FollowerTest, FollowsSeedsAndKnownHostsOncePerPeriod) {
  Follower follower;
  follower.m_own_endpoint = kB;
  follower.m_seeds = {kA, kB};
  EXPECT_EQ(TickFollower(&follower, At(0)).size(), 1u);
  EXPECT_TRUE(TickFollower(&follower, At(100)).empty());
  EXPECT_EQ(TickFollower(&follower, At(600)).size(), 1u);
}

}  // namespace
}  // namespace wasabiwind::fleet
