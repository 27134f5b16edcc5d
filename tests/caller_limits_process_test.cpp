/** @file caller_limits_process_test.cpp Hosts and callers that keep to no
 * limit.
 *
 * Each test starts an entry host, lets a small crowd send what no caller within
 * the documented limits sends, and checks that the process lives, that its
 * memory and descriptors stay under a bound and that an ordinary request is
 * answered afterwards. The host has no control hosts, so that its answers are
 * refusals.
 */

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "net/endpoint_type.h"
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
constexpr int kDirectoryPort = 18'150;
constexpr int kOperatorsPort = 18'144;
constexpr int kMessagePort = 18'380;
constexpr int kAdminPort = 18'381;
constexpr seconds kStartTimeout{20};
constexpr seconds kAnswerTimeout{20};

/** Memory of the smallest machine of an entry host. */
constexpr std::size_t kMaxResidentBytes = 120'000'000;
/** A soft limit of the process, so that a small crowd can use it up. */
constexpr rlim_t kMaxDescriptors = 256;
constexpr int kCrowd = 16;
constexpr std::size_t kBytesPerCaller = 16 << 20;
constexpr int kUploads = 40;
constexpr std::size_t kUploadBytes = 4 << 20;  ///< the longest that is allowed
constexpr int kLongHeaders = 180;
constexpr std::size_t kLongHeaderBytes = 60 << 10;
constexpr int kSilentConnections = 400;

constexpr const char *kChunkedHead =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Repeat(const std::string &part, std::size_t size) {
  std::string text;
  while (text.size() < size) text += part;
  return text;
}

/** A blocking connection whose writes give up after a while. */
class RawCaller {
 public:
  explicit RawCaller(const std::string &address)
      : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    net::Endpoint endpoint = *net::ParseEndpoint(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(endpoint.m_port);
    m_is_open =
        inet_pton(AF_INET, endpoint.m_address.c_str(), &peer.sin_addr) == 1 &&
        ::connect(m_socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer) ==
            0;
    timeval timeout{2, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  }
  ~RawCaller() { ::close(m_socket); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  /** @return false if the host closed the connection or reads no more. */
  bool Send(const std::string &bytes) {
    std::size_t sent = 0;
    while (m_is_open && sent < bytes.size()) {
      ssize_t size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent,
                            MSG_NOSIGNAL);
      m_is_open = size > 0;
      if (m_is_open) sent += static_cast<std::size_t>(size);
    }
    return m_is_open;
  }

  /** Sends a part again and again until so much was sent or nothing more is
   * taken. */
  void SendRepeated(const std::string &part, std::size_t total) {
    std::string block = Repeat(part, 64 << 10);
    for (std::size_t sent = 0; sent < total && Send(block);) {
      sent += block.size();
    }
  }

 private:
  int m_socket;
  bool m_is_open = false;
};

class CallerLimitsTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = fs::temp_directory_path() / "ww-limits-XXXXXX";
    ASSERT_NE(mkdtemp(pattern.data()), nullptr);
    m_folder = pattern;
    m_network =
        scenario::MakeLoopbackNetwork(static_cast<std::uint32_t>(::getpid()));
    fs::path settings = m_folder / "host.ini";
    std::ofstream(settings) << MakeSettings();
    // The child inherits the limit.
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    rlimit lowered{kMaxDescriptors, before.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
    bool is_started =
        m_process
            .Start(GetProgram(), {"--config=" + settings.string()},
                   m_folder / "log")
            .has_value();
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    ASSERT_TRUE(is_started);
    ASSERT_TRUE(IsAnswering(kStartTimeout));
  }

  void TearDown() override {
    EXPECT_TRUE(m_process.IsRunning());
    EXPECT_TRUE(IsAnswering(kAnswerTimeout));
    std::size_t resident = m_process.ReadPeakResidentBytes();
    std::size_t descriptors = CountDescriptors();
    RecordProperty("peak_resident_bytes", std::to_string(resident));
    std::printf("peak %zu MB, %zu descriptors\n", resident / 1'000'000,
                descriptors);
    EXPECT_GT(resident, 0u);
    EXPECT_LT(resident, kMaxResidentBytes);
    EXPECT_LT(descriptors, kMaxDescriptors);
    if (!HasFailure()) fs::remove_all(m_folder);
  }

