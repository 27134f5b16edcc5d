/** @file gateway_load.cpp Queries and updates of the load of runners. */

#include <algorithm>

#include "base/metrics_func.h"
#include "gateway/gateway_internal.h"
#include "gateway/runner_model_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::gateway {

namespace {

/** Candidates whose cost is higher by more than this aren't queried. */
constexpr double kMaxQueriedCostGapMs = 300;
constexpr std::size_t kMaxLoadQueries = 4;
/** Candidates that weren't queried first may be the best after the answers of
 * the others: a host's own estimate misses the requests of other hosts. */
constexpr int kMaxLoadQueryRounds = 2;
/** Longest wait for load trackers of this region, and of other regions. */
constexpr base::milliseconds kSameRegionLoadWait{10};
constexpr base::milliseconds kOtherRegionLoadWait{32};

/** Bounds of the pause before the load of a runner is queried again. */
constexpr base::milliseconds kMinQueueWait{20};
constexpr base::milliseconds kMaxQueueWait{100};

void CountLoadQueries(const char *outcome, int count) {
  base::GetCounter("ww_load_books_total",
                   "Books of runners that were asked, by outcome",
                   {{"outcome", outcome}})
      .Increment(count);
}

template <typename Message>
void AddPrompt(const RequestMetadata &metadata,
               const std::vector<std::uint64_t> &keys, Message *message) {
  for (std::uint64_t key : keys) message->add_chain_keys(key);
  for (const PromptPart &part : metadata.m_parts) {
    message->add_part_tokens(part.m_tokens);
  }
}

/** @return whether the prompt is so long that the request may have to wait
 * until its only candidate has prefilled others. */
bool MayNeedHold(const ChoiceRequest &request, const Candidates &candidates) {
  return !candidates.m_list.empty() &&
         IsLongPrompt(candidates.m_list.front().m_prefill_tokens,
                      request.m_max_gap);
}

/**
 * Sorts candidates by cost.
 * @return those whose load should be queried next: the best ones by this host's
 *         own estimate, and after the first answers those that seem better than
 *         the candidates whose load is known
 */
std::vector<Candidate *> SelectCandidatesToQuery(const ChoiceRequest &request,
                                                 Candidates *candidates) {
  std::vector<Candidate> &list = candidates->m_list;
  std::sort(list.begin(), list.end(),
            [](const Candidate &a, const Candidate &b) {
              return GetCostMs(a) < GetCostMs(b);
            });
  auto is_queried = [](const Candidate &item) {
    return item.m_is_load_queried;
  };
  auto first_queried = std::find_if(list.begin(), list.end(), is_queried);
  bool is_first_round = first_queried == list.end();
  std::vector<Candidate *> selected;
  for (auto item = list.begin(); item != first_queried; ++item) {
    bool is_far =
        is_first_round && selected.size() > 1 &&
        GetCostMs(*item) > GetCostMs(list.front()) + kMaxQueriedCostGapMs;
    if (selected.size() == kMaxLoadQueries || is_far) break;
    selected.push_back(&*item);
  }
  bool is_useful = !is_first_round || selected.size() > 1 ||
                   MayNeedHold(request, *candidates);
  if (!is_useful) selected.clear();
  return selected;
}

std::uint32_t ToUnsignedMs(base::Duration duration) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, base::ToMilliseconds(duration)));
}

/** Adds what the tracker learns from about the attempt that ended. */
void AddAttemptEnd(const RequestScope &scope, gen::LoadUpdate *update) {
  const Attempt &attempt = scope.m_attempt;
  update->set_outcome(GetLoadOutcome(scope));
  if (!attempt.m_has_begun_answer || attempt.m_event_count == 0) return;
  update->set_event_count(static_cast<std::uint32_t>(attempt.m_event_count));
  update->set_stream_ms(
      ToUnsignedMs(scope.m_last_byte_at - attempt.m_first_byte_at));
  update->set_longest_gap_ms(ToUnsignedMs(scope.m_longest_gap));
}

}  // namespace

