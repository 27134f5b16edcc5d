/** @file gateway_request_test.cpp Requests through a gateway to fake runners.
 */

#include "gateway/request_key_func.h"
#include "gateway_harness.h"

namespace wasabiwind::gateway {
namespace {

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
    harness->EarnRetries();
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

/** Runs a test with one runner, which the first request ends. */
void RunWithCrash(const std::function<void(Harness *)> &body) {
  Harness *current = nullptr;
  auto crash = [&current](int, const net::HttpRequest &,
                          net::HttpExchange &exchange) {
    current->m_runners[0]->m_server.Stop();
    exchange.Abort();
  };
  RunWith({crash}, [&](Harness *harness) {
    current = harness;
    body(harness);
  });
}

// Nothing related a crash of a runner to the prompts that it was reading.
TEST(GatewayRequestTest, PromptLostWithItsRunnerIsReported) {
  RunWithCrash([](Harness *harness) {
    FakeExchange exchange;
    harness->Call("/once-flow/", &exchange, "1200", "aa:100,bb:100,own:9");
    net::SleepFor(milliseconds(200));
    ASSERT_FALSE(harness->m_use_reports.empty());
    const gen::UseReport &report = harness->m_use_reports.back();
    ASSERT_EQ(report.lost_requests_size(), 1);
    const gen::LostRequest &lost = report.lost_requests(0);
    EXPECT_EQ(lost.upstream(), "i-0");
    EXPECT_EQ(lost.born_ms(), 5u);
    std::vector<std::uint64_t> parts(lost.parts().begin(), lost.parts().end());
    EXPECT_EQ(parts, GetPartKeys({"aa", "bb"}));
  });
}

// Answers that faulty runners broke off counted as crashes, so that a request
// which was sent again to the same runner was quarantined.
TEST(GatewayRequestTest, AnswerBrokenOffByARunnerThatRunsIsNotReported) {
  RunWith({[](int, const net::HttpRequest &, net::HttpExchange &exchange) {
            exchange.Abort();
          }},
          [](Harness *harness) {
            for (const char *path : {"/once/", "/safe/", "/flow/"}) {
              FakeExchange exchange;
              harness->Call(path, &exchange, "1200", "aa:100,own:9");
            }
            net::SleepFor(milliseconds(700));
            for (const gen::UseReport &report : harness->m_use_reports) {
              EXPECT_EQ(report.lost_requests_size(), 0);
            }
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
          EXPECT_EQ(report.lost_requests_size(), 0);
          sound.insert(report.sound_parts().begin(),
                       report.sound_parts().end());
        }
        EXPECT_EQ(sound.count(GetPartKeys({"aa"}).front()), 1u);
      });
}

/** @return the key of the request that Harness::Call sends. */
std::uint64_t GetRequestKey(const std::string &path) {
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = path + "x";
  request.m_body = "{}";
  RequestMetadata metadata;
  metadata.m_host = "a.example";
  return MakeRequestKey(request, metadata);
}

// Nothing related the crashes of plain services to the request that came again.
TEST(GatewayRequestTest, RequestLostWithItsRunnerIsReportedForAllRoutes) {
  for (const char *path : {"/once/", "/safe/", "/once-flow/"}) {
    RunWithCrash([path](Harness *harness) {
      FakeExchange exchange;
      harness->Call(path, &exchange);
      net::SleepFor(milliseconds(150));
      ASSERT_FALSE(harness->m_use_reports.empty()) << path;
      const gen::UseReport &report = harness->m_use_reports.back();
      ASSERT_EQ(report.lost_requests_size(), 1) << path;
      EXPECT_EQ(report.lost_requests(0).request_key(), GetRequestKey(path));
    });
  }
}

TEST(GatewayRequestTest, QuarantinedRequestIsRefusedAndOthersAreServed) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        AnswerSigned(request, exchange, 200, "done");
      }},
      [](Harness *harness) {
        harness->QuarantineRequest(GetRequestKey("/once/"));
        FakeExchange refused;
        harness->Call("/once/", &refused, "1200", "", "another-id");
        EXPECT_EQ(refused.m_status, 503);
        EXPECT_NE(refused.m_headers.Find("Retry-After"), nullptr);
        FakeExchange served;
        harness->Call("/safe/", &served);
        EXPECT_EQ(served.m_status, 200);
        EXPECT_EQ(harness->CountCalls(), 1);
      });
}

