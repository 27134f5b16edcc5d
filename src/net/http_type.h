/** @file http_type.h Requests, responses and headers of HTTP/1.1. */

#ifndef WASABIWIND_NET_HTTP_TYPE_H_
#define WASABIWIND_NET_HTTP_TYPE_H_

#include <string>
#include <string_view>
#include <vector>

namespace wasabiwind::net {

struct HttpHeader {
  std::string m_name;
  std::string m_value;
};

/** Header list in order of arrival; names are case-insensitive. */
struct HttpHeaders {
  std::vector<HttpHeader> m_items;

  /** @return the first value of this name, or nullptr. */
  const std::string *Find(std::string_view name) const;
  /** @return the first value of this name, or "". */
  std::string Get(std::string_view name) const;
  void Add(std::string name, std::string value);
};

struct HttpRequest {
  std::string m_method;  ///< upper case, such as "POST"
  std::string m_target;  ///< path with query
  HttpHeaders m_headers;
  std::string m_body;

  /** @return the target without its query. */
  std::string_view Path() const;
};

struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
};

/** @return whether HTTP allows a status in a response (RFC 9110, 15). */
constexpr bool IsValidStatus(int status) {
  return status >= 100 && status <= 599;
}

/** @return a response with a JSON body and its content type. */
HttpResponse MakeJsonResponse(int status, std::string body);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_HTTP_TYPE_H_
