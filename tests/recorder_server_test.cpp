/** @file recorder_server_test.cpp Recorders with real files and sockets. */

#include "recorder/recorder_server.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net/fiber_scheduler.h"
#include "once/claim_client.h"
#include "once/record_log.h"
#include "scenario/runner_base.h"

namespace wasabiwind::recorder {
namespace {

using once::ClaimOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Port of the first recorder; the others follow. The ports lie below the
 * kernel's ephemeral range, and the address belongs to this process alone, so
 * that no other process takes a port while its recorder is stopped.
 */
constexpr std::uint16_t kFirstPort = 18'200;

net::Endpoint MakeEndpoint(std::size_t recorder) {
  return {scenario::MakeLoopbackHost(static_cast<std::uint32_t>(getpid())),
          static_cast<std::uint16_t>(kFirstPort + recorder)};
}

std::string MakeFolder(const std::string &name) {
  std::string folder = testing::TempDir() + "ww_recorder_" +
                       std::to_string(getpid()) + "_" + name;
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder;
}

/** A recorder on its own thread. */
class RunningRecorder {
 public:
  RunningRecorder(const std::string &folder, net::Endpoint listen) {
    RecorderServerOptions options;
    options.m_listen = listen;
    options.m_data_folder = folder;
    m_server = std::make_unique<RecorderServer>(options);
    m_opened = m_server->Open();
  }

  void Start(const std::array<net::Endpoint, once::kPeerCount> &peers) {
    m_server->SetPeers(peers);
    m_thread = std::thread([this] {
      net::RunFiberThread([this] { EXPECT_TRUE(m_server->Run()); });
    });
  }

  ~RunningRecorder() {
    m_server->Stop();
    if (m_thread.joinable()) m_thread.join();
  }

  std::unique_ptr<RecorderServer> m_server;
  base::Result<void> m_opened;

 private:
  std::thread m_thread;
};

class RecorderServerTest : public testing::Test {
 protected:
  void SetUp() override {
    const char *name =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    for (std::size_t i = 0; i < once::kGroupSize; ++i) {
      m_folders[i] = MakeFolder(name + std::to_string(i));
      m_endpoints[i] = MakeEndpoint(i);
    }
    for (std::size_t i = 0; i < once::kGroupSize; ++i) {
      ASSERT_NO_FATAL_FAILURE(StartRecorder(i));
    }
    ASSERT_TRUE(m_client.Start());
    for (std::size_t i = 0; i < once::kGroupSize; ++i) {
      ASSERT_NO_FATAL_FAILURE(WaitUntilReady(i));
    }
  }

  void TearDown() override {
    m_client.Stop();
    for (auto &recorder : m_recorders) recorder.reset();
    for (const std::string &folder : m_folders) {
      std::filesystem::remove_all(folder);
    }
  }

  void StartRecorder(std::size_t i) {
    m_recorders[i] =
        std::make_unique<RunningRecorder>(m_folders[i], m_endpoints[i]);
    const base::Result<void> &opened = m_recorders[i]->m_opened;
    ASSERT_TRUE(opened) << opened.error().ToString();
    m_recorders[i]->Start({m_endpoints[(i + 1) % once::kGroupSize],
                           m_endpoints[(i + 2) % once::kGroupSize]});
  }

  /** Starts the recorder again, with an empty folder if its disk was lost. */
  void Restart(std::size_t i, bool is_disk_lost) {
    m_recorders[i].reset();
    if (is_disk_lost) {
      std::filesystem::remove_all(m_folders[i]);
      std::filesystem::create_directories(m_folders[i]);
    }
    ASSERT_NO_FATAL_FAILURE(StartRecorder(i));
    WaitUntilReady(i);
  }

