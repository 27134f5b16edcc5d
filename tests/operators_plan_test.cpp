/** @file operators_plan_test.cpp Plans, batches and the example files. */

#include <gtest/gtest.h>

#include <fstream>

#include "config/batch_cmd.h"
#include "config/declarations_func.h"
#include "config/state_func.h"
#include "config_test_helpers.h"
#include "operators/plan_func.h"
#include "operators/protocol_func.h"

namespace wasabiwind::operators {
namespace {

gen::Declarations LoadExample(const std::string &company) {
  auto declarations =
      LoadDeclarationFiles({std::string(WW_EXAMPLES) + "/" + company + ".ini"});
  EXPECT_TRUE(declarations) << declarations.error().ToString();
  return declarations ? *declarations : gen::Declarations();
}

/** Applies a plan's batches. @return an error text, or "" */
std::string ApplyAll(const Plan &plan, config::ConfigState *state) {
  static int next_operation = 0;
  std::string id = "op-" + std::to_string(next_operation++);
  for (const gen::ChangeBatch &batch : MakeBatches(plan, id, "asha")) {
    gen::ConfigCommand command;
    *command.mutable_batch() = batch;
    config::BatchResult result = config::ExecuteBatch(state, command);
    if (!result) return result.error().m_error.ToString();
  }
  return "";
}

Plan MakePlanFor(const config::ConfigState &state,
                 const gen::Declarations &wanted) {
  auto current = MakeConfigReply(state, state.m_revision);
  EXPECT_TRUE(current);
  auto plan = MakePlan(*current, wanted);
  EXPECT_TRUE(plan);
  return *plan;
}

/** Guards against examples that declare more or fewer entities than the
 * companies that they describe. */
TEST(ExamplesTest, HaveTheExpectedEntityCounts) {
  gen::Declarations hutchworks = LoadExample("hutchworks");
  EXPECT_EQ(hutchworks.model_size(), 60);
  EXPECT_EQ(hutchworks.adapter_size(), 95);
  gen::Declarations spillsack = LoadExample("spillsack");
  EXPECT_EQ(spillsack.model_size(), 40);
  EXPECT_EQ(spillsack.adapter_size(), 95);
  for (const gen::Declarations &all : {hutchworks, spillsack}) {
    EXPECT_EQ(all.recorder_group_size(), 3);
    EXPECT_EQ(all.service_size(), 1);
    EXPECT_EQ(all.customer_size(), 4);
    EXPECT_EQ(all.limit_size(), 3);
  }
}

/** Guards against a plan that can't be applied or leaves a difference. */
TEST(PlanTest, ReplacesOneExampleByTheOther) {
  config::ConfigState state;
  for (const char *company : {"hutchworks", "spillsack", "hutchworks"}) {
    gen::Declarations wanted = LoadExample(company);
    Plan plan = MakePlanFor(state, wanted);
    EXPECT_FALSE(PrintPlan(plan).empty());
    EXPECT_EQ(ApplyAll(plan, &state), "");
    EXPECT_EQ(state.m_hash, config::HashDeclarations(wanted));
    Plan next_plan = MakePlanFor(state, wanted);
    EXPECT_TRUE(next_plan.m_changes.empty());
    EXPECT_EQ(PrintPlan(next_plan), "");
  }
}

/** Guards against batches above the size limit in a configuration of the full
 * supported size. */
TEST(PlanTest, LargePlanIsSplitIntoBatches) {
  gen::Declarations wanted;
  *wanted.add_model() = config::PutModel("m0", 1 << 30).model();
  for (int i = 0; i < 41'000; ++i) {
    *wanted.add_adapter() =
        config::PutAdapter("adapter-" + std::to_string(i), "m0").adapter();
  }
  config::NormalizeDeclarations(&wanted);
  config::ConfigState state;
  Plan plan = MakePlanFor(state, wanted);
  EXPECT_GT(MakeBatches(plan, "op", "asha").size(), 1U);
  EXPECT_EQ(ApplyAll(plan, &state), "");
  EXPECT_EQ(state.m_hash, config::HashDeclarations(wanted));
}

TEST(PlanTest, ShowsWhatChanges) {
  config::ConfigState state;
  gen::Declarations wanted = LoadExample("spillsack");
  ASSERT_EQ(ApplyAll(MakePlanFor(state, wanted), &state), "");
  wanted.mutable_customer(0)->set_weight(7);
  wanted.mutable_limit()->DeleteSubrange(0, 1);
  Plan plan = MakePlanFor(state, wanted);
  EXPECT_EQ(CountDeletes(plan), 1U);
  EXPECT_EQ(PrintPlan(plan),
            "~ [customer lager]\n~   weight = 7 (was 4)\n"
            "- [limit lots-skane]\n");
}

TEST(PlanTest, EntityInTwoFilesIsRefused) {
  std::string path = std::string(WW_EXAMPLES) + "/spillsack.ini";
  auto merged = LoadDeclarationFiles({path, path});
  ASSERT_FALSE(merged);
  EXPECT_NE(merged.error().m_message.find("is declared in"), std::string::npos);
}

/** Guards against an error kind that the client decodes as another one. */
TEST(ProtocolTest, ErrorKindsSurviveEncodingAndDecoding) {
  for (int i = 0; i < static_cast<int>(base::ErrorKind::kEnd); ++i) {
    base::Error error{static_cast<base::ErrorKind>(i), "message", "remedy"};
    gen::OperatorsError body;
    ASSERT_TRUE(FromJson(ToJson(MakeOperatorsError(error)), &body));
    EXPECT_EQ(FindErrorKind(body.kind()), error.m_kind);
    EXPECT_GE(GetHttpStatus(error.m_kind), 400);
  }
  gen::OperatorsError body;
  EXPECT_FALSE(FromJson("{\"kind\": 5", &body));
}

}  // namespace
}  // namespace wasabiwind::operators
