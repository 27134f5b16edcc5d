/** @file entry_server.cpp The server of an entry host. */

#include "entry/entry_server.h"

#include <pthread.h>

#include <boost/fiber/fiber.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <thread>

#include "base/log_func.h"
#include "entry/entry_internal.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::entry {

namespace json = boost::json;

namespace {

/** Interval at which a thread checks for callers that have disconnected and for
 * CutOff. */
constexpr base::milliseconds kCallerCheckInterval{200};
/** How often routing checks which of its timers are due. */
constexpr base::milliseconds kRouterTickInterval{50};
constexpr base::milliseconds kBackgroundPoll{10};
constexpr int kWeightOwnRegion = 100;
/** Callers should prefer their own region; cross-region traffic is billed. */
constexpr int kWeightOtherRegion = 10;
constexpr int kTooManyRequests = 429;

thread_local EntryThread *g_thread = nullptr;

/** @return the duration in a header, or nothing unless it is a whole number of
 * at least 1. */
std::optional<base::milliseconds> ParseMilliseconds(const std::string &text) {
  std::int64_t number = 0;
  const char *end = text.data() + text.size();
  auto [stop, code] = std::from_chars(text.data(), end, number);
  if (code != std::errc() || stop != end || number < 1) return std::nullopt;
  return base::milliseconds(number);
}

/** Reads deadline and priority. @return false if refused */
bool ReadRequestHeaders(RequestScope *scope) {
  const net::HttpHeaders &headers = scope->m_request->m_headers;
  const gen::EntrySection &settings = scope->m_shared->m_settings.entry();
  if (const std::string *text = headers.Find("X-Deadline-Ms")) {
    std::optional<base::milliseconds> budget = ParseMilliseconds(*text);
    if (!budget) {
      Refuse(scope, route::RefusalReason::kBadRequest,
             "X-Deadline-Ms is not a count of milliseconds");
      return false;
    }
    base::milliseconds limit(settings.max_deadline_ms());
    scope->m_deadline = scope->m_start + std::min(*budget, limit);
  }
  if (const std::string *text = headers.Find("X-Priority")) {
    std::optional<Priority> priority = FindPriority(*text);
    if (!priority) {
      Refuse(scope, route::RefusalReason::kBadRequest,
             "X-Priority is none of interactive, standard, batch");
      return false;
    }
    scope->m_priority = *priority;
  }
  return true;
}

void AnswerModels(RequestScope *scope) {
  json::array models;
  for (const gen::Deployment &deployment :
       scope->m_catalog->m_declarations.deployment()) {
    json::object model;
    model["id"] = deployment.name();
    model["object"] = "model";
    model["owned_by"] = deployment.model();
    models.push_back(std::move(model));
  }
  json::object body;
  body["object"] = "list";
  body["data"] = std::move(models);
  Answer(scope, net::MakeJsonResponse(200, json::serialize(body)));
}

/** @return the nodes that callers may use now. */
std::vector<gen::NodeRecord> ListNodes(const EntryShared &shared) {
  std::vector<gen::NodeRecord> nodes = shared.m_link->GetNodes();
  bool is_usable = !shared.m_is_leaving &&
                   shared.m_link->GetCatalog() != nullptr &&
                   shared.m_link->IsFresh(base::Clock::now());
  const std::string &own_name = shared.m_settings.node().name();
  std::erase_if(nodes, [&](const gen::NodeRecord &node) {
    return node.is_leaving() || (node.node() == own_name && !is_usable);
  });
  return nodes;
}

std::string MakeAddressesBody(const EntryShared &shared) {
  json::array addresses;
  for (const gen::NodeRecord &node : ListNodes(shared)) {
    bool is_own_region = node.region() == shared.m_settings.node().region();
    json::object address;
    address["address"] = node.caller_address();
    address["weight"] = is_own_region ? kWeightOwnRegion : kWeightOtherRegion;
    address["region"] = node.region();
    addresses.push_back(std::move(address));
  }
  json::object body;
  body["addresses"] = std::move(addresses);
  body["keep_ms"] = shared.m_settings.entry().keep_ms();
  return json::serialize(body);
}

std::string MakeAnnounceBody(const EntryShared &shared) {
  json::array entries;
  for (const gen::NodeRecord &node : ListNodes(shared)) {
    entries.push_back(json::string(node.caller_address()));
  }
  json::object body;
  body["renew_ms"] = shared.m_settings.entry().renew_ms();
  body["entries"] = std::move(entries);
  return json::serialize(body);
}

void RespondError(net::HttpExchange *exchange, int status, const char *reason,
                  const std::string &message) {
  json::object error;
  error["type"] = "error";
  error["reason"] = reason;
  error["message"] = message;
  json::object body;
  body["error"] = std::move(error);
  (void)exchange->Respond(net::MakeJsonResponse(status, json::serialize(body)));
}

void HandleAnnounce(EntryShared *shared, const net::HttpRequest &request,
                    net::HttpExchange *exchange) {
  if (request.m_method != "POST") {
    RespondError(exchange, 405, "bad_method", "use POST");
    return;
  }
  base::Result<Announcement> announcement = ParseAnnouncement(request.m_body);
  if (!announcement) {
    RespondError(exchange, 400, "bad_announcement",
                 announcement.error().ToString());
    return;
  }
  AnnounceOutcome outcome =
      shared->m_upstreams->Announce(*announcement, base::Clock::now());
  if (outcome == AnnounceOutcome::kOldIncarnation) {
    RespondError(exchange, 409, "old_incarnation",
                 "a newer start of this upstream is known; start again with a "
                 "higher incarnation");
  } else if (outcome == AnnounceOutcome::kTableFull) {
    RespondError(exchange, kTooManyRequests, "table_full",
                 "too many upstreams are known; announce to another node");
  } else {
    (void)exchange->Respond(
        net::MakeJsonResponse(200, MakeAnnounceBody(*shared)));
  }
}

/** Serves the requests of callers, except for addresses. */
void HandleCaller(EntryShared *shared, const net::HttpRequest &request,
                  net::HttpExchange *exchange) {
  RequestScope scope(shared, g_thread, &request, exchange);
  std::string_view path = request.Path();
  scope.m_kind = "other";
  if (scope.m_catalog == nullptr) {
    Refuse(&scope, route::RefusalReason::kStaleConfiguration);
    return;
  }
  if (!ReadRequestHeaders(&scope) || !Authenticate(&scope)) return;
  constexpr std::string_view kServicePrefix = "/svc/";
  if (path.substr(0, kServicePrefix.size()) == kServicePrefix) {
    RelayService(&scope);
  } else if (path == "/v1/chat/completions" && request.m_method == "POST") {
    RelayCompletion(&scope, /*is_chat=*/true);
  } else if (path == "/v1/completions" && request.m_method == "POST") {
    RelayCompletion(&scope, /*is_chat=*/false);
  } else if (path == "/v1/models" && request.m_method == "GET") {
    scope.m_kind = "models";
    AnswerModels(&scope);
  } else {
    Refuse(&scope, route::RefusalReason::kBadRequest,
           "no such path or method: " + request.m_method + " " +
               std::string(path));
  }
}

}  // namespace

