/** @file gateway_process_test.cpp Entry hosts as real processes.
 *
 * The host has no control hosts, so it answers callers with refusals.
 */

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "scenario/process_base.h"
#include "scenario/runner_base.h"

namespace wasabiwind::gateway {
namespace {

namespace fs = std::filesystem;
using base::Clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallersPort = 18'149;
constexpr int kMessagePort = 18'380;
constexpr int kAdminPort = 18'381;
constexpr seconds kStartTimeout{20};
constexpr milliseconds kGrace{8'000};
constexpr milliseconds kSignalPause{200};

class EntryProcessTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = fs::temp_directory_path() / "ww-entry-XXXXXX";
    ASSERT_NE(mkdtemp(pattern.data()), nullptr);
    m_folder = pattern;
    m_network =
        scenario::MakeLoopbackNetwork(static_cast<std::uint32_t>(::getpid()));
    fs::path settings = m_folder / "entry.ini";
    std::ofstream(settings)
        << "[node]\nname = entry-1\nregion = r\ndomain = a\n[admin]\nlisten = "
        << Address(kAdminPort)
        << "\n[network]\nmessage_address = " << Address(kMessagePort)
        << "\nmessage_port = " << kMessagePort
        << "\ncontrol_hosts = " << m_network << "2:18144"
        << "\n[bounds]\ngrace_ms = " << kGrace.count()
        << "ms\n[callers]\nlisten = " << Address(kCallersPort) << "\n";
    ASSERT_TRUE(m_process.Start(WW_PLATFORM_ENTRY,
                                {"--config=" + settings.string()},
                                m_folder / "log"));
    auto end = Clock::now() + kStartTimeout;
    while (!IsAnswering() && Clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void TearDown() override {
    if (!HasFailure()) fs::remove_all(m_folder);
  }

  std::string Address(int port) const {
    return m_network + "1:" + std::to_string(port);
  }

  /** @return whether a caller's request gets an answer, be it a refusal. */
  bool IsAnswering() const {
    bool is_answered = false;
    net::RunFiberThread([&] {
      net::HttpClientPool client;
      net::HttpRequest request{"GET", "/x", {}, ""};
      request.m_headers.Add("X-Wasabiwind-Deadline-Ms", "500");
      is_answered = client
                        .Fetch(*net::ParseEndpoint(Address(kCallersPort)),
                               request, Clock::now() + milliseconds(1'500))
                        .has_value();
    });
    return is_answered;
  }

  void SendSignal(int signal) {
    m_process.Signal(signal);
    std::this_thread::sleep_for(kSignalPause);
  }

  fs::path m_folder;
  std::string m_network;
  scenario::ChildProcess m_process;
};

// A change of the settings within the grace, or a second SIGTERM, ended the
// process at once and cut its requests.
TEST_F(EntryProcessTest, SignalsWithinTheGraceDoNotEndTheProcess) {
  SendSignal(SIGTERM);
  for (int signal : {SIGHUP, SIGTERM, SIGINT, SIGHUP}) {
    SendSignal(signal);
    EXPECT_TRUE(m_process.IsRunning()) << signal;
  }
  EXPECT_TRUE(IsAnswering());
  std::optional<scenario::ExitStatus> status =
      m_process.WaitUntil(Clock::now() + kGrace + seconds(2));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->ToString(), "code 0");
}

}  // namespace
}  // namespace wasabiwind::gateway
