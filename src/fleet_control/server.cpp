/** @file server.cpp Control host for declared routes. */

#include "fleet_control/server.h"

#include <absl/flags/flag.h>
#include <envelope.pb.h>
#include <fleet_settings.pb.h>
#include <fmt/format.h>

#include <boost/fiber/fiber.hpp>
#include <cstdio>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/settings_func.h"
#include "base/text_func.h"
#include "fleet/message_endpoint_func.h"
#include "fleet_control/publisher.h"
#include "fleet_control/quarantine_controller.h"
#include "fleet_control/registry.h"
#include "fleet_control/replication_group.h"
#include "fleet_control/residency_controller.h"
#include "fleet_control/route_state_machine.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"
#include "net/program_func.h"
#include "net/settings_watch.h"

namespace wasabiwind::fleet_control {

namespace {

using base::LogEvent;
using base::LogLevel;

/** Large enough for a table with tens of thousands of routes. */
constexpr std::size_t kMaxMessageBytes = 8 << 20;
constexpr std::size_t kMaxDocumentBytes = 16 << 20;
constexpr base::milliseconds kTickPeriod{100};
/** Callers give up after a second, so a later response would be lost. */
constexpr base::milliseconds kCallTimeout{900};
/** A leaving upstream gets its acknowledgement after this long at most. */
constexpr base::milliseconds kLeaveTimeout{700};
constexpr base::milliseconds kRetryAfter{200};

net::HttpResponse MakeErrorResponse(int status, const base::Error &error) {
  net::HttpResponse response =
      net::MakeJsonResponse(status, base::FormatErrorJson(error));
  if (status == 503) {
    response.m_headers.Add("Retry-After",
                           fmt::format("{:.1f}", kRetryAfter.count() / 1000.0));
  }
  return response;
}

/** The running program. Used by one fiber thread. */
class FleetControl {
 public:
  FleetControl(gen::FleetControlSettings settings,
               const ControlProtocol *protocol);

  base::Result<void> Start();
  void RunUntilStopSignal(net::SettingsWatch *watch);

  /** Applies the settings that may change while the program runs. */
  void Reload(const gen::FleetControlSettings &settings);

 private:
  ReplicationGroup::Hooks MakeReplicationHooks();
  ResidencyController::Hooks MakeResidencyHooks();
  QuarantineController::Hooks MakeQuarantineHooks();
  void HandleCall(const net::HttpRequest &request, net::HttpExchange &exchange);
  net::HttpResponse HandleReport(const gen::UpstreamReport &report);
  net::HttpResponse HandlePut(const net::HttpRequest &request,
                              const gen::RouteTable &table);
  net::HttpResponse HandleGet(const net::HttpRequest &request);
  std::optional<net::HttpResponse> RedirectToLeader(
      const net::HttpRequest &request) const;
  net::HttpResponse StoreTable(const net::HttpRequest &request,
                               const gen::RouteTable &table);
  std::string ChooseReportAddress(const std::string &domain) const;
  void Send(const std::string &to, gen::Envelope envelope);
  void SendFleetMessage(const std::string &to,
                        const gen::FleetMessage &message);
  void Receive(const std::string &message);
  void HandleFleetMessage(const std::string &from,
                          const gen::FleetMessage &message);
  void HandleFactUpdate(const std::string &from, const gen::FactUpdate &update);
  void OnTableChanged();
  void OnQuarantineChanged();
  void RunTimer();

