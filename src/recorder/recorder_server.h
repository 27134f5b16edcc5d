/** @file recorder_server.h One recorder with its log and message transport. */

#ifndef WASABIWIND_RECORDER_RECORDER_SERVER_H_
#define WASABIWIND_RECORDER_RECORDER_SERVER_H_

#include <array>
#include <memory>
#include <string>

#include "base/error_type.h"
#include "net/endpoint_type.h"
#include "once/recorder_func.h"

namespace wasabiwind::recorder {

struct RecorderServerOptions {
  net::Endpoint m_listen;
  std::array<net::Endpoint, once::kPeerCount> m_peers;
  std::string m_data_folder;  ///< existing folder
  std::string m_node_name;
  once::RecorderOptions m_recorder;
};

/**
 * Runs the recorder functions over a log and a message transport. Messages
 * that arrive during a sync are handled together and share the next one.
 */
class RecorderServer {
 public:
  explicit RecorderServer(RecorderServerOptions options);
  ~RecorderServer();
  RecorderServer(const RecorderServer &) = delete;
  RecorderServer &operator=(const RecorderServer &) = delete;

  /**
   * Replays the log and binds the listener.
   * @return kIo, kConflict or kCorrupt with a remedy
   */
  base::Result<void> Open();

  /** @return the bound endpoint. @pre Open succeeded */
  net::Endpoint LocalEndpoint() const;

  /** Sets the other two recorders. @pre Run isn't active */
  void SetPeers(const std::array<net::Endpoint, once::kPeerCount> &peers);

  /**
   * Serves until Stop, on the thread that called Open.
   * @return an error if the log can't be written; the process must then end
   *         without sending anything more
   * @pre called inside RunFiberThread; Open succeeded
   */
  base::Result<void> Run();

  /** Ends Run. Thread-safe. */
  void Stop();

  /** @return "" if claims are granted, else the reason why not. Thread-safe. */
  std::string CheckReady() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::recorder

#endif  // WASABIWIND_RECORDER_RECORDER_SERVER_H_
