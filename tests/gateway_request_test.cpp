/** @file gateway_request_test.cpp Requests through a gateway to fake runners.
 *
 * A fake runner is an HTTP server on loopback that answers from a script; the
 * caller's side is a fake exchange.
 */

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "gateway/gateway.h"
#include "net/fiber_scheduler.h"
#include "platform/gateway_protocol_func.h"

namespace wasabiwind::gateway {
namespace {

using std::chrono::milliseconds;

constexpr const char *kPublisher = "10.0.0.1:7000";

/** Caller's side of a request: records the answer and may disconnect. */
class FakeExchange : public net::HttpExchange {
 public:
  base::Result<void> Respond(const net::HttpResponse &response) override {
    m_status = response.m_status;
    m_headers = response.m_headers;
    m_body = response.m_body;
    m_is_complete = true;
    return {};
  }
  base::Result<void> BeginStream(int status,
                                 const net::HttpHeaders &headers) override {
    m_status = status;
    m_headers = headers;
    return {};
  }
  base::Result<void> WriteStream(std::string_view data) override {
    m_body += data;
    return {};
  }
  base::Result<void> EndStream() override {
    m_is_complete = true;
    return {};
  }
  void Abort() override { m_is_aborted = true; }
  bool HasStarted() const override { return m_status != 0; }
  std::string PeerAddress() const override { return "127.0.0.1:1"; }
  bool IsPeerGone() override { return m_is_gone; }

  int m_status = 0;
  net::HttpHeaders m_headers;
  std::string m_body;
  bool m_is_complete = false;
  bool m_is_aborted = false;
  bool m_is_gone = false;
};

/** What a fake runner does with each request. */
using Script = std::function<void(int call, const net::HttpRequest &,
                                  net::HttpExchange &)>;

struct FakeRunner {
  explicit FakeRunner(Script script)
      : m_script(std::move(script)),
        m_server(MakeOptions(), [this](const net::HttpRequest &request,
                                       net::HttpExchange &exchange) {
          m_requests.push_back(request);
          m_script(m_calls++, request, exchange);
        }) {
    EXPECT_TRUE(m_server.Listen());
  }

  static net::HttpServerOptions MakeOptions() {
    net::HttpServerOptions options;
    options.m_listen = net::Endpoint{"127.0.0.1", 0};
    options.m_treat_half_closed_as_gone = true;
    return options;
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_server.Port());
  }

