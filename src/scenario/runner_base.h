/** @file runner_base.h Runs a scenario against real processes. */

#ifndef WASABIWIND_SCENARIO_RUNNER_BASE_H_
#define WASABIWIND_SCENARIO_RUNNER_BASE_H_

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>

#include "net/http_type.h"
#include "scenario/check_func.h"
#include "scenario/process_base.h"
#include "scenario/scenario_type.h"

namespace wasabiwind::scenario {

struct RunnerOptions {
  std::string m_binaries;      ///< folder of the programs
  std::string m_folder;        ///< must exist; gets the files of the run
  bool m_run_planted = false;  ///< run statements with planted: too
  std::uint64_t m_seed = 1;
};

/** Addresses that one run has assigned: ports of its own loopback address. */
struct RunAddresses {
  std::string m_host;  ///< derived from the process ID
  int m_next_port = 20'000;
  std::map<std::string, std::string> m_addresses;  ///< by "PART.WORD"
};

/** @return a loopback address that is unique to the process ID. */
std::string MakeLoopbackHost(std::uint32_t process_id);

/** @return the first three parts of loopback addresses, such as "127.128.5.".
 * They are those of no other process whose ID differs by less than 32,512. */
std::string MakeLoopbackNetwork(std::uint32_t process_id);

/**
 * Executes the statements of one scenario in order. A violated expectation or
 * invariant is reported as kConflict; errors of other kinds mean that the
 * scenario couldn't be executed. Not thread-safe.
 */
class Runner {
 public:
  Runner(Scenario scenario, RunnerOptions options);

  /** Executes the statements up to the first error. The processes end with this
   * object. */
  base::Result<void> Run();

 private:
  struct Part {
    const PartDeclaration *m_declaration = nullptr;
    ChildProcess m_process;
    bool m_is_started = false;
    bool m_may_exit = false;  ///< its exit isn't a failure
    bool m_is_terminated = false;
    bool m_is_end_recorded = false;  ///< kEndedEvent was appended
  };
  struct Command {
    ChildProcess m_process;
    bool m_is_load = false;
  };

  base::Result<void> Prepare();
  base::Result<void> Execute(const Statement &statement);
  base::Result<void> ExecuteOnPart(StatementKind kind, const std::string &name);
  base::Result<void> StartParts(const std::vector<std::string> &names);
  base::Result<void> LaunchPart(const std::string &name);
  base::Result<void> WaitUntilHealthy(const std::string &name);
  base::Result<void> StopPart(const std::string &name);
  base::Result<void> KillPart(const std::string &name);
  base::Result<void> InjectFault(const Statement &statement);
  base::Result<void> SetPartition(const Statement &statement);
  base::Result<void> PostStatement(const Statement &statement);
  base::Result<void> StartCommand(const Statement &statement);
  base::Result<ExitStatus> FinishCommand(const std::string &id);
  base::Result<void> FinishCommands(const Statement &statement);
  base::Result<void> Expect(const Statement &statement);
  base::Result<void> ExpectOnce(const Statement &statement);
  base::Result<void> ExpectLoad(const Statement &statement);
  base::Result<void> ExpectMetric(const Statement &statement);
  base::Result<void> ExpectAnswer(const Statement &statement);
  base::Result<void> ExpectJson(const Statement &statement,
                                const std::string &text,
                                const std::string &path);
  base::Result<void> ExpectExit(const Statement &statement);
  base::Result<void> ExpectText(const Statement &statement,
                                const std::string &text);
  base::Result<void> ExpectProcess(const Statement &statement);
  base::Result<void> Check(const Statement &statement);
  base::Result<void> CheckAllOrders(const Statement &statement);
  base::Result<void> RecordEnds();

  base::Result<std::string> Substitute(const std::string &text,
                                       const std::string &self);
  base::Result<std::string> ResolveVariable(const std::string &name,
                                            const std::string &self);
  std::string GetAddress(const std::string &part, const std::string &word);
  std::string MakeSettings(const PartDeclaration &part);
  base::Result<boost::json::object> ReadReport(const std::string &id);
  base::Result<std::vector<PartRecord>> ReadRecords(
      const std::vector<std::string> &names);
  base::Result<net::HttpResponse> Fetch(const std::string &method,
                                        const std::string &address,
                                        const std::string &path,
                                        const std::string &body);
  base::Result<void> PostChecked(const std::string &address,
                                 const std::string &path,
                                 const std::string &body);
  std::string GetPath(const std::string &file) const;
  bool IsPart(const std::string &name) const { return m_parts.contains(name); }

  Scenario m_scenario;
  RunnerOptions m_options;
  RunAddresses m_addresses;
  std::map<std::string, Part> m_parts;
  std::map<std::string, Command> m_commands;
  std::map<std::string, std::int64_t> m_marks;  ///< wall clock, microseconds
  base::TimePoint m_deadline;
};

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_RUNNER_BASE_H_
