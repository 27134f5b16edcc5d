/** @file raw_runner.h An upstream that writes arbitrary bytes, for tests. */

#ifndef WASABIWIND_TESTS_RAW_RUNNER_H_
#define WASABIWIND_TESTS_RAW_RUNNER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace wasabiwind {

/** One connection to a RawRunner. Used by its thread only. */
class RawConnection {
 public:
  explicit RawConnection(int socket) : m_socket(socket) {}

  /** @return whether all bytes were accepted; false once the peer has closed */
  bool Write(const std::string &bytes) const {
    std::size_t done = 0;
    while (done < bytes.size()) {
      ssize_t count = ::send(m_socket, bytes.data() + done, bytes.size() - done,
                             MSG_NOSIGNAL);
      if (count <= 0) return false;
      done += static_cast<std::size_t>(count);
    }
    return true;
  }

  /** Writes bytes again and again until the peer closes.
   * @return the number of bytes written */
  std::size_t WriteWithoutEnd(const std::string &bytes) const {
    std::size_t total = 0;
    while (Write(bytes)) total += bytes.size();
    return total;
  }

  /** Reads and discards bytes until the peer closes. */
  void ReadToEnd() const {
    char bytes[4096];
    while (::recv(m_socket, bytes, sizeof(bytes), 0) > 0) {
    }
  }

  /** Ends the bytes of this side; the peer may go on sending. */
  void EndOutput() const { ::shutdown(m_socket, SHUT_WR); }

  /** Makes the close of the connection a reset. */
  void Reset() const {
    linger option{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }

  int m_socket;
};

/** Value of a request header, "" if there is none. */
inline std::string GetRawHeader(const std::string &request,
                                const std::string &name) {
  std::size_t at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 4;
  return request.substr(at, request.find("\r\n", at) - at);
}

/** How much of a request a RawRunner reads before it runs its script. */
enum class RawRead : std::uint8_t {
  kRequest,  ///< head and body
  kHead,     ///< the head, and what arrives together with it
};

/**
 * Accepts connections on a loopback port, with a thread for each. The script
 * gets each request and writes the answer.
 */
class RawRunner {
 public:
  /** @param call number of the request, from 0
   * @return whether the connection stays open for another request */
  using Script = std::function<bool(int call, const std::string &request,
                                    const RawConnection &connection)>;

  explicit RawRunner(Script script, RawRead read = RawRead::kRequest)
      : m_script(std::move(script)), m_read(read) {
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (read == RawRead::kHead) {
      // Long requests must still be on their way when the script answers.
      int bytes = 64 * 1024;
      ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    ::listen(m_listener, SOMAXCONN);
    socklen_t size = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { Accept(); });
  }

  ~RawRunner() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      for (int socket : m_sockets) ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads) thread.join();
    for (int socket : m_sockets) ::close(socket);
  }

  /** Reads one request. @return false once the peer has closed */
  static bool ReadRequest(int socket, std::string *request,
                          RawRead read = RawRead::kRequest) {
    request->clear();
    char bytes[4096];
    while (true) {
      std::size_t head = request->find("\r\n\r\n");
      if (head != std::string::npos) {
        if (read == RawRead::kHead) return true;
        std::string length = GetRawHeader(*request, "Content-Length");
        std::size_t body = length.empty() ? 0 : std::stoul(length);
        if (request->size() >= head + 4 + body) return true;
      }
      ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
      if (count <= 0) return false;
      request->append(bytes, static_cast<std::size_t>(count));
    }
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }
  int CountCalls() const { return m_calls; }

 private:
  void Accept() {
    while (true) {
      int socket = ::accept(m_listener, nullptr, nullptr);
      if (socket < 0) return;
      std::lock_guard<std::mutex> lock(m_mutex);
      m_sockets.push_back(socket);
      m_threads.emplace_back([this, socket] { Serve(socket); });
    }
  }

  void Serve(int socket) {
    std::string request;
    while (ReadRequest(socket, &request, m_read)) {
      if (!m_script(m_calls++, request, RawConnection(socket))) break;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_sockets.remove(socket);
    ::close(socket);
  }

  Script m_script;
  RawRead m_read;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<int> m_calls = 0;
  std::thread m_acceptor;
  std::mutex m_mutex;        ///< guards the two lists
  std::list<int> m_sockets;  ///< open connections
  std::list<std::thread> m_threads;
};

}  // namespace wasabiwind

#endif  // WASABIWIND_TESTS_RAW_RUNNER_H_
