/** @file memory_budget.cpp Common bound for the memory of requests. */

#include "net/memory_budget_func.h"

namespace wasabiwind::net {

void SetHeldBytes(MemoryBudget *budget, std::uint64_t connection,
                  std::size_t bytes) {
  ReleaseMemory(budget, connection);
  if (bytes <= kUncountedBytes) return;
  budget->m_holders[connection] = {bytes, /*m_is_served=*/false};
  budget->m_total += bytes;
}

void ReleaseMemory(MemoryBudget *budget, std::uint64_t connection) {
  auto found = budget->m_holders.find(connection);
  if (found == budget->m_holders.end()) return;
  budget->m_total -= found->second.m_bytes;
  if (found->second.m_is_served) budget->m_served -= found->second.m_bytes;
  budget->m_holders.erase(found);
}

bool BeginServing(MemoryBudget *budget, std::uint64_t connection,
                  std::size_t bytes) {
  ReleaseMemory(budget, connection);
  if (bytes <= kUncountedBytes) return true;
  std::size_t free = budget->m_limit > budget->m_served
                         ? budget->m_limit - budget->m_served
                         : 0;
  if (budget->m_served > 0 && bytes > free / 2) return false;
  budget->m_holders[connection] = {bytes, /*m_is_served=*/true};
  budget->m_total += bytes;
  budget->m_served += bytes;
  return true;
}

std::optional<std::uint64_t> ChooseToEnd(const MemoryBudget &budget) {
  if (budget.m_total <= budget.m_limit) return std::nullopt;
  std::optional<std::uint64_t> chosen;
  std::size_t largest = 0;
  for (const auto &[connection, holder] : budget.m_holders) {
    if (holder.m_is_served || holder.m_bytes < largest) continue;
    chosen = connection;
    largest = holder.m_bytes;
  }
  return chosen;
}

}  // namespace wasabiwind::net
