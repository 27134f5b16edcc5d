/** @file hup_in_grace.cpp Streams at an entry host that gets SIGTERM and,
 * within the grace, SIGHUP. */

#include <csignal>
#include <cstdio>

#include "../standin/deployment.h"

namespace wasabiwind::review {
namespace {

constexpr int kStreams = 8;
constexpr int kEvents = 40;
constexpr milliseconds kEventPause{100};
constexpr milliseconds kStartLimit{30'000};
constexpr milliseconds kSettleTime{5'000};
constexpr milliseconds kUntilTerm{1'000};
constexpr milliseconds kUntilHup{1'000};
constexpr milliseconds kClientTimeout{13'000};

constexpr const char *kConfig =
    R"({"version":3,"routes":[{"name":"plan","host":"a.example",)"
    R"("pathPrefix":"/plan/","kind":"stream","timeoutMs":13000,"sloMs":2000,)"
    R"("priority":1,"service":"engines","maxAttempts":2,"sticky":true,)"
    R"("resumable":true,"gapSloMs":400}],"services":[{"name":"engines",)"
    R"("healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,)"
    R"("engine":{"slots":64,"kvTokens":232000,"models":[{"name":"m1",)"
    R"("weightsMb":72700.0,"loadS":6.0,"adapters":0,"adapterMb":66.0}],)"
    R"("weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.1}}],)"
    R"("limits":{"headerBytes":16384,"bodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/** A runner that answers with a stream of kEvents events. */
bool AnswerStream(const Request &request, Connection *connection) {
  std::string head = MakeAnswerHead(request, "stamp-1") +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection->Send(head)) return false;
  for (int event = 1; event <= kEvents; ++event) {
    std::string text = "id: " + std::to_string(event) + "\ndata: part\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!connection->Send(size + text + "\r\n")) return false;
    std::this_thread::sleep_for(kEventPause);
  }
  return connection->Send("0\r\n\r\n");
}

Response SendStream(const Address &entry, int number) {
  std::string headers = "Host: a.example\r\nX-Wasabiwind-Request-Id: plan-" +
                        std::to_string(number) +
                        "\r\nX-Wasabiwind-Model: m1\r\n"
                        "X-Wasabiwind-Token-Count: 1460,160\r\n"
                        "X-Wasabiwind-Prefix-Hash: 5c1e07a2:800,91bd" +
                        std::to_string(number) +
                        ":660\r\nX-Wasabiwind-Deadline-Ms: 13000\r\n";
  Connection connection(entry, milliseconds(1'000));
  Response response;
  response.m_error = "no connection";
  if (!connection.IsOpen()) return response;
  connection.Send(FormatRequest("POST", "/plan/1", headers, "a plan"));
  return connection.ReadResponse(kClientTimeout);
}

int Run(const std::string &record_path) {
  Record record(record_path);
  Deployment deployment(&record);
  RunnerOptions options;
  options.m_id = "i-engine-1";
  options.m_service = "engines";
  options.m_address = deployment.GetFreeAddress(0, 8080);
  options.m_zone = Deployment::GetZone(0);
  options.m_slots = 64;
  options.m_models = {"m1"};
  Runner runner(
      options, &deployment, &record,
      [&record](const Request &request, Connection *connection) {
        std::string id = request.Get("X-Wasabiwind-Request-Id");
        record.Write("runner runs " + id);
        bool is_whole = AnswerStream(request, connection);
        record.Write("runner " +
                     std::string(is_whole ? "completes " : "can't send ") + id);
        return is_whole;
      });
  bool is_up = deployment.Start() && runner.Start() &&
               deployment.PutConfig(kConfig, kStartLimit) &&
               deployment.WaitUntilReady(kStartLimit);
  if (!is_up) {
    record.Write("the deployment didn't start");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kSettleTime);
  std::vector<Response> responses(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      record.Write("client sends plan-" + std::to_string(i));
      responses[i] = SendStream(deployment.GetEntry(0), i);
      record.Write(
          "client's plan-" + std::to_string(i) + " ends: status " +
          std::to_string(responses[i].m_status) + ", " +
          (responses[i].m_is_complete ? "complete" : responses[i].m_error));
    });
  }
  std::this_thread::sleep_for(kUntilTerm);
  record.Write("entry-0 gets SIGTERM");
  deployment.GetEntryProcess(0)->Signal(SIGTERM);
  std::this_thread::sleep_for(kUntilHup);
  if (IsTroubleWanted()) {
    deployment.ChangeEntrySettings(0);
    record.Write("the settings of entry-0 change and it gets SIGHUP");
    deployment.GetEntryProcess(0)->Signal(SIGHUP);
  }
  for (std::thread &client : clients) client.join();
  Clock::time_point end = Clock::now() + std::chrono::seconds(kGraceSeconds);
  std::optional<int> status = deployment.GetEntryProcess(0)->Poll();
  while (!status && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(50));
    status = deployment.GetEntryProcess(0)->Poll();
  }
  record.Write("entry-0 ends: " +
               (status ? FormatStatus(*status) : std::string("no")));
  int cut = 0;
  for (const Response &response : responses) {
    bool is_refused = response.m_status == 503 && response.m_is_complete;
    if (response.m_status == 0 && response.m_error == "no connection") {
      return kCouldNotRun;
    }
    if (!response.m_is_complete && !is_refused) ++cut;
  }
  record.Write(std::to_string(cut) + " of " + std::to_string(kStreams) +
               " requests that were sent before the SIGTERM and passed on to "
               "a runner ended without a complete answer");
  return cut == 0 ? kHeld : kBroken;
}

}  // namespace
}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  if (argc != 2) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::Run(argv[1]);
}
