/** @file scenario_test.cpp Scenario language, invariants and runner parts. */

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/json/parse.hpp>
#include <csignal>
#include <set>

#include "base/random_func.h"
#include "scenario/check_func.h"
#include "scenario/parse_func.h"
#include "scenario/process_base.h"
#include "scenario/runner_base.h"

namespace wasabiwind::scenario {
namespace {

using testing::HasSubstr;

constexpr const char *kWhole = R"(# comment
title all statements
limit 30s
planted-failure ran 2 times
template engine ww_engine
  [engine]
  slots = 4

part e1,e2 engine
  preload = a@1:10
part s1 ww_service
file declarations.ini
  [model a]
start e1,e2,s1
mark begun
planted: fault s1 {"mode":"execute_twice"}
unplanted: kill e2
load l1 --entries=${e1.listen} "--models=a b"
run r1 wwctl apply ${dir}/declarations.ini
finish l1,r1
pause e1
continue e1
partition e1 from ${e2.listen},127.0.0.1:1
heal e1
post ${e1.listen} /admin/v1/orders 409 {"order_id":"1"}
wait 1.5s
expect load l1 outcomes.complete >= 5
expect metric e1 ww_x{a="b c",d=e} == 0 within 2s
expect status ${e1.admin} /readyz == 200
expect json ${e1.listen} /admin/v1/state entries.0.state != loaded
expect body ${e1.listen} /x contains "two words"
expect output r1 contains done
expect log e1 contains started
expect exit r1 == 0
expect running e2
check answers l1 allow-loss
check orders l1 at s1
check memory e1,e2
check replicas e1,e2 a@1 <= 1
check no-work e2 after begun 2s
terminate e2
expect exited e2 within 5s
replace s1
restart s1
kill e1
stop s1
)";

TEST(ParseTest, AllStatementsAreUnderstood) {
  auto scenario = ParseScenario(kWhole, "x.scenario");
  ASSERT_TRUE(scenario) << scenario.error().ToString();
  EXPECT_EQ(scenario->m_parts.size(), 3U);
  EXPECT_EQ(scenario->m_parts[1].m_program, "ww_engine");
  EXPECT_EQ(scenario->m_parts[1].m_settings,
            "[engine]\nslots = 4\npreload = a@1:10\n");
  EXPECT_EQ(scenario->m_files[0].m_text, "[model a]\n");
  EXPECT_TRUE(scenario->m_statements[2].m_is_planted);
  EXPECT_TRUE(scenario->m_statements[3].m_is_unplanted);
  EXPECT_EQ(scenario->m_statements[4].m_arguments[1], "--models=a b");
}

struct WrongCase {
  const char *m_name;
  const char *m_line;
  const char *m_message;
};

class ParseErrorTest : public testing::TestWithParam<WrongCase> {};

/** Guards against a malformed line that is accepted with another meaning. */
TEST_P(ParseErrorTest, NamesTheLine) {
  std::string text =
      "title t\npart e1 ww_engine\nstart e1\n" + std::string(GetParam().m_line);
  auto scenario = ParseScenario(text, "x.scenario");
  ASSERT_FALSE(scenario);
  EXPECT_THAT(scenario.error().m_message, HasSubstr("x.scenario:4: "));
  EXPECT_THAT(scenario.error().m_message, HasSubstr(GetParam().m_message));
  EXPECT_FALSE(scenario.error().m_remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Lines, ParseErrorTest,
    testing::Values(
        WrongCase{"Keyword", "begin e1", "unknown statement \"begin\""},
        WrongCase{"Part", "stop e9", "unknown part \"e9\""},
        WrongCase{"Twice", "part e1 ww_engine", "declared twice"},
        WrongCase{"Duration", "wait 5", "not a duration"},
        WrongCase{"Limit", "limit 20min", "limit"},
        WrongCase{"Json", "fault e1 {slow", "not a JSON object"},
        WrongCase{"Operator", "expect metric e1 x ~ 5", "unknown operator"},
        WrongCase{"Load", "expect load l9 a == 5", "unknown load"},
        WrongCase{"Label", "check no-work e1 after l 2s", "unknown label"},
        WrongCase{"Check", "check sanity e1", "unknown check"},
        WrongCase{"Quote", "load l1 \"--x", "quotation mark"},
        WrongCase{"Path", "file ../x", "can't be the name"},
        WrongCase{"Program", "run r1 ../sh -c", "not a name"},
        WrongCase{"Indent", "  stop e1", "belongs to no part"},
        WrongCase{"NoFailure", "planted: kill e1", "no expected failure"}),
    [](const testing::TestParamInfo<WrongCase> &info) {
      return std::string(info.param.m_name);
    });

/** Guards against malformed text that crashes the parser or yields invalid
 * statements or errors without a line. */
TEST(ParseTest, RandomChangesAreParsedOrRefusedWithALine) {
  constexpr std::uint64_t kSeed = 20261204;
  base::Random random{kSeed};
  const std::string whole = kWhole;
  int accepted = 0;
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = whole;
    auto changes = 1 + base::NextRandomBelow(&random, 4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
      auto at = base::NextRandomBelow(&random, text.size());
      switch (base::NextRandomBelow(&random, 4)) {
        case 0:
          text[at] = static_cast<char>(base::NextRandomBelow(&random, 256));
          break;
        case 1:
          text.erase(at, 1 + base::NextRandomBelow(&random, 60));
          break;
        case 2:
          text.insert(at,
                      text.substr(base::NextRandomBelow(&random, text.size()),
                                  base::NextRandomBelow(&random, 40)));
          break;
        default:
          text.insert(at, 1, " \n\"{}:,="[base::NextRandomBelow(&random, 8)]);
          break;
      }
    }
    auto scenario = ParseScenario(text, "x");
    if (scenario) {
      ++accepted;
      for (const Statement &statement : scenario->m_statements) {
        ASSERT_NE(statement.m_kind, StatementKind::kEnd) << "seed " << kSeed;
      }
      continue;
    }
    ASSERT_EQ(scenario.error().m_message.rfind("x:", 0), 0U)
        << "seed " << kSeed << " round " << round;
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kRounds);
}

PartRecord MakeRecord(const std::string &lines) {
  return PartRecord{"p", *ParseJsonLines(lines)};
}

std::string MessageOf(const base::Result<void> &result) {
  return result ? "" : result.error().m_message;
}

constexpr const char *kStart =
    R"({"t_us":1,"event":"start","memory_bytes":100}
{"t_us":2,"event":"load_begin","target":"a@1","bytes":60}
)";