  Script m_script;
  int m_calls = 0;
  std::vector<net::HttpRequest> m_requests;
  net::HttpServer m_server;
};

net::HttpHeaders SignedHeaders(const net::HttpRequest &request) {
  net::HttpHeaders headers;
  headers.Add("X-Wasabiwind-Request-Id",
              request.m_headers.Get("X-Wasabiwind-Request-Id"));
  headers.Add("X-Wasabiwind-Server-Stamp", "stamp");
  return headers;
}

void AnswerSigned(const net::HttpRequest &request, net::HttpExchange &exchange,
                  int status, const std::string &body) {
  (void)exchange.Respond({status, SignedHeaders(request), body});
}

void AnswerNotRun(net::HttpExchange &exchange) {
  net::HttpResponse response;
  response.m_status = 503;
  response.m_headers.Add("X-Wasabiwind-Not-Run", "1");
  (void)exchange.Respond(response);
}

gen::Route MakeRoute(const std::string &prefix, gen::RouteKind kind,
                     bool is_resumable, std::uint32_t attempts) {
  gen::Route route;
  route.set_name(prefix);
  route.set_host("a.example");
  route.set_path_prefix(prefix);
  route.set_kind(kind);
  route.set_is_resumable(is_resumable);
  route.set_timeout_ms(1'500);
  route.set_max_attempts(attempts);
  route.set_max_gap_ms(100);
  route.add_targets()->set_service("desk");
  route.mutable_targets(0)->set_weight(1);
  return route;
}

gen::RouteTable MakeTable() {
  gen::RouteTable table;
  table.set_version(3);
  table.add_services()->set_name("desk");
  *table.add_routes() =
      MakeRoute("/once/", gen::ROUTE_NON_IDEMPOTENT, false, 1);
  *table.add_routes() = MakeRoute("/safe/", gen::ROUTE_IDEMPOTENT, false, 2);
  *table.add_routes() = MakeRoute("/flow/", gen::ROUTE_STREAM, true, 2);
  *table.add_routes() = MakeRoute("/once-flow/", gen::ROUTE_STREAM, false, 1);
  gen::RoutedService *engines = table.add_services();
  engines->set_name("engines");
  engines->mutable_engine()->add_models()->set_name("m1");
  gen::Route *model_route = table.add_routes();
  *model_route = MakeRoute("/model/", gen::ROUTE_STREAM, true, 2);
  model_route->set_timeout_ms(15'000);
  model_route->mutable_targets(0)->set_service("engines");
  return table;
}

gen::FleetEntrySettings MakeSettings() {
  gen::FleetEntrySettings settings;
  settings.mutable_node()->set_name("entry-1");
  settings.mutable_bounds()->set_retry_ratio(0.2);
  settings.mutable_bounds()->set_retry_slack(50);
  settings.mutable_bounds()->set_retry_window_ms(10'000);
  settings.mutable_bounds()->set_address_ttl_ms(5'000);
  return settings;
}

/** One gateway with its timers and some runners, inside a fiber thread. */
class Harness {
 public:
  explicit Harness(std::vector<Script> scripts)
      : m_protocol(platform::MakeGatewayProtocol()),
        m_gateway(MakeSettings(), &m_protocol,
                  [this](const std::string &, const gen::FleetMessage &sent) {
                    if (sent.has_use()) m_use_reports.push_back(sent.use());
                  }) {
    for (Script &script : scripts) {
      m_runners.push_back(std::make_unique<FakeRunner>(std::move(script)));
    }
    m_timers = boost::fibers::fiber([this] { m_gateway.RunTimers(); });
    for (auto &runner : m_runners) {
      m_servers.emplace_back([&runner] { runner->m_server.Serve(); });
    }
    gen::FleetMessage message;
    gen::FactUpdate *fact_update = message.mutable_news();
    fact_update->set_publisher_epoch(1);
    fact_update->set_last_number(m_runners.size());
    fact_update->set_routes_version(3);
    *fact_update->mutable_routes() = MakeTable();
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
      gen::UpstreamReport *report =
          fact_update->add_facts()->mutable_upstream();
      report->set_id("i-" + std::to_string(i));
      report->set_born_ms(5);
      report->set_report_number(1);
      report->set_service("desk");
      report->set_address(m_runners[i]->Address());
      report->set_slots(4);
    }
    gen::ControlHost *control = fact_update->add_facts()->mutable_control();
    control->set_name("core-1");
    control->set_endpoint(kPublisher);
    gen::UpstreamReport *engine = fact_update->add_facts()->mutable_upstream();
    engine->set_id("i-without-models");
    engine->set_born_ms(5);
    engine->set_report_number(1);
    engine->set_service("engines");
    engine->set_address("127.0.0.1:1");
    m_gateway.HandleMessage(kPublisher, message);
    net::SleepFor(milliseconds(150));  // fills the retry budget a little
  }

  ~Harness() {
    m_gateway.Stop();
    for (auto &runner : m_runners) runner->m_server.Stop();
    m_timers.join();
    for (boost::fibers::fiber &server : m_servers) server.join();
  }

  void Call(const std::string &path, FakeExchange *exchange,
            const std::string &caller_timeout_ms = "1200",
            const std::string &prompt_parts = "") {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_target = path + "x";
    request.m_headers.Add("Host", "a.example");
    request.m_headers.Add("X-Wasabiwind-Request-Id", "r1");
    request.m_headers.Add("X-Wasabiwind-Deadline-Ms", caller_timeout_ms);
    request.m_headers.Add("X-Wasabiwind-Model", "m1");
    if (!prompt_parts.empty()) {
      request.m_headers.Add("X-Wasabiwind-Prefix-Hash", prompt_parts);
    }
    request.m_body = "{}";
    m_gateway.HandleCaller(request, *exchange);
  }

  /** Quarantines parts at the gateway, as control hosts do. */
  void Quarantine(const std::vector<std::uint64_t> &parts) {
    gen::FleetMessage message;
    gen::FactUpdate *update = message.mutable_news();
    update->set_publisher_epoch(1);
    update->mutable_quarantine()->set_version(++m_quarantine_version);
    for (std::uint64_t part : parts) {
      update->mutable_quarantine()->add_parts()->set_part(part);
    }
    m_gateway.HandleMessage(kPublisher, message);
  }

  int CountCalls() const {
    int calls = 0;
    for (const auto &runner : m_runners) calls += runner->m_calls;
    return calls;
  }

  GatewayProtocol m_protocol;
  std::vector<gen::UseReport> m_use_reports;
  std::uint64_t m_quarantine_version = 0;
  Gateway m_gateway;
  std::vector<std::unique_ptr<FakeRunner>> m_runners;
  boost::fibers::fiber m_timers;
  std::vector<boost::fibers::fiber> m_servers;
};

void RunWith(std::vector<Script> scripts,
             const std::function<void(Harness *)> &body) {
  net::RunFiberThread([&] {
    Harness harness(std::move(scripts));
    body(&harness);
  });
}

TEST(GatewayRequestTest, RelaysAnAnswerUnchanged) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        AnswerSigned(request, exchange, 200, "done");
      }},
      [](Harness *harness) {
        FakeExchange exchange;
        harness->Call("/once/", &exchange);
        EXPECT_EQ(exchange.m_status, 200);
        EXPECT_EQ(exchange.m_body, "done");
        EXPECT_EQ(exchange.m_headers.Get("X-Wasabiwind-Server-Stamp"), "stamp");
        const net::HttpRequest &seen = harness->m_runners[0]->m_requests[0];
        EXPECT_EQ(seen.m_headers.Get("X-Wasabiwind-Expect-Instance"), "i-0");
      });
}

