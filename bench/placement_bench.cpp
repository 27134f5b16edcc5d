/** @file placement_bench.cpp Benchmark of placement in virtual time. */

#include "bench/placement_bench.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "base/random_func.h"
#include "bench/fleet.h"
#include "placement/ledger_cmd.h"
#include "placement/planner_func.h"

namespace wasabiwind::bench {

namespace {

using base::milliseconds;
using base::TimePoint;

constexpr Seconds kStep{0.1};
constexpr Seconds kDuration{3 * 3600};
constexpr Seconds kWarmUp{1800};  ///< excluded from all results
constexpr Seconds kDeadline{120};
/** Between activation requests of an entry host for a model. */
constexpr Seconds kActivationInterval{0.5};
constexpr Seconds kLoadedActivationInterval{2};
constexpr double kTailQuantile = 0.99;
constexpr int kRegions = 3;
constexpr int kDomains = 9;
constexpr int kDisksPerModel = 3;  ///< runners with a model on disk at first
constexpr double kRunnerBytes = 80 * kGigabyte;
constexpr milliseconds kIdleAfter{600'000};  ///< default of a deployment
constexpr milliseconds kEagerIdleAfter{4 * 3600'000};

/** A period in which a model gets requests. */
struct ActivePeriod {
  TimePoint m_begin;
  TimePoint m_end;
};

/** A request for a model at an entry host. */
struct ModelRequest {
  TimePoint m_time;
  int m_model = 0;
  int m_entry = 0;
};

struct Demand {
  std::vector<std::vector<ActivePeriod>> m_active_periods;  ///< by model
  std::vector<ModelRequest> m_arrivals;  ///< in order of time
};

TimePoint MakeTimePoint(Seconds seconds) {
  return TimePoint(route::ToDuration(seconds));
}

/** Adds a burst of requests at many hosts, then single ones at random times. */
void AddActivePeriod(const Firm &firm, int model, Seconds begin, Seconds length,
                     base::Random *random, Demand *demand) {
  constexpr int kBurst = 12;
  constexpr double kRequestGap = 5;
  demand->m_active_periods[static_cast<std::size_t>(model)].push_back(
      {MakeTimePoint(begin), MakeTimePoint(begin + length)});
  auto add = [&](Seconds time) {
    auto entry = base::NextRandomBelow(
        random, static_cast<std::uint64_t>(firm.m_entries));
    demand->m_arrivals.push_back(
        {MakeTimePoint(time), model, static_cast<int>(entry)});
  };
  for (int i = 0; i < kBurst; ++i) {
    add(begin + Seconds(base::NextRandomUnit(random)));
  }
  Seconds time = begin;
  while (true) {
    time += Seconds(base::NextRandomExponential(random, kRequestGap));
    if (time >= begin + length) return;
    add(time);
  }
}

/** Models of the first group get requests every few minutes, those of the
 * second one at regular times, and those of the third one rarely. Once an hour
 * a quarter of all models get requests within ten seconds. */
Demand MakeDemand(const Firm &firm, int models, std::uint64_t seed) {
  constexpr double kMeanLength = 90;
  constexpr double kGaps[] = {120, 1'500, 5'400};  ///< seconds, mean
  constexpr double kShares[] = {0.2, 0.5, 0.3};
  base::Random random{seed};
  Demand demand;
  demand.m_active_periods.resize(static_cast<std::size_t>(models));
  for (int model = 0; model < models; ++model) {
    double position = static_cast<double>(model) / models;
    std::size_t group = position < kShares[0]                ? 0
                        : position < kShares[0] + kShares[1] ? 1
                                                             : 2;
    Seconds time(0);
    double next_surge = 3'600;
    while (time < kDuration) {
      double unit = base::NextRandomUnit(&random);
      // Only the middle group has regular gaps.
      double gap = group == 1
                       ? kGaps[1] * (0.9 + 0.2 * unit)
                       : base::NextRandomExponential(&random, kGaps[group]);
      time += Seconds(gap);
      bool is_in_surge = model % 4 == 0 && time.count() > next_surge;
      if (is_in_surge) {
        time = Seconds(next_surge + 10 * base::NextRandomUnit(&random));
        next_surge += 3'600;
      }
      Seconds length(20 + base::NextRandomExponential(&random, kMeanLength));
      if (time >= kDuration) break;
      AddActivePeriod(firm, model, time, length, &random, &demand);
      time += length;
    }
  }
  std::sort(demand.m_arrivals.begin(), demand.m_arrivals.end(),
            [](const ModelRequest &a, const ModelRequest &b) {
              return a.m_time < b.m_time;
            });
  return demand;
}

Fleet MakeFleet(const Firm &firm, int models, std::uint64_t seed) {
  base::Random random{seed};
  Fleet fleet;
  fleet.m_load_parameters.m_loads_per_s = firm.m_store_loads_per_s;
  for (int i = 0; i < models; ++i) {
    fleet.m_model_bytes.push_back((12 + 18 * base::NextRandomUnit(&random)) *
                                  kGigabyte);
  }
  FleetRunner runner;
  runner.m_memory_bytes = kRunnerBytes;
  runner.m_is_on_disk.resize(static_cast<std::size_t>(models));
  fleet.m_runners.assign(static_cast<std::size_t>(firm.m_runners), runner);
  for (std::size_t model = 0; model < static_cast<std::size_t>(models);
       ++model) {
    for (int copy = 0; copy < kDisksPerModel; ++copy) {
      std::size_t place =
          base::NextRandomBelow(&random, fleet.m_runners.size());
      fleet.m_runners[place].m_is_on_disk[model] = true;
    }
  }
  return fleet;
}

/** A request that waits for a load. */
struct WaitingRequest {
  TimePoint m_arrival;
  int m_entry = 0;
};

/** State of a run, for the simulation and the placement. */
struct PlacementRun {
  Firm m_firm;
  Fleet m_fleet;
  std::vector<std::vector<WaitingRequest>> m_waiting;  ///< by model
  std::vector<TimePoint> m_last_use;                   ///< by model
  TimePoint m_now;
};

/** A placement policy: the planner or a baseline. */
class Placement {
 public:
  virtual ~Placement() = default;
  virtual void Begin(PlacementRun *run) = 0;
  /** An entry host got a request. */
  virtual void OnRequest(int model, int entry, bool is_loaded) = 0;
  virtual void Tick() = 0;
};

/**
 * Loads a model on its first request, on a random runner with free memory, and
 * unloads it after a fixed idle time.
 */
class FirstRequestPlacement : public Placement {
 public:
  explicit FirstRequestPlacement(std::uint64_t seed) : m_random{seed} {}

  void Begin(PlacementRun *run) override { m_run = run; }

  void OnRequest(int model, int, bool is_loaded) override {
    if (is_loaded || m_ordered.contains(model)) return;
    std::vector<int> fitting;
    for (int i = 0; i < m_run->m_firm.m_runners; ++i) {
      bool has_replica = FindReplica(&m_run->m_fleet, i, model) != nullptr;
      double bytes =
          m_run->m_fleet.m_model_bytes[static_cast<std::size_t>(model)];
      if (!has_replica && GetFreeBytes(m_run->m_fleet, i) >= bytes) {
        fitting.push_back(i);
      }
    }
    if (fitting.empty()) return;
    int runner = fitting[base::NextRandomBelow(&m_random, fitting.size())];
    BeginLoad(&m_run->m_fleet, runner, model, m_run->m_now);
    m_ordered.insert(model);
  }

  void Tick() override {
    for (std::size_t model = 0; model < m_run->m_last_use.size(); ++model) {
      bool is_idle = m_run->m_now - m_run->m_last_use[model] >= kIdleAfter;
      if (!is_idle) continue;
      int number = static_cast<int>(model);
      m_ordered.erase(number);
      for (int i = 0; i < m_run->m_firm.m_runners; ++i) {
        if (FindReplica(&m_run->m_fleet, i, number) == nullptr) continue;
        Unload(&m_run->m_fleet, i, number);
      }
    }
  }

 private:
  base::Random m_random;
  PlacementRun *m_run = nullptr;
  std::set<int> m_ordered;  ///< models that are loaded or loading
};

/** The control leader's planner, with messages that arrive at once. */
class PlannerPlacement : public Placement {
 public:
  explicit PlannerPlacement(milliseconds idle_after, bool is_eager)
      : m_idle_after(idle_after), m_is_eager(is_eager) {}

  void Begin(PlacementRun *run) override {
    m_run = run;
    placement::PlannerSettings settings;
    settings.m_store_loads_per_s = run->m_firm.m_store_loads_per_s;
    if (m_is_eager) settings.m_min_idle = m_idle_after;
    placement::Decisions decisions;
    m_planner = placement::MakePlanner(settings, 1, MakeCatalog(), run->m_now,
                                       &decisions);
    ApplyDecisions(std::move(decisions));
    Announce();
  }

  void OnRequest(int model, int entry, bool is_loaded) override {
    TimePoint &last = m_last_activation[{model, entry}];
    Seconds interval =
        is_loaded ? kLoadedActivationInterval : kActivationInterval;
    bool is_first = last == TimePoint();
    if (!is_first && m_run->m_now - last < interval) return;
    last = m_run->m_now;
    gen::ActivationRequest activation;
    activation.set_deployment(GetName(model));
    activation.set_region(GetRegion(entry));
    Seconds remaining = kDeadline;
    for (const WaitingRequest &waiting :
         m_run->m_waiting[static_cast<std::size_t>(model)]) {
      if (waiting.m_entry != entry) continue;
      activation.set_waiting(activation.waiting() + 1);
      Seconds waited = m_run->m_now - waiting.m_arrival;
      remaining = std::min(remaining, kDeadline - waited);
    }
    activation.set_deadline_ms(
        std::chrono::duration_cast<milliseconds>(remaining).count());
    ApplyDecisions(placement::OnActivationRequest(
        &m_planner, m_ledger, "node-" + std::to_string(entry), activation,
        m_run->m_now));
  }

  void Tick() override {
    Announce();
    ApplyDecisions(placement::OnTimer(&m_planner, m_ledger, m_run->m_now));
  }

 private:
  static std::string GetName(int model) {
    return "model-" + std::to_string(model);
  }
  static std::string GetRegion(int place) {
    return "region-" + std::to_string(place % kRegions);
  }
  /** @return the number in "model-7@1" or "runner-7". */
  static int GetNumber(const std::string &name) {
    std::size_t begin = name.find('-') + 1;
    int number = 0;
    std::from_chars(name.data() + begin, name.data() + name.size(), number);
    return number;
  }

  config::CatalogPtr MakeCatalog() {
    gen::Declarations declarations;
    const auto &sizes = m_run->m_fleet.m_model_bytes;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      std::string name = GetName(static_cast<int>(i));
      gen::Model *model = declarations.add_model();
      model->set_name(name);
      model->set_version("1");
      model->set_weight_bytes(static_cast<std::int64_t>(sizes[i]));
      model->set_memory_bytes(static_cast<std::int64_t>(sizes[i]));
      gen::Deployment *deployment = declarations.add_deployment();
      deployment->set_name(name);
      deployment->set_model(name);
      for (int region = 0; region < kRegions; ++region) {
        deployment->add_regions(GetRegion(region));
      }
      deployment->set_max_replicas(1);
      deployment->set_max_per_domain(1);
      deployment->set_idle_after_ms(m_idle_after.count());
      deployment->set_engine_fencing("checked");
    }
    return config::BuildCatalog(std::move(declarations), base::Revision(1));
  }

  void Announce() {
    for (std::size_t i = 0; i < m_run->m_fleet.m_runners.size(); ++i) {
      FleetRunner &runner = m_run->m_fleet.m_runners[i];
      if (!runner.m_is_changed) continue;
      runner.m_is_changed = false;
      gen::UpstreamRecord record;
      int number = static_cast<int>(i);
      record.set_upstream("runner-" + std::to_string(i));
      record.set_incarnation(1);
      record.set_sequence(++m_sequence);
      record.set_kind("engine");
      record.set_address("127.0.0.1:" + std::to_string(10'000 + i));
      record.set_region(GetRegion(number));
      record.set_domain("domain-" + std::to_string(i % kDomains));
      record.set_accelerators(8);
      record.set_slots(m_run->m_firm.m_engine.m_slots);
      record.set_memory_bytes(static_cast<std::int64_t>(runner.m_memory_bytes));
      for (const Replica &replica : runner.m_replicas) {
        if (replica.m_remaining_bytes > 0) continue;
        record.add_loaded()->set_target(GetName(replica.m_model) + "@1");
      }
      for (std::size_t model = 0; model < runner.m_is_on_disk.size(); ++model) {
        if (!runner.m_is_on_disk[model]) continue;
        gen::CachedTarget *cached = record.add_cached();
        cached->set_target(GetName(static_cast<int>(model)) + "@1");
        cached->set_tier("disk");
      }
      for (int model : runner.m_in_memory) {
        gen::CachedTarget *cached = record.add_cached();
        cached->set_target(GetName(model) + "@1");
        cached->set_tier("memory");
      }
      placement::OnUpstream(&m_planner, record, m_run->m_now);
    }
  }

  placement::OrderOutcome Execute(const placement::Order &order) {
    int runner = GetNumber(order.m_runner);
    int model = GetNumber(order.m_target);
    if (order.m_action == placement::OrderAction::kUnload) {
      Unload(&m_run->m_fleet, runner, model);
      return placement::OrderOutcome::kAccepted;
    }
    bool has_memory = BeginLoad(&m_run->m_fleet, runner, model, m_run->m_now);
    return has_memory ? placement::OrderOutcome::kAccepted
                      : placement::OrderOutcome::kNoMemory;
  }

  placement::StateReport MakeReport(const placement::StateQuery &query) {
    placement::StateReport report;
    report.m_runner = query.m_runner;
    report.m_asked_at = query.m_asked_at;
    report.m_incarnation = 1;
    report.m_running = 0;
    const FleetRunner &runner =
        m_run->m_fleet
            .m_runners[static_cast<std::size_t>(GetNumber(query.m_runner))];
    for (const Replica &replica : runner.m_replicas) {
      report.m_entries[GetName(replica.m_model) + "@1"] =
          replica.m_remaining_bytes > 0 ? placement::TargetState::kLoading
                                        : placement::TargetState::kLoaded;
    }
    return report;
  }

  /** Executes decisions, and the decisions that follow from their results. */
  void ApplyDecisions(placement::Decisions first) {
    std::deque<placement::Decisions> pending;
    pending.push_back(std::move(first));
    while (!pending.empty()) {
      placement::Decisions decisions = std::move(pending.front());
      pending.pop_front();
      for (const gen::PlacementCommand &command : decisions.m_commands) {
        bool is_accepted =
            placement::ExecuteCommand(&m_ledger, command).has_value();
        pending.push_back(placement::OnCommand(&m_planner, m_ledger, command,
                                               is_accepted, m_run->m_now));
      }
      for (const placement::Order &order : decisions.m_orders) {
        placement::OrderResult result{order.m_order_id, order.m_grant_id,
                                      Execute(order)};
        pending.push_back(placement::OnOrderResult(&m_planner, m_ledger, result,
                                                   m_run->m_now));
      }
      for (const placement::StateQuery &query : decisions.m_queries) {
        pending.push_back(placement::OnStateReport(
            &m_planner, m_ledger, MakeReport(query), m_run->m_now));
      }
    }
  }

  milliseconds m_idle_after;
  bool m_is_eager;
  PlacementRun *m_run = nullptr;
  placement::Ledger m_ledger;
  placement::Planner m_planner;
  std::uint64_t m_sequence = 0;
  std::map<std::pair<int, int>, TimePoint> m_last_activation;
};

struct PlacementResult {
  std::vector<double> m_waits;  ///< s, of requests whose model wasn't loaded
  double m_idle_hours = 0;      ///< of replicas outside active periods
};

bool IsInActivePeriod(const std::vector<ActivePeriod> &periods, TimePoint now) {
  auto next = std::upper_bound(periods.begin(), periods.end(), now,
                               [](TimePoint time, const ActivePeriod &period) {
                                 return time < period.m_begin;
                               });
  return next != periods.begin() && std::prev(next)->m_end > now;
}

void AddIdleHours(const PlacementRun &run, const Demand &demand,
                  PlacementResult *result) {
  for (const FleetRunner &runner : run.m_fleet.m_runners) {
    for (const Replica &replica : runner.m_replicas) {
      const auto &periods =
          demand.m_active_periods[static_cast<std::size_t>(replica.m_model)];
      if (IsInActivePeriod(periods, run.m_now)) continue;
      result->m_idle_hours += kStep.count() / 3'600;
    }
  }
}

/** Ends the waits of requests whose model is loaded or whose deadline has
 * passed. */
void EndWaits(PlacementRun *run, bool is_counted, PlacementResult *result) {
  for (std::size_t model = 0; model < run->m_waiting.size(); ++model) {
    if (run->m_waiting[model].empty()) continue;
    bool is_loaded = IsLoadedAnywhere(run->m_fleet, static_cast<int>(model));
    std::erase_if(run->m_waiting[model], [&](const WaitingRequest &waiting) {
      Seconds waited = run->m_now - waiting.m_arrival;
      if (!is_loaded && waited < kDeadline) return false;
      if (is_counted) result->m_waits.push_back(waited.count());
      return true;
    });
  }
}

PlacementResult RunPlacement(const Firm &firm, const Demand &demand,
                             std::uint64_t seed, Placement *placement) {
  int models = static_cast<int>(demand.m_active_periods.size());
  PlacementRun run;
  run.m_firm = firm;
  run.m_fleet = MakeFleet(firm, models, seed);
  run.m_waiting.resize(demand.m_active_periods.size());
  run.m_last_use.resize(demand.m_active_periods.size());
  PlacementResult result;
  placement->Begin(&run);
  auto arrival = demand.m_arrivals.begin();
  for (Seconds time(0); time < kDuration; time += kStep) {
    run.m_now = MakeTimePoint(time);
    AdvanceFleet(&run.m_fleet, kStep, run.m_now);
    bool is_counted = time >= kWarmUp;
    EndWaits(&run, is_counted, &result);
    for (; arrival != demand.m_arrivals.end() && arrival->m_time <= run.m_now;
         ++arrival) {
      std::size_t model = static_cast<std::size_t>(arrival->m_model);
      bool is_loaded = IsLoadedAnywhere(run.m_fleet, arrival->m_model);
      if (!is_loaded) {
        run.m_waiting[model].push_back({arrival->m_time, arrival->m_entry});
      }
      run.m_last_use[model] = run.m_now;
      placement->OnRequest(arrival->m_model, arrival->m_entry, is_loaded);
    }
    placement->Tick();
    if (is_counted) AddIdleHours(run, demand, &result);
  }
  std::sort(result.m_waits.begin(), result.m_waits.end());
  return result;
}

double GetTailWait(const PlacementResult &result) {
  if (result.m_waits.empty()) return 0;
  double place =
      std::ceil(kTailQuantile * static_cast<double>(result.m_waits.size()));
  return result.m_waits[static_cast<std::size_t>(place) - 1];
}

Series MakeWaitSeries(const PlacementResult &result, const std::string &name) {
  Series series;
  series.m_name = name;
  for (std::size_t i = 0; i < result.m_waits.size(); i += 1 + i / 50) {
    series.m_x.push_back(100.0 * static_cast<double>(i) /
                         static_cast<double>(result.m_waits.size()));
    series.m_y.push_back(result.m_waits[i]);
  }
  return series;
}

}  // namespace

void MeasurePlacement(const Firm &firm, std::uint64_t seed, Report *report) {
  Demand demand = MakeDemand(firm, firm.m_models, seed);
  PlannerPlacement planner_placement(kIdleAfter, false);
  PlannerPlacement eager_placement(kEagerIdleAfter, true);
  FirstRequestPlacement first_request_placement(seed);
  PlacementResult planner_result =
      RunPlacement(firm, demand, seed, &planner_placement);
  PlacementResult eager_result =
      RunPlacement(firm, demand, seed, &eager_placement);
  PlacementResult first_request_result =
      RunPlacement(firm, demand, seed, &first_request_placement);
  auto add = [&](const char *measure, const char *baseline,
                 double baseline_value, double value, const char *unit,
                 double bound) {
    report->m_measures.push_back({measure, firm.m_name, baseline,
                                  baseline_value, value, unit, bound,
                                  BoundKind::kAtMost});
  };
  add("cold start, p99", "load on first request",
      GetTailWait(first_request_result), GetTailWait(planner_result), "s", 0.5);
  add("idle hours", "load on first request", first_request_result.m_idle_hours,
      planner_result.m_idle_hours, "h", 1);
  add("idle hours", "eager keep-alive", eager_result.m_idle_hours,
      planner_result.m_idle_hours, "h", 1.0 / 3);
  add("cold start, p99", "eager keep-alive", GetTailWait(eager_result),
      GetTailWait(planner_result), "s", 1);
  Plot plot{"cold starts, " + firm.m_name,
            "percentile of cold requests",
            "wait, s",
            {}};
  plot.m_series = {
      MakeWaitSeries(planner_result, "planner"),
      MakeWaitSeries(eager_result, "eager keep-alive"),
      MakeWaitSeries(first_request_result, "load on first request")};
  report->m_plots.push_back(std::move(plot));
}

}  // namespace wasabiwind::bench
