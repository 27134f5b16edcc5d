/** @file event_stream.cpp Splits a byte stream into server-sent events. */

#include <algorithm>
#include <charconv>
#include <string_view>

#include "gateway/event_stream_func.h"

namespace wasabiwind::gateway {

namespace {

constexpr std::string_view kIdField = "id:";
/** The last bytes of a text that may begin the end of an event, which has up to
 * four bytes. */
constexpr std::size_t kMaxCutEndBytes = 3;

/** @return the length of the line break at a position, 0 if none is there. */
std::size_t GetLineEndLength(std::string_view text, std::size_t at) {
  if (at < text.size() && text[at] == '\n') return 1;
  bool is_crlf =
      at + 1 < text.size() && text[at] == '\r' && text[at + 1] == '\n';
  return is_crlf ? 2 : 0;
}

/** @return the position after the first empty line, or npos.
 * @param from position at or before the end of the line before it */
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = from; at < text.size(); ++at) {
    std::size_t first = GetLineEndLength(text, at);
    if (first == 0) continue;
    std::size_t second = GetLineEndLength(text, at + first);
    if (second != 0) return at + first + second;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> ParseId(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = event.find('\n', start);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::uint64_t id = 0;
    auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec != std::errc()) return std::nullopt;
    return id;
  }
  return std::nullopt;
}

}  // namespace

bool SplitEvents(EventSplitter *splitter, std::string_view bytes,
                 std::vector<StreamEvent> *events) {
  std::string &partial = splitter->m_partial_event;
  partial.append(bytes);
  std::string_view rest = partial;
  std::size_t from = splitter->m_searched_bytes;
  while (true) {
    std::size_t end = FindEventEnd(rest, from);
    if (end == std::string_view::npos) break;
    std::string_view text = rest.substr(0, end);
    events->push_back(StreamEvent{std::string(text), ParseId(text)});
    rest.remove_prefix(end);
    from = 0;
  }
  partial.erase(0, partial.size() - rest.size());
  splitter->m_searched_bytes =
      partial.size() - std::min(partial.size(), kMaxCutEndBytes);
  return partial.size() <= kMaxEventBytes;
}

bool IsAtEventBoundary(const EventSplitter &splitter) {
  return splitter.m_partial_event.empty();
}

}  // namespace wasabiwind::gateway
