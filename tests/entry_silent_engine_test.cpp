/** @file entry_silent_engine_test.cpp Streams whose engine pauses or stays
 * silent. */

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <vector>

#include "entry_harness.h"

namespace wasabiwind::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *kChatPath = "/v1/chat/completions";
constexpr const char *kCancelPath = "/v1/cancel";
constexpr const char *kStallSettings = "stall_ms = 100ms\n";
constexpr std::uint64_t kTokens = 12;
/** Token before which engines pause. */
constexpr std::uint64_t kPauseAt = 5;
/** Longer than the stalls of all attempts of one request together. */
constexpr milliseconds kPause{700};
constexpr milliseconds kPollInterval{5};

bool BeginEvents(net::HttpExchange &exchange) {
  net::HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  return exchange.BeginStream(200, headers).has_value();
}

/** Streams all tokens from the requested one. Calls `wait` before kPauseAt and,
 * in a resumed stream, before its first token. */
template <typename Wait>
void StreamWithPause(const net::HttpRequest &request,
                     net::HttpExchange &exchange, Wait wait) {
  if (!BeginEvents(exchange)) return;
  for (std::uint64_t i = GetResumeIndex(request); i < kTokens; ++i) {
    if (i == kPauseAt) wait();
    if (!exchange.WriteStream(MakeTokenEvent(i))) return;
  }
  if (!exchange.WriteStream("data: [DONE]\n\n")) return;
  (void)exchange.EndStream();
}

void Refuse503(net::HttpExchange &exchange) {
  (void)exchange.Respond(net::MakeJsonResponse(503, "{}"));
}

/** Engines with one script. It gets the number of the chat request, counted
 * over all engines from 0. */
class EngineGroup {
 public:
  using Script = std::function<void(int call, const net::HttpRequest &request,
                                    net::HttpExchange &exchange)>;

  EngineGroup(int count, Script script) : m_script(std::move(script)) {
    for (int i = 0; i < count; ++i) {
      m_engines.push_back(std::make_unique<FakeUpstream>(
          [this](const auto &request, auto &exchange) {
            Serve(request, exchange);
          }));
    }
  }

  void Announce(EntryHarness *entry, int incarnation = 1) {
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      entry->AnnounceEngine("e" + std::to_string(i), m_engines[i]->Address(), 4,
                            incarnation);
    }
  }
  std::size_t Count(const std::string &path) {
    std::size_t count = 0;
    for (const auto &engine : m_engines) count += engine->Count(path);
    return count;
  }

 private:
  void Serve(const net::HttpRequest &request, net::HttpExchange &exchange) {
    if (request.Path() == kChatPath) {
      m_script(m_calls++, request, exchange);
    } else {
      (void)exchange.Respond(net::MakeJsonResponse(200, "{}"));
    }
  }

  Script m_script;
  std::atomic<int> m_calls = 0;
  std::vector<std::unique_ptr<FakeUpstream>> m_engines;
};

/** A loopback port whose queue of connections is full, so that connecting to it
 * gets no answer. */
class UnreachablePort {
 public:
  UnreachablePort() {
    m_sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    EXPECT_EQ(::bind(m_sockets[0], generic, size), 0);
    EXPECT_EQ(::listen(m_sockets[0], 0), 0);
    EXPECT_EQ(::getsockname(m_sockets[0], generic, &size), 0);
    m_port = ntohs(address.sin_port);
    for (int i = 0; i < 4; ++i) {
      m_sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)::connect(m_sockets.back(), generic, size);
    }
  }
  ~UnreachablePort() {
    for (int socket : m_sockets) ::close(socket);
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  std::vector<int> m_sockets;
  std::uint16_t m_port = 0;
};

/** Sends requests to an engine that refuses them until the entry host has no
 * retry left, and until its credit is as low as it gets. */
