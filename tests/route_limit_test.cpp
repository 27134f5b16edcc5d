/** @file route_limit_test.cpp Limits, sizes and choice of upstreams. */

#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "route/choose_func.h"
#include "route/limit_func.h"
#include "route/size_func.h"

namespace wasabiwind::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 100;
const base::CustomerId kCustomer("a");
const base::DeploymentId kDeployment("chat");

LimitInfo MakeLimit() {
  LimitInfo limit;
  limit.m_name = "a";
  limit.m_customer = kCustomer;
  limit.m_requests_per_s = kRate;
  limit.m_burst = 10;
  return limit;
}

/** Nodes that share one limit and exchange demand once a second. */
class LimitGroup {
 public:
  explicit LimitGroup(std::size_t nodes)
      : m_tables(nodes), m_misses_rounds(nodes) {
    for (LimitTable &table : m_tables) {
      SetLimits(&table, {MakeLimit()}, nodes, m_now);
    }
  }

  /** @param rates offered requests per second by node
   * @return requests that were admitted within the time */
  double Offer(const std::vector<double> &rates, seconds time) {
    double admitted = 0;
    std::vector<double> due(rates.size());
    for (milliseconds t{0}; t < time; t += milliseconds(5)) {
      m_now += milliseconds(5);
      for (std::size_t i = 0; i < rates.size(); ++i) {
        for (due[i] += rates[i] * 0.005; due[i] >= 1; due[i] -= 1) {
          bool is_refused =
              ChargeLimits(&m_tables[i], kCustomer, kDeployment, 1, m_now)
                  .has_value();
          if (!is_refused) {
            admitted += 1;
            ReleaseLimits(&m_tables[i], kCustomer, kDeployment);
          }
        }
      }
      if (t % seconds(1) == milliseconds(0)) ExchangeRound();
    }
    return admitted;
  }

  void StopRounds(std::size_t node) { m_misses_rounds[node] = true; }

