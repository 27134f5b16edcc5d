/** @file memory_budget_test.cpp Common bound for the memory of requests. */

#include <gtest/gtest.h>

#include <random>

#include "net/memory_budget_func.h"

namespace wasabiwind::net {
namespace {

constexpr std::size_t kKiB = 1024;

// Guards against ending a short request for what a long one holds.
TEST(MemoryBudgetTest, TheLargestThatIsNotServedEnds) {
  MemoryBudget budget;
  budget.m_limit = 100 * kKiB;
  ASSERT_TRUE(BeginServing(&budget, 1, 60 * kKiB));
  SetHeldBytes(&budget, 2, 20 * kKiB);
  SetHeldBytes(&budget, 3, 10 * kKiB);
  EXPECT_EQ(ChooseToEnd(budget), std::nullopt);
  SetHeldBytes(&budget, 4, 20 * kKiB);
  EXPECT_EQ(ChooseToEnd(budget), 4u);
  ReleaseMemory(&budget, 4);
  EXPECT_EQ(ChooseToEnd(budget), std::nullopt);
  EXPECT_EQ(budget.m_total, 90 * kKiB);
}

// Guards against refusing short requests while long ones hold everything.
TEST(MemoryBudgetTest, ShortRequestsAreNotCounted) {
  MemoryBudget budget;
  budget.m_limit = 100 * kKiB;
  ASSERT_TRUE(BeginServing(&budget, 1, 200 * kKiB));
  SetHeldBytes(&budget, 2, kUncountedBytes);
  EXPECT_EQ(ChooseToEnd(budget), std::nullopt);
  EXPECT_TRUE(BeginServing(&budget, 2, kUncountedBytes));
  EXPECT_FALSE(BeginServing(&budget, 3, kUncountedBytes + 1));
}

// Guards against served long requests that leave no room to read any other,
// and against refusing the only one.
TEST(MemoryBudgetTest, ServedRequestsLeaveRoom) {
  MemoryBudget budget;
  budget.m_limit = 100 * kKiB;
  EXPECT_TRUE(BeginServing(&budget, 1, 90 * kKiB));
  EXPECT_FALSE(BeginServing(&budget, 2, 6 * kKiB));
  ReleaseMemory(&budget, 1);
  for (std::uint64_t id = 1; BeginServing(&budget, id, 8 * kKiB); ++id) {
  }
  EXPECT_GE(budget.m_served, 80 * kKiB);
  EXPECT_LE(budget.m_served, 92 * kKiB);
}

// Guards against sums that drift from the holders; the seed is fixed.
TEST(MemoryBudgetTest, SumsMatchTheHolders) {
  std::mt19937 random(7);
  MemoryBudget budget;
  budget.m_limit = 400 * kKiB;
  for (int i = 0; i < 20'000; ++i) {
    std::uint64_t id = random() % 30;
    std::size_t bytes = random() % (60 * kKiB);
    bool is_served =
        budget.m_holders.contains(id) && budget.m_holders[id].m_is_served;
    switch (random() % 3) {
      case 0:
        if (!is_served) SetHeldBytes(&budget, id, bytes);
        break;
      case 1:
        if (!is_served) (void)BeginServing(&budget, id, bytes);
        break;
      default:
        ReleaseMemory(&budget, id);
    }
    while (auto chosen = ChooseToEnd(budget)) {
      ASSERT_FALSE(budget.m_holders.at(*chosen).m_is_served);
      ReleaseMemory(&budget, *chosen);
    }
    std::size_t total = 0;
    std::size_t served = 0;
    for (const auto &[holder_id, holder] : budget.m_holders) {
      total += holder.m_bytes;
      if (holder.m_is_served) served += holder.m_bytes;
    }
    ASSERT_EQ(budget.m_total, total);
    ASSERT_EQ(budget.m_served, served);
    ASSERT_LE(total, budget.m_limit);
  }
}

}  // namespace
}  // namespace wasabiwind::net
