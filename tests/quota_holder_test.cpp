/** @file quota_holder_test.cpp Tests of the credit of teams at a control host.
 */

#include <gtest/gtest.h>

#include <limits>

#include "quota/credit_holder_func.h"

namespace wasabiwind::quota {
namespace {

using base::milliseconds;

class HolderTest : public testing::Test {
 protected:
  HolderTest() {
    m_settings.m_slack = 110'000;
    m_team.set_name("a");
    m_team.set_unit(gen::QUOTA_TOKENS);
    m_team.set_rate_per_second(29'000);
    m_table["a"] = &m_team;
  }

  /** @return final answers by number of the query. */
  std::map<std::uint64_t, gen::QuotaAnswer> Collect(
      const std::vector<fleet::OutMessage> &messages) {
    std::map<std::uint64_t, gen::QuotaAnswer> answers;
    for (const fleet::OutMessage &out : messages) {
      const gen::QuotaAnswer &answer = out.m_message.quota_answer();
      if (answer.outcome() == gen::QUOTA_PENDING) {
        ++m_pending_count;
        continue;
      }
      EXPECT_TRUE(answers.emplace(answer.number(), answer).second);
    }
    return answers;
  }

  std::map<std::uint64_t, gen::QuotaAnswer> Query(std::uint64_t number,
                                                  double cost,
                                                  int wait_ms = 2'000,
                                                  bool is_repeat = false) {
    gen::QuotaQuery query;
    query.set_number(number);
    query.set_team("a");
    query.set_cost(cost);
    query.set_wait_ms(static_cast<std::uint32_t>(wait_ms));
    query.set_is_repeat(is_repeat);
    query.set_exhausted_wait_ms(
        static_cast<std::uint32_t>(m_exhausted_wait_ms));
    return Collect(HandleQuotaQuery(&m_holder, "e1", query, &m_team,
                                    m_knows_leader, m_now));
  }

  std::optional<gen::CreditRequest> Ask() {
    return MakeCreditRequest(&m_holder, m_table, m_settings, m_now);
  }

  static gen::CreditGrant GrantAll(const gen::CreditRequest &request,
                                   bool is_granted = true) {
    gen::CreditGrant grant;
    grant.set_number(request.number());
    for (const gen::TeamCredit &wanted : request.wanted()) {
      gen::TeamCredit *credit = grant.add_granted();
      credit->set_team(wanted.team());
      credit->set_amount(is_granted ? wanted.amount() : 0);
      credit->set_retry_after_ms(is_granted ? 0 : 700);
    }
    return grant;
  }

  std::map<std::uint64_t, gen::QuotaAnswer> Receive(
      const gen::CreditGrant &grant) {
    return Collect(
        HandleCreditGrant(&m_holder, grant, m_table, m_settings, m_now));
  }

  std::map<std::uint64_t, gen::QuotaAnswer> Expire() {
    return Collect(ExpireCredit(&m_holder, m_now));
  }

  double Refund(double cost, int age_ms) {
    gen::QuotaRefund refund;
    refund.set_team("a");
    refund.set_cost(cost);
    refund.set_age_ms(static_cast<std::uint32_t>(age_ms));
    HandleQuotaRefund(&m_holder, refund, &m_team, m_settings);
    return m_holder.m_teams["a"].m_returned;
  }

  /** Creates demand that makes the holder request credit ahead. @return that
   * request, whose waiting queries have ended */
  gen::CreditRequest AskAhead() {
    for (std::uint64_t i = 1; i <= 50; ++i) (void)Query(1'000 + i, 1'000, 1);
    m_now += milliseconds(1);
    (void)Expire();
    std::optional<gen::CreditRequest> request = Ask();
    EXPECT_TRUE(request && request->wanted_size() == 1 &&
                request->wanted(0).is_ahead());
    return request.value_or(gen::CreditRequest());
  }

  QuotaSettings m_settings;
  gen::Team m_team;
  std::map<std::string, const gen::Team *> m_table;
  CreditHolder m_holder;
  int m_pending_count = 0;  ///< answers that tell of a waiting query
  int m_exhausted_wait_ms = 0;
  bool m_knows_leader = true;
  base::TimePoint m_now{base::seconds(100)};
};

// Guards against a request that runs without credit, or waits for none.
TEST_F(HolderTest, QueryWaitsForTheLeader) {
  EXPECT_TRUE(Query(1, 9'200).empty());
  EXPECT_EQ(m_pending_count, 1);
  EXPECT_TRUE(m_holder.m_is_request_urgent);
  gen::CreditRequest request = Ask().value();
  ASSERT_EQ(request.wanted_size(), 1);
  EXPECT_EQ(request.wanted(0).amount(), 9'200);
  EXPECT_FALSE(Ask());
  auto answers = Receive(GrantAll(request));
  EXPECT_EQ(answers.at(1).outcome(), gen::QUOTA_CHARGED);
}

// Guards against a refusal without the time of the next credit, and against
// asking the leader for each of many requests that it refuses.
TEST_F(HolderTest, RefusalHoldsForAShortTime) {
  (void)Query(1, 9'200);
  auto answers = Receive(GrantAll(Ask().value(), false));
  EXPECT_EQ(answers.at(1).outcome(), gen::QUOTA_EXHAUSTED);
  EXPECT_EQ(answers.at(1).retry_after_ms(), 700U);
  EXPECT_EQ(Query(2, 1'000).at(2).outcome(), gen::QUOTA_EXHAUSTED);
  m_now += kMaxExhaustedPause;
  EXPECT_TRUE(Query(3, 1'000).empty());
}

// Guards against a refusal while credit comes within the time that the caller
// can spare, and against a wait beyond it.
TEST_F(HolderTest, QueryWaitsForCreditWhileItsObjectiveAllows) {
  m_exhausted_wait_ms = 1'000;
  (void)Query(1, 9'200);
  EXPECT_TRUE(Receive(GrantAll(Ask().value(), false)).empty());
  EXPECT_FALSE(Ask());
  m_now += milliseconds(700);
  (void)Expire();
  EXPECT_TRUE(m_holder.m_is_request_urgent);
  gen::CreditGrant refused = GrantAll(Ask().value(), false);
  EXPECT_EQ(Receive(refused).at(1).outcome(), gen::QUOTA_EXHAUSTED);
  EXPECT_EQ(m_holder.m_waiting_count, 0U);
}

// Guards against entry hosts that wait at a control host which is cut off from
// the leader.
TEST_F(HolderTest, QueryIsDeclinedWithoutALeaderUnlessThereIsCredit) {
  (void)Receive(GrantAll(AskAhead()));
  m_knows_leader = false;
  EXPECT_EQ(Query(1, 1'000).at(1).outcome(), gen::QUOTA_CHARGED);
  EXPECT_EQ(Query(2, 1e9).at(2).outcome(), gen::QUOTA_UNKNOWN);
  EXPECT_EQ(m_holder.m_waiting_count, 0U);
}

// Guards against a doubled grant that charges or answers twice.
TEST_F(HolderTest, DoubledGrantCountsOnce) {
  gen::CreditRequest ahead = AskAhead();
  EXPECT_TRUE(Receive(GrantAll(ahead)).empty());
  EXPECT_TRUE(Receive(GrantAll(ahead)).empty());
  double left = ahead.wanted(0).amount();
  EXPECT_EQ(m_holder.m_teams["a"].m_lots.size(), 1U);
  EXPECT_FALSE(Query(1, left).empty());
  EXPECT_TRUE(Query(2, 1).empty());
  gen::CreditGrant grant = GrantAll(Ask().value());
  EXPECT_EQ(Receive(grant).size(), 1U);
  EXPECT_EQ(Receive(grant).size(), 0U);
  EXPECT_EQ(m_holder.m_teams["a"].m_returned, 0);
}

// Guards against a query that waits for ever for a lost message.
TEST_F(HolderTest, LostGrantIsRequestedAgain) {
  (void)Query(1, 9'200);
  gen::CreditRequest first = Ask().value();
  m_now += kCreditRequestTimeout;
  EXPECT_TRUE(Expire().empty());
  EXPECT_TRUE(m_holder.m_is_request_urgent);
  gen::CreditRequest second = Ask().value();
  EXPECT_NE(second.number(), first.number());
  EXPECT_TRUE(Receive(GrantAll(first)).empty());  // late: no credit of it
  EXPECT_EQ(m_holder.m_teams["a"].m_lots.size(), 0U);
  EXPECT_EQ(Receive(GrantAll(second)).size(), 1U);
}

// Guards against a query whose caller gets no answer at all.
TEST_F(HolderTest, UnansweredQueryEnds) {
  (void)Query(1, 9'200, 250);
  (void)Query(2, 9'200, 2'000);
  (void)Ask();
  m_now += milliseconds(250);
  auto answers = Expire();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers.at(1).outcome(), gen::QUOTA_UNKNOWN);
  EXPECT_EQ(m_holder.m_waiting_count, 1U);
  m_now += base::seconds(2);
  EXPECT_EQ(Expire().size(), 1U);
  EXPECT_EQ(m_holder.m_waiting_count, 0U);
}

// Guards against credit that is lost when its query has ended meanwhile.
TEST_F(HolderTest, CreditOfAnEndedQueryGoesBackOnce) {
  (void)Query(1, 9'200, 100);
  gen::CreditRequest request = Ask().value();
  m_now += milliseconds(100);
  (void)Expire();
  EXPECT_TRUE(Receive(GrantAll(request)).empty());
  gen::CreditRequest back = Ask().value();
  ASSERT_EQ(back.returned_size(), 1);
  EXPECT_EQ(back.returned(0).amount(), 9'200);
  EXPECT_FALSE(Ask());
}

// Guards against credit that is spent after its lifetime, counted from when the
// request left and not from when its grant came.
TEST_F(HolderTest, CreditExpiresByTheRequestersClock) {
  gen::CreditRequest ahead = AskAhead();
  base::TimePoint sent_at = m_now;
  m_now += milliseconds(200);
  (void)Receive(GrantAll(ahead));
  m_now = sent_at + GetCreditLifetime(m_team, m_settings);
  EXPECT_TRUE(Query(1, 1).empty());
}

// Guards against credit that is spent while this host was suspended.
TEST_F(HolderTest, GrantAfterTheLifetimeIsWorthNothing) {
  gen::CreditRequest ahead = AskAhead();
  m_now += GetCreditLifetime(m_team, m_settings);
  (void)Receive(GrantAll(ahead));
  EXPECT_TRUE(m_holder.m_teams["a"].m_lots.empty());
}

// Guards against expired credit that stays behind a lot with a later end.
TEST_F(HolderTest, GrantsInTheWrongOrderExpireInTime) {
  gen::CreditRequest first = AskAhead();
  base::TimePoint first_sent_at = m_now;
  m_now += milliseconds(200);
  gen::CreditRequest second = AskAhead();
  double amount = second.wanted(0).amount();
  (void)Receive(GrantAll(second));
  (void)Receive(GrantAll(first));
  m_now = first_sent_at + GetCreditLifetime(m_team, m_settings);
  EXPECT_TRUE(Query(1, amount + 1).empty());
}

// Guards against unspent credit that is lost to the team, or returned and
// spent as well.
TEST_F(HolderTest, OldLotsGoBackAndAreNotSpent) {
  gen::CreditRequest ahead = AskAhead();
  (void)Receive(GrantAll(ahead));
  m_now += GetCreditLifetime(m_team, m_settings) - milliseconds(100);
  gen::CreditRequest back = Ask().value();
  ASSERT_EQ(back.returned_size(), 1);
  EXPECT_EQ(back.returned(0).amount(), ahead.wanted(0).amount());
  EXPECT_TRUE(Query(1, 1).empty());
}

// Guards against refunds that count twice, or of credit that the bucket has
// filled up since.
TEST_F(HolderTest, RefundComesBackOnceIfItIsRecent) {
  EXPECT_EQ(Refund(9'200, 500), 9'200);
  EXPECT_EQ(Ask().value().returned(0).amount(), 9'200);
  EXPECT_FALSE(Ask());
  EXPECT_EQ(Refund(9'200, 1'001), 0);
}

// Guards against repeats that take the credit of a request or wait for it.
TEST_F(HolderTest, RepeatIsChargedWithoutAnAnswer) {
  EXPECT_TRUE(Query(1, 9'200, 0, true).empty());
  EXPECT_EQ(m_holder.m_waiting_count, 0U);
  gen::CreditRequest request = Ask().value();
  EXPECT_EQ(request.wanted_size(), 0);
  ASSERT_EQ(request.repeats_size(), 1);
  EXPECT_EQ(request.repeats(0).amount(), 9'200);
  EXPECT_FALSE(Ask());
}

// Guards against credit ahead for teams with little demand, most of which
// would expire.
TEST_F(HolderTest, NoCreditAheadForLittleDemand) {
  (void)Query(1, 9'200);
  (void)Receive(GrantAll(Ask().value()));
  m_now += milliseconds(300);
  EXPECT_FALSE(Ask());
}

// Guards against memory that grows with queries that nobody answers.
TEST_F(HolderTest, WaitingQueriesAreBounded) {
  for (std::uint64_t i = 1; i <= kMaxWaitingQueries; ++i) (void)Query(i, 1);
  auto answers = Query(kMaxWaitingQueries + 1, 1);
  EXPECT_EQ(answers.begin()->second.outcome(), gen::QUOTA_UNKNOWN);
  EXPECT_EQ(m_holder.m_waiting_count, kMaxWaitingQueries);
}

// Guards against a host without the current table that charges what no quota
// has counted.
TEST_F(HolderTest, UnknownTeamIsNotCharged) {
  gen::QuotaQuery query;
  query.set_number(1);
  query.set_team("a");
  query.set_cost(1);
  auto answers = Collect(
      HandleQuotaQuery(&m_holder, "e1", query, nullptr, m_knows_leader, m_now));
  EXPECT_EQ(answers.at(1).outcome(), gen::QUOTA_UNKNOWN);
  m_team.set_rate_per_second(0);
  EXPECT_EQ(Query(2, 1).at(2).outcome(), gen::QUOTA_CHARGED);
}

// Guards against damaged costs that spoil the mean demand for ever.
TEST_F(HolderTest, InvalidCostsAreRefused) {
  for (double cost : {-1.0, std::numeric_limits<double>::infinity(),
                      std::numeric_limits<double>::quiet_NaN()}) {
    EXPECT_EQ(Query(1, cost).at(1).outcome(), gen::QUOTA_UNKNOWN) << cost;
    EXPECT_TRUE(Query(2, cost, 0, true).empty());
    EXPECT_EQ(Refund(cost, 1), 0);
  }
  EXPECT_FALSE(Ask());
}

}  // namespace
}  // namespace wasabiwind::quota
