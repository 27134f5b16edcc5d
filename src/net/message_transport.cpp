/** @file message_transport.cpp One-way messages between nodes over ZeroMQ. */

#include "net/message_transport.h"

#include <fmt/format.h>
#include <zmq.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cassert>
#include <cerrno>
#include <deque>
#include <map>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {

namespace {

namespace asio = boost::asio;

constexpr int kHeartbeatIntervalMs = 500;
/** Closes a connection whose peer stops responding without a TCP reset. */
constexpr int kHeartbeatTimeoutMs = 1'500;
/** Without it, connecting during a partition takes minutes to fail. */
constexpr int kConnectTimeoutMs = 1'000;
/** A connection has no heartbeats before its handshake is complete. */
constexpr int kHandshakeTimeoutMs = 1'500;
/** Longest wait until the listening endpoint is closed. */
constexpr base::milliseconds kCloseTimeout{1'000};
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 1'000;
/** How long a message waits for its peer to be connected. */
constexpr base::milliseconds kPendingLifetime{500};
constexpr std::size_t kMaxPendingMessages = 64;
constexpr base::milliseconds kMinFlushDelay{2};
constexpr base::milliseconds kMaxFlushDelay{50};
/** Messages handled in a row before the fiber yields. */
constexpr int kMaxBatch = 64;

void *SharedContext() {
  static void *context = zmq_ctx_new();
  return context;
}

void SetOption(void *socket, int option, int value) {
  int code = zmq_setsockopt(socket, option, &value, sizeof(value));
  assert(code == 0);
  (void)code;
}

/** @return a socket that gets an event when the listening endpoint of another
 * has been closed, or nullptr with errno set. */
void *OpenCloseMonitor(void *socket) {
  static std::atomic<std::uint64_t> next_number = 0;
  std::string address = fmt::format("inproc://closed-{}", next_number++);
  if (zmq_socket_monitor(socket, address.c_str(), ZMQ_EVENT_CLOSED) != 0) {
    return nullptr;
  }
  void *monitor = zmq_socket(SharedContext(), ZMQ_PAIR);
  if (monitor == nullptr) return nullptr;
  SetOption(monitor, ZMQ_LINGER, 0);
  if (zmq_connect(monitor, address.c_str()) == 0) return monitor;
  zmq_close(monitor);
  return nullptr;
}

/** Blocks until a monitor gets an event, at most for kCloseTimeout. */
void WaitForEvent(void *monitor) {
  SetOption(monitor, ZMQ_RCVTIMEO, static_cast<int>(kCloseTimeout.count()));
  zmq_msg_t event;
  zmq_msg_init(&event);
  while (zmq_msg_recv(&event, monitor, 0) < 0 && errno == EINTR) {
  }
  zmq_msg_close(&event);
}

std::string ToZmqAddress(const Endpoint &endpoint) {
  return "tcp://" + endpoint.ToString();
}

prometheus::Counter &GetDropCounter(const char *reason) {
  return base::GetCounter("ww_messages_dropped_total",
                          "Messages between nodes that were not delivered",
                          {{"reason", reason}});
}

/** A message that waits for its peer to be connected. */
struct PendingMessage {
  base::TimePoint m_queued;
  std::string m_message;
};

struct Peer {
  void *m_socket = nullptr;
  std::deque<PendingMessage> m_pending;
};

}  // namespace

struct MessageTransport::Impl {
  MessageTransportOptions m_options;
  void *m_receiver = nullptr;
  void *m_close_monitor = nullptr;  ///< of m_receiver, once it is bound
  std::string m_bound_address;
  std::map<Endpoint, Peer> m_peers;
  boost::fibers::fiber m_flusher;  ///< runs while messages are pending
  bool m_is_flushing = false;
  Endpoint m_local;
  asio::io_context *m_io_context = nullptr;  ///< set while Run is active
  std::unique_ptr<asio::posix::stream_descriptor> m_descriptor;
  bool m_stopped = false;
  DropFilter m_drop_filter;
  prometheus::Counter &m_dropped_unconnected = GetDropCounter("unconnected");
  prometheus::Counter &m_dropped_too_long = GetDropCounter("too_long");

  base::Result<void> Bind();
  void Unbind();
  Peer *FindOrOpenPeer(const Endpoint &endpoint);
  void DropTooLong(const Endpoint &peer, std::size_t bytes);
  bool SendNow(Peer *peer, const std::string &message);
  bool FlushPeer(Peer *peer);
  bool FlushPending();
  void StartFlusher();
  bool ReceiveOne(std::string *message);
};

MessageTransport::MessageTransport(MessageTransportOptions options)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_options = std::move(options);
}