void SpendRetryBudget(EntryHarness *entry) {
  FakeUpstream full([](const auto &, auto &exchange) { Refuse503(exchange); });
  entry->AnnounceEngine("e0", full.Address());
  auto count_attempts = [&] {
    std::size_t before = full.Count(kChatPath);
    (void)entry->Chat("chat", true);
    return full.Count(kChatPath) - before;
  };
  while (count_attempts() > 1) {
  }
  while (count_attempts() == 1) {
  }
  entry->AnnounceEngine("e0", full.Address(), 4, 2, "leaving");
}

/** Guards against a stream that is cut because its only engine paused. */
TEST(EntrySilentEngineTest, PauseOfTheOnlyEngineCutsNothing) {
  std::atomic<base::TimePoint> resumes_at = base::TimePoint();
  FakeUpstream engine([&](const auto &request, auto &exchange) {
    if (request.Path() != kChatPath) return Refuse503(exchange);
    StreamWithPause(request, exchange, [&] {
      // The whole engine pauses, also for requests that arrive meanwhile.
      base::TimePoint unset;
      resumes_at.compare_exchange_strong(unset, base::Clock::now() + kPause);
      while (base::Clock::now() < resumes_at.load()) {
        net::SleepFor(kPollInterval);
      }
    });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    entry.AnnounceEngine("e1", engine.Address());
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    entry.CloseConnections();
  });
}

/** Guards against a refusal because the only engine needs longer for its first
 * token than for the others. */
TEST(EntrySilentEngineTest, LateFirstTokenOfTheOnlyEngineIsWaitedFor) {
  FakeUpstream engine([&](const auto &request, auto &exchange) {
    if (request.Path() != kChatPath) return Refuse503(exchange);
    net::SleepFor(kPause);
    StreamTokens(request, exchange, kTokens);
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    entry.AnnounceEngine("e1", engine.Address());
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    entry.CloseConnections();
  });
}

/** Guards against a stream that is cut because its engine paused while the
 * retry budget was empty. */
TEST(EntrySilentEngineTest, PauseWithoutRetryBudgetCutsNothing) {
  EngineGroup engines(2, [](int, const auto &request, auto &exchange) {
    StreamWithPause(request, exchange, [] { net::SleepFor(kPause); });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    SpendRetryBudget(&entry);
    engines.Announce(&entry, 3);
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    EXPECT_EQ(engines.Count(kChatPath), 1U);
    EXPECT_EQ(engines.Count(kCancelPath), 0U);
    entry.CloseConnections();
  });
}

/** Guards against a stream that is cut because its engine paused and the other
 * one refuses to go on. */
TEST(EntrySilentEngineTest, PauseCutsNothingIfTheOtherEngineRefuses) {
  EngineGroup engines(2, [](int call, const auto &request, auto &exchange) {
    if (call > 0) return Refuse503(exchange);
    StreamWithPause(request, exchange, [] { net::SleepFor(kPause); });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    engines.Announce(&entry);
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    EXPECT_GE(engines.Count(kChatPath), 2U);
    EXPECT_EQ(engines.Count(kCancelPath), 0U);
    entry.CloseConnections();
  });
}

/** Guards against a silent engine that is left for one that is silent as well,
 * and against an engine that works on after the other one has answered. */
TEST(EntrySilentEngineTest, EngineThatGoesOnFirstIsKept) {
  std::atomic<bool> is_cut = false;
  EngineGroup engines(2, [&](int call, const auto &request, auto &exchange) {
    if (call == 0) {
      StreamWithPause(request, exchange, [] { net::SleepFor(kPause); });
      return;
    }
    // Accepts the stream, but has no token before the other engine goes on.
    if (!BeginEvents(exchange)) return;
    for (int i = 0; i < 400 && !is_cut; ++i) {
      net::SleepFor(kPollInterval);
      is_cut = !exchange.WriteStream(": waiting\n\n");
    }
    exchange.Abort();
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    engines.Announce(&entry);
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    net::SleepFor(milliseconds(200));
    EXPECT_TRUE(is_cut);
    EXPECT_GE(engines.Count(kChatPath), 2U);
    EXPECT_EQ(engines.Count(kCancelPath), engines.Count(kChatPath) - 1);
    entry.CloseConnections();
  });
}