// A request may have run if the connection breaks after the send: the answer
// must not say otherwise, and no second runner may get the request.
TEST(GatewayRequestTest, BrokenAnswerOfANonIdempotentRequestIsUnknown) {
  Script abort = [](int, const net::HttpRequest &,
                    net::HttpExchange &exchange) { exchange.Abort(); };
  RunWith({abort, abort}, [](Harness *harness) {
    FakeExchange exchange;
    harness->Call("/once/", &exchange);
    EXPECT_EQ(exchange.m_status, 502);
    EXPECT_EQ(harness->CountCalls(), 1);
  });
}

// A runner's 503 without the not-run header doesn't say that nothing was run.
TEST(GatewayRequestTest, RefusalWithoutNotRunHeaderIsNotRelayed) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        AnswerSigned(request, exchange, 503, "");
      }},
      [](Harness *harness) {
        FakeExchange exchange;
        harness->Call("/once/", &exchange);
        EXPECT_EQ(exchange.m_status, 502);
        EXPECT_EQ(exchange.m_headers.Find("X-Wasabiwind-Server-Stamp"),
                  nullptr);
      });
}

TEST(GatewayRequestTest, RefusalWithNotRunHeaderIsRetriedElsewhere) {
  Script refuse_once = [](int call, const net::HttpRequest &request,
                          net::HttpExchange &exchange) {
    if (call == 0) {
      AnswerNotRun(exchange);
    } else {
      AnswerSigned(request, exchange, 200, "done");
    }
  };
  Script serve = [](int, const net::HttpRequest &request,
                    net::HttpExchange &exchange) {
    AnswerSigned(request, exchange, 200, "done");
  };
  RunWith({refuse_once, serve}, [](Harness *harness) {
    for (int i = 0; i < 20; ++i) {
      FakeExchange warm;  // earns credit for one retry
      harness->Call("/safe/", &warm);
    }
    harness->m_runners[0]->m_calls = 0;
    harness->m_runners[1]->m_calls = 0;
    FakeExchange exchange;
    harness->Call("/once/", &exchange);
    EXPECT_EQ(exchange.m_status, 200);
  });
}

TEST(GatewayRequestTest, SuccessWithoutSignatureIsNotRelayed) {
  RunWith({[](int, const net::HttpRequest &, net::HttpExchange &exchange) {
            net::HttpResponse response;
            response.m_headers.Add("X-Wasabiwind-Request-Id", "r1");
            response.m_body = "noise";
            (void)exchange.Respond(response);
          }},
          [](Harness *harness) {
            FakeExchange exchange;
            harness->Call("/once/", &exchange);
            EXPECT_EQ(exchange.m_status, 502);
          });
}

void SendEvents(const net::HttpRequest &request, net::HttpExchange &exchange,
                int from, int to) {
  (void)exchange.BeginStream(200, SignedHeaders(request));
  for (int i = from; i <= to; ++i) {
    std::string id = std::to_string(i);
    (void)exchange.WriteStream("id: " + id + "\ndata: " + id + "\n\n");
  }
}

