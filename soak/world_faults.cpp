/** @file world_faults.cpp Carries out the faults of a plan. */

#include <fmt/format.h>
#include <sys/resource.h>

#include <boost/fiber/fiber.hpp>
#include <csignal>
#include <filesystem>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "soak/plan_func.h"
#include "soak/world.h"

namespace wasabiwind::soak {

namespace {

using base::Clock;
using base::LogEvent;
using base::LogLevel;
using base::milliseconds;
using base::TimePoint;

constexpr milliseconds kPoll{5};
/** A started program is whole after this; then its time in touch begins. */
constexpr milliseconds kStartTime{1'000};
/** A stopping program ends within its grace and this. */
constexpr milliseconds kStopLimit{7'500};
constexpr milliseconds kLinkDelay{150};
constexpr milliseconds kDrain{2'500};
constexpr rlim_t kFullDiskBytes = 1;

}  // namespace

void World::RunFaults(TimePoint start) {
  for (const PlannedFault &fault : m_options.m_plan.m_faults) {
    TimePoint at = start + fault.m_at;
    if (Clock::now() < at) net::SleepFor(at - Clock::now());
    LogEvent(LogLevel::kInfo, "fault",
             {{"kind", GetFaultName(fault.m_kind)},
              {"at_ms", fault.m_at.count()},
              {"target", fault.m_target},
              {"duration_ms", fault.m_duration.count()}});
    ++m_monitor.m_counts["faults"];
    ++m_detached;
    boost::fibers::fiber([this, fault] {
      CarryOut(fault);
      --m_detached;
    }).detach();
  }
  TimePoint end = start + m_options.m_plan.m_duration;
  if (Clock::now() < end) net::SleepFor(end - Clock::now());
}

void World::CarryOut(const PlannedFault &fault) {
  switch (fault.m_kind) {
    case FaultKind::kDelayMessages:
    case FaultKind::kResetMessages:
    case FaultKind::kCutMessages:
      CarryOutOnMessages(fault);
      return;
    case FaultKind::kDelayRunner:
    case FaultKind::kResetRunner:
    case FaultKind::kSilenceRunner:
    case FaultKind::kMuteRunner:
    case FaultKind::kCrashRunner:
    case FaultKind::kSlowRunner:
    case FaultKind::kLoseAnswers:
    case FaultKind::kGarbleAnswers:
    case FaultKind::kLateOrders:
    case FaultKind::kLeaveRunner:
      CarryOutOnRunner(fault);
      return;
    default:
      CarryOutOnHost(fault);
      return;
  }
}

void World::CarryOutOnHost(const PlannedFault &fault) {
  switch (fault.m_kind) {
    case FaultKind::kKillEntry:
      Kill(GetEntry(fault.m_target), fault.m_duration, /*wipes=*/false);
      return;
    case FaultKind::kPauseEntry:
      Pause(GetEntry(fault.m_target), fault.m_duration);
      return;
    case FaultKind::kStopEntry:
      Stop(GetEntry(fault.m_target), milliseconds(0));
      return;
    case FaultKind::kChangeSeeds:
      ChangeSeeds(GetEntry(fault.m_target));
      return;
    case FaultKind::kKillControl:
      Kill(GetControl(fault.m_target), fault.m_duration, /*wipes=*/false);
      return;
    case FaultKind::kWipeControl:
      Kill(GetControl(fault.m_target), fault.m_duration, /*wipes=*/true);
      return;
    case FaultKind::kStopControl:
      Stop(GetControl(fault.m_target), fault.m_duration);
      return;
    case FaultKind::kPauseControl:
      Pause(GetControl(fault.m_target), fault.m_duration);
      return;
    case FaultKind::kFillDisk:
      FillDisk(GetControl(fault.m_target), fault.m_duration);
      return;
    case FaultKind::kKillAll: {
      std::vector<boost::fibers::fiber> kills;
      for (const auto &host : m_controls) {
        kills.emplace_back([this, &host, &fault] {
          Kill(host.get(), fault.m_duration, /*wipes=*/false);
        });
      }
      for (boost::fibers::fiber &kill : kills) kill.join();
      return;
    }
    default:
      return;
  }
}

void World::CarryOutOnMessages(const PlannedFault &fault) {
  std::size_t number = fault.m_target % (m_controls.size() + m_entries.size());
  Host *host = number < m_controls.size()
                   ? m_controls[number].get()
                   : m_entries[number - m_controls.size()].get();
  Disturb(*host, Clock::now() + fault.m_duration);
  LinkState &state = host->m_link->m_state;
  switch (fault.m_kind) {
    case FaultKind::kResetMessages:
      host->m_link->Reset();
      return;
    case FaultKind::kDelayMessages:
      state.m_delay = kLinkDelay;
      net::SleepFor(fault.m_duration);
      state.m_delay = milliseconds(0);
      return;
    default:
      state.m_is_forward_silent = true;
      net::SleepFor(fault.m_duration);
      state.m_is_forward_silent = false;
      return;
  }
}

void World::CarryOutOnRunner(const PlannedFault &fault) {
  FakeRunner *runner = GetRunner(fault.m_target);
  bool is_planned = fault.m_kind == FaultKind::kLeaveRunner;
  if (!is_planned) {
    m_monitor.DisturbUpstreams(Clock::now() + fault.m_duration);
  }
  LinkState &link = runner->Link().m_state;
  Misbehavior &misbehavior = runner->m_misbehavior;
  bool *flag = nullptr;
  switch (fault.m_kind) {
    case FaultKind::kLeaveRunner:
      runner->Leave(kDrain);
      return;
    case FaultKind::kCrashRunner:
      runner->Crash(fault.m_duration);
      return;
    case FaultKind::kResetRunner:
      runner->Link().Reset();
      return;
    case FaultKind::kDelayRunner:
      link.m_delay = kLinkDelay;
      net::SleepFor(fault.m_duration);
      link.m_delay = milliseconds(0);
      return;
    case FaultKind::kSilenceRunner:
      link.m_is_forward_silent = true;
      link.m_is_back_silent = true;
      net::SleepFor(fault.m_duration);
      link.m_is_forward_silent = false;
      link.m_is_back_silent = false;
      return;
    case FaultKind::kMuteRunner:
      flag = &link.m_is_back_silent;
      break;
    case FaultKind::kSlowRunner:
      flag = &misbehavior.m_is_slow;
      break;
    case FaultKind::kLoseAnswers:
      flag = &misbehavior.m_loses_answers;
      break;
    case FaultKind::kGarbleAnswers:
      flag = &misbehavior.m_garbles_answers;
      break;
    case FaultKind::kLateOrders:
      flag = &misbehavior.m_delays_orders;
      break;
    default:
      return;
  }
  *flag = true;
  net::SleepFor(fault.m_duration);
  *flag = false;
}

void World::Disturb(const Host &host, TimePoint until) {
  if (host.m_is_entry) {
    m_monitor.Disturb(host.m_number, until);
  } else {
    m_monitor.DisturbControl(until);
  }
}

void World::WaitForEnd(Host *host) {
  while (host->m_process.IsRunning()) net::SleepFor(kPoll);
}

void World::Kill(Host *host, milliseconds down, bool wipes) {
  if (host->m_is_down) return;
  host->m_is_down = true;
  Disturb(*host, Clock::now() + down + kStartTime);
  host->m_process.Signal(SIGKILL);
  WaitForEnd(host);
  if (wipes) {
    std::filesystem::remove_all(std::filesystem::path(m_options.m_folder) /
                                (host->m_name + ".data"));
  }
  net::SleepFor(down);
  if (auto done = Start(host, /*is_first_start=*/false); !done) {
    m_monitor.Break("programs run on", done.error().ToString());
  }
}

/** Stops a program in order. Its requests must be finished. */
void World::Stop(Host *host, milliseconds down) {
  if (host->m_is_down) return;
  host->m_is_down = true;
  if (!host->m_is_entry) Disturb(*host, Clock::now() + down + kStartTime);
  host->m_process.Signal(SIGTERM);
  TimePoint limit = Clock::now() + kStopLimit;
  while (host->m_process.IsRunning() && Clock::now() < limit) {
    net::SleepFor(kPoll);
  }
  if (host->m_process.IsRunning()) {
    m_monitor.Break("planned stops", host->m_name + " didn't end in time");
    host->m_process.Signal(SIGKILL);
    WaitForEnd(host);
  }
  Disturb(*host, Clock::now() + down + kStartTime);
  net::SleepFor(down);
  if (auto done = Start(host, /*is_first_start=*/false); !done) {
    m_monitor.Break("programs run on", done.error().ToString());
  }
}

void World::Pause(Host *host, milliseconds duration) {
  if (host->m_is_down) return;
  Disturb(*host, Clock::now() + duration);
  if (host->m_pauses++ == 0) host->m_process.Signal(SIGSTOP);
  net::SleepFor(duration);
  // A process that was started meanwhile isn't stopped; this changes nothing.
  if (--host->m_pauses == 0) host->m_process.Signal(SIGCONT);
}

/** Lets no write of a control host go beyond the start of a file. */
void World::FillDisk(Host *host, milliseconds duration) {
  if (host->m_is_down) return;
  Disturb(*host, Clock::now() + duration);
  rlimit former = {};
  rlimit full = {};
  pid_t process = host->m_process.GetId();
  if (::prlimit(process, RLIMIT_FSIZE, nullptr, &former) != 0) return;
  full.rlim_max = former.rlim_max;
  full.rlim_cur = kFullDiskBytes;
  (void)::prlimit(process, RLIMIT_FSIZE, &full, nullptr);
  net::SleepFor(duration);
  if (host->m_process.GetId() == process && host->m_process.IsRunning()) {
    (void)::prlimit(process, RLIMIT_FSIZE, &former, nullptr);
  }
}

void World::ChangeSeeds(Host *host) {
  if (host->m_is_down) return;
  ++host->m_seeds_shift;
  WriteSettings(*host, /*is_first_start=*/false);
  host->m_process.Signal(SIGHUP);
}

}  // namespace wasabiwind::soak
