/** @file service_relay.cpp Relay of requests to plain services. */

#include <entry_answer.pb.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>

#include "base/log_func.h"
#include "entry/entry_internal.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::entry {

namespace {

constexpr std::string_view kServicePrefix = "/svc/";
/** Recorders keep answers up to this size for resends. */
constexpr std::size_t kMaxStoredBytes = 64 * 1024;
constexpr std::size_t kMaxKeyBytes = 256;
/** Time to store an answer, also if the caller's deadline has passed. */
constexpr base::seconds kStoreAnswerTimeout{5};

/** Headers that apply to one connection, or that this node sets itself. */
constexpr std::array<const char *, 14> kDroppedHeaders = {
    "Connection",     "Keep-Alive",   "Transfer-Encoding", "TE",
    "Trailer",        "Upgrade",      "Proxy-Connection",  "Host",
    "Content-Length", "Expect",       "Authorization",     "X-Customer",
    "X-Request-Id",   "X-Deadline-Ms"};

bool IsDropped(const std::string &name) {
  return std::any_of(kDroppedHeaders.begin(), kDroppedHeaders.end(),
                     [&name](const char *dropped) {
                       return boost::beast::iequals(name, dropped);
                     });
}

net::HttpHeaders FilterHeaders(const net::HttpHeaders &headers) {
  net::HttpHeaders filtered;
  for (const net::HttpHeader &header : headers.m_items) {
    if (!IsDropped(header.m_name)) filtered.m_items.push_back(header);
  }
  return filtered;
}

/** Service name and the request target (path and query) for the service. */
struct ServicePath {
  std::string m_service;
  std::string m_target;
};

ServicePath SplitPath(const std::string &target) {
  std::string_view rest =
      std::string_view(target).substr(kServicePrefix.size());
  std::size_t end = rest.find_first_of("/?");
  ServicePath path;
  path.m_service = std::string(rest.substr(0, end));
  if (end != std::string_view::npos) {
    path.m_target = std::string(rest.substr(end));
  }
  if (path.m_target.empty() || path.m_target.front() != '/') {
    path.m_target.insert(0, "/");
  }
  return path;
}

bool IsRepeatable(const gen::Service &service, const std::string &method) {
  if (service.repeatable() == "always") return true;
  bool is_read = method == "GET" || method == "HEAD";
  return service.repeatable() == "get_only" && is_read;
}

/** @return a hash of what makes two requests the same request. */
std::string MakeFingerprint(const net::HttpRequest &request,
                            const std::string &target) {
  std::string text = request.m_method;
  text += '\n';
  text += target;
  text += '\n';
  text += request.m_body;
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

/** Sends one request to a service, after a claim if it isn't repeatable. */
class ServiceRelay {
 public:
  ServiceRelay(RequestScope *scope, const gen::Service &service,
               std::string target)
      : m_scope(scope),
        m_service(service),
        m_target(std::move(target)),
        m_shared(*scope->m_shared) {}

  void Run();

 private:
  void RunRepeatable();
  void RunAtMostOnce();
  bool MakeClaimRequest(ClaimRequest *claim);
  void SendClaimed(const ClaimRequest &claim, const std::string &claim_id);
  void AnswerStored(const std::string &stored);
  void RefuseClaim(ClaimStatus status);
  void StoreAnswer(const ClaimRequest &claim, const std::string &claim_id,
                   const net::HttpResponse &response);
  bool RunAttempt(const UpstreamLease &lease, bool is_repeatable,
                  net::HttpResponse *response);
  bool ReadWhole(net::HttpCall *call, net::HttpResponse *response);
  std::optional<UpstreamLease> Retry(const UpstreamLease &lease);

  RequestScope *m_scope;
  const gen::Service &m_service;
  std::string m_target;  ///< request target for the service
  EntryShared &m_shared;
  AcquireRequest m_acquire_request;
  AttemptFailure m_failure;  ///< of the last attempt
};

void ServiceRelay::Run() {
  bool is_repeatable = IsRepeatable(m_service, m_scope->m_request->m_method);
  m_acquire_request.m_service = m_service.name();
  m_acquire_request.m_customer = base::CustomerId(m_scope->m_customer);
  m_acquire_request.m_customer_weight = m_scope->m_customer_weight;
  m_acquire_request.m_priority = m_scope->m_priority;
  m_acquire_request.m_prompt_bytes = m_scope->m_request->m_body.size();
  m_acquire_request.m_is_repeatable = is_repeatable;
  m_acquire_request.m_deadline = m_scope->m_deadline;
  if (is_repeatable) {
    RunRepeatable();
  } else {
    RunAtMostOnce();
  }
}

/** Sends the request to one upstream and reads its answer.
 * @return whether the whole answer was read; if not, m_failure is set */
bool ServiceRelay::RunAttempt(const UpstreamLease &lease, bool is_repeatable,
                              net::HttpResponse *response) {
  net::HttpRequest request;
  request.m_method = m_scope->m_request->m_method;
  request.m_target = m_target;
  request.m_headers = FilterHeaders(m_scope->m_request->m_headers);
  request.m_headers.Add("X-Request-Id", m_scope->m_id);
  request.m_headers.Add("X-Deadline-Ms",
                        std::to_string(RemainingTime(*m_scope).count()));
  if (!m_scope->m_customer.empty()) {
    request.m_headers.Add("X-Customer", m_scope->m_customer);
  }
  request.m_body = m_scope->m_request->m_body;
  // A pooled connection may turn out to be closed only after the request was
  // sent; whether the request ran is then unknown.
  net::HttpClientPool::StartResult start = m_scope->m_thread->m_pool.Start(
      lease.m_upstream->m_endpoint, request, m_scope->m_deadline,
      is_repeatable ? net::HttpClientPool::Reuse::kPooled
                    : net::HttpClientPool::Reuse::kFresh);
  bool is_sent = start.m_send_state != net::SendState::kNothingSent;
  m_scope->m_may_have_run = m_scope->m_may_have_run || is_sent;
  bool is_read = false;
  if (start.m_call == nullptr) {
    m_failure.m_reason =
        is_sent ? RetryReason::kAnswerLost : RetryReason::kConnectFailed;
    m_failure.m_detail = start.m_error.m_message;
  } else {
    // A claimed request is not cancelled when its caller disconnects: its
    // answer must still be stored for a resend.
    if (is_repeatable) {
      m_scope->m_cancel = [call = start.m_call.get()] { call->Cancel(); };
    }
    is_read = ReadWhole(start.m_call.get(), response);
    m_scope->m_cancel = nullptr;
  }
  if (is_read) m_shared.m_dispatcher->Finish(lease, 1);
  NoteAttempt(m_scope, lease.m_upstream->m_id,
              is_read ? "ok" : GetRetryReasonName(m_failure.m_reason));
  m_failure.m_ran = is_sent ? route::ExecutionState::kUnknown
                            : route::ExecutionState::kNotRun;
  return is_read;
}

bool ServiceRelay::ReadWhole(net::HttpCall *call, net::HttpResponse *response) {
  auto max_bytes =
      static_cast<std::size_t>(m_shared.m_settings.entry().max_answer_bytes());
  base::Result<net::HttpResponse> head = call->ReadHead(m_scope->m_deadline);
  if (!head) {
    m_failure.m_reason = RetryReason::kAnswerLost;
    m_failure.m_detail = head.error().m_message;
    return false;
  }
  std::string echoed = head->m_headers.Get("X-Request-Id");
  if (!echoed.empty() && echoed != m_scope->m_id) {
    m_failure.m_reason = RetryReason::kBadAnswer;
    m_failure.m_detail = "the answer carries the ID of another request";
    return false;
  }
  response->m_status = head->m_status;
  response->m_headers = FilterHeaders(head->m_headers);
  while (true) {
    base::Result<bool> more =
        call->ReadSome(&response->m_body, m_scope->m_deadline);
    if (!more) {
      m_failure.m_reason = RetryReason::kAnswerLost;
      m_failure.m_detail = more.error().m_message;
      return false;
    }
    if (!*more) return true;
    if (response->m_body.size() > max_bytes) {
      m_failure.m_reason = RetryReason::kBadAnswer;
      m_failure.m_detail = "the service's answer is too long";
      return false;
    }
  }
}

/** @return the lease of the next attempt, or nothing at the end. */
std::optional<UpstreamLease> ServiceRelay::Retry(const UpstreamLease &lease) {
  bool is_late = base::Clock::now() >= m_scope->m_deadline;
  if (!m_scope->m_is_caller_gone && !is_late) {
    return RetryUpstream(m_scope, lease, m_failure);
  }
  m_shared.m_dispatcher->Abandon(lease);
  if (m_scope->m_is_caller_gone) {
    HandleCallerGone(m_scope);
  } else {
    Refuse(m_scope, route::RefusalReason::kUpstreamTimeout, m_failure.m_detail);
  }
  return std::nullopt;
}

void ServiceRelay::RunRepeatable() {
  std::optional<UpstreamLease> lease =
      AcquireUpstream(m_scope, m_acquire_request);
  while (lease) {
    net::HttpResponse response;
    if (RunAttempt(*lease, /*is_repeatable=*/true, &response)) {
      Answer(m_scope, std::move(response));
      return;
    }
    lease = Retry(*lease);
  }
}

/** @return false after the request was refused. */
bool ServiceRelay::MakeClaimRequest(ClaimRequest *claim) {
  const net::HttpHeaders &headers = m_scope->m_request->m_headers;
  std::string key = headers.Get("Idempotency-Key");
  if (key.empty() || key.size() > kMaxKeyBytes) {
    Refuse(m_scope, route::RefusalReason::kKeyRequired,
           key.empty() ? "" : "the key is longer than 256 bytes");
    return false;
  }
  // Length prefixes keep the parts apart whatever characters they contain.
  claim->m_key =
      fmt::format("{}:{}/{}:{}/{}", m_service.name().size(), m_service.name(),
                  m_scope->m_customer.size(), m_scope->m_customer, key);
  claim->m_region = m_service.home_region().empty()
                        ? m_shared.m_settings.node().region()
                        : m_service.home_region();
  claim->m_fingerprint = MakeFingerprint(*m_scope->m_request, m_target);
  claim->m_retention = base::milliseconds(m_service.key_retention_ms());
  claim->m_deadline = m_scope->m_deadline;
  const std::string *created = headers.Find("X-Key-Created-Ms");
  if (created == nullptr) return true;
  std::int64_t number = 0;
  const char *end = created->data() + created->size();
  auto [stop, code] = std::from_chars(created->data(), end, number);
  if (code != std::errc() || stop != end || number < 0) {
    Refuse(m_scope, route::RefusalReason::kBadRequest,
           "X-Key-Created-Ms is not a count of milliseconds");
    return false;
  }
  claim->m_created_since_epoch = base::milliseconds(number);
  return true;
}

void ServiceRelay::RunAtMostOnce() {
  ClaimRequest claim;
  if (!MakeClaimRequest(&claim)) return;
  if (m_shared.m_once == nullptr) {
    Refuse(m_scope, route::RefusalReason::kRecorderUnavailable,
           "no recorders are configured");
    return;
  }
  ClaimDecision decision = m_shared.m_once->Claim(claim);
  if (decision.m_status == ClaimStatus::kGranted) {
    SendClaimed(claim, decision.m_claim_id);
  } else if (decision.m_status == ClaimStatus::kFinished) {
    AnswerStored(decision.m_answer);
  } else {
    RefuseClaim(decision.m_status);
  }
}

void ServiceRelay::SendClaimed(const ClaimRequest &claim,
                               const std::string &claim_id) {
  // If nothing of the request was sent, its key is released before the caller
  // learns of the failure and resends the request.
  m_scope->m_before_failure = [this, &claim, &claim_id] {
    if (m_scope->m_may_have_run) return;
    m_shared.m_once->Release(claim, claim_id);
  };
  std::optional<UpstreamLease> lease =
      AcquireUpstream(m_scope, m_acquire_request);
  while (lease) {
    net::HttpResponse response;
    if (RunAttempt(*lease, /*is_repeatable=*/false, &response)) {
      m_scope->m_before_failure = nullptr;
      StoreAnswer(claim, claim_id, response);
      Answer(m_scope, std::move(response));
      return;
    }
    if (m_scope->m_may_have_run) {
      m_shared.m_dispatcher->Abandon(*lease);
      Refuse(m_scope, route::RefusalReason::kOutcomeUnknown,
             m_failure.m_detail);
      return;
    }
    lease = Retry(*lease);
  }
  m_scope->m_before_failure = nullptr;
}

void ServiceRelay::StoreAnswer(const ClaimRequest &claim,
                               const std::string &claim_id,
                               const net::HttpResponse &response) {
  gen::StoredAnswer stored;
  stored.set_status(response.m_status);
  stored.set_content_type(response.m_headers.Get("Content-Type"));
  stored.set_body(response.m_body);
  std::string text = stored.SerializeAsString();
  if (text.size() > kMaxStoredBytes) {
    stored.clear_body();
    stored.set_is_body_dropped(true);
    text = stored.SerializeAsString();
  }
  ClaimRequest completed_claim = claim;
  completed_claim.m_deadline = base::Clock::now() + kStoreAnswerTimeout;
  base::Result<void> done =
      m_shared.m_once->Complete(completed_claim, claim_id, text);
  if (done) return;
  base::LogEvent(
      base::LogLevel::kWarn, "answer_not_stored",
      {{"request_id", m_scope->m_id}, {"error", done.error().ToString()}});
}

void ServiceRelay::AnswerStored(const std::string &stored) {
  gen::StoredAnswer answer;
  bool is_readable =
      answer.ParseFromString(stored) && net::IsValidStatus(answer.status());
  if (!is_readable || answer.is_body_dropped()) {
    m_scope->m_may_have_run = true;
    Refuse(m_scope, route::RefusalReason::kOutcomeUnknown,
           is_readable ? "the answer was too long to keep"
                       : "the stored answer can't be read");
    return;
  }
  net::HttpResponse response;
  response.m_status = answer.status();
  if (!answer.content_type().empty()) {
    response.m_headers.Add("Content-Type", answer.content_type());
  }
  response.m_headers.Add("Idempotent-Replayed", "true");
  response.m_body = answer.body();
  m_scope->m_detail = "stored answer";
  Answer(m_scope, std::move(response));
}

void ServiceRelay::RefuseClaim(ClaimStatus status) {
  route::Refusal refusal;
  switch (status) {
    case ClaimStatus::kInProgress:
      refusal.m_reason = route::RefusalReason::kKeyInProgress;
      refusal.m_retry_after = base::seconds(1);
      // This request resends the one that holds the key, which may be running.
      refusal.m_ran = route::ExecutionState::kUnknown;
      break;
    case ClaimStatus::kConflict:
      refusal.m_reason = route::RefusalReason::kKeyConflict;
      break;
    case ClaimStatus::kExpired:
      refusal.m_reason = route::RefusalReason::kKeyExpired;
      refusal.m_ran = route::ExecutionState::kUnknown;
      break;
    case ClaimStatus::kUnknown:
      refusal.m_reason = route::RefusalReason::kOutcomeUnknown;
      refusal.m_ran = route::ExecutionState::kUnknown;
      break;
    default:
      refusal.m_reason = route::RefusalReason::kRecorderUnavailable;
      refusal.m_retry_after = base::seconds(1);
  }
  Refuse(m_scope, std::move(refusal));
}

}  // namespace

void RelayService(RequestScope *scope) {
  scope->m_kind = "service";
  ServicePath path = SplitPath(scope->m_request->m_target);
  scope->m_name = path.m_service;
  auto found = scope->m_catalog->m_services.find(path.m_service);
  if (found == scope->m_catalog->m_services.end()) {
    Refuse(scope, route::RefusalReason::kUnknownService, path.m_service);
    return;
  }
  if (!scope->m_shared->m_link->IsFresh(scope->m_start)) {
    Refuse(scope, route::RefusalReason::kStaleConfiguration);
    return;
  }
  ServiceRelay(scope, *found->second, std::move(path.m_target)).Run();
}

}  // namespace wasabiwind::entry
