/** @file quota_bucket_test.cpp Tests of the credit of teams at the leader. */

#include <gtest/gtest.h>

#include <limits>

#include "quota/team_bucket_func.h"

namespace wasabiwind::quota {
namespace {

using base::milliseconds;

constexpr double kRate = 29'000;
constexpr double kSlack = 110'000;

gen::RouteTable MakeTable(double rate, double burst) {
  gen::RouteTable table;
  gen::Team *team = table.add_teams();
  team->set_name("a");
  team->set_unit(gen::QUOTA_TOKENS);
  team->set_rate_per_second(rate);
  team->set_burst(burst);
  return table;
}

class BucketTest : public testing::Test {
 protected:
  BucketTest() {
    m_settings.m_slack = kSlack;
    SetQuotas(&m_buckets, MakeTable(kRate, 0), m_settings, m_now);
    StartTerm(&m_buckets, 1, m_now);
  }

  bool Grant(double amount, bool may_owe = true) {
    return GrantCredit(&m_buckets, "a", amount, may_owe, m_now).m_is_granted;
  }

  double GetBucketSize() const { return m_buckets.m_teams.at("a").m_burst; }
  double GetDebt() const { return m_buckets.m_teams.at("a").m_max_debt; }

  /** Grants the credit with which a term starts. */
  void SpendTermCredit() {
    ASSERT_TRUE(Grant(m_buckets.m_teams.at("a").m_term_credit, false));
  }

  /** Offers requests of one size for some seconds. @return what was granted */
  double Offer(double cost, double per_second, int seconds) {
    double granted = 0;
    auto pause = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(cost / per_second));
    base::TimePoint end = m_now + base::seconds(seconds);
    for (; m_now < end; m_now += pause) granted += Grant(cost) ? cost : 0;
    return granted;
  }

  QuotaSettings m_settings;
  TeamBuckets m_buckets;
  base::TimePoint m_now{base::seconds(100)};
};

// Guards against a team that gets more than its rate by sending more.
TEST_F(BucketTest, TeamAtThreeTimesItsQuotaGetsItsRate) {
  double granted = Offer(1'000, 3 * kRate, 60);
  EXPECT_LE(granted, kRate * 60 + GetBucketSize() + GetDebt());
  EXPECT_GE(granted, kRate * 60 * 0.98);
}

// Guards against small requests that use up all credit before a large one.
TEST_F(BucketTest, SmallRequestsDoNotStarveLargeOnes) {
  int large = 0;
  int small = 0;
  for (int i = 0; i < 60'000; ++i, m_now += milliseconds(1)) {
    if (i % 10 == 0 && Grant(1'000)) ++small;
    if (i % 100 == 5 && Grant(9'200)) ++large;
  }
  // Of 6,000 small and 600 large ones, 3 times the quota.
  EXPECT_GE(large, 60);
  EXPECT_GE(small, 600);
}

// Guards against credit ahead that is granted on debt.
TEST_F(BucketTest, OnlyRequestsFallBelowZeroAndOnlyOnce) {
  SpendTermCredit();
  m_now += milliseconds(10);
  EXPECT_FALSE(Grant(1'000, false));
  EXPECT_TRUE(Grant(9'200));
  EXPECT_FALSE(Grant(1));
  EXPECT_FALSE(Grant(1, false));
}

// Guards against a return time at which there still is no credit.
TEST_F(BucketTest, RefusalNamesTheTimeOfTheNextCredit) {
  SpendTermCredit();
  m_now += milliseconds(10);
  ASSERT_TRUE(Grant(14'790));
  GrantResult refused = GrantCredit(&m_buckets, "a", 9'200, true, m_now);
  ASSERT_FALSE(refused.m_is_granted);
  EXPECT_NEAR(static_cast<double>(refused.m_retry_after.count()), 500, 1);
  m_now += refused.m_retry_after + milliseconds(2);
  EXPECT_TRUE(Grant(9'200));
}

// Guards against a raised limit that helps only with a new term.
TEST_F(BucketTest, RaisedLimitHelpsAtOnce) {
  m_now += base::seconds(20);
  ASSERT_TRUE(Grant(GetBucketSize()));
  SetQuotas(&m_buckets, MakeTable(10 * kRate, 500'000), m_settings, m_now);
  m_now += base::seconds(1);
  EXPECT_TRUE(Grant(10 * kRate, false));
}

// Guards against a lowered limit that keeps the former burst or rate.
TEST_F(BucketTest, LoweredLimitBinds) {
  SetQuotas(&m_buckets, MakeTable(kRate, 900'000), m_settings, m_now);
  m_now += base::seconds(60);
  SetQuotas(&m_buckets, MakeTable(kRate / 10, 0), m_settings, m_now);
  double granted = Offer(1'000, kRate, 30);
  EXPECT_LE(granted, kRate / 10 * 30 + GetBucketSize() + GetDebt());
}

// Guards against returned credit that raises the bucket above its size.
TEST_F(BucketTest, ReturnedCreditComesBackOnceAndUpToTheBurst) {
  m_now += base::seconds(20);
  double size = GetBucketSize();
  ASSERT_TRUE(Grant(size, false));
  ReturnCredit(&m_buckets, "a", 9'200, m_now);
  EXPECT_TRUE(Grant(9'200, false));
  EXPECT_FALSE(Grant(1, false));
  ReturnCredit(&m_buckets, "a", 10 * size, m_now);
  EXPECT_TRUE(Grant(size, false));
  EXPECT_FALSE(Grant(1, false));
}

// Guards against a new leader that grants what its predecessor has granted.
TEST_F(BucketTest, NewTermStartsWithItsOwnCreditOnly) {
  m_now += base::seconds(20);
  StartTerm(&m_buckets, 2, m_now);
  EXPECT_LT(m_buckets.m_teams.at("a").m_term_credit, GetBucketSize());
  SpendTermCredit();
  EXPECT_FALSE(Grant(1));
  m_now += milliseconds(100);
  StartTerm(&m_buckets, 2, m_now);  // the same term keeps its credit
  EXPECT_TRUE(Grant(kRate / 10, false));
}

// Guards against repeats that cost nothing while there is no credit.
TEST_F(BucketTest, RepeatsAreChargedWhateverTheLevel) {
  SpendTermCredit();
  ChargeRepeat(&m_buckets, "a", kRate, m_now);
  m_now += milliseconds(900);
  EXPECT_FALSE(Grant(1));
  m_now += milliseconds(200);
  EXPECT_TRUE(Grant(1));
}

// Guards against a clock value before the last one, which would take credit.
TEST_F(BucketTest, EarlierTimeChangesNothing) {
  m_now += base::seconds(1);
  ASSERT_TRUE(Grant(1, false));
  m_now -= milliseconds(500);
  EXPECT_TRUE(Grant(20'000, false));
}

// Guards against damaged amounts that create credit or use it up for ever.
TEST_F(BucketTest, InvalidAmountsChangeNothing) {
  m_now += base::seconds(20);
  double size = GetBucketSize();
  for (double amount : {-1e9, std::numeric_limits<double>::infinity(),
                        std::numeric_limits<double>::quiet_NaN()}) {
    EXPECT_FALSE(Grant(amount)) << amount;
    ReturnCredit(&m_buckets, "a", amount, m_now);
    ChargeRepeat(&m_buckets, "a", amount, m_now);
  }
  EXPECT_TRUE(Grant(size, false));
  EXPECT_FALSE(Grant(1, false));
}

}  // namespace
}  // namespace wasabiwind::quota
