/** @file link_test.cpp Control's member service and nodes, over real sockets.
 */

#include <envelope.pb.h>
#include <gtest/gtest.h>

#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <thread>

#include "base/log_func.h"
#include "config/state_func.h"
#include "control/member_service.h"
#include "entry/network_link.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"

namespace wasabiwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A control host without a replicated log. It is always the leader and accepts
 * the changes that the test passes in. */
class FakeControl {
 public:
  explicit FakeControl(member::MemberOptions options)
      : m_transport({.m_listen = net::Endpoint{"127.0.0.1", 0}}),
        m_service(options, MakeHooks()) {
    EXPECT_TRUE(m_transport.Listen());
    m_thread = std::thread([this] { net::RunFiberThread([this] { Run(); }); });
  }

  ~FakeControl() {
    m_stopped = true;
    m_transport.Stop();
    m_thread.join();
  }

  net::Endpoint Address() const { return m_transport.LocalEndpoint(); }

  /** Accepts a model at the next tick of the control thread. */
  void Accept(const std::string &model) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_pending_models.push_back(model);
  }

  std::atomic<bool> m_has_quorum = true;  ///< a quorum confirms the leader
  std::atomic<std::uint64_t> m_in_force = 0;
  std::atomic<std::uint64_t> m_nodes = 0;

 private:
  control::MemberServiceHooks MakeHooks() {
    control::MemberServiceHooks hooks;
    hooks.m_send = [this](const std::string &to,
                          const gen::MemberMessage &message) {
      gen::Envelope envelope;
      envelope.set_version(1);
      envelope.set_from(m_transport.LocalEndpoint().ToString());
      *envelope.mutable_member() = message;
      m_transport.Send(*net::ParseEndpoint(to), envelope.SerializeAsString());
    };
    hooks.m_get_leadership = [this] {
      control::Leadership leadership;
      leadership.m_is_leader = true;
      leadership.m_term = 1;
      if (m_has_quorum) m_confirmed = base::Clock::now();
      leadership.m_confirmed_at = m_confirmed;
      return leadership;
    };
    hooks.m_serialize_declarations = [this] {
      return m_declarations.SerializeAsString();
    };
    return hooks;
  }

  void Run() {
    boost::fibers::fiber timer([this] {
      while (!m_stopped) {
        AcceptPendingModels();
        m_service.Tick(base::Clock::now());
        m_in_force = m_service.GetInForceRevision(base::Clock::now());
        m_nodes = m_service.GetParent().m_children.m_children.size();
        net::SleepFor(milliseconds(10));
      }
    });
    m_transport.Run([this](const std::string &bytes) {
      gen::Envelope envelope;
      ASSERT_TRUE(envelope.ParseFromString(bytes));
      m_service.HandleMessage(envelope.from(), envelope.member(),
                              base::Clock::now());
    });
    timer.join();
  }

  void AcceptPendingModels() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::string &model : m_pending_models) {
      gen::ConfigDelta delta;
      delta.set_revision(++m_revision);
      delta.add_changes()->mutable_model()->set_name(model);
      config::ApplyDelta(delta, &m_declarations);
      m_service.OnCommitted(delta, base::Clock::now());
    }
    m_pending_models.clear();
  }

  net::MessageTransport m_transport;
  control::MemberService m_service;
  base::TimePoint m_confirmed;
  gen::Declarations m_declarations;
  std::uint64_t m_revision = 0;
  std::mutex m_mutex;
  std::vector<std::string> m_pending_models;  ///< guarded by m_mutex
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

/** One node and the thread of its link. */
class TestNode {
 public:
  TestNode(const std::string &name, const net::Endpoint &control,
           const member::MemberOptions &options)
      : m_link(MakeOptions(name, control, options), MakeEvents()) {
    EXPECT_TRUE(m_link.Listen());
    m_thread =
        std::thread([this] { net::RunFiberThread([this] { m_link.Run(); }); });
  }

  ~TestNode() {
    m_link.Stop();
    m_thread.join();
  }

  std::uint64_t Revision() const {
    config::CatalogPtr catalog = m_link.GetCatalog();
    return catalog == nullptr ? 0 : catalog->m_revision.Value();
  }

  std::atomic<int> m_leaving_seen = 0;
  std::atomic<int> m_upstreams_seen = 0;
  entry::NetworkLink m_link;

 private:
  static entry::NetworkLinkOptions MakeOptions(
      const std::string &name, const net::Endpoint &control,
      const member::MemberOptions &options) {
    entry::NetworkLinkOptions link;
    link.m_listen = net::Endpoint{"127.0.0.1", 0};
    link.m_control_endpoints = {control};
    link.m_member = options;
    link.m_node.set_node(name);
    link.m_node.set_incarnation(1);
    link.m_node.set_region("r");
    link.m_node.set_domain("d");
    link.m_node.set_caller_address("127.0.0.1:1");
    return link;
  }

  entry::ControlLinkEvents MakeEvents() {
    entry::ControlLinkEvents events;
    events.m_on_upstream = [this](const gen::UpstreamRecord &record) {
      ++m_upstreams_seen;
      if (record.state() == gen::UPSTREAM_LEAVING) ++m_leaving_seen;
    };
    return events;
  }

  std::thread m_thread;
};

