/** @file weightstore_main.cpp Program ww_weightstore. */

#include <cstdio>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "standin/program_func.h"
#include "standin/weightstore_base.h"

namespace wasabiwind::standin {

namespace {

base::Result<void> RunStore(const gen::WeightStoreProgramSettings &settings) {
  EventRecord record;
  if (!settings.store().record_file().empty()) {
    auto opened = record.OpenFile(settings.store().record_file());
    if (!opened) return opened;
  }
  WeightStore store(settings.store(), &record);
  auto server = StartServer(
      settings.store().listen(),
      [&store](const net::HttpRequest &request, net::HttpExchange &exchange) {
        store.Handle(request, exchange);
      });
  if (!server) return tl::unexpected(server.error());
  net::AdminHooks hooks;
  hooks.m_handle_other_path = [&store](const net::HttpRequest &request,
                                       net::HttpExchange &exchange) {
    return store.HandleStandin(request, exchange);
  };
  auto admin = net::StartAdminServer(settings.admin(), hooks);
  if (!admin) return tl::unexpected(admin.error());
  ProgramParts parts;
  parts.m_server = server->get();
  parts.m_admin = admin->get();
  ServeUntilStopped(parts);
  return {};
}

}  // namespace

int Main(int argc, char **argv) {
  gen::WeightStoreProgramSettings settings;
  net::ProgramInfo info{"ww_weightstore", "weight store test double"};
  if (auto code = net::InitializeProgram(argc, argv, info, &settings)) {
    return *code;
  }
  base::Result<void> result =
      base::InitializeLog("ww_weightstore", settings.log().level());
  if (result) {
    net::RunFiberThread([&settings, &result] { result = RunStore(settings); });
  }
  if (result) return 0;
  std::fprintf(stderr, "%s\n", result.error().ToString().c_str());
  return 1;
}

}  // namespace wasabiwind::standin

int main(int argc, char **argv) {
  return wasabiwind::standin::Main(argc, argv);
}
