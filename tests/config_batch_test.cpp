/** @file config_batch_test.cpp Outcomes and checks of configuration batches. */

#include <gtest/gtest.h>

#include <algorithm>

#include "config/batch_cmd.h"
#include "config/declarations_func.h"
#include "config/state_func.h"
#include "config_test_helpers.h"

namespace wasabiwind::config {
namespace {

constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;

class BatchTest : public testing::Test {
 protected:
  gen::ConfigCommand MakeCommand(const std::vector<gen::Change> &changes) {
    gen::ConfigCommand command;
    command.mutable_batch()->set_operation_id(
        "op-" + std::to_string(m_next_operation++));
    command.mutable_batch()->set_operator_name("asha");
    command.mutable_batch()->set_base_revision(m_state.m_revision.Value());
    command.mutable_batch()->mutable_changes()->Add(changes.begin(),
                                                    changes.end());
    return command;
  }

  BatchResult Apply(const std::vector<gen::Change> &changes) {
    return ExecuteBatch(&m_state, MakeCommand(changes));
  }

  /** Checks that a batch is refused with an error that contains the text and
   * has a remedy. */
  void ExpectRefused(const gen::ConfigCommand &command,
                     const std::string &text) {
    base::Revision before = m_state.m_revision;
    BatchResult result = ExecuteBatch(&m_state, command);
    ASSERT_FALSE(result) << text;
    EXPECT_NE(result.error().m_error.m_message.find(text), std::string::npos)
        << result.error().m_error.m_message;
    EXPECT_FALSE(result.error().m_error.m_remedy.empty());
    EXPECT_EQ(m_state.m_revision, before);
  }

  void ExpectRefused(const std::vector<gen::Change> &changes,
                     const std::string &text) {
    ExpectRefused(MakeCommand(changes), text);
  }

