/** @file dispatch.cpp Dispatch of requests to upstreams by route::Router. */

#include "entry/dispatch.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <limits>
#include <mutex>

#include "base/metrics_func.h"
#include "base/random_func.h"
#include "net/fiber_scheduler.h"
#include "route/limit_func.h"
#include "route/router_func.h"

namespace wasabiwind::entry {

namespace {

constexpr std::array<const char *, route::kPriorityClassCount> kPriorityNames =
    {"interactive", "standard", "batch"};

/** Shard 0 holds the engines, the others hold the services. */
constexpr std::size_t kEngineShard = 0;
constexpr std::size_t kShards = 8;
/** Retry-after time of a refusal for which no better estimate is known. */
constexpr base::milliseconds kRetryAfter{1'000};
/** Time until a target that control refused to load may be requested again. */
constexpr base::milliseconds kActivationRefusalTime{1'000};
/** Disables hedging: the relay of a request reads one answer at a time. */
constexpr base::milliseconds kNoHedge{24 * 3'600'000};
/** Output tokens that a limit in tokens/s charges for a request that states no
 * bound. */
constexpr double kDefaultCostTokens = 256;

route::Refusal MakeRefusal(route::RefusalReason reason,
                           base::milliseconds retry_after = kRetryAfter) {
  route::Refusal refusal;
  refusal.m_reason = reason;
  refusal.m_retry_after = retry_after;
  return refusal;
}

std::uint32_t Clamp32(std::uint64_t value) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(value, std::numeric_limits<std::int32_t>::max()));
}

std::vector<base::RegionId> ToRegions(
    const google::protobuf::RepeatedPtrField<std::string> &names) {
  std::vector<base::RegionId> regions;
  regions.reserve(static_cast<std::size_t>(names.size()));
  for (const std::string &name : names) regions.emplace_back(name);
  return regions;
}

route::PoolOptions MakePoolOptions(const gen::Deployment &deployment) {
  route::PoolOptions options;
  options.m_regions = ToRegions(deployment.regions());
  options.m_queue_limit = static_cast<std::size_t>(deployment.queue_limit());
  options.m_max_wait = base::milliseconds(deployment.max_wait_ms());
  return options;
}

route::PoolOptions MakePoolOptions(const gen::Service &service) {
  route::PoolOptions options;
  options.m_regions = ToRegions(service.regions());
  options.m_queue_limit = static_cast<std::size_t>(service.queue_limit());
  options.m_max_wait = base::milliseconds(service.max_wait_ms());
  options.m_can_activate = false;
  return options;
}

/** @return "a" of "m@1/a@2", or "" without an adapter. */
std::string GetAdapterName(const base::TargetId &target) {
  const std::string &text = target.Value();
  std::size_t slash = text.find('/');
  if (slash == std::string::npos) return "";
  std::size_t version = text.find('@', slash);
  return text.substr(slash + 1, version - slash - 1);
}

/**
 * The wait of one fiber for a routing decision. Any thread may end it. m_mutex
 * is never held while a fiber is suspended, because other threads lock it while
 * they hold the lock of a shard.
 */
class Waiter : public std::enable_shared_from_this<Waiter> {
 public:
  enum class State : std::uint8_t { kWaiting, kGranted, kRefused, kCancelled };

  Waiter(base::TimePoint deadline, base::TargetId target)
      : m_target(std::move(target)),
        m_deadline(deadline),
        m_io_context(net::CurrentIoContext()) {}

  bool Grant(const UpstreamLease &lease) {
    return End(State::kGranted, [&] { m_lease = lease; });
  }
  bool Refuse(const route::Refusal &refusal) {
    return End(State::kRefused, [&] { m_refusal = refusal; });
  }
  bool Cancel() {
    return End(State::kCancelled, [] {});
  }

