/** @file http_reader.cpp Reading of one request, with its bounds. */

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "net/http_reader_internal.h"

namespace wasabiwind::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kBodyChunkBytes = 64 * 1024;
/** Memory of a header beside its text: a node of the parser and a pair of
 * strings in the request. */
constexpr std::size_t kHeaderOverheadBytes = 144;
/** Size lines, extensions and line ends that a chunked body may have in all,
 * and for each byte of the body. A chunk of one byte without extensions has
 * five. */
constexpr std::size_t kFramingBytes = 64 * 1024;
constexpr std::size_t kFramingBytesPerByte = 16;

ReadFault MakeFault(const beast::error_code &error) {
  std::string detail = error.message();
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return {431, "header_too_long", detail};
  }
  if (error == http::error::body_limit) return {413, "body_too_long", detail};
  if (error == beast::error::timeout) return {408, "too_slow", detail};
  bool is_http_error =
      error.category() ==
      http::make_error_code(http::error::bad_method).category();
  if (!is_http_error || error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    return {0, "caller_gone", detail};
  }
  return {400, "malformed", detail};
}

/** Counts while one request is read. */
struct ReadProgress {
  std::size_t m_header_bytes = 0;    ///< parsed ones, with their overhead
  std::size_t m_received_bytes = 0;  ///< most that the buffer has held
  std::size_t m_body_input = 0;      ///< parsed after the header
};

/** @return how many bytes of the body are missing at least. */
std::size_t CountMissingBytes(const RequestParser &parser) {
  if (parser.chunked()) return kBodyChunkBytes;
  // The parser has checked the value.
  beast::string_view text = parser.get()[http::field::content_length];
  std::size_t length = 0;
  (void)std::from_chars(text.data(), text.data() + text.size(), length);
  return length - std::min(length, parser.get().body().size());
}

/** Receives bytes. @return the error, if any; after the caller has closed its
 * sending side: end_of_stream before a request, partial_message inside one */
beast::error_code ReceiveMore(HttpConnection *connection, RequestParser *parser,
                              base::TimePoint deadline) {
  std::size_t size = kIdleBufferBytes;
  if (parser->is_header_done()) {
    size = std::clamp(CountMissingBytes(*parser), kIdleBufferBytes,
                      kBodyChunkBytes);
  }
  IoResult result = connection->m_socket.ReadSome(
      connection->m_buffer.prepare(size), deadline);
  connection->m_buffer.commit(result.m_size);
  if (result.m_error != asio::error::eof) return result.m_error;
  return parser->got_some() ? http::error::partial_message
                            : http::error::end_of_stream;
}

std::size_t CountHeldBytes(const HttpConnection &connection,
                           const RequestParser &parser,
                           const ReadProgress &progress) {
  std::size_t received =
      std::max(progress.m_received_bytes, connection.m_buffer.size());
  return progress.m_header_bytes + parser.get().body().size() +
         (received > kIdleBufferBytes ? received - kIdleBufferBytes : 0);
}

/** Parses a part of the buffer. */
beast::error_code Parse(HttpConnection *connection, RequestParser *parser,
                        ReadProgress *progress) {
  asio::const_buffer data = connection->m_buffer.data();
  bool is_header = !parser->is_header_done();
  beast::error_code error;
  std::size_t used = parser->put(data, error);
  if (is_header) {
    const char *start = static_cast<const char *>(data.data());
    auto lines =
        static_cast<std::size_t>(std::count(start, start + used, '\n'));
    progress->m_header_bytes += used + lines * kHeaderOverheadBytes;
  } else {
    progress->m_body_input += used;
  }
  connection->m_buffer.consume(used);
  return error;
}

/** Checks the bounds of a chunked body, beside that of its bytes. */
std::optional<ReadFault> CheckFraming(const HttpConnection &connection,
                                      const RequestParser &parser,
                                      const ReadProgress &progress,
                                      const HttpServerOptions &options) {
  if (!parser.is_header_done() || parser.is_done()) return std::nullopt;
  // The parser leaves bytes only of an incomplete size line or trailers.
  if (connection.m_buffer.size() > options.m_max_trailer_bytes) {
    return ReadFault{431, "trailers_too_long",
                     "trailers or a size line are too long"};
  }
  std::size_t body = parser.get().body().size();
  if (progress.m_body_input >
      kFramingBytes + body * (1 + kFramingBytesPerByte)) {
    return ReadFault{400, "chunks_too_small",
                     "the chunks have more framing than content"};
  }
  return std::nullopt;
}

