/** @file request_type.h Numbers, classes and lengths of requests. */

#ifndef WASABIWIND_ROUTE_REQUEST_TYPE_H_
#define WASABIWIND_ROUTE_REQUEST_TYPE_H_

#include <cstddef>
#include <cstdint>

#include "base/id_type.h"
#include "base/time_type.h"

namespace wasabiwind::route {

/** Number of a request, unique within one process. */
using RequestNumber = base::StrongNumber<struct RequestNumberTag>;
/** Number of one attempt to serve a request, unique within one router. */
using AttemptNumber = base::StrongNumber<struct AttemptNumberTag>;

/** Value of the X-Priority header. */
enum class PriorityClass : std::uint8_t {
  kInteractive,
  kStandard,
  kBatch,
  kEnd,
};

/** Whether a request is expected to hold a slot for long. */
enum class RequestLength : std::uint8_t { kShort, kLong, kEnd };

constexpr std::size_t kPriorityClassCount =
    static_cast<std::size_t>(PriorityClass::kEnd);
constexpr std::size_t kRequestLengthCount =
    static_cast<std::size_t>(RequestLength::kEnd);

/** Seconds as a floating-point duration, for estimates. */
using EstimatedSeconds = std::chrono::duration<double>;

/** Rounds an estimate to the clock's resolution. */
inline base::Duration ToDuration(EstimatedSeconds seconds) {
  return std::chrono::duration_cast<base::Duration>(seconds);
}

/** Rounds an estimate up to whole milliseconds. */
inline base::milliseconds ToMilliseconds(EstimatedSeconds seconds) {
  return std::chrono::ceil<base::milliseconds>(seconds);
}

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_REQUEST_TYPE_H_
