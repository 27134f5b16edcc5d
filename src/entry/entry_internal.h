/** @file entry_internal.h Types and functions shared by the request path. */

#ifndef WASABIWIND_ENTRY_ENTRY_INTERNAL_H_
#define WASABIWIND_ENTRY_ENTRY_INTERNAL_H_

#include <entry_settings.pb.h>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/metrics_func.h"
#include "base/random_func.h"
#include "entry/control_link.h"
#include "entry/dispatch.h"
#include "entry/once_client.h"
#include "entry/upstream_table.h"
#include "entry/usage_report.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "route/refusal_type.h"

namespace wasabiwind::entry {

/** Why a request is sent again. */
enum class RetryReason : std::uint8_t {
  kConnectFailed,  ///< nothing was sent
  kNotAccepted,    ///< the upstream answered that it didn't run it
  kServerError,    ///< the upstream answered with another 5xx status
  kAnswerLost,     ///< the connection broke before the first part
  kStreamBroken,   ///< the stream broke after its start
  kStalled,        ///< no token for too long
  kBadAnswer,      ///< the answer breaks the protocol or isn't for this request
  kEnd,
};

/** @return the snake_case name of a reason. */
const char *GetRetryReasonName(RetryReason reason);

/** Metrics of the request path; references stay valid. */
struct EntryMetrics {
  EntryMetrics();

