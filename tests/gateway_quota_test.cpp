/** @file gateway_quota_test.cpp Requests that are charged to the quotas of
 * their teams. */

#include <set>

#include "gateway_harness.h"

namespace wasabiwind::gateway {
namespace {

constexpr const char *kOtherPublisher = "10.0.0.2:7000";

const Script kServe = [](int, const net::HttpRequest &request,
                         net::HttpExchange &exchange) {
  AnswerSigned(request, exchange, 200, "done");
};
const Script kRefuse = [](int, const net::HttpRequest &,
                          net::HttpExchange &exchange) {
  AnswerNotRun(exchange);
};

/** Control hosts that answer queries as a test says. */
struct FakeControlHosts {
  explicit FakeControlHosts(Harness *harness) : m_harness(harness) {
    gen::FleetMessage message;
    gen::FactUpdate *update = message.mutable_news();
    update->set_publisher_epoch(1);
    update->set_last_number(0);
    update->set_routes_version(4);
    gen::RouteTable *table = update->mutable_routes();
    *table = MakeTable();
    table->set_version(4);
    gen::Route *open = table->add_routes();
    *open = MakeRoute("/open/", gen::ROUTE_IDEMPOTENT, false, 1);
    open->set_is_public(true);
    AddTeam(table, "limited", 29'000);
    AddTeam(table, "free", 0);
    gen::ControlHost *control = update->add_facts()->mutable_control();
    control->set_name("core-2");
    control->set_endpoint(kOtherPublisher);
    harness->m_gateway.HandleMessage(kPublisher, message);
    harness->m_on_sent = [this](const std::string &to,
                                const gen::FleetMessage &sent) {
      if (sent.has_quota_refund())
        m_refunds.emplace_back(to, sent.quota_refund());
      if (!sent.has_quota_query()) return;
      m_queries.emplace_back(to, sent.quota_query());
      bool is_answered =
          !sent.quota_query().is_repeat() && !m_silent.contains(to);
      if (is_answered) Answer(to, sent.quota_query().number());
    };
  }
  ~FakeControlHosts() { m_harness->m_on_sent = nullptr; }
  FakeControlHosts(const FakeControlHosts &) = delete;
  FakeControlHosts &operator=(const FakeControlHosts &) = delete;

  static void AddTeam(gen::RouteTable *table, const std::string &name,
                      double rate) {
    gen::Team *team = table->add_teams();
    team->set_name(name);
    team->add_keys("key-" + name);
    team->set_unit(gen::QUOTA_TOKENS);
    team->set_rate_per_second(rate);
    team->set_plain_cost(200);
  }

  void Answer(const std::string &from, std::uint64_t number) {
    gen::FleetMessage message;
    gen::QuotaAnswer *answer = message.mutable_quota_answer();
    answer->set_number(number);
    answer->set_outcome(from == m_declining ? gen::QUOTA_UNKNOWN : m_outcome);
    answer->set_retry_after_ms(m_retry_after_ms);
    m_harness->m_gateway.HandleMessage(from, message);
  }

  void Call(const std::string &path, FakeExchange *exchange,
            const std::string &team = "limited", const std::string &tokens = "",
            const std::string &id = "r1") {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_target = path + "x";
    request.m_headers.Add("Host", "a.example");
    request.m_headers.Add("X-Wasabiwind-Request-Id", id);
    request.m_headers.Add("X-Wasabiwind-Deadline-Ms", "1200");
    request.m_headers.Add("Authorization", "Bearer key-" + team);
    if (!tokens.empty()) {
      request.m_headers.Add("X-Wasabiwind-Token-Count", tokens);
    }
    request.m_body = "{}";
    m_harness->m_gateway.HandleCaller(request, *exchange);
  }

  int CountRepeats() const {
    int count = 0;
    for (const auto &[to, query] : m_queries)
      count += query.is_repeat() ? 1 : 0;
    return count;
  }

  Harness *m_harness;
  gen::QuotaOutcome m_outcome = gen::QUOTA_CHARGED;
  std::uint32_t m_retry_after_ms = 0;
  std::set<std::string> m_silent;
  std::string m_declining;
  std::vector<std::pair<std::string, gen::QuotaQuery>> m_queries;
  std::vector<std::pair<std::string, gen::QuotaRefund>> m_refunds;
};

void RunQuotaTest(std::vector<Script> scripts,
                  const std::function<void(FakeControlHosts *)> &body) {
  RunWith(std::move(scripts), [&body](Harness *harness) {
    FakeControlHosts control(harness);
    body(&control);
  });
}

// Guards against requests that run without a charge, or at another cost.
TEST(GatewayQuotaTest, RequestIsChargedOnceAtItsTokens) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    FakeExchange exchange;
    control->Call("/safe/", &exchange, "limited", "6300,2890");
    EXPECT_EQ(exchange.m_status, 200);
    ASSERT_EQ(control->m_queries.size(), 1U);
    EXPECT_EQ(control->m_queries[0].second.team(), "limited");
    EXPECT_EQ(control->m_queries[0].second.cost(), 9'190);
    EXPECT_TRUE(control->m_refunds.empty());
    FakeExchange plain;
    control->Call("/once/", &plain);
    EXPECT_EQ(control->m_queries.back().second.cost(), 200);
    EXPECT_TRUE(control->m_refunds.empty());
  });
}

// Guards against refunds of streams that have run.
TEST(GatewayQuotaTest, StreamIsNotRefunded) {
  RunQuotaTest(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        SendEvents(request, exchange, 1, 3);
        (void)exchange.EndStream();
      }},
      [](FakeControlHosts *control) {
        FakeExchange exchange;
        control->Call("/flow/", &exchange);
        EXPECT_TRUE(exchange.m_is_complete);
        EXPECT_TRUE(control->m_refunds.empty());
      });
}

