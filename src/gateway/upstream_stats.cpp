/** @file upstream_stats.cpp Statistics of an entry host on one upstream. */

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "gateway/upstream_stats_func.h"

namespace wasabiwind::gateway {

namespace {

constexpr double kFailureHalfLifeSeconds = 3.0;
constexpr double kSlowdownHalfLifeSeconds = 4.0;
constexpr double kSlowdownWeight = 0.3;  ///< of the newest answer
constexpr double kMaxSlowdown = 20.0;
constexpr double kFailureFactorOnSuccess = 0.7;
/** Pause after the first refused connection; each later one doubles it. */
constexpr base::milliseconds kFirstDownTime{1'000};
constexpr int kMaxDownTimeDoublings = 2;
constexpr double kUnreachableWeight = 2.0;
/** Time to the first check of an unreachable upstream, and least time between
 * two. Each check that let requests fail doubles it: the upstream accepts
 * connections but no requests. */
constexpr base::milliseconds kProbePeriod{250};
constexpr int kMaxProbeDoublings = 4;
/** Checks become rarer with the time for which it has been unreachable. */
constexpr int kProbesPerDownTime = 4;
constexpr base::milliseconds kMaxProbePeriod{4'000};

base::Duration GetProbePeriod(const UpstreamStats &stats, base::TimePoint now) {
  int doublings = std::min(stats.m_recovery_count, kMaxProbeDoublings);
  return std::clamp<base::Duration>(
      (now - stats.m_unreachable_since) / kProbesPerDownTime,
      kProbePeriod * (1 << doublings), kMaxProbePeriod);
}

double GetDecayFactor(double seconds, double half_life) {
  return std::exp2(-seconds / half_life);
}

std::uint64_t ExtendPrefixKey(std::uint64_t key, const std::string &text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), key);
}

}  // namespace

std::vector<std::uint64_t> MakePrefixKeys(const RequestMetadata &request) {
  std::uint64_t key =
      ExtendPrefixKey(0, request.m_model + "/" + request.m_adapter);
  std::vector<std::uint64_t> keys;
  keys.reserve(request.m_parts.size());
  for (const PromptPart &part : request.m_parts) {
    key = ExtendPrefixKey(key, part.m_id);
    keys.push_back(key);
  }
  return keys;
}

std::vector<std::uint64_t> MakePartKeys(const RequestMetadata &request) {
  std::vector<std::uint64_t> keys;
  for (std::size_t i = 0; i + 1 < request.m_parts.size(); ++i) {
    const std::string &id = request.m_parts[i].m_id;
    keys.push_back(XXH3_64bits(id.data(), id.size()));
  }
  return keys;
}

std::uint64_t GetSharedPrefixKey(const std::vector<std::uint64_t> &keys) {
  if (keys.empty()) return 0;
  return keys.size() == 1 ? keys.front() : keys[keys.size() - 2];
}

std::uint32_t CountCachedTokens(const PrefixCacheEstimate &cache,
                                const RequestMetadata &request,
                                const std::vector<std::uint64_t> &keys) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    if (!cache.m_index.contains(keys[i])) break;
    tokens += request.m_parts[i].m_tokens;
  }
  return tokens;
}

void RecordCachedPrompt(PrefixCacheEstimate *cache,
                        const RequestMetadata &request,
                        const std::vector<std::uint64_t> &keys,
                        std::uint64_t capacity) {
  // Last part first, so that eviction shortens a prefix from its end.
  for (std::size_t i = keys.size(); i-- > 0;) {
    auto found = cache->m_index.find(keys[i]);
    if (found != cache->m_index.end()) {
      cache->m_items.splice(cache->m_items.begin(), cache->m_items,
                            found->second);
      continue;
    }
    cache->m_items.push_front({keys[i], request.m_parts[i].m_tokens});
    cache->m_index[keys[i]] = cache->m_items.begin();
    cache->m_tokens += request.m_parts[i].m_tokens;
  }
  while (cache->m_tokens > capacity && !cache->m_items.empty()) {
    cache->m_tokens -= cache->m_items.back().m_tokens;
    cache->m_index.erase(cache->m_items.back().m_key);
    cache->m_items.pop_back();
  }
}

