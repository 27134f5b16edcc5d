/** @file route_router_test.cpp Decisions of the router for events. */

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "route/router_func.h"

namespace wasabiwind::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::DeploymentId kDeployment("chat");
const base::TargetId kTarget("model@1");

class RouterTest : public testing::Test {
 protected:
  RouterTest() {
    m_options.m_hedge_share = 0.5;
    m_router = MakeRouter(m_options, 7);
    m_pool_options.m_queue_limit = 4;
    m_pool_options.m_regions = {base::RegionId("near"), base::RegionId("far")};
    SetPoolOptions(&m_router, kDeployment, m_pool_options);
  }

  void AddUpstream(const std::string &name, int slots,
                   const std::string &region = "near",
                   std::uint64_t incarnation = 1, bool is_leaving = false) {
    UpstreamInfo info;
    info.m_upstream = base::UpstreamId(name);
    info.m_incarnation = base::Incarnation(incarnation);
    info.m_region = base::RegionId(region);
    info.m_slots = slots;
    info.m_is_leaving = is_leaving;
    info.m_loaded = {kTarget};
    OnUpstream(&m_router, info, m_now, &m_decisions);
  }

  RequestInfo MakeRequest(
      const std::string &customer = "a",
      PriorityClass priority_class = PriorityClass::kStandard) {
    RequestInfo info;
    info.m_request = RequestNumber(++m_last_request);
    info.m_deployment = kDeployment;
    info.m_target = kTarget;
    info.m_customer = base::CustomerId(customer);
    info.m_class = priority_class;
    info.m_max_tokens = 64;
    info.m_is_repeatable = true;
    info.m_deadline = m_now + seconds(30);
    return info;
  }

  Decisions Admit(const RequestInfo &info) {
    m_decisions = {};
    AdmitRequest(&m_router, info, m_now, &m_decisions);
    return m_decisions;
  }

  /** Runs the attempt to its end; the first token comes after half of it. */
  Decisions Finish(AttemptNumber attempt, milliseconds duration) {
    m_decisions = {};
    m_now += duration / 2;
    OnFirstToken(&m_router, attempt, m_now, &m_decisions);
    m_now += duration / 2;
    OnFinished(&m_router, attempt, 10, m_now, &m_decisions);
    return m_decisions;
  }

  RouterOptions m_options;
  PoolOptions m_pool_options;
  Router m_router;
  base::TimePoint m_now{std::chrono::hours(1)};
  Decisions m_decisions;
  std::uint64_t m_last_request = 0;
};

// Guards against a queue that grows without a bound, and against a batch
// customer that keeps interactive requests out of it.
TEST_F(RouterTest, FullQueueRefusesOrEvictsLowerClass) {
  AddUpstream("r1", 1);
  ASSERT_EQ(Admit(MakeRequest()).m_starts.size(), 1u);
  for (int i = 0; i < 4; ++i) {
    Decisions decisions = Admit(MakeRequest("a", PriorityClass::kBatch));
    ASSERT_TRUE(decisions.m_starts.empty() && decisions.m_refusals.empty());
  }
  Decisions refused = Admit(MakeRequest("a", PriorityClass::kBatch));
  ASSERT_EQ(refused.m_refusals.size(), 1u);
  EXPECT_EQ(refused.m_refusals[0].m_request.Value(), m_last_request);
  EXPECT_EQ(refused.m_refusals[0].m_refusal.m_reason,
            RefusalReason::kQueueFull);
  EXPECT_GT(refused.m_refusals[0].m_refusal.m_retry_after.count(), 0);
  Decisions evicted = Admit(MakeRequest("a", PriorityClass::kInteractive));
  ASSERT_EQ(evicted.m_refusals.size(), 1u);
  EXPECT_NE(evicted.m_refusals[0].m_request.Value(), m_last_request);
  EXPECT_EQ(evicted.m_refusals[0].m_refusal.m_ran, ExecutionState::kNotRun);
}

