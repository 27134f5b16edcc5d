/** @file fleet_group_policy_test.cpp Membership changes of the control group.
 */

#include <gtest/gtest.h>

#include "fleet/group_policy_func.h"

namespace wasabiwind::fleet {
namespace {

using replica::HostIdentity;
using replica::Member;
using replica::MemberChangeKind;
using std::chrono::milliseconds;

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) + milliseconds(ms);
}

HostIdentity MakeIdentity(const std::string &host, std::uint64_t incarnation) {
  return HostIdentity{base::NodeId(host), incarnation};
}

/** State of leader "a" of the voters a, b and c. */
replica::RaftState MakeLeader(base::TimePoint heard_at) {
  replica::RaftState state;
  state.m_role = replica::Role::kLeader;
  state.m_self = MakeIdentity("a", 1);
  for (const char *host : {"a", "b", "c"}) {
    state.m_members.push_back(
        Member{MakeIdentity(host, 1), true, "10.0.0.1:1", ""});
    if (std::string(host) == "a") continue;
    state.m_progress[base::NodeId(host)].m_heard_at = heard_at;
  }
  return state;
}

JoinCandidates MakeCandidate(const std::string &host, std::uint64_t incarnation,
                             base::TimePoint heard_at) {
  JoinCandidate candidate;
  candidate.m_identity = MakeIdentity(host, incarnation);
  candidate.m_endpoint = "10.0.0.9:1";
  candidate.m_heard_at = heard_at;
  return {{base::NodeId(host), candidate}};
}

void AddStandby(replica::RaftState *state, base::TimePoint heard_at) {
  state->m_members.push_back(
      Member{MakeIdentity("d", 4), false, "10.0.0.9:1", ""});
  state->m_progress[base::NodeId("d")].m_heard_at = heard_at;
}

TEST(GroupPolicyTest, HealthyGroupIsNotChanged) {
  EXPECT_FALSE(PlanMemberChange(MakeLeader(At(0)), {}, {}, At(100)));
}

// A partition alone must not shrink the group: the host may return.
TEST(GroupPolicyTest, SilentVoterIsKeptWithoutStandby) {
  EXPECT_FALSE(PlanMemberChange(MakeLeader(At(0)), {}, {}, At(60'000)));
}

TEST(GroupPolicyTest, AddsAHostThatAsksToJoin) {
  auto change = PlanMemberChange(MakeLeader(At(0)),
                                 MakeCandidate("d", 4, At(50)), {}, At(100));
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_kind, MemberChangeKind::kAdd);
  EXPECT_EQ(change->m_host.Value(), "d");
}

TEST(GroupPolicyTest, LostVoterIsRemovedForACaughtUpStandby) {
  replica::RaftState state = MakeLeader(At(0));
  state.m_progress[base::NodeId("b")].m_heard_at = At(1'900);
  AddStandby(&state, At(1'900));
  auto change = PlanMemberChange(state, {}, {}, At(2'000));
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_kind, MemberChangeKind::kRemove);
  EXPECT_EQ(change->m_host.Value(), "c");
}

TEST(GroupPolicyTest, LaggingStandbyReplacesNoVoter) {
  replica::RaftState state = MakeLeader(At(0));
  state.m_progress[base::NodeId("b")].m_heard_at = At(1'900);
  AddStandby(&state, At(1'900));
  state.m_commit_index = 5;
  EXPECT_FALSE(PlanMemberChange(state, {}, {}, At(2'000)));
}

// A host that lost its disk must not vote under its old identity.
TEST(GroupPolicyTest, HostWithANewDiskIsAcceptedUnderItsNewIdentity) {
  auto change = PlanMemberChange(MakeLeader(At(0)),
                                 MakeCandidate("c", 77, At(50)), {}, At(100));
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_kind, MemberChangeKind::kReplace);
  EXPECT_EQ(change->m_incarnation, 77u);
}

TEST(GroupPolicyTest, OneChangeAtATime) {
  replica::RaftState state = MakeLeader(At(0));
  state.m_members_index = 3;
  state.m_commit_index = 2;
  EXPECT_FALSE(
      PlanMemberChange(state, MakeCandidate("d", 4, At(50)), {}, At(100)));
}

TEST(GroupPolicyTest, OnlyTheLeaderChangesTheGroup) {
  replica::RaftState state = MakeLeader(At(0));
  state.m_role = replica::Role::kFollower;
  EXPECT_FALSE(
      PlanMemberChange(state, MakeCandidate("d", 4, At(50)), {}, At(100)));
}

TEST(GroupPolicyTest, SilentStandbyIsRemoved) {
  replica::RaftState state = MakeLeader(At(6'000));
  AddStandby(&state, At(0));
  auto change = PlanMemberChange(state, {}, {}, At(6'100));
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_host.Value(), "d");
}

}  // namespace
}  // namespace wasabiwind::fleet
