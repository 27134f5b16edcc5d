/** @file gateway_team_test.cpp Requests with keys of teams. */

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "gateway_harness.h"

namespace wasabiwind::gateway {
namespace {

constexpr milliseconds kRevocationTime{1'000};

/** @param keys of the only team */
gen::RouteTable MakeTeamTable(std::uint64_t version,
                              const std::vector<std::string> &keys) {
  gen::RouteTable table = MakeTable();
  table.set_version(version);
  for (gen::Route &route : *table.mutable_routes()) {
    route.set_is_public(route.path_prefix() == "/once/");
  }
  gen::Team *team = table.add_teams();
  team->set_name("red");
  for (const std::string &key : keys) team->add_keys(key);
  return table;
}

gen::FleetEntrySettings MakeStrictSettings() {
  gen::FleetEntrySettings settings = MakeSettings();
  settings.mutable_bounds()->set_strict_revocation("true");
  settings.mutable_bounds()->set_revocation_ms(kRevocationTime.count());
  return settings;
}

void AnswerGood(int, const net::HttpRequest &request,
                net::HttpExchange &exchange) {
  AnswerSigned(request, exchange, 200, "good");
}

/** Runs a test at a gateway whose table 4 gives "secret-1" to team red. */
void RunWithTeam(std::vector<Script> scripts, bool is_strict,
                 const std::function<void(Harness *)> &body) {
  net::RunFiberThread([&] {
    Harness harness(std::move(scripts), {},
                    is_strict ? MakeStrictSettings() : MakeSettings());
    harness.SendTable(MakeTeamTable(4, {"secret-1"}));
    body(&harness);
  });
}

void SetKey(Harness *harness, const std::string &key) {
  harness->m_call_headers = net::HttpHeaders();
  if (!key.empty()) {
    harness->m_call_headers.Add("Authorization", "Bearer " + key);
  }
  harness->m_call_headers.Add("X-Wasabiwind-Tenant", "forged");
}

/** @return the status and, unless it is 200, the reason. */
std::string CallWithKey(Harness *harness, const std::string &path,
                        const std::string &key) {
  SetKey(harness, key);
  FakeExchange exchange;
  harness->Call(path, &exchange, "5000");
  std::string result = std::to_string(exchange.m_status);
  if (exchange.m_status == 200) return result;
  constexpr std::string_view kReason = "\"reason\":\"";
  std::size_t begin = exchange.m_body.find(kReason) + kReason.size();
  return result + " " +
         exchange.m_body.substr(begin,
                                exchange.m_body.find('"', begin) - begin);
}

// A runner must get the team's name instead of the key, and unknown keys must
// not reach it.
TEST(GatewayTeamTest, OnlyKnownKeysReachRunnersAndOnlyAsTeams) {
  RunWithTeam({AnswerGood}, false, [](Harness *harness) {
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "200");
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-2"), "401 unknown_key");
    EXPECT_EQ(CallWithKey(harness, "/safe/", ""), "401 unknown_key");
    ASSERT_EQ(harness->CountCalls(), 1);
    const net::HttpHeaders &seen =
        harness->m_runners[0]->m_requests[0].m_headers;
    EXPECT_EQ(seen.Find("Authorization"), nullptr);
    EXPECT_EQ(seen.Get("X-Wasabiwind-Tenant"), "red");
    EXPECT_EQ(harness->m_freshness_query_count, 0);
  });
}

// A public route must serve callers without and with any key, and still pass
// none on.
TEST(GatewayTeamTest, PublicRoutesNeedNoKeyAndPassNoneOn) {
  RunWithTeam({AnswerGood}, true, [](Harness *harness) {
    for (const char *key : {"", "secret-1", "secret-2"}) {
      EXPECT_EQ(CallWithKey(harness, "/once/", key), "200") << key;
    }
    for (const net::HttpRequest &request : harness->m_runners[0]->m_requests) {
      EXPECT_EQ(request.m_headers.Find("Authorization"), nullptr);
      EXPECT_EQ(request.m_headers.Find("X-Wasabiwind-Tenant"), nullptr);
    }
  });
}

// Deployments without teams pass credentials on and ask for no confirmation.
TEST(GatewayTeamTest, WithoutTeamsNothingChanges) {
  net::RunFiberThread([] {
    Harness harness({AnswerGood}, {}, MakeStrictSettings());
    EXPECT_EQ(CallWithKey(&harness, "/safe/", "secret-9"), "200");
    EXPECT_EQ(CallWithKey(&harness, "/safe/", ""), "200");
    const auto &requests = harness.m_runners[0]->m_requests;
    EXPECT_EQ(requests[0].m_headers.Get("Authorization"), "Bearer secret-9");
    EXPECT_EQ(requests[0].m_headers.Get("X-Wasabiwind-Tenant"), "forged");
    EXPECT_EQ(harness.m_freshness_query_count, 0);
  });
}

// A host that can't know whether its table is the newest must neither accept
// nor refuse keys for good, and goes on as soon as it knows.
TEST(GatewayTeamTest, UnconfirmedTablesServePublicRoutesOnly) {
  RunWithTeam({AnswerGood}, true, [](Harness *harness) {
    for (const char *key : {"secret-1", "secret-2", ""}) {
      EXPECT_EQ(CallWithKey(harness, "/safe/", key), "503 table_not_confirmed");
    }
    EXPECT_EQ(harness->CountCalls(), 0);
    harness->m_confirmed_version = 4;
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "200");
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-2"), "401 unknown_key");
    // A newer table exists, which this host doesn't have.
    harness->m_confirmed_version = 5;
    net::SleepFor(kRevocationTime);
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"),
              "503 table_not_confirmed");
  });
}