// Guards against a waiting request that isn't refused at its deadline.
TEST_F(RouterTest, WaitingRequestIsRefusedAtDeadline) {
  RequestInfo info = MakeRequest();
  info.m_deadline = m_now + milliseconds(500);
  Decisions decisions = Admit(info);
  EXPECT_EQ(decisions.m_activations.size(), 1u);
  EXPECT_TRUE(decisions.m_refusals.empty());
  m_now += milliseconds(500);
  decisions = {};
  OnTimer(&m_router, m_now, &decisions);
  ASSERT_EQ(decisions.m_refusals.size(), 1u);
  EXPECT_EQ(decisions.m_refusals[0].m_refusal.m_reason,
            RefusalReason::kDeadlinePassed);
  EXPECT_TRUE(m_router.m_requests.empty());
  EXPECT_TRUE(m_router.m_waiting_pools.empty());
}

// Guards against waiting for a load that ends after the deadline.
TEST_F(RouterTest, ColdStartThatIsTooLateIsRefusedEarly) {
  RequestInfo info = MakeRequest();
  info.m_deadline = m_now + seconds(5);
  Admit(info);
  m_decisions = {};
  OnReadyTimePrediction(&m_router, kDeployment, kTarget, m_now + seconds(8),
                        m_now, &m_decisions);
  ASSERT_EQ(m_decisions.m_refusals.size(), 1u);
  EXPECT_EQ(m_decisions.m_refusals[0].m_refusal.m_reason,
            RefusalReason::kColdStartTooLate);
  EXPECT_EQ(m_decisions.m_refusals[0].m_refusal.m_retry_after, seconds(8));
  info = MakeRequest();
  info.m_deadline = m_now + seconds(5);
  EXPECT_EQ(Admit(info).m_refusals.size(), 1u);
}

// Guards against a second execution of a request that must not be repeated, and
// against a refusal that claims it hasn't run.
TEST_F(RouterTest, FailureIsRetriedOnlyWhereItIsSafe) {
  AddUpstream("r1", 1);
  AddUpstream("r2", 1);
  RequestInfo info = MakeRequest();
  info.m_is_repeatable = false;
  Decisions started = Admit(info);
  Decisions decisions;
  OnFailed(&m_router, started.m_starts[0].m_attempt, ExecutionState::kNotRun, 0,
           m_now, &decisions);
  ASSERT_EQ(decisions.m_starts.size(), 1u);
  EXPECT_NE(decisions.m_starts[0].m_upstream, started.m_starts[0].m_upstream);
  AttemptNumber second = decisions.m_starts[0].m_attempt;
  decisions = {};
  OnFailed(&m_router, second, ExecutionState::kUnknown, 0, m_now, &decisions);
  EXPECT_TRUE(decisions.m_starts.empty());
  ASSERT_EQ(decisions.m_refusals.size(), 1u);
  EXPECT_EQ(decisions.m_refusals[0].m_refusal.m_ran, ExecutionState::kUnknown);
}

// Guards against a retry storm: extra attempts are a share of first ones.
TEST_F(RouterTest, RetriesStayWithinTheBudget) {
  AddUpstream("r1", 8);
  AddUpstream("r2", 8);
  for (int i = 0; i < 500; ++i) {
    Decisions decisions = Admit(MakeRequest());
    while (!decisions.m_starts.empty()) {
      AttemptNumber attempt = decisions.m_starts[0].m_attempt;
      decisions = {};
      OnFailed(&m_router, attempt, ExecutionState::kNotRun, 0, m_now,
               &decisions);
    }
  }
  EXPECT_EQ(m_router.m_counters.m_first_attempts, 500u);
  EXPECT_LE(m_router.m_counters.m_retries, 500 * 0.1 + 1);
  EXPECT_GT(m_router.m_counters.m_retry_budget_empty, 0u);
  EXPECT_TRUE(m_router.m_requests.empty());
}

