/** @file ledger_type.h Ledger of grants, replicated between control hosts. */

#ifndef WASABIWIND_PLACEMENT_LEDGER_TYPE_H_
#define WASABIWIND_PLACEMENT_LEDGER_TYPE_H_

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <placement.pb.h>

#include <compare>
#include <cstdint>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::placement {

/** Bound on grants: 1,000 runners with 64 replicas each; the system is designed
 * for 12,000. */
constexpr std::size_t kMaxGrants = 64'000;

/** Fencing token as a value that can be compared; see gen::Fence. */
struct FencingToken {
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;

  friend auto operator<=>(const FencingToken &, const FencingToken &) = default;
};

inline FencingToken ToFencingToken(const gen::Fence &fence) {
  return {fence.term(), fence.sequence()};
}

/** Faults that a test injects to show that its checks detect a broken rule. All
 * false outside tests. */
struct InjectedFaults {
  bool m_count_only_confirmed = false;  ///< ignore grants that aren't loaded
  bool m_free_before_unload = false;    ///< release when unloading begins
  bool m_skip_order_lifetime = false;   ///< don't wait until lost orders expire
};

/** The ledger changes only through ExecuteCommand and RestoreLedger. Not
 * thread-safe. */
struct Ledger {
  std::uint64_t m_term = 0;
  std::uint64_t m_next_grant_id = 1;
  FencingToken m_last_fence;
  absl::btree_map<std::uint64_t, gen::Grant> m_grants;  ///< by grant ID
  /** Reserved bytes by runner. */
  absl::btree_map<std::string, std::int64_t> m_runner_bytes;
  using GrantIds = absl::btree_set<std::uint64_t>;
  absl::btree_map<std::string, GrantIds> m_by_scope;
  absl::btree_map<std::string, GrantIds> m_by_runner;
  GrantIds m_in_transition;  ///< in any state but GRANT_LOADED
  InjectedFaults m_faults;
};

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_PLACEMENT_LEDGER_TYPE_H_
