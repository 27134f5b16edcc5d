/** @file dispatch.h Dispatch of requests to upstreams by route::Router. */

#ifndef WASABIWIND_ENTRY_DISPATCH_H_
#define WASABIWIND_ENTRY_DISPATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/id_type.h"
#include "base/time_type.h"
#include "config/catalog_type.h"
#include "net/endpoint_type.h"
#include "route/refusal_type.h"
#include "route/request_type.h"

namespace wasabiwind::entry {

using Priority = route::PriorityClass;

/** @return "interactive", "standard" or "batch". */
const char *GetPriorityName(Priority priority);

/** @return the priority of this name, or nothing. */
std::optional<Priority> FindPriority(const std::string &name);

/** @return the name under which routing knows a plain service, both as
 * deployment and as target. */
std::string MakeServiceName(const std::string &service);

/** Properties of an upstream for routing; a change makes a new object. */
struct UpstreamView {
  base::UpstreamId m_id;
  base::Incarnation m_incarnation;
  net::Endpoint m_endpoint;
  base::RegionId m_region;
  int m_slots = 0;            ///< requests it may hold at once
  bool m_is_suspect = false;  ///< missed renewals; gets no new requests
  std::string m_service;      ///< name of the service, empty for an engine
  std::vector<base::TargetId> m_loaded;  ///< of an engine
};
using UpstreamViewPtr = std::shared_ptr<const UpstreamView>;

/** A request that waits for an upstream. */
struct AcquireRequest {
  std::string m_service;            ///< name, or empty for an engine request
  base::DeploymentId m_deployment;  ///< for an engine request
  base::TargetId m_target;          ///< for an engine request
  base::CustomerId m_customer;
  double m_customer_weight = 1.0;
  Priority m_priority = Priority::kStandard;
  std::size_t m_prompt_bytes = 0;
  std::int64_t m_max_tokens = 0;  ///< 0: one whole answer, no stream
  std::uint64_t m_affinity = 0;   ///< hash of the prompt's beginning, or 0
  bool m_is_repeatable = false;   ///< may be sent twice
  base::TimePoint m_deadline;     ///< for the complete answer
};

/** Right to send one request to an upstream. It ends with exactly one call of
 * Finish, Fail, NoteFailure, NoteCancel or Abandon. */
struct UpstreamLease {
  std::size_t m_shard = 0;
  route::RequestNumber m_request;
  route::AttemptNumber m_attempt;
  UpstreamViewPtr m_upstream;
};

struct AcquireResult {
  std::optional<UpstreamLease> m_lease;
  bool m_is_cancelled = false;  ///< the wait was ended by its cancel function
  route::Refusal m_refusal;     ///< if neither of the above
  base::Duration m_waited{0};
};

struct ActivationNeed {
  base::DeploymentId m_deployment;
  std::string m_adapter;              ///< name, may be empty
  base::milliseconds m_time_left{0};  ///< of the most urgent request
  std::size_t m_waiting = 0;          ///< requests that wait for the target
};

/** Lets another fiber end a wait: called with a function that ends it before
 * the wait, and with nullptr after it. */
using CancelHook = std::function<void(std::function<void()> cancel)>;

/**
 * Runs route::Router under locks and suspends fibers until the router has
 * decided on their request.
 * Engines and all models share one shard, because requests of all models
 * compete for the engines' slots; plain services, each of which has upstreams
 * of its own, are spread over further shards. Thread-safe.
 */
class Dispatcher {
 public:
  /**
   * @param max_attempts of one request
   * @param request_activation called without a lock held when no upstream
   * serves a target
   */
  Dispatcher(int max_attempts,
             std::function<void(const ActivationNeed &)> request_activation);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /**
   * Waits for an upstream.
   * @param catalog configuration that resolved the request
   * @pre called inside RunFiberThread
   */
  AcquireResult Acquire(const config::CatalogPtr &catalog,
                        const AcquireRequest &request,
                        const CancelHook &set_cancel);

  /** The first part of the answer has arrived. */
  void NoteFirstToken(const UpstreamLease &lease);

  /** @param tokens total of this attempt; called a few times a second */
  void NoteTokens(const UpstreamLease &lease, std::uint64_t tokens);

  /** The answer is complete. Ends all attempts of the request. */
  void Finish(const UpstreamLease &lease, std::uint64_t tokens);

  /**
   * The attempt failed. Waits for another upstream if the request may be sent
   * again.
   * @param ran whether the upstream may have run it
   * @param tokens total of this attempt
   * @param deadline of the request
   * @pre called inside RunFiberThread
   */
  AcquireResult Fail(const UpstreamLease &lease, route::ExecutionState ran,
                     std::uint64_t tokens, base::TimePoint deadline,
                     const CancelHook &set_cancel);

  /**
   * The attempt is silent. Starts another one beside it if the request may be
   * sent again, the retry budget allows it and an upstream has a free slot.
   */
  std::optional<UpstreamLease> StartBackup(const UpstreamLease &lease);

  /**
   * The attempt failed, and another one of its request goes on.
   * @param ran, tokens as for Fail
   * @pre another attempt of the request runs
   */
  void NoteFailure(const UpstreamLease &lease, route::ExecutionState ran,
                   std::uint64_t tokens);

  /** The attempt was stopped. Another one of its request goes on, or the
   * request is ended next. */
  void NoteCancel(const UpstreamLease &lease);

  /** The request ended without an answer or another attempt. Ends all attempts
   * of the request. */
  void Abandon(const UpstreamLease &lease);

  /** Adds an upstream or replaces what is known of it. */
  void PutUpstream(const UpstreamViewPtr &upstream);

  /** From now on the upstream gets no new requests. */
  void RemoveUpstream(const base::UpstreamId &id);

  /** Records the load that an engine reports. */
  void NoteLoad(const base::UpstreamId &id, int running, int waiting,
                base::Duration age);

  /**
   * Records control's reply about a target that no upstream serves.
   * @param ready_in predicted time until it can serve, unless is_refused
   */
  void NoteActivationReply(const base::DeploymentId &deployment,
                           const base::TargetId &target, bool is_refused,
                           route::RefusalReason reason,
                           base::Duration ready_in);

  /** Carries out the refusals, probes and starts that are due; called about
   * every 50 ms. */
  void Tick(base::TimePoint now);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_DISPATCH_H_