// Guards against a silent attempt that is left before another one answers, and
// against silence that starts more attempts than the retry budget allows.
TEST_F(RouterTest, SilentAttemptRunsOnBesideItsBackup) {
  AddUpstream("r1", 4);
  AddUpstream("r2", 4);
  StartDecision first = Admit(MakeRequest()).m_starts.at(0);
  std::optional<StartDecision> backup =
      StartBackup(&m_router, first.m_attempt, m_now);
  ASSERT_TRUE(backup);
  EXPECT_EQ(backup->m_request, first.m_request);
  EXPECT_NE(backup->m_upstream, first.m_upstream);
  EXPECT_EQ(m_router.m_attempts.size(), 2u);
  EXPECT_LT(m_router.m_retry_budget.m_credit, 1);
  // The other upstream refuses: the request goes on without a refusal.
  m_decisions = {};
  OnFailed(&m_router, backup->m_attempt, ExecutionState::kNotRun, 0, m_now,
           &m_decisions);
  EXPECT_TRUE(m_decisions.m_refusals.empty() && m_decisions.m_starts.empty());
  EXPECT_FALSE(StartBackup(&m_router, first.m_attempt, m_now));
  EXPECT_GT(m_router.m_counters.m_retry_budget_empty, 0u);
  EXPECT_TRUE(Finish(first.m_attempt, milliseconds(10)).m_refusals.empty());
  EXPECT_TRUE(m_router.m_requests.empty() && m_router.m_attempts.empty());
}

// Guards against a second execution of a request that must not be repeated.
TEST_F(RouterTest, SilentAttemptGetsABackupOnlyWhereItIsSafe) {
  AddUpstream("r1", 4);
  AddUpstream("r2", 4);
  RequestInfo info = MakeRequest();
  info.m_is_repeatable = false;
  StartDecision once = Admit(info).m_starts.at(0);
  EXPECT_FALSE(StartBackup(&m_router, once.m_attempt, m_now));
  info = MakeRequest();
  info.m_may_resume = false;
  StartDecision begun = Admit(info).m_starts.at(0);
  OnFirstToken(&m_router, begun.m_attempt, m_now, &m_decisions);
  EXPECT_FALSE(StartBackup(&m_router, begun.m_attempt, m_now));
  EXPECT_EQ(m_router.m_counters.m_retries, 0u);
}

// Guards against a backup that holds its slot or counts as a failure after the
// silent attempt has gone on.
TEST_F(RouterTest, CancelledBackupFreesItsSlot) {
  AddUpstream("r1", 1);
  AddUpstream("r2", 1);
  StartDecision first = Admit(MakeRequest()).m_starts.at(0);
  std::optional<StartDecision> backup =
      StartBackup(&m_router, first.m_attempt, m_now);
  ASSERT_TRUE(backup);
  EXPECT_TRUE(Admit(MakeRequest()).m_starts.empty());
  m_decisions = {};
  OnCancelled(&m_router, backup->m_attempt, m_now, &m_decisions);
  ASSERT_EQ(m_decisions.m_starts.size(), 1u);
  EXPECT_EQ(m_decisions.m_starts[0].m_upstream, backup->m_upstream);
  EXPECT_EQ(m_router.m_upstreams.at(backup->m_upstream)->m_failures, 0);
}

// Guards against backups at an upstream whose silent attempt still runs, except
// for the only one, whose connection alone may be lost.
TEST_F(RouterTest, SilentUpstreamIsChosenAgainOnlyWithoutAnother) {
  m_router.m_retry_budget.m_credit = 10;
  AddUpstream("r1", 20);
  StartDecision first = Admit(MakeRequest()).m_starts.at(0);
  EXPECT_TRUE(StartBackup(&m_router, first.m_attempt, m_now));
  EXPECT_FALSE(StartBackup(&m_router, first.m_attempt, m_now));
  StartDecision second = Admit(MakeRequest()).m_starts.at(0);
  AddUpstream("r2", 1);
  Upstream &other = *m_router.m_upstreams.at(base::UpstreamId("r2"));
  while (other.m_in_flight == 0) Admit(MakeRequest());
  EXPECT_FALSE(StartBackup(&m_router, second.m_attempt, m_now));
}

// Guards against timers of ended attempts that stay until they are due, a day
// later where hedging is disabled by a long wait.
TEST_F(RouterTest, EndedAttemptsLeaveNoHedgeTimers) {
  m_router.m_options.m_hedge_min = std::chrono::hours(24);
  AddUpstream("r1", 4);
  for (int i = 0; i < 1000; ++i) {
    Decisions decisions = Admit(MakeRequest());
    Finish(decisions.m_starts.at(0).m_attempt, milliseconds(10));
  }
  EXPECT_EQ(m_router.m_hedge_timers.size(), 0u);
}

