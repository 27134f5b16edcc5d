/** @file client.h Simulated callers and operators of a soak. */

#ifndef WASABIWIND_SOAK_CLIENT_H_
#define WASABIWIND_SOAK_CLIENT_H_

#include <string>
#include <vector>

#include "base/random_func.h"
#include "net/http_client.h"
#include "soak/monitor.h"
#include "soak/plan_type.h"

namespace wasabiwind::soak {

/** Endpoints of the programs under test, by host number. */
struct Addresses {
  std::vector<net::Endpoint> m_caller_endpoints;     ///< of entry hosts
  std::vector<net::Endpoint> m_directory_endpoints;  ///< of entry hosts
  std::vector<net::Endpoint> m_control_endpoints;    ///< of control hosts
};

/** Host name of all routes. */
inline constexpr const char *kRouteHost = "soak.example";

/** Fills a request to a route, and what the monitor knows of it. The model and
 * the prompt are used only on routes that need a model. */
void FillRequest(const std::string &path, const std::string &body,
                 const std::string &model,
                 std::vector<std::string> prompt_parts, CallerRequest *request,
                 RequestRecord *record);

struct ExchangeOptions {
  net::Endpoint m_entry;
  base::milliseconds m_wait{0};  ///< for the whole answer
  net::HttpClientPool::Reuse m_reuse = net::HttpClientPool::Reuse::kPooled;
};

enum class ExchangeOutcome : std::uint8_t {
  kNoConnection,
  kNoAnswer,  ///< or an incomplete one
  kFailed,    ///< answered with another status than 200
  kServed,
  kEnd,
};

/**
 * Sends a request to an entry host and records what its caller sees.
 * @pre inside net::RunFiberThread; the monitor knows the request
 */
ExchangeOutcome ExchangeRequest(const ExchangeOptions &options,
                                const CallerRequest &request,
                                net::HttpClientPool *client,
                                const SoakProtocol &protocol, Monitor *monitor);

struct CallerOptions {
  int m_number = 0;
  std::uint64_t m_seed = 0;
  std::string m_region;
  std::string m_domain;
  std::vector<std::string> m_models;  ///< the most requested first
};

/** Requests sent and served in the check after all faults. */
struct RequestCounts {
  int m_sent = 0;
  int m_served = 0;
};

/**
 * A caller. Queries the addresses to use, caches them, and sends requests one
 * after the other, mostly on pooled connections. Abandons some requests early.
 * Belongs to one fiber thread.
 */
class Caller {
 public:
  Caller(CallerOptions options, const Addresses *addresses,
         const SoakProtocol *protocol, Monitor *monitor);

  /** Sends requests until `end`. @pre inside net::RunFiberThread */
  void Run(base::TimePoint end);

  RequestCounts *m_request_counts = nullptr;  ///< counts requests, if set

 private:
  void RefreshAddresses();
  int ChooseEntry();
  CallerRequest MakeRandomRequest(RequestRecord *record);
  void AddKey(CallerRequest *request, RequestRecord *record);
  void Send();

  CallerOptions m_options;
  const Addresses *m_addresses;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  base::Random m_random;
  net::HttpClientPool m_client;
  std::vector<int> m_usable_entries;  ///< from the last address query
  base::TimePoint m_refresh_at;
  int m_sent = 0;
};

/** Puts route tables and reads them back. Belongs to one fiber thread. */
class Operator {
 public:
  Operator(std::uint64_t seed, const Addresses *addresses,
           const SoakProtocol *protocol, Monitor *monitor,
           gen::RouteTable first);

  /**
   * Puts the next version, with retries until the deadline.
   * @return whether it was acknowledged
   */
  bool PutNextTable(base::TimePoint deadline, bool keeps_route = false);

  /** Sends an invalid table; it must be refused. */
  void PutInvalidTable();

  /** Reads the table in force. @return whether a control host answered */
  bool ReadTable(base::TimePoint deadline);

 private:
  struct Reply {
    int m_status = 0;  ///< 0: no answer
    std::string m_body;
  };
  Reply Call(const net::HttpRequest &request);
  std::string MakeNextDocument(bool keeps_route, std::uint64_t *version);

  const Addresses *m_addresses;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  base::Random m_random;
  net::HttpClientPool m_client;
  gen::RouteTable m_table;
};

/** Adds a team to a table and makes /move/ public. */
void AddSoakTeam(gen::RouteTable *table);

/** @return the first table of a soak, without a version. */
gen::RouteTable MakeSoakTable(const std::vector<std::string> &models,
                              double model_mb, double runner_mb,
                              std::uint32_t adapter_slots,
                              std::uint32_t adapters, double loads_per_s);

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_CLIENT_H_
