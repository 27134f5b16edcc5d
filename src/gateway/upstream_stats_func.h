/** @file upstream_stats_func.h Statistics of an entry host on one upstream. */

#ifndef WASABIWIND_GATEWAY_UPSTREAM_STATS_FUNC_H_
#define WASABIWIND_GATEWAY_UPSTREAM_STATS_FUNC_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "gateway/protocol_type.h"
#include "gateway/runner_pace_func.h"

namespace wasabiwind::gateway {

/**
 * Estimate of a runner's prefix cache, from the prompts that are known to have
 * run there. The least recently used parts are evicted at the runner's
 * capacity.
 */
struct PrefixCacheEstimate {
  struct Item {
    std::uint64_t m_key = 0;
    std::uint32_t m_tokens = 0;  ///< of the last part of the prefix
  };
  std::list<Item> m_items;  ///< most recently used first
  absl::flat_hash_map<std::uint64_t, std::list<Item>::iterator> m_index;
  std::uint64_t m_tokens = 0;
};

struct UpstreamStats {
  std::uint64_t m_start_time_ms = 0;   ///< of the upstream's process
  int m_in_flight = 0;                 ///< requests of this host
  std::uint64_t m_prefill_tokens = 0;  ///< of requests without a first event
  double m_failures = 0;               ///< decaying count
  double m_slowdown = 1;  ///< decaying ratio of actual to expected time
  base::TimePoint m_updated_at;
  base::TimePoint m_down_until;  ///< gets no requests until then
  int m_unreachable_count = 0;   ///< pauses since the last success
  int m_recovery_count = 0;      ///< pauses ended by a check since then
  /** It refused a connection and has accepted none since. */
  bool m_is_unreachable = false;
  base::TimePoint m_unreachable_since;
  base::TimePoint m_probe_at;    ///< next check whether it is reachable again
  base::TimePoint m_started_at;  ///< this host heard of its start, if it saw it
  RunnerPace m_pace;             ///< limit on m_in_flight
  /** It said so in an answer. Ends only with its process, whatever it reports.
   */
  bool m_is_leaving = false;
  base::TimePoint m_paused_until;  ///< it asked for no requests until then
  /** Models whose requests it refused, with the time until which it gets none
   * of them. */
  absl::flat_hash_map<std::string, base::TimePoint> m_refused_models;
  PrefixCacheEstimate m_prefix_cache;
};

/** @return one key per prompt part, which covers it and all parts before it. */
std::vector<std::uint64_t> MakePrefixKeys(const RequestMetadata &request);

/** @return one key per prompt part but the last, whatever stands before it. */
std::vector<std::uint64_t> MakePartKeys(const RequestMetadata &request);

/**
 * @return the key of the prefix that a prompt may share with others: all parts
 *         but the last, or its only part; 0 without parts
 */
std::uint64_t GetSharedPrefixKey(const std::vector<std::uint64_t> &keys);

/** @return the tokens of a prompt's longest prefix that the runner has cached.
 */
std::uint32_t CountCachedTokens(const PrefixCacheEstimate &cache,
                                const RequestMetadata &request,
                                const std::vector<std::uint64_t> &keys);

/** Records that a runner caches a prompt. @param capacity in tokens */
void RecordCachedPrompt(PrefixCacheEstimate *cache,
                        const RequestMetadata &request,
                        const std::vector<std::uint64_t> &keys,
                        std::uint64_t capacity);

/** Forgets all but this host's requests in flight, if an upstream has started
 * again. @return whether it has, or its start was unknown */
bool ResetRestartedStats(UpstreamStats *stats, std::uint64_t start_time_ms);

/** Applies exponential decay to failures and slowdown. */
void DecayStats(UpstreamStats *stats, base::TimePoint now);

void RecordFailure(UpstreamStats *stats, double weight, base::TimePoint now);
void RecordSuccess(UpstreamStats *stats, base::Duration actual,
                   base::Duration expected, base::TimePoint now);

/** Records that a runner refused a model's request as not run. */
void RecordModelRefused(UpstreamStats *stats, const std::string &model,
                        base::milliseconds pause, base::TimePoint now);

/** @return whether requests for a model are kept away for now. */
bool IsModelRefused(const UpstreamStats &stats, const std::string &model,
                    base::TimePoint now);

/** Records a refused connection and pauses the upstream, unless it is paused
 * already. */
void RecordUnreachable(UpstreamStats *stats, base::TimePoint now);

/** @return whether an unreachable upstream should be checked now; the next
 * check is due later. */
bool TakeProbe(UpstreamStats *stats, base::TimePoint now);

/** Ends the pause of an upstream that accepts connections again, forgets its
 * failures and limits its requests until it answers. @return whether it was
 * unreachable */
bool RecordReachable(UpstreamStats *stats, base::TimePoint now);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_UPSTREAM_STATS_FUNC_H_
