/** @file protocol_type.h What a platform adapter translates for entry hosts. */

#ifndef WASABIWIND_GATEWAY_PROTOCOL_TYPE_H_
#define WASABIWIND_GATEWAY_PROTOCOL_TYPE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "net/http_type.h"

namespace wasabiwind::gateway {

/** Part of a prompt that several requests may share. */
struct PromptPart {
  std::string m_id;
  std::uint32_t m_tokens = 0;
};

/** What a request says of itself. */
struct RequestMetadata {
  std::string m_id;
  std::string m_host;
  std::string m_model;    ///< "" if it needs none
  std::string m_adapter;  ///< "" if it needs none
  std::uint32_t m_prompt_tokens = 0;

  std::vector<PromptPart> m_parts;  ///< of the prompt, in order
  /** Time that the caller will wait; nullopt if it doesn't say. */
  std::optional<base::milliseconds> m_caller_timeout;
  std::string m_last_event_id;  ///< event after which a stream goes on, or ""
};

/** What the system adds to a request that it sends on. */
struct ForwardMetadata {
  base::milliseconds m_remaining{0};       ///< time that is left
  std::string m_upstream;                  ///< the only one that may run it
  std::optional<std::uint32_t> m_urgency;  ///< at a runner; 0 comes first
  std::string m_last_event_id;  ///< event after which a stream goes on, or ""
};

/** What the head of an upstream's answer says. */
struct ResponseMetadata {
  bool m_is_not_run = false;      ///< the request surely didn't run
  bool m_is_misdirected = false;  ///< another upstream has the address, or the
                                  ///< model isn't there
  bool m_is_from_other_upstream =
      false;                     ///< the address surely has another owner
  bool m_is_for_request = true;  ///< belongs to this request, as far as it says
  bool m_is_signed = false;      ///< carries the upstream's signature
  bool m_has_content_encoding = false;  ///< the body isn't the upstream's own
};

/** Why this host answers a request itself. */
struct RefusalDetails {
  int m_status = 503;
  std::string m_request_id;
  std::string m_reason;   ///< snake_case
  std::string m_message;  ///< for people, with the remedy
  /** When the caller may come back; nullopt to say nothing. */
  std::optional<base::milliseconds> m_retry_after;
};

/** A caller asks which addresses to use. */
struct AddressQuery {
  std::string m_region;
  std::string m_domain;
};

struct AddressAnswer {
  std::vector<std::string> m_addresses;  ///< "ip:port"
  base::milliseconds m_ttl{0};
};

/** Translations between the product's types and a platform's messages. */
struct GatewayProtocol {
  std::function<RequestMetadata(const net::HttpRequest &)> m_decode_request;
  /** @return all headers of the request that is sent on. */
  std::function<net::HttpHeaders(const net::HttpRequest &,
                                 const ForwardMetadata &)>
      m_make_upstream_headers;
  std::function<ResponseMetadata(const net::HttpResponse &head,
                                 const RequestMetadata &request,
                                 const std::string &upstream)>
      m_decode_response;
  /** @return an upstream's headers without those of its connection. */
  std::function<net::HttpHeaders(const net::HttpHeaders &)>
      m_strip_connection_headers;
  std::function<net::HttpResponse(const RefusalDetails &)> m_make_refusal;
  /** @return nullopt for other calls */
  std::function<std::optional<AddressQuery>(const net::HttpRequest &)>
      m_decode_address_query;
  std::function<net::HttpResponse(const AddressAnswer &)>
      m_encode_address_answer;
  std::function<bool(const net::HttpRequest &)> m_is_ready_query;
};

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_PROTOCOL_TYPE_H_
