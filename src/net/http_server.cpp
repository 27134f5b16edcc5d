/** @file http_server.cpp HTTP/1.1 server over fibers. */

#include "net/http_server.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "net/deadline_socket.h"
#include "net/fiber_scheduler.h"
#include "net/http_reader_internal.h"
#include "net/memory_budget_func.h"

namespace wasabiwind::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/** SO_REUSEPORT, which gives each thread its own accept queue. */
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int kListenBacklog = 1024;
/** Pause after accept failed, for instance because descriptors ran out. */
constexpr base::milliseconds kAcceptRetryDelay{50};
/** How long a stopping server waits for the first request of a connection. */
constexpr base::milliseconds kFirstRequestGrace{100};
/** A header at its bound, with the overhead of its fields, and buffers. */
constexpr std::size_t kHeldBesideBody = 4 * 1024 * 1024;
constexpr const char *kMemoryFullReason = "memory_full";
constexpr const char *kConnectionsFullReason = "connections_full";

void CountReadRefusal(const char *reason) {
  base::GetCounter("ww_http_refusals_total",
                   "Requests that couldn't be read, by reason",
                   {{"reason", reason}})
      .Increment();
}

void CountEndedConnection(const char *kind) {
  base::GetCounter("ww_http_connections_ended_total",
                   "Connections that ended because there were too many",
                   {{"kind", kind}})
      .Increment();
}

