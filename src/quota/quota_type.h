/** @file quota_type.h Settings of quotas and the cost of requests. */

#ifndef WASABIWIND_QUOTA_QUOTA_TYPE_H_
#define WASABIWIND_QUOTA_QUOTA_TYPE_H_

#include <fleet_settings.pb.h>
#include <routes.pb.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "base/time_type.h"

namespace wasabiwind::quota {

/** By how much the use in any window may exceed a quota. */
struct QuotaSettings {
  base::milliseconds m_window{8'000};
  double m_excess = 0.1;  ///< share of the quota
  double m_slack = 10;    ///< beside it, in the unit of the quota
};

/** Longest time for which credit that was granted may be spent. */
inline constexpr base::milliseconds kMaxCreditLifetime{1'000};

inline QuotaSettings MakeQuotaSettings(const gen::FleetBoundsSettings &bounds) {
  QuotaSettings settings;
  settings.m_window = base::milliseconds(bounds.quota_window_ms());
  settings.m_excess = bounds.quota_excess();
  settings.m_slack = bounds.quota_slack();
  return settings;
}

/** @return whether a team's use is limited. */
inline bool HasQuota(const gen::Team &team) {
  return team.rate_per_second() > 0;
}

/** @return whether a message may state this amount. Infinite ones would spoil
 * sums for good, negative ones would create credit. */
inline bool IsValidAmount(double amount) {
  return std::isfinite(amount) && amount >= 0;
}

/** @return what use may exceed a team's quota in each window. */
inline double GetAllowance(const gen::Team &team,
                           const QuotaSettings &settings) {
  double window_s = std::chrono::duration<double>(settings.m_window).count();
  return settings.m_excess *
             (team.rate_per_second() * window_s + team.burst()) +
         settings.m_slack;
}

/** Shares of a team's allowance. They add up to 1. */
inline constexpr double kLifetimeShare = 0.2;  ///< what lots may hold
inline constexpr double kDebtShare = 0.2;
inline constexpr double kBurstShare = 0.35;
inline constexpr double kTermShare = 0.25;  ///< a new leader's first credit

/** @return how far the bucket of a team may fall below zero. */
inline double GetMaxDebt(const gen::Team &team, const QuotaSettings &settings) {
  return GetAllowance(team, settings) * kDebtShare;
}

/** @return the size of a team's bucket: what it may use at once. The quota
 * binds in windows, so a short burst beyond the declared one is within it. */
inline double GetBurst(const gen::Team &team, const QuotaSettings &settings) {
  return team.burst() + GetAllowance(team, settings) * kBurstShare;
}

/**
 * @return the level with which a new leader starts, whatever the former one
 *         granted: the requests that waited for it come at once
 */
inline double GetTermCredit(const gen::Team &team,
                            const QuotaSettings &settings) {
  return GetAllowance(team, settings) * kTermShare;
}

/**
 * @return how long credit of a team may be spent after it was requested. What
 *         the team gets in that time is at most kLifetimeShare of its
 * allowance.
 * @pre HasQuota(team)
 */
inline base::milliseconds GetCreditLifetime(const gen::Team &team,
                                            const QuotaSettings &settings) {
  double lifetime_ms = 1'000 * GetAllowance(team, settings) * kLifetimeShare /
                       team.rate_per_second();
  return base::milliseconds(static_cast<std::int64_t>(std::min<double>(
      lifetime_ms, static_cast<double>(kMaxCreditLifetime.count()))));
}

/**
 * @param tokens of prompt and answer together; nullopt if the caller states
 * none
 * @return what a request costs, in the unit of its team's quota
 */
inline double GetCost(const gen::Team &team,
                      std::optional<std::uint64_t> tokens) {
  if (team.unit() != gen::QUOTA_TOKENS) return 1;
  return tokens ? static_cast<double>(*tokens) : team.plain_cost();
}

}  // namespace wasabiwind::quota

#endif  // WASABIWIND_QUOTA_QUOTA_TYPE_H_
