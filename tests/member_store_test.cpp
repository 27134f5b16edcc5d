/** @file member_store_test.cpp Member records and configuration deltas. */

#include <gtest/gtest.h>

#include <iostream>

#include "member/parent_func.h"

namespace wasabiwind::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TimePoint kStart{seconds(1000)};
const MemberOptions kOptions;

gen::UpstreamRecord MakeUpstream(const std::string &name,
                                 std::uint64_t incarnation,
                                 std::uint64_t sequence) {
  gen::UpstreamRecord record;
  record.set_upstream(name);
  record.set_incarnation(incarnation);
  record.set_sequence(sequence);
  return record;
}

gen::NodeRecord MakeNode(const std::string &name, const std::string &domain) {
  gen::NodeRecord node;
  node.set_node(name);
  node.set_incarnation(1);
  node.set_region("r");
  node.set_domain(domain);
  node.set_message_address(name + ":1");
  return node;
}

/** Guards against a late announcement that restores an old incarnation. */
TEST(MemberStoreTest, OlderIncarnationIsIgnored) {
  MemberStore store;
  BeginMemberTerm(&store, 1);
  EXPECT_TRUE(
      RecordUpstream(&store, MakeUpstream("a", 5, 1), kStart, kOptions));
  EXPECT_FALSE(
      RecordUpstream(&store, MakeUpstream("a", 4, 9), kStart, kOptions));
  EXPECT_FALSE(
      RecordUpstream(&store, MakeUpstream("a", 5, 1), kStart, kOptions));
  EXPECT_TRUE(
      RecordUpstream(&store, MakeUpstream("a", 6, 0), kStart, kOptions));
  EXPECT_EQ(FindUpstream(store, "a")->incarnation(), 6);
}

/** Guards against a store that grows with each change of a record. */
TEST(MemberStoreTest, KeepsOnlyTheLastChangeOfARecord) {
  MemberStore store;
  BeginMemberTerm(&store, 1);
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    RecordUpstream(&store, MakeUpstream("a", 1, i), kStart, kOptions);
  }
  EXPECT_EQ(store.m_entries.size(), 1);
  EXPECT_EQ(store.m_by_sequence.size(), 1);
  MemberSelection selection = SelectMemberDeltas(store, 1, 0, 1000);
  ASSERT_EQ(selection.m_deltas.size(), 1);
  EXPECT_EQ(selection.m_deltas[0]->sequence(), 1000);
}

TEST(MemberStoreTest, FullStoreRejectsNewUpstreamsButAcceptsChanges) {
  MemberOptions options;
  options.m_max_upstreams = 2;
  MemberStore store;
  BeginMemberTerm(&store, 1);
  EXPECT_TRUE(RecordUpstream(&store, MakeUpstream("a", 1, 1), kStart, options));
  EXPECT_TRUE(RecordUpstream(&store, MakeUpstream("b", 1, 1), kStart, options));
  EXPECT_FALSE(
      RecordUpstream(&store, MakeUpstream("c", 1, 1), kStart, options));
  gen::UpstreamRecord gone = MakeUpstream("a", 1, 2);
  gone.set_state(gen::UPSTREAM_GONE);
  EXPECT_TRUE(RecordUpstream(&store, gone, kStart, options));
  EXPECT_TRUE(RecordUpstream(&store, MakeUpstream("c", 1, 1), kStart, options));
  EXPECT_EQ(store.m_rejected_reports, 1);
}

/** Guards against an outage after a leader change: records must stay usable. */
TEST(MemberStoreTest, NewTermKeepsRecordsUntilCarryOverTimeEnds) {
  MemberStore store;
  BeginMemberTerm(&store, 1);
  RecordUpstream(&store, MakeUpstream("kept", 1, 1), kStart, kOptions);
  RecordUpstream(&store, MakeUpstream("lost", 1, 1), kStart, kOptions);
  BeginMemberTerm(&store, 2);
  EXPECT_EQ(ListUpstreams(store).size(), 2);
  EXPECT_TRUE(
      RecordUpstream(&store, MakeUpstream("kept", 1, 1), kStart, kOptions));
  base::TimePoint later = kStart + kOptions.m_carry_over_time + milliseconds(1);
  auto dropped = ExpireMembers(&store, later, kOptions);
  ASSERT_EQ(dropped.size(), 1);
  EXPECT_EQ(dropped[0].upstream(), "lost");
  EXPECT_EQ(dropped[0].state(), gen::UPSTREAM_GONE);
  EXPECT_EQ(ListUpstreams(store).size(), 1);
}

/** Guards against a leaving upstream that gets requests again because the
 * leader's older record arrives after the direct notice. */
