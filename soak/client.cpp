/** @file client.cpp Simulated callers and operators of a soak. */

#include "soak/client.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "net/fiber_scheduler.h"

namespace wasabiwind::soak {

namespace {

using base::Clock;
using base::milliseconds;
using base::TimePoint;

constexpr milliseconds kAddressCacheTime{1'000};
constexpr milliseconds kAddressTimeout{400};
constexpr milliseconds kMeanRequestPause{60};
constexpr milliseconds kPlainCallerTimeout{1'500};
constexpr milliseconds kStreamCallerTimeout{6'000};
constexpr milliseconds kOperatorCallTimeout{1'000};
constexpr milliseconds kOperatorRetryDelay{60};
constexpr std::uint64_t kRequestsPerNewConnection = 8;  ///< mean
constexpr std::uint64_t kRequestsPerAbandonment = 15;   ///< mean
constexpr int kMaxRedirects = 2;
constexpr std::uint64_t kPromptsPerCrashingPrompt = 12;  ///< mean
constexpr std::uint64_t kRequestsPerPassingKey = 3;      ///< mean
constexpr const char *kPublicPath = "/move/";
constexpr std::uint32_t kPromptTokens = 400;
constexpr std::uint32_t kOutputTokens = 32;

/** A kind of request that callers send. */
struct RequestKind {
  const char *m_path;
  bool m_is_repeatable;
  bool m_needs_model;
};

constexpr std::array<RequestKind, 5> kRequestKinds = {{
    {"/once/", false, false},
    {"/safe/", true, false},
    {"/move/", true, false},
    {"/flow/", true, true},
    {"/once-flow/", false, true},
}};

/** @return the index of an endpoint in a list, or -1 */
int FindEndpointNumber(const std::vector<net::Endpoint> &list,
                       const std::string &address) {
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (list[i].ToString() == address) return static_cast<int>(i);
  }
  return -1;
}

gen::Route MakeRoute(const char *path, gen::RouteKind kind,
                     const std::string &service) {
  gen::Route route;
  route.set_name("r" + std::string(path, 1, std::string(path).size() - 2));
  route.set_host(kRouteHost);
  route.set_path_prefix(path);
  route.set_kind(kind);
  route.set_timeout_ms(kind == gen::ROUTE_STREAM ? 6'000 : 1'500);
  route.set_objective_ms(500);
  route.set_max_attempts(2);
  gen::RouteTarget *target = route.add_targets();
  target->set_service(service);
  target->set_weight(1);
  if (kind == gen::ROUTE_STREAM) route.set_max_gap_ms(400);
  return route;
}

}  // namespace

void FillRequest(const std::string &path, const std::string &body,
                 const std::string &model,
                 std::vector<std::string> prompt_parts, CallerRequest *request,
                 RequestRecord *record) {
  const RequestKind &kind = *std::find_if(
      kRequestKinds.begin(), kRequestKinds.end(),
      [&path](const RequestKind &item) { return item.m_path == path; });
  request->m_host = kRouteHost;
  request->m_path = path;
  request->m_body = body;
  request->m_caller_timeout = kPlainCallerTimeout;
  if (kind.m_needs_model) {
    request->m_model = model;
    request->m_prompt_tokens = kPromptTokens;
    request->m_prompt_parts = std::move(prompt_parts);
    request->m_output_tokens = kOutputTokens;
    request->m_caller_timeout = kStreamCallerTimeout;
  }
  record->m_path = request->m_path;
  record->m_model = request->m_model;
  record->m_body = request->m_body;
  record->m_is_repeatable = kind.m_is_repeatable;
  record->m_is_stream = kind.m_needs_model;
  record->m_timeout = request->m_caller_timeout;
}

ExchangeOutcome ExchangeRequest(const ExchangeOptions &options,
                                const CallerRequest &request,
                                net::HttpClientPool *client,
                                const SoakProtocol &protocol,
                                Monitor *monitor) {
  TimePoint deadline = Clock::now() + options.m_wait;
  auto start =
      client->Start(options.m_entry, protocol.m_encode_request(request),
                    deadline, options.m_reuse);
  if (start.m_call == nullptr) return ExchangeOutcome::kNoConnection;
  base::Result<net::HttpResponse> answer = start.m_call->ReadHead(deadline);
  while (answer) {
    base::Result<bool> more = start.m_call->ReadSome(&answer->m_body, deadline);
    if (!more) answer = tl::unexpected(more.error());
    if (!more || !*more) break;
  }
  if (!answer) {
    bool is_connection_lost =
        answer.error().m_kind != base::ErrorKind::kTimeout;
    if (is_connection_lost) monitor->RecordLostConnection(request.m_id);
    return ExchangeOutcome::kNoAnswer;
  }
  monitor->RecordResponse(request.m_id, *answer,
                          protocol.m_get_signature(*answer),
                          protocol.m_get_refusal_reason(*answer));
  return answer->m_status == 200 ? ExchangeOutcome::kServed
                                 : ExchangeOutcome::kFailed;
}

Caller::Caller(CallerOptions options, const Addresses *addresses,
               const SoakProtocol *protocol, Monitor *monitor)
    : m_options(std::move(options)),
      m_addresses(addresses),
      m_protocol(protocol),
      m_monitor(monitor),
      m_random{m_options.m_seed} {}

void Caller::RefreshAddresses() {
  if (Clock::now() < m_refresh_at) return;
  net::HttpRequest query = m_protocol->m_encode_address_query(
      kRouteHost, m_options.m_region, m_options.m_domain);
  auto count = m_addresses->m_directory_endpoints.size();
  std::size_t first = NextRandomBelow(&m_random, count);
  for (std::size_t i = 0; i < count; ++i) {
    const net::Endpoint &host =
        m_addresses->m_directory_endpoints[(first + i) % count];
    auto answer = m_client.Fetch(host, query, Clock::now() + kAddressTimeout);
    if (!answer || answer->m_status != 200) {
      m_client.CloseIdle(host);
      continue;
    }
    std::vector<int> usable_entries;
    for (const std::string &address : m_protocol->m_decode_addresses(*answer)) {
      int number = FindEndpointNumber(m_addresses->m_caller_endpoints, address);
      if (number >= 0) usable_entries.push_back(number);
    }
    if (usable_entries.empty()) continue;
    m_usable_entries = std::move(usable_entries);
    m_refresh_at = Clock::now() + kAddressCacheTime;
    return;
  }
}

int Caller::ChooseEntry() {
  if (m_usable_entries.empty()) return -1;
  return m_usable_entries[NextRandomBelow(&m_random, m_usable_entries.size())];
}

CallerRequest Caller::MakeRandomRequest(RequestRecord *record) {
  const RequestKind &kind =
      kRequestKinds[NextRandomBelow(&m_random, kRequestKinds.size())];
  CallerRequest request;
  request.m_id = fmt::format("c{}-{}", m_options.m_number, ++m_sent);
  std::string model;
  std::vector<std::string> prompt_parts = {"a1", "b2", "c3", request.m_id};
  if (kind.m_needs_model) {
    // Squaring makes the first models more likely.
    double unit = NextRandomUnit(&m_random);
    auto number = static_cast<std::size_t>(
        unit * unit * static_cast<double>(m_options.m_models.size()));
    model = m_options.m_models[number];
    record->m_has_crashing_part =
        m_monitor->m_sends_crashing_prompts &&
        NextRandomBelow(&m_random, kPromptsPerCrashingPrompt) == 0;
    if (record->m_has_crashing_part) prompt_parts[1] = Monitor::kCrashingPart;
  }
  FillRequest(kind.m_path, "body of " + request.m_id, model,
              std::move(prompt_parts), &request, record);
  if (m_monitor->m_has_teams) AddKey(&request, record);
  return request;
}

/** Adds the lasting key, or that of one version, which may be revoked. */
void Caller::AddKey(CallerRequest *request, RequestRecord *record) {
  bool is_public = record->m_path == kPublicPath;
  bool is_passing =
      !is_public && NextRandomBelow(&m_random, kRequestsPerPassingKey) == 0;
  if (is_passing) {
    record->m_key_version =
        m_monitor->ChooseKeyVersion(base::NextRandom(&m_random));
  }
  request->m_key = Monitor::MakeKey(record->m_key_version);
  if (!is_public) record->m_team = Monitor::kTeam;
}

void Caller::Send() {
  RequestRecord record;
  CallerRequest request = MakeRandomRequest(&record);
  record.m_entry = ChooseEntry();
  if (record.m_entry < 0) return;
  record.m_sent_at = Clock::now();
  ExchangeOptions options;
  options.m_entry =
      m_addresses->m_caller_endpoints[static_cast<std::size_t>(record.m_entry)];
  bool is_new_connection =
      NextRandomBelow(&m_random, kRequestsPerNewConnection) == 0;
  if (is_new_connection) options.m_reuse = net::HttpClientPool::Reuse::kFresh;
  bool is_abandoned = NextRandomBelow(&m_random, kRequestsPerAbandonment) == 0;
  options.m_wait =
      is_abandoned ? request.m_caller_timeout / 20 : request.m_caller_timeout;
  m_monitor->RecordRequest(request.m_id, record);
  // Requests with the key of one version are refused once it is revoked.
  RequestCounts *counts =
      record.m_key_version == Monitor::kLastingKey ? m_request_counts : nullptr;
  if (counts != nullptr) ++counts->m_sent;
  switch (
      ExchangeRequest(options, request, &m_client, *m_protocol, m_monitor)) {
    case ExchangeOutcome::kNoConnection:
      ++m_monitor->m_counts["no_connection"];
      // Skip the failed address, and query the addresses again.
      std::erase(m_usable_entries, record.m_entry);
      m_refresh_at = TimePoint();
      return;
    case ExchangeOutcome::kNoAnswer:
      ++m_monitor->m_counts[is_abandoned ? "given_up" : "no_answer"];
      return;
    case ExchangeOutcome::kServed:
      if (counts != nullptr) ++counts->m_served;
      return;
    default:
      return;
  }
}

void Caller::Run(TimePoint end) {
  while (Clock::now() < end) {
    RefreshAddresses();
    Send();
    net::SleepFor(milliseconds(static_cast<int>(NextRandomExponential(
        &m_random, static_cast<double>(kMeanRequestPause.count())))));
  }
}

Operator::Operator(std::uint64_t seed, const Addresses *addresses,
                   const SoakProtocol *protocol, Monitor *monitor,
                   gen::RouteTable first)
    : m_addresses(addresses),
      m_protocol(protocol),
      m_monitor(monitor),
      m_random{seed},
      m_table(std::move(first)) {}

Operator::Reply Operator::Call(const net::HttpRequest &request) {
  const auto &hosts = m_addresses->m_control_endpoints;
  std::string address =
      hosts[NextRandomBelow(&m_random, hosts.size())].ToString();
  Reply reply;
  for (int hop = 0; hop <= kMaxRedirects; ++hop) {
    base::Result<net::Endpoint> host = net::ParseEndpoint(address);
    if (!host) return Reply();
    auto answer =
        m_client.Fetch(*host, request, Clock::now() + kOperatorCallTimeout);
    if (!answer) {
      m_client.CloseIdle(*host);
      return Reply();
    }
    reply = Reply{answer->m_status, answer->m_body};
    if (reply.m_status != 307) return reply;
    std::string location = answer->m_headers.Get("Location");
    std::size_t start = std::string("http://").size();
    if (location.size() <= start) return Reply();
    address = location.substr(start, location.find('/', start) - start);
  }
  return reply;
}

/** Routes /move/ to the service that the new version selects. */
std::string Operator::MakeNextDocument(bool keeps_route,
                                       std::uint64_t *version) {
  std::uint64_t step = keeps_route ? Monitor::kMovingServices
                                   : 1 + NextRandomBelow(&m_random, 3);
  m_table.set_version(m_table.version() + step);
  *version = m_table.version();
  for (gen::Route &route : *m_table.mutable_routes()) {
    if (route.path_prefix() != "/move/") continue;
    route.mutable_targets(0)->set_service(
        fmt::format("desk-{}", *version % Monitor::kMovingServices));
  }
  if (m_table.teams_size() != 0) {
    m_table.mutable_teams(0)->set_keys(1, Monitor::MakeKey(*version));
  }
  return m_protocol->m_encode_table(m_table);
}

bool Operator::PutNextTable(TimePoint deadline, bool keeps_route) {
  std::uint64_t version = 0;
  std::string document = MakeNextDocument(keeps_route, &version);
  m_monitor->RecordSentTable(version, document);
  while (Clock::now() < deadline) {
    Reply reply = Call(m_protocol->m_encode_put_table(document));
    if (reply.m_status == 200) {
      m_monitor->RecordAcknowledgedTable(version);
      return true;
    }
    if (reply.m_status >= 400 && reply.m_status < 500) {
      m_monitor->ReportViolation(
          "valid tables",
          fmt::format("valid table {} was refused with status {}", version,
                      reply.m_status));
      return false;
    }
    net::SleepFor(kOperatorRetryDelay);
  }
  return false;
}

void Operator::PutInvalidTable() {
  gen::RouteTable invalid = m_table;
  invalid.set_version(m_table.version() + 1'000'000);
  invalid.mutable_routes(0)->mutable_targets(0)->set_service("nobody");
  Reply reply =
      Call(m_protocol->m_encode_put_table(m_protocol->m_encode_table(invalid)));
  if (reply.m_status == 200) {
    m_monitor->ReportViolation("valid tables",
                               "an invalid table was acknowledged");
  }
}

bool Operator::ReadTable(TimePoint deadline) {
  while (Clock::now() < deadline) {
    std::uint64_t acknowledged_version = m_monitor->GetAcknowledgedVersion();
    Reply reply = Call(m_protocol->m_encode_get_table());
    if (reply.m_status == 200) {
      m_monitor->RecordReadTable(reply.m_body, acknowledged_version);
      return true;
    }
    net::SleepFor(kOperatorRetryDelay);
  }
  return false;
}

void AddSoakTeam(gen::RouteTable *table) {
  gen::Team *team = table->add_teams();
  team->set_name(Monitor::kTeam);
  team->add_keys(Monitor::MakeKey(Monitor::kLastingKey));
  team->add_keys("");  // that of the version
  for (gen::Route &route : *table->mutable_routes()) {
    if (route.path_prefix() == kPublicPath) route.set_is_public(true);
  }
}

gen::RouteTable MakeSoakTable(const std::vector<std::string> &models,
                              double model_mb, double runner_mb,
                              std::uint32_t adapter_slots,
                              std::uint32_t adapters, double loads_per_s) {
  gen::RouteTable table;
  for (std::uint64_t i = 0; i < Monitor::kMovingServices; ++i) {
    gen::RoutedService *desk = table.add_services();
    desk->set_name(fmt::format("desk-{}", i));
    desk->set_max_connections(200);
  }
  gen::RoutedService *service = table.add_services();
  service->set_name("engines");
  service->set_max_connections(200);
  gen::EngineCapacity *engine = service->mutable_engine();
  engine->set_slots(32);
  engine->set_kv_tokens(100'000);
  engine->set_weight_mb(runner_mb);
  engine->set_adapter_slots(adapter_slots);
  engine->set_loads_per_second(loads_per_s);
  for (const std::string &name : models) {
    gen::HostedModel *model = engine->add_models();
    model->set_name(name);
    model->set_weight_mb(model_mb);
    model->set_store_load_ms(1'200);
    model->set_disk_load_ms(250);
    model->set_memory_load_ms(200);
    model->set_adapters(adapters);
    model->set_adapter_mb(1);
  }
  *table.add_routes() =
      MakeRoute("/once/", gen::ROUTE_NON_IDEMPOTENT, "desk-0");
  *table.add_routes() = MakeRoute("/safe/", gen::ROUTE_IDEMPOTENT, "desk-0");
  *table.add_routes() = MakeRoute("/move/", gen::ROUTE_IDEMPOTENT, "desk-0");
  *table.add_routes() = MakeRoute("/flow/", gen::ROUTE_STREAM, "engines");
  table.mutable_routes(3)->set_is_resumable(true);
  *table.add_routes() = MakeRoute("/once-flow/", gen::ROUTE_STREAM, "engines");
  gen::CallerLimits *limits = table.mutable_limits();
  limits->set_header_bytes(16'384);
  limits->set_body_bytes(1 << 20);
  limits->set_header_timeout_ms(3'000);
  limits->set_idle_timeout_ms(15'000);
  return table;
}

}  // namespace wasabiwind::soak
