/** @file ledger_base.h Loaded targets and order results of an engine. */

#ifndef WASABIWIND_STANDIN_LEDGER_BASE_H_
#define WASABIWIND_STANDIN_LEDGER_BASE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabiwind::standin {

/** Fencing token of an order; later orders and newer leaders have greater ones.
 */
struct FencingToken {
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;

  friend auto operator<=>(const FencingToken &, const FencingToken &) = default;
  friend bool operator==(const FencingToken &, const FencingToken &) = default;
};

enum class OrderAction : std::uint8_t { kLoad, kUnload, kRole, kEnd };

/** Order to an engine. */
struct Order {
  std::string m_order_id;
  FencingToken m_fence;
  OrderAction m_action = OrderAction::kEnd;
  std::string m_target;
  std::int64_t m_bytes = 0;
};

enum class OrderResult : std::uint8_t {
  kAccepted,
  kStaleFence,      ///< an order had a newer fencing token
  kNoMemory,        ///< the target doesn't fit
  kModelNotLoaded,  ///< the model of an adapter isn't loaded
  kEnd,
};

/** @return the snake_case name, as in "reason" of the response. */
const char *GetOrderResultName(OrderResult result);

enum class TargetState : std::uint8_t { kLoading, kLoaded, kFailed, kEnd };

/** @return "loading", "loaded" or "failed". */
const char *GetTargetStateName(TargetState state);

/** A model or adapter that occupies memory. */
struct LedgerTarget {
  std::int64_t m_bytes = 0;
  TargetState m_state = TargetState::kLoading;
  int m_running = 0;         ///< requests that use it
  bool m_unloading = false;  ///< is unloaded once nothing uses it
};

struct LedgerOptions {
  std::int64_t m_memory_bytes = 0;
  bool m_check_fences = false;
};

/** Targets in memory and order results of one engine incarnation. */
struct Ledger {
  LedgerOptions m_options;
  std::map<std::string, LedgerTarget> m_targets;  ///< by target
  FencingToken m_highest_fence;
  std::string m_role;
  std::int64_t m_peak_bytes = 0;
  bool m_allow_overcommit = false;                        ///< injected fault
  std::unordered_map<std::string, OrderResult> m_orders;  ///< by order ID
  std::deque<std::string> m_order_ids;                    ///< oldest first
};

/** Result of an order and what the engine has to do for it. */
struct OrderEffect {
  OrderResult m_result = OrderResult::kEnd;
  bool m_start_load = false;            ///< the engine has to load the target
  std::vector<std::string> m_unloaded;  ///< targets that were removed at once
};

/** @return bytes of all targets, in whatever state. */
std::int64_t GetUsedBytes(const Ledger &ledger);

/** @return the model part of "model@v/adapter@v", or "" for a model. */
std::string GetModelOfAdapter(const std::string &target);

/**
 * Applies an order. A repeated order ID gets the result of the first order and
 * has no further effect.
 */
OrderEffect ApplyOrder(Ledger *ledger, const Order &order);

/**
 * Ends a load. A failed load frees its memory; the target remains listed as
 * failed, with 0 bytes, until the next load or unload order for it.
 * @return targets removed now, since an unload waited for the load
 */
std::vector<std::string> FinishLoad(Ledger *ledger, const std::string &target,
                                    bool success);

/** @return whether the target and its model are loaded and not unloading. */
bool IsServable(const Ledger &ledger, const std::string &target);

/** Counts a request that uses the target and its model. @pre IsServable */
void AcquireTarget(Ledger *ledger, const std::string &target);

/** Reverses AcquireTarget. @return targets removed from memory now */
std::vector<std::string> ReleaseTarget(Ledger *ledger,
                                       const std::string &target);

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_LEDGER_BASE_H_
