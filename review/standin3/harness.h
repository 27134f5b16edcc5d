/** @file harness.h Starts the platform programs on loopback addresses and plays
 * their peers: operators, runners and clients.
 *
 * Every peer speaks HTTP/1.1 over plain sockets and has threads of its own.
 */

#ifndef WASABIWIND_REVIEW_STANDIN3_HARNESS_H_
#define WASABIWIND_REVIEW_STANDIN3_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace wasabiwind::review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

/** Exit codes of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Writes lines with the time since the start. Thread-safe. */
class Record {
 public:
  explicit Record(const std::string &path);
  void Write(const std::string &line);
  /** @return milliseconds from the start of the case to a time. */
  double At(TimePoint time) const;

 private:
  TimePoint m_start = Clock::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

struct Address {
  std::string m_ip;
  int m_port = 0;

  std::string ToString() const { return m_ip + ":" + std::to_string(m_port); }
};

/** Parses "IP:PORT". */
Address ParseAddress(const std::string &text);

using Headers = std::vector<std::pair<std::string, std::string>>;

/** A request or a response. */
struct Message {
  std::string m_first_line;
  Headers m_headers;
  std::string m_body;

  /** @return the first value of a header, or "". */
  std::string Get(const std::string &name) const;
  /** @return a word of the first line, counted from 0, or "". */
  std::string Word(int number) const;
};

struct Reply {
  int m_status = 0;  ///< 0: no response
  Message m_message;
  bool m_is_complete = false;
};

struct Call {
  std::string m_method = "GET";
  std::string m_path;
  Headers m_headers;
  std::string m_body;
  milliseconds m_timeout{1'000};
  /** Called with each piece of the body as it arrives. May be empty. */
  std::function<void(const std::string &)> m_on_body;
};

/** Sends a call on a new connection and reads its response. */
Reply SendCall(const Address &to, const Call &call);

/** Listens on one address. Each connection has a thread. */
class Server {
 public:
  /** Serves one request and writes its response. @return whether the
   * connection stays open */
  using Handler = std::function<bool(int socket, const Message &request)>;

  Server(Address listen, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

 private:
  void Accept();
  void ServeConnection(int socket);

  Handler m_handler;
  int m_socket = -1;
  std::atomic<bool> m_is_stopped = false;
  std::thread m_thread;
  std::mutex m_mutex;
  std::condition_variable m_has_closed;
  std::set<int> m_open;  ///< each has a thread
};

/** Writes all bytes. @return whether the peer took them */
bool WriteAll(int socket, const std::string &bytes);

/** Writes a response with a length. */
bool WriteReply(int socket, int status, const Headers &headers,
                const std::string &body);

/** @return whether the peer has closed or reset its connection. */
bool IsClosed(int socket);

/** A host of the system under test. */
struct Host {
  bool m_is_entry = false;
  int m_number = 0;
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  std::string m_region;
  pid_t m_process = -1;
  int m_starts = 0;
};

struct DeploymentOptions {
  std::string m_root;  ///< of the repository
  int m_controls = 3;
  int m_entries = 2;
  int m_tolerated_losses = 1;
  double m_retry_slack = 52;
};

/** The processes of the system under test, in a temporary folder. */
class Deployment {
 public:
  Deployment(DeploymentOptions options, Record *record);
  /** Ends all processes and removes the folder. */
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  void Start(Host *host);
  void StartAll();
  void Signal(Host *host, int signal);
  /** Ends a process and waits for it. */
  void Kill(Host *host);
  bool IsRunning(Host *host);

  Address GetControl(int number) const;
  Address GetEntry(int number) const;
  std::vector<Host *> ListHosts();
  Host *GetEntryHost(int number);
  Host *GetControlHost(int number);

  /** @return an unused loopback IP of this run. */
  std::string MakeIp(int number) const;
  std::string GetZone(int number) const;

  /** Sends a table until it is acknowledged. */
  bool PutTable(const std::string &document, milliseconds limit);
  /** Waits until all entry hosts say that they are ready. */
  bool WaitUntilReady(milliseconds limit);

 private:
  void WriteSettings(const Host &host);
  std::string GetFolder(const Host &host) const;

  DeploymentOptions m_options;
  Record *m_record;
  std::string m_folder;
  std::vector<Host> m_hosts;
};

/** What a runner says of itself, and where it reports. */
struct RunnerIdentity {
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  Address m_listen;
  int m_slots = 6;
  std::string m_models_json = "[]";
};

/** Reports of a runner. Thread-safe. */
class Reporter {
 public:
  Reporter(RunnerIdentity identity, std::vector<Address> controls,
           Record *record);
  ~Reporter();
  Reporter(const Reporter &) = delete;
  Reporter &operator=(const Reporter &) = delete;

  /** Reports in the heartbeat's interval until Stop. */
  void Run();
  void Stop();

  /** @return the next report, as it would be sent now */
  Call MakeReport();
  /** Sends a call until a control host acknowledges it. @return when it did */
  std::optional<TimePoint> SendUntilAcknowledged(const Call &call,
                                                 milliseconds limit);
  Call MakeLeave();
  const RunnerIdentity &GetIdentity() const { return m_identity; }

  /** Rewrites the models of later reports. */
  void SetModels(const std::string &models_json);

 private:
  RunnerIdentity m_identity;
  std::vector<Address> m_controls;
  Record *m_record;
  std::mutex m_mutex;
  std::uint64_t m_number = 0;
  std::uint64_t m_born_ms = 0;
  std::size_t m_next = 0;
  std::optional<Address> m_preferred;
  std::atomic<bool> m_is_stopped = true;
  std::thread m_thread;
};

void SleepUntil(TimePoint time);

/** @return whether the case plays its disruption (not with TROUBLE=0). */
bool HasTrouble();

/** Table with one route, /order/ of hutch.example, to service order-desk. Its
 * requests may not be repeated. */
extern const char *const kOrderTable;

/** Headers of an order that an ordinary client sends. */
Headers MakeOrderHeaders(const std::string &id);

/** A runner of service order-desk. */
class OrderRunner {
 public:
  /** Called for each request that runs. */
  using OnRun = std::function<void(const std::string &id, const Message &call)>;

  OrderRunner(RunnerIdentity identity, Record *record, OnRun on_run);

 private:
  bool Serve(int socket, const Message &call);

  RunnerIdentity m_identity;
  Record *m_record;
  OnRun m_on_run;
  Server m_server;
};

/** @return the identity of runner number i, in one of the zones */
RunnerIdentity MakeRunnerIdentity(const Deployment &deployment,
                                  const std::string &service, int number);

/** @return the addresses of all control hosts */
std::vector<Address> ListControls(const Deployment &deployment, int count);

/** A connection on which a client writes any bytes. */
class RawConnection {
 public:
  explicit RawConnection(const Address &to);
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bool Write(const std::string &bytes) { return WriteAll(m_socket, bytes); }
  int GetSocket() const { return m_socket; }
  /** @return what arrives until the end of the connection or of the time */
  std::string ReadFor(milliseconds time);

 private:
  int m_socket;
};

}  // namespace wasabiwind::review

#endif  // WASABIWIND_REVIEW_STANDIN3_HARNESS_H_
