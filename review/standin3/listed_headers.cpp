/** @file listed_headers.cpp Requests whose Connection header lists many names.
 *
 * Clients that stay inside the limits send one request after the other. The
 * Connection header of each lists 4,000 names, and it has 1,950 short headers.
 * With TROUBLE=0 the same bytes stand in one header. The platform asks whether
 * the host is ready once a second, and an ordinary client places orders.
 */

#include <poll.h>
#include <sys/socket.h>

#include <csignal>
#include <memory>

#include "harness.h"

namespace wasabiwind::review {

namespace {

constexpr const char *kTable =
    R"({"version":1,"routes":[{"name":"place-order","host":"hutch.example",)"
    R"("pathPrefix":"/order/","kind":"unsafe","timeoutMs":800,"sloMs":150,)"
    R"("priority":2,"service":"order-desk","maxAttempts":1,"sticky":false,)"
    R"("resumable":false},{"name":"custom-plan","host":"hutch.example",)"
    R"("pathPrefix":"/plan/","kind":"stream","timeoutMs":13000,"sloMs":2000,)"
    R"("priority":1,"service":"hutch-assistant","maxAttempts":2,)"
    R"("sticky":true,"resumable":true,"gapSloMs":400}],"services":[{"name":)"
    R"("order-desk","healthPath":"/health","maxConns":96,"protocol":"h1",)"
    R"("tls":false},{"name":"hutch-assistant","healthPath":"/health",)"
    R"("maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,)"
    R"("kvTokens":232000,"kvTokenBytes":327680,"linkMbps":1100000.0,)"
    R"("stride":4,"models":[{"name":"m1","weightsMb":72700.0,"loadS":6.0,)"
    R"("adapters":0,"adapterMb":66.0,"warmS":0.4,"diskS":0.52}],)"
    R"("weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.1}}],"limits":{)"
    R"("headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

