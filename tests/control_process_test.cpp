/** @file control_process_test.cpp Three control hosts as real processes. */

#include <fcntl.h>
#include <gtest/gtest.h>
#include <operators.pb.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

#include "base/time_type.h"
#include "net/fiber_scheduler.h"
#include "net/http_client.h"
#include "operators/protocol_func.h"
#include "scenario/runner_base.h"

extern char **environ;

namespace wasabiwind::control {
namespace {

namespace fs = std::filesystem;
using base::Clock;
using base::milliseconds;
using base::seconds;

constexpr int kHosts = 3;
/** A host that is reachable again must know the leader within this. */
constexpr base::milliseconds kRejoinTime{1'000};
constexpr const char *kToken = "token-of-tests";

/**
 * First port of the first host; each host has three in a row. The ports lie
 * below the kernel's ephemeral range, and the address belongs to this process
 * alone. Ports that the kernel picked were seen twice in one group, and a
 * killed host's port could be given to another program before its restart.
 */
constexpr std::uint16_t kFirstPort = 18'200;
constexpr std::uint16_t kPortsPerHost = 3;

struct ControlHost {
  std::string m_name;
  std::string m_address;
  std::uint16_t m_message_port = 0;
  std::uint16_t m_operators_port = 0;
  std::uint16_t m_admin_port = 0;
  fs::path m_folder;
  pid_t m_process = -1;

  std::string DataFolder() const { return m_folder / (m_name + ".data"); }
  net::Endpoint Messages() const { return {m_address, m_message_port}; }
  net::Endpoint Operators() const { return {m_address, m_operators_port}; }
  net::Endpoint Admin() const { return {m_address, m_admin_port}; }
};

struct Answer {
  int m_status = 0;
  std::string m_body;
  std::string m_location;
};

class ControlProcessTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = fs::temp_directory_path() / "ww-control-XXXXXX";
    ASSERT_NE(mkdtemp(pattern.data()), nullptr);
    m_folder = pattern;
    std::ofstream(m_folder / "tokens") << kToken << "\n";
    std::string address =
        scenario::MakeLoopbackHost(static_cast<std::uint32_t>(getpid()));
    std::uint16_t port = kFirstPort;
    for (int i = 0; i < kHosts; ++i, port += kPortsPerHost) {
      m_hosts.push_back(
          ControlHost{std::string(1, static_cast<char>('a' + i)), address, port,
                      static_cast<std::uint16_t>(port + 1),
                      static_cast<std::uint16_t>(port + 2), m_folder});
    }
    for (ControlHost &host : m_hosts) {
      WriteSettings(host);
      Spawn(&host, true);
      ASSERT_EQ(Wait(&host), 0);
      Spawn(&host, false);
    }
  }

  void TearDown() override {
    for (ControlHost &host : m_hosts) Kill(&host, SIGTERM);
    if (!HasFailure()) fs::remove_all(m_folder);
  }

  void WriteSettings(const ControlHost &host) const {
    std::ofstream file(m_folder / (host.m_name + ".ini"));
    file << "[node]\nname = " << host.m_name
         << "\n[admin]\nlisten = " << host.Admin().ToString()
         << "\n[replica]\ndata_folder = " << host.DataFolder()
         << "\nsnapshot_after_bytes = 1MiB\nkeep_bytes = 16KiB\n"
         << "[operators]\ncredentials_file = " << (m_folder / "tokens").string()
         << "\n[testing]\nallow_partition = true\n";
    for (const ControlHost &other : m_hosts) {
      file << "[control " << other.m_name
           << "]\nendpoint = " << other.Messages().ToString()
           << "\noperators = " << other.Operators().ToString() << "\n";
    }
  }

