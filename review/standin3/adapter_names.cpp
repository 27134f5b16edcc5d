/** @file adapter_names.cpp Requests for adapters that nobody declared.
 *
 * Clients ask for adapters of a declared model, each under a name of its own,
 * and get refusals. The platform ends a process that takes more memory than its
 * machine has. With TROUBLE=0 all ask for the same name.
 */

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <memory>

#include "harness.h"

namespace wasabiwind::review {

namespace {

constexpr milliseconds kContactTime{4'000};
/** Memory of a core machine of hutchworks-live, in MiB. */
constexpr long kMachineMemoryMb = 256;
constexpr long kKbPerMb = 1'024;
constexpr int kEntries = 4;
constexpr int kClients = 48;
constexpr std::size_t kNameBytes = 250;
/** All clients together send this many requests a second at most. */
constexpr int kRequestsPerSecond = 30'000;
constexpr milliseconds kFloodTime{90'000};
/** The platform starts a process again after this time. */
constexpr milliseconds kRestartDelay{500};
/** The rule asks for so many ends of a process, on half of the core. */
constexpr int kMaxEnds = 3;
constexpr int kHalfOfCore = 2;
constexpr milliseconds kWatchInterval{50};
constexpr milliseconds kReportInterval{5'000};

constexpr const char *kTable =
    R"({"version":1,"routes":[{"name":"custom-plan","host":"hutch.example",)"
    R"("pathPrefix":"/plan/","kind":"stream","timeoutMs":13000,"sloMs":2000,)"
    R"("priority":1,"service":"hutch-assistant","maxAttempts":2,)"
    R"("sticky":true,"resumable":true,"gapSloMs":400}],"services":[{"name":)"
    R"("hutch-assistant","healthPath":"/health","maxConns":360,)"
    R"("protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":232000,)"
    R"("kvTokenBytes":327680,"linkMbps":1100000.0,"stride":4,"models":[)"
    R"({"name":"m1","weightsMb":72700.0,"loadS":6.0,"adapters":3,)"
    R"("adapterMb":66.0,"warmS":0.4,"diskS":0.52}],"weightsMb":200000.0,)"
    R"("adapterSlots":8,"loadsPerS":3.1}}],"limits":{"headerBytes":16384,)"
    R"("bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr const char *kModels =
    R"([{"name":"m1","version":1,"adapters":["a1"]}])";

bool ServeRunner(int socket, const Message &call) {
  std::string path = call.Word(1);
  if (path == "/health") return WriteReply(socket, 200, {}, "");
  if (path == "/wasabiwind/report") {
    return WriteReply(socket, 200, {},
                      std::string(R"({"stage":"mixed","models":)") + kModels +
                          R"(,"busy":false,"seq":0,"queued":0,"active":0,)"
                          R"("kvUsed":0,"kvTotal":232000,"handles":0})");
  }
  // No order that this case brings about exists.
  if (path == "/wasabiwind/order") return WriteReply(socket, 400, {}, "");
  Headers headers = {{"X-Wasabiwind-Not-Run", "1"}};
  return WriteReply(socket, 421, headers, "");
}

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

std::string MakeRequest(int number) {
  std::string adapter = HasTrouble() ? std::to_string(number) : "1";
  adapter.insert(0, kNameBytes - adapter.size(), 'z');
  return "POST /plan/x HTTP/1.1\r\nHost: hutch.example\r\n"
         "X-Wasabiwind-Request-Id: plan-" +
         std::to_string(number) +
         "\r\nX-Wasabiwind-Deadline-Ms: 5\r\nX-Wasabiwind-Model: m1/" +
         adapter +
         "\r\nX-Wasabiwind-Token-Count: 800,4\r\n"
         "X-Wasabiwind-Prefix-Hash: 5c1e07a2:800\r\nContent-Length: 0\r\n\r\n";
}

/** Sends one request after the other on one connection. */
void SendRequests(const Address &to, std::atomic<int> *number,
                  const std::atomic<bool> *is_over) {
  constexpr std::chrono::microseconds kInterval{1'000'000 / kRequestsPerSecond *
                                                kClients};
  RawConnection connection(to);
  TimePoint next = Clock::now();
  while (!*is_over) {
    next += kInterval;
    SleepUntil(next);
    if (!connection.Write(MakeRequest(++*number))) return;
    std::string answer;
    while (!answer.ends_with('}')) {
      char bytes[4096];
      ssize_t size = ::recv(connection.GetSocket(), bytes, sizeof(bytes), 0);
      if (size <= 0) return;
      answer.append(bytes, static_cast<std::size_t>(size));
    }
  }
}

int RunCase(const std::string &root, const std::string &record_path) {
  Record record(record_path);
  DeploymentOptions options;
  options.m_root = root;
  options.m_entries = kEntries;
  Deployment deployment(options, &record);
  RunnerIdentity identity =
      MakeRunnerIdentity(deployment, "hutch-assistant", 0);
  identity.m_slots = 64;
  identity.m_models_json = kModels;
  Server runner(identity.m_listen, ServeRunner);
  Reporter reporter(identity, ListControls(deployment, options.m_controls),
                    &record);
  deployment.StartAll();
  if (!deployment.PutTable(kTable, milliseconds(10'000))) return kCouldNotRun;
  reporter.Run();
  if (!deployment.WaitUntilReady(milliseconds(10'000))) return kCouldNotRun;
  std::this_thread::sleep_for(kContactTime);

  std::atomic<bool> is_over = false;
  std::atomic<int> number = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(SendRequests, deployment.GetEntry(i % kEntries),
                         &number, &is_over);
  }
  std::vector<int> ends(static_cast<std::size_t>(options.m_controls), 0);
  std::vector<TimePoint> start_at(ends.size(), TimePoint::max());
  auto count_broken = [&ends] {
    return std::count_if(ends.begin(), ends.end(),
                         [](int count) { return count >= kMaxEnds; });
  };
  TimePoint end = Clock::now() + kFloodTime;
  TimePoint next_report = Clock::now();
  while (Clock::now() < end && count_broken() < kHalfOfCore) {
    TimePoint now = Clock::now();
    bool is_report_due = now >= next_report;
    if (is_report_due) {
      next_report += kReportInterval;
      record.Write("requests sent: " + std::to_string(number));
    }
    for (std::size_t i = 0; i < ends.size(); ++i) {
      Host *host = deployment.GetControlHost(static_cast<int>(i));
      if (now >= start_at[i]) {
        deployment.Start(host);
        start_at[i] = TimePoint::max();
      }
      if (host->m_process <= 0) continue;
      long resident_kb = GetResidentKb(host->m_process);
      if (is_report_due) {
        record.Write(host->m_name + ": " + std::to_string(resident_kb) +
                     " KiB");
      }
      if (resident_kb <= kMachineMemoryMb * kKbPerMb) continue;
      ++ends[i];
      record.Write(host->m_name + " takes " + std::to_string(resident_kb) +
                   " KiB and is ended, for the time " +
                   std::to_string(ends[i]) + ", after " +
                   std::to_string(number) + " requests");
      deployment.Kill(host);
      start_at[i] = now + kRestartDelay;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
  is_over = true;
  for (std::thread &client : clients) client.join();
  bool is_broken = count_broken() >= kHalfOfCore;
  record.Write(std::string(is_broken ? "BROKEN Fault: " : "") +
               std::to_string(number) + " requests; control hosts that ended " +
               std::to_string(kMaxEnds) +
               " times: " + std::to_string(count_broken()));
  return is_broken ? kBroken : kHeld;
}

}  // namespace

}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::RunCase(argv[1], argv[2]);
}
