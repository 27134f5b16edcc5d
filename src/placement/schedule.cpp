/** @file schedule.cpp Load schedule of the weight store, load speeds and
 * keep-alive times. */

#include <algorithm>
#include <cmath>

#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

/** Weight of the newest measurement of a loading speed. */
constexpr double kSpeedWeight = 0.3;
constexpr std::size_t kMaxIdleGaps = 32;
constexpr base::milliseconds kMinRemainingTime{1};
/** An idle replica blocks memory that others may need, but a caller waits for
 * a cold start, so a second of cold start counts as much as 20 s idle. */
constexpr int kColdStartCostFactor = 20;

std::vector<base::TimePoint> &GetEnds(StoreSchedule *schedule,
                                      bool is_adapter) {
  return is_adapter ? schedule->m_adapter_ends : schedule->m_model_ends;
}

int GetSlots(const Planner &planner, bool is_adapter) {
  return is_adapter ? planner.m_settings.m_adapters_in_flight
                    : planner.m_settings.m_store_concurrency;
}

std::int64_t GetWeightBytes(const Planner &planner, const gen::Grant &grant) {
  ScopeTarget scope =
      FindScopeTarget(planner, grant.deployment(), grant.adapter());
  return scope.m_deployment == nullptr ? grant.bytes() : scope.m_weight_bytes;
}

/** A load that runs longer than estimated is expected to take another quarter
 * of its duration so far. The end is always in the future, because an
 * unconfirmed load occupies its slot. */
base::TimePoint EstimateEnd(base::TimePoint start, base::Duration estimate,
                            base::TimePoint now) {
  base::TimePoint end = start + estimate;
  if (end > now) return end;
  return now + std::max<base::Duration>((now - start) / 4, kMinRemainingTime);
}

void AddInFlight(const Planner &planner, const gen::Grant &grant,
                 base::TimePoint start, base::TimePoint now,
                 StoreSchedule *schedule) {
  if (!grant.uses_store()) return;
  base::Duration estimate =
      EstimateLoad(planner, CacheTier::kRemote, GetWeightBytes(planner, grant));
  GetEnds(schedule, !grant.adapter().empty())
      .push_back(EstimateEnd(start, estimate, now));
}

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** @return cost, over all idle gaps and in seconds of an idle replica, of
 * staying loaded for `keep` after each use. */
double GetCost(const std::deque<base::Duration> &gaps, base::Duration keep,
               base::Duration cold_start) {
  double cost = 0.0;
  for (base::Duration gap : gaps) {
    cost += ToSeconds(std::min(gap, keep));
    if (gap > keep) cost += kColdStartCostFactor * ToSeconds(cold_start);
  }
  return cost;
}

}  // namespace

StoreSchedule MakeStoreSchedule(const Planner &planner, const Ledger &ledger,
                                base::TimePoint now) {
  StoreSchedule schedule;
  schedule.m_next_start = std::max(now, planner.m_next_store_start);
  for (std::uint64_t id : ledger.m_in_transition) {
    const gen::Grant &grant = ledger.m_grants.at(id);
    if (grant.state() != gen::GRANT_LOADING) continue;
    auto view = planner.m_grants.find(id);
    base::TimePoint start =
        view == planner.m_grants.end() ? now : view->second.m_since;
    AddInFlight(planner, grant, start, now, &schedule);
  }
  for (const gen::ReserveCommand &pending : planner.m_pending_reserves) {
    AddInFlight(planner, pending.grant(), now, now, &schedule);
  }
  return schedule;
}

base::Duration EstimateLoad(const Planner &planner, CacheTier tier,
                            std::int64_t weight_bytes) {
  double seconds = static_cast<double>(weight_bytes) /
                   planner.m_speeds[static_cast<int>(tier)].m_bytes_per_s;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

LoadSlot AddStoreLoad(const Planner &planner, bool is_adapter,
                      base::Duration duration, base::TimePoint now,
                      StoreSchedule *schedule) {
  std::vector<base::TimePoint> &ends = GetEnds(schedule, is_adapter);
  LoadSlot slot;
  slot.m_start = std::max(now, schedule->m_next_start);
  int slots = GetSlots(planner, is_adapter);
  if (static_cast<int>(ends.size()) >= slots) {
    std::sort(ends.begin(), ends.end());
    slot.m_start = std::max(
        slot.m_start, ends[ends.size() - static_cast<std::size_t>(slots)]);
  }
  slot.m_end = slot.m_start + duration;
  ends.push_back(slot.m_end);
  schedule->m_next_start =
      slot.m_start +
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          1.0 / planner.m_settings.m_store_loads_per_s));
  return slot;
}

void UpdateLoadSpeed(Planner *planner, CacheTier tier,
                     std::int64_t weight_bytes, base::Duration duration) {
  double seconds = std::max(ToSeconds(duration), 0.001);
  double speed = static_cast<double>(weight_bytes) / seconds;
  LoadSpeed &known = planner->m_speeds[static_cast<int>(tier)];
  known.m_bytes_per_s =
      (1.0 - kSpeedWeight) * known.m_bytes_per_s + kSpeedWeight * speed;
}

void RecordUse(Planner *planner, const std::string &scope,
               base::TimePoint now) {
  auto [found, is_new] = planner->m_idle.try_emplace(scope);
  IdleHistory &idle = found->second;
  base::Duration gap = now - idle.m_last_use;
  // Uses at shorter intervals belong to one burst of requests.
  if (!is_new && gap >= planner->m_settings.m_min_idle) {
    idle.m_idle_gaps.push_back(gap);
    if (idle.m_idle_gaps.size() > kMaxIdleGaps) idle.m_idle_gaps.pop_front();
  }
  idle.m_last_use = now;
}

base::Duration GetKeepAlive(const Planner &planner, const std::string &scope,
                            base::Duration cold_start,
                            base::Duration idle_after) {
  auto found = planner.m_idle.find(scope);
  if (found == planner.m_idle.end() || found->second.m_idle_gaps.empty()) {
    return idle_after;
  }
  const std::deque<base::Duration> &gaps = found->second.m_idle_gaps;
  std::vector<base::Duration> choices;
  choices.reserve(gaps.size() + 1);
  // An eighth more than a gap, so that slightly longer gaps are covered too.
  for (base::Duration gap : gaps) choices.push_back(gap + gap / 8);
  choices.push_back(
      std::min<base::Duration>(planner.m_settings.m_min_idle, idle_after));
  base::Duration best = idle_after;
  double best_cost = GetCost(gaps, best, cold_start);
  for (base::Duration choice : choices) {
    if (choice > idle_after) continue;
    double cost = GetCost(gaps, choice, cold_start);
    if (cost > best_cost || (cost == best_cost && choice >= best)) continue;
    best = choice;
    best_cost = cost;
  }
  return best;
}

}  // namespace wasabiwind::placement