/** @return the number of connections for which there are descriptors. */
std::size_t LimitByDescriptors(std::size_t connections, double share) {
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return connections;
  auto limit = static_cast<double>(descriptors.rlim_cur) * share;
  if (limit >= static_cast<double>(connections)) return connections;
  return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

base::Error MakeIoError(const beast::error_code &error, const char *action) {
  bool is_timeout = error == beast::error::timeout;
  return base::Error{
      is_timeout ? base::ErrorKind::kTimeout : base::ErrorKind::kIo,
      fmt::format("{}: {}", action, error.message()), ""};
}

using Connection = HttpConnection;

class ServerExchange : public HttpExchange {
 public:
  /** @param is_head_request whether the response has no body
   * @param draining read when the response starts; if true, the connection
   * closes after it */
  ServerExchange(Connection *connection, const HttpServerOptions &options,
                 bool keep_alive, bool is_head_request,
                 const std::atomic<bool> *draining)
      : m_connection(connection),
        m_options(options),
        m_keep_alive(keep_alive),
        m_is_head_request(is_head_request),
        m_draining(draining) {}

  base::Result<void> Respond(const HttpResponse &response) override {
    assert(!m_started);
    std::string head = MakeHead(response.m_status, response.m_headers);
    head += fmt::format("Content-Length: {}\r\n\r\n", response.m_body.size());
    m_finished = true;
    if (m_is_head_request) return Write({asio::buffer(head)});
    return Write({asio::buffer(head), asio::buffer(response.m_body)});
  }

  base::Result<void> BeginStream(int status,
                                 const HttpHeaders &headers) override {
    assert(!m_started);
    std::string head = MakeHead(status, headers);
    head += "Transfer-Encoding: chunked\r\n\r\n";
    return Write({asio::buffer(head)});
  }

  base::Result<void> WriteStream(std::string_view data) override {
    assert(m_started && !m_finished && !data.empty());
    if (m_is_head_request) return {};
    std::string size = fmt::format("{:x}\r\n", data.size());
    return Write({asio::buffer(size), asio::buffer(data.data(), data.size()),
                  asio::buffer("\r\n", 2)});
  }

  base::Result<void> EndStream() override {
    assert(m_started && !m_finished);
    m_finished = true;
    if (m_is_head_request) return {};
    return Write({asio::buffer("0\r\n\r\n", 5)});
  }

  void Abort() override {
    m_aborted = true;
    beast::error_code ignored;
    m_connection->m_socket.Socket().close(ignored);
  }

  bool HasStarted() const override { return m_started; }

  std::string PeerAddress() const override {
    beast::error_code error;
    tcp::endpoint peer = m_connection->m_socket.Socket().remote_endpoint(error);
    if (error) return "";
    return Endpoint{peer.address().to_string(), peer.port()}.ToString();
  }

  bool IsPeerGone() override {
    tcp::socket &socket = m_connection->m_socket.Socket();
    if (m_failed || m_aborted || !socket.is_open()) return true;
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    if (::poll(&state, 1, /*timeout=*/0) <= 0) return false;
    if ((state.revents & (POLLERR | POLLHUP)) != 0) return true;
    if (m_options.m_treat_half_closed_as_gone) return true;
    if (m_started || m_probe_sent) return false;
    m_probe_sent = true;
    constexpr std::string_view kProbe = "HTTP/1.1 100 Continue\r\n\r\n";
    ssize_t sent = ::send(socket.native_handle(), kProbe.data(), kProbe.size(),
                          MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0;
  }

  /** @return whether the connection can carry another request. */
  bool CanContinue() const {
    return m_keep_alive && m_finished && !m_aborted && !m_failed;
  }
  bool IsFinished() const { return m_finished || m_aborted; }

 private:
  std::string MakeHead(int status, const HttpHeaders &headers) {
    if (*m_draining) m_keep_alive = false;
    beast::string_view reason =
        http::obsolete_reason(static_cast<http::status>(status));
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status,
                                   std::string(reason.data(), reason.size()));
    for (const HttpHeader &header : headers.m_items) {
      head += header.m_name;
      head += ": ";
      head += header.m_value;
      head += "\r\n";
    }
    if (!m_keep_alive) head += "Connection: close\r\n";
    return head;
  }

  base::Result<void> Write(const DeadlineSocket::WriteBuffers &buffers) {
    if (m_failed || m_aborted) {
      return base::MakeError(base::ErrorKind::kIo, "the connection is closed");
    }
    m_started = true;
    IoResult result = m_connection->m_socket.WriteAll(
        buffers, base::Clock::now() + m_options.m_write_timeout);
    if (!result.m_error) return {};
    m_failed = true;
    return tl::unexpected(
        MakeIoError(result.m_error, "can't write to the caller"));
  }

  Connection *m_connection;
  const HttpServerOptions &m_options;
  bool m_keep_alive;
  bool m_is_head_request;
  const std::atomic<bool> *m_draining;
  bool m_started = false;
  bool m_finished = false;
  bool m_aborted = false;
  bool m_failed = false;
  bool m_probe_sent = false;
};

/** State of one thread inside Serve. */
struct ServeThread {
  asio::io_context *m_io_context = nullptr;
  std::unique_ptr<tcp::acceptor> m_acceptor;
  std::map<std::uint64_t, Connection *> m_connections;  ///< oldest first
  MemoryBudget m_budget;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_all_closed;

  bool HasNewConnection() const {
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &item) { return item.second->m_is_new; });
  }

  void CloseIdle(bool also_new) {
    for (const auto &[id, connection] : m_connections) {
      bool may_close = also_new || !connection->m_is_new;
      if (connection->m_state == ConnectionState::kIdle && may_close) {
        connection->m_socket.Cancel();
      }
    }
  }

  /** Ends a connection whose request isn't served. */
  void End(Connection *connection, const char *reason) {
    connection->m_end_reason = reason;
    ReleaseMemory(&m_budget, connection->m_id);
    connection->m_socket.Cancel();
  }

  /** Sets what a connection holds, and ends connections until all together
   * keep the bound. */
  void SetHeld(const Connection &connection, std::size_t bytes) {
    if (connection.m_end_reason != nullptr) return;
    SetHeldBytes(&m_budget, connection.m_id, bytes);
    while (std::optional<std::uint64_t> chosen = ChooseToEnd(m_budget)) {
      End(m_connections.at(*chosen), kMemoryFullReason);
    }
  }

  /**
   * Ends the connection that can best be spared: the oldest that has never
   * sent anything, else the oldest that is idle, else the oldest of which a
   * request is being read.
   * @return false if the requests of all connections are served
   */
  bool EndOne() {
    Connection *chosen = nullptr;
    int chosen_rank = 3;
    for (const auto &[id, connection] : m_connections) {
      bool is_idle = connection->m_state == ConnectionState::kIdle;
      bool is_reading = connection->m_state == ConnectionState::kReading;
      if (connection->m_end_reason != nullptr) continue;
      if (!is_idle && !is_reading) continue;
      int rank = is_reading ? 2 : connection->m_is_new ? 0 : 1;
      if (rank >= chosen_rank) continue;
      chosen = connection;
      chosen_rank = rank;
      if (rank == 0) break;
    }
    if (chosen == nullptr) return false;
    constexpr std::array<const char *, 3> kKinds = {"silent", "idle",
                                                    "reading"};
    CountEndedConnection(kKinds[static_cast<std::size_t>(chosen_rank)]);
    End(chosen, kConnectionsFullReason);
    return true;
  }
};

}  // namespace

