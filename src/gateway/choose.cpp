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

struct Candidate {
  const fleet::UpstreamEntry *m_entry = nullptr;
  UpstreamStats *m_stats = nullptr;
};

/** @return a number in [0, 1) that all entry hosts agree on. */
double GetAffinity(const ChoiceRequest &request, const std::string &upstream) {
  // All parts but the last are shared with other requests.
  const std::vector<std::uint64_t> &keys = request.m_chain_keys;
  std::uint64_t seed = keys.empty()       ? request.m_draw
                       : keys.size() == 1 ? keys.front()
                                          : keys[keys.size() - 2];
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
  if (item.m_born_ms != report.born_ms()) {
    int in_flight = item.m_in_flight;
    item = UpstreamStats();
    item.m_born_ms = report.born_ms();
    item.m_in_flight = in_flight;
  }
  DecayStats(&item, now);
  return &item;
}

double GetWorkMs(const ChoiceRequest &request, const Candidate &candidate,
                 std::uint32_t unread) {
  const UpstreamStats &stats = *candidate.m_stats;
  if (!request.m_service->has_engine()) {
    double slots = std::max(1u, candidate.m_entry->m_report.slots());
    return kPlainWorkMs * (1 + stats.m_in_flight / slots);
  }
  double queued = static_cast<double>(stats.m_unread_tokens) / kTokensPerMs;
  return kFirstEventMs + unread / kTokensPerMs + queued +
         kInFlightMs * stats.m_in_flight;
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

Choice ChooseUpstream(const fleet::FleetView &view, StatsById *stats,
                      const Location &location, const ChoiceRequest &request,
                      base::TimePoint now) {
  const RequestFacts &facts = *request.m_facts;
  bool needs_model = request.m_service->has_engine() && !facts.m_model.empty();
  Choice choice;
  choice.m_problem = ChoiceProblem::kNoUpstream;
  double best = std::numeric_limits<double>::infinity();
  for (const auto &[id, entry] : view.m_upstreams) {
    const gen::UpstreamReport &report = entry.m_report;
    if (report.service() != request.m_service->name()) continue;
    if (!fleet::IsServing(view, entry)) continue;
    if (needs_model && !fleet::HasTarget(entry, facts.m_model, "", now)) {
      choice.m_problem = std::max(choice.m_problem, ChoiceProblem::kNoModel);
      continue;
    }
    if (needs_model && !facts.m_adapter.empty() &&
        !fleet::HasTarget(entry, facts.m_model, facts.m_adapter, now)) {
      choice.m_problem = std::max(choice.m_problem, ChoiceProblem::kNoAdapter);
      continue;
    }
    if (request.m_excluded.contains(id)) {
      choice.m_problem =
          std::max(choice.m_problem, ChoiceProblem::kAllExcluded);
      continue;
    }
    Candidate candidate{&entry, FindStats(stats, report, now)};
    const UpstreamStats &known = *candidate.m_stats;
    if (needs_model && IsModelRefused(known, facts.m_model, now)) {
      choice.m_problem = std::max(choice.m_problem, ChoiceProblem::kNoModel);
      continue;
    }
    if (now < known.m_down_until) {
      choice.m_problem = std::max(choice.m_problem, ChoiceProblem::kDown);
      continue;
    }
    std::uint32_t kept =
        CountKeptTokens(known.m_prefixes, facts, request.m_chain_keys);
    std::uint32_t unread =
        facts.m_prompt_tokens > kept ? facts.m_prompt_tokens - kept : 0;
    double work = GetWorkMs(request, candidate, unread) * known.m_slowness;
    double way = GetWayMs(location, report.domain());
    bool is_silent = fleet::IsSilent(view, entry.m_silence, now);
    double score = work + way + kFailureMs * known.m_failures +
                   kAffinityMs * GetAffinity(request, id) +
                   report.cold_left_ms() / 100.0;
    if (is_silent) score += kSilentMs;

    if (score >= best) continue;
    best = score;
    choice.m_upstream = id;
    choice.m_address = report.address();
    choice.m_unread_tokens = unread;
    choice.m_is_silent = is_silent;
    double trip = way >= kOtherRegionMs ? kOtherRegionTripMs : way;
    choice.m_expected = base::milliseconds(
        static_cast<int>(GetWorkMs(request, candidate, unread) + trip));
  }
  // The model must come from elsewhere if those that hold it are down.
  if (choice.m_problem == ChoiceProblem::kDown && needs_model) {
    choice.m_problem = ChoiceProblem::kNoModel;
  }
  if (!choice.m_upstream.empty()) choice.m_problem = ChoiceProblem::kNone;
  return choice;
}

}  // namespace wasabiwind::gateway
