/** @file simulation.h Discrete-event simulation of routing and engines. */

#ifndef WASABIWIND_BENCH_SIMULATION_H_
#define WASABIWIND_BENCH_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "bench/workload.h"

namespace wasabiwind::bench {

/** Identifies an attempt: entry host and number within it. */
struct AttemptKey {
  int m_entry = 0;
  std::uint64_t m_attempt = 0;
  friend auto operator<=>(const AttemptKey &, const AttemptKey &) = default;
};

class Simulation;

/** A routing policy; owns the state of all entry hosts. */
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void Begin(Simulation *simulation) = 0;
  virtual void OnArrival(std::size_t request) = 0;
  virtual void OnFirstToken(const AttemptKey &key) = 0;
  virtual void OnTokens(const AttemptKey &key, std::uint32_t tokens) = 0;
  virtual void OnFinished(const AttemptKey &key, std::uint32_t tokens) = 0;
  virtual void Tick() = 0;
  virtual void OnLoadReport(int entry, int runner, int running, int waiting,
                            base::Duration age) = 0;
};

/** How a request ended. */
struct RequestResult {
  bool m_is_finished = false;
  bool m_is_refused = false;
  base::TimePoint m_finished_at;
};

/** @return slowdown of a runner at a time; 1 is full speed. */
using SlowFactor = std::function<double(int runner, Seconds time)>;

/**
 * Simulates requests, a policy and engines. An engine runs as many requests at
 * the same time as it has slots, is slower the more it runs, and queues further
 * ones in order of arrival. Once a second, the previous load report of each
 * engine is delivered to one entry host, with a given age of 1.5 s.
 */
class Simulation {
 public:
  Simulation(const Firm &firm, std::vector<SimRequest> requests,
             SlowFactor slow_factor);

  /** Runs until all requests have ended. */
  void Run(Policy *policy);

  base::TimePoint Now() const { return m_now; }
  const Firm &GetFirm() const { return m_firm; }
  const SimRequest &GetRequest(std::size_t index) const {
    return m_requests[index];
  }
  const RequestKind &GetKind(std::size_t index) const {
    return m_firm.m_kinds[m_requests[index].m_kind];
  }
  const std::vector<SimRequest> &GetRequests() const { return m_requests; }
  const std::vector<RequestResult> &GetResults() const { return m_results; }

  /**
   * Sends an attempt to a runner.
   * @param skip_tokens tokens that earlier attempts delivered
   */
  void Start(const AttemptKey &key, std::size_t request, int runner,
             std::uint32_t skip_tokens);
  void Cancel(const AttemptKey &key);
  void Refuse(std::size_t request);

 private:
  enum class EventKind : std::uint8_t {
    kArrival,
    kTick,
    kFirstToken,
    kProgress,
    kLoadReport,
  };
  struct Event {
    base::TimePoint m_time;
    std::uint64_t m_sequence = 0;
    EventKind m_kind = EventKind::kTick;
    std::size_t m_index = 0;
    AttemptKey m_key;
    bool operator<(const Event &other) const {
      if (m_time != other.m_time) return m_time > other.m_time;
      return m_sequence > other.m_sequence;
    }
  };
  struct Stream {
    std::size_t m_request = 0;
    int m_runner = 0;
    double m_tokens = 0;
    bool m_is_running = false;
    base::TimePoint m_progress_at;
  };
  struct Runner {
    int m_running = 0;
    std::deque<AttemptKey> m_waiting;
    std::deque<std::pair<int, int>> m_load_reports;  ///< running, waiting
  };

  void Push(Seconds delay, EventKind kind, std::size_t index,
            const AttemptKey &key);
  void Handle(const Event &event, Policy *policy);
  void BeginStream(const AttemptKey &key, Stream *stream);
  void Progress(const AttemptKey &key, Policy *policy);
  void DeliverLoadReports(Policy *policy);
  void EndStream(const AttemptKey &key);
  double GetSlowFactor(int runner) const;

  Firm m_firm;
  std::vector<SimRequest> m_requests;
  std::vector<RequestResult> m_results;
  SlowFactor m_slow_factor;
  std::vector<Runner> m_runners;
  std::map<AttemptKey, Stream> m_streams;
  std::priority_queue<Event> m_events;
  std::uint64_t m_sequence = 0;
  std::size_t m_unfinished_requests = 0;
  base::TimePoint m_now;
};

}  // namespace wasabiwind::bench

#endif  // WASABIWIND_BENCH_SIMULATION_H_
