/** @file entry_server.h The server of an entry host. */

#ifndef WASABIWIND_ENTRY_ENTRY_SERVER_H_
#define WASABIWIND_ENTRY_ENTRY_SERVER_H_

#include <entry_settings.pb.h>

#include <cstdint>
#include <memory>
#include <string>

#include "base/error_type.h"
#include "base/time_type.h"
#include "entry/control_link.h"
#include "entry/once_client.h"

namespace wasabiwind::entry {

/**
 * Serves callers and upstreams on several fiber threads. The order of calls is
 * the constructor, Listen, Start, BeginDrain, BeginStop, CutOff if requests
 * don't end in time, Stop, destructor.
 */
class EntryServer {
 public:
  /**
   * @param once recorders for requests that must run at most once; nullptr
   *        refuses them. Must outlive the server.
   */
  EntryServer(const gen::EntrySettings &settings, OnceClient *once);
  ~EntryServer();
  EntryServer(const EntryServer &) = delete;
  EntryServer &operator=(const EntryServer &) = delete;

  /** @return the callbacks for a control link; valid while the server lives. */
  ControlLinkEvents MakeLinkEvents();

  /** Binds the callers' address. @return kIo or kInvalidSettings */
  base::Result<void> Listen();

  /** @return the callers' port. @pre Listen succeeded */
  std::uint16_t Port() const;

  /**
   * Starts the threads.
   * @param link must outlive the server's threads
   * @pre Listen succeeded
   */
  void Start(ControlLink *link);

  /** Marks and removes silent upstreams; called a few times a second.
   * Thread-safe. */
  void Tick(base::TimePoint now);

  /** Omits this node from the addresses that callers and upstreams get; from
   * now on each answer closes its connection. Thread-safe. */
  void BeginDrain();

  /** Accepts no further request and finishes those in progress.
   * Thread-safe. */
  void BeginStop();

  /** @return whether all requests have ended after BeginStop. Thread-safe. */
  bool HasStopped() const;

  /** Refuses waiting requests and ends running ones, at the next check of each
   * thread. Returns at once. Thread-safe. */
  void CutOff();

  /** BeginStop, then waits for the threads. @pre Start was called */
  void Stop();

  /** @return requests in progress. Thread-safe. */
  std::size_t ActiveRequests() const;

  /** @return upstreams known now. Thread-safe. */
  std::size_t UpstreamCount() const;

  /** @return an empty string if requests can be served, else why not. */
  std::string CheckReady() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_ENTRY_SERVER_H_
