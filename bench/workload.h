/** @file workload.h Fleet sizes and request mixes of two firms. */

#ifndef WASABIWIND_BENCH_WORKLOAD_H_
#define WASABIWIND_BENCH_WORKLOAD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "route/request_type.h"

namespace wasabiwind::bench {

using Seconds = std::chrono::duration<double>;

/** A kind of request in a mix. */
struct RequestKind {
  std::string m_name;
  double m_share = 0;  ///< of all requests
  route::PriorityClass m_class = route::PriorityClass::kStandard;
  double m_prompt_bytes = 0;   ///< mean
  double m_output_tokens = 0;  ///< mean
  std::uint32_t m_max_tokens = 0;
  Seconds m_deadline{0};
  bool m_is_short = false;  ///< included in latencies of short work
  int m_customers = 1;
};

/** Slots and speed of a simulated engine. */
struct EngineParameters {
  int m_slots = 16;
  Seconds m_token_time{0.020};    ///< between tokens of a single stream
  double m_batch_slowdown = 0.5;  ///< added to token time when slots are full
  Seconds m_prefill_base{0.040};
  Seconds m_prefill_per_byte{0.000'02};
};

/** A company: its fleet size and request mix. */
struct Firm {
  std::string m_name;
  int m_runners = 18;
  int m_entries = 6;  ///< entry hosts, each with its own router
  int m_models = 60;
  double m_store_loads_per_s = 3;
  EngineParameters m_engine;
  std::vector<RequestKind> m_kinds;
};

/** @return all firms. */
std::vector<Firm> MakeFirms();

/** A simulated request. */
struct SimRequest {
  base::TimePoint m_arrival;
  base::TimePoint m_deadline;
  std::size_t m_kind = 0;
  int m_customer = 0;
  int m_entry = 0;
  double m_prompt_bytes = 0;
  std::uint32_t m_output_tokens = 1;
};

/** @return service time of a request on an engine whose slots are all used. */
Seconds ComputeServiceTime(const EngineParameters &engine, double prompt_bytes,
                           double output_tokens);

/** @return requests per second that use all slots of the firm. */
double ComputeCapacity(const Firm &firm);

/**
 * @param load offered load as a ratio of capacity, by time since the start
 * @return Poisson arrivals with that rate, in order of time
 */
std::vector<SimRequest> MakeArrivals(const Firm &firm,
                                     const std::function<double(Seconds)> &load,
                                     Seconds duration, std::uint64_t seed);

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_WORKLOAD_H_