struct EntryServer::Impl {
  EntryShared m_shared;
  std::unique_ptr<net::HttpServer> m_server;
  std::vector<std::thread> m_threads;
  std::atomic<int> m_running_threads = 0;
  std::atomic<int> m_serving_threads = 0;  ///< inside HttpServer::Serve

  void CheckActive(EntryThread *thread);
  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);
  void RunThread(bool is_first);
};

EntryServer::EntryServer(const gen::EntrySettings &settings, OnceClient *once)
    : m_impl(std::make_unique<Impl>()) {
  EntryShared &shared = m_impl->m_shared;
  shared.m_settings = settings;
  shared.m_once = once;
  base::Random random{base::MakeSeed()};
  shared.m_process_nonce = base::NextRandom(&random) & 0xFFFFFFFFU;
  shared.m_dispatcher = std::make_unique<Dispatcher>(
      settings.entry().max_attempts(), [&shared](const ActivationNeed &need) {
        gen::ActivationRequest activation;
        activation.set_deployment(need.m_deployment.Value());
        activation.set_adapter(need.m_adapter);
        activation.set_region(shared.m_settings.node().region());
        activation.set_deadline_ms(need.m_time_left.count());
        activation.set_waiting(static_cast<std::uint32_t>(need.m_waiting));
        shared.m_link->RequestActivation(activation);
      });
  UpstreamTableOptions options;
  options.m_node = settings.node().name();
  options.m_region = settings.node().region();
  options.m_suspect_after =
      base::milliseconds(settings.entry().suspect_after_ms());
  options.m_remove_after =
      base::milliseconds(settings.entry().remove_after_ms());
  shared.m_upstreams = std::make_unique<UpstreamTable>(
      options, shared.m_dispatcher.get(),
      [&shared](const gen::UpstreamRecord &record) {
        shared.m_link->ReportUpstream(record);
      });
}

