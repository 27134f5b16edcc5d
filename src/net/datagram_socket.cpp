/** @file datagram_socket.cpp UDP datagrams between nodes. */

#include "net/datagram_socket.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/fiber/operations.hpp>

#include "base/metrics_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

/** Datagrams handled in a row before the fiber yields. */
constexpr int kMaxBatch = 32;

}  // namespace

struct DatagramSocket::Impl {
  udp::socket m_socket{CurrentIoContext()};
  bool m_is_stopped = false;
  prometheus::Counter &m_dropped = base::GetCounter(
      "ww_datagrams_dropped_total",
      "Datagrams that were too long or that the system didn't take");
};

DatagramSocket::DatagramSocket() : m_impl(std::make_unique<Impl>()) {}

DatagramSocket::~DatagramSocket() = default;

base::Result<void> DatagramSocket::Listen(const Endpoint &endpoint) {
  boost::system::error_code error;
  asio::ip::address address = asio::ip::make_address(endpoint.m_address, error);
  udp::endpoint local(address, endpoint.m_port);
  if (!error) m_impl->m_socket.open(local.protocol(), error);
  if (!error) m_impl->m_socket.non_blocking(true, error);
  if (!error) m_impl->m_socket.bind(local, error);
  if (!error) return {};
  return base::MakeError(
      base::ErrorKind::kIo,
      fmt::format("can't receive datagrams on {}: {}", endpoint.ToString(),
                  error.message()),
      "use an address of this host and a port that no other program uses");
}

std::uint16_t DatagramSocket::Port() const {
  return m_impl->m_socket.local_endpoint().port();
}

bool DatagramSocket::Send(const Endpoint &peer, const std::string &message) {
  boost::system::error_code error;
  asio::ip::address address = asio::ip::make_address(peer.m_address, error);
  if (!error && message.size() <= kMaxBytes) {
    m_impl->m_socket.send_to(asio::buffer(message),
                             udp::endpoint(address, peer.m_port), 0, error);
    if (!error) return true;
  }
  m_impl->m_dropped.Increment();
  return false;
}

void DatagramSocket::Run(const Handler &handler) {
  std::array<char, kMaxBytes> bytes;
  int batch = 0;
  while (!m_impl->m_is_stopped) {
    udp::endpoint from;
    boost::system::error_code error;
    std::size_t size =
        m_impl->m_socket.receive_from(asio::buffer(bytes), from, 0, error);
    if (!error) {
      handler(Endpoint{from.address().to_string(), from.port()},
              std::string(bytes.data(), size));
      if (++batch % kMaxBatch == 0) boost::this_fiber::yield();
      continue;
    }
    // Other errors report that the peer of an earlier Send doesn't listen.
    if (error != asio::error::would_block) continue;
    (void)Await([this](auto wait_handler) {
      m_impl->m_socket.async_wait(udp::socket::wait_read, wait_handler);
    });
  }
}

void DatagramSocket::Stop() {
  m_impl->m_is_stopped = true;
  boost::system::error_code ignored;
  m_impl->m_socket.cancel(ignored);
}

}  // namespace wasabiwind::net