TEST(MemberStoreTest, DirectNoticeIsNotReplacedByOlderRecord) {
  MemberStore leader;
  MemberStore node;
  BeginMemberTerm(&leader, 1);
  RecordUpstream(&leader, MakeUpstream("a", 1, 1), kStart, kOptions);
  gen::MemberDelta first = *SelectMemberDeltas(leader, 1, 0, 1000).m_deltas[0];
  EXPECT_TRUE(ApplyMemberDelta(&node, 1, first, kStart));
  gen::UpstreamRecord leaving = MakeUpstream("a", 1, 3);
  leaving.set_state(gen::UPSTREAM_LEAVING);
  EXPECT_TRUE(ApplyUpstreamNotice(&node, leaving));
  RecordUpstream(&leader, MakeUpstream("a", 1, 2), kStart, kOptions);
  gen::MemberDelta second = *SelectMemberDeltas(leader, 1, 1, 1000).m_deltas[0];
  EXPECT_FALSE(ApplyMemberDelta(&node, 1, second, kStart));
  EXPECT_EQ(FindUpstream(node, "a")->state(), gen::UPSTREAM_LEAVING);
}

TEST(ConfigLogTest, ServesDeltasOrAsksForSnapshot) {
  MemberOptions options;
  options.m_max_delta_bytes = 200;
  ConfigLog log;
  for (std::uint64_t revision = 1; revision <= 50; ++revision) {
    gen::ConfigDelta delta;
    delta.set_revision(revision);
    delta.add_changes()->mutable_model()->set_name("model");
    EXPECT_TRUE(AppendConfigDelta(&log, delta, options));
    EXPECT_FALSE(AppendConfigDelta(&log, delta, options));
  }
  EXPECT_LE(log.m_bytes, 200);
  EXPECT_TRUE(SelectConfigDeltas(log, 0, 1000).m_needs_snapshot);
  DeltaSelection recent = SelectConfigDeltas(log, 48, 1000);
  ASSERT_EQ(recent.m_deltas.size(), 2);
  EXPECT_EQ(recent.m_deltas[0]->revision(), 49);
  EXPECT_TRUE(SelectConfigDeltas(log, 45, 20).m_has_more);
  EXPECT_TRUE(SelectConfigDeltas(log, 50, 1000).m_deltas.empty());
}

/** Guards against overload of control: of 410 nodes, only relays confirm with
 * it. */
TEST(ParentTest, MostNodesUseRelaysAtTargetSize) {
  MemberStore store;
  BeginMemberTerm(&store, 1);
  std::vector<gen::NodeRecord> nodes;
  for (int i = 0; i < 410; ++i) {
    nodes.push_back(
        MakeNode("node-" + std::to_string(i), "d" + std::to_string(i % 9)));
    RecordNode(&store, nodes.back(), kStart, kOptions);
  }
  int direct = 0;
  std::map<std::string, int> children;
  for (const gen::NodeRecord &node : nodes) {
    std::string parent = ChooseParent(store, node, kOptions);
    if (parent.empty()) {
      ++direct;
    } else {
      ++children[parent];
    }
  }
  EXPECT_EQ(direct, 18);
  for (const auto &[relay, count] : children) EXPECT_LT(count, 40) << relay;
}

TEST(ParentTest, SilentNodeIsRemoved) {
  Parent parent;
  BeginMemberTerm(&parent.m_members, 1);
  gen::ConfirmRequest request;
  *request.mutable_node() = MakeNode("n", "d");
  AnswerAsLeader(&parent, request, milliseconds(0), kStart, kOptions);
  EXPECT_NE(FindNode(parent.m_members, "n"), nullptr);
  base::TimePoint later = kStart + kOptions.m_node_timeout + milliseconds(1);
  LostMembers outcome = TickLeader(&parent, later, kOptions);
  ASSERT_EQ(outcome.m_lost_nodes.size(), 1);
  EXPECT_EQ(FindNode(parent.m_members, "n"), nullptr);
}

/** Traffic between a node and its parent in a system of the target size, in
 * bytes/s. */
struct NodeTraffic {
  double m_confirmations = 0.0;
  double m_residency = 0.0;  ///< replicas that are loaded or unloaded anywhere
  double m_changes = 0.0;    ///< configuration changes
};

