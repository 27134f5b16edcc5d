/** @file protocol_type.h Interface of a platform's protocol to control hosts.
 */

#ifndef WASABIWIND_FLEET_CONTROL_PROTOCOL_TYPE_H_
#define WASABIWIND_FLEET_CONTROL_PROTOCOL_TYPE_H_

#include <fleet.pb.h>
#include <routes.pb.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "base/error_type.h"
#include "fleet/residency_func.h"
#include "net/http_type.h"

namespace wasabiwind::fleet_control {

/** Longest body of what an upstream says of itself: a report, or its answer to
 * a status query. Other calls but those that put a table in force have the same
 * limit. */
inline constexpr std::size_t kMaxReportBytes = 256 * 1024;

/** An upstream reports its state or that it is leaving. */
struct ReportCall {
  gen::UpstreamReport m_report;
};

/** An operator puts a table in force; the document is the request body. */
struct PutTableCall {
  gen::RouteTable m_table;
};

/** An operator reads the document in force. */
struct GetTableCall {};

using ControlCall = std::variant<ReportCall, PutTableCall, GetTableCall>;

/** Order to a runner to load or unload one target. */
struct RunnerOrder {
  std::string m_upstream;  ///< runner that must carry it out
  bool m_is_load = true;
  std::string m_model;
  std::string m_adapter;  ///< "" for the model itself
  /** Orders that the runner must have accepted before this one. */
  std::uint64_t m_expected_order_count = 0;
  std::string m_holder;       ///< control host that sends the order
  std::uint64_t m_fence = 0;  ///< term of that host's leadership
};

/** State that a runner returns to a status query. */
struct RunnerStatus {
  std::uint64_t m_start_time_ms = 0;  ///< of the process, Unix time
  std::uint64_t m_accepted_order_count = 0;
  bool m_is_busy = false;
  std::vector<gen::ResidentModel> m_models;
  std::set<std::string> m_pending_adapters;  ///< targets MODEL/ADAPTER
};

/** Converts between internal types and a platform's messages. */
struct ControlProtocol {
  /** @return whether a call puts a table in force, judged by its head */
  std::function<bool(const net::HttpRequest &)> m_puts_table;
  /** @return kNotFound for unknown calls, kInvalidArgument for malformed ones
   */
  std::function<base::Result<ControlCall>(const net::HttpRequest &)>
      m_decode_call;
  /** @param next_address where the upstream should send its next reports */
  std::function<net::HttpResponse(const std::string &next_address)>
      m_encode_report_answer;
  std::function<net::HttpRequest(const RunnerOrder &)> m_encode_order;
  std::function<fleet::OrderOutcome(const net::HttpResponse &)>
      m_decode_order_answer;
  std::function<net::HttpRequest(const std::string &upstream)>
      m_encode_status_query;
  std::function<base::Result<RunnerStatus>(const net::HttpResponse &)>
      m_decode_status;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_PROTOCOL_TYPE_H_
