/** @file router_func.h Interface of routing: handles events and returns
 * decisions. */

#ifndef WASABIWIND_ROUTE_ROUTER_FUNC_H_
#define WASABIWIND_ROUTE_ROUTER_FUNC_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random_func.h"
#include "route/budget_func.h"
#include "route/choose_func.h"
#include "route/limit_func.h"
#include "route/queue_func.h"
#include "route/refusal_type.h"
#include "route/request_type.h"
#include "route/size_func.h"

namespace wasabiwind::route {

/** Settings of a router. */
struct RouterOptions {
  ChooseOptions m_choose;
  double m_long_tokens = 256;  ///< more expected output makes a request long
  /** Slots reserved for short requests: their mean use plus this many times the
   * square root of the mean, which is the deviation of independent arrivals. */
  double m_reserve_deviations = 0.5;
  /** Part of the slots that may be reserved, so that other requests still run
   * when short ones alone would fill all slots. */
  double m_max_reserve_share = 0.75;
  double m_hedge_share = 0.05;         ///< hedges per first attempt
  double m_retry_share = 0.1;          ///< retries per first attempt
  int m_max_attempts = 3;              ///< of one request, hedges included
  base::milliseconds m_hedge_min{50};  ///< least wait before a hedge
  /** A hedge starts when the first token takes this many times its mean. */
  double m_hedge_factor = 2.5;
  /** Share of the predicted time that must remain before the deadline; below 1,
   * only requests that are very unlikely to be in time are refused. */
  double m_refusal_certainty = 0.8;
  /** As m_refusal_certainty, when a request starts: one that is stopped at its
   * deadline has used a slot in vain. */
  double m_start_certainty = 1.0;
  std::size_t m_max_requests = 100'000;  ///< waiting and running together
};

/** Declared properties of a deployment or plain service. */
struct PoolOptions {
  std::vector<base::RegionId> m_regions;  ///< nearest first
  std::size_t m_queue_limit = 256;        ///< waiting requests
  base::milliseconds m_max_wait{30'000};  ///< in the queue
  /** Whether control can load it; false for plain services. */
  bool m_can_activate = true;
};

/** One request. Plain services use "service:NAME" as deployment and target. */
struct RequestInfo {
  RequestNumber m_request;  ///< chosen by the program, never reused
  base::DeploymentId m_deployment;
  base::TargetId m_target;
  base::CustomerId m_customer;
  double m_customer_weight = 1;
  PriorityClass m_class = PriorityClass::kStandard;
  std::uint32_t m_prompt_bytes = 0;
  std::uint32_t m_max_tokens = 0;  ///< 0: one whole answer, no stream
  std::uint64_t m_affinity = 0;    ///< hash of prompt prefix or session
  bool m_is_repeatable = false;    ///< may be sent twice
  bool m_may_resume = false;       ///< a broken stream may continue elsewhere
  base::TimePoint m_deadline;      ///< for the complete answer
};

/** Start this request on this upstream now. */
struct StartDecision {
  RequestNumber m_request;
  AttemptNumber m_attempt;
  base::UpstreamId m_upstream;
  bool m_is_hedge = false;           ///< another attempt is running
  std::uint32_t m_resume_token = 0;  ///< tokens that the caller has already
};

/** Answer the caller with this refusal; the request is forgotten. */
struct RefuseDecision {
  RequestNumber m_request;
  Refusal m_refusal;
};

/** Cancel this attempt at its upstream; its end isn't reported as an event. */
struct CancelDecision {
  RequestNumber m_request;
  AttemptNumber m_attempt;
  base::UpstreamId m_upstream;
};

/** Ask control to load a target for waiting requests. */
struct ActivationDecision {
  base::DeploymentId m_deployment;
  base::TargetId m_target;
  base::TimePoint m_deadline;  ///< of the most urgent request
  std::uint32_t m_waiting = 0;
};

/** What the program must do after an event. */
struct Decisions {
  std::vector<StartDecision> m_starts;
  std::vector<RefuseDecision> m_refusals;
  std::vector<CancelDecision> m_cancels;
  std::vector<ActivationDecision> m_activations;
};

/** Counters that the program exports; they never decrease. */
struct RouterCounters {
  std::uint64_t m_first_attempts = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_hedge_budget_empty = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_retry_budget_empty = 0;
  std::uint64_t m_retry_not_allowed = 0;
  std::uint64_t m_resumes = 0;
  std::uint64_t m_ejections = 0;
  std::uint64_t m_spills = 0;  ///< starts outside the first region
  std::uint64_t m_corrected_sizes = 0;
};

/** One attempt to serve a request at one upstream. */
struct Attempt {
  RequestNumber m_request;
  base::UpstreamId m_upstream;
  base::Incarnation m_incarnation;
  base::TimePoint m_started_at;
  base::TimePoint m_progress_at;
  base::TimePoint m_hedge_at;    ///< in m_hedge_timers, if it has a timer
  std::uint32_t m_tokens = 0;    ///< 0 until the first token
  bool m_is_deferrable = false;  ///< not counted in m_short_running
  bool m_is_hedge = false;
};

/** A request that is waiting or running. */
struct RoutedRequest {
  RequestInfo m_info;
  SizeInput m_size_input;
  SizeEstimate m_size;
  std::string m_pool;
  std::vector<AttemptNumber> m_attempts;  ///< running
  int m_attempts_made = 0;
  std::uint32_t m_delivered = 0;       ///< tokens that the caller has
  base::UpstreamId m_failed_upstream;  ///< of the last failed attempt
  bool m_is_waiting = true;
  bool m_may_have_run = false;  ///< an ended attempt may have run
  base::TimePoint m_queued_at;
};

/** Upstreams that have a target loaded. */
struct TargetUpstreams {
  std::vector<Upstream *> m_all;
  /** Those of which this node has at least one slot. */
  std::vector<Upstream *> m_with_slots;
};

/** Queue and latencies of one deployment and target. */
struct Pool {
  base::DeploymentId m_deployment;
  base::TargetId m_target;
  RequestQueue m_queue;
  std::size_t m_requests = 0;  ///< waiting and running
  int m_short_running = 0;     ///< attempts of short requests, without batch
  double m_short_mean = 0;     ///< moving mean of m_short_running
  base::TimePoint m_short_mean_at;
  /** Time to first token, by the bit width of the prompt's size in bytes. */
  std::array<MovingMean, 33> m_first_token_seconds;
  MovingMean m_token_seconds;
  base::TimePoint m_activate_at;  ///< earliest next activation
  base::TimePoint m_ready_at;     ///< predicted end of the load; epoch: unknown
};

/**
 * Routing state of one shard. All functions below change it and must not run at
 * the same time on one shard; the program holds the shard's lock during the
 * call, carries out the decisions afterwards, and reports their outcome.
 * Requests that compete for the same upstreams should be in one shard (for
 * example by model), because a shard sees only its own requests in flight.
 */
struct Router {
  RouterOptions m_options;
  base::Random m_random;
  SizeModel m_sizes;
  Budget m_hedge_budget;
  Budget m_retry_budget;
  RouterCounters m_counters;
  LimitTable m_limits;
  absl::flat_hash_map<base::DeploymentId, PoolOptions> m_pool_options;
  /** Number of waiting requests. */
  absl::flat_hash_map<base::DeploymentId, std::size_t> m_waiting;
  absl::flat_hash_map<std::string, std::unique_ptr<Pool>> m_pools;
  absl::flat_hash_map<base::UpstreamId, std::unique_ptr<Upstream>> m_upstreams;
  absl::flat_hash_map<base::TargetId, TargetUpstreams> m_by_target;
  absl::flat_hash_map<RequestNumber, RoutedRequest> m_requests;
  absl::flat_hash_map<AttemptNumber, Attempt> m_attempts;
  std::set<std::pair<base::TimePoint, AttemptNumber>> m_hedge_timers;
  /** Keys of pools with waiting requests. */
  std::set<std::string> m_waiting_pools;
  std::string m_last_pool;  ///< pool that last started a request
  std::uint64_t m_next_attempt = 1;
  std::size_t m_nodes = 1;  ///< number of nodes that share the upstreams
  std::size_t m_node_index = 0;
};

/** @return an empty router. @param seed of the choice among upstreams */
Router MakeRouter(const RouterOptions &options, std::uint64_t seed);

/**
 * Sets how many nodes share the upstreams. A node uses its part of the slots of
 * each, because it doesn't see the requests of the others. The parts of all
 * nodes add up to the slots while all use the same list of nodes. With more
 * nodes than slots, a node uses only some of the upstreams; if none of a target
 * is among them, it uses all of that target, one request at a time each.
 * @param index position of this node in the sorted list of nodes
 * @pre index < nodes
 */
void SetNodeShare(Router *router, std::size_t index, std::size_t nodes);

/** Declares or changes a deployment or service. */
void SetPoolOptions(Router *router, const base::DeploymentId &deployment,
                    const PoolOptions &options);

/** Removes a deployment. Its waiting requests are refused (kUnknownModel);
 * running ones continue. */
void RemovePoolOptions(Router *router, const base::DeploymentId &deployment,
                       Decisions *decisions);

/**
 * Handles a new request. It is refused at once, started, or queued until a
 * later decision starts or refuses it. Every admitted request ends exactly
 * once: by a refusal decision, OnFinished or OnCallerGone.
 * @pre the request number is new
 */
void AdmitRequest(Router *router, const RequestInfo &info, base::TimePoint now,
                  Decisions *decisions);

/** The first token (or the first byte of a whole answer) has arrived. The
 * attempt whose first token comes first wins; others are cancelled. */
void OnFirstToken(Router *router, AttemptNumber attempt, base::TimePoint now,
                  Decisions *decisions);

/**
 * Further tokens have arrived. The program may report several tokens at once,
 * at most every 50 ms per attempt, to reduce contention for the shard's lock.
 * @param tokens total that this attempt has delivered
 */
void OnTokens(Router *router, AttemptNumber attempt, std::uint32_t tokens,
              base::TimePoint now, Decisions *decisions);

/** The answer is complete. @param tokens as in OnTokens */
void OnFinished(Router *router, AttemptNumber attempt, std::uint32_t tokens,
                base::TimePoint now, Decisions *decisions);

/**
 * An attempt failed. The request is retried or resumed if that is allowed and
 * within the budget; otherwise a refusal ends it, unless another attempt runs.
 * @param ran whether the upstream may have executed it
 * @param tokens as in OnTokens
 */
void OnFailed(Router *router, AttemptNumber attempt, ExecutionState ran,
              std::uint32_t tokens, base::TimePoint now, Decisions *decisions);

/**
 * Starts another attempt of a request whose attempt is silent, which runs on,
 * since only an attempt that answers may replace it. Nothing is queued: without
 * a free slot, a retry in the budget or an attempt left, nothing is started.
 * The same upstream is chosen only if no other has the target; its connection
 * alone may be lost.
 * @param attempt the silent one
 */
std::optional<StartDecision> StartBackup(Router *router, AttemptNumber attempt,
                                         base::TimePoint now);

/** The program has stopped an attempt, because another one of its request goes
 * on. It doesn't count as a failure of the upstream. */
void OnCancelled(Router *router, AttemptNumber attempt, base::TimePoint now,
                 Decisions *decisions);

/** The caller has disconnected; running attempts are cancelled. */
void OnCallerGone(Router *router, RequestNumber request, base::TimePoint now,
                  Decisions *decisions);

/** An upstream announced itself, changed, or began to leave. A newer
 * incarnation replaces all that was known; an older one is ignored. */
void OnUpstream(Router *router, const UpstreamInfo &info, base::TimePoint now,
                Decisions *decisions);

/** An upstream is gone. Its attempts end by OnFailed as usual. */
void OnUpstreamGone(Router *router, const base::UpstreamId &upstream);

/** A load report of an upstream. */
void OnUpstreamLoad(Router *router, const base::UpstreamId &upstream,
                    const UpstreamLoad &load, base::TimePoint now);

/**
 * Control predicts when a target is loaded. Waiting requests that it would
 * serve too late are refused (kColdStartTooLate).
 */
void OnReadyTimePrediction(Router *router, const base::DeploymentId &deployment,
                           const base::TargetId &target,
                           base::TimePoint ready_at, base::TimePoint now,
                           Decisions *decisions);

/** Handles deadlines, hedges, probes and starts that are due. */
void OnTimer(Router *router, base::TimePoint now, Decisions *decisions);

/** @return when OnTimer must be called next; at most 100 ms after now. */
base::TimePoint GetNextTimer(const Router &router, base::TimePoint now);

/** @return predicted wait of a new request, zero if unknown */
EstimatedSeconds PredictWait(const Router &router, const RequestInfo &info,
                             base::TimePoint now);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_ROUTER_FUNC_H_
