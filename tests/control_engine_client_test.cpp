/** @file control_engine_client_test.cpp Orders to engines that answer wrongly.
 */

#include <gtest/gtest.h>

#include "control/engine_client.h"
#include "net/fiber_scheduler.h"
#include "raw_runner.h"

namespace wasabiwind::control {
namespace {

/** @return the outcome of an order whose engine answers with these bytes. */
placement::OrderOutcome SendOrderTo(const std::string &answer) {
  RawRunner engine(
      [&answer](int, const std::string &, const RawConnection &connection) {
        connection.Write(answer);
        return false;
      });
  placement::Order order;
  order.m_address = engine.Address();
  order.m_action = placement::OrderAction::kLoad;
  placement::OrderResult result;
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    result = SendOrder(&pool, order, base::Clock::now() + base::seconds(5));
  });
  return result.m_outcome;
}

// An order that was answered with status 000 counted as certainly not carried
// out, although the engine may do so.
TEST(EngineClientTest, OrderWithABrokenAnswerIsLost) {
  for (const char *head :
       {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n",
        "HTTP/1.1 202 Accepted\r\nX Name: 1\r\n",
        "HTTP/1.1 202 Accepted\r\nX-First: 1\r\n Content-Length: 9\r\n"}) {
    SCOPED_TRACE(head);
    EXPECT_EQ(SendOrderTo(std::string(head) + "\r\n{}"),
              placement::OrderOutcome::kLost);
  }
  EXPECT_EQ(SendOrderTo("HTTP/1.1 202 Accepted\r\n\r\n{}"),
            placement::OrderOutcome::kAccepted);
}

}  // namespace
}  // namespace wasabiwind::control
