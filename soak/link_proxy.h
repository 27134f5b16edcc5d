/** @file link_proxy.h TCP proxy that injects network faults. */

#ifndef WASABIWIND_SOAK_LINK_PROXY_H_
#define WASABIWIND_SOAK_LINK_PROXY_H_

#include <memory>
#include <set>
#include <string>

#include "base/error_type.h"
#include "base/time_type.h"
#include "net/endpoint_type.h"

namespace wasabiwind::soak {

/** Active faults of a link. */
struct LinkState {
  bool m_is_refusing = false;           ///< new connections are reset
  bool m_holds_forward_bytes = false;   ///< towards the target
  bool m_holds_backward_bytes = false;  ///< from the target
  base::milliseconds m_delay{0};        ///< of each read, in both directions
};

/**
 * Listens on one endpoint and forwards each connection to another one. Bytes
 * that are held are forwarded later, when the fault ends. Belongs to one fiber
 * thread.
 */
class LinkProxy {
 public:
  /** @param source_ip of connections to the target; "": any */
  LinkProxy(net::Endpoint listen, net::Endpoint target,
            std::string source_ip = "");
  ~LinkProxy();
  LinkProxy(const LinkProxy &) = delete;
  LinkProxy &operator=(const LinkProxy &) = delete;

  base::Result<void> Listen();

  /** Accepts connections until Stop. @pre inside net::RunFiberThread */
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
