/** @file simulation.cpp Discrete-event simulation of routing and engines. */

#include "bench/simulation.h"

#include <algorithm>

namespace wasabiwind::bench {

namespace {

constexpr Seconds kTickInterval{0.02};
constexpr Seconds kProgressInterval{0.05};
constexpr Seconds kLoadReportInterval{1};
/** Added to the interval for the age of a load report on delivery. */
constexpr Seconds kLoadReportAge{0.5};
/** One-way delay between entry host and runner. */
constexpr Seconds kNetworkDelay{0.000'5};

}  // namespace

Simulation::Simulation(const Firm &firm, std::vector<SimRequest> requests,
                       SlowFactor slow_factor)
    : m_firm(firm),
      m_requests(std::move(requests)),
      m_results(m_requests.size()),
      m_slow_factor(std::move(slow_factor)),
      m_runners(static_cast<std::size_t>(firm.m_runners)),
      m_unfinished_requests(m_requests.size()) {}

void Simulation::Push(Seconds delay, EventKind kind, std::size_t index,
                      const AttemptKey &key) {
  m_events.push(
      {m_now + route::ToDuration(delay), ++m_sequence, kind, index, key});
}

double Simulation::GetSlowFactor(int runner) const {
  return m_slow_factor(runner, m_now.time_since_epoch());
}

void Simulation::Run(Policy *policy) {
  policy->Begin(this);
  Push(kTickInterval, EventKind::kTick, 0, {});
  Push(kLoadReportInterval, EventKind::kLoadReport, 0, {});
  std::size_t next = 0;
  while (m_unfinished_requests > 0) {
    bool is_arrival = next < m_requests.size() &&
                      m_requests[next].m_arrival <= m_events.top().m_time;
    if (is_arrival) {
      m_now = m_requests[next].m_arrival;
      policy->OnArrival(next);
      ++next;
      continue;
    }
    Event event = m_events.top();
    m_events.pop();
    m_now = event.m_time;
    Handle(event, policy);
  }
}

void Simulation::Handle(const Event &event, Policy *policy) {
  switch (event.m_kind) {
    case EventKind::kTick:
      policy->Tick();
      Push(kTickInterval, EventKind::kTick, 0, {});
      break;
    case EventKind::kLoadReport:
      DeliverLoadReports(policy);
      Push(kLoadReportInterval, EventKind::kLoadReport, 0, {});
      break;
    case EventKind::kFirstToken: {
      auto found = m_streams.find(event.m_key);
      if (found == m_streams.end()) return;
      found->second.m_progress_at = m_now;
      found->second.m_tokens += 1;
      policy->OnFirstToken(event.m_key);
      Push(kProgressInterval, EventKind::kProgress, 0, event.m_key);
      break;
    }
    case EventKind::kProgress:
      Progress(event.m_key, policy);
      break;
    case EventKind::kArrival:
      break;
  }
}

void Simulation::DeliverLoadReports(Policy *policy) {
  for (std::size_t i = 0; i < m_runners.size(); ++i) {
    Runner &runner = m_runners[i];
    runner.m_load_reports.emplace_back(
        runner.m_running, static_cast<int>(runner.m_waiting.size()));
    if (runner.m_load_reports.size() < 2) continue;
    auto [running, waiting] = runner.m_load_reports.front();
    runner.m_load_reports.pop_front();
    int entry = static_cast<int>(i) % m_firm.m_entries;
    policy->OnLoadReport(
        entry, static_cast<int>(i), running, waiting,
        route::ToDuration(kLoadReportInterval + kLoadReportAge));
  }
}

void Simulation::Start(const AttemptKey &key, std::size_t request, int runner,
                       std::uint32_t skip_tokens) {
  Stream stream;
  stream.m_request = request;
  stream.m_runner = runner;
  stream.m_tokens = skip_tokens;
  Stream *stored = &m_streams.emplace(key, stream).first->second;
  Runner &engine = m_runners[static_cast<std::size_t>(runner)];
  if (engine.m_running < m_firm.m_engine.m_slots) {
    BeginStream(key, stored);
  } else {
    engine.m_waiting.push_back(key);
  }
}

void Simulation::BeginStream(const AttemptKey &key, Stream *stream) {
  ++m_runners[static_cast<std::size_t>(stream->m_runner)].m_running;
  stream->m_is_running = true;
  const EngineParameters &engine = m_firm.m_engine;
  Seconds prefill =
      engine.m_prefill_base +
      engine.m_prefill_per_byte * m_requests[stream->m_request].m_prompt_bytes;
  Push(prefill * GetSlowFactor(stream->m_runner) + kNetworkDelay * 2,
       EventKind::kFirstToken, 0, key);
}

void Simulation::Progress(const AttemptKey &key, Policy *policy) {
  auto found = m_streams.find(key);
  if (found == m_streams.end()) return;
  Stream &stream = found->second;
  const EngineParameters &engine = m_firm.m_engine;
  const Runner &runner = m_runners[static_cast<std::size_t>(stream.m_runner)];
  double fill = static_cast<double>(runner.m_running) / engine.m_slots;
  Seconds token_time = engine.m_token_time *
                       (1 + engine.m_batch_slowdown * fill) *
                       GetSlowFactor(stream.m_runner);
  Seconds elapsed = m_now - stream.m_progress_at;
  stream.m_progress_at = m_now;
  stream.m_tokens += elapsed / token_time;
  std::size_t request = stream.m_request;
  std::uint32_t output = m_requests[request].m_output_tokens;
  auto tokens = std::min(output, static_cast<std::uint32_t>(stream.m_tokens));
  if (tokens < output) {
    Seconds rest = token_time * (output - stream.m_tokens);
    Push(std::min(kProgressInterval, rest + Seconds(1e-6)),
         EventKind::kProgress, 0, key);
    policy->OnTokens(key, tokens);
    return;
  }
  EndStream(key);
  RequestResult &result = m_results[request];
  if (!result.m_is_finished && !result.m_is_refused) {
    result.m_is_finished = true;
    result.m_finished_at = m_now;
    --m_unfinished_requests;
  }
  policy->OnFinished(key, tokens);
}

void Simulation::EndStream(const AttemptKey &key) {
  auto found = m_streams.find(key);
  Stream stream = found->second;
  m_streams.erase(found);
  Runner &runner = m_runners[static_cast<std::size_t>(stream.m_runner)];
  if (!stream.m_is_running) {
    std::erase(runner.m_waiting, key);
    return;
  }
  --runner.m_running;
  if (runner.m_waiting.empty()) return;
  AttemptKey next = runner.m_waiting.front();
  runner.m_waiting.pop_front();
  BeginStream(next, &m_streams.find(next)->second);
}

void Simulation::Cancel(const AttemptKey &key) {
  if (m_streams.contains(key)) EndStream(key);
}

void Simulation::Refuse(std::size_t request) {
  RequestResult &result = m_results[request];
  if (result.m_is_finished || result.m_is_refused) return;
  result.m_is_refused = true;
  result.m_finished_at = m_now;
  --m_unfinished_requests;
}

}  // namespace wasabiwind::bench