  void Spawn(ControlHost *host, bool is_format) const {
    std::string config =
        "--config=" + (m_folder / (host->m_name + ".ini")).string();
    std::string log = m_folder / (host->m_name + ".log");
    std::string format = "--format";
    std::string program = m_program;
    char *arguments[] = {program.data(), config.data(),
                         is_format ? format.data() : nullptr, nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0640);
    int code = posix_spawn(&host->m_process, program.c_str(), &actions, nullptr,
                           arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    ASSERT_EQ(code, 0);
  }

  static int Wait(ControlHost *host) {
    int status = 0;
    waitpid(host->m_process, &status, 0);
    host->m_process = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  static void Kill(ControlHost *host, int signal) {
    if (host->m_process <= 0) return;
    kill(host->m_process, signal);
    Wait(host);
  }

  static Answer Call(net::HttpClientPool *pool, const net::Endpoint &endpoint,
                     const std::string &method, const std::string &target,
                     const std::string &body = "") {
    net::HttpRequest request;
    request.m_method = method;
    request.m_target = target;
    request.m_body = body;
    request.m_headers.Add("Authorization", std::string("Bearer ") + kToken);
    auto response =
        pool->Fetch(endpoint, request, Clock::now() + seconds(3), 64 << 20);
    if (!response) return Answer{0, response.error().ToString(), ""};
    return Answer{response->m_status, response->m_body,
                  response->m_headers.Get("Location")};
  }

  /** @return the host that answers a status request itself, or nullptr. */
  ControlHost *FindLeader(net::HttpClientPool *pool) {
    for (int i = 0; i < 2'000; ++i) {
      for (ControlHost &host : m_hosts) {
        if (host.m_process <= 0) continue;
        Answer answer = Call(pool, host.Operators(), "GET", "/ops/v1/status");
        if (answer.m_status == 200) return &host;
      }
      net::SleepFor(milliseconds(5));
    }
    return nullptr;
  }

  std::string MakeBody(const std::string &operation_id) const {
    return R"({"batch":{"operation_id":")" + operation_id +
           R"(","operator_name":")" + std::string(m_padding, 'x') + R"("}})";
  }

  /** Sends a change to all hosts in turn until one accepts it. */
  bool Apply(net::HttpClientPool *pool, const std::string &operation_id) {
    base::TimePoint deadline = Clock::now() + seconds(20);
    Answer last;
    while (Clock::now() < deadline) {
      for (ControlHost &host : m_hosts) {
        if (host.m_process <= 0) continue;
        Answer answer = Call(pool, host.Operators(), "POST", "/ops/v1/apply",
                             MakeBody(operation_id));
        if (answer.m_status == 200) return true;
        last = answer;
      }
      net::SleepFor(milliseconds(2));
    }
    std::printf("not accepted: %s, last answer %d %s\n", operation_id.c_str(),
                last.m_status, last.m_body.c_str());
    PrintHosts(pool);
    return false;
  }

  /** @return the number of hosts that redirect operators to another one. */
  int CountRedirects(net::HttpClientPool *pool) const {
    int redirects = 0;
    for (const ControlHost &host : m_hosts) {
      Answer answer = Call(pool, host.Operators(), "GET", "/ops/v1/config");
      redirects += answer.m_status == 307 && !answer.m_location.empty() ? 1 : 0;
    }
    return redirects;
  }

  /** Prints the replica state and the metrics of each host. */
  void PrintHosts(net::HttpClientPool *pool) {
    for (ControlHost &host : m_hosts) {
      for (const char *path : {"/admin/v1/replica", "/metrics"}) {
        Answer answer = Call(pool, host.Admin(), "GET", path);
        std::printf("host %s %s: %d %s\n", host.m_name.c_str(), path,
                    answer.m_status, answer.m_body.c_str());
      }
    }
  }

  /** @return the accepted operation IDs in order, read from the leader. */
  std::vector<std::string> ReadList(net::HttpClientPool *pool) {
    std::vector<std::string> list;
    ControlHost *leader = FindLeader(pool);
    EXPECT_NE(leader, nullptr);
    if (leader == nullptr) return list;
    Answer answer =
        Call(pool, leader->Operators(), "GET", "/ops/v1/config?x=1");
    EXPECT_EQ(answer.m_status, 200);
    auto json = boost::json::parse(answer.m_body);
    std::string text = json.as_object()["text"].as_string().c_str();
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) list.push_back(line);
    return list;
  }

  /** Applies changes from several fibers. @return the accepted ones */
  std::vector<std::string> ApplyInParallel(int fibers, int per_fiber,
                                           const std::string &prefix) {
    std::vector<std::string> accepted;
    std::vector<boost::fibers::fiber> running;
    for (int i = 0; i < fibers; ++i) {
      running.emplace_back([&, i] {
        net::HttpClientPool pool;
        for (int j = 0; j < per_fiber; ++j) {
          std::string id = prefix + std::to_string(i) + "-" + std::to_string(j);
          if (Apply(&pool, id)) accepted.push_back(id);
        }
      });
    }
    for (boost::fibers::fiber &fiber : running) fiber.join();
    return accepted;
  }

  /** Each accepted change is in the list exactly once. */
  static void ExpectAllOnce(const std::vector<std::string> &accepted,
                            const std::vector<std::string> &list) {
    std::set<std::string> unique(list.begin(), list.end());
    EXPECT_EQ(unique.size(), list.size());
    for (const std::string &id : accepted) {
      EXPECT_TRUE(unique.contains(id)) << id << " was accepted, then lost";
    }
  }

  /** Prints the time that each host took to read its files. */
  void PrintOpenTimes() const {
    for (const ControlHost &host : m_hosts) {
      std::ifstream log(m_folder / (host.m_name + ".log"));
      std::string last;
      for (std::string line; std::getline(log, line);) {
        if (line.find("replica_opened") != std::string::npos) last = line;
      }
      std::printf("%s\n", last.substr(0, 240).c_str());
    }
  }

  fs::path m_folder;
  std::vector<ControlHost> m_hosts;
  std::string m_program = WW_CONTROL_PROGRAM;
  std::size_t m_padding = 200;  ///< bytes added to each change
};

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Guards against accepted changes that are lost or applied twice when the
// leader is killed during writes, and against a log that can't be read again
// after a thousand changes.
TEST_F(ControlProcessTest, LeaderKillsLoseNoAcceptedChange) {
  constexpr int kFibers = 16;
  constexpr int kPerFiber = 70;
  // 1,120 changes make the 4 MB that 41,000 adapters take.
  m_padding = 3'700;
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    ASSERT_NE(FindLeader(&pool), nullptr);
    base::TimePoint start = Clock::now();
    std::vector<std::string> accepted =
        ApplyInParallel(kFibers, kPerFiber, "first");
    double rate =
        static_cast<double>(accepted.size()) / ToSeconds(Clock::now() - start);
    EXPECT_EQ(accepted.size(), kFibers * kPerFiber);
    std::vector<double> gaps;
    for (int round = 0; round < 3; ++round) {
      ControlHost *leader = FindLeader(&pool);
      ASSERT_NE(leader, nullptr);
      std::vector<std::string> more;
      boost::fibers::fiber writer([&] {
        more = ApplyInParallel(4, 60, "kill" + std::to_string(round) + "-");
      });
      net::SleepFor(milliseconds(30));
      base::TimePoint killed = Clock::now();
      Kill(leader, SIGKILL);
      EXPECT_TRUE(Apply(&pool, "after" + std::to_string(round)));
      gaps.push_back(ToSeconds(Clock::now() - killed));
      Spawn(leader, false);
      writer.join();
      EXPECT_EQ(more.size(), 240U);
      accepted.insert(accepted.end(), more.begin(), more.end());
      ExpectAllOnce(accepted, ReadList(&pool));
    }
    std::printf("accepted changes/s %.0f; leader loss to next accepted change",
                rate);
    for (double gap : gaps) std::printf(" %.3f s", gap);
    std::printf("\n");
    for (ControlHost &host : m_hosts) Kill(&host, SIGKILL);
    base::TimePoint restart = Clock::now();
    for (ControlHost &host : m_hosts) Spawn(&host, false);
    ExpectAllOnce(accepted, ReadList(&pool));
    std::printf(
        "all hosts restarted to confirmed read after %zu changes: "
        "%.3f s\n",
        accepted.size(), ToSeconds(Clock::now() - restart));
    PrintOpenTimes();
  });
}