/** Chooses an upstream by tracked load, or by this host's own estimate. */
Choice Gateway::ChooseByRunnerLoad(RequestScope *scope, base::TimePoint now) {
  ChoiceRequest request = MakeChoiceRequest(*scope);
  Candidates candidates =
      ListCandidates(m_follower.m_view, &m_stats, m_location, request, now);
  bool is_load_tracked =
      scope->m_service->has_engine() && !scope->m_metadata.m_model.empty();
  scope->m_loads_queried = 0;
  scope->m_loads_known = 0;
  bool is_query_useful =
      candidates.m_list.size() > 1 || MayNeedHold(request, candidates);
  if (is_load_tracked && m_send_datagram && is_query_useful) {
    QueryRunnerLoads(scope, request, &candidates, now);
  }
  return PickCandidate(candidates);
}

/**
 * Waits for a while if the prompts queued at the chosen runner leave no room
 * for that of the request.
 * @return whether it has waited; the choice is outdated then
 */
bool Gateway::WaitForRunnerQueue(RequestScope *scope, const Choice &choice) {
  base::TimePoint start = base::Clock::now();
  bool may_wait = choice.m_hold > base::Duration(0) && !m_is_refusing &&
                  start < GetWaitEnd(*scope);
  if (!may_wait) return false;
  // Requests that wait for the same runner shouldn't ask again all at once.
  double jitter =
      static_cast<double>((scope->m_request_hash ^ m_last_load_query) % 64) /
      64;
  auto pause = std::clamp<base::Duration>(
      std::chrono::duration_cast<base::Duration>(choice.m_hold * (1 + jitter)),
      kMinQueueWait, kMaxQueueWait);
  net::SleepFor(std::min(pause, GetWaitEnd(*scope) - start));
  scope->m_wait_time += base::Clock::now() - start;
  base::GetCounter("ww_runner_queue_waits_total",
                   "Waits of requests until a runner has read other prompts",
                   {})
      .Increment();
  return true;
}

/** Queries the load trackers of the best candidates and waits for answers. */
void Gateway::QueryRunnerLoads(RequestScope *scope,
                               const ChoiceRequest &request,
                               Candidates *candidates, base::TimePoint now) {
  for (int round = 0; round < kMaxLoadQueryRounds; ++round) {
    std::vector<Candidate *> selected =
        SelectCandidatesToQuery(request, candidates);
    if (selected.empty()) return;
    QueryLoadsOf(scope, request, candidates, selected,
                 round == 0 ? now : base::Clock::now());
  }
}

/** Queries the load trackers of some candidates and waits for answers. */
void Gateway::QueryLoadsOf(RequestScope *scope, const ChoiceRequest &request,
                           Candidates *candidates,
                           const std::vector<Candidate *> &selected,
                           base::TimePoint now) {
  PendingLoadQuery pending{&request, candidates, 0};
  std::uint64_t number = ++m_last_load_query;
  m_load_queries[number] = &pending;
  bool is_same_region = true;
  for (Candidate *item : selected) {
    Candidate &candidate = *item;
    candidate.m_is_load_queried = true;
    gen::FleetMessage message;
    gen::LoadQuery *query = message.mutable_load_query();
    query->set_query(number);
    query->set_upstream(candidate.m_upstream);
    AddPrompt(*request.m_metadata, request.m_prefix_keys, query);
    const gen::EntryHost *tracker =
        FindLoadTracker(m_follower.m_view, m_location, candidate.m_upstream,
                        candidate.m_domain);
    if (tracker == nullptr) continue;
    ++scope->m_loads_queried;
    if (tracker->name() == m_self.name()) {
      ApplyLoad(request, MakeLoadAnswer(&m_runner_loads, *query, now), now,
                &candidate);
      ++scope->m_loads_known;
      continue;
    }
    is_same_region = is_same_region && tracker->region() == m_self.region();
    ++pending.m_missing_answers;
    m_send_datagram(tracker->endpoint(), message);
  }
  int sent = pending.m_missing_answers;
  {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_load_answered.wait_until(
        lock,
        now + (is_same_region ? kSameRegionLoadWait : kOtherRegionLoadWait),
        [&pending] { return pending.m_missing_answers == 0; });
  }
  m_load_queries.erase(number);
  scope->m_loads_known += sent - pending.m_missing_answers;
  CountLoadQueries("answered", sent - pending.m_missing_answers);
  CountLoadQueries("late_or_lost", pending.m_missing_answers);
}