MessageTransport::~MessageTransport() {
  m_impl->Unbind();
  for (auto &[endpoint, peer] : m_impl->m_peers) zmq_close(peer.m_socket);
  if (m_impl->m_receiver != nullptr) zmq_close(m_impl->m_receiver);
}

base::Result<void> MessageTransport::Listen() {
  assert(m_impl->m_receiver == nullptr);
  m_impl->m_receiver = zmq_socket(SharedContext(), ZMQ_PULL);
  void *socket = m_impl->m_receiver;
  SetOption(socket, ZMQ_LINGER, 0);
  SetOption(socket, ZMQ_RCVHWM, m_impl->m_options.m_queue_limit);
  SetOption(socket, ZMQ_HANDSHAKE_IVL, kHandshakeTimeoutMs);
  std::int64_t max_size =
      static_cast<std::int64_t>(m_impl->m_options.m_max_message_bytes);
  zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof(max_size));
  return m_impl->Bind();
}

base::Result<void> MessageTransport::Impl::Bind() {
  std::string address = ToZmqAddress(m_options.m_listen);
  if (m_options.m_listen.m_port == 0) {
    address = address.substr(0, address.rfind(':')) + ":*";
  }
  if (zmq_bind(m_receiver, address.c_str()) != 0) {
    return base::MakeError(
        base::ErrorKind::kIo,
        fmt::format("can't listen on {}: {}", address, zmq_strerror(errno)),
        "use an address of this host and a port that no other program uses");
  }
  m_close_monitor = OpenCloseMonitor(m_receiver);
  if (m_close_monitor == nullptr) {
    return base::MakeError(
        base::ErrorKind::kIo,
        fmt::format("can't monitor {}: {}", address, zmq_strerror(errno)),
        "raise the limit of open files");
  }
  char bound[256];
  std::size_t size = sizeof(bound);
  zmq_getsockopt(m_receiver, ZMQ_LAST_ENDPOINT, bound, &size);
  m_bound_address = bound;
  std::string text = m_bound_address.substr(std::string("tcp://").size());
  base::Result<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) return tl::unexpected(endpoint.error());
  m_local = *endpoint;
  return {};
}

/** Waits until ZeroMQ's thread has closed the listening endpoint. zmq_unbind
 * and zmq_close only tell that thread to do so. */
void MessageTransport::Impl::Unbind() {
  if (m_close_monitor == nullptr) return;
  if (zmq_unbind(m_receiver, m_bound_address.c_str()) == 0) {
    WaitForEvent(m_close_monitor);
  }
  zmq_close(m_close_monitor);
}

Endpoint MessageTransport::LocalEndpoint() const { return m_impl->m_local; }

Peer *MessageTransport::Impl::FindOrOpenPeer(const Endpoint &endpoint) {
  auto found = m_peers.find(endpoint);
  if (found != m_peers.end()) return &found->second;
  void *socket = zmq_socket(SharedContext(), ZMQ_PUSH);
  if (socket == nullptr) return nullptr;
  SetOption(socket, ZMQ_LINGER, 0);
  SetOption(socket, ZMQ_SNDHWM, m_options.m_queue_limit);
  // Without this option, ZeroMQ would queue messages for an unconnected peer
  // without a time limit and deliver them late.
  SetOption(socket, ZMQ_IMMEDIATE, 1);
  SetOption(socket, ZMQ_RECONNECT_IVL, kReconnectMs);
  SetOption(socket, ZMQ_RECONNECT_IVL_MAX, kReconnectMaxMs);
  SetOption(socket, ZMQ_HEARTBEAT_IVL, kHeartbeatIntervalMs);
  SetOption(socket, ZMQ_HEARTBEAT_TIMEOUT, kHeartbeatTimeoutMs);
  SetOption(socket, ZMQ_CONNECT_TIMEOUT, kConnectTimeoutMs);
  SetOption(socket, ZMQ_HANDSHAKE_IVL, kHandshakeTimeoutMs);
  if (zmq_connect(socket, ToZmqAddress(endpoint).c_str()) != 0) {
    zmq_close(socket);
    return nullptr;
  }
  Peer *peer = &m_peers[endpoint];
  peer->m_socket = socket;
  return peer;
}

bool MessageTransport::Impl::SendNow(Peer *peer, const std::string &message) {
  return zmq_send(peer->m_socket, message.data(), message.size(),
                  ZMQ_DONTWAIT) >= 0;
}

/** Sends or drops pending messages. @return whether some are still pending */
bool MessageTransport::Impl::FlushPeer(Peer *peer) {
  base::TimePoint oldest = base::Clock::now() - kPendingLifetime;
  while (!peer->m_pending.empty()) {
    const PendingMessage &first = peer->m_pending.front();
    if (first.m_queued < oldest) {
      m_dropped_unconnected.Increment();
    } else if (!SendNow(peer, first.m_message)) {
      return true;
    }
    peer->m_pending.pop_front();
  }
  return false;
}

