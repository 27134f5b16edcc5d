/** @file fleet_quarantine_test.cpp Decisions on what crashes runners. */

#include <gtest/gtest.h>

#include "fleet/quarantine_func.h"

namespace wasabiwind::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kShared = 1;
constexpr std::uint64_t kBad = 2;
constexpr std::uint64_t kOther = 3;

/** A planner with reports of entry hosts, and the quarantine in force. */
class QuarantineTest : public testing::Test {
 protected:
  QuarantineTest() {
    RecordCrashEvidence(&m_planner, gen::UseReport(), m_now);
    m_now += kMinEvidenceTime;
  }

  /** A runner crashes under one prompt, a second after the last event. */
  void Crash(const std::vector<std::uint64_t> &parts,
             milliseconds pause = seconds(1)) {
    m_now += pause;
    gen::UseReport report;
    gen::LostRequest *lost = report.add_lost_requests();
    lost->set_upstream("i-" + std::to_string(++m_crash_count));
    lost->set_born_ms(5);
    for (std::uint64_t part : parts) lost->add_parts(part);
    // Entry hosts repeat what they report.
    for (int i = 0; i < 3; ++i) RecordCrashEvidence(&m_planner, report, m_now);
    Decide();
  }

  /** A runner crashes under some arrivals of a request. */
  void CrashUnderRequest(std::uint64_t key, int arrivals = 1,
                         const std::vector<std::uint64_t> &parts = {},
                         milliseconds pause = seconds(1)) {
    m_now += pause;
    ++m_crash_count;
    gen::UseReport report;
    for (int i = 0; i < arrivals; ++i) {
      gen::LostRequest *lost = report.add_lost_requests();
      lost->set_upstream("i-" + std::to_string(m_crash_count));
      lost->set_born_ms(5);
      lost->set_request_key(key);
      lost->set_arrival(++m_arrival_count);
      for (std::uint64_t part : parts) lost->add_parts(part);
    }
    for (int i = 0; i < 3; ++i) RecordCrashEvidence(&m_planner, report, m_now);
    Decide();
  }

  void AnswerRequest(std::uint64_t key) {
    gen::UseReport report;
    report.add_sound_requests(key);
    RecordCrashEvidence(&m_planner, report, m_now);
    Decide();
  }

  bool IsRequestQuarantined(std::uint64_t key) const {
    return IsQuarantined(m_current, MakeRequestSuspect(key));
  }

  void Answer(const std::vector<std::uint64_t> &parts) {
    gen::UseReport report;
    for (std::uint64_t part : parts) report.add_sound_parts(part);
    RecordCrashEvidence(&m_planner, report, m_now);
    Decide();
  }

  void Decide() {
    while (auto change = PlanQuarantineChange(&m_planner, m_current, m_now)) {
      ApplyQuarantineChange(*change, &m_current);
    }
  }

  QuarantinePlanner m_planner;
  gen::Quarantine m_current;
  base::TimePoint m_now{seconds(1'000)};
  int m_crash_count = 0;
  std::uint64_t m_arrival_count = 0;
};

// Requests with one part crashed runner after runner, since no entry host saw
// enough of the crashes to relate them.
TEST_F(QuarantineTest, PartThatCrashesThreeRunnersIsQuarantined) {
  Answer({kShared, kOther});
  Crash({kShared, kBad, kOther});
  Crash({kShared, kBad, kOther});
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  Crash({kShared, kBad, kOther});
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kShared)));
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kOther)));
}

// Prompts that only waited on the runners that crashed must stay usable.
TEST_F(QuarantineTest, CrashesExplainedByAQuarantinedPartDoNotCountForOthers) {
  for (int i = 0; i < 6; ++i) Crash({kOther, kBad});
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kOther)));
}

TEST_F(QuarantineTest, PartOfAnAnsweredPromptIsNeverQuarantined) {
  Answer({kOther});
  for (int i = 0; i < 10; ++i) Crash({kOther});
  EXPECT_EQ(m_current.version(), 0u);
}

// A loss of power ends many runners at once and says nothing about prompts.
TEST_F(QuarantineTest, CrashesAtTheSameTimeCountOnce) {
  Crash({kOther});
  for (int i = 0; i < 10; ++i) Crash({kOther}, milliseconds(10));
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kOther)));
  Crash({kOther});
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kOther)));
  Crash({kOther});
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kOther)));
}

