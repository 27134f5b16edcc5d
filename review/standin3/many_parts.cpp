/** @file many_parts.cpp A crowd whose prompts have many parts.
 *
 * Clients that stay inside the limits ask for models that no runner holds yet.
 * The prompt of each has 4,000 parts of one token. The platform ends a process
 * that takes more memory than its machine has, and starts it again. The crowd
 * comes three times to each of two entry hosts. With TROUBLE=0 the prompts have
 * three parts, and the same number of bytes is in the body instead.
 */

#include <csignal>
#include <fstream>
#include <memory>

#include "harness.h"

namespace wasabiwind::review {

namespace {

constexpr milliseconds kContactTime{4'000};
/** Memory of a front machine of hutchworks-live, in MiB. */
constexpr long kMachineMemoryMb = 260;
constexpr long kKbPerMb = 1'024;
constexpr int kClients = 880;
constexpr int kParts = 4'000;
constexpr std::size_t kMaxHeaderBytes = 16'384;  ///< of the table's limits
constexpr std::size_t kBodyBytes = 14'000;
constexpr milliseconds kWatchTime{5'000};
constexpr milliseconds kWatchInterval{20};

constexpr int kEntries = 2;
constexpr int kRounds = 3;
/** The platform starts a process again after this time. */
constexpr milliseconds kRestartDelay{500};
constexpr int kModels = 1 + kEntries * kRounds;
constexpr milliseconds kLoadTime{6'000};

std::string MakeTable() {
  std::string models;
  for (int i = 0; i < kModels; ++i) {
    models += std::string(i == 0 ? "" : ",") + R"({"name":"m)" +
              std::to_string(i) +
              R"(","weightsMb":72700.0,"loadS":6.0,"adapters":0,)"
              R"("adapterMb":66.0,"warmS":0.4,"diskS":0.52})";
  }
  return R"({"version":1,"routes":[{"name":"custom-plan",)"
         R"("host":"hutch.example","pathPrefix":"/plan/","kind":"stream",)"
         R"("timeoutMs":13000,"sloMs":2000,"priority":1,)"
         R"("service":"hutch-assistant","maxAttempts":2,"sticky":true,)"
         R"("resumable":true,"gapSloMs":400}],"services":[{"name":)"
         R"("hutch-assistant","healthPath":"/health","maxConns":360,)"
         R"("protocol":"h1","tls":false,"engine":{"slots":64,)"
         R"("kvTokens":232000,"kvTokenBytes":327680,"linkMbps":1100000.0,)"
         R"("stride":4,"models":[)" +
         models +
         R"(],"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.1}}],)"
         R"("limits":{"headerBytes":16384,"bodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/** A runner that holds m0 and carries out orders, one at a time. */
class Engine {
 public:
  explicit Engine(Record *record) : m_record(record) {}

  std::string MakeModelsJson() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return Format();
  }

  bool Serve(int socket, const Message &call) {
    std::string path = call.Word(1);
    if (path == "/health") return WriteReply(socket, 200, {}, "");
    std::lock_guard<std::mutex> lock(m_mutex);
    FinishLoad();
    if (path == "/wasabiwind/report") {
      return WriteReply(socket, 200, {},
                        R"({"stage":"mixed","models":)" + Format() +
                            R"(,"busy":)" +
                            (m_loading.empty() ? "false" : "true") +
                            R"(,"seq":)" + std::to_string(m_orders) +
                            R"(,"queued":0,"active":0,"kvUsed":0,)"
                            R"("kvTotal":232000,"handles":0})");
    }
    if (path == "/wasabiwind/order") {
      return WriteReply(socket, TakeOrder(call.m_body), {}, "");
    }
    // Requests that were cancelled meanwhile need no answer.
    return WriteReply(socket, 421, {{"X-Wasabiwind-Not-Run", "1"}}, "");
  }

 private:
  std::string Format() const {
    std::string text;
    for (const std::string &model : m_models) {
      text += (text.empty() ? "" : ",") + std::string(R"({"name":")") + model +
              R"(","version":1,"adapters":[]})";
    }
    return "[" + text + "]";
  }

  void FinishLoad() {
    if (m_loading.empty() || Clock::now() < m_loaded_at) return;
    m_models.insert(m_loading);
    m_loading.clear();
  }

  static std::string FindText(const std::string &body, const std::string &key) {
    std::size_t at = body.find('"' + key + R"(":")");
    if (at == std::string::npos) return "";
    at += key.size() + 4;
    return body.substr(at, body.find('"', at) - at);
  }

  int TakeOrder(const std::string &body) {
    m_record->Write("order " + body);
    std::string model = FindText(body, "model");
    bool is_load = FindText(body, "op") == "load";
    if (m_models.contains(model) == is_load) return 200;
    bool is_expected = body.find(R"("expect":)" + std::to_string(m_orders) +
                                 ",") != std::string::npos;
    if (!m_loading.empty() || !is_expected) return 409;
    ++m_orders;
    if (is_load) {
      m_loading = model;
      m_loaded_at = Clock::now() + kLoadTime;
    } else {
      m_models.erase(model);
    }
    return 202;
  }

  Record *m_record;
  std::mutex m_mutex;
  std::set<std::string> m_models = {"m0"};
  std::string m_loading;
  TimePoint m_loaded_at;
  int m_orders = 0;
};