  /** Suspends the calling fiber until another thread ends the wait, or until
   * the deadline, which counts as a refusal. */
  State Wait() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_state != State::kWaiting) return m_state;
      m_timer.emplace(m_io_context);
      net::ExpireAt(&*m_timer, m_deadline);
      m_is_suspended = true;
    }
    net::Await([this](auto handler) { m_timer->async_wait(handler); });
    m_timer.reset();
    Refuse(MakeRefusal(route::RefusalReason::kDeadlinePassed));
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_state;
  }

  /** @pre Wait returned kGranted */
  const UpstreamLease &Lease() const { return m_lease; }
  /** @pre Wait returned kRefused */
  const route::Refusal &Refusal() const { return m_refusal; }
  const base::TargetId &Target() const { return m_target; }

 private:
  /** @return false if the wait had ended before */
  template <typename Assign>
  bool End(State state, Assign assign) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_state != State::kWaiting) return false;
    assign();
    m_state = state;
    if (!m_is_suspended) return true;
    boost::asio::post(m_io_context, [self = shared_from_this()] {
      if (self->m_timer) self->m_timer->cancel();
    });
    return true;
  }

  base::TargetId m_target;  ///< empty in the wait after a failed attempt
  base::TimePoint m_deadline;
  boost::asio::io_context &m_io_context;             ///< of the waiting thread
  std::optional<boost::asio::steady_timer> m_timer;  ///< used by that thread
  std::mutex m_mutex;
  State m_state = State::kWaiting;  ///< guarded by m_mutex
  bool m_is_suspended = false;      ///< guarded by m_mutex
  UpstreamLease m_lease;
  route::Refusal m_refusal;
};

using WaiterPtr = std::shared_ptr<Waiter>;

struct ActivationRefusal {
  base::TimePoint m_until;
  route::RefusalReason m_reason = route::RefusalReason::kNoUpstream;
};

/** All members are guarded by m_mutex. */
struct Shard {
  std::mutex m_mutex;
  std::size_t m_index = 0;
  route::Router m_router;
  base::Revision m_revision;  ///< of the declarations that the router uses
  absl::flat_hash_map<route::RequestNumber, WaiterPtr> m_waiters;
  absl::flat_hash_map<base::UpstreamId, UpstreamViewPtr> m_views;
  absl::flat_hash_map<base::TargetId, ActivationRefusal> m_activation_refusals;
};

UpstreamLease MakeLease(const Shard &shard, const route::StartDecision &start) {
  auto view = shard.m_views.find(start.m_upstream);
  assert(view != shard.m_views.end());
  return UpstreamLease{shard.m_index, start.m_request, start.m_attempt,
                       view->second};
}

/** Passes the decisions of the router to the waiting fibers. */
void ApplyDecisions(Shard *shard, const route::Decisions &decisions) {
  for (const route::StartDecision &start : decisions.m_starts) {
    auto waiter = shard->m_waiters.extract(start.m_request);
    assert(!waiter.empty());
    waiter.mapped()->Grant(MakeLease(*shard, start));
  }
  for (const route::RefuseDecision &refuse : decisions.m_refusals) {
    auto waiter = shard->m_waiters.extract(refuse.m_request);
    if (!waiter.empty()) waiter.mapped()->Refuse(refuse.m_refusal);
  }
}

std::vector<ActivationNeed> ListActivationNeeds(
    const route::Decisions &decisions, base::TimePoint now) {
  std::vector<ActivationNeed> needs;
  needs.reserve(decisions.m_activations.size());
  for (const route::ActivationDecision &activation : decisions.m_activations) {
    needs.push_back(ActivationNeed{
        activation.m_deployment, GetAdapterName(activation.m_target),
        std::chrono::duration_cast<base::milliseconds>(activation.m_deadline -
                                                       now),
        activation.m_waiting});
  }
  return needs;
}

}  // namespace

const char *GetPriorityName(Priority priority) {
  return kPriorityNames[static_cast<std::size_t>(priority)];
}

std::optional<Priority> FindPriority(const std::string &name) {
  for (std::size_t i = 0; i < kPriorityNames.size(); ++i) {
    if (name == kPriorityNames[i]) return static_cast<Priority>(i);
  }
  return std::nullopt;
}

std::string MakeServiceName(const std::string &service) {
  return "service:" + service;
}