// Each crash within the time that counts once must not prolong that time.
TEST_F(QuarantineTest, CrashesInQuickSuccessionAreCounted) {
  for (int i = 0; i < 12; ++i) Crash({kBad}, milliseconds(50));
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
}

// A new leader has heard of no answers yet, so all parts look alike.
TEST_F(QuarantineTest, NothingIsQuarantinedInTheFirstSeconds) {
  m_planner = QuarantinePlanner();
  for (int i = 0; i < 5; ++i) Crash({kOther}, milliseconds(250));
  EXPECT_EQ(m_current.version(), 0u);
}

TEST_F(QuarantineTest, OldCrashesAreForgotten) {
  for (int i = 0; i < 10; ++i) Crash({kOther}, seconds(31));
  EXPECT_EQ(m_current.version(), 0u);
}

// Running requests may still be answered after their part was quarantined.
TEST_F(QuarantineTest, PartThatIsAnsweredAfterAllIsReleased) {
  for (int i = 0; i < 3; ++i) Crash({kOther});
  ASSERT_TRUE(IsQuarantined(m_current, MakePartSuspect(kOther)));
  m_now += seconds(1);
  Answer({kOther});
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kOther)));
}

// A model or runner that was mended must get the prompts again; one that wasn't
// must not lose three more runners.
TEST_F(QuarantineTest, ReleasedPartIsQuarantinedAgainAfterOneCrash) {
  for (int i = 0; i < 3; ++i) Crash({kBad});
  m_now += kQuarantineTime - seconds(1);
  Decide();
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  m_now += seconds(1);
  Decide();
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  Crash({kBad});
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
}

constexpr std::uint64_t kRequest = 21;
constexpr std::uint64_t kOtherRequest = 22;

// One request that came again crashed runner after runner: nothing in the
// evidence named it, and the answers to others cleared its parts.
TEST_F(QuarantineTest, RequestThatCrashesThreeRunnersIsQuarantined) {
  Answer({kShared});
  CrashUnderRequest(kRequest, 1, {kShared});
  CrashUnderRequest(kRequest, 1, {kShared});
  EXPECT_FALSE(IsRequestQuarantined(kRequest));
  CrashUnderRequest(kRequest, 1, {kShared});
  EXPECT_TRUE(IsRequestQuarantined(kRequest));
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kShared)));
}

// Requests of plain services have no parts, and a new leader has no answers.
TEST_F(QuarantineTest, RequestIsQuarantinedInTheFirstSeconds) {
  m_planner = QuarantinePlanner();
  for (int i = 0; i < 3; ++i) {
    CrashUnderRequest(kRequest, 1, {}, milliseconds(50));
  }
  EXPECT_TRUE(IsRequestQuarantined(kRequest));
}

// A request that waits on one runner several times is lost several times there,
// and its next arrivals crash the next runner together.
TEST_F(QuarantineTest, ArrivalsThatAreLostTogetherCountEach) {
  CrashUnderRequest(kRequest, 2);
  EXPECT_FALSE(IsRequestQuarantined(kRequest));
  CrashUnderRequest(kRequest, 1);
  EXPECT_TRUE(IsRequestQuarantined(kRequest));
}

// Requests that only waited on the runners that crashed must stay usable.
TEST_F(QuarantineTest, CrashesExplainedByARequestDoNotCountForOthers) {
  for (int i = 0; i < 2; ++i) {
    CrashUnderRequest(kRequest, 1, {kOther});
    --m_crash_count;
    CrashUnderRequest(kOtherRequest, 1, {kOther}, milliseconds(0));
  }
  CrashUnderRequest(kRequest, 1, {kOther});
  ASSERT_TRUE(IsRequestQuarantined(kRequest));
  CrashUnderRequest(kOtherRequest);
  CrashUnderRequest(kOtherRequest);
  EXPECT_FALSE(IsRequestQuarantined(kOtherRequest));
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(kOther)));
  EXPECT_EQ(m_current.items_size(), 1);
}

