/** @file server.cpp Control host for declared routes. */

#include "fleet_control/server.h"

#include <absl/flags/flag.h>
#include <envelope.pb.h>
#include <fleet_settings.pb.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <cstdio>
#include <set>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/settings_func.h"
#include "base/text_func.h"
#include "fleet/message_endpoint_func.h"
#include "fleet/use_sum_func.h"
#include "fleet_control/fact_exchange.h"
#include "fleet_control/freshness_service.h"
#include "fleet_control/quarantine_controller.h"
#include "fleet_control/quota_service.h"
#include "fleet_control/replication_group.h"
#include "fleet_control/residency_controller.h"
#include "fleet_control/route_state_machine.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"
#include "net/program_func.h"
#include "net/settings_watch.h"
#include "net/signal_watch.h"

namespace wasabiwind::fleet_control {

namespace {

using base::LogEvent;
using base::LogLevel;

/** Large enough for a table with tens of thousands of routes. */
constexpr std::size_t kMaxMessageBytes = 8 << 20;
constexpr std::size_t kMaxDocumentBytes = 16 << 20;
/** Of all calls that are read or handled: room for two documents. */
constexpr std::size_t kMaxHeldBytes = 2 * kMaxDocumentBytes;
/** Sums of use reports are sent this often, or at once when a request begins to
 * wait, but not more often than with the shorter pause. */
constexpr base::milliseconds kUseSumPeriod{200};
constexpr base::milliseconds kMinUseSumPause{50};
/** Callers give up after a second, so a later response would be lost. */
constexpr base::milliseconds kCallTimeout{900};
/** A leaving upstream gets its acknowledgement after this long at most. */
constexpr base::milliseconds kLeaveTimeout{700};
constexpr base::milliseconds kRetryAfter{200};

/** Bounds the length of a log line. */
constexpr std::size_t kMaxLoggedTargetBytes = 200;

void CountRefusedCall(const char *reason) {
  base::GetCounter("ww_calls_refused_total",
                   "Calls of operators and upstreams that were refused",
                   {{"reason", reason}})
      .Increment();
}

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
  FreshnessService::Hooks MakeFreshnessHooks();
  QuotaService::Hooks MakeQuotaHooks();
  std::string GetOtherLeader() const;
  net::HttpResponse AnswerCall(const net::HttpRequest &request);
  base::Result<void> CheckLength(const net::HttpRequest &request) const;
  net::HttpResponse RefuseCall(const net::HttpRequest &request,
                               const char *reason, int status,
                               const base::Error &error) const;
  base::Result<void> CheckRoom(const gen::UpstreamReport &report) const;
  net::HttpResponse HandleReport(const gen::UpstreamReport &report);
  net::HttpResponse HandlePut(const net::HttpRequest &request,
                              const gen::RouteTable &table);
  net::HttpResponse HandleGet(const net::HttpRequest &request);
  std::optional<net::HttpResponse> RedirectToLeader(
      const net::HttpRequest &request) const;
  net::HttpResponse StoreTable(const net::HttpRequest &request,
                               const gen::RouteTable &table);
  std::string ChooseReportAddress(const std::string &domain) const;
  FactExchange::Hooks MakeExchangeHooks();
  FactUpdateHeader MakeHeader() const;
  std::string Encode(gen::Envelope envelope) const;
  void Send(const std::string &to, const std::string &message);
  void SendFleetMessage(const std::string &to,
                        const gen::FleetMessage &message);
  void Receive(const std::string &message);
  void HandleFleetMessage(const std::string &from,
                          const gen::FleetMessage &message);
  void HandleUseReport(const gen::UseReport &report);
  void RecordUse(const gen::UseReport &report);
  void SendUseSum(base::TimePoint now);
  void OnTableChanged();
  void OnQuarantineChanged();
  void RunTimer();

