/** @file settings_watch.cpp Reloads a settings file when it has changed. */

#include "net/settings_watch.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "base/log_func.h"
#include "net/fiber_scheduler.h"

namespace wasabiwind::net {

SettingsWatch::SettingsWatch(std::string path, Apply apply)
    : m_path(std::move(path)), m_apply(std::move(apply)), m_text(Read()) {}

std::string SettingsWatch::Read() const {
  std::ifstream file(m_path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void SettingsWatch::Check() {
  std::string text = Read();
  if (text == m_text || text.empty()) return;
  m_text = std::move(text);
  base::Result<void> applied = m_apply(m_path);
  base::LogEvent(applied ? base::LogLevel::kInfo : base::LogLevel::kError,
                 "settings_reloaded",
                 {{"error", applied ? "" : applied.error().ToString()}});
}

void SettingsWatch::Run() {
  base::TimePoint next = base::Clock::now() + kCheckInterval;
  while (!m_is_stopped) {
    SleepFor(kStopCheckInterval);
    if (base::Clock::now() < next) continue;
    next = base::Clock::now() + kCheckInterval;
    Check();
  }
}

}  // namespace wasabiwind::net
