/** @file event_stream_func.h Splits a byte stream into server-sent events. */

#ifndef WASABIWIND_GATEWAY_EVENT_STREAM_FUNC_H_
#define WASABIWIND_GATEWAY_EVENT_STREAM_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabiwind::gateway {

/** A complete event, including the empty line that ends it. */
struct StreamEvent {
  std::string m_text;
  std::optional<std::uint64_t> m_id;
};

/** Buffers the bytes of an incomplete event. */
struct EventSplitter {
  std::string m_partial_event;
  std::size_t m_searched_bytes = 0;  ///< in which no event can end
};

/** A longer event is an error of the upstream. */
inline constexpr std::size_t kMaxEventBytes = 1 << 20;

/**
 * Adds bytes of a stream.
 * @param[out] events receives the events that are now complete
 * @return false if the incomplete event is longer than kMaxEventBytes
 */
bool SplitEvents(EventSplitter *splitter, std::string_view bytes,
                 std::vector<StreamEvent> *events);

/** @return whether the stream may end here, not in the middle of an event. */
bool IsAtEventBoundary(const EventSplitter &splitter);

}  // namespace wasabiwind::gateway

#endif  // WASABIWIND_GATEWAY_EVENT_STREAM_FUNC_H_