struct Dispatcher::Impl {
  std::function<void(const ActivationNeed &)> m_request_activation;
  std::array<Shard, kShards> m_shards;
  std::atomic<std::uint64_t> m_next_request = 1;

  std::mutex m_limits_mutex;
  /** Limits of customers span shards, so they have a table of their own;
   * guarded by m_limits_mutex. */
  route::LimitTable m_limits;
  base::Revision m_limits_revision;  ///< guarded by m_limits_mutex
  absl::flat_hash_map<route::RequestNumber, AcquireRequest>
      m_charged_requests;  ///< guarded by m_limits_mutex

  Shard &ShardOfService(const std::string &service) {
    std::size_t hash = std::hash<std::string>()(service);
    return m_shards[1 + hash % (kShards - 1)];
  }
  void ApplyCatalog(Shard *shard, const config::Catalog &catalog,
                    route::Decisions *decisions);
  std::optional<base::milliseconds> Charge(const config::Catalog &catalog,
                                           route::RequestNumber number,
                                           const AcquireRequest &request,
                                           base::TimePoint now);
  void ReleaseCharge(route::RequestNumber number);
  AcquireResult WaitFor(Shard *shard, route::RequestNumber number,
                        const WaiterPtr &waiter, base::TimePoint start,
                        const CancelHook &set_cancel);

  /** Calls a function of the router and applies its decisions. */
  template <typename Event>
  void Run(Shard *shard, Event event) {
    base::TimePoint now = base::Clock::now();
    route::Decisions decisions;
    {
      std::lock_guard<std::mutex> lock(shard->m_mutex);
      event(&shard->m_router, now, &decisions);
      ApplyDecisions(shard, decisions);
    }
    for (const ActivationNeed &need : ListActivationNeeds(decisions, now)) {
      m_request_activation(need);
    }
  }
};

Dispatcher::Dispatcher(
    int max_attempts,
    std::function<void(const ActivationNeed &)> request_activation)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_request_activation = std::move(request_activation);
  route::RouterOptions options;
  options.m_hedge_min = kNoHedge;
  options.m_max_attempts = max_attempts;
  for (std::size_t i = 0; i < kShards; ++i) {
    m_impl->m_shards[i].m_index = i;
    route::Router &router = m_impl->m_shards[i].m_router;
    router = route::MakeRouter(options, base::MakeSeed());
    // A node starts with its full retry budget; otherwise the first engine that
    // fails after the start would end most of its streams.
    router.m_retry_budget.m_credit = router.m_retry_budget.m_max_credit;
  }
}

Dispatcher::~Dispatcher() = default;

/** Applies the declarations to the router, once for each revision. */
void Dispatcher::Impl::ApplyCatalog(Shard *shard,
                                    const config::Catalog &catalog,
                                    route::Decisions *decisions) {
  if (shard->m_revision == catalog.m_revision) return;
  // A request that was resolved by an older configuration must not bring the
  // older options back.
  bool is_older =
      shard->m_revision.IsValid() && catalog.m_revision < shard->m_revision;
  if (is_older) return;
  shard->m_revision = catalog.m_revision;
  absl::flat_hash_map<base::DeploymentId, route::PoolOptions> declared;
  if (shard->m_index == kEngineShard) {
    for (const auto &[name, deployment] : catalog.m_deployments) {
      declared.emplace(name, MakePoolOptions(*deployment));
    }
  } else {
    for (const auto &[name, service] : catalog.m_services) {
      if (&ShardOfService(name) != shard) continue;
      declared.emplace(MakeServiceName(name), MakePoolOptions(*service));
    }
  }
  std::vector<base::DeploymentId> removed;
  for (const auto &[name, options] : shard->m_router.m_pool_options) {
    if (!declared.contains(name)) removed.push_back(name);
  }
  for (const base::DeploymentId &name : removed) {
    route::RemovePoolOptions(&shard->m_router, name, decisions);
  }
  for (const auto &[name, options] : declared) {
    route::SetPoolOptions(&shard->m_router, name, options);
  }
}

/** Charges a request to all declared limits that match it, or to none.
 * @return the time after which to retry if a limit is used up, else nothing */
