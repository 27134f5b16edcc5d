/** @file net_http_test.cpp HTTP server and client, connected to each other. */

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <thread>
#include <vector>

#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "raw_runner.h"

namespace wasabiwind::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;

base::TimePoint In(base::Duration duration) {
  return base::Clock::now() + duration;
}

/** Runs a body and a server on one fiber thread. */
void WithServer(HttpServerOptions options, const HttpHandler &handler,
                const std::function<void(const Endpoint &)> &body) {
  options.m_listen = Endpoint{"127.0.0.1", 0};
  HttpServer server(options, handler);
  ASSERT_TRUE(server.Listen());
  RunFiberThread([&] {
    boost::fibers::fiber serving([&] { server.Serve(); });
    body(Endpoint{"127.0.0.1", server.Port()});
    server.Stop();
    serving.join();
  });
}

void Echo(const HttpRequest &request, HttpExchange &exchange) {
  HttpResponse response;
  response.m_body = request.m_method + " " + request.m_body;
  (void)exchange.Respond(response);
}

/** Sends raw bytes and returns all that comes back until the peer closes. */
std::string SendRaw(const Endpoint &endpoint, const std::string &bytes,
                    bool half_close = false) {
  asio::ip::tcp::socket socket(CurrentIoContext());
  asio::ip::tcp::endpoint peer(asio::ip::make_address(endpoint.m_address),
                               endpoint.m_port);
  Await([&](auto handler) { socket.async_connect(peer, handler); });
  Await([&](auto handler) {
    asio::async_write(socket, asio::buffer(bytes), handler);
  });
  if (half_close) socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  std::string received;
  std::array<char, 4096> chunk;
  while (true) {
    IoResult result = Await([&](auto handler) {
      socket.async_read_some(asio::buffer(chunk), handler);
    });
    received.append(chunk.data(), result.m_size);
    if (result.m_error) return received;
  }
}

TEST(HttpTest, PooledRequestsReachTheHandler) {
  WithServer({}, Echo, [](const Endpoint &endpoint) {
    HttpClientPool pool;
    for (int i = 0; i < 50; ++i) {
      HttpRequest request{"POST", "/x", {}, "body " + std::to_string(i)};
      auto response = pool.Fetch(endpoint, request, In(seconds(5)));
      ASSERT_TRUE(response) << response.error().ToString();
      EXPECT_EQ(response->m_status, 200);
      EXPECT_EQ(response->m_body, "POST body " + std::to_string(i));
    }
  });
}

TEST(HttpTest, StreamArrivesInParts) {
  auto stream = [](const HttpRequest &, HttpExchange &exchange) {
    ASSERT_TRUE(exchange.BeginStream(200, {}));
    for (int i = 0; i < 3; ++i) {
      ASSERT_TRUE(exchange.WriteStream("part" + std::to_string(i) + ";"));
      SleepFor(milliseconds(5));
    }
    ASSERT_TRUE(exchange.EndStream());
  };
  WithServer({}, stream, [](const Endpoint &endpoint) {
    HttpClientPool pool;
    auto response =
        pool.Fetch(endpoint, HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->m_body, "part0;part1;part2;");
  });
}

/** Guards against an aborted stream that looks like a complete response. */
TEST(HttpTest, AbortedStreamIsAnErrorForTheClient) {
  auto abort = [](const HttpRequest &, HttpExchange &exchange) {
    ASSERT_TRUE(exchange.BeginStream(200, {}));
    ASSERT_TRUE(exchange.WriteStream("half"));
    exchange.Abort();
  };
  WithServer({}, abort, [](const Endpoint &endpoint) {
    HttpClientPool pool;
    EXPECT_FALSE(
        pool.Fetch(endpoint, HttpRequest{"GET", "/", {}, ""}, In(seconds(5))));
  });
}

