/** @file gateway_silence_test.cpp Requests whose runner falls silent for a
 * while and then goes on.
 */

#include "gateway_harness.h"

namespace wasabiwind::gateway {
namespace {

/** Longer than the time after which another runner is tried. */
constexpr milliseconds kSilence{1'700};
constexpr const char *kEvents =
    "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";

/** Sends one event, falls silent, and goes on unless its caller has left. */
void PauseInTheMiddle(const net::HttpRequest &request,
                      net::HttpExchange &exchange) {
  SendEvents(request, exchange, 1, 1);
  net::SleepFor(kSilence);
  if (exchange.IsPeerGone()) return;
  (void)exchange.WriteStream("id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
  (void)exchange.EndStream();
}

void AnswerAfterSilence(const net::HttpRequest &request,
                        net::HttpExchange &exchange) {
  net::SleepFor(kSilence);
  if (!exchange.IsPeerGone()) AnswerSigned(request, exchange, 200, "late");
}

/** Leaves no credit for further attempts while a test runs. */
void UseUpRetryBudget(Harness *harness) {
  constexpr double kDebt = -100;
  harness->m_gateway.GetRetryBudgetForTest("desk")->m_credit = kDebt;
}

// A stream was cut because its runner had been silent for a second and the
// retry budget allowed no attempt elsewhere, although the runner went on.
TEST(GatewaySilenceTest, SilentStreamIsNotCutWithoutRetryBudget) {
  auto script = [](int, const net::HttpRequest &request,
                   net::HttpExchange &exchange) {
    PauseInTheMiddle(request, exchange);
  };
  RunWith({script, script}, [](Harness *harness) {
    UseUpRetryBudget(harness);
    FakeExchange exchange;
    harness->Call("/long-flow/", &exchange, "8000");
    EXPECT_FALSE(exchange.m_is_aborted);
    EXPECT_TRUE(exchange.m_is_complete);
    EXPECT_EQ(exchange.m_body, kEvents);
    EXPECT_EQ(harness->CountCalls(), 1);
  });
}

// A stream was cut because the runner that was to continue it refused.
TEST(GatewaySilenceTest, SilentStreamGoesOnIfNoOtherRunnerTakesIt) {
  auto script = [](int call, const net::HttpRequest &request,
                   net::HttpExchange &exchange) {
    static_cast<void>(call);
    if (request.m_headers.Find("Last-Event-Id") != nullptr) {
      AnswerNotRun(exchange);
    } else {
      PauseInTheMiddle(request, exchange);
    }
  };
  RunWith({script, script}, [](Harness *harness) {
    harness->EarnRetries();
    FakeExchange exchange;
    harness->Call("/long-flow/", &exchange, "8000");
    EXPECT_FALSE(exchange.m_is_aborted);
    EXPECT_TRUE(exchange.m_is_complete);
    EXPECT_EQ(exchange.m_body, kEvents);
    EXPECT_EQ(harness->CountCalls(), 2);
  });
}

// A runner that is silent for good must still not hold its streams up.
TEST(GatewaySilenceTest, StreamOfASilentRunnerContinuesElsewhere) {
  int cancelled = 0;
  auto script = [&cancelled](int, const net::HttpRequest &request,
                             net::HttpExchange &exchange) {
    if (request.m_headers.Get("Last-Event-Id") == "1") {
      SendEvents(request, exchange, 2, 3);
      (void)exchange.EndStream();
      return;
    }
    SendEvents(request, exchange, 1, 1);
    for (int i = 0; i < 100 && !exchange.IsPeerGone(); ++i) {
      net::SleepFor(milliseconds(50));
    }
    if (exchange.IsPeerGone()) ++cancelled;
  };
  RunWith({script, script}, [&cancelled](Harness *harness) {
    harness->EarnRetries();
    FakeExchange exchange;
    harness->Call("/long-flow/", &exchange, "8000");
    EXPECT_TRUE(exchange.m_is_complete);
    EXPECT_EQ(exchange.m_body, kEvents);
    EXPECT_EQ(harness->CountCalls(), 2);
    net::SleepFor(milliseconds(100));
    EXPECT_EQ(cancelled, 1);
  });
}

// The caller waited for the other runner although the first one went on.
TEST(GatewaySilenceTest, RunnerThatAnswersFirstGetsTheStream) {
  auto script = [](int, const net::HttpRequest &request,
                   net::HttpExchange &exchange) {
    if (request.m_headers.Find("Last-Event-Id") == nullptr) {
      PauseInTheMiddle(request, exchange);
      return;
    }
    for (int i = 0; i < 100 && !exchange.IsPeerGone(); ++i) {
      net::SleepFor(milliseconds(50));
    }
  };
  RunWith({script, script}, [](Harness *harness) {
    harness->EarnRetries();
    FakeExchange exchange;
    base::TimePoint start = base::Clock::now();
    harness->Call("/long-flow/", &exchange, "8000");
    EXPECT_LT(base::Clock::now() - start, kSilence + milliseconds(1'000));
    EXPECT_TRUE(exchange.m_is_complete);
    EXPECT_EQ(exchange.m_body, kEvents);
    EXPECT_EQ(harness->CountCalls(), 2);
  });
}

// Runners must stop the work of a caller that leaves, the silent one included.
TEST(GatewaySilenceTest, DisconnectOfTheCallerEndsBothAttempts) {
  int cancelled = 0;
  auto script = [&cancelled](int, const net::HttpRequest &request,
                             net::HttpExchange &exchange) {
    if (request.m_headers.Find("Last-Event-Id") == nullptr) {
      SendEvents(request, exchange, 1, 1);
    }
    for (int i = 0; i < 160 && !exchange.IsPeerGone(); ++i) {
      net::SleepFor(milliseconds(25));
    }
    if (exchange.IsPeerGone()) ++cancelled;
  };
  RunWith({script, script}, [&cancelled](Harness *harness) {
    harness->EarnRetries();
    FakeExchange exchange;
    boost::fibers::fiber caller(
        [&] { harness->Call("/long-flow/", &exchange, "8000"); });
    net::SleepFor(kSilence);
    EXPECT_EQ(harness->CountCalls(), 2);
    exchange.m_is_gone = true;
    net::SleepFor(milliseconds(300));
    EXPECT_EQ(cancelled, 2);
    caller.join();
  });
}

// A plain request was answered with 502 because its runner had been silent for
// less than half a second and the retry budget allowed no other attempt.
TEST(GatewaySilenceTest, SilentPlainRequestIsAnsweredWithoutRetryBudget) {
  auto script = [](int, const net::HttpRequest &request,
                   net::HttpExchange &exchange) {
    AnswerAfterSilence(request, exchange);
  };
  RunWith({script, script}, [](Harness *harness) {
    UseUpRetryBudget(harness);
    FakeExchange exchange;
    harness->Call("/long-safe/", &exchange, "8000");
    EXPECT_EQ(exchange.m_status, 200);
    EXPECT_EQ(exchange.m_body, "late");
    EXPECT_EQ(harness->CountCalls(), 1);
  });
}

// A plain request was answered with 502 because another runner refused it,
// although the first one answered later.
TEST(GatewaySilenceTest, SilentPlainRequestIsAnsweredIfNoOtherRunnerTakesIt) {
  int started = 0;
  auto script = [&started](int, const net::HttpRequest &request,
                           net::HttpExchange &exchange) {
    if (started++ == 0) {
      AnswerAfterSilence(request, exchange);
    } else {
      AnswerNotRun(exchange);
    }
  };
  RunWith({script, script}, [](Harness *harness) {
    harness->EarnRetries();
    FakeExchange exchange;
    harness->Call("/long-safe/", &exchange, "8000");
    EXPECT_EQ(exchange.m_status, 200);
    EXPECT_EQ(exchange.m_body, "late");
  });
}

}  // namespace
}  // namespace wasabiwind::gateway
