/** @file fleet.h Simulated runners and weight store. */

#ifndef WASABIWIND_BENCH_FLEET_H_
#define WASABIWIND_BENCH_FLEET_H_

#include <cstdint>
#include <vector>

#include "bench/workload.h"

namespace wasabiwind::bench {

constexpr double kGigabyte = 1e9;
/** Host memory in which a runner caches weights of unloaded models. */
constexpr double kHostCacheBytes = 64 * kGigabyte;

/** Limits and speeds of loads. */
struct LoadParameters {
  double m_loads_per_s = 3;           ///< starts of loads from the store
  int m_store_concurrency = 4;        ///< loads from the store at full speed
  double m_bytes_per_s = 1e9;         ///< of a store load at full speed
  double m_disk_bytes_per_s = 2e9;    ///< of a load from a runner's disk
  double m_memory_bytes_per_s = 8e9;  ///< of a load from a runner's host memory
};

/** A replica of a model on a runner, loaded or loading. */
struct Replica {
  int m_model = 0;
  double m_remaining_bytes = 0;  ///< at most 0: loaded
  double m_bytes_per_s = 0;      ///< without contention at the store
  bool m_uses_store = false;
  base::TimePoint m_starts_at;  ///< delayed to keep to m_loads_per_s
};

struct FleetRunner {
  double m_memory_bytes = 0;
  std::vector<Replica> m_replicas;
  std::vector<bool> m_is_on_disk;  ///< by model
  std::vector<int> m_in_memory;    ///< cached models, longest unloaded first
  bool m_is_changed = true;        ///< since the last announcement
};

/** Runners and weight store. */
struct Fleet {
  LoadParameters m_load_parameters;
  std::vector<double> m_model_bytes;
  std::vector<FleetRunner> m_runners;
  base::TimePoint m_next_store_start;
};

/** @return memory that no loaded or loading replica uses. */
double GetFreeBytes(const Fleet &fleet, int runner);

Replica *FindReplica(Fleet *fleet, int runner, int model);

bool IsLoadedAnywhere(const Fleet &fleet, int model);

/** Starts a load, unless the runner already has the replica.
 * @return false if the memory is too small */
bool BeginLoad(Fleet *fleet, int runner, int model, base::TimePoint now);

void Unload(Fleet *fleet, int runner, int model);

/** Advances loads. More loads than the store's concurrency share its speed. */
void AdvanceFleet(Fleet *fleet, Seconds step, base::TimePoint now);

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_FLEET_H_
