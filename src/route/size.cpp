/** @file size.cpp Estimates the size of requests. */

#include <algorithm>
#include <bit>
#include <cmath>

#include "route/size_func.h"

namespace wasabiwind::route {

namespace {

constexpr double kBytesPerToken = 4;
/** Engines process prompt tokens in parallel, far faster than output. */
constexpr double kPromptTokenCost = 0.02;
/** Fixed cost of a request, so that many tiny ones aren't free. */
constexpr double kRequestCost = 4;
/** Weight of a new sample in the moving means, once there are ten samples. */
constexpr double kLearningRate = 0.1;
/** With fewer samples the declared maximum is the better estimate. */
constexpr std::uint32_t kMinSamples = 8;
/** An answer that has exceeded its estimate is likely to grow further. */
constexpr double kOutgrownFactor = 1.5;
/** Bounds the memory of the history at about 4 MB. */
constexpr std::size_t kMaxHistories = 50'000;

/** Requests of one customer with very different token limits are of different
 * kinds. */
std::string MakeSizeGroup(const SizeInput &input) {
  int magnitude = std::bit_width(input.m_max_tokens) / 2;
  return input.m_deployment.Value() + '\n' + std::to_string(magnitude);
}

std::string MakeCustomerGroup(const SizeInput &input) {
  return MakeSizeGroup(input) + '\n' + input.m_customer.Value();
}

const SizeHistory *FindHistory(
    const absl::flat_hash_map<std::string, SizeHistory> &histories,
    const std::string &group) {
  auto found = histories.find(group);
  if (found == histories.end()) return nullptr;
  return found->second.m_samples >= kMinSamples ? &found->second : nullptr;
}

double ComputeCost(double prompt_tokens, double output_tokens) {
  return kRequestCost + prompt_tokens * kPromptTokenCost + output_tokens;
}

void AddSample(absl::flat_hash_map<std::string, SizeHistory> *histories,
               const std::string &group, double tokens) {
  if (histories->size() >= kMaxHistories && !histories->contains(group)) {
    histories->erase(histories->begin());
  }
  SizeHistory &history = (*histories)[group];
  if (history.m_samples == 0) history.m_mean_tokens = tokens;
  double rate = std::max(kLearningRate, 1.0 / (history.m_samples + 1));
  double difference = tokens - history.m_mean_tokens;
  history.m_mean_tokens += rate * difference;
  history.m_mean_deviation +=
      rate * (std::abs(difference) - history.m_mean_deviation);
  ++history.m_samples;
}

}  // namespace

SizeEstimate EstimateSize(const SizeModel &model, const SizeInput &input) {
  SizeEstimate estimate;
  estimate.m_prompt_tokens = input.m_prompt_bytes / kBytesPerToken;
  double maximum = std::max<double>(1, input.m_max_tokens);
  const SizeHistory *history =
      FindHistory(model.m_by_customer, MakeCustomerGroup(input));
  if (history == nullptr) {
    history = FindHistory(model.m_by_deployment, MakeSizeGroup(input));
  }
  estimate.m_output_tokens = maximum;
  if (history != nullptr) {
    double expected = history->m_mean_tokens + history->m_mean_deviation;
    estimate.m_output_tokens = std::clamp(expected, 1.0, maximum);
  }
  estimate.m_cost =
      ComputeCost(estimate.m_prompt_tokens, estimate.m_output_tokens);
  return estimate;
}

void RecordSize(SizeModel *model, const SizeInput &input,
                std::uint32_t output_tokens) {
  AddSample(&model->m_by_customer, MakeCustomerGroup(input), output_tokens);
  AddSample(&model->m_by_deployment, MakeSizeGroup(input), output_tokens);
}

SizeEstimate CorrectSize(const SizeEstimate &estimate, const SizeInput &input,
                         std::uint32_t delivered) {
  if (delivered < estimate.m_output_tokens) return estimate;
  SizeEstimate corrected = estimate;
  double maximum = std::max<double>(delivered, input.m_max_tokens);
  corrected.m_output_tokens = std::min(maximum, delivered * kOutgrownFactor);
  corrected.m_cost =
      ComputeCost(corrected.m_prompt_tokens, corrected.m_output_tokens);
  return corrected;
}

}  // namespace wasabiwind::route
