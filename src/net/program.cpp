/** @file program.cpp Start, admin server and stop of all server programs. */

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <cstdio>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/settings_func.h"
#include "net/program_func.h"
#include "net/settings_watch.h"
#include "net/signal_watch.h"

ABSL_FLAG(std::string, config, "", "path of the INI settings file");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace wasabiwind::net {

std::string GetSettingsPath() { return absl::GetFlag(FLAGS_config); }

std::optional<int> InitializeProgram(int argc, char **argv,
                                     const ProgramInfo &info,
                                     google::protobuf::Message *settings) {
  IgnoreReloadSignal();
  ParseFlags(argc, argv, info);
  std::string path = absl::GetFlag(FLAGS_config);
  if (path.empty()) {
    std::fprintf(stderr, "%s: no settings file; pass --config=FILE\n",
                 info.m_name.c_str());
    return 2;
  }
  if (base::Result<void> loaded = base::LoadSettings(path, settings); !loaded) {
    std::fprintf(stderr, "%s\n", loaded.error().ToString().c_str());
    return 2;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::printf("%s: settings are valid\n", path.c_str());
    return 0;
  }
  return std::nullopt;
}

HttpHandler MakeAdminHandler(const AdminHooks &hooks) {
  return [hooks](const HttpRequest &request, HttpExchange &exchange) {
    HttpResponse response;
    response.m_headers.Add("Content-Type", "text/plain; charset=utf-8");
    if (request.Path() == "/metrics") {
      response.m_body = base::SerializeMetrics();
    } else if (request.Path() == "/healthz") {
      response.m_body = "ok\n";
    } else if (request.Path() == "/readyz") {
      std::string reason = hooks.m_check_ready ? hooks.m_check_ready() : "";
      response.m_status = reason.empty() ? 200 : 503;
      response.m_body = reason.empty() ? "ready\n" : reason + "\n";
    } else if (hooks.m_handle_other_path &&
               hooks.m_handle_other_path(request, exchange)) {
      return;
    } else {
      response.m_status = 404;
      response.m_body = "unknown path; use /metrics, /healthz or /readyz\n";
    }
    (void)exchange.Respond(response);
  };
}

base::Result<std::unique_ptr<HttpServer>> StartAdminServer(
    const gen::AdminSettings &settings, const AdminHooks &hooks) {
  base::Result<Endpoint> endpoint = ParseEndpoint(settings.listen());
  if (!endpoint) return tl::unexpected(endpoint.error());
  HttpServerOptions options;
  options.m_listen = *endpoint;
  auto server = std::make_unique<HttpServer>(options, MakeAdminHandler(hooks));
  if (base::Result<void> listening = server->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  base::LogEvent(base::LogLevel::kInfo, "admin_listening",
                 {{"port", server->Port()}});
  return server;
}

}  // namespace wasabiwind::net
