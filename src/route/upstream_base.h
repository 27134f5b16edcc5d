/** @file upstream_base.h What a node knows of one upstream. */

#ifndef WASABIWIND_ROUTE_UPSTREAM_BASE_H_
#define WASABIWIND_ROUTE_UPSTREAM_BASE_H_

#include <cstdint>
#include <vector>

#include "base/id_type.h"
#include "base/time_type.h"
#include "route/request_type.h"

namespace wasabiwind::route {

/** Moving mean that starts at its first sample. */
struct MovingMean {
  double m_value = 0;
  std::uint32_t m_samples = 0;
};

/** Adds a sample with a weight between 0 and 1. */
inline void AddSample(MovingMean *mean, double value, double weight) {
  if (mean->m_samples == 0) mean->m_value = value;
  mean->m_value += weight * (value - mean->m_value);
  ++mean->m_samples;
}

/** Whether an upstream gets ordinary requests. */
enum class EjectionState : std::uint8_t {
  kHealthy,
  kEjected,  ///< gets no requests until m_eject_until
  kProbing,  ///< its probe is running
  kEnd,
};

/** What an upstream announces about itself. */
struct UpstreamInfo {
  base::UpstreamId m_upstream;
  base::Incarnation m_incarnation;
  base::RegionId m_region;
  int m_slots = 0;  ///< 0: unknown, the limit adapts to latency
  bool m_is_leaving = false;
  std::vector<base::TargetId> m_loaded;
};

/** Load that the upstream reported m_age ago. */
struct UpstreamLoad {
  int m_running = 0;
  int m_waiting = 0;
  base::Duration m_age{0};
};

/** State of one upstream. Not thread-safe. */
struct Upstream {
  UpstreamInfo m_info;
  int m_in_flight = 0;

  double m_max_limit = 0;  ///< this node's part of the slots, bounds m_limit
  double m_limit = 0;      ///< present concurrency limit, adapted to latency

  int m_external_load = 0;  ///< reported requests of other nodes
  base::TimePoint m_load_valid_until;

  /** Time to first token, relative to the pool's mean for prompts of this size,
   * because the time depends more on the prompt than on the upstream. */
  MovingMean m_first_token_ratio;

  MovingMean m_token_seconds;       ///< between tokens
  double m_best_token_seconds = 0;  ///< 0: nothing measured
  base::TimePoint m_limit_changed_at;

  base::TimePoint m_checked_at;  ///< last comparison with the peers
  EjectionState m_ejection = EjectionState::kHealthy;
  base::TimePoint m_eject_until;
  int m_ejections = 0;  ///< consecutive, lengthens the ejection
  int m_failures = 0;   ///< consecutive
};

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_UPSTREAM_BASE_H_
