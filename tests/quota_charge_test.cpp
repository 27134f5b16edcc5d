/** @file quota_charge_test.cpp Tests of the choice of a control host that
 * charges a request. */

#include <gtest/gtest.h>

#include "quota/charge_func.h"

namespace wasabiwind::quota {
namespace {

const std::set<std::string> kKnown = {"c1", "c2", "c3"};

class ChargeHostTest : public testing::Test {
 protected:
  std::string Choose(const std::set<std::string> &asked, std::uint64_t spread) {
    return ChooseChargeHost(m_hosts, "c1", kKnown, asked, spread, m_now);
  }

  ChargeHosts m_hosts;
  base::TimePoint m_now{base::seconds(100)};
};

// Guards against queries that don't go to the nearest host first.
TEST_F(ChargeHostTest, FollowedHostIsAskedFirst) {
  for (std::uint64_t spread = 0; spread < 10; ++spread) {
    EXPECT_EQ(Choose({}, spread), "c1");
  }
}

// Guards against one other host that gets the queries of all entry hosts.
TEST_F(ChargeHostTest, OtherHostsAreSpreadAndEachAskedOnce) {
  std::set<std::string> seen;
  for (std::uint64_t spread = 0; spread < 10; ++spread) {
    seen.insert(Choose({"c1"}, spread));
  }
  EXPECT_EQ(seen, (std::set<std::string>{"c2", "c3"}));
  EXPECT_EQ(Choose({"c1", "c2", "c3"}, 0), "");
}

// Guards against each request waiting for a host that is lost.
TEST_F(ChargeHostTest, SilentHostIsAskedLast) {
  RecordSilentHost(&m_hosts, "c1", m_now);
  EXPECT_NE(Choose({}, 0), "c1");
  EXPECT_EQ(Choose({"c2", "c3"}, 0), "c1");
  RecordSilentHost(&m_hosts, "c2", m_now);
  for (std::uint64_t spread = 0; spread < 10; ++spread) {
    EXPECT_EQ(Choose({}, spread), "c3");
  }
}

// Guards against a host that is avoided for good after one silence.
TEST_F(ChargeHostTest, HostIsAskedAgainAfterAnAnswerOrSomeTime) {
  RecordSilentHost(&m_hosts, "c1", m_now);
  RecordAnsweringHost(&m_hosts, "c1");
  EXPECT_EQ(Choose({}, 0), "c1");
  RecordSilentHost(&m_hosts, "c1", m_now);
  m_now += kAvoidSilentHost;
  EXPECT_EQ(Choose({}, 0), "c1");
}

// Guards against memory that grows with hosts that came and went.
TEST_F(ChargeHostTest, FormerSilencesAreForgotten) {
  for (int i = 0; i < 1'000; ++i, m_now += base::milliseconds(100)) {
    RecordSilentHost(&m_hosts, "c" + std::to_string(i), m_now);
  }
  EXPECT_LE(m_hosts.m_avoid_until.size(), 11U);
}

// Guards against a start at which no host is followed yet.
TEST_F(ChargeHostTest, HostIsChosenWithoutAFollowedOne) {
  EXPECT_NE(ChooseChargeHost(m_hosts, "", kKnown, {}, 1, m_now), "");
  EXPECT_EQ(ChooseChargeHost(m_hosts, "", {}, {}, 1, m_now), "");
}

}  // namespace
}  // namespace wasabiwind::quota
