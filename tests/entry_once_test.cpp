/** @file entry_once_test.cpp Requests that must run at most once. */

#include <map>

#include "entry_harness.h"

namespace wasabiwind::entry {
namespace {

using std::chrono::milliseconds;

/** Replaces the recorders by a map under one lock. */
class FakeOnceClient : public OnceClient {
 public:
  ClaimDecision Claim(const ClaimRequest &request) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    auto [found, is_new] = m_records.try_emplace(request.m_key);
    Record &record = found->second;
    if (is_new) {
      record.m_fingerprint = request.m_fingerprint;
      return {ClaimStatus::kGranted, "claim", ""};
    }
    if (record.m_fingerprint != request.m_fingerprint) {
      return {ClaimStatus::kConflict, "", ""};
    }
    if (!record.m_is_finished) return {ClaimStatus::kInProgress, "", ""};
    return {ClaimStatus::kFinished, "", record.m_answer};
  }
  base::Result<void> Complete(const ClaimRequest &request, const std::string &,
                              const std::string &answer) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_records[request.m_key].m_answer = answer;
    m_records[request.m_key].m_is_finished = true;
    return {};
  }
  void Release(const ClaimRequest &request, const std::string &) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_records.erase(request.m_key);
  }
  /** Replaces all stored answers. */
  void SetAnswers(const std::string &answer) {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto &[key, record] : m_records) record.m_answer = answer;
  }
  std::size_t Count() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_records.size();
  }

 private:
  struct Record {
    std::string m_fingerprint;
    bool m_is_finished = false;
    std::string m_answer;
  };
  std::mutex m_mutex;
  std::map<std::string, Record> m_records;
};

net::HttpHeaders MakeKeyHeader(const std::string &key) {
  net::HttpHeaders headers;
  headers.Add("Idempotency-Key", key);
  return headers;
}

/** Guards against a second execution by a resend, at once or later. */
TEST(EntryOnceTest, ResendsGetTheFirstAnswer) {
  FakeUpstream service([](const auto &request, auto &exchange) {
    net::SleepFor(milliseconds(100));
    (void)exchange.Respond(
        net::MakeJsonResponse(201, "{\"order\":\"" + request.m_body + "\"}"));
  });
  net::RunFiberThread([&] {
    FakeOnceClient once;
    EntryHarness entry("", &once);
    entry.AnnounceService("s1", "orders", service.Address());
    boost::fibers::fiber early([&] {
      net::SleepFor(milliseconds(30));
      EXPECT_EQ(GetReason(entry.Send("POST", "/svc/orders/n", "x",
                                     MakeKeyHeader("k"))),
                "key_in_progress/unknown");
    });
    net::HttpResponse first =
        entry.Send("POST", "/svc/orders/n", "x", MakeKeyHeader("k"));
    early.join();
    EXPECT_EQ(first.m_status, 201);
    net::HttpResponse resent =
        entry.Send("POST", "/svc/orders/n", "x", MakeKeyHeader("k"));
    EXPECT_EQ(resent.m_status, 201);
    EXPECT_EQ(resent.m_body, first.m_body);
    EXPECT_EQ(
        GetReason(entry.Send("POST", "/svc/orders/n", "y", MakeKeyHeader("k"))),
        "key_conflict/not_run");
    EXPECT_EQ(service.Requests().size(), 1U);
    entry.CloseConnections();
  });
}

/** Guards against a retry of a request that may have run, and against a claim
 * that blocks a key although nothing was sent. */
TEST(EntryOnceTest, OnlyUnsentRequestsAreReleased) {
  FakeUpstream lost([](const auto &, auto &exchange) { exchange.Abort(); });
  net::RunFiberThread([&] {
    FakeOnceClient once;
    EntryHarness entry("", &once);
    entry.AnnounceService("s1", "orders", "127.0.0.1:1");
    EXPECT_EQ(
        GetReason(entry.Send("POST", "/svc/orders/n", "x", MakeKeyHeader("k"))),
        "upstream_failed/not_run");
    EXPECT_EQ(once.Count(), 0U);
    entry.AnnounceService("s1", "orders", lost.Address());
    EXPECT_EQ(
        GetReason(entry.Send("POST", "/svc/orders/n", "x", MakeKeyHeader("k"))),
        "outcome_unknown/unknown");
    EXPECT_EQ(
        GetReason(entry.Send("POST", "/svc/orders/n", "x", MakeKeyHeader("k"))),
        "key_in_progress/unknown");
    EXPECT_EQ(lost.Requests().size(), 1U);
    EXPECT_EQ(once.Count(), 1U);
    entry.CloseConnections();
  });
}

/** Guards against a claimed request on a reused connection, which its peer may
 * close at any moment. */
TEST(EntryOnceTest, ClaimedRequestsUseFreshConnections) {
  std::mutex mutex;
  std::vector<std::string> peers;
  FakeUpstream service([&](const auto &, auto &exchange) {
    {
      std::lock_guard<std::mutex> lock(mutex);
      peers.push_back(exchange.PeerAddress());
    }
    (void)exchange.Respond(net::MakeJsonResponse(200, "{}"));
  });
  net::RunFiberThread([&] {
    FakeOnceClient once;
    EntryHarness entry("threads = 1\n", &once);
    entry.AnnounceService("s1", "orders", service.Address());
    for (const char *key : {"a", "b", "c"}) {
      EXPECT_EQ(
          entry.Send("POST", "/svc/orders/n", "", MakeKeyHeader(key)).m_status,
          200);
    }
    std::sort(peers.begin(), peers.end());
    EXPECT_EQ(std::unique(peers.begin(), peers.end()) - peers.begin(), 3);
    entry.CloseConnections();
  });
}

// A stored answer without a valid status was sent with status 000.
TEST(EntryOnceTest, StoredAnswerWithInvalidStatusIsNotPassedOn) {
  FakeUpstream service([](const auto &, auto &exchange) {
    (void)exchange.Respond(net::MakeJsonResponse(201, "{}"));
  });
  net::RunFiberThread([&] {
    FakeOnceClient once;
    EntryHarness entry("", &once);
    entry.AnnounceService("s1", "orders", service.Address());
    auto send = [&entry] {
      return entry.Send("POST", "/svc/orders/n", "x", MakeKeyHeader("k"));
    };
    EXPECT_EQ(send().m_status, 201);
    once.SetAnswers("");
    EXPECT_EQ(GetReason(send()), "outcome_unknown/unknown");
    EXPECT_EQ(service.Requests().size(), 1U);
    entry.CloseConnections();
  });
}

}  // namespace
}  // namespace wasabiwind::entry
