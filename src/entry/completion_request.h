/** @file completion_request.h Parser of chat and completion requests. */

#ifndef WASABIWIND_ENTRY_COMPLETION_REQUEST_H_
#define WASABIWIND_ENTRY_COMPLETION_REQUEST_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::entry {

/** A parsed request body and the values that the entry host reads from it. */
struct CompletionRequest {
  std::string m_model;  ///< "deployment" or "deployment/adapter"
  bool m_is_stream = false;
  std::int64_t m_max_tokens = 0;   ///< 0 if the caller gives no bound
  std::size_t m_prompt_bytes = 0;  ///< of all strings in prompt or messages
  std::uint64_t m_affinity = 0;    ///< hash of the prompt's beginning, or 0
  boost::json::object m_body;      ///< without the extension keys of engines
};

/** Values that the entry host adds to the body for the engine. */
struct EngineExtensions {
  std::string m_target;
  const char *m_priority = "";
  std::string m_request_id;
  std::uint64_t m_resume_from_token = 0;  ///< left out if 0
};

/**
 * Parses the body of /v1/chat/completions or /v1/completions.
 * @param is_chat the body needs messages instead of prompt
 * @return kInvalidArgument with a remedy. Thread-safe.
 */
base::Result<CompletionRequest> ParseCompletionRequest(const std::string &body,
                                                       bool is_chat);

/** @return the body for an engine. */
std::string MakeEngineBody(const CompletionRequest &request,
                           const EngineExtensions &extensions);

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_COMPLETION_REQUEST_H_
