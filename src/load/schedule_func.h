/** @file schedule_func.h Sending times and content of requests. */

#ifndef WASABIWIND_LOAD_SCHEDULE_FUNC_H_
#define WASABIWIND_LOAD_SCHEDULE_FUNC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/error_type.h"
#include "base/random_func.h"
#include "base/time_type.h"

namespace wasabiwind::load {

/** Distribution of the sending times. */
enum class ArrivalKind : std::uint8_t {
  kPoisson,
  kUniform,  ///< equal intervals
  kBursts,   ///< Poisson, and groups of requests at regular times
  kSwing,    ///< Poisson with a rate that rises to a peak and falls again
  kEnd,
};

/** @return kInvalidArgument for a name other than poisson, uniform, bursts or
 * swing. */
base::Result<ArrivalKind> ParseArrivalKind(const std::string &name);

/** Ranges of prompt and output length, for short or for long requests. */
struct SizeRange {
  int m_min_prompt_bytes = 40;
  int m_max_prompt_bytes = 400;
  int m_min_tokens = 4;
  int m_max_tokens = 32;
};

struct ScheduleOptions {
  ArrivalKind m_arrival = ArrivalKind::kPoisson;
  double m_rate = 10.0;  ///< requests/s; the lowest rate of a swing
  base::Duration m_duration = base::seconds(10);
  int m_burst_size = 20;
  base::Duration m_burst_interval = base::seconds(2);
  double m_swing_peak = 3.0;          ///< highest rate as a multiple of m_rate
  std::vector<std::string> m_models;  ///< most popular first
  double m_skew = 1.0;  ///< exponent of the Zipf popularity; 0: equal
  SizeRange m_short;
  SizeRange m_long = {2'000, 8'000, 200, 600};
  double m_long_share = 0.0;    ///< of completions
  double m_stream_share = 1.0;  ///< of completions
  std::string m_service;        ///< receives the orders
  double m_order_share = 0.0;   ///< of all requests
  double m_resend_share = 0.0;  ///< of orders; these are sent twice at once
  std::vector<std::string> m_customers;
  std::string m_id_prefix = "load";
  std::uint64_t m_seed = 1;
  std::size_t m_max_requests = 1'000'000;
};

enum class RequestKind : std::uint8_t { kCompletion, kOrder, kEnd };

/** One request to send. */
struct PlannedRequest {
  base::Duration m_offset{0};  ///< intended time after the start of the run
  RequestKind m_kind = RequestKind::kCompletion;
  std::string m_id;        ///< request ID; the idempotency key of an order
  std::string m_model;     ///< completions only
  std::string m_service;   ///< orders only
  std::string m_customer;  ///< "" for none
  std::string m_prompt;    ///< contains m_id, so that responses differ
  std::string m_priority;  ///< "" for none
  int m_max_tokens = 0;
  bool m_is_stream = false;
  bool m_is_long = false;
  bool m_send_twice = false;  ///< order: send a duplicate at once
};

/** @return the requests in order of time. Equal options give equal requests. */
std::vector<PlannedRequest> MakeSchedule(const ScheduleOptions &options);

/**
 * Reads a schedule from JSON lines with the keys offset_ms, kind (completion or
 * order), model, service, customer, prompt_bytes, max_tokens, stream, priority.
 * @return kInvalidArgument with the line number
 */
base::Result<std::vector<PlannedRequest>> ParseReplay(
    const std::string &text, const ScheduleOptions &options);

/**
 * Picks from a Zipf distribution: item i has the weight 1 / (i + 1)^skew.
 * @pre count > 0
 */
std::size_t PickZipf(base::Random *random, std::size_t count, double skew);

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_SCHEDULE_FUNC_H_
