/** @file platform_decoders_fuzz.cpp Fuzzes the decoders of what other processes
 * write on the platform, and the path of a report to the followers. */

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <array>
#include <cmath>
#include <cstdlib>
#include <string>

#include "fleet/fact_log_func.h"
#include "fleet/follower_func.h"
#include "fuzz/mutate_func.h"
#include "net/endpoint_type.h"
#include "platform/control_protocol_func.h"
#include "platform/table_codec_func.h"
#include "quota/credit_holder_func.h"
#include "quota/team_bucket_func.h"
#include "routes/table_func.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the inputs");
ABSL_FLAG(int, count, 20000, "inputs for each decoder");

namespace wasabiwind::platform {
namespace {

using base::Random;
using fuzz::MakeInput;

constexpr const char *kPublisher = "10.0.0.1:7000";
/** A larger name or number would be published to all hosts. */
constexpr std::size_t kMaxFactBytes = 64 * 1024;

constexpr std::array<const char *, 4> kReports = {
    R"({"service":"s1","addr":"10.0.0.9:80","zone":"z","state":"ready",)"
    R"("slots":64,"coldLeftMs":0,"born":1700000000123,"seq":4})",
    R"({"service":"s1","addr":"10.0.0.9:65535","zone":"z","state":"draining",)"
    R"("remainingMs":1e3,"born":9007199254740992,"seq":0})",
    R"({"service":"s","addr":"[::1]:1","zone":"z","state":"ready","models":)"
    R"([{"name":"m","version":2,"adapters":["a1","a2"]}],"seq":1.0})",
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready",)"
    R"("available":{"inMemory":["m"],"onDisk":["m","n"]},"seq":1e300})"};

constexpr std::array<const char *, 3> kPaths = {
    "/wasabiwind/Instances.Beat/i-1", "/wasabiwind/Instances.Leave/i-1",
    "/wasabiwind/Config.Put"};

constexpr std::array<const char *, 2> kTables = {
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
    R"("kind":"stream","timeoutMs":13000,"service":"s","maxAttempts":2}],)"
    R"("services":[{"name":"s","maxConns":360,"engine":{"slots":64,)"
    R"("kvTokens":232000,"weightsMb":2e5,"adapterSlots":8,"loadsPerS":3.1,)"
    R"("models":[{"name":"m","weightsMb":65099.99,"loadS":6.0}]}}]})",
    R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
    R"("kind":"unsafe","timeoutMs":1,"split":[{"service":"s","weight":9}]}],)"
    R"("services":[{"name":"s"}],"limits":{"headerBytes":16384}})"};

[[noreturn]] void Fail(const char *violation, const std::string &input) {
  fmt::print(stderr, "seed {}: {}; input: {}\n", absl::GetFlag(FLAGS_seed),
             violation, input);
  std::abort();
}

/** A follower must be able to read and merge what is published. */
void CheckPublished(const gen::UpstreamReport &report,
                    const std::string &input) {
  fleet::FactLog log;
  log.m_epoch = 1;
  gen::Fact fact;
  *fact.mutable_upstream() = report;
  if (!fleet::PutFact(&log, fact))
    Fail("an accepted report is unreadable", input);
  gen::FactUpdate update;
  fleet::FillFactUpdate(log, 1, 0, fleet::Audience(), &update);
  std::string bytes = update.SerializeAsString();
  if (bytes.size() > kMaxFactBytes) Fail("a report has no bound", input);
  gen::FactUpdate received;
  if (!received.ParseFromString(bytes)) Fail("an update is unreadable", input);
  fleet::Follower follower;
  fleet::HandleFactUpdate(&follower, kPublisher, received, base::TimePoint());
  if (!follower.m_view.m_upstreams.contains(report.id())) {
    Fail("a report was lost", input);
  }
}

bool CheckReport(const std::string &path, const std::string &body) {
  static const fleet_control::ControlProtocol kProtocol = MakeControlProtocol();
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = path;
  request.m_body = body;
  auto call = kProtocol.m_decode_call(request);
  if (!call) {
    if (call.error().m_remedy.empty()) Fail("the error has no remedy", body);
    return false;
  }
  const auto *report = std::get_if<fleet_control::ReportCall>(&*call);
  if (report == nullptr) return true;
  bool is_gone = report->m_report.state() == gen::UPSTREAM_GONE;
  auto endpoint = net::ParseEndpoint(report->m_report.address());
  if (!is_gone && (!endpoint || endpoint->m_port == 0)) {
    Fail("an address that can't be used was accepted", body);
  }
  CheckPublished(report->m_report, body);
  return true;
}

/** A table that is accepted must be usable for the choice of a service. */
bool CheckTable(const std::string &document) {
  base::Result<gen::RouteTable> table = DecodeTable(document);
  if (!table) {
    if (table.error().m_remedy.empty()) {
      Fail("the error has no remedy", document);
    }
    return false;
  }
  if (!routes::CheckRouteTable(*table)) return false;
  gen::RouteTable stored;
  if (!stored.ParseFromString(table->SerializeAsString())) {
    Fail("an accepted table can't be read back", document);
  }
  for (const gen::Route &route : table->routes()) {
    (void)routes::ChooseService(route, 12345);
  }
  return true;
}

/** Bytes that were damaged on the way must be refused or merged, nothing else.
 */
void CheckUpdate(Random *random) {
  gen::FactUpdate update;
  update.set_publisher_epoch(1);
  update.set_last_number(3);
  update.add_facts()->mutable_upstream()->set_id("i-1");
  update.add_facts()->mutable_entry()->set_name("e-1");
  update.add_facts()->mutable_region()->set_region("r");
  update.mutable_routes()->set_version(2);
  std::string bytes = update.SerializeAsString();
  fuzz::Mutate(random, &bytes);
  gen::FactUpdate received;
  if (!received.ParseFromString(bytes)) return;
  fleet::Follower follower;
  follower.m_mode = fleet::FollowMode::kNearest;
  follower.m_seeds = {kPublisher};
  fleet::HandleFactUpdate(&follower, kPublisher, received, base::TimePoint());
  fleet::TickFollower(&follower, base::TimePoint() + base::milliseconds(600));
}

/** Control host and leader in one, with a team of each unit. */
struct QuotaHosts {
  QuotaHosts() {
    for (const char *name : {"a", "b"}) {
      gen::Team *team = m_table.add_teams();
      team->set_name(name);
      team->set_unit(gen::QUOTA_TOKENS);
      team->set_rate_per_second(29'000);
      team->set_burst(1'000);
    }
    for (const gen::Team &team : m_table.teams()) m_teams[team.name()] = &team;
    m_settings.m_slack = 110'000;
    quota::SetQuotas(&m_buckets, m_table, m_settings, m_now);
  }

  gen::RouteTable m_table;
  std::map<std::string, const gen::Team *> m_teams;
  quota::QuotaSettings m_settings;
  quota::CreditHolder m_holder;
  quota::TeamBuckets m_buckets;
  base::TimePoint m_now{base::seconds(100)};
};

gen::FleetMessage MakeQuotaMessage(Random *random, const QuotaHosts &hosts) {
  gen::FleetMessage message;
  const char *team = NextRandomBelow(random, 2) == 0 ? "a" : "b";
  auto cost = static_cast<double>(NextRandomBelow(random, 10'000));
  std::uint64_t number = NextRandomBelow(random, 1'000);
  auto fill = [team, cost](gen::TeamCredit *credit) {
    credit->set_team(team);
    credit->set_amount(cost);
  };
  switch (NextRandomBelow(random, 5)) {
    case 0: {
      gen::QuotaQuery *query = message.mutable_quota_query();
      query->set_number(number);
      query->set_team(team);
      query->set_cost(cost);
      query->set_wait_ms(500);
      query->set_is_repeat(number % 5 == 0);
      break;
    }
    case 1:
      message.mutable_quota_answer()->set_number(number);
      message.mutable_quota_answer()->set_outcome(gen::QUOTA_CHARGED);
      break;
    case 2:
      message.mutable_quota_refund()->set_team(team);
      message.mutable_quota_refund()->set_cost(cost);
      break;
    case 3:
      message.mutable_credit_request()->set_number(number);
      fill(message.mutable_credit_request()->add_wanted());
      fill(message.mutable_credit_request()->add_returned());
      fill(message.mutable_credit_request()->add_repeats());
      break;
    default: {
      gen::CreditGrant *grant = message.mutable_credit_grant();
      grant->set_number(hosts.m_holder.m_last_number);
      for (std::uint64_t i = 0; i < 4; ++i) fill(grant->add_granted());
    }
  }
  return message;
}

void HandleQuotaMessage(QuotaHosts *hosts, const gen::FleetMessage &message) {
  quota::CreditHolder *holder = &hosts->m_holder;
  const gen::QuotaQuery &query = message.quota_query();
  auto team = hosts->m_teams.find(
      message.has_quota_query() ? query.team() : message.quota_refund().team());
  const gen::Team *known =
      team == hosts->m_teams.end() ? nullptr : team->second;
  if (message.has_quota_query()) {
    quota::HandleQuotaQuery(holder, "e1", query, known, true, hosts->m_now);
  }
  if (message.has_quota_refund()) {
    quota::HandleQuotaRefund(holder, message.quota_refund(), known,
                             hosts->m_settings);
  }
  for (const gen::TeamCredit &credit : message.credit_request().returned()) {
    quota::ReturnCredit(&hosts->m_buckets, credit.team(), credit.amount(),
                        hosts->m_now);
  }
  for (const gen::TeamCredit &credit : message.credit_request().repeats()) {
    quota::ChargeRepeat(&hosts->m_buckets, credit.team(), credit.amount(),
                        hosts->m_now);
  }
  for (const gen::TeamCredit &credit : message.credit_request().wanted()) {
    quota::GrantCredit(&hosts->m_buckets, credit.team(), credit.amount(),
                       !credit.is_ahead(), hosts->m_now);
  }
  quota::HandleCreditGrant(holder, message.credit_grant(), hosts->m_teams,
                           hosts->m_settings, hosts->m_now);
}

/** Damaged messages mustn't spoil sums, create credit or fill the memory. */
void CheckQuotaState(const QuotaHosts &hosts, const std::string &input) {
  std::size_t waiting = 0;
  for (const auto &[name, state] : hosts.m_holder.m_teams) {
    if (!hosts.m_teams.contains(name)) Fail("an unknown team is kept", input);
    waiting += state.m_waiting.size();
    bool is_sound = std::isfinite(state.m_demand_per_s) &&
                    quota::IsValidAmount(state.m_returned) &&
                    quota::IsValidAmount(state.m_repeats);
    for (const quota::CreditLot &lot : state.m_lots) {
      is_sound = is_sound && quota::IsValidAmount(lot.m_amount);
    }
    if (!is_sound) Fail("credit of a team is spoilt", input);
    if (state.m_lots.size() > quota::kMaxCreditLots) {
      Fail("lots have no bound", input);
    }
  }
  if (waiting != hosts.m_holder.m_waiting_count) Fail("waits differ", input);
  if (waiting > quota::kMaxWaitingQueries) Fail("waits have no bound", input);
  for (const auto &[name, bucket] : hosts.m_buckets.m_teams) {
    bool is_sound =
        std::isfinite(bucket.m_level) && bucket.m_level <= bucket.m_burst;
    if (!is_sound) Fail("a bucket is spoilt", input);
  }
}

/** @return whether the message could be parsed */
bool CheckQuotaMessage(Random *random, QuotaHosts *hosts) {
  std::string bytes = MakeQuotaMessage(random, *hosts).SerializeAsString();
  fuzz::Mutate(random, &bytes);
  hosts->m_now += base::milliseconds(NextRandomBelow(random, 40));
  quota::ExpireCredit(&hosts->m_holder, hosts->m_now);
  quota::MakeCreditRequest(&hosts->m_holder, hosts->m_teams, hosts->m_settings,
                           hosts->m_now);
  gen::FleetMessage received;
  if (!received.ParseFromString(bytes)) return false;
  HandleQuotaMessage(hosts, received);
  CheckQuotaState(*hosts, bytes);
  return true;
}

int Run() {
  Random random{absl::GetFlag(FLAGS_seed)};
  int count = absl::GetFlag(FLAGS_count);
  int accepted = 0;
  int quota_messages = 0;
  QuotaHosts hosts;
  for (int i = 0; i < count; ++i) {
    std::string path = i % 4 == 0 ? MakeInput(&random, kPaths) : kPaths[i % 2];
    accepted += CheckReport(path, MakeInput(&random, kReports)) ? 1 : 0;
    accepted += CheckTable(MakeInput(&random, kTables)) ? 1 : 0;
    CheckUpdate(&random);
    quota_messages += CheckQuotaMessage(&random, &hosts) ? 1 : 0;
  }
  fmt::print("{} inputs, {} accepted; {} quota messages, {} parsed\n",
             2 * count, accepted, count, quota_messages);
  // Inputs that are all refused test nothing but the refusal.
  return accepted * 20 < count || quota_messages * 20 < count ? 1 : 0;
}

}  // namespace
}  // namespace wasabiwind::platform

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  return wasabiwind::platform::Run();
}
