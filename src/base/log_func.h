/** @file log_func.h Structured logs, one JSON object per line. */

#ifndef WASABIWIND_BASE_LOG_FUNC_H_
#define WASABIWIND_BASE_LOG_FUNC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/error_type.h"

namespace wasabiwind::base {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError, kEnd };

/** One key with its value in a log line. */
struct LogField {
  LogField(std::string_view key, std::string_view value)
      : m_key(key),
        m_value(boost::json::string_view(value.data(), value.size())) {}
  LogField(std::string_view key, const std::string &value)
      : LogField(key, std::string_view(value)) {}
  LogField(std::string_view key, const char *value)
      : LogField(key, std::string_view(value)) {}
  /** For numbers, booleans and JSON values. */
  template <typename T>
  LogField(std::string_view key, T value)
      : m_key(key), m_value(std::move(value)) {}

  std::string_view m_key;
  boost::json::value m_value;
};

/** Stream that lines are written to. */
enum class LogOutput : std::uint8_t {
  kStandardOutput,  ///< servers
  kStandardError,   ///< tools whose result goes to standard output
  kEnd,
};

/**
 * Sets up the process-wide logger. A separate thread writes the lines, so that
 * LogEvent never waits for the output. When more than kMaxQueuedLogLines are
 * queued, the oldest are dropped and counted.
 * @param program name that each line carries
 * @param level debug, info, warn or error
 * @return an error for an unknown level
 * @pre called once before other threads log
 */
Result<void> InitializeLog(const std::string &program, const std::string &level,
                           LogOutput output = LogOutput::kStandardOutput);

/** Maximum number of lines in the queue of the writing thread. */
inline constexpr std::size_t kMaxQueuedLogLines = 4'096;

/** @return number of lines dropped because the queue was full. Thread-safe. */
std::size_t CountDroppedLogLines();

/** Writes all queued lines and ends the writing thread. */
void ShutDownLog();

/** @return whether a line of this level would be written. Thread-safe. */
bool IsLogEnabled(LogLevel level);

/**
 * Writes one line with time, level, program, event and the given fields.
 * Thread-safe.
 * @param event snake_case name of what happened
 */
void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace wasabiwind::base

#endif  // WASABIWIND_BASE_LOG_FUNC_H_