/** Guards against a memory check that ignores loads in progress, or counts
 * memory that a crash, failed load or unload has freed. */
TEST(CheckTest, MemoryCountsWhatIsHeld) {
  std::string load =
      R"({"t_us":9,"event":"load_begin","target":"b@1","bytes":60})"
      "\n";
  EXPECT_THAT(MessageOf(CheckMemory({MakeRecord(kStart + load)})),
              HasSubstr("held 120 of 100"));
  for (const char *freed :
       {R"({"t_us":5,"event":"unload","target":"a@1"})",
        R"({"t_us":5,"event":"load_end","target":"a@1","ok":false})",
        R"({"t_us":5,"event":"start","memory_bytes":100})"}) {
    std::string text = std::string(kStart) + freed + "\n" + load;
    EXPECT_EQ(MessageOf(CheckMemory({MakeRecord(text)})), "") << freed;
  }
  EXPECT_THAT(MessageOf(CheckMemory({MakeRecord("")})), HasSubstr("no engine"));
}

/** Guards against a check that counts replicas that didn't exist at the same
 * time. */
TEST(CheckTest, ReplicasCountOnlyWhatOverlaps) {
  std::string ended =
      std::string(kStart) + "{\"t_us\":5,\"event\":\"ended\"}\n";
  std::string later =
      R"({"t_us":6,"event":"load_begin","target":"a@1","bytes":60})"
      "\n";
  std::string overlapping =
      R"({"t_us":4,"event":"load_begin","target":"a@1","bytes":60})"
      "\n";
  auto check = [](const std::string &first, const std::string &second) {
    return MessageOf(CheckReplicas({MakeRecord(first), MakeRecord(second)},
                                   "a@1", CompareOperator::kLessEqual, 1));
  };
  EXPECT_EQ(check(ended, later), "");
  EXPECT_THAT(check(ended, overlapping), HasSubstr("2 replicas"));
  EXPECT_THAT(check(kStart, later), HasSubstr("2 replicas"));
}

