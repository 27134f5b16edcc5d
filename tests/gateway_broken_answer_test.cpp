/** @file gateway_broken_answer_test.cpp Callers never get a broken answer of an
 * upstream as an answer. */

#include <array>
#include <atomic>
#include <thread>

#include "gateway_raw_harness.h"

namespace wasabiwind::gateway {
namespace {

/** The routes of the harness, by what may be repeated on them. */
constexpr std::array<const char *, 2> kOnceRoutes = {"/once/", "/once-flow/"};
constexpr std::array<const char *, 2> kRepeatableRoutes = {"/safe/", "/flow/"};

using AnswerMaker = std::function<std::string(const std::string &request)>;

RawRunner::Script WriteAndClose(const AnswerMaker &make_answer) {
  return [make_answer](int, const std::string &request,
                       const RawConnection &connection) {
    connection.Write(make_answer(request));
    return false;
  };
}

/** @return an answer that is sound on each route. */
std::string SoundAnswer(const std::string &request) {
  return SignedAnswer(request, "200 OK", Events(1, 2));
}

/** Checks that no caller gets a broken answer: 502 where the request may run
 * once, and the answer of another runner where it may be repeated. */
void ExpectNotPassedOn(const AnswerMaker &make_broken) {
  for (const char *path : kOnceRoutes) {
    SCOPED_TRACE(path);
    RawRunner runner(WriteAndClose(make_broken));
    RunWithRaw({&runner}, [path](Harness *harness) {
      FakeExchange exchange;
      harness->Call(path, &exchange);
      EXPECT_EQ(exchange.m_status, 502);
      EXPECT_EQ(exchange.m_headers.Find("X-Wasabiwind-Server-Stamp"), nullptr);
    });
    EXPECT_EQ(runner.CountCalls(), 1);
  }
  for (const char *path : kRepeatableRoutes) {
    SCOPED_TRACE(path);
    std::atomic<int> calls = 0;
    RawRunner::Script serve = WriteAndClose([&](const std::string &request) {
      return calls++ == 0 ? make_broken(request) : SoundAnswer(request);
    });
    RawRunner first(serve);
    RawRunner second(serve);
    RunWithRaw({&first, &second}, [path](Harness *harness) {
      FakeExchange exchange;
      harness->Call(path, &exchange);
      EXPECT_EQ(exchange.m_status, 200);
      EXPECT_EQ(exchange.m_body, Events(1, 2));
      EXPECT_TRUE(exchange.m_is_complete);
    });
    EXPECT_EQ(calls, 2);
  }
}

// An answer with status 000 was passed on to its caller.
TEST(GatewayBrokenAnswerTest, InvalidStatusIsNotPassedOn) {
  for (const char *status : {"000 OK", "099 OK", "600 OK", "999 OK"}) {
    SCOPED_TRACE(status);
    ExpectNotPassedOn([status](const std::string &request) {
      return SignedAnswer(request, status, Events(1, 2));
    });
  }
}

/** Guards against a line that is no field in what a caller gets. */
TEST(GatewayBrokenAnswerTest, InvalidFieldNameIsNotPassedOn) {
  for (const char *line :
       {"X Name: 1", "X-Name : 1", "X-Name\t: 1", "X\x01Name: 1",
        "X-Name\x7f: 1", "Content-Length : 4", "Content Length: 4"}) {
    SCOPED_TRACE(testing::PrintToString(line));
    ExpectNotPassedOn([line](const std::string &request) {
      return SignedHead(request, "200 OK") + line + "\r\n\r\n" + Events(1, 2);
    });
  }
}

// A length whose name had a blank before it was read as a part of the value
// before it, and the caller got a body that wasn't the runner's.
TEST(GatewayBrokenAnswerTest, BlankBeforeAFieldNameIsNotPassedOn) {
  for (const char *line : {" Content-Length: 99", "\tContent-Length: 99",
                           " X-Name: 1\r\nContent-Length: 30"}) {
    SCOPED_TRACE(testing::PrintToString(line));
    ExpectNotPassedOn([line](const std::string &request) {
      return SignedHead(request, "200 OK") + line + "\r\n\r\n" + Events(1, 2);
    });
  }
}

/** How a runner ends its connection while a request is being sent to it. */
enum class CutKind : std::uint8_t {
  kReset,           ///< at once
  kEndBeforeReset,  ///< its answer first, as a process that is killed does when
                    ///< all bytes that have arrived are read
};

/** Answers without a length before the body of the request has arrived. */
RawRunner::Script AnswerEarlyAndReset(CutKind kind) {
  return
      [kind](int, const std::string &request, const RawConnection &connection) {
        connection.Write(SignedHead(request, "200 OK") + "\r\n" + Events(1, 2));
        std::this_thread::sleep_for(milliseconds(20));
        if (kind == CutKind::kEndBeforeReset) {
          connection.EndOutput();
          std::this_thread::sleep_for(milliseconds(20));
        }
        connection.Reset();
        return false;
      };
}

/** Sends a long request to a runner that resets it. */
void ExpectCutUploadIsNotAnswered(CutKind kind, std::size_t body_bytes) {
  for (const char *path :
       {"/once/", "/once-flow/", "/safe/", "/flow/", "/long-flow/"}) {
    SCOPED_TRACE(path);
    RawRunner runner(AnswerEarlyAndReset(kind), RawRead::kHead);
    RunWithRaw({&runner}, [path, body_bytes](Harness *harness) {
      harness->m_call_body = std::string(body_bytes, 'u');
      FakeExchange exchange;
      harness->Call(path, &exchange);
      EXPECT_FALSE(exchange.m_status == 200 && exchange.m_is_complete);
    });
    EXPECT_GE(runner.CountCalls(), 1);
  }
}

/** Lengths of requests that the sender's socket buffer takes whole, and not. */
constexpr std::array<std::size_t, 2> kUploadBytes = {1u << 20, 12u << 20};

/** Guards against a part of an answer that looks complete: the send of the
 * request, not the read of the answer, may find the reset. */
TEST(GatewayBrokenAnswerTest, ResetDuringTheRequestIsNotTheEndOfAnAnswer) {
  for (std::size_t bytes : kUploadBytes) {
    SCOPED_TRACE(bytes);
    ExpectCutUploadIsNotAnswered(CutKind::kReset, bytes);
  }
}

// A runner that ended while a request was on its way to it closed its side
// before the reset, and that was read as the end of its answer.
TEST(GatewayBrokenAnswerTest, EndDuringTheRequestIsNotTheEndOfAnAnswer) {
  for (std::size_t bytes : kUploadBytes) {
    SCOPED_TRACE(bytes);
    ExpectCutUploadIsNotAnswered(CutKind::kEndBeforeReset, bytes);
  }
}

}  // namespace
}  // namespace wasabiwind::gateway
