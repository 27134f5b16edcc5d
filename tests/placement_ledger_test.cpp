/** @file placement_ledger_test.cpp Commands that change the ledger of grants.
 */

#include <gtest/gtest.h>

#include <algorithm>

#include "base/random_func.h"
#include "placement_test_helpers.h"

namespace wasabiwind::placement {
namespace {

using base::ErrorKind;

class LedgerTest : public testing::Test {
 protected:
  LedgerTest() { EXPECT_TRUE(Begin(1)); }

  base::Result<void> Execute(gen::PlacementCommand command) {
    return ExecuteCommand(&m_ledger, command);
  }

  base::Result<void> Begin(std::uint64_t term) {
    m_term = term;
    gen::PlacementCommand command;
    command.set_term(term);
    command.mutable_begin_term();
    return Execute(command);
  }

  gen::PlacementCommand MakeReserve(const std::string &scope,
                                    const std::string &runner,
                                    std::int64_t bytes) {
    gen::PlacementCommand command;
    command.set_term(m_term);
    gen::ReserveCommand *reserve = command.mutable_reserve();
    reserve->set_decided(2);
    reserve->set_max_per_domain(1);
    reserve->set_runner_memory_bytes(10);
    gen::Grant *grant = reserve->mutable_grant();
    grant->set_scope(scope);
    grant->set_deployment(scope);
    grant->set_target("m" + scope + "@1");
    grant->set_runner(runner);
    grant->set_domain("domain of " + runner);
    grant->set_runner_incarnation(1);
    grant->set_bytes(bytes);
    grant->mutable_fence()->set_term(m_term);
    grant->mutable_fence()->set_sequence(++m_sequence);
    return command;
  }

  gen::PlacementCommand MakeUnload(std::uint64_t grant_id) {
    gen::PlacementCommand command;
    command.set_term(m_term);
    command.mutable_begin_unload()->set_grant_id(grant_id);
    command.mutable_begin_unload()->set_runner_incarnation(1);
    command.mutable_begin_unload()->mutable_fence()->set_term(m_term);
    command.mutable_begin_unload()->mutable_fence()->set_sequence(++m_sequence);
    return command;
  }

  gen::PlacementCommand MakeRelease(std::uint64_t grant_id,
                                    gen::ReleaseReason reason,
                                    std::uint64_t newer_incarnation = 0) {
    gen::PlacementCommand command;
    command.set_term(m_term);
    command.mutable_release()->set_grant_id(grant_id);
    command.mutable_release()->set_reason(reason);
    command.mutable_release()->set_newer_incarnation(newer_incarnation);
    return command;
  }

