/** @file json_func.h Reads fields of JSON objects. */

#ifndef WASABIWIND_STANDIN_JSON_FUNC_H_
#define WASABIWIND_STANDIN_JSON_FUNC_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::standin {

/**
 * Parses a JSON object.
 * @return kInvalidArgument if the text isn't one JSON object. Thread-safe.
 */
base::Result<boost::json::object> ParseObject(const std::string &text);

/** @return the string, or the fallback if absent or of another type. */
std::string GetString(const boost::json::object &object, const char *key,
                      const std::string &fallback = "");

/** As GetString, for integers; a floating-point number is rounded down. The
 * fallback is also returned if the value is out of range. */
std::int64_t GetInteger(const boost::json::object &object, const char *key,
                        std::int64_t fallback = 0);

/** As GetString, for numbers. */
double GetNumber(const boost::json::object &object, const char *key,
                 double fallback = 0.0);

/** As GetString, for booleans. */
bool GetBool(const boost::json::object &object, const char *key,
             bool fallback = false);

/** @return the object in a field, or nullptr if absent or of another type. */
const boost::json::object *FindObject(const boost::json::object &object,
                                      const char *key);

/** @return the array in a field, or nullptr if absent or of another type. */
const boost::json::array *FindArray(const boost::json::object &object,
                                    const char *key);

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_JSON_FUNC_H_
