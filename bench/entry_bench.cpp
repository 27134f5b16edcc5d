/** @file entry_bench.cpp Throughput, latency and memory of the entry server. */

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

#include "base/log_func.h"
#include "base/settings_func.h"
#include "entry/entry_server.h"
#include "entry/standalone_link.h"
#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "net/http_server.h"

ABSL_FLAG(std::string, measure, "requests",
          "requests, tokens, paced, latency, memory or idle");
ABSL_FLAG(int, seconds, 3, "duration of one run");
ABSL_FLAG(int, connections, 64, "concurrent caller connections");
ABSL_FLAG(int, tokens, 500, "tokens of one stream");
ABSL_FLAG(int, gap_ms, 35, "time between tokens for --measure=paced");
ABSL_FLAG(std::string, log_level, "info",
          "log level of the server; send stderr to a file");
ABSL_FLAG(int, rate, 5000, "requests/s for --measure=latency");

namespace wasabiwind::entry {
namespace {

namespace asio = boost::asio;
using base::milliseconds;
using base::seconds;
using tcp = asio::ip::tcp;

constexpr int kEntryThreads = 2;
constexpr int kUpstreamThreads = 3;
constexpr int kCallerThreads = 3;
constexpr int kAdapters = 41'000;
constexpr int kModels = 87;
constexpr int kRunners = 1'000;

gen::Declarations MakeDeclarations(int adapters) {
  gen::Declarations declarations;
  for (int i = 0; i < kModels; ++i) {
    gen::Model *model = declarations.add_model();
    model->set_name(fmt::format("m{}", i));
    model->set_version("1");
    gen::Deployment *deployment = declarations.add_deployment();
    deployment->set_name(fmt::format("d{}", i));
    deployment->set_model(model->name());
    deployment->add_regions("local");
    deployment->set_priority("standard");
    deployment->set_queue_limit(20'000);
    deployment->set_max_wait_ms(30'000);
  }
  for (int i = 0; i < adapters; ++i) {
    gen::Adapter *adapter = declarations.add_adapter();
    adapter->set_name(fmt::format("a{}", i));
    adapter->set_model(fmt::format("m{}", i % kModels));
    adapter->set_version("1");
    adapter->set_weight_bytes(1 << 20);
    adapter->set_memory_bytes(1 << 20);
    adapter->set_max_replicas(1);
  }
  return declarations;
}

/** @return processor time of the entry server's threads in this process. */
std::chrono::duration<double> GetEntryCpuTime() {
  double ticks = 0;
  for (const auto &task :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::ifstream file(task.path() / "stat");
    std::string text;
    std::getline(file, text);
    if (text.find("(ww-entry)") == std::string::npos) continue;
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int kFieldsBeforeUserTime = 11;
    for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return std::chrono::duration<double>(
      ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)));
}

double GetResidentMebibytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
}

/** Simulated engine and service, on separate threads. */
class Upstream {
 public:
  Upstream() {
    net::HttpServerOptions options;
    options.m_listen = net::Endpoint{"127.0.0.1", 0};
    m_server = std::make_unique<net::HttpServer>(
        options, [](const net::HttpRequest &request,
                    net::HttpExchange &exchange) { Serve(request, exchange); });
    (void)m_server->Listen();
    for (int i = 0; i < kUpstreamThreads; ++i) {
      m_threads.emplace_back(
          [this] { net::RunFiberThread([this] { m_server->Serve(); }); });
    }
  }
  ~Upstream() {
    m_server->Stop();
    for (std::thread &thread : m_threads) thread.join();
  }
  net::Endpoint Endpoint() const { return {"127.0.0.1", m_server->Port()}; }