  std::array<prometheus::Counter *,
             static_cast<std::size_t>(route::RefusalReason::kEnd)>
      m_refusals;
  std::array<prometheus::Counter *, static_cast<std::size_t>(RetryReason::kEnd)>
      m_retries;
  prometheus::Counter &m_answered;
  prometheus::Counter &m_broken;       ///< streams ended by an error event
  prometheus::Counter &m_caller_gone;  ///< callers that disconnected early
  prometheus::Counter &m_resumed;  ///< streams continued on another upstream
  prometheus::Counter &m_cancels;  ///< cancel messages to engines
  prometheus::Counter &m_tokens;
  prometheus::Histogram &m_first_token;
  prometheus::Histogram &m_total;
};

/** Interval at which uses of a loaded target are reported; well below the
 * shortest idle time of placement, 30 s by default. */
constexpr base::milliseconds kUsageReportPeriod{5'000};

/** State shared by all threads of the program; its members are thread-safe. */
struct EntryShared {
  gen::EntrySettings m_settings;
  ControlLink *m_link = nullptr;
  OnceClient *m_once = nullptr;  ///< nullptr: no recorders are configured
  std::unique_ptr<Dispatcher> m_dispatcher;
  std::unique_ptr<UpstreamTable> m_upstreams;
  EntryMetrics m_metrics;
  UsageReportThrottle m_usage{kUsageReportPeriod};
  std::atomic<bool> m_is_leaving = false;
  std::atomic<bool> m_is_cut_off = false;  ///< no attempt is started any more
  std::atomic<std::uint64_t> m_id_counter = 0;  ///< part of generated IDs
  std::uint64_t m_process_nonce = 0;  ///< random; part of generated IDs
};

struct RequestScope;

/** State of one fiber thread. */
struct EntryThread {
  net::HttpClientPool m_pool;
  std::unordered_set<RequestScope *> m_active;
  std::size_t m_background_fibers = 0;  ///< fibers that outlive their request
  std::size_t m_backup_fibers = 0;      ///< as above, of backups being opened
};

/** One request of a caller, from its arrival to its log line. */
struct RequestScope {
  RequestScope(EntryShared *shared, EntryThread *thread,
               const net::HttpRequest *request, net::HttpExchange *exchange);
  ~RequestScope();
  RequestScope(const RequestScope &) = delete;
  RequestScope &operator=(const RequestScope &) = delete;

  EntryShared *m_shared;
  EntryThread *m_thread;
  const net::HttpRequest *m_request;
  net::HttpExchange *m_exchange;
  config::CatalogPtr m_catalog;  ///< in force at the arrival, or nullptr

  std::string m_id;  ///< request ID of the caller, or a generated one
  base::TimePoint m_start;
  base::TimePoint m_deadline;
  std::string m_customer;
  double m_customer_weight = 1.0;
  Priority m_priority = Priority::kStandard;
  bool m_may_have_run = false;  ///< an upstream may have run part of it

  bool m_is_caller_gone = false;
  std::function<void()> m_cancel;  ///< ends the current wait, if there is one
  /** Called before the caller learns that the request failed, or when it has
   * disconnected; releases what a resend needs, such as a claimed key. */
  std::function<void()> m_before_failure;

  // For the log line.
  std::string m_kind;       ///< chat, completion, service, models, other
  std::string m_name;       ///< model or service, as the caller named it
  std::string m_upstreams;  ///< those tried, in order, with the outcome
  std::string m_outcome;    ///< answered, refused, broken or caller_gone
  std::string m_detail;     ///< reason and values behind the outcome
  int m_status = 0;
  int m_attempts = 0;
  base::Duration m_waited{0};
  base::Duration m_first_token{0};
  std::uint64_t m_tokens = 0;
  std::uint64_t m_answer_bytes = 0;
};

/** Appends "upstream:outcome" to the list of the log line. */
void NoteAttempt(RequestScope *scope, const base::UpstreamId &upstream,
                 const std::string &outcome);

/** Counts a retry. */
void CountRetry(RequestScope *scope, RetryReason reason);

/** @return the refusal as the JSON body of an error response. */
std::string MakeRefusalBody(const route::Refusal &refusal,
                            const std::string &request_id);

/**
 * Refuses the request, or ends its stream with an error event if it has
 * started, and counts the reason. `ran` becomes unknown if an upstream may
 * have run the request.
 */
void Refuse(RequestScope *scope, route::Refusal refusal);
void Refuse(RequestScope *scope, route::RefusalReason reason,
            const std::string &detail = "");

/** Sends a whole answer with the request ID. */
void Answer(RequestScope *scope, net::HttpResponse response);

/** Records that the caller has disconnected and closes the connection. */
void HandleCallerGone(RequestScope *scope);

/**
 * Waits for an upstream and counts the attempt.
 * @return nothing after the request was refused or its caller has disconnected
 */
std::optional<UpstreamLease> AcquireUpstream(
    RequestScope *scope, const AcquireRequest &acquire_request);

/** How an attempt failed. */
struct AttemptFailure {
  RetryReason m_reason = RetryReason::kEnd;
  std::string m_detail;
  route::ExecutionState m_ran = route::ExecutionState::kNotRun;
  std::uint64_t m_tokens = 0;  ///< that the attempt delivered
};

/** As AcquireUpstream, after an attempt has failed. */
std::optional<UpstreamLease> RetryUpstream(RequestScope *scope,
                                           const UpstreamLease &lease,
                                           const AttemptFailure &failure);

/**
 * Starts another attempt beside a silent one, if that is possible now, and
 * counts it.
 * @param lease of the silent attempt
 */
std::optional<UpstreamLease> AcquireBackup(RequestScope *scope,
                                           const UpstreamLease &lease);

/** @return whole milliseconds left until the deadline, at least 0. */
base::milliseconds RemainingTime(const RequestScope &scope);

/**
 * Tells an engine, in a fiber of its own, to stop an attempt. Sends nothing if
 * too many such fibers run.
 * @pre called inside RunFiberThread
 */
void CancelAtEngine(EntryShared *shared, EntryThread *thread,
                    const net::Endpoint &engine, const std::string &attempt_id);

/** Checks credentials and sets the customer. @return false if refused */
bool Authenticate(RequestScope *scope);

/** Serves /v1/chat/completions and /v1/completions. */
void RelayCompletion(RequestScope *scope, bool is_chat);

/** Serves /svc/<service>/<path>. */
void RelayService(RequestScope *scope);

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_ENTRY_INTERNAL_H_
