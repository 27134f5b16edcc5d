/** @file soak_run.h Runs one soak: programs, links, upstreams, callers. */

#ifndef WASABIWIND_SOAK_SOAK_RUN_H_
#define WASABIWIND_SOAK_SOAK_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "scenario/process_base.h"
#include "soak/client.h"
#include "soak/fake_runner.h"
#include "soak/link_proxy.h"
#include "soak/monitor.h"
#include "soak/plan_type.h"

namespace wasabiwind::soak {

struct SoakOptions {
  std::string m_entry_program;
  std::string m_control_program;
  std::string m_folder;  ///< for settings, logs and data folders
  int m_entries = 4;
  int m_controls = 3;
  int m_runners = 6;  ///< with models; those of services come in addition
  int m_callers = 16;
  int m_models = 14;
  SoakPlan m_plan;
};

/**
 * Starts the programs behind links, simulates upstreams, callers and operators,
 * and injects the faults of the plan. Stops only processes that it started.
 * Belongs to one fiber thread.
 */
class SoakRun {
 public:
  SoakRun(SoakOptions options, const SoakProtocol *protocol);

  /**
   * Runs the plan and the recovery check after it.
   * @return an error if the programs can't be started
   * @pre inside net::RunFiberThread
   */
  base::Result<void> Run();

  const Monitor &GetMonitor() const { return m_monitor; }

 private:
  /** A program under test and the link for messages to it. */
  struct Host {
    bool m_is_entry = false;
    int m_number = 0;
    std::string m_name;
    std::string m_ip;
    scenario::ChildProcess m_process;
    std::unique_ptr<LinkProxy> m_link;
    bool m_is_down = false;  ///< stopped by a fault and not restarted yet
    int m_pauses = 0;        ///< that overlap now
    int m_control_list_offset = 0;  ///< rotates the list of control hosts
  };

  void MakeHosts();
  void MakeRunners();
  void AddRunner(const std::string &service,
                 std::vector<std::string> first_models);
  std::string MakeIp(int number) const;
  void WriteSettings(const Host &host, bool is_first_start) const;
  base::Result<void> Start(Host *host, bool is_first_start);
  void WaitForExit(Host *host);
  Host *GetEntry(std::uint32_t target);
  Host *GetControl(std::uint32_t target);
  FakeRunner *GetRunner(std::uint32_t target);

  void RunFaults(base::TimePoint start);
  void InjectFault(const PlannedFault &fault);
  void InjectHostFault(const PlannedFault &fault);
  void InjectMessageFault(const PlannedFault &fault);
  void InjectRunnerFault(const PlannedFault &fault);
  void SendCrashingRequests(const PlannedFault &fault);
  void Kill(Host *host, base::milliseconds downtime, bool deletes_data);
  void SignalWhileDraining(Host *host);
  void Stop(Host *host, base::milliseconds downtime);
  void Pause(Host *host, base::milliseconds duration);
  void FillDisk(Host *host, base::milliseconds duration);
  void ChangeControlList(Host *host);
  void RecordDisturbance(const Host &host, base::TimePoint until);
  void RunChanges(base::TimePoint start);
  void WatchProcesses();
  void WatchForOwnStalls();
  void CheckRecovery();
  void StopAll();

  SoakOptions m_options;
  const SoakProtocol *m_protocol;
  Monitor m_monitor;
  Addresses m_addresses;
  std::vector<std::string> m_models;
  std::vector<std::unique_ptr<Host>> m_entries;
  std::vector<std::unique_ptr<Host>> m_controls;
  std::vector<std::unique_ptr<FakeRunner>> m_runners;
  std::unique_ptr<Operator> m_operator;
  bool m_is_ending = false;
  int m_background_fibers = 0;  ///< of faults that are active
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_SOAK_RUN_H_