namespace {

/** What the server needs of a request beside what its handler gets. */
struct RequestTraits {
  bool m_keep_alive = false;
  bool m_is_head = false;
};

}  // namespace

struct HttpServer::Impl {
  HttpServerOptions m_options;
  HttpHandler m_handler;
  std::uint16_t m_port = 0;
  /** Opened by Listen; the first thread inside Serve takes it over. */
  std::atomic<int> m_first_socket = -1;
  std::atomic<base::milliseconds> m_idle_timeout;
  std::atomic<bool> m_draining = false;
  std::atomic<bool> m_stopped = false;
  std::atomic<std::size_t> m_connections = 0;
  std::atomic<std::uint64_t> m_last_connection_id = 0;
  std::atomic<std::size_t> m_active = 0;
  std::mutex m_threads_mutex;
  /** Guarded by m_threads_mutex. */
  std::vector<std::shared_ptr<ServeThread>> m_threads;

  base::Result<std::unique_ptr<tcp::acceptor>> OpenAcceptor(
      asio::io_context *io_context, std::uint16_t port);
  base::Result<std::unique_ptr<tcp::acceptor>> TakeAcceptor(
      asio::io_context *io_context);
  void StartConnection(ServeThread *thread, tcp::socket socket);
  void AcceptQueued(ServeThread *thread);
  void ServeConnection(ServeThread *thread, Connection *connection);
  beast::error_code AwaitRequest(Connection *connection, RequestParser *parser);
  std::optional<HttpRequest> TakeRequest(ServeThread *thread,
                                         Connection *connection,
                                         RequestTraits *traits);
  void RefuseUnreadable(Connection *connection, const ReadFault &fault);
};

base::Result<std::unique_ptr<tcp::acceptor>> HttpServer::Impl::OpenAcceptor(
    asio::io_context *io_context, std::uint16_t port) {
  beast::error_code error;
  asio::ip::address address =
      asio::ip::make_address(m_options.m_listen.m_address, error);
  auto acceptor = std::make_unique<tcp::acceptor>(*io_context);
  tcp::endpoint endpoint(address, port);
  if (!error) acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor->set_option(ReusePort(true), error);
  if (!error) acceptor->bind(endpoint, error);
  if (!error) acceptor->listen(kListenBacklog, error);
  if (error) {
    return base::MakeError(
        base::ErrorKind::kIo,
        fmt::format("can't listen on {}: {}", m_options.m_listen.ToString(),
                    error.message()),
        "use an address of this host and a port that no other program uses");
  }
  return acceptor;
}

/** Takes over the socket that Listen opened, or opens another. */
base::Result<std::unique_ptr<tcp::acceptor>> HttpServer::Impl::TakeAcceptor(
    asio::io_context *io_context) {
  int first = m_first_socket.exchange(-1);
  if (first < 0) return OpenAcceptor(io_context, m_port);
  bool is_v4 = asio::ip::make_address(m_options.m_listen.m_address).is_v4();
  return std::make_unique<tcp::acceptor>(*io_context,
                                         is_v4 ? tcp::v4() : tcp::v6(), first);
}

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_options = std::move(options);
  m_impl->m_options.m_max_held_bytes =
      std::max(m_impl->m_options.m_max_held_bytes,
               m_impl->m_options.m_max_body_bytes + kHeldBesideBody);
  m_impl->m_options.m_max_connections =
      LimitByDescriptors(m_impl->m_options.m_max_connections,
                         m_impl->m_options.m_descriptor_share);
  m_impl->m_idle_timeout = m_impl->m_options.m_idle_timeout;
  m_impl->m_handler = std::move(handler);
}

HttpServer::~HttpServer() {
  int unused = m_impl->m_first_socket.exchange(-1);
  if (unused >= 0) ::close(unused);
}

base::Result<void> HttpServer::Listen() {
  asio::io_context io_context;
  auto acceptor =
      m_impl->OpenAcceptor(&io_context, m_impl->m_options.m_listen.m_port);
  if (!acceptor) return tl::unexpected(acceptor.error());
  m_impl->m_port = (*acceptor)->local_endpoint().port();
  m_impl->m_first_socket = (*acceptor)->release();
  return {};
}

