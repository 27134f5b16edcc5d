/** @file gateway_faulty_runner_test.cpp Upstreams that break their protocol. */

#include <unistd.h>

#include <atomic>
#include <fstream>
#include <thread>

#include "gateway/event_stream_func.h"
#include "gateway_raw_harness.h"

namespace wasabiwind::gateway {
namespace {

constexpr const char *kNotRun =
    "HTTP/1.1 503 Service Unavailable\r\nX-Wasabiwind-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

/** Begins a chunked stream with two events and breaks it off inside a third. */
bool BreakStream(const std::string &request, const RawConnection &connection) {
  connection.Write(SignedHead(request, "200 OK") +
                   "Transfer-Encoding: chunked\r\n\r\n" + Chunk(Events(1, 2)) +
                   Chunk("id: 3\nda"));
  std::this_thread::sleep_for(milliseconds(30));
  return false;
}

// A refusal that a faulty upstream wrote once more was taken for the answer to
// the next request on the connection, although that one ran.
TEST(GatewayFaultyRunnerTest, RepeatedRefusalIsNotTheAnswerToTheNextRequest) {
  for (bool has_id : {false, true}) {
    RawRunner runner([has_id](int call, const std::string &request,
                              const RawConnection &connection) {
      std::string refusal = kNotRun;
      if (has_id) {
        refusal.insert(refusal.find("\r\n") + 2,
                       "X-Wasabiwind-Request-Id: r1\r\n");
      }
      if (call == 0) {
        connection.Write(SignedAnswer(request, "200 OK", "first"));
      } else {
        // The runner runs the request; its answer comes behind the refusal.
        connection.Write(refusal + SignedAnswer(request, "200 OK", "late"));
      }
      return true;
    });
    RunWithRaw({&runner}, [&runner](Harness *harness) {
      FakeExchange first;
      harness->Call("/safe/", &first, "1200", "", "r0");
      EXPECT_EQ(first.m_body, "first");
      FakeExchange second;
      harness->Call("/safe/", &second, "400", "", "r2");
      EXPECT_NE(second.m_status, 503);
      EXPECT_NE(second.m_status, 200);
      EXPECT_GE(runner.CountCalls(), 2);
    });
  }
}

// A request that is sent to the upstream again has the same ID, so the ID
// doesn't tell a repeated refusal from a new one.
TEST(GatewayFaultyRunnerTest, ConnectionIsNotReusedAfterARefusal) {
  std::atomic<int> requests_after_refusal = 0;
  RawRunner runner([&](int call, const std::string &request,
                       const RawConnection &connection) {
    if (call != 0) {
      connection.Write(SignedAnswer(request, "200 OK", "done"));
      return true;
    }
    std::string refusal = kNotRun;
    refusal.insert(refusal.find("\r\n") + 2, "X-Wasabiwind-Request-Id: r1\r\n");
    connection.Write(refusal);
    std::string next;
    if (RawRunner::ReadRequest(connection.m_socket, &next)) {
      ++requests_after_refusal;
    }
    return false;
  });
  RunWithRaw({&runner}, [](Harness *harness) {
    FakeExchange exchange;
    harness->Call("/safe/", &exchange);
    EXPECT_EQ(exchange.m_status, 200);
  });
  EXPECT_EQ(requests_after_refusal, 0);
}

/** What the second runner answers when a broken stream is to go on there. */
struct WrongContinuation {
  const char *m_name;
  std::function<std::string(const std::string &request)> m_answer;
};

std::vector<WrongContinuation> MakeWrongContinuations() {
  return {
      {"server error",
       [](const std::string &request) {
         return SignedAnswer(request, "500 Internal Server Error",
                             "it failed\n\n");
       }},
      {"caller error",
       [](const std::string &request) {
         return SignedAnswer(request, "400 Bad Request", "bad request\n\n");
       }},
      {"refusal", [](const std::string &) { return std::string(kNotRun); }},
      {"success without events",
       [](const std::string &request) {
         return SignedAnswer(request, "200 OK", "");
       }},
      {"error text as an event",
       [](const std::string &request) {
         return SignedAnswer(request, "200 OK",
                             "{\"error\": \"out of memory\"}\n\n");
       }},
      {"head of an error as an event",
       [](const std::string &request) {
         return SignedAnswer(request, "200 OK",
                             "HTTP/1.1 500 Internal Server Error\r\n"
                             "Content-Length: 0\r\n\r\n");
       }},
      {"events from the start on, without the missing ones",
       [](const std::string &request) {
         return SignedAnswer(request, "200 OK", Events(1, 2));
       }},
      {"a gap",
       [](const std::string &request) {
         return SignedAnswer(request, "200 OK", Events(5, 6));
       }},
      {"no answer in the protocol",
       [](const std::string &) { return std::string("noise\r\n\r\n"); }},
  };
}

// A stream had begun and broke off, and the next runner answered with an error:
// its text went into the stream, or the stream ended as if it were complete.
TEST(GatewayFaultyRunnerTest, BrokenStreamIsNotContinuedByAnError) {
  for (const WrongContinuation &wrong : MakeWrongContinuations()) {
    SCOPED_TRACE(wrong.m_name);
    auto serve = [&wrong](int, const std::string &request,
                          const RawConnection &connection) {
      if (GetRawHeader(request, "Last-Event-Id").empty()) {
        return BreakStream(request, connection);
      }
      connection.Write(wrong.m_answer(request));
      return false;
    };
    RawRunner first(serve);
    RawRunner second(serve);
    RunWithRaw({&first, &second}, [&](Harness *harness) {
      FakeExchange exchange;
      harness->Call("/flow/", &exchange);
      EXPECT_GE(first.CountCalls() + second.CountCalls(), 2);
      EXPECT_EQ(exchange.m_body, Events(1, 2));
      EXPECT_TRUE(exchange.m_is_aborted);
      EXPECT_FALSE(exchange.m_is_complete);
    });
  }
}

// An answer may end with its connection; a reset, or an end inside an event, is
// not its end.
TEST(GatewayFaultyRunnerTest, AnswerWithoutLengthEndsWithItsConnection) {
  struct Case {
    const char *m_path;
    std::string m_body;
    bool m_is_reset;
    bool m_is_complete;
  };
  std::vector<Case> cases = {
      {"/once/", "whole", false, true},
      {"/once/", "part", true, false},
      {"/once-flow/", Events(1, 3), false, true},
      {"/once-flow/", Events(1, 3) + "id: 4\nda", false, false},
      {"/once-flow/", Events(1, 3) + "id: 4\ndata: 4\n", false, false},
      {"/once-flow/", Events(1, 3), true, false},
      {"/once-flow/", "", false, false},
  };
  for (const Case &item : cases) {
    SCOPED_TRACE(std::string(item.m_path) + item.m_body);
    RawRunner runner([&item](int, const std::string &request,
                             const RawConnection &connection) {
      connection.Write(SignedHead(request, "200 OK") + "\r\n" + item.m_body);
      std::this_thread::sleep_for(milliseconds(30));
      if (item.m_is_reset) connection.Reset();
      return false;
    });
    RunWithRaw({&runner}, [&item](Harness *harness) {
      FakeExchange exchange;
      harness->Call(item.m_path, &exchange);
      bool is_success = exchange.m_status == 200 && exchange.m_is_complete;
      EXPECT_EQ(is_success, item.m_is_complete);
      if (item.m_is_complete) {
        EXPECT_EQ(exchange.m_body, item.m_body);
      }
    });
  }
}

/** Begins a stream without length, falls silent until another runner is tried,
 * and then resets its connection. */
bool ResetSilentStream(const std::string &request,
                       const RawConnection &connection,
                       const std::atomic<bool> &is_tried_elsewhere) {
  connection.Write(SignedHead(request, "200 OK") + "\r\n" + Events(1, 3));
  for (int i = 0; i < 200 && !is_tried_elsewhere; ++i) {
    std::this_thread::sleep_for(milliseconds(25));
  }
  connection.Reset();
  return false;
}

// A stream whose runner fell silent and was reset, while another runner held
// the request in its queue, ended as complete with events missing.
TEST(GatewayFaultyRunnerTest, ResetOfASilentStreamIsNotItsEnd) {
  constexpr milliseconds kQueueTime{400};
  std::atomic<bool> is_tried_elsewhere = false;
  auto serve = [&](int, const std::string &request,
                   const RawConnection &connection) {
    if (GetRawHeader(request, "Last-Event-Id").empty()) {
      return ResetSilentStream(request, connection, is_tried_elsewhere);
    }
    is_tried_elsewhere = true;
    std::this_thread::sleep_for(kQueueTime);
    connection.Write(kNotRun);
    return false;
  };
  RawRunner first(serve);
  RawRunner second(serve);
  RunWithRaw({&first, &second}, [&](Harness *harness) {
    FakeExchange exchange;
    harness->Call("/long-flow/", &exchange, "8000");
    EXPECT_TRUE(is_tried_elsewhere);
    EXPECT_EQ(exchange.m_body, Events(1, 3));
    EXPECT_TRUE(exchange.m_is_aborted);
    EXPECT_FALSE(exchange.m_is_complete);
  });
}

/** @return the resident memory of this process in bytes. */
std::size_t GetResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Bytes that are no answer may come without end, in a head or a body, until the
// caller closes: memory must stay bounded, and the request must end.
TEST(GatewayFaultyRunnerTest, BytesWithoutEndAreCutOff) {
  struct Case {
    const char *m_name;
    std::string m_start;  ///< after the signed head, if any
    std::string m_repeated;
    bool m_has_head;
  };
  std::string block(16 * 1024, 'x');
  std::vector<Case> cases = {
      {"no line end", "", block, false},
      {"status line", "HTTP/1.1 200 ", block, false},
      {"header", "HTTP/1.1 200 OK\r\nX-A: ", block, false},
      {"many headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
      {"body without length", "\r\n", block, true},
      {"lines without an event", "\r\n", "data: x\n", true},
      {"empty lines", "\r\n", "\n", true},
      {"events without an ID", "\r\n", "data: x\n\n", true},
      {"events with one ID", "\r\n", "id: 1\ndata: x\n\n", true},
      {"chunk size", "Transfer-Encoding: chunked\r\n\r\n", "0000", true},
      {"chunk extension", "Transfer-Encoding: chunked\r\n\r\n5;", block, true},
      {"trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n",
       true},
      {"one trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", block,
       true},
  };
  for (const char *path : {"/once/", "/once-flow/", "/flow/"}) {
    for (const Case &item : cases) {
      SCOPED_TRACE(std::string(path) + " " + item.m_name);
      auto serve = [&item](int, const std::string &request,
                           const RawConnection &connection) {
        std::string start = item.m_start;
        if (item.m_has_head) start = SignedHead(request, "200 OK") + start;
        std::string repeated;
        while (repeated.size() < 16 * 1024) repeated += item.m_repeated;
        if (connection.Write(start)) connection.WriteWithoutEnd(repeated);
        return false;
      };
      RawRunner first(serve);
      RawRunner second(serve);
      RunWithRaw({&first, &second}, [path](Harness *harness) {
        std::size_t before = GetResidentBytes();
        base::TimePoint start = base::Clock::now();
        FakeExchange exchange;
        harness->Call(path, &exchange, "800");
        EXPECT_LT(base::Clock::now() - start, milliseconds(1'300));
        EXPECT_FALSE(exchange.m_status == 200 && exchange.m_is_complete);
        EXPECT_LT(exchange.m_body.size(), 128u * 1024);
        EXPECT_LT(GetResidentBytes(), before + (64u << 20));
      });
    }
  }
}

// Several such answers at the same time must not end the process either.
TEST(GatewayFaultyRunnerTest, ManyBodiesWithoutEndHaveOneBound) {
  constexpr int kCallers = 24;
  RawRunner runner(
      [](int, const std::string &request, const RawConnection &connection) {
        std::string block(16 * 1024, 'x');
        if (connection.Write(SignedHead(request, "200 OK") + "\r\n")) {
          connection.WriteWithoutEnd(block);
        }
        return false;
      });
  RunWithRaw({&runner}, [](Harness *harness) {
    std::size_t before = GetResidentBytes();
    std::size_t highest = before;
    int running = kCallers;
    std::vector<boost::fibers::fiber> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([harness, &running] {
        FakeExchange exchange;
        harness->Call("/once/", &exchange, "1000");
        // On a slow machine the deadline may come before the bound.
        bool is_unknown = exchange.m_status == 502 || exchange.m_status == 504;
        EXPECT_TRUE(is_unknown) << exchange.m_status;
        --running;
      });
    }
    while (running > 0) {
      net::SleepFor(milliseconds(5));
      highest = std::max(highest, GetResidentBytes());
    }
    for (boost::fibers::fiber &caller : callers) caller.join();
    EXPECT_LT(highest, before + (128u << 20));
  });
}

/** Sends one request and adds its outcome to what is running. */
boost::fibers::fiber StartCall(Harness *harness, const char *path,
                               const std::string &id, FakeExchange *exchange) {
  return boost::fibers::fiber(
      [=] { harness->Call(path, exchange, "3000", "", id); });
}

// Each stream held up to 1 MiB of an event without end, and nothing bounded
// their sum: the process ended with the requests of all callers.
TEST(GatewayFaultyRunnerTest, ManyEventsWithoutEndHaveOneBound) {
  constexpr int kCallers = 300;
  // Just short of the bound of one event, so that none of them ends.
  const std::string part(kMaxEventBytes - 16 * 1024, 'x');
  RawRunner runner([&part](int, const std::string &request,
                           const RawConnection &connection) {
    bool is_written = connection.Write(SignedHead(request, "200 OK")) &&
                      connection.Write("\r\n") && connection.Write(part);
    if (!is_written) return false;
    std::string rest;
    return RawRunner::ReadRequest(connection.m_socket, &rest);
  });
  RunWithRaw({&runner}, [](Harness *harness) {
    std::size_t before = GetResidentBytes();
    std::vector<FakeExchange> exchanges(kCallers);
    std::vector<boost::fibers::fiber> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(StartCall(harness, "/once-flow/",
                                  "r" + std::to_string(i), &exchanges[i]));
    }
    std::size_t highest = before;
    for (int i = 0; i < 300; ++i) {
      net::SleepFor(milliseconds(10));
      highest = std::max(highest, GetResidentBytes());
    }
    for (boost::fibers::fiber &caller : callers) caller.join();
    EXPECT_LT(highest, before + (128u << 20));
  });
}

// The bound for all answers ended whichever answer was read next, so that a
// faulty runner's bytes ended the requests of other callers.
TEST(GatewayFaultyRunnerTest, LongBodiesWithoutEndDoNotEndSoundAnswers) {
  constexpr int kFaulty = 3;
  // Together almost all that may be held.
  const std::string long_body((16 << 20) - 64 * 1024, 'x');
  const std::string sound_body(1 << 20, 's');
  auto serve = [&](int, const std::string &request,
                   const RawConnection &connection) {
    if (GetRawHeader(request, "X-Wasabiwind-Request-Id") == "sound") {
      return connection.Write(SignedAnswer(request, "200 OK", sound_body));
    }
    connection.Write(SignedHead(request, "200 OK") + "\r\n" + long_body);
    std::string rest;
    return RawRunner::ReadRequest(connection.m_socket, &rest);
  };
  RawRunner runner(serve);
  RunWithRaw({&runner}, [&sound_body](Harness *harness) {
    std::vector<FakeExchange> exchanges(kFaulty);
    std::vector<boost::fibers::fiber> faulty;
    for (int i = 0; i < kFaulty; ++i) {
      faulty.push_back(StartCall(harness, "/long-safe/",
                                 "r" + std::to_string(i), &exchanges[i]));
    }
    net::SleepFor(milliseconds(1'500));
    FakeExchange sound;
    harness->Call("/once/", &sound, "1200", "", "sound");
    EXPECT_EQ(sound.m_status, 200);
    EXPECT_TRUE(sound.m_body == sound_body);
    for (boost::fibers::fiber &fiber : faulty) fiber.join();
  });
}

/** An answer, cut where a runner that fails may stop to write. */
std::vector<std::string> CutAnswers(const std::string &request) {
  std::string head = SignedHead(request, "200 OK");
  std::string events = Events(1, 3);
  std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::string with_length =
      head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n";
  std::string chunk = Chunk(events);
  return {"",
          "HTTP/1.",
          "HTTP/1.1 200",
          "HTTP/1.1 200 OK\r\n",
          head.substr(0, head.find("Request-Id")),
          head.substr(0, head.size() - 4),
          head,
          head + "\r",
          head + "Content-Length: 5",
          with_length.substr(0, with_length.size() - 2),
          with_length,
          with_length + events.substr(0, events.size() - 1),
          chunked,
          chunked + chunk.substr(0, 1),
          chunked + chunk.substr(0, chunk.size() - 2),
          chunked + chunk,
          chunked + chunk + "0\r\n"};
}

// A runner that closed inside the head of its answer must not become a
// success that looks whole, on new and on kept connections.
TEST(GatewayFaultyRunnerTest, AnswerThatBreaksOffNeverLooksWhole) {
  const std::size_t cut_count = CutAnswers("").size();
  for (const char *path : {"/once/", "/safe/", "/flow/", "/once-flow/"}) {
    for (std::size_t cut = 0; cut < cut_count; ++cut) {
      RawRunner runner([cut](int call, const std::string &request,
                             const RawConnection &connection) {
        if (call == 0) {
          connection.Write(SignedAnswer(request, "200 OK", Events(1, 3)));
          return true;
        }
        connection.Write(CutAnswers(request)[cut]);
        return false;
      });
      RunWithRaw({&runner}, [&](Harness *harness) {
        FakeExchange whole;
        harness->Call(path, &whole, "600", "", "r0");
        ASSERT_TRUE(whole.m_is_complete) << path;
        FakeExchange broken;
        harness->Call(path, &broken, "600");
        bool looks_whole = broken.m_status == 200 && broken.m_is_complete;
        EXPECT_FALSE(looks_whole) << path << " cut " << cut;
        EXPECT_NE(broken.m_status, 503) << path << " cut " << cut;
      });
    }
  }
}

}  // namespace
}  // namespace wasabiwind::gateway
