/** @file runner.cpp Runs a scenario against real processes. */

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "scenario/parse_func.h"
#include "scenario/runner_base.h"
#include "scenario/runner_internal.h"
#include "standin/json_func.h"
#include "standin/record_base.h"

namespace wasabiwind::scenario {

namespace json = boost::json;

namespace {

constexpr base::seconds kHealthyTimeout{15};
constexpr base::seconds kFetchTimeout{5};
/** Default settings of a program; those of the scenario follow them. */
struct ProgramDefaults {
  const char *m_program;
  const char *m_settings;
};

constexpr std::array<ProgramDefaults, 4> kProgramDefaults = {{
    {"ww_engine",
     "[upstream]\nlisten = ${self.listen}\nrecord_file = ${dir}/${self}.record"
     "\n"},
    {"ww_service",
     "[upstream]\nlisten = ${self.listen}\nrecord_file = ${dir}/${self}.record"
     "\n"},
    {"ww_weightstore",
     "[store]\nlisten = ${self.listen}\nrecord_file = ${dir}/${self}.record\n"},
    {"ww_entry", "[entry]\nlisten = ${self.listen}\n"},
}};

base::Result<void> WriteFile(const std::string &path, const std::string &text,
                             std::ios::openmode mode = std::ios::trunc) {
  std::ofstream file(path, std::ios::out | mode);
  file << text;
  file.close();
  if (file) return {};
  return base::MakeError(base::ErrorKind::kIo, "can't write " + path);
}

}  // namespace

tl::unexpected<base::Error> MakeFailure(std::string message) {
  return base::MakeError(base::ErrorKind::kConflict, std::move(message));
}

base::Result<std::string> ReadFile(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    return base::MakeError(base::ErrorKind::kIo, "can't read " + path,
                           "check that the program wrote it");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ReadFileEnd(const std::string &path) {
  constexpr std::size_t kBytes = 1500;
  std::string text = ReadFile(path).value_or("");
  return text.size() > kBytes ? text.substr(text.size() - kBytes) : text;
}

std::string MakeLoopbackHost(std::uint32_t process_id) {
  // Process IDs have at most 22 bits; 127.0.x.x stays free for other programs.
  constexpr std::uint32_t kFirst = 64;
  return fmt::format("127.{}.{}.{}", kFirst + ((process_id >> 16) & 0x3F),
                     (process_id >> 8) & 0xFF, process_id & 0xFF);
}

std::string MakeLoopbackNetwork(std::uint32_t process_id) {
  // Above the addresses of MakeLoopbackHost; 127.255.x.x stays free.
  constexpr std::uint32_t kFirst = 128;
  constexpr std::uint32_t kCount = 127;
  return fmt::format("127.{}.{}.", kFirst + process_id / 256 % kCount,
                     process_id % 256);
}

Runner::Runner(Scenario scenario, RunnerOptions options)
    : m_scenario(std::move(scenario)), m_options(std::move(options)) {
  m_addresses.m_host = MakeLoopbackHost(static_cast<std::uint32_t>(::getpid()));
  for (const PartDeclaration &part : m_scenario.m_parts) {
    m_parts[part.m_name].m_declaration = &part;
  }
}

base::Result<void> Runner::Run() {
  m_deadline = base::Clock::now() + m_scenario.m_limit;
  if (auto prepared = Prepare(); !prepared) return prepared;
  for (const Statement &statement : m_scenario.m_statements) {
    if (statement.m_is_planted && !m_options.m_run_planted) continue;
    if (statement.m_is_unplanted && m_options.m_run_planted) continue;
    base::Result<void> result = Execute(statement);
    if (result) result = RecordEnds();
    if (result && base::Clock::now() >= m_deadline) {
      result = base::MakeError(base::ErrorKind::kTimeout,
                               "the scenario exceeded its time limit",
                               "raise the limit or shorten the scenario");
    }
    if (result) continue;
    result.error().m_message =
        fmt::format("line {}: {}: {}", statement.m_line, statement.m_text,
                    result.error().m_message);
    return result;
  }
  return {};
}

/** Writes all files and substitutes all variables, so that errors in them are
 * found before any process starts. */
base::Result<void> Runner::Prepare() {
  for (const PartDeclaration &part : m_scenario.m_parts) {
    auto settings = Substitute(MakeSettings(part), part.m_name);
    if (!settings) return tl::unexpected(settings.error());
    auto written = WriteFile(GetPath(part.m_name + ".ini"), *settings);
    if (!written) return written;
    std::filesystem::create_directories(GetPath(part.m_name));
  }
  for (const FileDeclaration &file : m_scenario.m_files) {
    auto text = Substitute(file.m_text, "");
    if (!text) return tl::unexpected(text.error());
    auto written = WriteFile(GetPath(file.m_name), *text);
    if (!written) return written;
  }
  for (Statement &statement : m_scenario.m_statements) {
    for (std::string &argument : statement.m_arguments) {
      auto text = Substitute(argument, "");
      if (!text) return tl::unexpected(text.error());
      argument = *text;
    }
    auto value = Substitute(statement.m_value, "");
    if (!value) return tl::unexpected(value.error());
    statement.m_value = *value;
  }
  return {};
}

std::string Runner::MakeSettings(const PartDeclaration &part) {
  std::string settings =
      "[node]\nname = ${self}\n[admin]\nlisten = ${self.admin}\n";
  for (const ProgramDefaults &defaults : kProgramDefaults) {
    if (part.m_program == defaults.m_program) settings += defaults.m_settings;
  }
  return settings + part.m_settings;
}

base::Result<std::string> Runner::Substitute(const std::string &text,
                                             const std::string &self) {
  std::string result;
  std::size_t at = 0;
  while (true) {
    std::size_t open = text.find("${", at);
    if (open == std::string::npos) return result + text.substr(at);
    std::size_t close = text.find('}', open);
    if (close == std::string::npos) {
      return base::MakeError(base::ErrorKind::kInvalidArgument,
                             "\"${\" without \"}\" in: " + text,
                             "close it with }");
    }
    result += text.substr(at, open - at);
    auto value = ResolveVariable(text.substr(open + 2, close - open - 2), self);
    if (!value) return value;
    result += *value;
    at = close + 1;
  }
}

base::Result<std::string> Runner::ResolveVariable(const std::string &name,
                                                  const std::string &self) {
  if (name == "dir") return m_options.m_folder;
  if (name == "seed") return std::to_string(m_options.m_seed);
  if (name == "self" && !self.empty()) return self;
  std::size_t dot = name.find('.');
  std::string part = name.substr(0, dot);
  if (part == "self" && !self.empty()) part = self;
  std::string word = dot == std::string::npos ? "" : name.substr(dot + 1);
  if (!IsPart(part) || word.empty()) {
    return base::MakeError(
        base::ErrorKind::kInvalidArgument,
        fmt::format("unknown variable ${{{}}}", name),
        "use ${dir}, ${seed}, ${self}, ${PART.dir} or an address such as "
        "${PART.listen}");
  }
  if (word == "dir") return GetPath(part);
  return GetAddress(part, word);
}

std::string Runner::GetAddress(const std::string &part,
                               const std::string &word) {
  std::string &address = m_addresses.m_addresses[part + "." + word];
  if (address.empty()) {
    address =
        fmt::format("{}:{}", m_addresses.m_host, m_addresses.m_next_port++);
  }
  return address;
}

std::string Runner::GetPath(const std::string &file) const {
  return m_options.m_folder + "/" + file;
}

base::Result<void> Runner::Execute(const Statement &statement) {
  switch (statement.m_kind) {
    case StatementKind::kStart:
      return StartParts(statement.m_names);
    case StatementKind::kFault:
      return InjectFault(statement);
    case StatementKind::kPartition:
    case StatementKind::kHeal:
      return SetPartition(statement);
    case StatementKind::kPost:
      return PostStatement(statement);
    case StatementKind::kWait:
      std::this_thread::sleep_for(statement.m_duration);
      return {};
    case StatementKind::kMark:
      m_marks[statement.m_arguments[0]] = standin::GetWallMicroseconds();
      return {};
    case StatementKind::kLoad:
    case StatementKind::kRun:
      return StartCommand(statement);
    case StatementKind::kFinish:
      return FinishCommands(statement);
    case StatementKind::kExpect:
      return Expect(statement);
    case StatementKind::kCheck:
      return Check(statement);
    default:
      break;
  }
  for (const std::string &name : statement.m_names) {
    if (auto result = ExecuteOnPart(statement.m_kind, name); !result) {
      return result;
    }
  }
  return {};
}

base::Result<void> Runner::ExecuteOnPart(StatementKind kind,
                                         const std::string &name) {
  Part &part = m_parts[name];
  // A terminated part may have exited already; its exit code is still checked.
  bool may_have_ended = kind == StatementKind::kStop && part.m_is_terminated;
  if (!part.m_process.IsRunning() && !may_have_ended) {
    return MakeFailure(fmt::format("{} isn't running", name));
  }
  switch (kind) {
    case StatementKind::kStop:
      return StopPart(name);
    case StatementKind::kTerminate:
      part.m_may_exit = true;
      part.m_is_terminated = true;
      part.m_process.Signal(SIGTERM);
      return {};
    case StatementKind::kPause:
      part.m_process.Signal(SIGSTOP);
      return {};
    case StatementKind::kContinue:
      part.m_process.Signal(SIGCONT);
      return {};
    case StatementKind::kRestart:
      if (auto stopped = StopPart(name); !stopped) return stopped;
      return StartParts({name});
    case StatementKind::kReplace:
      if (auto killed = KillPart(name); !killed) return killed;
      std::filesystem::remove_all(GetPath(name));
      std::filesystem::create_directories(GetPath(name));
      return StartParts({name});
    default:
      return KillPart(name);
  }
}

/** Starts all parts before it waits for any, since some are healthy only once
 * others run. */
base::Result<void> Runner::StartParts(const std::vector<std::string> &names) {
  for (const std::string &name : names) {
    if (auto launched = LaunchPart(name); !launched) return launched;
  }
  for (const std::string &name : names) {
    if (auto healthy = WaitUntilHealthy(name); !healthy) return healthy;
  }
  return {};
}

base::Result<void> Runner::LaunchPart(const std::string &name) {
  Part &part = m_parts[name];
  if (part.m_process.IsRunning()) {
    return MakeFailure(fmt::format("{} is already running", name));
  }
  if (auto recorded = RecordEnds(); !recorded) return recorded;
  part.m_is_started = true;
  part.m_may_exit = false;
  part.m_is_terminated = false;
  part.m_is_end_recorded = false;
  return part.m_process.Start(
      m_options.m_binaries + "/" + part.m_declaration->m_program,
      {"--config=" + GetPath(name + ".ini")}, GetPath(name + ".log"));
}

base::Result<void> Runner::WaitUntilHealthy(const std::string &name) {
  Part &part = m_parts[name];
  base::TimePoint end =
      std::min(m_deadline, base::Clock::now() + kHealthyTimeout);
  while (base::Clock::now() < end) {
    if (auto status = part.m_process.Poll()) {
      part.m_may_exit = true;
      return base::MakeError(
          base::ErrorKind::kUnavailable,
          fmt::format("{} ended during startup with {}: {}", name,
                      status->ToString(), ReadFileEnd(GetPath(name + ".log"))),
          "check its settings");
    }
    auto answer = Fetch("GET", GetAddress(name, "admin"), "/healthz", "");
    if (answer && answer->m_status == 200) return {};
    std::this_thread::sleep_for(kPollInterval);
  }
  return base::MakeError(base::ErrorKind::kTimeout,
                         fmt::format("{} didn't become healthy in time: {}",
                                     name, ReadFileEnd(GetPath(name + ".log"))),
                         "check its settings");
}

base::Result<void> Runner::StopPart(const std::string &name) {
  Part &part = m_parts[name];
  part.m_may_exit = true;
  if (!part.m_is_terminated) part.m_process.Signal(SIGTERM);
  auto status = part.m_process.WaitUntil(m_deadline);
  if (!status) return MakeFailure(fmt::format("{} didn't stop in time", name));
  if (status->m_signal == 0 && status->m_code == 0) return {};
  return MakeFailure(
      fmt::format("{} stopped with {}", name, status->ToString()));
}

base::Result<void> Runner::KillPart(const std::string &name) {
  Part &part = m_parts[name];
  part.m_may_exit = true;
  part.m_process.Signal(SIGKILL);
  if (part.m_process.WaitUntil(m_deadline)) return {};
  return base::MakeError(base::ErrorKind::kTimeout,
                         fmt::format("{} still runs after SIGKILL", name));
}

/**
 * Appends kEndedEvent to the records of processes that have ended. @return an
 * error if a process ended without a statement that ends it
 */
base::Result<void> Runner::RecordEnds() {
  for (auto &[name, part] : m_parts) {
    if (!part.m_is_started || part.m_is_end_recorded) continue;
    std::optional<ExitStatus> status = part.m_process.Poll();
    if (!status) continue;
    part.m_is_end_recorded = true;
    std::string record = GetPath(name + ".record");
    if (std::filesystem::exists(record)) {
      json::object event{{"t_us", standin::GetWallMicroseconds()},
                         {"event", kEndedEvent}};
      // A crash may have left an incomplete line.
      auto written = WriteFile(record, "\n" + json::serialize(event) + "\n",
                               std::ios::app);
      if (!written) return written;
    }
    if (part.m_may_exit) continue;
    return MakeFailure(fmt::format("{} ended unexpectedly with {}: {}", name,
                                   status->ToString(),
                                   ReadFileEnd(GetPath(name + ".log"))));
  }
  return {};
}

base::Result<void> Runner::InjectFault(const Statement &statement) {
  bool is_crash = statement.m_value.find("\"crash") != std::string::npos;
  for (const std::string &name : statement.m_names) {
    Part &part = m_parts[name];
    if (is_crash) part.m_may_exit = true;
    auto posted = PostChecked(GetAddress(name, "admin"), "/standin/v1/fault",
                              statement.m_value);
    if (!posted && !is_crash) return posted;
  }
  return {};
}

/** Makes control hosts drop messages from and to the peers, through their test
 * interface. */
base::Result<void> Runner::SetPartition(const Statement &statement) {
  json::array peers;
  for (const std::string &peer : statement.m_arguments) {
    peers.emplace_back(peer);
  }
  std::string body = json::serialize(
      json::object{{"receive_from", peers}, {"send_to", peers}});
  for (const std::string &name : statement.m_names) {
    auto posted =
        PostChecked(GetAddress(name, "admin"), "/admin/v1/partition", body);
    if (!posted) return posted;
  }
  return {};
}

base::Result<void> Runner::PostStatement(const Statement &statement) {
  const std::vector<std::string> &arguments = statement.m_arguments;
  if (arguments.size() < 3) {
    return PostChecked(arguments[0], arguments[1], statement.m_value);
  }
  auto answer = Fetch("POST", arguments[0], arguments[1], statement.m_value);
  if (!answer) return tl::unexpected(answer.error());
  if (std::to_string(answer->m_status) == arguments[2]) return {};
  return MakeFailure(fmt::format("the response has status {}: {}",
                                 answer->m_status,
                                 answer->m_body.substr(0, 300)));
}

base::Result<void> Runner::PostChecked(const std::string &address,
                                       const std::string &path,
                                       const std::string &body) {
  auto answer = Fetch("POST", address, path, body);
  if (!answer) return tl::unexpected(answer.error());
  if (answer->m_status >= 200 && answer->m_status < 300) return {};
  return base::MakeError(
      base::ErrorKind::kProtocol,
      fmt::format("POST {}{} returned status {}: {}", address, path,
                  answer->m_status, answer->m_body.substr(0, 300)),
      "check the path and the body");
}

base::Result<net::HttpResponse> Runner::Fetch(const std::string &method,
                                              const std::string &address,
                                              const std::string &path,
                                              const std::string &body) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(address);
  if (!endpoint) return tl::unexpected(endpoint.error());
  base::Result<net::HttpResponse> answer;
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    net::HttpRequest request{method, path, {}, body};
    if (!body.empty()) {
      request.m_headers.Add("Content-Type", "application/json");
    }
    base::TimePoint deadline =
        std::min(m_deadline, base::Clock::now() + kFetchTimeout);
    answer = pool.Fetch(*endpoint, request, deadline, 64 << 20);
  });
  return answer;
}

