/** @file config_declarations_test.cpp Printing, parsing and comparing
 * declarations. */

#include <gtest/gtest.h>

#include <chrono>

#include "config/batch_cmd.h"
#include "config/declarations_func.h"
#include "config/state_func.h"
#include "config_test_helpers.h"
#include "processor_time.h"

namespace wasabiwind::config {
namespace {

/** @return as many models as a configuration of the full supported size, with
 * this number of adapters. */
gen::Declarations MakeLargeDeclarations(int adapters) {
  gen::Declarations declarations;
  for (int i = 0; i < 87; ++i) {
    *declarations.add_model() =
        PutModel("model-" + std::to_string(i), 1 << 30).model();
  }
  for (int i = 0; i < adapters; ++i) {
    *declarations.add_adapter() = PutAdapter("adapter-" + std::to_string(i),
                                             "model-" + std::to_string(i % 87))
                                      .adapter();
  }
  NormalizeDeclarations(&declarations);
  return declarations;
}

TEST(DeclarationsTest, PrintParsesToTheSame) {
  base::Random random{20261204};
  for (int round = 0; round < 200; ++round) {
    gen::Declarations declarations;
    for (int i = 0; i < 12; ++i) {
      gen::Change change = MakeRandomChange(&random);
      gen::ConfigDelta delta;
      *delta.add_changes() = change;
      ApplyDelta(delta, &declarations);
    }
    NormalizeDeclarations(&declarations);
    for (gen::Limit &limit : *declarations.mutable_limit()) {
      limit.set_requests_per_s(base::NextRandomUnit(&random) * 1e6);
    }
    for (gen::RecorderGroup &group : *declarations.mutable_recorder_group()) {
      group.set_epoch(1);
    }
    std::string text = PrintDeclarations(declarations);
    auto parsed = ParseDeclarations(text, "print.ini");
    ASSERT_TRUE(parsed) << parsed.error().ToString() << "\n" << text;
    ASSERT_EQ(PrintDeclarations(*parsed), text);
    ASSERT_EQ(HashDeclarations(*parsed), HashDeclarations(declarations));
  }
}

TEST(DeclarationsTest, OneSpellingPerValue) {
  auto one = ParseDeclarations(
      "[customer b]\n[customer a]\nweight = 1.0\n"
      "[model m]\nversion=1\nweight_bytes = 1024B\nmemory_bytes = 1GiB\n"
      "[deployment d]\nmodel = m\nregions = x, y\ncustomers = b,a,b\n",
      "one.ini");
  auto other = ParseDeclarations(
      "[model m]\nmemory_bytes = 1024MiB\nversion=1\nweight_bytes = 1KiB\n"
      "[deployment d]\ncustomers = a, b\nidle_after_ms = 600s\nmodel = m\n"
      "regions = x,y\n[customer a]\n[customer b]\n",
      "other.ini");
  ASSERT_TRUE(one) << one.error().ToString();
  ASSERT_TRUE(other) << other.error().ToString();
  EXPECT_EQ(PrintDeclarations(*one), PrintDeclarations(*other));
  EXPECT_EQ(HashDeclarations(*one), HashDeclarations(*other));
}

/** Guards against differences that can't be applied one change at a time, or
 * that lead to other declarations than the goal. */
TEST(DeclarationsTest, DifferencesLeadFromOneSetToTheOther) {
  base::Random random{7};
  for (int round = 0; round < 100; ++round) {
    gen::Declarations sets[2];
    for (gen::Declarations &set : sets) {
      ConfigState state;
      for (int i = 0; i < 40; ++i) {
        gen::ConfigCommand command;
        command.mutable_batch()->set_operation_id(std::to_string(i));
        command.mutable_batch()->set_base_revision(state.m_revision.Value());
        *command.mutable_batch()->add_changes() = MakeRandomChange(&random);
        if (command.batch().changes(0).has_recorder_group()) {
          *command.mutable_batch()->mutable_changes(0) =
              PutRecorderGroup("Rajkot-a", 1);
        }
        (void)ExecuteBatch(&state, command);
      }
      set = ToDeclarations(state);
    }
    ConfigState state;
    int step = 0;
    for (const gen::Declarations &goal : sets) {
      for (const gen::Change &change :
           DiffDeclarations(ToDeclarations(state), goal)) {
        gen::ConfigCommand command;
        command.mutable_batch()->set_operation_id(std::to_string(step++));
        command.mutable_batch()->set_base_revision(state.m_revision.Value());
        *command.mutable_batch()->add_changes() = change;
        BatchResult result = ExecuteBatch(&state, command);
        ASSERT_TRUE(result) << result.error().m_error.ToString();
      }
      EXPECT_EQ(PrintDeclarations(ToDeclarations(state)),
                PrintDeclarations(goal));
    }
  }
}

/** Guards against work that is quadratic in the number of adapters; the ratio
 * of two sizes in one run doesn't depend on the machine. */
TEST(DeclarationsTest, TimeIsNearlyLinearInAdapters) {
  auto measure = [](int adapters) {
    gen::Declarations declarations = MakeLargeDeclarations(adapters);
    auto begin = tests::GetThreadProcessorTime();
    std::string text = PrintDeclarations(declarations);
    auto printed = tests::GetThreadProcessorTime();
    auto parsed = ParseDeclarations(text, "large.ini");
    auto end = tests::GetThreadProcessorTime();
    EXPECT_TRUE(parsed);
    EXPECT_EQ(parsed->SerializeAsString(), declarations.SerializeAsString());
    tests::ProcessorTime print_ms = printed - begin;
    tests::ProcessorTime parse_ms = end - printed;
    std::cout << adapters << " adapters, " << text.size() << " bytes: print "
              << print_ms.count() << " ms, parse " << parse_ms.count()
              << " ms\n";
    return print_ms.count() + parse_ms.count();
  };
  double small = tests::MeasureMinimum([&] { return measure(4'100); });
  double large = tests::MeasureMinimum([&] { return measure(41'000); });
  EXPECT_LT(large, 40.0 * small) << "a quadratic algorithm gives 100";
}

}  // namespace
}  // namespace wasabiwind::config