  gen::FleetControlSettings m_settings;
  const ControlProtocol *m_protocol;
  gen::ControlHost m_self;
  fleet::Follower m_follower;
  RouteStateMachine m_route_state;
  routes::RouteIndexPtr m_routes;
  std::unique_ptr<net::MessageTransport> m_transport;
  std::unique_ptr<Publisher> m_publisher;
  std::unique_ptr<Registry> m_registry;
  std::unique_ptr<ReplicationGroup> m_group;
  std::unique_ptr<ResidencyController> m_residency;
  std::unique_ptr<QuarantineController> m_quarantine;
  std::unique_ptr<net::HttpServer> m_server;
  std::unique_ptr<net::HttpServer> m_admin;
  bool m_is_stopped = false;
};

FleetControl::FleetControl(gen::FleetControlSettings settings,
                           const ControlProtocol *protocol)
    : m_settings(std::move(settings)),
      m_protocol(protocol),
      m_route_state(RouteStateMachine::Hooks{
          [this] { OnTableChanged(); }, [this] { OnQuarantineChanged(); }}),
      m_routes(routes::MakeRouteIndex(gen::RouteTable())) {
  m_self.set_name(m_settings.group().listen());
  m_self.set_endpoint(m_settings.network().message_address());
  m_self.set_operators_address(m_settings.group().listen());
  m_self.set_domain(m_settings.node().domain());
  m_follower.m_own_endpoint = m_self.endpoint();
  *m_follower.m_self.mutable_control() = m_self;
  Reload(m_settings);
}

void FleetControl::Reload(const gen::FleetControlSettings &settings) {
  m_follower.m_seeds.clear();
  for (const std::string &host :
       base::SplitList(settings.network().control_hosts())) {
    m_follower.m_seeds.insert(
        fleet::MakeMessageEndpoint(host, settings.network().message_port()));
  }
}

ReplicationGroup::Hooks FleetControl::MakeReplicationHooks() {
  ReplicationGroup::Hooks hooks;
  hooks.m_send = [this](const std::string &to,
                        const gen::ReplicaMessage &message) {
    gen::Envelope envelope;
    *envelope.mutable_replica() = message;
    Send(to, std::move(envelope));
  };
  hooks.m_send_fleet = [this](const std::string &to,
                              const gen::FleetMessage &message) {
    SendFleetMessage(to, message);
  };
  hooks.m_list_peers = [this] { return fleet::ListPublishers(m_follower); };
  hooks.m_on_leader_change = [this] { m_publisher->AnnounceHeader(); };
  return hooks;
}

ResidencyController::Hooks FleetControl::MakeResidencyHooks() {
  ResidencyController::Hooks hooks;
  hooks.m_may_send_orders = [this](base::TimePoint now) {
    return m_group->MaySendOrders(now);
  };
  hooks.m_get_term = [this] { return m_group->GetTerm(); };
  hooks.m_get_routes = [this] { return m_routes; };
  hooks.m_get_view = [this]() -> const fleet::FleetView & {
    return m_follower.m_view;
  };
  hooks.m_publish = [this](gen::Residency residency) {
    gen::Fact fact;
    *fact.mutable_residency() = std::move(residency);
    m_registry->Publish(fact, base::Clock::now());
  };
  return hooks;
}

QuarantineController::Hooks FleetControl::MakeQuarantineHooks() {
  QuarantineController::Hooks hooks;
  hooks.m_is_leader = [this](base::TimePoint now) {
    return m_group->HoldsLease(now);
  };
  hooks.m_get_quarantine = [this]() -> const gen::PromptQuarantine & {
    return m_route_state.GetStored().quarantine();
  };
  hooks.m_execute = [this](const gen::RouteCommand &command,
                           base::TimePoint deadline) -> base::Result<void> {
    auto outcome = m_group->Execute(command.SerializeAsString(), deadline);
    if (!outcome) return tl::unexpected(outcome.error());
    return {};
  };
  return hooks;
}

base::Result<void> FleetControl::Start() {
  const gen::FleetNetworkSettings &network = m_settings.network();
  base::Result<net::Endpoint> messages = net::ParseEndpoint(
      network.message_listen().empty() ? network.message_address()
                                       : network.message_listen());
  if (!messages) return tl::unexpected(messages.error());
  net::MessageTransportOptions transport;
  transport.m_listen = *messages;
  transport.m_max_message_bytes = kMaxMessageBytes;
  m_transport = std::make_unique<net::MessageTransport>(transport);
  if (base::Result<void> done = m_transport->Listen(); !done) return done;
  m_publisher = std::make_unique<Publisher>(
      [this](const std::string &to, const gen::FleetMessage &message) {
        SendFleetMessage(to, message);
      },
      [this] {
        return FactUpdateHeader{
            m_route_state.GetVersion(), m_group->GetTerm(),
            m_group->GetLeader().empty()
                ? ""
                : m_group->GetEndpoint(m_group->GetLeader())};
      },
      [this]() -> const gen::StoredRouteTable & {
        return m_route_state.GetStored();
      });
  m_registry = std::make_unique<Registry>(
      m_publisher.get(), &m_follower,
      base::milliseconds(m_settings.bounds().heartbeat_ms()));
  m_group = std::make_unique<ReplicationGroup>(m_settings, &m_route_state,
                                               MakeReplicationHooks());
  fleet::ResidencySettings residency;
  residency.m_load_window =
      base::milliseconds(m_settings.bounds().load_window_ms());
  m_residency = std::make_unique<ResidencyController>(
      m_settings.node().name(), residency, m_protocol, MakeResidencyHooks());
  m_quarantine = std::make_unique<QuarantineController>(MakeQuarantineHooks());
  m_registry->RecordControl(m_self, base::Clock::now());
  base::Result<net::Endpoint> listen =
      net::ParseEndpoint(m_settings.group().listen());
  if (!listen) return tl::unexpected(listen.error());
  net::HttpServerOptions options;
  options.m_listen = *listen;
  options.m_max_body_bytes = kMaxDocumentBytes;
  m_server = std::make_unique<net::HttpServer>(
      options,
      [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
        HandleCall(request, exchange);
      });
  if (base::Result<void> done = m_server->Listen(); !done) return done;
  net::AdminHooks hooks;
  hooks.m_check_ready = [this]() -> std::string {
    return m_group->GetLeader().empty() ? "no leader is known" : "";
  };
  auto admin = net::StartAdminServer(m_settings.admin(), hooks);
  if (!admin) return tl::unexpected(admin.error());
  m_admin = std::move(*admin);
  return {};
}

void FleetControl::OnTableChanged() {
  m_routes = routes::MakeRouteIndex(m_route_state.GetStored().table());
  m_follower.m_routes_version = m_route_state.GetVersion();
  LogEvent(LogLevel::kInfo, "routes_in_force",
           {{"version", m_route_state.GetVersion()},
            {"routes", m_routes->m_table.routes_size()}});
  m_publisher->AnnounceHeader();
}

void FleetControl::OnQuarantineChanged() {
  m_follower.m_quarantine_version =
      m_route_state.GetStored().quarantine().version();
  m_publisher->AnnounceHeader();
}

void FleetControl::Send(const std::string &to, gen::Envelope envelope) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(to);
  if (!endpoint) {
    LogEvent(LogLevel::kWarn, "endpoint_unreadable", {{"endpoint", to}});
    return;
  }
  envelope.MergeFrom(
      net::MakeEnvelope(m_self.endpoint(), m_settings.node().name()));
  (void)m_transport->Send(*endpoint, envelope.SerializeAsString());
}

void FleetControl::SendFleetMessage(const std::string &to,
                                    const gen::FleetMessage &message) {
  gen::Envelope envelope;
  *envelope.mutable_fleet() = message;
  Send(to, std::move(envelope));
}

void FleetControl::Receive(const std::string &message) {
  std::optional<gen::Envelope> envelope = net::ParseEnvelope(message);
  if (!envelope) {
    static prometheus::Counter &unknown =
        base::GetCounter("ww_control_messages_unknown_total",
                         "Messages of another version or for another program");
    unknown.Increment();
    return;
  }
  if (envelope->has_replica()) {
    m_group->Receive(std::move(*envelope->mutable_replica()));
  } else if (envelope->has_fleet()) {
    HandleFleetMessage(envelope->from(), envelope->fleet());
  }
}

void FleetControl::HandleFleetMessage(const std::string &from,
                                      const gen::FleetMessage &message) {
  base::TimePoint now = base::Clock::now();
  switch (message.body_case()) {
    case gen::FleetMessage::kFollow:
      if (message.follow().has_entry()) {
        m_registry->RecordEntry(message.follow().entry(), now);
      }
      if (message.follow().has_control()) {
        m_registry->RecordControl(message.follow().control(), now);
      }
      m_publisher->HandleFollow(from, message.follow(), now);
      return;
    case gen::FleetMessage::kNews:
      HandleFactUpdate(from, message.news());
      return;
    case gen::FleetMessage::kUse:
      m_residency->HandleUseReport(message.use(), now);
      m_quarantine->HandleUseReport(message.use(), now);
      return;
    case gen::FleetMessage::kJoin:
      m_group->HandleJoin(message.join(), now);
      return;
    case gen::FleetMessage::kLoadQuery:
    case gen::FleetMessage::kLoadAnswer:
    case gen::FleetMessage::kLoadUpdate:
      // Sent between entry hosts only.
    case gen::FleetMessage::BODY_NOT_SET:
      return;
  }
}

void FleetControl::HandleFactUpdate(const std::string &from,
                                    const gen::FactUpdate &update) {
  // A control host takes its route table and quarantine only from the log.
  gen::FactUpdate facts = update;
  facts.clear_routes();
  facts.set_routes_version(0);
  facts.clear_quarantine();
  fleet::FactUpdateResult result =
      fleet::HandleFactUpdate(&m_follower, from, facts, base::Clock::now());
  for (const fleet::OutMessage &out : result.m_messages) {
    SendFleetMessage(out.m_to, out.m_message);
  }
  if (!result.m_changed_upstreams.empty()) m_residency->RequestPlan();
}

std::string FleetControl::ChooseReportAddress(const std::string &domain) const {
  const fleet::FleetView &view = m_follower.m_view;
  if (domain == m_self.domain()) return m_self.operators_address();
  base::TimePoint now = base::Clock::now();
  for (const auto &[name, control] : view.m_control_hosts) {
    if (control.domain() != domain) continue;
    auto heard = view.m_publishers.find(control.endpoint());
    bool is_live = heard != view.m_publishers.end() &&
                   now < heard->second.m_heard_at + 2 * fleet::kFollowPeriod;
    if (is_live) return control.operators_address();
  }
  return m_self.operators_address();
}

net::HttpResponse FleetControl::HandleReport(
    const gen::UpstreamReport &report) {
  base::TimePoint now = base::Clock::now();
  ReportOutcome outcome = m_registry->RecordUpstream(report, now);
  bool is_leaving = report.state() != gen::UPSTREAM_READY;
  if (outcome == ReportOutcome::kChanged) {
    LogEvent(LogLevel::kInfo, "upstream_changed",
             {{"upstream", report.id()},
              {"born_ms", report.born_ms()},
              {"report", report.report_number()},
              {"state", gen::UpstreamState_Name(report.state())},
              {"address", report.address()},
              {"models", report.models_size()}});
    m_residency->RequestPlan();
  }
  if (is_leaving && outcome != ReportOutcome::kOutdated) {
    bool is_acknowledged = m_publisher->WaitForFollowers(now + kLeaveTimeout);
    LogEvent(is_acknowledged ? LogLevel::kInfo : LogLevel::kWarn,
             "leave_acknowledged",
             {{"upstream", report.id()},
              {"known_everywhere", is_acknowledged},
              {"took_ms", base::ToMilliseconds(base::Clock::now() - now)}});
  }
  return m_protocol->m_encode_report_answer(
      ChooseReportAddress(report.domain()));
}

/** @return a redirect to the leader, or nullopt if this host leads. */
std::optional<net::HttpResponse> FleetControl::RedirectToLeader(
    const net::HttpRequest &request) const {
  std::string leader = m_group->GetLeader();
  if (leader == m_self.operators_address()) return std::nullopt;
  if (leader.empty()) {
    return MakeErrorResponse(
        503, base::Error{base::ErrorKind::kUnavailable, "no leader is known",
                         "try again, or another control host"});
  }
  net::HttpResponse response;
  response.m_status = 307;
  response.m_headers.Add("Location", "http://" + leader + request.m_target);
  return response;
}

net::HttpResponse FleetControl::StoreTable(const net::HttpRequest &request,
                                           const gen::RouteTable &table) {
  gen::RouteCommand command;
  *command.mutable_stored()->mutable_table() = table;
  base::Result<std::string> compressed = CompressDocument(request.m_body);
  if (!compressed) return MakeErrorResponse(503, compressed.error());
  command.mutable_stored()->set_source(std::move(*compressed));
  command.mutable_stored()->set_source_bytes(request.m_body.size());
  base::TimePoint now = base::Clock::now();
  base::Result<void> done;
  if (table.version() <= m_route_state.GetVersion()) {
    // The table changes nothing, but only a confirmed leader may say so.
    done = m_group->ConfirmRead(now + kCallTimeout);
  } else {
    auto outcome =
        m_group->Execute(command.SerializeAsString(), now + kCallTimeout);
    if (!outcome) done = tl::unexpected(outcome.error());
  }
  LogEvent(LogLevel::kInfo, "table_put",
           {{"version", table.version()},
            {"in_force", m_route_state.GetVersion()},
            {"error", done ? "" : done.error().ToString()},
            {"took_ms", base::ToMilliseconds(base::Clock::now() - now)}});
  if (!done) return MakeErrorResponse(503, done.error());
  return net::MakeJsonResponse(200, "{}");
}

net::HttpResponse FleetControl::HandlePut(const net::HttpRequest &request,
                                          const gen::RouteTable &table) {
  if (base::Result<void> valid = routes::CheckRouteTable(table); !valid) {
    LogEvent(
        LogLevel::kInfo, "table_refused",
        {{"version", table.version()}, {"error", valid.error().ToString()}});
    return MakeErrorResponse(400, valid.error());
  }
  if (auto redirect = RedirectToLeader(request)) return *redirect;
  return StoreTable(request, table);
}

net::HttpResponse FleetControl::HandleGet(const net::HttpRequest &request) {
  if (auto redirect = RedirectToLeader(request)) return *redirect;
  base::Result<void> done =
      m_group->ConfirmRead(base::Clock::now() + kCallTimeout);
  if (done && m_route_state.GetVersion() == 0) {
    done = base::MakeError(base::ErrorKind::kUnavailable,
                           "nothing is declared yet", "put a table first");
  }
  if (!done) return MakeErrorResponse(503, done.error());
  base::Result<std::string> document =
      ExpandDocument(m_route_state.GetStored());
  if (!document) return MakeErrorResponse(503, document.error());
  return net::MakeJsonResponse(200, std::move(*document));
}

void FleetControl::HandleCall(const net::HttpRequest &request,
                              net::HttpExchange &exchange) {
  base::Result<ControlCall> call = m_protocol->m_decode_call(request);
  net::HttpResponse response;
  if (!call) {
    bool is_unknown = call.error().m_kind == base::ErrorKind::kNotFound;
    LogEvent(
        LogLevel::kInfo, "call_refused",
        {{"target", request.m_target}, {"error", call.error().ToString()}});
    response = MakeErrorResponse(is_unknown ? 404 : 400, call.error());
  } else if (const auto *report = std::get_if<ReportCall>(&*call)) {
    response = HandleReport(report->m_report);
  } else if (const auto *put = std::get_if<PutTableCall>(&*call)) {
    response = HandlePut(request, put->m_table);
  } else {
    response = HandleGet(request);
  }
  (void)exchange.Respond(response);
}

void FleetControl::RunTimer() {
  while (!m_is_stopped) {
    base::TimePoint now = base::Clock::now();
    for (const fleet::OutMessage &out : fleet::TickFollower(&m_follower, now)) {
      SendFleetMessage(out.m_to, out.m_message);
    }
    m_registry->Tick(now);
    net::SleepFor(kTickPeriod);
  }
}

void FleetControl::RunUntilStopSignal(net::SettingsWatch *watch) {
  boost::fibers::fiber transport([this] {
    m_transport->Run([this](const std::string &message) { Receive(message); });
  });
  boost::fibers::fiber server([this] { m_server->Serve(); });
  boost::fibers::fiber admin([this] { m_admin->Serve(); });
  boost::fibers::fiber group([this] { m_group->Run(); });
  boost::fibers::fiber publisher([this] { m_publisher->Run(); });
  boost::fibers::fiber controller([this] { m_residency->Run(); });
  boost::fibers::fiber quarantine([this] { m_quarantine->Run(); });
  boost::fibers::fiber timer([this] { RunTimer(); });
  boost::fibers::fiber settings([watch] { watch->Run(); });
  LogEvent(LogLevel::kInfo, "started",
           {{"host", m_self.operators_address()},
            {"first_start", m_settings.group().is_first_start()}});
  net::WaitForStopSignal([watch] { watch->Check(); });
  LogEvent(LogLevel::kInfo, "stopping");
  m_is_stopped = true;
  watch->Stop();
  m_residency->Stop();
  m_quarantine->Stop();
  m_publisher->Stop();
  m_server->Stop();
  m_admin->Stop();
  m_group->Stop();
  m_transport->Stop();
  controller.join();
  quarantine.join();
  publisher.join();
  settings.join();
  timer.join();
  group.join();
  transport.join();
  server.join();
  admin.join();
  LogEvent(LogLevel::kInfo, "stopped");
}

}  // namespace

int RunFleetControl(int argc, char **argv, const std::string &name,
                    const ControlProtocol &protocol) {
  gen::FleetControlSettings settings;
  net::ProgramInfo info{name,
                        "replicates the route table and registers upstreams"};
  if (auto code = net::InitializeProgram(argc, argv, info, &settings)) {
    return *code;
  }
  auto log = base::InitializeLog(name, settings.log().level());
  if (!log) {
    std::fprintf(stderr, "%s\n", log.error().ToString().c_str());
    return 2;
  }
  FleetControl control(settings, &protocol);
  if (base::Result<void> started = control.Start(); !started) {
    LogEvent(LogLevel::kError, "start_failed",
             {{"error", started.error().ToString()}});
    base::ShutDownLog();
    return 1;
  }
  net::RunFiberThread([&] {
    net::SettingsWatch watch(
        net::GetSettingsPath(), [&control](const std::string &path) {
          gen::FleetControlSettings changed;
          base::Result<void> loaded = base::LoadSettings(path, &changed);
          if (loaded) control.Reload(changed);
          return loaded;
        });
    control.RunUntilStopSignal(&watch);
  });
  base::ShutDownLog();
  return 0;
}

}  // namespace wasabiwind::fleet_control
