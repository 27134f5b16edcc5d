/** @file choose_func.h Choice of the upstream that gets a request. */

#ifndef WASABIWIND_GATEWAY_CHOOSE_FUNC_H_
#define WASABIWIND_GATEWAY_CHOOSE_FUNC_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <set>
#include <string>

#include "fleet/view_func.h"
#include "gateway/upstream_stats_func.h"
#include "routes/table_func.h"

namespace wasabiwind::gateway {

using StatsById = absl::flat_hash_map<std::string, UpstreamStats>;

/** Where this host is and which region each failure domain belongs to. */
struct Location {
  std::string m_domain;
  std::string m_region;
  std::map<std::string, std::string> m_region_by_domain;
};

struct ChoiceRequest {
  const RequestMetadata *m_metadata = nullptr;
  const gen::RoutedService *m_service = nullptr;
  std::vector<std::uint64_t> m_prefix_keys;  ///< MakeChainKeys of the facts
  std::set<std::string> m_excluded;          ///< upstreams that failed it
  std::uint64_t m_request_hash = 0;          ///< breaks ties
};

/** Why there is no choice. */
enum class ChoiceProblem : std::uint8_t {
  kNone,
  kNoUpstream,   ///< no upstream of the service serves
  kNoModel,      ///< none of them holds the model
  kNoAdapter,    ///< some hold the model, none the adapter
  kDown,         ///< those that could take no connection now
  kAllExcluded,  ///< those that could have failed this request already
  kEnd,
};

struct Choice {
  std::string m_upstream;  ///< "" if there is a problem
  std::string m_address;
  ChoiceProblem m_problem = ChoiceProblem::kNone;
  base::milliseconds m_expected_latency{0};  ///< time to the first byte
  std::uint32_t m_prefill_tokens = 0;        ///< of the prompt at that upstream
  bool m_is_silent = false;
};

/** An upstream that could run a request. */
struct Candidate {
  std::string m_upstream;
  std::string m_address;
  std::string m_domain;
  std::uint64_t m_start_time_ms = 0;
  std::uint32_t m_prefill_tokens = 0;  ///< of the prompt
  double m_processing_ms = 0;          ///< until the first event, without way
  double m_slowdown = 1;               ///< factor on the work
  double m_network_cost_ms = 0;        ///< with the price of the bytes
  double m_round_trip_ms = 0;          ///< without it
  double m_penalty_ms = 0;             ///< failures, silence, start, affinity
  bool m_is_silent = false;
};

struct Candidates {
  std::vector<Candidate> m_list;
  ChoiceProblem m_problem = ChoiceProblem::kNoUpstream;  ///< if it is empty
};

/** @return what a request costs at an upstream, in milliseconds. */
double GetCostMs(const Candidate &candidate);

/** @return all upstreams that could run a request now. */
Candidates ListCandidates(const fleet::FleetView &view, StatsById *stats,
                          const Location &location,
                          const ChoiceRequest &request, base::TimePoint now);

/** Replaces what this host knows of a runner's work by its book. */
void ApplyLoad(const ChoiceRequest &request, const gen::LoadAnswer &load,
               Candidate *candidate);

/** @return the candidate with the least score, or the problem. */
Choice PickCandidate(const Candidates &candidates);

/**
 * Chooses the upstream with the least expected time to the first byte. The
 * time is made up of the way there, the prompt that it must read and work that
 * it has; upstreams that failed lately or fell silent come last.
 */
Choice ChooseUpstream(const fleet::FleetView &view, StatsById *stats,
                      const Location &location, const ChoiceRequest &request,
                      base::TimePoint now);

/** @return the name of a problem for logs and metrics. */
const char *GetProblemName(ChoiceProblem problem);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_CHOOSE_FUNC_H_
