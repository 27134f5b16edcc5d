/** @file workload.cpp Fleet sizes and request mixes of two firms. */

#include "bench/workload.h"

#include <algorithm>
#include <cmath>

#include "base/random_func.h"

namespace wasabiwind::bench {

namespace {

using route::PriorityClass;

/** Bounds of a random size, relative to its mean. */
constexpr double kMinSizeFactor = 0.5;
constexpr double kMaxSizeFactor = 1.5;

double ChooseSize(base::Random *random, double mean) {
  double unit = base::NextRandomUnit(random);
  return mean * (kMinSizeFactor + unit * (kMaxSizeFactor - kMinSizeFactor));
}

std::size_t ChooseKind(const Firm &firm, base::Random *random) {
  double position = base::NextRandomUnit(random);
  for (std::size_t i = 0; i + 1 < firm.m_kinds.size(); ++i) {
    if (position < firm.m_kinds[i].m_share) return i;
    position -= firm.m_kinds[i].m_share;
  }
  return firm.m_kinds.size() - 1;
}

Firm MakeKathiyawad() {
  Firm firm;
  firm.m_name = "kathiyawad";
  firm.m_entries = 6;
  firm.m_models = 60;
  firm.m_store_loads_per_s = 3;
  firm.m_kinds = {
      {"chat", 0.72, PriorityClass::kInteractive, 800, 60, 256, Seconds(30),
       true, 40},
      {"summary", 0.20, PriorityClass::kBatch, 6'000, 150, 512, Seconds(60),
       false, 4},
      {"plan", 0.08, PriorityClass::kStandard, 3'000, 1'800, 4'096,
       Seconds(120), false, 8},
  };
  return firm;
}

Firm MakeSpillsack() {
  Firm firm;
  firm.m_name = "spillsack";
  firm.m_entries = 9;
  firm.m_models = 40;
  firm.m_store_loads_per_s = 4;
  firm.m_kinds = {
      {"lot", 0.60, PriorityClass::kInteractive, 600, 50, 128, Seconds(30),
       true, 30},
      {"bundle", 0.30, PriorityClass::kStandard, 24'000, 220, 512, Seconds(30),
       false, 20},
      {"sorting", 0.10, PriorityClass::kStandard, 40'000, 1'200, 2'048,
       Seconds(90), false, 6},
  };
  return firm;
}

}  // namespace

std::vector<Firm> MakeFirms() { return {MakeKathiyawad(), MakeSpillsack()}; }

Seconds ComputeServiceTime(const EngineParameters &engine, double prompt_bytes,
                           double output_tokens) {
  Seconds prefill =
      engine.m_prefill_base + engine.m_prefill_per_byte * prompt_bytes;
  Seconds token = engine.m_token_time * (1 + engine.m_batch_slowdown);
  return prefill + token * (output_tokens - 1);
}

double ComputeCapacity(const Firm &firm) {
  Seconds mean(0);
  for (const RequestKind &kind : firm.m_kinds) {
    mean +=
        kind.m_share * ComputeServiceTime(firm.m_engine, kind.m_prompt_bytes,
                                          kind.m_output_tokens);
  }
  return firm.m_runners * firm.m_engine.m_slots / mean.count();
}

std::vector<SimRequest> MakeArrivals(const Firm &firm,
                                     const std::function<double(Seconds)> &load,
                                     Seconds duration, std::uint64_t seed) {
  base::Random random{seed};
  double capacity = ComputeCapacity(firm);
  std::vector<SimRequest> requests;
  Seconds time(0);
  while (true) {
    double rate = std::max(1e-3, load(time) * capacity);
    time += Seconds(base::NextRandomExponential(&random, 1 / rate));
    if (time >= duration) return requests;
    SimRequest request;
    request.m_kind = ChooseKind(firm, &random);
    const RequestKind &kind = firm.m_kinds[request.m_kind];
    request.m_arrival = base::TimePoint(route::ToDuration(time));
    request.m_deadline = request.m_arrival + route::ToDuration(kind.m_deadline);
    request.m_customer = static_cast<int>(base::NextRandomBelow(
        &random, static_cast<std::uint64_t>(kind.m_customers)));
    request.m_entry = static_cast<int>(base::NextRandomBelow(
        &random, static_cast<std::uint64_t>(firm.m_entries)));
    request.m_prompt_bytes = ChooseSize(&random, kind.m_prompt_bytes);
    request.m_output_tokens = static_cast<std::uint32_t>(
        std::lround(std::max(1.0, ChooseSize(&random, kind.m_output_tokens))));
    requests.push_back(request);
  }
}

}  // namespace wasabiwind::bench
