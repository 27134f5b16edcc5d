/** @file recorder_main.cpp Program ww_recorder. */

#include <recorder_settings.pb.h>

#include <boost/fiber/fiber.hpp>
#include <cstdio>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "net/program_func.h"
#include "net/signal_watch.h"
#include "recorder/recorder_server.h"

namespace wasabiwind::recorder {
namespace {

base::Result<RecorderServerOptions> MakeOptions(
    const gen::RecorderSettings &settings) {
  const gen::RecorderSection &section = settings.recorder();
  RecorderServerOptions options;
  base::Result<net::Endpoint> listen = net::ParseEndpoint(section.listen());
  if (!listen) return tl::unexpected(listen.error());
  options.m_listen = *listen;
  if (section.peers_size() != static_cast<int>(once::kPeerCount)) {
    return base::MakeError(base::ErrorKind::kInvalidSettings,
                           "recorder.peers must name two endpoints",
                           "list the two other recorders of the region");
  }
  for (std::size_t i = 0; i < once::kPeerCount; ++i) {
    base::Result<net::Endpoint> peer =
        net::ParseEndpoint(section.peers(static_cast<int>(i)));
    if (!peer) return tl::unexpected(peer.error());
    options.m_peers[i] = *peer;
  }
  options.m_data_folder = section.data_folder();
  options.m_node_name = settings.node().name();
  options.m_recorder.m_max_bytes =
      static_cast<std::size_t>(section.max_bytes());
  options.m_recorder.m_first_epoch =
      static_cast<std::uint64_t>(section.first_epoch());
  return options;
}

int Fail(const base::Error &error) {
  base::LogEvent(base::LogLevel::kError, "recorder_failed",
                 {{"error", error.ToString()}});
  return 1;
}

/** Serves until a signal, or until the log can't be written. */
int RunServer(const gen::RecorderSettings &settings, RecorderServer *server) {
  net::SignalWatch signals;
  net::AdminHooks hooks;
  hooks.m_check_ready = [server] { return server->CheckReady(); };
  auto admin = net::StartAdminServer(settings.admin(), hooks);
  if (!admin) return Fail(admin.error());
  net::HttpServer *admin_server = admin->get();
  boost::fibers::fiber admin_fiber([admin_server] { admin_server->Serve(); });
  base::Result<void> result;
  boost::fibers::fiber server_fiber([&] {
    result = server->Run();
    if (!result) signals.RequestStop();
  });
  signals.WaitForStop();
  server->Stop();
  server_fiber.join();
  admin_server->Stop();
  admin_fiber.join();
  if (!result) return Fail(result.error());
  base::LogEvent(base::LogLevel::kInfo, "recorder_stopped");
  return 0;
}

int Main(int argc, char **argv) {
  gen::RecorderSettings settings;
  net::ProgramInfo info{"ww_recorder",
                        "durable at-most-once claims of one region"};
  std::optional<int> exit_code =
      net::InitializeProgram(argc, argv, info, &settings);
  if (exit_code) return *exit_code;
  base::Result<void> log =
      base::InitializeLog(info.m_name, settings.log().level());
  if (!log) {
    std::fprintf(stderr, "%s\n", log.error().ToString().c_str());
    return 2;
  }
  base::Result<RecorderServerOptions> options = MakeOptions(settings);
  if (!options) return Fail(options.error());
  RecorderServer server(*options);
  if (base::Result<void> opened = server.Open(); !opened) {
    return Fail(opened.error());
  }
  int result = 0;
  net::RunFiberThread([&] { result = RunServer(settings, &server); });
  return result;
}

}  // namespace
}  // namespace wasabiwind::recorder

int main(int argc, char **argv) {
  return wasabiwind::recorder::Main(argc, argv);
}
