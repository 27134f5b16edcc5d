/** @file fiber_scheduler.cpp Scheduler that runs an io_context when idle. */

#include "net/fiber_scheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <cassert>

#include "net/deadline_socket.h"

namespace wasabiwind::net {

namespace {

using FiberContext = boost::fibers::context;

/** Ready fibers that may run between two polls of the io_context. */
constexpr int kMaxPicksBetweenPolls = 32;

thread_local boost::asio::io_context *g_io_context = nullptr;
thread_local DeadlineQueue *g_deadlines = nullptr;

/**
 * Round-robin scheduler. The io_context is run only from fibers: by the
 * dispatcher in suspend_until when nothing is ready, and by one poll fiber
 * that is picked after every kMaxPicksBetweenPolls other picks. It is never
 * run inside pick_next, where a handler could resume the fiber that is being
 * suspended.
 */
class IoScheduler : public boost::fibers::algo::algorithm {
 public:
  IoScheduler()
      : m_io_context(1),
        m_work(boost::asio::make_work_guard(m_io_context)),
        m_deadlines(&m_io_context) {
    g_io_context = &m_io_context;
    g_deadlines = &m_deadlines;
  }

  ~IoScheduler() override {
    g_io_context = nullptr;
    g_deadlines = nullptr;
  }

  void awakened(FiberContext *context) noexcept override {
    assert(!context->ready_is_linked());
    if (context->get_id() == m_poll_fiber_id) {
      m_poll_fiber = context;
      return;
    }
    context->ready_link(m_ready);
  }

  FiberContext *pick_next() noexcept override {
    if (m_ready.empty()) {
      m_picks = 0;
      return nullptr;
    }
    if (++m_picks > kMaxPicksBetweenPolls && m_poll_fiber != nullptr) {
      m_picks = 0;
      FiberContext *poll_fiber = m_poll_fiber;
      m_poll_fiber = nullptr;
      return poll_fiber;
    }
    FiberContext *context = &m_ready.front();
    m_ready.pop_front();
    return context;
  }

  bool has_ready_fibers() const noexcept override { return !m_ready.empty(); }

  void suspend_until(
      const std::chrono::steady_clock::time_point &until) noexcept override {
    if (until == std::chrono::steady_clock::time_point::max()) {
      m_io_context.run_one();
    } else {
      m_io_context.run_one_until(until);
    }
    m_io_context.poll();
  }

  void notify() noexcept override {
    boost::asio::post(m_io_context, [] {});
  }

  boost::asio::io_context &IoContext() { return m_io_context; }

  void SetPollFiber(boost::fibers::fiber::id id) { m_poll_fiber_id = id; }

  /** Puts the poll fiber into the ready queue so that it can end. */
  void ReleasePollFiber() {
    m_poll_fiber_id = boost::fibers::fiber::id();
    if (m_poll_fiber == nullptr) return;
    m_poll_fiber->ready_link(m_ready);
    m_poll_fiber = nullptr;
  }

 private:
  boost::asio::io_context m_io_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work;
  DeadlineQueue m_deadlines;
  boost::fibers::scheduler::ready_queue_type m_ready;
  boost::fibers::fiber::id m_poll_fiber_id;
  FiberContext *m_poll_fiber = nullptr;  ///< set while it isn't running
  int m_picks = 0;                       ///< picks since the last poll
};

}  // namespace

void RunFiberThread(const std::function<void()> &body) {
  assert(g_io_context == nullptr);
  boost::fibers::scheduler *fibers =
      boost::fibers::context::active()->get_scheduler();
  boost::intrusive_ptr<IoScheduler> scheduler(new IoScheduler());
  fibers->set_algo(scheduler);
  bool stopped = false;
  boost::fibers::fiber poll_fiber([&scheduler, &stopped] {
    while (!stopped) {
      scheduler->IoContext().poll();
      boost::this_fiber::yield();
    }
  });
  scheduler->SetPollFiber(poll_fiber.get_id());
  body();
  stopped = true;
  scheduler->ReleasePollFiber();
  poll_fiber.join();
  fibers->set_algo(new boost::fibers::algo::round_robin());
}

boost::asio::io_context &CurrentIoContext() {
  assert(g_io_context != nullptr);
  return *g_io_context;
}

DeadlineQueue &DeadlineQueue::Current() {
  assert(g_deadlines != nullptr);
  return *g_deadlines;
}

void ExpireAt(boost::asio::steady_timer *timer, base::TimePoint time) {
  constexpr base::Duration kLongest = std::chrono::hours(24);
  base::TimePoint now = base::Clock::now();
  timer->expires_after(time >= now + kLongest ? kLongest : time - now);
}

void SleepFor(base::Duration duration) {
  boost::this_fiber::sleep_for(duration);
}

IoResult IoWaiter::Wait() {
  while (!m_done) {
    m_fiber = FiberContext::active();
    m_fiber->suspend();
  }
  return m_result;
}

void IoWaiter::Complete(boost::system::error_code error, std::size_t size) {
  m_result = IoResult{error, size};
  m_done = true;
  if (m_fiber == nullptr) return;
  FiberContext *fiber = m_fiber;
  m_fiber = nullptr;
  FiberContext::active()->schedule(fiber);
}

}  // namespace wasabiwind::net
