/** @file gateway_runner_model_test.cpp Learned models of runners, and their
 * effect on the choice among replicas in a replay in virtual time. */

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>

#include "gateway/runner_load_func.h"

namespace wasabiwind::gateway {
namespace {

using base::milliseconds;

constexpr const char *kPublisher = "10.0.0.1:7000";

base::TimePoint At(double ms) {
  return base::TimePoint(std::chrono::seconds(100)) +
         std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double, std::milli>(ms));
}

// Guards against a slow runner that keeps its default speed for many answers.
TEST(RunnerModelTest, LearnsAHalfSpeedWithinTwentyAnswers) {
  RunnerModel model;
  for (int i = 0; i < 20; ++i) {
    LearnFirstEvent(&model, 9'500, 0, milliseconds(525), At(i * 3'000));
  }
  EXPECT_NEAR(model.m_prefill_tokens_per_ms, 19, 4);
  EXPECT_EQ(model.m_sample_count, 20u);
}

// Guards against a queue that is taken for a slow runner.
TEST(RunnerModelTest, QueuedTokensExplainALateFirstEvent) {
  RunnerModel model;
  for (int i = 0; i < 20; ++i) {
    LearnFirstEvent(&model, 3'800, 34'200, milliseconds(1'025), At(i * 100));
  }
  EXPECT_NEAR(model.m_prefill_tokens_per_ms, 38, 1);
  EXPECT_NEAR(GetSlowdown(model, At(2'000)), 1, 0.05);
}

// Guards against a short spell that changes the usual speed, or is remembered
// after its end.
TEST(RunnerModelTest, ShortSpellFades) {
  RunnerModel model;
  for (int i = 0; i < 50; ++i) {
    LearnFirstEvent(&model, 3'800, 0, milliseconds(125), At(i * 100));
  }
  LearnFirstEvent(&model, 3'800, 0, milliseconds(275), At(5'000));
  LearnFirstEvent(&model, 3'800, 0, milliseconds(275), At(5'200));
  EXPECT_GT(GetSlowdown(model, At(5'200)), 1.5);
  EXPECT_LT(GetSlowdown(model, At(8'000)), 1.05);
  EXPECT_GT(model.m_prefill_tokens_per_ms, 33);
}

// Guards against prompts whose first event is mostly network: they would make
// every runner look slow.
TEST(RunnerModelTest, ShortPromptsTeachNothing) {
  RunnerModel model;
  LearnFirstEvent(&model, 300, 0, milliseconds(200), At(0));
  EXPECT_EQ(model.m_sample_count, 0u);
}

// Guards against a model that differs from the constants without an answer.
TEST(RunnerModelTest, WithoutAnswersTheDefaultsHold) {
  RequestForecast forecast =
      PredictRequest(RunnerModel(), RunnerWork{3'800, 2}, 7'600, At(0));
  EXPECT_EQ(base::ToMilliseconds(forecast.m_first_event), 25 + 300 + 20);
  EXPECT_EQ(base::ToMilliseconds(forecast.m_own_delay), 200);
}

// Guards against a cost for pauses that stay far below the longest permitted.
TEST(RunnerModelTest, OnlyCriticalPausesOfOthersCost) {
  RunnerModel model;
  RunnerWork idle{0, 5};
  RunnerWork busy{19'000, 5};
  auto delay = [&model](const RunnerWork &work, int max_gap) {
    return base::ToMilliseconds(
        GetDelayToOthers(PredictRequest(model, work, 3'800, At(0)), work,
                         milliseconds(max_gap)));
  };
  EXPECT_EQ(delay(idle, 600), 0);
  EXPECT_EQ(delay(busy, 600), 500);  // all of its 100 ms, for each of five
  EXPECT_EQ(delay(busy, 0), 0);
}

// Guards against prompts that queue up until each step of the streams takes a
// whole piece, against a request that waits although nothing is queued, and
// against short prompts that wait without need.
TEST(RunnerModelTest, LongPromptsWaitWhileTheQueuePausesStreams) {
  RunnerModel model;
  auto hold = [&model](std::uint64_t queued, std::uint64_t own) {
    RunnerWork work{queued, 3};
    return base::ToMilliseconds(GetHoldTime(
        PredictRequest(model, work, own, At(0)), work, own, milliseconds(600)));
  };
  EXPECT_EQ(hold(0, 76'000), 0);
  EXPECT_EQ(hold(11'400, 7'600), 0);    // 525 ms in all
  EXPECT_EQ(hold(19'000, 7'600), 125);  // 725 ms
  EXPECT_EQ(hold(38'000, 700), 0);
  model.m_prefill_tokens_per_ms = 19;
  EXPECT_EQ(hold(11'400, 7'600), 425);  // 1,025 ms
}

// Guards against figures of a faulty host that make a cost infinite or not a
// number.
TEST(RunnerModelTest, ReceivedFiguresOutOfRangeAreIgnored) {
  gen::RunnerModel message;
  message.set_prefill_tokens_per_ms(0);
  message.set_event_gap_ms(-1);
  message.set_slowdown(std::numeric_limits<double>::quiet_NaN());
  RunnerModel model = DecodeModel(message, At(0));
  EXPECT_EQ(model.m_prefill_tokens_per_ms, kDefaultPrefillTokensPerMs);
  EXPECT_EQ(model.m_event_gap_ms,
            static_cast<double>(kDefaultEventGap.count()));
  EXPECT_EQ(GetSlowdown(model, At(0)), 1);
}

// Guards against a model that outlives its runner's process, or counts streams
// that were cut.
TEST(RunnerModelTest, TrackerLearnsFromUpdatesOfTheSameStart) {
  RunnerLoads loads;
  gen::LoadUpdate update;
  update.set_upstream("i-1");
  update.set_born_ms(5);
  update.set_request("a");
  update.set_patience_ms(10'000);
  update.set_unread_tokens(9'500);
  ApplyLoadUpdate(&loads, update, 100'000, At(0));
  update.set_event(gen::LOAD_READ);
  update.set_first_event_ms(525);
  ApplyLoadUpdate(&loads, update, 100'000, At(525));
  gen::LoadQuery query;
  query.set_upstream("i-1");
  gen::LoadAnswer answer = MakeLoadAnswer(&loads, query, At(530));
  EXPECT_EQ(answer.streaming(), 1u);
  EXPECT_EQ(answer.model().sample_count(), 1u);
  EXPECT_LT(answer.model().prefill_tokens_per_ms(), 38);
  update.set_event(gen::LOAD_OVER);
  update.set_outcome(gen::LOAD_FAILED);
  update.set_event_count(2);
  update.set_stream_ms(9'000);
  ApplyLoadUpdate(&loads, update, 100'000, At(900));
  answer = MakeLoadAnswer(&loads, query, At(901));
  EXPECT_EQ(answer.model().event_gap_ms(), 25);
  update.set_born_ms(6);
  update.set_event(gen::LOAD_SENT);
  ApplyLoadUpdate(&loads, update, 100'000, At(1'000));
  EXPECT_FALSE(MakeLoadAnswer(&loads, query, At(1'001)).has_model());
}

// Replay: an engine prefills prompts in pieces between the tokens of the
// streams that run there, as vLLM's chunked prefill does.

constexpr double kStepMs = 4.5;
constexpr double kPieceTokens = 4'096;
constexpr int kTokensPerEvent = 6;
constexpr int kMaxGapMs = 600;
/** Pause of a request that waits for a runner's queue, and limit of all. */
constexpr double kWaitMs = 60;
constexpr double kMaxWaitMs = 2'500;

struct Stream {
  std::string m_id;
  double m_unread = 0;
  int m_tokens_left = 0;
  double m_arrived_ms = 0;
  double m_sent_ms = 0;  ///< after a wait for the runner's queue
  double m_objective_ms = 0;
  double m_last_event_ms = -1;  ///< -1 before the first event
  double m_first_event_ms = 0;
  int m_events = 0;
  std::size_t m_host = 0;  ///< entry host that it reaches
  bool m_is_late = false;
};

struct Engine {
  std::string m_id;
  double m_speed = 1;
  std::deque<Stream> m_streams;
  double m_step_ends_ms = -1;  ///< -1: idle
};

class Replay {
 public:
  explicit Replay(bool uses_model) : m_uses_model(uses_model) {
    m_service.set_name("llm");
    m_service.mutable_engine()->set_kv_tokens(1'000'000);
    m_location = {"d", "r", {{"d", "r"}}};
    m_view.m_publishers[kPublisher].m_heard_at = At(0);
    for (double speed : {1.0, 1.0, 0.5}) {
      Engine engine;
      engine.m_id = "i-" + std::to_string(m_engines.size());
      engine.m_speed = speed;
      gen::Fact fact;
      gen::UpstreamReport *report = fact.mutable_upstream();
      report->set_id(engine.m_id);
      report->set_born_ms(5);
      report->set_report_number(m_engines.size() + 1);
      report->set_service("llm");
      report->set_address("10.1.0." + std::to_string(m_engines.size() + 1) +
                          ":80");
      report->set_domain("d");
      report->set_state(gen::UPSTREAM_READY);
      report->add_models()->set_name("m");
      fleet::ApplyFact(&m_view, kPublisher, fact, At(0));
      m_engines.push_back(std::move(engine));
    }
  }

  /** @return the share of late streams. */
  double Run(std::uint32_t seed) {
    std::mt19937 random(seed);
    std::exponential_distribution<double> pause(kArrivalsPerSecond / 1'000);
    int total = 0;
    double next_ms = pause(random);
    while (next_ms < 60'000) {
      // Two fifths bring long prompts, a third of which is cached.
      bool is_long = random() % 5 < 2;
      Stream stream;
      stream.m_id = std::to_string(total);
      stream.m_unread = is_long ? 6'000 : 700;
      stream.m_tokens_left = (is_long ? 9 : 49) * kTokensPerEvent;
      stream.m_arrived_ms = next_ms;
      stream.m_objective_ms = is_long ? 1'500 : 800;
      stream.m_host = random() % m_hosts.size();
      m_arrivals.emplace(next_ms, std::move(stream));
      next_ms += pause(random);
      ++total;
    }
    while (!m_arrivals.empty()) {
      auto next = m_arrivals.extract(m_arrivals.begin());
      StepUntil(next.key());
      Send(std::move(next.mapped()), next.key());
    }
    StepUntil(std::numeric_limits<double>::infinity());
    return static_cast<double>(m_late) / total;
  }

 private:
  static constexpr double kArrivalsPerSecond = 33;

  /** Sends a request, or has it wait for a while. */
  void Send(Stream stream, double now_ms) {
    stream.m_sent_ms = now_ms;
    RequestMetadata metadata;
    metadata.m_id = stream.m_id;
    metadata.m_model = "m";
    metadata.m_prompt_tokens = static_cast<std::uint32_t>(stream.m_unread);
    ChoiceRequest request;
    request.m_metadata = &metadata;
    request.m_service = &m_service;
    request.m_request_hash = std::hash<std::string>()(stream.m_id);
    if (m_uses_model) request.m_max_gap = milliseconds(kMaxGapMs);
    base::TimePoint now = At(stream.m_sent_ms);
    m_view.m_publishers[kPublisher].m_heard_at = now;
    Candidates candidates = ListCandidates(m_view, &m_hosts[stream.m_host],
                                           m_location, request, now);
    for (Candidate &candidate : candidates.m_list) {
      gen::LoadQuery query;
      query.set_upstream(candidate.m_upstream);
      gen::LoadAnswer answer = MakeLoadAnswer(&m_loads, query, now);
      if (!m_uses_model) answer.clear_model();
      ApplyLoad(request, answer, now, &candidate);
    }
    Choice choice = PickCandidate(candidates);
    bool must_wait = choice.m_hold > base::Duration(0) &&
                     now_ms < stream.m_arrived_ms + kMaxWaitMs;
    if (must_wait) {
      m_arrivals.emplace(now_ms + kWaitMs, std::move(stream));
      return;
    }
    for (Engine &engine : m_engines) {
      if (engine.m_id != choice.m_upstream) continue;
      Report(engine, stream, gen::LOAD_SENT, stream.m_sent_ms);
      engine.m_streams.push_back(std::move(stream));
      if (engine.m_step_ends_ms < 0) BeginStep(&engine, At(0), now);
      return;
    }
  }

  /** Begins a step if there is work. */
  void BeginStep(Engine *engine, base::TimePoint zero, base::TimePoint now) {
    double now_ms =
        std::chrono::duration<double, std::milli>(now - zero).count();
    if (engine->m_streams.empty()) {
      engine->m_step_ends_ms = -1;
      return;
    }
    double unread = 0;
    for (const Stream &stream : engine->m_streams) unread += stream.m_unread;
    double piece = std::min(unread, kPieceTokens);
    engine->m_step_ends_ms =
        now_ms +
        (kStepMs + piece / kDefaultPrefillTokensPerMs) / engine->m_speed;
  }

  void EndStep(Engine *engine) {
    double now_ms = engine->m_step_ends_ms;
    double piece = kPieceTokens;
    for (Stream &stream : engine->m_streams) {
      if (stream.m_unread > 0) {
        double part = std::min(piece, stream.m_unread);
        stream.m_unread -= part;
        piece -= part;
        continue;
      }
      if (--stream.m_tokens_left % kTokensPerEvent == 0) {
        AddEvent(*engine, &stream, now_ms);
      }
    }
    std::erase_if(engine->m_streams, [this, engine, now_ms](Stream &stream) {
      if (stream.m_tokens_left > 0) return false;
      Report(*engine, stream, gen::LOAD_OVER, now_ms);
      if (stream.m_is_late) ++m_late;
      return true;
    });
    BeginStep(engine, At(0), At(now_ms));
  }

  void AddEvent(const Engine &engine, Stream *stream, double now_ms) {
    ++stream->m_events;
    if (stream->m_last_event_ms < 0) {
      stream->m_first_event_ms = now_ms;
      stream->m_is_late =
          now_ms - stream->m_arrived_ms > stream->m_objective_ms;
      Report(engine, *stream, gen::LOAD_READ, now_ms);
    } else if (now_ms - stream->m_last_event_ms > kMaxGapMs) {
      stream->m_is_late = true;
    }
    stream->m_last_event_ms = now_ms;
  }

  void Report(const Engine &engine, const Stream &stream, gen::LoadEvent event,
              double now_ms) {
    gen::LoadUpdate update;
    update.set_upstream(engine.m_id);
    update.set_born_ms(5);
    update.set_request(stream.m_id);
    update.set_event(event);
    update.set_patience_ms(60'000);
    if (event == gen::LOAD_SENT) {
      update.set_unread_tokens(static_cast<std::uint32_t>(stream.m_unread));
    } else if (event == gen::LOAD_READ) {
      update.set_first_event_ms(
          static_cast<std::uint32_t>(now_ms - stream.m_sent_ms));
    } else {
      update.set_outcome(gen::LOAD_ANSWERED);
      update.set_event_count(static_cast<std::uint32_t>(stream.m_events));
      update.set_stream_ms(
          static_cast<std::uint32_t>(now_ms - stream.m_first_event_ms));
    }
    ApplyLoadUpdate(&m_loads, update, 1'000'000, At(now_ms));
  }

  void StepUntil(double limit_ms) {
    while (true) {
      Engine *next = nullptr;
      for (Engine &engine : m_engines) {
        bool is_due =
            engine.m_step_ends_ms >= 0 && engine.m_step_ends_ms <= limit_ms &&
            (next == nullptr || engine.m_step_ends_ms < next->m_step_ends_ms);
        if (is_due) next = &engine;
      }
      if (next == nullptr) return;
      EndStep(next);
    }
  }

  bool m_uses_model;
  gen::RoutedService m_service;
  Location m_location;
  fleet::FleetView m_view;
  std::vector<StatsById> m_hosts = std::vector<StatsById>(20);
  RunnerLoads m_loads;
  std::vector<Engine> m_engines;
  std::multimap<double, Stream> m_arrivals;  ///< by time
  int m_late = 0;
};

// Guards against long prompts that pile up at a slow runner, or at one with
// streams in progress, while its siblings have room.
TEST(RunnerModelReplayTest, FewerStreamsAreLateThanByConstants) {
  double constants = 0;
  double model = 0;
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    constants += Replay(/*uses_model=*/false).Run(seed);
    model += Replay(/*uses_model=*/true).Run(seed);
  }
  RecordProperty("late_by_constants", std::to_string(constants / 5));
  RecordProperty("late_by_model", std::to_string(model / 5));
  EXPECT_GT(constants / 5, 0.01) << "the load is too low to compare";
  EXPECT_LT(model / constants, 0.7)
      << "late by constants " << constants / 5 << ", by model " << model / 5;
}

}  // namespace
}  // namespace wasabiwind::gateway