// A plain request that waits on a runner when it is quarantined would crash it.
TEST(GatewayRequestTest, WaitingPlainRequestIsCancelledWhenQuarantined) {
  Script wait = [](int, const net::HttpRequest &, net::HttpExchange &exchange) {
    net::SleepFor(milliseconds(400));
    exchange.Abort();
  };
  RunWith({wait, wait}, [](Harness *harness) {
    FakeExchange exchange;
    boost::fibers::fiber control([harness] {
      net::SleepFor(milliseconds(100));
      harness->QuarantineRequest(GetRequestKey("/safe/"));
    });
    base::TimePoint start = base::Clock::now();
    harness->Call("/safe/", &exchange);
    EXPECT_LT(base::Clock::now() - start, milliseconds(300));
    control.join();
    EXPECT_EQ(exchange.m_status, 502);
    EXPECT_EQ(harness->CountCalls(), 1);
  });
}

// A request that is asked for all the time was refused for minutes, since it
// was on three runners that crashed for other reasons.
TEST(GatewayRequestTest, AnswerToAQuarantinedRequestIsReported) {
  RunWith(
      {[](int, const net::HttpRequest &request, net::HttpExchange &exchange) {
        AnswerSigned(request, exchange, 200, "done");
      }},
      [](Harness *harness) {
        FakeExchange exchange;
        harness->Call("/safe/", &exchange);
        harness->m_use_reports.clear();
        harness->QuarantineRequest(GetRequestKey("/safe/"));
        net::SleepFor(milliseconds(150));
        ASSERT_FALSE(harness->m_use_reports.empty());
        const gen::UseReport &report = harness->m_use_reports.back();
        ASSERT_EQ(report.sound_requests_size(), 1);
        EXPECT_EQ(report.sound_requests(0), GetRequestKey("/safe/"));
      });
}

net::HttpRequest MakeModelRequest(const std::string &model) {
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/model/x";
  request.m_headers.Add("Host", "a.example");
  request.m_headers.Add("X-Wasabiwind-Request-Id", "r1");
  request.m_headers.Add("X-Wasabiwind-Deadline-Ms", "60000");
  request.m_headers.Add("X-Wasabiwind-Model", model);
  return request;
}

// Names from callers' headers were counted before they were checked: use
// counts grew without a bound, and one name that isn't UTF-8 made the whole
// report unreadable to control hosts.
TEST(GatewayRequestTest, UndeclaredModelIsRefusedAtOnceAndNotReported) {
  RunWith({}, [](Harness *harness) {
    for (const std::string &model :
         {std::string("unknown"), std::string("m\xff"),
          std::string(70'000, 'm'), std::string("m1/a\xff"),
          "m1/" + std::string(300, 'a')}) {
      FakeExchange exchange;
      base::TimePoint start = base::Clock::now();
      harness->m_gateway.HandleCaller(MakeModelRequest(model), exchange);
      EXPECT_EQ(exchange.m_status, 503) << model.substr(0, 20);
      EXPECT_LT(base::Clock::now() - start, milliseconds(100))
          << model.substr(0, 20);
    }
    net::SleepFor(milliseconds(600));
    for (const gen::UseReport &report : harness->m_use_reports) {
      for (const gen::TargetUse &use : report.uses()) {
        EXPECT_EQ(use.model(), "m1");
        EXPECT_EQ(use.adapter(), "");
      }
    }
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
      EXPECT_EQ(report.lost_requests_size(), 0);
    }
  });
}

// A runner that leaves with the header alone must get no further request, not
// even a repeat of the one that it refused.
TEST(GatewayRequestTest, RunnerThatSaysThatItLeavesGetsNoFurtherRequest) {
  Script leave = [](int, const net::HttpRequest &request,
                    net::HttpExchange &exchange) {
    net::HttpHeaders headers = SignedHeaders(request);
    headers.Add("Server-Leaving", "1");
    (void)exchange.Respond({200, headers, "last"});
  };
  Script serve = [](int, const net::HttpRequest &request,
                    net::HttpExchange &exchange) {
    AnswerSigned(request, exchange, 200, "done");
  };
  RunWith({leave, serve}, [](Harness *harness) {
    for (int i = 0; i < 20; ++i) {
      FakeExchange exchange;
      harness->Call("/once/", &exchange, "1200", "", "r" + std::to_string(i));
      EXPECT_EQ(exchange.m_status, 200);
    }
    EXPECT_LE(harness->m_runners[0]->m_calls, 1);
    EXPECT_GE(harness->m_runners[1]->m_calls, 19);
  });
}