/** Guards against a stream that waits for a hung engine while another one could
 * serve it, and against work that the hung one does in vain later. */
TEST(EntrySilentEngineTest, OtherEngineTakesOverFromAHungOne) {
  for (int hung : {1, 2}) {
    std::atomic<bool> is_over = false;
    auto wait = [&] {
      while (!is_over) net::SleepFor(kPollInterval);
    };
    EngineGroup engines(hung + 1,
                        [&](int call, const auto &request, auto &exchange) {
                          if (call >= hung)
                            return StreamTokens(request, exchange, kTokens);
                          StreamWithPause(request, exchange, wait);
                        });
    net::RunFiberThread([&] {
      EntryHarness entry(kStallSettings);
      engines.Announce(&entry);
      base::TimePoint start = base::Clock::now();
      EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
      EXPECT_LT(base::Clock::now() - start, seconds(3)) << hung;
      net::SleepFor(milliseconds(200));
      EXPECT_EQ(engines.Count(kChatPath), hung + 1U);
      EXPECT_EQ(engines.Count(kCancelPath), std::size_t(hung));
      is_over = true;
      entry.CloseConnections();
    });
    is_over = true;
  }
}

/** Guards against a stream that waits for a lost connection although its only
 * engine works. */
TEST(EntrySilentEngineTest, OnlyEngineTakesOverFromALostConnection) {
  std::atomic<bool> is_over = false;
  EngineGroup engines(1, [&](int call, const auto &request, auto &exchange) {
    if (call > 0) return StreamTokens(request, exchange, kTokens);
    StreamWithPause(request, exchange, [&] {
      while (!is_over) net::SleepFor(kPollInterval);
    });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    engines.Announce(&entry);
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    net::SleepFor(milliseconds(200));
    EXPECT_EQ(engines.Count(kChatPath), 2U);
    EXPECT_EQ(engines.Count(kCancelPath), 1U);
    is_over = true;
    entry.CloseConnections();
  });
}

/** Guards against a stream that is held up, or a request that is used after its
 * end, while another engine takes no connection. */
TEST(EntrySilentEngineTest, UnreachableEngineHoldsNothingUp) {
  UnreachablePort unreachable;
  EngineGroup engines(1, [](int, const auto &request, auto &exchange) {
    StreamWithPause(request, exchange, [] { net::SleepFor(kPause / 2); });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    engines.Announce(&entry);
    boost::fibers::fiber announcement([&] {
      net::SleepFor(milliseconds(50));
      entry.AnnounceEngine("u", unreachable.Address());
    });
    base::TimePoint start = base::Clock::now();
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    // Connecting is given up after a second.
    EXPECT_LT(base::Clock::now() - start, milliseconds(900));
    announcement.join();
    EXPECT_EQ(engines.Count(kChatPath), 1U);
    entry.CloseConnections();
  });
}

/** Guards against a caller who has gone while two engines work for it. */
TEST(EntrySilentEngineTest, AllAttemptsOfAGoneCallerAreCancelled) {
  std::atomic<bool> is_over = false;
  EngineGroup engines(2, [&](int, const auto &request, auto &exchange) {
    StreamWithPause(request, exchange, [&] {
      while (!is_over) net::SleepFor(kPollInterval);
    });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    engines.Announce(&entry);
    net::HttpClientPool pool;
    std::string body =
        R"({"model":"chat","messages":[{"content":"a"}],"stream":true})";
    net::HttpClientPool::StartResult start = pool.Start(
        entry.Endpoint(), net::HttpRequest{"POST", kChatPath, {}, body},
        FromNow(seconds(20)));
    ASSERT_NE(start.m_call, nullptr);
    net::SleepFor(milliseconds(300));
    EXPECT_EQ(engines.Count(kChatPath), 2U);
    EXPECT_EQ(engines.Count(kCancelPath), 0U);
    start.m_call->Discard();
    start.m_call.reset();
    net::SleepFor(milliseconds(600));
    EXPECT_EQ(engines.Count(kCancelPath), 2U);
    EXPECT_EQ(engines.Count(kChatPath), 2U);
    is_over = true;
    entry.CloseConnections();
  });
  is_over = true;
}

