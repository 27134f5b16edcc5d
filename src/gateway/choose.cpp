/** @file choose.cpp Choice of the upstream for a request. */

#include <xxhash.h>

#include <limits>

#include "gateway/choose_func.h"
#include "gateway/runner_model_func.h"

namespace wasabiwind::gateway {

namespace {

/** Round trip plus the cost of the traffic, expressed as time. */
constexpr double kSameDomainCostMs = 0.5;
constexpr double kSameRegionCostMs = 4.0;
constexpr double kOtherRegionCostMs = 70.0;
constexpr double kOtherRegionRoundTripMs = 26.0;
/** Time of an answer of a service without an engine. */
constexpr double kServiceAnswerMs = 20.0;
/** Spreads prompts over replicas that otherwise cost the same. */
constexpr double kMaxAffinityPenaltyMs = 60.0;
constexpr double kMsPerFailure = 400.0;
constexpr double kSilencePenaltyMs = 5'000.0;

/**
 * @return a number in [0, 1), the same at all entry hosts for the same prompt
 *         prefix and upstream
 */
double GetAffinity(const ChoiceRequest &request, const std::string &upstream) {
  const std::vector<std::uint64_t> &keys = request.m_prefix_keys;
  std::uint64_t seed =
      keys.empty() ? request.m_request_hash : GetSharedPrefixKey(keys);
  std::uint64_t hash =
      XXH3_64bits_withSeed(upstream.data(), upstream.size(), seed);
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

double GetNetworkCostMs(const Location &location, const std::string &domain) {
  if (domain == location.m_domain) return kSameDomainCostMs;
  auto region = location.m_region_by_domain.find(domain);
  bool is_same_region = region != location.m_region_by_domain.end() &&
                        region->second == location.m_region;
  return is_same_region ? kSameRegionCostMs : kOtherRegionCostMs;
}

/** @return whether an upstream has said in an answer that it is leaving. */
bool IsLeaving(const StatsById &stats, const gen::UpstreamReport &report) {
  auto found = stats.find(report.id());
  return found != stats.end() && found->second.m_is_leaving &&
         found->second.m_start_time_ms == report.born_ms();
}

/** @return the statistics of an upstream, reset if it has restarted. */
UpstreamStats *FindStats(StatsById *stats, const gen::UpstreamReport &report,
                         base::TimePoint now) {
  UpstreamStats &item = (*stats)[report.id()];
  (void)ResetRestartedStats(&item, report.born_ms());
  DecayStats(&item, now);
  return &item;
}

double ToMs(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/** Sets what depends on the speed and load of the candidate's engine. */
void SetEngineCosts(const ChoiceRequest &request, const RunnerModel &model,
                    const RunnerWork &work, base::TimePoint now,
                    Candidate *candidate) {
  RequestForecast forecast =
      PredictRequest(model, work, candidate->m_prefill_tokens, now);
  candidate->m_processing_ms = ToMs(forecast.m_first_event);
  candidate->m_delay_to_others_ms =
      ToMs(GetDelayToOthers(forecast, work, request.m_max_gap));
  candidate->m_hold = GetHoldTime(forecast, work, candidate->m_prefill_tokens,
                                  request.m_max_gap);
}

void SetServiceCosts(const gen::UpstreamReport &report,
                     const UpstreamStats &stats, Candidate *candidate) {
  double slots = std::max(1u, report.slots());
  candidate->m_processing_ms =
      kServiceAnswerMs * (1 + stats.m_in_flight / slots);
}

std::uint32_t CountPrefillTokens(const RequestMetadata &metadata,
                                 std::uint32_t cached_tokens) {
  return metadata.m_prompt_tokens > cached_tokens
             ? metadata.m_prompt_tokens - cached_tokens
             : 0;
}

/** @return what a start or recovery adds. An engine that warms up is slow for
 * all streams there; for other services a pace replaces the warm-up time. */
double GetWarmUpPenaltyMs(const ChoiceRequest &request,
                          const gen::UpstreamReport &report,
                          const UpstreamStats &known, base::TimePoint now) {
  double cold_ms = report.cold_left_ms() / 100.0;
  if (!request.m_is_paced) return cold_ms;
  double pace_ms = GetPacePenaltyMs(
      GetMaxInFlight(known.m_pace, now),
      static_cast<std::uint32_t>(std::max(0, known.m_in_flight)));
  return request.m_service->has_engine() ? std::max(cold_ms, pace_ms) : pace_ms;
}

Candidate MakeCandidate(const fleet::FleetView &view,
                        const fleet::UpstreamEntry &entry,
                        const UpstreamStats &known, const Location &location,
                        const ChoiceRequest &request, base::TimePoint now) {
  const gen::UpstreamReport &report = entry.m_report;
  Candidate candidate;
  candidate.m_upstream = report.id();
  candidate.m_address = report.address();
  candidate.m_domain = report.domain();
  candidate.m_start_time_ms = report.born_ms();
  candidate.m_prefill_tokens = CountPrefillTokens(
      *request.m_metadata,
      CountCachedTokens(known.m_prefix_cache, *request.m_metadata,
                        request.m_prefix_keys));
  if (request.m_service->has_engine()) {
    RunnerWork work{known.m_prefill_tokens,
                    static_cast<double>(known.m_in_flight)};
    SetEngineCosts(request, RunnerModel(), work, now, &candidate);
  } else {
    SetServiceCosts(report, known, &candidate);
  }
  candidate.m_slowdown = known.m_slowdown;
  candidate.m_network_cost_ms = GetNetworkCostMs(location, report.domain());
  candidate.m_round_trip_ms = candidate.m_network_cost_ms >= kOtherRegionCostMs
                                  ? kOtherRegionRoundTripMs
                                  : candidate.m_network_cost_ms;
  candidate.m_is_silent = fleet::IsSilent(view, entry.m_silence, now);
  candidate.m_penalty_ms =
      kMsPerFailure * known.m_failures +
      kMaxAffinityPenaltyMs * GetAffinity(request, report.id()) +
      (candidate.m_is_silent ? kSilencePenaltyMs : 0);
  candidate.m_pace_penalty_ms = GetWarmUpPenaltyMs(request, report, known, now);
  return candidate;
}

}  // namespace

const char *GetProblemName(ChoiceProblem problem) {
  switch (problem) {
    case ChoiceProblem::kNone:
      return "none";
    case ChoiceProblem::kNoUpstream:
      return "no_upstream";
    case ChoiceProblem::kNoModel:
      return "no_model";
    case ChoiceProblem::kNoAdapter:
      return "no_adapter";
    case ChoiceProblem::kDown:
      return "upstream_down";
    case ChoiceProblem::kPaused:
      return "upstream_paused";
    case ChoiceProblem::kAllExcluded:
      return "all_failed";
    case ChoiceProblem::kEnd:
      break;
  }
  return "unknown";
}

double GetCostMs(const Candidate &candidate) {
  return candidate.m_processing_ms * candidate.m_slowdown +
         candidate.m_delay_to_others_ms + candidate.m_network_cost_ms +
         candidate.m_penalty_ms + candidate.m_pace_penalty_ms;
}

Candidates ListCandidates(const fleet::FleetView &view, StatsById *stats,
                          const Location &location,
                          const ChoiceRequest &request, base::TimePoint now) {
  const RequestMetadata &metadata = *request.m_metadata;
  bool needs_model =
      request.m_service->has_engine() && !metadata.m_model.empty();
  Candidates candidates;
  auto record_problem = [&candidates](ChoiceProblem problem) {
    candidates.m_problem = std::max(candidates.m_problem, problem);
  };
  for (const auto &[id, entry] : view.m_upstreams) {
    const gen::UpstreamReport &report = entry.m_report;
    if (report.service() != request.m_service->name()) continue;
    if (!fleet::IsServing(view, entry)) continue;
    if (IsLeaving(*stats, report)) continue;
    if (needs_model && !fleet::HasTarget(entry, metadata.m_model, "", now)) {
      record_problem(ChoiceProblem::kNoModel);
      continue;
    }
    if (needs_model && !metadata.m_adapter.empty() &&
        !fleet::HasTarget(entry, metadata.m_model, metadata.m_adapter, now)) {
      record_problem(ChoiceProblem::kNoAdapter);
      continue;
    }
    if (request.m_excluded.contains(id)) {
      record_problem(ChoiceProblem::kAllExcluded);
      continue;
    }
    const UpstreamStats &known = *FindStats(stats, report, now);
    if (now < known.m_paused_until) {
      record_problem(ChoiceProblem::kPaused);
      candidates.m_pause_ends_at =
          std::min(candidates.m_pause_ends_at, known.m_paused_until);
      continue;
    }
    if (needs_model && IsModelRefused(known, metadata.m_model, now)) {
      record_problem(ChoiceProblem::kNoModel);
      continue;
    }
    if (now < known.m_down_until) {
      record_problem(ChoiceProblem::kDown);
      continue;
    }
    candidates.m_list.push_back(
        MakeCandidate(view, entry, known, location, request, now));
  }
  // If all runners that hold the model are down, another one must load it.
  if (candidates.m_problem == ChoiceProblem::kDown && needs_model) {
    candidates.m_problem = ChoiceProblem::kNoModel;
  }
  return candidates;
}

void ApplyLoad(const ChoiceRequest &request, const gen::LoadAnswer &load,
               base::TimePoint now, Candidate *candidate) {
  std::uint32_t prefill_tokens =
      CountPrefillTokens(*request.m_metadata, load.kept_tokens());
  // This host may know of prompts that the runner cached before its load
  // tracker began to track it.
  candidate->m_prefill_tokens =
      std::min(candidate->m_prefill_tokens, prefill_tokens);
  RunnerModel model =
      load.has_model() ? DecodeModel(load.model(), now) : RunnerModel();
  RunnerWork work{load.unread_tokens(), static_cast<double>(load.in_flight())};
  SetEngineCosts(request, model, work, now, candidate);
  if (request.m_is_paced) {
    candidate->m_pace_penalty_ms =
        std::max(candidate->m_pace_penalty_ms,
                 GetPacePenaltyMs(load.max_in_flight(), load.in_flight()));
  }
}

Choice PickCandidate(const Candidates &candidates) {
  Choice choice;
  choice.m_problem = candidates.m_problem;
  choice.m_pause_ends_at = candidates.m_pause_ends_at;
  double lowest_cost_ms = std::numeric_limits<double>::infinity();
  for (const Candidate &candidate : candidates.m_list) {
    double cost_ms = GetCostMs(candidate);
    if (cost_ms >= lowest_cost_ms) continue;
    lowest_cost_ms = cost_ms;
    choice.m_problem = ChoiceProblem::kNone;
    choice.m_upstream = candidate.m_upstream;
    choice.m_address = candidate.m_address;
    choice.m_prefill_tokens = candidate.m_prefill_tokens;
    choice.m_hold = candidate.m_hold;
    choice.m_is_silent = candidate.m_is_silent;
    choice.m_expected_latency = base::milliseconds(static_cast<int>(
        candidate.m_processing_ms + candidate.m_round_trip_ms));
  }
  return choice;
}

Choice ChooseUpstream(const fleet::FleetView &view, StatsById *stats,
                      const Location &location, const ChoiceRequest &request,
                      base::TimePoint now) {
  return PickCandidate(ListCandidates(view, stats, location, request, now));
}

}  // namespace wasabiwind::gateway