EntryServer::~EntryServer() = default;

ControlLinkEvents EntryServer::MakeLinkEvents() {
  EntryShared *shared = &m_impl->m_shared;
  ControlLinkEvents events;
  events.m_on_catalog = [](const config::CatalogPtr &) {};
  events.m_on_upstream = [shared](const gen::UpstreamRecord &record) {
    shared->m_upstreams->ApplyRemote(record);
  };
  events.m_on_activation_reply = [shared](const gen::ActivationReply &reply) {
    config::CatalogPtr catalog = shared->m_link->GetCatalog();
    if (catalog == nullptr) return;
    std::string name = reply.deployment();
    if (!reply.adapter().empty()) name += "/" + reply.adapter();
    config::ResolvedModel model = config::ResolveModel(*catalog, name);
    if (model.m_deployment == nullptr) return;
    bool is_no_upstream =
        reply.reason() ==
        route::GetRefusalRow(route::RefusalReason::kNoUpstream).m_name;
    shared->m_dispatcher->NoteActivationReply(
        base::DeploymentId(reply.deployment()), model.m_target,
        reply.is_refused(),
        is_no_upstream ? route::RefusalReason::kNoUpstream
                       : route::RefusalReason::kColdStartTooLate,
        base::milliseconds(reply.ready_in_ms()));
  };
  return events;
}

base::Result<void> EntryServer::Listen() {
  const gen::EntrySection &settings = m_impl->m_shared.m_settings.entry();
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(settings.listen());
  if (!endpoint) return tl::unexpected(endpoint.error());
  net::HttpServerOptions options;
  options.m_listen = *endpoint;
  options.m_max_body_bytes =
      static_cast<std::size_t>(settings.max_body_bytes());
  options.m_max_connections =
      static_cast<std::size_t>(settings.max_connections());
  m_impl->m_server = std::make_unique<net::HttpServer>(
      options, [impl = m_impl.get()](const net::HttpRequest &request,
                                     net::HttpExchange &exchange) {
        impl->Handle(request, exchange);
      });
  return m_impl->m_server->Listen();
}

std::uint16_t EntryServer::Port() const { return m_impl->m_server->Port(); }

void EntryServer::Start(ControlLink *link) {
  m_impl->m_shared.m_link = link;
  int count = m_impl->m_shared.m_settings.entry().threads();
  for (int i = 0; i < count; ++i) {
    ++m_impl->m_running_threads;
    ++m_impl->m_serving_threads;
    m_impl->m_threads.emplace_back(
        [impl = m_impl.get(), i] { impl->RunThread(i == 0); });
  }
}

