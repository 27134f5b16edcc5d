/** @file plan_type.h The faults and table changes of one soak. */

#ifndef WASABIWIND_SOAK_PLAN_TYPE_H_
#define WASABIWIND_SOAK_PLAN_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::soak {

enum class FaultKind : std::uint8_t {
  kKillEntry,        ///< SIGKILL, restarted after the duration
  kPauseEntry,       ///< SIGSTOP for the duration
  kKillControl,      ///< SIGKILL, restarted after the duration
  kStopControl,      ///< SIGTERM, restarted after the duration
  kPauseControl,     ///< SIGSTOP for the duration
  kWipeControl,      ///< as kKillControl, and the data folder is deleted
  kKillAllControls,  ///< as kKillControl, of all control hosts at once
  kFillDisk,         ///< a control host can't write for the duration
  kDelayMessages,    ///< messages to one host are delayed
  kResetMessages,    ///< connections for messages to one host are reset
  kCutMessages,      ///< messages to one host are held back, not those from it
  kDelayRunner,      ///< all bytes between entry hosts and a runner are delayed
  kResetRunner,      ///< connections to a runner are reset
  kSilenceRunner,    ///< bytes to and from a runner are held back
  kMuteRunner,       ///< bytes from a runner are held back
  kCrashRunner,      ///< a runner restarts under a new ID, without models
  kSlowRunner,       ///< a runner is ten times slower
  kLoseAnswers,      ///< a runner runs requests and closes without a response
  kGarbleAnswers,    ///< plain responses name no request, streams are aborted
  kLateOrders,       ///< a runner executes orders late, without a response
  kChangeControlList,  ///< an entry host gets other control hosts, by SIGHUP
  kCrashingPrompts,    ///< some prompts crash each runner that answers them
  kCrashingRequests,   ///< repeated requests crash each runner that runs them
  kStopEntry,          ///< planned work: SIGTERM, restarted after its exit
  kPauseRunner,        ///< planned work: a runner refuses and asks for pauses
  kLeaveSilently,  ///< planned work: only its answers say that a runner leaves
  kLeaveRunner,    ///< planned work: a runner reports leaving, then restarts
  kFreezeRunner,   ///< planned work: a runner is silent, then goes on
  kEnd,
};

/** One fault. */
struct PlannedFault {
  base::milliseconds m_at{0};  ///< since the start of traffic
  FaultKind m_kind = FaultKind::kEnd;
  std::uint32_t m_target = 0;  ///< host or runner, modulo their number
  base::milliseconds m_duration{0};
};

/** A change of the route table. */
struct PlannedChange {
  base::milliseconds m_at{0};
  bool m_is_concurrent = false;  ///< another change is put at the same time
  bool m_is_invalid = false;     ///< must be refused
  /** The moving route stays where the change before has put it. */
  bool m_keeps_route = false;
};

struct SoakPlan {
  std::uint64_t m_seed = 0;
  base::milliseconds m_duration{0};
  /** Whether tables declare teams, each version with another key. */
  bool m_has_teams = false;
  int m_desk_runners = 1;  ///< of service desk-0, which has no models
  /** Setting retry_slack of the programs. */
  double m_retry_slack = 50;
  std::vector<PlannedFault> m_faults;    ///< by time
  std::vector<PlannedChange> m_changes;  ///< by time
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_PLAN_TYPE_H_