bool ResetRestartedStats(UpstreamStats *stats, std::uint64_t start_time_ms) {
  if (stats->m_start_time_ms == start_time_ms) return false;
  int in_flight = stats->m_in_flight;
  *stats = UpstreamStats();
  stats->m_start_time_ms = start_time_ms;
  stats->m_in_flight = in_flight;
  return true;
}

void DecayStats(UpstreamStats *stats, base::TimePoint now) {
  if (stats->m_updated_at == base::TimePoint()) stats->m_updated_at = now;
  double seconds =
      std::chrono::duration<double>(now - stats->m_updated_at).count();
  stats->m_updated_at = now;
  stats->m_failures *= GetDecayFactor(seconds, kFailureHalfLifeSeconds);
  stats->m_slowdown = 1 + (stats->m_slowdown - 1) *
                              GetDecayFactor(seconds, kSlowdownHalfLifeSeconds);
}

void RecordFailure(UpstreamStats *stats, double weight, base::TimePoint now) {
  DecayStats(stats, now);
  stats->m_failures += weight;
}

void RecordSuccess(UpstreamStats *stats, base::Duration actual,
                   base::Duration expected, base::TimePoint now) {
  DecayStats(stats, now);
  stats->m_failures *= kFailureFactorOnSuccess;
  stats->m_unreachable_count = 0;
  stats->m_recovery_count = 0;
  stats->m_is_unreachable = false;
  double ratio =
      std::chrono::duration<double>(actual).count() /
      std::max(1e-3, std::chrono::duration<double>(expected).count());
  ratio = std::clamp(ratio, 1.0, kMaxSlowdown);
  stats->m_slowdown += kSlowdownWeight * (ratio - stats->m_slowdown);
}

void RecordModelRefused(UpstreamStats *stats, const std::string &model,
                        base::milliseconds pause, base::TimePoint now) {
  absl::erase_if(stats->m_refused_models,
                 [now](const auto &item) { return now >= item.second; });
  stats->m_refused_models[model] = now + pause;
}

bool IsModelRefused(const UpstreamStats &stats, const std::string &model,
                    base::TimePoint now) {
  auto found = stats.m_refused_models.find(model);
  return found != stats.m_refused_models.end() && now < found->second;
}

void RecordUnreachable(UpstreamStats *stats, base::TimePoint now) {
  // Requests that fail at the same time count as one failure.
  if (now < stats->m_down_until) return;
  RecordFailure(stats, kUnreachableWeight, now);
  int doublings = std::min(stats->m_unreachable_count, kMaxDownTimeDoublings);
  ++stats->m_unreachable_count;
  stats->m_down_until = now + kFirstDownTime * (1 << doublings);
  if (!stats->m_is_unreachable) stats->m_unreachable_since = now;
  stats->m_is_unreachable = true;
  stats->m_probe_at = now + GetProbePeriod(*stats, now);
}

bool TakeProbe(UpstreamStats *stats, base::TimePoint now) {
  if (!stats->m_is_unreachable || now < stats->m_probe_at) return false;
  stats->m_probe_at = now + GetProbePeriod(*stats, now);
  return true;
}

bool RecordReachable(UpstreamStats *stats, base::TimePoint now) {
  if (!stats->m_is_unreachable) return false;
  stats->m_is_unreachable = false;
  stats->m_down_until = std::min(stats->m_down_until, now);
  ++stats->m_recovery_count;
  // The limit bounds what a further failure costs.
  stats->m_failures = 0;
  BeginPace(&stats->m_pace, PaceCause::kRecovery, now);
  return true;
}

}  // namespace wasabiwind::gateway
