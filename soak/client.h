/** @file client.h Callers and operators that the soak plays. */

#ifndef WASABIWIND_SOAK_CLIENT_H_
#define WASABIWIND_SOAK_CLIENT_H_

#include <string>
#include <vector>

#include "base/random_func.h"
#include "net/http_client.h"
#include "soak/monitor.h"
#include "soak/plan_type.h"

namespace wasabiwind::soak {

/** Where callers and operators find the programs. */
struct Addresses {
  std::vector<net::Endpoint> m_callers;      ///< of entry hosts, by number
  std::vector<net::Endpoint> m_directories;  ///< of entry hosts, by number
  std::vector<net::Endpoint> m_control;      ///< of control hosts, by number
};

/** Host name of all routes. */
inline constexpr const char *kRouteHost = "soak.example";

struct CallerOptions {
  int m_number = 0;
  std::uint64_t m_seed = 0;
  std::string m_region;
  std::string m_domain;
  std::vector<std::string> m_models;  ///< to ask for, most wanted first
};

/** How requests of a time ended, for the check after all faults. */
struct Tally {
  int m_sent = 0;
  int m_served = 0;
};

/**
 * One caller: asks which addresses to use, keeps the answer, and sends one
 * request after the other, mostly on connections that it keeps. Some requests
 * it gives up. Belongs to one fiber thread.
 */
class Caller {
 public:
  Caller(CallerOptions options, const Addresses *addresses,
         const SoakProtocol *protocol, Monitor *monitor);

  /** Sends requests until a time. @pre inside net::RunFiberThread */
  void Run(base::TimePoint end);

  Tally *m_tally = nullptr;  ///< counts requests, if set

 private:
  void RefreshAddresses();
  int ChooseEntry();
  CallerRequest DrawRequest(RequestRecord *record);
  void Send();

  CallerOptions m_options;
  const Addresses *m_addresses;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  base::Random m_random;
  net::HttpClientPool m_client;
  std::vector<int> m_usable;  ///< entry hosts of the last address answer
  base::TimePoint m_refresh_at;
  int m_sent = 0;
};

/** Puts tables in force and reads them back. Belongs to one fiber thread. */
class Operator {
 public:
  Operator(std::uint64_t seed, const Addresses *addresses,
           const SoakProtocol *protocol, Monitor *monitor,
           gen::RouteTable first);

  /** Puts a next version until it is acknowledged or a time has come. */
  bool Put(base::TimePoint deadline);

  /** Sends a document that isn't valid; it must be refused. */
  void PutInvalid();

  /** Reads the document in force at some host. @return whether one answered */
  bool Read(base::TimePoint deadline);

 private:
  struct Reply {
    int m_status = 0;  ///< 0: none
    std::string m_body;
  };
  Reply Call(const net::HttpRequest &request);
  std::string MakeNextDocument(std::uint64_t *version);

  const Addresses *m_addresses;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  base::Random m_random;
  net::HttpClientPool m_client;
  gen::RouteTable m_table;
};

/** @return the table of the soak: services, models and routes. */
gen::RouteTable MakeSoakTable(const std::vector<std::string> &models,
                              double model_mb, double weight_mb,
                              std::uint32_t adapter_slots,
                              std::uint32_t adapters, double loads_per_s);

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_CLIENT_H_