std::optional<base::milliseconds> Dispatcher::Impl::Charge(
    const config::Catalog &catalog, route::RequestNumber number,
    const AcquireRequest &request, base::TimePoint now) {
  if (catalog.m_declarations.limit_size() == 0) return std::nullopt;
  std::lock_guard<std::mutex> lock(m_limits_mutex);
  if (m_limits_revision != catalog.m_revision) {
    m_limits_revision = catalog.m_revision;
    std::vector<route::LimitInfo> limits;
    for (const gen::Limit &limit : catalog.m_declarations.limit()) {
      route::LimitInfo info;
      info.m_name = limit.name();
      info.m_customer = base::CustomerId(limit.customer());
      info.m_deployment = base::DeploymentId(limit.deployment());
      info.m_region = base::RegionId(limit.region());
      info.m_requests_per_s = limit.requests_per_s();
      info.m_burst = limit.burst();
      info.m_tokens_per_s = limit.tokens_per_s();
      info.m_max_in_flight = limit.max_in_flight();
      limits.push_back(info);
    }
    route::SetLimits(&m_limits, limits, m_limits.m_nodes, now);
  }
  double cost = request.m_max_tokens > 0
                    ? static_cast<double>(request.m_max_tokens)
                    : kDefaultCostTokens;
  std::optional<base::milliseconds> wait = route::ChargeLimits(
      &m_limits, request.m_customer, request.m_deployment, cost, now);
  if (!wait) m_charged_requests.emplace(number, request);
  return wait;
}

/** Releases the in-flight slots of a request that has ended. */
void Dispatcher::Impl::ReleaseCharge(route::RequestNumber number) {
  std::lock_guard<std::mutex> lock(m_limits_mutex);
  auto found = m_charged_requests.find(number);
  if (found == m_charged_requests.end()) return;
  route::ReleaseLimits(&m_limits, found->second.m_customer,
                       found->second.m_deployment);
  m_charged_requests.erase(found);
}

AcquireResult Dispatcher::Acquire(const config::CatalogPtr &catalog,
                                  const AcquireRequest &request,
                                  const CancelHook &set_cancel) {
  base::TimePoint now = base::Clock::now();
  route::RequestInfo info;
  info.m_request = route::RequestNumber(m_impl->m_next_request++);
  bool is_service = !request.m_service.empty();
  std::string service_name = MakeServiceName(request.m_service);
  info.m_deployment =
      is_service ? base::DeploymentId(service_name) : request.m_deployment;
  info.m_target = is_service ? base::TargetId(service_name) : request.m_target;
  info.m_customer = request.m_customer;
  info.m_customer_weight = request.m_customer_weight;
  info.m_class = request.m_priority;
  info.m_prompt_bytes = Clamp32(request.m_prompt_bytes);
  info.m_max_tokens = Clamp32(static_cast<std::uint64_t>(request.m_max_tokens));
  info.m_affinity = request.m_affinity;
  info.m_is_repeatable = request.m_is_repeatable;
  info.m_may_resume = request.m_is_repeatable;
  info.m_deadline = request.m_deadline;

  AcquireResult result;
  std::optional<base::milliseconds> limit_wait =
      m_impl->Charge(*catalog, info.m_request, request, now);
  if (limit_wait) {
    result.m_refusal =
        MakeRefusal(route::RefusalReason::kRateLimited, *limit_wait);
    return result;
  }
  Shard &shard = is_service ? m_impl->ShardOfService(request.m_service)
                            : m_impl->m_shards[kEngineShard];
  auto waiter = std::make_shared<Waiter>(request.m_deadline, info.m_target);
  bool is_refused = false;
  m_impl->Run(&shard, [&](route::Router *router, base::TimePoint event_time,
                          route::Decisions *decisions) {
    m_impl->ApplyCatalog(&shard, *catalog, decisions);
    auto refusal = shard.m_activation_refusals.find(info.m_target);
    is_refused = refusal != shard.m_activation_refusals.end() &&
                 refusal->second.m_until > event_time &&
                 !router->m_by_target.contains(info.m_target);
    if (is_refused) {
      waiter->Refuse(MakeRefusal(refusal->second.m_reason));
      return;
    }
    shard.m_waiters.emplace(info.m_request, waiter);
    route::AdmitRequest(router, info, event_time, decisions);
  });
  return m_impl->WaitFor(&shard, info.m_request, waiter, now, set_cancel);
}

