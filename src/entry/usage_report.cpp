/** @file usage_report.cpp Limits how often the use of a target is reported. */

#include "entry/usage_report.h"

#include <absl/hash/hash.h>

namespace wasabiwind::entry {

bool UsageReportThrottle::NoteUse(const std::string &deployment,
                                  const std::string &adapter,
                                  base::TimePoint now) {
  std::string key = deployment + "/" + adapter;
  Shard &shard = m_shards[absl::Hash<std::string>()(key) % m_shards.size()];
  std::lock_guard<std::mutex> lock(shard.m_mutex);
  auto known = shard.m_reported.find(key);
  if (known != shard.m_reported.end()) {
    if (now - known->second < m_period) return false;
    known->second = now;
    return true;
  }
  if (shard.m_reported.size() >= kMaxTargets) {
    absl::erase_if(shard.m_reported, [&](const auto &item) {
      return now - item.second >= m_period;
    });
    // All targets are in use. Repeating some reports early is harmless.
    if (shard.m_reported.size() >= kMaxTargets) shard.m_reported.clear();
  }
  shard.m_reported.emplace(std::move(key), now);
  return true;
}

}  // namespace wasabiwind::entry