 private:
  static void Serve(const net::HttpRequest &request,
                    net::HttpExchange &exchange) {
    bool is_stream =
        request.m_body.find("\"stream\":true") != std::string::npos;
    if (!is_stream) {
      (void)exchange.Respond(net::MakeJsonResponse(200, "{\"ok\":true}"));
      return;
    }
    bool is_paced = absl::GetFlag(FLAGS_measure) == "paced";
    milliseconds gap(absl::GetFlag(FLAGS_gap_ms));
    net::HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    if (!exchange.BeginStream(200, headers)) return;
    int tokens = absl::GetFlag(FLAGS_tokens);
    for (int i = 0; i < tokens; ++i) {
      std::string event = fmt::format(
          "data: {{\"id\":\"cmpl-1\",\"object\":\"chat.completion.chunk\","
          "\"token_index\":{},\"choices\":[{{\"index\":0,\"delta\":"
          "{{\"content\":\" word\"}},\"finish_reason\":null}}]}}\n\n",
          i);
      if (!exchange.WriteStream(event)) return;
      if (is_paced) net::SleepFor(gap);
    }
    if (!exchange.WriteStream("data: [DONE]\n\n")) return;
    (void)exchange.EndStream();
  }

  std::unique_ptr<net::HttpServer> m_server;
  std::vector<std::thread> m_threads;
};

/** Entry server in standalone mode. */
class Entry {
 public:
  explicit Entry(int adapters) {
    gen::EntrySettings settings;
    (void)base::ParseSettings(
        fmt::format("[node]\nname = bench\n[entry]\nlisten = 127.0.0.1:0\n"
                    "threads = {}\n",
                    kEntryThreads),
        "settings", &settings);
    m_server = std::make_unique<EntryServer>(settings, nullptr);
    (void)m_server->Listen();
    m_link = std::make_unique<StandaloneLink>(
        config::BuildCatalog(MakeDeclarations(adapters), base::Revision(1)),
        gen::NodeRecord(), m_server->MakeLinkEvents());
    m_server->Start(m_link.get());
  }
  ~Entry() { m_server->Stop(); }
  net::Endpoint Endpoint() const { return {"127.0.0.1", m_server->Port()}; }

  /**
   * Announces a runner.
   * @param first_adapter first of the 41 adapters of the runner; negative: none
   */
  bool Announce(net::HttpClientPool *pool, int runner, int first_adapter,
                const net::Endpoint &address) {
    std::string loaded =
        fmt::format("{{\"target\":\"m{}@1\",\"bytes\":1}}", runner % kModels);
    constexpr int kAdaptersPerRunner = 41;
    for (int i = 0; first_adapter >= 0 && i < kAdaptersPerRunner; ++i) {
      int adapter = first_adapter + i;
      loaded += fmt::format(",{{\"target\":\"m{}@1/a{}@1\",\"bytes\":1}}",
                            adapter % kModels, adapter);
    }
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/upstream/v1/announce";
    request.m_body = fmt::format(
        "{{\"upstream\":\"runner-{}\",\"kind\":\"engine\",\"address\":\"{}\","
        "\"incarnation\":1,\"slots\":100000,\"region\":\"local\","
        "\"loaded\":[{}]}}",
        runner, address.ToString(), loaded);
    auto answer =
        pool->Fetch(Endpoint(), request, base::Clock::now() + seconds(5));
    return answer && answer->m_status == 200;
  }

 private:
  std::unique_ptr<EntryServer> m_server;
  std::unique_ptr<StandaloneLink> m_link;
};

std::string MakeRequestBytes(bool is_stream) {
  std::string body = fmt::format(
      "{{\"model\":\"d0\",\"messages\":[{{\"role\":\"user\",\"content\":"
      "\"What is the price of twelve hides?\"}}],\"max_tokens\":64,"
      "\"stream\":{}}}",
      is_stream);
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      body.size(), body);
}

/** A caller connection that sends fixed bytes and reads to a fixed end. */
class Caller {
 public:
  explicit Caller(const net::Endpoint &endpoint)
      : m_socket(net::CurrentIoContext()) {
    tcp::endpoint peer(asio::ip::make_address(endpoint.m_address),
                       endpoint.m_port);
    net::Await([&](auto handler) { m_socket.async_connect(peer, handler); });
    m_socket.set_option(tcp::no_delay(true));
  }

