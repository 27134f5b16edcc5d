/** @file announce_base.h Announcements of a test double to entry hosts. */

#ifndef WASABIWIND_STANDIN_ANNOUNCE_BASE_H_
#define WASABIWIND_STANDIN_ANNOUNCE_BASE_H_

#include <standin_settings.pb.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "net/endpoint_type.h"
#include "net/http_client.h"

namespace wasabiwind::standin {

/** @return the configured incarnation, else the wall clock in microseconds. */
std::uint64_t MakeIncarnation(const gen::UpstreamSettings &settings);

/**
 * Announces an upstream to entry hosts and renews the announcement
 * periodically. With `announce_to` = N it announces to the first N entry hosts
 * that accept, and starts with the next host in the list once the first one
 * fails. Entry hosts that are named in responses are added to the list. Not
 * thread-safe.
 */
class Announcer {
 public:
  /** @param make_body returns the announcement without its "state" */
  Announcer(const gen::UpstreamSettings &settings,
            std::function<boost::json::object()> make_body);

  /** Announces until Stop. @pre called inside RunFiberThread */
  void Run();

  /** Renews the announcement without delay, such as after a model load. */
  void AnnounceNow();

  /** Announces the state "leaving" from now on, beginning without delay. */
  void Leave();

  void Stop();

 private:
  bool AnnounceToAll();
  bool Announce(const net::Endpoint &entry, const std::string &body);
  void AddEntryHosts(const std::string &answer);
  void WaitForNextRound(bool accepted);

  gen::UpstreamSettings m_settings;
  std::function<boost::json::object()> m_make_body;
  std::vector<net::Endpoint> m_entry_hosts;
  std::size_t m_first_entry_host = 0;  ///< index where each round begins
  net::HttpClientPool m_clients;
  bool m_leaving = false;
  bool m_stopped = false;
  bool m_announce_now = false;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_changed;
};

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_ANNOUNCE_BASE_H_
