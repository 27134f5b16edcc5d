/** @file deadline_socket.h TCP socket whose operations have deadlines. */

#ifndef WASABIWIND_NET_DEADLINE_SOCKET_H_
#define WASABIWIND_NET_DEADLINE_SOCKET_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "base/time_type.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {

class DeadlineSocket;

/**
 * Deadlines of the sockets of one thread, served by one timer. When a socket
 * gets a later deadline, its queue entry stays in place and is moved only once
 * the earlier time is reached, so that most operations don't touch the timer.
 * Not thread-safe.
 */
class DeadlineQueue {
 public:
  explicit DeadlineQueue(boost::asio::io_context *io_context);
  DeadlineQueue(const DeadlineQueue &) = delete;
  DeadlineQueue &operator=(const DeadlineQueue &) = delete;

  /** @return the queue of the calling thread. @pre inside RunFiberThread */
  static DeadlineQueue &Current();

 private:
  friend class DeadlineSocket;
  void Add(DeadlineSocket *socket, base::TimePoint time);
  void Remove(DeadlineSocket *socket);
  void StartTimer();
  void ExpireDue();

  boost::asio::steady_timer m_timer;
  base::TimePoint m_timer_at = base::TimePoint::max();  ///< max: not running
  std::set<std::pair<base::TimePoint, DeadlineSocket *>> m_queue;
};

/**
 * A non-blocking TCP socket used by fibers of one thread: one fiber reads and
 * one writes at a time. An operation that passes its deadline fails with
 * beast::error::timeout and leaves the socket open. Not thread-safe.
 */
class DeadlineSocket {
 public:
  using Tcp = boost::asio::ip::tcp;

  /** @pre called inside RunFiberThread */
  explicit DeadlineSocket(Tcp::socket socket);
  ~DeadlineSocket();
  DeadlineSocket(const DeadlineSocket &) = delete;
  DeadlineSocket &operator=(const DeadlineSocket &) = delete;

  IoResult Connect(const Tcp::endpoint &peer, base::TimePoint deadline);

  /** Waits until bytes have arrived. */
  IoResult ReadSome(boost::asio::mutable_buffer buffer,
                    base::TimePoint deadline);

  static constexpr std::size_t kMaxBuffers = 3;
  using WriteBuffers = std::array<boost::asio::const_buffer, kMaxBuffers>;

  /** Writes all bytes. @return the bytes written, also on an error */
  IoResult WriteAll(WriteBuffers buffers, base::TimePoint deadline);

  /** Aborts waiting operations with operation_aborted. */
  void Cancel();

  Tcp::socket &Socket() { return m_socket; }

 private:
  friend class DeadlineQueue;
  void BeginWait(base::TimePoint deadline);
  IoResult EndWait(IoResult result);
  void Expire();

  Tcp::socket m_socket;
  DeadlineQueue &m_queue;
  base::TimePoint m_deadline = base::TimePoint::max();
  base::TimePoint m_queued_at = base::TimePoint::max();  ///< max: not queued
  bool m_is_expired = false;
  int m_immediate_writes = 0;  ///< in a row, without a yield
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_DEADLINE_SOCKET_H_
