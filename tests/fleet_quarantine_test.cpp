/** @file fleet_quarantine_test.cpp Decisions on prompt parts that crash
 * runners.
 */

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
};

// Requests with one part crashed runner after runner, since no entry host saw
// enough of the crashes to relate them.
TEST_F(QuarantineTest, PartThatCrashesThreeRunnersIsQuarantined) {
  Answer({kShared, kOther});
  Crash({kShared, kBad, kOther});
  Crash({kShared, kBad, kOther});
  EXPECT_FALSE(IsQuarantined(m_current, kBad));
  Crash({kShared, kBad, kOther});
  EXPECT_TRUE(IsQuarantined(m_current, kBad));
  EXPECT_FALSE(IsQuarantined(m_current, kShared));
  EXPECT_FALSE(IsQuarantined(m_current, kOther));
}

// Prompts that only waited on the runners that crashed must stay usable.
TEST_F(QuarantineTest, CrashesExplainedByAQuarantinedPartDoNotCountForOthers) {
  for (int i = 0; i < 6; ++i) Crash({kOther, kBad});
  EXPECT_TRUE(IsQuarantined(m_current, kBad));
  EXPECT_FALSE(IsQuarantined(m_current, kOther));
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
  EXPECT_FALSE(IsQuarantined(m_current, kOther));
  Crash({kOther});
  EXPECT_FALSE(IsQuarantined(m_current, kOther));
  Crash({kOther});
  EXPECT_TRUE(IsQuarantined(m_current, kOther));
}

// Each crash within the time that counts once must not prolong that time.
TEST_F(QuarantineTest, CrashesInQuickSuccessionAreCounted) {
  for (int i = 0; i < 12; ++i) Crash({kBad}, milliseconds(50));
  EXPECT_TRUE(IsQuarantined(m_current, kBad));
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
  ASSERT_TRUE(IsQuarantined(m_current, kOther));
  m_now += seconds(1);
  Answer({kOther});
  EXPECT_FALSE(IsQuarantined(m_current, kOther));
}

// A model or runner that was mended must get the prompts again; one that wasn't
// must not lose three more runners.
TEST_F(QuarantineTest, ReleasedPartIsQuarantinedAgainAfterOneCrash) {
  for (int i = 0; i < 3; ++i) Crash({kBad});
  m_now += kQuarantineTime - seconds(1);
  Decide();
  EXPECT_TRUE(IsQuarantined(m_current, kBad));
  m_now += seconds(1);
  Decide();
  EXPECT_FALSE(IsQuarantined(m_current, kBad));
  Crash({kBad});
  EXPECT_TRUE(IsQuarantined(m_current, kBad));
}

TEST_F(QuarantineTest, NumberOfPartsIsBounded) {
  for (int i = 1; i <= 2 * kMaxQuarantinedParts; ++i) {
    gen::QuarantineChange change;
    change.set_key(static_cast<std::uint64_t>(i));
    ApplyQuarantineChange(change, &m_current);
  }
  EXPECT_EQ(m_current.items_size(), kMaxQuarantinedParts);
  EXPECT_FALSE(IsQuarantined(m_current, 1));
  EXPECT_TRUE(IsQuarantined(m_current, 2 * kMaxQuarantinedParts));
}

}  // namespace
}  // namespace wasabiwind::fleet
