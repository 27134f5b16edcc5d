/** @file record.cpp Event record of a test double, for checks. */

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <cerrno>
#include <cstring>

#include "base/log_func.h"
#include "base/time_type.h"
#include "standin/record_base.h"

namespace wasabiwind::standin {

std::int64_t GetWallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             base::WallClock::now().time_since_epoch())
      .count();
}

EventRecord::~EventRecord() {
  if (m_file >= 0) ::close(m_file);
}

base::Result<void> EventRecord::OpenFile(const std::string &path) {
  m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  S_IRUSR | S_IWUSR | S_IRGRP | S_IROTH);
  if (m_file >= 0) return {};
  return base::MakeError(
      base::ErrorKind::kIo,
      fmt::format("can't open record file {}: {}", path, std::strerror(errno)),
      "set record_file to a writable file in an existing folder");
}

void EventRecord::Add(const std::string &event,
                      const boost::json::object &fields) {
  boost::json::object line;
  line["t_us"] = GetWallMicroseconds();
  line["event"] = event;
  for (const auto &field : fields) line[field.key()] = field.value();
  if (m_file >= 0) {
    std::string text = boost::json::serialize(line) + "\n";
    ssize_t written = ::write(m_file, text.data(), text.size());
    if (written != static_cast<ssize_t>(text.size())) {
      base::LogEvent(base::LogLevel::kError, "record_write_failed",
                     {{"error", std::strerror(errno)}});
    }
  }
  m_events.push_back(std::move(line));
  if (m_events.size() > kMaxEvents) m_events.pop_front();
}

boost::json::array EventRecord::List() const {
  boost::json::array list;
  list.reserve(m_events.size());
  for (const boost::json::object &event : m_events) list.push_back(event);
  return list;
}

}  // namespace wasabiwind::standin
