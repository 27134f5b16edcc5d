/** @file token_stream.h Server-sent events of engines and the token order. */

#ifndef WASABIWIND_ENTRY_TOKEN_STREAM_H_
#define WASABIWIND_ENTRY_TOKEN_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error_type.h"

namespace wasabiwind::entry {

/** One event of an engine's answer. */
struct TokenEvent {
  std::string_view m_data;  ///< valid until the next call of the reader
  std::optional<std::uint64_t> m_token_index;
  bool m_is_done = false;            ///< the [DONE] event
  bool m_has_finish_reason = false;  ///< carries a finish_reason
  bool m_is_error = false;           ///< an error object instead of a token
};

/** Splits bytes into events. Not thread-safe. */
class EventReader {
 public:
  /** Appends received bytes. */
  void Feed(std::string_view bytes);

  /** @return the buffer, to append received bytes in place. */
  std::string *Buffer() { return &m_buffer; }

  /**
   * Takes the next complete event.
   * @return false if more bytes are needed; kProtocol if an event is too long
   *         or isn't valid
   */
  base::Result<bool> Next(TokenEvent *event);

 private:
  std::string m_buffer;
  std::string m_joined;        ///< data of an event with several data lines
  std::size_t m_consumed = 0;  ///< bytes of m_buffer already returned
};

/** What the relay does with an event. */
enum class EventAction : std::uint8_t {
  kForward,  ///< the caller gets it
  kDrop,     ///< the caller already has it
  kBroken,   ///< tokens are missing or the engine reports an error
  kDone,     ///< the stream is complete
  kEnd,
};

/** What a caller has received of an answer, over all attempts. */
struct TokenProgress {
  std::uint64_t m_tokens = 0;  ///< tokens delivered, equal to the next index
  bool m_is_finished = false;  ///< the event with finish_reason was delivered
  bool m_is_resumed = false;   ///< an earlier attempt began the caller's stream
};

/** @return what to do with an event. Updates the progress for kForward. */
EventAction ClassifyEvent(const TokenEvent &event, TokenProgress *progress);

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_TOKEN_STREAM_H_