std::uint16_t HttpServer::Port() const { return m_impl->m_port; }

void HttpServer::SetIdleTimeout(base::milliseconds timeout) {
  m_impl->m_idle_timeout = timeout;
}

void HttpServer::BeginDrain() { m_impl->m_draining = true; }

std::size_t HttpServer::ActiveRequests() const { return m_impl->m_active; }

void HttpServer::Stop() {
  std::lock_guard<std::mutex> lock(m_impl->m_threads_mutex);
  m_impl->m_draining = true;
  m_impl->m_stopped = true;
  for (const std::shared_ptr<ServeThread> &thread : m_impl->m_threads) {
    // Shares the state of the thread, because the function may run after Serve
    // has returned or after a second Stop.
    asio::post(*thread->m_io_context, [thread] {
      beast::error_code ignored;
      if (thread->m_acceptor != nullptr) thread->m_acceptor->cancel(ignored);
      thread->CloseIdle(/*also_new=*/false);
    });
  }
}

void HttpServer::Serve() {
  auto shared_thread = std::make_shared<ServeThread>();
  ServeThread &thread = *shared_thread;
  thread.m_io_context = &CurrentIoContext();
  thread.m_budget.m_limit = m_impl->m_options.m_max_held_bytes;
  auto acceptor = m_impl->TakeAcceptor(thread.m_io_context);
  if (!acceptor) {
    base::LogEvent(base::LogLevel::kError, "listen_failed",
                   {{"error", acceptor.error().ToString()}});
    return;
  }
  thread.m_acceptor = std::move(*acceptor);
  {
    std::lock_guard<std::mutex> lock(m_impl->m_threads_mutex);
    m_impl->m_threads.push_back(shared_thread);
  }
  while (!m_impl->m_stopped) {
    tcp::socket socket(*thread.m_io_context);
    IoResult accepted = Await([&](auto handler) {
      thread.m_acceptor->async_accept(socket, handler);
    });
    if (!accepted.m_error) {
      m_impl->StartConnection(&thread, std::move(socket));
    } else if (!m_impl->m_stopped) {
      bool is_full = accepted.m_error == asio::error::no_descriptors;
      if (is_full) thread.EndOne();
      SleepFor(kAcceptRetryDelay);
    }
  }
  m_impl->AcceptQueued(&thread);
  if (thread.HasNewConnection()) SleepFor(kFirstRequestGrace);
  thread.CloseIdle(/*also_new=*/true);
  std::unique_lock<boost::fibers::mutex> lock(thread.m_mutex);
  thread.m_all_closed.wait(lock,
                           [&thread] { return thread.m_connections.empty(); });
  std::lock_guard<std::mutex> threads_lock(m_impl->m_threads_mutex);
  std::erase(m_impl->m_threads, shared_thread);
  thread.m_acceptor.reset();
}

/** Serves a connection in a fiber of its own. */
void HttpServer::Impl::StartConnection(ServeThread *thread,
                                       tcp::socket socket) {
  if (m_connections >= m_options.m_max_connections && !thread->EndOne()) {
    CountEndedConnection("new");
    return;
  }
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  ++m_connections;
  auto *connection = new Connection(std::move(socket));
  connection->m_id = ++m_last_connection_id;
  thread->m_connections.emplace(connection->m_id, connection);
  boost::fibers::fiber([this, thread, connection] {
    ServeConnection(thread, connection);
    ReleaseMemory(&thread->m_budget, connection->m_id);
    thread->m_connections.erase(connection->m_id);
    delete connection;
    --m_connections;
    if (thread->m_connections.empty()) thread->m_all_closed.notify_all();
  }).detach();
}

/** Serves the connections that the kernel has accepted and closes the listening
 * socket, which would reset them. */
void HttpServer::Impl::AcceptQueued(ServeThread *thread) {
  beast::error_code error;
  thread->m_acceptor->non_blocking(true, error);
  while (!error) {
    tcp::socket socket(*thread->m_io_context);
    thread->m_acceptor->accept(socket, error);
    if (!error) StartConnection(thread, std::move(socket));
  }
  thread->m_acceptor->close(error);
}

/** Receives the first bytes of a request. A longer idle timeout that is set
 * meanwhile holds at once. */