bool MessageTransport::Impl::FlushPending() {
  bool is_pending = false;
  for (auto &[endpoint, peer] : m_peers) is_pending |= FlushPeer(&peer);
  return is_pending;
}

/** Sends pending messages from a fiber once their peers are connected. */
void MessageTransport::Impl::StartFlusher() {
  if (m_is_flushing || m_io_context == nullptr) return;
  m_is_flushing = true;
  if (m_flusher.joinable()) m_flusher.join();
  m_flusher = boost::fibers::fiber([this] {
    base::milliseconds delay = kMinFlushDelay;
    while (!m_stopped && FlushPending()) {
      SleepFor(delay);
      delay = std::min(delay * 2, kMaxFlushDelay);
    }
    m_is_flushing = false;
  });
}

void MessageTransport::Impl::DropTooLong(const Endpoint &peer,
                                         std::size_t bytes) {
  m_dropped_too_long.Increment();
  base::LogEvent(base::LogLevel::kError, "message_too_long",
                 {{"peer", peer.ToString()},
                  {"bytes", bytes},
                  {"limit", m_options.m_max_message_bytes}});
}

bool MessageTransport::Send(const Endpoint &peer, const std::string &message) {
  if (message.size() > m_impl->m_options.m_max_message_bytes) {
    m_impl->DropTooLong(peer, message.size());
    return false;
  }
  if (m_impl->m_drop_filter &&
      m_impl->m_drop_filter(MessageDirection::kSend, peer, message)) {
    return false;
  }
  Peer *found = m_impl->FindOrOpenPeer(peer);
  if (found == nullptr) return false;
  bool is_blocked = m_impl->FlushPeer(found);
  if (!is_blocked && m_impl->SendNow(found, message)) return true;
  if (found->m_pending.size() >= kMaxPendingMessages) {
    m_impl->m_dropped_unconnected.Increment();
    return false;
  }
  found->m_pending.push_back({base::Clock::now(), message});
  m_impl->StartFlusher();
  return true;
}

bool MessageTransport::Impl::ReceiveOne(std::string *message) {
  zmq_msg_t part;
  zmq_msg_init(&part);
  bool received = zmq_msg_recv(&part, m_receiver, ZMQ_DONTWAIT) >= 0;
  if (received) {
    message->assign(static_cast<const char *>(zmq_msg_data(&part)),
                    zmq_msg_size(&part));
  }
  zmq_msg_close(&part);
  return received;
}

void MessageTransport::Run(const Handler &handler) {
  int descriptor = -1;
  std::size_t size = sizeof(descriptor);
  zmq_getsockopt(m_impl->m_receiver, ZMQ_FD, &descriptor, &size);
  m_impl->m_io_context = &CurrentIoContext();
  if (m_impl->FlushPending()) m_impl->StartFlusher();
  m_impl->m_descriptor = std::make_unique<asio::posix::stream_descriptor>(
      *m_impl->m_io_context, descriptor);
  while (!m_impl->m_stopped) {
    // The descriptor is edge-triggered: it becomes readable once for any
    // number of messages, so it is waited for only after a failed receive.
    std::string message;
    int batch = 0;
    while (!m_impl->m_stopped && m_impl->ReceiveOne(&message)) {
      bool dropped =
          m_impl->m_drop_filter &&
          m_impl->m_drop_filter(MessageDirection::kReceive, {}, message);
      if (!dropped) handler(std::move(message));
      if (++batch % kMaxBatch == 0) boost::this_fiber::yield();
    }
    if (m_impl->m_stopped) break;
    Await([&](auto wait_handler) {
      m_impl->m_descriptor->async_wait(
          asio::posix::stream_descriptor::wait_read, wait_handler);
    });
  }
  if (m_impl->m_flusher.joinable()) m_impl->m_flusher.join();
  m_impl->m_descriptor->release();
  m_impl->m_descriptor.reset();
}

void MessageTransport::Stop() {
  if (m_impl->m_io_context == nullptr) {
    m_impl->m_stopped = true;
    return;
  }
  asio::post(*m_impl->m_io_context, [impl = m_impl.get()] {
    impl->m_stopped = true;
    if (impl->m_descriptor != nullptr) impl->m_descriptor->cancel();
  });
}

void MessageTransport::ClosePeer(const Endpoint &peer) {
  auto found = m_impl->m_peers.find(peer);
  if (found == m_impl->m_peers.end()) return;
  zmq_close(found->second.m_socket);
  m_impl->m_peers.erase(found);
}

void MessageTransport::SetDropFilter(DropFilter filter) {
  m_impl->m_drop_filter = std::move(filter);
}

}  // namespace wasabiwind::net
