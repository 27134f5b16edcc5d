/** @file repeating_callers.h Callers that send the same requests repeatedly. */

#ifndef WASABIWIND_SOAK_REPEATING_CALLERS_H_
#define WASABIWIND_SOAK_REPEATING_CALLERS_H_

#include <memory>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "soak/client.h"
#include "soak/link_proxy.h"

namespace wasabiwind::soak {

/** A request that comes again and again, each time with a new ID. */
struct RepeatedRequest {
  CallerRequest m_request;  ///< without ID
  RequestRecord m_record;   ///< without entry host and time
  /** Some runners crash under it, for other reasons. */
  bool m_meets_crashes = false;
};

/**
 * @param choice selects how many requests crash runners, one to three, and on
 *        which routes
 * @param models at least three
 * @return requests that crash each runner that begins to run them; sound ones
 *         that equal them but for the body, or but for the path; and sound ones
 *         that meet crashes
 */
std::vector<RepeatedRequest> MakeRepeatedRequests(
    std::uint32_t choice, const std::vector<std::string> &models);

struct RepeatingCallersOptions {
  std::vector<RepeatedRequest> m_requests;
  std::vector<std::string> m_ips;  ///< of the callers, on this machine
  std::uint64_t m_seed = 0;
};

/**
 * Send each request through all entry hosts from several IP addresses: to one
 * entry host, or to all at the same moment. Belong to one fiber thread.
 */
class RepeatingCallers {
 public:
  RepeatingCallers(RepeatingCallersOptions options, const Addresses *addresses,
                   const SoakProtocol *protocol, Monitor *monitor);

  /** @pre called once, before Run */
  base::Result<void> Listen();

  /**
   * Sends requests until `end`; returns when all have ended.
   * @pre inside net::RunFiberThread
   */
  void Run(base::TimePoint end);

 private:
  void Repeat(const RepeatedRequest &request, base::TimePoint end);
  /** @return whether any of the callers was served */
  bool SendRound(const RepeatedRequest &request);
  bool Send(const RepeatedRequest &request, std::size_t entry);

  RepeatingCallersOptions m_options;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  base::Random m_random;
  net::HttpClientPool m_client;
  std::size_t m_entries;
  /** From each IP address to each entry host, by address. */
  std::vector<net::Endpoint> m_endpoints;
  std::vector<std::unique_ptr<LinkProxy>> m_links;
  int m_sent = 0;
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_REPEATING_CALLERS_H_
