/** @file bench_main.cpp Program ww_bench, benchmarks in virtual time. */

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>

#include "bench/placement_bench.h"
#include "bench/report.h"
#include "bench/routing_bench.h"
#include "bench/workload.h"

ABSL_FLAG(std::string, report, "build/bench/report.json",
          "path of the JSON report; an HTML page with plots is written to the "
          "same folder");
ABSL_FLAG(std::string, only, "",
          "run one group: head_of_line, slow, goodput, placement or hot_path");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and choices");

namespace wasabiwind::bench {
namespace {

int Main(int argc, char **argv) {
  absl::SetProgramUsageMessage("ww_bench: virtual-time benchmarks");
  absl::ParseCommandLine(argc, argv);
  std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  Report report;
  std::string only = absl::GetFlag(FLAGS_only);
  auto is_wanted = [&only](const char *group) {
    return only.empty() || only == group;
  };
  for (const Firm &firm : MakeFirms()) {
    if (is_wanted("head_of_line")) MeasureHeadOfLine(firm, seed, &report);
    if (is_wanted("slow")) MeasureSlowUpstreams(firm, seed, &report);
    if (is_wanted("goodput")) MeasureGoodput(firm, seed, &report);

    if (is_wanted("placement")) MeasurePlacement(firm, seed, &report);
  }
  if (is_wanted("hot_path")) MeasureHotPath(seed, &report);
  bool is_ok = true;
  for (const Measure &measure : report.m_measures) {
    is_ok = is_ok && IsOk(measure);
    std::printf("%-6s %-34s %-11s %-22s %10.4g %10.4g %-12s %7.3f\n",
                IsOk(measure) ? "ok" : "FAILED", measure.m_measure.c_str(),
                measure.m_firm.c_str(), measure.m_baseline.c_str(),
                measure.m_baseline_value, measure.m_value,
                measure.m_unit.c_str(), GetRatio(measure));
  }
  std::string path = absl::GetFlag(FLAGS_report);
  if (!WriteReport(report, path)) {
    std::fprintf(
        stderr,
        "can't write %s; check that its folder exists and is writable\n",
        path.c_str());
    return 2;
  }
  return is_ok ? 0 : 1;
}

}  // namespace
}  // namespace wasabiwind::bench

int main(int argc, char **argv) { return wasabiwind::bench::Main(argc, argv); }
