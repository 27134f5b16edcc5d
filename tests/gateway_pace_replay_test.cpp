/** @file gateway_pace_replay_test.cpp Loads of started and recovered runners,
 * replayed in virtual time with and without a pace.
 *
 * Runs the real choice, load tracking and pace of several entry hosts against
 * runners that prefill one prompt after another.
 */

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>

#include "gateway/choose_func.h"
#include "gateway/runner_load_func.h"

namespace wasabiwind::gateway {
namespace {

constexpr const char *kPublisher = "10.0.0.1:7000";
constexpr int kHosts = 6;
constexpr int kSharedTokens = 6'000;
constexpr int kOwnTokens = 300;
constexpr int kPrompts = 12;
/** Time between two requests: a little more than two warm runners answer. */
constexpr int kGapMs = 8;
constexpr int kWarmMs = 8'000;  ///< until all runners have cached all prompts
constexpr int kEndMs = 20'000;
constexpr int kStreamMs = 500;
constexpr int kLateMs = 600;  ///< a first event after this is late
constexpr int kKvTokens = 100'000;

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) + base::milliseconds(ms);
}

/** Prefills one prompt after another. */
struct ReplayRunner {
  std::uint64_t m_start = 1;
  double m_slowdown = 1;
  int m_slow_until = 0;
  int m_down_from = 0;  ///< refuses connections
  int m_down_until = 0;
  int m_fails_from = 0;  ///< fails each request after kFailureMs
  int m_fails_until = 0;
  double m_busy_until = 0;
  std::set<std::string> m_cached;
  int m_sent = 0;
  int m_late = 0;
  int m_failed = 0;
  int m_sent_after_recovery = 0;  ///< within kRecoveryMs of m_down_until
};
constexpr int kFailureMs = 300;
constexpr int kRecoveryMs = 2'000;

class Replay {
 public:
  explicit Replay(bool is_paced) : m_is_paced(is_paced) {
    m_service.set_name("llm");
    m_service.mutable_engine()->set_kv_tokens(kKvTokens);
    m_location.m_domain = "near";
    m_location.m_region = "r1";
    m_location.m_region_by_domain = {{"near", "r1"}};
    for (const char *id : {"i-1", "i-2", "i-3"}) Report(id);
  }

  /** Publishes the current start of a runner. */
  void Report(const std::string &id) {
    gen::Fact fact;
    gen::UpstreamReport *report = fact.mutable_upstream();
    report->set_id(id);
    report->set_born_ms(m_runners[id].m_start);
    report->set_report_number(++m_number);
    report->set_service("llm");
    report->set_address(id + ":80");
    report->set_domain("near");
    report->set_state(gen::UPSTREAM_READY);
    report->add_models()->set_name("m");
    fleet::ApplyFact(&m_view, kPublisher, fact, At(m_now));
  }

  void Restart(const std::string &id) {
    ReplayRunner &runner = m_runners[id];
    ++runner.m_start;
    runner.m_cached.clear();
    runner.m_busy_until = m_now;
    Report(id);
    m_started_at[id] = At(m_now);
  }

  void After(int ms, std::function<void()> action) {
    m_events.emplace(m_now + ms, std::move(action));
  }

  /** Sends a request every kGapMs, then runs until all have ended. */
  void Run() {
    for (int ms = 0, i = 0; ms < kEndMs; ms += kGapMs, ++i) {
      m_events.emplace(ms, [this, i] { Arrive(i); });
    }
    for (int ms = 0; m_is_paced && ms < kEndMs; ms += 50) {
      m_events.emplace(ms, [this] { Probe(); });
    }
    while (!m_events.empty()) {
      auto first = m_events.begin();
      m_now = first->first;
      std::function<void()> action = std::move(first->second);
      m_events.erase(first);
      m_view.m_publishers[kPublisher].m_heard_at = At(m_now);
      action();
    }
  }

  std::map<std::string, ReplayRunner> m_runners;

  int CountLate() const {
    int late = 0;
    for (const auto &[id, runner] : m_runners) late += runner.m_late;
    return late;
  }

 private:
  struct Sent {
    int m_host = 0;
    int m_at = 0;
    std::string m_id;
    std::string m_prompt;
    std::string m_runner;
    Choice m_choice;
    std::uint64_t m_start = 0;
  };

