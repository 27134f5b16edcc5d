/** @file program.cpp Common code of the programs of the test doubles. */

#include <boost/fiber/fiber.hpp>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "net/signal_watch.h"
#include "standin/program_func.h"

namespace wasabiwind::standin {

base::Result<std::unique_ptr<net::HttpServer>> StartServer(
    const std::string &listen, const net::HttpHandler &handler) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(listen);
  if (!endpoint) return tl::unexpected(endpoint.error());
  net::HttpServerOptions options;
  options.m_listen = *endpoint;
  auto server = std::make_unique<net::HttpServer>(options, handler);
  if (base::Result<void> listening = server->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  base::LogEvent(base::LogLevel::kInfo, "listening",
                 {{"port", server->Port()}});
  return server;
}

void ServeUntilStopped(const ProgramParts &parts) {
  net::SignalWatch signals;
  boost::fibers::fiber serving([&parts] { parts.m_server->Serve(); });
  boost::fibers::fiber admin([&parts] { parts.m_admin->Serve(); });
  boost::fibers::fiber announcing([&parts] {
    if (parts.m_announcer != nullptr) parts.m_announcer->Run();
  });
  boost::fibers::fiber timers([&parts] {
    if (parts.m_run_timers) parts.m_run_timers();
  });
  signals.WaitForStop();
  base::LogEvent(base::LogLevel::kInfo, "stopping");
  if (parts.m_announcer != nullptr) {
    bool is_silent = parts.m_is_silent_leave && parts.m_is_silent_leave();
    if (!is_silent) parts.m_announcer->Leave();
    net::SleepFor(parts.m_leave_wait);
  }
  if (parts.m_begin_stop) parts.m_begin_stop();
  parts.m_server->Stop();
  serving.join();
  if (parts.m_announcer != nullptr) parts.m_announcer->Stop();
  if (parts.m_finish) parts.m_finish();
  parts.m_admin->Stop();
  admin.join();
  announcing.join();
  timers.join();
  base::LogEvent(base::LogLevel::kInfo, "stopped");
}

}  // namespace wasabiwind::standin