constexpr milliseconds kContactTime{4'000};
constexpr int kClients = 800;
constexpr int kListedNames = 4'000;
constexpr int kShortHeaders = 1'950;
constexpr std::size_t kMaxHeaderBytes = 16'384;  ///< of the table's limits
constexpr milliseconds kReadyInterval{1'000};
constexpr milliseconds kOrderInterval{200};
constexpr milliseconds kOrderDeadline{800};
constexpr milliseconds kWatchTime{12'000};
constexpr int kReadyPort = 8141;
/** So many questions in a row without a 200 take a machine out. */
constexpr int kMaxUnanswered = 2;

std::string MakeRequest(int number, bool has_list) {
  std::string head =
      "POST /plan/" + std::to_string(number) +
      " HTTP/1.1\r\nHost: hutch.example\r\nX-Wasabiwind-Request-Id: listed-" +
      std::to_string(number) +
      "\r\nX-Wasabiwind-Deadline-Ms: 13000\r\nX-Wasabiwind-Model: m1\r\n"
      "X-Wasabiwind-Token-Count: 800,4\r\n"
      "X-Wasabiwind-Prefix-Hash: 5c1e07a2:800\r\n";
  if (has_list) {
    head += "Connection: keep-alive";
    for (int i = 0; i < kListedNames; ++i) head += ",a";
    head += "\r\n";
    for (int i = 0; i < kShortHeaders; ++i) head += "b:\r\n";
  } else {
    head +=
        "X-Note: " + std::string(2 * kListedNames + 4 * kShortHeaders, 'x') +
        "\r\n";
  }
  head += "Content-Length: 0\r\n\r\n";
  if (head.size() > kMaxHeaderBytes) std::exit(kCouldNotRun);
  return head;
}

/** Serves each plan at once with a stream of one event. */
bool ServePlan(int socket, const Message &call) {
  std::string path = call.Word(1);
  if (path == "/health") return WriteReply(socket, 200, {}, "");
  if (path == "/wasabiwind/report") {
    return WriteReply(
        socket, 200, {},
        R"({"stage":"mixed","models":[{"name":"m1","version":1,"adapters":[]}],)"
        R"("busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,)"
        R"("kvTotal":232000,"handles":0})");
  }
  if (path == "/wasabiwind/order") return WriteReply(socket, 400, {}, "");
  std::string id = call.Get("X-Wasabiwind-Request-Id");
  return WriteReply(socket, 200,
                    {{"X-Wasabiwind-Request-Id", id},
                     {"X-Wasabiwind-Server-Stamp", "i-runner-1." + id},
                     {"Content-Type", "text/event-stream"}},
                    "id: 1\ndata: plan\n\n");
}

using Connections = std::vector<std::unique_ptr<RawConnection>>;

/** Sends a request on each connection, and the next one after each answer,
 * until a time. @return the number of answers */
int SendRequests(const Connections &clients, TimePoint end) {
  std::vector<pollfd> states;
  for (const auto &client : clients) {
    client->Write(MakeRequest(0, HasTrouble()));
    states.push_back(pollfd{client->GetSocket(), POLLIN, 0});
  }
  int answers = 0;
  while (Clock::now() < end) {
    if (::poll(states.data(), states.size(), /*timeout=*/10) <= 0) continue;
    for (std::size_t i = 0; i < states.size(); ++i) {
      if (states[i].revents == 0) continue;
      char bytes[4096];
      ssize_t size = ::recv(states[i].fd, bytes, sizeof(bytes), 0);
      if (size <= 0) {
        states[i].fd = -1;
        continue;
      }
      std::string text(bytes, static_cast<std::size_t>(size));
      bool is_end = text.ends_with("0\r\n\r\n") || text.ends_with("}");
      if (!is_end) continue;
      ++answers;
      clients[i]->Write(MakeRequest(answers, HasTrouble()));
    }
  }
  return answers;
}

int RunCase(const std::string &root, const std::string &record_path) {
  Record record(record_path);
  DeploymentOptions options;
  options.m_root = root;
  options.m_entries = 1;
  Deployment deployment(options, &record);
  RunnerIdentity identity = MakeRunnerIdentity(deployment, "order-desk", 0);
  OrderRunner runner(identity, &record, nullptr);
  Reporter reporter(identity, ListControls(deployment, options.m_controls),
                    &record);
  RunnerIdentity planner_identity =
      MakeRunnerIdentity(deployment, "hutch-assistant", 1);
  planner_identity.m_slots = 64;
  planner_identity.m_models_json =
      R"([{"name":"m1","version":1,"adapters":[]}])";
  Server planner(planner_identity.m_listen, ServePlan);
  Reporter planner_reporter(
      planner_identity, ListControls(deployment, options.m_controls), &record);
  deployment.StartAll();
  if (!deployment.PutTable(kTable, milliseconds(10'000))) {
    return kCouldNotRun;
  }
  reporter.Run();
  planner_reporter.Run();
  if (!deployment.WaitUntilReady(milliseconds(10'000))) return kCouldNotRun;
  std::this_thread::sleep_for(kContactTime);

  TimePoint begin = Clock::now();
  TimePoint end = begin + kWatchTime;
  Connections clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawConnection>(deployment.GetEntry(0)));
  }
  std::atomic<int> answered = 0;
  std::atomic<int> sent = 0;
  std::thread orders([&] {
    std::vector<std::thread> calls;
    for (int i = 0; Clock::now() < end; ++i) {
      calls.emplace_back([&, i] {
        Call call;
        call.m_method = "POST";
        call.m_path = "/order/ordinary";
        call.m_headers = MakeOrderHeaders("ordinary-" + std::to_string(i));
        call.m_body = "one hutch";
        call.m_timeout = kOrderDeadline;
        ++sent;
        Reply reply = SendCall(deployment.GetEntry(0), call);
        if (reply.m_status != 0) ++answered;
        record.Write("ordinary-" + std::to_string(i) + ": " +
                     std::to_string(reply.m_status));
      });
      std::this_thread::sleep_for(kOrderInterval);
    }
    for (std::thread &call : calls) call.join();
  });
  std::this_thread::sleep_for(2 * kOrderInterval);
  int crowd_answers = 0;
  std::thread crowd([&] { crowd_answers = SendRequests(clients, end); });
  record.Write("the crowd begins: " + std::to_string(kClients));
  int unanswered = 0;
  int most_unanswered = 0;
  while (Clock::now() < end) {
    TimePoint next = Clock::now() + kReadyInterval;
    Call question;
    question.m_path = "/wasabiwind/ready";
    question.m_timeout = kReadyInterval;
    Reply reply = SendCall(
        Address{deployment.GetEntryHost(0)->m_ip, kReadyPort}, question);
    unanswered = reply.m_status == 200 ? 0 : unanswered + 1;
    most_unanswered = std::max(most_unanswered, unanswered);
    record.Write("ready: " + std::to_string(reply.m_status));
    SleepUntil(next);
  }
  orders.join();
  crowd.join();
  record.Write("answers to the crowd: " + std::to_string(crowd_answers));
  bool is_broken = most_unanswered >= kMaxUnanswered;
  record.Write(std::string(is_broken ? "BROKEN Fault: " : "") +
               std::to_string(most_unanswered) +
               " questions in a row without a 200; ordinary orders: " +
               std::to_string(sent) + " sent, " + std::to_string(answered) +
               " answered");
  return is_broken ? kBroken : kHeld;
}

}  // namespace

}  // namespace wasabiwind::review

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return wasabiwind::review::kCouldNotRun;
  return wasabiwind::review::RunCase(argv[1], argv[2]);
}
