/** @file entry_harness.h An entry server with fake upstreams in one process. */

#ifndef WASABIWIND_TESTS_ENTRY_HARNESS_H_
#define WASABIWIND_TESTS_ENTRY_HARNESS_H_

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/settings_func.h"
#include "entry/entry_server.h"
#include "entry/standalone_link.h"
#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace wasabiwind::entry {

inline base::TimePoint FromNow(base::Duration duration) {
  return base::Clock::now() + duration;
}

/** An HTTP server on its own thread that records the requests it gets. */
class FakeUpstream {
 public:
  explicit FakeUpstream(net::HttpHandler handler)
      : m_handler(std::move(handler)) {
    net::HttpServerOptions options;
    options.m_listen = net::Endpoint{"127.0.0.1", 0};
    m_server = std::make_unique<net::HttpServer>(
        options,
        [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
          Record(request);
          m_handler(request, exchange);
        });
    EXPECT_TRUE(m_server->Listen());
    m_thread = std::thread(
        [this] { net::RunFiberThread([this] { m_server->Serve(); }); });
  }
  ~FakeUpstream() {
    m_server->Stop();
    m_thread.join();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_server->Port());
  }
  std::vector<net::HttpRequest> Requests() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
  }
  std::size_t Count(const std::string &path) {
    std::size_t count = 0;
    for (const net::HttpRequest &request : Requests()) {
      count += request.Path() == path ? 1 : 0;
    }
    return count;
  }

 private:
  void Record(const net::HttpRequest &request) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_requests.push_back(request);
  }

  net::HttpHandler m_handler;
  std::unique_ptr<net::HttpServer> m_server;
  std::thread m_thread;
  std::mutex m_mutex;
  std::vector<net::HttpRequest> m_requests;
};

inline std::string MakeTokenEvent(std::uint64_t index) {
  return "data: {\"token_index\":" + std::to_string(index) +
         ",\"choices\":[{\"delta\":{\"content\":\"t" + std::to_string(index) +
         " \"}}]}\n\n";
}

/** @return the first token that a relayed request asks for. */
inline std::uint64_t GetResumeIndex(const net::HttpRequest &request) {
  boost::json::value body = boost::json::parse(request.m_body);
  const auto *resume = body.as_object().if_contains("resume_from_token");
  return resume == nullptr ? 0 : resume->to_number<std::uint64_t>();
}

/** Streams tokens from the requested one up to `end`; closes the connection
 * before token `break_at`. */
inline void StreamTokens(const net::HttpRequest &request,
                         net::HttpExchange &exchange, std::uint64_t end,
                         std::uint64_t break_at = ~0ULL) {
  net::HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  if (!exchange.BeginStream(200, headers)) return;
  for (std::uint64_t i = GetResumeIndex(request); i < end; ++i) {
    if (i == break_at) {
      exchange.Abort();
      return;
    }
    if (!exchange.WriteStream(MakeTokenEvent(i))) return;
  }
  if (!exchange.WriteStream("data: [DONE]\n\n")) return;
  (void)exchange.EndStream();
}

/** @return what a caller of a complete stream must receive. */
inline std::string ExpectedStream(std::uint64_t end) {
  std::string text;
  for (std::uint64_t i = 0; i < end; ++i) text += MakeTokenEvent(i);
  return text + "data: [DONE]\n\n";
}

inline constexpr const char *kTestDeclarations = R"(
[model m]
version = 1
weight_bytes = 1MiB
memory_bytes = 1MiB
[adapter a]
model = m
version = 2
weight_bytes = 1MiB
memory_bytes = 1MiB
[deployment chat]
model = m
regions = local
queue_limit = 2
max_wait_ms = 2s
[deployment closed]
model = m
regions = local
customers = alice
[service stock]
regions = local
[service orders]
regions = local
repeatable = never
[customer alice]
key_sha256 = 2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90
[customer label]
weight = 2
)";  // the key of alice is "alice"