// A resumable stream continues at another runner within the same answer.
TEST(GatewayRequestTest, BrokenResumableStreamContinuesElsewhere) {
  Script serve = [](int, const net::HttpRequest &request,
                    net::HttpExchange &exchange) {
    std::string last = request.m_headers.Get("Last-Event-Id");
    if (last.empty()) {
      SendEvents(request, exchange, 1, 2);
      (void)exchange.WriteStream("id: 3\nda");
      net::SleepFor(milliseconds(30));
      exchange.Abort();
      return;
    }
    SendEvents(request, exchange, std::stoi(last) + 1, 4);
    (void)exchange.EndStream();
  };
  RunWith({serve, serve}, [](Harness *harness) {
    for (int i = 0; i < 20; ++i) {
      // Earns credit for one retry.
      route::EarnBudget(harness->m_gateway.GetRetryBudgetForTest("desk"));
    }
    FakeExchange exchange;
    harness->Call("/flow/", &exchange);
    EXPECT_TRUE(exchange.m_is_complete);
    EXPECT_EQ(exchange.m_body,
              "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
              "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n");
  });
}

// A stream that can't be continued must not look complete.
TEST(GatewayRequestTest, BrokenStreamIsAborted) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        SendEvents(request, exchange, 1, 2);
        net::SleepFor(milliseconds(30));
        exchange.Abort();
      }},
      [](Harness *harness) {
        FakeExchange exchange;
        harness->Call("/once-flow/", &exchange);
        EXPECT_TRUE(exchange.m_is_aborted);
        EXPECT_FALSE(exchange.m_is_complete);
        EXPECT_EQ(harness->CountCalls(), 1);
      });
}

// The runner must stop soon after its caller has disconnected.
TEST(GatewayRequestTest, DisconnectOfTheCallerEndsTheRun) {
  bool has_seen_disconnect = false;
  Script wait = [&has_seen_disconnect](int, const net::HttpRequest &,
                                       net::HttpExchange &exchange) {
    for (int i = 0; i < 100 && !has_seen_disconnect; ++i) {
      net::SleepFor(milliseconds(10));
      has_seen_disconnect = exchange.IsPeerGone();
    }
    exchange.Abort();
  };
  RunWith({wait}, [&has_seen_disconnect](Harness *harness) {
    FakeExchange exchange;
    boost::fibers::fiber caller([&exchange] {
      net::SleepFor(milliseconds(50));
      exchange.m_is_gone = true;
    });
    harness->Call("/once/", &exchange);
    caller.join();
    EXPECT_EQ(exchange.m_status, 0);
    net::SleepFor(milliseconds(400));
    EXPECT_TRUE(has_seen_disconnect);
  });
}