  Ledger m_ledger;
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
};

TEST_F(LedgerTest, RefusesMemoryReplicasAndDomainsAboveTheirBound) {
  ASSERT_TRUE(Execute(MakeReserve("a", "r1", 6)));
  EXPECT_EQ(Execute(MakeReserve("b", "r1", 5)).error().m_kind,
            ErrorKind::kOverloaded);
  gen::PlacementCommand same_domain = MakeReserve("a", "r2", 6);
  same_domain.mutable_reserve()->mutable_grant()->set_domain("domain of r1");
  EXPECT_FALSE(Execute(same_domain));
  ASSERT_TRUE(Execute(MakeReserve("a", "r2", 6)));
  EXPECT_EQ(Execute(MakeReserve("a", "r3", 6)).error().m_kind,
            ErrorKind::kOverloaded);
  EXPECT_FALSE(Execute(MakeReserve("a", "r1", 1)));
}

/** Guards against a leader that acts after its successor has begun. */
TEST_F(LedgerTest, RefusesOlderTermsAndFences) {
  gen::PlacementCommand late = MakeReserve("a", "r1", 1);
  gen::PlacementCommand second = MakeReserve("b", "r1", 1);
  ASSERT_TRUE(Execute(second));
  EXPECT_EQ(Execute(late).error().m_kind, ErrorKind::kConflict);
  gen::PlacementCommand old = MakeReserve("a", "r1", 1);
  ASSERT_TRUE(Begin(3));
  EXPECT_EQ(Execute(old).error().m_kind, ErrorKind::kConflict);
  EXPECT_FALSE(Begin(3));
  EXPECT_FALSE(Begin(2));
}

/** Guards against memory that is freed without proof that the replica is gone.
 */
TEST_F(LedgerTest, ReleaseNeedsItsReason) {
  ASSERT_TRUE(Execute(MakeReserve("a", "r1", 6)));
  EXPECT_FALSE(Execute(MakeRelease(1, gen::RELEASE_UNLOADED)));
  EXPECT_FALSE(Execute(MakeRelease(1, gen::RELEASE_INCARNATION_ENDED, 1)));
  EXPECT_FALSE(Execute(MakeRelease(2, gen::RELEASE_UNLOADED)));
  ASSERT_TRUE(Execute(MakeUnload(1)));
  EXPECT_EQ(GetReservedBytes(m_ledger, "r1"), 6);
  ASSERT_TRUE(Execute(MakeRelease(1, gen::RELEASE_UNLOADED)));
  EXPECT_EQ(GetReservedBytes(m_ledger, "r1"), 0);
  EXPECT_EQ(CountReplicas(m_ledger, "a"), 0);
}

/** Guards against a validation that differs from the execution, indexes that
 * diverge from the grants, and an incomplete snapshot. */
TEST_F(LedgerTest, RandomCommandsKeepSumsAndSnapshots) {
  base::Random random{20261204};
  int accepted = 0;
  for (int step = 0; step < 5'000; ++step) {
    std::uint64_t next_id = m_ledger.m_next_grant_id;
    std::uint64_t id =
        next_id -
        base::NextRandomBelow(&random, std::min<std::uint64_t>(next_id, 10));
    gen::PlacementCommand command;
    command.set_term(m_term);
    switch (base::NextRandomBelow(&random, 6)) {
      case 0:
        command.mutable_confirm_load()->set_grant_id(id);
        break;
      case 1:
        command.mutable_retire()->set_grant_id(id);
        break;
      case 2:
        command = MakeUnload(id);
        break;
      case 3:
        command = MakeRelease(id, gen::RELEASE_UNLOADED);
        break;
      default:
        command = MakeReserve(
            std::string(1, "abc"[base::NextRandomBelow(&random, 3)]),
            "r" + std::to_string(base::NextRandomBelow(&random, 4)),
            1 + static_cast<std::int64_t>(base::NextRandomBelow(&random, 5)));
        break;
    }
    bool is_valid = ValidateCommand(m_ledger, command).has_value();
    bool is_executed = Execute(command).has_value();
    ASSERT_EQ(is_valid, is_executed);
    if (is_executed) ++accepted;
    std::map<std::string, std::int64_t> bytes;
    std::map<std::string, int> replicas;
    for (const auto &[grant_id, grant] : m_ledger.m_grants) {
      bytes[grant.runner()] += grant.bytes();
      ++replicas[grant.scope()];
      ASSERT_EQ(m_ledger.m_in_transition.contains(grant_id),
                grant.state() != gen::GRANT_LOADED);
    }
    for (int i = 0; i < 4; ++i) {
      std::string runner = "r" + std::to_string(i);
      ASSERT_EQ(GetReservedBytes(m_ledger, runner), bytes[runner]);
      ASSERT_LE(bytes[runner], 10);
    }
    for (const char *scope : {"a", "b", "c"}) {
      ASSERT_EQ(CountReplicas(m_ledger, scope), replicas[scope]);
      ASSERT_LE(replicas[scope], 2);
    }
  }
  EXPECT_GT(accepted, 500);
  std::string bytes = SerializeLedger(m_ledger);
  auto restored = RestoreLedger(bytes);
  ASSERT_TRUE(restored);
  EXPECT_EQ(SerializeLedger(*restored), bytes);
  EXPECT_EQ(restored->m_in_transition, m_ledger.m_in_transition);
  EXPECT_EQ(restored->m_runner_bytes, m_ledger.m_runner_bytes);
  EXPECT_FALSE(RestoreLedger("\xff\xff"));
}

}  // namespace
}  // namespace wasabiwind::placement
