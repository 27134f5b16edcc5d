/** @file fleet_control_publisher_test.cpp Messages of a fact publisher. */

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <vector>

#include "fleet_control/publisher.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::fleet_control {
namespace {

using std::chrono::milliseconds;

gen::Fact MakeFact(const std::string &id) {
  gen::Fact fact;
  fact.mutable_upstream()->set_id(id);
  return fact;
}

struct PublisherHarness {
  PublisherHarness()
      : m_publisher(
            [this](const std::string &to, const gen::FleetMessage &message) {
              m_sent.emplace_back(to, message.news());
            },
            [] { return FactUpdateHeader{}; },
            [this]() -> const gen::StoredRouteTable & { return m_state; }) {}

  gen::FollowRequest MakeRequest(std::uint64_t acked) const {
    gen::FollowRequest request;
    request.mutable_entry()->set_name("entry-1");
    request.set_publisher_epoch(m_publisher.GetLog().m_epoch);
    request.set_acked_number(acked);
    return request;
  }

  gen::StoredRouteTable m_state;
  std::vector<std::pair<std::string, gen::FactUpdate>> m_sent;
  Publisher m_publisher;
};

// Guards against answers to acknowledgements. They doubled the messages to
// every entry host for each change; with 67 entry hosts the leader fell seconds
// behind. (Seen in CONFIG and LIMIT on spillsack-core-grown.)
TEST(PublisherTest, AcknowledgementIsNotAnswered) {
  PublisherHarness harness;
  base::TimePoint now = base::Clock::now();
  harness.m_publisher.Put(MakeFact("i-1"));
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0), now);
  ASSERT_EQ(harness.m_sent.size(), 1u);
  EXPECT_EQ(harness.m_sent[0].second.facts_size(), 1);
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(1),
                                   now + milliseconds(10));
  EXPECT_EQ(harness.m_sent.size(), 1u);
  // A request on the follower's timer is answered, so that the follower knows
  // that the publisher is alive.
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(1),
                                   now + milliseconds(500));
  EXPECT_EQ(harness.m_sent.size(), 2u);
}

TEST(PublisherTest, FollowerOfAnEarlierEpochGetsAllFacts) {
  PublisherHarness harness;
  harness.m_publisher.Put(MakeFact("i-1"));
  gen::FollowRequest request = harness.MakeRequest(7);
  request.set_publisher_epoch(12345);
  harness.m_publisher.HandleFollow("e1", request, base::Clock::now());
  ASSERT_EQ(harness.m_sent.size(), 1u);
  EXPECT_EQ(harness.m_sent[0].second.facts_size(), 1);
}

// Guards against pushes that resend all unacknowledged facts. With 1,002
// upstreams and 100 entry hosts that exhausted the CPU and memory of control
// hosts. (Seen in a sweep of hutchworks-live-grown.)
TEST(PublisherTest, UnacknowledgedFactsAreResentOnlyAfterTheDelay) {
  PublisherHarness harness;
  base::TimePoint now = base::Clock::now();
  harness.m_publisher.Put(MakeFact("i-1"));
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0), now);
  harness.m_publisher.Put(MakeFact("i-2"));
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(20));
  ASSERT_EQ(harness.m_sent.size(), 2u);
  EXPECT_EQ(harness.m_sent[1].second.first_number(), 1u);
  EXPECT_EQ(harness.m_sent[1].second.facts_size(), 1);
  // Without acknowledgement, both are resent after the resend delay.
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(300));
  ASSERT_EQ(harness.m_sent.size(), 3u);
  EXPECT_EQ(harness.m_sent[2].second.facts_size(), 2);
  // The next resend follows after twice the delay.
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(600));
  EXPECT_EQ(harness.m_sent.size(), 3u);
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(850));
  ASSERT_EQ(harness.m_sent.size(), 4u);
  EXPECT_EQ(harness.m_sent[3].second.facts_size(), 2);
}

// Guards against one message to every follower for each change of a burst.
TEST(PublisherTest, ChangesInQuickSuccessionAreBatched) {
  net::RunFiberThread([] {
    PublisherHarness harness;
    constexpr int kFollowers = 40;
    base::TimePoint now = base::Clock::now();
    for (int i = 0; i < kFollowers; ++i) {
      harness.m_publisher.HandleFollow("e" + std::to_string(i),
                                       harness.MakeRequest(0), now);
    }
    harness.m_sent.clear();
    boost::fibers::fiber run([&] { harness.m_publisher.Run(); });
    for (int change = 0; change < 10; ++change) {
      harness.m_publisher.Put(MakeFact("i-" + std::to_string(change)));
      net::SleepFor(milliseconds(1));
    }
    net::SleepFor(milliseconds(100));
    harness.m_publisher.Stop();
    run.join();
    std::size_t received_number = 0;
    for (const auto &[to, update] : harness.m_sent) {
      if (to == "e0") received_number = update.last_number();
    }
    EXPECT_EQ(received_number, 10u);
    EXPECT_LE(harness.m_sent.size(), 4u * kFollowers);
  });
}

}  // namespace
}  // namespace wasabiwind::fleet_control
