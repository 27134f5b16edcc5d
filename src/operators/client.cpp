/** @file client.cpp Client of the operators' HTTP interface. */

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "net/fiber_scheduler.h"
#include "operators/client_type.h"
#include "operators/protocol_func.h"

namespace wasabiwind::operators {

namespace {

using base::ErrorKind;
using base::MakeError;
using base::milliseconds;
using base::Result;

constexpr milliseconds kFirstRetryDelay{50};
constexpr milliseconds kMaxRetryDelay{1'000};
/** Redirects followed without a delay. More of them mean that the hosts
 * disagree on the leader until an election is decided. */
constexpr int kMaxRedirects = 3;
constexpr int kMaxAttempts = 200;
constexpr milliseconds kStatusInterval{200};
/** A configuration with the maximum of 50,000 entities prints as about 8 MB. */
constexpr std::size_t kMaxResponseBytes = 64 << 20;
constexpr int kMaxListedNodes = 10;

bool ShouldTryNextHost(int status) { return status >= 500 || status == 429; }

/** @return the error that a response with an error status describes. */
base::Error ParseErrorResponse(const net::HttpResponse &response) {
  gen::OperatorsError body;
  bool is_readable =
      FromJson(response.m_body, &body).has_value() && !body.message().empty();
  if (!is_readable) {
    return base::Error{
        ErrorKind::kProtocol,
        fmt::format(
            "a control host answered with HTTP status {} but no readable error",
            response.m_status),
        "check that --control names operators' addresses of ww_control"};
  }
  return base::Error{FindErrorKind(body.kind()), body.message(), body.remedy()};
}

template <typename Message>
Result<Message> ParseReply(const Result<std::string> &reply_body) {
  if (!reply_body) return tl::unexpected(reply_body.error());
  Message message;
  Result<void> parsed = FromJson(*reply_body, &message);
  if (!parsed) return tl::unexpected(parsed.error());
  return message;
}

std::string MakeApplyBody(const gen::ChangeBatch &batch) {
  gen::ApplyRequest request;
  *request.mutable_batch() = batch;
  return ToJson(request);
}

std::string DescribeNodesBehind(const gen::StatusReply &status) {
  std::string list;
  int listed_count = std::min(status.behind_size(), kMaxListedNodes);
  for (int i = 0; i < listed_count; ++i) {
    const gen::NodeStatus &node = status.behind(i);
    list += fmt::format("{}{} ({}, revision {}, confirmed {} ms ago)",
                        i == 0 ? "" : ", ", node.node(), node.region(),
                        node.revision(), node.confirm_age_ms());
  }
  if (static_cast<int>(status.nodes_behind()) > listed_count) list += ", ...";
  return list;
}

}  // namespace

OperatorsClient::OperatorsClient(ClientOptions options)
    : m_options(std::move(options)) {
  assert(!m_options.m_control.empty());
  m_address = m_options.m_control[0];
}

void OperatorsClient::UseNextAddress() {
  m_address_index = (m_address_index + 1) % m_options.m_control.size();
  m_address = m_options.m_control[m_address_index];
}

/** @return whether the response redirects to another address, which is then
 * used for the next attempt. */
bool OperatorsClient::FollowRedirect(const net::HttpResponse &response) {
  std::string location = response.m_headers.Get("Location");
  const std::string scheme = "http://";
  if (location.compare(0, scheme.size(), scheme) != 0) return false;
  std::size_t end = location.find('/', scheme.size());
  std::string authority = location.substr(scheme.size(), end - scheme.size());
  Result<net::Endpoint> endpoint = net::ParseEndpoint(authority);
  if (!endpoint) return false;
  m_address = *endpoint;
  return true;
}

/** Sends to the current address and follows redirects. */
Result<net::HttpResponse> OperatorsClient::CallOnce(
    const net::HttpRequest &request, base::TimePoint deadline) {
  for (int i = 0; i <= kMaxRedirects; ++i) {
    base::TimePoint attempt_deadline =
        std::min(deadline, base::Clock::now() + m_options.m_attempt_timeout);
    Result<net::HttpResponse> response =
        m_pool.Fetch(m_address, request, attempt_deadline, kMaxResponseBytes);
    if (!response || response->m_status != 307) return response;
    if (!FollowRedirect(*response)) {
      return MakeError(ErrorKind::kUnavailable,
                       m_address.ToString() + " knows no leader",
                       "try again when a leader has been elected");
    }
  }
  return MakeError(ErrorKind::kUnavailable,
                   "control hosts redirect to each other",
                   "try again when a leader has been elected");
}

Result<std::string> OperatorsClient::Call(const std::string &method,
                                          const std::string &target,
                                          const std::string &body) {
  net::HttpRequest request;
  request.m_method = method;
  request.m_target = target;
  request.m_body = body;
  request.m_headers.Add("Authorization", "Bearer " + m_options.m_token);
  if (!body.empty()) request.m_headers.Add("Content-Type", "application/json");
  base::TimePoint deadline = base::Clock::now() + m_options.m_timeout;
  milliseconds delay = kFirstRetryDelay;
  std::string last_error;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    net::Endpoint address = m_address;
    Result<net::HttpResponse> response = CallOnce(request, deadline);
    if (response && response->m_status == 200) {
      return std::move(response->m_body);
    }
    if (response && !ShouldTryNextHost(response->m_status)) {
      return tl::unexpected(ParseErrorResponse(*response));
    }
    last_error = response ? ParseErrorResponse(*response).m_message
                          : response.error().m_message;
    last_error = fmt::format("{}: {}", address.ToString(), last_error);
    UseNextAddress();
    if (base::Clock::now() + delay >= deadline) break;
    // Waits only when every host has been tried.
    if (m_address_index != 0) continue;
    net::SleepFor(delay);
    delay = std::min(delay * 2, kMaxRetryDelay);
  }
  return MakeError(ErrorKind::kUnavailable,
                   "no control leader answered; last error: " + last_error,
                   "check --control and the control hosts; a batch may have "
                   "been applied, so send it again with the same operation "
                   "ID");
}

Result<gen::ApplyReply> OperatorsClient::Apply(const gen::ChangeBatch &batch) {
  return ParseReply<gen::ApplyReply>(
      Call("POST", kApplyPath, MakeApplyBody(batch)));
}

Result<gen::ApplyReply> OperatorsClient::Test(const gen::ChangeBatch &batch) {
  return ParseReply<gen::ApplyReply>(
      Call("POST", kTestPath, MakeApplyBody(batch)));
}

Result<gen::ConfigReply> OperatorsClient::GetConfig(base::Revision revision) {
  std::string target = kConfigPath;
  if (revision.IsValid()) {
    target += fmt::format("?revision={}", revision.Value());
  }
  return ParseReply<gen::ConfigReply>(Call("GET", target, ""));
}

Result<gen::HistoryReply> OperatorsClient::GetHistory(std::size_t limit) {
  return ParseReply<gen::HistoryReply>(
      Call("GET", fmt::format("{}?limit={}", kHistoryPath, limit), ""));
}

Result<gen::StatusReply> OperatorsClient::GetStatus() {
  return ParseReply<gen::StatusReply>(Call("GET", kStatusPath, ""));
}

Result<gen::StatusReply> OperatorsClient::WaitUntilInForce(
    base::Revision revision, milliseconds timeout) {
  base::TimePoint deadline = base::Clock::now() + timeout;
  while (true) {
    Result<gen::StatusReply> status = GetStatus();
    if (!status || status->in_force_revision() >= revision.Value()) {
      return status;
    }
    if (base::Clock::now() + kStatusInterval > deadline) {
      return MakeError(
          ErrorKind::kTimeout,
          fmt::format("revision {} is accepted but not yet in effect at {} of "
                      "{} nodes: {}",
                      revision.Value(), status->nodes_behind(), status->nodes(),
                      DescribeNodesBehind(*status)),
          "check these nodes; each refuses requests once its lease ends");
    }
    net::SleepFor(kStatusInterval);
  }
}

}  // namespace wasabiwind::operators