/** An entry server in standalone mode; the test body runs in a fiber. */
class EntryHarness {
 public:
  explicit EntryHarness(const std::string &extra_settings = "",
                        OnceClient *once = nullptr) {
    std::string text =
        "[node]\nname = n1\n[entry]\nlisten = 127.0.0.1:0\nkeep_ms = 50ms\n"
        "log_requests = false\n" +
        extra_settings;
    base::Result<void> parsed =
        base::ParseSettings(text, "settings", &m_settings);
    EXPECT_TRUE(parsed) << parsed.error().ToString();
    gen::Declarations declarations;
    parsed = base::ParseSettings(kTestDeclarations, "decl", &declarations);
    EXPECT_TRUE(parsed) << parsed.error().ToString();
    m_server = std::make_unique<EntryServer>(m_settings, once);
    EXPECT_TRUE(m_server->Listen());
    gen::NodeRecord node;
    node.set_node("n1");
    node.set_region("local");
    node.set_caller_address("127.0.0.1:" + std::to_string(m_server->Port()));
    m_link = std::make_unique<StandaloneLink>(
        config::BuildCatalog(declarations, base::Revision(1)), node,
        m_server->MakeLinkEvents());
    m_server->Start(m_link.get());
  }
  ~EntryHarness() {
    if (!m_is_stopped) Stop();
  }

  void Stop() {
    m_is_stopped = true;
    m_server->Stop();
  }

  EntryServer &Server() { return *m_server; }
  net::Endpoint Endpoint() const { return {"127.0.0.1", m_server->Port()}; }

  /** Sends one request; an exchange that fails has status 0. */
  net::HttpResponse Send(const std::string &method, const std::string &target,
                         const std::string &body = "",
                         const net::HttpHeaders &headers = {}) {
    base::Result<net::HttpResponse> response = m_pool.Fetch(
        Endpoint(), net::HttpRequest{method, target, headers, body},
        FromNow(base::seconds(20)));
    if (response) return *response;
    net::HttpResponse failed;
    failed.m_status = 0;
    failed.m_body = response.error().ToString();
    return failed;
  }

  net::HttpResponse Chat(const std::string &model, bool is_stream,
                         const net::HttpHeaders &headers = {}) {
    return Send("POST", "/v1/chat/completions",
                "{\"model\":\"" + model +
                    "\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],"
                    "\"stream\":" +
                    (is_stream ? "true}" : "false}"),
                headers);
  }

  int AnnounceEngine(const std::string &name, const std::string &address,
                     int slots = 4, int incarnation = 1,
                     const std::string &state = "ready") {
    return Send("POST", "/upstream/v1/announce",
                "{\"upstream\":\"" + name +
                    "\",\"kind\":\"engine\",\"address\":\"" + address +
                    "\",\"incarnation\":" + std::to_string(incarnation) +
                    ",\"slots\":" + std::to_string(slots) + ",\"state\":\"" +
                    state +
                    "\",\"loaded\":[{\"target\":\"m@1\",\"bytes\":1},"
                    "{\"target\":\"m@1/a@2\",\"bytes\":1}]}")
        .m_status;
  }
  int AnnounceService(const std::string &name, const std::string &service,
                      const std::string &address) {
    return Send("POST", "/upstream/v1/announce",
                "{\"upstream\":\"" + name +
                    "\",\"kind\":\"service\",\"service\":\"" + service +
                    "\",\"address\":\"" + address + "\",\"slots\":8}")
        .m_status;
  }

  /** Closes the connections that the test holds. */
  void CloseConnections() { m_pool.CloseIdle(Endpoint()); }

 private:
  gen::EntrySettings m_settings;
  std::unique_ptr<EntryServer> m_server;
  std::unique_ptr<StandaloneLink> m_link;
  net::HttpClientPool m_pool;
  bool m_is_stopped = false;
};

/** @return "reason/ran" of a refusal, or "" for another answer. */
inline std::string GetReason(const net::HttpResponse &response) {
  boost::json::error_code error;
  boost::json::value body = boost::json::parse(response.m_body, error);
  if (error || !body.is_object()) return "";
  const auto *inner = body.as_object().if_contains("error");
  if (inner == nullptr) return "";
  return std::string(inner->at("reason").as_string()) + "/" +
         std::string(inner->at("ran").as_string());
}

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_TESTS_ENTRY_HARNESS_H_
