/** @file net_datagram_test.cpp UDP datagrams between nodes. */

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "base/time_type.h"
#include "net/datagram_socket.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {
namespace {

TEST(DatagramTest, DeliversToThePeerAndRepliesToTheSender) {
  RunFiberThread([] {
    DatagramSocket first;
    DatagramSocket second;
    ASSERT_TRUE(first.Listen({"127.0.0.1", 0}));
    ASSERT_TRUE(second.Listen({"127.0.0.1", 0}));
    std::string response;
    boost::fibers::fiber echo([&second] {
      second.Run([&second](const Endpoint &from, const std::string &message) {
        second.Send(from, "re: " + message);
        second.Stop();
      });
    });
    boost::fibers::fiber reader([&first, &response] {
      first.Run([&](const Endpoint &, const std::string &message) {
        response = message;
        first.Stop();
      });
    });
    EXPECT_TRUE(first.Send({"127.0.0.1", second.Port()}, "hello"));
    echo.join();
    reader.join();
    EXPECT_EQ(response, "re: hello");
  });
}

/** Guards against a receiver that ends or loops after a send to a peer that
 * doesn't listen. */
TEST(DatagramTest, ReceivesAfterSendingToAMissingPeer) {
  RunFiberThread([] {
    DatagramSocket socket;
    ASSERT_TRUE(socket.Listen({"127.0.0.1", 0}));
    std::uint16_t gone = 0;
    {
      DatagramSocket other;
      ASSERT_TRUE(other.Listen({"127.0.0.1", 0}));
      gone = other.Port();
    }
    int received = 0;
    boost::fibers::fiber reader([&] {
      socket.Run([&](const Endpoint &, const std::string &) { ++received; });
    });
    (void)socket.Send({"127.0.0.1", gone}, "lost");
    SleepFor(base::milliseconds(20));
    EXPECT_TRUE(socket.Send({"127.0.0.1", socket.Port()}, "own"));
    SleepFor(base::milliseconds(20));
    socket.Stop();
    reader.join();
    EXPECT_EQ(received, 1);
  });
}

TEST(DatagramTest, DropsMessagesThatAreTooLong) {
  RunFiberThread([] {
    DatagramSocket socket;
    ASSERT_TRUE(socket.Listen({"127.0.0.1", 0}));
    std::string too_long(DatagramSocket::kMaxBytes + 1, 'x');
    EXPECT_FALSE(socket.Send({"127.0.0.1", socket.Port()}, too_long));
  });
}

}  // namespace
}  // namespace wasabiwind::net
