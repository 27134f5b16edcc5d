/** @file settings_watch.h Reloads a settings file when it has changed. */

#ifndef WASABIWIND_NET_SETTINGS_WATCH_H_
#define WASABIWIND_NET_SETTINGS_WATCH_H_

#include <functional>
#include <string>

#include "base/error_type.h"
#include "base/time_type.h"

namespace wasabiwind::net {

/** @return the path that --config names. @pre after InitializeProgram */
std::string GetSettingsPath();

/**
 * Applies one settings file again whenever it has changed, also if no signal
 * announces the change. Not thread-safe: it belongs to one fiber thread.
 */
class SettingsWatch {
 public:
  /** Applies a changed file. @return an error if it is invalid */
  using Apply = std::function<base::Result<void>(const std::string &path)>;

  SettingsWatch(std::string path, Apply apply);

  /** Applies the file now if it has changed; an invalid file changes nothing.
   */
  void Check();

  /** Checks every few seconds until Stop. @pre inside RunFiberThread */
  void Run();
  void Stop() { m_is_stopped = true; }

 private:
  static constexpr base::milliseconds kCheckInterval{2'000};
  static constexpr base::milliseconds kStopCheckInterval{200};

  std::string Read() const;

  std::string m_path;
  Apply m_apply;
  std::string m_text;  ///< content last seen, valid or not
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_SETTINGS_WATCH_H_
