/** @file scenario_main.cpp Program ww_scenario. */

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/log_func.h"
#include "base/random_func.h"
#include "net/command_line_func.h"
#include "scenario/parse_func.h"
#include "scenario/runner_base.h"

ABSL_FLAG(bool, check, false, "only parse the scenarios");
ABSL_FLAG(bool, planted, false,
          "run the planted faults too and succeed only if they are detected");
ABSL_FLAG(bool, keep, false, "keep the files of the runs");
ABSL_FLAG(std::string, dir, "", "folder for the files; empty: a temporary one");
ABSL_FLAG(uint64_t, seed, 0, "seed of the loads; 0: a random one, printed");

namespace wasabiwind::scenario {

namespace {

base::Result<std::string> ReadFile(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    return base::MakeError(base::ErrorKind::kIo, "can't read " + path,
                           "check the path and its permissions");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

base::Result<std::string> MakeFolder(const std::string &scenario) {
  std::filesystem::path root = absl::GetFlag(FLAGS_dir);
  if (root.empty()) root = std::filesystem::temp_directory_path();
  std::filesystem::path folder =
      root / fmt::format("ww-scenario-{}-{}",
                         std::filesystem::path(scenario).stem().string(),
                         ::getpid());
  std::error_code error;
  std::filesystem::remove_all(folder, error);
  std::filesystem::create_directories(folder, error);
  if (!error) return std::filesystem::absolute(folder).string();
  return base::MakeError(
      base::ErrorKind::kIo,
      fmt::format("can't create {}: {}", folder.string(), error.message()),
      "pass --dir=FOLDER");
}

std::string GetBinaryFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

/** @return an error unless the run failed as planted-failure declares. */
base::Result<void> CheckPlantedResult(const Scenario &scenario,
                                      const base::Result<void> &result) {
  if (result) {
    return base::MakeError(base::ErrorKind::kConflict,
                           "the planted fault was not detected",
                           "add a statement that fails because of the fault");
  }
  bool is_expected = result.error().m_kind == base::ErrorKind::kConflict &&
                     result.error().m_message.find(
                         scenario.m_planted_failure) != std::string::npos;
  if (!is_expected) return result;
  std::printf("  detected: %s\n", result.error().ToString().c_str());
  return {};
}

base::Result<void> RunFile(const std::string &path) {
  auto text = ReadFile(path);
  if (!text) return tl::unexpected(text.error());
  auto scenario = ParseScenario(*text, path);
  if (!scenario) return tl::unexpected(scenario.error());
  if (absl::GetFlag(FLAGS_check)) return {};
  bool is_planted = absl::GetFlag(FLAGS_planted);
  if (is_planted && scenario->m_planted_failure.empty()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           path + " has no planted fault",
                           "add planted-failure and a planted: statement");
  }
  auto folder = MakeFolder(path);
  if (!folder) return tl::unexpected(folder.error());
  RunnerOptions options;
  options.m_binaries = GetBinaryFolder();
  options.m_folder = *folder;
  options.m_run_planted = is_planted;
  options.m_seed = absl::GetFlag(FLAGS_seed);
  if (options.m_seed == 0) {
    constexpr std::uint64_t kMaxSeed = 1'000'000'000;
    options.m_seed = base::MakeSeed() % kMaxSeed + 1;
  }
  std::printf("%s: %s (seed %llu)\n", path.c_str(), scenario->m_title.c_str(),
              static_cast<unsigned long long>(options.m_seed));
  std::fflush(stdout);
  base::Result<void> result;
  {
    Runner runner(*scenario, options);
    result = runner.Run();
  }
  if (is_planted) result = CheckPlantedResult(*scenario, result);
  if (!result || absl::GetFlag(FLAGS_keep)) {
    std::printf("  files: %s\n", folder->c_str());
  } else {
    std::filesystem::remove_all(*folder);
  }
  return result;
}

}  // namespace

int Main(int argc, char **argv) {
  std::vector<std::string> files = net::ParseFlags(
      argc, argv,
      {"ww_scenario",
       "runs the named scenarios against real processes; docs/scenarios.md "
       "describes the language"});
  if (files.size() < 2) {
    std::fprintf(stderr, "no scenario file given; name at least one\n");
    return 2;
  }
  int failed = 0;
  for (std::size_t i = 1; i < files.size(); ++i) {
    base::Result<void> result = RunFile(files[i]);
    if (result) {
      std::printf("  passed: %s\n", files[i].c_str());
      continue;
    }
    ++failed;
    std::printf("  FAILED: %s: %s\n", files[i].c_str(),
                result.error().ToString().c_str());
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace wasabiwind::scenario

int main(int argc, char **argv) {
  return wasabiwind::scenario::Main(argc, argv);
}
