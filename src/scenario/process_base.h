/** @file process_base.h Child processes of the scenario runner. */

#ifndef WASABIWIND_SCENARIO_PROCESS_BASE_H_
#define WASABIWIND_SCENARIO_PROCESS_BASE_H_

#include <sys/types.h>

#include <cstddef>
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

  /** @return text such as "code 1" or "signal 9". */
  std::string ToString() const;
};

/**
 * A child process. It is killed when this object is destroyed or the process
 * that started it ends. Not thread-safe.
 */
class ChildProcess {
 public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /**
   * Starts a program.
   * @param output file that stdout and stderr are appended to
   * @return kIo
   * @pre no child is running
   */
  base::Result<void> Start(const std::string &program,
                           const std::vector<std::string> &arguments,
                           const std::string &output);

  /** @return the process ID, -1 before the first start. */
  pid_t GetId() const { return m_pid; }

  /** @return the most resident memory that the child has used, bytes; 0 if it
   * has ended. */
  std::size_t ReadPeakResidentBytes() const;

  /** Sends a signal if the child is running. */
  void Signal(int signal);

  /** @return the status if the child has ended. Doesn't block. */
  std::optional<ExitStatus> Poll();

  /** Waits for the end. @return nullopt if still running at the deadline */
  std::optional<ExitStatus> WaitUntil(base::TimePoint deadline);

  /** @return whether the child exists; it may be stopped by SIGSTOP. */
  bool IsRunning();

 private:
  pid_t m_pid = -1;
  std::optional<ExitStatus> m_status;
};

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_PROCESS_BASE_H_
