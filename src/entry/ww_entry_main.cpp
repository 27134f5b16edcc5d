/** @file ww_entry_main.cpp The entry program. */

#include <boost/fiber/fiber.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include "base/log_func.h"
#include "entry/entry_server.h"
#include "entry/network_link.h"
#include "entry/recorder_once_client.h"
#include "entry/standalone_link.h"
#include "net/fiber_scheduler.h"
#include "net/program_func.h"
#include "net/signal_watch.h"

namespace {

using wasabiwind::base::Clock;
using wasabiwind::base::LogEvent;
using wasabiwind::base::LogLevel;
using wasabiwind::base::milliseconds;
using wasabiwind::base::Result;
using wasabiwind::entry::EntryServer;
using wasabiwind::entry::NetworkLink;
using wasabiwind::entry::StandaloneLink;
namespace gen = wasabiwind::gen;
namespace net = wasabiwind::net;

/** Interval of the checks for silent upstreams; a third of the shortest useful
 * value of suspect_after_ms. */
constexpr milliseconds kTickInterval{250};

constexpr milliseconds kStopPollInterval{20};

int Fail(const wasabiwind::base::Error &error) {
  std::fprintf(stderr, "%s\n", error.ToString().c_str());
  return 1;
}

gen::NodeRecord MakeNodeRecord(const gen::EntrySettings &settings,
                               std::uint16_t port) {
  gen::NodeRecord node;
  node.set_node(settings.node().name());
  // A later start must have a larger number, also after the clock was set back
  // by less than the time between the two starts.
  node.set_incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          wasabiwind::base::WallClock::now().time_since_epoch())
          .count()));
  node.set_region(settings.node().region());
  node.set_domain(settings.node().domain());
  net::Endpoint endpoint = *net::ParseEndpoint(settings.entry().listen());
  endpoint.m_port = port;
  node.set_caller_address(endpoint.ToString());
  return node;
}

/** Removes the node from the answers of /v1/addresses, waits until callers have
 * dropped older answers, and stops the server. */
void StopGracefully(const gen::EntrySettings &settings, EntryServer *server) {
  LogEvent(LogLevel::kInfo, "drain_begun",
           {{"keep_ms", settings.entry().keep_ms()}});
  server->BeginDrain();
  net::SleepFor(milliseconds(settings.entry().keep_ms()));
  LogEvent(LogLevel::kInfo, "drain_waited",
           {{"active_requests", server->ActiveRequests()}});
  server->BeginStop();
  auto limit = Clock::now() + milliseconds(settings.entry().stop_limit_ms());
  while (!server->HasStopped() && Clock::now() < limit) {
    net::SleepFor(kStopPollInterval);
  }
  if (!server->HasStopped()) {
    LogEvent(LogLevel::kWarn, "requests_cut_off",
             {{"active_requests", server->ActiveRequests()}});
    server->CutOff();
  }
  server->Stop();
}

/** A control link; one over the network runs on a thread of its own. */
struct Link {
  std::unique_ptr<wasabiwind::entry::ControlLink> m_link;
  NetworkLink *m_network = nullptr;  ///< same as m_link; nullptr if standalone
  std::thread m_thread;
};

Result<void> MakeStandaloneLink(const gen::EntrySettings &settings,
                                EntryServer *server, Link *link) {
  if (settings.entry().declarations().empty()) {
    return wasabiwind::base::MakeError(
        wasabiwind::base::ErrorKind::kInvalidSettings,
        "neither [control] addresses nor [entry] declarations is set",
        "name the control hosts, or the declarations file to serve without "
        "them");
  }
  auto catalog =
      wasabiwind::entry::LoadDeclarations(settings.entry().declarations());
  if (!catalog) return tl::unexpected(catalog.error());
  link->m_link = std::make_unique<StandaloneLink>(
      *catalog, MakeNodeRecord(settings, server->Port()),
      server->MakeLinkEvents());
  return {};
}

Result<void> MakeNetworkLink(const gen::EntrySettings &settings,
                             EntryServer *server, Link *link) {
  wasabiwind::entry::NetworkLinkOptions options;
  auto listen = net::ParseEndpoint(settings.control().listen());
  if (!listen) return tl::unexpected(listen.error());
  options.m_listen = *listen;
  for (const std::string &address : settings.control().addresses()) {
    auto control = net::ParseEndpoint(address);
    if (!control) return tl::unexpected(control.error());
    options.m_control_endpoints.push_back(*control);
  }
  options.m_node = MakeNodeRecord(settings, server->Port());
  options.m_member.m_lease = milliseconds(settings.control().lease_ms());
  options.m_member.m_confirm_period =
      milliseconds(settings.control().confirm_period_ms());
  auto network =
      std::make_unique<NetworkLink>(options, server->MakeLinkEvents());
  Result<void> listening = network->Listen();
  if (!listening) return listening;
  link->m_network = network.get();
  link->m_link = std::move(network);
  link->m_thread = std::thread([running = link->m_network] {
    net::RunFiberThread([running] { running->Run(); });
  });
  return {};
}