beast::error_code HttpServer::Impl::AwaitRequest(Connection *connection,
                                                 RequestParser *parser) {
  base::TimePoint start = base::Clock::now();
  while (true) {
    base::milliseconds timeout =
        m_stopped ? kFirstRequestGrace : m_idle_timeout.load();
    beast::error_code error = ReceiveFirst(connection, parser, start + timeout);
    bool is_extended = error == beast::error::timeout && !m_stopped &&
                       base::Clock::now() < start + m_idle_timeout.load();
    if (!is_extended) return error;
  }
}

/**
 * Reads one request and refuses it if that fails.
 * @return nullopt if the connection must close
 */
std::optional<HttpRequest> HttpServer::Impl::TakeRequest(
    ServeThread *thread, Connection *connection, RequestTraits *traits) {
  std::optional<RequestParser> parser(std::in_place);
  if (connection->m_buffer.size() == 0) {
    connection->m_state = ConnectionState::kIdle;
    if (m_stopped && !connection->m_is_new) return std::nullopt;
    beast::error_code error = AwaitRequest(connection, &*parser);
    connection->m_state = ConnectionState::kClosing;
    connection->m_is_new = false;
    if (error) return std::nullopt;
  }
  connection->m_state = ConnectionState::kReading;
  std::optional<ReadFault> fault = ReadRequest(
      connection, m_options, &*parser,
      [&](std::size_t bytes) { thread->SetHeld(*connection, bytes); });
  std::optional<HttpRequest> request;
  if (!fault) {
    traits->m_keep_alive = parser->get().keep_alive();
    traits->m_is_head = parser->get().method() == http::verb::head;
    request = ConvertRequest(&*parser);
  }
  parser.reset();
  if (connection->m_buffer.capacity() > kIdleBufferBytes) {
    connection->m_buffer.shrink_to_fit();
  }
  if (request && !BeginServing(&thread->m_budget, connection->m_id,
                               CountHeldBytes(*connection, *request))) {
    fault = ReadFault{503, kMemoryFullReason, "long requests are being served"};
  }
  if (!fault) {
    connection->m_state = ConnectionState::kServed;
    return request;
  }
  connection->m_state = ConnectionState::kClosing;
  request.reset();
  connection->m_buffer.clear();
  connection->m_buffer.shrink_to_fit();
  ReleaseMemory(&thread->m_budget, connection->m_id);
  RefuseUnreadable(connection, *fault);
  return std::nullopt;
}

void HttpServer::Impl::RefuseUnreadable(Connection *connection,
                                        const ReadFault &fault) {
  if (fault.m_status == 0) return;
  CountReadRefusal(fault.m_reason);
  if (!connection->m_socket.Socket().is_open()) return;
  ServerExchange exchange(connection, m_options, /*keep_alive=*/false,
                          /*is_head_request=*/false, &m_draining);
  (void)exchange.Respond(MakeReadRefusal(fault));
  // Reads and discards what the caller still sends, for a limited time: closing
  // with unread input resets the connection, and the caller may lose the
  // response.
  beast::error_code ignored;
  connection->m_socket.Socket().shutdown(tcp::socket::shutdown_send, ignored);
  constexpr base::milliseconds kLinger{500};
  base::TimePoint end = base::Clock::now() + kLinger;
  std::array<char, 4096> discarded;
  while (true) {
    IoResult received =
        connection->m_socket.ReadSome(asio::buffer(discarded), end);
    if (received.m_error || base::Clock::now() >= end) return;
  }
}

void HttpServer::Impl::ServeConnection(ServeThread *thread,
                                       Connection *connection) {
  while (true) {
    RequestTraits traits;
    std::optional<HttpRequest> request =
        TakeRequest(thread, connection, &traits);
    if (!request) return;
    ServerExchange exchange(connection, m_options, traits.m_keep_alive,
                            traits.m_is_head, &m_draining);
    ++m_active;
    m_handler(*request, exchange);
    if (!exchange.IsFinished()) exchange.Abort();
    --m_active;
    request.reset();
    ReleaseMemory(&thread->m_budget, connection->m_id);
    if (!exchange.CanContinue()) break;
  }
  connection->m_state = ConnectionState::kClosing;
  beast::error_code ignored;
  connection->m_socket.Socket().shutdown(tcp::socket::shutdown_both, ignored);
}

}  // namespace wasabiwind::net