// Guards against a partitioned leader that answers reads or accepts changes.
TEST_F(ControlProcessTest, PartitionedLeaderAnswersNoRequest) {
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    ASSERT_TRUE(Apply(&pool, "one"));
    ControlHost *old = FindLeader(&pool);
    ASSERT_NE(old, nullptr);
    std::string peers;
    for (const ControlHost &host : m_hosts) {
      if (&host != old) peers += "\"" + host.m_name + "\",";
    }
    peers.pop_back();
    std::string body =
        R"({"receive_from":[)" + peers + R"(],"send_to":[)" + peers + "]}";
    ASSERT_EQ(
        Call(&pool, old->Admin(), "POST", "/admin/v1/partition", body).m_status,
        200);
    EXPECT_NE(
        Call(&pool, old->Operators(), "POST", "/ops/v1/apply", MakeBody("cut"))
            .m_status,
        200);
    EXPECT_NE(Call(&pool, old->Operators(), "GET", "/ops/v1/config").m_status,
              200);
    ASSERT_TRUE(Apply(&pool, "two"));
    ASSERT_EQ(
        Call(&pool, old->Admin(), "POST", "/admin/v1/partition", "{}").m_status,
        200);
    ASSERT_TRUE(Apply(&pool, "three"));
    std::vector<std::string> list = ReadList(&pool);
    ExpectAllOnce({"one", "two", "three"}, list);
    // The host learns of the leader with the next heartbeat after the partition
    // ends; until then it refuses requests, because it knows no leader.
    base::TimePoint deadline = Clock::now() + kRejoinTime;
    int redirects = 0;
    while (redirects != kHosts - 1 && Clock::now() < deadline) {
      redirects = CountRedirects(&pool);
    }
    EXPECT_EQ(redirects, kHosts - 1);
  });
}

