/** @file net_message_test.cpp One-way messages between two transports. */

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>

#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"
#include "scenario/runner_base.h"

namespace wasabiwind::net {
namespace {

using std::chrono::milliseconds;

MessageTransportOptions AnyPort() {
  MessageTransportOptions options;
  options.m_listen = Endpoint{"127.0.0.1", 0};
  return options;
}

/** @return options with a port that no other process takes while it is closed:
 * it lies below the kernel's ephemeral range, and the address belongs to this
 * process alone. */
MessageTransportOptions ReservedPort() {
  constexpr std::uint16_t kPort = 18'200;
  MessageTransportOptions options;
  options.m_listen = Endpoint{
      scenario::MakeLoopbackHost(static_cast<std::uint32_t>(getpid())), kPort};
  return options;
}

/** Waits until a condition holds, for a limited time. */
template <typename Condition>
bool WaitFor(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    SleepFor(milliseconds(5));
  }
  return false;
}

/** Guards against unread messages: the descriptor is edge-triggered and becomes
 * readable once for many messages. */
TEST(MessageTransportTest, DeliversBurstsInOrder) {
  MessageTransport sender(AnyPort());
  MessageTransport receiver(AnyPort());
  ASSERT_TRUE(sender.Listen());
  ASSERT_TRUE(receiver.Listen());
  RunFiberThread([&] {
    std::vector<std::string> received;
    bool is_connected = false;
    boost::fibers::fiber running([&] {
      receiver.Run([&](std::string message) {
        is_connected = true;
        if (message != "hello") received.push_back(std::move(message));
      });
    });
    Endpoint peer = receiver.LocalEndpoint();
    ASSERT_TRUE(WaitFor([&] {
      sender.Send(peer, "hello");
      return is_connected;
    }));
    for (int burst = 0; burst < 20; ++burst) {
      for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(sender.Send(peer, std::to_string(burst * 50 + i)));
      }
      SleepFor(milliseconds(1));
    }
    EXPECT_TRUE(WaitFor([&] { return received.size() == 1000; }));
    for (std::size_t i = 0; i < received.size(); ++i) {
      EXPECT_EQ(received[i], std::to_string(i));
    }
    receiver.Stop();
    running.join();
  });
}

/** Guards against a first message that is lost because its connection isn't
 * established yet. */
TEST(MessageTransportTest, FirstMessageWaitsForTheConnection) {
  MessageTransport sender(AnyPort());
  MessageTransport receiver(AnyPort());
  ASSERT_TRUE(sender.Listen());
  ASSERT_TRUE(receiver.Listen());
  RunFiberThread([&] {
    std::vector<std::string> received;
    boost::fibers::fiber receiving([&] {
      receiver.Run([&](std::string m) { received.push_back(std::move(m)); });
    });
    boost::fibers::fiber sending([&] { sender.Run([](const auto &) {}); });
    SleepFor(milliseconds(10));
    EXPECT_TRUE(sender.Send(receiver.LocalEndpoint(), "first"));
    EXPECT_TRUE(sender.Send(receiver.LocalEndpoint(), "second"));
    EXPECT_TRUE(WaitFor([&] { return received.size() == 2; }));
    EXPECT_EQ(received, (std::vector<std::string>{"first", "second"}));
    sender.Stop();
    receiver.Stop();
    sending.join();
    receiving.join();
  });
}

/** Guards against old messages that reach a peer after its restart. */
TEST(MessageTransportTest, MessageToMissingPeerExpires) {
  Endpoint peer = ReservedPort().m_listen;
  MessageTransport sender(AnyPort());
  ASSERT_TRUE(sender.Listen());
  RunFiberThread([&] {
    boost::fibers::fiber sending([&] { sender.Run([](const auto &) {}); });
    SleepFor(milliseconds(10));
    sender.Send(peer, "stale");
    for (int i = 0; i < 100; ++i) sender.Send(peer, "overflow");
    EXPECT_FALSE(sender.Send(peer, "overflow"));
    SleepFor(milliseconds(700));
    MessageTransport late(ReservedPort());
    ASSERT_TRUE(late.Listen());
    std::vector<std::string> received;
    boost::fibers::fiber receiving([&] {
      late.Run([&](std::string m) { received.push_back(std::move(m)); });
    });
    EXPECT_TRUE(WaitFor([&] {
      sender.Send(peer, "fresh");
      return !received.empty();
    }));
    EXPECT_EQ(received.front(), "fresh");
    sender.Stop();
    late.Stop();
    sending.join();
    receiving.join();
  });
}

/** Guards against a recorder that can't be restarted on its port, because the
 * destructor returned while the listening socket was still open. */
