/** @file repeating_callers.cpp Callers that send the same requests repeatedly.
 */

#include "soak/repeating_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/fiber/fiber.hpp>

#include "net/fiber_scheduler.h"

namespace wasabiwind::soak {

namespace {

using base::Clock;
using base::milliseconds;
using base::TimePoint;

/** Of the first link of an IP address; the others follow. */
constexpr std::uint16_t kFirstLinkPort = 18'400;
constexpr milliseconds kMeanRoundPause{250};
/** Longer, so that sound requests are answered between two crashes. */
constexpr milliseconds kMeanCrashingRoundPause{1'000};
constexpr std::uint64_t kRoundsPerRoundToAll = 4;  ///< mean
/** When runners begin to crash under requests that meet crashes. */
constexpr milliseconds kFirstCrashDelay{1'500};
constexpr milliseconds kCrashInterval{3'000};
constexpr int kCrashesToMeet = 3;
constexpr std::uint32_t kMaxCrashingRequests = 3;

/** A route, and another one that takes the same requests. */
struct RepeatedPath {
  const char *m_path;
  const char *m_other_path;
};

constexpr std::array<RepeatedPath, 4> kRepeatedPaths = {{
    {"/flow/", "/once-flow/"},
    {"/once/", "/safe/"},
    {"/once-flow/", "/flow/"},
    {"/safe/", "/once/"},
}};

RepeatedRequest MakeRequest(const std::string &name, const std::string &path,
                            const std::string &body, const std::string &part,
                            const std::string &model) {
  RepeatedRequest repeated;
  repeated.m_record.m_repeated_as = name;
  FillRequest(path, body, model, {"a1", "b2", "c3", part}, &repeated.m_request,
              &repeated.m_record);
  return repeated;
}

}  // namespace

std::vector<RepeatedRequest> MakeRepeatedRequests(
    std::uint32_t choice, const std::vector<std::string> &models) {
  std::vector<RepeatedRequest> requests;
  std::uint32_t count = 1 + choice % kMaxCrashingRequests;
  std::uint32_t first = choice / kMaxCrashingRequests;
  for (std::uint32_t i = 0; i < count; ++i) {
    const RepeatedPath &paths =
        kRepeatedPaths[(first + i) % kRepeatedPaths.size()];
    const std::string &model = models[i % 2];
    std::string body = fmt::format("repeated body {}", i);
    std::string part = fmt::format("e{}", i);
    requests.push_back(MakeRequest(fmt::format("crashing-{}", i), paths.m_path,
                                   body, part, model));
    requests.back().m_record.m_crashes_runners = true;
    requests.push_back(MakeRequest(fmt::format("other-body-{}", i),
                                   paths.m_path, body + "!", part, model));
    requests.push_back(MakeRequest(fmt::format("other-path-{}", i),
                                   paths.m_other_path, body, part, model));
  }
  for (const char *path : {"/flow/", "/safe/"}) {
    requests.push_back(MakeRequest(fmt::format("sound-on-{}", path), path,
                                   "sound body", "e9", models[2]));
    requests.back().m_meets_crashes = true;
  }
  return requests;
}

RepeatingCallers::RepeatingCallers(RepeatingCallersOptions options,
                                   const Addresses *addresses,
                                   const SoakProtocol *protocol,
                                   Monitor *monitor)
    : m_options(std::move(options)),
      m_protocol(protocol),
      m_monitor(monitor),
      m_random{m_options.m_seed},
      m_entries(addresses->m_caller_endpoints.size()) {
  for (const std::string &ip : m_options.m_ips) {
    std::uint16_t port = kFirstLinkPort;
    for (const net::Endpoint &entry : addresses->m_caller_endpoints) {
      m_endpoints.push_back(net::Endpoint{ip, port++});
      m_links.push_back(
          std::make_unique<LinkProxy>(m_endpoints.back(), entry, ip));
    }
  }
}

base::Result<void> RepeatingCallers::Listen() {
  for (const auto &link : m_links) {
    if (base::Result<void> done = link->Listen(); !done) return done;
  }
  return {};
}

void RepeatingCallers::Run(TimePoint end) {
  std::vector<boost::fibers::fiber> link_fibers;
  for (const auto &link : m_links) {
    link_fibers.emplace_back([&link] { link->Serve(); });
  }
  std::vector<boost::fibers::fiber> request_fibers;
  for (const RepeatedRequest &request : m_options.m_requests) {
    request_fibers.emplace_back(
        [this, &request, end] { Repeat(request, end); });
  }
  for (boost::fibers::fiber &fiber : request_fibers) fiber.join();
  for (const auto &link : m_links) link->Stop();
  for (boost::fibers::fiber &fiber : link_fibers) fiber.join();
}

/** Between two crashes that a request meets, it is served at least once. */
void RepeatingCallers::Repeat(const RepeatedRequest &request, TimePoint end) {
  TimePoint next_crash_at = Clock::now() + kFirstCrashDelay;
  int crashes_left = request.m_meets_crashes ? kCrashesToMeet : 0;
  bool was_served = false;
  milliseconds mean_pause = request.m_record.m_crashes_runners
                                ? kMeanCrashingRoundPause
                                : kMeanRoundPause;
  while (Clock::now() < end) {
    if (SendRound(request)) was_served = true;
    if (crashes_left > 0 && was_served && Clock::now() >= next_crash_at) {
      m_monitor->ScheduleCrash(request.m_record.m_repeated_as);
      --crashes_left;
      was_served = false;
      next_crash_at = Clock::now() + kCrashInterval;
    }
    net::SleepFor(milliseconds(static_cast<int>(NextRandomExponential(
        &m_random, static_cast<double>(mean_pause.count())))));
  }
}

bool RepeatingCallers::SendRound(const RepeatedRequest &request) {
  bool is_to_all = NextRandomBelow(&m_random, kRoundsPerRoundToAll) == 0;
  if (!is_to_all) return Send(request, NextRandomBelow(&m_random, m_entries));
  bool is_served = false;
  std::vector<boost::fibers::fiber> fibers;
  for (std::size_t entry = 0; entry < m_entries; ++entry) {
    fibers.emplace_back([this, &request, &is_served, entry] {
      if (Send(request, entry)) is_served = true;
    });
  }
  for (boost::fibers::fiber &fiber : fibers) fiber.join();
  return is_served;
}

bool RepeatingCallers::Send(const RepeatedRequest &request, std::size_t entry) {
  CallerRequest caller_request = request.m_request;
  caller_request.m_id =
      fmt::format("{}-{}", request.m_record.m_repeated_as, ++m_sent);
  RequestRecord record = request.m_record;
  record.m_entry = static_cast<int>(entry);
  record.m_sent_at = Clock::now();
  m_monitor->RecordRequest(caller_request.m_id, record);
  std::size_t ip = NextRandomBelow(&m_random, m_options.m_ips.size());
  ExchangeOptions options;
  options.m_entry = m_endpoints[ip * m_entries + entry];
  options.m_wait = caller_request.m_caller_timeout;
  ExchangeOutcome outcome = ExchangeRequest(options, caller_request, &m_client,
                                            *m_protocol, m_monitor);
  return outcome == ExchangeOutcome::kServed;
}

}  // namespace wasabiwind::soak
