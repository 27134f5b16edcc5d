/** @file engine_load.cpp Model loads, load samples and slow periods. */

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdlib>
#include <mutex>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"
#include "standin/engine_base.h"

namespace wasabiwind::standin {

namespace json = boost::json;

namespace {

constexpr base::milliseconds kTimerInterval{20};
constexpr int kCrashExitCode = 137;

void AddToCache(std::deque<std::string> *cache, const std::string &target,
                int limit) {
  std::erase(*cache, target);
  cache->push_back(target);
  while (cache->size() > static_cast<std::size_t>(limit)) cache->pop_front();
}

bool IsCached(const std::deque<std::string> &cache, const std::string &target) {
  return std::find(cache.begin(), cache.end(), target) != cache.end();
}

}  // namespace

Engine::Engine(const gen::EngineProgramSettings &settings, EventRecord *record)
    : m_settings(settings),
      m_record(record),
      m_incarnation(MakeIncarnation(settings.upstream())) {
  std::int64_t seed = settings.upstream().seed();
  m_random.m_state =
      seed == 0 ? base::MakeSeed() : static_cast<std::uint64_t>(seed);
  m_ledger.m_options.m_memory_bytes = settings.engine().memory_bytes();
  m_ledger.m_options.m_check_fences = settings.engine().fencing() == "checked";
  m_memory_cache.assign(settings.engine().cached_memory().begin(),
                        settings.engine().cached_memory().end());
  m_disk_cache.assign(settings.engine().cached_disk().begin(),
                      settings.engine().cached_disk().end());
  base::LogEvent(base::LogLevel::kInfo, "engine_started",
                 {{"incarnation", m_incarnation}, {"seed", m_random.m_state}});
  m_record->Add("start", {{"upstream", settings.node().name()},
                          {"incarnation", m_incarnation},
                          {"memory_bytes", settings.engine().memory_bytes()}});
  Preload();
  SampleLoad();
}

/** Loads the targets of the setting `preload` without delay. */
void Engine::Preload() {
  for (const std::string &item : m_settings.engine().preload()) {
    std::size_t colon = item.rfind(':');
    std::int64_t bytes = 0;
    if (colon != std::string::npos) {
      std::from_chars(item.data() + colon + 1, item.data() + item.size(),
                      bytes);
    }
    Order order;
    order.m_target = item.substr(0, colon);
    order.m_order_id = "preload-" + order.m_target;
    order.m_action = OrderAction::kLoad;
    order.m_bytes = bytes;
    OrderEffect effect = ApplyOrder(&m_ledger, order);
    if (!effect.m_start_load) {
      base::LogEvent(base::LogLevel::kError, "preload_refused",
                     {{"target", order.m_target},
                      {"reason", GetOrderResultName(effect.m_result)}});
      continue;
    }
    m_record->Add("load_begin", {{"target", order.m_target},
                                 {"bytes", bytes},
                                 {"used_bytes", GetUsedBytes(m_ledger)}});
    FinishLoad(&m_ledger, order.m_target, /*success=*/true);
    m_record->Add("load_end", {{"target", order.m_target}, {"ok", true}});
  }
}

void Engine::StartLoad(const std::string &target, std::int64_t bytes) {
  m_record->Add("load_begin", {{"target", target},
                               {"bytes", bytes},
                               {"used_bytes", GetUsedBytes(m_ledger)}});
  ++m_loads_in_progress;
  boost::fibers::fiber([this, target, bytes] {
    bool success = Load(target, bytes);
    m_record->Add("load_end", {{"target", target}, {"ok", success}});
    RecordUnloads(FinishLoad(&m_ledger, target, success));
    NotifyChange();
    --m_loads_in_progress;
    m_load_ended.notify_all();
  }).detach();
}

/** Waits for the simulated load time. @return whether the load succeeded */
bool Engine::Load(const std::string &target, std::int64_t bytes) {
  const gen::EngineSettings &settings = m_settings.engine();
  base::milliseconds time{settings.remote_load_ms()};
  bool use_store = false;
  if (IsCached(m_memory_cache, target)) {
    time = base::milliseconds(settings.memory_load_ms());
  } else if (IsCached(m_disk_cache, target)) {
    time = base::milliseconds(settings.disk_load_ms());
  } else if (!settings.weight_store().empty()) {
    use_store = true;
    time = base::milliseconds(settings.memory_load_ms());
  }
  if (m_faults.m_crash_in_load) {
    net::SleepFor(time / 2);
    std::_Exit(kCrashExitCode);
  }
  if (use_store && !FetchFromStore(target, bytes)) return false;
  net::SleepFor(std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(time.count()) * GetSlowFactor())));
  if (m_faults.m_fail_loads > 0) {
    --m_faults.m_fail_loads;
    return false;
  }
  AddToCache(&m_disk_cache, target, settings.cache_entries());
  return true;
}

