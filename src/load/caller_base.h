/** @file caller_base.h Sends requests as a caller does, with retries. */

#ifndef WASABIWIND_LOAD_CALLER_BASE_H_
#define WASABIWIND_LOAD_CALLER_BASE_H_

#include <string>

#include "load/address_base.h"
#include "load/result_type.h"
#include "load/schedule_func.h"
#include "net/http_client.h"

namespace wasabiwind::load {

struct CallerOptions {
  base::Duration m_deadline = base::seconds(30);  ///< after the intended time
  /** How long after its deadline a response is still accepted. */
  base::Duration m_grace_period = base::seconds(1);
  int m_max_attempts = 4;
  base::Duration m_retry_delay = base::milliseconds(100);
  std::string m_bearer_token;  ///< "" for none
};

/** Parsed body of an error response, which may be a refusal. */
struct RefusalResponse {
  bool m_is_refusal = false;
  std::string m_reason;
  std::string m_ran;  ///< "not_run" or "unknown"
};

/** Parses {"error":{"type":"refusal",...}}. Thread-safe. */
RefusalResponse ParseRefusal(const std::string &body);

/**
 * Sends requests of one thread. Latency counts from the intended time, so that
 * it includes the time by which a slow system delays the sender. Not
 * thread-safe.
 */
class Caller {
 public:
  Caller(CallerOptions options, AddressCache *addresses, Histogram *token_gap);

  /**
   * Sends a request and waits for its result.
   * @param intended when the schedule wants the request to be sent
   * @pre called inside RunFiberThread; at most one fiber per request
   */
  RequestResult Send(const PlannedRequest &request, base::TimePoint intended);

 private:
  /** What to do after an attempt. */
  enum class NextStep : std::uint8_t {
    kFinish,
    kRetryOtherHost,
    kRetryLater,
    kEnd
  };

  NextStep Attempt(const PlannedRequest &request, base::TimePoint intended,
                   RequestResult *result);
  NextStep ReadResponse(const PlannedRequest &request, base::TimePoint intended,
                        net::HttpCall *call, RequestResult *result);
  NextStep ReadStream(const PlannedRequest &request, base::TimePoint intended,
                      net::HttpCall *call, RequestResult *result);
  NextStep CheckPlainResponse(const PlannedRequest &request,
                              const std::string &body, RequestResult *result);
  NextStep CheckOrderResponse(const PlannedRequest &request,
                              const std::string &body, RequestResult *result);
  NextStep HandleRefusal(const PlannedRequest &request, int status,
                         const std::string &body, RequestResult *result);
  NextStep HandleLostConnection(const PlannedRequest &request,
                                base::TimePoint intended,
                                RequestResult *result);
  net::HttpRequest MakeRequest(const PlannedRequest &request,
                               base::TimePoint intended) const;
  /** @return the time until which a response is accepted. */
  base::TimePoint GetEnd(base::TimePoint intended) const {
    return intended + m_options.m_deadline + m_options.m_grace_period;
  }

  CallerOptions m_options;
  AddressCache *m_addresses;
  Histogram *m_token_gap;
  net::HttpClientPool m_clients;
};

/** @return the JSON body of a completion request. Thread-safe. */
boost::json::object MakeCompletionBody(const PlannedRequest &request);

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_CALLER_BASE_H_
