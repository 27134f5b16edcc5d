/** @file http.cpp Access to headers, and JSON responses. */

#include <boost/beast/core/string.hpp>

#include "net/http_type.h"

namespace wasabiwind::net {

const std::string *HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader &item : m_items) {
    if (boost::beast::iequals(
            item.m_name, boost::beast::string_view(name.data(), name.size()))) {
      return &item.m_value;
    }
  }
  return nullptr;
}

std::string HttpHeaders::Get(std::string_view name) const {
  const std::string *value = Find(name);
  return value == nullptr ? std::string() : *value;
}

void HttpHeaders::Add(std::string name, std::string value) {
  m_items.push_back(HttpHeader{std::move(name), std::move(value)});
}

std::string_view HttpRequest::Path() const {
  std::string_view target = m_target;
  return target.substr(0, target.find('?'));
}

HttpResponse MakeJsonResponse(int status, std::string body) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.Add("Content-Type", "application/json");
  response.m_body = std::move(body);
  return response;
}

}  // namespace wasabiwind::net
