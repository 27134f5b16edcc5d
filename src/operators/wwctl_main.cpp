/** @file wwctl_main.cpp Operators' command line. */

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <sstream>

#include "base/random_func.h"
#include "net/fiber_scheduler.h"
#include "operators/client_type.h"
#include "operators/plan_func.h"

ABSL_FLAG(std::string, control, "127.0.0.1:7400",
          "operators' addresses of the control hosts, separated by commas");
ABSL_FLAG(std::string, token_file, "",
          "file with the bearer credentials; default: $WWCTL_TOKEN_FILE");
ABSL_FLAG(std::string, operation_id, "",
          "operation ID of apply; after a lost answer, give the one that was "
          "printed; default: a new one");
ABSL_FLAG(std::string, operator_name, "",
          "name for the history; default: $USER");
ABSL_FLAG(bool, allow_deletes, false,
          "let apply delete entities that the files no longer declare");
ABSL_FLAG(std::int64_t, revision, -1,
          "revision that print shows; default: the current one");
ABSL_FLAG(int, limit, 20, "changes that history shows, newest first");
ABSL_FLAG(int, timeout_s, 30, "seconds to wait for a control leader");
ABSL_FLAG(int, wait_s, 30,
          "seconds that apply waits until the change is in effect at every "
          "node; 0: doesn't wait");

namespace wasabiwind::operators {
namespace {

using base::ErrorKind;

/** Exit codes, also listed in kUsage. */
enum class ExitCode : std::uint8_t {
  kOk = 0,
  kRefused = 1,
  kUsage = 2,
  kConflict = 3,
  kUnavailable = 4,
  kNotInForce = 5,
  kDifferent = 6,
  kEnd,
};

constexpr const char *kVersion = "wwctl 0.1.0\n";

constexpr const char *kUsage = R"(operates a wasabiwind installation.

usage: wwctl [flags] COMMAND [FILE...]

