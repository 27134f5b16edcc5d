/** @file answer.cpp Deterministic answers of the engine test double. */

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <charconv>
#include <cstring>

#include "standin/answer_func.h"
#include "standin/json_func.h"

namespace wasabiwind::standin {

namespace json = boost::json;

namespace {

constexpr int kDefaultMaxTokens = 16;
constexpr int kMaxOutputTokens = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;

/** Appends the content of a message: a string or a list of text parts. */
void AppendContent(const json::object &message, std::string *prompt) {
  if (const json::array *parts = FindArray(message, "content")) {
    for (const json::value &part : *parts) {
      if (!part.is_object()) continue;
      *prompt += GetString(part.as_object(), "text");
    }
  } else {
    *prompt += GetString(message, "content");
  }
  *prompt += '\n';
}

/** @return N of the first "[tokens:N]" in the prompt, or the fallback. */
int FindRequestedTokenCount(const std::string &prompt, int fallback) {
  constexpr const char *kMarker = "[tokens:";
  std::size_t found = prompt.find(kMarker);
  if (found == std::string::npos) return fallback;
  const char *begin = prompt.data() + found + std::strlen(kMarker);
  const char *end = prompt.data() + prompt.size();
  int count = 0;
  auto [stop, code] = std::from_chars(begin, end, count);
  bool is_valid =
      code == std::errc() && stop != end && *stop == ']' && count > 0;
  return is_valid ? count : fallback;
}

}  // namespace

base::Result<AnswerPlan> PlanAnswer(const json::object &body) {
  AnswerPlan plan;
  const json::array *messages = FindArray(body, "messages");
  if (messages != nullptr) {
    for (const json::value &message : *messages) {
      if (message.is_object())
        AppendContent(message.as_object(), &plan.m_prompt);
    }
  } else {
    plan.m_prompt = GetString(body, "prompt");
  }
  if (plan.m_prompt.empty()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "the request has no prompt",
                           "send messages or a prompt");
  }
  std::int64_t max_tokens = GetInteger(body, "max_tokens", kDefaultMaxTokens);
  if (max_tokens < 1 || max_tokens > kMaxOutputTokens) {
    return base::MakeError(
        base::ErrorKind::kInvalidArgument,
        fmt::format("max_tokens {} is out of range", max_tokens),
        fmt::format("send a number from 1 to {}", kMaxOutputTokens));
  }
  plan.m_prompt_hash = XXH3_64bits(plan.m_prompt.data(), plan.m_prompt.size());
  plan.m_prompt_tokens = static_cast<int>(
      (plan.m_prompt.size() + kBytesPerToken - 1) / kBytesPerToken);
  int limit = static_cast<int>(max_tokens);
  plan.m_output_tokens =
      std::min(limit, FindRequestedTokenCount(plan.m_prompt, limit));
  return plan;
}

std::string MakeTokenText(std::uint64_t key, int index) {
  std::array<std::uint64_t, 2> input = {key, static_cast<std::uint64_t>(index)};
  auto hash = static_cast<std::uint32_t>(
      XXH3_64bits(input.data(), sizeof(input)) & 0xFFFFFFFFU);
  return fmt::format("{:08x} ", hash);
}

std::string MakeAnswerText(const AnswerPlan &plan, int first) {
  std::string text;
  for (int index = first; index < plan.m_output_tokens; ++index) {
    text += MakeTokenText(plan.m_prompt_hash, index);
  }
  return text;
}

}  // namespace wasabiwind::standin
