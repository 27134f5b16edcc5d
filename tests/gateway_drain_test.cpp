/** @file gateway_drain_test.cpp Planned stops of an entry host. */

#include "gateway/drain_func.h"
#include "gateway_harness.h"

namespace wasabiwind::gateway {
namespace {

// With a grace of less than 3.5 s, requests were taken until the process ended,
// and those that came late were cut without an answer.
TEST(DrainScheduleTest, LeavesTimeToAnswerWhatWasTaken) {
  base::TimePoint start = base::Clock::now();
  for (int grace_ms : {500, 1'000, 2'000, 3'000, 5'000, 8'000, 30'000}) {
    milliseconds grace(grace_ms);
    DrainSchedule schedule = MakeDrainSchedule(start, grace);
    EXPECT_GT(schedule.m_refuse_from, start);
    EXPECT_LE(schedule.m_refuse_from, start + milliseconds(3'000));
    EXPECT_GE(schedule.m_answer_at - schedule.m_refuse_from, grace / 2)
        << grace_ms;
    EXPECT_LT(schedule.m_answer_at, schedule.m_exit_at);
    EXPECT_LT(schedule.m_exit_at, start + grace);
  }
}

/** @return a script that answers only after its caller has gone. */
Script HoldRequest() {
  return [](int, const net::HttpRequest &, net::HttpExchange &exchange) {
    while (!exchange.IsPeerGone()) net::SleepFor(milliseconds(5));
    exchange.Abort();
  };
}

// Requests that were in progress at the end of the grace were cut without an
// answer, among them non-idempotent ones.
TEST(GatewayDrainTest, RequestsInProgressGetAFinalAnswer) {
  for (const char *path : {"/once/", "/safe/", "/flow/", "/once-flow/"}) {
    RunWith({HoldRequest(), HoldRequest()}, [path](Harness *harness) {
      FakeExchange exchange;
      boost::fibers::fiber caller(
          [&] { harness->Call(path, &exchange, "60000"); });
      net::SleepFor(milliseconds(100));
      harness->m_gateway.BeginLeaving();
      harness->m_gateway.BeginRefusing();
      base::TimePoint start = base::Clock::now();
      harness->m_gateway.EndActiveRequests();
      caller.join();
      EXPECT_LT(base::Clock::now() - start, milliseconds(300)) << path;
      // It may have run, so the answer must not say that it didn't.
      EXPECT_EQ(exchange.m_status, 502) << path;
      EXPECT_TRUE(exchange.m_is_complete) << path;
      EXPECT_EQ(harness->CountCalls(), 1) << path;
    });
  }
}

// A request that was being sent when the grace ended wasn't ended with the
// others, and was cut without an answer at the exit.
TEST(GatewayDrainTest, RequestThatIsBeingSentGetsAFinalAnswer) {
  for (const char *path : {"/once/", "/safe/", "/flow/", "/once-flow/"}) {
    RunWith({HoldRequest(), HoldRequest()}, [path](Harness *harness) {
      FakeExchange exchange;
      boost::fibers::fiber caller(
          [&] { harness->Call(path, &exchange, "60000"); });
      // The caller's fiber runs until it waits for its connection.
      boost::this_fiber::yield();
      EXPECT_EQ(harness->CountCalls(), 0);
      harness->m_gateway.BeginRefusing();
      base::TimePoint start = base::Clock::now();
      harness->m_gateway.EndActiveRequests();
      caller.join();
      EXPECT_LT(base::Clock::now() - start, milliseconds(300)) << path;
      EXPECT_EQ(exchange.m_status, 502) << path;
      EXPECT_TRUE(exchange.m_is_complete) << path;
      net::SleepFor(milliseconds(50));
    });
  }
}

TEST(GatewayDrainTest, RequestThatWaitsIsRefusedAsNotRun) {
  RunWith({}, [](Harness *harness) {
    FakeExchange exchange;
    boost::fibers::fiber caller(
        [&] { harness->Call("/model/", &exchange, "60000"); });
    net::SleepFor(milliseconds(100));
    EXPECT_EQ(exchange.m_status, 0);
    harness->m_gateway.BeginRefusing();
    caller.join();
    EXPECT_EQ(exchange.m_status, 503);
    EXPECT_NE(exchange.m_headers.Find("Retry-After"), nullptr);
  });
}

// A stream that has begun can't get another status; it must not look complete.
TEST(GatewayDrainTest, StreamInProgressIsCutVisibly) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        SendEvents(request, exchange, 1, 2);
        while (!exchange.IsPeerGone()) net::SleepFor(milliseconds(5));
      }},
      [](Harness *harness) {
        FakeExchange exchange;
        boost::fibers::fiber caller(
            [&] { harness->Call("/once-flow/", &exchange, "60000"); });
        net::SleepFor(milliseconds(100));
        harness->m_gateway.BeginRefusing();
        harness->m_gateway.EndActiveRequests();
        caller.join();
        EXPECT_EQ(exchange.m_status, 200);
        EXPECT_TRUE(exchange.m_is_aborted);
        EXPECT_FALSE(exchange.m_is_complete);
      });
}

}  // namespace
}  // namespace wasabiwind::gateway
