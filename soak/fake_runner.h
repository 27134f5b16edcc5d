/** @file fake_runner.h A simulated upstream of a soak. */

#ifndef WASABIWIND_SOAK_FAKE_RUNNER_H_
#define WASABIWIND_SOAK_FAKE_RUNNER_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "soak/link_proxy.h"
#include "soak/monitor.h"

namespace wasabiwind::soak {

struct FakeRunnerOptions {
  std::string m_name;     ///< prefix of its upstream IDs
  std::string m_service;  ///< only "engines" has models
  std::string m_domain;
  net::Endpoint m_listen;             ///< of its server
  net::Endpoint m_reported_endpoint;  ///< of its link
  std::vector<std::string> m_first_models;
  std::vector<net::Endpoint> m_control_endpoints;  ///< receive reports
  double m_model_mb = 90;
  std::uint32_t m_adapter_mb = 1;
  std::uint64_t m_seed = 0;
};

/** Faults of a runner that are active now. */
struct InjectedFaults {
  bool m_is_slow = false;
  bool m_loses_answers = false;
  bool m_garbles_answers = false;
  bool m_delays_orders = false;
  bool m_asks_for_pause = false;  ///< refuses each request
};

/**
 * Simulates one upstream behind a link: reports its state, loads and unloads
 * models as ordered, and runs requests. Belongs to one fiber thread.
 */
class FakeRunner {
 public:
  FakeRunner(FakeRunnerOptions options, const SoakProtocol *protocol,
             Monitor *monitor);

  base::Result<void> Listen();

  /** Serves and reports until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  /** Stops at once; restarts under a new ID, without its models. */
  void Crash(base::milliseconds downtime);

  /** Reports that it leaves, serves for `drain` and a margin, then restarts. */
  void Leave(base::milliseconds drain);
  /** As Leave, but only answers say so; nothing is reported. */
  void LeaveSilently(base::milliseconds drain);

  /**
   * Sends nothing and takes no step for a time, as a process that is stopped,
   * then goes on. Connections stay open, and nothing is lost. No effect while
   * it is down, leaving or frozen, or shortly after.
   */
  void Freeze(base::milliseconds duration);

  LinkProxy &GetLink() { return m_link; }
  InjectedFaults m_injected_faults;

 private:
  struct ModelState {
    bool m_is_loading = false;
    std::set<std::string> m_adapters;
  };

  void StartIncarnation();
  /** Sleeps; doesn't return while the runner is frozen. */
  void SleepAwake(base::milliseconds time) const;
  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);
  void HandleRequest(const net::HttpRequest &request,
                     net::HttpExchange &exchange);
  void HandleOrder(const fleet_control::RunnerOrder &order,
                   net::HttpExchange &exchange);
  fleet::OrderOutcome ExecuteOrder(const fleet_control::RunnerOrder &order);
  void ScheduleLoadEnd(const std::string &model, base::milliseconds time);
  void AddLeaving(const ForwardedRequest &forwarded, net::HttpHeaders *headers);
  void Refuse(const ForwardedRequest &forwarded, bool is_misdirected,
              net::HttpExchange &exchange);
  void AnswerPlain(const ForwardedRequest &forwarded,
                   const std::string &signature, net::HttpExchange &exchange);
  void AnswerStream(const ForwardedRequest &forwarded,
                    const std::string &signature, net::HttpExchange &exchange);
  bool IsLoaded(const std::string &target) const;
  /** @return what the runner holds, and what the order adds to it. */
  Monitor::RunnerUsage ComputeUsage(
      const fleet_control::RunnerOrder &order) const;
  bool Report(gen::UpstreamState state);
  gen::UpstreamReport MakeReport(gen::UpstreamState state);
  bool IsCurrentIncarnation(std::uint64_t incarnation) const {
    return !m_is_stopped && m_is_up && incarnation == m_incarnation;
  }

  FakeRunnerOptions m_options;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  LinkProxy m_link;
  net::HttpServer m_server;
  net::HttpClientPool m_client;
  base::Random m_random;
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_start_time_ms = 0;
  std::uint64_t m_report_number = 0;
  std::uint64_t m_accepted_order_count = 0;
  std::map<std::string, ModelState> m_models;
  std::set<std::string> m_on_disk;
  bool m_is_busy = false;
  int m_running_requests = 0;
  bool m_is_up = false;
  bool m_is_leaving = false;
  bool m_says_leaving = false;  ///< in its answers
  bool m_is_stopped = false;
  bool m_is_frozen = false;
  base::TimePoint m_may_freeze_at;
  int m_background_fibers = 0;  ///< fibers that still use this object
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_FAKE_RUNNER_H_