  /** @return false if the connection broke or the answer isn't 200 */
  bool Exchange(const std::string &request, std::string_view end_mark) {
    net::IoResult sent = net::Await([&](auto handler) {
      asio::async_write(m_socket, asio::buffer(request), handler);
    });
    if (sent.m_error) return false;
    m_tail.clear();
    bool is_status_ok = false;
    while (true) {
      net::IoResult got = net::Await([&](auto handler) {
        m_socket.async_read_some(asio::buffer(m_chunk), handler);
      });
      if (got.m_error) return false;
      m_tail.append(m_chunk.data(), got.m_size);
      constexpr std::string_view kOk = "HTTP/1.1 200";
      if (!is_status_ok) is_status_ok = m_tail.substr(0, kOk.size()) == kOk;
      if (!is_status_ok) return false;
      bool is_end = m_tail.size() >= end_mark.size() &&
                    std::string_view(m_tail).substr(
                        m_tail.size() - end_mark.size()) == end_mark;
      if (is_end) return true;
      constexpr std::size_t kKeptBytes = 64;
      if (m_tail.size() > 4 * kKeptBytes)
        m_tail.erase(0, m_tail.size() - kKeptBytes);
    }
  }

 private:
  tcp::socket m_socket;
  std::array<char, 65536> m_chunk;
  std::string m_tail;
};

struct LoadResult {
  std::uint64_t m_answers = 0;
  std::uint64_t m_failures = 0;
  std::vector<double> m_latencies_ms;
};

/**
 * Sends requests in a closed loop, or, if the interval isn't 0, in an open loop
 * with a fixed schedule. Latencies of the open loop start at the scheduled
 * time.
 * @param interval between the requests of one connection
 */
LoadResult RunCallers(const net::Endpoint &endpoint, bool is_stream,
                      base::Duration duration, int connections,
                      base::Duration interval) {
  std::string request = MakeRequestBytes(is_stream);
  std::string_view end_mark = is_stream ? "0\r\n\r\n" : "{\"ok\":true}";
  base::TimePoint stop = base::Clock::now() + duration;
  std::array<LoadResult, kCallerThreads> results;
  auto run_one = [&](LoadResult *result, int index) {
    auto caller = std::make_unique<Caller>(endpoint);
    base::TimePoint due = base::Clock::now() + interval * index / connections;
    while (base::Clock::now() < stop) {
      if (interval > base::Duration::zero()) {
        base::TimePoint now = base::Clock::now();
        if (due > now) net::SleepFor(due - now);
      } else {
        due = base::Clock::now();
      }
      if (caller->Exchange(request, end_mark)) {
        ++result->m_answers;
        result->m_latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(base::Clock::now() - due)
                .count());
      } else {
        ++result->m_failures;
        caller = std::make_unique<Caller>(endpoint);
      }
      due += interval;
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kCallerThreads);
  for (int t = 0; t < kCallerThreads; ++t) {
    threads.emplace_back([&, t] {
      net::RunFiberThread([&] {
        std::vector<boost::fibers::fiber> fibers;
        for (int i = t; i < connections; i += kCallerThreads) {
          fibers.emplace_back([&, i] { run_one(&results[t], i); });
        }
        for (boost::fibers::fiber &fiber : fibers) fiber.join();
      });
    });
  }
  for (std::thread &thread : threads) thread.join();
  LoadResult total;
  for (LoadResult &result : results) {
    total.m_answers += result.m_answers;
    total.m_failures += result.m_failures;
    total.m_latencies_ms.insert(total.m_latencies_ms.end(),
                                result.m_latencies_ms.begin(),
                                result.m_latencies_ms.end());
  }
  std::sort(total.m_latencies_ms.begin(), total.m_latencies_ms.end());
  return total;
}

double GetQuantile(const std::vector<double> &sorted, double quantile) {
  if (sorted.empty()) return 0;
  auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * quantile)];
}

void AnnounceOne(Entry *entry, const Upstream &upstream) {
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    (void)entry->Announce(&pool, 0, -1, upstream.Endpoint());
  });
}

/** Measures requests or tokens per second, and per second of the entry server's
 * processor time; per_s_on_two_cores is twice the latter. */
