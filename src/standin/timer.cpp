/** @file timer.cpp Sleep with a resolution below a millisecond. */

#include <boost/asio/steady_timer.hpp>

#include "net/fiber_scheduler.h"
#include "standin/timer_func.h"

namespace wasabiwind::standin {

void SleepUntil(base::TimePoint time) {
  if (time <= base::Clock::now()) return;
  boost::asio::steady_timer timer(net::CurrentIoContext());
  net::ExpireAt(&timer, time);
  net::Await([&timer](auto handler) { timer.async_wait(handler); });
}

}  // namespace wasabiwind::standin