  gen::FleetControlSettings m_settings;
  const ControlProtocol *m_protocol;
  gen::ControlHost m_self;
  RouteStateMachine m_route_state;
  routes::RouteIndexPtr m_routes;
  std::unique_ptr<net::MessageTransport> m_transport;
  std::unique_ptr<FactExchange> m_exchange;
  fleet::UseSum m_use_sum;
  base::TimePoint m_use_sum_sent_at;
  std::unique_ptr<FreshnessService> m_freshness;
  std::unique_ptr<QuotaService> m_quotas;
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
  m_freshness = std::make_unique<FreshnessService>(MakeFreshnessHooks());
  m_quotas = std::make_unique<QuotaService>(
      quota::MakeQuotaSettings(m_settings.bounds()), MakeQuotaHooks());
  m_exchange = std::make_unique<FactExchange>(
      m_self, base::milliseconds(m_settings.bounds().heartbeat_ms()),
      MakeExchangeHooks());
  Reload(m_settings);
}

void FleetControl::Reload(const gen::FleetControlSettings &settings) {
  std::set<std::string> seeds;
  for (const std::string &host :
       base::SplitList(settings.network().control_hosts())) {
    seeds.insert(
        fleet::MakeMessageEndpoint(host, settings.network().message_port()));
  }
  m_exchange->SetSeeds(std::move(seeds));
}

ReplicationGroup::Hooks FleetControl::MakeReplicationHooks() {
  ReplicationGroup::Hooks hooks;
  hooks.m_send = [this](const std::string &to,
                        const gen::ReplicaMessage &message) {
    gen::Envelope envelope;
    *envelope.mutable_replica() = message;
    Send(to, Encode(std::move(envelope)));
  };
  hooks.m_send_fleet = [this](const std::string &to,
                              const gen::FleetMessage &message) {
    SendFleetMessage(to, message);
  };
  hooks.m_list_peers = [this] { return m_exchange->ListPeers(); };
  hooks.m_on_leader_change = [this] { m_exchange->AnnounceHeader(); };
  hooks.m_on_leadership_confirmed = [this](base::TimePoint at) {
    m_freshness->RecordLeadership(at);
  };
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
    return m_exchange->GetView();
  };
  hooks.m_publish = [this](gen::Residency residency) {
    gen::Fact fact;
    *fact.mutable_residency() = std::move(residency);
    m_exchange->Publish(fact, base::Clock::now());
  };
  return hooks;
}

