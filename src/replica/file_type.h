/** @file file_type.h Interface to the files of one data folder. */

#ifndef WASABIWIND_REPLICA_FILE_TYPE_H_
#define WASABIWIND_REPLICA_FILE_TYPE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error_type.h"

namespace wasabiwind::replica {

/**
 * One open file. Written data may be lost in a crash, wholly or in part, until
 * Sync has returned. All methods return kIo on failure. Not thread-safe.
 */
class File {
 public:
  virtual ~File() = default;

  /** @return up to size bytes; fewer at the end of the file. */
  virtual base::Result<std::string> Read(std::uint64_t offset,
                                         std::uint64_t size) = 0;
  virtual base::Result<void> Write(std::uint64_t offset,
                                   std::string_view data) = 0;
  /** Makes data and size durable; not the name, see SyncFolder. */
  virtual base::Result<void> Sync() = 0;
  virtual base::Result<std::uint64_t> GetSize() = 0;
};

/**
 * The files of one folder, without subfolders. Creating, renaming and removing
 * are durable once SyncFolder has returned. Not thread-safe.
 */
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /** Opens a file for reading and writing; creates an empty one if absent. */
  virtual base::Result<std::unique_ptr<File>> Open(const std::string &name) = 0;
  virtual base::Result<std::vector<std::string>> List() = 0;
  virtual base::Result<void> Remove(const std::string &name) = 0;
  /** Replaces an existing file of the new name. */
  virtual base::Result<void> Rename(const std::string &from,
                                    const std::string &to) = 0;
  virtual base::Result<void> SyncFolder() = 0;
};

/**
 * Opens a folder of the operating system and locks it for this process;
 * creates it if absent.
 * @return kIo, or kConflict if another process holds the folder
 */
base::Result<std::unique_ptr<FileSystem>> OpenDataFolder(
    const std::string &path);

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_FILE_TYPE_H_
