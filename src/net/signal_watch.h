/** @file signal_watch.h Signals that stop a program or ask for a reload. */

#ifndef WASABIWIND_NET_SIGNAL_WATCH_H_
#define WASABIWIND_NET_SIGNAL_WATCH_H_

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>

namespace wasabiwind::net {

/** Lets a SIGHUP have no effect while no SignalWatch exists. */
void IgnoreReloadSignal();

/**
 * Handles SIGTERM, SIGINT and SIGHUP for as long as it exists, so that none of
 * them ends the process. A program keeps it until its requests have ended:
 * signals also come while it drains. Not thread-safe: it belongs to one fiber
 * thread.
 */
class SignalWatch {
 public:
  /**
   * @param on_reload called in a fiber of its own after each SIGHUP, before and
   *        after the stop signal; may be empty
   * @pre inside RunFiberThread; one instance in a process
   */
  explicit SignalWatch(std::function<void()> on_reload = {});
  ~SignalWatch();
  SignalWatch(const SignalWatch &) = delete;
  SignalWatch &operator=(const SignalWatch &) = delete;

  /** Suspends the calling fiber until the first SIGTERM or SIGINT, or until
   * RequestStop. Returns at once after that. */
  void WaitForStop();

  /** Ends WaitForStop as a signal does. */
  void RequestStop();

 private:
  void Run();
  void Handle(int signal);

  boost::asio::signal_set m_signals;
  std::function<void()> m_on_reload;
  bool m_is_ending = false;
  bool m_is_stop_requested = false;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_stop_requested;
  boost::fibers::fiber m_fiber;
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_SIGNAL_WATCH_H_
