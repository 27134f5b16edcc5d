/** @file link_proxy.cpp Forwards TCP connections and harms them on demand. */

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

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr milliseconds kConnectTimeout{1'000};
constexpr milliseconds kWriteTimeout{60'000};
constexpr milliseconds kPoll{5};

/** Both sockets of one forwarded connection. */
struct ForwardedConnection {
  explicit ForwardedConnection(tcp::socket socket)
      : m_near(std::move(socket)),
        m_far(tcp::socket(net::CurrentIoContext())) {}

  net::DeadlineSocket m_near;
  net::DeadlineSocket m_far;
  bool m_is_reset = false;
};

using ConnectionPtr = std::shared_ptr<ForwardedConnection>;

/** Closes a socket so that its peer sees a reset. */
void ResetSocket(net::DeadlineSocket *socket) {
  boost::system::error_code ignored;
  socket->Socket().set_option(asio::socket_base::linger(true, 0), ignored);
  socket->Cancel();
  socket->Socket().close(ignored);
}

/** Forwards one direction until its end. */
void Pump(const ConnectionPtr &connection, net::DeadlineSocket *from,
          net::DeadlineSocket *to, const LinkState *state,
          const bool LinkState::*is_silent) {
  std::array<char, kChunkBytes> bytes;
  boost::system::error_code ignored;
  while (!connection->m_is_reset) {
    net::IoResult read =
        from->ReadSome(asio::buffer(bytes), base::TimePoint::max());
    if (state->m_delay.count() > 0) net::SleepFor(state->m_delay);
    while (state->*is_silent && !connection->m_is_reset) net::SleepFor(kPoll);
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
  std::unique_ptr<tcp::acceptor> m_acceptor;
  std::set<ConnectionPtr> m_connections;
  bool m_is_stopped = false;
};

LinkProxy::LinkProxy(net::Endpoint listen, net::Endpoint target)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_listen = std::move(listen);
  m_impl->m_target = std::move(target);
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
        "end the program that uses the port");
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
      ResetSocket(&connection->m_near);
      continue;
    }
    m_impl->m_connections.insert(connection);
    ++running;
    boost::fibers::fiber([this, connection, target, &running] {
      boost::system::error_code ignored;
      net::IoResult connected =
          connection->m_far.Connect(target, Clock::now() + kConnectTimeout);
      if (connected.m_error) {
        ResetSocket(&connection->m_near);
      } else {
        connection->m_near.Socket().set_option(tcp::no_delay(true), ignored);
        connection->m_far.Socket().set_option(tcp::no_delay(true), ignored);
        boost::fibers::fiber back([this, connection] {
          Pump(connection, &connection->m_far, &connection->m_near, &m_state,
               &LinkState::m_is_back_silent);
        });
        Pump(connection, &connection->m_near, &connection->m_far, &m_state,
             &LinkState::m_is_forward_silent);
        back.join();
      }
      m_impl->m_connections.erase(connection);
      --running;
    }).detach();
  }
  Reset();
  while (running > 0) net::SleepFor(kPoll);
}

void LinkProxy::Stop() {
  m_impl->m_is_stopped = true;
  boost::system::error_code ignored;
  if (m_impl->m_acceptor != nullptr) m_impl->m_acceptor->close(ignored);
}

void LinkProxy::Reset() {
  for (const ConnectionPtr &connection : m_impl->m_connections) {
    connection->m_is_reset = true;
    ResetSocket(&connection->m_near);
    ResetSocket(&connection->m_far);
  }
}

}  // namespace wasabiwind::soak
