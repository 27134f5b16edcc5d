/** @file net_signal_test.cpp Signals that stop a program or ask for a reload.
 */

#include <gtest/gtest.h>

#include <csignal>

#include "net/fiber_scheduler.h"
#include "net/signal_watch.h"

namespace wasabiwind::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDelivery{50};

void Raise(int signal) {
  std::raise(signal);
  SleepFor(kDelivery);
}

// A SIGHUP reloads the settings before and after the stop signal, and does no
// harm while no watch exists.
TEST(SignalWatchTest, ReloadsUntilItsEnd) {
  int reloads = 0;
  IgnoreReloadSignal();
  RunFiberThread([&reloads] {
    Raise(SIGHUP);
    {
      SignalWatch signals([&reloads] { ++reloads; });
      SleepFor(kDelivery);
      Raise(SIGHUP);
      EXPECT_EQ(reloads, 1);
      Raise(SIGTERM);
      signals.WaitForStop();
      Raise(SIGHUP);
      EXPECT_EQ(reloads, 2);
    }
    Raise(SIGHUP);
  });
  EXPECT_EQ(reloads, 2);
}

TEST(SignalWatchTest, FurtherStopSignalsHaveNoEffect) {
  RunFiberThread([] {
    SignalWatch signals;
    Raise(SIGINT);
    signals.WaitForStop();
    Raise(SIGTERM);
    Raise(SIGINT);
    signals.WaitForStop();
  });
}

// Programs that fail while they serve end as after a signal.
TEST(SignalWatchTest, ProgramMayRequestItsStop) {
  RunFiberThread([] {
    SignalWatch signals;
    boost::fibers::fiber failing([&signals] { signals.RequestStop(); });
    signals.WaitForStop();
    failing.join();
  });
}

// A program that ends at once must not wait for a signal.
TEST(SignalWatchTest, EndsWithoutASignal) {
  RunFiberThread([] { SignalWatch signals; });
}

}  // namespace
}  // namespace wasabiwind::net
