/** @file net.cpp Blocking HTTP/1.1 over loopback sockets, for stand-ins. */

#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

namespace wasabiwind::review {

namespace {

constexpr milliseconds kIdleTimeout{60'000};

sockaddr_in ToSocketAddress(const Address &address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
  ::inet_pton(AF_INET, address.m_ip.c_str(), &result.sin_addr);
  return result;
}

int GetWaitMs(Clock::time_point deadline) {
  auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Find(const Headers &headers, const std::string &name) {
  auto found = headers.find(ToLower(name));
  return found == headers.end() ? "" : found->second;
}

}  // namespace

Address ParseAddress(const std::string &text) {
  std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

std::string Request::Get(const std::string &name) const {
  return Find(m_headers, name);
}

std::string Response::Get(const std::string &name) const {
  return Find(m_headers, name);
}

Connection::Connection(const Address &peer, milliseconds timeout) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int flags = ::fcntl(socket, F_GETFL);
  ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  sockaddr_in address = ToSocketAddress(peer);
  int code = ::connect(socket, reinterpret_cast<sockaddr *>(&address),
                       sizeof(address));
  if (code != 0 && errno == EINPROGRESS) {
    pollfd state{socket, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (::poll(&state, 1, static_cast<int>(timeout.count())) == 1) {
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    code = error;
  }
  if (code != 0) {
    ::close(socket);
    return;
  }
  ::fcntl(socket, F_SETFL, flags);
  int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  m_socket = socket;
}

Connection::~Connection() { Close(); }

void Connection::Close() {
  if (m_socket >= 0) ::close(m_socket);
  m_socket = -1;
}

void Connection::Reset() {
  linger option{1, 0};
  ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  Close();
}

bool Connection::IsPeerGone() const {
  pollfd state{m_socket, POLLRDHUP, 0};
  return ::poll(&state, 1, 0) == 1;
}

bool Connection::Send(const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    ssize_t count = ::send(m_socket, bytes.data() + done, bytes.size() - done,
                           MSG_NOSIGNAL);
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::ReadMore(Clock::time_point deadline) {
  pollfd state{m_socket, POLLIN, 0};
  if (::poll(&state, 1, GetWaitMs(deadline)) != 1) return false;
  char bytes[16'384];
  ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
  if (count <= 0) return false;
  m_buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string *line, Clock::time_point deadline) {
  std::size_t end = m_buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(deadline)) return false;
    end = m_buffer.find("\r\n");
  }
  *line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(std::size_t size, std::string *bytes,
                           Clock::time_point deadline) {
  while (m_buffer.size() < size) {
    if (ReadMore(deadline)) continue;
    bytes->append(m_buffer);
    m_buffer.clear();
    return false;
  }
  bytes->append(m_buffer, 0, size);
  m_buffer.erase(0, size);
  return true;
}

bool Connection::ReadHeaders(Headers *headers, Clock::time_point deadline) {
  std::string line;
  while (ReadLine(&line, deadline)) {
    if (line.empty()) return true;
    std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::size_t value = line.find_first_not_of(' ', colon + 1);
    (*headers)[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return false;
}

bool Connection::ReadChunks(std::string *body, Clock::time_point deadline) {
  std::string line;
  while (ReadLine(&line, deadline)) {
    std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size != 0 && !ReadBytes(size, body, deadline)) return false;
    std::string end;
    if (!ReadLine(&end, deadline)) return false;
    if (size == 0) return true;
  }
  return false;
}

bool Connection::ReadRequest(Request *request) {
  Clock::time_point deadline = Clock::now() + kIdleTimeout;
  std::string line;
  if (!ReadLine(&line, deadline)) return false;
  std::size_t first = line.find(' ');
  std::size_t second = line.rfind(' ');
  if (first == std::string::npos || second <= first) return false;
  *request = Request();
  request->m_method = line.substr(0, first);
  request->m_target = line.substr(first + 1, second - first - 1);
  if (!ReadHeaders(&request->m_headers, deadline)) return false;
  if (request->Get("Transfer-Encoding") == "chunked") {
    return ReadChunks(&request->m_body, deadline);
  }
  std::size_t size =
      std::strtoul(request->Get("Content-Length").c_str(), nullptr, 10);
  return ReadBytes(size, &request->m_body, deadline);
}

Response Connection::ReadResponse(milliseconds timeout, bool is_head) {
  Clock::time_point deadline = Clock::now() + timeout;
  Response response;
  std::string line;
  if (!ReadLine(&line, deadline)) {
    response.m_error = m_buffer.empty() ? "no answer" : "no status line";
    if (!m_buffer.empty()) response.m_error += ": " + m_buffer.substr(0, 80);
    return response;
  }
  if (line.substr(0, 9) != "HTTP/1.1 ") {
    response.m_error = "no status line: " + line.substr(0, 160);
    return response;
  }
  response.m_status = std::atoi(line.c_str() + 9);
  if (!ReadHeaders(&response.m_headers, deadline)) {
    response.m_error = "the head is cut";
    return response;
  }
  if (is_head) {
    response.m_is_complete = true;
  } else if (response.Get("Transfer-Encoding") == "chunked") {
    response.m_is_complete = ReadChunks(&response.m_body, deadline);
  } else {
    std::size_t size =
        std::strtoul(response.Get("Content-Length").c_str(), nullptr, 10);
    response.m_is_complete = ReadBytes(size, &response.m_body, deadline);
  }
  if (!response.m_is_complete) response.m_error = "the body is cut";
  return response;
}

std::string FormatRequest(const std::string &method, const std::string &target,
                          const std::string &headers, const std::string &body) {
  std::string request = method + " " + target + " HTTP/1.1\r\n" + headers;
  if (method != "GET" && method != "HEAD") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return request + "\r\n" + body;
}

Response Call(const Address &peer, const std::string &method,
              const std::string &target, const std::string &headers,
              const std::string &body, milliseconds timeout) {
  Connection connection(peer, timeout);
  Response response;
  response.m_error = "no connection";
  if (!connection.IsOpen()) return response;
  std::string head = "Host: " + peer.ToString() + "\r\n" + headers;
  if (!connection.Send(FormatRequest(method, target, head, body))) {
    return response;
  }
  return connection.ReadResponse(timeout);
}

Server::Server(Address listen, Handler handler)
    : m_listen(std::move(listen)), m_handler(std::move(handler)) {}

Server::~Server() {
  Stop();
  for (std::thread &thread : m_threads) thread.join();
}

bool Server::Start() {
  m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToSocketAddress(m_listen);
  bool is_listening = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address),
                             sizeof(address)) == 0 &&
                      ::listen(m_listener, SOMAXCONN) == 0;
  if (is_listening) {
    m_acceptor =
        std::thread([this, listener = m_listener] { Accept(listener); });
  }
  return is_listening;
}

void Server::Stop() {
  if (m_listener < 0) return;
  ::shutdown(m_listener, SHUT_RDWR);
  if (m_acceptor.joinable()) m_acceptor.join();
  ::close(m_listener);
  m_listener = -1;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (int socket : m_sockets) ::shutdown(socket, SHUT_RDWR);
}

void Server::Accept(int listener) {
  while (true) {
    int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) return;
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::lock_guard<std::mutex> lock(m_mutex);
    m_sockets.insert(socket);
    m_threads.emplace_back([this, socket] { Serve(socket); });
  }
}

void Server::Serve(int socket) {
  {
    Connection connection(socket);
    Request request;
    bool is_open = true;
    while (is_open && connection.ReadRequest(&request)) {
      is_open = m_handler(request, &connection);
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_sockets.erase(socket);
  }
}

}  // namespace wasabiwind::review
