/** @file harness.cpp Sockets, processes and peers of the review's cases. */

#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace wasabiwind::review {

namespace {

namespace fs = std::filesystem;

constexpr int kControlPort = 8144;
constexpr int kEntryPort = 8149;
constexpr int kDirectoryPort = 8142;
constexpr int kReadyPort = 8141;
constexpr int kMessagePort = 7380;
constexpr int kAdminPort = 7381;
constexpr milliseconds kHeartbeat{1'200};
constexpr milliseconds kCallTimeout{1'000};
constexpr std::size_t kReadBytes = 64 * 1024;

/** Buffered reads from one socket, until a time. */
class Reader {
 public:
  explicit Reader(int socket) : m_socket(socket) {}

  void SetDeadline(TimePoint deadline) { m_deadline = deadline; }

  /** @return false at the end of the connection or at the deadline */
  bool Fill() {
    auto left =
        std::chrono::duration_cast<milliseconds>(m_deadline - Clock::now());
    if (left.count() <= 0) return false;
    pollfd state{m_socket, POLLIN, 0};
    int ready = ::poll(&state, 1, static_cast<int>(left.count()) + 1);
    if (ready <= 0) return false;
    char bytes[kReadBytes];
    ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      m_is_at_end = count == 0;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  std::optional<std::string> ReadLine() {
    while (true) {
      std::size_t end = m_buffer.find("\r\n");
      if (end != std::string::npos) {
        std::string line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return line;
      }
      if (!Fill()) return std::nullopt;
    }
  }

  /** Reads bytes and hands each piece on. */
  bool ReadBytes(std::size_t size,
                 const std::function<void(const std::string &)> &take) {
    while (size > 0) {
      if (m_buffer.empty() && !Fill()) return false;
      std::string piece = m_buffer.substr(0, size);
      m_buffer.erase(0, piece.size());
      size -= piece.size();
      take(piece);
    }
    return true;
  }

  bool ReadToEnd(const std::function<void(const std::string &)> &take) {
    while (true) {
      if (!m_buffer.empty()) take(m_buffer);
      m_buffer.clear();
      if (!Fill()) return m_is_at_end;
    }
  }

 private:
  int m_socket;
  TimePoint m_deadline = TimePoint::max();
  std::string m_buffer;
  bool m_is_at_end = false;
};

bool ReadHead(Reader *reader, Message *message) {
  std::optional<std::string> line = reader->ReadLine();
  if (!line) return false;
  message->m_first_line = *line;
  while (true) {
    line = reader->ReadLine();
    if (!line) return false;
    if (line->empty()) return true;
    std::size_t colon = line->find(':');
    if (colon == std::string::npos) return false;
    std::size_t value = line->find_first_not_of(' ', colon + 1);
    message->m_headers.emplace_back(
        line->substr(0, colon),
        value == std::string::npos ? "" : line->substr(value));
  }
}

bool ReadChunks(Reader *reader,
                const std::function<void(const std::string &)> &take) {
  while (true) {
    std::optional<std::string> line = reader->ReadLine();
    if (!line) return false;
    std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
    if (size == 0) break;
    if (!reader->ReadBytes(size, take)) return false;
    if (!reader->ReadLine()) return false;
  }
  while (std::optional<std::string> line = reader->ReadLine()) {
    if (line->empty()) return true;
  }
  return false;
}

bool ReadBody(Reader *reader, const Message &message, bool is_response,
              const std::function<void(const std::string &)> &take) {
  if (strcasecmp(message.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    return ReadChunks(reader, take);
  }
  std::string length = message.Get("Content-Length");
  if (!length.empty()) {
    return reader->ReadBytes(std::strtoul(length.c_str(), nullptr, 10), take);
  }
  return !is_response || reader->ReadToEnd(take);
}

sockaddr_in MakeSocketAddress(const Address &address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
  ::inet_pton(AF_INET, address.m_ip.c_str(), &result.sin_addr);
  return result;
}

void SetNoDelay(int socket) {
  int value = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &value, sizeof(value));
}

int Connect(const Address &to, milliseconds timeout) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return -1;
  sockaddr_in address = MakeSocketAddress(to);
  int code = ::connect(socket, reinterpret_cast<sockaddr *>(&address),
                       sizeof(address));
  if (code != 0 && errno == EINPROGRESS) {
    pollfd state{socket, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (::poll(&state, 1, static_cast<int>(timeout.count())) > 0) {
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    code = error == 0 ? 0 : -1;
  }
  if (code != 0) {
    ::close(socket);
    return -1;
  }
  int flags = ::fcntl(socket, F_GETFL);
  ::fcntl(socket, F_SETFL, flags & ~O_NONBLOCK);
  SetNoDelay(socket);
  return socket;
}

std::uint64_t GetUnixTimeMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

void SleepUntil(TimePoint time) { std::this_thread::sleep_until(time); }

bool HasTrouble() {
  const char *trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

const char *const kOrderTable =
    R"({"version":1,"routes":[{"name":"place-order","host":"hutch.example",)"
    R"("pathPrefix":"/order/","kind":"unsafe","timeoutMs":800,"sloMs":150,)"
    R"("priority":2,"service":"order-desk","maxAttempts":1,"sticky":false,)"
    R"("resumable":false}],"services":[{"name":"order-desk",)"
    R"("healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],)"
    R"("limits":{"headerBytes":16384,"bodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

Headers MakeOrderHeaders(const std::string &id) {
  return {{"Host", "hutch.example"},
          {"X-Wasabiwind-Request-Id", id},
          {"X-Wasabiwind-Deadline-Ms", "800"}};
}

OrderRunner::OrderRunner(RunnerIdentity identity, Record *record, OnRun on_run)
    : m_identity(std::move(identity)),
      m_record(record),
      m_on_run(std::move(on_run)),
      m_server(m_identity.m_listen, [this](int socket, const Message &call) {
        return Serve(socket, call);
      }) {}

bool OrderRunner::Serve(int socket, const Message &call) {
  constexpr milliseconds kWork{15};
  Headers headers = {{"X-Wasabiwind-Instance-Id", m_identity.m_id}};
  if (call.Word(1) == "/health") return WriteReply(socket, 200, headers, "");
  std::string expected = call.Get("X-Wasabiwind-Expect-Instance");
  std::string id = call.Get("X-Wasabiwind-Request-Id");
  headers.emplace_back("X-Wasabiwind-Request-Id", id);
  if (!expected.empty() && expected != m_identity.m_id) {
    headers.emplace_back("X-Wasabiwind-Not-Run", "1");
    return WriteReply(socket, 421, headers, "");
  }
  m_record->Write("run " + id + " at " + m_identity.m_id + ": " +
                  call.m_first_line + ", " +
                  std::to_string(call.m_body.size()) + " bytes of body");
  if (m_on_run) m_on_run(id, call);
  std::this_thread::sleep_for(kWork);
  headers.emplace_back("X-Wasabiwind-Server-Stamp", m_identity.m_id + "." + id);
  return WriteReply(socket, 200, headers, "order " + id);
}

RunnerIdentity MakeRunnerIdentity(const Deployment &deployment,
                                  const std::string &service, int number) {
  constexpr int kFirstRunnerIp = 100;
  constexpr int kRunnerPort = 8080;
  RunnerIdentity identity;
  identity.m_id = "i-runner-" + std::to_string(number);
  identity.m_service = service;
  identity.m_zone = deployment.GetZone(number);
  identity.m_listen =
      Address{deployment.MakeIp(kFirstRunnerIp + number), kRunnerPort};
  return identity;
}

std::vector<Address> ListControls(const Deployment &deployment, int count) {
  std::vector<Address> controls;
  for (int i = 0; i < count; ++i) controls.push_back(deployment.GetControl(i));
  return controls;
}

RawConnection::RawConnection(const Address &to)
    : m_socket(Connect(to, kCallTimeout)) {}

RawConnection::~RawConnection() {
  if (m_socket >= 0) ::close(m_socket);
}

std::string RawConnection::ReadFor(milliseconds time) {
  std::string text;
  Reader reader(m_socket);
  reader.SetDeadline(Clock::now() + time);
  (void)reader.ReadToEnd([&text](const std::string &piece) { text += piece; });
  return text;
}

Record::Record(const std::string &path) : m_file(path) {}

double Record::At(TimePoint time) const {
  return std::chrono::duration<double, std::milli>(time - m_start).count();
}

void Record::Write(const std::string &line) {
  std::lock_guard<std::mutex> lock(m_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%10.1f ms  ", At(Clock::now()));
  m_file << time << line << std::endl;
}

Address ParseAddress(const std::string &text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  return Address{text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

std::string Message::Get(const std::string &name) const {
  for (const auto &[key, value] : m_headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

std::string Message::Word(int number) const {
  std::istringstream words(m_first_line);
  std::string word;
  for (int i = 0; i <= number; ++i) {
    if (!(words >> word)) return "";
  }
  return word;
}

bool WriteAll(int socket, const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    ssize_t count =
        ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

bool WriteReply(int socket, int status, const Headers &headers,
                const std::string &body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto &[name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return WriteAll(socket, text);
}

bool IsClosed(int socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0;
}

Reply SendCall(const Address &to, const Call &call) {
  Reply reply;
  TimePoint deadline = Clock::now() + call.m_timeout;
  int socket = Connect(to, std::min(call.m_timeout, kCallTimeout));
  if (socket < 0) return reply;
  std::string text = call.m_method + " " + call.m_path + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto &[name, value] : call.m_headers) {
    has_host |= strcasecmp(name.c_str(), "Host") == 0;
    text += name + ": " + value + "\r\n";
  }
  if (!has_host) text += "Host: " + to.ToString() + "\r\n";
  if (!call.m_body.empty() || call.m_method == "POST") {
    text += "Content-Length: " + std::to_string(call.m_body.size()) + "\r\n";
  }
  text += "\r\n" + call.m_body;
  Reader reader(socket);
  reader.SetDeadline(deadline);
  if (WriteAll(socket, text) && ReadHead(&reader, &reply.m_message)) {
    reply.m_status = std::atoi(reply.m_message.Word(1).c_str());
    reply.m_is_complete =
        ReadBody(&reader, reply.m_message, /*is_response=*/true,
                 [&](const std::string &piece) {
                   reply.m_message.m_body += piece;
                   if (call.m_on_body) call.m_on_body(piece);
                 });
  }
  ::close(socket);
  return reply;
}

Server::Server(Address listen, Handler handler)
    : m_handler(std::move(handler)) {
  m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int value = 1;
  ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &value, sizeof(value));
  sockaddr_in address = MakeSocketAddress(listen);
  bool is_bound = ::bind(m_socket, reinterpret_cast<sockaddr *>(&address),
                         sizeof(address)) == 0 &&
                  ::listen(m_socket, 128) == 0;
  if (!is_bound) {
    std::cerr << "can't listen on " << listen.ToString() << "\n";
    std::exit(kCouldNotRun);
  }
  m_thread = std::thread([this] { Accept(); });
}

Server::~Server() {
  m_is_stopped = true;
  ::shutdown(m_socket, SHUT_RDWR);
  m_thread.join();
  ::close(m_socket);
  std::unique_lock<std::mutex> lock(m_mutex);
  for (int socket : m_open) ::shutdown(socket, SHUT_RDWR);
  m_has_closed.wait(lock, [this] { return m_open.empty(); });
}

void Server::Accept() {
  while (!m_is_stopped) {
    int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    SetNoDelay(socket);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_open.insert(socket);
    std::thread([this, socket] { ServeConnection(socket); }).detach();
  }
}

void Server::ServeConnection(int socket) {
  Reader reader(socket);
  while (!m_is_stopped) {
    Message request;
    if (!ReadHead(&reader, &request)) break;
    bool is_whole = ReadBody(
        &reader, request, /*is_response=*/false,
        [&request](const std::string &piece) { request.m_body += piece; });
    if (!is_whole || !m_handler(socket, request)) break;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_open.erase(socket);
  ::close(socket);
  m_has_closed.notify_all();
}

Deployment::Deployment(DeploymentOptions options, Record *record)
    : m_options(std::move(options)), m_record(record) {
  std::string pattern =
      (fs::temp_directory_path() / "wasabiwind-review-XXXXXX").string();
  m_folder = ::mkdtemp(pattern.data());
  for (int i = 0; i < m_options.m_controls + m_options.m_entries; ++i) {
    Host host;
    host.m_is_entry = i >= m_options.m_controls;
    host.m_number = host.m_is_entry ? i - m_options.m_controls : i;
    host.m_name = (host.m_is_entry ? "entry-" : "control-") +
                  std::to_string(host.m_number);
    host.m_ip = MakeIp(1 + i);
    host.m_zone = GetZone(host.m_number);
    host.m_region = "region-" + std::to_string(host.m_number % 3);
    m_hosts.push_back(std::move(host));
  }
}

Deployment::~Deployment() {
  for (Host &host : m_hosts) Kill(&host);
  std::error_code ignored;
  if (std::getenv("KEEP_FOLDER") == nullptr) fs::remove_all(m_folder, ignored);
}

std::string Deployment::MakeIp(int number) const {
  int process = ::getpid();
  return "127." + std::to_string(64 + process % 128) + "." +
         std::to_string(process / 128 % 250 + 1) + "." + std::to_string(number);
}

std::string Deployment::GetZone(int number) const {
  return "zone-" + std::to_string(number % 3);
}

std::string Deployment::GetFolder(const Host &host) const {
  return m_folder + "/" + host.m_name;
}

void Deployment::WriteSettings(const Host &host) {
  std::string folder = GetFolder(host);
  fs::create_directories(folder);
  std::ofstream file(folder + "/settings.ini");
  std::string seeds;
  for (const Host &other : m_hosts) {
    if (other.m_is_entry || other.m_number >= 3) continue;
    if (!seeds.empty()) seeds += ",";
    seeds += Address{other.m_ip, kControlPort}.ToString();
  }
  file << "[node]\nname = " << host.m_name << "\nregion = " << host.m_region
       << "\ndomain = " << host.m_zone << "\n[admin]\nlisten = " << host.m_ip
       << ":" << kAdminPort << "\n[log]\nlevel = info\n[network]\n"
       << "message_address = " << host.m_ip << ":" << kMessagePort
       << "\nmessage_port = " << kMessagePort << "\ncontrol_hosts = " << seeds
       << "\ndomains = zone-0=region-0,zone-1=region-1,zone-2=region-2\n"
       << "[bounds]\ngrace_ms = 8s\n";
  if (host.m_is_entry) {
    file << "retry_ratio = 0.2\nretry_window_ms = 10s\nretry_slack = "
         << m_options.m_retry_slack
         << "\nheartbeat_ms = 1200ms\naddress_ttl_ms = 5s\n[callers]\nlisten = "
         << host.m_ip << ":" << kEntryPort << "\ndirectory = " << host.m_ip
         << ":" << kDirectoryPort << "\nready = " << host.m_ip << ":"
         << kReadyPort << "\n";
  } else {
    file << "order_lease_ms = 3000ms\nload_window_ms = 5s\n"
         << "heartbeat_ms = 1200ms\n[group]\ndata_folder = " << folder
         << "/data\nlisten = " << host.m_ip << ":" << kControlPort
         << "\nis_first_start = " << (host.m_starts == 0 ? "true" : "false")
         << "\ntolerated_losses = " << m_options.m_tolerated_losses << "\n";
  }
}

void Deployment::Start(Host *host) {
  WriteSettings(*host);
  std::string folder = GetFolder(*host);
  std::string program =
      m_options.m_root + "/target/bin/" +
      (host->m_is_entry ? "ww_platform_entry" : "ww_platform_control");
  std::string config = "--config=" + folder + "/settings.ini";
  std::string log =
      folder + "/log-" + std::to_string(host->m_starts) + ".jsonl";
  ++host->m_starts;
  pid_t process = ::fork();
  if (process == 0) {
    // Ends with this program, whatever ends it.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    if (::chdir(m_options.m_root.c_str()) != 0) ::_exit(127);
    ::execl(program.c_str(), program.c_str(), config.c_str(), nullptr);
    ::_exit(127);
  }
  host->m_process = process;
  m_record->Write("start " + host->m_name);
}

void Deployment::StartAll() {
  for (Host &host : m_hosts) Start(&host);
}

void Deployment::Signal(Host *host, int signal) {
  if (host->m_process > 0) ::kill(host->m_process, signal);
  m_record->Write("signal " + std::to_string(signal) + " to " + host->m_name);
}

void Deployment::Kill(Host *host) {
  if (host->m_process <= 0) return;
  ::kill(host->m_process, SIGKILL);
  ::waitpid(host->m_process, nullptr, 0);
  host->m_process = -1;
  m_record->Write("killed " + host->m_name);
}

bool Deployment::IsRunning(Host *host) {
  if (host->m_process <= 0) return false;
  if (::waitpid(host->m_process, nullptr, WNOHANG) == 0) return true;
  host->m_process = -1;
  return false;
}

Address Deployment::GetControl(int number) const {
  return Address{m_hosts[static_cast<std::size_t>(number)].m_ip, kControlPort};
}

Address Deployment::GetEntry(int number) const {
  auto position = static_cast<std::size_t>(m_options.m_controls + number);
  return Address{m_hosts[position].m_ip, kEntryPort};
}

std::vector<Host *> Deployment::ListHosts() {
  std::vector<Host *> hosts;
  for (Host &host : m_hosts) hosts.push_back(&host);
  return hosts;
}

Host *Deployment::GetEntryHost(int number) {
  return &m_hosts[static_cast<std::size_t>(m_options.m_controls + number)];
}

Host *Deployment::GetControlHost(int number) {
  return &m_hosts[static_cast<std::size_t>(number)];
}

bool Deployment::PutTable(const std::string &document, milliseconds limit) {
  TimePoint end = Clock::now() + limit;
  int turn = 0;
  while (Clock::now() < end) {
    Address to = GetControl(turn++ % m_options.m_controls);
    for (int redirects = 0; redirects < 3; ++redirects) {
      Call call;
      call.m_method = "POST";
      call.m_path = "/wasabiwind/Config.Put";
      call.m_body = document;
      Reply reply = SendCall(to, call);
      if (reply.m_status == 200) {
        m_record->Write("table acknowledged by " + to.ToString());
        return true;
      }
      if (reply.m_status != 307) break;
      std::string location = reply.m_message.Get("Location");
      std::size_t begin = location.find("//") + 2;
      to = ParseAddress(
          location.substr(begin, location.find('/', begin) - begin));
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

bool Deployment::WaitUntilReady(milliseconds limit) {
  TimePoint end = Clock::now() + limit;
  while (Clock::now() < end) {
    bool are_ready = true;
    for (const Host &host : m_hosts) {
      if (!host.m_is_entry) continue;
      Call call;
      call.m_path = "/wasabiwind/ready";
      are_ready &=
          SendCall(Address{host.m_ip, kReadyPort}, call).m_status == 200;
    }
    if (are_ready) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

Reporter::Reporter(RunnerIdentity identity, std::vector<Address> controls,
                   Record *record)
    : m_identity(std::move(identity)),
      m_controls(std::move(controls)),
      m_record(record),
      m_born_ms(GetUnixTimeMs()) {
  for (char character : m_identity.m_id) {
    m_next += static_cast<unsigned char>(character);
  }
}

Reporter::~Reporter() { Stop(); }

void Reporter::SetModels(const std::string &models_json) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_identity.m_models_json = models_json;
}

Call Reporter::MakeReport() {
  std::lock_guard<std::mutex> lock(m_mutex);
  Call call;
  call.m_method = "POST";
  call.m_path = "/wasabiwind/Instances.Beat/" + m_identity.m_id;
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body =
      R"({"service":")" + m_identity.m_service + R"(","addr":")" +
      m_identity.m_listen.ToString() + R"(","zone":")" + m_identity.m_zone +
      R"(","version":"v1","slots":)" + std::to_string(m_identity.m_slots) +
      R"(,"state":"ready","coldLeftMs":0,"stage":"mixed","models":)" +
      m_identity.m_models_json + R"(,"born":)" + std::to_string(m_born_ms) +
      R"(,"seq":)" + std::to_string(++m_number) + "}";
  return call;
}

Call Reporter::MakeLeave() {
  std::lock_guard<std::mutex> lock(m_mutex);
  Call call;
  call.m_method = "POST";
  call.m_path = "/wasabiwind/Instances.Leave/" + m_identity.m_id;
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = R"({"born":)" + std::to_string(m_born_ms) + R"(,"seq":)" +
                std::to_string(++m_number) + "}";
  return call;
}

std::optional<TimePoint> Reporter::SendUntilAcknowledged(const Call &call,
                                                         milliseconds limit) {
  TimePoint end = Clock::now() + limit;
  while (Clock::now() < end) {
    Address to =
        m_preferred ? *m_preferred : m_controls[m_next++ % m_controls.size()];
    Reply reply = SendCall(to, call);
    if (reply.m_status / 100 == 2) {
      std::string body = reply.m_message.m_body;
      std::size_t found = body.find(R"("beatAddr":")");
      if (found != std::string::npos) {
        found += std::strlen(R"("beatAddr":")");
        m_preferred =
            ParseAddress(body.substr(found, body.find('"', found) - found));
      }
      return Clock::now();
    }
    m_preferred.reset();
    std::this_thread::sleep_for(milliseconds(50));
  }
  return std::nullopt;
}

void Reporter::Run() {
  m_is_stopped = false;
  m_thread = std::thread([this] {
    TimePoint next = Clock::now();
    while (!m_is_stopped) {
      (void)SendUntilAcknowledged(MakeReport(), kHeartbeat);
      next = std::max(next + kHeartbeat, Clock::now());
      while (!m_is_stopped && Clock::now() < next) {
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
  });
}

void Reporter::Stop() {
  m_is_stopped = true;
  if (m_thread.joinable()) m_thread.join();
}

}  // namespace wasabiwind::review
