/** @file credit_holder_func.h Credit of teams at one control host, for its
 * entry hosts.
 *
 * Answers two loads: a team with steady demand is charged without a query to
 * the leader, from credit requested ahead; a team with little demand gets
 * credit for each request, since credit ahead would expire unspent.
 */

#ifndef WASABIWIND_QUOTA_CREDIT_HOLDER_FUNC_H_
#define WASABIWIND_QUOTA_CREDIT_HOLDER_FUNC_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/follower_func.h"
#include "quota/quota_type.h"

namespace wasabiwind::quota {

/** Credit that may be spent until a time. */
struct CreditLot {
  double m_amount = 0;
  base::TimePoint m_expires_at;
};

/** A request of an entry host that waits for credit. */
struct WaitingQuery {
  std::string m_from;  ///< message endpoint of the entry host
  std::uint64_t m_number = 0;
  double m_cost = 0;
  base::TimePoint m_ends_at;           ///< the entry host waits no longer
  base::TimePoint m_refused_at;        ///< then it is refused without credit
  base::TimePoint m_ask_at;            ///< the leader isn't asked before
  std::uint64_t m_credit_request = 0;  ///< that asks for it; 0: none so far
};

/** Credit and demand of one team at this host. */
struct TeamCreditState {
  std::deque<CreditLot> m_lots;  ///< the first one expires first
  std::deque<WaitingQuery> m_waiting;
  double m_demand_per_s = 0;  ///< decaying mean of costs
  double m_mean_cost = 0;
  base::TimePoint m_demand_at;
  base::TimePoint m_exhausted_until;  ///< queries are refused at once
  double m_returned = 0;              ///< goes back to the leader
  double m_repeats = 0;               ///< to be charged at the leader
};

/** An amount that a credit request asks for. */
struct WantedCredit {
  std::string m_team;
  double m_amount = 0;
  /** Query that waits for it; 0 for credit ahead. */
  std::uint64_t m_query = 0;
  std::string m_query_from;
};

/** A credit request without an answer so far. */
struct SentCreditRequest {
  std::uint64_t m_number = 0;
  base::TimePoint m_sent_at;
  std::vector<WantedCredit> m_wanted;  ///< in the order of the message
};

/** Not thread-safe. Bounded by the declared teams, see SetTeams, and the
 * constants below. */
struct CreditHolder {
  std::map<std::string, TeamCreditState> m_teams;
  std::deque<SentCreditRequest> m_sent;  ///< oldest first
  /** Begins at a random number, see fleet::FreshnessState. */
  std::uint64_t m_last_number = 0;
  std::size_t m_waiting_count = 0;
  bool m_is_request_urgent = false;  ///< a query waits and wasn't asked for
};

inline constexpr std::size_t kMaxWaitingQueries = 1'024;
/** Of a team. A lot lives for a second at most, and requests are sent some ten
 * times a second. */
inline constexpr std::size_t kMaxCreditLots = 64;
inline constexpr std::size_t kMaxSentCreditRequests = 256;
/** A request to the leader without an answer is repeated after this long. */
inline constexpr base::milliseconds kCreditRequestTimeout{300};
/** While the leader refuses, a team's queries are refused without asking it for
 * this long at most. */
inline constexpr base::milliseconds kMaxExhaustedPause{200};

/**
 * Forgets teams that are no longer declared or limited.
 * @param table with the declared teams, by name
 * @return answers to the queries of these teams
 */
std::vector<fleet::OutMessage> SetTeams(
    CreditHolder *holder,
    const std::map<std::string, const gen::Team *> &table);

/**
 * Handles a query. Sets m_is_request_urgent if the leader has to be asked.
 * @param team declared team of the query; nullptr if this host's table lacks
 *        it. Isn't kept
 * @param knows_leader whether credit can be requested now. If not, a query that
 *        needs it is declined, so that another host is asked
 * @return answers that are due; none while the query waits for the leader
 */
std::vector<fleet::OutMessage> HandleQuotaQuery(
    CreditHolder *holder, const std::string &from, const gen::QuotaQuery &query,
    const gen::Team *team, bool knows_leader, base::TimePoint now);

/** Takes back credit of a request that didn't run. */
void HandleQuotaRefund(CreditHolder *holder, const gen::QuotaRefund &refund,
                       const gen::Team *team, const QuotaSettings &settings);

/**
 * @param table with the teams, by name
 * @return a request to the leader if anything is wanted, returned or charged
 */
std::optional<gen::CreditRequest> MakeCreditRequest(
    CreditHolder *holder, const std::map<std::string, const gen::Team *> &table,
    const QuotaSettings &settings, base::TimePoint now);

/** Handles the answer of the leader. @return answers to entry hosts */
std::vector<fleet::OutMessage> HandleCreditGrant(
    CreditHolder *holder, const gen::CreditGrant &grant,
    const std::map<std::string, const gen::Team *> &table,
    const QuotaSettings &settings, base::TimePoint now);

/** Ends queries that waited too long and forgets what has expired. @return
 * answers to entry hosts */
std::vector<fleet::OutMessage> ExpireCredit(CreditHolder *holder,
                                            base::TimePoint now);

}  // namespace wasabiwind::quota

#endif  // WASABIWIND_QUOTA_CREDIT_HOLDER_FUNC_H_