/** Guards against reuse of a connection whose response was read in part. */
TEST(HttpTest, PartlyReadResponseDoesNotReachTheNextRequest) {
  auto slow = [](const HttpRequest &request, HttpExchange &exchange) {
    ASSERT_TRUE(exchange.BeginStream(200, {}));
    (void)exchange.WriteStream("first of " + request.m_body);
    SleepFor(milliseconds(20));
    (void)exchange.WriteStream("rest of " + request.m_body);
    (void)exchange.EndStream();
  };
  WithServer({}, slow, [](const Endpoint &endpoint) {
    HttpClientPool pool;
    {
      auto start = pool.Start(endpoint, HttpRequest{"POST", "/", {}, "one"},
                              In(seconds(5)));
      ASSERT_NE(start.m_call, nullptr);
      ASSERT_TRUE(start.m_call->ReadHead(In(seconds(5))));
      std::string part;
      ASSERT_TRUE(start.m_call->ReadSome(&part, In(seconds(5))));
    }
    auto second = pool.Fetch(endpoint, HttpRequest{"POST", "/", {}, "two"},
                             In(seconds(5)));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->m_body, "first of tworest of two");
  });
}

// A check for input took the reset off the socket, and the next read took the
// end of the connection for the end of a body without length.
TEST(HttpTest, ResetBeforeACheckForInputIsStillAnError) {
  RawRunner peer([](int, const std::string &, const RawConnection &connection) {
    connection.Write("HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(milliseconds(30));
    connection.Reset();
    return false;
  });
  RunFiberThread([&peer] {
    HttpClientPool pool;
    auto start = pool.Start(*ParseEndpoint(peer.Address()),
                            HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
    ASSERT_NE(start.m_call, nullptr);
    ASSERT_TRUE(start.m_call->ReadHead(In(seconds(5))));
    std::string part;
    ASSERT_TRUE(start.m_call->ReadSome(&part, In(seconds(5))));
    EXPECT_EQ(part, "part");
    SleepFor(milliseconds(200));
    EXPECT_FALSE(start.m_call->HasInput());
    base::Result<bool> more = start.m_call->ReadSome(&part, In(seconds(5)));
    ASSERT_FALSE(more);
    EXPECT_EQ(more.error().m_kind, base::ErrorKind::kIo);
  });
}

/** @return what a client reads from a peer that writes these parts, with pauses
 * between them, and closes the connection. */
base::Result<HttpResponse> FetchRaw(const std::vector<std::string> &parts) {
  RawRunner peer(
      [&parts](int, const std::string &, const RawConnection &connection) {
        for (const std::string &part : parts) {
          if (&part != parts.data()) {
            std::this_thread::sleep_for(milliseconds(20));
          }
          connection.Write(part);
        }
        return false;
      });
  base::Result<HttpResponse> response;
  RunFiberThread([&] {
    HttpClientPool pool;
    response = pool.Fetch(*ParseEndpoint(peer.Address()),
                          HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
  });
  return response;
}

base::Result<HttpResponse> FetchRaw(const std::string &answer) {
  return FetchRaw(std::vector<std::string>{answer});
}

// An answer with status 000 was read as a valid one.
TEST(HttpTest, AnswerWithInvalidStatusIsAnError) {
  for (const char *status : {"000", "001", "099", "600", "999"}) {
    SCOPED_TRACE(status);
    auto response = FetchRaw(std::string("HTTP/1.1 ") + status +
                             " OK\r\nContent-Length: 4\r\n\r\nbody");
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().m_kind, base::ErrorKind::kProtocol);
  }
  for (const char *status : {"200", "599"}) {
    auto response = FetchRaw(std::string("HTTP/1.1 ") + status +
                             " OK\r\nContent-Length: 4\r\n\r\nbody");
    ASSERT_TRUE(response) << status;
    EXPECT_EQ(response->m_body, "body");
  }
}

/** @return names of fields that hold a blank or a control byte. */
std::vector<std::string> MakeInvalidFieldNames() {
  return {"X Name",
          "X\tName",
          "X-Name ",
          "X-Name\t",
          "X\x01Name",
          "X\x7fName",
          "X-Name\x1b",
          "X\rName",
          "X\nName",
          std::string("X\0Name", 6),
          "\x02X-Name",
          "X\x0bName\f",
          "Content Length",
          "Content-Length ",
          ""};
}

/** Guards against answers whose fields can't be told apart. */
TEST(HttpTest, AnswerWithInvalidFieldNameIsAnError) {
  for (const std::string &name : MakeInvalidFieldNames()) {
    for (const char *before : {"", "X-First: 1\r\n"}) {
      SCOPED_TRACE(testing::PrintToString(before + name));
      auto response = FetchRaw(std::string("HTTP/1.1 200 OK\r\n") + before +
                               name + ": 4\r\nContent-Length: 4\r\n\r\nbody");
      ASSERT_FALSE(response);
      EXPECT_EQ(response.error().m_kind, base::ErrorKind::kProtocol);
    }
  }
}

/** Guards against trailers of the same kind. */
TEST(HttpTest, AnswerWithInvalidTrailerNameIsAnError) {
  for (const std::string &name : MakeInvalidFieldNames()) {
    SCOPED_TRACE(testing::PrintToString(name));
    EXPECT_FALSE(
        FetchRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                 "\r\n4\r\nbody\r\n0\r\n" +
                 name + ": 1\r\n\r\n"));
  }
}

// A field whose name begins with a blank was read as the end of the value
// before it. Without its length, the body went on until the connection closed.
TEST(HttpTest, AnswerWithBlankBeforeAFieldNameIsAnError) {
  for (const char *blank : {" ", "\t", "  "}) {
    for (const char *before : {"", "X-First: 1\r\n", "X-First:\r\n"}) {
      SCOPED_TRACE(testing::PrintToString(std::string(before) + blank));
      auto response =
          FetchRaw(std::string("HTTP/1.1 200 OK\r\n") + before + blank +
                   "Content-Length: 4\r\n\r\nbody of it and more");
      ASSERT_FALSE(response);
      EXPECT_EQ(response.error().m_kind, base::ErrorKind::kProtocol);
    }
  }
}

/** Guards against a check that a head in several packets evades. */
TEST(HttpTest, BlankBeforeAFieldNameIsFoundInAHeadThatArrivesInParts) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-First: 1\r\n X-Second: 2\r\n";
  const std::string rest = "Content-Length: 4\r\n\r\nbody";
  for (std::size_t at = head.find(" X-Second") - 2; at < head.size(); at += 2) {
    SCOPED_TRACE(at);
    EXPECT_FALSE(FetchRaw({head.substr(0, at), head.substr(at), rest}));
  }
}

