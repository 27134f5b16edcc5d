/** @file program_func.h Start, admin server and stop of all server programs. */

#ifndef WASABIWIND_NET_PROGRAM_FUNC_H_
#define WASABIWIND_NET_PROGRAM_FUNC_H_

#include <common_settings.pb.h>
#include <google/protobuf/message.h>

#include <functional>
#include <optional>
#include <string>

#include "net/command_line_func.h"
#include "net/http_server.h"

namespace wasabiwind::net {

/**
 * Parses the command line (--config, --check, --help, --version) and reads
 * the settings file. Prints errors on stderr. From here on a SIGHUP doesn't end
 * the process.
 * @param[out] settings filled from the file that --config names
 * @return the exit code if the program must end now
 * @pre called once, at the start of main
 */
std::optional<int> InitializeProgram(int argc, char **argv,
                                     const ProgramInfo &info,
                                     google::protobuf::Message *settings);

/** Callbacks of the admin server, called on its thread. */
struct AdminHooks {
  /** @return an empty string if ready, else the reason why not. */
  std::function<std::string()> m_check_ready;
  /** Handles all other paths; may be empty. @return false for unknown paths */
  std::function<bool(const HttpRequest &, HttpExchange &)> m_handle_other_path;
};

/** @return a handler that serves /metrics, /healthz and /readyz. */
HttpHandler MakeAdminHandler(const AdminHooks &hooks);

/**
 * Binds the admin server and logs its port as event "admin_listening".
 * @return kInvalidSettings or kIo
 */
base::Result<std::unique_ptr<HttpServer>> StartAdminServer(
    const gen::AdminSettings &settings, const AdminHooks &hooks);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_PROGRAM_FUNC_H_
