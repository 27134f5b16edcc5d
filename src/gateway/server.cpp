/** @file server.cpp Main function of entry hosts that serve declared routes. */

#include "gateway/server.h"

#include <envelope.pb.h>
#include <fleet_settings.pb.h>

#include <boost/fiber/fiber.hpp>
#include <cstdio>

#include "base/log_func.h"
#include "base/settings_func.h"
#include "gateway/drain_func.h"
#include "gateway/gateway.h"
#include "net/datagram_socket.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"
#include "net/program_func.h"
#include "net/settings_watch.h"
#include "net/signal_watch.h"

namespace wasabiwind::gateway {

namespace {

using base::LogEvent;
using base::LogLevel;

constexpr std::size_t kMaxMessageBytes = 8 << 20;
/** Of each port for addresses and readiness, whose requests are short. */
constexpr std::size_t kMaxDirectoryConnections = 200;
constexpr double kDirectoryDescriptorShare = 0.05;
constexpr std::size_t kMaxDirectoryBodyBytes = 64 * 1024;
constexpr std::size_t kMaxDirectoryHeldBytes = 4 << 20;
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxBodyBytes = 16 << 20;
/** Idle connections are closed at this multiple of the time after which callers
 * stop reusing them, so that no request is sent on a connection that closes. */
constexpr int kIdleTimeoutFactor = 2;
constexpr base::milliseconds kDrainPollPeriod{20};

/** The running program: gateway and servers. Used by one fiber thread. */
class EntryProgram {
 public:
  EntryProgram(gen::FleetEntrySettings settings,
               const GatewayProtocol *protocol);

  base::Result<void> Start();
  void RunUntilStopped(net::SettingsWatch *watch);
  void Reload(const gen::FleetEntrySettings &settings) {
    m_gateway.Reload(settings);
  }

 private:
  base::Result<std::unique_ptr<net::HttpServer>> Listen(
      const std::string &address, net::HttpServerOptions options,
      net::HttpHandler handler) const;
  base::Result<void> AddDirectory(const std::string &address);
  void Send(const std::string &to, const gen::FleetMessage &message);
  gen::Envelope MakeEnvelope(const gen::FleetMessage &message) const;
  void SendDatagram(const std::string &to, const gen::FleetMessage &message);
  std::optional<gen::Envelope> ParseFleetMessage(
      const std::string &message) const;
  void Receive(const std::string &message);
  void WaitForRequests(base::TimePoint end) const;
  void Drain();

