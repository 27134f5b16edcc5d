/** @file gateway_crash_evidence_test.cpp Evidence on what crashes runners. */

#include <gtest/gtest.h>

#include "fleet/quarantine_func.h"
#include "gateway/crash_evidence_func.h"

namespace wasabiwind::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *kRunner = "i-1";
constexpr const char *kAddress = "10.0.0.9:80";
constexpr std::uint64_t kBornMs = 100;
constexpr std::uint64_t kRequest = 7;
constexpr base::TimePoint kNow{seconds(1'000)};

LostRequest MakeLoss(base::TimePoint at = kNow) {
  LostRequest lost;
  lost.m_at = at;
  lost.m_address = kAddress;
  lost.m_report.set_upstream(kRunner);
  lost.m_report.set_born_ms(kBornMs);
  lost.m_report.set_request_key(kRequest);
  return lost;
}

fleet::UpstreamEntry *AddRunner(fleet::FleetView *view, const std::string &id,
                                std::uint64_t born_ms) {
  fleet::UpstreamEntry &entry = view->m_upstreams[id];
  entry.m_report.set_id(id);
  entry.m_report.set_born_ms(born_ms);
  entry.m_report.set_address(kAddress);
  return &entry;
}

// A runner behind a proxy may accept connections at any time.
TEST(CrashEvidenceTest, ViewShowsThatARunnerHasEnded) {
  fleet::FleetView view;
  EXPECT_TRUE(HasEnded(view, MakeLoss()));
  AddRunner(&view, kRunner, kBornMs);
  EXPECT_FALSE(HasEnded(view, MakeLoss()));
  AddRunner(&view, "i-older", kBornMs - 1);
  EXPECT_FALSE(HasEnded(view, MakeLoss()));
  AddRunner(&view, "i-later", kBornMs + 1);
  EXPECT_TRUE(HasEnded(view, MakeLoss()));
  view.m_upstreams.erase("i-later");
  AddRunner(&view, kRunner, kBornMs + 1);
  EXPECT_TRUE(HasEnded(view, MakeLoss()));
}

TEST(CrashEvidenceTest, OnlyConfirmedLossesAreReported) {
  CrashEvidence evidence;
  RecordLostRequest(&evidence, MakeLoss());
  gen::UseReport before;
  FillCrashEvidence(&evidence, {}, &before, kNow);
  EXPECT_EQ(before.lost_requests_size(), 0);
  EXPECT_TRUE(ConfirmLosses(&evidence, kNow + seconds(4),
                            [](const LostRequest &) { return true; }));
  // Reports can be lost, so each loss is repeated for a while.
  for (milliseconds at : {milliseconds(4'000), milliseconds(8'900)}) {
    gen::UseReport report;
    FillCrashEvidence(&evidence, {}, &report, kNow + at);
    EXPECT_EQ(report.lost_requests_size(), 1);
  }
  gen::UseReport after;
  FillCrashEvidence(&evidence, {}, &after, kNow + seconds(9));
  EXPECT_EQ(after.lost_requests_size(), 0);
}

// A runner that ends later says nothing about an answer that it broke off.
TEST(CrashEvidenceTest, OldLossesAreNotConfirmed) {
  CrashEvidence evidence;
  RecordLostRequest(&evidence, MakeLoss());
  EXPECT_FALSE(ConfirmLosses(&evidence, kNow + seconds(5),
                             [](const LostRequest &) { return true; }));
}

// Requests that are answered all the time were refused after three crashes for
// other reasons.
TEST(CrashEvidenceTest, AnswersOfTheLastMinuteClearAQuarantinedRequest) {
  CrashEvidence evidence;
  RecordSoundRequest(&evidence, kRequest, {}, kNow);
  SuspectSet quarantined = {fleet::MakeRequestSuspect(kRequest),
                            fleet::MakeRequestSuspect(kRequest + 1),
                            fleet::MakePartSuspect(kRequest)};
  base::TimePoint end = kNow + fleet::kEvidenceTime;
  gen::UseReport report;
  FillCrashEvidence(&evidence, quarantined, &report, end - milliseconds(1));
  ASSERT_EQ(report.sound_requests_size(), 1);
  EXPECT_EQ(report.sound_requests(0), kRequest);
  gen::UseReport later;
  FillCrashEvidence(&evidence, quarantined, &later, end);
  EXPECT_EQ(later.sound_requests_size(), 0);
}

// The memory of answers must not grow with the requests, and keeps the newest.
TEST(CrashEvidenceTest, MemoryOfAnswersIsBounded) {
  constexpr std::uint64_t kAnswers = 20'000;
  CrashEvidence evidence;
  for (std::uint64_t key = 1; key <= kAnswers; ++key) {
    RecordSoundRequest(&evidence, key, {}, kNow);
  }
  EXPECT_LT(evidence.m_answers.size(), kAnswers / 2);
  EXPECT_LE(evidence.m_answered_at.size(), evidence.m_answers.size());
  EXPECT_TRUE(evidence.m_answered_at.contains(kAnswers));
}

}  // namespace
}  // namespace wasabiwind::gateway
