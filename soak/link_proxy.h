/** @file link_proxy.h Forwards TCP connections and harms them on demand. */

#ifndef WASABIWIND_SOAK_LINK_PROXY_H_
#define WASABIWIND_SOAK_LINK_PROXY_H_

#include <memory>
#include <set>

#include "base/error_type.h"
#include "base/time_type.h"
#include "net/endpoint_type.h"

namespace wasabiwind::soak {

/** What a link does to its connections. */
struct LinkState {
  bool m_is_refusing = false;        ///< new connections are reset
  bool m_is_forward_silent = false;  ///< bytes towards the listener are held
  bool m_is_back_silent = false;     ///< bytes from the listener are held
  base::milliseconds m_delay{0};     ///< of all bytes
};

/**
 * Listens on one endpoint and forwards each connection to another one. Bytes
 * that are held while a link is silent go on when it isn't any more. Belongs to
 * one fiber thread.
 */
class LinkProxy {
 public:
  LinkProxy(net::Endpoint listen, net::Endpoint target);
  ~LinkProxy();
  LinkProxy(const LinkProxy &) = delete;
  LinkProxy &operator=(const LinkProxy &) = delete;

  base::Result<void> Listen();

  /** Accepts until Stop. @pre inside net::RunFiberThread */
  void Serve();
  void Stop();

  /** Resets all connections. */
  void Reset();

  LinkState m_state;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_LINK_PROXY_H_