  gen::FleetEntrySettings m_settings;
  Gateway m_gateway;
  std::unique_ptr<net::MessageTransport> m_transport;
  std::unique_ptr<net::DatagramSocket> m_datagrams;
  std::unique_ptr<net::HttpServer> m_callers;
  std::vector<std::unique_ptr<net::HttpServer>> m_directories;
  std::unique_ptr<net::HttpServer> m_admin;
};

EntryProgram::EntryProgram(gen::FleetEntrySettings settings,
                           const GatewayProtocol *protocol)
    : m_settings(std::move(settings)),
      m_gateway(
          m_settings, protocol,
          [this](const std::string &to, const gen::FleetMessage &message) {
            Send(to, message);
          }) {}

base::Result<std::unique_ptr<net::HttpServer>> EntryProgram::Listen(
    const std::string &address, net::HttpServerOptions options,
    net::HttpHandler handler) const {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(address);
  if (!endpoint) return tl::unexpected(endpoint.error());
  options.m_listen = *endpoint;
  options.m_max_header_bytes = kMaxHeaderBytes;
  options.m_max_trailer_bytes = kMaxHeaderBytes;
  options.m_treat_half_closed_as_gone = true;
  auto server = std::make_unique<net::HttpServer>(options, std::move(handler));
  if (base::Result<void> done = server->Listen(); !done) {
    return tl::unexpected(done.error());
  }
  return server;
}

base::Result<void> EntryProgram::AddDirectory(const std::string &address) {
  if (address.empty()) return {};
  net::HttpServerOptions options;
  options.m_max_body_bytes = kMaxDirectoryBodyBytes;
  options.m_max_held_bytes = kMaxDirectoryHeldBytes;
  options.m_max_connections = kMaxDirectoryConnections;
  options.m_descriptor_share = kDirectoryDescriptorShare;
  auto server = Listen(
      address, options,
      [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
        m_gateway.HandleDirectory(request, exchange);
      });
  if (!server) return tl::unexpected(server.error());
  m_directories.push_back(std::move(*server));
  return {};
}

base::Result<void> EntryProgram::Start() {
  const gen::FleetNetworkSettings &network = m_settings.network();
  base::Result<net::Endpoint> messages =
      net::ParseEndpoint(network.message_address());
  if (!messages) return tl::unexpected(messages.error());
  base::Result<net::Endpoint> listen =
      network.message_listen().empty()
          ? messages
          : net::ParseEndpoint(network.message_listen());
  if (!listen) return tl::unexpected(listen.error());
  net::MessageTransportOptions transport;
  transport.m_listen = *listen;
  transport.m_max_message_bytes = kMaxMessageBytes;
  m_transport = std::make_unique<net::MessageTransport>(transport);
  if (base::Result<void> done = m_transport->Listen(); !done) return done;
  m_datagrams = std::make_unique<net::DatagramSocket>();
  if (base::Result<void> done = m_datagrams->Listen(*messages); !done) {
    return done;
  }
  m_gateway.m_send_datagram = [this](const std::string &to,
                                     const gen::FleetMessage &message) {
    SendDatagram(to, message);
  };
  net::HttpServerOptions options;
  options.m_max_body_bytes = kMaxBodyBytes;
  options.m_max_held_bytes =
      static_cast<std::size_t>(m_settings.callers().request_memory_bytes());
  options.m_max_connections =
      static_cast<std::size_t>(m_settings.callers().max_connections());
  auto callers = Listen(
      m_settings.callers().listen(), options,
      [this](const net::HttpRequest &request, net::HttpExchange &exchange) {
        m_gateway.HandleCaller(request, exchange);
      });
  if (!callers) return tl::unexpected(callers.error());
  m_callers = std::move(*callers);
  m_gateway.m_on_caller_limits = [this](const gen::CallerLimits &limits) {
    if (limits.idle_timeout_ms() == 0) return;
    m_callers->SetIdleTimeout(
        base::milliseconds(limits.idle_timeout_ms() * kIdleTimeoutFactor));
  };
  auto done = AddDirectory(m_settings.callers().directory());
  if (done) done = AddDirectory(m_settings.callers().ready());
  if (!done) return done;
  net::AdminHooks hooks;
  hooks.m_check_ready = [this]() -> std::string {
    return m_gateway.IsReady() ? "" : "no routes or upstreams are known";
  };
  auto admin = net::StartAdminServer(m_settings.admin(), hooks);
  if (!admin) return tl::unexpected(admin.error());
  m_admin = std::move(*admin);
  return {};
}

gen::Envelope EntryProgram::MakeEnvelope(
    const gen::FleetMessage &message) const {
  gen::Envelope envelope = net::MakeEnvelope(
      m_settings.network().message_address(), m_settings.node().name());
  *envelope.mutable_fleet() = message;
  return envelope;
}

void EntryProgram::Send(const std::string &to,
                        const gen::FleetMessage &message) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(to);
  if (!endpoint) {
    LogEvent(LogLevel::kWarn, "endpoint_unreadable", {{"endpoint", to}});
    return;
  }
  if (m_transport == nullptr) return;
  (void)m_transport->Send(*endpoint, MakeEnvelope(message).SerializeAsString());
}

void EntryProgram::SendDatagram(const std::string &to,
                                const gen::FleetMessage &message) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(to);
  if (!endpoint) {
    LogEvent(LogLevel::kWarn, "endpoint_unreadable", {{"endpoint", to}});
    return;
  }
  (void)m_datagrams->Send(*endpoint, MakeEnvelope(message).SerializeAsString());
}

std::optional<gen::Envelope> EntryProgram::ParseFleetMessage(
    const std::string &message) const {
  std::optional<gen::Envelope> envelope = net::ParseEnvelope(message);
  if (envelope && envelope->has_fleet()) return envelope;
  LogEvent(LogLevel::kWarn, "message_unreadable", {{"bytes", message.size()}});
  return std::nullopt;
}

void EntryProgram::Receive(const std::string &message) {
  if (std::optional<gen::Envelope> envelope = ParseFleetMessage(message)) {
    m_gateway.HandleMessage(envelope->from(), envelope->fleet());
  }
}

