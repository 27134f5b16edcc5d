/** @file runner_load.cpp Load of runners, tracked for all entry hosts. */

#include <xxhash.h>

#include <algorithm>

#include "gateway/runner_load_func.h"

namespace wasabiwind::gateway {

namespace {

/** The load of a runner is dropped after this long without an update. */
constexpr base::milliseconds kRunnerLoadRetention{60'000};
constexpr std::size_t kMaxTrackedRequests = 4'096;  ///< per runner

template <typename Tokens>
RequestMetadata MakePromptMetadata(const Tokens &part_tokens) {
  RequestMetadata metadata;
  for (std::uint32_t tokens : part_tokens) {
    metadata.m_parts.push_back(PromptPart{"", tokens});
  }
  return metadata;
}

void EndRequest(RunnerLoad *load, const std::string &request) {
  auto found = load->m_requests.find(request);
  if (found == load->m_requests.end()) return;
  load->m_prefill_tokens -= found->second.m_prefill_tokens;
  load->m_requests.erase(found);
}

void ForgetExpiredRequests(RunnerLoad *load, base::TimePoint now) {
  absl::erase_if(load->m_requests, [load, now](const auto &item) {
    if (now < item.second.m_ends_at) return false;
    load->m_prefill_tokens -= item.second.m_prefill_tokens;
    return true;
  });
}

void BeginRequest(RunnerLoad *load, const gen::LoadUpdate &update,
                  base::TimePoint now) {
  EndRequest(load, update.request());
  if (load->m_requests.size() >= kMaxTrackedRequests) return;
  TrackedRequest request;
  request.m_prefill_tokens = update.unread_tokens();
  request.m_queued_tokens = load->m_prefill_tokens;
  request.m_ends_at = now + base::milliseconds(update.patience_ms());
  request.m_prefix_keys.assign(update.chain_keys().begin(),
                               update.chain_keys().end());
  request.m_part_tokens.assign(update.part_tokens().begin(),
                               update.part_tokens().end());
  request.m_sent_at = now;
  load->m_prefill_tokens += request.m_prefill_tokens;
  load->m_requests.emplace(update.request(), std::move(request));
}

/** Counts a prompt as cached, which it isn't before its prefill has ended. */
void MarkRequestPrefilled(RunnerLoad *load, const std::string &id,
                          std::uint64_t capacity) {
  auto found = load->m_requests.find(id);
  if (found == load->m_requests.end()) return;
  TrackedRequest &request = found->second;
  load->m_prefill_tokens -= request.m_prefill_tokens;
  request.m_prefill_tokens = 0;
  if (request.m_prefix_keys.size() != request.m_part_tokens.size()) return;
  RecordCachedPrompt(&load->m_prefix_cache,
                     MakePromptMetadata(request.m_part_tokens),
                     request.m_prefix_keys, capacity);
}

/** Learns the speed of the runner from a first event. */
void LearnFromFirstEvent(RunnerLoad *load, const gen::LoadUpdate &update,
                         base::TimePoint now) {
  auto found = load->m_requests.find(update.request());
  if (found == load->m_requests.end() || found->second.m_is_streaming) return;
  found->second.m_is_streaming = true;
  // Hosts that don't measure it leave the field empty.
  if (update.first_event_ms() == 0) return;
  LearnFirstEvent(&load->m_model, found->second.m_prefill_tokens,
                  found->second.m_queued_tokens,
                  base::milliseconds(update.first_event_ms()), now);
}

void LearnFromStreamEnd(RunnerLoad *load, const gen::LoadUpdate &update) {
  if (update.outcome() != gen::LOAD_ANSWERED) return;
  if (!load->m_requests.contains(update.request())) return;
  LearnEventGap(&load->m_model, update.event_count(),
                base::milliseconds(update.stream_ms()));
}

/** Adds what was learned, and the streams in progress. */
void AddModel(const RunnerLoad &load, base::TimePoint now,
              gen::LoadAnswer *answer) {
  auto is_streaming = [](const auto &item) {
    return item.second.m_is_streaming;
  };
  answer->set_streaming(static_cast<std::uint32_t>(std::count_if(
      load.m_requests.begin(), load.m_requests.end(), is_streaming)));
  bool is_anything_learned =
      load.m_model.m_sample_count != 0 || load.m_model.m_stream_count != 0;
  if (is_anything_learned) {
    *answer->mutable_model() = EncodeModel(load.m_model, now);
  }
}

/** @return the rendezvous hash of a runner and an entry host. */
std::uint64_t GetTrackerRank(const std::string &upstream,
                             const std::string &entry) {
  std::uint64_t seed = XXH3_64bits(upstream.data(), upstream.size());
  return XXH3_64bits_withSeed(entry.data(), entry.size(), seed);
}

}  // namespace

bool ResetRestartedLoad(RunnerLoad *load, std::uint64_t start_time_ms) {
  if (load->m_start_time_ms > start_time_ms) return false;
  if (load->m_start_time_ms < start_time_ms) {
    *load = RunnerLoad();
    load->m_start_time_ms = start_time_ms;
  }
  return true;
}

void ApplyLoadUpdate(RunnerLoads *loads, const gen::LoadUpdate &update,
                     std::uint64_t capacity, base::TimePoint now) {
  RunnerLoad &load = (*loads)[update.upstream()];
  if (!ResetRestartedLoad(&load, update.born_ms())) return;
  load.m_updated_at = now;
  if (update.event() == gen::LOAD_SENT) {
    BeginRequest(&load, update, now);
  } else if (update.event() == gen::LOAD_OVER) {
    LearnFromStreamEnd(&load, update);
    EndRequest(&load, update.request());
  } else {
    LearnFromFirstEvent(&load, update, now);
    MarkRequestPrefilled(&load, update.request(), capacity);
  }
}

gen::LoadAnswer MakeLoadAnswer(RunnerLoads *loads, const gen::LoadQuery &query,
                               base::TimePoint now) {
  gen::LoadAnswer answer;
  answer.set_query(query.query());
  answer.set_upstream(query.upstream());
  auto found = loads->find(query.upstream());
  if (found == loads->end()) return answer;
  RunnerLoad &load = found->second;
  ForgetExpiredRequests(&load, now);
  answer.set_in_flight(static_cast<std::uint32_t>(load.m_requests.size()));
  answer.set_unread_tokens(load.m_prefill_tokens);
  AddModel(load, now, &answer);
  answer.set_max_in_flight(GetMaxInFlight(load.m_pace, now));
  RequestMetadata metadata = MakePromptMetadata(query.part_tokens());
  std::vector<std::uint64_t> keys(query.chain_keys().begin(),
                                  query.chain_keys().end());
  if (keys.size() == metadata.m_parts.size()) {
    answer.set_kept_tokens(
        CountCachedTokens(load.m_prefix_cache, metadata, keys));
  }
  return answer;
}

void ForgetRunnerLoads(RunnerLoads *loads, base::TimePoint now) {
  absl::erase_if(*loads, [now](const auto &item) {
    return now >= item.second.m_updated_at + kRunnerLoadRetention;
  });
}

const gen::EntryHost *FindLoadTracker(const fleet::FleetView &view,
                                      const Location &location,
                                      const std::string &upstream,
                                      const std::string &domain) {
  auto region = location.m_region_by_domain.find(domain);
  const gen::EntryHost *best = nullptr;
  std::uint64_t best_rank = 0;
  for (const auto &[name, digest] : view.m_regions) {
    bool is_same_region =
        region == location.m_region_by_domain.end() || name == region->second;
    if (!is_same_region) continue;
    for (const gen::EntryHost &host : digest.trackers()) {
      std::uint64_t rank = GetTrackerRank(upstream, host.name());
      if (best != nullptr && rank <= best_rank) continue;
      best = &host;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace wasabiwind::gateway
