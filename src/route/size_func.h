/** @file size_func.h Estimates the size of requests. */

#ifndef WASABIWIND_ROUTE_SIZE_FUNC_H_
#define WASABIWIND_ROUTE_SIZE_FUNC_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "base/id_type.h"
#include "route/request_type.h"

namespace wasabiwind::route {

/** Expected size of one request. */
struct SizeEstimate {
  double m_prompt_tokens = 0;
  double m_output_tokens = 0;
  double m_cost = 0;  ///< in output tokens, prompt included
};

/** Moving mean and deviation of the answers of one group of requests. */
struct SizeHistory {
  double m_mean_tokens = 0;
  double m_mean_deviation = 0;  ///< mean absolute deviation, tokens
  std::uint32_t m_samples = 0;
};

/** Answer lengths seen so far. Not thread-safe. */
struct SizeModel {
  absl::flat_hash_map<std::string, SizeHistory> m_by_customer;
  absl::flat_hash_map<std::string, SizeHistory> m_by_deployment;
};

/** What is known of a request before it runs. */
struct SizeInput {
  base::DeploymentId m_deployment;
  base::CustomerId m_customer;
  std::uint32_t m_prompt_bytes = 0;
  std::uint32_t m_max_tokens = 0;  ///< 0: one whole answer without tokens,
                                   ///< as of a service
};

/**
 * @return the estimate from the customer's history with the deployment, else
 *         from the deployment's history, else from the declared maximum
 */
SizeEstimate EstimateSize(const SizeModel &model, const SizeInput &input);

/** Adds a finished request to the histories. @param output_tokens tokens
 * delivered */
void RecordSize(SizeModel *model, const SizeInput &input,
                std::uint32_t output_tokens);

/**
 * Corrects an estimate that a running request has exceeded.
 * @param delivered tokens delivered so far
 * @return the estimate, unchanged while it still holds
 */
SizeEstimate CorrectSize(const SizeEstimate &estimate, const SizeInput &input,
                         std::uint32_t delivered);

}  // namespace wasabiwind::route

#endif  // WASABIWIND_ROUTE_SIZE_FUNC_H_
