/** @file error.cpp Names of error kinds and formatting of errors. */

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cassert>

#include "base/error_type.h"

namespace wasabiwind::base {

namespace {
constexpr std::array<const char *, static_cast<std::size_t>(ErrorKind::kEnd)>
    kErrorKindNames = {
        "invalid_argument", "invalid_settings", "not_found",  "conflict",
        "unavailable",      "timeout",          "corrupt",    "io",
        "overloaded",       "protocol",         "permission", "internal",
};
}  // namespace

const char *GetErrorKindName(ErrorKind kind) {
  assert(kind < ErrorKind::kEnd);
  return kErrorKindNames[static_cast<std::size_t>(kind)];
}

std::string Error::ToString() const {
  if (m_remedy.empty()) return m_message;
  return m_message + "; " + m_remedy;
}

std::string FormatErrorJson(const Error &error) {
  boost::json::object detail;
  detail["kind"] = GetErrorKindName(error.m_kind);
  detail["message"] = error.m_message;
  detail["remedy"] = error.m_remedy;
  boost::json::object body;
  body["error"] = std::move(detail);
  return boost::json::serialize(body);
}

}  // namespace wasabiwind::base
