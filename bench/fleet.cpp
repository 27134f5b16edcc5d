/** @file fleet.cpp Simulated runners and weight store. */

#include "bench/fleet.h"

#include <algorithm>

namespace wasabiwind::bench {

namespace {

FleetRunner &GetRunner(Fleet *fleet, int runner) {
  return fleet->m_runners[static_cast<std::size_t>(runner)];
}

bool IsTransferring(const Replica &replica, base::TimePoint now) {
  return replica.m_uses_store && replica.m_remaining_bytes > 0 &&
         replica.m_starts_at <= now;
}

int CountTransfers(const Fleet &fleet, base::TimePoint now) {
  int transfers = 0;
  for (const FleetRunner &runner : fleet.m_runners) {
    for (const Replica &replica : runner.m_replicas) {
      if (IsTransferring(replica, now)) ++transfers;
    }
  }
  return transfers;
}

/** Caches unloaded weights in host memory; evicts the longest unloaded ones. */
void KeepInHostMemory(const Fleet &fleet, int model, FleetRunner *runner) {
  runner->m_in_memory.push_back(model);
  double bytes = 0;
  std::size_t kept = 0;
  for (auto it = runner->m_in_memory.rbegin(); it != runner->m_in_memory.rend();
       ++it) {
    bytes += fleet.m_model_bytes[static_cast<std::size_t>(*it)];
    if (bytes > kHostCacheBytes) break;
    ++kept;
  }
  auto end = runner->m_in_memory.end() - static_cast<std::ptrdiff_t>(kept);
  runner->m_in_memory.erase(runner->m_in_memory.begin(), end);
}

}  // namespace

double GetFreeBytes(const Fleet &fleet, int runner) {
  const FleetRunner &fleet_runner =
      fleet.m_runners[static_cast<std::size_t>(runner)];
  double free = fleet_runner.m_memory_bytes;
  for (const Replica &replica : fleet_runner.m_replicas) {
    free -= fleet.m_model_bytes[static_cast<std::size_t>(replica.m_model)];
  }
  return free;
}

Replica *FindReplica(Fleet *fleet, int runner, int model) {
  for (Replica &replica : GetRunner(fleet, runner).m_replicas) {
    if (replica.m_model == model) return &replica;
  }
  return nullptr;
}

bool IsLoadedAnywhere(const Fleet &fleet, int model) {
  for (const FleetRunner &runner : fleet.m_runners) {
    for (const Replica &replica : runner.m_replicas) {
      bool is_loaded =
          replica.m_model == model && replica.m_remaining_bytes <= 0;
      if (is_loaded) return true;
    }
  }
  return false;
}

bool BeginLoad(Fleet *fleet, int runner, int model, base::TimePoint now) {
  if (FindReplica(fleet, runner, model) != nullptr) return true;
  double bytes = fleet->m_model_bytes[static_cast<std::size_t>(model)];
  if (GetFreeBytes(*fleet, runner) < bytes) return false;
  FleetRunner &fleet_runner = GetRunner(fleet, runner);
  Replica replica;
  replica.m_model = model;
  replica.m_remaining_bytes = bytes;
  bool is_in_memory = std::erase(fleet_runner.m_in_memory, model) > 0;
  bool is_on_disk = fleet_runner.m_is_on_disk[static_cast<std::size_t>(model)];
  replica.m_uses_store = !is_in_memory && !is_on_disk;
  replica.m_bytes_per_s =
      is_in_memory ? fleet->m_load_parameters.m_memory_bytes_per_s
      : is_on_disk ? fleet->m_load_parameters.m_disk_bytes_per_s
                   : fleet->m_load_parameters.m_bytes_per_s;
  replica.m_starts_at = now;
  if (replica.m_uses_store) {
    Seconds interval(1 / fleet->m_load_parameters.m_loads_per_s);
    replica.m_starts_at = std::max(now, fleet->m_next_store_start);
    fleet->m_next_store_start =
        replica.m_starts_at + route::ToDuration(interval);
  }
  fleet_runner.m_replicas.push_back(replica);
  return true;
}

void Unload(Fleet *fleet, int runner, int model) {
  FleetRunner &fleet_runner = GetRunner(fleet, runner);
  Replica *replica = FindReplica(fleet, runner, model);
  if (replica == nullptr) return;
  if (replica->m_remaining_bytes <= 0)
    KeepInHostMemory(*fleet, model, &fleet_runner);
  std::erase_if(fleet_runner.m_replicas, [model](const Replica &replica) {
    return replica.m_model == model;
  });
  fleet_runner.m_is_changed = true;
}

void AdvanceFleet(Fleet *fleet, Seconds step, base::TimePoint now) {
  const LoadParameters &parameters = fleet->m_load_parameters;
  int transfers = CountTransfers(*fleet, now);
  double share =
      std::min(1.0, static_cast<double>(parameters.m_store_concurrency) /
                        std::max(1, transfers));
  for (FleetRunner &runner : fleet->m_runners) {
    for (Replica &replica : runner.m_replicas) {
      bool is_loading =
          replica.m_remaining_bytes > 0 && replica.m_starts_at <= now;
      if (!is_loading) continue;
      double speed = replica.m_bytes_per_s;
      if (replica.m_uses_store) speed *= share;
      replica.m_remaining_bytes -= speed * step.count();
      if (replica.m_remaining_bytes > 0) continue;
      // The runner's disk keeps all weights that were loaded.
      runner.m_is_on_disk[static_cast<std::size_t>(replica.m_model)] = true;
      runner.m_is_changed = true;
    }
  }
}

}  // namespace wasabiwind::bench
