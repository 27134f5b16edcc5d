/** @file fake_runner.h An upstream that the soak plays itself. */

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
  std::string m_name;     ///< start of its IDs
  std::string m_service;  ///< "engines" holds models, others none
  std::string m_domain;
  net::Endpoint m_listen;     ///< where its server listens
  net::Endpoint m_published;  ///< where its link listens
  std::vector<std::string> m_first_models;
  std::vector<net::Endpoint> m_control;  ///< for reports
  double m_model_mb = 90;
  std::uint32_t m_adapter_mb = 1;
  std::uint64_t m_seed = 0;
};

/** How a runner misbehaves now. */
struct Misbehavior {
  bool m_is_slow = false;
  bool m_loses_answers = false;
  bool m_garbles_answers = false;
  bool m_delays_orders = false;
};

/**
 * Plays one upstream behind a link: reports itself, holds what it is ordered to
 * hold, runs requests and answers them. Belongs to one fiber thread.
 */
class FakeRunner {
 public:
  FakeRunner(FakeRunnerOptions options, const SoakProtocol *protocol,
             Monitor *monitor);

  base::Result<void> Listen();

  /** Serves and reports until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  /** Ends at once and starts again under another ID, without its models. */
  void Crash(base::milliseconds down);

  /** Announces that it leaves, serves on for the bound, then ends. */
  void Leave(base::milliseconds drain);

  LinkProxy &Link() { return m_link; }
  Misbehavior m_misbehavior;

 private:
  struct HeldModel {
    bool m_is_loading = false;
    std::set<std::string> m_adapters;
  };

  void StartLife();
  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);
  void HandleRequest(const net::HttpRequest &request,
                     net::HttpExchange &exchange);
  void HandleOrder(const fleet_control::RunnerOrder &order,
                   net::HttpExchange &exchange);
  fleet::OrderOutcome CarryOut(const fleet_control::RunnerOrder &order);
  void LoadLater(const std::string &model, base::milliseconds time);
  void AnswerPlain(const ForwardedRequest &forwarded,
                   const std::string &signature, net::HttpExchange &exchange);
  void AnswerStream(const ForwardedRequest &forwarded,
                    const std::string &signature, net::HttpExchange &exchange);
  bool Holds(const std::string &target) const;
  Monitor::RunnerLoad GetLoad(const fleet_control::RunnerOrder &order) const;
  bool Report(gen::UpstreamState state);
  gen::UpstreamReport MakeReport(gen::UpstreamState state);
  bool IsThisLife(std::uint64_t life) const {
    return !m_is_stopped && m_is_up && life == m_life;
  }

  FakeRunnerOptions m_options;
  const SoakProtocol *m_protocol;
  Monitor *m_monitor;
  LinkProxy m_link;
  net::HttpServer m_server;
  net::HttpClientPool m_client;
  base::Random m_random;
  std::string m_id;
  std::uint64_t m_life = 0;
  std::uint64_t m_start_time_ms = 0;
  std::uint64_t m_report_number = 0;
  std::uint64_t m_accepted = 0;
  std::map<std::string, HeldModel> m_models;
  std::set<std::string> m_on_disk;
  bool m_is_busy = false;
  int m_running = 0;
  bool m_is_up = false;
  bool m_is_leaving = false;
  bool m_is_stopped = false;
  int m_detached = 0;  ///< fibers that still use this object
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_FAKE_RUNNER_H_
