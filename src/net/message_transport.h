/** @file message_transport.h One-way messages between nodes over ZeroMQ. */

#ifndef WASABIWIND_NET_MESSAGE_TRANSPORT_H_
#define WASABIWIND_NET_MESSAGE_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "base/error_type.h"
#include "net/endpoint_type.h"

namespace wasabiwind::net {

/** Direction of a message, as seen from this node. */
enum class MessageDirection : std::uint8_t { kReceive, kSend, kEnd };

struct MessageTransportOptions {
  Endpoint m_listen;
  std::size_t m_max_message_bytes = 1 << 20;  ///< sent and received
  int m_queue_limit = 1'000;  ///< messages queued to or from one peer
};

/**
 * Sends and receives whole messages. Delivery isn't guaranteed: a message to
 * a peer that isn't connected within 500 ms, or whose queue is full, is
 * dropped; senders repeat it on their own timers. Messages of one sender
 * to one receiver keep their order. Not thread-safe: it belongs to one fiber
 * thread.
 */
class MessageTransport {
 public:
  explicit MessageTransport(MessageTransportOptions options);

  /** Closes all connections and the listening endpoint, which can be bound
   * again as soon as this returns. @pre Run isn't active */
  ~MessageTransport();
  MessageTransport(const MessageTransport &) = delete;
  MessageTransport &operator=(const MessageTransport &) = delete;

  /** Binds the listening endpoint; port 0 picks a free one. */
  base::Result<void> Listen();

  /** @return the bound endpoint. @pre Listen succeeded */
  Endpoint LocalEndpoint() const;

  /**
   * Queues a message to the node that listens on an endpoint. One that is
   * longer than m_max_message_bytes is dropped, logged and counted: the peer
   * would close the connection.
   * @return false if it was dropped at once; true doesn't mean delivery
   */
  bool Send(const Endpoint &peer, const std::string &message);

  /**
   * Called for each received message, in the fiber of Run; it must not wait for
   * another message.
   */
  using Handler = std::function<void(std::string message)>;

  /**
   * Receives until Stop.
   * @pre called inside RunFiberThread; Listen succeeded
   */
  void Run(const Handler &handler);

  /** Ends Run. Thread-safe. */
  void Stop();

  /** Closes the socket to a peer that won't come back. */
  void ClosePeer(const Endpoint &peer);

  /**
   * Test hook that simulates partitions: messages for which the filter returns
   * true are dropped.
   * @param filter gets the direction, the receiver (empty for a received
   * message, whose envelope names the sender) and the message
   */
  using DropFilter = std::function<bool(MessageDirection, const Endpoint &peer,
                                        const std::string &message)>;
  void SetDropFilter(DropFilter filter);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_MESSAGE_TRANSPORT_H_