TEST(CheckTest, OrdersMustMatchTheServicesRecord) {
  auto check = [](const std::string &outcome, const std::string &executions) {
    return MessageOf(
        CheckOrders(*ParseJsonLines(outcome + "\n"), {MakeRecord(executions)}));
  };
  std::string once = "{\"event\":\"execute\",\"key\":\"k\"}\n";
  std::string complete =
      R"({"id":"k","kind":"order","outcome":"complete","may_have_run":true})";
  std::string not_run =
      R"({"id":"k","kind":"order","outcome":"refused","may_have_run":false})";
  std::string unknown =
      R"({"id":"k","kind":"order","outcome":"unknown","may_have_run":true})";
  EXPECT_EQ(check(complete, once), "");
  EXPECT_EQ(check(not_run, ""), "");
  EXPECT_EQ(check(unknown, ""), "");
  EXPECT_EQ(check(unknown, once), "");
  EXPECT_THAT(check(complete, once + once), HasSubstr("ran 2 times"));
  EXPECT_THAT(check(complete, ""), HasSubstr("never ran"));
  EXPECT_THAT(check(not_run, once), HasSubstr("not_run but ran"));
  EXPECT_THAT(check("{}", ""), HasSubstr("no order"));
}

TEST(CheckTest, AnswersMustAllHaveAnAcceptedEnd) {
  auto check = [](const char *text, bool allow_loss) {
    return MessageOf(
        CheckAnswers(boost::json::parse(text).as_object(), allow_loss));
  };
  EXPECT_EQ(
      check(R"({"planned":3,"outcomes":{"complete":2,"refused":1}})", false),
      "");
  EXPECT_NE(check(R"({"planned":3,"outcomes":{"complete":2}})", true), "");
  EXPECT_NE(check(R"({"planned":1,"outcomes":{"violation":1}})", true), "");
  EXPECT_NE(check(R"({"planned":1,"outcomes":{"no_answer":1}})", true), "");
  const char *lost = R"({"planned":1,"outcomes":{"lost":1}})";
  EXPECT_NE(check(lost, false), "");
  EXPECT_EQ(check(lost, true), "");
  EXPECT_NE(check(R"({"planned":0,"outcomes":{}})", true), "");
}

TEST(CheckTest, WorkAfterTheTimeIsFound) {
  PartRecord record = MakeRecord(
      "{\"t_us\":100,\"event\":\"run_begin\"}\n"
      "{\"t_us\":900,\"event\":\"run_end\"}\n");
  EXPECT_EQ(MessageOf(CheckNoWork(record, 100)), "");
  EXPECT_THAT(MessageOf(CheckNoWork(record, 99)), HasSubstr("new work"));
}

TEST(CheckTest, MetricsAreSummedByLabels) {
  const char *text =
      "# HELP x y\n"
      "x{a=\"1\",b=\"p,q\"} 2\n"
      "x{a=\"1\",b=\"r\"} 3\n"
      "x{a=\"2\"} 10\n"
      "xy{a=\"1\"} 100\n"
      "z 7.5\n";
  EXPECT_EQ(SumMetric(text, "x"), 15);
  EXPECT_EQ(SumMetric(text, "x{a=1}"), 5);
  EXPECT_EQ(SumMetric(text, "x{a=\"1\",b=\"p,q\"}"), 2);
  EXPECT_EQ(SumMetric(text, "z"), 7.5);
  EXPECT_EQ(SumMetric(text, "missing"), 0);
}

TEST(RunnerTest, HostsOfProcessesDiffer) {
  EXPECT_EQ(MakeLoopbackHost(0x010203), "127.65.2.3");
  EXPECT_NE(MakeLoopbackHost(4000000), MakeLoopbackHost(3999999));
}

/** Guards against two soaks that run at the same time on the same addresses,
 * which they did if their process IDs differed by a multiple of 6,000. */
TEST(RunnerTest, NetworksOfProcessesDiffer) {
  constexpr std::uint32_t kProcesses = 32'512;
  std::set<std::string> networks;
  for (std::uint32_t id = 1; id <= kProcesses; ++id) {
    networks.insert(MakeLoopbackNetwork(id));
  }
  EXPECT_EQ(networks.size(), kProcesses);
  EXPECT_EQ(MakeLoopbackNetwork(0x0102), "127.129.2.");
}

/** Guards against processes that outlive the runner: a stopped child still
 * counts as running, so that it is killed. */
TEST(ProcessTest, ChildIsKilledWithItsOwner) {
  ChildProcess child;
  ASSERT_TRUE(child.Start("/bin/sleep", {"100"}, "/dev/null"));
  EXPECT_TRUE(child.IsRunning());
  child.Signal(SIGSTOP);
  EXPECT_TRUE(child.IsRunning());
  child.Signal(SIGKILL);
  auto status = child.WaitUntil(base::Clock::now() + std::chrono::seconds(10));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->ToString(), "signal 9");
}

}  // namespace
}  // namespace wasabiwind::scenario
