/** @file service_main.cpp Program ww_service. */

#include <cstdio>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "standin/program_func.h"
#include "standin/service_base.h"

namespace wasabiwind::standin {

namespace {

base::Result<void> RunService(const gen::ServiceProgramSettings &settings) {
  EventRecord record;
  if (!settings.upstream().record_file().empty()) {
    auto opened = record.OpenFile(settings.upstream().record_file());
    if (!opened) return opened;
  }
  Service service(settings, &record);
  auto server = StartServer(
      settings.upstream().listen(),
      [&service](const net::HttpRequest &request, net::HttpExchange &exchange) {
        service.Handle(request, exchange);
      });
  if (!server) return tl::unexpected(server.error());
  net::AdminHooks hooks;
  hooks.m_handle_other_path = [&service](const net::HttpRequest &request,
                                         net::HttpExchange &exchange) {
    return service.HandleStandin(request, exchange);
  };
  auto admin = net::StartAdminServer(settings.admin(), hooks);
  if (!admin) return tl::unexpected(admin.error());

  net::Endpoint address = *net::ParseEndpoint(settings.upstream().listen());
  address.m_port = (*server)->Port();
  Announcer announcer(settings.upstream(), [&service, address] {
    return service.MakeAnnouncement(address);
  });
  ProgramParts parts;
  parts.m_server = server->get();
  parts.m_admin = admin->get();
  parts.m_announcer = &announcer;
  parts.m_begin_stop = [&service] { service.BeginStop(); };
  parts.m_leave_wait = base::milliseconds(settings.upstream().leave_wait_ms());
  ServeUntilStopped(parts);
  record.Add("end", {});
  return {};
}

}  // namespace

int Main(int argc, char **argv) {
  gen::ServiceProgramSettings settings;
  net::ProgramInfo info{"ww_service", "plain service test double"};
  if (auto code = net::InitializeProgram(argc, argv, info, &settings)) {
    return *code;
  }
  base::Result<void> result =
      base::InitializeLog("ww_service", settings.log().level());
  if (result) {
    net::RunFiberThread(
        [&settings, &result] { result = RunService(settings); });
  }
  if (result) return 0;
  std::fprintf(stderr, "%s\n", result.error().ToString().c_str());
  return 1;
}

}  // namespace wasabiwind::standin

int main(int argc, char **argv) {
  return wasabiwind::standin::Main(argc, argv);
}
