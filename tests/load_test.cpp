/** @file load_test.cpp Load generator: schedules, response checks, callers. */

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

#include "load/run_func.h"
#include "load/stream_func.h"
#include "net/fiber_scheduler.h"
#include "net/http_server.h"
#include "standin/json_func.h"

namespace wasabiwind::load {
namespace {

using base::milliseconds;
using base::seconds;

TEST(HistogramTest, QuantilesStayWithinTheStatedError) {
  Histogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    AddDuration(&histogram, std::chrono::microseconds(i));
  }
  for (double share : {0.5, 0.9, 0.99, 0.999, 1.0}) {
    double exact = share * 100'000;
    auto value = static_cast<double>(GetQuantile(histogram, share).count());
    EXPECT_GE(value, exact);
    EXPECT_LE(value, exact * (1.0 + 1.0 / 64));
  }
  AddDuration(&histogram, std::chrono::hours(1000));
  EXPECT_EQ(GetQuantile(histogram, 1.0), std::chrono::hours(1000));
}

double CountBetween(const std::vector<PlannedRequest> &schedule,
                    base::Duration from, base::Duration to) {
  return static_cast<double>(
      std::count_if(schedule.begin(), schedule.end(), [&](const auto &request) {
        return request.m_offset >= from && request.m_offset < to;
      }));
}

TEST(ScheduleTest, ArrivalsFollowTheirKind) {
  ScheduleOptions options;
  options.m_models = {"a", "b", "c"};
  options.m_rate = 100;
  options.m_duration = seconds(60);
  auto poisson = MakeSchedule(options);
  // Six standard deviations of a Poisson count of 6000.
  EXPECT_NEAR(static_cast<double>(poisson.size()), 6000, 465);
  options.m_arrival = ArrivalKind::kSwing;
  auto swing = MakeSchedule(options);
  double peak = CountBetween(swing, seconds(25), seconds(35));
  double start = CountBetween(swing, seconds(0), seconds(5)) +
                 CountBetween(swing, seconds(55), seconds(60));
  EXPECT_GT(peak, 2.0 * start);
  options.m_arrival = ArrivalKind::kBursts;
  options.m_rate = 0;
  auto bursts = MakeSchedule(options);
  EXPECT_EQ(bursts.size(), 29U * 20U);
  EXPECT_EQ(bursts[0].m_offset, bursts[19].m_offset);
}

TEST(ScheduleTest, EqualSeedsGiveEqualSchedules) {
  ScheduleOptions options;
  options.m_models = {"a", "b"};
  options.m_rate = 50;
  auto first = MakeSchedule(options);
  auto second = MakeSchedule(options);
  options.m_seed = 2;
  auto other = MakeSchedule(options);
  ASSERT_EQ(first.size(), second.size());
  EXPECT_EQ(first.back().m_prompt, second.back().m_prompt);
  EXPECT_NE(first.back().m_offset, other.back().m_offset);
}

TEST(ScheduleTest, PopularityIsSkewed) {
  base::Random random{3};
  std::array<int, 3> counts{};
  for (int i = 0; i < 11'000; ++i) ++counts[PickZipf(&random, 3, 1.0)];
  // Weights 6:3:2 of 11, within six standard deviations.
  EXPECT_NEAR(counts[0], 6000, 320);
  EXPECT_NEAR(counts[1], 3000, 290);
  EXPECT_NEAR(counts[2], 2000, 250);
}

TEST(ScheduleTest, ReplayErrorNamesTheLine) {
  ScheduleOptions options;
  auto good = ParseReplay(
      "{\"offset_ms\":20,\"model\":\"a\"}\n"
      "{\"offset_ms\":10,\"kind\":\"order\",\"service\":\"s\"}\n",
      options);
  ASSERT_TRUE(good);
  EXPECT_EQ(good->front().m_kind, RequestKind::kOrder);
  auto wrong = ParseReplay("{\"offset_ms\":20}\nnonsense\n", options);
  ASSERT_FALSE(wrong);
  EXPECT_THAT(wrong.error().m_message, testing::HasSubstr("line 2"));
}

constexpr int kTokens = 6;

standin::AnswerPlan MakePlan(const std::string &prompt) {
  boost::json::object body{{"prompt", prompt}, {"max_tokens", kTokens}};
  return *standin::PlanAnswer(body);
}

std::string MakeEvent(int index, const std::string &text) {
  boost::json::object choice{{"delta", {{"content", text}}}};
  boost::json::object event{{"token_index", index},
                            {"choices", boost::json::array{choice}}};
  return "data: " + boost::json::serialize(event) + "\n\n";
}

std::vector<std::string> MakeEvents(const standin::AnswerPlan &plan) {
  std::vector<std::string> events;
  for (int i = 0; i < kTokens; ++i) {
    events.push_back(
        MakeEvent(i, standin::MakeTokenText(plan.m_prompt_hash, i)));
  }
  events.emplace_back("data: [DONE]\n\n");
  return events;
}

std::string Join(const std::vector<std::string> &events) {
  std::string text;
  for (const std::string &event : events) text += event;
  return text;
}

AnswerStatus CheckStream(const std::string &text) {
  StreamCheck check = BeginStreamCheck(MakePlan("mine"));
  FeedStream(&check, text);
  return FinishStream(check);
}

/** Guards against a corrupt response that counts as complete. */
TEST(StreamTest, EachKindOfCorruptionGetsItsStatus) {
  standin::AnswerPlan plan = MakePlan("mine");
  std::vector<std::string> events = MakeEvents(plan);
  EXPECT_EQ(CheckStream(Join(events)), AnswerStatus::kComplete);

  auto missing = events;
  missing.erase(missing.begin() + 2);
  EXPECT_EQ(CheckStream(Join(missing)), AnswerStatus::kWrongOrder);
  auto last_missing = events;
  last_missing.erase(last_missing.begin() + kTokens - 1);
  EXPECT_EQ(CheckStream(Join(last_missing)), AnswerStatus::kTooShort);
  auto swapped = events;
  std::swap(swapped[1], swapped[2]);
  EXPECT_EQ(CheckStream(Join(swapped)), AnswerStatus::kWrongOrder);
  auto twice = events;
  twice.insert(twice.begin() + 3, events[2]);
  EXPECT_EQ(CheckStream(Join(twice)), AnswerStatus::kWrongOrder);
  auto foreign = events;
  foreign[3] = MakeEvents(MakePlan("other"))[3];
  EXPECT_EQ(CheckStream(Join(foreign)), AnswerStatus::kForeign);
  auto cut = events;
  cut.pop_back();
  EXPECT_EQ(CheckStream(Join(cut)), AnswerStatus::kCutOff);
  auto error = cut;
  error.emplace_back("data: {\"error\":{\"reason\":\"upstream_failed\"}}\n\n");
  EXPECT_EQ(CheckStream(Join(error)), AnswerStatus::kExplicitError);
  auto wrong_index = events;
  wrong_index[1] = MakeEvent(4, standin::MakeTokenText(plan.m_prompt_hash, 1));
  EXPECT_EQ(CheckStream(Join(wrong_index)), AnswerStatus::kWrongOrder);
  EXPECT_EQ(CheckStream(Join(events) + events[0]), AnswerStatus::kMalformed);
  EXPECT_EQ(CheckStream("HTTP/1.1 200\n" + Join(events)),
            AnswerStatus::kMalformed);
}

TEST(StreamTest, PlainResponsesGetTheSameStatus) {
  standin::AnswerPlan plan = MakePlan("mine");
  auto check_plain = [&plan](const std::string &text) {
    boost::json::object choice{{"message", {{"content", text}}}};
    boost::json::object body{{"choices", boost::json::array{choice}}};
    return CheckPlainAnswer(plan, boost::json::serialize(body));
  };
  std::string text = standin::MakeAnswerText(plan, 0);
  EXPECT_EQ(check_plain(text), AnswerStatus::kComplete);
  EXPECT_EQ(check_plain(text.substr(0, 18)), AnswerStatus::kTooShort);
  EXPECT_EQ(check_plain(standin::MakeAnswerText(MakePlan("other"), 0)),
            AnswerStatus::kForeign);
  EXPECT_EQ(CheckPlainAnswer(plan, "{}"), AnswerStatus::kMalformed);
}

/** Guards against a status that depends on how the bytes are split, and against
 * corrupt streams that count as complete. */
TEST(StreamTest, RandomCorruptionNeverCountsAsComplete) {
  constexpr std::uint64_t kSeed = 20261204;
  base::Random random{kSeed};
  const std::string whole = Join(MakeEvents(MakePlan("mine")));
  for (int round = 0; round < 20'000; ++round) {
    std::string text = whole;
    auto changes = base::NextRandomBelow(&random, 4);
    for (std::uint64_t i = 0; i < changes; ++i) {
      auto at = base::NextRandomBelow(&random, text.size());
      auto byte = static_cast<char>(base::NextRandomBelow(&random, 256));
      switch (base::NextRandomBelow(&random, 3)) {
        case 0:
          text[at] = byte;
          break;
        case 1:
          text.erase(at, 1 + base::NextRandomBelow(&random, 40));
          break;
        default:
          text.insert(at, 1, byte);
          break;
      }
      if (text.empty()) text = " ";
    }
    StreamCheck split = BeginStreamCheck(MakePlan("mine"));
    for (std::size_t at = 0; at < text.size();) {
      std::size_t size = 1 + base::NextRandomBelow(&random, 64);
      FeedStream(&split, std::string_view(text).substr(at, size));
      at += size;
    }
    AnswerStatus status = FinishStream(split);
    ASSERT_EQ(status, CheckStream(text))
        << "seed " << kSeed << " round " << round;
    if (changes == 0) {
      ASSERT_EQ(status, AnswerStatus::kComplete);
    }
    if (status != AnswerStatus::kComplete) continue;
    // Bytes outside the tokens may differ, but no token may be missing.
    std::string text_of_tokens;
    for (int i = 0; i < kTokens; ++i) {
      std::string token =
          standin::MakeTokenText(MakePlan("mine").m_prompt_hash, i);
      ASSERT_NE(text.find(token.substr(0, 8)), std::string::npos)
          << "seed " << kSeed << " round " << round;
    }
  }
}

/** Serves a handler on its own thread while a body runs on this one. */
void WithServer(const net::HttpHandler &handler,
                const std::function<void(const net::Endpoint &)> &body) {
  net::HttpServerOptions options;
  options.m_listen = net::Endpoint{"127.0.0.1", 0};
  net::HttpServer server(options, handler);
  ASSERT_TRUE(server.Listen());
  std::thread thread(
      [&server] { net::RunFiberThread([&server] { server.Serve(); }); });
  body(net::Endpoint{"127.0.0.1", server.Port()});
  server.Stop();
  thread.join();
}

LoadResult RunAgainst(const net::Endpoint &endpoint, bool direct,
                      const ScheduleOptions &schedule,
                      base::Duration *longest = nullptr) {
  RunOptions options;
  options.m_entry_hosts = {endpoint};
  options.m_direct = direct;
  options.m_caller.m_deadline = seconds(1);
  options.m_caller.m_grace_period = milliseconds(200);
  RunProgress progress;
  return RunSchedule(
      options, MakeSchedule(schedule),
      [longest](const PlannedRequest &, const RequestResult &result) {
        if (longest != nullptr) *longest = std::max(*longest, result.m_total);
      },
      &progress);
}

std::uint64_t CountOf(const LoadResult &result, Outcome outcome) {
  return result.m_outcomes[static_cast<std::size_t>(outcome)];
}

/** Guards against latency that omits the time by which a slow system delays
 * sending. */
TEST(RunTest, LatencyCountsFromTheIntendedTime) {
  auto slow = [](const net::HttpRequest &, net::HttpExchange &exchange) {
    // Blocks the server thread, so that later requests wait.
    std::this_thread::sleep_for(milliseconds(50));
    (void)exchange.Respond(net::MakeJsonResponse(
        503,
        R"({"error":{"type":"refusal","reason":"queue_full","ran":"not_run"}})"));
  };
  WithServer(slow, [](const net::Endpoint &endpoint) {
    ScheduleOptions schedule;
    schedule.m_models = {"m"};
    schedule.m_arrival = ArrivalKind::kUniform;
    schedule.m_rate = 100;
    schedule.m_duration = milliseconds(100);
    base::Duration longest{0};
    LoadResult result = RunAgainst(endpoint, true, schedule, &longest);
    EXPECT_EQ(CountOf(result, Outcome::kRefused), 10U);
    EXPECT_EQ(result.m_refusals["queue_full"], 10U);
    // Ten responses, one after another, of 50 ms each; the last request is
    // intended at 90 ms.
    EXPECT_GE(longest, milliseconds(400));
  });
}

/** Guards against an order that is retried with another key or not at all. */
TEST(RunTest, LostOrderIsRetriedWithItsKey) {
  std::map<std::string, int> attempts;
  auto flaky = [&attempts](const net::HttpRequest &request,
                           net::HttpExchange &exchange) {
    std::string key = request.m_headers.Get("Idempotency-Key");
    if (++attempts[key] == 1) {
      exchange.Abort();
      return;
    }
    boost::json::object body{
        {"key", key}, {"received", request.m_body}, {"execution", 1}};
    (void)exchange.Respond(
        net::MakeJsonResponse(200, boost::json::serialize(body)));
  };
  WithServer(flaky, [](const net::Endpoint &endpoint) {
    ScheduleOptions schedule;
    schedule.m_service = "desk";
    schedule.m_order_share = 1.0;
    schedule.m_duration = milliseconds(500);
    schedule.m_rate = 40;
    LoadResult result = RunAgainst(endpoint, true, schedule);
    EXPECT_EQ(CountOf(result, Outcome::kComplete), result.m_planned);
    EXPECT_EQ(result.m_lost_attempts, result.m_planned);
  });
  for (const auto &[key, count] : attempts) EXPECT_EQ(count, 2) << key;
}

/** Guards against callers that fetch addresses for each request, or only once.
 */
TEST(RunTest, AddressesAreCachedForTheirLifetime) {
  int asked = 0;
  std::uint16_t port = 0;
  auto handler = [&](const net::HttpRequest &request,
                     net::HttpExchange &exchange) {
    if (request.Path() == "/v1/addresses") {
      ++asked;
      boost::json::object item{{"address", "127.0.0.1:" + std::to_string(port)},
                               {"weight", 100}};
      boost::json::object body{{"addresses", boost::json::array{item}},
                               {"keep_ms", 300}};
      (void)exchange.Respond(
          net::MakeJsonResponse(200, boost::json::serialize(body)));
      return;
    }
    (void)exchange.Respond(net::MakeJsonResponse(
        503,
        R"({"error":{"type":"refusal","reason":"no_upstream","ran":"not_run"}})"));
  };
  WithServer(handler, [&port](const net::Endpoint &endpoint) {
    port = endpoint.m_port;
    ScheduleOptions schedule;
    schedule.m_models = {"m"};
    schedule.m_rate = 100;
    schedule.m_duration = seconds(1);
    RunAgainst(endpoint, false, schedule);
  });
  EXPECT_GE(asked, 2);
  EXPECT_LE(asked, 5);
}

TEST(RunTest, MissingResponseIsReported) {
  auto hang = [](const net::HttpRequest &, net::HttpExchange &exchange) {
    net::SleepFor(milliseconds(1500));
    exchange.Abort();
  };
  WithServer(hang, [](const net::Endpoint &endpoint) {
    ScheduleOptions schedule;
    schedule.m_models = {"m"};
    schedule.m_rate = 20;
    schedule.m_duration = milliseconds(200);
    LoadResult result = RunAgainst(endpoint, true, schedule);
    EXPECT_GT(result.m_planned, 0U);
    EXPECT_EQ(CountOf(result, Outcome::kNoAnswer), result.m_planned);
  });
}

TEST(RefusalTest, OnlyTypedRefusalsCount) {
  EXPECT_TRUE(
      ParseRefusal(
          R"({"error":{"type":"refusal","reason":"x","ran":"not_run"}})")
          .m_is_refusal);
  for (const char *wrong :
       {"", "{}", "busy", R"({"error":{"type":"refusal","reason":"x"}})",
        R"({"error":{"type":"refusal","ran":"not_run"}})"}) {
    EXPECT_FALSE(ParseRefusal(wrong).m_is_refusal) << wrong;
  }
}

}  // namespace
}  // namespace wasabiwind::load