// Guards against refused callers that all return in the same moment.
TEST(GatewayQuotaTest, ExhaustedQuotaIsRefusedWithASpreadReturnTime) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    control->m_outcome = gen::QUOTA_EXHAUSTED;
    control->m_retry_after_ms = 2'000;
    std::set<double> times;
    for (int i = 0; i < 20; ++i) {
      FakeExchange exchange;
      control->Call("/safe/", &exchange, "limited", "", std::to_string(i));
      ASSERT_EQ(exchange.m_status, 429);
      EXPECT_NE(exchange.m_body.find("quota_exhausted"), std::string::npos);
      double time = std::stod(exchange.m_headers.Get("Retry-After"));
      EXPECT_GE(time, 1.9);
      EXPECT_LE(time, 2.6);
      times.insert(time);
    }
    EXPECT_GE(times.size(), 10U);
    EXPECT_EQ(control->m_harness->CountCalls(), 0);
    EXPECT_TRUE(control->m_refunds.empty());
  });
}

// Guards against requests that run although nobody has charged them.
TEST(GatewayQuotaTest, WithoutAnAnswerTheRequestIsNotRun) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    control->m_silent = {kPublisher, kOtherPublisher};
    FakeExchange exchange;
    base::TimePoint start = base::Clock::now();
    control->Call("/safe/", &exchange);
    EXPECT_EQ(exchange.m_status, 503);
    EXPECT_NE(exchange.m_body.find("quota_unavailable"), std::string::npos);
    EXPECT_FALSE(exchange.m_headers.Get("Retry-After").empty());
    EXPECT_LT(base::Clock::now() - start, milliseconds(900));
    EXPECT_EQ(control->m_harness->CountCalls(), 0);
  });
}

// Guards against a lost control host that takes its entry hosts' requests.
TEST(GatewayQuotaTest, SecondControlHostIsAskedAndThenFirst) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    FakeExchange first;
    control->Call("/safe/", &first);
    std::string lost = control->m_queries.back().first;
    control->m_silent = {lost};
    FakeExchange second;
    control->Call("/safe/", &second);
    EXPECT_EQ(second.m_status, 200);
    EXPECT_NE(control->m_queries.back().first, lost);
    std::size_t count = control->m_queries.size();
    FakeExchange third;
    control->Call("/safe/", &third);
    EXPECT_EQ(third.m_status, 200);
    EXPECT_EQ(control->m_queries.size(), count + 1);
    EXPECT_NE(control->m_queries.back().first, lost);
  });
}

// Guards against a control host without a table that delays each request.
TEST(GatewayQuotaTest, HostThatCannotTellIsPassedOverAtOnce) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    control->m_declining = kPublisher;
    for (int i = 0; i < 3; ++i) {
      FakeExchange exchange;
      base::TimePoint start = base::Clock::now();
      control->Call("/safe/", &exchange, "limited", "", std::to_string(i));
      EXPECT_EQ(exchange.m_status, 200);
      EXPECT_LT(base::Clock::now() - start, milliseconds(120));
    }
    // It is asked once at most, and then last for some time.
    EXPECT_LE(control->m_queries.size(), 4U);
    control->m_silent = {kOtherPublisher};
    control->m_queries.clear();
    FakeExchange refused;
    control->Call("/safe/", &refused);
    EXPECT_EQ(refused.m_status, 503);
    EXPECT_EQ(control->m_queries.size(), 2U);
  });
}

// Guards against a late answer to one request that is taken for another one's.
TEST(GatewayQuotaTest, AnswerToAnotherQueryChargesNothing) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    FakeExchange first;
    control->Call("/safe/", &first);
    std::uint64_t number = control->m_queries[0].second.number();
    control->m_silent = {kPublisher, kOtherPublisher};
    FakeExchange second;
    boost::fibers::fiber late([control, number] {
      net::SleepFor(milliseconds(50));
      control->Answer(kPublisher, number);
    });
    control->Call("/safe/", &second);
    late.join();
    EXPECT_EQ(second.m_status, 503);
  });
}

