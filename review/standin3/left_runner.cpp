/** @file left_runner.cpp A runner's acknowledged leave and a stop of all
 * processes.
 *
 * A runner of the kind that leaves without draining first is acknowledged. All
 * processes are then killed at the same moment and start again, and one of the
 * runner's heartbeats from before its leave arrives late. With TROUBLE=0 no
 * process is killed. The case judges the arrivals at the runner.
 */

#include <csignal>
#include <memory>

#include "harness.h"

namespace wasabiwind::review {

namespace {

// Bounds of the sheet of hutchworks-live.
constexpr milliseconds kDrainTime{2'500};
constexpr milliseconds kContactTime{4'000};

/** How long the heartbeat is on its way ("may arrive seconds late"). */
constexpr milliseconds kHeartbeatDelay{4'800};
constexpr milliseconds kLeaveAfter{1'300};
/** From the acknowledgement of the leave to the kill of all processes. */
constexpr milliseconds kKillAfter{200};
constexpr milliseconds kRestartAfter{500};
/** From the acknowledgement to the end of the case; the runner serves until
 * then ("at times many seconds"). */
constexpr milliseconds kServeAfterLeave{12'000};
constexpr milliseconds kRequestInterval{25};
constexpr int kRunners = 3;

struct SentRequest {
  TimePoint m_sent_at;
  int m_entry = 0;
};

struct Arrival {
  TimePoint m_at;
  std::string m_request;
};

/** What clients and the leaving runner saw. */
struct Observations {
  std::mutex m_mutex;
  std::map<std::string, SentRequest> m_sent;
  std::vector<Arrival> m_arrivals;
};

/** Sends orders to both entry hosts in turn until it is stopped. */
void SendOrders(const Deployment &deployment, Observations *observations,
                const std::atomic<bool> *is_over, Record *record) {
  std::vector<std::thread> requests;
  for (int number = 0; !*is_over; ++number) {
    requests.emplace_back([&deployment, observations, record, number] {
      Call call;
      call.m_method = "POST";
      call.m_path = "/order/" + std::to_string(number);
      std::string id = "order-" + std::to_string(number);
      call.m_headers = MakeOrderHeaders(id);
      call.m_body = "one hutch";
      {
        std::lock_guard<std::mutex> lock(observations->m_mutex);
        observations->m_sent[id] = SentRequest{Clock::now(), number % 2};
      }
      Reply reply = SendCall(deployment.GetEntry(number % 2), call);
      record->Write("answer " + id + " " + std::to_string(reply.m_status));
    });
    std::this_thread::sleep_for(kRequestInterval);
  }
  for (std::thread &request : requests) request.join();
}

int RunCase(const std::string &root, const std::string &record_path) {
  Record record(record_path);
  DeploymentOptions options;
  options.m_root = root;
  Deployment deployment(options, &record);
  std::vector<Address> controls = ListControls(deployment, options.m_controls);
  Observations observations;
  std::vector<std::unique_ptr<OrderRunner>> runners;
  std::vector<std::unique_ptr<Reporter>> reporters;
  for (int i = 0; i < kRunners; ++i) {
    RunnerIdentity identity = MakeRunnerIdentity(deployment, "order-desk", i);
    OrderRunner::OnRun on_run;
    if (i == 0) {
      on_run = [&observations](const std::string &id, const Message &) {
        std::lock_guard<std::mutex> lock(observations.m_mutex);
        observations.m_arrivals.push_back(Arrival{Clock::now(), id});
      };
    }
    runners.push_back(
        std::make_unique<OrderRunner>(identity, &record, std::move(on_run)));
    reporters.push_back(
        std::make_unique<Reporter>(identity, controls, &record));
  }
  deployment.StartAll();
  if (!deployment.PutTable(kOrderTable, milliseconds(10'000)))
    return kCouldNotRun;
  for (auto &reporter : reporters) reporter->Run();
  if (!deployment.WaitUntilReady(milliseconds(10'000))) return kCouldNotRun;
  // All hosts are in touch before the leave.
  std::this_thread::sleep_for(kContactTime);

  Reporter &leaving = *reporters[0];
  Call heartbeat = leaving.MakeReport();
  TimePoint heartbeat_sent_at = Clock::now();
  record.Write("heartbeat before the leave: " + heartbeat.m_body);
  SleepUntil(heartbeat_sent_at + kLeaveAfter);
  leaving.Stop();
  std::optional<TimePoint> left_at =
      leaving.SendUntilAcknowledged(leaving.MakeLeave(), milliseconds(5'000));
  if (!left_at) return kCouldNotRun;
  record.Write("leave of i-runner-0 acknowledged");
  SleepUntil(*left_at + kKillAfter);
  TimePoint started_at = *left_at;
  if (HasTrouble()) {
    for (Host *host : deployment.ListHosts()) deployment.Kill(host);
    std::this_thread::sleep_for(kRestartAfter);
    for (Host *host : deployment.ListHosts()) deployment.Start(host);
    started_at = Clock::now();
  }
  std::atomic<bool> is_over = false;
  std::thread clients([&] {
    SleepUntil(*left_at + kDrainTime);
    SendOrders(deployment, &observations, &is_over, &record);
  });
  SleepUntil(heartbeat_sent_at + kHeartbeatDelay);
  Reply late = SendCall(deployment.GetControl(1), heartbeat);
  record.Write("late heartbeat answered " + std::to_string(late.m_status));
  SleepUntil(*left_at + kServeAfterLeave);
  is_over = true;
  clients.join();

  int broken = 0;
  std::lock_guard<std::mutex> lock(observations.m_mutex);
  for (const Arrival &arrival : observations.m_arrivals) {
    const SentRequest &sent = observations.m_sent[arrival.m_request];
    bool is_late = arrival.m_at > *left_at + kDrainTime &&
                   sent.m_sent_at > *left_at + kDrainTime;
    bool is_in_touch = sent.m_sent_at > started_at + kContactTime;
    if (!is_late || !is_in_touch) continue;
    ++broken;
    record.Write("BROKEN DRAIN: " + arrival.m_request + " reached i-runner-0 " +
                 std::to_string(record.At(arrival.m_at) - record.At(*left_at)) +
                 " ms after the acknowledgement of its leave");
  }
  record.Write("requests that reached the runner that had left: " +
               std::to_string(broken));
  return broken == 0 ? kHeld : kBroken;
}

}  // namespace

}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::RunCase(argv[1], argv[2]);
}