TEST(GatewayRequestTest, RequestEndsAtItsDeadline) {
  RunWith({[](int, const net::HttpRequest &, net::HttpExchange &exchange) {
            net::SleepFor(milliseconds(1'600));
            exchange.Abort();
          }},
          [](Harness *harness) {
            FakeExchange exchange;
            base::TimePoint start = base::Clock::now();
            harness->Call("/once/", &exchange);
            EXPECT_EQ(exchange.m_status, 504);
            EXPECT_LT(base::Clock::now() - start, milliseconds(1'550));
          });
}

// Guards against a stream that waits for its model for longer than its caller
// does, which disconnects after 3.2 s without an event: it must be refused with
// Retry-After before that. (Seen in spillsack-core trouble-1.)
TEST(GatewayRequestTest, StreamIsRefusedWhileItsCallerStillWaits) {
  net::RunFiberThread([] {
    Harness harness({});
    FakeExchange exchange;
    auto start = base::Clock::now();
    harness.Call("/model/", &exchange, /*caller_timeout_ms=*/"15000");
    EXPECT_LT(base::Clock::now() - start, milliseconds(1'500));
    EXPECT_EQ(exchange.m_status, 503);
    EXPECT_EQ(exchange.m_headers.Get("Retry-After"), "3.50");
  });
}

TEST(GatewayRequestTest, UnknownPathAndStoppingHostAreRefused) {
  RunWith({}, [](Harness *harness) {
    FakeExchange unknown;
    harness->Call("/nowhere/", &unknown);
    EXPECT_EQ(unknown.m_status, 404);
    harness->m_gateway.BeginLeaving();
    EXPECT_FALSE(harness->m_gateway.IsReady());
    harness->m_gateway.BeginRefusing();
    FakeExchange refused;
    harness->Call("/once/", &refused);
    EXPECT_EQ(refused.m_status, 503);
    EXPECT_NE(refused.m_headers.Find("Retry-After"), nullptr);
  });
}

/** @return the keys of the shared parts of a prompt. */
std::vector<std::uint64_t> GetPartKeys(const std::vector<std::string> &ids) {
  RequestMetadata metadata;
  for (const std::string &id : ids) metadata.m_parts.push_back({id, 100});
  metadata.m_parts.push_back({"own", 10});
  return MakePartKeys(metadata);
}

// Nothing related a crash of a runner to the prompts that it was reading.
TEST(GatewayRequestTest, PromptLostWithItsRunnerIsReported) {
  RunWith({[](int, const net::HttpRequest &, net::HttpExchange &exchange) {
            exchange.Abort();
          }},
          [](Harness *harness) {
            FakeExchange exchange;
            harness->Call("/once-flow/", &exchange, "1200",
                          "aa:100,bb:100,own:9");
            net::SleepFor(milliseconds(200));
            ASSERT_FALSE(harness->m_use_reports.empty());
            const gen::UseReport &report = harness->m_use_reports.back();
            ASSERT_EQ(report.lost_prompts_size(), 1);
            const gen::LostPrompt &lost = report.lost_prompts(0);
            EXPECT_EQ(lost.upstream(), "i-0");
            EXPECT_EQ(lost.born_ms(), 5u);
            std::vector<std::uint64_t> parts(lost.parts().begin(),
                                             lost.parts().end());
            EXPECT_EQ(parts, GetPartKeys({"aa", "bb"}));
          });
}

// A stream that breaks after some events shows that its prompt is sound; only
// the prompts that wait on a crashed runner are suspect.
TEST(GatewayRequestTest, PromptOfABrokenStreamWithEventsIsReportedAsSound) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        SendEvents(request, exchange, 1, 3);
        net::SleepFor(milliseconds(30));
        exchange.Abort();
      }},
      [](Harness *harness) {
        FakeExchange exchange;
        harness->Call("/once-flow/", &exchange, "1200", "aa:100,own:9");
        net::SleepFor(milliseconds(600));
        std::set<std::uint64_t> sound;
        for (const gen::UseReport &report : harness->m_use_reports) {
          EXPECT_EQ(report.lost_prompts_size(), 0);
          sound.insert(report.sound_parts().begin(),
                       report.sound_parts().end());
        }
        EXPECT_EQ(sound.count(GetPartKeys({"aa"}).front()), 1u);
      });
}

// Requests with a part that crashes runners went on to reach runners.
TEST(GatewayRequestTest, PromptWithAQuarantinedPartIsRefusedAsNotRun) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        SendEvents(request, exchange, 1, 3);
        (void)exchange.EndStream();
      }},
      [](Harness *harness) {
        harness->Quarantine(GetPartKeys({"bb"}));
        FakeExchange refused;
        harness->Call("/flow/", &refused, "1200", "aa:100,bb:100,own:9");
        EXPECT_EQ(refused.m_status, 503);
        EXPECT_NE(refused.m_headers.Find("Retry-After"), nullptr);
        EXPECT_EQ(harness->CountCalls(), 0);
        // Requests that share other parts, or have it as their own last part,
        // go on.
        for (const char *parts :
             {"aa:100,cc:100,own:9", "aa:100,bb:9", "bb:9"}) {
          FakeExchange served;
          harness->Call("/flow/", &served, "1200", parts);
          EXPECT_EQ(served.m_status, 200) << parts;
        }
        harness->Quarantine({});
        FakeExchange released;
        harness->Call("/flow/", &released, "1200", "aa:100,bb:100,own:9");
        EXPECT_EQ(released.m_status, 200);
      });
}

// A request that is on a runner when its part is quarantined would crash it.
TEST(GatewayRequestTest, WaitingRequestWithAQuarantinedPartIsCancelled) {
  bool has_seen_disconnect = false;
  Script wait = [&has_seen_disconnect](int, const net::HttpRequest &,
                                       net::HttpExchange &exchange) {
    for (int i = 0; i < 100 && !has_seen_disconnect; ++i) {
      net::SleepFor(milliseconds(10));
      has_seen_disconnect = exchange.IsPeerGone();
    }
    exchange.Abort();
  };
  RunWith({wait, wait}, [&has_seen_disconnect](Harness *harness) {
    FakeExchange exchange;
    boost::fibers::fiber control([harness] {
      net::SleepFor(milliseconds(100));
      harness->Quarantine(GetPartKeys({"bb"}));
    });
    harness->Call("/flow/", &exchange, "1200", "aa:100,bb:100,own:9");
    control.join();
    // It may have run, and must not go on to the other runner.
    EXPECT_EQ(exchange.m_status, 502);
    EXPECT_EQ(harness->CountCalls(), 1);
    net::SleepFor(milliseconds(200));
    EXPECT_TRUE(has_seen_disconnect);
    for (const gen::UseReport &report : harness->m_use_reports) {
      EXPECT_EQ(report.lost_prompts_size(), 0);
    }
  });
}

}  // namespace
}  // namespace wasabiwind::gateway