  void Track(const Sent &sent, gen::LoadUpdate *update) {
    update->set_upstream(sent.m_runner);
    update->set_born_ms(sent.m_start);
    update->set_request(sent.m_id);
    if (m_is_paced) {
      auto started = m_started_at.find(sent.m_runner);
      (void)ApplyPaceUpdate(
          &m_loads, *update,
          started == m_started_at.end() ? base::TimePoint() : started->second,
          At(m_now));
    }
    ApplyLoadUpdate(&m_loads, *update, kKvTokens, At(m_now));
  }

  /** Checks whether paused runners are reachable again. */
  void Probe() {
    for (StatsById &stats : m_stats) {
      for (auto &[id, item] : stats) {
        const ReplayRunner &runner = m_runners[id];
        bool is_due = TakeProbe(&item, At(m_now));
        if (is_due && m_now >= runner.m_down_until) {
          (void)RecordReachable(&item, At(m_now));
        }
      }
    }
  }

  void Arrive(int number) {
    Sent sent;
    sent.m_host = number % kHosts;
    sent.m_at = m_now;
    sent.m_prompt =
        "p" + std::to_string(number * 2'654'435'761ULL / 256 % kPrompts);
    for (int attempt = 0; attempt < 3; ++attempt) {
      sent.m_id = std::to_string(number) + "-" + std::to_string(attempt);
      if (Send(&sent)) return;
    }
  }

  /** @return false if the runner refused the connection */
  bool Send(Sent *sent) {
    RequestMetadata metadata;
    metadata.m_id = sent->m_id;
    metadata.m_model = "m";
    metadata.m_prompt_tokens = kSharedTokens + kOwnTokens;
    metadata.m_parts = {{sent->m_prompt, kSharedTokens},
                        {sent->m_id, kOwnTokens}};
    ChoiceRequest request;
    request.m_metadata = &metadata;
    request.m_service = &m_service;
    request.m_prefix_keys = MakePrefixKeys(metadata);
    request.m_is_paced = m_is_paced;
    StatsById &stats = m_stats[sent->m_host];
    Candidates candidates =
        ListCandidates(m_view, &stats, m_location, request, At(m_now));
    gen::LoadUpdate update;
    for (std::uint64_t key : request.m_prefix_keys) update.add_chain_keys(key);
    for (const PromptPart &part : metadata.m_parts) {
      update.add_part_tokens(part.m_tokens);
    }
    for (Candidate &candidate : candidates.m_list) {
      gen::LoadQuery query;
      query.set_upstream(candidate.m_upstream);
      *query.mutable_chain_keys() = update.chain_keys();
      *query.mutable_part_tokens() = update.part_tokens();
      ApplyLoad(request, MakeLoadAnswer(&m_loads, query, At(m_now)), At(m_now),
                &candidate);
    }
    sent->m_choice = PickCandidate(candidates);
    if (sent->m_choice.m_problem != ChoiceProblem::kNone) return false;
    sent->m_runner = sent->m_choice.m_upstream;
    ReplayRunner &runner = m_runners[sent->m_runner];
    sent->m_start = runner.m_start;
    if (m_now >= runner.m_down_from && m_now < runner.m_down_until) {
      RecordUnreachable(&stats[sent->m_runner], At(m_now));
      return false;
    }
    ++runner.m_sent;
    bool has_recovered = runner.m_down_until > 0 && m_now > runner.m_down_until;
    if (has_recovered && m_now < runner.m_down_until + kRecoveryMs) {
      ++runner.m_sent_after_recovery;
    }
    ++stats[sent->m_runner].m_in_flight;
    update.set_event(gen::LOAD_SENT);
    update.set_unread_tokens(sent->m_choice.m_prefill_tokens);
    update.set_patience_ms(20'000);
    Track(*sent, &update);
    if (m_now >= runner.m_fails_from && m_now < runner.m_fails_until) {
      After(kFailureMs, [this, sent = *sent] { Fail(sent); });
      return true;
    }
    double slowdown = m_now < runner.m_slow_until ? runner.m_slowdown : 1;
    bool is_cached = !runner.m_cached.insert(sent->m_prompt).second;
    double prefill_ms = (kOwnTokens + (is_cached ? 0 : kSharedTokens)) / 38.0;
    runner.m_busy_until = std::max<double>(runner.m_busy_until, m_now) +
                          slowdown * (10 + prefill_ms);
    After(static_cast<int>(runner.m_busy_until) + 25 - m_now,
          [this, sent = *sent] { Answer(sent); });
    return true;
  }

  void Answer(const Sent &sent) {
    ReplayRunner &runner = m_runners[sent.m_runner];
    UpstreamStats &stats = m_stats[sent.m_host][sent.m_runner];
    int took_ms = m_now - sent.m_at;
    if (sent.m_at >= kWarmMs && took_ms > kLateMs) ++runner.m_late;
    gen::LoadUpdate update;
    update.set_event(gen::LOAD_READ);
    update.set_first_event_ms(took_ms);
    update.set_expected_ms(sent.m_choice.m_expected_latency.count());
    Track(sent, &update);
    RecordSuccess(&stats, base::milliseconds(took_ms),
                  sent.m_choice.m_expected_latency, At(m_now));
    double ratio = static_cast<double>(took_ms) /
                   std::max<double>(1, update.expected_ms());
    (void)RecordPaceAnswer(
        &stats.m_pace, {stats.m_in_flight, At(sent.m_at), ratio}, At(m_now));
    After(kStreamMs, [this, sent] { End(sent, gen::LOAD_ANSWERED); });
  }

  void Fail(const Sent &sent) {
    ++m_runners[sent.m_runner].m_failed;
    RecordFailure(&m_stats[sent.m_host][sent.m_runner], 1, At(m_now));
    End(sent, gen::LOAD_FAILED);
  }

  void End(const Sent &sent, gen::LoadOutcome outcome) {
    UpstreamStats &stats = m_stats[sent.m_host][sent.m_runner];
    stats.m_in_flight = std::max(0, stats.m_in_flight - 1);
    gen::LoadUpdate update;
    update.set_event(gen::LOAD_OVER);
    update.set_outcome(outcome);
    Track(sent, &update);
  }

  bool m_is_paced;
  int m_now = 0;
  std::uint64_t m_number = 0;
  gen::RoutedService m_service;
  Location m_location;
  fleet::FleetView m_view;
  std::array<StatsById, kHosts> m_stats;
  RunnerLoads m_loads;
  std::map<std::string, base::TimePoint> m_started_at;
  std::multimap<int, std::function<void()>> m_events;
};

// A runner that comes back empty and slow looks idle beside warm siblings: it
// gets more than it answers in time.
TEST(PaceReplayTest, EmptyRunnerIsNotFlooded) {
  std::map<bool, int> late;
  for (bool is_paced : {false, true}) {
    Replay replay(is_paced);
    replay.After(kWarmMs, [&replay] {
      ReplayRunner &runner = replay.m_runners["i-1"];
      runner.m_slowdown = 5;
      runner.m_slow_until = kWarmMs + 6'000;
      replay.Restart("i-1");
    });
    replay.Run();
    late[is_paced] = replay.m_runners["i-1"].m_late;
    EXPECT_GT(replay.m_runners["i-1"].m_sent, 30) << "left idle";
    std::printf("empty runner, pace %d: %d late of %d there, %d late in all\n",
                is_paced, late[is_paced], replay.m_runners["i-1"].m_sent,
                replay.CountLate());
  }
  EXPECT_LT(late[true], late[false]);
}

// A runner that answers again is left idle to the end of a pause, and longer by
// what its failures still cost.
TEST(PaceReplayTest, RecoveredRunnerIsUsedSoon) {
  std::map<bool, int> sent;
  for (bool is_paced : {false, true}) {
    Replay replay(is_paced);
    ReplayRunner &runner = replay.m_runners["i-1"];
    runner.m_down_from = kWarmMs;
    runner.m_down_until = kWarmMs + 3'300;
    replay.Run();
    sent[is_paced] = runner.m_sent_after_recovery;
    std::printf("recovered runner, pace %d: %d sent in %d ms, %d late in all\n",
                is_paced, sent[is_paced], kRecoveryMs, replay.CountLate());
  }
  EXPECT_GT(sent[true], sent[false]);
}

// Each entry host learns for itself that a restarted runner fails: all of them
// pay for it.
TEST(PaceReplayTest, FailingRestartedRunnerFailsFewerRequests) {
  std::map<bool, int> failed;
  for (bool is_paced : {false, true}) {
    Replay replay(is_paced);
    replay.After(kWarmMs, [&replay] {
      ReplayRunner &runner = replay.m_runners["i-1"];
      runner.m_fails_from = kWarmMs;
      runner.m_fails_until = kWarmMs + 5'000;
      replay.Restart("i-1");
    });
    replay.Run();
    failed[is_paced] = replay.m_runners["i-1"].m_failed;
    std::printf("failing runner, pace %d: %d failed of %d\n", is_paced,
                failed[is_paced], replay.m_runners["i-1"].m_sent);
  }
  EXPECT_LT(failed[true], failed[false]);
}

}  // namespace
}  // namespace wasabiwind::gateway
