/** @file slow_stream.cpp Resumable streams at runners that turn slow.
 *
 * Two of thirteen runners hold the model of a resumable stream route. They turn
 * slow in the middle of streams and go on with their work. With TROUBLE=0 they
 * keep their pace. The case judges when runs of one request begin and end at
 * the two runners.
 */

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>

#include "harness.h"

namespace wasabiwind::review {

namespace {

/** A run may overlap with one at the runner before for this long. */
constexpr milliseconds kMaxOverlap{400};
/** Time of a token at a busy runner: four of them, one event, take the 400 ms
 * between events that the sheet allows. */
constexpr milliseconds kTokenTime{100};
/** How many times as long the work takes at a slow runner. */
constexpr int kSlowFactor = 5;
constexpr milliseconds kSlowTime{6'500};
constexpr int kTokensPerEvent = 4;
constexpr int kEvents = 13;
constexpr milliseconds kPrefillTime{50};
constexpr int kRunners = 13;
constexpr int kCopies = 2;  ///< of the model of the streams
constexpr int kStreams = 4;
constexpr milliseconds kStreamInterval{300};
/** From the first stream to the slow-down. */
constexpr milliseconds kSlowAfter{2'000};
constexpr milliseconds kContactTime{4'000};

constexpr const char *kTable =
    R"({"version":1,"routes":[{"name":"custom-plan","host":"hutch.example",)"
    R"("pathPrefix":"/plan/","kind":"stream","timeoutMs":13000,"sloMs":2000,)"
    R"("priority":1,"service":"hutch-assistant","maxAttempts":2,)"
    R"("sticky":true,"resumable":true,"gapSloMs":400}],"services":[{"name":)"
    R"("hutch-assistant","healthPath":"/health","maxConns":360,)"
    R"("protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":232000,)"
    R"("kvTokenBytes":327680,"linkMbps":1100000.0,"stride":4,"models":[)"
    R"({"name":"m1","weightsMb":72700.0,"loadS":6.0,"adapters":0,)"
    R"("adapterMb":66.0,"warmS":0.4,"diskS":0.52},{"name":"m2",)"
    R"("weightsMb":72700.0,"loadS":6.0,"adapters":0,"adapterMb":66.0,)"
    R"("warmS":0.4,"diskS":0.52}],"weightsMb":200000.0,"adapterSlots":8,)"
    R"("loadsPerS":3.1}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/** One run of a request at a runner. */
struct Run {
  std::string m_runner;
  int m_first_event = 0;
  TimePoint m_begun_at;  ///< first token
  TimePoint m_ended_at;
};

struct Observations {
  std::mutex m_mutex;
  std::map<std::string, std::vector<Run>> m_runs;  ///< by request
  std::atomic<bool> m_is_slow = false;
};

class ModelRunner {
 public:
  ModelRunner(RunnerIdentity identity, bool turns_slow,
              Observations *observations, Record *record)
      : m_identity(std::move(identity)),
        m_turns_slow(turns_slow),
        m_observations(observations),
        m_record(record),
        m_server(m_identity.m_listen, [this](int socket, const Message &call) {
          return Serve(socket, call);
        }) {}

 private:
  bool Serve(int socket, const Message &call) {
    std::string path = call.Word(1);
    Headers headers = {{"X-Wasabiwind-Instance-Id", m_identity.m_id}};
    if (path == "/health") return WriteReply(socket, 200, headers, "");
    if (path == "/wasabiwind/report") {
      return WriteReply(socket, 200, headers,
                        R"({"stage":"mixed","models":)" +
                            m_identity.m_models_json +
                            R"(,"busy":false,"seq":0,"queued":0,"active":0,)"
                            R"("kvUsed":0,"kvTotal":232000,"handles":0})");
    }
    // Each runner keeps the models that it has.
    if (path == "/wasabiwind/order")
      return WriteReply(socket, 400, headers, "");
    std::string id = call.Get("X-Wasabiwind-Request-Id");
    headers.emplace_back("X-Wasabiwind-Request-Id", id);
    bool holds_model =
        m_identity.m_models_json.find('"' + call.Get("X-Wasabiwind-Model") +
                                      '"') != std::string::npos;
    std::string expected = call.Get("X-Wasabiwind-Expect-Instance");
    if (!holds_model || (!expected.empty() && expected != m_identity.m_id)) {
      headers.emplace_back("X-Wasabiwind-Not-Run", "1");
      return WriteReply(socket, 421, headers, "");
    }
    return Generate(socket, id, std::atoi(call.Get("Last-Event-Id").c_str()));
  }

  /** Works for a time, longer while the runner is slow. @return false if the
   * caller has closed its connection */
  bool Work(int socket, milliseconds time) {
    constexpr milliseconds kStep{5};
    for (milliseconds done{0}; done < time;) {
      std::this_thread::sleep_for(kStep);
      bool is_slow = m_turns_slow && m_observations->m_is_slow;
      done += kStep * (is_slow ? 1 : kSlowFactor) / kSlowFactor;
      if (IsClosed(socket)) return false;
    }
    return true;
  }

  bool Generate(int socket, const std::string &id, int last_event) {
    m_record->Write(m_identity.m_id + " gets " + id + " from event " +
                    std::to_string(last_event + 1));
    if (!Work(socket, kPrefillTime)) return false;
    Run run{m_identity.m_id, last_event + 1, Clock::now(), {}};
    m_record->Write(m_identity.m_id + " begins to run " + id);
    bool is_whole = WriteEvents(socket, id, last_event);
    run.m_ended_at = Clock::now();
    m_record->Write(m_identity.m_id + " ends the run of " + id +
                    (is_whole ? ", complete" : ", connection closed"));
    std::lock_guard<std::mutex> lock(m_observations->m_mutex);
    m_observations->m_runs[id].push_back(run);
    // The answer has no length and ends with its connection.
    return false;
  }

  /** @return whether all events were sent */
  bool WriteEvents(int socket, const std::string &id, int last_event) {
    std::string head = "HTTP/1.1 200 OK\r\nX-Wasabiwind-Request-Id: " + id +
                       "\r\nX-Wasabiwind-Server-Stamp: " + m_identity.m_id +
                       "." + id +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Connection: close\r\n\r\n";
    if (!WriteAll(socket, head)) return false;
    for (int event = last_event + 1; event <= kEvents; ++event) {
      // The first token of the run has been made.
      int tokens =
          event == last_event + 1 ? kTokensPerEvent - 1 : kTokensPerEvent;
      if (!Work(socket, tokens * kTokenTime)) return false;
      std::string text = "id: " + std::to_string(event) + "\ndata: part " +
                         std::to_string(event) + "\n\n";
      if (!WriteAll(socket, text)) return false;
      m_record->Write(m_identity.m_id + " sends event " +
                      std::to_string(event) + " of " + id);
    }
    return true;
  }

  RunnerIdentity m_identity;
  bool m_turns_slow;
  Observations *m_observations;
  Record *m_record;
  Server m_server;
};

/** @return how many runs began while the one at the runner before went on for
 * longer than is allowed */
int CountBroken(const Observations &observations, Record *record) {
  int broken = 0;
  for (const auto &[id, runs] : observations.m_runs) {
    for (const Run &later : runs) {
      for (const Run &before : runs) {
        bool is_pair = before.m_begun_at < later.m_begun_at &&
                       before.m_runner != later.m_runner &&
                       later.m_first_event > 1;
        TimePoint limit = later.m_begun_at + kMaxOverlap;
        bool do_both_work =
            before.m_ended_at > limit && later.m_ended_at > limit;
        if (!is_pair || !do_both_work) continue;
        ++broken;
        record->Write("BROKEN TWICE: " + id + " goes on at " + later.m_runner +
                      " at " + std::to_string(record->At(later.m_begun_at)) +
                      " ms, " + before.m_runner + " works on it until " +
                      std::to_string(record->At(before.m_ended_at)) + " ms, " +
                      later.m_runner + " until " +
                      std::to_string(record->At(later.m_ended_at)) + " ms");
      }
    }
  }
  return broken;
}

void SendStream(const Deployment &deployment, int number, Record *record) {
  std::string id = "plan-" + std::to_string(number);
  Call call;
  call.m_method = "POST";
  call.m_path = "/plan/" + std::to_string(number);
  call.m_headers = {
      {"Host", "hutch.example"},
      {"X-Wasabiwind-Request-Id", id},
      {"X-Wasabiwind-Deadline-Ms", "13000"},
      {"X-Wasabiwind-Model", "m1"},
      {"X-Wasabiwind-Token-Count", "1460,52"},
      {"X-Wasabiwind-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}};
  call.m_body = "a plan";
  call.m_timeout = milliseconds(13'500);
  call.m_on_body = [record, id](const std::string &piece) {
    std::size_t end = piece.find('\n');
    record->Write("client gets " + piece.substr(0, end) + " of " + id);
  };
  Reply reply = SendCall(deployment.GetEntry(0), call);
  record->Write("answer " + id + " " + std::to_string(reply.m_status) +
                (reply.m_is_complete ? " complete" : " incomplete"));
}

int RunCase(const std::string &root, const std::string &record_path) {
  Record record(record_path);
  DeploymentOptions options;
  options.m_root = root;
  Deployment deployment(options, &record);
  std::vector<Address> controls = ListControls(deployment, options.m_controls);
  Observations observations;
  std::vector<std::unique_ptr<ModelRunner>> runners;
  std::vector<std::unique_ptr<Reporter>> reporters;
  for (int i = 0; i < kRunners; ++i) {
    RunnerIdentity identity =
        MakeRunnerIdentity(deployment, "hutch-assistant", i);
    identity.m_slots = 64;
    identity.m_models_json = std::string(R"([{"name":")") +
                             (i < kCopies ? "m1" : "m2") +
                             R"(","version":1,"adapters":[]}])";
    runners.push_back(std::make_unique<ModelRunner>(identity, i < kCopies,
                                                    &observations, &record));
    reporters.push_back(
        std::make_unique<Reporter>(identity, controls, &record));
  }
  deployment.StartAll();
  if (!deployment.PutTable(kTable, milliseconds(10'000))) return kCouldNotRun;
  for (auto &reporter : reporters) reporter->Run();
  if (!deployment.WaitUntilReady(milliseconds(10'000))) return kCouldNotRun;
  // All hosts are in touch before the streams.
  std::this_thread::sleep_for(kContactTime);

  TimePoint begun_at = Clock::now();
  std::vector<std::thread> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.emplace_back([&, i] { SendStream(deployment, i, &record); });
    std::this_thread::sleep_for(kStreamInterval);
  }
  SleepUntil(begun_at + kSlowAfter);
  if (HasTrouble()) {
    observations.m_is_slow = true;
    record.Write("two runners turn slow");
    SleepUntil(begun_at + kSlowAfter + kSlowTime);
    observations.m_is_slow = false;
    record.Write("they are as fast as before");
  }
  for (std::thread &stream : streams) stream.join();
  // Runs whose caller has left end with the next step of their work.
  std::this_thread::sleep_for(milliseconds(200));
  std::lock_guard<std::mutex> lock(observations.m_mutex);
  int broken = CountBroken(observations, &record);
  record.Write("runs that went on too long: " + std::to_string(broken));
  return broken == 0 ? kHeld : kBroken;
}

}  // namespace

}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::RunCase(argv[1], argv[2]);
}