void EntryServer::Impl::RunThread(bool is_first) {
  ::pthread_setname_np(::pthread_self(), "ww-entry");
  net::RunFiberThread([this, is_first] {
    EntryThread thread;
    g_thread = &thread;
    bool is_stopped = false;
    boost::fibers::fiber caller_check([this, &thread, &is_stopped] {
      while (!is_stopped) {
        net::SleepFor(kCallerCheckInterval);
        CheckActive(&thread);
      }
    });
    // Runs until the last thread has finished its requests.
    boost::fibers::fiber router_ticks([this, is_first] {
      while (is_first && m_serving_threads > 0) {
        m_shared.m_dispatcher->Tick(base::Clock::now());
        net::SleepFor(kRouterTickInterval);
      }
    });
    m_server->Serve();
    --m_serving_threads;
    is_stopped = true;
    caller_check.join();
    router_ticks.join();
    // A backup that ends may start a cancel message.
    while (thread.m_backup_fibers + thread.m_background_fibers > 0) {
      net::SleepFor(kBackgroundPoll);
    }
    g_thread = nullptr;
  });
  --m_running_threads;
}

/** Ends the waits of requests whose callers have disconnected, or of all
 * requests after CutOff. */
void EntryServer::Impl::CheckActive(EntryThread *thread) {
  base::TimePoint now = base::Clock::now();
  for (RequestScope *scope : thread->m_active) {
    bool was_gone = scope->m_is_caller_gone;
    if (!was_gone) scope->m_is_caller_gone = scope->m_exchange->IsPeerGone();
    bool is_cut_off = m_shared.m_is_cut_off && scope->m_deadline > now;
    if (is_cut_off) scope->m_deadline = now;
    bool has_changed = is_cut_off || (scope->m_is_caller_gone && !was_gone);
    if (has_changed && scope->m_cancel) scope->m_cancel();
  }
}

void EntryServer::Impl::Handle(const net::HttpRequest &request,
                               net::HttpExchange &exchange) {
  std::string_view path = request.Path();
  if (path == "/upstream/v1/announce") {
    HandleAnnounce(&m_shared, request, &exchange);
  } else if (path == "/v1/addresses" && request.m_method == "GET") {
    (void)exchange.Respond(
        net::MakeJsonResponse(200, MakeAddressesBody(m_shared)));
  } else {
    HandleCaller(&m_shared, request, &exchange);
  }
}

void EntryServer::Tick(base::TimePoint now) {
  m_impl->m_shared.m_upstreams->Tick(now);
}

void EntryServer::BeginDrain() {
  m_impl->m_shared.m_is_leaving = true;
  m_impl->m_shared.m_link->BeginLeaving();
  m_impl->m_server->BeginDrain();
}

void EntryServer::BeginStop() { m_impl->m_server->Stop(); }

bool EntryServer::HasStopped() const { return m_impl->m_running_threads == 0; }

void EntryServer::CutOff() { m_impl->m_shared.m_is_cut_off = true; }

void EntryServer::Stop() {
  BeginStop();
  for (std::thread &thread : m_impl->m_threads) thread.join();
  m_impl->m_threads.clear();
}

std::size_t EntryServer::ActiveRequests() const {
  return m_impl->m_server->ActiveRequests();
}

std::size_t EntryServer::UpstreamCount() const {
  return m_impl->m_shared.m_upstreams->Count();
}

std::string EntryServer::CheckReady() const {
  const EntryShared &shared = m_impl->m_shared;
  if (shared.m_is_leaving) return "the node is shutting down";
  if (shared.m_link->GetCatalog() == nullptr) {
    return "no configuration has arrived yet";
  }
  if (!shared.m_link->IsFresh(base::Clock::now())) {
    return "the configuration is not confirmed by control";
  }
  return "";
}

}  // namespace wasabiwind::entry
