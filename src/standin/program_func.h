/** @file program_func.h Common code of the programs of the test doubles. */

#ifndef WASABIWIND_STANDIN_PROGRAM_FUNC_H_
#define WASABIWIND_STANDIN_PROGRAM_FUNC_H_

#include <common_settings.pb.h>
#include <standin_settings.pb.h>

#include <functional>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "net/program_func.h"
#include "standin/announce_base.h"

namespace wasabiwind::standin {

/**
 * Binds the main server of a test double and logs its port as event
 * "listening".
 * @return kInvalidSettings or kIo
 */
base::Result<std::unique_ptr<net::HttpServer>> StartServer(
    const std::string &listen, const net::HttpHandler &handler);

/** Components of a test double that run concurrently on one fiber thread. */
struct ProgramParts {
  net::HttpServer *m_server = nullptr;
  net::HttpServer *m_admin = nullptr;
  Announcer *m_announcer = nullptr;    ///< nullptr: no announcements
  std::function<void()> m_run_timers;  ///< until m_begin_stop; may be empty
  std::function<void()> m_begin_stop;  ///< ends m_run_timers and stalls
  std::function<void()> m_finish;  ///< waits for work in progress; may be empty
  std::function<bool()> m_is_silent_leave;  ///< injected fault; may be empty
  base::milliseconds m_leave_wait{0};  ///< minimum from leaving notice to stop
};

/**
 * Serves until SIGTERM or SIGINT, then announces that it leaves, finishes the
 * requests in progress and returns.
 * @pre called inside RunFiberThread
 */
void ServeUntilStopped(const ProgramParts &parts);

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_PROGRAM_FUNC_H_
