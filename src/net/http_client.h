/** @file http_client.h HTTP/1.1 client with pooled connections. */

#ifndef WASABIWIND_NET_HTTP_CLIENT_H_
#define WASABIWIND_NET_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "base/error_type.h"
#include "base/time_type.h"
#include "net/endpoint_type.h"
#include "net/http_type.h"

namespace wasabiwind::net {

struct HttpClientOptions {
  base::milliseconds m_connect_timeout{1'000};
  base::milliseconds m_idle_timeout{20'000};  ///< of a pooled connection
  std::size_t m_max_idle_per_endpoint = 64;
  std::size_t m_max_header_bytes = 64 * 1024;
  /**
   * A connection ends when sent bytes stay unacknowledged for this time, so
   * that nothing arrives after a partition that lasted longer. 0: the default
   * of the system.
   */
  base::milliseconds m_user_timeout{0};
};

/** How much of a request was sent; matters if its exchange fails. */
enum class SendState : std::uint8_t {
  kNothingSent,  ///< no byte of the request left this process
  kPartlySent,   ///< some bytes left; the peer may act on them
  kFullySent,    ///< the whole request left
  kEnd,
};

/**
 * One request and its response. Once it is destroyed, the connection returns
 * to the pool if the response was read to its end and is no error, the peer
 * keeps the connection open and Discard wasn't called; otherwise it closes. Not
 * thread-safe.
 */
class HttpCall {
 public:
  virtual ~HttpCall() = default;

  /**
   * Waits for status and headers; the body of the result is empty.
   * @return kTimeout after the deadline, after which another read may follow;
   *         kIo or kProtocol for other errors, such as a status outside 100 to
   *         599 or a line that begins with a blank
   */
  virtual base::Result<HttpResponse> ReadHead(base::TimePoint deadline) = 0;

  /**
   * Waits for the next part of the body and appends it. A body without length
   * ends with the connection, but not before the peer has received the whole
   * request.
   * @param[out] data receives the bytes that have arrived
   * @return false at the end of the body; errors as for ReadHead
   * @pre ReadHead succeeded
   */
  virtual base::Result<bool> ReadSome(std::string *data,
                                      base::TimePoint deadline) = 0;

  /** @return whether bytes of the response have arrived that weren't read. An
   * error of the connection is kept for the next read. */
  virtual bool HasInput() = 0;

  /** @return how much of the request left this process. */
  virtual SendState GetSendState() const = 0;

  /** Closes the connection at the end, even if it could be pooled. */
  virtual void Discard() = 0;

  /**
   * Aborts a ReadHead or ReadSome in which another fiber of this thread waits;
   * this and later reads fail with kIo.
   */
  virtual void Cancel() = 0;
};

/** Sends requests of one thread and pools connections. Not thread-safe. */
class HttpClientPool {
 public:
  explicit HttpClientPool(HttpClientOptions options = {});
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool &) = delete;
  HttpClientPool &operator=(const HttpClientPool &) = delete;

  /** Whether a pooled connection may carry the request. */
  enum class Reuse : std::uint8_t {
    kPooled,  ///< allowed; the peer may turn out to have closed it, but only
              ///< after the request was sent
    kFresh,   ///< always a new connection, for requests that run at most once
  };

  /** A started call, or the error and how much had been sent before it. */
  struct StartResult {
    std::unique_ptr<HttpCall> m_call;  ///< nullptr on error
    base::Error m_error;
    SendState m_send_state = SendState::kNothingSent;
    bool m_is_reused = false;  ///< sent on a connection used before
  };

  /**
   * Connects or takes a pooled connection and sends a request. Host, unless
   * the request has one, and Content-Length are added.
   * @pre called inside RunFiberThread
   */
  StartResult Start(const Endpoint &endpoint, const HttpRequest &request,
                    base::TimePoint deadline, Reuse reuse = Reuse::kPooled);

  /**
   * Sends a request and reads the whole response.
   * @param max_body_bytes a longer body is a kProtocol error
   */
  base::Result<HttpResponse> Fetch(const Endpoint &endpoint,
                                   const HttpRequest &request,
                                   base::TimePoint deadline,
                                   std::size_t max_body_bytes = 4 << 20);

  /**
   * Connects without sending anything; the connection goes to the pool.
   * @return kTimeout if the peer doesn't answer, kIo if it refuses
   * @pre called inside RunFiberThread
   */
  base::Result<void> Connect(const Endpoint &endpoint,
                             base::TimePoint deadline);

  /** Closes pooled connections to an endpoint. */
  void CloseIdle(const Endpoint &endpoint);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_HTTP_CLIENT_H_
