/** @file http_client.cpp HTTP/1.1 client with pooled connections. */

#include "net/http_client.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <deque>
#include <map>
#include <optional>

#include "net/deadline_socket.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ResponseParser = http::response_parser<http::string_body>;

constexpr std::size_t kReadChunkBytes = 8 * 1024;
/** Most bytes that are kept until they can be parsed: the end of a chunk's size
 * or of a trailer may never come. */
constexpr std::size_t kMaxUnparsedBytes = 128 * 1024;
/** How often it is checked whether the peer has received the request. */
constexpr base::milliseconds kReceivedCheckInterval{5};
constexpr const char *kReadAction = "read answer of";

base::Error MakeIoError(const beast::error_code &error, const char *action,
                        const Endpoint &endpoint) {
  base::ErrorKind kind = base::ErrorKind::kIo;
  if (error == beast::error::timeout) {
    kind = base::ErrorKind::kTimeout;
  } else if (error.category() ==
             http::make_error_code(http::error::bad_method).category()) {
    kind = base::ErrorKind::kProtocol;
  }
  return base::Error{
      kind,
      fmt::format("{} {}: {}", action, endpoint.ToString(), error.message()),
      "check that the peer runs and is reachable"};
}

/** A TCP connection and the bytes received on it but not yet parsed. */
struct ClientConnection {
  explicit ClientConnection(asio::io_context &io_context)
      : m_socket(tcp::socket(io_context)) {}

  DeadlineSocket m_socket;
  beast::flat_buffer m_buffer;
  base::TimePoint m_idle_since;
  base::milliseconds m_idle_limit{0};  ///< 0: that of the pool's options
};

std::string SerializeHead(const Endpoint &endpoint,
                          const HttpRequest &request) {
  std::string head =
      fmt::format("{} {} HTTP/1.1\r\nContent-Length: {}\r\n", request.m_method,
                  request.m_target, request.m_body.size());
  if (request.m_headers.Find("Host") == nullptr) {
    head += fmt::format("Host: {}\r\n", endpoint.ToString());
  }
  for (const HttpHeader &header : request.m_headers.m_items) {
    head += header.m_name;
    head += ": ";
    head += header.m_value;
    head += "\r\n";
  }
  head += "\r\n";
  return head;
}

/**
 * Reads the idle timeout of a response's Keep-Alive header.
 * @return half of it, so that no request is sent while the peer closes the
 *         connection; 0 if there is none
 */
base::milliseconds GetIdleLimit(const ResponseParser &parser) {
  beast::string_view field = parser.get()[http::field::keep_alive];
  std::string text(field.data(), field.size());
  std::size_t start = text.find("timeout=");
  if (start == std::string::npos) return base::milliseconds(0);
  start += std::strlen("timeout=");
  int seconds = 0;
  auto parsed =
      std::from_chars(text.data() + start, text.data() + text.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) return base::milliseconds(0);
  return base::milliseconds(std::max(1, seconds * 500));
}

/**
 * @param size how many bytes of the data belong to a head
 * @return whether a line of the head begins with a blank. The parser takes such
 *         a line as a part of the value before it (obs-fold of RFC 9112, 5.2),
 *         also if it was meant to be a field, such as the length of the body.
 */
bool HasFoldedLine(asio::const_buffer data, std::size_t size) {
  std::string_view head(static_cast<const char *>(data.data()), size);
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

void SetUserTimeout(tcp::socket *socket, base::milliseconds timeout) {
  if (timeout.count() == 0) return;
  auto value = static_cast<unsigned int>(timeout.count());
  (void)::setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &value, sizeof(value));
}

/** Takes the pending error off a socket, such as a reset by the peer. */
beast::error_code TakeSocketError(tcp::socket *socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(socket->native_handle(), SOL_SOCKET, SO_ERROR, &error,
                   &size) != 0) {
    error = errno;
  }
  return {error, boost::system::system_category()};
}

/** @return whether sent bytes exist that the peer hasn't acknowledged. */
bool HasUnacknowledgedBytes(tcp::socket *socket) {
  int count = 0;
  return ::ioctl(socket->native_handle(), SIOCOUTQ, &count) == 0 && count > 0;
}

