/** @file datagram_socket.h UDP datagrams between nodes. */

#ifndef WASABIWIND_NET_DATAGRAM_SOCKET_H_
#define WASABIWIND_NET_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string>

#include "base/error_type.h"
#include "net/endpoint_type.h"

namespace wasabiwind::net {

/**
 * Sends and receives UDP datagrams. Meant for messages that tolerate loss and
 * reordering, and for too many peers to keep a connection to each. Not
 * thread-safe: it belongs to one fiber thread.
 */
class DatagramSocket {
 public:
  /** Longer messages aren't sent, because IP would fragment them. */
  static constexpr std::size_t kMaxBytes = 1'400;

  DatagramSocket();
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /**
   * Binds an endpoint; port 0 picks a free one.
   * @return kIo if the address is in use or not of this host
   * @pre inside RunFiberThread
   */
  base::Result<void> Listen(const Endpoint &endpoint);

  /** @return the bound port. @pre Listen succeeded */
  std::uint16_t Port() const;

  /** Sends without waiting. @return false if it was dropped locally */
  bool Send(const Endpoint &peer, const std::string &message);

  /** Called for each datagram; must not wait. */
  using Handler =
      std::function<void(const Endpoint &from, const std::string &message)>;

  /** Receives until Stop. @pre inside RunFiberThread; Listen succeeded */
  void Run(const Handler &handler);

  /** Ends Run. @pre called on the same thread */
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_DATAGRAM_SOCKET_H_
