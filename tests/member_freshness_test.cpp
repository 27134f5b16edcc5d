/** @file member_freshness_test.cpp Configuration leases under random faults.
 */

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "base/random_func.h"
#include "member/follower_func.h"
#include "member/parent_func.h"

namespace wasabiwind::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fault that is injected to show that the checks detect it. */
enum class Fault {
  kNone,
  kLeaseFromArrival,     ///< lease counted from the reply's arrival
  kIgnoreAge,            ///< the parent's age isn't counted
  kAnswerWithoutQuorum,  ///< a partitioned leader answers as if confirmed
};

struct Message {
  std::string m_from;
  std::string m_to;
  gen::MemberMessage m_body;
  base::TimePoint m_arrival;
};

/** A node process. Its clock has an offset from the other clocks. */
struct Node {
  Follower m_follower;
  base::Duration m_clock_offset;
  base::TimePoint m_paused_until;
  std::uint64_t m_highest_revision = 0;
};

/** Two control hosts, one of which leads, and nodes in one failure domain. */
class Explorer {
 public:
  Explorer(std::uint64_t seed, Fault fault, int node_count)
      : m_random{seed}, m_fault(fault) {
    m_options.m_max_direct_nodes = 3;
    m_options.m_relays_per_domain = 1;
    for (int i = 0; i < 2; ++i) {
      BeginMemberTerm(&m_controls[i].m_members, 1);
    }
    for (int i = 0; i < node_count; ++i) {
      std::string name = "node" + std::to_string(i);
      gen::NodeRecord record;
      record.set_node(name);
      record.set_incarnation(1);
      record.set_region("r");
      record.set_domain("d");
      record.set_message_address(name);
      Node &node = m_nodes[name];
      node.m_clock_offset = seconds(NextRandomBelow(&m_random, 100'000));
      InitializeFollower(&node.m_follower, record, {"control0", "control1"},
                         Local(node));
    }
  }

  /** Runs one schedule. @return the violated invariant, or "" */
  std::string Run(int steps, bool ends_quietly) {
    for (int step = 0; step < steps; ++step) {
      bool is_quiet = ends_quietly && step > steps * 2 / 3;
      m_now += milliseconds(20);
      if (!is_quiet) InjectFaults();
      if (is_quiet) Heal();
      bool is_settling = ends_quietly && step > steps * 5 / 6;
      if (!is_settling && NextRandomBelow(&m_random, 100) == 0) AcceptChange();
      DeliverDue(is_quiet);
      for (auto &[name, node] : m_nodes) TickNode(name, &node, is_quiet);
      TickLeader(&m_controls[m_leader], m_now, m_options);
      std::string broken = CheckInvariants();
      if (!broken.empty()) return broken;
    }
    return ends_quietly ? CheckConverged() : "";
  }

 private:
  base::TimePoint Local(const Node &node) const {
    return m_now + node.m_clock_offset;
  }

  /** Accepts a change at the current leader and notifies the nodes. */
  void AcceptChange() {
    gen::ConfigDelta delta;
    delta.set_revision(m_controls[m_leader].m_config.m_revision + 1);
    delta.add_changes()->mutable_model()->set_name(
        "m" + std::to_string(delta.revision()));
    for (int i = 0; i < 2; ++i) {
      // A partitioned host gets the log entries when the partition heals.
      if (i == m_leader || !m_is_old_leader_partitioned) {
        AppendConfigDelta(&m_controls[i].m_config, delta, m_options);
      }
    }
    m_log.push_back(delta);
    m_accepted[delta.revision()] = m_now;
    for (auto &[name, node] : m_nodes) {
      gen::MemberMessage notice;
      notice.mutable_notice()->set_revision(delta.revision());
      Send("control" + std::to_string(m_leader), name, notice, false);
    }
  }

  void InjectFaults() {
    if (NextRandomBelow(&m_random, 300) == 0) PartitionLeader();
    if (NextRandomBelow(&m_random, 200) == 0) Heal();
    if (NextRandomBelow(&m_random, 100) == 0) {
      m_partitioned_node =
          "node" + std::to_string(NextRandomBelow(&m_random, m_nodes.size()));
    }
    if (NextRandomBelow(&m_random, 100) == 0) {
      auto it = m_nodes.begin();
      std::advance(it, NextRandomBelow(&m_random, m_nodes.size()));
      it->second.m_paused_until =
          m_now + milliseconds(NextRandomBelow(&m_random, 6000));
    }
  }

  /** Partitions the leader from the quorum, but not from the nodes. */
  void PartitionLeader() {
    if (m_is_old_leader_partitioned) return;
    m_is_old_leader_partitioned = true;
    m_partitioned_at = m_now;
    m_leader = 1 - m_leader;
    BeginMemberTerm(&m_controls[m_leader].m_members, ++m_term);
  }

  void Heal() {
    m_partitioned_node.clear();
    m_is_old_leader_partitioned = false;
    Parent &other = m_controls[1 - m_leader];
    for (const gen::ConfigDelta &delta : m_log) {
      AppendConfigDelta(&other.m_config, delta, m_options);
    }
  }

  void Send(const std::string &from, const std::string &to,
            const gen::MemberMessage &body, bool is_quiet) {
    if (from == m_partitioned_node || to == m_partitioned_node) return;
    if (!is_quiet && NextRandomBelow(&m_random, 10) == 0) return;
    std::uint64_t delay_ms = NextRandomBelow(&m_random, 40);
    if (!is_quiet && NextRandomBelow(&m_random, 20) == 0) {
      delay_ms = NextRandomBelow(&m_random, 3000);
    }
    Message message{from, to, body, m_now + milliseconds(delay_ms)};
    m_messages.push_back(message);
    if (!is_quiet && NextRandomBelow(&m_random, 20) == 0) {
      m_messages.push_back(message);
    }
  }

  void DeliverDue(bool is_quiet) {
    std::vector<Message> due;
    std::vector<Message> rest;
    for (Message &message : m_messages) {
      (message.m_arrival <= m_now ? due : rest).push_back(std::move(message));
    }
    m_messages = std::move(rest);
    for (const Message &message : due) {
      if (message.m_to.substr(0, 7) == "control") {
        DeliverToControl(message, is_quiet);
      } else {
        DeliverToNode(message, is_quiet);
      }
    }
  }

  void DeliverToControl(const Message &message, bool is_quiet) {
    int host = message.m_to.back() - '0';
    gen::MemberMessage answer;
    if (message.m_body.has_confirm_request()) {
      bool is_leader = host == m_leader;
      // The old leader assumes that it leads until its election timeout, but
      // gets no quorum, so its age grows from the start of the partition.
      bool is_stale_leader = !is_leader && m_is_old_leader_partitioned &&
                             m_now - m_partitioned_at < seconds(2);
      if (!is_leader && !is_stale_leader) {
        answer.mutable_confirm_reply()->set_request_number(
            message.m_body.confirm_request().request_number());
        answer.mutable_confirm_reply()->set_is_redirect(true);
        answer.mutable_confirm_reply()->set_parent("control" +
                                                   std::to_string(m_leader));
      } else {
        auto age = milliseconds(0);
        if (is_stale_leader && m_fault != Fault::kAnswerWithoutQuorum) {
          age = std::chrono::ceil<milliseconds>(m_now - m_partitioned_at);
        }
        *answer.mutable_confirm_reply() =
            AnswerAsLeader(&m_controls[host], message.m_body.confirm_request(),
                           age, m_now, m_options)
                .m_reply;
      }
    } else if (message.m_body.has_snapshot_request()) {
      SnapshotSource source{m_controls[host].m_config.m_revision, "\0"};
      gen::Declarations empty;
      source.m_data = empty.SerializeAsString();
      *answer.mutable_snapshot_chunk() =
          MakeSnapshotChunk(source, message.m_body.snapshot_request());
    } else {
      return;
    }
    Send(message.m_to, message.m_from, answer, is_quiet);
  }

  void DeliverToNode(const Message &message, bool is_quiet) {
    Node &node = m_nodes.at(message.m_to);
    if (node.m_paused_until > m_now) {
      // A paused process receives the message when it resumes.
      Message later = message;
      later.m_arrival = node.m_paused_until;
      m_messages.push_back(later);
      return;
    }
    base::TimePoint local = Local(node);
    Follower *follower = &node.m_follower;
    FollowerEffects effects;
    switch (message.m_body.body_case()) {
      case gen::MemberMessage::kConfirmReply:
        effects = HandleReply(&node, message.m_body.confirm_reply(), local);
        break;
      case gen::MemberMessage::kSnapshotChunk:
        effects = HandleSnapshotChunk(follower, message.m_body.snapshot_chunk(),
                                      local);
        break;
      case gen::MemberMessage::kNotice:
        RequestConfirm(follower, local);
        break;
      case gen::MemberMessage::kConfirmRequest:
        AnswerChild(message, follower, local, is_quiet);
        break;
      default:
        break;
    }
    for (const OutgoingMessage &out : effects.m_messages) {
      Send(message.m_to, out.m_to, out.m_message, is_quiet);
    }
  }

  FollowerEffects HandleReply(Node *node, const gen::ConfirmReply &reply,
                              base::TimePoint local) {
    gen::ConfirmReply changed = reply;
    if (m_fault == Fault::kIgnoreAge) changed.set_age_ms(0);
    if (m_fault == Fault::kLeaseFromArrival) {
      node->m_follower.m_pending.m_sent = local;
    }
    return HandleConfirmReply(&node->m_follower, changed, local, m_options);
  }

  void AnswerChild(const Message &message, Follower *follower,
                   base::TimePoint local, bool is_quiet) {
    auto age = GetConfirmAge(*follower, local);
    if (!age) return;
    const gen::ConfirmRequest &request = message.m_body.confirm_request();
    QueueChildReports(follower, request, local);
    gen::MemberMessage answer;
    *answer.mutable_confirm_reply() =
        AnswerAsRelay(&follower->m_parent, request, *age, local, m_options);
    Send(message.m_to, message.m_from, answer, is_quiet);
  }

  void TickNode(const std::string &name, Node *node, bool is_quiet) {
    if (node->m_paused_until > m_now) return;
    base::TimePoint local = Local(*node);
    for (const OutgoingMessage &out :
         TickFollower(&node->m_follower, {}, local, m_options)) {
      Send(name, out.m_to, out.m_message, is_quiet);
    }
    TickRelay(&node->m_follower.m_parent, local, m_options);
  }

  std::string CheckInvariants() {
    for (auto &[name, node] : m_nodes) {
      std::uint64_t revision = node.m_follower.m_parent.m_config.m_revision;
      if (revision < node.m_highest_revision) {
        return name + " reverted to an older revision";
      }
      node.m_highest_revision = revision;
      if (node.m_paused_until > m_now) continue;
      if (!IsFollowerFresh(node.m_follower, Local(node), m_options)) continue;
      auto newer = m_accepted.find(revision + 1);
      if (newer != m_accepted.end() &&
          m_now - newer->second > m_options.m_lease) {
        return name + " admits requests under revision " +
               std::to_string(revision) + " after the lease";
      }
    }
    return "";
  }

  std::string CheckConverged() {
    std::uint64_t latest = m_controls[m_leader].m_config.m_revision;
    for (auto &[name, node] : m_nodes) {
      if (node.m_paused_until > m_now) continue;
      std::uint64_t revision = node.m_follower.m_parent.m_config.m_revision;
      if (revision != latest) return name + " didn't catch up";
      if (!IsFollowerFresh(node.m_follower, Local(node), m_options)) {
        return name + " isn't fresh although no faults are active";
      }
    }
    return "";
  }

  base::Random m_random;
  Fault m_fault;
  MemberOptions m_options;
  base::TimePoint m_now{seconds(1'000'000)};
  Parent m_controls[2];
  int m_leader = 0;
  std::uint64_t m_term = 1;
  bool m_is_old_leader_partitioned = false;
  base::TimePoint m_partitioned_at;
  std::string m_partitioned_node;
  std::map<std::string, Node> m_nodes;
  std::vector<Message> m_messages;
  std::vector<gen::ConfigDelta> m_log;
  std::map<std::uint64_t, base::TimePoint> m_accepted;
};

/** @return the first violated invariant of many schedules, or "". */
std::string Explore(Fault fault, int schedules, bool ends_quietly = false) {
  for (int i = 0; i < schedules; ++i) {
    std::uint64_t seed = 7'000 + static_cast<std::uint64_t>(i);
    Explorer explorer(seed, fault, 6);
    std::string broken = explorer.Run(1500, ends_quietly);
    if (!broken.empty()) return "seed " + std::to_string(seed) + ": " + broken;
  }
  return "";
}

/** Guards against requests admitted under a configuration that was replaced
 * more than a lease ago, and against reverts to an older configuration. */
TEST(FreshnessTest, HoldsUnderLossDelayAndPartitions) {
  EXPECT_EQ(Explore(Fault::kNone, 1500), "");
}

/** Guards against a node that doesn't catch up after the faults have ended. */
TEST(FreshnessTest, ConvergesAfterFaultsEnd) {
  EXPECT_EQ(Explore(Fault::kNone, 1500, /*ends_quietly=*/true), "");
}

/** Each fault lets a node admit requests under a replaced configuration. */
class InjectedFaultTest : public testing::TestWithParam<Fault> {};

TEST_P(InjectedFaultTest, IsDetected) {
  std::string broken = Explore(GetParam(), 300);
  EXPECT_NE(broken.find("after the lease"), std::string::npos) << broken;
}

INSTANTIATE_TEST_SUITE_P(Faults, InjectedFaultTest,
                         testing::Values(Fault::kLeaseFromArrival,
                                         Fault::kIgnoreAge,
                                         Fault::kAnswerWithoutQuorum));

/** Guards against a node without a configuration that never gets one, because
 * each accepted change restarts the transfer of a snapshot of several parts. */
TEST(SnapshotTransferTest, EndsAlthoughChangesFollowEachOther) {
  MemberOptions options;
  ConfigLog log;
  auto accept_change = [&log, &options] {
    gen::ConfigDelta delta;
    delta.set_revision(log.m_revision + 1);
    delta.add_changes()->mutable_model()->set_name("model");
    ASSERT_TRUE(AppendConfigDelta(&log, delta, options));
  };
  accept_change();
  gen::Declarations declarations;
  declarations.add_model()->set_name(std::string(3 * kSnapshotChunkBytes, 'm'));
  base::TimePoint now;
  Follower follower;
  InitializeFollower(&follower, gen::NodeRecord(), {"control"}, now);
  gen::ConfirmReply reply;
  reply.set_request_number(TickFollower(&follower, {}, now, options)
                               .at(0)
                               .m_message.confirm_request()
                               .request_number());
  reply.set_revision(log.m_revision);
  reply.set_needs_snapshot(true);
  FollowerEffects effects = HandleConfirmReply(&follower, reply, now, options);
  SnapshotSource source;
  for (int i = 0; i < 50 && !effects.m_snapshot; ++i) {
    ASSERT_EQ(effects.m_messages.size(), 1u);
    accept_change();
    RefreshSnapshot(&source, log, [&declarations] {
      return declarations.SerializeAsString();
    });
    effects = HandleSnapshotChunk(
        &follower,
        MakeSnapshotChunk(source,
                          effects.m_messages[0].m_message.snapshot_request()),
        now);
  }
  ASSERT_TRUE(effects.m_snapshot.has_value());
  // The changes since the snapshot are still available as deltas.
  EXPECT_FALSE(SelectConfigDeltas(log, effects.m_snapshot_revision,
                                  options.m_max_reply_bytes)
                   .m_needs_snapshot);
}

/** Guards against a snapshot from which no deltas lead to the last revision. */
TEST(SnapshotTransferTest, OutdatedSnapshotIsReplaced) {
  MemberOptions options;
  options.m_max_delta_bytes = 100;
  ConfigLog log;
  SnapshotSource source;
  for (std::uint64_t revision = 1; revision <= 50; ++revision) {
    gen::ConfigDelta delta;
    delta.set_revision(revision);
    delta.add_changes()->mutable_model()->set_name("model");
    ASSERT_TRUE(AppendConfigDelta(&log, delta, options));
    RefreshSnapshot(&source, log,
                    [revision] { return std::to_string(revision); });
    EXPECT_EQ(source.m_data, std::to_string(source.m_revision));
    EXPECT_FALSE(
        SelectConfigDeltas(log, source.m_revision, 1'000).m_needs_snapshot);
  }
}

}  // namespace
}  // namespace wasabiwind::member