TEST(MessageTransportTest, PortCanBeBoundAgainAtOnce) {
  constexpr int kRounds = 100;
  MessageTransport sender(AnyPort());
  ASSERT_TRUE(sender.Listen());
  int failures = 0;
  for (int round = 0; round < kRounds; ++round) {
    MessageTransport receiver(ReservedPort());
    failures += receiver.Listen() ? 0 : 1;
    sender.Send(ReservedPort().m_listen, "message");
  }
  EXPECT_EQ(failures, 0);
}

/** Guards against a message above the limit that ends the program: its length
 * may depend on what others sent. */
TEST(MessageTransportTest, TooLongMessageIsDroppedAlone) {
  constexpr std::size_t kMaxBytes = 1'000;
  MessageTransportOptions options = AnyPort();
  options.m_max_message_bytes = kMaxBytes;
  MessageTransport sender(options);
  MessageTransport receiver(options);
  ASSERT_TRUE(sender.Listen());
  ASSERT_TRUE(receiver.Listen());
  RunFiberThread([&] {
    std::vector<std::size_t> received;
    boost::fibers::fiber receiving([&] {
      receiver.Run([&](const std::string &m) { received.push_back(m.size()); });
    });
    boost::fibers::fiber sending([&] { sender.Run([](const auto &) {}); });
    SleepFor(milliseconds(10));
    Endpoint peer = receiver.LocalEndpoint();
    EXPECT_FALSE(sender.Send(peer, std::string(kMaxBytes + 1, 'x')));
    EXPECT_TRUE(sender.Send(peer, std::string(kMaxBytes, 'x')));
    EXPECT_FALSE(sender.Send(peer, std::string(kMaxBytes + 1, 'x')));
    EXPECT_TRUE(sender.Send(peer, "x"));
    EXPECT_TRUE(WaitFor([&] { return received.size() == 2; }));
    EXPECT_EQ(received, (std::vector<std::size_t>{kMaxBytes, 1}));
    sender.Stop();
    receiver.Stop();
    sending.join();
    receiving.join();
  });
}

TEST(MessageTransportTest, DropFilterDropsOneDirection) {
  MessageTransport sender(AnyPort());
  MessageTransport receiver(AnyPort());
  ASSERT_TRUE(sender.Listen());
  ASSERT_TRUE(receiver.Listen());
  RunFiberThread([&] {
    int received = 0;
    boost::fibers::fiber running(
        [&] { receiver.Run([&](const std::string &) { ++received; }); });
    Endpoint peer = receiver.LocalEndpoint();
    ASSERT_TRUE(WaitFor([&] {
      sender.Send(peer, "x");
      return received > 0;
    }));
    SleepFor(milliseconds(50));
    int before = received;
    receiver.SetDropFilter(
        [](MessageDirection direction, const Endpoint &, const std::string &) {
          return direction == MessageDirection::kReceive;
        });
    sender.Send(peer, "x");
    SleepFor(milliseconds(50));
    EXPECT_EQ(received, before);
    receiver.Stop();
    running.join();
  });
}

// A connection that falls silent before its handshake is complete has no
// heartbeats yet, and kept a host from all messages of its peer for 30 s.
TEST(MessageTransportTest, SilentHandshakeIsGivenUp) {
  int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  Endpoint peer = ReservedPort().m_listen;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(peer.m_port);
  ASSERT_EQ(::inet_pton(AF_INET, peer.m_address.c_str(), &address.sin_addr), 1);
  int reuse = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  ASSERT_EQ(
      ::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)),
      0);
  ASSERT_EQ(::listen(listener, 1), 0);

  MessageTransport sender(AnyPort());
  ASSERT_TRUE(sender.Listen());
  RunFiberThread([&] {
    sender.Send(peer, "hello");
    int silent = ::accept(listener, nullptr, nullptr);
    ASSERT_GE(silent, 0);
    ::close(listener);
    MessageTransport receiver(ReservedPort());
    ASSERT_TRUE(receiver.Listen());
    bool is_received = false;
    boost::fibers::fiber running([&] {
      receiver.Run([&](const std::string &) { is_received = true; });
    });
    EXPECT_TRUE(WaitFor([&] {
      sender.Send(peer, "hello");
      return is_received;
    }));
    receiver.Stop();
    running.join();
    ::close(silent);
  });
}

/** Guards against a message of another version that is parsed as this version.
 */
TEST(EnvelopeTest, OtherVersionsAndGarbageAreRejected) {
  gen::Envelope envelope = MakeEnvelope("10.0.0.1:7000", "n1");
  std::optional<gen::Envelope> read =
      ParseEnvelope(envelope.SerializeAsString());
  ASSERT_TRUE(read);
  EXPECT_EQ(read->from(), "10.0.0.1:7000");
  EXPECT_EQ(read->from_node(), "n1");
  envelope.set_version(envelope.version() + 1);
  EXPECT_FALSE(ParseEnvelope(envelope.SerializeAsString()));
  EXPECT_FALSE(ParseEnvelope("\xff\xff noise"));
}

}  // namespace
}  // namespace wasabiwind::net