AcquireResult Dispatcher::Impl::WaitFor(Shard *shard,
                                        route::RequestNumber number,
                                        const WaiterPtr &waiter,
                                        base::TimePoint start,
                                        const CancelHook &set_cancel) {
  set_cancel([waiter] { waiter->Cancel(); });
  Waiter::State state = waiter->Wait();
  set_cancel(nullptr);
  AcquireResult result;
  result.m_waited = base::Clock::now() - start;
  if (state == Waiter::State::kGranted) {
    result.m_lease = waiter->Lease();
    return result;
  }
  // Unless the router has refused the request, it still holds it: as waiting,
  // or as started after the end of this wait. OnCallerGone removes it.
  Run(shard, [&](route::Router *router, base::TimePoint now,
                 route::Decisions *decisions) {
    shard->m_waiters.erase(number);
    route::OnCallerGone(router, number, now, decisions);
  });
  ReleaseCharge(number);
  if (state == Waiter::State::kCancelled) {
    result.m_is_cancelled = true;
  } else {
    result.m_refusal = waiter->Refusal();
  }
  return result;
}

void Dispatcher::NoteFirstToken(const UpstreamLease &lease) {
  m_impl->Run(&m_impl->m_shards[lease.m_shard],
              [&](route::Router *router, base::TimePoint now,
                  route::Decisions *decisions) {
                route::OnFirstToken(router, lease.m_attempt, now, decisions);
              });
}

void Dispatcher::NoteTokens(const UpstreamLease &lease, std::uint64_t tokens) {
  m_impl->Run(&m_impl->m_shards[lease.m_shard],
              [&](route::Router *router, base::TimePoint now,
                  route::Decisions *decisions) {
                route::OnTokens(router, lease.m_attempt, Clamp32(tokens), now,
                                decisions);
              });
}

void Dispatcher::Finish(const UpstreamLease &lease, std::uint64_t tokens) {
  m_impl->Run(&m_impl->m_shards[lease.m_shard],
              [&](route::Router *router, base::TimePoint now,
                  route::Decisions *decisions) {
                route::OnFinished(router, lease.m_attempt, Clamp32(tokens), now,
                                  decisions);
              });
  m_impl->ReleaseCharge(lease.m_request);
}

AcquireResult Dispatcher::Fail(const UpstreamLease &lease,
                               route::ExecutionState ran, std::uint64_t tokens,
                               base::TimePoint deadline,
                               const CancelHook &set_cancel) {
  base::TimePoint start = base::Clock::now();
  Shard &shard = m_impl->m_shards[lease.m_shard];
  auto waiter = std::make_shared<Waiter>(deadline, base::TargetId());
  m_impl->Run(&shard, [&](route::Router *router, base::TimePoint now,
                          route::Decisions *decisions) {
    shard.m_waiters.emplace(lease.m_request, waiter);
    route::OnFailed(router, lease.m_attempt, ran, Clamp32(tokens), now,
                    decisions);
  });
  return m_impl->WaitFor(&shard, lease.m_request, waiter, start, set_cancel);
}

std::optional<UpstreamLease> Dispatcher::StartBackup(
    const UpstreamLease &lease) {
  Shard &shard = m_impl->m_shards[lease.m_shard];
  std::lock_guard<std::mutex> lock(shard.m_mutex);
  std::optional<route::StartDecision> start =
      route::StartBackup(&shard.m_router, lease.m_attempt, base::Clock::now());
  if (!start) return std::nullopt;
  return MakeLease(shard, *start);
}

void Dispatcher::NoteFailure(const UpstreamLease &lease,
                             route::ExecutionState ran, std::uint64_t tokens) {
  m_impl->Run(&m_impl->m_shards[lease.m_shard],
              [&](route::Router *router, base::TimePoint now,
                  route::Decisions *decisions) {
                route::OnFailed(router, lease.m_attempt, ran, Clamp32(tokens),
                                now, decisions);
              });
}

