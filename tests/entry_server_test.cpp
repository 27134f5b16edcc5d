/** @file entry_server_test.cpp The entry server against fake upstreams. */

#include "entry_harness.h"

namespace wasabiwind::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(EntryServerTest, StreamsTokensOfAnEngine) {
  FakeUpstream engine([](const auto &request, auto &exchange) {
    StreamTokens(request, exchange, 20);
  });
  net::RunFiberThread([&] {
    EntryHarness entry;
    ASSERT_EQ(entry.AnnounceEngine("e1", engine.Address()), 200);
    net::HttpHeaders headers;
    headers.Add("X-Request-Id", "caller-7");
    net::HttpResponse answer = entry.Chat("chat/a", true, headers);
    EXPECT_EQ(answer.m_status, 200);
    EXPECT_EQ(answer.m_body, ExpectedStream(20));
    EXPECT_EQ(answer.m_headers.Get("X-Request-Id"), "caller-7");
    auto body = boost::json::parse(engine.Requests().at(0).m_body).as_object();
    EXPECT_EQ(body.at("model").as_string(), "m@1/a@2");
    EXPECT_EQ(body.at("priority").as_string(), "standard");
    EXPECT_EQ(body.at("request_id").as_string().subview(0, 9), "caller-7.");
    entry.CloseConnections();
  });
}

TEST(EntryServerTest, RelaysWholeAnswersAndServices) {
  FakeUpstream upstream([](const auto &request, auto &exchange) {
    (void)exchange.Respond(net::MakeJsonResponse(
        request.m_target == "/missing" ? 404 : 200,
        "{\"got\":\"" + request.m_method + " " + request.m_target + "\"}"));
  });
  net::RunFiberThread([&] {
    EntryHarness entry;
    ASSERT_EQ(entry.AnnounceEngine("e1", upstream.Address()), 200);
    ASSERT_EQ(entry.AnnounceService("s1", "stock", upstream.Address()), 200);
    EXPECT_EQ(entry.Chat("chat", false).m_body,
              R"({"got":"POST /v1/chat/completions"})");
    EXPECT_EQ(entry.Send("GET", "/svc/stock/items/4?x=1").m_body,
              R"({"got":"GET /items/4?x=1"})");
    EXPECT_EQ(entry.Send("GET", "/svc/stock/missing").m_status, 404);
    EXPECT_NE(entry.Send("GET", "/v1/models").m_body.find("\"chat\""),
              std::string::npos);
    EXPECT_NE(entry.Send("GET", "/v1/addresses").m_body.find("keep_ms\":50"),
              std::string::npos);
    entry.CloseConnections();
  });
}

/** @return an announcement whose targets fill it up to a size. */
std::string MakeLongAnnouncement(std::size_t bytes) {
  constexpr std::size_t kTargetBytes = 200;
  const std::string target =
      R"({"target":")" + std::string(kTargetBytes, 't') + R"("},)";
  const std::string end = R"({"target":"t"}]})";
  std::string body =
      R"({"upstream":"e1","kind":"engine","address":"127.0.0.1:1","loaded":[)";
  while (body.size() + target.size() + end.size() <= bytes) body += target;
  // Blanks between two values change nothing.
  body.append(bytes - body.size() - end.size(), ' ');
  return body + end;
}

/** Guards against a record that is too long for a message to other nodes: the
 * entry host that accepted it couldn't confirm its configuration any more. */
TEST(EntryServerTest, RefusesAnAnnouncementThatIsTooLong) {
  constexpr std::size_t kMaxBytes = 256 * 1024;
  net::RunFiberThread([&] {
    EntryHarness entry;
    net::HttpResponse refusal = entry.Send("POST", "/upstream/v1/announce",
                                           MakeLongAnnouncement(kMaxBytes + 1));
    EXPECT_EQ(refusal.m_status, 400);
    EXPECT_NE(refusal.m_body.find("\"bad_announcement\""), std::string::npos);
    EXPECT_EQ(entry
                  .Send("POST", "/upstream/v1/announce",
                        MakeLongAnnouncement(kMaxBytes))
                  .m_status,
              200);
    entry.CloseConnections();
  });
}

/** Guards against refusals with a wrong reason. */
TEST(EntryServerTest, RefusesWithReasons) {
  net::RunFiberThread([&] {
    EntryHarness entry;
    net::HttpHeaders wrong_key;
    wrong_key.Add("Authorization", "Bearer nobody");
    net::HttpHeaders alice;
    alice.Add("Authorization", "Bearer alice");
    net::HttpHeaders impersonator;
    impersonator.Add("X-Customer", "alice");
    net::HttpHeaders label;
    label.Add("X-Customer", "label");
    EXPECT_EQ(GetReason(entry.Chat("nothing", true)), "unknown_model/not_run");
    EXPECT_EQ(GetReason(entry.Chat("chat/b", true)), "unknown_model/not_run");
    EXPECT_EQ(GetReason(entry.Chat("chat", true)), "no_upstream/not_run");
    EXPECT_EQ(GetReason(entry.Chat("chat", true, wrong_key)),
              "unauthorized/not_run");
    EXPECT_EQ(GetReason(entry.Chat("chat", true, impersonator)),
              "unauthorized/not_run");
    EXPECT_EQ(GetReason(entry.Chat("closed", true)), "not_allowed/not_run");
    EXPECT_EQ(GetReason(entry.Chat("closed", true, label)),
              "not_allowed/not_run");
    EXPECT_EQ(GetReason(entry.Chat("closed", true, alice)),
              "no_upstream/not_run");
    EXPECT_EQ(GetReason(entry.Send("GET", "/svc/none/x")),
              "unknown_service/not_run");
    EXPECT_EQ(GetReason(entry.Send("GET", "/svc/stock/x")),
              "no_upstream/not_run");
    EXPECT_EQ(GetReason(entry.Send("POST", "/svc/orders/x")),
              "key_required/not_run");
    EXPECT_EQ(GetReason(entry.Send("POST", "/v1/completions", "{")),
              "bad_request/not_run");
    net::HttpHeaders key;
    key.Add("Idempotency-Key", "k1");
    EXPECT_EQ(GetReason(entry.Send("POST", "/svc/orders/x", "", key)),
              "recorder_unavailable/not_run");
    entry.CloseConnections();
  });
}

/** Guards against requests to an upstream that has left, and against an old
 * announcement that adds it again. */
TEST(EntryServerTest, LeavingUpstreamGetsNoRequests) {
  FakeUpstream engine([](const auto &request, auto &exchange) {
    StreamTokens(request, exchange, 2);
  });
  net::RunFiberThread([&] {
    EntryHarness entry;
    entry.AnnounceEngine("e1", engine.Address(), 4, 5);
    EXPECT_EQ(entry.Chat("chat", true).m_status, 200);
    entry.AnnounceEngine("e1", engine.Address(), 4, 5, "leaving");
    EXPECT_EQ(GetReason(entry.Chat("chat", true)), "no_upstream/not_run");
    EXPECT_EQ(entry.AnnounceEngine("e1", engine.Address(), 4, 4), 409);
    EXPECT_EQ(GetReason(entry.Chat("chat", true)), "no_upstream/not_run");
    EXPECT_EQ(entry.AnnounceEngine("e1", engine.Address(), 4, 6), 200);
    EXPECT_EQ(entry.Chat("chat", true).m_status, 200);
    entry.Server().Tick(FromNow(seconds(11)));
    EXPECT_EQ(GetReason(entry.Chat("chat", true)), "no_upstream/not_run");
    entry.CloseConnections();
  });
}

}  // namespace
}  // namespace wasabiwind::entry
