/** @file result.cpp Results of the requests of a run. */

#include "load/result_type.h"

namespace wasabiwind::load {

namespace json = boost::json;

namespace {

double ToMilliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void MergeCounts(std::map<std::string, std::uint64_t> *total,
                 const std::map<std::string, std::uint64_t> &other) {
  for (const auto &[name, count] : other) (*total)[name] += count;
}

json::object DescribeCounts(
    const std::map<std::string, std::uint64_t> &counts) {
  json::object object;
  for (const auto &[name, count] : counts) object[name] = count;
  return object;
}

}  // namespace

const char *GetOutcomeName(Outcome outcome) {
  constexpr std::array kNames = {"complete",       "refused",   "unknown",
                                 "explicit_error", "lost",      "not_connected",
                                 "no_answer",      "violation", "not_sent"};
  static_assert(kNames.size() == static_cast<std::size_t>(Outcome::kEnd));
  return kNames[static_cast<std::size_t>(outcome)];
}

void AddResult(LoadResult *total, const PlannedRequest &request,
               const RequestResult &result) {
  ++total->m_outcomes[static_cast<std::size_t>(result.m_outcome)];
  total->m_attempts += static_cast<std::uint64_t>(result.m_attempts);
  total->m_lost_attempts += static_cast<std::uint64_t>(result.m_lost_attempts);
  if (!result.m_address.empty()) ++total->m_addresses[result.m_address];
  AddDuration(&total->m_start_lag, result.m_start_lag);
  if (result.m_outcome == Outcome::kViolation) {
    ++total->m_violations[result.m_reason];
  } else if (!result.m_reason.empty()) {
    ++total->m_refusals[result.m_reason];
  }
  if (result.m_outcome != Outcome::kComplete) return;
  total->m_tokens += static_cast<std::uint64_t>(result.m_tokens);
  if (request.m_kind == RequestKind::kOrder) {
    AddDuration(&total->m_total_order, result.m_total);
    return;
  }
  AddDuration(request.m_is_long ? &total->m_total_long : &total->m_total_short,
              result.m_total);
  if (!request.m_is_stream) return;
  AddDuration(request.m_is_long ? &total->m_first_token_long
                                : &total->m_first_token_short,
              result.m_first_token);
}

void MergeResult(LoadResult *total, const LoadResult &other) {
  for (std::size_t i = 0; i < total->m_outcomes.size(); ++i) {
    total->m_outcomes[i] += other.m_outcomes[i];
  }
  MergeCounts(&total->m_refusals, other.m_refusals);
  MergeCounts(&total->m_violations, other.m_violations);
  MergeCounts(&total->m_addresses, other.m_addresses);
  total->m_planned += other.m_planned;
  total->m_attempts += other.m_attempts;
  total->m_lost_attempts += other.m_lost_attempts;
  total->m_tokens += other.m_tokens;
  MergeHistogram(&total->m_first_token_short, other.m_first_token_short);
  MergeHistogram(&total->m_first_token_long, other.m_first_token_long);
  MergeHistogram(&total->m_token_gap, other.m_token_gap);
  MergeHistogram(&total->m_total_short, other.m_total_short);
  MergeHistogram(&total->m_total_long, other.m_total_long);
  MergeHistogram(&total->m_total_order, other.m_total_order);
  MergeHistogram(&total->m_start_lag, other.m_start_lag);
  total->m_length = std::max(total->m_length, other.m_length);
}

json::object DescribeResult(const LoadResult &result) {
  json::object outcomes;
  for (std::size_t i = 0; i < result.m_outcomes.size(); ++i) {
    outcomes[GetOutcomeName(static_cast<Outcome>(i))] = result.m_outcomes[i];
  }
  double seconds = ToMilliseconds(result.m_length) / 1000.0;
  double complete = static_cast<double>(
      result.m_outcomes[static_cast<std::size_t>(Outcome::kComplete)]);
  double divisor = seconds > 0.0 ? seconds : 1.0;
  return {
      {"planned", result.m_planned},
      {"seconds", seconds},
      {"outcomes", std::move(outcomes)},
      {"refusals", DescribeCounts(result.m_refusals)},
      {"violations", DescribeCounts(result.m_violations)},
      {"addresses", DescribeCounts(result.m_addresses)},
      {"attempts", result.m_attempts},
      {"lost_attempts", result.m_lost_attempts},
      {"goodput_requests_per_s", complete / divisor},
      {"goodput_tokens_per_s", static_cast<double>(result.m_tokens) / divisor},
      {"first_token_short_ms", DescribeHistogram(result.m_first_token_short)},
      {"first_token_long_ms", DescribeHistogram(result.m_first_token_long)},
      {"token_gap_ms", DescribeHistogram(result.m_token_gap)},
      {"total_short_ms", DescribeHistogram(result.m_total_short)},
      {"total_long_ms", DescribeHistogram(result.m_total_long)},
      {"total_order_ms", DescribeHistogram(result.m_total_order)},
      {"start_lag_ms", DescribeHistogram(result.m_start_lag)}};
}

json::object DescribeRequest(const PlannedRequest &request,
                             const RequestResult &result) {
  return {
      {"id", request.m_id},
      {"kind", request.m_kind == RequestKind::kOrder ? "order" : "completion"},
      {"outcome", GetOutcomeName(result.m_outcome)},
      {"reason", result.m_reason},
      {"may_have_run", result.m_may_have_run},
      {"attempts", result.m_attempts},
      {"lost_attempts", result.m_lost_attempts},
      {"tokens", result.m_tokens},
      {"address", result.m_address},
      {"intended_ms", ToMilliseconds(request.m_offset)},
      {"first_token_ms", ToMilliseconds(result.m_first_token)},
      {"total_ms", ToMilliseconds(result.m_total)}};
}

}  // namespace wasabiwind::load
