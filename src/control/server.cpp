/** @file server.cpp The control program, for a given state machine. */

#include "control/server.h"

#include <absl/flags/flag.h>
#include <control_settings.pb.h>
#include <envelope.pb.h>

#include <boost/fiber/fiber.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "control/operators_http.h"
#include "control/partition_filter.h"
#include "control/replica_node.h"
#include "control/services.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/program_func.h"
#include "net/signal_watch.h"
#include "replica/log_func.h"

ABSL_FLAG(bool, format, false,
          "format the empty data folder of a host of the initial group and "
          "exit; never use it for a host that replaces another");

namespace wasabiwind::control {

namespace {

namespace json = boost::json;
using base::ErrorKind;
using base::LogEvent;
using base::LogLevel;

/** Bound on the endpoints that are remembered from messages, to answer hosts
 * that aren't members yet. */
constexpr std::size_t kMaxLearnedEndpoints = 64;
constexpr base::milliseconds kMemberChangeTimeout{5'000};

replica::Members MakeFirstMembers(const gen::ControlSettings &settings) {
  replica::Members members;
  for (const gen::ControlHostSettings &host : settings.control()) {
    replica::Member member;
    member.m_identity.m_host = base::NodeId(host.name());
    member.m_endpoint = host.endpoint();
    member.m_operators_address = host.operators();
    members.push_back(std::move(member));
  }
  return members;
}

base::Result<gen::ControlHostSettings> FindOwnHost(
    const gen::ControlSettings &settings) {
  for (const gen::ControlHostSettings &host : settings.control()) {
    if (host.name() == settings.node().name()) return host;
  }
  return base::MakeError(
      ErrorKind::kInvalidSettings,
      "[node] name has no section [control " + settings.node().name() + "]",
      "list all control hosts, this one included, as [control NAME]");
}

ReplicaNodeOptions MakeNodeOptions(const gen::ControlSettings &settings) {
  ReplicaNodeOptions options;
  options.m_host = base::NodeId(settings.node().name());
  const gen::ReplicaSettings &replica = settings.replica();
  options.m_raft.m_election_timeout =
      base::milliseconds(replica.election_timeout_ms());
  options.m_raft.m_heartbeat = base::milliseconds(replica.heartbeat_ms());
  options.m_snapshot_after_bytes =
      static_cast<std::uint64_t>(replica.snapshot_after_bytes());
  options.m_keep_bytes = static_cast<std::size_t>(replica.keep_bytes());
  return options;
}

base::Result<void> Format(const gen::ControlSettings &settings) {
  auto files = replica::OpenDataFolder(settings.replica().data_folder());
  if (!files) return tl::unexpected(files.error());
  return replica::FormatFirstMember(files->get(),
                                    base::NodeId(settings.node().name()),
                                    MakeFirstMembers(settings));
}

/** Components of the running program. Used by one fiber thread. */
class ControlServer {
 public:
  ControlServer(gen::ControlSettings settings, ControlStateMachine *machine,
                ControlServices *services)
      : m_settings(std::move(settings)),
        m_machine(machine),
        m_services(services) {}

  base::Result<void> Start();
  base::Result<void> RunUntilStopSignal();

 private:
  base::Result<void> StartMessages(const gen::ControlHostSettings &own);
  base::Result<void> StartNode();
  base::Result<void> StartHttp(const gen::ControlHostSettings &own);
  void Send(const gen::ReplicaMessage &message);
  void SendMemberMessage(const std::string &to,
                         const gen::MemberMessage &message);
  void SendEnvelope(const std::string &to, gen::Envelope envelope);
  std::string FindEndpoint(const std::string &host) const;
  void Receive(const std::string &message);
  bool HandleAdmin(const net::HttpRequest &request,
                   net::HttpExchange &exchange);
  net::HttpResponse ChangePartition(const std::string &body);
  net::HttpResponse ChangeMembers(const net::HttpRequest &request);
  net::HttpResponse DescribeReplica() const;

  gen::ControlSettings m_settings;
  ControlStateMachine *m_machine;
  ControlServices *m_services;  ///< may be nullptr
  std::string m_own_endpoint;
  std::vector<std::string> m_tokens;
  PartitionFilter m_partition;
  std::map<std::string, std::string> m_learned_endpoints;
  std::unique_ptr<net::MessageTransport> m_transport;
  std::unique_ptr<ReplicaNode> m_node;
  std::unique_ptr<OperatorsHttp> m_operators;
  std::unique_ptr<net::HttpServer> m_operators_server;
  std::unique_ptr<net::HttpServer> m_admin_server;
};

base::Result<void> ControlServer::Start() {
  base::Result<gen::ControlHostSettings> own = FindOwnHost(m_settings);
  if (!own) return tl::unexpected(own.error());
  auto tokens = LoadCredentials(m_settings.operators().credentials_file());
  if (!tokens) return tl::unexpected(tokens.error());
  m_tokens = std::move(*tokens);
  if (base::Result<void> done = StartMessages(*own); !done) return done;
  if (base::Result<void> done = StartNode(); !done) return done;
  return StartHttp(*own);
}

base::Result<void> ControlServer::StartMessages(
    const gen::ControlHostSettings &own) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(own.endpoint());
  if (!endpoint) return tl::unexpected(endpoint.error());
  m_own_endpoint = own.endpoint();
  net::MessageTransportOptions options;
  options.m_listen = *endpoint;
  m_transport = std::make_unique<net::MessageTransport>(options);
  if (m_settings.testing().allow_partition()) {
    m_transport->SetDropFilter([this](net::MessageDirection direction,
                                      const net::Endpoint &peer,
                                      const std::string &message) {
      return MustDrop(m_partition, direction, peer, message);
    });
  }
  return m_transport->Listen();
}

base::Result<void> ControlServer::StartNode() {
  auto files = replica::OpenDataFolder(m_settings.replica().data_folder());
  if (!files) return tl::unexpected(files.error());
  m_node = std::make_unique<ReplicaNode>(
      MakeNodeOptions(m_settings), std::move(*files),
      [this](const gen::ReplicaMessage &message) { Send(message); }, m_machine);
  if (base::Result<void> opened = m_node->Open(); !opened) return opened;
  if (m_services == nullptr) return {};
  m_services->Open(
      m_settings, m_node.get(),
      [this](const std::string &to, const gen::MemberMessage &message) {
        SendMemberMessage(to, message);
      });
  return {};
}

base::Result<void> ControlServer::StartHttp(
    const gen::ControlHostSettings &own) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(own.operators());
  if (!endpoint) return tl::unexpected(endpoint.error());
  m_operators = std::make_unique<OperatorsHttp>(
      m_node.get(), m_machine, m_tokens,
      base::milliseconds(m_settings.operators().timeout_ms()));
  net::HttpServerOptions options;
  options.m_listen = *endpoint;
  m_operators_server = std::make_unique<net::HttpServer>(
      options,
      [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
        m_operators->Handle(request, exchange);
      });
  if (base::Result<void> done = m_operators_server->Listen(); !done) {
    return done;
  }
  net::AdminHooks hooks;
  hooks.m_check_ready = [this]() -> std::string {
    bool has_leader = m_node->GetState().m_leader.IsValid();
    return has_leader ? "" : "no leader is known";
  };
  hooks.m_handle_other_path = [this](const net::HttpRequest &request,
                                     net::HttpExchange &exchange) {
    return HandleAdmin(request, exchange);
  };
  auto admin = net::StartAdminServer(m_settings.admin(), hooks);
  if (!admin) return tl::unexpected(admin.error());
  m_admin_server = std::move(*admin);
  return {};
}

std::string ControlServer::FindEndpoint(const std::string &host) const {
  const replica::Member *member =
      replica::FindMember(m_node->GetState().m_members, base::NodeId(host));
  if (member != nullptr) return member->m_endpoint;
  auto learned = m_learned_endpoints.find(host);
  return learned == m_learned_endpoints.end() ? "" : learned->second;
}

void ControlServer::Send(const gen::ReplicaMessage &message) {
  gen::Envelope envelope;
  *envelope.mutable_replica() = message;
  SendEnvelope(FindEndpoint(message.to_host()), std::move(envelope));
}

void ControlServer::SendMemberMessage(const std::string &to,
                                      const gen::MemberMessage &message) {
  gen::Envelope envelope;
  *envelope.mutable_member() = message;
  SendEnvelope(to, std::move(envelope));
}

void ControlServer::SendEnvelope(const std::string &to,
                                 gen::Envelope envelope) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(to);
  if (!endpoint) return;
  envelope.MergeFrom(
      net::MakeEnvelope(m_own_endpoint, m_settings.node().name()));
  (void)m_transport->Send(*endpoint, envelope.SerializeAsString());
}