// Guards against a host that counts towards the quorum after it lost its
// files, and against one that never counts again.
TEST_F(ControlProcessTest, HostWithLostDiskVotesOnlyAfterReplacement) {
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    ASSERT_EQ(ApplyInParallel(4, 20, "base").size(), 80U);
    ControlHost *leader = FindLeader(&pool);
    ASSERT_NE(leader, nullptr);
    ControlHost *lost = &m_hosts[leader == &m_hosts[0] ? 1 : 0];
    Kill(lost, SIGKILL);
    fs::remove_all(lost->DataFolder());
    Spawn(lost, false);
    std::string body = R"({"action":"replace","host":")" + lost->m_name + "\"}";
    bool is_replaced = false;
    for (int i = 0; i < 500 && !is_replaced; ++i) {
      is_replaced =
          Call(&pool, leader->Admin(), "POST", "/admin/v1/members", body)
              .m_status == 200;
      net::SleepFor(milliseconds(10));
    }
    ASSERT_TRUE(is_replaced);
    bool is_voter = false;
    for (int i = 0; i < 500 && !is_voter; ++i) {
      Answer answer = Call(&pool, lost->Admin(), "GET", "/admin/v1/replica");
      is_voter =
          answer.m_body.find(R"("is_voter":false)") == std::string::npos &&
          answer.m_body.find(R"("is_voter":true)") != std::string::npos;
      net::SleepFor(milliseconds(10));
    }
    ASSERT_TRUE(is_voter);
    // After a second loss, the replaced host must complete the quorum.
    Kill(leader, SIGKILL);
    EXPECT_TRUE(Apply(&pool, "after"));
    EXPECT_EQ(ReadList(&pool).size(), 81U);
  });
}

/** Runs ww_control with its configuration, not the test server. */
class ControlConfigTest : public ControlProcessTest {
 protected:
  ControlConfigTest() { m_program = WW_CONFIG_PROGRAM; }

