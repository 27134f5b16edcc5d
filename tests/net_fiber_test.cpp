/** @file net_fiber_test.cpp Scheduler that runs fibers and Asio. */

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>
#include <vector>

#include "net/fiber_scheduler.h"

namespace wasabiwind::net {
namespace {

using std::chrono::milliseconds;

double GetProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         1e-6 * static_cast<double>(usage.ru_utime.tv_usec +
                                    usage.ru_stime.tv_usec);
}

TEST(FiberSchedulerTest, ManyFibersWaitForTimers) {
  int completed = 0;
  RunFiberThread([&completed] {
    std::vector<boost::fibers::fiber> fibers;
    for (int i = 0; i < 200; ++i) {
      fibers.emplace_back([&completed, i] {
        boost::asio::steady_timer timer(CurrentIoContext(),
                                        milliseconds(i % 10));
        IoResult result =
            Await([&timer](auto handler) { timer.async_wait(handler); });
        EXPECT_FALSE(result.m_error);
        ++completed;
      });
    }
    for (auto &fiber : fibers) fiber.join();
  });
  EXPECT_EQ(completed, 200);
}

/** Guards against busy polling, which makes idle nodes use processor time. */
TEST(FiberSchedulerTest, IdleThreadUsesAlmostNoProcessorTime) {
  double used = 0.0;
  RunFiberThread([&used] {
    double before = GetProcessorSeconds();
    SleepFor(milliseconds(500));
    used = GetProcessorSeconds() - before;
  });
  EXPECT_LT(used, 0.05);
}

/** Guards against I/O that starves while some fiber is always ready. */
TEST(FiberSchedulerTest, BusyFibersDoNotStarveTimers) {
  bool fired = false;
  RunFiberThread([&fired] {
    boost::fibers::fiber busy([&fired] {
      auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
      while (!fired && std::chrono::steady_clock::now() < end) {
        boost::this_fiber::yield();
      }
    });
    boost::asio::steady_timer timer(CurrentIoContext(), milliseconds(5));
    Await([&timer](auto handler) { timer.async_wait(handler); });
    fired = true;
    busy.join();
  });
  EXPECT_TRUE(fired);
}

/** Guards against a lost wake-up when another thread notifies. */
TEST(FiberSchedulerTest, OtherThreadWakesFiber) {
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  int value = 0;
  std::thread waiter([&] {
    RunFiberThread([&] {
      for (int expected = 1; expected <= 200; ++expected) {
        std::unique_lock<boost::fibers::mutex> lock(mutex);
        changed.wait(lock, [&] { return value >= expected; });
      }
    });
  });
  RunFiberThread([&] {
    for (int i = 0; i < 200; ++i) {
      {
        std::unique_lock<boost::fibers::mutex> lock(mutex);
        ++value;
      }
      changed.notify_all();
      SleepFor(std::chrono::microseconds(200));
    }
  });
  waiter.join();
  EXPECT_EQ(value, 200);
}

TEST(FiberSchedulerTest, ThreadCanBeUsedAgain) {
  for (int i = 0; i < 3; ++i) {
    bool ran = false;
    RunFiberThread([&ran] {
      SleepFor(milliseconds(1));
      ran = true;
    });
    EXPECT_TRUE(ran);
  }
}

}  // namespace
}  // namespace wasabiwind::net