void ControlServer::Receive(const std::string &message) {
  std::optional<gen::Envelope> envelope = net::ParseEnvelope(message);
  bool is_valid =
      envelope && (envelope->has_replica() || envelope->has_member());
  if (!is_valid) {
    static prometheus::Counter &unknown =
        base::GetCounter("ww_control_messages_unknown_total",
                         "Messages of another version or for another program");
    unknown.Increment();
    return;
  }
  if (envelope->has_member()) {
    if (m_services == nullptr) return;
    m_services->HandleMessage(envelope->from(), envelope->member());
    return;
  }
  const std::string &host = envelope->replica().from_host();
  bool has_room = m_learned_endpoints.contains(host) ||
                  m_learned_endpoints.size() < kMaxLearnedEndpoints;
  if (has_room) m_learned_endpoints[host] = envelope->from();
  m_node->Receive(std::move(*envelope->mutable_replica()));
}

base::Result<void> ControlServer::RunUntilStopSignal() {
  net::SignalWatch signals;
  base::Result<void> result;
  boost::fibers::fiber transport([this] {
    m_transport->Run([this](const std::string &message) { Receive(message); });
  });
  boost::fibers::fiber operators([this] { m_operators_server->Serve(); });
  boost::fibers::fiber admin([this] { m_admin_server->Serve(); });
  boost::fibers::fiber node([this, &result] {
    result = m_node->Run();
    if (result) return;
    LogEvent(LogLevel::kError, "replica_failed",
             {{"error", result.error().ToString()}});
    // The files are in an unknown state: the process ends at once, and the
    // next start checks them.
    std::_Exit(1);
  });
  boost::fibers::fiber services([this] {
    if (m_services != nullptr) m_services->Run();
  });
  signals.WaitForStop();
  LogEvent(LogLevel::kInfo, "stopping");
  if (m_services != nullptr) m_services->Stop();
  services.join();
  m_operators_server->Stop();
  m_admin_server->Stop();
  m_node->Stop();
  m_transport->Stop();
  node.join();
  transport.join();
  operators.join();
  admin.join();
  return result;
}

