/** @file policy.cpp Routing policies under benchmark: router and baselines. */

#include "bench/policy.h"

#include <algorithm>

namespace wasabiwind::bench {

namespace {

const base::DeploymentId kDeployment("service");
const base::TargetId kTarget("model@1");
constexpr std::size_t kQueueLimit = 512;

/** State of one entry host under a baseline. */
struct BaselineEntry {
  std::vector<int> m_in_flight;  ///< requests of this host, by runner
  std::deque<std::size_t> m_queue;
  std::size_t m_next_runner = 0;
  std::map<std::uint64_t, int> m_runner_by_attempt;
};

class BaselinePolicy : public Policy {
 public:
  explicit BaselinePolicy(Baseline baseline) : m_baseline(baseline) {}

  void Begin(Simulation *simulation) override {
    m_simulation = simulation;
    const Firm &firm = simulation->GetFirm();
    BaselineEntry entry;
    entry.m_in_flight.resize(static_cast<std::size_t>(firm.m_runners));
    m_entries.assign(static_cast<std::size_t>(firm.m_entries), entry);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      m_entries[i].m_next_runner = i * 2;
    }
  }

  void OnArrival(std::size_t request) override {
    int entry = m_simulation->GetRequest(request).m_entry;
    GetEntry(entry).m_queue.push_back(request);
    Dispatch(entry);
  }

  void OnFirstToken(const AttemptKey &) override {}
  void OnTokens(const AttemptKey &, std::uint32_t) override {}

  void OnFinished(const AttemptKey &key, std::uint32_t) override {
    BaselineEntry &entry = GetEntry(key.m_entry);
    auto found = entry.m_runner_by_attempt.find(key.m_attempt);
    --entry.m_in_flight[static_cast<std::size_t>(found->second)];
    entry.m_runner_by_attempt.erase(found);
    Dispatch(key.m_entry);
  }

  void Tick() override {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      std::erase_if(m_entries[i].m_queue, [this](std::size_t request) {
        bool is_late =
            m_simulation->Now() >= m_simulation->GetRequest(request).m_deadline;
        if (is_late) m_simulation->Refuse(request);
        return is_late;
      });
    }
  }

  void OnLoadReport(int, int, int, int, base::Duration) override {}

 private:
  BaselineEntry &GetEntry(int entry) {
    return m_entries[static_cast<std::size_t>(entry)];
  }

  int ChooseRunner(BaselineEntry *entry) {
    std::size_t count = entry->m_in_flight.size();
    if (m_baseline == Baseline::kRoundRobin) {
      return static_cast<int>(entry->m_next_runner++ % count);
    }
    // Break ties in turn, so that hosts choose different runners.
    std::size_t first = entry->m_next_runner++;
    std::size_t best = first % count;
    for (std::size_t i = 0; i < count; ++i) {
      std::size_t runner = (first + i) % count;
      if (entry->m_in_flight[runner] < entry->m_in_flight[best]) best = runner;
    }
    return static_cast<int>(best);
  }

  bool HasSlot(int entry, int runner) {
    if (m_baseline != Baseline::kFifoQueue) return true;
    const Firm &firm = m_simulation->GetFirm();
    // Each entry host owns a share of the slots; some hosts get the remainder.
    int share = (firm.m_engine.m_slots + (entry + runner) % firm.m_entries) /
                firm.m_entries;
    return GetEntry(entry).m_in_flight[static_cast<std::size_t>(runner)] <
           std::max(1, share);
  }

  void Dispatch(int number) {
    BaselineEntry &entry = GetEntry(number);
    while (!entry.m_queue.empty()) {
      int runner = ChooseRunner(&entry);
      if (!HasSlot(number, runner)) {
        runner = FindRunnerWithSlot(number);
        if (runner < 0) return;
      }
      std::size_t request = entry.m_queue.front();
      entry.m_queue.pop_front();
      AttemptKey key{number, ++m_last_attempt};
      ++entry.m_in_flight[static_cast<std::size_t>(runner)];
      entry.m_runner_by_attempt[key.m_attempt] = runner;
      m_simulation->Start(key, request, runner, 0);
    }
  }

  int FindRunnerWithSlot(int entry) {
    for (int runner = 0; runner < m_simulation->GetFirm().m_runners; ++runner) {
      if (HasSlot(entry, runner)) return runner;
    }
    return -1;
  }

  Baseline m_baseline;
  Simulation *m_simulation = nullptr;
  std::vector<BaselineEntry> m_entries;
  std::uint64_t m_last_attempt = 0;
};

class RouterPolicy : public Policy {
 public:
  RouterPolicy(const route::RouterOptions &options, std::uint64_t seed)
      : m_options(options), m_seed(seed) {}

