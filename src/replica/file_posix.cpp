/** @file file_posix.cpp Files of the operating system. */

#include <dirent.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "replica/file_type.h"

namespace wasabiwind::replica {

namespace {

constexpr int kFileMode = 0640;
constexpr int kFolderMode = 0750;
constexpr const char *kLockName = "lock";

tl::unexpected<base::Error> MakeIoError(const std::string &action,
                                        const std::string &path) {
  return base::MakeError(
      base::ErrorKind::kIo,
      fmt::format("{} {} failed: {}", action, path, std::strerror(errno)),
      "check the disk and the permissions of the data folder");
}

class PosixFile : public File {
 public:
  PosixFile(int descriptor, std::string path)
      : m_descriptor(descriptor), m_path(std::move(path)) {}
  ~PosixFile() override { close(m_descriptor); }
  PosixFile(const PosixFile &) = delete;
  PosixFile &operator=(const PosixFile &) = delete;

  base::Result<std::string> Read(std::uint64_t offset,
                                 std::uint64_t size) override {
    std::string data(size, '\0');
    std::size_t done = 0;
    while (done < size) {
      ssize_t count = pread(m_descriptor, data.data() + done, size - done,
                            static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return MakeIoError("reading", m_path);
      if (count == 0) break;
      done += static_cast<std::size_t>(count);
    }
    data.resize(done);
    return data;
  }

  base::Result<void> Write(std::uint64_t offset,
                           std::string_view data) override {
    std::size_t done = 0;
    while (done < data.size()) {
      ssize_t count =
          pwrite(m_descriptor, data.data() + done, data.size() - done,
                 static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return MakeIoError("writing", m_path);
      done += static_cast<std::size_t>(count);
    }
    return {};
  }

  base::Result<void> Sync() override {
    if (fdatasync(m_descriptor) != 0) return MakeIoError("syncing", m_path);
    return {};
  }

  base::Result<std::uint64_t> GetSize() override {
    struct stat status = {};
    if (fstat(m_descriptor, &status) != 0) {
      return MakeIoError("reading the size of", m_path);
    }
    return static_cast<std::uint64_t>(status.st_size);
  }

 private:
  int m_descriptor;
  std::string m_path;
};

class PosixFileSystem : public FileSystem {
 public:
  PosixFileSystem(std::string path, int folder, int lock)
      : m_path(std::move(path)), m_folder(folder), m_lock(lock) {}
  ~PosixFileSystem() override {
    close(m_lock);
    close(m_folder);
  }
  PosixFileSystem(const PosixFileSystem &) = delete;
  PosixFileSystem &operator=(const PosixFileSystem &) = delete;

  base::Result<std::unique_ptr<File>> Open(const std::string &name) override {
    std::string path = m_path + "/" + name;
    int descriptor =
        openat(m_folder, name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    if (descriptor < 0) return MakeIoError("opening", path);
    return std::make_unique<PosixFile>(descriptor, path);
  }

  base::Result<std::vector<std::string>> List() override {
    DIR *stream = opendir(m_path.c_str());
    if (stream == nullptr) return MakeIoError("listing", m_path);
    std::vector<std::string> names;
    while (dirent *item = readdir(stream)) {
      std::string name = item->d_name;
      if (name != "." && name != ".." && name != kLockName) {
        names.push_back(std::move(name));
      }
    }
    closedir(stream);
    return names;
  }

  base::Result<void> Remove(const std::string &name) override {
    if (unlinkat(m_folder, name.c_str(), 0) != 0) {
      return MakeIoError("removing", m_path + "/" + name);
    }
    return {};
  }

  base::Result<void> Rename(const std::string &from,
                            const std::string &to) override {
    if (renameat(m_folder, from.c_str(), m_folder, to.c_str()) != 0) {
      return MakeIoError("renaming", m_path + "/" + from);
    }
    return {};
  }

  base::Result<void> SyncFolder() override {
    if (fsync(m_folder) != 0) return MakeIoError("syncing", m_path);
    return {};
  }

 private:
  std::string m_path;
  int m_folder;
  int m_lock;  ///< held until this object is destroyed
};

}  // namespace

base::Result<std::unique_ptr<FileSystem>> OpenDataFolder(
    const std::string &path) {
  if (mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return MakeIoError("creating", path);
  }
  int folder = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return MakeIoError("opening", path);
  int lock = openat(folder, kLockName, O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock < 0) {
    close(folder);
    return MakeIoError("opening", path + "/" + kLockName);
  }
  if (flock(lock, LOCK_EX | LOCK_NB) != 0) {
    close(lock);
    close(folder);
    return base::MakeError(base::ErrorKind::kConflict,
                           fmt::format("another process has locked {}", path),
                           "give each process its own data folder");
  }
  return std::make_unique<PosixFileSystem>(path, folder, lock);
}

}  // namespace wasabiwind::replica
