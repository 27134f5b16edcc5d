/** @file deployment.cpp A small deployment of the programs on loopback. */

#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <sstream>

namespace wasabiwind::review {

namespace {

namespace fs = std::filesystem;

constexpr int kControlPort = 8144;
constexpr int kFrontPort = 8149;
constexpr int kReadyPort = 8141;
constexpr int kDirectoryPort = 8142;
constexpr int kMessagePort = 7380;
constexpr int kAdminPort = 7381;
constexpr int kFirstControlIp = 1;
constexpr int kFirstEntryIp = 11;
constexpr int kFirstFreeIp = 101;
constexpr int kNetworkTries = 50;

constexpr milliseconds kHeartbeat{1'200};
constexpr milliseconds kCallTimeout{1'000};
constexpr milliseconds kPollPause{50};
constexpr milliseconds kLoadTime{600};

bool IsFree(const std::string &ip, int port) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  bool is_free = ::bind(socket, reinterpret_cast<sockaddr *>(&address),
                        sizeof(address)) == 0;
  ::close(socket);
  return is_free;
}

std::string ReadFile(const std::string &path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Replaces a file as a whole, as the platform does. */
void WriteFile(const std::string &path, const std::string &text) {
  std::ofstream(path + ".new") << text;
  fs::rename(path + ".new", path);
}

void ReplaceAll(std::string *text, const std::string &from,
                const std::string &to) {
  for (std::size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size())) {
    text->replace(at, from.size(), to);
  }
}

std::uint64_t GetUnixTimeMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/** @return the value of `key = "VALUE"` in a section of a TOML file */
std::string GetTomlText(const std::string &toml, const std::string &section,
                        const std::string &key) {
  std::istringstream lines(toml);
  std::string line;
  bool is_inside = false;
  while (std::getline(lines, line)) {
    if (!line.empty() && line[0] == '[') is_inside = line == section;
    if (!is_inside || line.rfind(key + " = \"", 0) != 0) continue;
    std::size_t first = line.find('"') + 1;
    return line.substr(first, line.rfind('"') - first);
  }
  return "";
}

}  // namespace

Record::Record(const std::string &path) : m_file(path) {}

void Record::Write(const std::string &line) {
  std::lock_guard<std::mutex> lock(m_mutex);
  auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ",
                static_cast<double>(at.count()) / 1'000.0);
  m_file << time << line << std::endl;
}

Process::~Process() { Kill(); }

void Process::Kill() {
  int status = 0;
  if (m_pid < 0 || Poll()) return;
  Signal(SIGKILL);
  if (::waitpid(m_pid, &status, 0) == m_pid) m_status = status;
}

bool Process::Start(const std::vector<std::string> &command,
                    const std::string &log) {
  int output =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  std::vector<char *> arguments;
  for (const std::string &word : command) {
    arguments.push_back(const_cast<char *>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t parent = ::getpid();
  m_status.reset();
  m_pid = ::fork();
  if (m_pid != 0) {
    ::close(output);
    return m_pid > 0;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

void Process::Signal(int signal) const {
  if (m_pid > 0 && !m_status) ::kill(m_pid, signal);
}

std::optional<int> Process::Poll() {
  int status = 0;
  if (!m_status && m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_status = status;
  }
  return m_status;
}

std::string FormatStatus(int status) {
  if (WIFSIGNALED(status)) {
    return "signal " + std::to_string(WTERMSIG(status));
  }
  return "code " + std::to_string(WEXITSTATUS(status));
}

Deployment::Deployment(Record *record) : m_record(record) {
  std::string pattern = fs::temp_directory_path() / "ww-review-XXXXXX";
  if (::mkdtemp(pattern.data()) != nullptr) m_folder = pattern;
  for (int i = 0; i < kNetworkTries; ++i) {
    int number = (::getpid() * 7 + i * 251) % (200 * 250);
    m_network = "127." + std::to_string(20 + number / 250) + "." +
                std::to_string(1 + number % 250) + ".";
    if (IsFree(MakeIp(kFirstControlIp), kControlPort) &&
        IsFree(MakeIp(kFirstEntryIp), kFrontPort)) {
      return;
    }
  }
}

Deployment::~Deployment() {
  for (Process *process : {&m_controls[0], &m_controls[1], &m_controls[2],
                           &m_entries[0], &m_entries[1]}) {
    process->Kill();
  }
  std::error_code ignored;
  if (!m_folder.empty()) fs::remove_all(m_folder, ignored);
}

std::string Deployment::MakeIp(int number) const {
  return m_network + std::to_string(number);
}

Address Deployment::GetFreeAddress(int number, int port) const {
  return {MakeIp(kFirstFreeIp + number), port};
}

Address Deployment::GetControl(int number) const {
  return {MakeIp(kFirstControlIp + number), kControlPort};
}

Address Deployment::GetEntry(int number) const {
  return {MakeIp(kFirstEntryIp + number), kFrontPort};
}

Address Deployment::GetDirectory(int number) const {
  return {MakeIp(kFirstEntryIp + number), kDirectoryPort};
}

std::string Deployment::GetZone(int number) {
  return "zone-" + std::to_string(number % kControls);
}

/** Fills the placeholders of a template as the platform does. */
std::string Deployment::Render(const std::string &path, int number,
                               bool is_control, int rotation) const {
  std::string seeds;
  std::string zones;
  for (int i = 0; i < kControls; ++i) {
    if (i != 0) seeds += ",";
    seeds += GetControl((i + rotation) % kControls).ToString();
    if (i != 0) zones += ",";
    zones += GetZone(i) + "=region-" + std::to_string(i);
  }
  std::string ip =
      MakeIp((is_control ? kFirstControlIp : kFirstEntryIp) + number);
  std::string name = (is_control ? "core-" : "front-") + std::to_string(number);
  std::map<std::string, std::string> values = {
      {"node", name},
      {"region", "region-" + std::to_string(number % kControls)},
      {"zone", GetZone(number)},
      {"ip", ip},
      {"portRange.0", std::to_string(kMessagePort)},
      {"portRange.1", std::to_string(kAdminPort)},
      {"seeds", seeds},
      {"heartbeatMs", std::to_string(kHeartbeat.count())},
      {"dataDir", m_folder + "/data-" + name},
      {"bootstrap", "true"},
      {"tolerate.machines", "1"},
      {"listen.control", ip + ":" + std::to_string(kControlPort)},
      {"listen.front", ip + ":" + std::to_string(kFrontPort)},
      {"listen.ready", ip + ":" + std::to_string(kReadyPort)},
      {"listen.directory", ip + ":" + std::to_string(kDirectoryPort)},
      {"bounds.graceS", std::to_string(kGraceSeconds)},
      {"bounds.leaseMs", "3000"},
      {"bounds.ceilingWindowS", "5"},
      {"bounds.retryRatio", "0.2"},
      {"bounds.retryWindowS", "10"},
      {"bounds.retrySlack", "52"},
      {"bounds.ttl_max_s", "5"},
  };
  std::string text = ReadFile(path);
  const std::string begin = "{{#zones}}";
  const std::string end = "{{/zones}}";
  std::size_t first = text.find(begin);
  if (first != std::string::npos) {
    std::size_t last = text.find(end, first) + end.size();
    text.replace(first, last - first, zones);
  }
  for (const auto &[key, value] : values) {
    ReplaceAll(&text, "{{" + key + "}}", value);
  }
  return text;
}

/** @return the command of a role in the deploy file, with another settings
 * file */
std::vector<std::string> Deployment::MakeCommand(
    const std::string &role, const std::string &settings) const {
  std::string run = GetTomlText(ReadFile("deploy/system.toml"),
                                "[roles." + role + "]", "run");
  ReplaceAll(&run, "/etc/wasabiwind/node.toml", settings);
  std::istringstream words(run);
  std::vector<std::string> command;
  for (std::string word; words >> word;) command.push_back(word);
  return command;
}

bool Deployment::StartHost(Process *process, const std::string &role,
                           int number) {
  bool is_control = role == "control";
  std::string name = role + "-" + std::to_string(number);
  std::string settings = m_folder + "/" + name + ".ini";
  std::string path = GetTomlText(ReadFile("deploy/system.toml"),
                                 "[roles." + role + "]", "template");
  WriteFile(settings, Render(path, number, is_control, /*rotation=*/0));
  std::vector<std::string> command = MakeCommand(role, settings);
  if (command.empty() || ::access(command[0].c_str(), X_OK) != 0) return false;
  m_record->Write("starts " + name);
  return process->Start(command, m_folder + "/" + name + ".log");
}

bool Deployment::Start() {
  if (m_folder.empty()) return false;
  for (int i = 0; i < kControls; ++i) {
    if (!StartHost(&m_controls[i], "control", i)) return false;
  }
  for (int i = 0; i < kEntries; ++i) {
    if (!StartHost(&m_entries[i], "entry", i)) return false;
  }
  return true;
}

void Deployment::ChangeEntrySettings(int number) {
  std::string path =
      GetTomlText(ReadFile("deploy/system.toml"), "[roles.entry]", "template");
  WriteFile(m_folder + "/entry-" + std::to_string(number) + ".ini",
            Render(path, number, /*is_control=*/false, /*rotation=*/1));
}

bool Deployment::PutConfig(const std::string &document, milliseconds limit) {
  Clock::time_point end = Clock::now() + limit;
  std::string version = GetJsonField(document, "version");
  m_record->Write("puts configuration " + version);
  for (int i = 0; Clock::now() < end; ++i) {
    Address to = GetControl(i % kControls);
    for (int hop = 0; hop < 3; ++hop) {
      Response answer =
          Call(to, "POST", "/wasabiwind/Config.Put",
               "Content-Type: application/json\r\n", document, kCallTimeout);
      if (answer.m_status == 200) {
        m_record->Write("configuration " + version + " is acknowledged");
        return true;
      }
      if (answer.m_status != 307) break;
      std::string location = answer.Get("Location").substr(7);
      to = ParseAddress(location.substr(0, location.find('/')));
    }
    std::this_thread::sleep_for(2 * kPollPause);
  }
  return false;
}

bool Deployment::WaitUntilReady(milliseconds limit) const {
  Clock::time_point end = Clock::now() + limit;
  for (int i = 0; i < kEntries;) {
    if (Clock::now() >= end) return false;
    Address ready{GetEntry(i).m_ip, kReadyPort};
    Response answer =
        Call(ready, "GET", "/wasabiwind/ready", "", "", kCallTimeout);
    if (answer.m_status == 200) {
      ++i;
    } else {
      std::this_thread::sleep_for(kPollPause);
    }
  }
  return true;
}

Runner::Runner(RunnerOptions options, const Deployment *deployment,
               Record *record, Server::Handler handler)
    : m_options(std::move(options)),
      m_deployment(deployment),
      m_record(record),
      m_handler(std::move(handler)),
      m_server(m_options.m_address,
               [this](const Request &request, Connection *connection) {
                 return Handle(request, connection);
               }),
      m_born_ms(GetUnixTimeMs()),
      m_models(m_options.m_models) {}

Runner::~Runner() { Crash(); }

bool Runner::Start() {
  if (!m_server.Start()) return false;
  m_heartbeats = std::thread([this] { SendHeartbeats(); });
  return true;
}

void Runner::Crash() {
  m_is_up = false;
  m_server.Stop();
  if (m_heartbeats.joinable()) m_heartbeats.join();
}

std::vector<std::string> Runner::ListModels() {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (!m_loading.empty() && Clock::now() >= m_loaded_at) {
    m_models.push_back(m_loading);
    m_loading.clear();
  }
  return m_models;
}

std::string Runner::FormatModels() {
  std::string text;
  for (const std::string &model : ListModels()) {
    if (!text.empty()) text += ",";
    text += R"({"name":")" + model + R"(","version":1,"adapters":[]})";
  }
  return "[" + text + "]";
}

std::string Runner::MakeHeartbeat() {
  std::string models = FormatModels();
  std::lock_guard<std::mutex> lock(m_mutex);
  return R"({"service":")" + m_options.m_service + R"(","addr":")" +
         m_options.m_address.ToString() + R"(","zone":")" + m_options.m_zone +
         R"(","version":"v1","slots":)" + std::to_string(m_options.m_slots) +
         R"(,"state":"ready","coldLeftMs":0,"stage":"mixed","models":)" +
         models + R"(,"seq":)" + std::to_string(++m_heartbeat_count) +
         R"(,"born":)" + std::to_string(m_born_ms) + "}";
}

void Runner::SendHeartbeats() {
  Clock::time_point next = Clock::now();
  int control = 0;
  while (m_is_up) {
    if (Clock::now() < next) {
      std::this_thread::sleep_for(kPollPause);
      continue;
    }
    next = Clock::now() + kHeartbeat;
    std::string body = MakeHeartbeat();
    for (int i = 0; i < kControls && m_is_up; ++i) {
      Response answer =
          Call(m_deployment->GetControl(control), "POST",
               "/wasabiwind/Instances.Beat/" + m_options.m_id,
               "Content-Type: application/json\r\n", body, kCallTimeout);
      if (answer.m_status / 100 == 2) break;
      control = (control + 1) % kControls;
    }
  }
}

std::string Runner::HandleOrder(const std::string &body) {
  (void)ListModels();
  std::string model = GetJsonField(body, "model");
  std::lock_guard<std::mutex> lock(m_mutex);
  bool is_load = GetJsonField(body, "op") == "load";
  auto held = std::find(m_models.begin(), m_models.end(), model);
  std::string status = "202 Accepted";
  if (!GetJsonField(body, "adapter").empty()) {
    status = "400 Bad Request";
  } else if (!m_loading.empty() ||
             GetJsonField(body, "expect") != std::to_string(m_order_count)) {
    status = "409 Conflict";
  } else if (is_load == (held != m_models.end())) {
    status = "200 OK";
  } else if (is_load) {
    ++m_order_count;
    std::vector<std::string> models = m_models;
    models.push_back(model);
    if (m_on_order) m_on_order(models);
    m_loading = model;
    m_loaded_at = Clock::now() + kLoadTime;
  } else {
    ++m_order_count;
    m_models.erase(held);
  }
  m_record->Write("runner " + m_options.m_id + " gets order " + body +
                  " and answers " + status);
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
}

bool Runner::Handle(const Request &request, Connection *connection) {
  std::string expected = request.Get("X-Wasabiwind-Expect-Instance");
  if (!expected.empty() && expected != m_options.m_id) {
    return connection->Send(
        "HTTP/1.1 421 Misdirected Request\r\nX-Wasabiwind-Not-Run: 1\r\n"
        "X-Wasabiwind-Instance-Id: " +
        m_options.m_id + "\r\nContent-Length: 0\r\n\r\n");
  }
  if (request.m_method == "POST" && request.m_target == "/wasabiwind/order") {
    return connection->Send(HandleOrder(request.m_body));
  }
  if (request.m_target == "/wasabiwind/report") {
    std::string models = FormatModels();
    std::lock_guard<std::mutex> lock(m_mutex);
    std::string body =
        R"({"stage":"mixed","models":)" + models + R"(,"busy":)" +
        (m_loading.empty() ? "false" : "true") + R"(,"seq":)" +
        std::to_string(m_order_count) +
        R"(,"queued":0,"active":0,"kvUsed":0,"kvTotal":232000,)" +
        R"("handles":0,"born":)" + std::to_string(m_born_ms) + "}";
    return connection->Send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  if (request.m_target == "/health") {
    return connection->Send("HTTP/1.1 200 OK\r\nX-Wasabiwind-Instance-Id: " +
                            m_options.m_id + "\r\nContent-Length: 0\r\n\r\n");
  }
  return m_handler(request, connection);
}

std::string MakeAnswerHead(const Request &request, const std::string &stamp) {
  return "HTTP/1.1 200 OK\r\nX-Wasabiwind-Request-Id: " +
         request.Get("X-Wasabiwind-Request-Id") +
         "\r\nX-Wasabiwind-Server-Stamp: " + stamp + "\r\n";
}

std::string MakeNotRunAnswer(const Request &request,
                             const std::string &runner) {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Wasabiwind-Request-Id: " +
         request.Get("X-Wasabiwind-Request-Id") +
         "\r\nX-Wasabiwind-Instance-Id: " + runner +
         "\r\nX-Wasabiwind-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string GetJsonField(const std::string &json, const std::string &key) {
  std::size_t at = json.find("\"" + key + "\":");
  if (at == std::string::npos) return "";
  at += key.size() + 3;
  if (json[at] != '"') {
    return json.substr(at, json.find_first_of(",}", at) - at);
  }
  return json.substr(at + 1, json.find('"', at + 1) - at - 1);
}

bool IsTroubleWanted() {
  const char *trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace wasabiwind::review
