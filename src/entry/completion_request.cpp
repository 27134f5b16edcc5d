/** @file completion_request.cpp Parser of chat and completion requests. */

#include "entry/completion_request.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <string_view>

namespace wasabiwind::entry {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxModelBytes = 512;
constexpr std::int64_t kMaxTokens = 10'000'000;
/** Prefixes shorter than this cost an engine little to compute again. */
constexpr std::size_t kMinAffinityBytes = 256;
constexpr std::size_t kMaxAffinityBytes = 1024;

tl::unexpected<base::Error> Fail(std::string message, std::string remedy) {
  return base::MakeError(base::ErrorKind::kInvalidArgument, std::move(message),
                         std::move(remedy));
}

std::size_t CountTextBytes(const json::value &value) {
  if (value.is_string()) return value.get_string().size();
  std::size_t bytes = 0;
  if (value.is_array()) {
    for (const json::value &item : value.get_array()) {
      bytes += CountTextBytes(item);
    }
  } else if (value.is_object()) {
    for (const auto &member : value.get_object()) {
      bytes += CountTextBytes(member.value());
    }
  }
  return bytes;
}

/** @return the first text of a prompt: itself, or that of its first message. */
std::string_view FindFirstText(const json::value &prompt) {
  if (prompt.is_string()) return prompt.get_string();
  if (prompt.is_array() && !prompt.get_array().empty()) {
    return FindFirstText(prompt.get_array().front());
  }
  if (!prompt.is_object()) return {};
  const json::value *content = prompt.get_object().if_contains("content");
  if (content == nullptr) content = prompt.get_object().if_contains("text");
  return content == nullptr ? std::string_view() : FindFirstText(*content);
}

/**
 * @return a hash of the prompt's beginning, by which requests with the same
 *         prefix are sent to an engine that has it cached; 0 if the prompt is
 *         too short to benefit
 */
std::uint64_t HashPrefix(const json::value &prompt) {
  std::string_view text = FindFirstText(prompt);
  if (text.size() < kMinAffinityBytes) return 0;
  return XXH3_64bits(text.data(), std::min(text.size(), kMaxAffinityBytes));
}

base::Result<void> ReadPrompt(bool is_chat, CompletionRequest *request) {
  const json::value *prompt =
      request->m_body.if_contains(is_chat ? "messages" : "prompt");
  if (is_chat) {
    bool is_valid =
        prompt != nullptr && prompt->is_array() && !prompt->get_array().empty();
    if (!is_valid) {
      return Fail("\"messages\" is not valid", "send an array of messages");
    }
    for (const json::value &message : prompt->get_array()) {
      if (!message.is_object()) {
        return Fail("\"messages\" has an element that isn't an object",
                    "send objects with role and content");
      }
    }
  } else if (prompt == nullptr ||
             !(prompt->is_string() || prompt->is_array())) {
    return Fail("\"prompt\" is not valid", "send a string");
  }
  request->m_prompt_bytes = CountTextBytes(*prompt);
  request->m_affinity = HashPrefix(*prompt);
  return {};
}

base::Result<void> ReadMaxTokens(CompletionRequest *request) {
  for (const char *key : {"max_tokens", "max_completion_tokens"}) {
    const json::value *value = request->m_body.if_contains(key);
    if (value == nullptr || value->is_null()) continue;
    json::error_code error;
    auto number = value->to_number<std::int64_t>(error);
    if (error || number < 1 || number > kMaxTokens) {
      return Fail(fmt::format("\"{}\" is not valid", key),
                  fmt::format("send a whole number from 1 to {}", kMaxTokens));
    }
    request->m_max_tokens = number;
  }
  return {};
}

}  // namespace

base::Result<CompletionRequest> ParseCompletionRequest(const std::string &body,
                                                       bool is_chat) {
  json::error_code error;
  json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    return Fail("the body is not a JSON object", "send a JSON object");
  }
  CompletionRequest request;
  request.m_body = std::move(value.get_object());
  const json::value *model = request.m_body.if_contains("model");
  bool has_model = model != nullptr && model->is_string() &&
                   !model->get_string().empty() &&
                   model->get_string().size() <= kMaxModelBytes;
  if (!has_model) {
    return Fail("\"model\" is not valid", "name a deployment");
  }
  request.m_model = std::string(model->get_string());
  const json::value *stream = request.m_body.if_contains("stream");
  if (stream != nullptr && !stream->is_bool() && !stream->is_null()) {
    return Fail("\"stream\" is not valid", "send true or false");
  }
  request.m_is_stream =
      stream != nullptr && stream->is_bool() && stream->get_bool();
  if (base::Result<void> read = ReadMaxTokens(&request); !read) {
    return tl::unexpected(read.error());
  }
  if (base::Result<void> read = ReadPrompt(is_chat, &request); !read) {
    return tl::unexpected(read.error());
  }
  for (const char *key : {"priority", "request_id", "resume_from_token"}) {
    request.m_body.erase(key);
  }
  return request;
}

std::string MakeEngineBody(const CompletionRequest &request,
                           const EngineExtensions &extensions) {
  json::object body = request.m_body;
  body["model"] = extensions.m_target;
  body["priority"] = extensions.m_priority;
  body["request_id"] = extensions.m_request_id;
  if (extensions.m_resume_from_token > 0) {
    body["resume_from_token"] = extensions.m_resume_from_token;
  }
  return json::serialize(body);
}

}  // namespace wasabiwind::entry