/** Guards against a stream that is cut because its silent engine breaks off
 * before the one that was asked to take over has its first token. */
TEST(EntrySilentEngineTest, BreakOfTheSilentEngineWaitsForTheOther) {
  FakeUpstream breaking([](const auto &request, auto &exchange) {
    if (request.Path() != kChatPath) return Refuse503(exchange);
    StreamWithPause(request, exchange, [&exchange] {
      net::SleepFor(kPause / 2);
      exchange.Abort();
    });
  });
  FakeUpstream late([](const auto &request, auto &exchange) {
    if (request.Path() != kChatPath) return Refuse503(exchange);
    net::SleepFor(kPause);
    StreamTokens(request, exchange, kTokens);
  });
  net::RunFiberThread([&] {
    EntryHarness entry(std::string(kStallSettings) + "max_attempts = 2\n");
    entry.AnnounceEngine("e1", breaking.Address());
    boost::fibers::fiber second([&] {
      net::SleepFor(milliseconds(50));
      entry.AnnounceEngine("e2", late.Address());
    });
    EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    second.join();
    EXPECT_EQ(breaking.Count(kChatPath), 1U);
    EXPECT_EQ(late.Count(kChatPath), 1U);
    entry.CloseConnections();
  });
}

/** Guards against an end that reaches the caller late, because the engine
 * doesn't end its answer after the last event. */
TEST(EntrySilentEngineTest, EndOfTheStreamDoesNotWaitForTheEngine) {
  std::atomic<bool> is_over = false;
  FakeUpstream engine([&](const auto &request, auto &exchange) {
    if (!BeginEvents(exchange)) return;
    for (std::uint64_t i = GetResumeIndex(request); i < kTokens; ++i) {
      if (!exchange.WriteStream(MakeTokenEvent(i))) return;
    }
    if (!exchange.WriteStream("data: [DONE]\n\n")) return;
    while (!is_over) net::SleepFor(kPollInterval);
  });
  net::RunFiberThread([&] {
    EntryHarness entry("stall_ms = 3s\n");
    entry.AnnounceEngine("e1", engine.Address());
    base::TimePoint start = base::Clock::now();
    // The second one uses the caller's connection again.
    for (int i = 0; i < 2; ++i) {
      EXPECT_EQ(entry.Chat("chat", true).m_body, ExpectedStream(kTokens));
    }
    EXPECT_LT(base::Clock::now() - start, milliseconds(1500));
    is_over = true;
    entry.CloseConnections();
  });
  is_over = true;
}

/** Guards against a stream without an end, and against an end before the
 * deadline, when no engine goes on. */
TEST(EntrySilentEngineTest, StreamOfAHungEngineEndsAtItsDeadline) {
  std::atomic<bool> is_over = false;
  FakeUpstream hung([&](const auto &request, auto &exchange) {
    if (request.Path() != kChatPath) return Refuse503(exchange);
    StreamWithPause(request, exchange, [&] {
      while (!is_over) net::SleepFor(kPollInterval);
    });
  });
  net::RunFiberThread([&] {
    EntryHarness entry(kStallSettings);
    entry.AnnounceEngine("e1", hung.Address());
    net::HttpHeaders headers;
    headers.Add("X-Deadline-Ms", "900");
    base::TimePoint start = base::Clock::now();
    std::string body = entry.Chat("chat", true, headers).m_body;
    base::Duration took = base::Clock::now() - start;
    EXPECT_GE(took, milliseconds(850));
    EXPECT_LT(took, milliseconds(1800));
    EXPECT_NE(body.find("\"reason\":\"upstream_timeout\""), std::string::npos)
        << body;
    EXPECT_EQ(body.find("[DONE]"), std::string::npos) << body;
    net::SleepFor(milliseconds(200));
    EXPECT_EQ(hung.Count(kCancelPath), hung.Count(kChatPath));
    entry.CloseConnections();
    is_over = true;
  });
}

}  // namespace
}  // namespace wasabiwind::entry
