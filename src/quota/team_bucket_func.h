/** @file team_bucket_func.h Credit of all teams, at the leader of the control
 * hosts.
 *
 * Answers the load of a team that sends more than its quota: what one leader
 * grants in any time t is at most rate * t and the size of the bucket, one
 * request in debt, and all further attempts, which are never refused.
 */

#ifndef WASABIWIND_QUOTA_TEAM_BUCKET_FUNC_H_
#define WASABIWIND_QUOTA_TEAM_BUCKET_FUNC_H_

#include <fleet.pb.h>

#include <map>
#include <string>

#include "quota/quota_type.h"

namespace wasabiwind::quota {

/** Credit of one team, refilled at its rate up to its burst. */
struct TeamBucket {
  double m_level = 0;  ///< below zero after a request on debt
  double m_rate = 0;   ///< per second
  double m_burst = 0;
  double m_max_debt = 0;
  double m_term_credit = 0;  ///< level at the start of a term
  base::TimePoint m_filled_at;
};

/** Buckets by team. Not thread-safe. */
struct TeamBuckets {
  std::map<std::string, TeamBucket> m_teams;
  std::uint64_t m_term = 0;  ///< in which the buckets were started
};

/** Sets all buckets to their first level at the start of a term: the former
 * leader may have granted all that was in its own. Does nothing within the same
 * term. */
void StartTerm(TeamBuckets *buckets, std::uint64_t term, base::TimePoint now);

/** Takes over changed quotas. A team keeps its level, up to its new burst. */
void SetQuotas(TeamBuckets *buckets, const gen::RouteTable &table,
               const QuotaSettings &settings, base::TimePoint now);

/** Longest time that a refused team is asked to wait, also for a request that
 * no bucket can ever hold. */
inline constexpr base::milliseconds kMaxRetryAfter{60'000};

/** Result of a request for credit. */
struct GrantResult {
  bool m_is_granted = false;
  base::milliseconds m_retry_after{0};  ///< until there is as much credit
};

/**
 * Grants credit for one request.
 * @param may_owe whether a bucket that isn't empty may fall below zero, so that
 *        small requests don't use up all credit before a large one gets any
 */
GrantResult GrantCredit(TeamBuckets *buckets, const std::string &team,
                        double amount, bool may_owe, base::TimePoint now);

/** Takes back credit that wasn't spent. */
void ReturnCredit(TeamBuckets *buckets, const std::string &team, double amount,
                  base::TimePoint now);

/** Charges a further attempt, which isn't refused, whatever the level is. */
void ChargeRepeat(TeamBuckets *buckets, const std::string &team, double amount,
                  base::TimePoint now);

}  // namespace wasabiwind::quota

#endif  // WASABIWIND_QUOTA_TEAM_BUCKET_FUNC_H_
