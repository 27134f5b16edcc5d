/** @file log.cpp Structured logs, one JSON object per line. */

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "base/log_func.h"

namespace wasabiwind::base {

namespace {

struct LevelRow {
  const char *m_name;
  spdlog::level::level_enum m_level;
};

constexpr std::array<LevelRow, static_cast<std::size_t>(LogLevel::kEnd)>
    kLevels = {{
        {"debug", spdlog::level::debug},
        {"info", spdlog::level::info},
        {"warn", spdlog::level::warn},
        {"error", spdlog::level::err},
    }};

const LevelRow &GetLevelRow(LogLevel level) {
  return kLevels[static_cast<std::size_t>(level)];
}

std::string &ProgramName() {
  static std::string name = "wasabiwind";
  return name;
}

/** The logger and the thread that writes its lines. */
struct Writer {
  std::shared_ptr<spdlog::details::thread_pool> m_pool;
  std::shared_ptr<spdlog::logger> m_logger;
};

/** Before InitializeLog, lines are written to standard error directly. */
Writer &CurrentWriter() {
  static Writer writer{
      nullptr, std::make_shared<spdlog::logger>(
                   "json", std::make_shared<spdlog::sinks::stderr_sink_mt>())};
  return writer;
}

spdlog::logger &Logger() { return *CurrentWriter().m_logger; }

std::shared_ptr<spdlog::sinks::sink> MakeSink(LogOutput output) {
  if (output == LogOutput::kStandardError) {
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  return std::make_shared<spdlog::sinks::stdout_sink_mt>();
}

std::string FormatTime() {
  auto now = std::chrono::system_clock::now();
  auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                    now.time_since_epoch())
                    .count() %
                1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03d}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis);
}

}  // namespace

Result<void> InitializeLog(const std::string &program, const std::string &level,
                           LogOutput output) {
  ProgramName() = program;
  for (const LevelRow &row : kLevels) {
    if (level != row.m_name) continue;
    Writer &writer = CurrentWriter();
    writer.m_pool = std::make_shared<spdlog::details::thread_pool>(
        kMaxQueuedLogLines, /*threads_n=*/1);
    writer.m_logger = std::make_shared<spdlog::async_logger>(
        "json", MakeSink(output), writer.m_pool,
        spdlog::async_overflow_policy::overrun_oldest);
    writer.m_logger->set_pattern("%v");
    writer.m_logger->set_level(row.m_level);
    return {};
  }
  return MakeError(ErrorKind::kInvalidSettings,
                   fmt::format("log level \"{}\" is unknown", level),
                   "use debug, info, warn or error");
}

std::size_t CountDroppedLogLines() {
  const Writer &writer = CurrentWriter();
  return writer.m_pool == nullptr ? 0 : writer.m_pool->overrun_counter();
}

void ShutDownLog() {
  Writer &writer = CurrentWriter();
  writer.m_logger = std::make_shared<spdlog::logger>(
      "json", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  writer.m_logger->set_pattern("%v");
  writer.m_pool.reset();
}

bool IsLogEnabled(LogLevel level) {
  return Logger().should_log(GetLevelRow(level).m_level);
}

void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!IsLogEnabled(level)) return;
  boost::json::object line;
  line["time"] = FormatTime();
  line["level"] = GetLevelRow(level).m_name;
  line["program"] = ProgramName();
  line["event"] = boost::json::string_view(event.data(), event.size());
  for (const LogField &field : fields) {
    boost::json::string_view key(field.m_key.data(), field.m_key.size());
    line[key] = field.m_value;
  }
  Logger().log(GetLevelRow(level).m_level, boost::json::serialize(line));
}

}  // namespace wasabiwind::base