bool ControlServer::HandleAdmin(const net::HttpRequest &request,
                                net::HttpExchange &exchange) {
  std::string path(request.Path());
  net::HttpResponse response;
  if (path == "/admin/v1/partition" && request.m_method == "POST") {
    response = ChangePartition(request.m_body);
  } else if (path == "/admin/v1/members" && request.m_method == "POST") {
    response = ChangeMembers(request);
  } else if (path == "/admin/v1/replica" && request.m_method == "GET") {
    response = DescribeReplica();
  } else {
    return false;
  }
  (void)exchange.Respond(response);
  return true;
}

/** Reads a string of a JSON object, "" if absent. */
std::string GetText(const json::object &object, const char *key) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return "";
  return std::string(value->as_string().c_str());
}

/** @return the JSON object in a request body. */
base::Result<json::object> ParseObject(const std::string &body) {
  json::error_code code;
  json::value value = json::parse(body, code);
  if (!code && value.is_object()) return value.as_object();
  return base::MakeError(ErrorKind::kProtocol, "the body isn't a JSON object",
                         "send the fields that docs/control.md lists");
}

/**
 * Body: {"receive_from": [names], "send_to": [names]}. Empty lists end the
 * partition.
 */
net::HttpResponse ControlServer::ChangePartition(const std::string &body) {
  if (!m_settings.testing().allow_partition()) {
    return MakeErrorResponse(base::Error{
        ErrorKind::kPermission, "partitions aren't allowed on this host",
        "set allow_partition = true in [testing], on test hosts only"});
  }
  base::Result<json::object> object = ParseObject(body);
  if (!object) return MakeErrorResponse(object.error());
  PartitionFilter filter;
  for (const char *key : {"receive_from", "send_to"}) {
    const json::value *list = object->if_contains(key);
    if (list == nullptr || !list->is_array()) continue;
    bool is_send = std::string(key) == "send_to";
    for (const json::value &item : list->as_array()) {
      if (!item.is_string()) continue;
      std::string name = item.as_string().c_str();
      std::string endpoint = FindEndpoint(name);
      std::string peer = endpoint.empty() ? name : endpoint;
      (is_send ? filter.m_drop_to : filter.m_drop_from).insert(peer);
    }
  }
  m_partition = std::move(filter);
  LogEvent(LogLevel::kWarn, "partition_changed",
           {{"receive_from", m_partition.m_drop_from.size()},
            {"send_to", m_partition.m_drop_to.size()}});
  return net::MakeJsonResponse(200, "{}");
}