/** What a peer does after it has answered before the request has arrived. */
enum class AfterEarlyAnswer : std::uint8_t { kReadsOn, kReset, kStopsReading };

/** @return what a client gets that sends 1 MiB, which its socket buffer takes
 * whole, to a peer that answers without a length and closes its side. */
base::Result<HttpResponse> FetchEarlyAnswer(AfterEarlyAnswer after) {
  std::atomic<bool> has_ended = false;
  RawRunner peer(
      [&](int, const std::string &, const RawConnection &connection) {
        connection.Write("HTTP/1.1 200 OK\r\n\r\nbody");
        connection.EndOutput();
        std::this_thread::sleep_for(milliseconds(50));
        if (after == AfterEarlyAnswer::kReset) connection.Reset();
        if (after == AfterEarlyAnswer::kReadsOn) connection.ReadToEnd();
        while (after == AfterEarlyAnswer::kStopsReading && !has_ended) {
          std::this_thread::sleep_for(milliseconds(5));
        }
        return false;
      },
      RawRead::kHead);
  base::Result<HttpResponse> response;
  RunFiberThread([&] {
    HttpClientPool pool;
    HttpRequest request{"POST", "/", {}, std::string(1u << 20, 'u')};
    bool must_time_out = after == AfterEarlyAnswer::kStopsReading;
    response = pool.Fetch(*ParseEndpoint(peer.Address()), request,
                          In(milliseconds(must_time_out ? 300 : 5'000)));
  });
  has_ended = true;
  return response;
}

/** Guards against the rejection of an answer whose peer reads the rest of the
 * request after it has closed its side, as servers do that answer early. */
TEST(HttpTest, EndBeforeTheRequestIsReadCompletesAnAnswer) {
  auto response = FetchEarlyAnswer(AfterEarlyAnswer::kReadsOn);
  ASSERT_TRUE(response) << response.error().ToString();
  EXPECT_EQ(response->m_body, "body");
}

// A peer that ended while the request was on its way to it closed its side
// before the reset, and that was read as the end of a body without length.
TEST(HttpTest, EndBeforeAResetDoesNotCompleteAnAnswer) {
  auto response = FetchEarlyAnswer(AfterEarlyAnswer::kReset);
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().m_kind, base::ErrorKind::kIo);
}

/** Guards against a wait for the peer that outlasts the deadline. */
TEST(HttpTest, EndOfAPeerThatStopsReadingTimesOut) {
  auto response = FetchEarlyAnswer(AfterEarlyAnswer::kStopsReading);
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().m_kind, base::ErrorKind::kTimeout);
}

/** @return a request that keeps the connection, or lets it close. */
std::string MakeRawRequest(const std::string &method, bool is_last) {
  return method + " / HTTP/1.1\r\nHost: a\r\nConnection: " +
         (is_last ? "close" : "keep-alive") + "\r\n\r\n";
}

// The body of an answer to HEAD was read as the start of the next answer.
// (review/5)
TEST(HttpTest, AnswerToHeadHasNoBody) {
  auto stream = [](const HttpRequest &, HttpExchange &exchange) {
    (void)exchange.BeginStream(200, {});
    (void)exchange.WriteStream("GET part");
    (void)exchange.EndStream();
  };
  for (const HttpHandler &handler : {HttpHandler(Echo), HttpHandler(stream)}) {
    WithServer({}, handler, [](const Endpoint &endpoint) {
      std::string received = SendRaw(endpoint, MakeRawRequest("HEAD", false) +
                                                   MakeRawRequest("GET", true));
      std::size_t end = received.find("\r\n\r\n");
      ASSERT_NE(end, std::string::npos);
      EXPECT_EQ(received.compare(end + 4, 9, "HTTP/1.1 "), 0) << received;
      EXPECT_NE(received.find("GET ", end + 4), std::string::npos);
      EXPECT_EQ(received.find("HEAD "), std::string::npos);
    });
  }
}

// The length that an answer to GET would have is that of the body.
TEST(HttpTest, AnswerToHeadTellsTheLengthOfItsBody) {
  WithServer({}, Echo, [](const Endpoint &endpoint) {
    std::string received = SendRaw(endpoint, MakeRawRequest("HEAD", true));
    EXPECT_NE(received.find("Content-Length: 5\r\n"), std::string::npos);
  });
}

TEST(HttpTest, ReadTimesOut) {
  auto sleep = [](const HttpRequest &, HttpExchange &exchange) {
    SleepFor(milliseconds(300));
    (void)exchange.Respond({});
  };
  WithServer({}, sleep, [](const Endpoint &endpoint) {
    HttpClientPool pool;
    auto response = pool.Fetch(endpoint, HttpRequest{"GET", "/", {}, ""},
                               In(milliseconds(50)));
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().m_kind, base::ErrorKind::kTimeout);
  });
}