NodeTraffic ComputeTraffic() {
  constexpr double kResidencyChangesPerSecond = 0.65;
  constexpr double kConfigChangesPerSecond = 1'100.0 / 86'400.0;
  constexpr int kTargetsPerRunner = 53;  // of 87 models and 41,000 adapters,
                                         // as many as memory allows
  gen::ConfirmRequest request;
  request.set_request_number(1'000'000);
  *request.mutable_node() = MakeNode("entry-host-123.region-a", "domain-a-1");
  request.mutable_node()->set_incarnation(1'796'374'953'000);
  request.mutable_node()->set_caller_address("10.10.10.10:8000");
  request.set_revision(400'000);
  request.set_member_term(1'000);
  request.set_member_sequence(10'000'000);
  gen::ConfirmReply reply;
  reply.set_request_number(1'000'000);
  reply.set_revision(400'000);
  reply.set_age_ms(1'000);
  reply.set_member_term(1'000);
  reply.set_parent("10.10.10.10:7000");
  gen::MemberDelta delta;
  delta.set_sequence(10'000'000);
  gen::UpstreamRecord *runner = delta.mutable_upstream();
  *runner = MakeUpstream("runner-1234.region-a", 1'796'374'953'000, 1'000);
  runner->set_address("10.10.10.10:9000");
  runner->set_region("region-a");
  runner->set_domain("domain-a-1");
  runner->set_memory_bytes(640'000'000'000);
  for (int i = 0; i < kTargetsPerRunner; ++i) {
    gen::LoadedTarget *loaded = runner->add_loaded();
    loaded->set_target("model-12@2026-11/adapter-12345@7");
    loaded->set_bytes(200'000'000);
  }
  gen::ConfigDelta change;
  change.set_revision(400'000);
  gen::Adapter *adapter = change.add_changes()->mutable_adapter();
  adapter->set_name("adapter-12345");
  adapter->set_model("model-12");
  adapter->set_version("7");
  adapter->set_weight_bytes(200'000'000);
  NodeTraffic traffic;
  traffic.m_confirmations =
      static_cast<double>(request.ByteSizeLong() + reply.ByteSizeLong());
  traffic.m_residency =
      kResidencyChangesPerSecond * static_cast<double>(delta.ByteSizeLong());
  traffic.m_changes =
      kConfigChangesPerSecond * static_cast<double>(change.ByteSizeLong());
  return traffic;
}

/** Guards against messages that exceed the budget of 3 KB/s per node. */
TEST(TrafficTest, NodeTrafficStaysWithinBudgetAtTargetSize) {
  constexpr double kBudget = 3'000.0;
  NodeTraffic traffic = ComputeTraffic();
  double total =
      traffic.m_confirmations + traffic.m_residency + traffic.m_changes;
  std::cout << "bytes/s per node: confirmations " << traffic.m_confirmations
            << ", residency " << traffic.m_residency << ", changes "
            << traffic.m_changes << ", total " << total
            << "; a relay with 22 children: " << 23 * total << "\n";
  EXPECT_LT(total, kBudget);
}

/** Guards against the removal of nodes that moved to a relay. */
TEST(ParentTest, NodeBehindRelayStaysWhileTheRelayReportsIt) {
  Parent parent;
  BeginMemberTerm(&parent.m_members, 1);
  gen::ConfirmRequest direct;
  *direct.mutable_node() = MakeNode("n", "d");
  AnswerAsLeader(&parent, direct, milliseconds(0), kStart, kOptions);
  gen::ConfirmRequest relay;
  *relay.mutable_node() = MakeNode("relay", "d");
  relay.add_live_children("n");
  base::TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += kOptions.m_confirm_period;
    AnswerAsLeader(&parent, relay, milliseconds(0), now, kOptions);
    EXPECT_TRUE(TickLeader(&parent, now, kOptions).m_lost_nodes.empty());
  }
  EXPECT_EQ(parent.m_children.m_children.size(), 1);
  relay.clear_live_children();
  for (int i = 0; i < 10; ++i) {
    now += kOptions.m_confirm_period;
    AnswerAsLeader(&parent, relay, milliseconds(0), now, kOptions);
    TickLeader(&parent, now, kOptions);
  }
  EXPECT_EQ(FindNode(parent.m_members, "n"), nullptr);
  EXPECT_NE(FindNode(parent.m_members, "relay"), nullptr);
}

/** Guards against a revision reported as in force that a connected node still
 * lacks. */
TEST(ParentTest, InForceWaitsForEachNodeOrTheLease) {
  Parent parent;
  BeginMemberTerm(&parent.m_members, 1);
  gen::ConfirmRequest request;
  *request.mutable_node() = MakeNode("n", "d");
  AnswerAsLeader(&parent, request, milliseconds(0), kStart, kOptions);
  EXPECT_FALSE(
      GetInForceStatus(parent, 1, kStart, kStart, kOptions).m_in_force);
  base::TimePoint later = kStart + kOptions.m_lease + milliseconds(1);
  EXPECT_TRUE(GetInForceStatus(parent, 1, kStart, later, kOptions).m_in_force);
  request.set_revision(1);
  AnswerAsLeader(&parent, request, milliseconds(0), kStart, kOptions);
  EXPECT_TRUE(GetInForceStatus(parent, 1, kStart, kStart, kOptions).m_in_force);
}

}  // namespace
}  // namespace wasabiwind::member