  void Begin(Simulation *simulation) override {
    m_simulation = simulation;
    const Firm &firm = simulation->GetFirm();
    for (int entry = 0; entry < firm.m_entries; ++entry) {
      m_routers.push_back(route::MakeRouter(
          m_options, m_seed + static_cast<std::uint64_t>(entry)));
      route::Router *router = &m_routers.back();
      route::SetNodeShare(router, static_cast<std::size_t>(entry),
                          static_cast<std::size_t>(firm.m_entries));
      route::PoolOptions pool;
      pool.m_queue_limit = kQueueLimit;
      pool.m_max_wait = std::chrono::minutes(5);
      route::SetPoolOptions(router, kDeployment, pool);
      route::Decisions decisions;
      for (int runner = 0; runner < firm.m_runners; ++runner) {
        route::UpstreamInfo info;
        info.m_upstream = base::UpstreamId(std::to_string(runner));
        info.m_incarnation = base::Incarnation(1);
        info.m_slots = firm.m_engine.m_slots;
        info.m_loaded = {kTarget};
        route::OnUpstream(router, info, simulation->Now(), &decisions);
      }
    }
  }

  void OnArrival(std::size_t index) override {
    const SimRequest &request = m_simulation->GetRequest(index);
    const RequestKind &kind = m_simulation->GetKind(index);
    route::RequestInfo info;
    info.m_request = route::RequestNumber(index);
    info.m_deployment = kDeployment;
    info.m_target = kTarget;
    info.m_customer =
        base::CustomerId(kind.m_name + std::to_string(request.m_customer));
    info.m_class = kind.m_class;
    info.m_prompt_bytes = static_cast<std::uint32_t>(request.m_prompt_bytes);
    info.m_max_tokens = kind.m_max_tokens;
    info.m_is_repeatable = true;
    info.m_may_resume = true;
    info.m_deadline = request.m_deadline;
    route::AdmitRequest(GetRouter(request.m_entry), info, m_simulation->Now(),
                        &m_decisions);
    ApplyDecisions(request.m_entry);
  }

  void OnFirstToken(const AttemptKey &key) override {
    route::OnFirstToken(GetRouter(key.m_entry),
                        route::AttemptNumber(key.m_attempt),
                        m_simulation->Now(), &m_decisions);
    ApplyDecisions(key.m_entry);
  }

  void OnTokens(const AttemptKey &key, std::uint32_t tokens) override {
    route::OnTokens(GetRouter(key.m_entry), route::AttemptNumber(key.m_attempt),
                    tokens, m_simulation->Now(), &m_decisions);
    ApplyDecisions(key.m_entry);
  }

  void OnFinished(const AttemptKey &key, std::uint32_t tokens) override {
    route::OnFinished(GetRouter(key.m_entry),
                      route::AttemptNumber(key.m_attempt), tokens,
                      m_simulation->Now(), &m_decisions);
    ApplyDecisions(key.m_entry);
  }

  void Tick() override {
    for (std::size_t entry = 0; entry < m_routers.size(); ++entry) {
      route::OnTimer(&m_routers[entry], m_simulation->Now(), &m_decisions);
      ApplyDecisions(static_cast<int>(entry));
    }
  }

  void OnLoadReport(int entry, int runner, int running, int waiting,
                    base::Duration age) override {
    route::OnUpstreamLoad(GetRouter(entry),
                          base::UpstreamId(std::to_string(runner)),
                          {running, waiting, age}, m_simulation->Now());
  }

 private:
  route::Router *GetRouter(int entry) {
    return &m_routers[static_cast<std::size_t>(entry)];
  }

  void ApplyDecisions(int entry) {
    route::Decisions decisions = std::move(m_decisions);
    m_decisions = {};
    for (const route::CancelDecision &cancel : decisions.m_cancels) {
      m_simulation->Cancel({entry, cancel.m_attempt.Value()});
    }
    for (const route::RefuseDecision &refusal : decisions.m_refusals) {
      m_simulation->Refuse(refusal.m_request.Value());
    }
    for (const route::StartDecision &start : decisions.m_starts) {
      m_simulation->Start(
          {entry, start.m_attempt.Value()}, start.m_request.Value(),
          std::stoi(start.m_upstream.Value()), start.m_resume_token);
    }
  }

  route::RouterOptions m_options;
  std::uint64_t m_seed;
  Simulation *m_simulation = nullptr;
  std::vector<route::Router> m_routers;
  route::Decisions m_decisions;
};

}  // namespace

std::unique_ptr<Policy> MakeBaseline(Baseline baseline) {
  return std::make_unique<BaselinePolicy>(baseline);
}

std::unique_ptr<Policy> MakeRouterPolicy(const route::RouterOptions &options,
                                         std::uint64_t seed) {
  return std::make_unique<RouterPolicy>(options, seed);
}

}  // namespace wasabiwind::bench
