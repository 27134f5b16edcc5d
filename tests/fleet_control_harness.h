/** @file fleet_control_harness.h Control hosts as real processes.
 *
 * The hosts use one message port and different loopback addresses. The test
 * sends them the requests of operators and upstreams.
 */

#ifndef WASABIWIND_TESTS_FLEET_CONTROL_HARNESS_H_
#define WASABIWIND_TESTS_FLEET_CONTROL_HARNESS_H_

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "scenario/process_base.h"
#include "scenario/runner_base.h"

namespace wasabiwind::fleet_control {

namespace fs = std::filesystem;
using base::Clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr int kOperatorsPort = 18'144;
inline constexpr int kMessagePort = 18'380;
inline constexpr int kAdminPort = 18'381;
/** Recovery takes a few seconds at most; slow machines need more. */
inline constexpr seconds kRecoveryTimeout{20};

inline std::string MakeDocument(int version, const std::string &service) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/",)"
         R"("kind":"safe","timeoutMs":800,"service":")" +
         service +
         R"("}],"services":[{"name":"s1","maxConns":10}],"limits":{}})";
}

class FleetControlTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = fs::temp_directory_path() / "ww-fleet-XXXXXX";
    ASSERT_NE(mkdtemp(pattern.data()), nullptr);
    m_folder = pattern;
    // Each run has its own addresses, so that runs don't interfere.
    m_network =
        scenario::MakeLoopbackNetwork(static_cast<std::uint32_t>(::getpid()));
    for (int host = 1; host <= 3; ++host) Start(host, /*is_first=*/true);
  }

  void TearDown() override {
    m_processes.clear();
    if (!HasFailure()) fs::remove_all(m_folder);
  }

  std::string Address(int host, int port) const {
    return m_network + std::to_string(host) + ":" + std::to_string(port);
  }

  fs::path DataFolder(int host) const {
    return m_folder / ("data-" + std::to_string(host));
  }

  void Start(int host, bool is_first) {
    fs::path settings = m_folder / (std::to_string(host) + ".ini");
    std::ofstream(settings)
        << "[node]\nname = core-" << host
        << "\n[admin]\nlisten = " << Address(host, kAdminPort)
        << "\n[network]\nmessage_address = " << Address(host, kMessagePort)
        << "\nmessage_port = " << kMessagePort
        << "\ncontrol_hosts = " << Address(1, kOperatorsPort) << ","
        << Address(2, kOperatorsPort) << "," << Address(3, kOperatorsPort)
        << "\n[group]\ndata_folder = " << DataFolder(host).string()
        << "\nlisten = " << Address(host, kOperatorsPort)
        << "\nis_first_start = " << (is_first ? "true" : "false") << "\n";
    auto process = std::make_unique<scenario::ChildProcess>();
    ASSERT_TRUE(process->Start(WW_PLATFORM_CONTROL,
                               {"--config=" + settings.string()},
                               m_folder / ("log-" + std::to_string(host))));
    m_processes[host] = std::move(process);
  }

  void Kill(int host) {
    m_processes[host]->Signal(SIGKILL);
    m_processes[host]->WaitUntil(Clock::now() + seconds(5));
  }

  /** Sends one request to a host, following a redirect to the leader. */
  net::HttpResponse Call(int host, const std::string &method,
                         const std::string &target, const std::string &body) {
    net::HttpResponse result;
    result.m_status = 0;
    net::RunFiberThread([&] {
      net::HttpClientPool client;
      net::HttpRequest request;
      request.m_method = method;
      request.m_target = target;
      request.m_body = body;
      std::string address = Address(host, kOperatorsPort);
      for (int hop = 0; hop < 3; ++hop) {
        auto answer = client.Fetch(*net::ParseEndpoint(address), request,
                                   Clock::now() + milliseconds(1'500));
        if (!answer) return;
        result = *answer;
        if (result.m_status != 307) return;
        std::string location = result.m_headers.Get("Location");
        address = location.substr(7, location.find('/', 7) - 7);
      }
    });
    return result;
  }

  /** Repeats a call, host by host, until a response has this status. */
  bool CallUntil(const std::vector<int> &hosts, int status,
                 const std::string &method, const std::string &target,
                 const std::string &body, std::string *answer = nullptr) {
    auto end = Clock::now() + kRecoveryTimeout;
    while (Clock::now() < end) {
      for (int host : hosts) {
        net::HttpResponse response = Call(host, method, target, body);
        if (response.m_status != status) continue;
        if (answer != nullptr) *answer = response.m_body;
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  /** @return the status of the answer to a report. */
  int Report(int host, const std::string &upstream, const std::string &body) {
    return Call(host, "POST", "/wasabiwind/Instances.Beat/" + upstream, body)
        .m_status;
  }

  void ExpectAllRunning() {
    for (const auto &[host, process] : m_processes) {
      EXPECT_TRUE(process->IsRunning()) << "host " << host;
    }
  }

  bool Put(const std::vector<int> &hosts, int version) {
    return CallUntil(hosts, 200, "POST", "/wasabiwind/Config.Put",
                     MakeDocument(version, "s1"));
  }

  std::string Get(const std::vector<int> &hosts) {
    std::string document;
    CallUntil(hosts, 200, "GET", "/wasabiwind/Config.Get", "", &document);
    return document;
  }

  fs::path m_folder;
  std::string m_network;
  std::map<int, std::unique_ptr<scenario::ChildProcess>> m_processes;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_TESTS_FLEET_CONTROL_HARNESS_H_