  check FILE...   validate declarations files without a connection
  plan FILE...    show what differs between the configuration and the files
  test FILE...    let control check the change without applying it
  apply FILE...   make the configuration equal to the files, then wait until
                  it is in effect at every node
  print           print the configuration; --revision=N for an older one
  history         list changes with operation and operator
  status          show leader, control hosts and nodes that are behind

The files together declare the whole configuration.

exit codes: 0 done, 1 refused, 2 wrong usage or files, 3 another change came
first, 4 no control leader or outcome unknown, 5 accepted but not yet in effect
everywhere, 6 plan found differences)";

int GetExitStatus(ExitCode code) { return static_cast<int>(code); }

int ReportError(const base::Error &error) {
  std::fprintf(stderr, "wwctl: %s\n", error.ToString().c_str());
  switch (error.m_kind) {
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kIo:
      return GetExitStatus(ExitCode::kUsage);
    case ErrorKind::kConflict:
      return GetExitStatus(ExitCode::kConflict);
    case ErrorKind::kUnavailable:
      return GetExitStatus(ExitCode::kUnavailable);
    case ErrorKind::kTimeout:
      return GetExitStatus(ExitCode::kNotInForce);
    default:
      return GetExitStatus(ExitCode::kRefused);
  }
}

int ReportUsage(const std::string &message) {
  std::fprintf(stderr, "wwctl: %s; see wwctl --help\n", message.c_str());
  return GetExitStatus(ExitCode::kUsage);
}

std::string GetEnvironment(const char *name) {
  const char *value = std::getenv(name);
  return value == nullptr ? "" : value;
}

/** Input of a command. */
struct Context {
  std::vector<std::string> m_files;
  OperatorsClient *m_client = nullptr;
};

base::Result<Plan> ReadPlan(const Context &context) {
  base::Result<gen::Declarations> wanted =
      LoadDeclarationFiles(context.m_files);
  if (!wanted) return tl::unexpected(wanted.error());
  base::Result<gen::ConfigReply> current = context.m_client->GetConfig();
  if (!current) return tl::unexpected(current.error());
  return MakePlan(*current, *wanted);
}

std::string GetOperationId() {
  std::string id = absl::GetFlag(FLAGS_operation_id);
  if (!id.empty()) return id;
  return fmt::format("{}-{:016x}", GetEnvironment("USER"), base::MakeSeed());
}

std::string GetOperatorName() {
  std::string name = absl::GetFlag(FLAGS_operator_name);
  return name.empty() ? GetEnvironment("USER") : name;
}

int RunCheck(const Context &context) {
  base::Result<gen::Declarations> declarations =
      LoadDeclarationFiles(context.m_files);
  if (!declarations) {
    ReportError(declarations.error());
    return GetExitStatus(ExitCode::kUsage);
  }
  std::printf("valid: %d models, %d adapters, %d deployments, %d services\n",
              declarations->model_size(), declarations->adapter_size(),
              declarations->deployment_size(), declarations->service_size());
  return GetExitStatus(ExitCode::kOk);
}

int RunPlan(const Context &context) {
  base::Result<Plan> plan = ReadPlan(context);
  if (!plan) return ReportError(plan.error());
  std::fputs(PrintPlan(*plan).c_str(), stdout);
  std::printf("%zu changes to revision %llu\n", plan->m_changes.size(),
              static_cast<unsigned long long>(plan->m_base_revision));
  return GetExitStatus(plan->m_changes.empty() ? ExitCode::kOk
                                               : ExitCode::kDifferent);
}

int RunTest(const Context &context) {
  base::Result<Plan> plan = ReadPlan(context);
  if (!plan) return ReportError(plan.error());
  std::vector<gen::ChangeBatch> batches =
      MakeBatches(*plan, GetOperationId(), GetOperatorName());
  if (batches.size() > 1) {
    // Later batches can't be tested, as they are based on earlier ones.
    std::printf("%zu batches; only the first can be tested\n", batches.size());
  }
  if (!batches.empty()) {
    base::Result<gen::ApplyReply> reply = context.m_client->Test(batches[0]);
    if (!reply) return ReportError(reply.error());
  }
  std::printf("%zu changes would be accepted\n",
              batches.empty()
                  ? 0
                  : static_cast<std::size_t>(batches[0].changes_size()));
  return GetExitStatus(ExitCode::kOk);
}

int WaitUntilInForce(const Context &context, base::Revision revision) {
  int seconds = absl::GetFlag(FLAGS_wait_s);
  if (seconds <= 0) return GetExitStatus(ExitCode::kOk);
  base::Result<gen::StatusReply> status = context.m_client->WaitUntilInForce(
      revision, std::chrono::seconds(seconds));
  if (!status) return ReportError(status.error());
  std::printf("revision %llu is in effect at all %u nodes\n",
              static_cast<unsigned long long>(revision.Value()),
              status->nodes());
  return GetExitStatus(ExitCode::kOk);
}

/** Sends the batches in order. @return the revision after the last one */
base::Result<base::Revision> ApplyBatches(const Context &context,
                                          const Plan &plan) {
  std::string operation_id = GetOperationId();
  std::fprintf(stderr, "wwctl: operation ID %s\n", operation_id.c_str());
  base::Revision revision(plan.m_base_revision);
  for (const gen::ChangeBatch &batch :
       MakeBatches(plan, operation_id, GetOperatorName())) {
    base::Result<gen::ApplyReply> reply = context.m_client->Apply(batch);
    if (!reply) return tl::unexpected(reply.error());
    revision = base::Revision(reply->revision());
    std::printf("revision %llu: %d changes%s\n",
                static_cast<unsigned long long>(reply->revision()),
                batch.changes_size(),
                reply->is_resend() ? ", applied before" : "");
  }
  return revision;
}

int RunApply(const Context &context) {
  base::Result<Plan> plan = ReadPlan(context);
  if (!plan) return ReportError(plan.error());
  std::size_t deletes = CountDeletes(*plan);
  if (deletes > 0 && !absl::GetFlag(FLAGS_allow_deletes)) {
    std::fprintf(stderr,
                 "wwctl: the files no longer declare %zu entities; read "
                 "`wwctl plan` and pass --allow_deletes to delete them\n",
                 deletes);
    return GetExitStatus(ExitCode::kRefused);
  }
  if (plan->m_changes.empty()) {
    std::printf("no changes\n");
    return WaitUntilInForce(context, base::Revision(plan->m_base_revision));
  }
  base::Result<base::Revision> revision = ApplyBatches(context, *plan);
  if (!revision) return ReportError(revision.error());
  return WaitUntilInForce(context, *revision);
}

int RunPrint(const Context &context) {
  std::int64_t number = absl::GetFlag(FLAGS_revision);
  base::Revision revision =
      number < 0 ? base::Revision::Invalid()
                 : base::Revision(static_cast<std::uint64_t>(number));
  base::Result<gen::ConfigReply> reply = context.m_client->GetConfig(revision);
  if (!reply) return ReportError(reply.error());
  std::printf("; revision %llu, content hash %s\n%s",
              static_cast<unsigned long long>(reply->revision()),
              reply->content_hash().c_str(), reply->text().c_str());
  return GetExitStatus(ExitCode::kOk);
}

std::string FormatTime(std::int64_t ms) {
  std::time_t seconds = ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

int RunHistory(const Context &context) {
  int limit = absl::GetFlag(FLAGS_limit);
  base::Result<gen::HistoryReply> reply = context.m_client->GetHistory(
      static_cast<std::size_t>(std::max(limit, 1)));
  if (!reply) return ReportError(reply.error());
  for (const gen::HistoryItem &item : reply->items()) {
    std::printf("%llu %s %s %s\n",
                static_cast<unsigned long long>(item.revision()),
                FormatTime(item.accepted_at_ms()).c_str(),
                item.operator_name().c_str(), item.operation_id().c_str());
    for (const gen::ChangeEffect &effect : item.effects()) {
      std::printf("  %s %s %s\n", effect.action().c_str(),
                  effect.kind().c_str(), effect.name().c_str());
    }
  }
  return GetExitStatus(ExitCode::kOk);
}

int RunStatus(const Context &context) {
  base::Result<gen::StatusReply> reply = context.m_client->GetStatus();
  if (!reply) return ReportError(reply.error());
  std::printf(
      "revision %llu, in effect %llu, content hash %s\n"
      "leader %s, term %llu\n%u nodes, %u behind, %u upstreams, %u grants\n",
      static_cast<unsigned long long>(reply->revision()),
      static_cast<unsigned long long>(reply->in_force_revision()),
      reply->content_hash().c_str(), reply->leader().c_str(),
      static_cast<unsigned long long>(reply->term()), reply->nodes(),
      reply->nodes_behind(), reply->upstreams(), reply->grants());
  for (const gen::ControlStatus &host : reply->control()) {
    std::printf("control %s %s%s%s, heard %lld ms ago\n", host.node().c_str(),
                host.operators_address().c_str(),
                host.is_leader() ? ", leader" : "",
                host.is_voter() ? "" : ", no voter",
                static_cast<long long>(host.contact_age_ms()));
  }
  for (const gen::NodeStatus &node : reply->behind()) {
    std::printf("behind %s (%s, %s): revision %llu, confirmed %lld ms ago%s\n",
                node.node().c_str(), node.region().c_str(),
                node.domain().c_str(),
                static_cast<unsigned long long>(node.revision()),
                static_cast<long long>(node.confirm_age_ms()),
                node.is_lease_over() ? ", lease over" : "");
  }
  return GetExitStatus(ExitCode::kOk);
}

struct Command {
  const char *m_name;
  bool m_takes_files;
  bool m_needs_control;
  int (*m_run)(const Context &);
};

constexpr Command kCommands[] = {
    {"check", true, false, RunCheck},   {"plan", true, true, RunPlan},
    {"test", true, true, RunTest},      {"apply", true, true, RunApply},
    {"print", false, true, RunPrint},   {"history", false, true, RunHistory},
    {"status", false, true, RunStatus},
};

const Command *FindCommand(const std::string &name) {
  for (const Command &command : kCommands) {
    if (name == command.m_name) return &command;
  }
  return nullptr;
}

base::Result<std::string> ReadToken() {
  std::string path = absl::GetFlag(FLAGS_token_file);
  if (path.empty()) path = GetEnvironment("WWCTL_TOKEN_FILE");
  if (path.empty()) return std::string();
  std::ifstream file(path);
  std::string token;
  if (file >> token) return token;
  return base::MakeError(ErrorKind::kIo, "can't read credentials from " + path,
                         "check --token_file");
}

base::Result<ClientOptions> ReadClientOptions() {
  ClientOptions options;
  options.m_timeout =
      std::chrono::seconds(std::max(1, absl::GetFlag(FLAGS_timeout_s)));
  std::istringstream addresses(absl::GetFlag(FLAGS_control));
  std::string address;
  while (std::getline(addresses, address, ',')) {
    base::Result<net::Endpoint> endpoint = net::ParseEndpoint(address);
    if (!endpoint) return tl::unexpected(endpoint.error());
    options.m_control.push_back(*endpoint);
  }
  if (options.m_control.empty()) {
    return base::MakeError(ErrorKind::kIo, "--control names no address",
                           "give operators' addresses of ww_control");
  }
  base::Result<std::string> token = ReadToken();
  if (!token) return tl::unexpected(token.error());
  options.m_token = *token;
  return options;
}

int RunWithClient(const Command &command, Context context) {
  base::Result<ClientOptions> options = ReadClientOptions();
  if (!options) {
    ReportError(options.error());
    return GetExitStatus(ExitCode::kUsage);
  }
  int code = 0;
  net::RunFiberThread([&] {
    OperatorsClient client(*options);
    context.m_client = &client;
    code = command.m_run(context);
  });
  return code;
}

/** @return whether --help lists the flags of this source file. */
bool IsWwctlFlagFile(absl::string_view file) {
  return std::string(file).find("wwctl_main.cpp") != std::string::npos;
}

int Main(int argc, char **argv) {
  absl::FlagsUsageConfig usage;
  usage.contains_helpshort_flags = IsWwctlFlagFile;
  usage.contains_help_flags = IsWwctlFlagFile;
  usage.version_string = [] { return std::string(kVersion); };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(kUsage);
  std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
  if (arguments.size() < 2) return ReportUsage("no command");
  const Command *command = FindCommand(arguments[1]);
  if (command == nullptr) {
    return ReportUsage(fmt::format("unknown command {}", arguments[1]));
  }
  Context context;
  context.m_files.assign(arguments.begin() + 2, arguments.end());
  if (command->m_takes_files == context.m_files.empty()) {
    return ReportUsage(
        fmt::format("{} takes {}", command->m_name,
                    command->m_takes_files ? "at least one file" : "no files"));
  }
  if (!command->m_needs_control) return command->m_run(context);
  return RunWithClient(*command, context);
}

}  // namespace
}  // namespace wasabiwind::operators

int main(int argc, char **argv) {
  return wasabiwind::operators::Main(argc, argv);
}