// Guards against both answers of a hedged request reaching the caller.
TEST_F(RouterTest, HedgeWinnerCancelsTheOther) {
  AddUpstream("r1", 4);
  AddUpstream("r2", 4);
  for (int i = 0; i < 10; ++i) {
    Finish(Admit(MakeRequest()).m_starts[0].m_attempt, milliseconds(100));
  }
  Decisions first = Admit(MakeRequest());
  m_now += milliseconds(200);
  Decisions hedge;
  OnTimer(&m_router, m_now, &hedge);
  ASSERT_EQ(hedge.m_starts.size(), 1u);
  EXPECT_TRUE(hedge.m_starts[0].m_is_hedge);
  EXPECT_NE(hedge.m_starts[0].m_upstream, first.m_starts[0].m_upstream);
  Decisions won;
  OnFirstToken(&m_router, hedge.m_starts[0].m_attempt, m_now, &won);
  ASSERT_EQ(won.m_cancels.size(), 1u);
  EXPECT_EQ(won.m_cancels[0].m_attempt, first.m_starts[0].m_attempt);
}

// Guards against long requests that take every slot.
TEST_F(RouterTest, LongRequestsLeaveSlotsForShortOnes) {
  AddUpstream("r1", 4);
  std::size_t started = 0;
  for (int i = 0; i < 4; ++i) {
    RequestInfo info = MakeRequest("plans");
    info.m_max_tokens = 4'000;
    started += Admit(info).m_starts.size();
  }
  EXPECT_EQ(started, 3u);
  EXPECT_EQ(Admit(MakeRequest()).m_starts.size(), 1u);
}

// Guards against a long request that never starts because short requests, which
// are chosen first, take every slot.
TEST_F(RouterTest, LongRequestStartsWhileShortOnesFillAllSlots) {
  m_pool_options.m_queue_limit = 100;
  SetPoolOptions(&m_router, kDeployment, m_pool_options);
  AddUpstream("r1", 8);
  std::vector<AttemptNumber> running;
  auto admit_short = [&] {
    for (const auto &start :
         Admit(MakeRequest("a", PriorityClass::kInteractive)).m_starts) {
      running.push_back(start.m_attempt);
    }
  };
  for (int i = 0; i < 20; ++i) admit_short();
  RequestInfo info = MakeRequest("plans");
  info.m_max_tokens = 4'000;
  info.m_deadline = m_now + seconds(300);
  std::uint64_t long_request = info.m_request.Value();
  Admit(info);
  bool is_started = false;
  for (int i = 0; i < 2'000 && !is_started; ++i) {
    Decisions decisions = Finish(running.front(), milliseconds(10));
    running.erase(running.begin());
    for (const auto &start : decisions.m_starts) {
      running.push_back(start.m_attempt);
      is_started = is_started || start.m_request.Value() == long_request;
    }
    admit_short();
  }
  EXPECT_TRUE(is_started);
}

// Guards against many nodes that together send more to an upstream than it has
// slots, and against a target whose upstreams no node uses.
TEST_F(RouterTest, NodesShareTheSlots) {
  constexpr std::size_t kNodes = 6;
  for (int slots : {16, 4}) {
    std::size_t started = 0;
    for (std::size_t node = 0; node < kNodes; ++node) {
      m_router = MakeRouter(m_options, node);
      SetNodeShare(&m_router, node, kNodes);
      SetPoolOptions(&m_router, kDeployment, m_pool_options);
      for (int i = 0; i < 12; ++i) AddUpstream(std::to_string(i), slots);
      for (int i = 0; i < 50; ++i) {
        started += Admit(MakeRequest("a", PriorityClass::kInteractive))
                       .m_starts.size();
      }
    }
    EXPECT_EQ(started, 12u * static_cast<std::size_t>(slots));
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    m_router = MakeRouter(m_options, node);
    SetNodeShare(&m_router, node, kNodes);
    SetPoolOptions(&m_router, kDeployment, m_pool_options);
    AddUpstream("single", 1);
    EXPECT_EQ(Admit(MakeRequest()).m_starts.size(), 1u);
  }
}