/** @return the resident memory of a process in KiB, 0 if it has ended */
long GetResidentKb(pid_t process) {
  constexpr const char *kKey = "VmRSS:";
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(kKey, 0) == 0) return std::atol(line.c_str() + 6);
  }
  return 0;
}

/** @return the request of one client, inside the limits of the table */
std::string MakeRequest(int number, int model, bool has_many_parts) {
  std::string parts = "5c1e07a2:2520,91bd3f06:1300,e4402b7d:180";
  if (has_many_parts) {
    parts = "a:1";
    for (int i = 1; i < kParts; ++i) parts += ",a:1";
  }
  std::string body(kBodyBytes + (has_many_parts ? 0 : 4 * kParts), 'x');
  std::string id = "plan-" + std::to_string(number);
  std::string head =
      "POST /plan/" + std::to_string(number) +
      " HTTP/1.1\r\nHost: hutch.example\r\nX-Wasabiwind-Request-Id: " + id +
      "\r\nX-Wasabiwind-Deadline-Ms: 13000\r\nX-Wasabiwind-Model: m" +
      std::to_string(model) +
      "\r\nX-Wasabiwind-Token-Count: " + std::to_string(kParts) +
      ",52\r\nX-Wasabiwind-Prefix-Hash: " + parts +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (head.size() > kMaxHeaderBytes) std::exit(kCouldNotRun);
  return head + body;
}

/** Sends the crowd to an entry host and watches its memory as the platform
 * does.
 * @return whether the process was ended */
bool PlayCrowd(Deployment *deployment, int entry, int model, Record *record) {
  Host *host = deployment->GetEntryHost(entry);
  long most_kb = GetResidentKb(host->m_process);
  record->Write(host->m_name + " before the crowd: " + std::to_string(most_kb) +
                " KiB");
  std::atomic<bool> is_sent = false;
  std::vector<std::unique_ptr<RawConnection>> clients;
  std::thread crowd([&] {
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(
          std::make_unique<RawConnection>(deployment->GetEntry(entry)));
      clients.back()->Write(MakeRequest(i, model, HasTrouble()));
    }
    is_sent = true;
  });
  bool was_ended = false;
  TimePoint end = Clock::now() + kWatchTime;
  while (!was_ended && Clock::now() < end) {
    long resident_kb = GetResidentKb(host->m_process);
    most_kb = std::max(most_kb, resident_kb);
    was_ended = resident_kb > kMachineMemoryMb * kKbPerMb;
    std::this_thread::sleep_for(kWatchInterval);
  }
  if (was_ended) deployment->Kill(host);
  crowd.join();
  record->Write("most memory: " + std::to_string(most_kb) + " KiB of " +
                std::to_string(kMachineMemoryMb * kKbPerMb) +
                (was_ended ? "; the process is ended" : ""));
  return was_ended;
}

int RunCase(const std::string &root, const std::string &record_path) {
  Record record(record_path);
  DeploymentOptions options;
  options.m_root = root;
  options.m_entries = kEntries;
  Deployment deployment(options, &record);
  Engine engine(&record);
  RunnerIdentity identity =
      MakeRunnerIdentity(deployment, "hutch-assistant", 0);
  identity.m_slots = 64;
  identity.m_models_json = engine.MakeModelsJson();
  Server runner(identity.m_listen, [&](int socket, const Message &call) {
    return engine.Serve(socket, call);
  });
  Reporter reporter(identity, ListControls(deployment, options.m_controls),
                    &record);
  deployment.StartAll();
  if (!deployment.PutTable(MakeTable(), milliseconds(10'000))) {
    return kCouldNotRun;
  }
  reporter.Run();
  if (!deployment.WaitUntilReady(milliseconds(10'000))) return kCouldNotRun;
  std::this_thread::sleep_for(kContactTime);

  int ends[kEntries] = {};
  int model = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int entry = 0; entry < kEntries; ++entry) {
      reporter.SetModels(engine.MakeModelsJson());
      if (!PlayCrowd(&deployment, entry, ++model, &record)) continue;
      ++ends[entry];
      std::this_thread::sleep_for(kRestartDelay);
      deployment.Start(deployment.GetEntryHost(entry));
      if (!deployment.WaitUntilReady(milliseconds(10'000))) {
        return kCouldNotRun;
      }
    }
  }
  bool is_broken = true;
  for (int count : ends) is_broken = is_broken && count >= kRounds;
  record.Write(std::string(is_broken ? "BROKEN Fault: " : "") +
               "ends of the two entry hosts: " + std::to_string(ends[0]) +
               " and " + std::to_string(ends[1]));
  return is_broken ? kBroken : kHeld;
}

}  // namespace

}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::RunCase(argv[1], argv[2]);
}
