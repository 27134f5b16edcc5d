/** @file runner_choice.cpp Choice of the runner for a replica. */

#include <algorithm>
#include <set>
#include <tuple>

#include "placement/ledger_cmd.h"
#include "placement/planner_internal.h"

namespace wasabiwind::placement {

namespace {

/** Replicas that were used more recently aren't retired to make space for
 * others. */
constexpr base::milliseconds kMinIdleForEviction{10'000};

/** @return bytes that are neither reserved nor proposed to be. */
std::int64_t GetFreeBytes(const Planner &planner, const Ledger &ledger,
                          const RunnerView &runner) {
  const std::string &name = runner.m_record.upstream();
  std::int64_t free =
      runner.m_record.memory_bytes() - GetReservedBytes(ledger, name);
  for (const gen::ReserveCommand &pending : planner.m_pending_reserves) {
    if (pending.grant().runner() == name) free -= pending.grant().bytes();
  }
  return free;
}

/** @return bytes of replicas that are being removed. */
std::int64_t GetLeavingBytes(const Planner &planner, const Ledger &ledger,
                             const RunnerView &runner) {
  std::int64_t leaving = 0;
  for (std::uint64_t id : GetRunnerGrants(ledger, runner.m_record.upstream())) {
    const gen::Grant &grant = ledger.m_grants.at(id);
    bool is_leaving = !IsActive(grant) || planner.m_pending_grants.contains(id);
    if (is_leaving) leaving += grant.bytes();
  }
  return leaving;
}

/** Domains and runners that have, or will get, replicas of a scope. */
struct Occupancy {
  std::map<std::string, int> m_domain_counts;
  /** Runners that will get the target. */
  std::set<std::string> m_pending_runners;
  /** Runners with the deployment's model; only for an adapter. */
  std::set<std::string> m_model_runners;
};

Occupancy GetOccupancy(const Planner &planner, const Ledger &ledger,
                       const ScopeTarget &wanted) {
  Occupancy occupancy;
  for (std::uint64_t id : GetScopeGrants(ledger, wanted.m_scope)) {
    ++occupancy.m_domain_counts[ledger.m_grants.at(id).domain()];
  }
  for (const gen::ReserveCommand &pending : planner.m_pending_reserves) {
    const gen::Grant &grant = pending.grant();
    if (grant.scope() == wanted.m_scope) {
      ++occupancy.m_domain_counts[grant.domain()];
    }
    if (grant.target() == wanted.m_target) {
      occupancy.m_pending_runners.insert(grant.runner());
    }
  }
  if (wanted.m_adapter == nullptr) return occupancy;
  for (std::uint64_t id : GetScopeGrants(ledger, wanted.m_deployment->name())) {
    const gen::Grant &grant = ledger.m_grants.at(id);
    // The adapter's target begins with the target of its model.
    bool is_same_version =
        wanted.m_target.compare(0, grant.target().size(), grant.target()) == 0;
    bool is_usable = is_same_version && grant.state() == gen::GRANT_LOADED &&
                     !planner.m_pending_grants.contains(id);
    if (is_usable) occupancy.m_model_runners.insert(grant.runner());
  }
  return occupancy;
}

bool HasTarget(const Ledger &ledger, const std::string &runner,
               const std::string &target) {
  for (std::uint64_t id : GetRunnerGrants(ledger, runner)) {
    if (ledger.m_grants.at(id).target() == target) return true;
  }
  return false;
}

/** @return position in the deployment's list of regions, or -1 if it isn't
 * listed */
int GetRegionRank(const gen::Deployment &deployment,
                  const std::string &region) {
  for (int i = 0; i < deployment.regions_size(); ++i) {
    if (deployment.regions(i) == region) return i;
  }
  return -1;
}

bool IsEligible(const Ledger &ledger, const ScopeTarget &wanted,
                const Occupancy &occupancy, const RunnerView &runner,
                base::TimePoint now) {
  const gen::UpstreamRecord &record = runner.m_record;
  bool is_ready = !runner.m_is_gone && record.state() == gen::UPSTREAM_READY &&
                  now >= runner.m_avoid_until &&
                  record.memory_bytes() >= wanted.m_bytes;
  if (!is_ready) return false;
  if (GetRegionRank(*wanted.m_deployment, record.region()) < 0) return false;
  if (occupancy.m_pending_runners.contains(record.upstream())) return false;
  if (HasTarget(ledger, record.upstream(), wanted.m_target)) return false;
  auto in_domain = occupancy.m_domain_counts.find(record.domain());
  return in_domain == occupancy.m_domain_counts.end() ||
         in_domain->second < wanted.m_deployment->max_per_domain();
}

CacheTier GetTier(const RunnerView &runner, const std::string &target) {
  auto found = runner.m_cached.find(target);
  return found == runner.m_cached.end() ? CacheTier::kRemote : found->second;
}

/** Sort key; the smallest is best. */
using ChoiceKey = std::tuple<int, int, int, std::int64_t, std::string>;

ChoiceKey MakeKey(const ScopeTarget &wanted, const Occupancy &occupancy,
                  const RunnerView &runner, std::int64_t free,
                  bool prefer_cached) {
  const gen::UpstreamRecord &record = runner.m_record;
  int region = GetRegionRank(*wanted.m_deployment, record.region());
  int tier = static_cast<int>(GetTier(runner, wanted.m_target));
  auto in_domain = occupancy.m_domain_counts.find(record.domain());
  int spread =
      in_domain == occupancy.m_domain_counts.end() ? 0 : in_domain->second;
  if (prefer_cached) return {tier, region, spread, -free, record.upstream()};
  return {region, spread, tier, -free, record.upstream()};
}

/** An idle replica that may be retired to free memory. */
struct EvictionCandidate {
  base::TimePoint m_last_use;
  std::uint64_t m_grant_id = 0;
  std::int64_t m_bytes = 0;
};

/** @return whether the scope has more replicas than its deployment's minimum.
 */
bool IsSpare(const Planner &planner, const Ledger &ledger,
             const gen::Grant &grant) {
  if (!grant.adapter().empty()) return true;
  ScopeTarget scope =
      FindScopeTarget(planner, grant.deployment(), grant.adapter());
  if (scope.m_deployment == nullptr) return true;
  return CountReplicas(ledger, grant.scope()) >
         scope.m_deployment->min_replicas();
}

std::vector<EvictionCandidate> ListEvictionCandidates(const Planner &planner,
                                                      const Ledger &ledger,
                                                      const std::string &runner,
                                                      const ScopeTarget &wanted,
                                                      base::TimePoint now) {
  std::vector<EvictionCandidate> candidates;
  for (std::uint64_t id : GetRunnerGrants(ledger, runner)) {
    const gen::Grant &grant = ledger.m_grants.at(id);
    bool is_candidate = grant.state() == gen::GRANT_LOADED &&
                        grant.deployment() != wanted.m_deployment->name() &&
                        !planner.m_pending_grants.contains(id);
    if (!is_candidate || !IsSpare(planner, ledger, grant)) continue;
    auto idle = planner.m_idle.find(grant.scope());
    base::TimePoint last_use = idle == planner.m_idle.end()
                                   ? planner.m_started_at
                                   : idle->second.m_last_use;
    if (now - last_use < kMinIdleForEviction) continue;
    candidates.push_back({last_use, id, grant.bytes()});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const EvictionCandidate &a, const EvictionCandidate &b) {
              return std::tie(a.m_last_use, a.m_grant_id) <
                     std::tie(b.m_last_use, b.m_grant_id);
            });
  return candidates;
}

}  // namespace

RunnerChoice ChooseRunner(const Planner &planner, const Ledger &ledger,
                          const ScopeTarget &wanted, bool prefer_cached,
                          base::TimePoint now) {
  Occupancy occupancy = GetOccupancy(planner, ledger, wanted);
  RunnerChoice choice;
  choice.m_failure = ChoiceFailure::kNoRunner;
  bool needs_model = wanted.m_adapter != nullptr;
  if (needs_model && occupancy.m_model_runners.empty()) {
    choice.m_failure = ChoiceFailure::kNoModel;
    return choice;
  }
  ChoiceKey best;
  for (const auto &[name, runner] : planner.m_runners) {
    if (needs_model && !occupancy.m_model_runners.contains(name)) continue;
    if (!IsEligible(ledger, wanted, occupancy, runner, now)) continue;
    std::int64_t free = GetFreeBytes(planner, ledger, runner);
    if (free < wanted.m_bytes) {
      if (choice.m_runner == nullptr) {
        choice.m_failure = ChoiceFailure::kNoMemory;
      }
      continue;
    }
    ChoiceKey key = MakeKey(wanted, occupancy, runner, free, prefer_cached);
    if (choice.m_runner != nullptr && best <= key) continue;
    best = key;
    choice.m_runner = &runner;
    choice.m_tier = GetTier(runner, wanted.m_target);
    choice.m_failure = ChoiceFailure::kNone;
  }
  return choice;
}

bool FreeMemoryFor(Planner *planner, const Ledger &ledger,
                   const ScopeTarget &wanted, base::TimePoint now,
                   Decisions *decisions) {
  Occupancy occupancy = GetOccupancy(*planner, ledger, wanted);
  bool needs_model = wanted.m_adapter != nullptr;
  std::vector<EvictionCandidate> best;
  for (const auto &[name, runner] : planner->m_runners) {
    if (needs_model && !occupancy.m_model_runners.contains(name)) continue;
    if (!IsEligible(ledger, wanted, occupancy, runner, now)) continue;
    std::int64_t missing = wanted.m_bytes -
                           GetFreeBytes(*planner, ledger, runner) -
                           GetLeavingBytes(*planner, ledger, runner);
    if (missing <= 0) return true;
    std::vector<EvictionCandidate> chosen;
    for (const EvictionCandidate &candidate :
         ListEvictionCandidates(*planner, ledger, name, wanted, now)) {
      if (missing <= 0) break;
      chosen.push_back(candidate);
      missing -= candidate.m_bytes;
    }
    bool is_better = best.empty() || chosen.size() < best.size();
    if (missing <= 0 && is_better) best = chosen;
  }
  for (const EvictionCandidate &candidate : best) {
    gen::PlacementCommand command;
    command.mutable_retire()->set_grant_id(candidate.m_grant_id);
    ProposeForGrant(planner, candidate.m_grant_id, command, decisions);
  }
  return !best.empty();
}

}  // namespace wasabiwind::placement
