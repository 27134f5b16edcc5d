/** @file gateway_choose_test.cpp Choice of upstreams and of addresses. */

#include <gtest/gtest.h>

#include "fleet/region_digest_func.h"
#include "gateway/choose_func.h"
#include "gateway/directory_func.h"
#include "gateway/runner_load_func.h"

namespace wasabiwind::gateway {
namespace {

constexpr const char *kPublisher = "10.0.0.1:7000";

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) +
         std::chrono::milliseconds(ms);
}

/** Runners i-1 (domain near) and i-2 (domain far), both with model m. */
class ChooseTest : public testing::Test {
 protected:
  ChooseTest() {
    m_service.set_name("llm");
    m_service.mutable_engine()->set_kv_tokens(10'000);
    m_location.m_domain = "near";
    m_location.m_region = "r1";
    m_location.m_region_by_domain = {{"near", "r1"}, {"far", "r2"}};
    m_view.m_publishers[kPublisher].m_heard_at = At(0);
    Add("i-1", "10.1.0.1:80", "near", gen::UPSTREAM_READY);
    Add("i-2", "10.2.0.1:80", "far", gen::UPSTREAM_READY);
    m_metadata.m_id = "r";
    m_metadata.m_model = "m";
    m_metadata.m_prompt_tokens = 1'000;
    m_metadata.m_parts = {{"p1", 600}, {"p2", 300}, {"own", 100}};
  }

  void Add(const std::string &id, const std::string &address,
           const std::string &domain, gen::UpstreamState state) {
    gen::Fact fact;
    gen::UpstreamReport *report = fact.mutable_upstream();
    report->set_id(id);
    report->set_born_ms(5);
    report->set_report_number(++m_number);
    report->set_service("llm");
    report->set_address(address);
    report->set_domain(domain);
    report->set_state(state);
    report->add_models()->set_name("m");
    fleet::ApplyFact(&m_view, kPublisher, fact, At(0));
  }

  Choice Choose() {
    ChoiceRequest request;
    request.m_metadata = &m_metadata;
    request.m_service = &m_service;
    request.m_prefix_keys = MakePrefixKeys(m_metadata);
    request.m_excluded = m_excluded;
    return ChooseUpstream(m_view, &m_stats, m_location, request, At(10));
  }

  std::uint64_t m_number = 0;
  gen::RoutedService m_service;
  Location m_location;
  fleet::FleetView m_view;
  StatsById m_stats;
  RequestMetadata m_metadata;
  std::set<std::string> m_excluded;
};

// A runner may leave without ever reporting it: its answers are all that says
// so, and a record that says ready afterwards is older or wrong.
TEST_F(ChooseTest, RunnerThatSaysThatItLeavesGetsNothingUntilItRestarts) {
  ASSERT_EQ(Choose().m_upstream, "i-1");
  m_stats["i-1"].m_is_leaving = true;
  Add("i-1", "10.1.0.1:80", "near", gen::UPSTREAM_READY);
  EXPECT_EQ(Choose().m_upstream, "i-2");
  gen::Fact restarted;
  *restarted.mutable_upstream() = m_view.m_upstreams["i-1"].m_report;
  restarted.mutable_upstream()->set_born_ms(6);
  fleet::ApplyFact(&m_view, kPublisher, restarted, At(0));
  EXPECT_EQ(Choose().m_upstream, "i-1");
}

TEST_F(ChooseTest, PausedRunnersGetNothingAndTheFirstEndIsKnown) {
  ASSERT_EQ(Choose().m_upstream, "i-1");
  m_stats["i-1"].m_paused_until = At(500);
  EXPECT_EQ(Choose().m_upstream, "i-2");
  m_stats["i-2"].m_paused_until = At(300);
  Choice choice = Choose();
  EXPECT_EQ(choice.m_problem, ChoiceProblem::kPaused);
  EXPECT_EQ(choice.m_pause_ends_at, At(300));
}

TEST_F(ChooseTest, PrefersTheRunnerOfItsOwnDomain) {
  m_metadata.m_parts.clear();
  EXPECT_EQ(Choose().m_upstream, "i-1");
}

TEST_F(ChooseTest, PrefersTheRunnerThatHasCachedThePrompt) {
  m_metadata.m_prompt_tokens = 9'000;
  m_metadata.m_parts = {{"p1", 8'900}, {"own", 100}};
  Choose();
  RecordCachedPrompt(&m_stats["i-2"].m_prefix_cache, m_metadata,
                     MakePrefixKeys(m_metadata), 10'000);
  EXPECT_EQ(Choose().m_upstream, "i-2");
}

// A leaving upstream must get no new request.
TEST_F(ChooseTest, LeavingRunnerIsNotChosen) {
  Add("i-1", "10.1.0.1:80", "near", gen::UPSTREAM_LEAVING);
  EXPECT_EQ(Choose().m_upstream, "i-2");
}

TEST_F(ChooseTest, SaysThatNoRunnerHoldsTheModel) {
  m_metadata.m_model = "other";
  EXPECT_EQ(Choose().m_problem, ChoiceProblem::kNoModel);
  m_metadata.m_model = "m";
  m_metadata.m_adapter = "a1";
  EXPECT_EQ(Choose().m_problem, ChoiceProblem::kNoAdapter);
}

// Guards against requests that fail one after the other because the only runner
// with their model refuses connections, while no further replica is requested.
// (Seen in hutchworks-live trouble-1.)
TEST_F(ChooseTest, RunnerThatRefusesConnectionsDoesNotCountAsAReplica) {
  Choose();
  RecordUnreachable(&m_stats["i-1"], At(9));
  EXPECT_EQ(Choose().m_upstream, "i-2");
  RecordUnreachable(&m_stats["i-2"], At(9));
  EXPECT_EQ(Choose().m_problem, ChoiceProblem::kNoModel);
}

// Guards against retries that keep going to a runner which is unloading their
// model, and so use up the retry budget. (Seen in spillsack-core trouble-1.)
TEST_F(ChooseTest, RunnerThatRefusedAModelIsPausedForThatModel) {
  Choose();
  RecordModelRefused(&m_stats["i-1"], "m", std::chrono::milliseconds(300),
                     At(9));
  EXPECT_EQ(Choose().m_upstream, "i-2");
}

TEST_F(ChooseTest, ReportsThatAllRunnersAreExcluded) {
  m_excluded = {"i-1", "i-2"};
  EXPECT_EQ(Choose().m_problem, ChoiceProblem::kAllExcluded);
}

TEST_F(ChooseTest, RestartResetsTheStatistics) {
  Choose();
  RecordUnreachable(&m_stats["i-1"], At(9));
  gen::Fact fact;
  *fact.mutable_upstream() = m_view.m_upstreams["i-1"].m_report;
  fact.mutable_upstream()->set_born_ms(6);
  fleet::ApplyFact(&m_view, kPublisher, fact, At(9));
  m_metadata.m_parts.clear();
  EXPECT_EQ(Choose().m_upstream, "i-1");
}

// Guards against entry hosts that each retry a crashed runner every second
// until the control hosts call it silent after 3 s. (Seen in spillsack-core
// trouble-1.)
TEST(UpstreamStatsTest, PauseGrowsWhileConnectionsAreRefused) {
  UpstreamStats stats;
  RecordUnreachable(&stats, At(0));
  EXPECT_EQ(stats.m_down_until, At(1'000));
  // Requests that fail at the same time count as one failure.
  RecordUnreachable(&stats, At(10));
  EXPECT_EQ(stats.m_down_until, At(1'000));
  RecordUnreachable(&stats, At(1'000));
  EXPECT_EQ(stats.m_down_until, At(3'000));
  RecordSuccess(&stats, base::milliseconds(10), base::milliseconds(10),
                At(3'000));
  RecordUnreachable(&stats, At(3'010));
  EXPECT_EQ(stats.m_down_until, At(4'010));
}

TEST(PrefixCacheEstimateTest, EvictsTheLeastRecentlyUsedAtItsCapacity) {
  PrefixCacheEstimate cache;
  RequestMetadata first;
  first.m_parts = {{"a", 60}, {"b", 30}};
  RequestMetadata second;
  second.m_parts = {{"c", 60}};
  RecordCachedPrompt(&cache, first, MakePrefixKeys(first), 100);
  EXPECT_EQ(CountCachedTokens(cache, first, MakePrefixKeys(first)), 90u);
  RecordCachedPrompt(&cache, second, MakePrefixKeys(second), 100);
  EXPECT_EQ(CountCachedTokens(cache, second, MakePrefixKeys(second)), 60u);
  EXPECT_LE(cache.m_tokens, 100u);
}

gen::EntryHost MakeEntry(const std::string &name, const std::string &domain,
                         const std::string &region, gen::EntryState state) {
  gen::EntryHost host;
  host.set_name(name);
  host.set_born_ms(1);
  host.set_report_number(1);
  host.set_caller_address(name + ":80");
  host.set_domain(domain);
  host.set_region(region);
  host.set_state(state);
  return host;
}

TEST(DirectoryTest, ListsServingHostsOfTheCallersDomain) {
  fleet::FleetView view;
  view.m_publishers[kPublisher].m_heard_at = At(0);
  for (const gen::EntryHost &host :
       {MakeEntry("b", "near", "r1", gen::ENTRY_SERVING),
        MakeEntry("c", "near", "r1", gen::ENTRY_LEAVING),
        MakeEntry("d", "far", "r2", gen::ENTRY_SERVING)}) {
    gen::Fact fact;
    *fact.mutable_entry() = host;
    fleet::ApplyFact(&view, kPublisher, fact, At(0));
  }
  gen::EntryHost own = MakeEntry("a", "near", "r1", gen::ENTRY_SERVING);
  std::vector<std::string> addresses =
      ListAddresses(view, {}, own, {"r1", "near"}, At(10));
  EXPECT_EQ(addresses, (std::vector<std::string>{"a:80", "b:80"}));
  own.set_state(gen::ENTRY_LEAVING);
  addresses = ListAddresses(view, {}, own, {"r1", "near"}, At(10));
  EXPECT_EQ(addresses, (std::vector<std::string>{"b:80", "d:80"}));
}

// Missing heartbeats can't be detected without contact to a control host.
TEST(DirectoryTest, KeepsTheLastKnownHostsWithoutControlHosts) {
  fleet::FleetView view;
  view.m_publishers[kPublisher].m_heard_at = At(0);
  gen::Fact fact;
  *fact.mutable_entry() = MakeEntry("b", "near", "r1", gen::ENTRY_SERVING);
  fleet::ApplyFact(&view, kPublisher, fact, At(0));
  gen::EntryHost own = MakeEntry("a", "near", "r1", gen::ENTRY_LEAVING);
  EXPECT_EQ(ListAddresses(view, {}, own, {"r1", "near"}, At(60'000)).size(),
            1u);
}

// Guards against two hosts that send prompts to the same replica while another
// one is idle, because neither knows of the other's requests.
// (Seen in hutchworks-live-grown quiet-1.)
TEST_F(ChooseTest, TrackedLoadIncludesRequestsOfOtherHosts) {
  m_metadata.m_parts.clear();
  ChoiceRequest request;
  request.m_metadata = &m_metadata;
  request.m_service = &m_service;
  Candidates candidates =
      ListCandidates(m_view, &m_stats, m_location, request, At(10));
  ASSERT_EQ(candidates.m_list.size(), 2u);
  EXPECT_EQ(PickCandidate(candidates).m_upstream, "i-1");
  RunnerLoads loads;
  gen::LoadUpdate update;
  update.set_upstream("i-1");
  update.set_born_ms(5);
  update.set_request("other");
  update.set_event(gen::LOAD_SENT);
  update.set_unread_tokens(9'000);
  update.set_patience_ms(6'000);
  ApplyLoadUpdate(&loads, update, 100'000, At(0));
  gen::LoadQuery query;
  query.set_upstream("i-1");
  for (Candidate &candidate : candidates.m_list) {
    if (candidate.m_upstream != "i-1") continue;
    ApplyLoad(request, MakeLoadAnswer(&loads, query, At(10)), At(10),
              &candidate);
  }
  EXPECT_EQ(PickCandidate(candidates).m_upstream, "i-2");
}

TEST(RunnerLoadTest, RequestsAreDroppedAtTheirEndOrTimeout) {
  RunnerLoads loads;
  gen::LoadUpdate update;
  update.set_upstream("i-1");
  update.set_born_ms(5);
  update.set_event(gen::LOAD_SENT);
  update.set_unread_tokens(100);
  update.set_patience_ms(1'000);
  for (const char *id : {"a", "b", "c"}) {
    update.set_request(id);
    ApplyLoadUpdate(&loads, update, 1'000, At(0));
  }
  gen::LoadQuery query;
  query.set_upstream("i-1");
  EXPECT_EQ(MakeLoadAnswer(&loads, query, At(1)).in_flight(), 3u);
  update.set_request("a");
  update.set_event(gen::LOAD_READ);
  ApplyLoadUpdate(&loads, update, 1'000, At(2));
  update.set_request("b");
  update.set_event(gen::LOAD_OVER);
  ApplyLoadUpdate(&loads, update, 1'000, At(3));
  // An update that comes twice changes nothing.
  ApplyLoadUpdate(&loads, update, 1'000, At(4));
  gen::LoadAnswer answer = MakeLoadAnswer(&loads, query, At(5));
  EXPECT_EQ(answer.in_flight(), 2u);
  EXPECT_EQ(answer.unread_tokens(), 100u);
  answer = MakeLoadAnswer(&loads, query, At(1'100));
  EXPECT_EQ(answer.in_flight(), 0u);
  EXPECT_EQ(answer.unread_tokens(), 0u);
}

// Guards against a prompt that counts as cached before its first prefill has
// ended: seven requests with the same prompt went to one runner at once, each
// prefilled it, and the streams there paused. (Seen in spillsack-core-grown
// quiet-1.)
TEST(RunnerLoadTest, PromptCountsAsCachedAfterItsPrefill) {
  RunnerLoads loads;
  gen::LoadUpdate update;
  update.set_upstream("i-1");
  update.set_born_ms(5);
  update.set_request("a");
  update.set_event(gen::LOAD_SENT);
  update.set_unread_tokens(900);
  update.set_patience_ms(1'000);
  gen::LoadQuery query;
  query.set_upstream("i-1");
  for (std::uint64_t key : {11u, 12u}) {
    update.add_chain_keys(key);
    update.add_part_tokens(450);
    query.add_chain_keys(key);
    query.add_part_tokens(450);
  }
  ApplyLoadUpdate(&loads, update, 10'000, At(0));
  EXPECT_EQ(MakeLoadAnswer(&loads, query, At(1)).kept_tokens(), 0u);
  update.set_event(gen::LOAD_READ);
  ApplyLoadUpdate(&loads, update, 10'000, At(2));
  EXPECT_EQ(MakeLoadAnswer(&loads, query, At(3)).kept_tokens(), 900u);
}

TEST(RunnerLoadTest, RestartOfARunnerResetsItsLoad) {
  RunnerLoads loads;
  gen::LoadUpdate update;
  update.set_upstream("i-1");
  update.set_born_ms(5);
  update.set_request("a");
  update.set_patience_ms(1'000);
  ApplyLoadUpdate(&loads, update, 1'000, At(0));
  update.set_born_ms(9);
  update.set_request("b");
  ApplyLoadUpdate(&loads, update, 1'000, At(1));
  // A late update about the previous start is ignored.
  update.set_born_ms(5);
  update.set_request("c");
  ApplyLoadUpdate(&loads, update, 1'000, At(2));
  gen::LoadQuery query;
  query.set_upstream("i-1");
  EXPECT_EQ(MakeLoadAnswer(&loads, query, At(3)).in_flight(), 1u);
}

// Hosts that disagree on the load tracker would each see a part of the load.
TEST(RunnerLoadTest, HostsAgreeOnOneTrackerInTheRunnersRegion) {
  Location location;
  location.m_region_by_domain = {{"near", "r1"}, {"far", "r2"}};
  fleet::FleetView control;
  control.m_publishers[kPublisher].m_heard_at = At(0);
  for (int i = 0; i < 6; ++i) {
    gen::Fact fact;
    gen::EntryHost *host = fact.mutable_entry();
    host->set_name("e" + std::to_string(i));
    host->set_region(i < 3 ? "r1" : "r2");
    host->set_state(gen::ENTRY_SERVING);
    host->set_born_ms(1);
    host->set_report_number(1);
    fleet::ApplyFact(&control, kPublisher, fact, At(0));
  }
  // Entry hosts in both regions merge the digests in their own order.
  std::vector<gen::RegionDigest> digests =
      fleet::MakeRegionDigests(control, At(1));
  std::vector<fleet::FleetView> views(2);
  for (fleet::FleetView &view : views) {
    std::reverse(digests.begin(), digests.end());
    for (const gen::RegionDigest &digest : digests) {
      gen::Fact fact;
      *fact.mutable_region() = digest;
      fleet::ApplyFact(&view, kPublisher, fact, At(1));
    }
    EXPECT_EQ(fleet::CountEntryHosts(view), 6u);
  }
  std::set<std::string> trackers;
  for (int runner = 0; runner < 30; ++runner) {
    std::string id = "i-" + std::to_string(runner);
    const gen::EntryHost *first =
        FindLoadTracker(views[0], location, id, "near");
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first->region(), "r1");
    const gen::EntryHost *other =
        FindLoadTracker(views[1], location, id, "near");
    ASSERT_NE(other, nullptr);
    EXPECT_EQ(other->name(), first->name());
    trackers.insert(first->name());
  }
  EXPECT_EQ(trackers.size(), 3u);
}

}  // namespace
}  // namespace wasabiwind::gateway
