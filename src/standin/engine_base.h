/** @file engine_base.h Model engine test double. */

#ifndef WASABIWIND_STANDIN_ENGINE_BASE_H_
#define WASABIWIND_STANDIN_ENGINE_BASE_H_

#include <standin_settings.pb.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "base/random_func.h"
#include "base/time_type.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standin/announce_base.h"
#include "standin/answer_func.h"
#include "standin/ledger_base.h"
#include "standin/record_base.h"

namespace wasabiwind::standin {

/** Faults injected by POST /standin/v1/fault. */
struct EngineFaults {
  double m_slow_factor = 1.0;  ///< multiplies load, prefill and token times
  base::TimePoint m_slow_until;
  /** Crashes after this many tokens of a stream that has more; 0: never. */
  int m_crash_after_tokens = 0;
  bool m_crash_in_load = false;
  int m_fail_loads = 0;           ///< number of next loads that fail
  int m_break_after_tokens = 0;   ///< 0: never; then closes the connection
  int m_stall_after_tokens = 0;   ///< 0: never; then stops sending
  bool m_skip_tokens = false;     ///< omits token 1
  bool m_swap_tokens = false;     ///< sends token 2 before token 1
  bool m_foreign_tokens = false;  ///< sends tokens of another prompt
  bool m_silent_leave = false;    ///< stops without announcing it
  bool m_short_answers = false;   ///< ends normally, one token early
};

/** Hashes of cached prompt blocks, with eviction of the least recently used. */
struct PrefixCache {
  std::list<std::uint64_t> m_recency;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_blocks;
};

/** A completion request that waits or runs. */
struct EngineJob {
  std::string m_request_id;
  std::string m_target;
  std::string m_id_json;     ///< request ID as a JSON string
  std::string m_model_json;  ///< target as a JSON string
  AnswerPlan m_plan;
  int m_first_token = 0;  ///< resume_from_token
  int m_priority = 1;     ///< 0 interactive, 1 standard, 2 batch
  bool m_is_chat = false;
  bool m_is_stream = false;
  std::int64_t m_created_s = 0;  ///< seconds since 1970
  bool m_has_slot = false;
  bool m_is_cancelled = false;
  boost::fibers::condition_variable m_changed;  ///< got a slot or was cancelled
};

/** Events of one stream that are written together. */
struct StreamBatch {
  std::string m_text;
  int m_events = 0;
};

/** Load of the engine at one point in time. */
struct LoadSample {
  base::TimePoint m_time;
  int m_running = 0;
  int m_waiting = 0;
  double m_kv_used = 0.0;  ///< share of busy slots, in place of KV memory
};

/**
 * Engine that answers with deterministic tokens. It serves the interface of a
 * runner; /standin/v1/ serves the event record and accepts faults to inject.
 * All methods run in fibers of one thread.
 */
class Engine {
 public:
  Engine(const gen::EngineProgramSettings &settings, EventRecord *record);

  /** Handles a request for any path, including /standin/v1/. */
  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);

  /** Handles a request below /standin/v1/. @return whether it was one */
  bool HandleStandin(const net::HttpRequest &request,
                     net::HttpExchange &exchange);

  /** @return the announcement without its "state". */
  boost::json::object MakeAnnouncement(const net::Endpoint &address);

  /** Sets a function to call whenever the announced content changes. */
  void SetOnChange(std::function<void()> on_change) {
    m_on_change = std::move(on_change);
  }

  /** Samples the load and begins slow periods until BeginStop. */
  void RunTimers();

  /** Ends RunTimers and injected stalls. */
  void BeginStop() { m_stopped = true; }

  /** @return whether a fault suppresses the announcement of leaving. */
  bool IsSilentLeave() const { return m_faults.m_silent_leave; }

  /** Waits until all loads in progress have ended. */
  void WaitForLoads();

 private:
  void HandleCompletion(const net::HttpRequest &request, bool is_chat,
                        net::HttpExchange &exchange);
  void HandleCancel(const net::HttpRequest &request,
                    net::HttpExchange &exchange);
  void HandleOrder(const net::HttpRequest &request,
                   net::HttpExchange &exchange);
  void HandleState(net::HttpExchange &exchange);
  void HandleEvents(const net::HttpRequest &request,
                    net::HttpExchange &exchange);
  void HandleFault(const net::HttpRequest &request,
                   net::HttpExchange &exchange);
  void HandleRecord(net::HttpExchange &exchange);

  bool WaitForSlot(EngineJob *job);
  void ReleaseSlot(EngineJob *job);
  const char *RunJob(EngineJob *job, net::HttpExchange &exchange);
  const char *Generate(EngineJob *job, net::HttpExchange &exchange,
                       std::string *text);
  static bool Flush(StreamBatch *batch, net::HttpExchange &exchange);
  bool IsFaultDue(int sent) const;
  bool ApplyStreamFaults(int sent, net::HttpExchange &exchange);
  int MapTokenIndex(int index, int count) const;
  void Prefill(const EngineJob &job);
  void CachePrefix(const EngineJob &job);
  base::Duration GetTokenTime() const;
  double GetSlowFactor() const;
  int CountCachedTokens(const EngineJob &job);
  void AddCacheEvent(const char *type, const std::string &target,
                     std::uint64_t block);

  void Preload();
  void StartLoad(const std::string &target, std::int64_t bytes);
  bool Load(const std::string &target, std::int64_t bytes);
  bool FetchFromStore(const std::string &target, std::int64_t bytes);
  void RecordUnloads(const std::vector<std::string> &targets);
  void SampleLoad();
  void NotifyChange();

  gen::EngineProgramSettings m_settings;
  EventRecord *m_record;
  std::uint64_t m_incarnation;
  Ledger m_ledger;
  EngineFaults m_faults;
  base::Random m_random;
  std::deque<EngineJob *> m_waiting;  ///< for a slot, in order of arrival
  std::unordered_multimap<std::string, EngineJob *> m_jobs;  ///< by request ID
  int m_running = 0;
  std::int64_t m_tokens_sent = 0;
  int m_loads_in_progress = 0;
  bool m_stopped = false;
  PrefixCache m_prefixes;
  std::deque<boost::json::object> m_events;  ///< cache events, oldest first
  std::uint64_t m_next_event = 1;
  std::deque<std::string> m_memory_cache;  ///< targets, oldest first
  std::deque<std::string> m_disk_cache;
  std::deque<LoadSample> m_load_samples;  ///< oldest first
  net::HttpClientPool m_clients;
  std::function<void()> m_on_change;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_load_ended;
};

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_ENGINE_BASE_H_
