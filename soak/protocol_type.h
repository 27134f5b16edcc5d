/** @file protocol_type.h Message formats that a platform gives the soak. */

#ifndef WASABIWIND_SOAK_PROTOCOL_TYPE_H_
#define WASABIWIND_SOAK_PROTOCOL_TYPE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet_control/protocol_type.h"
#include "net/http_type.h"

namespace wasabiwind::soak {

/** A request as a caller sends it. */
struct CallerRequest {
  std::string m_id;
  std::string m_host;
  std::string m_path;
  std::string m_model;  ///< "MODEL" or "MODEL/ADAPTER"; "": none
  std::uint32_t m_prompt_tokens = 0;
  std::vector<std::string> m_prompt_parts;  ///< IDs; the last is its own
  std::uint32_t m_output_tokens = 0;
  std::string m_key;  ///< of a team; "": none
  base::milliseconds m_caller_timeout{0};
  std::string m_body;
};

/** A request as it reaches an upstream. */
struct ForwardedRequest {
  std::string m_id;
  std::string m_expected_upstream;  ///< "": any
  std::string m_model;
  std::string m_team;                            ///< "": none
  std::vector<std::string> m_prompt_parts;       ///< IDs
  std::optional<std::uint64_t> m_last_event_id;  ///< a stream resumes after it
};

/**
 * Encodes and decodes the messages of upstreams, callers and operators in the
 * platform's formats.
 */
struct SoakProtocol {
  // Upstreams.
  std::function<net::HttpRequest(const gen::UpstreamReport &)> m_encode_report;
  /** @return the address for later reports, or "" */
  std::function<std::string(const net::HttpResponse &)> m_decode_report_answer;
  /** @return nullopt if the request is no order */
  std::function<std::optional<fleet_control::RunnerOrder>(
      const net::HttpRequest &)>
      m_decode_order;
  std::function<net::HttpResponse(fleet::OrderOutcome)> m_encode_order_answer;
  std::function<bool(const net::HttpRequest &)> m_is_status_query;
  std::function<net::HttpResponse(const fleet_control::RunnerStatus &)>
      m_encode_status;
  std::function<ForwardedRequest(const net::HttpRequest &)> m_decode_forwarded;
  /** @return response headers of a request that ran. */
  std::function<net::HttpHeaders(const std::string &request_id,
                                 const std::string &signature)>
      m_make_answer_headers;
  /** @return the response to a request that didn't run. */
  std::function<net::HttpResponse(const std::string &request_id,
                                  const std::string &upstream,
                                  bool is_misdirected)>
      m_make_not_run_answer;
  /** Adds that the upstream is leaving. */
  std::function<void(net::HttpHeaders *)> m_add_leaving;
  /** Adds that the upstream wants no requests for a time. */
  std::function<void(base::milliseconds, net::HttpHeaders *)> m_add_pause;

  // Callers.
  std::function<net::HttpRequest(const CallerRequest &)> m_encode_request;
  /** @return the signature of the upstream that responded, or "" */
  std::function<std::string(const net::HttpResponse &)> m_get_signature;
  /** @return why an entry host refused a request, or "" */
  std::function<std::string(const net::HttpResponse &)> m_get_refusal_reason;
  std::function<net::HttpRequest(const std::string &host,
                                 const std::string &region,
                                 const std::string &domain)>
      m_encode_address_query;
  std::function<std::vector<std::string>(const net::HttpResponse &)>
      m_decode_addresses;

  // Operators.
  std::function<std::string(const gen::RouteTable &)> m_encode_table;
  std::function<net::HttpRequest(std::string document)> m_encode_put_table;
  std::function<net::HttpRequest()> m_encode_get_table;
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_PROTOCOL_TYPE_H_
