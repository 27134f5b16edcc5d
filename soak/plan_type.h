/** @file plan_type.h The faults of one soak, made from its seed. */

#ifndef WASABIWIND_SOAK_PLAN_TYPE_H_
#define WASABIWIND_SOAK_PLAN_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::soak {

enum class FaultKind : std::uint8_t {
  kKillEntry,      ///< SIGKILL, started again after the duration
  kPauseEntry,     ///< SIGSTOP for the duration
  kKillControl,    ///< SIGKILL, started again after the duration
  kStopControl,    ///< SIGTERM, started again after the duration
  kPauseControl,   ///< SIGSTOP for the duration
  kWipeControl,    ///< SIGKILL and loss of the data folder
  kKillAll,        ///< SIGKILL of all control hosts at once
  kFillDisk,       ///< the control host can't write for the duration
  kDelayMessages,  ///< messages to one host come late
  kResetMessages,  ///< connections for messages to one host are reset
  kCutMessages,    ///< one host can send messages, but gets none
  kDelayRunner,    ///< all bytes between entry hosts and a runner come late
  kResetRunner,    ///< connections to a runner are reset
  kSilenceRunner,  ///< a runner's connections fall silent both ways
  kMuteRunner,     ///< requests arrive at a runner, its answers don't leave
  kCrashRunner,    ///< a runner ends and starts again, empty, as another one
  kSlowRunner,     ///< a runner takes ten times as long
  kLoseAnswers,    ///< a runner runs requests and closes without an answer
  kGarbleAnswers,  ///< a runner answers with bytes of no request
  kLateOrders,     ///< a runner carries out orders late, without an answer
  kChangeSeeds,    ///< settings name other control hosts; SIGHUP
  kStopEntry,      ///< planned: SIGTERM, started again when it has ended
  kLeaveRunner,    ///< planned: a runner says that it leaves, then ends
  kEnd,
};

/** One fault. */
struct PlannedFault {
  base::milliseconds m_at{0};  ///< since the start of traffic
  FaultKind m_kind = FaultKind::kEnd;
  std::uint32_t m_target = 0;  ///< modulo the number of hosts or runners
  base::milliseconds m_duration{0};
};

/** A table that operators put in force. */
struct PlannedChange {
  base::milliseconds m_at{0};
  bool m_is_race = false;     ///< another operator puts a version beside it
  bool m_is_invalid = false;  ///< must be refused
};

struct SoakPlan {
  std::uint64_t m_seed = 0;
  base::milliseconds m_duration{0};
  std::vector<PlannedFault> m_faults;    ///< by time
  std::vector<PlannedChange> m_changes;  ///< by time
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_PLAN_TYPE_H_
