/** @file stream_func.h Checks responses to completion requests. */

#ifndef WASABIWIND_LOAD_STREAM_FUNC_H_
#define WASABIWIND_LOAD_STREAM_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "standin/answer_func.h"

namespace wasabiwind::load {

/** Result of checking a response. */
enum class AnswerStatus : std::uint8_t {
  kComplete,       ///< the whole response to this request
  kExplicitError,  ///< the stream ended with an error event
  kCutOff,         ///< the stream ended without [DONE] or error event
  kTooShort,       ///< [DONE] came before the last token
  kWrongOrder,     ///< a token of this response at the wrong place
  kForeign,        ///< text that doesn't belong to this response
  kMalformed,      ///< not in the expected format
  kEnd,
};

/** @return the snake_case name. */
const char *GetAnswerStatusName(AnswerStatus status);

/** @return whether the status breaks a guarantee to the caller. A cut-off
 * stream doesn't: the caller can see that it is incomplete. */
bool IsViolation(AnswerStatus status);

/** State of the check of one stream. Not thread-safe; copyable. */
struct StreamCheck {
  standin::AnswerPlan m_plan;
  std::string m_line;  ///< received part of an unfinished line
  int m_tokens = 0;    ///< tokens received in order
  bool m_done = false;
  bool m_has_error = false;
  std::string m_error_reason;
  std::string m_error_ran;                    ///< "not_run", "unknown" or ""
  AnswerStatus m_fault = AnswerStatus::kEnd;  ///< first fault, or kEnd
};

/** @return the check of a stream that responds to the planned request. */
StreamCheck BeginStreamCheck(standin::AnswerPlan plan);

/**
 * Checks the next bytes of the stream, split anywhere.
 * @return number of tokens that they completed
 */
int FeedStream(StreamCheck *check, std::string_view bytes);

/** @return the status of the whole stream. @pre all bytes were fed */
AnswerStatus FinishStream(const StreamCheck &check);

/** @return the status of the body of a plain (not streamed) response. */
AnswerStatus CheckPlainAnswer(const standin::AnswerPlan &plan,
                              const std::string &body);

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_STREAM_FUNC_H_
