/** @file freshness_func.h How recently a route table was known to be the
 * newest.
 *
 * The leader of the control hosts knows by a quorum that no newer table was
 * accepted before some time. Control hosts query the leader, entry hosts query
 * control hosts; each counts the age of what it learns from the time its query
 * left, so that a delay only makes knowledge look older. See
 * docs/design/freshness.md.
 */

#ifndef WASABIWIND_FLEET_FRESHNESS_FUNC_H_
#define WASABIWIND_FLEET_FRESHNESS_FUNC_H_

#include <fleet.pb.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "fleet/follower_func.h"

namespace wasabiwind::fleet {

/** Statement that no table newer than a version had been accepted at a time. */
struct Confirmation {
  std::uint64_t m_version = 0;
  base::TimePoint m_at;
};

/** A query without an answer so far. */
struct SentFreshnessQuery {
  std::uint64_t m_number = 0;
  base::TimePoint m_sent_at;
};

/** What one host learned from its queries. Not thread-safe. */
struct FreshnessState {
  /** Number of the last query. Begins at a random number, so that no answer to
   * a former process of this host matches a query. */
  std::uint64_t m_last_number = 0;
  std::deque<SentFreshnessQuery> m_sent;  ///< oldest first, bounded
  base::TimePoint m_asked_at;
  /** Last answer with a confirmation that wasn't older than kFreshnessSilence,
   * or the first query. */
  base::TimePoint m_answered_at;
  std::size_t m_asked_count = 0;         ///< rotates over the other hosts
  std::optional<Confirmation> m_newest;  ///< the one with the latest time
  /** Those of tables that this host doesn't have yet, by time of arrival. Each
   * is kept: while tables change quickly, the latest one is about a table that
   * is still to come. Bounded. */
  std::deque<Confirmation> m_pending;
  /** Latest time at which this host's own table was the newest. */
  std::optional<base::TimePoint> m_own_confirmed_at;
};

/** Interval between the queries of an entry host. */
inline constexpr base::milliseconds kEntryFreshnessPeriod{400};
/** Interval between the queries of a control host. Shorter, since its age adds
 * to that of its entry hosts. */
inline constexpr base::milliseconds kControlFreshnessPeriod{200};
/** Other hosts are queried too after this long without a confirmation that is
 * younger than this. */
inline constexpr base::milliseconds kFreshnessSilence{1'000};
inline constexpr std::size_t kMaxSentFreshnessQueries = 16;
inline constexpr std::size_t kMaxPendingConfirmations = 16;
/** Share of the revocation time for which a key is accepted after the last
 * confirmation. The rest covers clocks that run at different rates. */
inline constexpr double kRevocationShare = 0.9;

/**
 * @param first endpoint to query, or "" if none is known
 * @param others endpoints to query in turn while there is no recent answer
 * @return the queries that are due
 */
std::vector<OutMessage> TickFreshness(FreshnessState *state,
                                      const std::string &first,
                                      const std::vector<std::string> &others,
                                      base::milliseconds period,
                                      base::TimePoint now);

/**
 * Records an answer. Late, doubled and unexpected answers do no harm.
 * @param own_version version of this host's table
 * @return whether the answer stated a confirmation and matched a query
 */
bool HandleFreshnessAnswer(FreshnessState *state,
                           const gen::FreshnessAnswer &answer,
                           std::uint64_t own_version, base::TimePoint now);

/** Records a confirmation. Called with each answer, and by the leader. */
void RecordConfirmation(FreshnessState *state, const Confirmation &confirmation,
                        std::uint64_t own_version);

/** Applies what is known to a table that this host has adopted. */
void HandleAdoptedTable(FreshnessState *state, std::uint64_t own_version);

/** @return the answer to a query, from what this host knows. */
gen::FreshnessAnswer MakeFreshnessAnswer(const FreshnessState &state,
                                         const gen::FreshnessQuery &query,
                                         base::TimePoint now);

/**
 * @param revocation_time after which a revoked key must work nowhere
 * @return whether keys may be accepted and refused by this host's table
 */
bool IsTableConfirmed(const FreshnessState &state,
                      base::milliseconds revocation_time, base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_FRESHNESS_FUNC_H_