/** Refuses each request and asks for a pause. */
Script RefuseWithPause(const std::string &seconds) {
  return [seconds](int, const net::HttpRequest &request,
                   net::HttpExchange &exchange) {
    net::HttpResponse response;
    response.m_status = 503;
    response.m_headers = SignedHeaders(request);
    response.m_headers.Add("X-Wasabiwind-Not-Run", "1");
    response.m_headers.Add("Retry-After", seconds);
    (void)exchange.Respond(response);
  };
}

// Requests went on to reach a runner that had asked for a pause; where all of
// them pause, the caller is told at once when to come back.
TEST(GatewayRequestTest, PausedRunnerGetsNothingAndItsCallersAreToldWhen) {
  RunWith({RefuseWithPause("5")}, [](Harness *harness) {
    harness->EarnRetries();
    for (int i = 0; i < 10; ++i) {
      FakeExchange exchange;
      base::TimePoint start = base::Clock::now();
      harness->Call("/safe/", &exchange, "1200", "", "r" + std::to_string(i));
      EXPECT_EQ(exchange.m_status, 503);
      double retry_after = std::stod(exchange.m_headers.Get("Retry-After"));
      EXPECT_GE(retry_after, 4.5);
      EXPECT_LE(retry_after, 5.6);
      EXPECT_LT(base::Clock::now() - start, milliseconds(200));
    }
    EXPECT_EQ(harness->CountCalls(), 1);
  });
}

// A pause that ends well before the deadline is waited for.
TEST(GatewayRequestTest, ShortPauseIsWaitedFor) {
  Script script = [](int call, const net::HttpRequest &request,
                     net::HttpExchange &exchange) {
    if (call == 0) {
      RefuseWithPause("0.3")(call, request, exchange);
    } else {
      AnswerSigned(request, exchange, 200, "done");
    }
  };
  RunWith({script}, [](Harness *harness) {
    harness->EarnRetries();
    FakeExchange exchange;
    base::TimePoint start = base::Clock::now();
    harness->Call("/safe/", &exchange);
    EXPECT_EQ(exchange.m_status, 200);
    EXPECT_GE(base::Clock::now() - start, milliseconds(300));
    EXPECT_EQ(harness->CountCalls(), 2);
  });
}

/** @return the status of a request to a runner that refuses connections until
 * shortly before. */
int CallRecoveredRunner(const char *pace) {
  int status = 0;
  net::RunFiberThread([&] {
    net::HttpServerOptions options = FakeRunner::MakeOptions();
    {
      FakeRunner closed(
          [](int, const net::HttpRequest &, net::HttpExchange &) {});
      options.m_listen.m_port = closed.m_server.Port();
    }
    gen::FleetEntrySettings settings = MakeSettings();
    settings.mutable_upstreams()->set_pace(pace);
    Harness harness(
        {}, {"127.0.0.1:" + std::to_string(options.m_listen.m_port)}, settings);
    FakeExchange refused;
    harness.Call("/safe/", &refused, "100");
    EXPECT_EQ(refused.m_status, 503);
    net::HttpServer server(options, [](const net::HttpRequest &request,
                                       net::HttpExchange &exchange) {
      AnswerSigned(request, exchange, 200, "done");
    });
    ASSERT_TRUE(server.Listen());
    boost::fibers::fiber serving([&server] { server.Serve(); });
    FakeExchange exchange;
    harness.Call("/safe/", &exchange, "1200");
    status = exchange.m_status;
    server.Stop();
    serving.join();
  });
  return status;
}

// A runner that accepts connections again is left idle to the end of its pause,
// while requests that only it can take are refused.
TEST(GatewayRequestTest, RecoveredRunnerIsUsedBeforeTheEndOfItsPause) {
  EXPECT_EQ(CallRecoveredRunner("false"), 503);
  EXPECT_EQ(CallRecoveredRunner("true"), 200);
}

}  // namespace
}  // namespace wasabiwind::gateway
