/** @file fiber_scheduler.h Runs fibers and Asio operations on one thread. */

#ifndef WASABIWIND_NET_FIBER_SCHEDULER_H_
#define WASABIWIND_NET_FIBER_SCHEDULER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <cstddef>
#include <functional>

#include "base/time_type.h"

namespace wasabiwind::net {

/**
 * Runs a function as the main fiber of the calling thread, with an io_context
 * that runs while no fiber is ready. The thread sleeps when it has neither
 * ready fibers nor completed operations. Returns when the function has ended.
 * @param body runs in the main fiber; it starts further fibers with
 *        boost::fibers::fiber
 * @pre the calling thread isn't inside RunFiberThread
 * @pre the body joins all fibers that it starts and destroys all I/O objects
 */
void RunFiberThread(const std::function<void()> &body);

/**
 * @return the io_context of the calling thread
 * @pre called inside RunFiberThread
 */
boost::asio::io_context &CurrentIoContext();

/** Suspends the calling fiber. @pre called inside RunFiberThread */
void SleepFor(base::Duration duration);

/**
 * Sets a timer to a time of base::Clock, which Asio's timers don't use. Times
 * more than a day ahead are limited to one day.
 */
void ExpireAt(boost::asio::steady_timer *timer, base::TimePoint time);

/** Outcome of one Asio operation. */
struct IoResult {
  boost::system::error_code m_error;
  std::size_t m_size = 0;  ///< bytes transferred; 0 if not applicable
};

/**
 * Lets one fiber wait for one Asio operation of its own thread:
 *
 *     IoWaiter waiter;
 *     socket.async_read_some(buffer, waiter.Handler());
 *     IoResult result = waiter.Wait();
 *
 * The waiter must outlive the operation, so Wait must be called before the
 * waiter is destroyed. Not thread-safe: fiber, operation and waiter belong to
 * one thread.
 */
class IoWaiter {
 public:
  IoWaiter() = default;
  IoWaiter(const IoWaiter &) = delete;
  IoWaiter &operator=(const IoWaiter &) = delete;

  /** Completion handler of the signatures (error) and (error, size). */
  struct CompletionHandler {
    IoWaiter *m_waiter;
    void operator()(boost::system::error_code error,
                    std::size_t size = 0) const {
      m_waiter->Complete(error, size);
    }
  };

  CompletionHandler Handler() { return CompletionHandler{this}; }

  /** Suspends the fiber until the operation has completed. */
  IoResult Wait();

 private:
  void Complete(boost::system::error_code error, std::size_t size);

  IoResult m_result;
  bool m_done = false;
  boost::fibers::context *m_fiber = nullptr;  ///< fiber inside Wait
};

/**
 * Starts an operation and waits for it.
 * @param initiate called with a completion handler that it passes on to one
 *        Asio operation
 */
template <typename Initiate>
IoResult Await(Initiate initiate) {
  IoWaiter waiter;
  initiate(waiter.Handler());
  return waiter.Wait();
}

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_FIBER_SCHEDULER_H_
