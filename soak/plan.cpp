/** @file plan.cpp Makes the faults of a soak from its seed. */

#include <algorithm>
#include <array>

#include "base/random_func.h"
#include "soak/plan_func.h"

namespace wasabiwind::soak {

namespace {

using base::milliseconds;
using base::Random;

constexpr milliseconds kLeastStorm{3'000};
constexpr milliseconds kMostStorm{7'000};
/** Long enough for hosts to be in touch again and for rules with a time. */
constexpr milliseconds kCalm{10'000};
/** Faults end at most so long after their storm. */
constexpr milliseconds kOverhang{1'000};
/** Planned work begins so long after the last fault. */
constexpr milliseconds kSettle{5'500};
constexpr double kMeanGapMs = 600;
constexpr std::uint64_t kSeriesChance = 5;  ///< one of so many faults
constexpr int kSeriesLength = 3;
constexpr milliseconds kSeriesGap{250};
/** A control host without disk is whole again after this. */
constexpr milliseconds kWipeGuard{6'000};
constexpr std::uint64_t kMostTargets = 1'000;

struct FaultFacts {
  FaultKind m_kind;
  const char *m_name;
  int m_weight;  ///< how often it comes in storms; 0: planned work
  milliseconds m_least;
  milliseconds m_most;
  bool m_hits_control;
};

constexpr std::array<FaultFacts, static_cast<std::size_t>(FaultKind::kEnd)>
    kFacts = {{
        {FaultKind::kKillEntry, "kill_entry", 3, milliseconds(50),
         milliseconds(1'500), false},
        {FaultKind::kPauseEntry, "pause_entry", 3, milliseconds(200),
         milliseconds(4'000), false},
        {FaultKind::kKillControl, "kill_control", 3, milliseconds(50),
         milliseconds(2'000), true},
        {FaultKind::kStopControl, "stop_control", 1, milliseconds(100),
         milliseconds(1'000), true},
        {FaultKind::kPauseControl, "pause_control", 3, milliseconds(300),
         milliseconds(5'000), true},
        {FaultKind::kWipeControl, "wipe_control", 1, milliseconds(100),
         milliseconds(1'000), true},
        {FaultKind::kKillAll, "kill_all_control", 1, milliseconds(100),
         milliseconds(800), true},
        {FaultKind::kFillDisk, "fill_disk", 1, milliseconds(500),
         milliseconds(3'000), true},
        {FaultKind::kDelayMessages, "delay_messages", 2, milliseconds(500),
         milliseconds(3'000), true},
        {FaultKind::kResetMessages, "reset_messages", 2, milliseconds(0),
         milliseconds(0), true},
        {FaultKind::kCutMessages, "cut_messages", 3, milliseconds(500),
         milliseconds(4'000), true},
        {FaultKind::kDelayRunner, "delay_runner", 2, milliseconds(300),
         milliseconds(3'000), false},
        {FaultKind::kResetRunner, "reset_runner", 2, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kSilenceRunner, "silence_runner", 2, milliseconds(300),
         milliseconds(3'000), false},
        {FaultKind::kMuteRunner, "mute_runner", 1, milliseconds(300),
         milliseconds(2'000), false},
        {FaultKind::kCrashRunner, "crash_runner", 2, milliseconds(100),
         milliseconds(2'500), false},
        {FaultKind::kSlowRunner, "slow_runner", 2, milliseconds(500),
         milliseconds(4'000), false},
        {FaultKind::kLoseAnswers, "lose_answers", 2, milliseconds(200),
         milliseconds(2'000), false},
        {FaultKind::kGarbleAnswers, "garble_answers", 2, milliseconds(200),
         milliseconds(2'000), false},
        {FaultKind::kLateOrders, "late_orders", 2, milliseconds(500),
         milliseconds(3'000), false},
        {FaultKind::kChangeSeeds, "change_seeds", 1, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kStopEntry, "stop_entry", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kLeaveRunner, "leave_runner", 0, milliseconds(0),
         milliseconds(0), false},
    }};

const FaultFacts &GetFacts(FaultKind kind) {
  return kFacts[static_cast<std::size_t>(kind)];
}

milliseconds DrawBetween(Random *random, milliseconds least,
                         milliseconds most) {
  auto width = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + milliseconds(NextRandomBelow(random, width));
}

FaultKind DrawKind(Random *random) {
  int total = 0;
  for (const FaultFacts &facts : kFacts) total += facts.m_weight;
  auto rest = static_cast<int>(
      NextRandomBelow(random, static_cast<std::uint64_t>(total)));
  for (const FaultFacts &facts : kFacts) {
    rest -= facts.m_weight;
    if (rest < 0) return facts.m_kind;
  }
  return FaultKind::kKillEntry;
}

PlannedFault DrawFault(Random *random, milliseconds at) {
  PlannedFault fault;
  fault.m_at = at;
  fault.m_kind = DrawKind(random);
  fault.m_target =
      static_cast<std::uint32_t>(NextRandomBelow(random, kMostTargets));
  const FaultFacts &facts = GetFacts(fault.m_kind);
  fault.m_duration = DrawBetween(random, facts.m_least, facts.m_most);
  return fault;
}

/** Drops control faults that would come while a disk is being replaced. */
void SpareWipedHosts(std::vector<PlannedFault> *faults) {
  milliseconds guarded_until(0);
  milliseconds last_end(0);
  std::erase_if(*faults, [&](const PlannedFault &fault) {
    if (!HitsControl(fault.m_kind)) return false;
    milliseconds end = fault.m_at + fault.m_duration;
    bool is_wipe = fault.m_kind == FaultKind::kWipeControl;
    if (fault.m_at < guarded_until) return true;
    if (is_wipe && fault.m_at < last_end + kWipeGuard) return true;
    if (is_wipe) guarded_until = end + kWipeGuard;
    last_end = std::max(last_end, end);
    return false;
  });
}

void AddStorm(Random *random, milliseconds from, milliseconds until,
              SoakPlan *plan) {
  milliseconds at = from;
  while (at < until) {
    PlannedFault fault = DrawFault(random, at);
    bool is_series = NextRandomBelow(random, kSeriesChance) == 0 &&
                     fault.m_kind != FaultKind::kWipeControl;
    for (int i = 0; i < (is_series ? kSeriesLength : 1); ++i) {
      fault.m_duration =
          std::min(fault.m_duration, until + kOverhang - fault.m_at);
      plan->m_faults.push_back(fault);
      fault.m_at += kSeriesGap;
    }
    at += milliseconds(
        static_cast<int>(NextRandomExponential(random, kMeanGapMs)));
  }
}

/** Adds planned work, which must not cost any request. */
void AddPlannedWork(Random *random, milliseconds calm, SoakPlan *plan) {
  for (FaultKind kind : {FaultKind::kLeaveRunner, FaultKind::kStopEntry}) {
    PlannedFault fault;
    fault.m_kind = kind;
    fault.m_at = calm + kSettle + milliseconds(NextRandomBelow(random, 1'000));
    fault.m_target =
        static_cast<std::uint32_t>(NextRandomBelow(random, kMostTargets));
    if (NextRandomBelow(random, 3) != 0) plan->m_faults.push_back(fault);
  }
}

void AddChanges(Random *random, SoakPlan *plan) {
  constexpr double kMeanChangeGapMs = 1'500;
  milliseconds at(200);
  while (at < plan->m_duration) {
    PlannedChange change;
    change.m_at = at;
    change.m_is_race = NextRandomBelow(random, 4) == 0;
    change.m_is_invalid = NextRandomBelow(random, 8) == 0;
    plan->m_changes.push_back(change);
    at += milliseconds(
        50 + static_cast<int>(NextRandomExponential(random, kMeanChangeGapMs)));
  }
}

}  // namespace

SoakPlan MakePlan(std::uint64_t seed, base::milliseconds duration) {
  Random random{seed};
  SoakPlan plan;
  plan.m_seed = seed;
  plan.m_duration = duration;
  milliseconds at(500);
  while (at + kLeastStorm + kCalm <= duration) {
    milliseconds storm = DrawBetween(&random, kLeastStorm, kMostStorm);
    storm = std::min(storm, duration - kCalm - at);
    AddStorm(&random, at, at + storm, &plan);
    AddPlannedWork(&random, at + storm, &plan);
    at += storm + kCalm;
  }
  std::stable_sort(plan.m_faults.begin(), plan.m_faults.end(),
                   [](const PlannedFault &a, const PlannedFault &b) {
                     return a.m_at < b.m_at;
                   });
  SpareWipedHosts(&plan.m_faults);
  AddChanges(&random, &plan);
  return plan;
}

const char *GetFaultName(FaultKind kind) { return GetFacts(kind).m_name; }

bool HitsControl(FaultKind kind) { return GetFacts(kind).m_hits_control; }

}  // namespace wasabiwind::soak
