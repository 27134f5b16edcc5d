/** @file disk_worker.h Thread for file operations that block. */

#ifndef WASABIWIND_CONTROL_DISK_WORKER_H_
#define WASABIWIND_CONTROL_DISK_WORKER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/error_type.h"

namespace wasabiwind::control {

/** Runs blocking operations of a fiber thread on another thread, one by one. */
class DiskWorker {
 public:
  DiskWorker();
  ~DiskWorker();
  DiskWorker(const DiskWorker &) = delete;
  DiskWorker &operator=(const DiskWorker &) = delete;

  /**
   * Runs an operation on the worker's thread and suspends the calling fiber
   * until it has returned. Called by one fiber at a time.
   */
  base::Result<void> Run(const std::function<base::Result<void>()> &operation);

 private:
  void WorkUntilStopped();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::function<void()> m_task;  ///< empty: nothing to do
  bool m_is_stopped = false;
  std::thread m_thread;  ///< last, so that it starts after the rest
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_DISK_WORKER_H_
