/** @file choose.cpp Choice of upstreams, ejection and concurrency limits. */

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "route/choose_func.h"

namespace wasabiwind::route {

namespace {

/** Samples before an upstream's latency is compared with others. */
constexpr std::uint32_t kMinLatencySamples = 8;
constexpr std::size_t kMinPeersForEjection = 3;
/** Token times that a probe must have reported to be evaluated before its end.
 */
constexpr std::uint32_t kMinProbeSamples = 4;
constexpr int kMaxEjectionDoublings = 5;
/** Slowdown against the best measured time, beyond which the limit shrinks.
 * Batching engines slow down by about half when all slots are used. */
constexpr double kSlowRatio = 4;
constexpr double kLimitDecrease = 0.8;
constexpr base::milliseconds kLimitChangeInterval{500};
/** The best time slowly increases, so that it adapts to a changed engine. */
constexpr double kBestTimeDrift = 1.01;
/** A score must be better by this factor to be preferred. Otherwise a tiny
 * difference in measured latency would decide every choice between equal
 * upstreams the same way. */
constexpr double kScoreTolerance = 0.9;
/** Seconds per token that are assumed for an unmeasured upstream. */
constexpr double kUnknownLatency = 0.02;

bool IsSelectable(const Upstream &upstream, base::TimePoint now) {
  if (upstream.m_info.m_is_leaving) return false;
  if (upstream.m_ejection == EjectionState::kHealthy) return true;
  return now >= upstream.m_eject_until && upstream.m_in_flight == 0;
}

std::uint64_t HashRank(std::uint64_t key, const base::UpstreamId &upstream) {
  const std::string &name = upstream.Value();
  return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

template <typename GetMean>
double ComputeMedian(const std::vector<Upstream *> &peers, GetMean get_mean) {
  std::vector<double> values;
  values.reserve(peers.size());
  for (const Upstream *peer : peers) {
    const MovingMean &mean = get_mean(*peer);
    if (mean.m_samples >= kMinLatencySamples) values.push_back(mean.m_value);
  }
  if (values.size() < kMinPeersForEjection) return 0;
  auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool IsSlow(const MovingMean &mean, double median, double ratio,
            std::uint32_t min_samples) {
  return median > 0 && mean.m_samples >= min_samples &&
         mean.m_value > median * ratio;
}

bool MayEjectOneMore(const ChooseOptions &options,
                     const std::vector<Upstream *> &peers) {
  if (peers.size() < kMinPeersForEjection) return false;
  auto ejected =
      std::count_if(peers.begin(), peers.end(), [](const Upstream *peer) {
        return peer->m_ejection != EjectionState::kHealthy;
      });
  double allowed = std::floor(static_cast<double>(peers.size()) *
                              options.m_max_ejected_share);
  // Even in a small group, one upstream may be ejected.
  return static_cast<double>(ejected) < std::max(1.0, allowed);
}

void Eject(const ChooseOptions &options, Upstream *upstream,
           base::TimePoint now) {
  int doublings = std::min(upstream->m_ejections, kMaxEjectionDoublings);
  upstream->m_ejection = EjectionState::kEjected;
  upstream->m_eject_until = now + options.m_eject_time * (1 << doublings);
  ++upstream->m_ejections;
  upstream->m_failures = 0;
}

Upstream *ChooseByAffinity(const ChooseOptions &options,
                           const std::vector<Upstream *> &free,
                           const std::vector<Upstream *> &all,
                           std::uint64_t affinity) {
  Upstream *best = nullptr;
  std::uint64_t best_rank = 0;
  int load = 0;
  for (Upstream *upstream : all) {
    load += upstream->m_in_flight;
    std::uint64_t rank = HashRank(affinity, upstream->m_info.m_upstream);
    bool is_healthy = upstream->m_ejection == EjectionState::kHealthy &&
                      !upstream->m_info.m_is_leaving;
    if (is_healthy && (best == nullptr || rank > best_rank)) {
      best = upstream;
      best_rank = rank;
    }
  }
  if (best == nullptr) return nullptr;
  if (std::find(free.begin(), free.end(), best) == free.end()) return nullptr;
  double mean = (load + 1.0) / static_cast<double>(all.size());
  double bound = std::ceil(mean * options.m_max_affinity_load);
  return best->m_in_flight < bound ? best : nullptr;
}

}  // namespace

int GetConcurrencyLimit(const Upstream &upstream) {
  return std::max(1, static_cast<int>(upstream.m_limit));
}

bool HasFreeSlot(const Upstream &upstream, base::TimePoint now) {
  return IsSelectable(upstream, now) &&
         upstream.m_in_flight < GetConcurrencyLimit(upstream);
}

double ScoreUpstream(const Upstream &upstream, base::TimePoint now) {
  int external =
      now < upstream.m_load_valid_until ? upstream.m_external_load : 0;
  double latency = upstream.m_token_seconds.m_samples > 0
                       ? upstream.m_token_seconds.m_value
                       : kUnknownLatency;
  double load =
      (upstream.m_in_flight + external + 1.0) / std::max(1.0, upstream.m_limit);
  return load * latency;
}

Upstream *ChooseUpstream(const ChooseOptions &options,
                         const std::vector<Upstream *> &candidates,
                         const ChooseInput &input, base::TimePoint now,
                         base::Random *random) {
  std::vector<Upstream *> free;
  free.reserve(candidates.size());
  Upstream *avoided = nullptr;
  for (Upstream *upstream : candidates) {
    if (!HasFreeSlot(*upstream, now)) continue;
    if (std::find(input.m_avoid.begin(), input.m_avoid.end(),
                  upstream->m_info.m_upstream) != input.m_avoid.end()) {
      avoided = upstream;
      continue;
    }
    // Probes have precedence, because they are rare and can end the ejection.
    if (upstream->m_ejection != EjectionState::kHealthy &&
        input.m_length == RequestLength::kShort) {
      return upstream;
    }
    if (upstream->m_ejection == EjectionState::kHealthy) {
      free.push_back(upstream);
    }
  }
  if (free.empty()) return input.m_must_avoid ? nullptr : avoided;
  if (input.m_affinity != 0) {
    Upstream *chosen =
        ChooseByAffinity(options, free, candidates, input.m_affinity);
    if (chosen != nullptr) return chosen;
  }
  Upstream *first = free[base::NextRandomBelow(random, free.size())];
  Upstream *second = free[base::NextRandomBelow(random, free.size())];
  double limit = ScoreUpstream(*first, now) * kScoreTolerance;
  return ScoreUpstream(*second, now) < limit ? second : first;
}

double ComputeMedianTokenSeconds(const std::vector<Upstream *> &peers) {
  return ComputeMedian(peers, [](const Upstream &peer) -> const MovingMean & {
    return peer.m_token_seconds;
  });
}

double ComputeMedianFirstTokenRatio(const std::vector<Upstream *> &peers) {
  return ComputeMedian(peers, [](const Upstream &peer) -> const MovingMean & {
    return peer.m_first_token_ratio;
  });
}

void BeginProbe(Upstream *upstream) {
  upstream->m_ejection = EjectionState::kProbing;
  upstream->m_first_token_ratio = {};
  upstream->m_token_seconds = {};
  upstream->m_failures = 0;
}

bool UpdateEjection(const ChooseOptions &options, Upstream *upstream,
                    const std::vector<Upstream *> &peers, bool is_attempt_done,
                    base::TimePoint now) {
  bool is_probing = upstream->m_ejection == EjectionState::kProbing;
  std::uint32_t samples = upstream->m_token_seconds.m_samples;
  if (is_probing && !is_attempt_done && samples < kMinProbeSamples)
    return false;
  std::uint32_t min_samples = is_probing ? 1 : kMinLatencySamples;
  double ratio = options.m_eject_ratio;
  bool is_slow =
      IsSlow(upstream->m_token_seconds, ComputeMedianTokenSeconds(peers), ratio,
             min_samples) ||
      IsSlow(upstream->m_first_token_ratio, ComputeMedianFirstTokenRatio(peers),
             ratio, min_samples);
  int max_failures = is_probing ? 1 : options.m_eject_failures;
  bool is_bad = is_slow || upstream->m_failures >= max_failures;
  if (upstream->m_ejection == EjectionState::kHealthy) {
    if (!is_bad || !MayEjectOneMore(options, peers)) return false;
    Eject(options, upstream, now);
    return true;
  }
  if (is_probing && is_bad) {
    Eject(options, upstream, now);
    return true;
  }
  if (is_bad || now < upstream->m_eject_until) return false;
  upstream->m_ejection = EjectionState::kHealthy;
  upstream->m_ejections = 0;
  return false;
}

void UpdateConcurrencyLimit(Upstream *upstream, base::TimePoint now) {
  double current = upstream->m_token_seconds.m_value;
  if (current <= 0) return;
  double &best = upstream->m_best_token_seconds;
  best = best == 0 ? current : std::min(best * kBestTimeDrift, current);
  if (now - upstream->m_limit_changed_at < kLimitChangeInterval) return;
  upstream->m_limit_changed_at = now;
  // While an upstream isn't at its limit, nothing shows that it has more slots.
  bool may_grow = upstream->m_info.m_slots > 0 ||
                  upstream->m_in_flight + 1 >= GetConcurrencyLimit(*upstream);
  if (current > best * kSlowRatio) {
    upstream->m_limit = std::max(1.0, upstream->m_limit * kLimitDecrease);
  } else if (may_grow) {
    upstream->m_limit = std::min(upstream->m_max_limit, upstream->m_limit + 1);
  }
}

}  // namespace wasabiwind::route
