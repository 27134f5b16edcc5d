/** @file event_stream_func.h Cuts a stream into whole events. */

#ifndef WASABIWIND_GATEWAY_EVENT_STREAM_FUNC_H_
#define WASABIWIND_GATEWAY_EVENT_STREAM_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabiwind::gateway {

/** One whole event with its closing empty line. */
struct StreamEvent {
  std::string m_text;
  std::optional<std::uint64_t> m_id;
};

/** Bytes that don't make a whole event yet. */
struct EventSplitter {
  std::string m_partial_event;
};

/** Largest event; a longer one is a broken stream. */
inline constexpr std::size_t kMaxEventBytes = 1 << 20;

/**
 * Takes in bytes of a stream.
 * @param[out] events receives the events that are whole now
 * @return false if an event is longer than kMaxEventBytes
 */
bool SplitEvents(EventSplitter *splitter, std::string_view bytes,
                 std::vector<StreamEvent> *events);

/** @return whether the stream may end here: no event has begun. */
bool IsAtEventBoundary(const EventSplitter &splitter);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_EVENT_STREAM_FUNC_H_