  void WaitUntilReady(std::size_t i) {
    auto deadline = base::Clock::now() + seconds(20);
    while (!m_recorders[i]->m_server->CheckReady().empty()) {
      ASSERT_LT(base::Clock::now(), deadline)
          << m_recorders[i]->m_server->CheckReady();
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  once::ClaimParameters MakeParameters(const std::string &key,
                                       std::uint64_t fingerprint = 1) {
    once::ClaimParameters parameters;
    parameters.m_recorders = m_endpoints;
    parameters.m_key = key;
    parameters.m_fingerprint = fingerprint;
    parameters.m_retention = std::chrono::hours(1);
    parameters.m_execution_timeout = std::chrono::minutes(1);
    parameters.m_deadline = base::Clock::now() + seconds(10);
    return parameters;
  }

  ClaimOutcome Claim(const std::string &key, std::uint64_t fingerprint = 1) {
    return m_client.Claim(MakeParameters(key, fingerprint)).m_outcome;
  }

  std::array<std::string, once::kGroupSize> m_folders;
  std::array<std::unique_ptr<RunningRecorder>, once::kGroupSize> m_recorders;
  once::RecorderEndpoints m_endpoints;
  once::ClaimClient m_client{{net::Endpoint{"127.0.0.1", 0}, "test", 10'000}};
};

// Guards against a resend that runs again or gets another request's answer.
TEST_F(RecorderServerTest, AnswerIsKeptForResends) {
  once::ClaimResult granted = m_client.Claim(MakeParameters("k"));
  ASSERT_EQ(granted.m_outcome, ClaimOutcome::kGranted);
  EXPECT_EQ(Claim("k"), ClaimOutcome::kInProgress);
  EXPECT_EQ(Claim("k", 2), ClaimOutcome::kConflict);
  ASSERT_TRUE(m_client.Complete(m_endpoints, "k", granted.m_claim_id, "answer",
                                base::Clock::now() + seconds(10)));
  once::ClaimResult again = m_client.Claim(MakeParameters("k"));
  EXPECT_EQ(again.m_outcome, ClaimOutcome::kFinished);
  EXPECT_EQ(again.m_answer, "answer");
  EXPECT_EQ(Claim("k", 2), ClaimOutcome::kConflict);
}

// Guards against a key that stays blocked after a request that wasn't sent.
TEST_F(RecorderServerTest, ReleasedKeyCanBeClaimedAgain) {
  once::ClaimResult granted = m_client.Claim(MakeParameters("k"));
  ASSERT_EQ(granted.m_outcome, ClaimOutcome::kGranted);
  m_client.Release(m_endpoints, "k", granted.m_claim_id);
  auto deadline = base::Clock::now() + seconds(10);
  ClaimOutcome outcome = Claim("k");
  while (outcome != ClaimOutcome::kGranted && base::Clock::now() < deadline) {
    outcome = Claim("k");
  }
  EXPECT_EQ(outcome, ClaimOutcome::kGranted);
}

// Guards against a granted key that is forgotten when a recorder crashes,
// when its disk is lost, and when a second disk is lost after the repair.
TEST_F(RecorderServerTest, ClaimsSurviveRestartAndTwoLostDisks) {
  constexpr int kKeys = 200;
  for (int i = 0; i < kKeys; ++i) {
    ASSERT_EQ(Claim("k" + std::to_string(i)), ClaimOutcome::kGranted);
  }
  ASSERT_NO_FATAL_FAILURE(Restart(0, false));
  ASSERT_NO_FATAL_FAILURE(Restart(1, true));
  ASSERT_NO_FATAL_FAILURE(Restart(2, true));
  for (int i = 0; i < kKeys; ++i) {
    EXPECT_EQ(Claim("k" + std::to_string(i)), ClaimOutcome::kInProgress);
  }
  EXPECT_EQ(Claim("new"), ClaimOutcome::kGranted);
}

// Guards against a grant while only one recorder remains, and against a
// refusal while two do.
TEST_F(RecorderServerTest, MajorityIsNeeded) {
  m_recorders[0].reset();
  EXPECT_EQ(Claim("two"), ClaimOutcome::kGranted);
  m_recorders[1].reset();
  once::ClaimParameters parameters = MakeParameters("one");
  parameters.m_deadline = base::Clock::now() + milliseconds(300);
  EXPECT_EQ(m_client.Claim(parameters).m_outcome, ClaimOutcome::kUnavailable);
}

// Guards against two grants of one key when many threads claim at once while
// one recorder is stopped and restarted with an empty folder.
TEST_F(RecorderServerTest, ConcurrentClaimsGrantOnce) {
  constexpr int kThreads = 8;
  constexpr int kKeys = 60;
  std::array<std::atomic<int>, kKeys> grants{};
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      for (int key = 0; key < kKeys; ++key) {
        if (Claim("k" + std::to_string(key)) == ClaimOutcome::kGranted) {
          ++grants[static_cast<std::size_t>(key)];
        }
      }
    });
  }
  Restart(1, true);
  for (std::thread &thread : threads) thread.join();
  ASSERT_FALSE(HasFatalFailure());
  int granted = 0;
  for (const auto &count : grants) {
    EXPECT_LE(count, 1);
    granted += count;
  }
  EXPECT_GT(granted, kKeys / 2);
}

// Guards against a recorder that doesn't start because a crash truncated its
// last frame, and against corrupt synced data that is taken for the end of the
// log.
TEST(RecordLogTest, TruncatedFrameIsDroppedAndCorruptionIsReported) {
  std::string folder = MakeFolder("log");
  std::string path = folder + "/claims.log";
  auto put = [](const std::string &key) {
    gen::OnceLogEntry entry;
    entry.mutable_put()->set_key(key);
    return std::vector<gen::OnceLogEntry>{entry};
  };
  auto open = [&folder] {
    std::vector<std::string> keys;
    once::RecordLog log;
    base::Result<void> opened =
        log.Open(folder, [&](const gen::OnceLogEntry &entry) {
          keys.push_back(entry.put().key());
        });
    if (!opened) keys = {base::GetErrorKindName(opened.error().m_kind)};
    return keys;
  };
  {
    once::RecordLog log;
    ASSERT_TRUE(log.Open(folder, [](const gen::OnceLogEntry &) {}));
    once::RecordLog second;
    EXPECT_EQ(
        second.Open(folder, [](const gen::OnceLogEntry &) {}).error().m_kind,
        base::ErrorKind::kConflict);
    ASSERT_TRUE(log.Append(put("a")));
    ASSERT_TRUE(log.Append(put("b")));
    ASSERT_TRUE(log.Append(put("c")));
  }
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
  EXPECT_EQ(open(), (std::vector<std::string>{"a", "b"}));
  {
    once::RecordLog log;
    ASSERT_TRUE(log.Open(folder, [](const gen::OnceLogEntry &) {}));
    ASSERT_TRUE(log.Append(put("d")));
  }
  EXPECT_EQ(open(), (std::vector<std::string>{"a", "b", "d"}));
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(18);
  file.put('#');
  file.close();
  EXPECT_EQ(open(), (std::vector<std::string>{"corrupt"}));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace wasabiwind::recorder