 private:
  void ExchangeRound() {
    ++m_round;
    std::vector<std::vector<LimitDemand>> own;
    std::vector<LimitDemand> total{{"a", 0}};
    for (LimitTable &table : m_tables) {
      own.push_back(TakeLimitDemand(&table));
      total[0].m_demand += own.back()[0].m_demand;
    }
    for (std::size_t i = 0; i < m_tables.size(); ++i) {
      if (!m_misses_rounds[i]) {
        ApplyLimitRound(&m_tables[i], m_round, own[i], total, m_tables.size(),
                        m_now);
      }
      ExpireLimitShares(&m_tables[i], milliseconds(1'000), m_now);
    }
  }

  std::vector<LimitTable> m_tables;
  std::vector<bool> m_misses_rounds;
  std::uint64_t m_round = 0;
  base::TimePoint m_now{std::chrono::hours(1)};
};

// Guards against a customer that gets a multiple of its limit by using many
// nodes, and against one that gets only a fraction on a single node.
TEST(LimitTest, NodesTogetherAdmitTheDeclaredRate) {
  LimitGroup group(8);
  group.Offer({400, 0, 0, 0, 0, 0, 0, 0}, seconds(5));
  double one_node = group.Offer({400, 0, 0, 0, 0, 0, 0, 0}, seconds(20));
  EXPECT_GT(one_node, 0.85 * kRate * 20);
  EXPECT_LT(one_node, 1.01 * kRate * 20 + 10);
  // The demand moves to other nodes; bursts of all nodes add to the rate.
  double moving = 0;
  for (int i = 0; i < 10; ++i) {
    std::vector<double> rates(8);
    rates[static_cast<std::size_t>(i) % 8] = 400;
    rates[static_cast<std::size_t>(i * 3 + 1) % 8] = 400;
    moving += group.Offer(rates, seconds(2));
  }
  EXPECT_LT(moving, 1.01 * kRate * 20 + 8 * 10);
}

// Guards against a node that misses rounds and keeps a large share forever.
TEST(LimitTest, NodeWithoutRoundsFallsBackToEqualShare) {
  LimitGroup group(4);
  group.Offer({400, 0, 0, 0}, seconds(5));
  group.StopRounds(0);
  group.Offer({400, 400, 400, 400}, seconds(5));
  double admitted_without_rounds = group.Offer({400, 0, 0, 0}, seconds(20));
  EXPECT_LT(admitted_without_rounds, 0.25 * kRate * 20 + 10);
}

// Guards against limits that apply to other customers or deployments.
TEST(LimitTest, AppliesOnlyToItsScope) {
  base::TimePoint now{std::chrono::hours(1)};
  LimitTable table;
  LimitInfo limit = MakeLimit();
  limit.m_requests_per_s = 1;
  limit.m_burst = 1;
  limit.m_deployment = kDeployment;
  SetLimits(&table, {limit}, 1, now);
  auto charge = [&](const base::CustomerId &customer,
                    const base::DeploymentId &deployment) {
    return ChargeLimits(&table, customer, deployment, 1, now);
  };
  EXPECT_FALSE(charge(kCustomer, kDeployment));
  EXPECT_EQ(charge(kCustomer, kDeployment), seconds(1));
  EXPECT_FALSE(charge(base::CustomerId("b"), kDeployment));
  EXPECT_FALSE(charge(kCustomer, base::DeploymentId("other")));
}

// Guards against estimates that mix short chats and long plans of a customer,
// and against a running request that counts as short forever.
TEST(SizeTest, LearnsByKindAndCorrects) {
  SizeModel model;
  SizeInput chat{kDeployment, kCustomer, 800, 256};
  SizeInput plan{kDeployment, kCustomer, 800, 4'096};
  EXPECT_EQ(EstimateSize(model, chat).m_output_tokens, 256);
  for (std::uint32_t i = 0; i < 50; ++i) {
    RecordSize(&model, chat, 50 + i % 10);
    RecordSize(&model, plan, 2'000 + i % 10);
  }
  EXPECT_NEAR(EstimateSize(model, chat).m_output_tokens, 55, 10);
  EXPECT_NEAR(EstimateSize(model, plan).m_output_tokens, 2'005, 20);
  SizeInput unknown{kDeployment, base::CustomerId("new"), 800, 256};
  EXPECT_NEAR(EstimateSize(model, unknown).m_output_tokens, 55, 10);
  SizeEstimate estimate = EstimateSize(model, chat);
  EXPECT_EQ(CorrectSize(estimate, chat, 20).m_output_tokens,
            estimate.m_output_tokens);
  EXPECT_GT(CorrectSize(estimate, chat, 120).m_output_tokens, 120);
  EXPECT_LE(CorrectSize(estimate, chat, 250).m_output_tokens, 256);
}

class ChooseTest : public testing::Test {
 protected:
  ChooseTest() {
    for (int i = 0; i < 8; ++i) {
      m_upstreams[i].m_info.m_upstream = base::UpstreamId(std::to_string(i));
      m_upstreams[i].m_limit = 8;
      m_candidates.push_back(&m_upstreams[i]);
    }
  }

  Upstream *Choose(std::uint64_t affinity) {
    ChooseInput input;
    input.m_affinity = affinity;
    return ChooseUpstream({}, m_candidates, input, m_now, &m_random);
  }

  Upstream m_upstreams[8];
  std::vector<Upstream *> m_candidates;
  base::TimePoint m_now{std::chrono::hours(1)};
  base::Random m_random{5};
};

// Guards against a session that loses its cached prefix when another upstream
// joins or leaves, and against one popular prefix that overloads its upstream.
TEST_F(ChooseTest, AffinityIsStableAndBounded) {
  std::map<std::uint64_t, Upstream *> chosen;
  for (std::uint64_t key = 1; key <= 100; ++key) chosen[key] = Choose(key);
  Upstream *removed = m_candidates.back();
  m_candidates.pop_back();
  for (const auto &[key, upstream] : chosen) {
    if (upstream == removed) continue;
    EXPECT_EQ(Choose(key), upstream);
  }
  std::map<Upstream *, int> loads;
  for (int i = 0; i < 28; ++i) {
    Upstream *upstream = Choose(7);
    ++upstream->m_in_flight;
    ++loads[upstream];
  }
  for (const auto &[upstream, load] : loads) EXPECT_LE(load, 7);
  EXPECT_GT(loads.size(), 3u);
}

// Guards against sending most requests to a loaded or slow upstream.
TEST_F(ChooseTest, PrefersIdleAndFastUpstreams) {
  m_upstreams[0].m_in_flight = 7;
  m_upstreams[1].m_token_seconds = {0.1, 100};
  std::map<Upstream *, int> counts;
  for (int i = 0; i < 800; ++i) ++counts[Choose(0)];
  EXPECT_LT(counts[&m_upstreams[0]], 50);
  EXPECT_LT(counts[&m_upstreams[1]], 50);
}

// Guards against an ejection of more upstreams than the rest can replace.
TEST_F(ChooseTest, AtMostAFifthIsEjected) {
  for (Upstream &upstream : m_upstreams) {
    upstream.m_token_seconds = {0.02, 100};
  }
  int ejected = 0;
  for (int i = 0; i < 3; ++i) {
    m_upstreams[i].m_token_seconds.m_value = 0.2;
    ejected += UpdateEjection({}, &m_upstreams[i], m_candidates, false, m_now);
  }
  EXPECT_EQ(ejected, 1);
}

}  // namespace
}  // namespace wasabiwind::route
