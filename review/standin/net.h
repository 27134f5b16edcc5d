/** @file net.h Blocking HTTP/1.1 over loopback sockets, for stand-ins. */

#ifndef WASABIWIND_REVIEW_STANDIN_NET_H_
#define WASABIWIND_REVIEW_STANDIN_NET_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace wasabiwind::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** IP address and port. */
struct Address {
  std::string m_ip;
  int m_port = 0;

  std::string ToString() const { return m_ip + ":" + std::to_string(m_port); }
};

/** @return an address from "IP:PORT" */
Address ParseAddress(const std::string &text);

/** Header names are in lowercase. */
using Headers = std::map<std::string, std::string>;

struct Request {
  std::string m_method;
  std::string m_target;
  Headers m_headers;
  std::string m_body;

  /** @return the value of a header, "" if it is missing */
  std::string Get(const std::string &name) const;
};

struct Response {
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
  /** All bytes that the framing promises have arrived. */
  bool m_is_complete = false;
  /** What was wrong, "" if nothing was. */
  std::string m_error;

  std::string Get(const std::string &name) const;
};

/** One connection. Used by one thread. Closes the socket at its end. */
class Connection {
 public:
  explicit Connection(int socket) : m_socket(socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /** Connects; the connection isn't open after a failure. */
  Connection(const Address &peer, milliseconds timeout);

  bool IsOpen() const { return m_socket >= 0; }

  /** @return whether all bytes were accepted */
  bool Send(const std::string &bytes);

  /** Closes the connection with a reset. */
  void Reset();
  void Close();

  /** @return whether the peer has closed or reset the connection */
  bool IsPeerGone() const;

  /** Reads one request. @return false at the end of the connection */
  bool ReadRequest(Request *request);

  /**
   * Reads one response.
   * @param is_head whether it answers a HEAD request and so has no body
   */
  Response ReadResponse(milliseconds timeout, bool is_head = false);

 private:
  bool ReadMore(Clock::time_point deadline);
  bool ReadLine(std::string *line, Clock::time_point deadline);
  bool ReadBytes(std::size_t size, std::string *bytes,
                 Clock::time_point deadline);
  bool ReadHeaders(Headers *headers, Clock::time_point deadline);
  bool ReadChunks(std::string *body, Clock::time_point deadline);

  int m_socket = -1;
  std::string m_buffer;  ///< received and not yet read
};

/** @return a request with its length, for Connection::Send */
std::string FormatRequest(const std::string &method, const std::string &target,
                          const std::string &headers, const std::string &body);

/** Sends one request on a connection of its own. */
Response Call(const Address &peer, const std::string &method,
              const std::string &target, const std::string &headers,
              const std::string &body, milliseconds timeout);

/** Serves connections, with a thread for each. */
class Server {
 public:
  /** @return whether the connection stays open for another request */
  using Handler = std::function<bool(const Request &, Connection *)>;

  Server(Address listen, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /** Starts to accept connections. @return whether the address was free */
  bool Start();

  /** Closes the listener, so that new connections are refused, and all
   * connections. */
  void Stop();

 private:
  void Accept(int listener);
  void Serve(int socket);

  Address m_listen;
  Handler m_handler;
  int m_listener = -1;
  std::thread m_acceptor;
  std::mutex m_mutex;       ///< guards the following
  std::set<int> m_sockets;  ///< open connections
  std::vector<std::thread> m_threads;
};

}  // namespace wasabiwind::review

#endif  // WASABIWIND_REVIEW_STANDIN_NET_H_