QuarantineController::Hooks FleetControl::MakeQuarantineHooks() {
  QuarantineController::Hooks hooks;
  hooks.m_is_leader = [this](base::TimePoint now) {
    return m_group->HoldsLease(now);
  };
  hooks.m_get_quarantine = [this]() -> const gen::Quarantine & {
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

FreshnessService::Hooks FleetControl::MakeFreshnessHooks() {
  FreshnessService::Hooks hooks;
  hooks.m_send = [this](const std::string &to,
                        const gen::FleetMessage &message) {
    SendFleetMessage(to, message);
  };
  hooks.m_get_other_leader = [this] { return GetOtherLeader(); };
  hooks.m_get_version = [this] { return m_route_state.GetVersion(); };
  return hooks;
}

QuotaService::Hooks FleetControl::MakeQuotaHooks() {
  QuotaService::Hooks hooks;
  hooks.m_send = [this](const std::string &to,
                        const gen::FleetMessage &message) {
    SendFleetMessage(to, message);
  };
  hooks.m_get_other_leader = [this] { return GetOtherLeader(); };
  hooks.m_holds_lease = [this](base::TimePoint now) {
    return m_group->HoldsLease(now);
  };
  hooks.m_get_term = [this] { return m_group->GetTerm(); };
  hooks.m_get_routes = [this] { return m_routes; };
  return hooks;
}

/** @return message endpoint of the leader, or "" if it is unknown or this host.
 */
std::string FleetControl::GetOtherLeader() const {
  std::string leader = m_group->GetLeader();
  bool is_other = !leader.empty() && leader != m_self.operators_address();
  return is_other ? m_group->GetEndpoint(leader) : "";
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
  m_group = std::make_unique<ReplicationGroup>(m_settings, &m_route_state,
                                               MakeReplicationHooks());
  fleet::ResidencySettings residency;
  residency.m_load_window =
      base::milliseconds(m_settings.bounds().load_window_ms());
  m_residency = std::make_unique<ResidencyController>(
      m_settings.node().name(), residency, m_protocol, MakeResidencyHooks());
  m_quarantine = std::make_unique<QuarantineController>(MakeQuarantineHooks());
  gen::Fact self;
  *self.mutable_control() = m_self;
  m_exchange->Publish(self, base::Clock::now());
  base::Result<net::Endpoint> listen =
      net::ParseEndpoint(m_settings.group().listen());
  if (!listen) return tl::unexpected(listen.error());
  net::HttpServerOptions options;
  options.m_listen = *listen;
  options.m_max_body_bytes = kMaxDocumentBytes;
  options.m_max_held_bytes = kMaxHeldBytes;
  m_server = std::make_unique<net::HttpServer>(
      options,
      [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
        (void)exchange.Respond(AnswerCall(request));
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

FactUpdateHeader FleetControl::MakeHeader() const {
  FactUpdateHeader header;
  header.m_routes_version = m_route_state.GetVersion();
  header.m_leader_term = m_group->GetTerm();
  std::string leader = m_group->GetLeader();
  if (!leader.empty()) header.m_leader_endpoint = m_group->GetEndpoint(leader);
  return header;
}

FactExchange::Hooks FleetControl::MakeExchangeHooks() {
  FactExchange::Hooks hooks;
  hooks.m_encode = [this](const gen::FleetMessage &message) {
    gen::Envelope envelope;
    *envelope.mutable_fleet() = message;
    return Encode(std::move(envelope));
  };
  hooks.m_send = [this](const std::string &to, const std::string &message) {
    Send(to, message);
  };
  hooks.m_get_header = [this] { return MakeHeader(); };
  hooks.m_get_state = [this]() -> const gen::StoredRouteTable & {
    return m_route_state.GetStored();
  };
  hooks.m_list_members = [this] { return m_group->ListMemberEndpoints(); };
  hooks.m_on_upstreams_changed = [this] { m_residency->RequestPlan(); };
  return hooks;
}

void FleetControl::OnTableChanged() {
  m_routes = routes::MakeRouteIndex(m_route_state.GetStored().table());
  LogEvent(LogLevel::kInfo, "routes_in_force",
           {{"version", m_route_state.GetVersion()},
            {"routes", m_routes->m_table.routes_size()}});
  m_exchange->AnnounceHeader();
  m_quotas->HandleNewTable(base::Clock::now());
}

void FleetControl::OnQuarantineChanged() { m_exchange->AnnounceHeader(); }

std::string FleetControl::Encode(gen::Envelope envelope) const {
  envelope.MergeFrom(
      net::MakeEnvelope(m_self.endpoint(), m_settings.node().name()));
  return envelope.SerializeAsString();
}

void FleetControl::Send(const std::string &to, const std::string &message) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(to);
  if (!endpoint) {
    LogEvent(LogLevel::kWarn, "endpoint_unreadable", {{"endpoint", to}});
    return;
  }
  (void)m_transport->Send(*endpoint, message);
}

void FleetControl::SendFleetMessage(const std::string &to,
                                    const gen::FleetMessage &message) {
  gen::Envelope envelope;
  *envelope.mutable_fleet() = message;
  Send(to, Encode(std::move(envelope)));
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
      m_exchange->HandleFollow(from, message.follow(), now);
      return;
    case gen::FleetMessage::kNews:
      m_exchange->HandleFactUpdate(from, message.news(), now);
      return;
    case gen::FleetMessage::kUse:
      HandleUseReport(message.use());
      return;
    case gen::FleetMessage::kJoin:
      m_group->HandleJoin(message.join(), now);
      return;
    case gen::FleetMessage::kFreshnessQuery:
      m_freshness->HandleQuery(from, message.freshness_query(), now);
      return;
    case gen::FleetMessage::kFreshnessAnswer:
      m_freshness->HandleAnswer(message.freshness_answer(), now);
      return;
    case gen::FleetMessage::kQuotaQuery:
      m_quotas->HandleQuery(from, message.quota_query(), now);
      return;
    case gen::FleetMessage::kQuotaRefund:
      m_quotas->HandleRefund(message.quota_refund());
      return;
    case gen::FleetMessage::kCreditRequest:
      m_quotas->HandleCreditRequest(from, message.credit_request(), now);
      return;
    case gen::FleetMessage::kCreditGrant:
      m_quotas->HandleGrant(message.credit_grant(), now);
      return;
    case gen::FleetMessage::kLoadQuery:
    case gen::FleetMessage::kLoadAnswer:
    case gen::FleetMessage::kLoadUpdate:
    case gen::FleetMessage::kQuotaAnswer:
      // Sent to entry hosts only.
    case gen::FleetMessage::BODY_NOT_SET:
      return;
  }
}

/** Adds a report of an entry host to the sum, or records another control host's
 * sum. */
void FleetControl::HandleUseReport(const gen::UseReport &report) {
  base::TimePoint now = base::Clock::now();
  if (report.is_sum()) {
    RecordUse(report);
    return;
  }
  fleet::AddUseReport(&m_use_sum, report,
                      m_exchange->GetView().m_upstreams.size(), now);
  bool is_urgent =
      m_use_sum.m_has_new_waiting || !m_use_sum.m_lost_requests.empty();
  if (is_urgent && now >= m_use_sum_sent_at + kMinUseSumPause) SendUseSum(now);
}

void FleetControl::RecordUse(const gen::UseReport &report) {
  base::TimePoint now = base::Clock::now();
  m_residency->HandleUseReport(report, now);
  m_quarantine->HandleUseReport(report, now);
}

void FleetControl::SendUseSum(base::TimePoint now) {
  m_use_sum_sent_at = now;
  std::optional<gen::UseReport> sum = fleet::TakeUseSum(&m_use_sum, now);
  if (!sum) return;
  sum->set_entry(m_self.name());
  RecordUse(*sum);
  gen::FleetMessage message;
  *message.mutable_use() = std::move(*sum);
  gen::Envelope envelope;
  *envelope.mutable_fleet() = std::move(message);
  std::string encoded = Encode(std::move(envelope));
  // Any control host may become the leader and then needs the demand.
  for (const std::string &host : m_exchange->ListPeers()) {
    Send(host, encoded);
  }
}

std::string FleetControl::ChooseReportAddress(const std::string &domain) const {
  const fleet::FleetView &view = m_exchange->GetView();
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
  ReportOutcome outcome = m_exchange->RecordUpstream(report, now);
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
    bool is_acknowledged =
        m_exchange->WaitUntilKnownEverywhere(now + kLeaveTimeout);
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

/** Checks the length of a call before it is decoded: decoded, a body takes many
 * times its length, and a report is passed on to all hosts. */
base::Result<void> FleetControl::CheckLength(
    const net::HttpRequest &request) const {
  bool may_be_longer = m_protocol->m_puts_table(request);
  if (may_be_longer || request.m_body.size() <= kMaxReportBytes) return {};
  return base::MakeError(
      base::ErrorKind::kInvalidArgument,
      fmt::format("the body has {} bytes", request.m_body.size()),
      fmt::format("send at most {} bytes", kMaxReportBytes));
}

/** Checks that a report fits beside those that are known. Only upstreams that
 * no request can use are refused: those of services that aren't declared, and
 * leaves of upstreams that nobody has reported. */
base::Result<void> FleetControl::CheckRoom(
    const gen::UpstreamReport &report) const {
  bool is_in_use =
      report.state() == gen::UPSTREAM_GONE
          ? m_exchange->GetView().m_upstreams.contains(report.id())
          : routes::FindService(*m_routes, report.service()) != nullptr;
  if (is_in_use || m_exchange->HasRoomForUnused(report)) return {};
  return base::MakeError(
      base::ErrorKind::kOverloaded,
      fmt::format("no memory is left for reports of services that aren't "
                  "declared; this one is of \"{}\"",
                  report.service()),
      "declare the service, or stop what sends such reports");
}

net::HttpResponse FleetControl::RefuseCall(const net::HttpRequest &request,
                                           const char *reason, int status,
                                           const base::Error &error) const {
  CountRefusedCall(reason);
  LogEvent(LogLevel::kInfo, "call_refused",
           {{"target", request.m_target.substr(0, kMaxLoggedTargetBytes)},
            {"error", error.ToString()}});
  return MakeErrorResponse(status, error);
}

net::HttpResponse FleetControl::AnswerCall(const net::HttpRequest &request) {
  if (base::Result<void> valid = CheckLength(request); !valid) {
    return RefuseCall(request, "too_long", 413, valid.error());
  }
  base::Result<ControlCall> call = m_protocol->m_decode_call(request);
  if (!call) {
    bool is_unknown = call.error().m_kind == base::ErrorKind::kNotFound;
    return is_unknown ? RefuseCall(request, "unknown", 404, call.error())
                      : RefuseCall(request, "malformed", 400, call.error());
  }
  if (const auto *report = std::get_if<ReportCall>(&*call)) {
    base::Result<void> has_room = CheckRoom(report->m_report);
    return has_room ? HandleReport(report->m_report)
                    : RefuseCall(request, "no_room", 503, has_room.error());
  }
  if (const auto *put = std::get_if<PutTableCall>(&*call)) {
    return HandlePut(request, put->m_table);
  }
  return HandleGet(request);
}

void FleetControl::RunTimer() {
  while (!m_is_stopped) {
    base::TimePoint now = base::Clock::now();
    m_exchange->Tick(now);
    if (now >= m_use_sum_sent_at + kUseSumPeriod) SendUseSum(now);
    m_freshness->Tick(now);
    m_quotas->Tick(now);
    net::SleepFor(Registry::kTickPeriod);
  }
}

void FleetControl::RunUntilStopSignal(net::SettingsWatch *watch) {
  net::SignalWatch signals([watch] { watch->Check(); });
  boost::fibers::fiber transport([this] {
    m_transport->Run([this](const std::string &message) { Receive(message); });
  });
  boost::fibers::fiber server([this] { m_server->Serve(); });
  boost::fibers::fiber admin([this] { m_admin->Serve(); });
  boost::fibers::fiber group([this] { m_group->Run(); });
  boost::fibers::fiber exchange([this] { m_exchange->Run(); });
  boost::fibers::fiber controller([this] { m_residency->Run(); });
  boost::fibers::fiber quarantine([this] { m_quarantine->Run(); });
  boost::fibers::fiber timer([this] { RunTimer(); });
  boost::fibers::fiber settings([watch] { watch->Run(); });
  LogEvent(LogLevel::kInfo, "started",
           {{"host", m_self.operators_address()},
            {"first_start", m_settings.group().is_first_start()}});
  signals.WaitForStop();
  LogEvent(LogLevel::kInfo, "stopping");
  m_is_stopped = true;
  watch->Stop();
  m_residency->Stop();
  m_quarantine->Stop();
  m_exchange->Stop();
  m_server->Stop();
  m_admin->Stop();
  m_group->Stop();
  m_transport->Stop();
  controller.join();
  quarantine.join();
  exchange.join();
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
  net::SettingsWatch watch(
      net::GetSettingsPath(), [&control](const std::string &path) {
        gen::FleetControlSettings changed;
        base::Result<void> loaded = base::LoadSettings(path, &changed);
        if (loaded) control.Reload(changed);
        return loaded;
      });
  if (base::Result<void> started = control.Start(); !started) {
    LogEvent(LogLevel::kError, "start_failed",
             {{"error", started.error().ToString()}});
    base::ShutDownLog();
    return 1;
  }
  net::RunFiberThread([&] { control.RunUntilStopSignal(&watch); });
  base::ShutDownLog();
  return 0;
}

}  // namespace wasabiwind::fleet_control
