/** @file choose.cpp Choice of the upstream that gets a request. */

#include <xxhash.h>

#include <limits>

#include "gateway/choose_func.h"

namespace wasabiwind::gateway {

namespace {

/** Round trip and the price of the bytes, as time. */
constexpr double kSameDomainMs = 0.5;
constexpr double kSameRegionMs = 4.0;
constexpr double kOtherRegionMs = 70.0;
constexpr double kOtherRegionTripMs = 26.0;
/** Prompt tokens that a runner reads in a millisecond. */
constexpr double kTokensPerMs = 38.0;
/** Time until the first event without queue, prompt and way. */
constexpr double kFirstEventMs = 25.0;
/** Each request in work makes every step of the others longer. */
constexpr double kInFlightMs = 10.0;
/** Answers of a plain service take about this long. */
constexpr double kPlainWorkMs = 20.0;
/** Spread between copies that nothing else tells apart. */
constexpr double kAffinityMs = 60.0;
constexpr double kFailureMs = 400.0;
constexpr double kSilentMs = 5'000.0;

/** @return a number in [0, 1) that all entry hosts agree on. */
double GetAffinity(const ChoiceRequest &request, const std::string &upstream) {
  const std::vector<std::uint64_t> &keys = request.m_chain_keys;
  std::uint64_t seed = keys.empty() ? request.m_draw : GetSharedPrompt(keys);
  std::uint64_t hash =
      XXH3_64bits_withSeed(upstream.data(), upstream.size(), seed);
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

double GetWayMs(const Location &location, const std::string &domain) {
  if (domain == location.m_domain) return kSameDomainMs;
  auto region = location.m_region_by_domain.find(domain);
  bool is_near = region != location.m_region_by_domain.end() &&
                 region->second == location.m_region;
  return is_near ? kSameRegionMs : kOtherRegionMs;
}

UpstreamStats *FindStats(StatsById *stats, const gen::UpstreamReport &report,
                         base::TimePoint now) {
  UpstreamStats &item = (*stats)[report.id()];
  if (item.m_start_time_ms != report.born_ms()) {
    int in_flight = item.m_in_flight;
    item = UpstreamStats();
    item.m_start_time_ms = report.born_ms();
    item.m_in_flight = in_flight;
  }
  DecayStats(&item, now);
  return &item;
}

/**
 * @param queued tokens of other prompts that the runner must read
 * @param in_flight requests that it has
 */
double GetEngineWorkMs(std::uint32_t unread, std::uint64_t queued,
                       double in_flight) {
  return kFirstEventMs + unread / kTokensPerMs +
         static_cast<double>(queued) / kTokensPerMs + kInFlightMs * in_flight;
}

double GetWorkMs(const ChoiceRequest &request,
                 const gen::UpstreamReport &report, const UpstreamStats &stats,
                 std::uint32_t unread) {
  if (!request.m_service->has_engine()) {
    double slots = std::max(1u, report.slots());
    return kPlainWorkMs * (1 + stats.m_in_flight / slots);
  }
  return GetEngineWorkMs(unread, stats.m_unread_tokens, stats.m_in_flight);
}

std::uint32_t GetUnread(const RequestMetadata &facts, std::uint32_t kept) {
  return facts.m_prompt_tokens > kept ? facts.m_prompt_tokens - kept : 0;
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
  candidate.m_unread_tokens = GetUnread(
      *request.m_facts, CountKeptTokens(known.m_prefixes, *request.m_facts,
                                        request.m_chain_keys));
  candidate.m_work_ms =
      GetWorkMs(request, report, known, candidate.m_unread_tokens);
  candidate.m_slowness = known.m_slowness;
  candidate.m_way_ms = GetWayMs(location, report.domain());
  candidate.m_trip_ms = candidate.m_way_ms >= kOtherRegionMs
                            ? kOtherRegionTripMs
                            : candidate.m_way_ms;
  candidate.m_is_silent = fleet::IsSilent(view, entry.m_silence, now);
  candidate.m_doubt_ms = kFailureMs * known.m_failures +
                         kAffinityMs * GetAffinity(request, report.id()) +
                         report.cold_left_ms() / 100.0 +
                         (candidate.m_is_silent ? kSilentMs : 0);
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
    case ChoiceProblem::kAllExcluded:
      return "all_failed";
    case ChoiceProblem::kEnd:
      break;
  }
  return "unknown";
}

double GetScore(const Candidate &candidate) {
  return candidate.m_work_ms * candidate.m_slowness + candidate.m_way_ms +
         candidate.m_doubt_ms;
}

Candidates ListCandidates(const fleet::FleetView &view, StatsById *stats,
                          const Location &location,
                          const ChoiceRequest &request, base::TimePoint now) {
  const RequestMetadata &facts = *request.m_facts;
  bool needs_model = request.m_service->has_engine() && !facts.m_model.empty();
  Candidates candidates;
  auto note = [&candidates](ChoiceProblem problem) {
    candidates.m_problem = std::max(candidates.m_problem, problem);
  };
  for (const auto &[id, entry] : view.m_upstreams) {
    const gen::UpstreamReport &report = entry.m_report;
    if (report.service() != request.m_service->name()) continue;
    if (!fleet::IsServing(view, entry)) continue;
    if (needs_model && !fleet::HasTarget(entry, facts.m_model, "", now)) {
      note(ChoiceProblem::kNoModel);
      continue;
    }
    if (needs_model && !facts.m_adapter.empty() &&
        !fleet::HasTarget(entry, facts.m_model, facts.m_adapter, now)) {
      note(ChoiceProblem::kNoAdapter);
      continue;
    }
    if (request.m_excluded.contains(id)) {
      note(ChoiceProblem::kAllExcluded);
      continue;
    }
    const UpstreamStats &known = *FindStats(stats, report, now);
    if (needs_model && IsModelRefused(known, facts.m_model, now)) {
      note(ChoiceProblem::kNoModel);
      continue;
    }
    if (now < known.m_down_until) {
      note(ChoiceProblem::kDown);
      continue;
    }
    candidates.m_list.push_back(
        MakeCandidate(view, entry, known, location, request, now));
  }
  // The model must come from elsewhere if those that hold it are down.
  if (candidates.m_problem == ChoiceProblem::kDown && needs_model) {
    candidates.m_problem = ChoiceProblem::kNoModel;
  }
  return candidates;
}

void ApplyLoad(const ChoiceRequest &request, const gen::LoadAnswer &load,
               Candidate *candidate) {
  std::uint32_t unread = GetUnread(*request.m_facts, load.kept_tokens());
  // This host may know of a prompt that went there before the book began.
  candidate->m_unread_tokens = std::min(candidate->m_unread_tokens, unread);
  candidate->m_work_ms = GetEngineWorkMs(
      candidate->m_unread_tokens, load.unread_tokens(), load.in_flight());
}

Choice PickCandidate(const Candidates &candidates) {
  Choice choice;
  choice.m_problem = candidates.m_problem;
  double best = std::numeric_limits<double>::infinity();
  for (const Candidate &candidate : candidates.m_list) {
    double score = GetScore(candidate);
    if (score >= best) continue;
    best = score;
    choice.m_problem = ChoiceProblem::kNone;
    choice.m_upstream = candidate.m_upstream;
    choice.m_address = candidate.m_address;
    choice.m_unread_tokens = candidate.m_unread_tokens;
    choice.m_is_silent = candidate.m_is_silent;
    choice.m_expected = base::milliseconds(
        static_cast<int>(candidate.m_work_ms + candidate.m_trip_ms));
  }
  return choice;
}

Choice ChooseUpstream(const fleet::FleetView &view, StatsById *stats,
                      const Location &location, const ChoiceRequest &request,
                      base::TimePoint now) {
  return PickCandidate(ListCandidates(view, stats, location, request, now));
}

}  // namespace wasabiwind::gateway
