/** @file answer_func.h Deterministic answers of the engine test double. */

#ifndef WASABIWIND_STANDIN_ANSWER_FUNC_H_
#define WASABIWIND_STANDIN_ANSWER_FUNC_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::standin {

/** What the engine answers to a request, as derived from the request alone. */
struct AnswerPlan {
  std::uint64_t m_prompt_hash = 0;  ///< hash of the prompt text
  std::string m_prompt;             ///< prompt, or the contents of all messages
  int m_prompt_tokens = 0;
  int m_output_tokens = 0;  ///< without regard to resume_from_token
};

/**
 * Derives the answer from the body of a chat or plain completion request. The
 * model name takes no part, since the entry host may rewrite it. The answer
 * has `max_tokens` tokens (16 if absent), or fewer if the prompt contains
 * "[tokens:N]" with a smaller N, as a model that stops early.
 * @return kInvalidArgument without a prompt or with an invalid max_tokens.
 *         Thread-safe.
 */
base::Result<AnswerPlan> PlanAnswer(const boost::json::object &body);

/** @return the text of one token: unique to key and index, without spaces
 * other than the last character. Thread-safe. */
std::string MakeTokenText(std::uint64_t key, int index);

/** @return the texts of tokens [first, end) joined. Thread-safe. */
std::string MakeAnswerText(const AnswerPlan &plan, int first);

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_ANSWER_FUNC_H_
