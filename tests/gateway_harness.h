/** @file gateway_harness.h A gateway with fake runners, for tests.
 *
 * A fake runner is an HTTP server on loopback that answers from a script; the
 * caller's side is a fake exchange.
 */

#ifndef WASABIWIND_TESTS_GATEWAY_HARNESS_H_
#define WASABIWIND_TESTS_GATEWAY_HARNESS_H_

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "net/fiber_scheduler.h"
#include "platform/gateway_protocol_func.h"

namespace wasabiwind::gateway {

using std::chrono::milliseconds;

inline constexpr const char *kPublisher = "10.0.0.1:7000";

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

inline net::HttpHeaders SignedHeaders(const net::HttpRequest &request) {
  net::HttpHeaders headers;
  headers.Add("X-Wasabiwind-Request-Id",
              request.m_headers.Get("X-Wasabiwind-Request-Id"));
  headers.Add("X-Wasabiwind-Server-Stamp", "stamp");
  return headers;
}

inline void AnswerSigned(const net::HttpRequest &request,
                         net::HttpExchange &exchange, int status,
                         const std::string &body) {
  (void)exchange.Respond({status, SignedHeaders(request), body});
}

inline void AnswerNotRun(net::HttpExchange &exchange) {
  net::HttpResponse response;
  response.m_status = 503;
  response.m_headers.Add("X-Wasabiwind-Not-Run", "1");
  (void)exchange.Respond(response);
}

inline gen::Route MakeRoute(const std::string &prefix, gen::RouteKind kind,
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

inline gen::RouteTable MakeTable() {
  gen::RouteTable table;
  table.set_version(3);
  table.add_services()->set_name("desk");
  *table.add_routes() =
      MakeRoute("/once/", gen::ROUTE_NON_IDEMPOTENT, false, 1);
  *table.add_routes() = MakeRoute("/safe/", gen::ROUTE_IDEMPOTENT, false, 2);
  *table.add_routes() = MakeRoute("/flow/", gen::ROUTE_STREAM, true, 2);
  *table.add_routes() = MakeRoute("/once-flow/", gen::ROUTE_STREAM, false, 1);
  for (auto kind : {gen::ROUTE_STREAM, gen::ROUTE_IDEMPOTENT}) {
    bool is_stream = kind == gen::ROUTE_STREAM;
    gen::Route *route = table.add_routes();
    *route = MakeRoute(is_stream ? "/long-flow/" : "/long-safe/", kind,
                       is_stream, 2);
    route->set_timeout_ms(8'000);
  }
  gen::RoutedService *engines = table.add_services();
  engines->set_name("engines");
  engines->mutable_engine()->add_models()->set_name("m1");
  gen::Route *model_route = table.add_routes();
  *model_route = MakeRoute("/model/", gen::ROUTE_STREAM, true, 2);
  model_route->set_timeout_ms(15'000);
  model_route->mutable_targets(0)->set_service("engines");
  return table;
}

inline gen::FleetEntrySettings MakeSettings() {
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
  /** @param addresses of further runners, that the caller runs */
  explicit Harness(std::vector<Script> scripts,
                   const std::vector<std::string> &addresses = {},
                   const gen::FleetEntrySettings &settings = MakeSettings())
      : m_protocol(platform::MakeGatewayProtocol()),
        m_gateway(settings, &m_protocol,
                  [this](const std::string &to, const gen::FleetMessage &sent) {
                    if (sent.follow().wants_routes_only())
                      ++m_routes_requests[to];
                    if (sent.has_use()) m_use_reports.push_back(sent.use());
                    if (sent.has_freshness_query()) {
                      AnswerFreshness(to, sent.freshness_query());
                    }
                    if (m_on_sent) m_on_sent(to, sent);
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
    fact_update->set_last_number(m_runners.size() + addresses.size());
    fact_update->set_routes_version(3);
    *fact_update->mutable_routes() = MakeTable();
    std::vector<std::string> all_addresses = addresses;
    for (auto &runner : m_runners) all_addresses.push_back(runner->Address());
    for (std::size_t i = 0; i < all_addresses.size(); ++i) {
      gen::UpstreamReport *report =
          fact_update->add_facts()->mutable_upstream();
      report->set_id("i-" + std::to_string(i));
      report->set_born_ms(5);
      report->set_report_number(1);
      report->set_service("desk");
      report->set_address(all_addresses[i]);
      report->set_slots(4);
    }
    gen::RegionDigest *digest = fact_update->add_facts()->mutable_region();
    digest->set_region("r");
    digest->set_entry_host_count(1);
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
            const std::string &prompt_parts = "",
            const std::string &request_id = "r1") {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_target = path + "x";
    request.m_headers.Add("Host", "a.example");
    request.m_headers.Add("X-Wasabiwind-Request-Id", request_id);
    request.m_headers.Add("X-Wasabiwind-Deadline-Ms", caller_timeout_ms);
    request.m_headers.Add("X-Wasabiwind-Model", "m1");
    if (!prompt_parts.empty()) {
      request.m_headers.Add("X-Wasabiwind-Prefix-Hash", prompt_parts);
    }
    for (const net::HttpHeader &header : m_call_headers.m_items) {
      request.m_headers.Add(header.m_name, header.m_value);
    }
    request.m_body = m_call_body;
    m_gateway.HandleCaller(request, *exchange);
  }

  /** Sends the gateway a route table, as control hosts do. */
  void SendTable(const gen::RouteTable &table) {
    gen::FleetMessage message;
    gen::FactUpdate *update = message.mutable_news();
    update->set_publisher_epoch(1);
    update->set_routes_version(table.version());
    *update->mutable_routes() = table;
    m_gateway.HandleMessage(kPublisher, message);
  }

  /** Answers as a control host that knows m_confirmed_version; not at all
   * without it. */
  void AnswerFreshness(const std::string &from,
                       const gen::FreshnessQuery &query) {
    ++m_freshness_query_count;
    if (!m_confirmed_version) return;
    gen::FleetMessage message;
    gen::FreshnessAnswer *answer = message.mutable_freshness_answer();
    answer->set_number(query.number());
    answer->set_routes_version(*m_confirmed_version);
    m_gateway.HandleMessage(from, message);
  }

  /** Quarantines parts at the gateway, as control hosts do. */
  void Quarantine(const std::vector<std::uint64_t> &parts) {
    gen::FleetMessage message;
    gen::FactUpdate *update = message.mutable_news();
    update->set_publisher_epoch(1);
    update->mutable_quarantine()->set_version(++m_quarantine_version);
    for (std::uint64_t part : parts) {
      update->mutable_quarantine()->add_items()->set_key(part);
    }
    m_gateway.HandleMessage(kPublisher, message);
  }

  /** Quarantines one request at the gateway. */
  void QuarantineRequest(std::uint64_t key) {
    gen::FleetMessage message;
    gen::FactUpdate *update = message.mutable_news();
    update->set_publisher_epoch(1);
    update->mutable_quarantine()->set_version(++m_quarantine_version);
    gen::QuarantineItem *item = update->mutable_quarantine()->add_items();
    item->set_kind(gen::SUSPECT_REQUEST);
    item->set_key(key);
    m_gateway.HandleMessage(kPublisher, message);
  }

  /** Earns credit for retries. */
  void EarnRetries() {
    for (int i = 0; i < 20; ++i) {
      route::EarnBudget(m_gateway.GetRetryBudgetForTest("desk"));
    }
  }

  int CountCalls() const {
    int calls = 0;
    for (const auto &runner : m_runners) calls += runner->m_calls;
    return calls;
  }

  GatewayProtocol m_protocol;
  std::vector<gen::UseReport> m_use_reports;
  /** Gets each message of the gateway to other hosts. */
  std::function<void(const std::string &to, const gen::FleetMessage &)>
      m_on_sent;
  std::uint64_t m_quarantine_version = 0;
  std::optional<std::uint64_t> m_confirmed_version;
  int m_freshness_query_count = 0;
  std::map<std::string, int> m_routes_requests;  ///< by control host
  net::HttpHeaders m_call_headers;  ///< of callers, beside the usual ones
  std::string m_call_body = "{}";   ///< of callers
  Gateway m_gateway;
  std::vector<std::unique_ptr<FakeRunner>> m_runners;
  boost::fibers::fiber m_timers;
  std::vector<boost::fibers::fiber> m_servers;
};

inline void RunWith(std::vector<Script> scripts,
                    const std::function<void(Harness *)> &body) {
  net::RunFiberThread([&] {
    Harness harness(std::move(scripts));
    body(&harness);
  });
}

inline void SendEvents(const net::HttpRequest &request,
                       net::HttpExchange &exchange, int from, int to) {
  (void)exchange.BeginStream(200, SignedHeaders(request));
  for (int i = from; i <= to; ++i) {
    std::string id = std::to_string(i);
    (void)exchange.WriteStream("id: " + id + "\ndata: " + id + "\n\n");
  }
}

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_TESTS_GATEWAY_HARNESS_H_
