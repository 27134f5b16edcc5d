/** @file limit_func.h Declared limits, divided between nodes by demand. */

#ifndef WASABIWIND_ROUTE_LIMIT_FUNC_H_
#define WASABIWIND_ROUTE_LIMIT_FUNC_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id_type.h"
#include "base/time_type.h"
#include "route/request_type.h"

namespace wasabiwind::route {

/** Declared limit; an empty scope field matches everything, 0 is no limit. */
struct LimitInfo {
  std::string m_name;
  base::CustomerId m_customer;
  base::DeploymentId m_deployment;
  base::RegionId m_region;
  double m_requests_per_s = 0;
  double m_burst = 0;  ///< requests; 0: one second's worth
  double m_tokens_per_s = 0;
  int m_max_in_flight = 0;
};

/** Credit that refills at a rate. */
struct TokenBucket {
  double m_credit = 0;
  base::TimePoint m_filled_at;
};

/** One limit as this node enforces it. */
struct LimitState {
  LimitInfo m_info;
  double m_share = 1;       ///< part of the limit that this node may use
  double m_next_share = 1;  ///< by the latest round; a larger share is used
                            ///< only with the following round
  TokenBucket m_requests;
  TokenBucket m_tokens;
  int m_in_flight = 0;
  double m_demand = 0;  ///< requests since the last round, also refused ones
  std::uint64_t m_round = 0;
};

/** Limits of one node. Not thread-safe. */
struct LimitTable {
  std::vector<LimitState> m_limits;
  /** Indexes into m_limits by customer; the invalid ID has the limits that
   * apply to all customers. */
  absl::flat_hash_map<base::CustomerId, std::vector<std::size_t>> m_by_customer;

  base::RegionId m_region;     ///< region of this node
  std::size_t m_nodes = 1;     ///< nodes that share the limits
  base::TimePoint m_round_at;  ///< last round applied
};

/** Demand for one limit, which nodes exchange once a round. */
struct LimitDemand {
  std::string m_name;
  double m_demand = 0;
};

/**
 * Replaces the declared limits. A limit that keeps its name keeps its state.
 * Until the first round a node uses an equal share.
 */
void SetLimits(LimitTable *table, const std::vector<LimitInfo> &limits,
               std::size_t nodes, base::TimePoint now);

/**
 * Charges one request to all limits that match it, or to none.
 * @param cost in output tokens
 * @return the time after which to retry if a limit is used up, else nullopt
 */
std::optional<base::milliseconds> ChargeLimits(
    LimitTable *table, const base::CustomerId &customer,
    const base::DeploymentId &deployment, double cost, base::TimePoint now);

/** Releases the in-flight slot of a request that ChargeLimits accepted. */
void ReleaseLimits(LimitTable *table, const base::CustomerId &customer,
                   const base::DeploymentId &deployment);

/** @return this node's demand since the last call, for the next round. */
std::vector<LimitDemand> TakeLimitDemand(LimitTable *table);

/**
 * Applies one round of demand: what this node reported and the sum over all
 * nodes.
 *
 * A node's share is 90% by demand and 10% equal, so shares of one round add up
 * to 1. A smaller share takes effect at once, a larger one with the following
 * round, when all nodes that received the round have reduced theirs. If every
 * node applies each round within one interval, admitted requests never exceed
 * the rate plus the bursts. A node that misses rounds keeps its share for three
 * intervals and falls back to an equal share at most, so the excess is bounded
 * by the sum of the shares of nodes without rounds, for three intervals.
 */
void ApplyLimitRound(LimitTable *table, std::uint64_t round,
                     const std::vector<LimitDemand> &own,
                     const std::vector<LimitDemand> &total, std::size_t nodes,
                     base::TimePoint now);

/** Falls back to an equal share at most if no round was applied for some time.
 */
void ExpireLimitShares(LimitTable *table, base::milliseconds round_interval,
                       base::TimePoint now);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_LIMIT_FUNC_H_
