/** @file result_type.h Results of the requests of a run. */

#ifndef WASABIWIND_LOAD_RESULT_TYPE_H_
#define WASABIWIND_LOAD_RESULT_TYPE_H_

#include <array>
#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "load/histogram_type.h"
#include "load/schedule_func.h"

namespace wasabiwind::load {

/** Final state of one request, after the caller's retries. */
enum class Outcome : std::uint8_t {
  kComplete,       ///< a whole response to this request
  kRefused,        ///< refused, and every attempt was reported as not run
  kUnknown,        ///< an order that may have been executed
  kExplicitError,  ///< a stream that ended with an error event
  kLost,           ///< the last attempt's connection closed without a response
  kNotConnected,   ///< no address accepted a connection
  kNoAnswer,       ///< neither response nor refusal by the deadline
  kViolation,      ///< a response that breaks a guarantee to the caller
  kNotSent,        ///< over the generator's limit of requests in flight
  kEnd,
};

/** @return the snake_case name. */
const char *GetOutcomeName(Outcome outcome);

/** Result of one request over all its attempts. */
struct RequestResult {
  Outcome m_outcome = Outcome::kEnd;
  std::string m_reason;         ///< of a refusal or error, or kind of violation
  bool m_may_have_run = false;  ///< some attempt wasn't reported as not_run
  int m_attempts = 0;
  int m_lost_attempts = 0;  ///< connections that closed without a response
  int m_tokens = 0;         ///< received in order in the last attempt
  std::string m_address;    ///< of the last attempt
  base::Duration m_start_lag{0};    ///< lateness of the first attempt
  base::Duration m_first_token{0};  ///< after the intended time; 0: none
  base::Duration m_total{0};        ///< after the intended time
};

/** Totals of a run. */
struct LoadResult {
  std::array<std::uint64_t, static_cast<std::size_t>(Outcome::kEnd)>
      m_outcomes{};
  std::map<std::string, std::uint64_t> m_refusals;    ///< and errors, by reason
  std::map<std::string, std::uint64_t> m_violations;  ///< by kind
  std::map<std::string, std::uint64_t> m_addresses;   ///< by last address
  std::uint64_t m_planned = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_lost_attempts = 0;
  std::uint64_t m_tokens = 0;  ///< of complete responses
  Histogram m_first_token_short;
  Histogram m_first_token_long;
  Histogram m_token_gap;
  Histogram m_total_short;
  Histogram m_total_long;
  Histogram m_total_order;
  Histogram m_start_lag;
  base::Duration m_length{0};
};

/** Adds the result of one request. */
void AddResult(LoadResult *total, const PlannedRequest &request,
               const RequestResult &result);

/** Adds the totals of another thread. */
void MergeResult(LoadResult *total, const LoadResult &other);

/** @return the totals as JSON; times in milliseconds. */
boost::json::object DescribeResult(const LoadResult &result);

/** @return one line of the outcome file. */
boost::json::object DescribeRequest(const PlannedRequest &request,
                                    const RequestResult &result);

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_RESULT_TYPE_H_