// Each request with a bad part is sent again by its caller. Quarantined one by
// one, such requests would hide the part.
TEST_F(QuarantineTest, PartIsQuarantinedAlthoughItsRequestsAreToo) {
  for (std::uint64_t request = 30; request < 40; ++request) {
    for (int i = 0; i < 3; ++i) {
      if (IsQuarantined(m_current, MakePartSuspect(kBad))) continue;
      CrashUnderRequest(request, 1, {kBad});
    }
  }
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  EXPECT_EQ(m_crash_count, 5);
}

// Three crashes for other reasons under a request that is asked for all the
// time must not keep it from its callers.
TEST_F(QuarantineTest, RequestThatWasAnsweredElsewhereIsReleasedAtOnce) {
  for (int i = 0; i < 3; ++i) CrashUnderRequest(kRequest);
  ASSERT_TRUE(IsRequestQuarantined(kRequest));
  m_now += milliseconds(500);
  AnswerRequest(kRequest);
  EXPECT_FALSE(IsRequestQuarantined(kRequest));
  EXPECT_EQ(m_current.items_size(), 0);
  CrashUnderRequest(kRequest);
  EXPECT_FALSE(IsRequestQuarantined(kRequest));
}

// A sound request that is asked for more often than the bad one has more of its
// arrivals lost, and explained the crashes until it was cleared.
TEST_F(QuarantineTest, BadRequestIsFoundBehindASoundOne) {
  for (int i = 0; i < 2; ++i) {
    CrashUnderRequest(kOtherRequest, 2);
    --m_crash_count;
    CrashUnderRequest(kRequest, 1, {}, milliseconds(0));
  }
  ASSERT_TRUE(IsRequestQuarantined(kOtherRequest));
  CrashUnderRequest(kRequest);
  m_now += milliseconds(500);
  AnswerRequest(kOtherRequest);
  EXPECT_FALSE(IsRequestQuarantined(kOtherRequest));
  EXPECT_TRUE(IsRequestQuarantined(kRequest));
}

// An answer to one request says nothing about another.
TEST_F(QuarantineTest, RequestStaysQuarantinedWhenAnotherIsAnswered) {
  for (int i = 0; i < 3; ++i) CrashUnderRequest(kRequest, 1, {kShared});
  m_now += milliseconds(500);
  AnswerRequest(kOtherRequest);
  Answer({kShared});
  EXPECT_TRUE(IsRequestQuarantined(kRequest));
}

// Callers that send many different requests must not displace the parts.
TEST_F(QuarantineTest, KindsAreBoundedSeparately) {
  gen::QuarantineChange part;
  part.set_key(kBad);
  ApplyQuarantineChange(part, &m_current);
  for (int i = 1; i <= 2 * kMaxQuarantinedRequests; ++i) {
    gen::QuarantineChange change;
    change.set_kind(gen::SUSPECT_REQUEST);
    change.set_key(static_cast<std::uint64_t>(i));
    ApplyQuarantineChange(change, &m_current);
  }
  EXPECT_EQ(m_current.items_size(), kMaxQuarantinedRequests + 1);
  EXPECT_TRUE(IsQuarantined(m_current, MakePartSuspect(kBad)));
  EXPECT_FALSE(IsRequestQuarantined(1));
  EXPECT_TRUE(IsRequestQuarantined(2 * kMaxQuarantinedRequests));
}

// Crashes of many runners must not keep newer ones out of the evidence.
TEST_F(QuarantineTest, OldestCrashesMakeRoomForNewOnes) {
  for (std::uint64_t i = 0; i < 600; ++i) {
    CrashUnderRequest(1'000 + i, 1, {}, milliseconds(10));
  }
  for (int i = 0; i < 3; ++i) CrashUnderRequest(kRequest);
  EXPECT_TRUE(IsRequestQuarantined(kRequest));
}

TEST_F(QuarantineTest, NumberOfPartsIsBounded) {
  for (int i = 1; i <= 2 * kMaxQuarantinedParts; ++i) {
    gen::QuarantineChange change;
    change.set_key(static_cast<std::uint64_t>(i));
    ApplyQuarantineChange(change, &m_current);
  }
  EXPECT_EQ(m_current.items_size(), kMaxQuarantinedParts);
  EXPECT_FALSE(IsQuarantined(m_current, MakePartSuspect(1)));
  EXPECT_TRUE(
      IsQuarantined(m_current, MakePartSuspect(2 * kMaxQuarantinedParts)));
}

}  // namespace
}  // namespace wasabiwind::fleet
