/** @file process_base.h Child processes of the scenario runner. */

#ifndef WASABIWIND_SCENARIO_PROCESS_BASE_H_
#define WASABIWIND_SCENARIO_PROCESS_BASE_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/error_type.h"
#include "base/time_type.h"

namespace wasabiwind::scenario {

/** How a process has ended. */
struct ExitStatus {
  int m_code = 0;    ///< exit code, if m_signal is 0
  int m_signal = 0;  ///< signal that ended it, or 0

  /** @return "code 1" or "signal 9". */
  std::string ToString() const;
};

/**
 * One child process. It is killed when this object, or the process that
 * started it, ends. Not thread-safe.
 */
class ChildProcess {
 public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /**
   * Starts a program.
   * @param output file that gets stdout and stderr at its end
   * @return kIo
   * @pre no child runs
   */
  base::Result<void> Start(const std::string &program,
                           const std::vector<std::string> &arguments,
                           const std::string &output);

  /** @return the process ID, -1 before the first start. */
  pid_t GetId() const { return m_pid; }

  /** Sends a signal if the child runs. */
  void Signal(int signal);

  /** @return the status if the child has ended. Doesn't wait. */
  std::optional<ExitStatus> Poll();

  /** @return the status, or nothing if the child runs at the deadline. */
  std::optional<ExitStatus> WaitUntil(base::TimePoint deadline);

  /** @return whether the child runs or is paused. */
  bool IsRunning();

 private:
  pid_t m_pid = -1;
  std::optional<ExitStatus> m_status;
};

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_PROCESS_BASE_H_
