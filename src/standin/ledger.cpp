/** @file ledger.cpp Loaded targets and order results of an engine. */

#include <algorithm>
#include <cassert>

#include "standin/ledger_base.h"

namespace wasabiwind::standin {

namespace {

/** Order IDs whose result is kept for resent orders. */
constexpr std::size_t kMaxOrders = 10'000;

bool IsAdapterOf(const std::string &target, const std::string &model) {
  return GetModelOfAdapter(target) == model;
}

/** Removes an unloading target that nothing uses any more, and then its model
 * if that waited for it. */
void RemoveIfUnused(Ledger *ledger, const std::string &target,
                    std::vector<std::string> *removed) {
  auto found = ledger->m_targets.find(target);
  if (found == ledger->m_targets.end()) return;
  const LedgerTarget &entry = found->second;
  if (!entry.m_unloading || entry.m_running > 0) return;
  if (entry.m_state == TargetState::kLoading) return;
  for (const auto &[other, unused] : ledger->m_targets) {
    if (IsAdapterOf(other, target)) return;
  }
  std::string model = GetModelOfAdapter(target);
  ledger->m_targets.erase(found);
  removed->push_back(target);
  if (!model.empty()) RemoveIfUnused(ledger, model, removed);
}

/** Marks a target and its adapters as unloading and removes those unused. */
void BeginUnload(Ledger *ledger, const std::string &target,
                 std::vector<std::string> *removed) {
  std::vector<std::string> unloading;
  for (auto &[other, entry] : ledger->m_targets) {
    if (other != target && !IsAdapterOf(other, target)) continue;
    entry.m_unloading = true;
    unloading.push_back(other);
  }
  // Adapters sort after their model and must be removed before it.
  std::reverse(unloading.begin(), unloading.end());
  for (const std::string &other : unloading) {
    RemoveIfUnused(ledger, other, removed);
  }
}

OrderResult ApplyLoad(Ledger *ledger, const Order &order, bool *start_load) {
  std::string model = GetModelOfAdapter(order.m_target);
  if (!model.empty() && !IsServable(*ledger, model)) {
    return OrderResult::kModelNotLoaded;
  }
  auto found = ledger->m_targets.find(order.m_target);
  if (found != ledger->m_targets.end()) {
    if (found->second.m_state != TargetState::kFailed) {
      found->second.m_unloading = false;
      return OrderResult::kAccepted;
    }
    ledger->m_targets.erase(found);
  }
  std::int64_t used = GetUsedBytes(*ledger) + order.m_bytes;
  if (used > ledger->m_options.m_memory_bytes && !ledger->m_allow_overcommit) {
    return OrderResult::kNoMemory;
  }
  LedgerTarget entry;
  entry.m_bytes = order.m_bytes;
  ledger->m_targets[order.m_target] = entry;
  ledger->m_peak_bytes = std::max(ledger->m_peak_bytes, used);
  *start_load = true;
  return OrderResult::kAccepted;
}

void StoreOrderResult(Ledger *ledger, const std::string &order_id,
                      OrderResult result) {
  ledger->m_orders[order_id] = result;
  ledger->m_order_ids.push_back(order_id);
  if (ledger->m_order_ids.size() <= kMaxOrders) return;
  ledger->m_orders.erase(ledger->m_order_ids.front());
  ledger->m_order_ids.pop_front();
}

}  // namespace

const char *GetOrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kAccepted:
      return "accepted";
    case OrderResult::kStaleFence:
      return "stale_fence";
    case OrderResult::kNoMemory:
      return "no_memory";
    case OrderResult::kModelNotLoaded:
      return "model_not_loaded";
    default:
      return "unknown";
  }
}

const char *GetTargetStateName(TargetState state) {
  switch (state) {
    case TargetState::kLoading:
      return "loading";
    case TargetState::kLoaded:
      return "loaded";
    default:
      return "failed";
  }
}

std::int64_t GetUsedBytes(const Ledger &ledger) {
  std::int64_t used = 0;
  for (const auto &[target, entry] : ledger.m_targets) used += entry.m_bytes;
  return used;
}

std::string GetModelOfAdapter(const std::string &target) {
  std::size_t slash = target.find('/');
  return slash == std::string::npos ? "" : target.substr(0, slash);
}

OrderEffect ApplyOrder(Ledger *ledger, const Order &order) {
  OrderEffect effect;
  auto known = ledger->m_orders.find(order.m_order_id);
  if (known != ledger->m_orders.end()) {
    effect.m_result = known->second;
    return effect;
  }
  if (ledger->m_options.m_check_fences &&
      order.m_fence < ledger->m_highest_fence) {
    effect.m_result = OrderResult::kStaleFence;
    return effect;
  }
  ledger->m_highest_fence = std::max(ledger->m_highest_fence, order.m_fence);
  effect.m_result = OrderResult::kAccepted;
  switch (order.m_action) {
    case OrderAction::kLoad:
      effect.m_result = ApplyLoad(ledger, order, &effect.m_start_load);
      break;
    case OrderAction::kUnload:
      BeginUnload(ledger, order.m_target, &effect.m_unloaded);
      break;
    default:
      ledger->m_role = order.m_target;
      break;
  }
  StoreOrderResult(ledger, order.m_order_id, effect.m_result);
  return effect;
}

std::vector<std::string> FinishLoad(Ledger *ledger, const std::string &target,
                                    bool success) {
  std::vector<std::string> removed;
  auto found = ledger->m_targets.find(target);
  assert(found != ledger->m_targets.end());
  found->second.m_state = success ? TargetState::kLoaded : TargetState::kFailed;
  if (!success) found->second.m_bytes = 0;
  RemoveIfUnused(ledger, target, &removed);
  return removed;
}

bool IsServable(const Ledger &ledger, const std::string &target) {
  auto found = ledger.m_targets.find(target);
  if (found == ledger.m_targets.end()) return false;
  const LedgerTarget &entry = found->second;
  if (entry.m_state != TargetState::kLoaded || entry.m_unloading) return false;
  std::string model = GetModelOfAdapter(target);
  return model.empty() || IsServable(ledger, model);
}

void AcquireTarget(Ledger *ledger, const std::string &target) {
  assert(IsServable(*ledger, target));
  ++ledger->m_targets[target].m_running;
  std::string model = GetModelOfAdapter(target);
  if (!model.empty()) ++ledger->m_targets[model].m_running;
}

std::vector<std::string> ReleaseTarget(Ledger *ledger,
                                       const std::string &target) {
  std::vector<std::string> removed;
  std::string model = GetModelOfAdapter(target);
  auto found = ledger->m_targets.find(target);
  assert(found != ledger->m_targets.end() && found->second.m_running > 0);
  --found->second.m_running;
  if (!model.empty()) --ledger->m_targets[model].m_running;
  RemoveIfUnused(ledger, target, &removed);
  if (!model.empty()) RemoveIfUnused(ledger, model, &removed);
  return removed;
}

}  // namespace wasabiwind::standin
