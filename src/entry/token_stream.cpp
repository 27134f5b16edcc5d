/** @file token_stream.cpp Server-sent events of engines and the token order. */

#include "entry/token_stream.h"

#include <charconv>

namespace wasabiwind::entry {

namespace {

constexpr std::size_t kMaxEventBytes = 256 * 1024;
constexpr std::string_view kDoneMark = "[DONE]";

/**
 * Finds the value of a key in a JSON text. Inside a JSON string a quote is
 * escaped, so a quoted key without a backslash before its closing quote can't
 * be part of a string's text.
 * @return the text after the colon, or an empty view
 */
std::string_view FindValue(std::string_view text, std::string_view quoted_key) {
  std::size_t at = text.find(quoted_key);
  if (at == std::string_view::npos) return {};
  text.remove_prefix(at + quoted_key.size());
  std::size_t value = text.find_first_not_of(" \t\r\n");
  if (value == std::string_view::npos || text[value] != ':') return {};
  value = text.find_first_not_of(" \t\r\n", value + 1);
  return value == std::string_view::npos ? std::string_view()
                                         : text.substr(value);
}

base::Result<void> ReadFields(TokenEvent *event) {
  std::string_view data = event->m_data;
  if (data == kDoneMark) {
    event->m_is_done = true;
    return {};
  }
  if (data.empty() || data.front() != '{' || data.back() != '}') {
    return base::MakeError(base::ErrorKind::kProtocol,
                           "an event is not a JSON object");
  }
  std::string_view index = FindValue(data, "\"token_index\"");
  if (!index.empty()) {
    std::uint64_t number = 0;
    auto [stop, code] =
        std::from_chars(index.data(), index.data() + index.size(), number);
    if (code != std::errc()) {
      return base::MakeError(base::ErrorKind::kProtocol,
                             "token_index is not a whole number");
    }
    event->m_token_index = number;
  }
  std::string_view finish = FindValue(data, "\"finish_reason\"");
  event->m_has_finish_reason = !finish.empty() && finish.front() == '"';
  event->m_is_error = !event->m_token_index && !event->m_has_finish_reason &&
                      !FindValue(data, "\"error\"").empty();
  return {};
}

/** Removes one line from the front. @return the line without its end */
std::string_view TakeLine(std::string_view *text) {
  std::size_t end = text->find('\n');
  std::string_view line = text->substr(0, end);
  text->remove_prefix(end == std::string_view::npos ? text->size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

/** @return the length of the first event with its empty line, or npos. */
std::size_t FindEventEnd(std::string_view text) {
  std::size_t at = 0;
  while ((at = text.find('\n', at)) != std::string_view::npos) {
    ++at;
    if (at < text.size() && text[at] == '\n') return at + 1;
    if (at + 1 < text.size() && text[at] == '\r' && text[at + 1] == '\n') {
      return at + 2;
    }
  }
  return std::string_view::npos;
}

}  // namespace

void EventReader::Feed(std::string_view bytes) {
  m_buffer.append(bytes.data(), bytes.size());
}

base::Result<bool> EventReader::Next(TokenEvent *event) {
  while (true) {
    std::string_view rest = std::string_view(m_buffer).substr(m_consumed);
    std::size_t end = FindEventEnd(rest);
    if (end == std::string_view::npos) {
      m_buffer.erase(0, m_consumed);
      m_consumed = 0;
      if (m_buffer.size() <= kMaxEventBytes) return false;
      return base::MakeError(base::ErrorKind::kProtocol,
                             "an event is longer than 256 KiB");
    }
    m_consumed += end;
    std::string_view text = rest.substr(0, end);
    *event = TokenEvent();
    int data_lines = 0;
    while (!text.empty()) {
      std::string_view line = TakeLine(&text);
      constexpr std::string_view kField = "data:";
      if (line.substr(0, kField.size()) != kField) continue;
      line.remove_prefix(kField.size());
      if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      if (++data_lines == 1) {
        event->m_data = line;
        continue;
      }
      if (data_lines == 2) m_joined = std::string(event->m_data);
      m_joined += '\n';
      m_joined += line;
      event->m_data = m_joined;
    }
    if (data_lines == 0) continue;  // a comment or another field
    base::Result<void> read = ReadFields(event);
    if (!read) return tl::unexpected(read.error());
    return true;
  }
}

EventAction ClassifyEvent(const TokenEvent &event, TokenProgress *progress) {
  if (event.m_is_done) return EventAction::kDone;
  if (event.m_is_error) return EventAction::kBroken;
  if (event.m_token_index && *event.m_token_index > progress->m_tokens) {
    return EventAction::kBroken;
  }
  if (event.m_token_index && *event.m_token_index == progress->m_tokens) {
    ++progress->m_tokens;
    progress->m_is_finished =
        progress->m_is_finished || event.m_has_finish_reason;
    return EventAction::kForward;
  }
  if (event.m_has_finish_reason) {
    if (progress->m_is_finished) return EventAction::kDrop;
    progress->m_is_finished = true;
    return EventAction::kForward;
  }
  // An older token, or the opening event of a resumed answer.
  if (event.m_token_index || progress->m_is_resumed) return EventAction::kDrop;
  return EventAction::kForward;
}

}  // namespace wasabiwind::entry
