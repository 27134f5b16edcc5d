/** @file schedule.cpp Sending times and content of requests. */

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numbers>
#include <sstream>

#include "load/schedule_func.h"
#include "standin/json_func.h"

namespace wasabiwind::load {

namespace {

using Seconds = std::chrono::duration<double>;

base::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<base::Duration>(Seconds(seconds));
}

int PickBetween(base::Random *random, int low, int high) {
  if (high <= low) return low;
  return low + static_cast<int>(base::NextRandomBelow(
                   random, static_cast<std::uint64_t>(high - low) + 1));
}

/** @return the rate; a swing rises from m_rate to its peak and falls again. */
double GetRate(const ScheduleOptions &options, double time) {
  if (options.m_arrival != ArrivalKind::kSwing) return options.m_rate;
  double length = Seconds(options.m_duration).count();
  double peak_weight =
      0.5 - 0.5 * std::cos(2.0 * std::numbers::pi * time / length);
  return options.m_rate * (1.0 + (options.m_swing_peak - 1.0) * peak_weight);
}

/** Adds the times of a Poisson process whose rate may vary: draws times at the
 * highest rate and keeps each with the probability rate / highest rate. */
void AddPoissonTimes(const ScheduleOptions &options, base::Random *random,
                     std::vector<base::Duration> *times) {
  bool is_swing = options.m_arrival == ArrivalKind::kSwing;
  double highest =
      options.m_rate * (is_swing ? std::max(1.0, options.m_swing_peak) : 1.0);
  double end = Seconds(options.m_duration).count();
  double time = 0.0;
  while (times->size() < options.m_max_requests) {
    time += base::NextRandomExponential(random, 1.0 / highest);
    if (time >= end) return;
    double accepted = GetRate(options, time) / highest;
    if (base::NextRandomUnit(random) < accepted) {
      times->push_back(ToDuration(time));
    }
  }
}

void AddUniformTimes(const ScheduleOptions &options,
                     std::vector<base::Duration> *times) {
  double end = Seconds(options.m_duration).count();
  for (std::size_t i = 0; times->size() < options.m_max_requests; ++i) {
    double time = static_cast<double>(i) / options.m_rate;
    if (time >= end) return;
    times->push_back(ToDuration(time));
  }
}

void AddBurstTimes(const ScheduleOptions &options,
                   std::vector<base::Duration> *times) {
  if (options.m_burst_interval <= base::Duration::zero()) return;
  for (base::Duration time = options.m_burst_interval;
       time < options.m_duration; time += options.m_burst_interval) {
    for (int i = 0; i < options.m_burst_size; ++i) {
      if (times->size() >= options.m_max_requests) return;
      times->push_back(time);
    }
  }
}

std::vector<base::Duration> MakeTimes(const ScheduleOptions &options,
                                      base::Random *random) {
  std::vector<base::Duration> times;
  if (options.m_rate > 0.0) {
    if (options.m_arrival == ArrivalKind::kUniform) {
      AddUniformTimes(options, &times);
    } else {
      AddPoissonTimes(options, random, &times);
    }
  }
  if (options.m_arrival == ArrivalKind::kBursts) {
    AddBurstTimes(options, &times);
  }
  std::sort(times.begin(), times.end());
  return times;
}

/** @return a prompt of about this many bytes that starts with the ID. */
std::string MakePrompt(base::Random *random, const std::string &id, int bytes) {
  std::string prompt = id + ":";
  while (prompt.size() < static_cast<std::size_t>(bytes)) {
    prompt += fmt::format(" w{:03x}", base::NextRandomBelow(random, 4096));
  }
  return prompt;
}

std::string MakeRequestId(const ScheduleOptions &options, std::size_t number) {
  return fmt::format("{}-{:x}-{}", options.m_id_prefix, options.m_seed, number);
}

void FillCompletion(const ScheduleOptions &options, base::Random *random,
                    PlannedRequest *request) {
  request->m_kind = RequestKind::kCompletion;
  if (!options.m_models.empty()) {
    request->m_model = options.m_models[PickZipf(
        random, options.m_models.size(), options.m_skew)];
  }
  request->m_is_long = base::NextRandomUnit(random) < options.m_long_share;
  request->m_is_stream = base::NextRandomUnit(random) < options.m_stream_share;
  const SizeRange &range =
      request->m_is_long ? options.m_long : options.m_short;
  request->m_max_tokens =
      PickBetween(random, range.m_min_tokens, range.m_max_tokens);
  request->m_prompt = MakePrompt(
      random, request->m_id,
      PickBetween(random, range.m_min_prompt_bytes, range.m_max_prompt_bytes));
}

void FillOrder(const ScheduleOptions &options, base::Random *random,
               PlannedRequest *request) {
  request->m_kind = RequestKind::kOrder;
  request->m_service = options.m_service;
  request->m_send_twice = base::NextRandomUnit(random) < options.m_resend_share;
}

}  // namespace

