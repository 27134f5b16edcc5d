/** @file link_proxy.cpp TCP proxy that injects network faults. */

#include "soak/link_proxy.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/fiber.hpp>

#include "net/deadline_socket.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using base::Clock;
using base::milliseconds;

constexpr std::size_t kBufferBytes = 16 * 1024;
constexpr milliseconds kConnectTimeout{1'000};
constexpr milliseconds kWriteTimeout{60'000};
constexpr milliseconds kPollInterval{5};

/** Both sockets of one forwarded connection. */
struct ForwardedConnection {
  explicit ForwardedConnection(tcp::socket socket)
      : m_client_socket(std::move(socket)),
        m_target_socket(tcp::socket(net::CurrentIoContext())) {}

  net::DeadlineSocket m_client_socket;
  net::DeadlineSocket m_target_socket;
  bool m_is_reset = false;
};

using ConnectionPtr = std::shared_ptr<ForwardedConnection>;

/** Closes a socket with a TCP reset. */
void ResetSocket(net::DeadlineSocket *socket) {
  boost::system::error_code ignored;
  socket->Socket().set_option(asio::socket_base::linger(true, 0), ignored);
  socket->Cancel();
  socket->Socket().close(ignored);
}

/** Binds a socket that isn't connected to an IP address; "": any. */
boost::system::error_code BindSource(const std::string &ip,
                                     net::DeadlineSocket *socket) {
  boost::system::error_code error;
  if (ip.empty()) return error;
  tcp::endpoint source(asio::ip::make_address(ip), 0);
  socket->Socket().open(source.protocol(), error);
  if (!error) socket->Socket().bind(source, error);
  return error;
}

/** Forwards one direction until end of stream or an error. */
void ForwardBytes(const ConnectionPtr &connection, net::DeadlineSocket *from,
                  net::DeadlineSocket *to, const LinkState *state,
                  const bool LinkState::*holds_bytes) {
  std::array<char, kBufferBytes> bytes;
  boost::system::error_code ignored;
  while (!connection->m_is_reset) {
    net::IoResult read =
        from->ReadSome(asio::buffer(bytes), base::TimePoint::max());
    if (state->m_delay.count() > 0) net::SleepFor(state->m_delay);
    while (state->*holds_bytes && !connection->m_is_reset)
      net::SleepFor(kPollInterval);
    if (connection->m_is_reset) return;
    if (read.m_error == asio::error::eof) {
      to->Socket().shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (read.m_error) {
      ResetSocket(to);
      return;
    }
    net::IoResult sent = to->WriteAll({asio::buffer(bytes, read.m_size)},
                                      Clock::now() + kWriteTimeout);
    if (!sent.m_error) continue;
    ResetSocket(from);
    return;
  }
}

}  // namespace

struct LinkProxy::Impl {
  net::Endpoint m_listen;
  net::Endpoint m_target;
  std::string m_source_ip;
  std::unique_ptr<tcp::acceptor> m_acceptor;
  std::set<ConnectionPtr> m_connections;
  bool m_is_stopped = false;
};

LinkProxy::LinkProxy(net::Endpoint listen, net::Endpoint target,
                     std::string source_ip)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_listen = std::move(listen);
  m_impl->m_target = std::move(target);
  m_impl->m_source_ip = std::move(source_ip);
}

LinkProxy::~LinkProxy() = default;

base::Result<void> LinkProxy::Listen() {
  boost::system::error_code error;
  tcp::endpoint endpoint(asio::ip::make_address(m_impl->m_listen.m_address),
                         m_impl->m_listen.m_port);
  auto acceptor = std::make_unique<tcp::acceptor>(net::CurrentIoContext());
  acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor->bind(endpoint, error);
  if (!error)
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return base::MakeError(
        base::ErrorKind::kIo,
        fmt::format("can't listen on {}: {}", m_impl->m_listen.ToString(),
                    error.message()),
        "stop the program that uses this port");
  }
  m_impl->m_acceptor = std::move(acceptor);
  return {};
}

void LinkProxy::Serve() {
  tcp::endpoint target(asio::ip::make_address(m_impl->m_target.m_address),
                       m_impl->m_target.m_port);
  int running = 0;
  while (!m_impl->m_is_stopped) {
    tcp::socket socket(net::CurrentIoContext());
    net::IoResult accepted = net::Await([&](auto handler) {
      m_impl->m_acceptor->async_accept(socket, handler);
    });
    if (m_impl->m_is_stopped) break;
    if (accepted.m_error) continue;
    auto connection = std::make_shared<ForwardedConnection>(std::move(socket));
    if (m_state.m_is_refusing) {
      ResetSocket(&connection->m_client_socket);
      continue;
    }
    m_impl->m_connections.insert(connection);
    ++running;
    boost::fibers::fiber([this, connection, target, &running] {
      boost::system::error_code ignored;
      net::IoResult connected;
      connected.m_error =
          BindSource(m_impl->m_source_ip, &connection->m_target_socket);
      if (!connected.m_error) {
        connected = connection->m_target_socket.Connect(
            target, Clock::now() + kConnectTimeout);
      }
      if (connected.m_error) {
        ResetSocket(&connection->m_client_socket);
      } else {
        connection->m_client_socket.Socket().set_option(tcp::no_delay(true),
                                                        ignored);
        connection->m_target_socket.Socket().set_option(tcp::no_delay(true),
                                                        ignored);
        boost::fibers::fiber back([this, connection] {
          ForwardBytes(connection, &connection->m_target_socket,
                       &connection->m_client_socket, &m_state,
                       &LinkState::m_holds_backward_bytes);
        });
        ForwardBytes(connection, &connection->m_client_socket,
                     &connection->m_target_socket, &m_state,
                     &LinkState::m_holds_forward_bytes);
        back.join();
      }
      m_impl->m_connections.erase(connection);
      --running;
    }).detach();
  }
  Reset();
  while (running > 0) net::SleepFor(kPollInterval);
}

void LinkProxy::Stop() {
  m_impl->m_is_stopped = true;
  boost::system::error_code ignored;
  if (m_impl->m_acceptor != nullptr) m_impl->m_acceptor->close(ignored);
}

void LinkProxy::Reset() {
  for (const ConnectionPtr &connection : m_impl->m_connections) {
    connection->m_is_reset = true;
    ResetSocket(&connection->m_client_socket);
    ResetSocket(&connection->m_target_socket);
  }
}

}  // namespace wasabiwind::soak
