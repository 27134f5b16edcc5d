/** @file soak_test.cpp Fault plans of the soak, and that its monitor detects
 * violations of each guarantee. */

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>
#include <thread>

#include "net/fiber_scheduler.h"
#include "net/http_server.h"
#include "platform/control_protocol_func.h"
#include "platform/gateway_protocol_func.h"
#include "platform/soak_protocol_func.h"
#include "soak/client.h"
#include "soak/fake_runner.h"
#include "soak/link_proxy.h"
#include "soak/monitor.h"
#include "soak/plan_func.h"
#include "soak/repeating_callers.h"

namespace wasabiwind::soak {
namespace {

using std::chrono::milliseconds;

constexpr const char *kSignature = "u1.1";

TEST(SoakPlanTest, SameSeedGivesSamePlan) {
  SoakPlan first = MakePlan(7, milliseconds(60'000));
  SoakPlan again = MakePlan(7, milliseconds(60'000));
  ASSERT_EQ(first.m_faults.size(), again.m_faults.size());
  for (std::size_t i = 0; i < first.m_faults.size(); ++i) {
    EXPECT_EQ(first.m_faults[i].m_at, again.m_faults[i].m_at);
    EXPECT_EQ(first.m_faults[i].m_kind, again.m_faults[i].m_kind);
    EXPECT_EQ(first.m_faults[i].m_target, again.m_faults[i].m_target);
  }
  EXPECT_NE(first.m_faults.size(),
            MakePlan(8, milliseconds(60'000)).m_faults.size());
}

// The control group tolerates no second fault while a host lacks its disk.
TEST(SoakPlanTest, NoOtherControlFaultWhileADiskIsReplaced) {
  constexpr milliseconds kGuard{6'000};
  int wipes = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    milliseconds guarded(0);
    for (const PlannedFault &fault :
         MakePlan(seed, milliseconds(60'000)).m_faults) {
      if (!AffectsControl(fault.m_kind)) continue;
      EXPECT_GE(fault.m_at, guarded) << "seed " << seed;
      if (fault.m_kind != FaultKind::kWipeControl) continue;
      ++wipes;
      guarded = fault.m_at + fault.m_duration + kGuard;
    }
  }
  EXPECT_GT(wipes, 0);
}

TEST(SoakPlanTest, EveryFaultKindOccurs) {
  std::set<FaultKind> seen;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const PlannedFault &fault :
         MakePlan(seed, milliseconds(32'000)).m_faults) {
      seen.insert(fault.m_kind);
    }
  }
  for (int kind = 0; kind < static_cast<int>(FaultKind::kEnd); ++kind) {
    EXPECT_TRUE(seen.contains(static_cast<FaultKind>(kind)))
        << GetFaultName(static_cast<FaultKind>(kind));
  }
}

// The seeds that CI runs keep the phases for which they were chosen.
TEST(SoakPlanTest, KnownSeedsKeepTheirFirstPhase) {
  auto get_first_fault = [](std::uint64_t seed) {
    return MakePlan(seed, milliseconds(18'000)).m_faults.front();
  };
  milliseconds start(1'000);
  for (std::uint64_t seed : {1, 4}) {
    EXPECT_EQ(get_first_fault(seed).m_kind, FaultKind::kFillDisk) << seed;
    EXPECT_EQ(get_first_fault(seed).m_at, start) << seed;
  }
  EXPECT_EQ(get_first_fault(2).m_kind, FaultKind::kCrashingPrompts);
  EXPECT_EQ(get_first_fault(3).m_kind, FaultKind::kFreezeRunner);
  EXPECT_EQ(get_first_fault(6).m_kind, FaultKind::kCrashingRequests);
  EXPECT_EQ(get_first_fault(8004).m_at, milliseconds(500));
}

// A runner that is silent beside other faults shows nothing about planned work.
TEST(SoakPlanTest, RunnersFreezeBesideChangesOnly) {
  SoakPlan plan = MakePlan(3, milliseconds(18'000));
  int freezes = 0;
  milliseconds end(0);
  for (const PlannedFault &fault : plan.m_faults) {
    if (fault.m_kind != FaultKind::kFreezeRunner) {
      EXPECT_GT(fault.m_at, end);
      continue;
    }
    ++freezes;
    EXPECT_GE(fault.m_duration, milliseconds(1'000));
    EXPECT_LE(fault.m_duration, milliseconds(2'200));
    end = std::max(end, fault.m_at + fault.m_duration);
  }
  EXPECT_GT(freezes, 10);
  EXPECT_LT(plan.m_changes.front().m_at, end);
}

/** @return a request of a kind, for a choice of crashing requests. */
const RepeatedRequest &FindRepeated(
    const std::vector<RepeatedRequest> &requests, const std::string &name) {
  return *std::find_if(requests.begin(), requests.end(),
                       [&name](const RepeatedRequest &item) {
                         return item.m_record.m_repeated_as == name;
                       });
}

// A crashing request must be told from sound ones by all of its fields only.
TEST(RepeatedRequestsTest, CrashingRequestsShareEachFieldWithSoundOnes) {
  for (std::uint32_t choice = 0; choice < 12; ++choice) {
    std::vector<RepeatedRequest> requests =
        MakeRepeatedRequests(choice, {"m0", "m1", "m2"});
    int crashing = 0;
    int meeting_crashes = 0;
    std::set<std::string> names;
    for (const RepeatedRequest &item : requests) {
      names.insert(item.m_record.m_repeated_as);
      meeting_crashes += item.m_meets_crashes ? 1 : 0;
      if (!item.m_record.m_crashes_runners) continue;
      EXPECT_FALSE(item.m_meets_crashes);
      std::string number = std::to_string(crashing++);
      const CallerRequest &bad = item.m_request;
      const RepeatedRequest &body =
          FindRepeated(requests, "other-body-" + number);
      const RepeatedRequest &path =
          FindRepeated(requests, "other-path-" + number);
      EXPECT_EQ(body.m_request.m_path, bad.m_path);
      EXPECT_EQ(body.m_request.m_prompt_parts, bad.m_prompt_parts);
      EXPECT_NE(body.m_request.m_body, bad.m_body);
      EXPECT_EQ(path.m_request.m_body, bad.m_body);
      EXPECT_EQ(path.m_request.m_prompt_parts, bad.m_prompt_parts);
      EXPECT_NE(path.m_request.m_path, bad.m_path);
      EXPECT_NE(path.m_record.m_is_repeatable, item.m_record.m_is_repeatable);
    }
    EXPECT_EQ(crashing, static_cast<int>(choice % 3) + 1);
    EXPECT_EQ(meeting_crashes, 2);
    EXPECT_EQ(names.size(), requests.size());
  }
}

/** A monitor with short bounds and one entry host. */
class MonitorTest : public testing::Test {
 protected:
  static SoakBounds MakeBounds() {
    SoakBounds bounds;
    bounds.m_recovery_time = milliseconds(20);
    bounds.m_drain = milliseconds(10);
    bounds.m_apply_time = milliseconds(10);
    bounds.m_max_apply_time = milliseconds(40);
    bounds.m_pause_reaction = milliseconds(20);
    bounds.m_quarantine_time = milliseconds(10);
    bounds.m_max_wrong_quarantine = milliseconds(10);
    bounds.m_rollback_time = milliseconds(10);
    bounds.m_weight_mb = 200;
    bounds.m_adapter_slots = 1;
    return bounds;
  }

  void Send(const std::string &id, const std::string &path,
            bool is_repeatable) {
    RequestRecord record;
    record.m_path = path;
    record.m_body = "body";
    record.m_is_repeatable = is_repeatable;
    record.m_sent_at = base::Clock::now();
    m_monitor.RecordRequest(id, record);
  }

  void SendWithTimeout(const std::string &id, milliseconds timeout) {
    RequestRecord record;
    record.m_path = "/safe/";
    record.m_is_repeatable = true;
    record.m_sent_at = base::Clock::now();
    record.m_timeout = timeout;
    m_monitor.RecordRequest(id, record);
  }

  void RunAt(const std::string &id, const std::string &path,
             const std::string &service, const std::string &body = "body") {
    net::HttpRequest request;
    request.m_target = path;
    request.m_body = body;
    ForwardedRequest forwarded;
    forwarded.m_id = id;
    m_monitor.RecordExecution(service, kSignature, forwarded, request);
  }

  void Answer(const std::string &id, int status, const std::string &body,
              const std::string &signature) {
    net::HttpResponse response;
    response.m_status = status;
    response.m_body = body;
    m_monitor.RecordResponse(id, response, signature, "");
  }

  void SendRepeated(const std::string &id, const std::string &name,
                    bool crashes_runners) {
    RequestRecord record;
    record.m_path = "/safe/";
    record.m_body = "body";
    record.m_is_repeatable = true;
    record.m_repeated_as = name;
    record.m_crashes_runners = crashes_runners;
    record.m_sent_at = base::Clock::now();
    m_monitor.RecordRequest(id, record);
  }

  void Refuse(const std::string &id, const std::string &reason) {
    net::HttpResponse response;
    response.m_status = 503;
    m_monitor.RecordResponse(id, response, "", reason);
  }

  fleet_control::RunnerOrder MakeOrder(const std::string &holder,
                                       std::uint64_t fence) {
    fleet_control::RunnerOrder order;
    order.m_holder = holder;
    order.m_fence = fence;
    return order;
  }

  /** @return the violated guarantees, without details. */
  std::string GetViolatedGuarantees() const {
    std::string all;
    for (const std::string &violation : m_monitor.GetViolations()) {
      all += violation.substr(0, violation.find(':')) + ";";
    }
    return all;
  }

  static void Pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

  /** Longer than all bounds and margins. */
  static constexpr int kLongPauseMs = 300;

  Monitor m_monitor{MakeBounds(), 1};
};

TEST_F(MonitorTest, AcceptsARequestThatRanOnce) {
  Send("r", "/once/", false);
  RunAt("r", "/once/", "desk-0");
  Answer("r", 200, Monitor::MakeAnswer("r", kSignature), kSignature);
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

/** Runs a request with a key at an upstream.
 * @param sent_after the acknowledgement of table 2
 * @return the violated guarantees */
std::string RunWithKey(std::uint64_t key_version, milliseconds sent_after,
                       const std::string &team, const std::string &credential) {
  Monitor monitor(SoakBounds(), 1);
  monitor.m_has_teams = true;
  monitor.RecordSentTable(1, "one");
  monitor.RecordAcknowledgedTable(1);
  monitor.RecordSentTable(2, "two");
  monitor.RecordAcknowledgedTable(2);
  RequestRecord record;
  record.m_path = "/safe/";
  record.m_team = Monitor::kTeam;
  record.m_is_repeatable = true;
  record.m_key_version = key_version;
  record.m_sent_at = base::Clock::now() + sent_after;
  monitor.RecordRequest("r", record);
  net::HttpRequest request;
  request.m_target = "/safe/";
  request.m_headers.Add("Authorization", credential);
  ForwardedRequest forwarded;
  forwarded.m_id = "r";
  forwarded.m_team = team;
  monitor.RecordExecution("desk-0", kSignature, forwarded, request);
  std::string all;
  for (const std::string &violation : monitor.GetViolations()) {
    all += violation.substr(0, violation.find(':')) + ";";
  }
  return all;
}

TEST(MonitorKeyTest, CatchesRunsUnderKeysRevokedLongerThanTheBound) {
  milliseconds bound = SoakBounds().m_revocation_time;
  milliseconds late = bound + milliseconds(1);
  EXPECT_EQ(RunWithKey(1, bound - milliseconds(200), "red", ""), "");
  EXPECT_EQ(RunWithKey(1, late, "red", ""), "revoked keys;");
  EXPECT_EQ(RunWithKey(2, late, "red", ""), "");
  EXPECT_EQ(RunWithKey(Monitor::kLastingKey, late, "red", ""), "");
}

TEST(MonitorKeyTest, CatchesKeysAndWrongTeamsAtRunners) {
  milliseconds now(0);
  EXPECT_EQ(RunWithKey(2, now, "red", "Bearer " + Monitor::MakeKey(2)),
            "secret keys;");
  EXPECT_EQ(RunWithKey(2, now, "forged", ""), "teams;");
  EXPECT_EQ(RunWithKey(2, now, "", ""), "teams;");
}

TEST_F(MonitorTest, CatchesARefusalOfAKeyInAllTables) {
  m_monitor.m_has_teams = true;
  Send("r", "/safe/", true);
  Answer("r", 401, "", "");
  EXPECT_EQ(GetViolatedGuarantees(), "known keys;");
}

TEST_F(MonitorTest, CatchesASecondRun) {
  Send("r", "/once/", false);
  RunAt("r", "/once/", "desk-0");
  RunAt("r", "/once/", "desk-0");
  EXPECT_EQ(GetViolatedGuarantees(), "at most once;");
}

TEST_F(MonitorTest, CatchesARefusalOfARequestThatRan) {
  Send("r", "/once/", false);
  RunAt("r", "/once/", "desk-0");
  Answer("r", 503, "", "");
  EXPECT_EQ(GetViolatedGuarantees(), "true refusals;");
}

TEST_F(MonitorTest, CatchesARunAfterARefusal) {
  Send("r", "/once/", false);
  Answer("r", 503, "", "");
  RunAt("r", "/once/", "desk-0");
  EXPECT_EQ(GetViolatedGuarantees(), "true refusals;");
}

TEST_F(MonitorTest, CatchesAnAnswerOfAnotherRequest) {
  Send("r", "/safe/", true);
  RunAt("r", "/safe/", "desk-0");
  Answer("r", 200, Monitor::MakeAnswer("q", kSignature), kSignature);
  Answer("r", 200, Monitor::MakeAnswer("r", "u9.9"), "u9.9");
  EXPECT_EQ(GetViolatedGuarantees(), "own answers;own answers;");
}

TEST_F(MonitorTest, CatchesAStreamThatLacksAnEvent) {
  RequestRecord record;
  record.m_path = "/flow/";
  record.m_model = "m0";
  record.m_is_stream = true;
  m_monitor.RecordRequest("r", record);
  net::HttpRequest request;
  request.m_target = "/flow/";
  ForwardedRequest forwarded;
  forwarded.m_id = "r";
  forwarded.m_model = "m0";
  m_monitor.RecordExecution("engines", kSignature, forwarded, request);
  std::string body;
  for (int event = 1; event <= Monitor::kEventsPerStream; ++event) {
    if (event != 3) body += Monitor::MakeEvent("r", event);
  }
  Answer("r", 200, body, kSignature);
  EXPECT_EQ(GetViolatedGuarantees(), "own answers;");
}

TEST_F(MonitorTest, CatchesUnknownAndChangedRequests) {
  RunAt("r", "/safe/", "desk-0");
  Send("q", "/safe/", true);
  RunAt("q", "/safe/", "desk-0", "another body");
  EXPECT_EQ(GetViolatedGuarantees(), "asked;unchanged;");
}

TEST_F(MonitorTest, CatchesTheWrongService) {
  Send("r", "/once/", false);
  RunAt("r", "/once/", "desk-1");
  EXPECT_EQ(GetViolatedGuarantees(), "route;");
}

TEST_F(MonitorTest, CatchesARequestAfterALeave) {
  m_monitor.RecordLeaving("u1", base::Clock::now());
  Pause(kLongPauseMs);
  Send("r", "/once/", false);
  m_monitor.RecordForwardedRequest("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "leave;");
}

TEST_F(MonitorTest, IgnoresTimeLimitsOfADisturbedHost) {
  m_monitor.RecordLeaving("u1", base::Clock::now());
  m_monitor.RecordEntryDisturbance(0, base::Clock::now());
  Pause(kLongPauseMs);
  m_monitor.RecordEntryDisturbance(0, base::Clock::now());
  Send("r", "/once/", false);
  m_monitor.RecordForwardedRequest("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

TEST_F(MonitorTest, CatchesATableThatIsNotInForce) {
  m_monitor.RecordSentTable(1, "one");
  m_monitor.RecordAcknowledgedTable(1);
  m_monitor.RecordSentTable(2, "two");
  m_monitor.RecordAcknowledgedTable(2);
  Pause(kLongPauseMs);
  Send("r", "/move/", true);
  RunAt("r", "/move/", "desk-1");
  EXPECT_EQ(GetViolatedGuarantees(), "in force;");
}

// One control host that is behind is no reason for an old table.
TEST_F(MonitorTest, CatchesAnOldTableWhileOneControlHostIsBehind) {
  for (int other_host : {0, 1}) {
    m_monitor.RecordSentTable(1, "one");
    m_monitor.RecordSentTable(2, "two");
    m_monitor.RecordAcknowledgedTable(2);
    Pause(kLongPauseMs);
    m_monitor.RecordControlDisturbance(0, base::Clock::now());
    m_monitor.RecordControlDisturbance(other_host, base::Clock::now());
    std::string id = "r" + std::to_string(other_host);
    Send(id, "/move/", true);
    RunAt(id, "/move/", "desk-1");
    // With two of three hosts, tables may be late.
    EXPECT_EQ(GetViolatedGuarantees(), "in force;") << other_host;
  }
}

TEST_F(MonitorTest, CatchesARequestAfterAnAnswerThatSaidLeaving) {
  Send("r", "/once/", false);
  m_monitor.RecordSaidLeaving("u1", "r");
  Send("early", "/once/", false);
  Pause(kLongPauseMs);
  m_monitor.RecordArrival("u1", "early");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  Send("late", "/once/", false);
  m_monitor.RecordArrival("u2", "late");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  m_monitor.RecordArrival("u1", "late");
  EXPECT_EQ(GetViolatedGuarantees(), "said leave;");
}

TEST_F(MonitorTest, CatchesRequestsInAPause) {
  Send("r", "/once/", false);
  m_monitor.RecordPause("u1", "r", milliseconds(5'000));
  // On their way when the pause began.
  for (int i = 0; i < 5; ++i) m_monitor.RecordArrival("u1", "r");
  Pause(kLongPauseMs);
  for (int i = 0; i < 2; ++i) m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "pause;");
}

TEST_F(MonitorTest, CatchesCrashingPromptsThatGoOn) {
  for (int i = 0; i < 5; ++i) m_monitor.RecordPromptCrash();
  Send("r", "/flow/", true);
  m_monitor.RecordCrashingPrompt("r");
  Pause(kLongPauseMs);
  for (int i = 0; i < 3; ++i) m_monitor.RecordCrashingPrompt("r");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  m_monitor.RecordCrashingPrompt("r");
  EXPECT_EQ(GetViolatedGuarantees(), "crashing prompts;");
}

TEST_F(MonitorTest, CatchesCrashingRequestsThatGoOn) {
  SendRepeated("r", "first", true);
  SendRepeated("q", "second", true);
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(m_monitor.TakeCrash("r"));
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(m_monitor.TakeCrash("q"));
  m_monitor.RecordArrival("u1", "r");
  Pause(kLongPauseMs);
  // Two crashes under a request are no reason to refuse it.
  for (int i = 0; i < 9; ++i) m_monitor.RecordArrival("u1", "q");
  for (int i = 0; i < 3; ++i) m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "crashing requests;");
}

TEST_F(MonitorTest, IgnoresCrashingRequestsFromADisturbedHost) {
  SendRepeated("r", "first", true);
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(m_monitor.TakeCrash("r"));
  Pause(kLongPauseMs);
  m_monitor.RecordEntryDisturbance(0, base::Clock::now());
  for (int i = 0; i < 9; ++i) m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

TEST_F(MonitorTest, CatchesALongRefusalOfSoundRequests) {
  Send("r", "/once/", false);
  Refuse("r", "prompt_quarantined");
  Pause(kLongPauseMs);
  Send("q", "/safe/", true);
  Refuse("q", "prompt_quarantined");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  Send("s", "/once/", false);
  Refuse("s", "quarantined");
  EXPECT_EQ(GetViolatedGuarantees(), "wrong quarantine;");
}

TEST_F(MonitorTest, IgnoresShortRefusalsOfSoundRequests) {
  SendRepeated("r", "sound", false);
  Refuse("r", "quarantined");
  SendRepeated("served", "sound", false);
  RunAt("served", "/safe/", "desk-0");
  Answer("served", 200, Monitor::MakeAnswer("served", kSignature), kSignature);
  Pause(kLongPauseMs);
  SendRepeated("q", "sound", false);
  Refuse("q", "quarantined");
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

TEST_F(MonitorTest, IgnoresRefusalsOfCrashingOrForOtherReasons) {
  SendRepeated("r", "crashing", true);
  SendRepeated("q", "sound", false);
  for (int i = 0; i < 2; ++i) {
    Refuse("r", "quarantined");
    Refuse("q", "no_model");
    Pause(kLongPauseMs);
  }
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

// Crashes for other reasons must not depend on the request that is refused.
TEST_F(MonitorTest, CatchesARefusalAfterCrashesForOtherReasons) {
  SendRepeated("r", "sound", false);
  EXPECT_FALSE(m_monitor.TakeCrash("r"));
  for (int i = 0; i < 3; ++i) {
    m_monitor.ScheduleCrash("sound");
    EXPECT_TRUE(m_monitor.TakeCrash("r"));
    EXPECT_FALSE(m_monitor.TakeCrash("r"));
  }
  Pause(kLongPauseMs);
  for (int i = 0; i < 9; ++i) m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  Refuse("r", "quarantined");
  Pause(kLongPauseMs);
  SendRepeated("q", "sound", false);
  Refuse("q", "quarantined");
  EXPECT_EQ(GetViolatedGuarantees(), "wrong quarantine;");
}

TEST_F(MonitorTest, CatchesAHostThatRevertsToAnOldTable) {
  m_monitor.RecordSentTable(1, "one");
  m_monitor.RecordSentTable(2, "two");
  Send("r", "/move/", true);
  RunAt("r", "/move/", "desk-2");
  Pause(kLongPauseMs);
  Send("q", "/move/", true);
  RunAt("q", "/move/", "desk-1");
  EXPECT_EQ(GetViolatedGuarantees(), "never back;");
}

// A request that was handled by an older table and arrives late shows no newer
// table of the same service. (Soak seed 8001.)
TEST_F(MonitorTest, DelayedRequestDoesNotShowANewerTable) {
  for (std::uint64_t version : {3, 4, 5, 6}) {
    m_monitor.RecordSentTable(version, "table");
  }
  Send("first", "/move/", true);
  RunAt("first", "/move/", "desk-0");  // version 3
  Send("delayed", "/move/", true);
  Send("next", "/move/", true);
  RunAt("next", "/move/", "desk-1");  // version 4
  Pause(kLongPauseMs);
  RunAt("delayed", "/move/", "desk-0");  // still version 3
  Pause(kLongPauseMs);
  Send("last", "/move/", true);
  RunAt("last", "/move/", "desk-2");  // version 5
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

TEST_F(MonitorTest, CatchesALostTable) {
  m_monitor.RecordSentTable(1, "one");
  m_monitor.RecordSentTable(2, "two");
  m_monitor.RecordAcknowledgedTable(2);
  m_monitor.RecordReadTable("one", 2);
  m_monitor.RecordReadTable("three", 0);
  EXPECT_EQ(GetViolatedGuarantees(), "nothing lost;nothing lost;");
}

TEST_F(MonitorTest, CatchesTwoHoldersOfOrders) {
  Monitor::RunnerUsage usage{90, 0};
  m_monitor.RecordAcceptedOrder("u1", MakeOrder("a", 3), usage, false);
  m_monitor.RecordAcceptedOrder("u1", MakeOrder("b", 3), usage, false);
  EXPECT_EQ(GetViolatedGuarantees(), "one holder;");
  m_monitor.RecordAcceptedOrder("u1", MakeOrder("c", 4), usage, false);
  EXPECT_EQ(GetViolatedGuarantees(), "one holder;one holder;");
}

TEST_F(MonitorTest, CatchesOvercommittedMemory) {
  m_monitor.RecordAcceptedOrder("u1", MakeOrder("a", 1), {270, 0}, false);
  m_monitor.RecordAcceptedOrder("u1", MakeOrder("a", 1), {90, 2}, false);
  EXPECT_EQ(GetViolatedGuarantees(), "memory;memory;");
}

TEST_F(MonitorTest, CatchesTooManyLoadsFromTheStore) {
  for (int i = 0; i < 25; ++i) {
    m_monitor.RecordAcceptedOrder("u1", MakeOrder("a", 1), {90, 0}, true);
  }
  EXPECT_EQ(GetViolatedGuarantees().substr(0, 6), "store;");
}

TEST_F(MonitorTest, CatchesAConnectionLostInPlannedWork) {
  Send("r", "/once/", false);
  RunAt("r", "/once/", "desk-0");
  m_monitor.RecordLostConnection("r");
  EXPECT_EQ(GetViolatedGuarantees(), "planned work cuts nothing;");
}

// An entry host gave up a request at a silent runner, though its caller waited.
TEST_F(MonitorTest, CatchesAnEarlyFailureInPlannedWork) {
  SendWithTimeout("r", milliseconds(5'000));
  Answer("r", 502, "", "");
  SendWithTimeout("q", milliseconds(5'000));
  Answer("q", 504, "", "");
  EXPECT_EQ(GetViolatedGuarantees(),
            "planned work cuts nothing;planned work cuts nothing;");
}

TEST_F(MonitorTest, IgnoresFailuresNearTheDeadlineOrBesideFaults) {
  SendWithTimeout("late", milliseconds(100));
  Pause(80);
  Answer("late", 504, "", "");
  SendWithTimeout("refused", milliseconds(5'000));
  Answer("refused", 503, "", "");
  m_monitor.RecordUpstreamDisturbance(base::Clock::now());
  SendWithTimeout("disturbed", milliseconds(5'000));
  Answer("disturbed", 502, "", "");
  EXPECT_EQ(GetViolatedGuarantees(), "");
}

// The runner stood still when the connection ended, and read the request later.
TEST_F(MonitorTest, CatchesALostConnectionOfARequestAtAFrozenRunner) {
  Send("r", "/safe/", true);
  Send("idle", "/safe/", true);
  m_monitor.RecordLostConnection("r");
  m_monitor.RecordLostConnection("idle");
  EXPECT_EQ(GetViolatedGuarantees(), "");
  m_monitor.RecordArrival("u1", "r");
  m_monitor.RecordArrival("u1", "r");
  EXPECT_EQ(GetViolatedGuarantees(), "planned work cuts nothing;");
}

/** @return an address that tests that run at the same time don't share. */
std::string MakeTestIp() {
  constexpr int kAddresses = 250;
  int process = ::getpid();
  return "127.29." + std::to_string(1 + process / kAddresses % kAddresses) +
         "." + std::to_string(1 + process % kAddresses);
}

/** A runner of service desk-0 without control hosts. */
FakeRunnerOptions MakeRunnerOptions() {
  std::string ip = MakeTestIp();
  FakeRunnerOptions options;
  options.m_name = "u0";
  options.m_service = "desk-0";
  options.m_listen = {ip, 18'210};
  options.m_reported_endpoint = {ip, 18'200};
  options.m_control_endpoints = {{ip, 18'144}};
  return options;
}

// A runner that is only silent must lose neither requests nor connections.
TEST(FakeRunnerTest, FrozenRunnerGoesOnWithTheSameRequest) {
  constexpr milliseconds kFreeze{300};
  SoakProtocol protocol = platform::MakeSoakProtocol();
  Monitor monitor(SoakBounds(), 1);
  FakeRunnerOptions options = MakeRunnerOptions();
  CallerRequest request;
  request.m_id = "r";
  request.m_path = "/once/";
  RequestRecord record;
  record.m_path = request.m_path;
  monitor.RecordRequest(request.m_id, record);
  net::RunFiberThread([&] {
    FakeRunner runner(options, &protocol, &monitor);
    ASSERT_TRUE(runner.Listen());
    boost::fibers::fiber run([&] { runner.Run(); });
    net::SleepFor(milliseconds(20));
    net::HttpClientPool client;
    base::TimePoint start = base::Clock::now();
    boost::fibers::fiber freeze([&] { runner.Freeze(kFreeze); });
    net::SleepFor(milliseconds(20));
    auto answer = client.Fetch(options.m_reported_endpoint,
                               protocol.m_encode_request(request),
                               start + milliseconds(5'000));
    EXPECT_GE(base::Clock::now() - start, kFreeze);
    EXPECT_TRUE(answer && answer->m_status == 200);
    freeze.join();
    // Not at once again, so that no silence is longer than planned.
    start = base::Clock::now();
    runner.Freeze(kFreeze);
    EXPECT_LT(base::Clock::now() - start, kFreeze);
    runner.Stop();
    run.join();
  });
  EXPECT_TRUE(monitor.GetViolations().empty());
}

// The runner restarts, so that what it ran is lost, and serves others later.
TEST(FakeRunnerTest, CrashesUnderACrashingRequestOnly) {
  SoakProtocol protocol = platform::MakeSoakProtocol();
  Monitor monitor(SoakBounds(), 1);
  FakeRunnerOptions options = MakeRunnerOptions();
  std::map<std::string, bool> served;
  net::RunFiberThread([&] {
    FakeRunner runner(options, &protocol, &monitor);
    ASSERT_TRUE(runner.Listen());
    boost::fibers::fiber run([&] { runner.Run(); });
    net::SleepFor(milliseconds(20));
    net::HttpClientPool client;
    for (const char *name : {"sound", "crashing", "too-early"}) {
      CallerRequest request;
      request.m_id = name;
      request.m_path = "/once/";
      RequestRecord record;
      record.m_path = request.m_path;
      record.m_repeated_as = name;
      record.m_crashes_runners = request.m_id == "crashing";
      monitor.RecordRequest(request.m_id, record);
      auto answer = client.Fetch(options.m_reported_endpoint,
                                 protocol.m_encode_request(request),
                                 base::Clock::now() + milliseconds(1'000));
      served[name] = answer && answer->m_status == 200;
    }
    runner.Stop();
    run.join();
  });
  EXPECT_TRUE(served["sound"]);
  EXPECT_FALSE(served["crashing"]);
  EXPECT_FALSE(served["too-early"]);
  EXPECT_EQ(monitor.m_counts["request_crashes"], 1);
}

// Repeated requests must not be known by the address of their caller.
TEST(LinkProxyTest, ConnectsFromTheGivenAddress) {
  std::string ip = MakeTestIp();
  std::string caller_ip = "127.28.1.1";
  net::Endpoint listen{ip, 18'401};
  net::Endpoint target{ip, 18'402};
  std::string seen;
  net::RunFiberThread([&] {
    net::HttpServerOptions options;
    options.m_listen = target;
    net::HttpServer server(
        options, [&](const net::HttpRequest &, net::HttpExchange &exchange) {
          seen = exchange.PeerAddress();
          (void)exchange.Respond(net::HttpResponse());
        });
    LinkProxy link(listen, target, caller_ip);
    ASSERT_TRUE(server.Listen());
    ASSERT_TRUE(link.Listen());
    boost::fibers::fiber server_fiber([&] { server.Serve(); });
    boost::fibers::fiber link_fiber([&] { link.Serve(); });
    {
      net::HttpClientPool client;
      net::HttpRequest request;
      request.m_method = "GET";
      request.m_target = "/";
      auto answer = client.Fetch(listen, request,
                                 base::Clock::now() + milliseconds(1'000));
      EXPECT_TRUE(answer && answer->m_status == 200);
    }
    link.Stop();
    server.Stop();
    link_fiber.join();
    server_fiber.join();
  });
  EXPECT_EQ(seen.substr(0, seen.find(':')), caller_ip);
}

// The monitor must know why entry hosts refuse.
TEST(SoakProtocolTest, ReadsTheReasonOfARefusal) {
  SoakProtocol soak = platform::MakeSoakProtocol();
  gateway::RefusalDetails details;
  details.m_status = 503;
  details.m_reason = "prompt_quarantined";
  net::HttpResponse refusal =
      platform::MakeGatewayProtocol().m_make_refusal(details);
  EXPECT_EQ(soak.m_get_refusal_reason(refusal), "prompt_quarantined");
  net::HttpResponse answer;
  answer.m_status = 200;
  answer.m_body = R"({"reason":"quarantined"})";
  EXPECT_EQ(soak.m_get_refusal_reason(answer), "");
  answer.m_status = 502;
  answer.m_body = "no JSON";
  EXPECT_EQ(soak.m_get_refusal_reason(answer), "");
}

// Control hosts must decode the same table that the soak's operator encodes.
TEST(SoakProtocolTest, DecodedTableEqualsEncodedTable) {
  SoakProtocol soak = platform::MakeSoakProtocol();
  gen::RouteTable table = MakeSoakTable({"m0", "m1"}, 90, 300, 2, 3, 3);
  table.set_version(5);
  net::HttpRequest put = soak.m_encode_put_table(soak.m_encode_table(table));
  auto call = platform::MakeControlProtocol().m_decode_call(put);
  ASSERT_TRUE(call) << call.error().ToString();
  const auto *read = std::get_if<fleet_control::PutTableCall>(&*call);
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->m_table.DebugString(), table.DebugString());
}

}  // namespace
}  // namespace wasabiwind::soak
