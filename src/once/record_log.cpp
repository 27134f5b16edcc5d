/** @file record_log.cpp Write-ahead log of a recorder. */

#include "once/record_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <string_view>

namespace wasabiwind::once {

namespace {

using base::ErrorKind;
using base::MakeError;

constexpr std::uint32_t kMagic = 0x31305757;  // "WW01"
constexpr std::size_t kHeaderBytes = 16;
/** A compacted log is written in frames of about this size. Replay parses one
 * frame at a time, so that parsed entries take little memory beside the
 * records. */
constexpr std::size_t kFrameBytes = 1 << 20;

struct FrameHeader {
  std::uint32_t m_magic = kMagic;
  std::uint32_t m_size = 0;
  std::uint64_t m_checksum = 0;
};
static_assert(sizeof(FrameHeader) == kHeaderBytes);

std::uint64_t ComputeChecksum(std::string_view payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

std::string MakeFrame(const gen::OnceLogBatch &batch) {
  std::string payload = batch.SerializeAsString();
  FrameHeader header;
  header.m_size = static_cast<std::uint32_t>(payload.size());
  header.m_checksum = ComputeChecksum(payload);
  std::string frame(reinterpret_cast<const char *>(&header), kHeaderBytes);
  return frame + payload;
}

bool WriteAll(int file, std::string_view data) {
  while (!data.empty()) {
    ssize_t written = write(file, data.data(), data.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    data.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool ReadAll(int file, std::string *data) {
  struct stat status {};
  if (fstat(file, &status) != 0) return false;
  data->resize(static_cast<std::size_t>(status.st_size));
  std::size_t offset = 0;
  while (offset < data->size()) {
    ssize_t count = pread(file, data->data() + offset, data->size() - offset,
                          static_cast<off_t>(offset));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    offset += static_cast<std::size_t>(count);
  }
  return true;
}

bool SyncFolder(const std::string &folder) {
  int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return false;
  bool synced = fsync(descriptor) == 0;
  close(descriptor);
  return synced;
}

}  // namespace

RecordLog::~RecordLog() {
  if (m_file >= 0) close(m_file);
  if (m_lock >= 0) close(m_lock);
}

base::Error RecordLog::MakeIoError(const char *action) const {
  return {ErrorKind::kIo,
          fmt::format("can't {} {}: {}", action, m_path, std::strerror(errno)),
          "check that the data folder exists, is writable and has room"};
}

base::Result<void> RecordLog::Lock() {
  std::string path = m_folder + "/lock";
  m_lock = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (m_lock < 0) return tl::unexpected(MakeIoError("lock"));
  if (flock(m_lock, LOCK_EX | LOCK_NB) != 0) {
    return MakeError(ErrorKind::kConflict,
                     fmt::format("{} is used by another process", m_folder),
                     "give each recorder its own data folder");
  }
  return {};
}

base::Result<std::uint64_t> RecordLog::Replay(
    const std::string &data,
    const std::function<void(const gen::OnceLogEntry &)> &apply) const {
  std::uint64_t offset = 0;
  while (data.size() - offset >= kHeaderBytes) {
    FrameHeader header;
    std::memcpy(&header, data.data() + offset, kHeaderBytes);
    auto make_corrupt_error = [&] {
      return MakeError(
          ErrorKind::kCorrupt,
          fmt::format("{} is damaged at byte {}", m_path, offset),
          "move the data folder's files away; the recorder then copies from "
          "the two others");
    };
    if (header.m_magic != kMagic) return make_corrupt_error();
    std::uint64_t end = offset + kHeaderBytes + header.m_size;
    if (end > data.size()) break;
    std::string_view payload(data.data() + offset + kHeaderBytes,
                             header.m_size);
    gen::OnceLogBatch batch;
    bool is_valid =
        ComputeChecksum(payload) == header.m_checksum &&
        batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (!is_valid) return make_corrupt_error();
    for (const gen::OnceLogEntry &entry : batch.entries()) apply(entry);
    offset = end;
  }
  return offset;
}

base::Result<void> RecordLog::Open(
    const std::string &folder,
    const std::function<void(const gen::OnceLogEntry &)> &apply) {
  m_folder = folder;
  m_path = folder + "/claims.log";
  if (base::Result<void> locked = Lock(); !locked) return locked;
  m_file = open(m_path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (m_file < 0) return tl::unexpected(MakeIoError("open"));
  std::string data;
  if (!ReadAll(m_file, &data)) return tl::unexpected(MakeIoError("read"));
  base::Result<std::uint64_t> valid = Replay(data, apply);
  if (!valid) return tl::unexpected(valid.error());
  if (ftruncate(m_file, static_cast<off_t>(*valid)) != 0 ||
      fsync(m_file) != 0 || !SyncFolder(folder)) {
    return tl::unexpected(MakeIoError("sync"));
  }
  m_size = *valid;
  m_compacted_size = *valid;
  return {};
}

base::Result<void> RecordLog::Append(std::vector<gen::OnceLogEntry> entries) {
  gen::OnceLogBatch batch;
  for (gen::OnceLogEntry &entry : entries) {
    *batch.add_entries() = std::move(entry);
  }
  std::string frame = MakeFrame(batch);
  if (!WriteAll(m_file, frame)) return tl::unexpected(MakeIoError("write"));
  if (fdatasync(m_file) != 0) return tl::unexpected(MakeIoError("sync"));
  m_size += frame.size();
  return {};
}

base::Result<void> RecordLog::Compact(std::vector<gen::OnceLogEntry> entries) {
  std::string path = m_path + ".new";
  int file = open(path.c_str(),
                  O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
  if (file < 0) return tl::unexpected(MakeIoError("compact"));
  std::uint64_t size = 0;
  bool written = true;
  gen::OnceLogBatch batch;
  std::size_t batch_bytes = 0;
  auto flush = [&] {
    std::string frame = MakeFrame(batch);
    written = written && WriteAll(file, frame);
    size += frame.size();
    batch.Clear();
    batch_bytes = 0;
  };
  for (gen::OnceLogEntry &entry : entries) {
    batch_bytes += entry.ByteSizeLong();
    *batch.add_entries() = std::move(entry);
    if (batch_bytes >= kFrameBytes) flush();
  }
  flush();
  bool replaced = written && fsync(file) == 0 &&
                  rename(path.c_str(), m_path.c_str()) == 0 &&
                  SyncFolder(m_folder);
  if (!replaced) {
    close(file);
    return tl::unexpected(MakeIoError("compact"));
  }
  close(m_file);
  m_file = file;
  m_size = size;
  m_compacted_size = size;
  return {};
}

}  // namespace wasabiwind::once