/** @return whether a pooled connection is still open and has no unread data. */
bool IsUsable(ClientConnection *connection) {
  tcp::socket &socket = connection->m_socket.Socket();
  if (!socket.is_open()) return false;
  char byte = 0;
  ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct HttpClientPool::Impl {
  HttpClientOptions m_options;
  std::map<Endpoint, std::deque<std::unique_ptr<ClientConnection>>> m_idle;

  base::Result<std::unique_ptr<ClientConnection>> Open(
      const Endpoint &endpoint, base::TimePoint deadline) const;
  std::unique_ptr<ClientConnection> TakeIdle(const Endpoint &endpoint);
  void PutIdle(const Endpoint &endpoint,
               std::unique_ptr<ClientConnection> connection);
};

base::Result<std::unique_ptr<ClientConnection>> HttpClientPool::Impl::Open(
    const Endpoint &endpoint, base::TimePoint deadline) const {
  auto connection = std::make_unique<ClientConnection>(CurrentIoContext());
  beast::error_code error;
  asio::ip::address address = asio::ip::make_address(endpoint.m_address, error);
  IoResult connected = connection->m_socket.Connect(
      tcp::endpoint(address, endpoint.m_port),
      std::min(deadline, base::Clock::now() + m_options.m_connect_timeout));
  if (connected.m_error) {
    return tl::unexpected(
        MakeIoError(connected.m_error, "connect to", endpoint));
  }
  connection->m_socket.Socket().set_option(tcp::no_delay(true), error);
  SetUserTimeout(&connection->m_socket.Socket(), m_options.m_user_timeout);
  return connection;
}

std::unique_ptr<ClientConnection> HttpClientPool::Impl::TakeIdle(
    const Endpoint &endpoint) {
  auto found = m_idle.find(endpoint);
  if (found == m_idle.end()) return nullptr;
  base::TimePoint now = base::Clock::now();
  while (!found->second.empty()) {
    std::unique_ptr<ClientConnection> connection =
        std::move(found->second.back());
    found->second.pop_back();
    base::milliseconds limit = connection->m_idle_limit.count() == 0
                                   ? m_options.m_idle_timeout
                                   : connection->m_idle_limit;
    bool is_within_limit = now - connection->m_idle_since <= limit;
    if (is_within_limit && IsUsable(connection.get())) {
      return connection;
    }
  }
  m_idle.erase(found);
  return nullptr;
}

void HttpClientPool::Impl::PutIdle(
    const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection) {
  auto &idle = m_idle[endpoint];
  connection->m_idle_since = base::Clock::now();
  connection->m_buffer.shrink_to_fit();
  idle.push_back(std::move(connection));
  if (idle.size() > m_options.m_max_idle_per_endpoint) idle.pop_front();
}

namespace {

class PooledCall : public HttpCall {
 public:
  using ReturnCallback = std::function<void(std::unique_ptr<ClientConnection>)>;

  PooledCall(Endpoint endpoint, std::unique_ptr<ClientConnection> connection,
             std::size_t max_header_bytes, bool is_head_request,
             ReturnCallback return_connection)
      : m_endpoint(std::move(endpoint)),
        m_connection(std::move(connection)),
        m_return_connection(std::move(return_connection)) {
    m_parser.header_limit(static_cast<std::uint32_t>(max_header_bytes));
    m_parser.body_limit(boost::none);
    if (is_head_request) m_parser.skip(true);
  }

  ~PooledCall() override {
    bool is_complete = m_has_head && m_parser.is_done() && !m_failed;
    // A faulty peer may write an error or refusal once more, where the answer
    // to the next request is expected.
    bool is_error = m_has_head && m_parser.get().result_int() >= 400;
    bool is_reusable = is_complete && !is_error && !m_discard &&
                       m_parser.get().keep_alive() &&
                       m_connection->m_buffer.size() == 0;
    if (is_reusable) m_return_connection(std::move(m_connection));
  }

  base::Result<HttpResponse> ReadHead(base::TimePoint deadline) override {
    if (m_cancelled) return Fail(asio::error::operation_aborted, kReadAction);
    while (!m_parser.is_header_done()) {
      if (beast::error_code error = ParseBuffered()) {
        return Fail(error, kReadAction);
      }
      if (m_parser.is_header_done()) break;
      if (beast::error_code error = ReceiveMore(deadline)) {
        return Fail(error, kReadAction);
      }
    }
    // The parser accepts any three digits.
    int status = m_parser.get().result_int();
    if (!IsValidStatus(status)) {
      return Fail(http::error::bad_status, kReadAction);
    }
    // From here on each call of the parser takes all body bytes received so
    // far.
    m_parser.eager(true);
    m_has_head = true;
    m_connection->m_idle_limit = GetIdleLimit(m_parser);
    HttpResponse response;
    response.m_status = status;
    for (const auto &field : m_parser.get()) {
      response.m_headers.Add(std::string(field.name_string()),
                             std::string(field.value()));
    }
    return response;
  }

  base::Result<bool> ReadSome(std::string *data,
                              base::TimePoint deadline) override {
    assert(m_has_head);
    while (true) {
      if (m_cancelled) return Fail(asio::error::operation_aborted, kReadAction);
      if (beast::error_code error = ParseBuffered()) {
        return Fail(error, kReadAction);
      }
      std::string &body = m_parser.get().body();
      if (!body.empty()) {
        data->append(body);
        body.clear();
        return true;
      }
      if (m_parser.is_done()) return false;
      if (beast::error_code error = ReceiveMore(deadline)) {
        return Fail(error, kReadAction);
      }
    }
  }

  bool HasInput() override {
    if (m_connection->m_buffer.size() > 0) return true;
    char byte = 0;
    ssize_t count = ::recv(m_connection->m_socket.Socket().native_handle(),
                           &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool is_pending = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    // The kernel reports an error once: the next read would find the end of the
    // connection instead, which may be the end of a body.
    if (count < 0 && !is_pending) {
      m_pending_error =
          beast::error_code(errno, boost::system::system_category());
    }
    return count > 0;
  }

  SendState GetSendState() const override { return SendState::kFullySent; }

  void Discard() override { m_discard = true; }

  void Cancel() override {
    m_cancelled = true;
    m_connection->m_socket.Cancel();
  }

 private:
  /** Parses the received bytes as far as possible. */
  beast::error_code ParseBuffered() {
    beast::flat_buffer &buffer = m_connection->m_buffer;
    while (buffer.size() > 0 && !m_parser.is_done()) {
      bool had_head = m_parser.is_header_done();
      beast::error_code error;
      std::size_t used = m_parser.put(buffer.data(), error);
      if (!had_head && HasFoldedLine(buffer.data(), used)) {
        return http::error::bad_field;
      }
      buffer.consume(used);
      if (error == http::error::need_more) return {};
      if (error) return error;
      if (!had_head || used == 0) return {};
    }
    return {};
  }

  /** Receives bytes. The end of the connection may be the end of the body. */
  beast::error_code ReceiveMore(base::TimePoint deadline) {
    beast::flat_buffer &buffer = m_connection->m_buffer;
    if (m_pending_error) return m_pending_error;
    if (buffer.size() >= kMaxUnparsedBytes) return http::error::buffer_overflow;
    IoResult result = m_connection->m_socket.ReadSome(
        buffer.prepare(kReadChunkBytes), deadline);
    buffer.commit(result.m_size);
    if (result.m_error != asio::error::eof) return result.m_error;
    if (!m_parser.got_some()) return http::error::end_of_stream;
    beast::error_code error;
    if (m_parser.need_eof()) error = AwaitRequestReceived(deadline);
    if (error) return error;
    m_parser.put_eof(error);
    if (!error && !m_parser.is_done()) error = http::error::partial_message;
    return error;
  }

  /**
   * Waits, after the peer has closed its side, until it has received the whole
   * request. A process that ends while bytes are on their way to it closes its
   * side first and resets the connection when they arrive, so until then the
   * close doesn't complete a body without length.
   * @return the error of the connection; timeout after the deadline
   */
  beast::error_code AwaitRequestReceived(base::TimePoint deadline) {
    tcp::socket &socket = m_connection->m_socket.Socket();
    while (true) {
      bool is_received = !HasUnacknowledgedBytes(&socket);
      // Checked last: the reset may come between the two calls.
      m_pending_error = TakeSocketError(&socket);
      if (m_pending_error) return m_pending_error;
      if (is_received) return {};
      if (m_cancelled) return asio::error::operation_aborted;
      if (base::Clock::now() >= deadline) return beast::error::timeout;
      SleepFor(kReceivedCheckInterval);
    }
  }

  tl::unexpected<base::Error> Fail(const beast::error_code &error,
                                   const char *action) {
    m_failed = m_failed || error != beast::error::timeout;
    return tl::unexpected(MakeIoError(error, action, m_endpoint));
  }

  Endpoint m_endpoint;
  std::unique_ptr<ClientConnection> m_connection;
  ResponseParser m_parser;
  ReturnCallback m_return_connection;
  beast::error_code m_pending_error;  ///< taken off the socket by a check
  bool m_has_head = false;
  bool m_failed = false;
  bool m_discard = false;
  bool m_cancelled = false;
};

}  // namespace

HttpClientPool::HttpClientPool(HttpClientOptions options)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->m_options = options;
}

HttpClientPool::~HttpClientPool() = default;

HttpClientPool::StartResult HttpClientPool::Start(const Endpoint &endpoint,
                                                  const HttpRequest &request,
                                                  base::TimePoint deadline,
                                                  Reuse reuse) {
  StartResult start;
  std::unique_ptr<ClientConnection> connection;
  if (reuse == Reuse::kPooled) connection = m_impl->TakeIdle(endpoint);
  start.m_is_reused = connection != nullptr;
  if (connection == nullptr) {
    auto opened = m_impl->Open(endpoint, deadline);
    if (!opened) {
      start.m_error = opened.error();
      return start;
    }
    connection = std::move(*opened);
  }
  std::string head = SerializeHead(endpoint, request);
  IoResult sent = connection->m_socket.WriteAll(
      {asio::buffer(head), asio::buffer(request.m_body)}, deadline);
  if (sent.m_error) {
    start.m_error = MakeIoError(sent.m_error, "send request to", endpoint);
    start.m_send_state =
        sent.m_size == 0 ? SendState::kNothingSent : SendState::kPartlySent;
    return start;
  }
  start.m_send_state = SendState::kFullySent;
  std::weak_ptr<Impl> pool = m_impl;
  start.m_call = std::make_unique<PooledCall>(
      endpoint, std::move(connection), m_impl->m_options.m_max_header_bytes,
      request.m_method == "HEAD",
      [pool, endpoint](std::unique_ptr<ClientConnection> returned) {
        if (auto impl = pool.lock())
          impl->PutIdle(endpoint, std::move(returned));
      });
  return start;
}

base::Result<HttpResponse> HttpClientPool::Fetch(const Endpoint &endpoint,
                                                 const HttpRequest &request,
                                                 base::TimePoint deadline,
                                                 std::size_t max_body_bytes) {
  StartResult start = Start(endpoint, request, deadline);
  if (start.m_call == nullptr) return tl::unexpected(start.m_error);
  base::Result<HttpResponse> response = start.m_call->ReadHead(deadline);
  if (!response) return response;
  while (true) {
    base::Result<bool> more =
        start.m_call->ReadSome(&response->m_body, deadline);
    if (!more) return tl::unexpected(more.error());
    if (!*more) return response;
    if (response->m_body.size() > max_body_bytes) {
      return base::MakeError(
          base::ErrorKind::kProtocol,
          fmt::format("response of {} is longer than {} bytes",
                      endpoint.ToString(), max_body_bytes),
          "request less data or raise max_body_bytes");
    }
  }
}

base::Result<void> HttpClientPool::Connect(const Endpoint &endpoint,
                                           base::TimePoint deadline) {
  auto connection = m_impl->Open(endpoint, deadline);
  if (!connection) return tl::unexpected(connection.error());
  m_impl->PutIdle(endpoint, std::move(*connection));
  return {};
}

void HttpClientPool::CloseIdle(const Endpoint &endpoint) {
  m_impl->m_idle.erase(endpoint);
}

}  // namespace wasabiwind::net
