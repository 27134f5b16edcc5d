/** @file record_log.h Write-ahead log of a recorder. */

#ifndef WASABIWIND_ONCE_RECORD_LOG_H_
#define WASABIWIND_ONCE_RECORD_LOG_H_

#include <once.pb.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/error_type.h"

namespace wasabiwind::once {

/**
 * Log in one file, `claims.log`, below a data folder. A frame holds all
 * entries that are synced together: magic number, length, checksum of length
 * and payload, payload (OnceLogBatch).
 *
 * If the file ends inside its last frame, a crash interrupted the write before
 * the sync: no reply depends on that frame, and it is truncated. A complete
 * frame that fails its checksum means that synced data is corrupt. Open then
 * fails, and an operator must empty the data folder, so that the recorder
 * copies from both others. Not thread-safe.
 */
class RecordLog {
 public:
  RecordLog() = default;
  ~RecordLog();
  RecordLog(const RecordLog &) = delete;
  RecordLog &operator=(const RecordLog &) = delete;

  /**
   * Opens or creates the log and replays it. A second process can't open it.
   * @param folder existing folder
   * @param apply called for each entry, oldest first
   * @return kIo, kConflict if another process has it open, or kCorrupt
   */
  base::Result<void> Open(
      const std::string &folder,
      const std::function<void(const gen::OnceLogEntry &)> &apply);

  /** Appends one frame and syncs it. After an error the log must not be used
   * any more, because the state of the file isn't known. */
  base::Result<void> Append(std::vector<gen::OnceLogEntry> entries);

  /** Replaces the log by a new one with these entries, atomically. */
  base::Result<void> Compact(std::vector<gen::OnceLogEntry> entries);

  /** @return size of the file in bytes. */
  std::uint64_t GetSize() const { return m_size; }

  /** @return size of the file after the last compaction, in bytes. */
  std::uint64_t GetCompactedSize() const { return m_compacted_size; }

 private:
  base::Result<void> Lock();
  base::Result<std::uint64_t> Replay(
      const std::string &data,
      const std::function<void(const gen::OnceLogEntry &)> &apply) const;
  base::Error MakeIoError(const char *action) const;

  std::string m_folder;
  std::string m_path;
  int m_file = -1;
  int m_lock = -1;
  std::uint64_t m_size = 0;
  std::uint64_t m_compacted_size = 0;
};

}  // namespace wasabiwind::once

#endif  // WASABIWIND_ONCE_RECORD_LOG_H_