/** Parses and receives until a part of the request is complete. */
template <typename IsComplete>
std::optional<ReadFault> ReadPart(
    HttpConnection *connection, const HttpServerOptions &options,
    RequestParser *parser, base::TimePoint deadline, ReadProgress *progress,
    const HeldCallback &set_held, IsComplete is_complete) {
  while (!is_complete()) {
    if (connection->m_buffer.size() > 0) {
      progress->m_received_bytes =
          std::max(progress->m_received_bytes, connection->m_buffer.size());
      beast::error_code error = Parse(connection, parser, progress);
      if (error && error != http::error::need_more) return MakeFault(error);
      std::optional<ReadFault> fault =
          CheckFraming(*connection, *parser, *progress, options);
      if (fault) return fault;
      set_held(CountHeldBytes(*connection, *parser, *progress));
      if (!error && connection->m_end_reason == nullptr) continue;
    }
    beast::error_code error;
    if (connection->m_end_reason == nullptr) {
      error = ReceiveMore(connection, parser, deadline);
    }
    if (connection->m_end_reason != nullptr) {
      return ReadFault{503, connection->m_end_reason,
                       "the host holds too much for its callers"};
    }
    if (error) return MakeFault(error);
  }
  return std::nullopt;
}

}  // namespace

beast::error_code ReceiveFirst(HttpConnection *connection,
                               RequestParser *parser,
                               base::TimePoint deadline) {
  if (connection->m_end_reason != nullptr) {
    return asio::error::operation_aborted;
  }
  return ReceiveMore(connection, parser, deadline);
}

std::optional<ReadFault> ReadRequest(HttpConnection *connection,
                                     const HttpServerOptions &options,
                                     RequestParser *parser,
                                     const HeldCallback &set_held) {
  parser->header_limit(static_cast<std::uint32_t>(options.m_max_header_bytes));
  parser->body_limit(options.m_max_body_bytes);
  ReadProgress progress;
  std::optional<ReadFault> fault =
      ReadPart(connection, options, parser,
               base::Clock::now() + options.m_header_timeout, &progress,
               set_held, [parser] { return parser->is_header_done(); });
  if (fault) return fault;
  if (parser->get()[http::field::expect] == "100-continue") {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    IoResult sent = connection->m_socket.WriteAll(
        {asio::buffer(kContinue)},
        base::Clock::now() + options.m_write_timeout);
    if (sent.m_error) return ReadFault{};
  }
  if (parser->is_done()) return std::nullopt;
  parser->eager(true);
  return ReadPart(connection, options, parser,
                  base::Clock::now() + options.m_body_timeout, &progress,
                  set_held, [parser] { return parser->is_done(); });
}

std::size_t CountHeldBytes(const HttpConnection &connection,
                           const HttpRequest &request) {
  std::size_t bytes = request.m_body.size();
  for (const HttpHeader &header : request.m_headers.m_items) {
    bytes += header.m_name.size() + header.m_value.size();
  }
  std::size_t buffer = connection.m_buffer.capacity();
  return bytes + request.m_headers.m_items.size() * kHeaderOverheadBytes +
         (buffer > kIdleBufferBytes ? buffer - kIdleBufferBytes : 0);
}

HttpRequest ConvertRequest(RequestParser *parser) {
  http::request<http::string_body> message = parser->release();
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto &field : message) {
    request.m_headers.Add(std::string(field.name_string()),
                          std::string(field.value()));
  }
  request.m_body = std::move(message.body());
  return request;
}

HttpResponse MakeReadRefusal(const ReadFault &fault) {
  int status = fault.m_status;
  const char *remedy = status == 413   ? "send a smaller body"
                       : status == 431 ? "send fewer or shorter headers"
                       : status == 408 ? "send the request faster"
                       : status == 503 ? "try again later"
                                       : "send a valid HTTP/1.1 request";
  const char *reason = status == 503 ? fault.m_reason : "bad_request";
  HttpResponse response = MakeJsonResponse(
      status,
      fmt::format(
          R"({{"error":{{"type":"refusal","reason":"{}","message":"{}; {}","ran":"not_run"}}}})",
          reason, fault.m_detail, remedy));
  if (status == 503) response.m_headers.Add("Retry-After", "1");
  return response;
}

}  // namespace wasabiwind::net
