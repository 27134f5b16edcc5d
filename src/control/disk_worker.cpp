/** @file disk_worker.cpp Thread for file operations that block. */

#include "control/disk_worker.h"

#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/promise.hpp>
#include <cassert>

namespace wasabiwind::control {

DiskWorker::DiskWorker() : m_thread([this] { WorkUntilStopped(); }) {}

DiskWorker::~DiskWorker() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_is_stopped = true;
  }
  m_changed.notify_one();
  m_thread.join();
}

void DiskWorker::WorkUntilStopped() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    m_changed.wait(lock, [this] { return m_is_stopped || m_task; });
    if (!m_task) return;
    std::function<void()> task = std::move(m_task);
    m_task = nullptr;
    lock.unlock();
    task();
    lock.lock();
  }
}

base::Result<void> DiskWorker::Run(
    const std::function<base::Result<void>()> &operation) {
  auto promise = std::make_shared<boost::fibers::promise<base::Result<void>>>();
  boost::fibers::future<base::Result<void>> done = promise->get_future();
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    assert(!m_task);
    m_task = [promise, &operation] { promise->set_value(operation()); };
  }
  m_changed.notify_one();
  return done.get();
}

}  // namespace wasabiwind::control
