/** @file deadline_socket.cpp TCP socket whose operations have deadlines. */

#include "net/deadline_socket.h"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/fiber/operations.hpp>

namespace wasabiwind::net {

namespace asio = boost::asio;

namespace {

/** The fiber yields after this many writes in a row that didn't wait. */
constexpr int kMaxImmediateWrites = 16;

/** Drops the first bytes of a buffer list. */
void Consume(DeadlineSocket::WriteBuffers *buffers, std::size_t size) {
  for (asio::const_buffer &buffer : *buffers) {
    std::size_t part = std::min(size, buffer.size());
    buffer += part;
    size -= part;
  }
}

}  // namespace

DeadlineQueue::DeadlineQueue(asio::io_context *io_context)
    : m_timer(*io_context) {}

void DeadlineQueue::Add(DeadlineSocket *socket, base::TimePoint time) {
  Remove(socket);
  socket->m_queued_at = time;
  m_queue.emplace(time, socket);
  StartTimer();
}

void DeadlineQueue::Remove(DeadlineSocket *socket) {
  if (socket->m_queued_at == base::TimePoint::max()) return;
  m_queue.erase({socket->m_queued_at, socket});
  socket->m_queued_at = base::TimePoint::max();
}

void DeadlineQueue::StartTimer() {
  if (m_queue.empty() || m_queue.begin()->first >= m_timer_at) return;
  m_timer_at = m_queue.begin()->first;
  ExpireAt(&m_timer, m_timer_at);
  m_timer.async_wait([this](const boost::system::error_code &error) {
    if (!error) ExpireDue();
  });
}

void DeadlineQueue::ExpireDue() {
  m_timer_at = base::TimePoint::max();
  base::TimePoint now = base::Clock::now();
  while (!m_queue.empty() && m_queue.begin()->first <= now) {
    DeadlineSocket *socket = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    socket->m_queued_at = base::TimePoint::max();
    if (socket->m_deadline <= now) {
      socket->Expire();
    } else if (socket->m_deadline != base::TimePoint::max()) {
      socket->m_queued_at = socket->m_deadline;
      m_queue.emplace(socket->m_queued_at, socket);
    }
  }
  StartTimer();
}

DeadlineSocket::DeadlineSocket(Tcp::socket socket)
    : m_socket(std::move(socket)), m_queue(DeadlineQueue::Current()) {
  boost::system::error_code ignored;
  if (m_socket.is_open()) m_socket.non_blocking(true, ignored);
}

DeadlineSocket::~DeadlineSocket() { m_queue.Remove(this); }

void DeadlineSocket::BeginWait(base::TimePoint deadline) {
  m_is_expired = false;
  m_deadline = deadline;
  if (deadline < m_queued_at) m_queue.Add(this, deadline);
}

IoResult DeadlineSocket::EndWait(IoResult result) {
  m_deadline = base::TimePoint::max();
  if (m_is_expired && result.m_error == asio::error::operation_aborted) {
    result.m_error = boost::beast::error::timeout;
  }
  return result;
}

void DeadlineSocket::Expire() {
  m_deadline = base::TimePoint::max();
  m_is_expired = true;
  Cancel();
}

void DeadlineSocket::Cancel() {
  boost::system::error_code ignored;
  m_socket.cancel(ignored);
}

IoResult DeadlineSocket::Connect(const Tcp::endpoint &peer,
                                 base::TimePoint deadline) {
  BeginWait(deadline);
  IoResult result = EndWait(
      Await([&](auto handler) { m_socket.async_connect(peer, handler); }));
  boost::system::error_code ignored;
  if (!result.m_error) m_socket.non_blocking(true, ignored);
  return result;
}

IoResult DeadlineSocket::ReadSome(asio::mutable_buffer buffer,
                                  base::TimePoint deadline) {
  // A peer that sends without pause never lets a read wait.
  if (base::Clock::now() >= deadline) {
    return IoResult{boost::beast::error::timeout, 0};
  }
  BeginWait(deadline);
  return EndWait(Await([&](auto handler) {
    m_socket.async_read_some(asio::buffer(buffer), handler);
  }));
}

IoResult DeadlineSocket::WriteAll(WriteBuffers buffers,
                                  base::TimePoint deadline) {
  IoResult result;
  std::size_t total = asio::buffer_size(buffers);
  // The socket's send buffer usually has room, so that no wait is needed.
  result.m_size = m_socket.write_some(buffers, result.m_error);
  bool must_wait = result.m_error == asio::error::would_block ||
                   (!result.m_error && result.m_size < total);
  if (!must_wait) {
    if (++m_immediate_writes >= kMaxImmediateWrites) {
      m_immediate_writes = 0;
      boost::this_fiber::yield();
    }
    return result;
  }
  m_immediate_writes = 0;
  std::size_t sent_before = result.m_size;
  Consume(&buffers, sent_before);
  BeginWait(deadline);
  result = EndWait(Await(
      [&](auto handler) { asio::async_write(m_socket, buffers, handler); }));
  result.m_size += sent_before;
  return result;
}

}  // namespace wasabiwind::net