/**
 * Body: {"action": "add" | "remove" | "replace", "host": NAME}, for add with
 * "incarnation" (a decimal string), "endpoint" and "operators".
 */
net::HttpResponse ControlServer::ChangeMembers(
    const net::HttpRequest &request) {
  if (!IsAuthorized(request, m_tokens)) {
    return MakeErrorResponse(
        base::Error{ErrorKind::kPermission, "the bearer token is unknown",
                    "send a token of the credentials file"});
  }
  base::Result<json::object> object = ParseObject(request.m_body);
  if (!object) return MakeErrorResponse(object.error());
  replica::MemberChange change;
  std::string action = GetText(*object, "action");
  if (action == "add") change.m_kind = replica::MemberChangeKind::kAdd;
  if (action == "remove") change.m_kind = replica::MemberChangeKind::kRemove;
  if (action == "replace") change.m_kind = replica::MemberChangeKind::kReplace;
  if (change.m_kind == replica::MemberChangeKind::kEnd) {
    return MakeErrorResponse(base::Error{ErrorKind::kInvalidArgument,
                                         "the action is unknown",
                                         "use add, remove or replace"});
  }
  change.m_host = base::NodeId(GetText(*object, "host"));
  change.m_endpoint = GetText(*object, "endpoint");
  change.m_operators_address = GetText(*object, "operators");
  change.m_incarnation =
      std::strtoull(GetText(*object, "incarnation").c_str(), nullptr, 10);
  base::Result<void> started =
      m_node->ChangeMembers(change, base::Clock::now() + kMemberChangeTimeout);
  if (!started) return MakeErrorResponse(started.error());
  LogEvent(LogLevel::kInfo, "members_changed",
           {{"action", action}, {"host", change.m_host.Value()}});
  return net::MakeJsonResponse(200, "{}");
}

net::HttpResponse ControlServer::DescribeReplica() const {
  const replica::RaftState &state = m_node->GetState();
  json::array members;
  for (const replica::Member &member : state.m_members) {
    const base::NodeId &host = member.m_identity.m_host;
    json::object item;
    item["host"] = host.Value();
    item["incarnation"] = std::to_string(member.m_identity.m_incarnation);
    item["is_voter"] = member.m_is_voter;
    auto reported = state.m_reported_incarnations.find(host);
    if (reported != state.m_reported_incarnations.end()) {
      item["reported_incarnation"] = std::to_string(reported->second);
    }
    auto progress = state.m_progress.find(host);
    if (progress != state.m_progress.end()) {
      item["match_index"] = progress->second.m_match;
    }
    members.push_back(std::move(item));
  }
  json::object object;
  object["host"] = state.m_self.m_host.Value();
  object["incarnation"] = std::to_string(state.m_self.m_incarnation);
  object["is_leader"] = state.m_role == replica::Role::kLeader;
  object["leader"] = state.m_leader.Value();
  object["term"] = state.m_term;
  object["last_index"] = replica::GetLastIndex(state.m_log);
  object["commit_index"] = state.m_commit_index;
  object["applied_index"] = state.m_applied_index;
  object["snapshot_index"] = state.m_snapshot.m_position.m_index;
  object["damaged_entries"] = state.m_log.m_damaged;
  object["is_snapshot_damaged"] = state.m_is_snapshot_damaged;
  object["members"] = std::move(members);
  return net::MakeJsonResponse(200, json::serialize(object));
}

}  // namespace

int RunControl(int argc, char **argv, ControlStateMachine *machine,
               ControlServices *services) {
  gen::ControlSettings settings;
  std::optional<int> exit_code = net::InitializeProgram(
      argc, argv,
      net::ProgramInfo{"ww_control",
                       "one of 3, 5 or 7 control hosts that decide the "
                       "configuration"},
      &settings);
  if (exit_code) return *exit_code;
  base::Result<void> result =
      base::InitializeLog("ww_control", settings.log().level());
  if (result && absl::GetFlag(FLAGS_format)) {
    result = Format(settings);
  } else if (result) {
    net::RunFiberThread([&] {
      ControlServer server(settings, machine, services);
      result = server.Start();
      if (result) result = server.RunUntilStopSignal();
    });
  }
  if (result) return 0;
  std::fprintf(stderr, "ww_control: %s\n", result.error().ToString().c_str());
  return 1;
}

}  // namespace wasabiwind::control
