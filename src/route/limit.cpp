/** @file limit.cpp Declared limits, divided between nodes by demand. */

#include <algorithm>
#include <cmath>

#include "route/limit_func.h"

namespace wasabiwind::route {

namespace {

/** Part of a limit that is divided equally, so that a node without recent
 * demand can admit a first request. */
constexpr double kEqualPart = 0.1;
constexpr int kMaxMissedRounds = 3;

bool Matches(const LimitTable &table, const LimitInfo &limit,
             const base::DeploymentId &deployment) {
  if (limit.m_deployment.IsValid() && limit.m_deployment != deployment) {
    return false;
  }
  return !limit.m_region.IsValid() || limit.m_region == table.m_region;
}

/** @return the limits that apply to a request of the customer. */
std::vector<LimitState *> FindMatches(LimitTable *table,
                                      const base::CustomerId &customer,
                                      const base::DeploymentId &deployment) {
  std::vector<LimitState *> matches;
  auto add = [&](const base::CustomerId &scope) {
    auto found = table->m_by_customer.find(scope);
    if (found == table->m_by_customer.end()) return;
    for (std::size_t limit_index : found->second) {
      LimitState *limit = &table->m_limits[limit_index];
      if (Matches(*table, limit->m_info, deployment)) matches.push_back(limit);
    }
  };
  add(base::CustomerId::Invalid());
  if (customer.IsValid()) add(customer);
  return matches;
}

/** A burst of less than one request would refuse every request. */
double GetRequestBurst(const LimitState &limit) {
  double declared = limit.m_info.m_burst > 0 ? limit.m_info.m_burst
                                             : limit.m_info.m_requests_per_s;
  return std::max(1.0, declared * limit.m_share);
}

double GetTokenBurst(const LimitState &limit) {
  return std::max(1.0, limit.m_info.m_tokens_per_s * limit.m_share);
}

void Refill(TokenBucket *bucket, double rate, double burst,
            base::TimePoint now) {
  EstimatedSeconds elapsed = now - bucket->m_filled_at;
  bucket->m_filled_at = now;
  double credit = bucket->m_credit + rate * std::max(0.0, elapsed.count());
  bucket->m_credit = std::min(burst, credit);
}

EstimatedSeconds ComputeRefillTime(const TokenBucket &bucket, double rate,
                                   double needed) {
  if (bucket.m_credit >= needed) return EstimatedSeconds(0);
  return EstimatedSeconds((needed - bucket.m_credit) / std::max(rate, 1e-9));
}

/** Refills the credits. @return the time until the limit admits a request. One
 * token of credit is enough for that, so the credit may go negative by the size
 * of one request, which is only an estimate. */
EstimatedSeconds ComputeWait(LimitState *limit, base::TimePoint now) {
  EstimatedSeconds wait(0);
  const LimitInfo &info = limit->m_info;
  if (info.m_requests_per_s > 0) {
    double rate = info.m_requests_per_s * limit->m_share;
    Refill(&limit->m_requests, rate, GetRequestBurst(*limit), now);
    wait = std::max(wait, ComputeRefillTime(limit->m_requests, rate, 1));
  }
  if (info.m_tokens_per_s > 0) {
    double rate = info.m_tokens_per_s * limit->m_share;
    Refill(&limit->m_tokens, rate, GetTokenBurst(*limit), now);
    wait = std::max(wait, ComputeRefillTime(limit->m_tokens, rate, 1));
  }
  if (info.m_max_in_flight > 0) {
    double slots = std::max(1.0, info.m_max_in_flight * limit->m_share);
    if (limit->m_in_flight >= static_cast<int>(slots)) {
      wait = std::max(wait, EstimatedSeconds(1));
    }
  }
  return wait;
}

absl::flat_hash_map<std::string, double> IndexDemand(
    const std::vector<LimitDemand> &demands) {
  absl::flat_hash_map<std::string, double> index;
  for (const LimitDemand &demand : demands) {
    index[demand.m_name] = demand.m_demand;
  }
  return index;
}

}  // namespace

void SetLimits(LimitTable *table, const std::vector<LimitInfo> &limits,
               std::size_t nodes, base::TimePoint now) {
  absl::flat_hash_map<std::string, LimitState> previous;
  for (LimitState &limit : table->m_limits) {
    std::string name = limit.m_info.m_name;
    previous.emplace(std::move(name), std::move(limit));
  }
  table->m_limits.clear();
  table->m_by_customer.clear();
  table->m_nodes = std::max<std::size_t>(1, nodes);
  table->m_round_at = now;
  for (const LimitInfo &info : limits) {
    LimitState state;
    state.m_share = 1.0 / static_cast<double>(table->m_nodes);
    state.m_next_share = state.m_share;
    auto old = previous.find(info.m_name);
    if (old != previous.end()) state = old->second;
    bool is_new = state.m_info.m_name.empty();
    state.m_info = info;
    if (is_new) {
      state.m_requests = {GetRequestBurst(state), now};
      state.m_tokens = {GetTokenBurst(state), now};
    }
    table->m_by_customer[info.m_customer].push_back(table->m_limits.size());
    table->m_limits.push_back(std::move(state));
  }
}

std::optional<base::milliseconds> ChargeLimits(
    LimitTable *table, const base::CustomerId &customer,
    const base::DeploymentId &deployment, double cost, base::TimePoint now) {
  std::vector<LimitState *> limits = FindMatches(table, customer, deployment);
  EstimatedSeconds wait(0);
  for (LimitState *limit : limits) {
    limit->m_demand += 1;
    wait = std::max(wait, ComputeWait(limit, now));
  }
  if (wait.count() > 0) {
    return std::max(base::milliseconds(1), ToMilliseconds(wait));
  }
  for (LimitState *limit : limits) {
    limit->m_requests.m_credit -= 1;
    limit->m_tokens.m_credit -= cost;
    ++limit->m_in_flight;
  }
  return std::nullopt;
}

void ReleaseLimits(LimitTable *table, const base::CustomerId &customer,
                   const base::DeploymentId &deployment) {
  for (LimitState *limit : FindMatches(table, customer, deployment)) {
    // A limit that was declared after the request began didn't count it.
    limit->m_in_flight = std::max(0, limit->m_in_flight - 1);
  }
}

std::vector<LimitDemand> TakeLimitDemand(LimitTable *table) {
  std::vector<LimitDemand> demands;
  for (LimitState &limit : table->m_limits) {
    demands.push_back({limit.m_info.m_name, limit.m_demand});
    limit.m_demand = 0;
  }
  return demands;
}

void ApplyLimitRound(LimitTable *table, std::uint64_t round,
                     const std::vector<LimitDemand> &own,
                     const std::vector<LimitDemand> &total, std::size_t nodes,
                     base::TimePoint now) {
  table->m_nodes = std::max<std::size_t>(1, nodes);
  table->m_round_at = now;
  double equal = 1.0 / static_cast<double>(table->m_nodes);
  auto own_demand = IndexDemand(own);
  auto total_demand = IndexDemand(total);
  for (LimitState &limit : table->m_limits) {
    if (round <= limit.m_round) continue;
    bool is_consecutive = round == limit.m_round + 1;
    limit.m_round = round;
    double sum = total_demand[limit.m_info.m_name];
    double part = equal;
    if (sum > 0) {
      part = std::min(1.0, own_demand[limit.m_info.m_name] / sum);
    }
    double share = (1 - kEqualPart) * part + kEqualPart * equal;
    double held = is_consecutive ? limit.m_next_share : limit.m_share;
    limit.m_share = std::min(share, held);
    limit.m_next_share = share;
  }
}

void ExpireLimitShares(LimitTable *table, base::milliseconds round_interval,
                       base::TimePoint now) {
  if (now - table->m_round_at < round_interval * kMaxMissedRounds) return;
  double equal = 1.0 / static_cast<double>(table->m_nodes);
  for (LimitState &limit : table->m_limits) {
    limit.m_share = std::min(limit.m_share, equal);
    limit.m_next_share = limit.m_share;
  }
}

}  // namespace wasabiwind::route