void StopLink(Link *link) {
  if (link->m_network == nullptr) return;
  link->m_network->Stop();
  link->m_thread.join();
}

/** Reads the peers in the body of a partition request; nothing if malformed. */
std::optional<std::set<std::string>> ParsePartition(const std::string &body) {
  boost::json::error_code code;
  boost::json::value value = boost::json::parse(body, code);
  if (code || !value.is_object()) return std::nullopt;
  std::set<std::string> peers;
  for (const char *key : {"receive_from", "send_to"}) {
    const boost::json::value *list = value.as_object().if_contains(key);
    if (list == nullptr || !list->is_array()) continue;
    for (const boost::json::value &peer : list->as_array()) {
      if (peer.is_string()) peers.insert(std::string(peer.as_string().c_str()));
    }
  }
  return peers;
}

/**
 * Handles POST /admin/v1/partition, as ww_control does, with message endpoints
 * as peers: {"receive_from": [...], "send_to": [...]}. Messages of all named
 * peers are dropped both ways; empty lists end the partition.
 * @return whether the request was handled
 */
bool HandlePartitionRequest(const gen::EntrySettings &settings,
                            NetworkLink *link, const net::HttpRequest &request,
                            net::HttpExchange *exchange) {
  bool is_partition =
      request.m_method == "POST" && request.Path() == "/admin/v1/partition";
  if (!is_partition || !settings.testing().allow_partition() ||
      link == nullptr) {
    return false;
  }
  std::optional<std::set<std::string>> peers = ParsePartition(request.m_body);
  if (peers) link->SetPartition(*peers);
  (void)exchange->Respond(net::MakeJsonResponse(peers ? 200 : 400, "{}"));
  return true;
}

/** Serves until a stop signal. @return the exit code */
int Serve(const gen::EntrySettings &settings, EntryServer *server, Link *link) {
  net::SignalWatch signals;
  net::AdminHooks hooks;
  hooks.m_check_ready = [server, link] {
    bool is_fresh = link->m_link->IsFresh(Clock::now());
    return is_fresh ? server->CheckReady()
                    : "the configuration isn't confirmed by control";
  };
  hooks.m_handle_other_path = [&settings, link](const net::HttpRequest &request,
                                                net::HttpExchange &exchange) {
    return HandlePartitionRequest(settings, link->m_network, request,
                                  &exchange);
  };
  auto admin = net::StartAdminServer(settings.admin(), hooks);
  if (!admin) return Fail(admin.error());
  boost::fibers::fiber admin_fiber([&admin] { (*admin)->Serve(); });
  server->Start(link->m_link.get());
  LogEvent(LogLevel::kInfo, "listening", {{"port", server->Port()}});
  bool is_stopped = false;
  boost::fibers::fiber ticks([&] {
    while (!is_stopped) {
      server->Tick(Clock::now());
      net::SleepFor(kTickInterval);
    }
  });
  signals.WaitForStop();
  StopGracefully(settings, server);
  is_stopped = true;
  ticks.join();
  (*admin)->Stop();
  admin_fiber.join();
  return 0;
}

int Run(const gen::EntrySettings &settings) {
  Link link;
  auto claim_listen = net::ParseEndpoint(settings.recorders().listen());
  if (!claim_listen) return Fail(claim_listen.error());
  wasabiwind::once::ClaimClient claims(
      {.m_listen = *claim_listen, .m_node_name = settings.node().name()});
  if (Result<void> started = claims.Start(); !started) {
    return Fail(started.error());
  }
  wasabiwind::entry::RecorderOnceClient once(
      &claims, [&link] { return link.m_link->GetCatalog(); });
  EntryServer server(settings, &once);
  if (Result<void> listening = server.Listen(); !listening) {
    return Fail(listening.error());
  }
  bool is_standalone = settings.control().addresses().empty();
  Result<void> linked = is_standalone
                            ? MakeStandaloneLink(settings, &server, &link)
                            : MakeNetworkLink(settings, &server, &link);
  if (!linked) return Fail(linked.error());
  int code = 0;
  net::RunFiberThread([&] { code = Serve(settings, &server, &link); });
  StopLink(&link);
  claims.Stop();
  LogEvent(LogLevel::kInfo, "stopped");
  return code;
}

}  // namespace

int main(int argc, char **argv) {
  gen::EntrySettings settings;
  net::ProgramInfo info{"ww_entry",
                        "relays callers' requests to engines and services"};
  if (auto code = net::InitializeProgram(argc, argv, info, &settings)) {
    return *code;
  }
  Result<void> log =
      wasabiwind::base::InitializeLog("ww_entry", settings.log().level());
  if (!log) return Fail(log.error());
  return Run(settings);
}
