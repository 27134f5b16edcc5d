/** @file answer_func.h Deterministic answers of the engine test double. */

#ifndef WASABIWIND_STANDIN_ANSWER_FUNC_H_
#define WASABIWIND_STANDIN_ANSWER_FUNC_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::standin {

/** Expected answer of the engine, which depends on the request alone. */
struct AnswerPlan {
  std::uint64_t m_prompt_hash = 0;  ///< hash of the prompt text
  std::string m_prompt;             ///< prompt, or the contents of all messages
  int m_prompt_tokens = 0;
  int m_output_tokens = 0;  ///< of the whole answer, also if it is resumed
};

/**
 * Derives the answer from the body of a chat or plain completion request. It
 * doesn't depend on the model name, since the entry host may rewrite that. The
 * answer has `max_tokens` tokens (16 if absent); "[tokens:N]" in the prompt
 * with a smaller N reduces it to N, to simulate a model that stops early.
 * @return kInvalidArgument without a prompt or with an invalid max_tokens.
 *         Thread-safe.
 */
base::Result<AnswerPlan> PlanAnswer(const boost::json::object &body);

/** @return the text of one token: a hash of key and index, followed by a space.
 * Thread-safe. */
std::string MakeTokenText(std::uint64_t key, int index);

/** @return the concatenated token texts from index `first` on. Thread-safe. */
std::string MakeAnswerText(const AnswerPlan &plan, int first);

}  // namespace wasabiwind::standin

#endif  // WASABIWIND_STANDIN_ANSWER_FUNC_H_
