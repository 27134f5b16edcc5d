/** @file standin_test.cpp Test doubles of engine, service and weight store. */

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <regex>

#include "base/settings_func.h"
#include "net/fiber_scheduler.h"
#include "standin/engine_base.h"
#include "standin/json_func.h"
#include "standin/service_base.h"
#include "standin/weightstore_base.h"

namespace wasabiwind::standin {
namespace {

using base::milliseconds;
using base::seconds;
using testing::HasSubstr;
using testing::Not;

Order MakeLoad(const std::string &id, const std::string &target,
               std::int64_t bytes, FencingToken fence = {1, 1}) {
  return Order{id, fence, OrderAction::kLoad, target, bytes};
}

Order MakeUnload(const std::string &id, const std::string &target,
                 FencingToken fence = {1, 2}) {
  return Order{id, fence, OrderAction::kUnload, target, 0};
}

Ledger MakeLedger(bool check_fences = false) {
  Ledger ledger;
  ledger.m_options = LedgerOptions{100, check_fences};
  return ledger;
}

void LoadNow(Ledger *ledger, const std::string &target, std::int64_t bytes) {
  ASSERT_TRUE(ApplyOrder(ledger, MakeLoad("load " + target, target, bytes))
                  .m_start_load);
  FinishLoad(ledger, target, true);
}

/** Guards against memory that is overcommitted while a load is in progress. */
TEST(LedgerTest, LoadingTargetsReserveMemory) {
  Ledger ledger = MakeLedger();
  EXPECT_TRUE(ApplyOrder(&ledger, MakeLoad("1", "a@1", 60)).m_start_load);
  EXPECT_EQ(ApplyOrder(&ledger, MakeLoad("2", "b@1", 41)).m_result,
            OrderResult::kNoMemory);
  EXPECT_EQ(ApplyOrder(&ledger, MakeLoad("3", "c@1", 40)).m_result,
            OrderResult::kAccepted);
  EXPECT_EQ(ledger.m_peak_bytes, 100);
}

/** Guards against a resent order that starts a second load. */
TEST(LedgerTest, RepeatedOrderHasNoFurtherEffect) {
  Ledger ledger = MakeLedger();
  Order order = MakeLoad("1", "a@1", 60);
  EXPECT_TRUE(ApplyOrder(&ledger, order).m_start_load);
  OrderEffect again = ApplyOrder(&ledger, order);
  EXPECT_EQ(again.m_result, OrderResult::kAccepted);
  EXPECT_FALSE(again.m_start_load);
  EXPECT_EQ(GetUsedBytes(ledger), 60);
}

/** Guards against an old leader's order that is accepted despite checking. */
TEST(LedgerTest, OldFenceIsRefusedOnlyWhereChecked) {
  for (bool checked : {false, true}) {
    Ledger ledger = MakeLedger(checked);
    ApplyOrder(&ledger, MakeLoad("1", "a@1", 10, FencingToken{2, 1}));
    OrderResult old =
        ApplyOrder(&ledger, MakeLoad("2", "b@1", 10, FencingToken{1, 9}))
            .m_result;
    EXPECT_EQ(old, checked ? OrderResult::kStaleFence : OrderResult::kAccepted);
  }
}

/** Guards against memory that is freed while a request still uses it. */
TEST(LedgerTest, UnloadWaitsForRequestsAndAdapters) {
  Ledger ledger = MakeLedger();
  LoadNow(&ledger, "a@1", 50);
  LoadNow(&ledger, "a@1/x@1", 10);
  AcquireTarget(&ledger, "a@1/x@1");
  EXPECT_TRUE(ApplyOrder(&ledger, MakeUnload("u", "a@1")).m_unloaded.empty());
  EXPECT_FALSE(IsServable(ledger, "a@1/x@1"));
  EXPECT_EQ(GetUsedBytes(ledger), 60);
  EXPECT_THAT(ReleaseTarget(&ledger, "a@1/x@1"),
              testing::ElementsAre("a@1/x@1", "a@1"));
  EXPECT_EQ(GetUsedBytes(ledger), 0);
}

TEST(LedgerTest, AdapterNeedsItsModel) {
  Ledger ledger = MakeLedger();
  EXPECT_EQ(ApplyOrder(&ledger, MakeLoad("1", "a@1/x@1", 1)).m_result,
            OrderResult::kModelNotLoaded);
}

/** Guards against answers whose tokens a check can't tell apart. */
TEST(AnswerTest, DependsOnPromptAndPositionOnly) {
  auto plan = [](const char *text) {
    return *PlanAnswer(boost::json::parse(text).as_object());
  };
  AnswerPlan a = plan(R"({"model":"m","prompt":"one","max_tokens":5})");
  AnswerPlan b = plan(R"({"model":"n","prompt":"one","max_tokens":5})");
  AnswerPlan c = plan(R"({"model":"m","prompt":"two","max_tokens":5})");
  EXPECT_EQ(MakeAnswerText(a, 0), MakeAnswerText(b, 0));
  EXPECT_NE(MakeAnswerText(a, 0), MakeAnswerText(c, 0));
  EXPECT_EQ(MakeAnswerText(a, 0).substr(18), MakeAnswerText(a, 2));
  EXPECT_EQ(plan(R"({"prompt":"[tokens:3]","max_tokens":9})").m_output_tokens,
            3);
  EXPECT_FALSE(PlanAnswer(boost::json::parse("{}").as_object()));
}

/** Runs an HTTP server and, concurrently, a body that uses it. */
void WithServer(const net::HttpHandler &handler,
                const std::function<void(const net::Endpoint &)> &body) {
  net::HttpServerOptions options;
  options.m_listen = net::Endpoint{"127.0.0.1", 0};
  net::HttpServer server(options, handler);
  ASSERT_TRUE(server.Listen());
  boost::fibers::fiber serving([&server] { server.Serve(); });
  body(net::Endpoint{"127.0.0.1", server.Port()});
  server.Stop();
  serving.join();
}

/** Runs a body against an engine with the given lines in [engine]. */
void WithEngine(const std::string &lines,
                const std::function<void(const net::Endpoint &)> &body) {
  gen::EngineProgramSettings settings;
  auto parsed = base::ParseSettings(
      "[node]\nname = e1\n[engine]\nprefill_us_per_token = 0\n" + lines,
      "test.ini", &settings);
  ASSERT_TRUE(parsed) << parsed.error().ToString();
  net::RunFiberThread([&] {
    EventRecord record;
    Engine engine(settings, &record);
    WithServer(
        [&engine](const net::HttpRequest &request,
                  net::HttpExchange &exchange) {
          engine.Handle(request, exchange);
        },
        body);
    engine.BeginStop();
    engine.WaitForLoads();
  });
}

net::HttpResponse Post(const net::Endpoint &endpoint, const std::string &path,
                       const std::string &body,
                       const net::HttpHeaders &headers = {}) {
  net::HttpClientPool pool;
  auto response =
      pool.Fetch(endpoint, net::HttpRequest{"POST", path, headers, body},
                 base::Clock::now() + seconds(10));
  if (response) return *response;
  net::HttpResponse failed;
  failed.m_status = 0;
  failed.m_body = response.error().ToString();
  return failed;
}

constexpr const char *kStream =
    R"({"model":"m@1","prompt":"p","max_tokens":40,"stream":true,)"
    R"("request_id":"r"})";

TEST(EngineTest, StreamsResumesAndRefuses) {
  WithEngine("preload = m@1:10\ndecode_us = 100\n", [](const auto &engine) {
    net::HttpResponse whole = Post(engine, "/v1/completions", kStream);
    EXPECT_THAT(whole.m_body, HasSubstr("\"token_index\":39"));
    EXPECT_THAT(whole.m_body, HasSubstr("data: [DONE]"));
    net::HttpResponse rest =
        Post(engine, "/v1/completions",
             R"({"model":"m@1","prompt":"p","max_tokens":40,"stream":true,)"
             R"("resume_from_token":38})");
    EXPECT_THAT(rest.m_body, Not(HasSubstr("\"token_index\":37,")));
    EXPECT_THAT(rest.m_body, HasSubstr("\"token_index\":38,"));
    net::HttpResponse refused =
        Post(engine, "/v1/completions", R"({"model":"x","prompt":"p"})");
    EXPECT_EQ(refused.m_status, 404);
    EXPECT_THAT(refused.m_body, HasSubstr("not_run"));
  });
}

/** Guards against a cancel that leaves a slot occupied. */
TEST(EngineTest, CancelEndsRunningAndWaitingRequests) {
  WithEngine(
      "preload = m@1:10\nslots = 1\ndecode_us = 200000\n",
      [](const net::Endpoint &engine) {
        std::vector<net::HttpResponse> answers(2);
        std::vector<boost::fibers::fiber> callers;
        for (auto &answer : answers) {
          callers.emplace_back([&answer, &engine] {
            answer = Post(engine, "/v1/completions", kStream);
          });
        }
        net::SleepFor(milliseconds(50));
        EXPECT_THAT(Post(engine, "/v1/cancel", R"({"request_id":"r"})").m_body,
                    HasSubstr("true"));
        for (auto &caller : callers) caller.join();
        EXPECT_EQ(answers[0].m_status + answers[1].m_status, 200 + 409);
        EXPECT_THAT(Post(engine, "/v1/cancel", R"({"request_id":"r"})").m_body,
                    HasSubstr("false"));
      });
}

/** Guards against batch requests that get a slot before interactive ones. */
TEST(EngineTest, UrgentRequestsGetSlotsFirst) {
  WithEngine(
      "preload = m@1:10\nslots = 1\ndecode_us = 20000\n",
      [](const net::Endpoint &engine) {
        std::vector<std::string> ended;
        std::vector<boost::fibers::fiber> callers;
        for (const char *priority : {"standard", "batch", "interactive"}) {
          callers.emplace_back([&ended, &engine, priority] {
            net::HttpHeaders headers;
            headers.Add("X-Priority", priority);
            Post(engine, "/v1/completions",
                 R"({"model":"m@1","prompt":"p","max_tokens":2})", headers);
            ended.emplace_back(priority);
          });
          net::SleepFor(milliseconds(5));
        }
        for (auto &caller : callers) caller.join();
        EXPECT_THAT(ended,
                    testing::ElementsAre("standard", "interactive", "batch"));
      });
}

/** Removes the creation time, which differs between equal answers. */
std::string WithoutTime(const std::string &answer) {
  return std::regex_replace(answer, std::regex("\"created\":[0-9]+,"), "");
}

/** Guards against injected faults that have no effect. */
TEST(EngineTest, InjectedFaultsChangeTheStream) {
  WithEngine("preload = m@1:10\ndecode_us = 100\n", [](const auto &engine) {
    auto get_answer = [&engine] {
      return WithoutTime(Post(engine, "/v1/completions", kStream).m_body);
    };
    std::string good = get_answer();
    EXPECT_EQ(get_answer(), good);
    for (const char *fault :
         {"skip_tokens", "swap_tokens", "foreign_tokens", "short_answers"}) {
      std::string set = std::string("{\"") + fault + "\":true}";
      std::string clear = std::string("{\"") + fault + "\":false}";
      EXPECT_EQ(Post(engine, "/standin/v1/fault", set).m_status, 200);
      EXPECT_NE(get_answer(), good) << fault;
      Post(engine, "/standin/v1/fault", clear);
    }
    Post(engine, "/standin/v1/fault", R"({"break_after_tokens":3})");
    EXPECT_EQ(Post(engine, "/v1/completions", kStream).m_status, 0);
    EXPECT_EQ(Post(engine, "/standin/v1/fault", R"({"mispelt":1})").m_status,
              400);
  });
}

/** Guards against cache events that are published without delay or loss. */
TEST(EngineTest, CacheEventsComeLateAndWithGaps) {
  WithEngine(
      "preload = m@1:10\ndecode_us = 0\nevent_delay_ms = 1s\n"
      "event_loss = 50%\n",
      [](const net::Endpoint &engine) {
        std::string prompt(256 * 40, 'x');
        for (int i = 0; i < 40; ++i)
          prompt[i * 256] = static_cast<char>(48 + i);
        boost::json::object body{
            {"model", "m@1"}, {"prompt", prompt}, {"max_tokens", 1}};
        Post(engine, "/v1/completions", boost::json::serialize(body));
        auto count = [&engine] {
          auto list = ParseObject(Post(engine, "/admin/v1/events", "").m_body);
          return FindArray(*list, "events")->size();
        };
        EXPECT_EQ(count(), 0U);
        net::SleepFor(milliseconds(1200));
        EXPECT_GT(count(), 0U);
        EXPECT_LT(count(), 40U);
      });
}

struct ServiceCase {
  const char *m_mode;
  int m_status;  ///< 0: closed connection
  int m_executions;
};

class ServiceTest : public testing::TestWithParam<ServiceCase> {};

/** Guards against a fault mode that executes a wrong number of times. */
TEST_P(ServiceTest, FaultDecidesAnswerAndExecutions) {
  gen::ServiceProgramSettings settings;
  ASSERT_TRUE(base::ParseSettings(
      "[node]\nname = s1\n[service]\nservice = desk\ndelay_ms = 1ms\n",
      "test.ini", &settings));
  net::RunFiberThread([&settings] {
    EventRecord record;
    Service service(settings, &record);
    auto handler = [&service](const net::HttpRequest &request,
                              net::HttpExchange &exchange) {
      service.Handle(request, exchange);
    };
    WithServer(handler, [](const net::Endpoint &endpoint) {
      Post(endpoint, "/standin/v1/fault",
           std::string(R"({"mode":")") + GetParam().m_mode + "\"}");
      net::HttpHeaders headers;
      headers.Add("Idempotency-Key", "k1");
      EXPECT_EQ(Post(endpoint, "/orders", "{}", headers).m_status,
                GetParam().m_status);
      auto body =
          ParseObject(Post(endpoint, "/standin/v1/executions", "").m_body);
      EXPECT_EQ(GetInteger(*body, "total"), GetParam().m_executions);
    });
  });
}

INSTANTIATE_TEST_SUITE_P(Modes, ServiceTest,
                         testing::Values(ServiceCase{"none", 200, 1},
                                         ServiceCase{"fail_before", 500, 0},
                                         ServiceCase{"fail_after", 500, 1},
                                         ServiceCase{"close_before", 0, 0},
                                         ServiceCase{"close_after", 0, 1},
                                         ServiceCase{"execute_twice", 200, 2}),
                         [](const testing::TestParamInfo<ServiceCase> &info) {
                           return std::string(info.param.m_mode);
                         });

TEST(WeightStoreTest, TransfersBeyondFullSpeedShareIt) {
  gen::WeightStoreSettings settings;
  settings.set_full_speed_loads(4);
  settings.set_full_speed_adapters(30);
  EXPECT_EQ(GetStoreSlowdown(settings, RunningTransfers{4, 60}, false), 1.0);
  EXPECT_EQ(GetStoreSlowdown(settings, RunningTransfers{8, 0}, false), 2.0);
  EXPECT_EQ(GetStoreSlowdown(settings, RunningTransfers{9, 30}, true), 1.0);
  EXPECT_EQ(GetStoreSlowdown(settings, RunningTransfers{0, 60}, true), 2.0);
}

}  // namespace
}  // namespace wasabiwind::standin
