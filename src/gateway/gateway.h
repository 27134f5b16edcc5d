/** @file gateway.h Entry host that serves declared routes. */

#ifndef WASABIWIND_GATEWAY_GATEWAY_H_
#define WASABIWIND_GATEWAY_GATEWAY_H_

#include <fleet_settings.pb.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "fleet/follower_func.h"
#include "fleet/freshness_func.h"
#include "gateway/choose_func.h"
#include "gateway/crash_evidence_func.h"
#include "gateway/directory_func.h"
#include "gateway/protocol_type.h"
#include "gateway/runner_load_func.h"
#include "gateway/use_func.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "quota/charge_func.h"
#include "route/budget_func.h"
#include "routes/table_func.h"

namespace wasabiwind::gateway {

struct PendingCharge;
struct PendingLoadQuery;
struct RequestScope;

/** A runner that may have ended, since a connection to it did. */
struct RunnerCheck {
  std::string m_upstream;
  std::string m_address;
  std::uint64_t m_born_ms = 0;
};

/**
 * Request path of one entry host and its view of the fleet. All methods run in
 * fibers of one thread; another fiber may change the state whenever one waits.
 */
class Gateway {
 public:
  using Sender =
      std::function<void(const std::string &to, const gen::FleetMessage &)>;

  /** @param protocol outlives this object */
  Gateway(gen::FleetEntrySettings settings, const GatewayProtocol *protocol,
          Sender sender);
  ~Gateway();

  /** Applies settings that may change while the program runs. */
  void Reload(const gen::FleetEntrySettings &settings);

  /** Serves a caller's request. */
  void HandleCaller(const net::HttpRequest &request,
                    net::HttpExchange &exchange);
  /** Serves address queries and readiness checks. */
  void HandleDirectory(const net::HttpRequest &request,
                       net::HttpExchange &exchange);
  /** Handles a message of a control host. */
  void HandleMessage(const std::string &from, const gen::FleetMessage &message);

  /** Handles a datagram of another entry host. @param from its sender */
  void HandleDatagram(const std::string &from,
                      const gen::FleetMessage &message);

  /** Runs periodic tasks until Stop. @pre inside net::RunFiberThread */
  void RunTimers();
  void Stop();

  /** Announces to control hosts and callers that this host will stop. */
  void BeginLeaving();
  /** Refuses new requests from now on; they certainly don't run. */
  void BeginRefusing();
  /** Gives requests in progress their final answer now. @pre BeginRefusing */
  void EndActiveRequests();

  bool IsReady() const;
  std::size_t CountActiveRequests() const { return m_active_requests.size(); }

  /** @return the retry budget of a service. */
  route::Budget *GetRetryBudgetForTest(const std::string &service) {
    return &GetRetryBudget(service);
  }

  /** Called with the connection limits of callers in each new route table. */
  std::function<void(const gen::CallerLimits &)> m_on_caller_limits;
  /** Sends a datagram to another entry host; without it, none are sent. */
  Sender m_send_datagram;

 private:
  friend struct ActiveRequestGuard;

  // request.cpp
  bool Admit(RequestScope *scope);
  bool FindRouteOfRequest(RequestScope *scope);
  void WaitForRoutes(RequestScope *scope);
  void Serve(RequestScope *scope);
  bool EndIfDue(RequestScope *scope, base::TimePoint now);
  bool RunNextAttempt(RequestScope *scope, base::TimePoint now);
  bool HandleAttemptEnd(RequestScope *scope);
  bool WaitForRunnerQueue(RequestScope *scope, const Choice &choice);
  bool WaitForChoice(RequestScope *scope, const Choice &choice);
  base::TimePoint GetWaitEnd(const RequestScope &scope) const;
  bool MayRetry(RequestScope *scope, const char *reason);
  void FinishUnanswered(RequestScope *scope);
  void Refuse(RequestScope *scope, int status, const std::string &reason,
              const std::string &message);
  void SendAnswer(RequestScope *scope, const net::HttpResponse &response);
  void LogRequest(const RequestScope &scope) const;
  ChoiceRequest MakeChoiceRequest(const RequestScope &scope) const;

  // caller_access.cpp
  bool IsTableConfirmed(base::TimePoint now) const;
  void WaitForConfirmation(RequestScope *scope);
  bool AdmitCaller(RequestScope *scope);
  bool IsKeyRevoked(const RequestScope &scope) const;
  void QueryFreshness(base::TimePoint now);

  // team_charge.cpp
  bool ChargeTeam(RequestScope *scope);
  std::string ChooseHostToCharge(const RequestScope &scope,
                                 const PendingCharge &charge,
                                 base::TimePoint now) const;
  void WaitForCharge(const PendingCharge &charge, base::TimePoint end);
  void AwaitCharge(RequestScope *scope, PendingCharge *charge);
  void HandleQuotaAnswer(const std::string &from,
                         const gen::QuotaAnswer &answer);
  void RecordSend(RequestScope *scope);
  void RefundTeam(const RequestScope &scope);
  void SendRefund(const std::string &to, const std::string &team, double cost,
                  base::Duration age);