bool Engine::FetchFromStore(const std::string &target, std::int64_t bytes) {
  base::Result<net::Endpoint> store =
      net::ParseEndpoint(m_settings.engine().weight_store());
  if (!store) return false;
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/fetch";
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = json::serialize(json::object{
      {"target", target},
      {"bytes", bytes},
      {"kind", GetModelOfAdapter(target).empty() ? "model" : "adapter"}});
  base::TimePoint deadline =
      base::Clock::now() +
      base::milliseconds(m_settings.engine().fetch_timeout_ms());
  base::Result<net::HttpResponse> answer =
      m_clients.Fetch(*store, request, deadline);
  if (answer && answer->m_status == 200) return true;
  base::LogEvent(base::LogLevel::kWarn, "fetch_failed",
                 {{"target", target},
                  {"error", answer ? std::to_string(answer->m_status)
                                   : answer.error().ToString()}});
  return false;
}

void Engine::RecordUnloads(const std::vector<std::string> &targets) {
  for (const std::string &target : targets) {
    m_record->Add("unload",
                  {{"target", target}, {"used_bytes", GetUsedBytes(m_ledger)}});
    AddToCache(&m_memory_cache, target, m_settings.engine().cache_entries());
  }
  if (!targets.empty()) NotifyChange();
}

/** Adds a load sample and drops those older than the announced one. */
void Engine::SampleLoad() {
  base::TimePoint now = base::Clock::now();
  base::milliseconds lag(m_settings.upstream().report_lag_ms());
  LoadSample sample;
  sample.m_time = now;
  sample.m_running = m_running;
  sample.m_waiting = static_cast<int>(m_waiting.size());
  sample.m_kv_used =
      static_cast<double>(m_running) / m_settings.engine().slots();
  m_load_samples.push_back(sample);
  // Afterwards the front is the newest sample at least as old as the lag.
  while (m_load_samples.size() > 1 && m_load_samples[1].m_time <= now - lag) {
    m_load_samples.pop_front();
  }
}

void Engine::RunTimers() {
  double mean_interval_ms =
      static_cast<double>(m_settings.engine().spell_every_ms());
  base::TimePoint next_slow_period = base::TimePoint::max();
  auto plan_slow_period = [this, mean_interval_ms] {
    if (mean_interval_ms <= 0) return base::TimePoint::max();
    return base::Clock::now() +
           base::milliseconds(static_cast<std::int64_t>(
               base::NextRandomExponential(&m_random, mean_interval_ms)));
  };
  next_slow_period = plan_slow_period();
  while (!m_stopped) {
    net::SleepFor(kTimerInterval);
    SampleLoad();
    if (base::Clock::now() < next_slow_period) continue;
    m_faults.m_slow_factor = m_settings.engine().spell_factor();
    m_faults.m_slow_until =
        base::Clock::now() + base::milliseconds(m_settings.engine().spell_ms());
    next_slow_period = plan_slow_period();
  }
}

void Engine::WaitForLoads() {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_load_ended.wait(lock, [this] { return m_loads_in_progress == 0; });
}

void Engine::NotifyChange() {
  if (m_on_change) m_on_change();
}

}  // namespace wasabiwind::standin