  ConfigState m_state;
  int m_next_operation = 0;
};

/** Guards against executing an operation twice after a lost answer. */
TEST_F(BatchTest, ResendReturnsFirstOutcome) {
  gen::ConfigCommand command = MakeCommand({PutModel("m0", 5)});
  ASSERT_TRUE(ExecuteBatch(&m_state, command));
  ASSERT_TRUE(Apply({PutModel("m0", 6)}));
  BatchResult again = ExecuteBatch(&m_state, command);
  ASSERT_TRUE(again);
  EXPECT_TRUE(again->m_is_resend);
  EXPECT_EQ(again->m_revision, base::Revision(1));
  EXPECT_EQ(ToDeclarations(m_state).model(0).memory_bytes(), 6);
}

/** Guards against a refused operation that succeeds when it is sent again. */
TEST_F(BatchTest, RefusedOperationStaysRefused) {
  gen::ConfigCommand command = MakeCommand({PutAdapter("a0", "m0")});
  ExpectRefused(command, "model m0 doesn't exist");
  ASSERT_TRUE(Apply({PutModel("m0", 5)}));
  BatchResult again = ExecuteBatch(&m_state, command);
  ASSERT_FALSE(again);
  EXPECT_TRUE(again.error().m_is_resend);
}

TEST_F(BatchTest, OperationIdOfAnotherBatchIsRefused) {
  gen::ConfigCommand command = MakeCommand({PutModel("m0", 5)});
  ASSERT_TRUE(ExecuteBatch(&m_state, command));
  command.mutable_batch()->mutable_changes(0)->mutable_model()->set_version(
      "v2");
  ExpectRefused(command, "used for another batch");
}

/** Guards against losing the change of one of two operators. */
TEST_F(BatchTest, ConflictNamesWinner) {
  gen::ConfigCommand first = MakeCommand({PutModel("m0", 5)});
  gen::ConfigCommand second = MakeCommand({PutModel("m0", 6)});
  ASSERT_TRUE(ExecuteBatch(&m_state, first));
  BatchResult result = ExecuteBatch(&m_state, second);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_error.m_kind, base::ErrorKind::kConflict);
  EXPECT_EQ(result.error().m_winning_operation, "op-0");
  EXPECT_EQ(result.error().m_winning_revision, 1U);
}

TEST_F(BatchTest, InvalidBatchesAreRefused) {
  ASSERT_TRUE(
      Apply({PutModel("m0", 5), PutCustomer("c0"), PutDeployment("d0", "m0"),
             PutLimit("l0", "d0"), PutRecorderGroup("Rajkot-a", 2),
             PutService("s0", "Rajkot-a")}));
  gen::Change change = PutModel("m1", 5);
  change.mutable_model()->set_memory_bytes(4);
  ExpectRefused({change}, "less than weight_bytes");
  change = PutDeployment("d1", "m0");
  change.mutable_deployment()->set_min_replicas(3);
  ExpectRefused({change}, "above max_replicas");
  change = PutDeployment("d1", "m0");
  change.mutable_deployment()->set_cut_off("maybe");
  ExpectRefused({change}, "cut_off");
  change = PutDeployment("d1", "m0");
  change.mutable_deployment()->add_regions("Rajkot-a");
  ExpectRefused({change}, "twice");
  change = PutDeployment("d1", "m0");
  change.mutable_deployment()->set_queue_limit(0);
  ExpectRefused({change}, "out of range");
  change = PutLimit("l1", "");
  change.mutable_limit()->set_region("Atlantis-a");
  ExpectRefused({change}, "nothing runs in region");
  change = PutLimit("l1", "");
  change.mutable_limit()->set_requests_per_s(std::nan(""));
  ExpectRefused({change}, "out of range");
  change = PutService("s1", "Rajkot-a");
  change.mutable_service()->clear_home_region();
  ExpectRefused({change}, "home region");
  ExpectRefused({PutModel("m/1", 5)}, "not valid");
  ExpectRefused({PutModel(std::string(60, 'm'), 5)}, "too long");
  ExpectRefused({Delete(PutModel("m0", 5))}, "model m0 doesn't exist");
  ExpectRefused({Delete(PutDeployment("d0", "m0"))}, "deployment d0");
  ExpectRefused({Delete(PutRecorderGroup("Rajkot-a", 2))}, "recorder_group");
  ExpectRefused({PutRecorderGroup("Rajkot-a", 1)}, "doesn't follow epoch 2");
  change = PutRecorderGroup("Rajkot-a", 2);
  change.mutable_recorder_group()->set_members(0, "10.0.0.9:1");
  ExpectRefused({change}, "doesn't follow epoch 2");
  ExpectRefused({Delete(PutCustomer("c9"))}, "doesn't exist");
  ExpectRefused({PutModel("m1", 5), PutModel("m1", 6)}, "twice");
  ExpectRefused(std::vector<gen::Change>{}, "no changes");
  ExpectRefused(std::vector<gen::Change>(1), "names no entity");
}

/** Guards against accepting a deployment that can't be placed on any runner. */
TEST_F(BatchTest, ChecksAgainstRunners) {
  gen::ConfigCommand command =
      MakeCommand({PutModel("m0", 100), PutDeployment("d0", "m0")});
  gen::RegionCapacity *capacity = command.add_facts();
  capacity->set_region("Surat-a");
  ExpectRefused(command, "region Rajkot-a is unknown");
  capacity->set_region("Rajkot-a");
  capacity->set_domains(1);
  capacity->set_largest_runner_bytes(99);
  command.mutable_batch()->set_operation_id("memory");
  ExpectRefused(command, "largest runner");
  capacity->set_largest_runner_bytes(100);
  command.mutable_batch()->set_operation_id("spread");
  command.mutable_batch()
      ->mutable_changes(1)
      ->mutable_deployment()
      ->set_min_replicas(2);
  ExpectRefused(command, "don't fit into 1 failure domains");
  capacity->set_domains(2);
  command.mutable_batch()->set_operation_id("good");
  EXPECT_TRUE(ExecuteBatch(&m_state, command));
}

/** Guards against unbounded growth of the state. */
TEST_F(BatchTest, LimitsAreEnforced) {
  std::vector<gen::Change> many;
  for (int i = 0; i < 14'000; ++i) {
    many.push_back(PutModel("model-with-a-long-name-" + std::to_string(i), 5));
  }
  ExpectRefused(many, "the limit is");
  for (int i = 0; i < 1'100; ++i) ASSERT_TRUE(Apply({PutModel("m0", 1 + i)}));
  EXPECT_EQ(m_state.m_history.size(), kMaxHistory);
  EXPECT_FALSE(GetDeclarationsAt(m_state, base::Revision(50)));
  gen::ConfigCommand late = MakeCommand({PutModel("m0", 1)});
  late.set_accepted_at_ms(8 * kDayMs);
  ASSERT_TRUE(ExecuteBatch(&m_state, late));
  EXPECT_EQ(m_state.m_operations.size(), 1U);
  EXPECT_EQ(m_state.m_operation_index.size(), 1U);
}

/** Batches of random changes, from a generator with the parameter as seed. */
class RandomBatchTest : public BatchTest,
                        public testing::WithParamInterface<int> {
 protected:
  std::vector<gen::Change> MakeRandomBatch() {
    std::vector<gen::Change> changes;
    std::size_t count = 1 + base::NextRandomBelow(&m_random, 6);
    for (std::size_t i = 0; i < count; ++i) {
      changes.push_back(MakeRandomChange(&m_random));
    }
    return changes;
  }

  base::Random m_random{static_cast<std::uint64_t>(GetParam())};
};

/**
 * Guards against a TestBatch result that differs from the execution, a state
 * that depends on the order of the changes in a batch, undo changes that don't
 * restore the revision before, and data loss in snapshots, prints and deltas.
 */
TEST_P(RandomBatchTest, AllPathsToAStateAgree) {
  SCOPED_TRACE(testing::Message() << "seed " << GetParam());
  std::vector<std::string> prints = {
      PrintDeclarations(ToDeclarations(m_state))};
  ConfigState reversed_state;
  gen::Declarations node_copy;
  int accepted = 0;
  for (int step = 0; step < 300; ++step) {
    std::vector<gen::Change> changes = MakeRandomBatch();
    gen::ConfigCommand command = MakeCommand(changes);
    std::string before = SerializeSnapshot(m_state);
    BatchResult tested = TestBatch(m_state, command);
    ASSERT_EQ(SerializeSnapshot(m_state), before);
    BatchResult executed = ExecuteBatch(&m_state, command);
    ASSERT_EQ(tested.has_value(), executed.has_value());
    if (executed) {
      ASSERT_EQ(*tested, *executed);
      ++accepted;
      prints.push_back(PrintDeclarations(ToDeclarations(m_state)));
      ApplyDelta(
          GetDeltasAfter(m_state, base::Revision(prints.size() - 2))->back(),
          &node_copy);
    }
    std::reverse(command.mutable_batch()->mutable_changes()->begin(),
                 command.mutable_batch()->mutable_changes()->end());
    BatchResult reversed = ExecuteBatch(&reversed_state, command);
    ASSERT_EQ(reversed.has_value(), executed.has_value());
    ASSERT_EQ(reversed_state.m_hash, m_state.m_hash);
  }
  EXPECT_GT(accepted, 10);
  gen::Declarations now = ToDeclarations(m_state);
  EXPECT_EQ(HashDeclarations(now), m_state.m_hash);
  EXPECT_EQ(PrintDeclarations(node_copy), prints.back());
  EXPECT_TRUE(CheckDeclarations(now));
  for (std::size_t revision = 0; revision < prints.size(); ++revision) {
    auto old = GetDeclarationsAt(m_state, base::Revision(revision));
    ASSERT_TRUE(old);
    ASSERT_EQ(PrintDeclarations(*old), prints[revision]);
  }
  auto restored = RestoreSnapshot(SerializeSnapshot(m_state));
  ASSERT_TRUE(restored);
  EXPECT_EQ(SerializeSnapshot(*restored), SerializeSnapshot(m_state));
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomBatchTest, testing::Range(1, 9));

/** Guards against starting from a damaged snapshot. */
TEST_F(BatchTest, DamagedSnapshotIsRefused) {
  ASSERT_TRUE(Apply({PutModel("m0", 5)}));
  gen::ConfigSnapshot snapshot;
  ASSERT_TRUE(snapshot.ParseFromString(SerializeSnapshot(m_state)));
  snapshot.mutable_declarations()->mutable_model(0)->set_memory_bytes(6);
  EXPECT_FALSE(RestoreSnapshot(snapshot.SerializeAsString()));
  EXPECT_FALSE(RestoreSnapshot("\xff\xff"));
}

}  // namespace
}  // namespace wasabiwind::config
