/** @file service_base.h Test double of a service. */

#ifndef WASABIWIND_STANDIN_SERVICE_BASE_H_
#define WASABIWIND_STANDIN_SERVICE_BASE_H_

#include <standin_settings.pb.h>

#include <boost/json/object.hpp>
#include <map>
#include <string>

#include "net/http_server.h"
#include "standin/record_base.h"

namespace wasabiwind::standin {

/** Fault to inject into requests. */
enum class ServiceFault : std::uint8_t {
  kNone,
  kFailBefore,    ///< status 500 without execution
  kFailAfter,     ///< execution, then status 500
  kCloseBefore,   ///< connection closed without execution
  kCloseAfter,    ///< execution, then connection closed
  kHangAfter,     ///< execution, long hang, then connection closed
  kExecuteTwice,  ///< two executions, then normal answer
  kEnd,
};

/** Executions of one idempotency key. */
struct KeyExecutions {
  int m_count = 0;
  std::string m_method;
  std::string m_path;
  std::int64_t m_first_us = 0;  ///< wall clock
};

/**
 * Service that executes each request after a delay and counts executions by
 * idempotency key. All methods run in fibers of one thread.
 */
class Service {
 public:
  Service(const gen::ServiceProgramSettings &settings, EventRecord *record);

  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);

  /** Handles a request below /standin/v1/. @return whether it was one */
  bool HandleStandin(const net::HttpRequest &request,
                     net::HttpExchange &exchange);

  /** @return the announcement without its "state". */
  boost::json::object MakeAnnouncement(const net::Endpoint &address);

  /** Ends injected hangs. */
  void BeginStop() { m_stopped = true; }

 private:
  ServiceFault ConsumeFault();
  int Execute(const net::HttpRequest &request, const std::string &key);
  void HandleFault(const net::HttpRequest &request,
                   net::HttpExchange &exchange);
  void HandleExecutions(net::HttpExchange &exchange);

  gen::ServiceProgramSettings m_settings;
  EventRecord *m_record;
  std::uint64_t m_incarnation;
  base::milliseconds m_delay;
  ServiceFault m_fault = ServiceFault::kNone;
  std::int64_t m_fault_count = 0;  ///< requests that m_fault still applies to
  std::map<std::string, KeyExecutions> m_keys;
  std::int64_t m_execution_count = 0;
  int m_running = 0;
  bool m_stopped = false;
};

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_SERVICE_BASE_H_
