/** @file plan.cpp Generates the faults of a soak from its seed. */

#include <algorithm>
#include <array>

#include "base/random_func.h"
#include "soak/plan_func.h"

namespace wasabiwind::soak {

namespace {

using base::milliseconds;
using base::Random;

constexpr milliseconds kMinFaultPhase{3'000};
constexpr milliseconds kMaxFaultPhase{7'000};
/** Long enough for hosts to recover and for checks with a time limit. */
constexpr milliseconds kQuietPhase{10'000};
/** How long faults may last beyond their phase. */
constexpr milliseconds kMaxFaultOverrun{1'000};
/** From the end of a fault phase to planned work. */
constexpr milliseconds kPlannedWorkDelay{5'500};
constexpr double kMeanFaultGapMs = 600;
constexpr std::uint64_t kFaultsBetweenSeries = 5;  ///< mean
/** How often a series repeats one fault. */
constexpr int kSeriesLength = 3;
constexpr milliseconds kSeriesGap{250};
/** A control host that lost its disk has recovered after this. */
constexpr milliseconds kDiskReplacementTime{6'000};
constexpr std::uint64_t kTargetNumberLimit = 1'000;
constexpr milliseconds kFirstPhaseStart{1'000};
constexpr milliseconds kFirstPhaseDuration{12'000};
/** Runners of desk-0 in seeds whose first phase needs a choice of upstreams for
 * plain requests. */
constexpr int kDeskRunners = 3;

struct FaultProperties {
  FaultKind m_kind;
  const char *m_name;
  int m_weight;  ///< relative frequency in fault phases; 0: planned work
  milliseconds m_min_duration;
  milliseconds m_max_duration;
  bool m_affects_control;
};

constexpr std::array<FaultProperties, static_cast<std::size_t>(FaultKind::kEnd)>
    kFaultProperties = {{
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
        {FaultKind::kKillAllControls, "kill_all_control", 1, milliseconds(100),
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
        {FaultKind::kChangeControlList, "change_seeds", 1, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kCrashingPrompts, "crashing_prompts", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kCrashingRequests, "crashing_requests", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kStopEntry, "stop_entry", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kPauseRunner, "pause_runner", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kLeaveSilently, "leave_silently", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kLeaveRunner, "leave_runner", 0, milliseconds(0),
         milliseconds(0), false},
        {FaultKind::kFreezeRunner, "freeze_runner", 0, milliseconds(1'000),
         milliseconds(2'200), false},
    }};

const FaultProperties &GetProperties(FaultKind kind) {
  return kFaultProperties[static_cast<std::size_t>(kind)];
}

milliseconds ChooseDuration(Random *random, milliseconds min_duration,
                            milliseconds max_duration) {
  auto width =
      static_cast<std::uint64_t>((max_duration - min_duration).count()) + 1;
  return min_duration + milliseconds(NextRandomBelow(random, width));
}

FaultKind ChooseFaultKind(Random *random) {
  int total = 0;
  for (const FaultProperties &properties : kFaultProperties)
    total += properties.m_weight;
  auto rest = static_cast<int>(
      NextRandomBelow(random, static_cast<std::uint64_t>(total)));
  for (const FaultProperties &properties : kFaultProperties) {
    rest -= properties.m_weight;
    if (rest < 0) return properties.m_kind;
  }
  return FaultKind::kKillEntry;
}

PlannedFault MakeRandomFault(Random *random, milliseconds at) {
  PlannedFault fault;
  fault.m_at = at;
  fault.m_kind = ChooseFaultKind(random);
  fault.m_target =
      static_cast<std::uint32_t>(NextRandomBelow(random, kTargetNumberLimit));
  const FaultProperties &properties = GetProperties(fault.m_kind);
  fault.m_duration = ChooseDuration(random, properties.m_min_duration,
                                    properties.m_max_duration);
  return fault;
}

/** Drops faults that affect control hosts around the loss of a data folder. */
void DropFaultsDuringDiskReplacement(std::vector<PlannedFault> *faults) {
  milliseconds guarded_until(0);
  milliseconds last_end(0);
  std::erase_if(*faults, [&](const PlannedFault &fault) {
    if (!AffectsControl(fault.m_kind)) return false;
    milliseconds end = fault.m_at + fault.m_duration;
    bool is_wipe = fault.m_kind == FaultKind::kWipeControl;
    if (fault.m_at < guarded_until) return true;
    if (is_wipe && fault.m_at < last_end + kDiskReplacementTime) return true;
    if (is_wipe) guarded_until = end + kDiskReplacementTime;
    last_end = std::max(last_end, end);
    return false;
  });
}

void AddFaultPhase(Random *random, milliseconds from, milliseconds until,
                   SoakPlan *plan) {
  milliseconds at = from;
  while (at < until) {
    PlannedFault fault = MakeRandomFault(random, at);
    bool is_series = NextRandomBelow(random, kFaultsBetweenSeries) == 0 &&
                     fault.m_kind != FaultKind::kWipeControl;
    for (int i = 0; i < (is_series ? kSeriesLength : 1); ++i) {
      fault.m_duration =
          std::min(fault.m_duration, until + kMaxFaultOverrun - fault.m_at);
      plan->m_faults.push_back(fault);
      fault.m_at += kSeriesGap;
    }
    at += milliseconds(
        static_cast<int>(NextRandomExponential(random, kMeanFaultGapMs)));
  }
}

/** Adds planned work, which must not fail any request. */
void AddPlannedWork(Random *random, milliseconds quiet_from, SoakPlan *plan) {
  for (FaultKind kind : {FaultKind::kPauseRunner, FaultKind::kLeaveSilently,
                         FaultKind::kLeaveRunner, FaultKind::kStopEntry}) {
    PlannedFault fault;
    fault.m_kind = kind;
    fault.m_duration = milliseconds(2'000);
    fault.m_at = quiet_from + kPlannedWorkDelay +
                 milliseconds(NextRandomBelow(random, 1'000));
    fault.m_target =
        static_cast<std::uint32_t>(NextRandomBelow(random, kTargetNumberLimit));
    if (NextRandomBelow(random, 3) != 0) plan->m_faults.push_back(fault);
  }
}

/**
 * Changes follow each other while one control host can't write, so that it is
 * behind but reachable. Longer than hosts may use an old table meanwhile.
 * @return the end of the series
 */
milliseconds AddSeriesOfChanges(Random *random, SoakPlan *plan) {
  constexpr milliseconds kChangeGap{150};
  PlannedFault fault;
  fault.m_at = kFirstPhaseStart;
  fault.m_kind = FaultKind::kFillDisk;
  fault.m_target =
      static_cast<std::uint32_t>(NextRandomBelow(random, kTargetNumberLimit));
  fault.m_duration = kFirstPhaseDuration;
  plan->m_faults.push_back(fault);
  PlannedChange change;
  change.m_at = kFirstPhaseStart + kChangeGap;
  plan->m_changes.push_back(change);
  change.m_keeps_route = true;
  while (change.m_at < kFirstPhaseStart + kFirstPhaseDuration) {
    change.m_at += kChangeGap;
    plan->m_changes.push_back(change);
  }
  return change.m_at;
}

/** Some prompts crash runners, without other faults. @return the end */
milliseconds AddCrashingPrompts(SoakPlan *plan) {
  PlannedFault fault;
  fault.m_at = kFirstPhaseStart;
  fault.m_kind = FaultKind::kCrashingPrompts;
  fault.m_duration = kFirstPhaseDuration;
  plan->m_faults.push_back(fault);
  return fault.m_at + fault.m_duration;
}

/** Some requests crash runners and come again. @return the end */
milliseconds AddCrashingRequests(Random *random, SoakPlan *plan) {
  plan->m_desk_runners = kDeskRunners;
  PlannedFault fault;
  fault.m_at = kFirstPhaseStart;
  fault.m_kind = FaultKind::kCrashingRequests;
  fault.m_target =
      static_cast<std::uint32_t>(NextRandomBelow(random, kTargetNumberLimit));
  fault.m_duration = kFirstPhaseDuration;
  plan->m_faults.push_back(fault);
  return fault.m_at + fault.m_duration;
}

/**
 * Runners fall silent for a while, some of them at the same time, beside
 * changes of the route table. @return the end
 */
milliseconds AddFrozenRunners(Random *random, SoakPlan *plan) {
  constexpr milliseconds kMinGap{300};
  constexpr milliseconds kMaxGap{900};
  // Each of the few entry hosts gets about the part that it has among 24.
  constexpr double kRetrySlack = 12;
  plan->m_desk_runners = kDeskRunners;
  plan->m_retry_slack = kRetrySlack;
  const FaultProperties &properties = GetProperties(FaultKind::kFreezeRunner);
  milliseconds end = kFirstPhaseStart + kFirstPhaseDuration;
  PlannedFault fault;
  fault.m_kind = FaultKind::kFreezeRunner;
  fault.m_at = kFirstPhaseStart;
  while (fault.m_at + properties.m_max_duration <= end) {
    fault.m_target =
        static_cast<std::uint32_t>(NextRandomBelow(random, kTargetNumberLimit));
    fault.m_duration = ChooseDuration(random, properties.m_min_duration,
                                      properties.m_max_duration);
    plan->m_faults.push_back(fault);
    fault.m_at += ChooseDuration(random, kMinGap, kMaxGap);
  }
  return end;
}

void AddChanges(Random *random, milliseconds from, SoakPlan *plan) {
  constexpr double kMeanChangeGapMs = 1'500;
  milliseconds at = from;
  while (at < plan->m_duration) {
    PlannedChange change;
    change.m_at = at;
    change.m_is_concurrent = NextRandomBelow(random, 4) == 0;
    change.m_is_invalid = NextRandomBelow(random, 8) == 0;
    plan->m_changes.push_back(change);
    at += milliseconds(
        50 + static_cast<int>(NextRandomExponential(random, kMeanChangeGapMs)));
  }
}

enum class FirstPhase : std::uint8_t {
  kNone,
  kSeriesOfChanges,
  kCrashingPrompts,
  kFrozenRunners,
  kCrashingRequests,
};

/** @return the phase of one kind with which a seed starts. */
FirstPhase GetFirstPhase(std::uint64_t seed) {
  if (seed % 3 == 1) return FirstPhase::kSeriesOfChanges;
  if (seed % 3 == 2) return FirstPhase::kCrashingPrompts;
  if (seed % 12 == 3) return FirstPhase::kFrozenRunners;
  if (seed % 12 == 6) return FirstPhase::kCrashingRequests;
  return FirstPhase::kNone;
}

/** Adds the first phase of a seed. @return its end, or 0 without one */
milliseconds AddFirstPhase(Random *random, SoakPlan *plan) {
  switch (GetFirstPhase(plan->m_seed)) {
    case FirstPhase::kSeriesOfChanges:
      return AddSeriesOfChanges(random, plan);
    case FirstPhase::kCrashingPrompts:
      return AddCrashingPrompts(plan);
    case FirstPhase::kFrozenRunners:
      return AddFrozenRunners(random, plan);
    case FirstPhase::kCrashingRequests:
      return AddCrashingRequests(random, plan);
    case FirstPhase::kNone:
      break;
  }
  return milliseconds(0);
}

}  // namespace

SoakPlan MakePlan(std::uint64_t seed, base::milliseconds duration) {
  Random random{seed};
  SoakPlan plan;
  plan.m_seed = seed;
  plan.m_duration = duration;
  plan.m_has_teams = seed % 2 == 1;
  milliseconds at(500);
  milliseconds changes_from(200);
  milliseconds first_phase_end = AddFirstPhase(&random, &plan);
  if (first_phase_end.count() > 0) at = first_phase_end + milliseconds(200);
  if (GetFirstPhase(seed) == FirstPhase::kSeriesOfChanges) changes_from = at;
  // The first phase is added to the duration, so that the others are as long
  // and as varied with it as without.
  plan.m_duration = at + duration;
  while (at + kMinFaultPhase + kQuietPhase <= plan.m_duration) {
    milliseconds phase =
        ChooseDuration(&random, kMinFaultPhase, kMaxFaultPhase);
    phase = std::min(phase, plan.m_duration - kQuietPhase - at);
    AddFaultPhase(&random, at, at + phase, &plan);
    AddPlannedWork(&random, at + phase, &plan);
    at += phase + kQuietPhase;
  }
  std::stable_sort(plan.m_faults.begin(), plan.m_faults.end(),
                   [](const PlannedFault &a, const PlannedFault &b) {
                     return a.m_at < b.m_at;
                   });
  DropFaultsDuringDiskReplacement(&plan.m_faults);
  AddChanges(&random, changes_from, &plan);
  return plan;
}

const char *GetFaultName(FaultKind kind) { return GetProperties(kind).m_name; }

bool AffectsControl(FaultKind kind) {
  return GetProperties(kind).m_affects_control;
}

}  // namespace wasabiwind::soak
