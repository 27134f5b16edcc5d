/** @file operators_http.cpp Operators' HTTP interface of a control host. */

#include "control/operators_http.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>

#include "base/metrics_func.h"
#include "operators/protocol_func.h"
#include "replica/log_func.h"

namespace wasabiwind::control {

namespace {

using base::ErrorKind;

constexpr std::uint64_t kDefaultHistoryLimit = 100;
constexpr const char *kBearerPrefix = "Bearer ";

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

net::HttpResponse MakeMessageResponse(
    int status, const google::protobuf::Message &message) {
  return net::MakeJsonResponse(status, operators::ToJson(message));
}

template <typename Reply>
net::HttpResponse MakeResultResponse(const OperatorsResult<Reply> &result) {
  if (result) return MakeMessageResponse(200, *result);
  ErrorKind kind = operators::FindErrorKind(result.error().kind());
  return MakeMessageResponse(operators::GetHttpStatus(kind), result.error());
}

/** @return the number after "name=" in a query, or nullopt. */
std::optional<std::uint64_t> FindNumber(const std::string &query,
                                        const std::string &name) {
  std::size_t at = query.find(name + "=");
  if (at == std::string::npos) return std::nullopt;
  const char *begin = query.data() + at + name.size() + 1;
  std::uint64_t value = 0;
  auto [end, code] = std::from_chars(begin, query.data() + query.size(), value);
  if (code != std::errc() || end == begin) return std::nullopt;
  return value;
}

std::string GetQuery(const net::HttpRequest &request) {
  std::size_t at = request.m_target.find('?');
  return at == std::string::npos ? "" : request.m_target.substr(at + 1);
}

/** Compares in a time that doesn't depend on where the texts differ. */
bool IsEqualToken(const std::string &left, const std::string &right) {
  if (left.size() != right.size()) return false;
  unsigned char difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i] ^ right[i]);
  }
  return difference == 0;
}

}  // namespace

base::Result<std::vector<std::string>> LoadCredentials(
    const std::string &path) {
  std::ifstream file(path);
  std::vector<std::string> tokens;
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty() && line[0] != '#') tokens.push_back(line);
  }
  if (!tokens.empty()) return tokens;
  return base::MakeError(
      ErrorKind::kInvalidSettings,
      fmt::format("{} can't be read or holds no bearer token", path),
      "write one token a line into the file that "
      "[operators] credentials_file names");
}

bool IsAuthorized(const net::HttpRequest &request,
                  const std::vector<std::string> &tokens) {
  std::string value = request.m_headers.Get("Authorization");
  if (!value.starts_with(kBearerPrefix)) return false;
  std::string token = value.substr(std::string(kBearerPrefix).size());
  bool is_known = false;
  for (const std::string &known : tokens) {
    is_known |= IsEqualToken(known, token);
  }
  return is_known;
}

net::HttpResponse MakeErrorResponse(const base::Error &error) {
  // An overload of this host passes soon, unlike a limit of the configuration.
  int status = error.m_kind == ErrorKind::kOverloaded
                   ? kTooManyRequests
                   : operators::GetHttpStatus(error.m_kind);
  net::HttpResponse response =
      MakeMessageResponse(status, operators::MakeOperatorsError(error));
  bool is_temporary = status == kTooManyRequests || status == kUnavailable;
  if (is_temporary) response.m_headers.Add("Retry-After", "1");
  return response;
}

void OperatorsHttp::Handle(const net::HttpRequest &request,
                           net::HttpExchange &exchange) {
  net::HttpResponse response = Answer(request);
  base::GetCounter("ww_operators_requests_total", "Operators' requests",
                   {{"status", std::to_string(response.m_status)}})
      .Increment();
  (void)exchange.Respond(response);
}

net::HttpResponse OperatorsHttp::Answer(const net::HttpRequest &request) {
  if (!IsAuthorized(request, m_tokens)) {
    return MakeErrorResponse(
        base::Error{ErrorKind::kPermission, "the bearer token is unknown",
                    "send Authorization: Bearer with a token of the "
                    "credentials file"});
  }
  if (m_node->GetState().m_role != replica::Role::kLeader) {
    return Redirect(request);
  }
  return AnswerOnLeader(request);
}

