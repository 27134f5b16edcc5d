/** @file soak_run.cpp Runs one soak: programs, links, upstreams, callers. */

#include "soak/soak_run.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "scenario/runner_base.h"
#include "soak/plan_func.h"

namespace wasabiwind::soak {

namespace {

namespace fs = std::filesystem;
using base::Clock;
using base::LogEvent;
using base::LogLevel;
using base::milliseconds;
using base::TimePoint;

constexpr std::uint16_t kOperatorsPort = 18'144;
constexpr std::uint16_t kCallersPort = 18'149;
constexpr std::uint16_t kDirectoryPort = 18'150;
constexpr std::uint16_t kReadyPort = 18'151;
constexpr std::uint16_t kRunnerPort = 18'200;        ///< of its link
constexpr std::uint16_t kRunnerListenPort = 18'210;  ///< of its server
constexpr std::uint16_t kMessagePort = 18'380;       ///< of the link
constexpr std::uint16_t kAdminPort = 18'381;
constexpr std::uint16_t kMessageListenPort = 18'390;  ///< of the program
constexpr int kFirstEntryIp = 50;
constexpr int kFirstRunnerIp = 100;
constexpr int kDomains = 3;

constexpr double kModelMb = 90;
constexpr double kRunnerMb = 300;
constexpr std::uint32_t kAdapterSlots = 2;
constexpr std::uint32_t kAdapters = 3;
constexpr double kLoadsPerSecond = 3;
constexpr int kFirstModelsPerRunner = 3;
constexpr milliseconds kShutdownGrace{6'000};

constexpr milliseconds kStartLimit{15'000};
/** From the end of the plan to the start of the measurement. */
constexpr milliseconds kMeasurementDelay{7'000};
/** How long sent and served requests are counted. */
constexpr milliseconds kMeasurementTime{3'000};
constexpr double kMinServedShare = 0.9;
constexpr milliseconds kPutLimit{4'000};
constexpr milliseconds kReadLimit{200};
constexpr milliseconds kPollInterval{20};
/** After a longer stall, times that this process took aren't usable. */
constexpr milliseconds kMaxStall{200};

SoakBounds MakeBounds() {
  SoakBounds bounds;
  bounds.m_loads_per_s = kLoadsPerSecond;
  bounds.m_weight_mb = kRunnerMb;
  bounds.m_adapter_slots = kAdapterSlots;
  return bounds;
}

std::string GetDomain(int number) {
  return fmt::format("domain-{}", number % kDomains);
}

std::string GetRegion(int number) {
  return fmt::format("region-{}", number % kDomains);
}

}  // namespace

SoakRun::SoakRun(SoakOptions options, const SoakProtocol *protocol)
    : m_options(std::move(options)),
      m_protocol(protocol),
      m_monitor(MakeBounds(), m_options.m_entries) {
  for (int i = 0; i < m_options.m_models; ++i) {
    m_models.push_back(fmt::format("m{}", i));
  }
  MakeHosts();
  MakeRunners();
  gen::RouteTable table = MakeSoakTable(
      m_models, kModelMb, kRunnerMb, kAdapterSlots, kAdapters, kLoadsPerSecond);
  m_monitor.m_has_teams = m_options.m_plan.m_has_teams;
  if (m_monitor.m_has_teams) AddSoakTeam(&table);
  m_operator =
      std::make_unique<Operator>(m_options.m_plan.m_seed, &m_addresses,
                                 m_protocol, &m_monitor, std::move(table));
}

/** @return a loopback address that depends on the process ID, so that soaks
 * that run at the same time use different addresses. */
std::string SoakRun::MakeIp(int number) const {
  auto process_id = static_cast<std::uint32_t>(::getpid());
  return scenario::MakeLoopbackNetwork(process_id) + std::to_string(number);
}

void SoakRun::MakeHosts() {
  int total = m_options.m_entries + m_options.m_controls;
  for (int i = 0; i < total; ++i) {
    auto host = std::make_unique<Host>();
    host->m_is_entry = i >= m_options.m_controls;
    host->m_number = host->m_is_entry ? i - m_options.m_controls : i;
    host->m_ip = MakeIp(host->m_is_entry ? kFirstEntryIp + host->m_number
                                         : 1 + host->m_number);
    host->m_name = fmt::format("{}-{}", host->m_is_entry ? "entry" : "control",
                               host->m_number);
    host->m_link = std::make_unique<LinkProxy>(
        net::Endpoint{host->m_ip, kMessagePort},
        net::Endpoint{host->m_ip, kMessageListenPort});
    if (host->m_is_entry) {
      m_addresses.m_caller_endpoints.push_back({host->m_ip, kCallersPort});
      m_addresses.m_directory_endpoints.push_back({host->m_ip, kDirectoryPort});
      m_entries.push_back(std::move(host));
    } else {
      m_addresses.m_control_endpoints.push_back({host->m_ip, kOperatorsPort});
      m_controls.push_back(std::move(host));
    }
  }
}

void SoakRun::AddRunner(const std::string &service,
                        std::vector<std::string> first_models) {
  int number = static_cast<int>(m_runners.size());
  FakeRunnerOptions options;
  options.m_service = service;
  options.m_name = fmt::format("u{}", number);
  options.m_domain = GetDomain(number);
  std::string ip = MakeIp(kFirstRunnerIp + number);
  options.m_listen = {ip, kRunnerListenPort};
  options.m_reported_endpoint = {ip, kRunnerPort};
  options.m_control_endpoints = m_addresses.m_control_endpoints;
  options.m_model_mb = kModelMb;
  options.m_seed = m_options.m_plan.m_seed + static_cast<std::uint64_t>(number);
  options.m_first_models = std::move(first_models);
  m_runners.push_back(
      std::make_unique<FakeRunner>(std::move(options), m_protocol, &m_monitor));
}

void SoakRun::MakeRunners() {
  for (std::uint64_t i = 0; i < Monitor::kMovingServices; ++i) {
    AddRunner(fmt::format("desk-{}", i), {});
  }
  for (int i = 0; i < m_options.m_runners; ++i) {
    std::vector<std::string> first_models;
    for (int k = 0; k < kFirstModelsPerRunner; ++k) {
      int number = i * kFirstModelsPerRunner + k;
      first_models.push_back(
          m_models[static_cast<std::size_t>(number) % m_models.size()]);
    }
    AddRunner("engines", std::move(first_models));
  }
  for (int i = 1; i < m_options.m_plan.m_desk_runners; ++i) {
    AddRunner("desk-0", {});
  }
}

void SoakRun::WriteSettings(const Host &host, bool is_first_start) const {
  std::string hosts;
  for (std::size_t i = 0; i < m_controls.size(); ++i) {
    std::size_t number =
        (i + static_cast<std::size_t>(host.m_control_list_offset)) %
        m_controls.size();
    // A rotated list lacks one control host.
    if (host.m_control_list_offset != 0 && i + 1 == m_controls.size()) break;
    if (!hosts.empty()) hosts += ",";
    hosts += m_addresses.m_control_endpoints[number].ToString();
  }
  std::string domains;
  for (int i = 0; i < kDomains; ++i) {
    domains +=
        fmt::format("{}{}={}", i == 0 ? "" : ",", GetDomain(i), GetRegion(i));
  }
  fs::path folder = m_options.m_folder;
  fs::path path = folder / (host.m_name + ".ini");
  fs::path draft = folder / (host.m_name + ".draft");
  std::ofstream file(draft);
  file << "[node]\nname = " << host.m_name
       << "\nregion = " << GetRegion(host.m_number)
       << "\ndomain = " << GetDomain(host.m_number)
       << "\n[admin]\nlisten = " << host.m_ip << ":" << kAdminPort
       << "\n[network]\nmessage_address = " << host.m_ip << ":" << kMessagePort
       << "\nmessage_listen = " << host.m_ip << ":" << kMessageListenPort
       << "\nmessage_port = " << kMessagePort << "\ncontrol_hosts = " << hosts
       << "\ndomains = " << domains
       << "\n[bounds]\nheartbeat_ms = 1000ms\ngrace_ms = "
       << kShutdownGrace.count()
       << "ms\nretry_slack = " << m_options.m_plan.m_retry_slack << "\n";
  if (m_options.m_plan.m_has_teams) {
    file << "strict_revocation = true\nrevocation_ms = "
         << MakeBounds().m_revocation_time.count() << "ms\n";
  }
  if (host.m_is_entry) {
    file << "[callers]\nlisten = " << host.m_ip << ":" << kCallersPort
         << "\ndirectory = " << host.m_ip << ":" << kDirectoryPort
         << "\nready = " << host.m_ip << ":" << kReadyPort << "\n";
  } else {
    file << "[group]\nlisten = " << host.m_ip << ":" << kOperatorsPort
         << "\ndata_folder = " << (folder / (host.m_name + ".data")).string()
         << "\nis_first_start = " << (is_first_start ? "true" : "false")
         << "\n";
  }
  file.close();
  fs::rename(draft, path);
}

base::Result<void> SoakRun::Start(Host *host, bool is_first_start) {
  WriteSettings(*host, is_first_start);
  fs::path folder = m_options.m_folder;
  if (host->m_is_entry) m_monitor.RecordEntryStart(host->m_number);
  base::Result<void> started = host->m_process.Start(
      host->m_is_entry ? m_options.m_entry_program
                       : m_options.m_control_program,
      {"--config=" + (folder / (host->m_name + ".ini")).string()},
      folder / (host->m_name + ".log"));
  host->m_is_down = !started;
  return started;
}

SoakRun::Host *SoakRun::GetEntry(std::uint32_t target) {
  return m_entries[target % m_entries.size()].get();
}

SoakRun::Host *SoakRun::GetControl(std::uint32_t target) {
  return m_controls[target % m_controls.size()].get();
}

FakeRunner *SoakRun::GetRunner(std::uint32_t target) {
  return m_runners[target % m_runners.size()].get();
}

base::Result<void> SoakRun::Run() {
  for (auto *hosts : {&m_controls, &m_entries}) {
    for (const auto &host : *hosts) {
      if (auto done = host->m_link->Listen(); !done) return done;
    }
  }
  for (const auto &runner : m_runners) {
    if (auto done = runner->Listen(); !done) return done;
  }
  std::vector<boost::fibers::fiber> fibers;
  for (auto *hosts : {&m_controls, &m_entries}) {
    for (const auto &host : *hosts) {
      if (auto done = Start(host.get(), true); !done) return done;
      fibers.emplace_back([&host] { host->m_link->Serve(); });
    }
  }
  for (const auto &runner : m_runners) {
    fibers.emplace_back([&runner] { runner->Run(); });
  }
  fibers.emplace_back([this] { WatchProcesses(); });
  fibers.emplace_back([this] { WatchForOwnStalls(); });
  if (!m_operator->PutNextTable(Clock::now() + kStartLimit)) {
    m_monitor.ReportViolation("recovery", "the first table wasn't accepted");
  }
  TimePoint start = Clock::now();
  TimePoint end = start + m_options.m_plan.m_duration + kMeasurementDelay +
                  kMeasurementTime;
  std::vector<boost::fibers::fiber> caller_fibers;
  RequestCounts request_counts;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < m_options.m_callers; ++i) {
    CallerOptions options;
    options.m_number = i;
    options.m_seed =
        m_options.m_plan.m_seed * 1'000 + static_cast<std::uint64_t>(i);
    options.m_region = GetRegion(i);
    options.m_domain = GetDomain(i);
    options.m_models = m_models;
    callers.push_back(std::make_unique<Caller>(std::move(options), &m_addresses,
                                               m_protocol, &m_monitor));
    caller_fibers.emplace_back(
        [&callers, i, end] { callers[static_cast<std::size_t>(i)]->Run(end); });
  }
  boost::fibers::fiber changes([this, start] { RunChanges(start); });
  RunFaults(start);
  while (m_background_fibers > 0) net::SleepFor(kPollInterval);
  net::SleepFor(std::max<base::Duration>(
      base::Duration(0), end - kMeasurementTime - Clock::now()));
  for (const auto &caller : callers) caller->m_request_counts = &request_counts;
  for (boost::fibers::fiber &caller : caller_fibers) caller.join();
  changes.join();
  if (request_counts.m_served < kMinServedShare * request_counts.m_sent ||
      request_counts.m_sent == 0) {
    m_monitor.ReportViolation(
        "recovery",
        fmt::format("{} of {} requests were served after all "
                    "faults",
                    request_counts.m_served, request_counts.m_sent));
  }
  CheckRecovery();
  StopAll();
  for (boost::fibers::fiber &fiber : fibers) fiber.join();
  return {};
}

void SoakRun::CheckRecovery() {
  if (!m_operator->ReadTable(Clock::now() + kStartLimit)) {
    m_monitor.ReportViolation(
        "nothing lost", "no control host answered a read after all faults");
  }
  if (!m_operator->PutNextTable(Clock::now() + kStartLimit)) {
    m_monitor.ReportViolation("recovery",
                              "no table was accepted after all faults");
  }
}

void SoakRun::RunChanges(TimePoint start) {
  for (const PlannedChange &change : m_options.m_plan.m_changes) {
    TimePoint at = start + change.m_at;
    if (Clock::now() < at) net::SleepFor(at - Clock::now());
    if (change.m_is_invalid) {
      m_operator->PutInvalidTable();
      continue;
    }
    boost::fibers::fiber concurrent_put([this, &change] {
      if (change.m_is_concurrent)
        m_operator->PutNextTable(Clock::now() + kPutLimit);
    });
    m_operator->PutNextTable(Clock::now() + kPutLimit, change.m_keeps_route);
    concurrent_put.join();
    if (change.m_keeps_route) continue;
    m_operator->ReadTable(Clock::now() + kReadLimit);
  }
}

/** Reports and restarts programs that ended without a fault. */
void SoakRun::WatchProcesses() {
  while (!m_is_ending) {
    for (auto *hosts : {&m_controls, &m_entries}) {
      for (const auto &host : *hosts) {
        if (host->m_is_down || host->m_process.IsRunning()) continue;
        std::optional<scenario::ExitStatus> status = host->m_process.Poll();
        m_monitor.ReportViolation(
            "programs run on", host->m_name + " ended unexpectedly with " +
                                   (status ? status->ToString() : "no status"));
        if (auto done = Start(host.get(), false); !done) return;
      }
    }
    net::SleepFor(kPollInterval);
  }
}

/** Records a disturbance whenever this process itself didn't run in time. */
void SoakRun::WatchForOwnStalls() {
  while (!m_is_ending) {
    TimePoint before = Clock::now();
    net::SleepFor(kPollInterval);
    TimePoint now = Clock::now();
    if (now - before < kPollInterval + kMaxStall) continue;
    ++m_monitor.m_counts["own_stalls"];
    LogEvent(LogLevel::kWarn, "soak_stalled",
             {{"took_ms", base::ToMilliseconds(now - before)}});
    m_monitor.RecordEntryDisturbance(-1, now);
    m_monitor.RecordUpstreamDisturbance(now);
  }
}

void SoakRun::StopAll() {
  m_is_ending = true;
  for (auto *hosts : {&m_entries, &m_controls}) {
    for (const auto &host : *hosts) host->m_process.Signal(SIGTERM);
  }
  TimePoint limit = Clock::now() + kShutdownGrace + milliseconds(2'000);
  for (auto *hosts : {&m_entries, &m_controls}) {
    for (const auto &host : *hosts) {
      while (host->m_process.IsRunning() && Clock::now() < limit) {
        net::SleepFor(kPollInterval);
      }
      std::optional<scenario::ExitStatus> status = host->m_process.Poll();
      if (!status || status->m_code != 0 || status->m_signal != 0) {
        m_monitor.ReportViolation(
            "planned stops",
            host->m_name + " didn't stop in time and without error: " +
                (status ? status->ToString() : "still running"));
      }
      host->m_link->Stop();
    }
  }
  for (const auto &runner : m_runners) runner->Stop();
}

}  // namespace wasabiwind::soak
