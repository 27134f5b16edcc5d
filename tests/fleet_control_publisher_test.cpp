/** @file fleet_control_publisher_test.cpp Messages of a publisher of facts. */

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

struct Harness {
  Harness()
      : m_publisher(
            [this](const std::string &to, const gen::FleetMessage &message) {
              m_sent.emplace_back(to, message.news());
            },
            [] { return NewsHeader{}; },
            [this]() -> const gen::RouteTable & { return m_table; }) {}

  gen::FollowRequest MakeRequest(std::uint64_t acked) const {
    gen::FollowRequest request;
    request.mutable_entry()->set_name("entry-1");
    request.set_publisher_epoch(m_publisher.GetLog().m_epoch);
    request.set_acked_number(acked);
    return request;
  }

  gen::RouteTable m_table;
  std::vector<std::pair<std::string, gen::FactUpdate>> m_sent;
  Publisher m_publisher;
};

// Each change cost two messages to every entry host, because acknowledgements
// were answered; with 67 of them the leader fell seconds behind. (CONFIG and
// LIMIT on spillsack-core-grown.)
TEST(PublisherTest, AcknowledgementIsNotAnswered) {
  Harness harness;
  base::TimePoint now = base::Clock::now();
  harness.m_publisher.Put(MakeFact("i-1"));
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0), now);
  ASSERT_EQ(harness.m_sent.size(), 1u);
  EXPECT_EQ(harness.m_sent[0].second.facts_size(), 1);
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(1),
                                   now + milliseconds(10));
  EXPECT_EQ(harness.m_sent.size(), 1u);
  // A request on the follower's timer is answered, so that it knows that the
  // publisher is there.
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(1),
                                   now + milliseconds(500));
  EXPECT_EQ(harness.m_sent.size(), 2u);
}

TEST(PublisherTest, FollowerOfAnEarlierStartGetsEverything) {
  Harness harness;
  harness.m_publisher.Put(MakeFact("i-1"));
  gen::FollowRequest request = harness.MakeRequest(7);
  request.set_publisher_epoch(12345);
  harness.m_publisher.HandleFollow("e1", request, base::Clock::now());
  ASSERT_EQ(harness.m_sent.size(), 1u);
  EXPECT_EQ(harness.m_sent[0].second.facts_size(), 1);
}

// Every push repeated all facts that weren't acknowledged yet. With 1,002
// upstreams and 100 entry hosts that filled control hosts' processor and
// memory. (Sweep of hutchworks-live-grown.)
TEST(PublisherTest, FactsOnTheirWayAreNotRepeatedBeforeTheirTime) {
  Harness harness;
  base::TimePoint now = base::Clock::now();
  harness.m_publisher.Put(MakeFact("i-1"));
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0), now);
  harness.m_publisher.Put(MakeFact("i-2"));
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(20));
  ASSERT_EQ(harness.m_sent.size(), 2u);
  EXPECT_EQ(harness.m_sent[1].second.first_number(), 1u);
  EXPECT_EQ(harness.m_sent[1].second.facts_size(), 1);
  // Without acknowledgement, both are sent again.
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(300));
  ASSERT_EQ(harness.m_sent.size(), 3u);
  EXPECT_EQ(harness.m_sent[2].second.facts_size(), 2);
  // And again after twice the time.
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(600));
  EXPECT_EQ(harness.m_sent.size(), 3u);
  harness.m_publisher.HandleFollow("e1", harness.MakeRequest(0),
                                   now + milliseconds(850));
  ASSERT_EQ(harness.m_sent.size(), 4u);
  EXPECT_EQ(harness.m_sent[3].second.facts_size(), 2);
}

// A burst of changes was one message each to every follower.
TEST(PublisherTest, ChangesOfOneMomentTravelTogether) {
  net::RunFiberThread([] {
    Harness harness;
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
    std::size_t facts_at_one = 0;
    for (const auto &[to, news] : harness.m_sent) {
      if (to == "e0") facts_at_one = news.last_number();
    }
    EXPECT_EQ(facts_at_one, 10u);
    EXPECT_LE(harness.m_sent.size(), 4u * kFollowers);
  });
}

}  // namespace
}  // namespace wasabiwind::fleet_control
