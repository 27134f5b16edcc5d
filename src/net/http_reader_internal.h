/** @file http_reader_internal.h Reading of one request, with its bounds. */

#ifndef WASABIWIND_NET_HTTP_READER_INTERNAL_H_
#define WASABIWIND_NET_HTTP_READER_INTERNAL_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/deadline_socket.h"
#include "net/http_server.h"

namespace wasabiwind::net {

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

/** What a connection is doing. */
enum class ConnectionState {
  kIdle,     ///< waits for the first byte of a request
  kReading,  ///< has received a part of a request
  kServed,   ///< its request is handled
  kClosing   ///< gets a refusal, or closes
};

/** One accepted connection, used by one thread. */
struct HttpConnection {
  explicit HttpConnection(boost::asio::ip::tcp::socket socket)
      : m_socket(std::move(socket)) {}

  DeadlineSocket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::uint64_t m_id = 0;  ///< later connections have higher ones
  ConnectionState m_state = ConnectionState::kIdle;
  bool m_is_new = true;  ///< no byte of its first request has arrived
  /** Why the server ends the connection to keep a common bound, or nullptr. */
  const char *m_end_reason = nullptr;
};

/** Why a request can't be read. */
struct ReadFault {
  int m_status = 0;           ///< 0: close without a response
  const char *m_reason = "";  ///< label of the counter
  std::string m_detail;
};

/** Called with the bytes that the connection holds; may set its
 * m_end_reason. */
using HeldCallback = std::function<void(std::size_t)>;

/** The capacity that a waiting connection keeps; it isn't counted. */
constexpr std::size_t kIdleBufferBytes = 4 * 1024;

/**
 * Receives the first bytes of a request.
 * @return the error, if any; end_of_stream if the caller has closed
 */
boost::beast::error_code ReceiveFirst(HttpConnection *connection,
                                      RequestParser *parser,
                                      base::TimePoint deadline);

/**
 * Reads a request of which the buffer holds the first bytes.
 * @return nullopt if the request is complete
 */
std::optional<ReadFault> ReadRequest(HttpConnection *connection,
                                     const HttpServerOptions &options,
                                     RequestParser *parser,
                                     const HeldCallback &set_held);

/** @return the bytes that a complete request and the rest of its connection's
 * buffer take. */
std::size_t CountHeldBytes(const HttpConnection &connection,
                           const HttpRequest &request);

/** Moves the request out of a parser. */
HttpRequest ConvertRequest(RequestParser *parser);

/** @return the response to a request that can't be read. */
HttpResponse MakeReadRefusal(const ReadFault &fault);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_HTTP_READER_INTERNAL_H_