  // attempt.cpp
  void RunAttempt(RequestScope *scope, const Choice &choice);
  void ResumeSilentAttempt(RequestScope *scope);
  void RunCountedAttempt(RequestScope *scope, const std::function<void()> &run);
  bool SendRequest(RequestScope *scope);
  void RelayAnswer(RequestScope *scope);
  void ReadOrLeave(RequestScope *scope, base::Duration patience,
                   const char *reason,
                   const std::function<bool(base::TimePoint)> &read_until);
  bool AwaitHead(RequestScope *scope);
  bool AcceptHead(RequestScope *scope, net::HttpResponse head);
  bool HasAlternative(const RequestScope &scope);
  bool LeaveSilentUpstream(RequestScope *scope, const char *reason);
  void RecordLeavingOrPause(const std::string &upstream, std::uint64_t start_ms,
                            const ResponseMetadata &metadata);
  void RecordOutcome(const RequestScope &scope);

  // runner_check.cpp
  void CheckRunner(const LostRequest &lost);
  void RunRunnerChecks();
  void RecordRunnerEnd(const std::string &upstream, std::uint64_t born_ms);
  void ConfirmLossesByView(base::TimePoint now);

  // relay.cpp
  void RelayStream(RequestScope *scope);
  void RecordStreamBytes(RequestScope *scope);
  void RelayFullResponse(RequestScope *scope);
  RequestScope *FindLargestAnswer() const;
  void UpdateBufferedBytes(RequestScope *scope);
  bool ForwardEvents(RequestScope *scope, const std::string &bytes);

  // gateway_load.cpp
  Choice ChooseByRunnerLoad(RequestScope *scope, base::TimePoint now);
  void QueryRunnerLoads(RequestScope *scope, const ChoiceRequest &request,
                        Candidates *candidates, base::TimePoint now);
  void QueryLoadsOf(RequestScope *scope, const ChoiceRequest &request,
                    Candidates *candidates,
                    const std::vector<Candidate *> &selected,
                    base::TimePoint now);
  void ReportRunnerLoad(const RequestScope &scope, gen::LoadEvent event);
  void TrackRunnerLoad(const gen::LoadUpdate &update);

  // gateway_pace.cpp
  bool IsPaced() const;
  void RecordStarts(const std::vector<std::string> &changed,
                    base::TimePoint now);
  void RecordPaceOfAnswer(const RequestScope &scope, base::TimePoint now);
  void RecordPaceOutcome(const RequestScope &scope);
  void ProbeUnreachable(base::TimePoint now);
  void RecordProbed(const std::string &upstream, std::uint64_t born_ms);
  void ReportPaceChange(const std::string &upstream, const char *observer,
                        const RunnerPace &pace, PaceChange change);

  // gateway.cpp
  void SendAll(const std::vector<fleet::OutMessage> &messages);
  void LogPublisherChange();
  void AdoptRoutes(const std::string &publisher,
                   fleet::FactUpdateResult *result);
  void AdoptQuarantine(const gen::Quarantine &quarantine);
  const char *FindQuarantine(const RequestScope &scope) const;
  void CancelQuarantinedRequests();
  void CancelAbandonedRequests();
  void ResumeAwakenedAttempts();
  void ForgetStats();
  void SendUseReport(base::TimePoint now);
  void AddUpstreamsInUse(gen::UseReport *report, base::TimePoint now);
  void UpdateOwnReport();
  route::Budget &GetRetryBudget(const std::string &service);
  void RefillRetryBudgets(base::TimePoint now);
  TargetCounts &GetTargetCounts(const RequestScope &scope, bool wants_adapter);

  gen::FleetEntrySettings m_settings;
  const GatewayProtocol *m_protocol;
  Sender m_sender;
  gen::EntryHost m_self;
  Location m_location;
  fleet::Follower m_follower;
  fleet::FreshnessState m_freshness;
  std::string m_logged_publisher;     ///< last one followed, for the log
  routes::RouteIndexPtr m_routes;     ///< nullptr until a table is known
  base::TimePoint m_routes_known_at;  ///< the first table
  StatsById m_stats;
  UseCounts m_use_counts;
  CrashEvidence m_crash_evidence;
  std::deque<RunnerCheck> m_runner_checks;
  boost::fibers::condition_variable m_runner_check_due;
  SuspectSet m_quarantined;
  RunnerLoads m_runner_loads;  ///< of the runners that this host tracks
  std::map<std::uint64_t, PendingLoadQuery *> m_load_queries;  ///< by number
  std::uint64_t m_last_load_query = 0;
  boost::fibers::condition_variable m_load_answered;
  quota::ChargeHosts m_charge_hosts;
  std::map<std::uint64_t, PendingCharge *> m_charges;  ///< by number
  /** Begins at a random number, so that no answer to a former process of this
   * host matches. */
  std::uint64_t m_last_charge = 0;
  boost::fibers::condition_variable m_charge_answered;
  std::map<std::string, route::Budget> m_retry_budgets;  ///< by service
  base::TimePoint m_retry_budgets_refilled_at;
  std::size_t m_most_entry_hosts = 0;  ///< most that were known at once

  std::unique_ptr<net::HttpClientPool> m_client;
  std::set<RequestScope *> m_active_requests;
  std::size_t m_buffered_bytes = 0;  ///< sum over m_active_requests
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_view_changed;
  base::TimePoint m_use_report_sent_at;
  bool m_is_use_report_urgent = false;
  bool m_is_leaving = false;
  bool m_is_refusing = false;
  bool m_is_ending_requests = false;
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_GATEWAY_H_