void Dispatcher::NoteCancel(const UpstreamLease &lease) {
  m_impl->Run(&m_impl->m_shards[lease.m_shard],
              [&](route::Router *router, base::TimePoint now,
                  route::Decisions *decisions) {
                route::OnCancelled(router, lease.m_attempt, now, decisions);
              });
}

void Dispatcher::Abandon(const UpstreamLease &lease) {
  m_impl->Run(&m_impl->m_shards[lease.m_shard],
              [&](route::Router *router, base::TimePoint now,
                  route::Decisions *decisions) {
                route::OnCallerGone(router, lease.m_request, now, decisions);
              });
  m_impl->ReleaseCharge(lease.m_request);
}

void Dispatcher::PutUpstream(const UpstreamViewPtr &upstream) {
  route::UpstreamInfo info;
  info.m_upstream = upstream->m_id;
  info.m_incarnation = upstream->m_incarnation;
  info.m_region = upstream->m_region;
  info.m_slots = upstream->m_slots;
  info.m_is_leaving = upstream->m_is_suspect;
  info.m_loaded = upstream->m_loaded;
  Shard *shard = &m_impl->m_shards[kEngineShard];
  if (!upstream->m_service.empty()) {
    shard = &m_impl->ShardOfService(upstream->m_service);
    info.m_loaded.emplace_back(MakeServiceName(upstream->m_service));
  }
  m_impl->Run(shard, [&](route::Router *router, base::TimePoint now,
                         route::Decisions *decisions) {
    shard->m_views[upstream->m_id] = upstream;
    route::OnUpstream(router, info, now, decisions);
  });
}

void Dispatcher::RemoveUpstream(const base::UpstreamId &id) {
  for (Shard &shard : m_impl->m_shards) {
    std::lock_guard<std::mutex> lock(shard.m_mutex);
    if (shard.m_views.erase(id) == 0) continue;
    route::OnUpstreamGone(&shard.m_router, id);
  }
}

void Dispatcher::NoteLoad(const base::UpstreamId &id, int running, int waiting,
                          base::Duration age) {
  Shard &shard = m_impl->m_shards[kEngineShard];
  std::lock_guard<std::mutex> lock(shard.m_mutex);
  if (!shard.m_views.contains(id)) return;
  route::UpstreamLoad load;
  load.m_running = running;
  load.m_waiting = waiting;
  load.m_age = age;
  route::OnUpstreamLoad(&shard.m_router, id, load, base::Clock::now());
}

void Dispatcher::NoteActivationReply(const base::DeploymentId &deployment,
                                     const base::TargetId &target,
                                     bool is_refused,
                                     route::RefusalReason reason,
                                     base::Duration ready_in) {
  Shard &shard = m_impl->m_shards[kEngineShard];
  m_impl->Run(&shard, [&](route::Router *router, base::TimePoint now,
                          route::Decisions *decisions) {
    if (!is_refused) {
      shard.m_activation_refusals.erase(target);
      route::OnReadyTimePrediction(router, deployment, target, now + ready_in,
                                   now, decisions);
      return;
    }
    if (router->m_by_target.contains(target)) return;
    absl::erase_if(shard.m_activation_refusals, [now](const auto &item) {
      return item.second.m_until <= now;
    });
    shard.m_activation_refusals[target] =
        ActivationRefusal{now + kActivationRefusalTime, reason};
    // Each fiber removes its request from the router when its wait has ended.
    for (const auto &[number, waiter] : shard.m_waiters) {
      if (waiter->Target() == target) waiter->Refuse(MakeRefusal(reason));
    }
  });
}

void Dispatcher::Tick(base::TimePoint) {
  for (Shard &shard : m_impl->m_shards) {
    m_impl->Run(&shard, [](route::Router *router, base::TimePoint now,
                           route::Decisions *decisions) {
      if (route::GetNextTimer(*router, now) > now &&
          router->m_requests.empty()) {
        return;
      }
      route::OnTimer(router, now, decisions);
    });
  }
}

}  // namespace wasabiwind::entry
