/** @file routing_bench.cpp Benchmarks of routing in virtual time. */

#include "bench/routing_bench.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "bench/policy.h"
#include "bench/simulation.h"

namespace wasabiwind::bench {

namespace {

constexpr double kTailQuantile = 0.99;
constexpr Seconds kWarmUp{20};  ///< excluded from all results

/** Requests of one run and their results. */
struct RunResult {
  std::vector<SimRequest> m_requests;
  std::vector<RequestResult> m_results;
};

double GetNoSlowdown(int, Seconds) { return 1; }

RunResult RunPolicy(const Firm &firm, const std::vector<SimRequest> &requests,
                    const SlowFactor &slow_factor, Policy *policy) {
  Simulation simulation(firm, requests, slow_factor);
  simulation.Run(policy);
  return {simulation.GetRequests(), simulation.GetResults()};
}

RunResult RunBaseline(const Firm &firm, const std::vector<SimRequest> &requests,
                      const SlowFactor &slow_factor, Baseline baseline) {
  return RunPolicy(firm, requests, slow_factor, MakeBaseline(baseline).get());
}

RunResult RunRouter(const Firm &firm, const std::vector<SimRequest> &requests,
                    const SlowFactor &slow_factor, std::uint64_t seed,
                    const route::RouterOptions &options = {}) {
  return RunPolicy(firm, requests, slow_factor,
                   MakeRouterPolicy(options, seed).get());
}

/** @return latency in seconds; for a request that was refused or is late, the
 *          time until its deadline, when its caller gives up */
double GetLatency(const RunResult &run, std::size_t i) {
  const SimRequest &request = run.m_requests[i];
  const RequestResult &result = run.m_results[i];
  Seconds allowed = request.m_deadline - request.m_arrival;
  if (!result.m_is_finished) return allowed.count();
  Seconds latency = result.m_finished_at - request.m_arrival;
  return std::min(latency, allowed).count();
}

bool IsCounted(const Firm &firm, const RunResult &run, std::size_t i) {
  const SimRequest &request = run.m_requests[i];
  return firm.m_kinds[request.m_kind].m_is_short &&
         request.m_arrival.time_since_epoch() >= kWarmUp;
}

std::vector<double> GetShortLatencies(const Firm &firm, const RunResult &run) {
  std::vector<double> latencies;
  for (std::size_t i = 0; i < run.m_requests.size(); ++i) {
    if (IsCounted(firm, run, i)) latencies.push_back(GetLatency(run, i));
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

double GetQuantile(const std::vector<double> &sorted, double share) {
  std::size_t index = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::min(sorted.size(), std::max<std::size_t>(1, index)) - 1];
}

double GetShortTail(const Firm &firm, const RunResult &run) {
  return GetQuantile(GetShortLatencies(firm, run), kTailQuantile);
}

Series MakeQuantiles(const Firm &firm, const RunResult &run,
                     const std::string &name) {
  std::vector<double> latencies = GetShortLatencies(firm, run);
  Series series;
  series.m_name = name;
  for (int percent = 1; percent <= 99; ++percent) {
    series.m_x.push_back(percent);
    series.m_y.push_back(GetQuantile(latencies, percent / 100.0));
  }
  return series;
}

/** @return share of the slot time between two times that was spent on requests
 *          that finished within their deadlines */
double ComputeGoodput(const Firm &firm, const RunResult &run, Seconds from,
                      Seconds to) {
  double useful = 0;
  for (std::size_t i = 0; i < run.m_requests.size(); ++i) {
    const SimRequest &request = run.m_requests[i];
    const RequestResult &result = run.m_results[i];
    bool is_good =
        result.m_is_finished && result.m_finished_at <= request.m_deadline;
    if (!is_good) continue;
    Seconds service = ComputeServiceTime(firm.m_engine, request.m_prompt_bytes,
                                         request.m_output_tokens);
    // The part of the service time between `from` and `to`.
    Seconds end = result.m_finished_at.time_since_epoch();
    Seconds inside = std::min(end, to) - std::max(end - service, from);
    useful += std::clamp(inside.count(), 0.0, service.count());
  }
  double slots = firm.m_runners * firm.m_engine.m_slots;
  return useful / (slots * (to - from).count());
}

/** Two runners are slow for ten seconds, then none for ten seconds, then two
 * others. */
double GetPeriodicSlowdown(int runner, Seconds time) {
  constexpr double kPeriod = 20;
  constexpr double kSlowPart = 10;
  constexpr double kFactor = 5;
  constexpr int kStep = 5;
  constexpr int kRunners = 18;
  int period = static_cast<int>(time.count() / kPeriod);
  if (time.count() - period * kPeriod >= kSlowPart) return 1;
  int first = period * kStep % kRunners;
  int second = (period * kStep + kRunners / 2) % kRunners;
  return runner == first || runner == second ? kFactor : 1;
}

/** Two runners are slow from the first minute on. */
double GetLastingSlowdown(int runner, Seconds time) {
  constexpr double kStart = 60;
  constexpr double kFactor = 5;
  return time.count() >= kStart && runner < 2 ? kFactor : 1;
}

void AddSlowMeasures(const Firm &firm, const std::string &name,
                     const std::vector<SimRequest> &requests,
                     const SlowFactor &slow, std::uint64_t seed,
                     Report *report) {
  RunResult unslowed = RunRouter(firm, requests, GetNoSlowdown, seed);
  RunResult slowed = RunRouter(firm, requests, slow, seed);
  route::RouterOptions no_hedges;
  no_hedges.m_hedge_share = 0;
  RunResult unhedged = RunRouter(firm, requests, slow, seed, no_hedges);
  RunResult round_robin =
      RunBaseline(firm, requests, slow, Baseline::kRoundRobin);
  RunResult least =
      RunBaseline(firm, requests, slow, Baseline::kLeastOutstanding);
  double value = GetShortTail(firm, slowed);
  auto add = [&](const std::string &baseline, const RunResult &run,
                 double bound, BoundKind kind) {
    report->m_measures.push_back({name, firm.m_name, baseline,
                                  GetShortTail(firm, run), value, "s", bound,
                                  kind});
  };
  add("unslowed run", unslowed, 1.5, BoundKind::kAtMost);
  add("round robin", round_robin, 1, BoundKind::kAtMost);
  add("least outstanding", least, 1, BoundKind::kAtMost);
  add("no hedging", unhedged, 0, BoundKind::kNone);
  Plot plot{
      name + ", " + firm.m_name, "percentile of short work", "latency, s", {}};
  plot.m_series = {MakeQuantiles(firm, slowed, "router"),
                   MakeQuantiles(firm, unslowed, "router, unslowed"),
                   MakeQuantiles(firm, round_robin, "round robin"),
                   MakeQuantiles(firm, least, "least outstanding")};
  report->m_plots.push_back(std::move(plot));
}

/** Goodput in consecutive intervals of the run. */
Series MakeGoodputSeries(const Firm &firm, const RunResult &run,
                         const std::string &name, Seconds duration) {
  constexpr Seconds kStep{10};
  Series series;
  series.m_name = name;
  for (Seconds time = kWarmUp; time + kStep <= duration; time += kStep) {
    series.m_x.push_back(time.count());
    series.m_y.push_back(ComputeGoodput(firm, run, time, time + kStep));
  }
  return series;
}

void AddGoodput(const Firm &firm, const std::string &name,
                const std::function<double(Seconds)> &load, Seconds duration,
                Seconds from, Seconds to, double bound, std::uint64_t seed,
                Report *report) {
  std::vector<SimRequest> requests = MakeArrivals(firm, load, duration, seed);
  RunResult routed = RunRouter(firm, requests, GetNoSlowdown, seed);
  RunResult fifo =
      RunBaseline(firm, requests, GetNoSlowdown, Baseline::kFifoQueue);
  RunResult least =
      RunBaseline(firm, requests, GetNoSlowdown, Baseline::kLeastOutstanding);
  double value = ComputeGoodput(firm, routed, from, to);
  auto add = [&](const std::string &baseline, double baseline_value,
                 double limit) {
    report->m_measures.push_back(
        {name, firm.m_name, baseline, baseline_value, value, "of capacity",
         limit, limit > 0 ? BoundKind::kAtLeast : BoundKind::kNone});
  };
  add("capacity", 1, bound);
  add("FIFO queue", ComputeGoodput(firm, fifo, from, to), 0);
  add("least outstanding", ComputeGoodput(firm, least, from, to), 0);
  Plot plot{
      name + ", " + firm.m_name, "time, s", "useful part of capacity", {}};
  plot.m_series = {
      MakeGoodputSeries(firm, routed, "router", duration),
      MakeGoodputSeries(firm, fifo, "FIFO queue", duration),
      MakeGoodputSeries(firm, least, "least outstanding", duration)};
  report->m_plots.push_back(std::move(plot));
}

}  // namespace

void MeasureHeadOfLine(const Firm &firm, std::uint64_t seed, Report *report) {
  constexpr Seconds kDuration{300};
  // The load varies around the capacity, so that queues form at each peak.
  auto load = [](Seconds time) {
    constexpr double kPeriod = 120;
    return 0.95 + 0.3 * std::sin(2 * std::numbers::pi * time.count() / kPeriod);
  };
  std::vector<SimRequest> requests = MakeArrivals(firm, load, kDuration, seed);
  RunResult routed = RunRouter(firm, requests, GetNoSlowdown, seed);
  RunResult fifo =
      RunBaseline(firm, requests, GetNoSlowdown, Baseline::kFifoQueue);
  report->m_measures.push_back({"short work behind long, p99", firm.m_name,
                                "FIFO queue", GetShortTail(firm, fifo),
                                GetShortTail(firm, routed), "s", 0.2,
                                BoundKind::kAtMost});
  Plot plot{"short work behind long, " + firm.m_name,
            "percentile of short work",
            "latency, s",
            {}};
  plot.m_series = {MakeQuantiles(firm, routed, "router"),
                   MakeQuantiles(firm, fifo, "FIFO queue")};
  report->m_plots.push_back(std::move(plot));
}

void MeasureSlowUpstreams(const Firm &firm, std::uint64_t seed,
                          Report *report) {
  constexpr Seconds kDuration{240};
  constexpr double kLoad = 0.6;
  std::vector<SimRequest> requests = MakeArrivals(
      firm, [](Seconds) { return kLoad; }, kDuration, seed);
  AddSlowMeasures(firm, "two slow runners, p99", requests, GetLastingSlowdown,
                  seed, report);
  AddSlowMeasures(firm, "slow spells, p99", requests, GetPeriodicSlowdown, seed,
                  report);
}

void MeasureGoodput(const Firm &firm, std::uint64_t seed, Report *report) {
  // An evening peak: 1.3 times the capacity for a minute.
  auto demand_swing = [](Seconds time) {
    if (time < Seconds(90)) return 0.5 + 0.8 * time.count() / 90;
    if (time < Seconds(150)) return 1.3;
    return std::max(0.5, 1.3 - 0.8 * (time.count() - 150) / 90);
  };
  AddGoodput(firm, "goodput at peak", demand_swing, Seconds(240), Seconds(90),
             Seconds(150), 0.95, seed, report);
  AddGoodput(
      firm, "goodput at threefold overload", [](Seconds) { return 3.0; },
      Seconds(180), Seconds(60), Seconds(180), 0.9, seed, report);
}

void MeasureHotPath(std::uint64_t seed, Report *report) {
  constexpr int kUpstreams = 1'000;
  constexpr std::size_t kNodes = 410;
  constexpr int kRequests = 200'000;
  constexpr double kTargetMicros = 500;  // an entry host may add 0.5 ms
  route::Router router = route::MakeRouter({}, seed);
  base::DeploymentId deployment("service");
  base::TargetId target("model@1");
  route::SetNodeShare(&router, 0, kNodes);
  route::SetPoolOptions(&router, deployment, {});
  route::Decisions decisions;
  base::TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < kUpstreams; ++i) {
    route::UpstreamInfo info;
    info.m_upstream = base::UpstreamId("runner-" + std::to_string(i));
    info.m_incarnation = base::Incarnation(1);
    info.m_slots = 16;
    info.m_loaded = {target};
    route::OnUpstream(&router, info, now, &decisions);
  }
  auto begin = base::Clock::now();
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    route::RequestInfo info;
    info.m_request = route::RequestNumber(i);
    info.m_deployment = deployment;
    info.m_target = target;
    info.m_customer = base::CustomerId("customer");
    info.m_max_tokens = 64;
    info.m_deadline = now + base::seconds(10);
    decisions = {};
    route::AdmitRequest(&router, info, now, &decisions);
    route::AttemptNumber attempt = decisions.m_starts.at(0).m_attempt;
    now += base::milliseconds(1);
    route::OnFirstToken(&router, attempt, now, &decisions);
    route::OnFinished(&router, attempt, 10, now, &decisions);
  }
  std::chrono::duration<double, std::micro> elapsed =
      base::Clock::now() - begin;
  report->m_measures.push_back(
      {"router time per request, target size", "both", "target of added time",
       kTargetMicros, elapsed.count() / kRequests, "us", 0, BoundKind::kNone});
}

}  // namespace wasabiwind::bench
