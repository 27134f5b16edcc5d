/** @file team_bucket.cpp Credit of all teams, at the leader of the control
 * hosts. */

#include <cmath>

#include "quota/team_bucket_func.h"

namespace wasabiwind::quota {

namespace {

/** A team without credit is asked to wait at least this long. */
constexpr base::milliseconds kMinRetryAfter{100};

/** @return the bucket of a team with its level at a time, or nullptr. */
TeamBucket *FillBucket(TeamBuckets *buckets, const std::string &team,
                       base::TimePoint now) {
  auto found = buckets->m_teams.find(team);
  if (found == buckets->m_teams.end()) return nullptr;
  TeamBucket *bucket = &found->second;
  if (now <= bucket->m_filled_at) return bucket;
  double passed_s =
      std::chrono::duration<double>(now - bucket->m_filled_at).count();
  bucket->m_filled_at = now;
  bucket->m_level =
      std::min(bucket->m_burst, bucket->m_level + bucket->m_rate * passed_s);
  return bucket;
}

/** @return the time until the bucket has reached a level. */
base::milliseconds GetRetryAfter(const TeamBucket &bucket, double needed) {
  if (needed > bucket.m_burst) return kMaxRetryAfter;
  double wait_ms =
      1'000 * std::max(0.0, needed - bucket.m_level) / bucket.m_rate;
  auto longest = static_cast<double>(kMaxRetryAfter.count());
  return std::max(kMinRetryAfter, base::milliseconds(static_cast<std::int64_t>(
                                      std::min(wait_ms, longest))));
}

}  // namespace

void StartTerm(TeamBuckets *buckets, std::uint64_t term, base::TimePoint now) {
  if (buckets->m_term == term) return;
  buckets->m_term = term;
  for (auto &[name, bucket] : buckets->m_teams) {
    bucket.m_level = bucket.m_term_credit;
    bucket.m_filled_at = now;
  }
}

void SetQuotas(TeamBuckets *buckets, const gen::RouteTable &table,
               const QuotaSettings &settings, base::TimePoint now) {
  std::map<std::string, TeamBucket> teams;
  for (const gen::Team &team : table.teams()) {
    if (!HasQuota(team)) continue;
    TeamBucket &bucket = teams[team.name()];
    bucket.m_filled_at = now;
    const TeamBucket *known = FillBucket(buckets, team.name(), now);
    bucket.m_level =
        known != nullptr ? known->m_level : GetTermCredit(team, settings);
    bucket.m_rate = team.rate_per_second();
    bucket.m_burst = GetBurst(team, settings);
    bucket.m_level = std::min(bucket.m_level, bucket.m_burst);
    bucket.m_max_debt = GetMaxDebt(team, settings);
    bucket.m_term_credit = GetTermCredit(team, settings);
  }
  buckets->m_teams = std::move(teams);
}

GrantResult GrantCredit(TeamBuckets *buckets, const std::string &team,
                        double amount, bool may_owe, base::TimePoint now) {
  GrantResult result;
  if (!IsValidAmount(amount)) {
    result.m_retry_after = kMaxRetryAfter;
    return result;
  }
  TeamBucket *bucket = FillBucket(buckets, team, now);
  if (bucket == nullptr) {
    // The table of the requester is newer, or the team has no limit any more.
    result.m_is_granted = true;
    return result;
  }
  bool has_credit = bucket->m_level >= amount;
  bool may_fall_below = may_owe && bucket->m_level > 0 &&
                        amount - bucket->m_level <= bucket->m_max_debt;
  result.m_is_granted = has_credit || may_fall_below;
  if (result.m_is_granted) {
    bucket->m_level -= amount;
  } else {
    double needed =
        may_owe ? std::max(0.0, amount - bucket->m_max_debt) : amount;
    result.m_retry_after = GetRetryAfter(*bucket, needed);
  }
  return result;
}

void ReturnCredit(TeamBuckets *buckets, const std::string &team, double amount,
                  base::TimePoint now) {
  if (!IsValidAmount(amount)) return;
  TeamBucket *bucket = FillBucket(buckets, team, now);
  if (bucket == nullptr) return;
  bucket->m_level = std::min(bucket->m_burst, bucket->m_level + amount);
}

void ChargeRepeat(TeamBuckets *buckets, const std::string &team, double amount,
                  base::TimePoint now) {
  if (!IsValidAmount(amount)) return;
  if (TeamBucket *bucket = FillBucket(buckets, team, now)) {
    bucket->m_level -= amount;
  }
}

}  // namespace wasabiwind::quota
