/** @file deployment.h A small deployment of the programs on loopback. */

#ifndef WASABIWIND_REVIEW_STANDIN_DEPLOYMENT_H_
#define WASABIWIND_REVIEW_STANDIN_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace wasabiwind::review {

/** Exit codes of a case. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline constexpr int kControls = 3;
inline constexpr int kEntries = 2;
/** Seconds from SIGTERM to SIGKILL, as in the settings. */
inline constexpr int kGraceSeconds = 8;

/** What was sent, answered and run, with the time. Thread-safe. */
class Record {
 public:
  explicit Record(const std::string &path);
  void Write(const std::string &line);

 private:
  Clock::time_point m_start = Clock::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

/** A program under test. It is killed when this object or its parent ends. */
class Process {
 public:
  ~Process();

  bool Start(const std::vector<std::string> &command, const std::string &log);
  void Signal(int signal) const;
  /** Kills it, if it runs, and waits for its end. */
  void Kill();
  /** @return its wait status if it has ended */
  std::optional<int> Poll();

 private:
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

/** @return "code N" or "signal N" */
std::string FormatStatus(int status);

/**
 * Three control hosts and two entry hosts, each on a loopback address of its
 * own, with the commands of deploy/system.toml and settings that are rendered
 * from its templates. The working directory is the root of the repository.
 */
class Deployment {
 public:
  explicit Deployment(Record *record);
  ~Deployment();

  /** Starts all programs. @return whether they started */
  bool Start();

  /** Puts a configuration until it is acknowledged. @return whether it was */
  bool PutConfig(const std::string &document, milliseconds limit);

  /** Waits until all entry hosts are ready. */
  bool WaitUntilReady(milliseconds limit) const;

  /** @return an address that a stand-in may listen on */
  Address GetFreeAddress(int number, int port) const;
  Address GetControl(int number) const;
  Address GetEntry(int number) const;
  Address GetDirectory(int number) const;
  static std::string GetZone(int number);
  Process *GetEntryProcess(int number) { return &m_entries[number]; }

  /** Writes the settings of an entry host again, with the seeds in another
   * order. */
  void ChangeEntrySettings(int number);

 private:
  std::string MakeIp(int number) const;
  std::string Render(const std::string &path, int number, bool is_control,
                     int rotation) const;
  std::vector<std::string> MakeCommand(const std::string &role,
                                       const std::string &settings) const;
  bool StartHost(Process *process, const std::string &role, int number);

  Record *m_record;
  std::string m_folder;
  std::string m_network;  ///< first three bytes of all addresses
  Process m_controls[kControls];
  Process m_entries[kEntries];
};

struct RunnerOptions {
  std::string m_id;
  std::string m_service;
  Address m_address;
  std::string m_zone;
  int m_slots = 6;
  std::vector<std::string> m_models;  ///< loaded at the start
};

/**
 * A runner: reports itself to control hosts, answers health checks, status
 * queries and orders, and passes requests to the case.
 */
class Runner {
 public:
  Runner(RunnerOptions options, const Deployment *deployment, Record *record,
         Server::Handler handler);
  ~Runner();

  bool Start();
  /** Ends as a crash does: connections close, new ones are refused, and the
   * heartbeats stop. */
  void Crash();

  const std::string &GetId() const { return m_options.m_id; }
  std::vector<std::string> ListModels();
  /** Called with each accepted load, and with what is held with it. */
  std::function<void(const std::vector<std::string> &models)> m_on_order;

 private:
  bool Handle(const Request &request, Connection *connection);
  std::string HandleOrder(const std::string &body);
  std::string FormatModels();
  std::string MakeHeartbeat();
  void SendHeartbeats();

  RunnerOptions m_options;
  const Deployment *m_deployment;
  Record *m_record;
  Server::Handler m_handler;
  Server m_server;
  std::thread m_heartbeats;
  std::atomic<bool> m_is_up = true;
  std::uint64_t m_born_ms = 0;
  std::mutex m_mutex;  ///< guards the following
  std::uint64_t m_heartbeat_count = 0;
  std::uint64_t m_order_count = 0;
  std::vector<std::string> m_models;
  std::string m_loading;  ///< model that is being loaded, or ""
  Clock::time_point m_loaded_at;
};

/** Headers that each answer of a runner to a request bears. */
std::string MakeAnswerHead(const Request &request, const std::string &stamp);

/** @return the head of an answer that says that the request didn't run */
std::string MakeNotRunAnswer(const Request &request, const std::string &runner);

/** @return the value of a text or number in a flat JSON object, "" if none */
std::string GetJsonField(const std::string &json, const std::string &key);

/** @return whether the disruption is wanted: TROUBLE isn't 0 */
bool IsTroubleWanted();

}  // namespace wasabiwind::review

#endif  // WASABIWIND_REVIEW_STANDIN_DEPLOYMENT_H_
