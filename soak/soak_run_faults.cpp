/** @file soak_run_faults.cpp Injects the faults of a plan. */

#include <fmt/format.h>
#include <sys/resource.h>

#include <boost/fiber/fiber.hpp>
#include <csignal>
#include <filesystem>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "soak/plan_func.h"
#include "soak/repeating_callers.h"
#include "soak/soak_run.h"

namespace wasabiwind::soak {

namespace {

using base::Clock;
using base::LogEvent;
using base::LogLevel;
using base::milliseconds;
using base::TimePoint;

constexpr milliseconds kPollInterval{5};
/** A started program is ready after this; its recovery time starts then. */
constexpr milliseconds kStartupTime{1'000};
/** Longer than the shutdown grace in the settings of the programs. */
constexpr milliseconds kStopLimit{7'500};
/** Between a stop signal and further signals to the same program. */
constexpr milliseconds kSignalPause{600};
constexpr milliseconds kLinkDelay{150};
constexpr milliseconds kDrainTime{2'500};
constexpr rlim_t kFullDiskBytes = 1;
constexpr int kFirstRepeatingCallerIp = 200;
constexpr int kRepeatingCallerIps = 3;

}  // namespace

void SoakRun::RunFaults(TimePoint start) {
  for (const PlannedFault &fault : m_options.m_plan.m_faults) {
    TimePoint at = start + fault.m_at;
    if (Clock::now() < at) net::SleepFor(at - Clock::now());
    LogEvent(LogLevel::kInfo, "fault",
             {{"kind", GetFaultName(fault.m_kind)},
              {"at_ms", fault.m_at.count()},
              {"target", fault.m_target},
              {"duration_ms", fault.m_duration.count()}});
    ++m_monitor.m_counts["faults"];
    ++m_background_fibers;
    boost::fibers::fiber([this, fault] {
      InjectFault(fault);
      --m_background_fibers;
    }).detach();
  }
  TimePoint end = start + m_options.m_plan.m_duration;
  if (Clock::now() < end) net::SleepFor(end - Clock::now());
}

void SoakRun::InjectFault(const PlannedFault &fault) {
  switch (fault.m_kind) {
    case FaultKind::kDelayMessages:
    case FaultKind::kResetMessages:
    case FaultKind::kCutMessages:
      InjectMessageFault(fault);
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
    case FaultKind::kCrashingPrompts:
    case FaultKind::kCrashingRequests:
    case FaultKind::kPauseRunner:
    case FaultKind::kLeaveSilently:
    case FaultKind::kLeaveRunner:
    case FaultKind::kFreezeRunner:
      InjectRunnerFault(fault);
      return;
    default:
      InjectHostFault(fault);
      return;
  }
}

void SoakRun::InjectHostFault(const PlannedFault &fault) {
  switch (fault.m_kind) {
    case FaultKind::kKillEntry:
      Kill(GetEntry(fault.m_target), fault.m_duration, /*deletes_data=*/false);
      return;
    case FaultKind::kPauseEntry:
      Pause(GetEntry(fault.m_target), fault.m_duration);
      return;
    case FaultKind::kStopEntry:
      Stop(GetEntry(fault.m_target), milliseconds(0));
      return;
    case FaultKind::kChangeControlList:
      ChangeControlList(GetEntry(fault.m_target));
      return;
    case FaultKind::kKillControl:
      Kill(GetControl(fault.m_target), fault.m_duration,
           /*deletes_data=*/false);
      return;
    case FaultKind::kWipeControl:
      Kill(GetControl(fault.m_target), fault.m_duration, /*deletes_data=*/true);
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
    case FaultKind::kKillAllControls: {
      std::vector<boost::fibers::fiber> kill_fibers;
      for (const auto &host : m_controls) {
        kill_fibers.emplace_back([this, &host, &fault] {
          Kill(host.get(), fault.m_duration, /*deletes_data=*/false);
        });
      }
      for (boost::fibers::fiber &kill_fiber : kill_fibers) kill_fiber.join();
      return;
    }
    default:
      return;
  }
}

void SoakRun::InjectMessageFault(const PlannedFault &fault) {
  std::size_t number = fault.m_target % (m_controls.size() + m_entries.size());
  Host *host = number < m_controls.size()
                   ? m_controls[number].get()
                   : m_entries[number - m_controls.size()].get();
  RecordDisturbance(*host, Clock::now() + fault.m_duration);
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
      state.m_holds_forward_bytes = true;
      net::SleepFor(fault.m_duration);
      state.m_holds_forward_bytes = false;
      return;
  }
}

void SoakRun::InjectRunnerFault(const PlannedFault &fault) {
  FakeRunner *runner = GetRunner(fault.m_target);
  bool is_planned = fault.m_kind == FaultKind::kLeaveRunner ||
                    fault.m_kind == FaultKind::kPauseRunner ||
                    fault.m_kind == FaultKind::kLeaveSilently ||
                    fault.m_kind == FaultKind::kFreezeRunner;
  if (!is_planned) {
    m_monitor.RecordUpstreamDisturbance(Clock::now() + fault.m_duration);
  }
  LinkState &link = runner->GetLink().m_state;
  InjectedFaults &injected_faults = runner->m_injected_faults;
  bool *flag = nullptr;
  switch (fault.m_kind) {
    case FaultKind::kCrashingPrompts:
      m_monitor.m_sends_crashing_prompts = true;
      net::SleepFor(fault.m_duration);
      m_monitor.m_sends_crashing_prompts = false;
      return;
    case FaultKind::kCrashingRequests:
      SendCrashingRequests(fault);
      return;
    case FaultKind::kLeaveRunner:
      runner->Leave(kDrainTime);
      return;
    case FaultKind::kCrashRunner:
      runner->Crash(fault.m_duration);
      return;
    case FaultKind::kResetRunner:
      runner->GetLink().Reset();
      return;
    case FaultKind::kDelayRunner:
      link.m_delay = kLinkDelay;
      net::SleepFor(fault.m_duration);
      link.m_delay = milliseconds(0);
      return;
    case FaultKind::kSilenceRunner:
      link.m_holds_forward_bytes = true;
      link.m_holds_backward_bytes = true;
      net::SleepFor(fault.m_duration);
      link.m_holds_forward_bytes = false;
      link.m_holds_backward_bytes = false;
      return;
    case FaultKind::kMuteRunner:
      flag = &link.m_holds_backward_bytes;
      break;
    case FaultKind::kLeaveSilently:
      runner->LeaveSilently(kDrainTime);
      return;
    case FaultKind::kFreezeRunner:
      runner->Freeze(fault.m_duration);
      return;
    case FaultKind::kPauseRunner:
      flag = &injected_faults.m_asks_for_pause;
      break;
    case FaultKind::kSlowRunner:
      flag = &injected_faults.m_is_slow;
      break;
    case FaultKind::kLoseAnswers:
      flag = &injected_faults.m_loses_answers;
      break;
    case FaultKind::kGarbleAnswers:
      flag = &injected_faults.m_garbles_answers;
      break;
    case FaultKind::kLateOrders:
      flag = &injected_faults.m_delays_orders;
      break;
    default:
      return;
  }
  *flag = true;
  net::SleepFor(fault.m_duration);
  *flag = false;
}

void SoakRun::SendCrashingRequests(const PlannedFault &fault) {
  RepeatingCallersOptions options;
  options.m_requests = MakeRepeatedRequests(fault.m_target, m_models);
  options.m_seed = m_options.m_plan.m_seed;
  for (int i = 0; i < kRepeatingCallerIps; ++i) {
    options.m_ips.push_back(MakeIp(kFirstRepeatingCallerIp + i));
  }
  RepeatingCallers callers(std::move(options), &m_addresses, m_protocol,
                           &m_monitor);
  if (auto done = callers.Listen(); !done) {
    m_monitor.ReportViolation("recovery", done.error().ToString());
    return;
  }
  callers.Run(Clock::now() + fault.m_duration);
}

void SoakRun::RecordDisturbance(const Host &host, TimePoint until) {
  if (host.m_is_entry) {
    m_monitor.RecordEntryDisturbance(host.m_number, until);
  } else {
    m_monitor.RecordControlDisturbance(host.m_number, until);
  }
}

void SoakRun::WaitForExit(Host *host) {
  while (host->m_process.IsRunning()) net::SleepFor(kPollInterval);
}

void SoakRun::Kill(Host *host, milliseconds downtime, bool deletes_data) {
  if (host->m_is_down) return;
  host->m_is_down = true;
  RecordDisturbance(*host, Clock::now() + downtime + kStartupTime);
  host->m_process.Signal(SIGKILL);
  WaitForExit(host);
  if (deletes_data) {
    std::filesystem::remove_all(std::filesystem::path(m_options.m_folder) /
                                (host->m_name + ".data"));
  }
  net::SleepFor(downtime);
  if (auto done = Start(host, /*is_first_start=*/false); !done) {
    m_monitor.ReportViolation("programs run on", done.error().ToString());
  }
}

/** Changes the settings of an entry host that is draining, and has it stopped
 * once more. */
void SoakRun::SignalWhileDraining(Host *host) {
  net::SleepFor(kSignalPause);
  ++host->m_control_list_offset;
  WriteSettings(*host, /*is_first_start=*/false);
  host->m_process.Signal(SIGHUP);
  net::SleepFor(kSignalPause);
  host->m_process.Signal(SIGTERM);
}

/** Stops a program with SIGTERM. An entry host must finish its requests first,
 * so its disturbance begins only when it has exited. */
void SoakRun::Stop(Host *host, milliseconds downtime) {
  if (host->m_is_down) return;
  host->m_is_down = true;
  if (!host->m_is_entry)
    RecordDisturbance(*host, Clock::now() + downtime + kStartupTime);
  host->m_process.Signal(SIGTERM);
  TimePoint limit = Clock::now() + kStopLimit;
  if (host->m_is_entry) SignalWhileDraining(host);
  while (host->m_process.IsRunning() && Clock::now() < limit) {
    net::SleepFor(kPollInterval);
  }
  if (host->m_process.IsRunning()) {
    m_monitor.ReportViolation("planned stops",
                              host->m_name + " didn't stop in time");
    host->m_process.Signal(SIGKILL);
    WaitForExit(host);
  } else if (auto status = host->m_process.Poll(); status->m_signal != 0) {
    m_monitor.ReportViolation("planned stops",
                              host->m_name + " ended by " + status->ToString());
  }
  RecordDisturbance(*host, Clock::now() + downtime + kStartupTime);
  net::SleepFor(downtime);
  if (auto done = Start(host, /*is_first_start=*/false); !done) {
    m_monitor.ReportViolation("programs run on", done.error().ToString());
  }
}

void SoakRun::Pause(Host *host, milliseconds duration) {
  if (host->m_is_down) return;
  RecordDisturbance(*host, Clock::now() + duration);
  if (host->m_pauses++ == 0) host->m_process.Signal(SIGSTOP);
  net::SleepFor(duration);
  // No effect on a process that was started in the meantime.
  if (--host->m_pauses == 0) host->m_process.Signal(SIGCONT);
}

/** Makes writes of a control host fail beyond the first byte of a file. */
void SoakRun::FillDisk(Host *host, milliseconds duration) {
  if (host->m_is_down) return;
  RecordDisturbance(*host, Clock::now() + duration);
  rlimit previous_limit = {};
  rlimit full_disk_limit = {};
  pid_t process = host->m_process.GetId();
  if (::prlimit(process, RLIMIT_FSIZE, nullptr, &previous_limit) != 0) return;
  full_disk_limit.rlim_max = previous_limit.rlim_max;
  full_disk_limit.rlim_cur = kFullDiskBytes;
  (void)::prlimit(process, RLIMIT_FSIZE, &full_disk_limit, nullptr);
  net::SleepFor(duration);
  if (host->m_process.GetId() == process && host->m_process.IsRunning()) {
    (void)::prlimit(process, RLIMIT_FSIZE, &previous_limit, nullptr);
  }
}

void SoakRun::ChangeControlList(Host *host) {
  if (host->m_is_down) return;
  ++host->m_control_list_offset;
  WriteSettings(*host, /*is_first_start=*/false);
  host->m_process.Signal(SIGHUP);
}

}  // namespace wasabiwind::soak