  virtual const char *GetProgram() const { return WW_PLATFORM_ENTRY; }
  virtual int GetPort() const { return kCallersPort; }
  virtual std::string MakeSettings() const {
    return MakeCommonSettings() +
           "[callers]\nlisten = " + Address(kCallersPort) +
           "\ndirectory = " + Address(kDirectoryPort) + "\n";
  }

  std::string MakeCommonSettings() const {
    return "[node]\nname = host-1\nregion = r\ndomain = a\n[admin]\nlisten = " +
           Address(kAdminPort) +
           "\n[network]\nmessage_address = " + Address(kMessagePort) +
           "\nmessage_port = " + std::to_string(kMessagePort) +
           "\ncontrol_hosts = " + m_network + "2:18144\n";
  }

  std::string Address(int port) const {
    return m_network + "1:" + std::to_string(port);
  }

  /** @return whether an ordinary request gets an answer within a time. */
  bool IsAnswering(base::Duration timeout) const {
    bool is_answered = false;
    base::TimePoint end = Clock::now() + timeout;
    while (!is_answered && Clock::now() < end) {
      net::RunFiberThread([&] {
        net::HttpClientPool client;
        net::HttpRequest request{"POST", "/x", {}, "ordinary"};
        request.m_headers.Add("X-Wasabiwind-Deadline-Ms", "500");
        is_answered = client
                          .Fetch(*net::ParseEndpoint(Address(GetPort())),
                                 request, Clock::now() + milliseconds(1'500))
                          .has_value();
      });
      if (!is_answered) std::this_thread::sleep_for(milliseconds(50));
    }
    return is_answered;
  }

  std::size_t CountDescriptors() const {
    std::error_code error;
    fs::directory_iterator files(
        "/proc/" + std::to_string(m_process.GetId()) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }

  /** A crowd that sends a start and then one part again and again. */
  void SendCrowd(int port, const std::string &start, const std::string &part) {
    std::vector<std::unique_ptr<RawCaller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < kCrowd; ++i) {
      callers.push_back(std::make_unique<RawCaller>(Address(port)));
      threads.emplace_back([&start, &part, caller = callers.back().get()] {
        if (caller->Send(start)) caller->SendRepeated(part, kBytesPerCaller);
      });
    }
    for (std::thread &thread : threads) thread.join();
    EXPECT_TRUE(IsAnswering(kAnswerTimeout));
  }

  /** Callers that send some bytes each and then keep their connections. */
  std::vector<std::unique_ptr<RawCaller>> SendAndHold(
      int count, const std::string &bytes) {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(std::make_unique<RawCaller>(Address(GetPort())));
      callers.back()->Send(bytes);
    }
    EXPECT_TRUE(IsAnswering(kAnswerTimeout));
    return callers;
  }

  fs::path m_folder;
  std::string m_network;
  scenario::ChildProcess m_process;
};

/** A control host, whose port for operators and upstreams is the same server.
 */
class ControlLimitsTest : public CallerLimitsTest {
 protected:
  const char *GetProgram() const override { return WW_PLATFORM_CONTROL; }
  int GetPort() const override { return kOperatorsPort; }
  std::string MakeSettings() const override {
    return MakeCommonSettings() +
           "[group]\ndata_folder = " + (m_folder / "data").string() +
           "\nlisten = " + Address(kOperatorsPort) +
           "\nis_first_start = true\n";
  }
};

// Trailers were held without a bound, and the process ran out of memory.
TEST_F(CallerLimitsTest, TrailersWithoutEnd) {
  SendCrowd(kCallersPort, std::string(kChunkedHead) + "1\r\nx\r\n0\r\n",
            "X-Trailer: " + std::string(1000, 't') + "\r\n");
}

// The port for addresses is as open as the port for requests.
TEST_F(CallerLimitsTest, TrailersWithoutEndForTheDirectory) {
  SendCrowd(kDirectoryPort, std::string(kChunkedHead) + "1\r\nx\r\n0\r\n",
            "X-Trailer: " + std::string(1000, 't') + "\r\n");
}

// The extension of a chunk was held without a bound.
TEST_F(CallerLimitsTest, ChunkExtensionWithoutEnd) {
  SendCrowd(kCallersPort, std::string(kChunkedHead) + "1", ";name=value");
}

// The digits of the size of a chunk were held without a bound.
TEST_F(CallerLimitsTest, ChunkSizeWithoutEnd) {
  SendCrowd(kCallersPort, kChunkedHead, "0000000000000000");
}

// Guards against state for each chunk, and against extensions that keep the
// host busy.
TEST_F(CallerLimitsTest, SmallChunksWithExtensions) {
  SendCrowd(kCallersPort, kChunkedHead,
            "1;" + std::string(1000, 'e') + "\r\nx\r\n");
}

// Guards against blank lines that are skipped without a bound.
TEST_F(CallerLimitsTest, BlankLinesBeforeARequest) {
  SendCrowd(kCallersPort, "\r\n", "\r\n");
}

// Guards against requests and answers that pile up for a caller that never
// reads.
TEST_F(CallerLimitsTest, PipelinedRequestsWithUnreadAnswers) {
  SendCrowd(kCallersPort, "", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
}

// Bodies that are allowed one by one filled the memory of the machine.
TEST_F(CallerLimitsTest, BodiesThatStall) {
  std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                     std::to_string(kUploadBytes) + "\r\n\r\n";
  SendAndHold(kUploads, head + std::string(kUploadBytes - 1, 'b'));
}

// Whole requests that wait for an answer filled the memory as well.
TEST_F(CallerLimitsTest, BodiesThatWaitForAnswers) {
  std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                     std::to_string(kUploadBytes) + "\r\n\r\n";
  SendAndHold(kUploads, head + std::string(kUploadBytes, 'b'));
}

// The port for operators and upstreams had no bounds either.
TEST_F(ControlLimitsTest, TrailersWithoutEnd) {
  SendCrowd(kOperatorsPort, std::string(kChunkedHead) + "1\r\nx\r\n0\r\n",
            "X-Trailer: " + std::string(1000, 't') + "\r\n");
}

// Documents that are allowed one by one filled the memory of the machine.
TEST_F(ControlLimitsTest, BodiesThatStall) {
  std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                     std::to_string(kUploadBytes) + "\r\n\r\n";
  SendAndHold(kUploads, head + std::string(kUploadBytes - 1, 'b'));
}

// A report of many values took more than twenty times its length while it was
// decoded, though it was refused then.
TEST_F(ControlLimitsTest, ReportsOfManyValues) {
  constexpr std::size_t kReportBytes = 6'000'000;
  std::string body = "{\"seq\":[" + Repeat("0,", kReportBytes) + "0]}";
  for (const char *call : {"Beat", "Leave"}) {
    std::string head = std::string("POST /wasabiwind/Instances.") + call +
                       "/odd HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n";
    SendAndHold(1, head + body);
  }
}

// Each header of a few bytes takes many times its size once it is parsed.
TEST_F(CallerLimitsTest, HeadersOfManyFields) {
  SendAndHold(kLongHeaders, "POST /x HTTP/1.1\r\nHost: h\r\n" +
                                Repeat("a:\r\n", kLongHeaderBytes));
}

// Connections that send nothing used up the descriptors, and no other caller
// was answered until they had been idle for long.
TEST_F(CallerLimitsTest, SilentConnections) {
  SendAndHold(kSilentConnections, "");
}

// Guards against a bound that an allowed request meets in calm.
TEST_F(CallerLimitsTest, LongestAllowedRequestIsAnswered) {
  net::RunFiberThread([this] {
    net::HttpClientPool client;
    net::HttpRequest request{"POST", "/x", {}, std::string(kUploadBytes, 'b')};
    request.m_headers.Add("X-Long", std::string(15 << 10, 'h'));
    request.m_headers.Add("X-Wasabiwind-Deadline-Ms", "5000");
    auto response = client.Fetch(*net::ParseEndpoint(Address(GetPort())),
                                 request, Clock::now() + kAnswerTimeout);
    ASSERT_TRUE(response) << response.error().ToString();
    EXPECT_NE(response->m_status, 431);
    EXPECT_NE(response->m_status, 413);
  });
}

}  // namespace
}  // namespace wasabiwind::gateway
