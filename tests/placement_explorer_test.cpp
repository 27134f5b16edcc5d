/** @file placement_explorer_test.cpp Seeded search for broken placement rules.
 *
 * Two control hosts share a log and place replicas on fake runners. Orders are
 * delayed, lost or executed without an answer; runners restart; leaders are
 * replaced while they are still active. After each event the replicas on the
 * fake runners are checked against the limits of replicas and memory.
 */

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>

#include "base/random_func.h"
#include "placement/ledger_cmd.h"
#include "placement/planner_func.h"

namespace wasabiwind::placement {
namespace {

using base::milliseconds;
using base::TimePoint;

constexpr std::int64_t kGib = 1LL << 30;
constexpr milliseconds kMaxNetworkDelay{1'500};
constexpr milliseconds kOrderTimeout{300};
constexpr milliseconds kStepDownTime{1'000};
constexpr milliseconds kMaxUnloadTime{400};
constexpr int kRunners = 6;
constexpr int kDeployments = 4;
constexpr int kAdapters = 2;

struct FakeReplica {
  std::int64_t m_bytes = 0;
  TimePoint m_ready_at;
  std::uint64_t m_id = 0;
};

/** A runner that executes every order that its fences allow, without a memory
 * check of its own, so that an overcommit becomes visible. */
struct FakeRunner {
  std::string m_name;
  int m_index = 0;
  std::uint64_t m_incarnation = 1;
  bool m_checks_fences = false;
  FencingToken m_highest_fence;
  std::uint64_t m_sequence = 0;  ///< of its announcements
  TimePoint m_isolated_until;    ///< unreachable until then
  std::map<std::string, FakeReplica> m_entries;
};

/** A control host that is or was the leader. */
struct ControlHost {
  std::optional<Planner> m_planner;
  Ledger m_ledger;
  std::size_t m_applied = 0;       ///< log entries
  std::uint64_t m_generation = 0;  ///< to ignore answers to an earlier planner
};

config::CatalogPtr MakeCatalog(bool checks_fences, int version) {
  gen::Declarations all;
  for (int i = 0; i < kDeployments; ++i) {
    gen::Model *model = all.add_model();
    model->set_name("m" + std::to_string(i));
    model->set_version(i == 0 ? std::to_string(version) : "1");
    model->set_weight_bytes((2 + i) * kGib);
    model->set_memory_bytes((3 + i) * kGib);
    gen::Deployment *deployment = all.add_deployment();
    deployment->set_name("d" + std::to_string(i));
    deployment->set_model(model->name());
    deployment->add_regions("r");
    deployment->set_max_replicas(1 + i % 2);
    deployment->set_max_per_domain(1);
    deployment->set_idle_after_ms(2'000);
    deployment->set_engine_fencing(checks_fences ? "checked" : "ignored");
  }
  for (int i = 0; i < kAdapters; ++i) {
    gen::Adapter *adapter = all.add_adapter();
    adapter->set_name("a" + std::to_string(i));
    adapter->set_model("m1");
    adapter->set_version("1");
    adapter->set_weight_bytes(kGib / 4);
    adapter->set_memory_bytes(kGib / 2);
    adapter->set_max_replicas(1);
  }
  return config::BuildCatalog(all, base::Revision(1));
}

class Explorer {
 public:
  Explorer(std::uint64_t seed, bool checks_fences, InjectedFaults faults)
      : m_random{seed}, m_checks_fences(checks_fences), m_faults(faults) {
    m_catalog = MakeCatalog(checks_fences, 1);
    for (int i = 0; i < kRunners; ++i) {
      FakeRunner runner;
      runner.m_name = "runner-" + std::to_string(i);
      runner.m_index = i;
      runner.m_checks_fences = checks_fences;
      m_runners.push_back(runner);
    }
    for (ControlHost &host : m_hosts) host.m_ledger.m_faults = faults;
  }

  /** Runs for a virtual time. @return the violation found, or "" */
  std::string Run(milliseconds duration) {
    Elect();
    TimePoint end = m_now + duration;
    while (m_now < end && m_violation.empty()) {
      InjectDisturbance();
      Advance(milliseconds(1 + RandomBelow(100)));
    }
    return m_violation;
  }

  /** Runs without disturbances. @return whether the deployment is loaded */
  bool RunUndisturbed(const std::string &deployment) {
    m_is_undisturbed = true;
    Advance(milliseconds(5'000));
    for (int i = 0; i < 300 && m_violation.empty(); ++i) {
      RequestActivation(deployment, "", milliseconds(60'000));
      Advance(milliseconds(100));
      if (IsLoaded(deployment)) return true;
    }
    return false;
  }

  const std::string &Violation() const { return m_violation; }
  int Loads() const { return m_loads; }
  int Unloads() const { return m_unloads; }
  const Ledger &LeaderLedger() const { return m_hosts[m_leader].m_ledger; }

 private:
  std::uint64_t RandomBelow(std::uint64_t bound) {
    return base::NextRandomBelow(&m_random, bound);
  }
  bool RandomChance(double probability) {
    return base::NextRandomUnit(&m_random) < probability;
  }
  milliseconds NetworkDelay() {
    bool is_slow = !m_is_undisturbed && RandomChance(0.15);
    std::uint64_t bound =
        is_slow ? static_cast<std::uint64_t>(kMaxNetworkDelay.count()) : 20;
    return milliseconds(1 + RandomBelow(bound));
  }

  void Schedule(base::Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  void Advance(milliseconds duration) {
    TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end &&
           m_violation.empty()) {
      auto first = m_events.begin();
      m_now = first->first;
      std::function<void()> action = std::move(first->second);
      m_events.erase(first);
      action();
      CheckRules();
    }
    m_now = end;
    for (int i = 0; i < 2; ++i) {
      FeedEvent(i, [&](Planner *planner, const Ledger &ledger) {
        return OnTimer(planner, ledger, m_now);
      });
    }
    CheckRules();
  }

  /** Passes an event to a host's planner and carries out its decisions. */
  void FeedEvent(
      int index,
      const std::function<Decisions(Planner *, const Ledger &)> &event) {
    ControlHost &host = m_hosts[index];
    if (!host.m_planner) return;
    CarryOut(index, event(&*host.m_planner, host.m_ledger));
  }

  void CarryOut(int index, const Decisions &decisions) {
    for (const gen::PlacementCommand &command : decisions.m_commands) {
      Propose(index, command);
    }
    for (const Order &order : decisions.m_orders) SendOrder(index, order);
    for (const StateQuery &query : decisions.m_queries) {
      SendQuery(index, query);
    }
  }

  // The replicated log. A command is committed after a delay, in order, while
  // its proposer leads.
  void Propose(int index, const gen::PlacementCommand &command) {
    if (index != m_leader) return;
    m_uncommitted.push_back(command);
    Schedule(milliseconds(5), [this] { CommitOne(); });
  }

  void CommitOne() {
    if (m_uncommitted.empty()) return;
    m_log.push_back(m_uncommitted.front());
    m_uncommitted.pop_front();
    Apply(m_leader);
  }

  void Apply(int index) {
    ControlHost &host = m_hosts[index];
    while (host.m_applied < m_log.size()) {
      gen::PlacementCommand command = m_log[host.m_applied++];
      bool is_accepted = ExecuteCommand(&host.m_ledger, command).has_value();
      bool is_own = host.m_planner && host.m_planner->m_term == command.term();
      if (!is_own) continue;
      FeedEvent(index, [&](Planner *planner, const Ledger &ledger) {
        return OnCommand(planner, ledger, command, is_accepted, m_now);
      });
    }
  }

  /** Makes the other host the leader; the old one stays active for a while. */
  void Elect() {
    int old_leader = m_leader;
    m_leader = 1 - m_leader;
    // Some of the old leader's last proposals have reached the new one.
    std::size_t kept = RandomBelow(m_uncommitted.size() + 1);
    for (std::size_t i = 0; i < kept; ++i) m_log.push_back(m_uncommitted[i]);
    m_uncommitted.clear();
    std::uint64_t generation = m_hosts[old_leader].m_generation;
    Schedule(milliseconds(RandomBelow(
                 static_cast<std::uint64_t>(kStepDownTime.count()))),
             [this, old_leader, generation] {
               ControlHost &host = m_hosts[old_leader];
               if (host.m_generation == generation) host.m_planner.reset();
             });
    ControlHost &host = m_hosts[m_leader];
    host.m_planner.reset();
    ++host.m_generation;
    Apply(m_leader);
    Decisions decisions;
    PlannerSettings settings;
    settings.m_order_lifetime = kMaxNetworkDelay + kStepDownTime;
    settings.m_query_interval = milliseconds(100);
    settings.m_retire_min = milliseconds(200);
    settings.m_retire_max = milliseconds(600);
    settings.m_min_idle = milliseconds(500);
    settings.m_store_loads_per_s = 20;
    settings.m_faults = m_faults;
    host.m_planner =
        MakePlanner(settings, ++m_term, m_catalog, m_now, &decisions);
    CarryOut(m_leader, decisions);
    for (FakeRunner &runner : m_runners) Announce(runner);
  }

  void Announce(FakeRunner &runner) {
    gen::UpstreamRecord record;
    record.set_upstream(runner.m_name);
    record.set_kind("engine");
    record.set_incarnation(runner.m_incarnation);
    record.set_sequence(++runner.m_sequence);
    if (m_now < runner.m_isolated_until) record.set_state(gen::UPSTREAM_GONE);
    for (const auto &[target, entry] : runner.m_entries) {
      if (entry.m_ready_at > m_now) continue;
      gen::LoadedTarget *loaded = record.add_loaded();
      loaded->set_target(target);
      loaded->set_bytes(entry.m_bytes);
    }
    record.set_address(runner.m_name);
    record.set_region("r");
    record.set_domain("domain-" + std::to_string(runner.m_index % 3));
    record.set_memory_bytes(8 * kGib);
    if (runner.m_index % 2 == 0) {
      record.add_cached()->set_target("m2@1");
      record.mutable_cached(0)->set_tier("disk");
    }
    Schedule(NetworkDelay(), [this, record] {
      for (ControlHost &host : m_hosts) {
        if (host.m_planner) OnUpstream(&*host.m_planner, record, m_now);
      }
    });
  }

  // Orders: the request or its answer may be lost, and a request that the host
  // has given up may still arrive.
  void SendOrder(int index, const Order &order) {
    std::uint64_t generation = m_hosts[index].m_generation;
    bool is_request_lost = !m_is_undisturbed && RandomChance(0.05);
    bool is_answer_lost = !m_is_undisturbed && RandomChance(0.1);
    milliseconds there = NetworkDelay();
    milliseconds back = NetworkDelay();
    auto is_answered = std::make_shared<bool>(false);
    auto answer = [this, index, generation, order,
                   is_answered](OrderOutcome outcome) {
      if (*is_answered) return;
      *is_answered = true;
      if (m_hosts[index].m_generation != generation) return;
      FeedEvent(index, [&](Planner *planner, const Ledger &ledger) {
        return OnOrderResult(planner, ledger,
                             {order.m_order_id, order.m_grant_id, outcome},
                             m_now);
      });
    };
    Schedule(kOrderTimeout, [answer] { answer(OrderOutcome::kLost); });
    if (is_request_lost) return;
    Schedule(there, [this, order, answer, back, is_answer_lost] {
      if (IsIsolated(order.m_runner)) return;
      OrderOutcome outcome = Execute(order);
      if (is_answer_lost) return;
      Schedule(back, [answer, outcome] { answer(outcome); });
    });
  }

  OrderOutcome Execute(const Order &order) {
    FakeRunner &runner = FindRunner(order.m_runner);
    if (runner.m_checks_fences && order.m_fence < runner.m_highest_fence) {
      return OrderOutcome::kStaleFence;
    }
    runner.m_highest_fence = std::max(runner.m_highest_fence, order.m_fence);
    if (order.m_action == OrderAction::kUnload) {
      Unload(&runner, order.m_target);
      return OrderOutcome::kAccepted;
    }
    if (runner.m_entries.contains(order.m_target)) {
      return OrderOutcome::kAccepted;
    }
    ++m_loads;
    runner.m_entries[order.m_target] = {
        order.m_bytes, m_now + milliseconds(100 + RandomBelow(1'000)),
        ++m_next_id};
    return OrderOutcome::kAccepted;
  }

  void Unload(FakeRunner *runner, const std::string &target) {
    auto found = runner->m_entries.find(target);
    if (found == runner->m_entries.end()) return;
    std::uint64_t id = found->second.m_id;
    Schedule(milliseconds(RandomBelow(
                 static_cast<std::uint64_t>(kMaxUnloadTime.count()))),
             [this, runner, target, id] {
               auto entry = runner->m_entries.find(target);
               if (entry == runner->m_entries.end()) return;
               if (entry->second.m_id != id) return;
               ++m_unloads;
               runner->m_entries.erase(entry);
             });
  }

  void SendQuery(int index, const StateQuery &query) {
    if (!m_is_undisturbed && RandomChance(0.1)) return;
    std::uint64_t generation = m_hosts[index].m_generation;
    Schedule(NetworkDelay(), [this, index, generation, query] {
      if (IsIsolated(query.m_runner)) return;
      const FakeRunner &runner = FindRunner(query.m_runner);
      StateReport report;
      report.m_runner = query.m_runner;
      report.m_asked_at = query.m_asked_at;
      report.m_incarnation = runner.m_incarnation;
      report.m_running = 0;
      for (const auto &[target, entry] : runner.m_entries) {
        report.m_entries[target] = entry.m_ready_at <= m_now
                                       ? TargetState::kLoaded
                                       : TargetState::kLoading;
      }
      Schedule(NetworkDelay(), [this, index, generation, report] {
        if (m_hosts[index].m_generation != generation) return;
        FeedEvent(index, [&](Planner *planner, const Ledger &ledger) {
          return OnStateReport(planner, ledger, report, m_now);
        });
      });
    });
  }

  void InjectDisturbance() {
    if (RandomChance(0.3)) {
      RequestActivation("d" + std::to_string(RandomBelow(kDeployments)), "",
                        milliseconds(500 + RandomBelow(20'000)));
    }
    if (RandomChance(0.05)) {
      RequestActivation("d1", "a" + std::to_string(RandomBelow(kAdapters)),
                        milliseconds(20'000));
    }
    if (RandomChance(0.01)) Restart(&m_runners[RandomBelow(kRunners)]);
    if (RandomChance(0.01)) Isolate(&m_runners[RandomBelow(kRunners)]);
    if (RandomChance(0.01)) Elect();
    if (RandomChance(0.003)) ChangeVersion();
  }

  void RequestActivation(const std::string &deployment,
                         const std::string &adapter, milliseconds deadline) {
    gen::ActivationRequest request;
    request.set_deployment(deployment);
    request.set_adapter(adapter);
    request.set_deadline_ms(deadline.count());
    request.set_waiting(1 + static_cast<std::uint32_t>(RandomBelow(40)));
    FeedEvent(m_leader, [&](Planner *planner, const Ledger &ledger) {
      return OnActivationRequest(planner, ledger, "entry-1", request, m_now);
    });
  }

  void Restart(FakeRunner *runner) {
    runner->m_entries.clear();
    runner->m_highest_fence = FencingToken();
    ++runner->m_incarnation;
    Announce(*runner);
  }

  /** Cuts a runner off from the network; it is announced as gone and later as
   * back. */
  void Isolate(FakeRunner *runner) {
    milliseconds duration(RandomBelow(3'000));
    runner->m_isolated_until = m_now + duration;
    Schedule(duration / 2, [this, runner] { Announce(*runner); });
    Schedule(duration + milliseconds(1), [this, runner] { Announce(*runner); });
  }

  bool IsIsolated(const std::string &runner) {
    return m_now < FindRunner(runner).m_isolated_until;
  }

  void ChangeVersion() {
    m_catalog = MakeCatalog(m_checks_fences, ++m_version);
    for (ControlHost &host : m_hosts) {
      if (host.m_planner) OnCatalog(&*host.m_planner, m_catalog);
    }
  }

  FakeRunner &FindRunner(const std::string &name) {
    return m_runners[static_cast<std::size_t>(
        std::stoi(name.substr(name.find('-') + 1)))];
  }

  bool IsLoaded(const std::string &deployment) {
    const Ledger &ledger = m_hosts[m_leader].m_ledger;
    for (std::uint64_t id : GetScopeGrants(ledger, deployment)) {
      if (ledger.m_grants.at(id).state() == gen::GRANT_LOADED) return true;
    }
    return false;
  }

  /** "m1@1/a0@1" belongs to adapter a0, "m1@1" to deployment d1. */
  static std::string GetScope(const std::string &target) {
    std::size_t slash = target.find('/');
    if (slash != std::string::npos) return target.substr(slash + 1, 2);
    return "d" + target.substr(1, 1);
  }

  void CheckRules() {
    std::map<std::string, int> replicas;
    for (const FakeRunner &runner : m_runners) {
      std::int64_t bytes = 0;
      for (const auto &[target, entry] : runner.m_entries) {
        bytes += entry.m_bytes;
        ++replicas[GetScope(target)];
      }
      if (bytes > 8 * kGib) m_violation = runner.m_name + " is overcommitted";
    }
    for (const auto &[scope, count] : replicas) {
      int max_replicas = scope[0] == 'a' ? 1 : 1 + (scope[1] - '0') % 2;
      if (count <= max_replicas) continue;
      m_violation = scope + " has " + std::to_string(count) + " replicas";
    }
  }

  base::Random m_random;
  bool m_checks_fences;
  InjectedFaults m_faults;
  bool m_is_undisturbed = false;
  config::CatalogPtr m_catalog;
  int m_version = 1;
  TimePoint m_now = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<FakeRunner> m_runners;
  ControlHost m_hosts[2];
  int m_leader = 0;
  std::uint64_t m_term = 0;
  std::deque<gen::PlacementCommand> m_uncommitted;
  std::vector<gen::PlacementCommand> m_log;
  std::uint64_t m_next_id = 0;
  int m_loads = 0;
  int m_unloads = 0;
  std::string m_violation;
};

/** @return the number in an environment variable: WW_SEED is the first seed,
 * WW_SEEDS the number of seeds. */
std::uint64_t GetNumber(const char *name, std::uint64_t fallback) {
  const char *value = std::getenv(name);
  return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

constexpr milliseconds kRunTime{60'000};

class ExplorerTest : public testing::TestWithParam<bool> {};

/** Guards against more replicas than the maximum, overcommitted memory, and
 * placement that comes to a halt after failures. */
TEST_P(ExplorerTest, RulesHoldOnTheRunners) {
  std::uint64_t first = GetNumber("WW_SEED", 1);
  std::uint64_t count = GetNumber("WW_SEEDS", 200);
  std::uint64_t loads = 0;
  std::uint64_t unloads = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SCOPED_TRACE(testing::Message() << "WW_SEED=" << seed);
    Explorer explorer(seed, GetParam(), {});
    ASSERT_EQ(explorer.Run(kRunTime), "");
    EXPECT_TRUE(explorer.RunUndisturbed("d3")) << "no replica was loaded";
    ASSERT_EQ(explorer.Violation(), "");
    loads += static_cast<std::uint64_t>(explorer.Loads());
    unloads += static_cast<std::uint64_t>(explorer.Unloads());
  }
  std::cout << count << " seeds from " << first << ": " << loads << " loads, "
            << unloads << " unloads\n";
  EXPECT_GT(loads, count * 10);
  EXPECT_GT(unloads, count * 5);
}

INSTANTIATE_TEST_SUITE_P(Fencing, ExplorerTest, testing::Bool(),
                         [](const testing::TestParamInfo<bool> &info) {
                           return info.param ? "Checked" : "Ignored";
                         });

/** @return the first seed whose run breaks a rule, or 0 */
std::uint64_t FindViolation(bool checks_fences, InjectedFaults faults) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Explorer explorer(seed, checks_fences, faults);
    std::string violation = explorer.Run(kRunTime);
    if (violation.empty()) continue;
    std::cout << "seed " << seed << ": " << violation << "\n";
    return seed;
  }
  return 0;
}

// The explorer must detect each injected fault; otherwise its passes prove
// nothing.

TEST(InjectedFaultTest, FreeingMemoryBeforeTheUnloadIsNoticed) {
  InjectedFaults faults;
  faults.m_free_before_unload = true;
  EXPECT_NE(FindViolation(true, faults), 0U);
}

TEST(InjectedFaultTest, SkippingTheOrderLifetimeIsNoticed) {
  InjectedFaults faults;
  faults.m_skip_order_lifetime = true;
  EXPECT_NE(FindViolation(false, faults), 0U);
}

TEST(InjectedFaultTest, CountingOnlyConfirmedLoadsIsNoticed) {
  InjectedFaults faults;
  faults.m_count_only_confirmed = true;
  EXPECT_NE(FindViolation(true, faults), 0U);
}

}  // namespace
}  // namespace wasabiwind::placement
