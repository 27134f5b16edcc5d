/** @file protocol_type.h Interface between entry hosts and a platform's HTTP
 * API. */

#ifndef WASABIWIND_GATEWAY_PROTOCOL_TYPE_H_
#define WASABIWIND_GATEWAY_PROTOCOL_TYPE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "net/http_type.h"

namespace wasabiwind::gateway {

/** Part of a prompt. Prompts that begin with the same parts share a prefix. */
struct PromptPart {
  std::string m_id;
  std::uint32_t m_tokens = 0;
};

/** Headers of a caller's request, decoded. */
struct RequestMetadata {
  std::string m_id;
  std::string m_host;
  std::string m_caller;   ///< its credential, or its team once that is known
  std::string m_key;      ///< of its team, from the credential; never logged
  std::string m_model;    ///< "" if it needs none
  std::string m_adapter;  ///< "" if it needs none
  std::uint32_t m_prompt_tokens = 0;
  /** Maximum number of tokens in the answer; nullopt if it doesn't say. */
  std::optional<std::uint32_t> m_output_tokens;

  std::vector<PromptPart> m_parts;  ///< of the prompt, in order
  /** How long the caller waits; nullopt if it doesn't say. */
  std::optional<base::milliseconds> m_caller_timeout;
  std::string m_last_event_id;  ///< last event that the caller has, or ""
};

/** Header values that are added to a request on its way to an upstream. */
struct ForwardMetadata {
  base::milliseconds m_remaining{0};       ///< until the deadline
  std::string m_upstream;                  ///< no other one may run it
  std::optional<std::uint32_t> m_urgency;  ///< runners serve 0 first
  std::string m_last_event_id;      ///< resume a stream after this event, or ""
  bool m_drops_credential = false;  ///< teams are declared: keys stay here
  std::string m_team;               ///< of the caller, or ""
};

/** Whether a response names the request that it answers. */
enum class RequestIdEcho : std::uint8_t {
  kMissing,   ///< it names none
  kMatching,  ///< the request that was sent
  kOther,     ///< another request
  kEnd,
};

/** Status and headers of an upstream's response, decoded. */
struct ResponseMetadata {
  bool m_is_not_run = false;      ///< the request certainly didn't run
  bool m_is_misdirected = false;  ///< the address belongs to another upstream,
                                  ///< or the model isn't loaded there
  bool m_is_from_other_upstream =
      false;  ///< it names itself as another upstream
  RequestIdEcho m_request_id = RequestIdEcho::kMissing;
  bool m_is_signed = false;             ///< has the upstream's signature header
  bool m_has_content_encoding = false;  ///< the body was encoded on the way
  bool m_is_leaving = false;            ///< the upstream will stop soon
  /** For how long a refusing upstream wants no requests of this host. */
  std::optional<base::milliseconds> m_pause;
};

/** Error response that this host makes itself. */
struct RefusalDetails {
  int m_status = 503;
  std::string m_request_id;
  std::string m_reason;   ///< snake_case
  std::string m_message;  ///< human-readable, with the remedy
  /** For header Retry-After; nullopt to omit it. */
  std::optional<base::milliseconds> m_retry_after;
};

/** Query for addresses of entry hosts, from a caller at this place. */
struct AddressQuery {
  std::string m_region;
  std::string m_domain;
};

struct AddressAnswer {
  std::vector<std::string> m_addresses;  ///< "ip:port"
  base::milliseconds m_ttl{0};
};

/** Conversions between the types of entry hosts and a platform's messages. */
struct GatewayProtocol {
  std::function<RequestMetadata(const net::HttpRequest &)> m_decode_request;
  /** @return all headers of the request to the upstream. */
  std::function<net::HttpHeaders(const net::HttpRequest &,
                                 const ForwardMetadata &)>
      m_make_upstream_headers;
  std::function<ResponseMetadata(const net::HttpResponse &head,
                                 const RequestMetadata &request,
                                 const std::string &upstream)>
      m_decode_response;
  /** @return headers without those that concern one connection only. */
  std::function<net::HttpHeaders(const net::HttpHeaders &)>
      m_strip_connection_headers;
  std::function<net::HttpResponse(const RefusalDetails &)> m_make_refusal;
  /** @return nullopt if the request isn't an address query */
  std::function<std::optional<AddressQuery>(const net::HttpRequest &)>
      m_decode_address_query;
  std::function<net::HttpResponse(const AddressAnswer &)>
      m_encode_address_answer;
  std::function<bool(const net::HttpRequest &)> m_is_ready_query;
};

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_PROTOCOL_TYPE_H_
