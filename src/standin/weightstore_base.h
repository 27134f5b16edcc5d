/** @file weightstore_base.h Test double of the weight store. */

#ifndef WASABIWIND_STANDIN_WEIGHTSTORE_BASE_H_
#define WASABIWIND_STANDIN_WEIGHTSTORE_BASE_H_

#include <standin_settings.pb.h>

#include <string>

#include "base/time_type.h"
#include "net/http_server.h"
#include "standin/record_base.h"

namespace wasabiwind::standin {

/** Numbers of concurrent transfers. */
struct RunningTransfers {
  int m_models = 0;
  int m_adapters = 0;
};

/**
 * @return by which factor a transfer takes longer than at full speed. Up to
 *         `full_speed_loads` models and `full_speed_adapters` adapters run at
 *         full speed; more of them share that bandwidth. Thread-safe.
 */
double GetStoreSlowdown(const gen::WeightStoreSettings &settings,
                        const RunningTransfers &transfers, bool is_adapter);

/**
 * Store that simulates the duration of transfers and counts them. All methods
 * run in fibers of one thread.
 */
class WeightStore {
 public:
  WeightStore(const gen::WeightStoreSettings &settings, EventRecord *record);

  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);

  /** Handles a request below /standin/v1/. @return whether it was one */
  bool HandleStandin(const net::HttpRequest &request,
                     net::HttpExchange &exchange);

 private:
  void HandleFetch(const net::HttpRequest &request,
                   net::HttpExchange &exchange);
  void HandleFault(const net::HttpRequest &request,
                   net::HttpExchange &exchange);
  void HandleTransfers(net::HttpExchange &exchange);
  void WaitForStart();
  void Transfer(base::Duration full_speed_time, bool is_adapter);
  double GetSlowFactor() const;

  gen::WeightStoreSettings m_settings;
  EventRecord *m_record;
  RunningTransfers m_running;
  RunningTransfers m_peak;
  int m_waiting = 0;
  std::int64_t m_completed = 0;
  std::int64_t m_fail_next = 0;  ///< number of next fetches that fail
  base::TimePoint m_next_start;  ///< of the next model transfer
  double m_slow_factor = 1.0;
  base::TimePoint m_slow_until;
};

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_WEIGHTSTORE_BASE_H_
