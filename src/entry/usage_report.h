/** @file usage_report.h Limits how often the use of a target is reported. */

#ifndef WASABIWIND_ENTRY_USAGE_REPORT_H_
#define WASABIWIND_ENTRY_USAGE_REPORT_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <mutex>
#include <string>

#include "base/time_type.h"

namespace wasabiwind::entry {

/**
 * Decides when a use of a target is reported. Control keeps a target loaded
 * while it is reported; one report per target and period keeps the messages
 * independent of the request rate. Thread-safe.
 */
class UsageReportThrottle {
 public:
  /** @param period well below the shortest idle time of placement */
  explicit UsageReportThrottle(base::Duration period) : m_period(period) {}

  /**
   * Notes a use.
   * @return whether it must be reported now
   */
  bool NoteUse(const std::string &deployment, const std::string &adapter,
               base::TimePoint now);

 private:
  /** Largest number of targets in one shard; at the limit, those whose report
   * is older than the period are removed. */
  static constexpr std::size_t kMaxTargets = 1'024;

  struct Shard {
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, base::TimePoint> m_reported;
  };

  base::Duration m_period;
  std::array<Shard, 8> m_shards;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_USAGE_REPORT_H_
