/** @file http_server.h HTTP/1.1 server over fibers. */

#ifndef WASABIWIND_NET_HTTP_SERVER_H_
#define WASABIWIND_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/error_type.h"
#include "base/time_type.h"
#include "net/endpoint_type.h"
#include "net/http_type.h"

namespace wasabiwind::net {

/**
 * Server side of one request, which sends its response. Not thread-safe; used
 * only by the fiber that runs the handler. A handler sends exactly one
 * response: Respond, or BeginStream, any number of WriteStream and EndStream.
 * The body of a response to HEAD isn't sent.
 * Abstract so that tests can pass a fake.
 */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /**
   * Sends a whole response.
   * @return kIo or kTimeout if the caller is gone or too slow
   * @pre nothing was sent yet
   */
  virtual base::Result<void> Respond(const HttpResponse &response) = 0;

  /**
   * Sends status and headers of a chunked response.
   * @pre nothing was sent yet
   */
  virtual base::Result<void> BeginStream(int status,
                                         const HttpHeaders &headers) = 0;

  /** Sends one chunk. @pre BeginStream succeeded; data isn't empty */
  virtual base::Result<void> WriteStream(std::string_view data) = 0;

  /** Sends the last chunk of a chunked response. @pre BeginStream succeeded */
  virtual base::Result<void> EndStream() = 0;

  /**
   * Closes the connection without completing the response, so that the caller
   * can tell that it is incomplete.
   */
  virtual void Abort() = 0;

  /** @return whether any byte of a response was passed to the socket. */
  virtual bool HasStarted() const = 0;

  /** @return the caller's address as "ip:port". */
  virtual std::string PeerAddress() const = 0;

  /**
   * Checks without waiting whether the caller has gone. A caller that closed
   * only its sending side is not gone. To tell the two apart, the first call
   * that finds the sending side closed sends "100 Continue" if no response has
   * started: the host of a caller that has gone rejects it, and a later call
   * detects that.
   * @pre no other fiber is inside a method of the exchange that writes, unless
   *      a response has started
   */
  virtual bool IsPeerGone() { return false; }
};

using HttpHandler =
    std::function<void(const HttpRequest &, HttpExchange &exchange)>;

struct HttpServerOptions {
  Endpoint m_listen;
  std::size_t m_max_header_bytes = 16 * 1024;
  std::size_t m_max_body_bytes = 8 * 1024 * 1024;
  /** Bytes of trailers, and of one size line with extensions. */
  std::size_t m_max_trailer_bytes = 16 * 1024;
  /** Memory of all requests of one thread that are read or handled. Beyond it
   * the largest one that is being read ends with 503. Raised to what one of the
   * longest requests takes. */
  std::size_t m_max_held_bytes = 64 * 1024 * 1024;
  /** When there are so many, a new connection ends an idle one or one whose
   * request is being read. */
  std::size_t m_max_connections = 10'000;
  /** Connections may use at most this share of the process's descriptors. */
  double m_descriptor_share = 0.75;
  base::milliseconds m_idle_timeout{60'000};    ///< between requests
  base::milliseconds m_header_timeout{10'000};  ///< first byte to last header
  base::milliseconds m_body_timeout{30'000};
  base::milliseconds m_write_timeout{30'000};  ///< of each write
  /** Whether a caller that closed its sending side counts as gone. */
  bool m_treat_half_closed_as_gone = false;
};

/**
 * HTTP server. Several fiber threads may call Serve on one server; each gets
 * its own listening socket on the same port and the kernel distributes the
 * connections. Requests that are malformed, too large or too slow get 400,
 * 413, 431 or 408 without reaching the handler; 503 if the requests of all
 * callers hold too much.
 */
class HttpServer {
 public:
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /**
   * Binds and listens; port 0 picks a free one. Connections queue until Serve.
   * @return kIo if the address is in use or not of this host
   * @pre called once, before Serve
   */
  base::Result<void> Listen();

  /** @return the listening port. @pre Listen succeeded. Thread-safe. */
  std::uint16_t Port() const;

  /**
   * Accepts and serves connections on the calling fiber thread. Returns after
   * Stop, when the last connection of this thread has ended.
   * @pre called inside RunFiberThread; Listen succeeded
   */
  void Serve();

  /** Changes the time after which an idle connection closes. Thread-safe. */
  void SetIdleTimeout(base::milliseconds timeout);

  /** From now on each response closes its connection. Thread-safe. */
  void BeginDrain();

  /**
   * Stops accepting and closes idle connections. Requests in progress are
   * finished. Thread-safe.
   */
  void Stop();

  /** @return the number of requests whose handler is running. Thread-safe. */
  std::size_t ActiveRequests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_HTTP_SERVER_H_
