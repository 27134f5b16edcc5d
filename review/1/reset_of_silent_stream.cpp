/** @file reset_of_silent_stream.cpp One of six runners falls silent in the
 * middle of streams without length, and its connections are reset while other
 * runners have these requests in their queues. */

#include <cstdio>
#include <sstream>

#include "../standin/deployment.h"

namespace wasabiwind::review {
namespace {

constexpr int kRunners = 6;
constexpr int kStreams = 24;
constexpr const char *kFirstRequest = "plan-0";
constexpr milliseconds kSendPause{30};
constexpr int kEvents = 40;
constexpr int kEventsBeforeSilence = 15;
constexpr milliseconds kEventPause{60};
/** From the last event to the reset. */
constexpr milliseconds kSilence{1'800};
/** For which a full runner keeps a request in its queue. */
constexpr milliseconds kQueueTime{1'000};
constexpr milliseconds kStartLimit{30'000};
constexpr milliseconds kSettleTime{5'000};
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

std::string MakeEvent(int number) {
  return "id: " + std::to_string(number) + "\ndata: part\n\n";
}

/** All runners of the service. One of them crashes: it falls silent in the
 * middle of its answers, and then its connections are reset. */
class Runners {
 public:
  explicit Runners(Record *record) : m_record(record) {}

  bool Answer(const std::string &runner, const Request &request,
              Connection *connection) {
    if (request.Get("Last-Event-Id").empty()) {
      Stream(runner, request, connection);
    } else {
      Reject(runner, request, connection);
    }
    return false;
  }

 private:
  /** The answer has no length and ends with its connection. */
  void Stream(const std::string &runner, const Request &request,
              Connection *connection) {
    std::string id = request.Get("X-Wasabiwind-Request-Id");
    m_record->Write(runner + " runs " + id);
    connection->Send(MakeAnswerHead(request, "stamp-" + runner) +
                     "Content-Type: text/event-stream\r\n"
                     "Connection: close\r\n\r\n");
    for (int event = 1; event <= kEvents; ++event) {
      if (IsCrashing(runner, id, event)) {
        std::this_thread::sleep_until(m_reset_at);
        m_record->Write(runner + ": the connection of " + id +
                        " is reset after event " + std::to_string(event - 1));
        connection->Reset();
        return;
      }
      if (!connection->Send(MakeEvent(event))) return;
      std::this_thread::sleep_for(kEventPause);
    }
    m_record->Write(runner + " completes " + id);
  }

  /** @return whether a runner is silent; the one that runs the first request
   * is from an event on */
  bool IsCrashing(const std::string &runner, const std::string &id, int event) {
    std::lock_guard<std::mutex> lock(m_mutex);
    bool begins = IsTroubleWanted() && id == kFirstRequest &&
                  event > kEventsBeforeSilence && m_crashing.empty();
    if (begins) {
      m_crashing = runner;
      m_reset_at = Clock::now() + kSilence;
      m_record->Write(runner + " falls silent");
    }
    return runner == m_crashing;
  }

  /** A full runner keeps a request in its queue, and rejects it when no slot
   * becomes free. */
  void Reject(const std::string &runner, const Request &request,
              Connection *connection) {
    std::string id = request.Get("X-Wasabiwind-Request-Id");
    m_record->Write(runner + " queues " + id + " from event " +
                    request.Get("Last-Event-Id"));
    std::this_thread::sleep_for(kQueueTime);
    if (connection->IsPeerGone()) return;
    m_record->Write(runner + " rejects " + id + " as not run");
    connection->Send(MakeNotRunAnswer(request, runner));
  }

  Record *m_record;
  std::mutex m_mutex;      ///< guards the following
  std::string m_crashing;  ///< runner that crashes, or ""
  Clock::time_point m_reset_at;
};

/** Sends a request and reads its answer. */
Response SendStream(const Address &entry, const std::string &id) {
  std::string headers = "Host: a.example\r\nX-Wasabiwind-Request-Id: " + id +
                        "\r\nX-Wasabiwind-Model: m1\r\n"
                        "X-Wasabiwind-Token-Count: 1460,80\r\n"
                        "X-Wasabiwind-Prefix-Hash: 5c1e07a2:800,91bd3f06:660"
                        "\r\nX-Wasabiwind-Deadline-Ms: 13000\r\n";
  Connection connection(entry, milliseconds(1'000));
  Response response;
  response.m_error = "no connection";
  if (!connection.IsOpen()) return response;
  connection.Send(FormatRequest("POST", "/plan/1", headers, "a plan"));
  return connection.ReadResponse(kClientTimeout);
}

int CountEvents(const std::string &body) {
  std::istringstream lines(body);
  int count = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("id: ", 0) == 0) ++count;
  }
  return count;
}

int Run(const std::string &record_path) {
  Record record(record_path);
  Deployment deployment(&record);
  Runners behaviour(&record);
  std::vector<std::unique_ptr<Runner>> runners;
  bool is_up = deployment.Start();
  for (int i = 0; i < kRunners; ++i) {
    RunnerOptions options;
    options.m_id = "i-engine-" + std::to_string(i);
    options.m_service = "engines";
    options.m_address = deployment.GetFreeAddress(i, 8080);
    options.m_zone = Deployment::GetZone(0);
    options.m_slots = 64;
    options.m_models = {"m1"};
    std::string id = options.m_id;
    runners.push_back(std::make_unique<Runner>(
        options, &deployment, &record,
        [&behaviour, id](const Request &request, Connection *connection) {
          return behaviour.Answer(id, request, connection);
        }));
    is_up = is_up && runners.back()->Start();
  }
  is_up = is_up && deployment.PutConfig(kConfig, kStartLimit) &&
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
      std::string id = "plan-" + std::to_string(i);
      record.Write("client sends " + id);
      responses[i] = SendStream(deployment.GetEntry(i % kEntries), id);
      record.Write(
          "client's " + id + " ends: status " +
          std::to_string(responses[i].m_status) + ", " +
          std::to_string(CountEvents(responses[i].m_body)) + " of " +
          std::to_string(kEvents) + " events, " +
          (responses[i].m_is_complete ? "complete" : responses[i].m_error));
    });
    std::this_thread::sleep_for(kSendPause);
  }
  for (std::thread &client : clients) client.join();
  int broken = 0;
  for (const Response &response : responses) {
    if (response.m_error == "no connection") return kCouldNotRun;
    bool looks_complete = response.m_status == 200 && response.m_is_complete;
    if (looks_complete && CountEvents(response.m_body) < kEvents) ++broken;
  }
  record.Write(std::to_string(broken) + " of " + std::to_string(kStreams) +
               " streams ended as complete before their last event");
  return broken == 0 ? kHeld : kBroken;
}

}  // namespace
}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  if (argc != 2) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::Run(argv[1]);
}
