/** @file json.cpp Reads fields of JSON objects. */

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <cmath>

#include "standin/json_func.h"

namespace wasabiwind::standin {

namespace json = boost::json;

base::Result<json::object> ParseObject(const std::string &text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "the text isn't JSON: " + error.message(),
                           "send one JSON object");
  }
  if (!value.is_object()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "the JSON value isn't an object",
                           "send one JSON object");
  }
  return std::move(value.as_object());
}

std::string GetString(const json::object &object, const char *key,
                      const std::string &fallback) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) return fallback;
  const json::string &text = value->as_string();
  return std::string(text.data(), text.size());
}

double GetNumber(const json::object &object, const char *key, double fallback) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return fallback;
  json::error_code error;
  double number = value->to_number<double>(error);
  return error ? fallback : number;
}

std::int64_t GetInteger(const json::object &object, const char *key,
                        std::int64_t fallback) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return fallback;
  if (value->is_int64()) return value->as_int64();
  if (value->is_uint64()) return fallback;  // too large for int64
  constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53
  double number = std::floor(value->as_double());
  if (!(std::abs(number) <= kMaxExactInteger)) return fallback;
  return static_cast<std::int64_t>(number);
}

bool GetBool(const json::object &object, const char *key, bool fallback) {
  const json::value *value = object.if_contains(key);
  if (value == nullptr || !value->is_bool()) return fallback;
  return value->as_bool();
}

const json::object *FindObject(const json::object &object, const char *key) {
  const json::value *value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

const json::array *FindArray(const json::object &object, const char *key) {
  const json::value *value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

}  // namespace wasabiwind::standin