net::HttpResponse OperatorsHttp::Redirect(
    const net::HttpRequest &request) const {
  const replica::RaftState &state = m_node->GetState();
  const replica::Member *leader =
      replica::FindMember(state.m_members, state.m_leader);
  if (leader == nullptr || leader->m_operators_address.empty()) {
    return MakeErrorResponse(
        base::Error{ErrorKind::kUnavailable, "no leader is known",
                    "retry when a leader has been elected"});
  }
  net::HttpResponse response;
  response.m_status = 307;
  response.m_headers.Add("Location",
                         fmt::format("http://{}{}", leader->m_operators_address,
                                     request.m_target));
  return response;
}

net::HttpResponse OperatorsHttp::AnswerOnLeader(
    const net::HttpRequest &request) {
  std::string path(request.Path());
  if (request.m_method == "POST" && path == operators::kApplyPath) {
    return Apply(request, false);
  }
  bool is_test = request.m_method == "POST" && path == operators::kTestPath;
  bool is_read =
      request.m_method == "GET" &&
      (path == operators::kConfigPath || path == operators::kHistoryPath ||
       path == operators::kStatusPath);
  if (!is_test && !is_read) {
    return MakeErrorResponse(base::Error{
        ErrorKind::kNotFound,
        fmt::format("{} {} is unknown", request.m_method, path),
        "use POST /ops/v1/apply or test, GET /ops/v1/config, history or "
        "status"});
  }
  base::Result<void> confirmed =
      m_node->ConfirmRead(base::Clock::now() + m_timeout);
  if (!confirmed) return MakeErrorResponse(confirmed.error());
  if (is_test) return Apply(request, true);
  if (path == operators::kConfigPath) return Config(GetQuery(request));
  if (path == operators::kStatusPath) return Status();
  std::uint64_t limit =
      FindNumber(GetQuery(request), "limit").value_or(kDefaultHistoryLimit);
  return MakeMessageResponse(200, m_machine->ListHistory(limit));
}

net::HttpResponse OperatorsHttp::Apply(const net::HttpRequest &request,
                                       bool is_test) {
  gen::ApplyRequest body;
  base::Result<void> parsed = operators::FromJson(request.m_body, &body);
  if (!parsed) return MakeErrorResponse(parsed.error());
  std::string command = m_machine->MakeCommand(body, base::WallClock::now());
  if (is_test) return MakeResultResponse(m_machine->Test(command));
  base::Result<CommandOutcome> outcome =
      m_node->Execute(std::move(command), base::Clock::now() + m_timeout);
  if (!outcome) return MakeErrorResponse(outcome.error());
  return MakeResultResponse(*outcome);
}

net::HttpResponse OperatorsHttp::Config(const std::string &query) const {
  std::optional<std::uint64_t> number = FindNumber(query, "revision");
  std::optional<base::Revision> revision;
  if (number) revision = base::Revision(*number);
  return MakeResultResponse(m_machine->PrintConfig(revision));
}

net::HttpResponse OperatorsHttp::Status() const {
  const replica::RaftState &state = m_node->GetState();
  base::TimePoint now = base::Clock::now();
  gen::StatusReply status;
  m_machine->FillStatus(&status);
  status.set_term(state.m_term);
  for (const replica::Member &member : state.m_members) {
    gen::ControlStatus *item = status.add_control();
    const base::NodeId &host = member.m_identity.m_host;
    item->set_node(host.Value());
    item->set_operators_address(member.m_operators_address);
    item->set_is_voter(member.m_is_voter);
    item->set_is_leader(host == state.m_leader);
    if (host == state.m_leader) status.set_leader(member.m_operators_address);
    auto progress = state.m_progress.find(host);
    if (progress == state.m_progress.end()) continue;
    item->set_contact_age_ms(std::chrono::duration_cast<base::milliseconds>(
                                 now - progress->second.m_heard_at)
                                 .count());
  }
  return MakeMessageResponse(200, status);
}

}  // namespace wasabiwind::control
