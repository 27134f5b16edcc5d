/** @file memory_budget_func.h Common bound for the memory of requests. */

#ifndef WASABIWIND_NET_MEMORY_BUDGET_FUNC_H_
#define WASABIWIND_NET_MEMORY_BUDGET_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace wasabiwind::net {

/** What one connection holds. */
struct MemoryHolder {
  std::size_t m_bytes = 0;
  bool m_is_served = false;  ///< its request is handled and may not be ended
};

/** Bytes held by the connections of one thread. Not thread-safe. */
struct MemoryBudget {
  std::size_t m_limit = 0;
  std::size_t m_total = 0;   ///< held by all
  std::size_t m_served = 0;  ///< part of it that is held by served requests
  std::map<std::uint64_t, MemoryHolder> m_holders;  ///< by connection
};

/** A holder with no more than this isn't counted, so that short requests are
 * taken while long ones use up the budget; the number of connections bounds
 * them. */
constexpr std::size_t kUncountedBytes = 4 * 1024;

/** Sets what a connection holds; it isn't served. */
void SetHeldBytes(MemoryBudget *budget, std::uint64_t connection,
                  std::size_t bytes);

/** Forgets a connection, which may be unknown. */
void ReleaseMemory(MemoryBudget *budget, std::uint64_t connection);

/**
 * Begins to serve the complete request of a connection. The request may take
 * at most half of what the other served requests leave free, so that there
 * remains room to read shorter ones; the first one is always served.
 * @param bytes what the connection holds while its request is served
 * @return false if there isn't room; the connection then holds nothing
 */
bool BeginServing(MemoryBudget *budget, std::uint64_t connection,
                  std::size_t bytes);

/**
 * Chooses which connection must end.
 * @return the largest holder that isn't served, of equal ones the newest;
 * nullopt if the limit is kept or all are served
 */
std::optional<std::uint64_t> ChooseToEnd(const MemoryBudget &budget);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_MEMORY_BUDGET_FUNC_H_
