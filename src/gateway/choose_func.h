/** @file choose_func.h Choice of the upstream for a request. */

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

/** What the choice of an upstream for one request depends on. */
struct ChoiceRequest {
  const RequestMetadata *m_metadata = nullptr;
  const gen::RoutedService *m_service = nullptr;
  std::vector<std::uint64_t> m_prefix_keys;  ///< from MakePrefixKeys
  std::set<std::string> m_excluded;          ///< upstreams where it has failed
  std::uint64_t m_request_hash = 0;  ///< affinity seed without prompt parts
  /** Longest pause of a punctual stream; 0: no pause is too long. */
  base::milliseconds m_max_gap{0};
  bool m_is_paced = false;  ///< limits of started upstreams order the choice
};

/** Why no upstream can be chosen. If several apply, the last one counts. */
enum class ChoiceProblem : std::uint8_t {
  kNone,
  kNoUpstream,   ///< the service has no serving upstream
  kNoModel,      ///< no serving upstream has the model loaded and accepts
                 ///< requests for it
  kNoAdapter,    ///< upstreams have loaded the model, but not the adapter
  kDown,         ///< suitable upstreams refuse connections
  kPaused,       ///< suitable upstreams asked for a pause
  kAllExcluded,  ///< suitable upstreams have failed this request
  kEnd,
};

struct Choice {
  std::string m_upstream;  ///< "" if there is a problem
  std::string m_address;
  ChoiceProblem m_problem = ChoiceProblem::kNone;
  base::milliseconds m_expected_latency{0};  ///< time to the first byte
  std::uint32_t m_prefill_tokens = 0;        ///< prompt tokens not cached there
  base::Duration m_hold{0};  ///< wait before it is sent, see GetHoldTime
  bool m_is_silent = false;
  base::TimePoint m_pause_ends_at;  ///< with kPaused: the first of them
};

/** An upstream that could run a request. */
struct Candidate {
  std::string m_upstream;
  std::string m_address;
  std::string m_domain;
  std::uint64_t m_start_time_ms = 0;
  std::uint32_t m_prefill_tokens = 0;  ///< prompt tokens not cached there
  double m_processing_ms = 0;  ///< until the first event, without the network
  double m_slowdown = 1;       ///< factor on m_processing_ms
  /** Delay that its prompt brings to the requests at the upstream, summed up
   * over these, as far as their pauses become critical. */
  double m_delay_to_others_ms = 0;
  base::Duration m_hold{0};        ///< wait before it is sent, see GetHoldTime
  double m_network_cost_ms = 0;    ///< round trip and cost of the traffic
  double m_round_trip_ms = 0;      ///< without the cost of the traffic
  double m_penalty_ms = 0;         ///< failures, silence, cold start, affinity
  double m_pace_penalty_ms = 0;    ///< limit after a start or recovery
  bool m_is_silent = false;        ///< its heartbeats are missing
  bool m_is_load_queried = false;  ///< at its load tracker
};

struct Candidates {
  std::vector<Candidate> m_list;
  ChoiceProblem m_problem = ChoiceProblem::kNoUpstream;  ///< if it is empty
  base::TimePoint m_pause_ends_at = base::TimePoint::max();
};

/** @return the cost of a request at an upstream; the lowest is chosen. */
double GetCostMs(const Candidate &candidate);

/** @return all upstreams that could run a request now. */
Candidates ListCandidates(const fleet::FleetView &view, StatsById *stats,
                          const Location &location,
                          const ChoiceRequest &request, base::TimePoint now);

/**
 * Replaces this host's estimate of a runner's load by the answer of the
 * runner's load tracker, with the model of the runner that it has learned.
 */
void ApplyLoad(const ChoiceRequest &request, const gen::LoadAnswer &load,
               base::TimePoint now, Candidate *candidate);

/** @return the candidate with the lowest cost, or the problem. */
Choice PickCandidate(const Candidates &candidates);

/**
 * Chooses the upstream with the lowest cost: the expected time to the first
 * byte (network, prefill of the prompt, load of the upstream) plus penalties
 * that put upstreams with recent failures or missing heartbeats last.
 */
Choice ChooseUpstream(const fleet::FleetView &view, StatsById *stats,
                      const Location &location, const ChoiceRequest &request,
                      base::TimePoint now);

/** @return the name of a problem for logs and metrics. */
const char *GetProblemName(ChoiceProblem problem);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_CHOOSE_FUNC_H_
