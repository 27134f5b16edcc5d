/** @file soak_main.cpp Program ww_soak, a randomized soak test with faults. */

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <csignal>
#include <cstdio>
#include <filesystem>

#include "base/log_func.h"
#include "base/random_func.h"
#include "net/command_line_func.h"
#include "net/fiber_scheduler.h"
#include "platform/soak_protocol_func.h"
#include "soak/plan_func.h"
#include "soak/soak_run.h"

ABSL_FLAG(uint64_t, seed, 0,
          "seed of the first soak; 0: a random seed, which is printed");
ABSL_FLAG(int, seeds, 1, "number of soaks, with consecutive seeds");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(32),
          "duration of the faults of one soak, at least 14s");
ABSL_FLAG(int, entries, 4, "entry hosts");
ABSL_FLAG(int, controls, 3, "control hosts");
ABSL_FLAG(int, runners, 6, "upstreams with models; three without are added");
ABSL_FLAG(int, callers, 16, "callers");
ABSL_FLAG(std::string, programs, "build/bin", "folder of the programs to test");
ABSL_FLAG(std::string, folder, "",
          "folder for settings, logs and data; empty: a new one, deleted if no "
          "guarantee was violated");

namespace wasabiwind::soak {

namespace {

namespace fs = std::filesystem;

/** @return the folder of one soak, "" if it can't be created. */
std::string MakeFolder(std::uint64_t seed) {
  std::string folder = absl::GetFlag(FLAGS_folder);
  if (folder.empty()) {
    std::string pattern = fs::temp_directory_path() / "ww-soak-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) return "";
    return pattern;
  }
  folder += "/" + std::to_string(seed);
  std::error_code error;
  fs::remove_all(folder, error);
  fs::create_directories(folder, error);
  return error ? "" : folder;
}

void PrintSummary(const Monitor &monitor, std::uint64_t seed,
                  const std::string &folder) {
  std::printf("seed %llu:", static_cast<unsigned long long>(seed));
  for (const auto &[name, count] : monitor.m_counts) {
    std::printf(" %s=%d", name.c_str(), count);
  }
  std::printf(" broken=%zu\n", monitor.GetViolations().size());
  for (const std::string &violation : monitor.GetViolations()) {
    std::printf("  %s\n", violation.c_str());
  }
  if (monitor.GetViolations().empty()) return;
  std::printf("  to repeat: ww_soak --seed=%llu --duration=%s; logs in %s\n",
              static_cast<unsigned long long>(seed),
              absl::FormatDuration(absl::GetFlag(FLAGS_duration)).c_str(),
              folder.c_str());
}

/** @return whether no guarantee was violated. */
bool RunSeed(std::uint64_t seed, const SoakProtocol &protocol) {
  SoakOptions options;
  std::string programs = absl::GetFlag(FLAGS_programs);
  options.m_entry_program = programs + "/ww_platform_entry";
  options.m_control_program = programs + "/ww_platform_control";
  options.m_folder = MakeFolder(seed);
  if (options.m_folder.empty()) {
    std::fprintf(stderr,
                 "ww_soak: can't create a folder; pass a writable one as "
                 "--folder=DIR\n");
    return false;
  }
  options.m_entries = absl::GetFlag(FLAGS_entries);
  options.m_controls = absl::GetFlag(FLAGS_controls);
  options.m_runners = absl::GetFlag(FLAGS_runners);
  options.m_callers = absl::GetFlag(FLAGS_callers);
  options.m_plan =
      MakePlan(seed, absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration)));
  std::string folder = options.m_folder;
  bool is_passed = false;
  net::RunFiberThread([&] {
    SoakRun soak_run(std::move(options), &protocol);
    base::Result<void> done = soak_run.Run();
    if (!done) {
      std::fprintf(stderr, "ww_soak: %s\n", done.error().ToString().c_str());
      return;
    }
    is_passed = soak_run.GetMonitor().GetViolations().empty();
    PrintSummary(soak_run.GetMonitor(), seed, folder);
  });
  std::error_code ignored;
  if (is_passed && absl::GetFlag(FLAGS_folder).empty()) {
    fs::remove_all(folder, ignored);
  }
  return is_passed;
}

int RunSoak() {
  auto log =
      base::InitializeLog("ww_soak", "info", base::LogOutput::kStandardError);
  if (!log) return 2;
  // The programs inherit this, so that a full disk is an error, not a signal.
  std::signal(SIGXFSZ, SIG_IGN);
  SoakProtocol protocol = platform::MakeSoakProtocol();
  std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (seed == 0) seed = base::MakeSeed() >> 32;
  int failed_seeds = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
    if (!RunSeed(seed + static_cast<std::uint64_t>(i), protocol))
      ++failed_seeds;
    std::fflush(stdout);
  }
  base::ShutDownLog();
  return failed_seeds == 0 ? 0 : 1;
}

}  // namespace

}  // namespace wasabiwind::soak

int main(int argc, char **argv) {
  wasabiwind::net::ParseFlags(
      argc, argv,
      wasabiwind::net::ProgramInfo{
          "ww_soak",
          "runs the real programs with simulated callers, upstreams and "
          "operators, injects faults and checks the guarantees"});
  return wasabiwind::soak::RunSoak();
}