// Guards against a team that pays for what certainly didn't run.
TEST(GatewayQuotaTest, RequestThatDidNotRunIsRefunded) {
  RunQuotaTest({kRefuse}, [](FakeControlHosts *control) {
    FakeExchange exchange;
    control->Call("/once/", &exchange, "limited", "6300,2890");
    EXPECT_EQ(exchange.m_status, 503);
    ASSERT_EQ(control->m_refunds.size(), 1U);
    EXPECT_EQ(control->m_refunds[0].first, control->m_queries[0].first);
    EXPECT_EQ(control->m_refunds[0].second.team(), "limited");
    EXPECT_EQ(control->m_refunds[0].second.cost(), 9'190);
    EXPECT_LT(control->m_refunds[0].second.age_ms(), 1'200U);
  });
}

// Guards against refunds of requests that may have run.
TEST(GatewayQuotaTest, RequestThatMayHaveRunIsNotRefunded) {
  Script abort = [](int, const net::HttpRequest &,
                    net::HttpExchange &exchange) { exchange.Abort(); };
  RunQuotaTest({abort}, [](FakeControlHosts *control) {
    FakeExchange exchange;
    control->Call("/once/", &exchange);
    EXPECT_EQ(exchange.m_status, 502);
    EXPECT_TRUE(control->m_refunds.empty());
  });
}

// The same for a caller that left while its request ran.
TEST(GatewayQuotaTest, RequestOfACallerThatLeftIsNotRefunded) {
  Script wait = [](int, const net::HttpRequest &request,
                   net::HttpExchange &exchange) {
    net::SleepFor(milliseconds(400));
    AnswerSigned(request, exchange, 200, "done");
  };
  RunQuotaTest({wait}, [](FakeControlHosts *control) {
    FakeExchange exchange;
    boost::fibers::fiber leave([&exchange] {
      net::SleepFor(milliseconds(100));
      exchange.m_is_gone = true;
    });
    control->Call("/safe/", &exchange);
    leave.join();
    EXPECT_EQ(control->m_harness->CountCalls(), 1);
    EXPECT_TRUE(control->m_refunds.empty());
  });
}

// Guards against the credit of callers that leave while they are charged.
TEST(GatewayQuotaTest, ChargeOfACallerThatLeftBeforeItRanIsRefunded) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    FakeExchange exchange;
    control->m_harness->m_on_sent = [control, &exchange](
                                        const std::string &to,
                                        const gen::FleetMessage &sent) {
      if (sent.has_quota_refund()) {
        control->m_refunds.emplace_back(to, sent.quota_refund());
      }
      if (sent.has_quota_query()) {
        control->m_queries.emplace_back(to, sent.quota_query());
        exchange.m_is_gone = true;
        control->Answer(to, sent.quota_query().number());
      }
    };
    control->Call("/safe/", &exchange);
    EXPECT_EQ(control->m_harness->CountCalls(), 0);
    EXPECT_EQ(control->m_queries.size(), 1U);
    EXPECT_EQ(control->m_refunds.size(), 1U);
  });
}

// Guards against charges of what no quota limits.
TEST(GatewayQuotaTest, PublicRoutesAndTeamsWithoutLimitAreNotCharged) {
  RunQuotaTest({kServe}, [](FakeControlHosts *control) {
    FakeExchange open;
    control->Call("/open/", &open);
    EXPECT_EQ(open.m_status, 200);
    FakeExchange free;
    control->Call("/safe/", &free, "free");
    EXPECT_EQ(free.m_status, 200);
    EXPECT_TRUE(control->m_queries.empty());
    EXPECT_TRUE(control->m_refunds.empty());
  });
}

// Guards against further attempts that run beyond the quota, and against
// charges for attempts that certainly didn't run.
TEST(GatewayQuotaTest, RepeatIsChargedIfTheFirstAttemptMayHaveRun) {
  for (bool is_run : {true, false}) {
    int calls = 0;
    Script fail_once = [&calls, is_run](int, const net::HttpRequest &request,
                                        net::HttpExchange &exchange) {
      if (calls++ > 0) {
        AnswerSigned(request, exchange, 200, "done");
      } else if (is_run) {
        exchange.Abort();
      } else {
        AnswerNotRun(exchange);
      }
    };
    RunQuotaTest({fail_once, fail_once},
                 [&calls, is_run](FakeControlHosts *control) {
                   control->m_harness->EarnRetries();
                   FakeExchange exchange;
                   control->Call("/safe/", &exchange);
                   EXPECT_EQ(exchange.m_status, 200);
                   EXPECT_EQ(calls, 2);
                   EXPECT_EQ(control->CountRepeats(), is_run ? 1 : 0);
                   EXPECT_EQ(control->m_queries.back().first,
                             control->m_queries.front().first);
                   EXPECT_TRUE(control->m_refunds.empty());
                 });
  }
}

}  // namespace
}  // namespace wasabiwind::gateway