  /** Sends a batch based on the last revision, again if the leader changes. */
  bool ApplyBatch(net::HttpClientPool *pool, gen::ApplyRequest *request) {
    gen::ChangeBatch *batch = request->mutable_batch();
    batch->set_operation_id("batch-" + std::to_string(m_revision));
    batch->set_base_revision(m_revision);
    batch->set_operator_name("test");
    std::string body = operators::ToJson(*request);
    Answer answer;
    for (int i = 0; i < 20 && answer.m_status != 200; ++i) {
      if (m_leader == nullptr) m_leader = FindLeader(pool);
      if (m_leader == nullptr) break;
      answer = Call(pool, m_leader->Operators(), "POST", "/ops/v1/apply", body);
      if (answer.m_status != 200) m_leader = nullptr;
    }
    EXPECT_EQ(answer.m_status, 200) << answer.m_body;
    ++m_revision;
    return answer.m_status == 200;
  }

  /** Adds a model and 41,000 adapters in batches below the size bound. */
  void ApplyAdapters(net::HttpClientPool *pool) {
    constexpr int kAdapters = 41'000;
    constexpr int kPerBatch = 4'000;
    gen::ApplyRequest models;
    gen::Model *model = models.mutable_batch()->add_changes()->mutable_model();
    model->set_name("base-model");
    model->set_version("v1");
    model->set_weight_bytes(1 << 30);
    model->set_memory_bytes(1 << 30);
    ASSERT_TRUE(ApplyBatch(pool, &models));
    for (int first = 0; first < kAdapters; first += kPerBatch) {
      gen::ApplyRequest request;
      int end = std::min(kAdapters, first + kPerBatch);
      for (int i = first; i < end; ++i) {
        gen::Adapter *adapter =
            request.mutable_batch()->add_changes()->mutable_adapter();
        adapter->set_name("customer-adapter-" + std::to_string(i));
        adapter->set_model("base-model");
        adapter->set_version("2026-12-04-" + std::to_string(i));
        adapter->set_weight_bytes(1 << 24);
        adapter->set_memory_bytes(1 << 24);
        adapter->set_max_replicas(1);
      }
      ASSERT_TRUE(ApplyBatch(pool, &request));
    }
  }

  std::uint64_t m_revision = 0;
  ControlHost *m_leader = nullptr;  ///< where the last batch was accepted
};

// Guards against a configuration of the target size that the control hosts
// can't load after a restart.
TEST_F(ControlConfigTest, TargetSizeSurvivesRestart) {
  constexpr int kChanges = 1'000;
  net::RunFiberThread([&] {
    net::HttpClientPool pool;
    ASSERT_NO_FATAL_FAILURE(ApplyAdapters(&pool));
    base::TimePoint start = Clock::now();
    for (int i = 0; i < kChanges; ++i) {
      gen::ApplyRequest request;
      gen::Customer *customer =
          request.mutable_batch()->add_changes()->mutable_customer();
      customer->set_name("customer-" + std::to_string(i % 50));
      customer->set_weight(1 + i);
      ASSERT_TRUE(ApplyBatch(&pool, &request));
    }
    std::printf("changes/s of one caller over 41,000 adapters: %.0f\n",
                kChanges / ToSeconds(Clock::now() - start));
    std::string path = "/ops/v1/config?revision=" + std::to_string(m_revision);
    ControlHost *leader = FindLeader(&pool);
    ASSERT_NE(leader, nullptr);
    Answer before = Call(&pool, leader->Operators(), "GET", path);
    ASSERT_EQ(before.m_status, 200);
    for (ControlHost &host : m_hosts) Kill(&host, SIGKILL);
    base::TimePoint restart = Clock::now();
    for (ControlHost &host : m_hosts) Spawn(&host, false);
    leader = FindLeader(&pool);
    ASSERT_NE(leader, nullptr);
    std::printf("all hosts restarted to confirmed read: %.3f s\n",
                ToSeconds(Clock::now() - restart));
    PrintOpenTimes();
    Answer after = Call(&pool, leader->Operators(), "GET", path);
    EXPECT_EQ(after.m_body, before.m_body);
  });
}

}  // namespace
}  // namespace wasabiwind::control
