/** @file command_line.cpp Command line parsing shared by all programs. */

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

#include <csignal>

#include "net/command_line_func.h"

namespace wasabiwind::net {

namespace {

constexpr const char *kVersion = "0.1.0";

/** @return whether a source file belongs to this project, not to a library. */
bool IsOwnFlagFile(absl::string_view file) {
  return std::string(file).find("src/") != std::string::npos;
}

}  // namespace

std::vector<std::string> ParseFlags(int argc, char **argv,
                                    const ProgramInfo &info) {
  std::string version = fmt::format("{} {}\n", info.m_name, kVersion);
  absl::FlagsUsageConfig usage;
  usage.contains_helpshort_flags = IsOwnFlagFile;
  usage.contains_help_flags = IsOwnFlagFile;
  usage.version_string = [version] { return version; };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(info.m_name + ": " + info.m_description);
  std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  return {arguments.begin(), arguments.end()};
}

}  // namespace wasabiwind::net