base::Result<ArrivalKind> ParseArrivalKind(const std::string &name) {
  if (name == "poisson") return ArrivalKind::kPoisson;
  if (name == "uniform") return ArrivalKind::kUniform;
  if (name == "bursts") return ArrivalKind::kBursts;
  if (name == "swing") return ArrivalKind::kSwing;
  return base::MakeError(base::ErrorKind::kInvalidArgument,
                         fmt::format("unknown kind of arrival \"{}\"", name),
                         "use poisson, uniform, bursts or swing");
}

std::size_t PickZipf(base::Random *random, std::size_t count, double skew) {
  assert(count > 0);
  double total = 0.0;
  for (std::size_t i = 0; i < count; ++i) {
    total += std::pow(static_cast<double>(i + 1), -skew);
  }
  double rest = base::NextRandomUnit(random) * total;
  for (std::size_t i = 0; i + 1 < count; ++i) {
    rest -= std::pow(static_cast<double>(i + 1), -skew);
    if (rest < 0.0) return i;
  }
  return count - 1;
}

std::vector<PlannedRequest> MakeSchedule(const ScheduleOptions &options) {
  base::Random random{options.m_seed};
  std::vector<PlannedRequest> schedule;
  for (base::Duration time : MakeTimes(options, &random)) {
    PlannedRequest request;
    request.m_offset = time;
    request.m_id = MakeRequestId(options, schedule.size());
    if (!options.m_customers.empty()) {
      request.m_customer = options.m_customers[base::NextRandomBelow(
          &random, options.m_customers.size())];
    }
    if (base::NextRandomUnit(&random) < options.m_order_share) {
      FillOrder(options, &random, &request);
    } else {
      FillCompletion(options, &random, &request);
    }
    schedule.push_back(std::move(request));
  }
  return schedule;
}

base::Result<std::vector<PlannedRequest>> ParseReplay(
    const std::string &text, const ScheduleOptions &options) {
  base::Random random{options.m_seed};
  std::vector<PlannedRequest> schedule;
  std::istringstream lines(text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty()) continue;
    if (schedule.size() >= options.m_max_requests) break;
    base::Result<boost::json::object> body = standin::ParseObject(line);
    std::string kind =
        body ? standin::GetString(*body, "kind", "completion") : "";
    std::int64_t offset =
        body ? standin::GetInteger(*body, "offset_ms", -1) : -1;
    if (offset < 0 || (kind != "completion" && kind != "order")) {
      return base::MakeError(
          base::ErrorKind::kInvalidArgument,
          fmt::format("replay line {} is not valid", number),
          "write a JSON object with offset_ms and kind completion or order");
    }
    PlannedRequest request;
    request.m_offset = base::milliseconds(offset);
    request.m_id = MakeRequestId(options, schedule.size());
    request.m_customer = standin::GetString(*body, "customer");
    request.m_priority = standin::GetString(*body, "priority");
    if (kind == "order") {
      request.m_kind = RequestKind::kOrder;
      request.m_service =
          standin::GetString(*body, "service", options.m_service);
    } else {
      request.m_model = standin::GetString(*body, "model");
      request.m_max_tokens = static_cast<int>(std::clamp<std::int64_t>(
          standin::GetInteger(*body, "max_tokens", 16), 1, 1'000'000));
      request.m_is_stream = standin::GetBool(*body, "stream", true);
      request.m_prompt = MakePrompt(
          &random, request.m_id,
          static_cast<int>(std::clamp<std::int64_t>(
              standin::GetInteger(*body, "prompt_bytes", 100), 1, 1'000'000)));
    }
    schedule.push_back(std::move(request));
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const PlannedRequest &a, const PlannedRequest &b) {
                     return a.m_offset < b.m_offset;
                   });
  return schedule;
}

}  // namespace wasabiwind::load
