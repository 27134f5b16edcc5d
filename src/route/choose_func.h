/** @file choose_func.h Choice of upstreams, ejection and concurrency limits. */

#ifndef WASABIWIND_ROUTE_CHOOSE_FUNC_H_
#define WASABIWIND_ROUTE_CHOOSE_FUNC_H_

#include <vector>

#include "base/random_func.h"
#include "route/upstream_base.h"

namespace wasabiwind::route {

/** Settings of choice, ejection and concurrency limits. */
struct ChooseOptions {
  /** Multiple of the mean load up to which a request goes to the upstream that
   * its affinity selects. */
  double m_max_affinity_load = 1.25;

  double m_eject_ratio = 2.5;  ///< ratio of latency to the peers' median
  double m_max_ejected_share = 0.2;
  base::milliseconds m_eject_time{2'000};  ///< doubles with each repetition
  int m_eject_failures = 3;                ///< consecutive failures
  int m_initial_limit = 4;                 ///< where slots are unknown
  int m_max_limit = 256;                   ///< where slots are unknown
  /** Waiting time after which a request may go to the next region in order. */
  base::milliseconds m_spill_after{100};
};

/** Properties of a request that the choice depends on. */
struct ChooseInput {
  RequestLength m_length = RequestLength::kShort;
  std::uint64_t m_affinity = 0;  ///< hash of prompt prefix or session, 0: none
  /** Upstreams that failed before or run an attempt of the request. */
  std::vector<base::UpstreamId> m_avoid;
  bool m_must_avoid = false;  ///< never choose one of them, even without others
};

/** @return how many requests this node may run at the upstream at a time. */
int GetConcurrencyLimit(const Upstream &upstream);

/** @return whether the upstream can take a request now. */
bool HasFreeSlot(const Upstream &upstream, base::TimePoint now);

/** @return expected load; less is better. */
double ScoreUpstream(const Upstream &upstream, base::TimePoint now);

/**
 * Chooses an upstream for one request: the first by rendezvous hash of the
 * affinity if its load stays within m_max_affinity_load times the mean, else
 * the better of two random ones. An ejected upstream gets one request at a time
 * as a probe once its ejection time is over.
 * @param candidates upstreams of one region that have the target loaded
 * @return nullptr if none has a free slot
 */
Upstream *ChooseUpstream(const ChooseOptions &options,
                         const std::vector<Upstream *> &candidates,
                         const ChooseInput &input, base::TimePoint now,
                         base::Random *random);

/** @return the median of the peers' token time in seconds, 0 if unknown. */
double ComputeMedianTokenSeconds(const std::vector<Upstream *> &peers);

/** As ComputeMedianTokenSeconds, for the ratio of times to first tokens. */
double ComputeMedianFirstTokenRatio(const std::vector<Upstream *> &peers);

/** Prepares an ejected upstream for its probe: its latency is measured anew.
 * @pre it isn't healthy */
void BeginProbe(Upstream *upstream);

/**
 * Ejects the upstream if it is slow compared with its peers or failing, as long
 * as the share of ejected peers allows it. Ends an ejection once running
 * requests or a probe reach the speed of the peers.
 * @param is_attempt_done whether an attempt has just ended
 * @return whether the upstream has just been ejected
 */
bool UpdateEjection(const ChooseOptions &options, Upstream *upstream,
                    const std::vector<Upstream *> &peers, bool is_attempt_done,
                    base::TimePoint now);

/**
 * Adapts the concurrency limit to a measured time between tokens: additive
 * increase while the upstream keeps its speed, multiplicative decrease when it
 * is much slower than it was at its best.
 */
void UpdateConcurrencyLimit(Upstream *upstream, base::TimePoint now);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_CHOOSE_FUNC_H_
