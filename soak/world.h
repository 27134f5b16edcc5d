/** @file world.h Programs, links and upstreams of one soak. */

#ifndef WASABIWIND_SOAK_WORLD_H_
#define WASABIWIND_SOAK_WORLD_H_

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
  int m_runners = 6;  ///< beside one for each moving service
  int m_callers = 16;
  int m_models = 14;
  SoakPlan m_plan;
};

/**
 * Starts the programs behind links, plays upstreams, callers and operators,
 * and carries out the plan. Ends only processes that it started. Belongs to
 * one fiber thread.
 */
class World {
 public:
  World(SoakOptions options, const SoakProtocol *protocol);

  /**
   * Runs the whole plan and the time after it.
   * @return an error if the programs can't be started
   * @pre inside net::RunFiberThread
   */
  base::Result<void> Run();

  const Monitor &GetMonitor() const { return m_monitor; }

 private:
  /** One program under test and the link for messages to it. */
  struct Host {
    bool m_is_entry = false;
    int m_number = 0;
    std::string m_name;
    std::string m_ip;
    scenario::ChildProcess m_process;
    std::unique_ptr<LinkProxy> m_link;
    bool m_is_down = false;  ///< ended by the plan, and not started again
    int m_pauses = 0;        ///< that overlap
    int m_seeds_shift = 0;   ///< rotates the list of control hosts
  };

  void MakeHosts();
  void MakeRunners();
  std::string MakeIp(int number) const;
  void WriteSettings(const Host &host, bool is_first_start) const;
  base::Result<void> Start(Host *host, bool is_first_start);
  void WaitForEnd(Host *host);
  Host *GetEntry(std::uint32_t target);
  Host *GetControl(std::uint32_t target);
  FakeRunner *GetRunner(std::uint32_t target);

  void RunFaults(base::TimePoint start);
  void CarryOut(const PlannedFault &fault);
  void CarryOutOnHost(const PlannedFault &fault);
  void CarryOutOnMessages(const PlannedFault &fault);
  void CarryOutOnRunner(const PlannedFault &fault);
  void Kill(Host *host, base::milliseconds down, bool wipes);
  void Stop(Host *host, base::milliseconds down);
  void Pause(Host *host, base::milliseconds duration);
  void FillDisk(Host *host, base::milliseconds duration);
  void ChangeSeeds(Host *host);
  void Disturb(const Host &host, base::TimePoint until);
  void RunChanges(base::TimePoint start);
  void WatchProcesses();
  void WatchOwnPace();
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
  int m_detached = 0;  ///< fibers of faults that still run
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_WORLD_H_