// Guards against applying events of a former process to its successor.
TEST_F(RouterTest, NewIncarnationForgetsOldAttempts) {
  AddUpstream("r1", 1);
  AttemptNumber old = Admit(MakeRequest()).m_starts[0].m_attempt;
  m_decisions = {};
  AddUpstream("r1", 1, "near", 2);
  AddUpstream("r1", 1, "near", 1, true);
  AttemptNumber current = Admit(MakeRequest()).m_starts[0].m_attempt;
  OnFailed(&m_router, old, ExecutionState::kUnknown, 5, m_now, &m_decisions);
  EXPECT_EQ(m_router.m_upstreams.begin()->second->m_in_flight, 1);
  Finish(current, milliseconds(10));
  EXPECT_EQ(m_router.m_upstreams.begin()->second->m_in_flight, 0);
}

// Guards against new requests for an upstream that has announced that it is
// leaving.
TEST_F(RouterTest, LeavingUpstreamGetsNoNewRequests) {
  AddUpstream("r1", 4);
  AddUpstream("r1", 4, "near", 1, true);
  Decisions decisions = Admit(MakeRequest());
  EXPECT_TRUE(decisions.m_starts.empty());
  EXPECT_EQ(decisions.m_activations.size(), 1u);
}

// Guards against billed cross-region traffic while the nearest region has
// slots, and against waiting while another region has free slots.
TEST_F(RouterTest, FartherRegionGetsRequestsThatHaveWaited) {
  AddUpstream("r1", 1, "near");
  AddUpstream("r2", 1, "far");
  EXPECT_EQ(Admit(MakeRequest()).m_starts[0].m_upstream.Value(), "r1");
  EXPECT_TRUE(Admit(MakeRequest()).m_starts.empty());
  m_now += milliseconds(100);
  Decisions decisions;
  OnTimer(&m_router, m_now, &decisions);
  ASSERT_EQ(decisions.m_starts.size(), 1u);
  EXPECT_EQ(decisions.m_starts[0].m_upstream.Value(), "r2");
}

// Guards against one customer's backlog delaying another customer.
TEST_F(RouterTest, CustomersTakeTurns) {
  m_pool_options.m_queue_limit = 100;
  SetPoolOptions(&m_router, kDeployment, m_pool_options);
  AddUpstream("r1", 1);
  AttemptNumber running = Admit(MakeRequest("a")).m_starts[0].m_attempt;
  std::map<std::uint64_t, std::string> customers;
  for (int i = 0; i < 20; ++i) {
    Admit(MakeRequest("a"));
    customers[m_last_request] = "a";
  }
  for (int i = 0; i < 4; ++i) {
    Admit(MakeRequest("b"));
    customers[m_last_request] = "b";
  }
  int served_b = 0;
  for (int i = 0; i < 9; ++i) {
    Decisions decisions = Finish(running, milliseconds(10));
    ASSERT_EQ(decisions.m_starts.size(), 1u);
    running = decisions.m_starts[0].m_attempt;
    if (customers[decisions.m_starts[0].m_request.Value()] == "b") ++served_b;
  }
  EXPECT_EQ(served_b, 4);
}

// Guards against requests that keep going to an upstream that has become slow,
// and against an ejection that never ends.
TEST_F(RouterTest, SlowUpstreamIsEjectedAndProbed) {
  for (const char *name : {"r1", "r2", "r3", "r4"}) AddUpstream(name, 4);
  auto run = [&](bool is_r1_slow) {
    Decisions decisions = Admit(MakeRequest());
    bool is_r1 = decisions.m_starts[0].m_upstream.Value() == "r1";
    Finish(decisions.m_starts[0].m_attempt,
           milliseconds(is_r1 && is_r1_slow ? 1'000 : 100));
    return is_r1;
  };
  for (int i = 0; i < 200; ++i) run(false);
  int sent_to_slow = 0;
  for (int i = 0; i < 400; ++i) sent_to_slow += run(true) ? 1 : 0;
  EXPECT_GT(m_router.m_counters.m_ejections, 0u);
  EXPECT_LT(sent_to_slow, 40);
  int sent_after = 0;
  for (int i = 0; i < 2'000; ++i) sent_after += run(false) ? 1 : 0;
  EXPECT_GT(sent_after, 200);
}

}  // namespace
}  // namespace wasabiwind::route