template <typename Condition>
bool WaitFor(Condition condition, milliseconds limit = seconds(10)) {
  base::TimePoint end = base::Clock::now() + limit;
  while (base::Clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return condition();
}

/** Guards against changes that reach nodes only at their next regular
 * confirmation. */
TEST(LinkTest, ChangeIsInForceAtAllNodes) {
  member::MemberOptions options;
  FakeControl control(options);
  std::vector<std::unique_ptr<TestNode>> nodes;
  for (int i = 0; i < 9; ++i) {
    nodes.push_back(std::make_unique<TestNode>("n" + std::to_string(i),
                                               control.Address(), options));
  }
  ASSERT_TRUE(WaitFor([&] { return control.m_nodes == 9; }));
  for (int round = 1; round <= 20; ++round) {
    base::TimePoint begin = base::Clock::now();
    control.Accept("m" + std::to_string(round));
    std::uint64_t wanted = static_cast<std::uint64_t>(round);
    ASSERT_TRUE(WaitFor([&] {
      for (auto &node : nodes) {
        if (node->Revision() < wanted) return false;
      }
      return true;
    }));
    auto took = base::Clock::now() - begin;
    RecordProperty("in_force_us_" + std::to_string(round),
                   std::to_string(took / std::chrono::microseconds(1)));
  }
  for (auto &node : nodes) {
    EXPECT_TRUE(node->m_link.IsFresh(base::Clock::now()));
  }
}

/** Guards against relays that don't pass on the configuration. */
TEST(LinkTest, NodesBehindRelaysGetTheConfiguration) {
  member::MemberOptions options;
  options.m_max_direct_nodes = 3;
  FakeControl control(options);
  std::vector<std::unique_ptr<TestNode>> nodes;
  for (int i = 0; i < 8; ++i) {
    nodes.push_back(std::make_unique<TestNode>("n" + std::to_string(i),
                                               control.Address(), options));
  }
  ASSERT_TRUE(
      WaitFor([&] { return control.m_nodes == options.m_relays_per_domain; },
              seconds(20)));
  control.Accept("model");
  EXPECT_TRUE(WaitFor([&] {
    for (auto &node : nodes) {
      if (node->Revision() != 1) return false;
    }
    return true;
  }));
  EXPECT_TRUE(WaitFor([&] { return control.m_in_force == 1; }));
  EXPECT_TRUE(WaitFor([&] { return nodes[7]->m_link.GetNodes().size() == 8; }));
}

/** Guards against a node that admits requests without a current confirmation.
 */
TEST(LinkTest, NodeStopsAdmittingWhenControlLosesItsQuorum) {
  member::MemberOptions options;
  options.m_lease = milliseconds(800);
  options.m_confirm_period = milliseconds(100);
  FakeControl control(options);
  TestNode node("n", control.Address(), options);
  control.Accept("model");
  ASSERT_TRUE(WaitFor([&] { return node.m_link.IsFresh(base::Clock::now()); }));
  control.m_has_quorum = false;
  EXPECT_TRUE(
      WaitFor([&] { return !node.m_link.IsFresh(base::Clock::now()); }));
  control.m_has_quorum = true;
  EXPECT_TRUE(WaitFor([&] { return node.m_link.IsFresh(base::Clock::now()); }));
}

/** Guards against a confirmation that takes in more reports than a message can
 * carry: it ended the node, or would never arrive, so that the node refuses
 * all requests as soon as its lease has passed. */
TEST(LinkTest, NodeWithManyLongReportsStaysFresh) {
  constexpr int kUpstreams = 12;
  constexpr std::size_t kRecordBytes = 200'000;
  member::MemberOptions options;
  options.m_lease = milliseconds(800);
  options.m_confirm_period = milliseconds(100);
  FakeControl control(options);
  TestNode observer("observer", control.Address(), options);
  TestNode other("other", control.Address(), options);
  ASSERT_TRUE(
      WaitFor([&] { return observer.m_link.IsFresh(base::Clock::now()); }));
  for (int i = 0; i < kUpstreams; ++i) {
    gen::UpstreamRecord record;
    record.set_upstream("runner-" + std::to_string(i));
    record.set_incarnation(1);
    record.set_sequence(1);
    record.add_loaded()->set_target(std::string(kRecordBytes, 't'));
    observer.m_link.ReportUpstream(record);
  }
  EXPECT_TRUE(WaitFor([&] { return other.m_upstreams_seen == kUpstreams; }));
  std::this_thread::sleep_for(options.m_lease);
  EXPECT_TRUE(observer.m_link.IsFresh(base::Clock::now()));
}

/** Guards against new requests to a leaving upstream: all nodes must be told
 * within 2 s, even while control is unreachable. */
TEST(LinkTest, LeavingUpstreamIsKnownEverywhere) {
  member::MemberOptions options;
  FakeControl control(options);
  TestNode observer("observer", control.Address(), options);
  TestNode other("other", control.Address(), options);
  gen::UpstreamRecord record;
  record.set_upstream("runner");
  record.set_incarnation(1);
  record.set_sequence(1);
  ASSERT_TRUE(WaitFor([&] {
    return observer.m_link.GetNodes().size() == 2 &&
           other.m_link.GetNodes().size() == 2;
  }));
  observer.m_link.ReportUpstream(record);
  ASSERT_TRUE(WaitFor([&] { return other.m_upstreams_seen >= 1; }));
  observer.m_link.SetPartition({control.Address().ToString()});
  record.set_sequence(2);
  record.set_state(gen::UPSTREAM_LEAVING);
  observer.m_link.ReportUpstream(record);
  EXPECT_TRUE(WaitFor([&] { return other.m_leaving_seen == 1; }, seconds(2)));
}

}  // namespace
}  // namespace wasabiwind
