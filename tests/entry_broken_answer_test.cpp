/** @file entry_broken_answer_test.cpp Callers never get a broken answer of an
 * engine or service as an answer. */

#include "entry_harness.h"
#include "raw_runner.h"

namespace wasabiwind::entry {
namespace {

/** Answers all requests with the same bytes. */
RawRunner::Script WriteAndClose(const std::string &answer) {
  return [answer](int, const std::string &, const RawConnection &connection) {
    connection.Write(answer);
    return false;
  };
}

constexpr const char *kStreamBody =
    "Content-Type: text/event-stream\r\n\r\n"
    "data: {\"token_index\":0,\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}"
    "\n\ndata: [DONE]\n\n";

/** Checks that each kind of request is refused, since it may have run. */
void ExpectRefused(const std::string &head) {
  RawRunner upstream(WriteAndClose(head + kStreamBody));
  net::RunFiberThread([&upstream] {
    EntryHarness entry;
    ASSERT_EQ(entry.AnnounceService("s1", "stock", upstream.Address()), 200);
    net::HttpResponse answer = entry.Send("GET", "/svc/stock/items/4");
    EXPECT_EQ(answer.m_status, 502);
    EXPECT_EQ(GetReason(answer), "upstream_failed/unknown");
    ASSERT_EQ(entry.AnnounceEngine("e1", upstream.Address()), 200);
    for (bool is_stream : {false, true}) {
      answer = entry.Chat("chat", is_stream);
      EXPECT_EQ(answer.m_status, 502);
      EXPECT_EQ(GetReason(answer), "upstream_failed/unknown");
    }
    entry.CloseConnections();
  });
  EXPECT_GE(upstream.CountCalls(), 3);
}

// An answer with status 000 was passed on to its caller.
TEST(EntryBrokenAnswerTest, InvalidStatusIsNotPassedOn) {
  for (const char *status : {"000", "099", "600"}) {
    SCOPED_TRACE(status);
    ExpectRefused(std::string("HTTP/1.1 ") + status + " OK\r\n");
  }
}

/** Guards against a line that is no field in what a caller gets. */
TEST(EntryBrokenAnswerTest, InvalidFieldNameIsNotPassedOn) {
  for (const char *line : {"X Name: 1", "X-Name : 1", "X\x01Name: 1"}) {
    SCOPED_TRACE(testing::PrintToString(line));
    ExpectRefused(std::string("HTTP/1.1 200 OK\r\n") + line + "\r\n");
  }
}

// A field whose name begins with a blank was read as a part of the value before
// it.
TEST(EntryBrokenAnswerTest, BlankBeforeAFieldNameIsNotPassedOn) {
  ExpectRefused("HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 4\r\n");
}

// A runner that ended while a request was on its way to it closed its side
// before the reset, and that was read as the end of its answer.
TEST(EntryBrokenAnswerTest, EndDuringTheRequestIsNotTheEndOfAnAnswer) {
  constexpr std::size_t kUploadBytes = 1u << 20;
  for (bool is_end_sent : {false, true}) {
    SCOPED_TRACE(is_end_sent);
    RawRunner upstream(
        [is_end_sent](int, const std::string &,
                      const RawConnection &connection) {
          connection.Write("HTTP/1.1 200 OK\r\n\r\npart");
          std::this_thread::sleep_for(base::milliseconds(20));
          if (is_end_sent) connection.EndOutput();
          std::this_thread::sleep_for(base::milliseconds(20));
          connection.Reset();
          return false;
        },
        RawRead::kHead);
    net::RunFiberThread([&upstream] {
      EntryHarness entry;
      entry.AnnounceService("s1", "stock", upstream.Address());
      net::HttpResponse answer =
          entry.Send("GET", "/svc/stock/items", std::string(kUploadBytes, 'u'));
      EXPECT_EQ(GetReason(answer), "upstream_failed/unknown");
      entry.CloseConnections();
    });
  }
}

}  // namespace
}  // namespace wasabiwind::entry