// The followed control host may not know of a newer table that another one has
// confirmed: no host asked for it, and keys were refused with 503 meanwhile.
TEST(GatewayTeamTest, NewerConfirmedTablesAreRequestedElsewhere) {
  RunWithTeam({AnswerGood}, true, [](Harness *harness) {
    gen::FleetMessage message;
    message.mutable_news()->set_publisher_epoch(1);
    gen::ControlHost *other =
        message.mutable_news()->add_facts()->mutable_control();
    other->set_name("core-2");
    other->set_endpoint("10.0.0.2:7000");
    harness->m_gateway.HandleMessage(kPublisher, message);
    harness->m_confirmed_version = 4;
    net::SleepFor(milliseconds(1'000));
    EXPECT_TRUE(harness->m_routes_requests.empty());
    harness->m_confirmed_version = 5;
    net::SleepFor(milliseconds(1'200));
    EXPECT_FALSE(harness->m_routes_requests.empty());
  });
}

// A request that waited for a confirmation was judged by the table from before
// the wait: a key added meanwhile was refused for good with 401.
TEST(GatewayTeamTest, RequestsAreJudgedByTheTableThatWasConfirmed) {
  RunWithTeam({AnswerGood}, true, [](Harness *harness) {
    boost::fibers::fiber operators([harness] {
      net::SleepFor(milliseconds(100));
      harness->SendTable(MakeTeamTable(5, {"secret-2"}));
      harness->m_confirmed_version = 5;
    });
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-2"), "200");
    operators.join();
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "401 unknown_key");
  });
}

// A key was revoked for a request that waits: it must be refused as unknown,
// and no attempt may leave.
TEST(GatewayTeamTest, KeysRevokedDuringTheWaitAreUnknown) {
  RunWithTeam({AnswerGood}, true, [](Harness *harness) {
    boost::fibers::fiber operators([harness] {
      net::SleepFor(milliseconds(100));
      harness->SendTable(MakeTeamTable(5, {"secret-2"}));
      harness->m_confirmed_version = 5;
    });
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "401 unknown_key");
    operators.join();
    EXPECT_EQ(harness->CountCalls(), 0);
  });
}

// A request under a revoked key must not be sent again, also if its team still
// exists or the key went to another team.
TEST(GatewayTeamTest, KeysRevokedBetweenTwoAttemptsEndTheRequest) {
  for (const char *new_owner : {"", "blue"}) {
    Harness *gateway = nullptr;
    auto revoke = [&gateway, new_owner](int, const net::HttpRequest &,
                                        net::HttpExchange &exchange) {
      gen::RouteTable table = MakeTeamTable(5, {"secret-2"});
      if (*new_owner != '\0') {
        table.add_teams()->set_name(new_owner);
        table.mutable_teams(1)->add_keys("secret-1");
      }
      gateway->SendTable(table);
      AnswerNotRun(exchange);
    };
    RunWithTeam({revoke, revoke}, false, [&gateway](Harness *harness) {
      gateway = harness;
      harness->EarnRetries();
      EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "503 key_revoked");
      EXPECT_EQ(harness->CountCalls(), 1);
    });
  }
}

// A table that stops being confirmed between two attempts may hold a key that
// was revoked.
TEST(GatewayTeamTest, LostConfirmationEndsTheRequestBeforeItsNextAttempt) {
  // The only runner, since another one would be tried while it is silent.
  Harness *gateway = nullptr;
  auto cut_off = [&gateway](int, const net::HttpRequest &,
                            net::HttpExchange &exchange) {
    gateway->m_confirmed_version.reset();
    net::SleepFor(kRevocationTime);
    AnswerNotRun(exchange);
  };
  RunWithTeam({cut_off}, true, [&gateway](Harness *harness) {
    gateway = harness;
    harness->m_confirmed_version = 4;
    harness->EarnRetries();
    EXPECT_EQ(CallWithKey(harness, "/long-safe/", "secret-1"),
              "503 key_revoked");
    EXPECT_EQ(harness->CountCalls(), 1);
  });
}

// An operator that removes all teams makes every route public; requests that
// are under way must not end as revoked.
TEST(GatewayTeamTest, RequestsGoOnIfTheNewTableHasNoTeams) {
  Harness *gateway = nullptr;
  auto remove_teams = [&gateway](int, const net::HttpRequest &,
                                 net::HttpExchange &exchange) {
    gen::RouteTable table = MakeTable();
    table.set_version(5);
    gateway->SendTable(table);
    AnswerNotRun(exchange);
  };
  RunWithTeam({remove_teams, AnswerGood}, false, [&gateway](Harness *harness) {
    gateway = harness;
    harness->EarnRetries();
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "200");
    EXPECT_EQ(harness->CountCalls() >= 1, true);
  });
}

// Logs and metrics leave the host; a key in them would be known to others.
TEST(GatewayTeamTest, NoLogLineAndNoMetricHoldsAKey) {
  testing::internal::CaptureStdout();
  ASSERT_TRUE(base::InitializeLog("test", "debug"));
  RunWithTeam({AnswerGood}, false, [](Harness *harness) {
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-1"), "200");
    EXPECT_EQ(CallWithKey(harness, "/safe/", "secret-2"), "401 unknown_key");
    EXPECT_EQ(CallWithKey(harness, "/once/", "secret-1"), "200");
  });
  base::ShutDownLog();
  std::string lines = testing::internal::GetCapturedStdout();
  EXPECT_NE(lines.find("\"team\":\"red\""), std::string::npos) << lines;
  EXPECT_NE(lines.find("unknown_key"), std::string::npos) << lines;
  EXPECT_EQ(lines.find("secret"), std::string::npos) << lines;
  std::string metrics = base::SerializeMetrics();
  EXPECT_NE(metrics.find("unknown_key"), std::string::npos);
  EXPECT_EQ(metrics.find("secret"), std::string::npos);
}

}  // namespace
}  // namespace wasabiwind::gateway
