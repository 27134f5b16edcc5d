/** @file gateway.cpp Fleet view, timers and address queries of a gateway. */

#include "gateway/gateway.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <sstream>
#include <utility>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/random_func.h"
#include "base/text_func.h"
#include "fleet/message_endpoint_func.h"
#include "fleet/region_digest_func.h"
#include "gateway/gateway_internal.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::gateway {

namespace {

using base::LogEvent;
using base::LogLevel;

constexpr base::milliseconds kTimerPeriod{50};
constexpr base::milliseconds kUseReportPeriod{500};
/** Callers query again after this, so that they soon drop a host that stops. */
constexpr base::milliseconds kAddressTtl{1'000};
constexpr base::milliseconds kUpstreamConnectTimeout{600};
constexpr base::milliseconds kUpstreamUserTimeout{2'500};
constexpr base::milliseconds kUpstreamIdleTimeout{4'000};
constexpr std::size_t kMaxIdleConnectionsPerUpstream = 8;
/** Reserves budget for entry hosts that may start beside the known ones. */
constexpr std::size_t kSpareEntryHosts = 2;
/** Share of the allowed retries that entry hosts use. */
constexpr double kRetryBudgetShare = 0.8;

std::map<std::string, std::string> ParseDomains(const std::string &text) {
  std::map<std::string, std::string> regions;
  for (const std::string &item : base::SplitList(text)) {
    std::size_t equals = item.find('=');
    if (equals == std::string::npos) continue;
    regions[item.substr(0, equals)] = item.substr(equals + 1);
  }
  return regions;
}

std::uint64_t GetUnixTimeMs() {
  return static_cast<std::uint64_t>(
      base::ToMilliseconds(base::WallClock::now().time_since_epoch()));
}

}  // namespace

Gateway::Gateway(gen::FleetEntrySettings settings,
                 const GatewayProtocol *protocol, Sender sender)
    : m_settings(std::move(settings)),
      m_protocol(protocol),
      m_sender(std::move(sender)) {
  m_freshness.m_last_number = base::MakeSeed();
  m_last_charge = base::MakeSeed();
  m_self.set_name(m_settings.node().name());
  m_self.set_born_ms(GetUnixTimeMs());
  m_self.set_endpoint(m_settings.network().message_address());
  m_self.set_caller_address(m_settings.callers().listen());
  m_self.set_region(m_settings.node().region());
  m_self.set_domain(m_settings.node().domain());
  m_follower.m_mode = fleet::FollowMode::kNearest;
  m_follower.m_own_endpoint = m_self.endpoint();
  m_follower.m_own_name = m_self.name();
  m_follower.m_own_domain = m_self.domain();
  m_location.m_domain = m_self.domain();
  m_location.m_region = m_self.region();
  m_location.m_region_by_domain = ParseDomains(m_settings.network().domains());
  for (const auto &[domain, region] : m_location.m_region_by_domain) {
    if (region == m_location.m_region) m_follower.m_near_domains.insert(domain);
  }
  net::HttpClientOptions options;
  options.m_connect_timeout = kUpstreamConnectTimeout;
  options.m_user_timeout = kUpstreamUserTimeout;
  options.m_idle_timeout = kUpstreamIdleTimeout;
  options.m_max_idle_per_endpoint = kMaxIdleConnectionsPerUpstream;
  m_client = std::make_unique<net::HttpClientPool>(options);
  UpdateOwnReport();
  Reload(m_settings);
}

Gateway::~Gateway() = default;

void Gateway::Reload(const gen::FleetEntrySettings &settings) {
  m_follower.m_seeds.clear();
  for (const std::string &host :
       base::SplitList(settings.network().control_hosts())) {
    m_follower.m_seeds.insert(
        fleet::MakeMessageEndpoint(host, settings.network().message_port()));
  }
}

/** Updates the report of this host that requests to control hosts carry. */
void Gateway::UpdateOwnReport() {
  gen::EntryState state = gen::ENTRY_STARTING;
  if (m_routes != nullptr) state = gen::ENTRY_SERVING;
  if (m_is_leaving) state = gen::ENTRY_LEAVING;
  m_self.set_state(state);
  m_self.set_report_number(m_self.report_number() + 1);
  *m_follower.m_self.mutable_entry() = m_self;
}

bool Gateway::IsReady() const {
  return m_routes != nullptr && !m_is_leaving &&
         !m_follower.m_view.m_upstreams.empty();
}

void Gateway::SendAll(const std::vector<fleet::OutMessage> &messages) {
  for (const fleet::OutMessage &out : messages) {
    m_sender(out.m_to, out.m_message);
  }
}

void Gateway::LogPublisherChange() {
  const std::string &current = m_follower.m_choice.m_current;
  if (current == m_logged_publisher) return;
  LogEvent(LogLevel::kInfo, "publisher_chosen",
           {{"publisher", current}, {"before", m_logged_publisher}});
  m_logged_publisher = current;
}

void Gateway::AdoptRoutes(const std::string &publisher,
                          fleet::FactUpdateResult *result) {
  static prometheus::Histogram &outdated_times = base::GetLatencyHistogram(
      "ww_routes_outdated_seconds",
      "Time from learning of a newer route table to using it");
  bool is_first = m_routes == nullptr;
  m_routes = routes::MakeRouteIndex(std::move(*result->m_routes));
  outdated_times.Observe(
      std::chrono::duration<double>(result->m_outdated_time).count());
  fleet::HandleAdoptedTable(&m_freshness, m_routes->m_table.version());
  LogEvent(LogLevel::kInfo, "routes_in_force",
           {{"version", m_routes->m_table.version()},
            {"routes", m_routes->m_table.routes_size()},
            {"outdated_ms", base::ToMilliseconds(result->m_outdated_time)},
            {"requests", result->m_routes_request_count},
            {"publisher", publisher}});
  if (m_on_caller_limits) m_on_caller_limits(m_routes->m_table.limits());
  m_view_changed.notify_all();
  if (!is_first) return;
  m_routes_known_at = base::Clock::now();
  UpdateOwnReport();
  SendAll(fleet::AnnounceToFollowed(&m_follower, base::Clock::now()));
}

void Gateway::AdoptQuarantine(const gen::Quarantine &quarantine) {
  m_quarantined.clear();
  for (const gen::QuarantineItem &item : quarantine.items()) {
    if (!item.is_released()) {
      m_quarantined.insert(fleet::Suspect{item.kind(), item.key()});
    }
  }
  LogEvent(
      LogLevel::kWarn, "quarantine_in_force",
      {{"version", quarantine.version()}, {"items", m_quarantined.size()}});
  // An answer to a quarantined request is reported at once.
  m_is_use_report_urgent = true;
  CancelQuarantinedRequests();
  m_view_changed.notify_all();
}

/** @return the reason to refuse a request, or nullptr if neither it nor a part
 * of its prompt is quarantined */
const char *Gateway::FindQuarantine(const RequestScope &scope) const {
  if (m_quarantined.empty()) return nullptr;
  if (m_quarantined.contains(fleet::MakeRequestSuspect(scope.m_request_key))) {
    return kRequestQuarantineReason;
  }
  for (std::uint64_t part : scope.m_part_keys) {
    if (m_quarantined.contains(fleet::MakePartSuspect(part))) {
      return kPromptQuarantineReason;
    }
  }
  return nullptr;
}

/** Ends requests that would crash their runner as soon as it answers them. */
void Gateway::CancelQuarantinedRequests() {
  for (RequestScope *scope : m_active_requests) {
    const Attempt &attempt = scope->m_attempt;
    bool is_waiting_for_event =
        attempt.m_call != nullptr && attempt.m_event_count < kSoundEventCount;
    const char *reason = FindQuarantine(*scope);
    if (!is_waiting_for_event || reason == nullptr) continue;
    scope->m_cancel_reason = reason;
    attempt.m_call->Cancel();
  }
}

void Gateway::HandleMessage(const std::string &from,
                            const gen::FleetMessage &message) {
  if (message.has_freshness_answer()) {
    std::uint64_t version = m_routes ? m_routes->m_table.version() : 0;
    base::TimePoint now = base::Clock::now();
    const gen::FreshnessAnswer &answer = message.freshness_answer();
    if (fleet::HandleFreshnessAnswer(&m_freshness, answer, version, now)) {
      fleet::RecordAnnouncedRoutes(&m_follower, answer.routes_version(), now);
    }
    m_view_changed.notify_all();
    return;
  }
  if (message.has_quota_answer()) {
    HandleQuotaAnswer(from, message.quota_answer());
    return;
  }
  if (!message.has_news()) return;
  UpdateOwnReport();
  fleet::FactUpdateResult result = fleet::HandleFactUpdate(
      &m_follower, from, message.news(), base::Clock::now());
  if (result.m_routes) AdoptRoutes(from, &result);
  if (result.m_quarantine) AdoptQuarantine(*result.m_quarantine);
  for (const std::string &id : result.m_changed_upstreams) {
    const gen::UpstreamReport &report =
        m_follower.m_view.m_upstreams[id].m_report;
    LogEvent(LogLevel::kDebug, "upstream_changed",
             {{"upstream", id},
              {"born_ms", report.born_ms()},
              {"report", report.report_number()},
              {"state", gen::UpstreamState_Name(report.state())},
              {"publisher", from}});
  }
  RecordStarts(result.m_changed_upstreams, base::Clock::now());
  SendAll(result.m_messages);
  if (!result.m_changed_upstreams.empty()) m_view_changed.notify_all();
}

void Gateway::HandleDirectory(const net::HttpRequest &request,
                              net::HttpExchange &exchange) {
  base::TimePoint now = base::Clock::now();
  if (m_protocol->m_is_ready_query(request)) {
    net::HttpResponse response;
    response.m_status = IsReady() ? 200 : 503;
    (void)exchange.Respond(response);
    return;
  }
  std::optional<AddressQuery> query =
      m_protocol->m_decode_address_query(request);
  net::HttpResponse response;
  if (!query) {
    response.m_status = 404;
    (void)exchange.Respond(response);
    return;
  }
  AddressAnswer answer;
  answer.m_addresses =
      ListAddresses(m_follower.m_view, m_location, m_self, *query, now);
  answer.m_ttl = std::min(
      kAddressTtl, base::milliseconds(m_settings.bounds().address_ttl_ms()));
  if (answer.m_addresses.empty()) {
    response.m_status = 503;
  } else {
    response = m_protocol->m_encode_address_answer(answer);
  }
  (void)exchange.Respond(response);
}

route::Budget &Gateway::GetRetryBudget(const std::string &service) {
  auto [found, is_new] = m_retry_budgets.try_emplace(service);
  if (is_new)
    found->second.m_share =
        kRetryBudgetShare * m_settings.bounds().retry_ratio();
  return found->second;
}

/** Adds this host's share of the retries that are allowed beside the ratio. */
void Gateway::RefillRetryBudgets(base::TimePoint now) {
  double seconds =
      std::chrono::duration<double>(now - m_retry_budgets_refilled_at).count();
  bool is_first = m_retry_budgets_refilled_at == base::TimePoint();
  m_retry_budgets_refilled_at = now;
  // Hosts that were lost may return at any time, so the count never falls.
  m_most_entry_hosts =
      std::max(m_most_entry_hosts, fleet::CountEntryHosts(m_follower.m_view));
  // Until the number of hosts is known, this host takes no share.
  if (is_first || m_routes == nullptr || m_most_entry_hosts == 0) return;
  std::size_t hosts = m_most_entry_hosts + kSpareEntryHosts;
  double window = m_settings.bounds().retry_window_ms() / 1000.0;
  // Half of the share for a full budget, half for its refill in one window.
  double host_share = kRetryBudgetShare * m_settings.bounds().retry_slack() /
                      static_cast<double>(hosts) / 2;
  for (const gen::RoutedService &service : m_routes->m_table.services()) {
    route::Budget &budget = GetRetryBudget(service.name());
    budget.m_max_credit = std::max(1.0, host_share);
    budget.m_credit = std::min(budget.m_max_credit,
                               budget.m_credit + host_share * seconds / window);
  }
}

TargetCounts &Gateway::GetTargetCounts(const RequestScope &scope,
                                       bool wants_adapter) {
  return m_use_counts.m_targets[fleet::TargetKey{
      scope.m_service->name(), scope.m_metadata.m_model,
      wants_adapter ? scope.m_metadata.m_adapter : std::string()}];
}

void Gateway::SendUseReport(base::TimePoint now) {
  bool is_due =
      m_is_use_report_urgent || now >= m_use_report_sent_at + kUseReportPeriod;
  if (!is_due) return;
  gen::FleetMessage message;
  gen::UseReport *report = message.mutable_use();
  AddUpstreamsInUse(report, now);
  FillCrashEvidence(&m_crash_evidence, m_quarantined, report, now);
  bool is_empty =
      m_use_counts.m_targets.empty() && report->unreachable_size() == 0 &&
      report->lost_requests_size() == 0 && report->sound_parts_size() == 0 &&
      report->sound_requests_size() == 0;
  if (is_empty) return;
  m_is_use_report_urgent = false;
  m_use_report_sent_at = now;
  TakeUseReport(&m_use_counts, report);
  report->set_entry(m_self.name());
  report->set_born_ms(m_self.born_ms());
  // The followed control host passes the sum of its reports on.
  if (!m_follower.m_choice.m_current.empty()) {
    m_sender(m_follower.m_choice.m_current, message);
  }
}

/** Reports upstreams that run requests now and those that are unreachable. */
void Gateway::AddUpstreamsInUse(gen::UseReport *report, base::TimePoint now) {
  for (RequestScope *scope : m_active_requests) {
    bool runs_model =
        scope->m_attempt.m_call != nullptr && scope->m_is_model_declared;
    if (!runs_model) continue;
    bool has_adapter = !scope->m_metadata.m_adapter.empty();
    GetTargetCounts(*scope, has_adapter).m_upstreams.insert(scope->m_upstream);
  }
  for (const auto &[id, stats] : m_stats) {
    if (now < stats.m_down_until) report->add_unreachable(id);
  }
}

/** Drops the statistics of upstreams that left the fleet view. */
void Gateway::ForgetStats() {
  absl::erase_if(m_stats, [this](const auto &item) {
    return item.second.m_in_flight == 0 &&
           !m_follower.m_view.m_upstreams.contains(item.first);
  });
}

/** Cancels the requests of callers that have disconnected. */
void Gateway::CancelAbandonedRequests() {
  for (RequestScope *scope : m_active_requests) {
    if (scope->m_is_caller_gone || !scope->m_exchange->IsPeerGone()) continue;
    scope->m_is_caller_gone = true;
    if (scope->m_attempt.m_call != nullptr) scope->m_attempt.m_call->Cancel();
    m_view_changed.notify_all();
  }
}

/** Ends attempts that have no answer yet while the silent upstream, instead of
 * which they were made, answers again. */
void Gateway::ResumeAwakenedAttempts() {
  for (RequestScope *scope : m_active_requests) {
    const Attempt &attempt = scope->m_attempt;
    bool has_two_attempts = scope->m_silent_attempt &&
                            attempt.m_call != nullptr &&
                            !attempt.m_has_begun_answer;
    if (!has_two_attempts || !scope->m_silent_attempt->m_call->HasInput()) {
      continue;
    }
    scope->m_cancel_reason = kAnswersAgainReason;
    attempt.m_call->Cancel();
  }
}

void Gateway::RunTimers() {
  boost::fibers::fiber runner_checks([this] { RunRunnerChecks(); });
  while (!m_is_stopped) {
    base::TimePoint now = base::Clock::now();
    UpdateOwnReport();
    SendAll(fleet::TickFollower(&m_follower, now));
    LogPublisherChange();
    QueryFreshness(now);
    RefillRetryBudgets(now);
    ForgetStats();
    ForgetRunnerLoads(&m_runner_loads, now);
    SendUseReport(now);
    CancelAbandonedRequests();
    ResumeAwakenedAttempts();
    ConfirmLossesByView(now);
    ProbeUnreachable(now);
    net::SleepFor(kTimerPeriod);
  }
  runner_checks.join();
}

void Gateway::BeginLeaving() {
  m_is_leaving = true;
  UpdateOwnReport();
  SendAll(fleet::AnnounceToFollowed(&m_follower, base::Clock::now()));
}

void Gateway::BeginRefusing() {
  m_is_refusing = true;
  m_view_changed.notify_all();
}

void Gateway::EndActiveRequests() {
  m_is_ending_requests = true;
  for (RequestScope *scope : m_active_requests) {
    scope->m_cancel_reason = kStoppingReason;
    if (scope->m_attempt.m_call != nullptr) scope->m_attempt.m_call->Cancel();
  }
  m_view_changed.notify_all();
}

void Gateway::Stop() {
  m_is_stopped = true;
  m_runner_check_due.notify_all();
  m_view_changed.notify_all();
}

}  // namespace wasabiwind::gateway