/** Waits until no request is in progress, at most until a time. */
void EntryProgram::WaitForRequests(base::TimePoint end) const {
  while (base::Clock::now() < end && m_gateway.CountActiveRequests() != 0) {
    net::SleepFor(kDrainPollPeriod);
  }
}

/** Serves late callers for a while, then waits for requests in progress and at
 * last answers those that have none. */
void EntryProgram::Drain() {
  base::TimePoint start = base::Clock::now();
  DrainSchedule schedule = MakeDrainSchedule(
      start, base::milliseconds(m_settings.bounds().grace_ms()));
  m_gateway.BeginLeaving();
  m_callers->BeginDrain();
  net::SleepFor(schedule.m_refuse_from - start);
  m_gateway.BeginRefusing();
  WaitForRequests(schedule.m_answer_at);
  std::size_t cut_short = m_gateway.CountActiveRequests();
  m_gateway.EndActiveRequests();
  WaitForRequests(schedule.m_exit_at);
  LogEvent(LogLevel::kInfo, "drained",
           {{"cut_short", cut_short},
            {"left", m_gateway.CountActiveRequests()},
            {"took_ms", base::ToMilliseconds(base::Clock::now() - start)}});
}

void EntryProgram::RunUntilStopped(net::SettingsWatch *watch) {
  net::SignalWatch signals([watch] { watch->Check(); });
  boost::fibers::fiber transport([this] {
    m_transport->Run([this](const std::string &message) { Receive(message); });
  });
  boost::fibers::fiber datagrams([this] {
    m_datagrams->Run([this](const net::Endpoint &from,
                            const std::string &message) {
      if (std::optional<gen::Envelope> envelope = ParseFleetMessage(message)) {
        m_gateway.HandleDatagram(from.ToString(), envelope->fleet());
      }
    });
  });
  boost::fibers::fiber callers([this] { m_callers->Serve(); });
  std::vector<boost::fibers::fiber> directories;
  for (const auto &server : m_directories) {
    directories.emplace_back([&server] { server->Serve(); });
  }
  boost::fibers::fiber admin([this] { m_admin->Serve(); });
  boost::fibers::fiber timers([this] { m_gateway.RunTimers(); });
  boost::fibers::fiber settings([watch] { watch->Run(); });
  LogEvent(LogLevel::kInfo, "started",
           {{"callers", m_settings.callers().listen()}});
  signals.WaitForStop();
  LogEvent(LogLevel::kInfo, "stopping");
  Drain();
  if (m_gateway.CountActiveRequests() != 0) {
    // The grace time is over: the exit closes the remaining connections.
    base::ShutDownLog();
    std::_Exit(0);
  }
  watch->Stop();
  m_callers->Stop();
  for (const auto &server : m_directories) server->Stop();
  m_admin->Stop();
  m_gateway.Stop();
  m_transport->Stop();
  m_datagrams->Stop();
  settings.join();
  timers.join();
  callers.join();
  for (boost::fibers::fiber &directory : directories) directory.join();
  admin.join();
  transport.join();
  datagrams.join();
  LogEvent(LogLevel::kInfo, "stopped");
}

}  // namespace

int RunGateway(int argc, char **argv, const std::string &name,
               const GatewayProtocol &protocol) {
  gen::FleetEntrySettings settings;
  net::ProgramInfo info{name, "serves callers' requests by declared routes"};
  if (auto code = net::InitializeProgram(argc, argv, info, &settings)) {
    return *code;
  }
  auto log = base::InitializeLog(name, settings.log().level());
  if (!log) {
    std::fprintf(stderr, "%s\n", log.error().ToString().c_str());
    return 2;
  }
  int code = 0;
  net::RunFiberThread([&] {
    EntryProgram program(settings, &protocol);
    net::SettingsWatch watch(
        net::GetSettingsPath(), [&program](const std::string &path) {
          gen::FleetEntrySettings changed;
          base::Result<void> loaded = base::LoadSettings(path, &changed);
          if (loaded) program.Reload(changed);
          return loaded;
        });
    if (base::Result<void> started = program.Start(); !started) {
      LogEvent(LogLevel::kError, "start_failed",
               {{"error", started.error().ToString()}});
      code = 1;
      return;
    }
    program.RunUntilStopped(&watch);
  });
  base::ShutDownLog();
  return code;
}

}  // namespace wasabiwind::gateway