void MeasureThroughput(bool is_stream) {
  Upstream upstream;
  Entry entry(0);
  AnnounceOne(&entry, upstream);
  seconds duration(absl::GetFlag(FLAGS_seconds));
  auto cpu_before = GetEntryCpuTime();
  base::TimePoint begin = base::Clock::now();
  LoadResult load =
      RunCallers(entry.Endpoint(), is_stream, duration,
                 absl::GetFlag(FLAGS_connections), base::Duration::zero());
  double cpu = (GetEntryCpuTime() - cpu_before).count();
  double elapsed =
      std::chrono::duration<double>(base::Clock::now() - begin).count();
  double units = static_cast<double>(load.m_answers) *
                 (is_stream ? absl::GetFlag(FLAGS_tokens) : 1);
  fmt::print(
      "{{\"measure\":\"{}\",\"per_s\":{:.0f},\"cores_used\":{:.2f},"
      "\"per_s_on_two_cores\":{:.0f},\"p50_ms\":{:.3f},\"p99_ms\":{:.3f},"
      "\"failures\":{}}}\n",
      absl::GetFlag(FLAGS_measure), units / elapsed, cpu / elapsed,
      2 * units / cpu, GetQuantile(load.m_latencies_ms, 0.5),
      GetQuantile(load.m_latencies_ms, 0.99), load.m_failures);
}

/** Measures latency at a fixed rate, first without the entry server, then
 * through it. */
void MeasureLatency() {
  Upstream upstream;
  Entry entry(0);
  AnnounceOne(&entry, upstream);
  int connections = absl::GetFlag(FLAGS_connections);
  base::Duration interval =
      base::Duration(seconds(1)) * connections / absl::GetFlag(FLAGS_rate);
  seconds duration(absl::GetFlag(FLAGS_seconds));
  LoadResult direct =
      RunCallers(upstream.Endpoint(), false, duration, connections, interval);
  LoadResult relayed =
      RunCallers(entry.Endpoint(), false, duration, connections, interval);
  double direct_p99 = GetQuantile(direct.m_latencies_ms, 0.99);
  double relayed_p99 = GetQuantile(relayed.m_latencies_ms, 0.99);
  fmt::print(
      "{{\"measure\":\"latency\",\"rate\":{},\"direct_p50_ms\":{:.3f},"
      "\"relayed_p50_ms\":{:.3f},\"direct_p99_ms\":{:.3f},"
      "\"relayed_p99_ms\":{:.3f},\"added_p99_ms\":{:.3f},"
      "\"failures\":{}}}\n",
      absl::GetFlag(FLAGS_rate), GetQuantile(direct.m_latencies_ms, 0.5),
      GetQuantile(relayed.m_latencies_ms, 0.5), direct_p99, relayed_p99,
      relayed_p99 - direct_p99, direct.m_failures + relayed.m_failures);
}

/** Measures resident memory and idle processor time. Each runner has 41
 * adapters. The figures include the HTTP client of this process. */
void MeasureMemory(int runners, int adapters) {
  Entry entry(adapters);
  int announced = 0;
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    for (int i = 0; i < runners; ++i) {
      announced +=
          entry.Announce(&pool, i, i * 41 % kAdapters, {"127.0.0.1", 9}) ? 1
                                                                         : 0;
    }
  });
  auto cpu_before = GetEntryCpuTime();
  base::TimePoint begin = base::Clock::now();
  std::this_thread::sleep_for(seconds(absl::GetFlag(FLAGS_seconds)));
  double cpu = (GetEntryCpuTime() - cpu_before).count();
  double elapsed =
      std::chrono::duration<double>(base::Clock::now() - begin).count();
  fmt::print(
      "{{\"measure\":\"memory\",\"runners\":{},\"adapters\":{},"
      "\"resident_mib\":{:.1f},\"idle_cores\":{:.4f}}}\n",
      announced, adapters, GetResidentMebibytes(), cpu / elapsed);
}

int Run() {
  std::string measure = absl::GetFlag(FLAGS_measure);
  if (measure == "requests") {
    MeasureThroughput(false);
  } else if (measure == "tokens" || measure == "paced") {
    MeasureThroughput(true);
  } else if (measure == "latency") {
    MeasureLatency();
  } else if (measure == "memory") {
    MeasureMemory(kRunners, kAdapters);
  } else if (measure == "idle") {
    MeasureMemory(0, 0);
  } else {
    fmt::print(
        stderr,
        "unknown --measure={}; expected requests, tokens, paced, latency, "
        "memory or idle\n",
        measure);
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace wasabiwind::entry

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  (void)wasabiwind::base::InitializeLog(
      "ww_entry_bench", absl::GetFlag(FLAGS_log_level),
      wasabiwind::base::LogOutput::kStandardError);
  return wasabiwind::entry::Run();
}
