/** @file signal_watch.cpp Signals that stop a program or ask for a reload. */

#include "net/signal_watch.h"

#include <csignal>
#include <mutex>
#include <utility>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {

using base::LogEvent;
using base::LogLevel;

void IgnoreReloadSignal() { std::signal(SIGHUP, SIG_IGN); }

SignalWatch::SignalWatch(std::function<void()> on_reload)
    : m_signals(CurrentIoContext(), SIGTERM, SIGINT, SIGHUP),
      m_on_reload(std::move(on_reload)),
      m_fiber([this] { Run(); }) {}

SignalWatch::~SignalWatch() {
  m_is_ending = true;
  boost::system::error_code ignored;
  m_signals.cancel(ignored);
  m_fiber.join();
  // Restores the default actions, by which a SIGHUP would end the process.
  m_signals.clear(ignored);
  IgnoreReloadSignal();
}

void SignalWatch::Run() {
  while (!m_is_ending) {
    int signal = 0;
    IoWaiter waiter;
    m_signals.async_wait(
        [&waiter, &signal](boost::system::error_code error, int number) {
          signal = number;
          waiter.Handler()(error);
        });
    // The only error is the cancellation by the destructor.
    if (waiter.Wait().m_error) return;
    Handle(signal);
  }
}

void SignalWatch::Handle(int signal) {
  if (signal == SIGHUP) {
    LogEvent(LogLevel::kInfo, "reload_requested");
    if (m_on_reload) m_on_reload();
    return;
  }
  if (m_is_stop_requested) {
    LogEvent(LogLevel::kInfo, "stop_signal_ignored", {{"signal", signal}});
  }
  RequestStop();
}

void SignalWatch::WaitForStop() {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_stop_requested.wait(lock, [this] { return m_is_stop_requested; });
}

void SignalWatch::RequestStop() {
  m_is_stop_requested = true;
  m_stop_requested.notify_all();
}

}  // namespace wasabiwind::net
