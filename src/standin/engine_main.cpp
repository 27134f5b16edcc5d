/** @file engine_main.cpp Program ww_engine. */

#include <cstdio>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "standin/engine_base.h"
#include "standin/program_func.h"

namespace wasabiwind::standin {

namespace {

base::Result<void> RunEngine(const gen::EngineProgramSettings &settings) {
  EventRecord record;
  if (!settings.upstream().record_file().empty()) {
    auto opened = record.OpenFile(settings.upstream().record_file());
    if (!opened) return opened;
  }
  Engine engine(settings, &record);
  auto server = StartServer(
      settings.upstream().listen(),
      [&engine](const net::HttpRequest &request, net::HttpExchange &exchange) {
        engine.Handle(request, exchange);
      });
  if (!server) return tl::unexpected(server.error());
  net::AdminHooks hooks;
  hooks.m_handle_other_path = [&engine](const net::HttpRequest &request,
                                        net::HttpExchange &exchange) {
    return engine.HandleStandin(request, exchange);
  };
  auto admin = net::StartAdminServer(settings.admin(), hooks);
  if (!admin) return tl::unexpected(admin.error());

  net::Endpoint address = *net::ParseEndpoint(settings.upstream().listen());
  address.m_port = (*server)->Port();
  Announcer announcer(settings.upstream(), [&engine, address] {
    return engine.MakeAnnouncement(address);
  });
  engine.SetOnChange([&announcer] { announcer.AnnounceNow(); });
  ProgramParts parts;
  parts.m_server = server->get();
  parts.m_admin = admin->get();
  parts.m_announcer = &announcer;
  parts.m_run_timers = [&engine] { engine.RunTimers(); };
  parts.m_begin_stop = [&engine] { engine.BeginStop(); };
  parts.m_is_silent_leave = [&engine] { return engine.IsSilentLeave(); };
  parts.m_finish = [&engine] { engine.WaitForLoads(); };
  parts.m_leave_wait = base::milliseconds(settings.upstream().leave_wait_ms());
  ServeUntilStopped(parts);
  record.Add("end", {});
  return {};
}

}  // namespace

int Main(int argc, char **argv) {
  gen::EngineProgramSettings settings;
  net::ProgramInfo info{"ww_engine", "model engine test double"};
  if (auto code = net::InitializeProgram(argc, argv, info, &settings)) {
    return *code;
  }
  base::Result<void> result =
      base::InitializeLog("ww_engine", settings.log().level());
  if (result) {
    net::RunFiberThread([&settings, &result] { result = RunEngine(settings); });
  }
  if (result) return 0;
  std::fprintf(stderr, "%s\n", result.error().ToString().c_str());
  return 1;
}

}  // namespace wasabiwind::standin

int main(int argc, char **argv) {
  return wasabiwind::standin::Main(argc, argv);
}