TEST(HttpTest, RefusedConnectionSendsNothing) {
  RunFiberThread([] {
    HttpClientPool pool;
    auto start = pool.Start(Endpoint{"127.0.0.1", 1},
                            HttpRequest{"GET", "/", {}, ""}, In(seconds(1)));
    EXPECT_EQ(start.m_call, nullptr);
    EXPECT_EQ(start.m_send_state, SendState::kNothingSent);
  });
}

struct RawCase {
  const char *m_name;
  std::string m_bytes;
  std::string m_expected_start;  ///< "" for a silent close
};

std::string Repeat(const std::string &part, int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += part;
  return text;
}

class HttpRawTest : public testing::TestWithParam<RawCase> {};

/** Guards against a wrong status for malformed, oversized or slow input. */
TEST_P(HttpRawTest, GetsTheExpectedStatus) {
  HttpServerOptions options;
  options.m_max_header_bytes = 2048;
  options.m_max_body_bytes = 1000;
  options.m_header_timeout = milliseconds(200);
  options.m_body_timeout = milliseconds(200);
  WithServer(options, Echo, [](const Endpoint &endpoint) {
    std::string received = SendRaw(endpoint, GetParam().m_bytes);
    EXPECT_EQ(received.substr(0, GetParam().m_expected_start.size()),
              GetParam().m_expected_start)
        << received;
    HttpClientPool pool;
    auto after =
        pool.Fetch(endpoint, HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
    EXPECT_TRUE(after);
  });
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, HttpRawTest,
    testing::Values(
        RawCase{"Garbage", "this is not http\r\n\r\n", "HTTP/1.1 400"},
        RawCase{"HugeHeader",
                "GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n",
                "HTTP/1.1 431"},
        RawCase{"HugeBody",
                "POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" +
                    std::string(3000, 'b'),
                "HTTP/1.1 413"},
        RawCase{"SlowHeader", "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 408"},
        RawCase{"SlowBody", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab",
                "HTTP/1.1 408"},
        RawCase{"LongTrailers",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\nx\r\n0\r\nX: " +
                    std::string(20'000, 't'),
                "HTTP/1.1 431"},
        RawCase{"LongChunkSize",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    std::string(20'000, '0'),
                "HTTP/1.1 431"},
        RawCase{"ChunksOfExtensions",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    Repeat("1;" + std::string(1000, 'e') + "\r\nx\r\n", 80),
                "HTTP/1.1 400"},
        RawCase{"ChunksOfOneByteWithTrailers",
                "POST / HTTP/1.1\r\nConnection: close\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                    Repeat("1\r\nx\r\n", 900) + "0\r\nX: y\r\n\r\n",
                "HTTP/1.1 200"},
        RawCase{"CloseRequested", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
                "HTTP/1.1 200"}),
    [](const testing::TestParamInfo<RawCase> &info) {
      return std::string(info.param.m_name);
    });

// Bodies that are allowed one by one must not be held without a common bound,
// and whoever ends for it must learn that its request didn't run.
TEST(HttpTest, TheLargestRequestIsRefusedWhenAllHoldTooMuch) {
  constexpr std::size_t kBodyBytes = 2 << 20;
  HttpServerOptions options;
  options.m_max_body_bytes = kBodyBytes;
  // Three of them with their buffers, not four.
  options.m_max_held_bytes = 3 * kBodyBytes + (1 << 20);
  options.m_body_timeout = seconds(2);
  WithServer(options, Echo, [](const Endpoint &endpoint) {
    std::string bytes =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
        "\r\n\r\n" + std::string(kBodyBytes - 1, 'b');
    std::vector<std::string> answers(5);
    std::vector<boost::fibers::fiber> callers;
    callers.reserve(answers.size());
    for (std::string &answer : answers) {
      callers.emplace_back([&] { answer = SendRaw(endpoint, bytes); });
    }
    for (boost::fibers::fiber &caller : callers) caller.join();
    auto refused = std::count_if(
        answers.begin(), answers.end(), [](const std::string &answer) {
          return answer.starts_with("HTTP/1.1 503") &&
                 answer.find("Retry-After: 1\r\n") != std::string::npos &&
                 answer.find("not_run") != std::string::npos;
        });
    EXPECT_EQ(refused, 2);
  });
}

// When there are too many connections, those that say nothing must not keep
// others out.
TEST(HttpTest, SilentConnectionsMakeRoomForOthers) {
  HttpServerOptions options;
  options.m_max_connections = 3;
  options.m_idle_timeout = seconds(1);
  WithServer(options, Echo, [](const Endpoint &endpoint) {
    std::vector<boost::fibers::fiber> silent;
    for (int i = 0; i < 6; ++i) {
      silent.emplace_back([&] { (void)SendRaw(endpoint, ""); });
      SleepFor(milliseconds(5));
    }
    HttpClientPool pool;
    auto response =
        pool.Fetch(endpoint, HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
    EXPECT_TRUE(response);
    for (boost::fibers::fiber &caller : silent) caller.join();
  });
}

/** Guards against a lost response after the caller closed its sending side. */
TEST(HttpTest, HalfClosedCallerGetsItsResponse) {
  WithServer({}, Echo, [](const Endpoint &endpoint) {
    std::string received =
        SendRaw(endpoint, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", true);
    EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 200");
  });
}

/** Guards against a stop that aborts a request in progress. */
TEST(HttpTest, StopFinishesRequestsInProgress) {
  HttpServerOptions options;
  options.m_listen = Endpoint{"127.0.0.1", 0};
  HttpServer server(options, [](const HttpRequest &, HttpExchange &exchange) {
    SleepFor(milliseconds(100));
    HttpResponse response;
    response.m_body = "done";
    (void)exchange.Respond(response);
  });
  ASSERT_TRUE(server.Listen());
  RunFiberThread([&server] {
    boost::fibers::fiber serving([&server] { server.Serve(); });
    boost::fibers::fiber client([&server] {
      HttpClientPool pool;
      auto response =
          pool.Fetch(Endpoint{"127.0.0.1", server.Port()},
                     HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
      ASSERT_TRUE(response);
      EXPECT_EQ(response->m_body, "done");
    });
    SleepFor(milliseconds(30));
    server.Stop();
    serving.join();
    client.join();
  });
}

// A connection that was waiting kept the shorter timeout from before a change:
// callers that followed the new one lost the request that crossed its close.
TEST(HttpTest, LongerIdleTimeoutHoldsForConnectionsThatWait) {
  HttpServerOptions options;
  options.m_listen = Endpoint{"127.0.0.1", 0};
  options.m_idle_timeout = milliseconds(200);
  HttpServer server(options, Echo);
  ASSERT_TRUE(server.Listen());
  RunFiberThread([&server] {
    boost::fibers::fiber serving([&server] { server.Serve(); });
    boost::fibers::fiber change([&server] {
      SleepFor(milliseconds(100));
      server.SetIdleTimeout(seconds(5));
    });
    HttpClientPool pool;
    Endpoint endpoint{"127.0.0.1", server.Port()};
    for (bool is_first : {true, false}) {
      auto start =
          pool.Start(endpoint, HttpRequest{"GET", "/", {}, ""}, In(seconds(5)));
      ASSERT_NE(start.m_call, nullptr);
      EXPECT_EQ(start.m_is_reused, !is_first);
      ASSERT_TRUE(start.m_call->ReadHead(In(seconds(5))));
      std::string body;
      while (*start.m_call->ReadSome(&body, In(seconds(5)))) {
      }
      start.m_call.reset();
      SleepFor(milliseconds(400));
    }
    change.join();
    server.Stop();
    serving.join();
  });
}

/** Guards against a stop that resets a connection whose request has been sent
 * or is about to be. */
TEST(HttpTest, StopAnswersNewConnections) {
  constexpr std::string_view kRequest =
      "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  HttpServerOptions options;
  options.m_listen = Endpoint{"127.0.0.1", 0};
  HttpServer server(options, Echo);
  ASSERT_TRUE(server.Listen());
  RunFiberThread([&server, kRequest] {
    boost::fibers::fiber serving([&server] { server.Serve(); });
    SleepFor(milliseconds(10));
    asio::ip::tcp::endpoint peer(asio::ip::address_v4::loopback(),
                                 server.Port());
    // Both connect without letting the server's fiber run.
    asio::ip::tcp::socket early(CurrentIoContext());
    early.connect(peer);
    asio::write(early, asio::buffer(kRequest));
    asio::ip::tcp::socket late(CurrentIoContext());
    late.connect(peer);
    server.Stop();
    SleepFor(milliseconds(20));
    boost::system::error_code error;
    asio::write(late, asio::buffer(kRequest), error);
    EXPECT_FALSE(error) << error.message();
    serving.join();
    for (asio::ip::tcp::socket *socket : {&early, &late}) {
      std::array<char, 12> start{};
      asio::read(*socket, asio::buffer(start), error);
      EXPECT_EQ(std::string(start.data(), start.size()), "HTTP/1.1 200")
          << error.message();
    }
  });
}

/** Guards against the use of a server's state after Serve has returned, when
 * Stop is called twice and a connection arrives at the same time. */
TEST(HttpTest, StopTwiceWhileTheThreadContinues) {
  for (int i = 0; i < 50; ++i) {
    RunFiberThread([] {
      HttpServerOptions options;
      options.m_listen = Endpoint{"127.0.0.1", 0};
      HttpServer server(options, Echo);
      ASSERT_TRUE(server.Listen());
      boost::fibers::fiber serving([&] { server.Serve(); });
      boost::fibers::fiber client([&] {
        HttpClientPool pool;
        (void)pool.Fetch(Endpoint{"127.0.0.1", server.Port()},
                         HttpRequest{"GET", "/", {}, ""}, In(seconds(1)));
      });
      SleepFor(std::chrono::microseconds(200));
      server.Stop();
      server.Stop();
      serving.join();
      client.join();
      SleepFor(milliseconds(1));
    });
  }
}

TEST(EndpointTest, ParsesAndPrints) {
  EXPECT_EQ(ParseEndpoint("127.0.0.1:80")->ToString(), "127.0.0.1:80");
  EXPECT_EQ(ParseEndpoint("[::1]:80")->ToString(), "[::1]:80");
  for (const char *wrong : {"", ":", "localhost:80", "127.0.0.1", "1.2.3.4:x",
                            "1.2.3.4:70000", "1.2.3.4:"}) {
    EXPECT_FALSE(ParseEndpoint(wrong)) << wrong;
  }
}

}  // namespace
}  // namespace wasabiwind::net
