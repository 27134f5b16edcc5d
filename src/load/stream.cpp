/** @file stream.cpp Checks responses to completion requests. */

#include <boost/json/array.hpp>

#include "load/stream_func.h"
#include "standin/json_func.h"

namespace wasabiwind::load {

namespace json = boost::json;

namespace {

/** Longest line of a stream; a longer one is malformed. */
constexpr std::size_t kMaxLineBytes = 256 * 1024;

void SetFault(StreamCheck *check, AnswerStatus fault) {
  if (check->m_fault == AnswerStatus::kEnd) check->m_fault = fault;
}

/** Reads the text of the first choice. @return false if there is none */
bool ReadChoiceText(const json::object &event, std::string *text) {
  const json::array *choices = standin::FindArray(event, "choices");
  if (choices == nullptr || choices->empty()) return false;
  const json::object *choice = choices->front().if_object();
  if (choice == nullptr) return false;
  for (const char *key : {"delta", "message"}) {
    if (const json::object *part = standin::FindObject(*choice, key)) {
      *text = standin::GetString(*part, "content");
      return true;
    }
  }
  *text = standin::GetString(*choice, "text");
  return true;
}

/** @return why a text isn't the expected token. */
AnswerStatus ClassifyWrongToken(const StreamCheck &check,
                                const std::string &text) {
  for (int index = 0; index < check.m_plan.m_output_tokens; ++index) {
    if (text == standin::MakeTokenText(check.m_plan.m_prompt_hash, index)) {
      return AnswerStatus::kWrongOrder;
    }
  }
  return AnswerStatus::kForeign;
}

void RecordError(StreamCheck *check, const json::object &error) {
  check->m_has_error = true;
  check->m_error_reason = standin::GetString(error, "reason");
  check->m_error_ran = standin::GetString(error, "ran");
}

/** @return whether the event completed a token. */
bool HandleEvent(StreamCheck *check, const std::string &data) {
  if (check->m_done || check->m_has_error) {
    SetFault(check, AnswerStatus::kMalformed);
    return false;
  }
  if (data == "[DONE]") {
    check->m_done = true;
    return false;
  }
  base::Result<json::object> event = standin::ParseObject(data);
  if (!event) {
    SetFault(check, AnswerStatus::kMalformed);
    return false;
  }
  if (const json::object *error = standin::FindObject(*event, "error")) {
    RecordError(check, *error);
    return false;
  }
  std::string text;
  if (!ReadChoiceText(*event, &text)) {
    SetFault(check, AnswerStatus::kMalformed);
    return false;
  }
  if (text.empty()) return false;
  std::string expected =
      check->m_tokens < check->m_plan.m_output_tokens
          ? standin::MakeTokenText(check->m_plan.m_prompt_hash, check->m_tokens)
          : "";
  std::int64_t index =
      standin::GetInteger(*event, "token_index", check->m_tokens);
  if (text != expected) {
    SetFault(check, ClassifyWrongToken(*check, text));
    return false;
  }
  if (index != check->m_tokens) SetFault(check, AnswerStatus::kWrongOrder);
  ++check->m_tokens;
  return true;
}

bool HandleLine(StreamCheck *check, std::string line) {
  constexpr std::string_view kData = "data:";
  if (!line.empty() && line.back() == '\r') line.pop_back();
  if (line.empty() || line.front() == ':') return false;
  if (line.compare(0, kData.size(), kData) != 0) {
    SetFault(check, AnswerStatus::kMalformed);
    return false;
  }
  std::size_t start = kData.size();
  if (start < line.size() && line[start] == ' ') ++start;
  return HandleEvent(check, line.substr(start));
}

}  // namespace

const char *GetAnswerStatusName(AnswerStatus status) {
  switch (status) {
    case AnswerStatus::kComplete:
      return "complete";
    case AnswerStatus::kExplicitError:
      return "explicit_error";
    case AnswerStatus::kCutOff:
      return "cut_off";
    case AnswerStatus::kTooShort:
      return "too_short";
    case AnswerStatus::kWrongOrder:
      return "wrong_order";
    case AnswerStatus::kForeign:
      return "foreign";
    default:
      return "malformed";
  }
}

bool IsViolation(AnswerStatus status) {
  return status != AnswerStatus::kComplete &&
         status != AnswerStatus::kExplicitError &&
         status != AnswerStatus::kCutOff;
}

StreamCheck BeginStreamCheck(standin::AnswerPlan plan) {
  StreamCheck check;
  check.m_plan = std::move(plan);
  return check;
}

int FeedStream(StreamCheck *check, std::string_view bytes) {
  int tokens = 0;
  while (!bytes.empty()) {
    std::size_t end = bytes.find('\n');
    check->m_line.append(bytes.substr(0, end));
    if (check->m_line.size() > kMaxLineBytes) {
      SetFault(check, AnswerStatus::kMalformed);
      check->m_line.clear();
    }
    if (end == std::string_view::npos) return tokens;
    bytes.remove_prefix(end + 1);
    std::string line = std::move(check->m_line);
    check->m_line.clear();
    if (HandleLine(check, std::move(line))) ++tokens;
  }
  return tokens;
}

AnswerStatus FinishStream(const StreamCheck &check) {
  if (check.m_fault != AnswerStatus::kEnd) return check.m_fault;
  if (check.m_has_error) return AnswerStatus::kExplicitError;
  if (!check.m_done) return AnswerStatus::kCutOff;
  if (check.m_tokens < check.m_plan.m_output_tokens) {
    return AnswerStatus::kTooShort;
  }
  return AnswerStatus::kComplete;
}

AnswerStatus CheckPlainAnswer(const standin::AnswerPlan &plan,
                              const std::string &body) {
  base::Result<json::object> answer = standin::ParseObject(body);
  std::string text;
  if (!answer || !ReadChoiceText(*answer, &text)) {
    return AnswerStatus::kMalformed;
  }
  std::string expected = standin::MakeAnswerText(plan, 0);
  if (text == expected) return AnswerStatus::kComplete;
  if (expected.compare(0, text.size(), text) == 0) {
    return AnswerStatus::kTooShort;
  }
  std::string first = standin::MakeTokenText(plan.m_prompt_hash, 0);
  return text.compare(0, first.size(), first) == 0 ? AnswerStatus::kWrongOrder
                                                   : AnswerStatus::kForeign;
}

}  // namespace wasabiwind::load
