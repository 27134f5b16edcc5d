/** @file freshness_service.h Tells hosts how recent their route table is. */

#ifndef WASABIWIND_FLEET_CONTROL_FRESHNESS_SERVICE_H_
#define WASABIWIND_FLEET_CONTROL_FRESHNESS_SERVICE_H_

#include <functional>
#include <string>

#include "fleet/freshness_func.h"

namespace wasabiwind::fleet_control {

/**
 * Answers queries of other hosts from what the leader confirmed, and queries
 * the leader while any host queries this one. Not thread-safe: used on one
 * fiber thread.
 */
class FreshnessService {
 public:
  struct Hooks {
    std::function<void(const std::string &to, const gen::FleetMessage &)>
        m_send;
    /** @return message endpoint of the leader; "" if unknown or this host. */
    std::function<std::string()> m_get_other_leader;
    /** @return version of this host's route table. */
    std::function<std::uint64_t()> m_get_version;
  };

  explicit FreshnessService(Hooks hooks);

  /** Records that this host was the leader, and its table the newest, at a
   * time. */
  void RecordLeadership(base::TimePoint at);

  void HandleQuery(const std::string &from, const gen::FreshnessQuery &query,
                   base::TimePoint now);
  void HandleAnswer(const gen::FreshnessAnswer &answer, base::TimePoint now);

  /** Sends the queries that are due. Called at least every 100 ms. */
  void Tick(base::TimePoint now);

 private:
  /** The leader is queried for this long after the last query. */
  static constexpr base::milliseconds kQueryRetention{2'000};

  Hooks m_hooks;
  fleet::FreshnessState m_state;
  base::TimePoint m_queried_at;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_FRESHNESS_SERVICE_H_