void Gateway::HandleDatagram(const std::string &from,
                             const gen::FleetMessage &message) {
  base::TimePoint now = base::Clock::now();
  if (message.has_load_query()) {
    gen::FleetMessage reply;
    *reply.mutable_load_answer() =
        MakeLoadAnswer(&m_runner_loads, message.load_query(), now);
    if (m_send_datagram) m_send_datagram(from, reply);
  } else if (message.has_load_answer()) {
    const gen::LoadAnswer &answer = message.load_answer();
    auto found = m_load_queries.find(answer.query());
    if (found == m_load_queries.end()) return;
    PendingLoadQuery *pending = found->second;
    for (Candidate &candidate : pending->m_candidates->m_list) {
      if (candidate.m_upstream != answer.upstream()) continue;
      ApplyLoad(*pending->m_request, answer, now, &candidate);
      --pending->m_missing_answers;
      break;
    }
    if (pending->m_missing_answers == 0) m_load_answered.notify_all();
  } else if (message.has_load_update()) {
    TrackRunnerLoad(message.load_update());
  }
}

void Gateway::TrackRunnerLoad(const gen::LoadUpdate &update) {
  auto found = m_follower.m_view.m_upstreams.find(update.upstream());
  if (found == m_follower.m_view.m_upstreams.end() || m_routes == nullptr) {
    return;
  }
  const gen::RoutedService *service =
      routes::FindService(*m_routes, found->second.m_report.service());
  if (service == nullptr) return;
  base::TimePoint now = base::Clock::now();
  if (IsPaced()) {
    auto stats = m_stats.find(update.upstream());
    base::TimePoint started_at =
        stats == m_stats.end() ? base::TimePoint() : stats->second.m_started_at;
    PaceChange change =
        ApplyPaceUpdate(&m_runner_loads, update, started_at, now);
    ReportPaceChange(update.upstream(), "tracker",
                     m_runner_loads[update.upstream()].m_pace, change);
  }
  ApplyLoadUpdate(&m_runner_loads, update, service->engine().kv_tokens(), now);
}

/** Tells a runner's load tracker about a request at the runner. */
void Gateway::ReportRunnerLoad(const RequestScope &scope,
                               gen::LoadEvent event) {
  bool is_load_tracked = scope.m_service->has_engine() &&
                         !scope.m_metadata.m_model.empty() && m_send_datagram;
  if (!is_load_tracked) return;
  base::TimePoint now = base::Clock::now();
  auto found = m_follower.m_view.m_upstreams.find(scope.m_upstream);
  if (found == m_follower.m_view.m_upstreams.end()) return;
  const gen::UpstreamReport &report = found->second.m_report;
  gen::FleetMessage message;
  gen::LoadUpdate *update = message.mutable_load_update();
  update->set_upstream(scope.m_upstream);
  update->set_born_ms(report.born_ms());
  update->set_request(scope.m_metadata.m_id);
  update->set_event(event);
  if (event == gen::LOAD_SENT) {
    update->set_unread_tokens(scope.m_prefill_tokens);
    update->set_patience_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
        0, base::ToMilliseconds(GetRemaining(scope, now)))));
    AddPrompt(scope.m_metadata, scope.m_prefix_keys, update);
  } else if (event == gen::LOAD_READ) {
    // 0 stands for a time that wasn't measured.
    update->set_first_event_ms(
        std::max(1u, ToUnsignedMs(now - scope.m_attempt.m_sent_at)));
    update->set_expected_ms(static_cast<std::uint32_t>(
        scope.m_attempt.m_choice.m_expected_latency.count()));
  } else {
    AddAttemptEnd(scope, update);
  }
  const gen::EntryHost *tracker = FindLoadTracker(
      m_follower.m_view, m_location, scope.m_upstream, report.domain());
  if (tracker == nullptr) return;
  if (tracker->name() == m_self.name()) {
    TrackRunnerLoad(*update);
  } else {
    m_send_datagram(tracker->endpoint(), message);
  }
}

}  // namespace wasabiwind::gateway