base::Result<void> Runner::StartCommand(const Statement &statement) {
  const std::string &id = statement.m_names[0];
  Command &command = m_commands[id];
  command.m_is_load = statement.m_kind == StatementKind::kLoad;
  std::vector<std::string> arguments = statement.m_arguments;
  std::string program = "ww_load";
  if (command.m_is_load) {
    // Flags of the statement come last, since the last value takes effect.
    std::vector<std::string> defaults = {
        "--report=" + GetPath(id + ".json"),
        "--outcomes=" + GetPath(id + ".outcomes"), "--id_prefix=" + id,
        fmt::format("--seed={}",
                    m_options.m_seed * 1000 +
                        static_cast<std::uint64_t>(statement.m_line))};
    arguments.insert(arguments.begin(), defaults.begin(), defaults.end());
  } else {
    program = arguments.front();
    arguments.erase(arguments.begin());
  }
  return command.m_process.Start(m_options.m_binaries + "/" + program,
                                 arguments, GetPath(id + ".out"));
}

base::Result<ExitStatus> Runner::FinishCommand(const std::string &id) {
  auto status = m_commands[id].m_process.WaitUntil(m_deadline);
  if (!status) {
    return base::MakeError(
        base::ErrorKind::kTimeout,
        fmt::format("{} didn't finish before the time limit", id),
        "raise the limit or shorten the scenario");
  }
  if (!m_commands[id].m_is_load || status->m_code == 0) return *status;
  return base::MakeError(
      base::ErrorKind::kInvalidArgument,
      fmt::format("{} ended with {}: {}", id, status->ToString(),
                  ReadFileEnd(GetPath(id + ".out"))),
      "check its flags");
}

base::Result<void> Runner::FinishCommands(const Statement &statement) {
  for (const std::string &id : statement.m_names) {
    if (auto status = FinishCommand(id); !status) {
      return tl::unexpected(status.error());
    }
  }
  return {};
}

}  // namespace wasabiwind::scenario
