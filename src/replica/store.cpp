/** @file store.cpp Log, vote and snapshot of one host in files. */

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "replica/log_func.h"
#include "replica/record_internal.h"
#include "replica/store_base.h"

namespace wasabiwind::replica {

namespace {

constexpr const char *kSuperblockName = "superblock";
constexpr const char *kLostPrefix = "lost-";
constexpr std::string_view kWalPrefix = "wal-";
constexpr const char *kTemporarySuffix = ".tmp";
/** Incarnation of all hosts of the initial group. */
constexpr std::uint64_t kFirstIncarnation = 1;
/** With fewer valid copies the newest vote may be among the damaged ones. */
constexpr std::size_t kMinValidCopies = 2;
constexpr std::uint64_t kCopiesPerWrite = 2;

std::string GetWalName(std::uint64_t number) {
  return fmt::format("{}{}", kWalPrefix, number);
}

std::string GetSnapshotName(LogIndex index) {
  return fmt::format("snapshot-{}", index);
}

tl::unexpected<base::Error> MakeSuperblockLostError(const std::string &reason) {
  return base::MakeError(
      base::ErrorKind::kNotFound, reason,
      "the host continues as a non-voter; replace it on the leader");
}

base::Result<std::string> ReadAll(File *file) {
  base::Result<std::uint64_t> size = file->GetSize();
  if (!size) return tl::unexpected(size.error());
  return file->Read(0, *size);
}

/** Writes a file under a temporary name, syncs it and renames it. */
base::Result<void> WriteWholeFile(FileSystem *files, const std::string &name,
                                  const std::string &bytes) {
  std::string temporary = name + kTemporarySuffix;
  base::Result<std::unique_ptr<File>> file = files->Open(temporary);
  if (!file) return tl::unexpected(file.error());
  if (base::Result<void> done = (*file)->Write(0, bytes); !done) return done;
  if (base::Result<void> done = (*file)->Sync(); !done) return done;
  if (base::Result<void> done = files->Rename(temporary, name); !done) {
    return done;
  }
  return files->SyncFolder();
}

/** Writes the four copies of a first superblock. */
base::Result<void> WriteFirstSuperblock(FileSystem *files,
                                        const gen::SuperblockRecord &record) {
  std::string framed = FrameBytes(kSuperblockMagic, record.SerializeAsString());
  std::string bytes;
  for (std::uint64_t i = 0; i < kSuperblockCopies; ++i) {
    bytes += framed;
    bytes.resize((i + 1) * kSuperblockSpacing);
  }
  return WriteWholeFile(files, kSuperblockName, bytes);
}

void AppendDamagedEntries(Log *log, LogIndex last) {
  while (GetLastIndex(*log) < last) {
    Entry entry;
    entry.m_is_damaged = true;
    entry.m_is_term_known = false;
    AppendEntry(log, std::move(entry));
  }
}

/** State of a scan over a log file. Entries up to m_tail were synced. */
struct WalScan {
  std::uint64_t m_number = 0;
  std::string_view m_bytes;
  LogPosition m_tail;
  Log *m_log = nullptr;
  std::uint64_t m_offset = 0;
  bool m_is_clean = true;  ///< no damage was found
};

/**
 * Finds the next readable record after a damaged header.
 * @return false if there is none up to the first one after the tail
 */
bool SkipDamagedHeader(WalScan *scan) {
  LogIndex expected = GetLastIndex(*scan->m_log) + 1;
  std::uint64_t offset = scan->m_offset + kRecordAlignment;
  for (; offset < scan->m_bytes.size(); offset += kRecordAlignment) {
    std::optional<RecordHeader> header =
        ReadRecordHeader(scan->m_number, scan->m_bytes, offset);
    if (!header || header->m_index <= expected) continue;
    if (header->m_index > scan->m_tail.m_index + 1) return false;
    AppendDamagedEntries(scan->m_log, header->m_index - 1);
    scan->m_offset = offset;
    return true;
  }
  return false;
}

/** Reads one record, or skips damaged ones up to the tail.
 * @return false at the end of what is readable */
bool ScanRecord(WalScan *scan) {
  LogIndex expected = GetLastIndex(*scan->m_log) + 1;
  bool is_after_tail = expected > scan->m_tail.m_index;
  std::optional<RecordHeader> header =
      ReadRecordHeader(scan->m_number, scan->m_bytes, scan->m_offset);
  if (!header || header->m_index != expected) {
    if (is_after_tail) return false;
    scan->m_is_clean = false;
    return SkipDamagedHeader(scan);
  }
  Entry entry = ReadRecordEntry(*header, scan->m_bytes, scan->m_offset);
  if (entry.m_is_damaged && is_after_tail) return false;
  scan->m_is_clean = scan->m_is_clean && !entry.m_is_damaged;
  SetDamagedTerm(scan->m_log, expected - 1, header->m_prev_term);
  AppendEntry(scan->m_log, std::move(entry));
  scan->m_offset += GetRecordSize(*header);
  return true;
}

}  // namespace

base::Result<void> FormatFirstMember(FileSystem *files,
                                     const base::NodeId &host,
                                     const Members &members) {
  base::Result<std::vector<std::string>> names = files->List();
  if (!names) return tl::unexpected(names.error());
  if (!names->empty()) {
    return base::MakeError(base::ErrorKind::kConflict,
                           "the data folder isn't empty",
                           "format only the empty folder of a host of the "
                           "initial group");
  }
  gen::SuperblockRecord record;
  record.set_host(host.Value());
  record.set_incarnation(kFirstIncarnation);
  record.set_sequence(1);
  Members first = members;
  for (Member &member : first) {
    member.m_identity.m_incarnation = kFirstIncarnation;
  }
  *record.mutable_initial_members() = SerializeMembers(first);
  return WriteFirstSuperblock(files, record);
}

base::Result<void> FormatReplacement(FileSystem *files,
                                     const base::NodeId &host,
                                     std::uint64_t incarnation) {
  base::Result<std::vector<std::string>> names = files->List();
  if (!names) return tl::unexpected(names.error());
  // Only the files of the last loss are kept, which bounds the folder's size.
  for (const std::string &name : *names) {
    if (!name.starts_with(kLostPrefix)) continue;
    if (base::Result<void> done = files->Remove(name); !done) return done;
  }
  for (const std::string &name : *names) {
    if (name.starts_with(kLostPrefix)) continue;
    base::Result<void> done = files->Rename(name, kLostPrefix + name);
    if (!done) return done;
  }
  if (base::Result<void> done = files->SyncFolder(); !done) return done;
  gen::SuperblockRecord record;
  record.set_host(host.Value());
  record.set_incarnation(incarnation);
  record.set_sequence(1);
  return WriteFirstSuperblock(files, record);
}

base::Result<void> Store::LoadSuperblock() {
  base::Result<std::unique_ptr<File>> file = m_files->Open(kSuperblockName);
  if (!file) return tl::unexpected(file.error());
  m_superblock_file = std::move(*file);
  base::Result<std::string> bytes = ReadAll(m_superblock_file.get());
  if (!bytes) return tl::unexpected(bytes.error());
  std::size_t valid = 0;
  for (std::uint64_t i = 0; i < kSuperblockCopies; ++i) {
    std::string_view all = *bytes;
    if (all.size() <= i * kSuperblockSpacing) break;
    std::optional<std::string> copy =
        UnframeBytes(kSuperblockMagic,
                     all.substr(i * kSuperblockSpacing, kSuperblockSpacing));
    gen::SuperblockRecord record;
    if (!copy || !record.ParseFromString(*copy)) continue;
    ++valid;
    if (record.sequence() > m_superblock.sequence()) m_superblock = record;
  }
  if (valid >= kMinValidCopies) return {};
  return MakeSuperblockLostError(
      fmt::format("{} of {} superblock copies are valid", valid,
                  static_cast<std::uint64_t>(kSuperblockCopies)));
}

base::Result<void> Store::LoadSnapshot(LoadedState *loaded) {
  Snapshot *snapshot = &loaded->m_snapshot;
  snapshot->m_members = ParseMembers(m_superblock.initial_members());
  snapshot->m_position =
      LogPosition{m_superblock.snapshot_term(), m_superblock.snapshot_index()};
  if (snapshot->m_position.m_index == 0) return {};
  base::Result<std::unique_ptr<File>> file =
      m_files->Open(GetSnapshotName(snapshot->m_position.m_index));
  if (!file) return tl::unexpected(file.error());
  base::Result<std::string> bytes = ReadAll(file->get());
  if (!bytes) return tl::unexpected(bytes.error());
  std::optional<std::string> content = UnframeBytes(kSnapshotMagic, *bytes);
  gen::SnapshotRecord record;
  bool is_valid = content && record.ParseFromString(*content) &&
                  record.last_index() == snapshot->m_position.m_index &&
                  record.last_term() == snapshot->m_position.m_term;
  loaded->m_is_snapshot_damaged = !is_valid;
  if (!is_valid) return {};
  snapshot->m_members = ParseMembers(record.members());
  snapshot->m_data =
      std::make_shared<const std::string>(std::move(*record.mutable_data()));
  snapshot->m_checksum = HashBytes(*snapshot->m_data);
  return {};
}

base::Result<bool> Store::LoadWal(LoadedState *loaded) {
  base::Result<std::unique_ptr<File>> file =
      m_files->Open(GetWalName(m_superblock.wal_number()));
  if (!file) return tl::unexpected(file.error());
  m_wal = std::move(*file);
  base::Result<std::string> bytes = ReadAll(m_wal.get());
  if (!bytes) return tl::unexpected(bytes.error());
  Log *log = &loaded->m_log;
  log->m_base =
      LogPosition{m_superblock.wal_base_term(), m_superblock.wal_base_index()};
  WalScan scan;
  scan.m_number = m_superblock.wal_number();
  scan.m_bytes = *bytes;
  scan.m_tail =
      LogPosition{m_superblock.tail_term(), m_superblock.tail_index()};
  scan.m_log = log;
  while (ScanRecord(&scan)) {
  }
  if (GetLastIndex(*log) < scan.m_tail.m_index) {
    AppendDamagedEntries(log, scan.m_tail.m_index);
    scan.m_is_clean = false;
  }
  if (GetLastIndex(*log) == scan.m_tail.m_index) {
    SetDamagedTerm(log, scan.m_tail.m_index, scan.m_tail.m_term);
  }
  m_wal_bytes = scan.m_offset;
  loaded->m_torn_bytes = bytes->size() - std::min(scan.m_offset, bytes->size());
  return scan.m_is_clean && loaded->m_torn_bytes == 0;
}

base::Result<void> Store::CheckWalNumbers() {
  base::Result<std::vector<std::string>> names = m_files->List();
  if (!names) return tl::unexpected(names.error());
  // A crash during a rewrite leaves a file of the next number at most; a higher
  // number belongs to a newer superblock.
  for (const std::string &name : *names) {
    if (!name.starts_with(kWalPrefix) || name.ends_with(kTemporarySuffix))
      continue;
    std::uint64_t number = 0;
    const char *end = name.data() + name.size();
    std::from_chars(name.data() + kWalPrefix.size(), end, number);
    if (number > m_superblock.wal_number() + 1) {
      return MakeSuperblockLostError(
          "the superblock is older than the log file");
    }
  }
  return {};
}

base::Result<void> Store::RemoveUnusedFiles() {
  base::Result<std::vector<std::string>> names = m_files->List();
  if (!names) return tl::unexpected(names.error());
  for (const std::string &name : *names) {
    bool is_needed = name == kSuperblockName ||
                     name == GetWalName(m_superblock.wal_number()) ||
                     name == GetSnapshotName(m_superblock.snapshot_index()) ||
                     name.starts_with(kLostPrefix);
    if (is_needed) continue;
    if (base::Result<void> done = m_files->Remove(name); !done) return done;
  }
  return {};
}

base::Result<std::unique_ptr<Store>> Store::Open(FileSystem *files,
                                                 LoadedState *loaded) {
  std::unique_ptr<Store> store(new Store(files));
  if (base::Result<void> done = store->LoadSuperblock(); !done) {
    return tl::unexpected(done.error());
  }
  if (base::Result<void> done = store->CheckWalNumbers(); !done) {
    return tl::unexpected(done.error());
  }
  const gen::SuperblockRecord &record = store->m_superblock;
  loaded->m_self =
      HostIdentity{base::NodeId(record.host()), record.incarnation()};
  loaded->m_term = record.term();
  loaded->m_voted_for = HostIdentity{base::NodeId(record.voted_host()),
                                     record.voted_incarnation()};
  loaded->m_vote_floor = LogPosition{record.floor_term(), record.floor_index()};
  if (base::Result<void> done = store->LoadSnapshot(loaded); !done) {
    return tl::unexpected(done.error());
  }
  base::Result<bool> is_clean = store->LoadWal(loaded);
  if (!is_clean) return tl::unexpected(is_clean.error());
  Log *log = &loaded->m_log;
  // The superblock is written before entries of a new term.
  if (GetLastPosition(*log).m_term > loaded->m_term) {
    return MakeSuperblockLostError(
        "the superblock is older than the last entry");
  }
  LogIndex first_damaged = GetFirstDamagedIndex(*log);
  bool is_in_snapshot = first_damaged <= record.snapshot_index();
  if (is_in_snapshot && !loaded->m_is_snapshot_damaged) {
    DropLogPrefix(log, loaded->m_snapshot.m_position);
  }
  // If the last process was killed before it synced, what was read may be in
  // the page cache only. It must be synced before anything relies on it.
  base::Result<void> saved =
      *is_clean ? store->m_wal->Sync() : store->RewriteWal(*log);
  if (!saved) return tl::unexpected(saved.error());
  store->SetTail(*log);
  if (base::Result<void> done = store->WriteSuperblock(); !done) {
    return tl::unexpected(done.error());
  }
  if (base::Result<void> done = store->RemoveUnusedFiles(); !done) {
    return tl::unexpected(done.error());
  }
  // Opening creates the first log file, whose name must survive a crash too.
  if (base::Result<void> done = files->SyncFolder(); !done) {
    return tl::unexpected(done.error());
  }
  return store;
}

void Store::SetTail(const Log &log) {
  LogPosition last = GetLastPosition(log);
  m_superblock.set_tail_index(last.m_index);
  m_superblock.set_tail_term(last.m_term);
}

base::Result<void> Store::WriteSuperblockPair() {
  m_superblock.set_sequence(m_superblock.sequence() + 1);
  std::string framed =
      FrameBytes(kSuperblockMagic, m_superblock.SerializeAsString());
  if (framed.size() > kSuperblockSpacing) {
    return base::MakeError(base::ErrorKind::kInternal,
                           "the superblock is larger than the space of a copy",
                           "shorten the names of the control hosts");
  }
  std::uint64_t pair = m_superblock.sequence() % kCopiesPerWrite;
  for (std::uint64_t i = 0; i < kCopiesPerWrite; ++i) {
    std::uint64_t copy = pair * kCopiesPerWrite + i;
    base::Result<void> done =
        m_superblock_file->Write(copy * kSuperblockSpacing, framed);
    if (!done) return done;
  }
  return m_superblock_file->Sync();
}

base::Result<void> Store::WriteSuperblock() {
  // The second write begins after the first is synced, so two valid copies
  // exist at every moment.
  if (base::Result<void> done = WriteSuperblockPair(); !done) return done;
  return WriteSuperblockPair();
}

base::Result<void> Store::WriteSnapshot(const Snapshot &snapshot) {
  gen::SnapshotRecord record;
  record.set_last_index(snapshot.m_position.m_index);
  record.set_last_term(snapshot.m_position.m_term);
  *record.mutable_members() = SerializeMembers(snapshot.m_members);
  record.set_data(*snapshot.m_data);
  return WriteWholeFile(m_files, GetSnapshotName(snapshot.m_position.m_index),
                        FrameBytes(kSnapshotMagic, record.SerializeAsString()));
}

base::Result<void> Store::AppendWal(const Log &log, LogIndex from) {
  std::string bytes;
  for (LogIndex index = from; index <= GetLastIndex(log); ++index) {
    AppendRecord(m_superblock.wal_number(), log, index, &bytes);
  }
  if (base::Result<void> done = m_wal->Write(m_wal_bytes, bytes); !done) {
    return done;
  }
  m_wal_bytes += bytes.size();
  return m_wal->Sync();
}

base::Result<void> Store::RewriteWal(const Log &log) {
  std::uint64_t number = m_superblock.wal_number() + 1;
  std::string bytes;
  for (LogIndex index = log.m_base.m_index + 1; index <= GetLastIndex(log);
       ++index) {
    AppendRecord(number, log, index, &bytes);
  }
  std::string name = GetWalName(number);
  if (base::Result<void> done = WriteWholeFile(m_files, name, bytes); !done) {
    return done;
  }
  base::Result<std::unique_ptr<File>> file = m_files->Open(name);
  if (!file) return tl::unexpected(file.error());
  m_wal = std::move(*file);
  m_wal_bytes = bytes.size();
  m_superblock.set_wal_number(number);
  m_superblock.set_wal_base_index(log.m_base.m_index);
  m_superblock.set_wal_base_term(log.m_base.m_term);
  return {};
}

base::Result<void> Store::Save(const RaftState &state, const Effects &effects) {
  if (!effects.NeedsSave()) return {};
  m_superblock.set_term(state.m_term);
  m_superblock.set_voted_host(state.m_voted_for.m_host.Value());
  m_superblock.set_voted_incarnation(state.m_voted_for.m_incarnation);
  m_superblock.set_floor_term(state.m_vote_floor.m_term);
  m_superblock.set_floor_index(state.m_vote_floor.m_index);
  if (effects.m_is_vote_changed) {
    if (base::Result<void> done = WriteSuperblock(); !done) return done;
  }
  if (!effects.m_log_changed_from && !effects.m_is_snapshot_changed) return {};
  if (effects.m_is_snapshot_changed) {
    base::Result<void> done = WriteSnapshot(state.m_snapshot);
    if (!done) return done;
    m_superblock.set_snapshot_index(state.m_snapshot.m_position.m_index);
    m_superblock.set_snapshot_term(state.m_snapshot.m_position.m_term);
  }
  bool is_append = !effects.m_is_snapshot_changed &&
                   *effects.m_log_changed_from > m_superblock.tail_index();
  base::Result<void> done =
      is_append ? AppendWal(state.m_log, m_superblock.tail_index() + 1)
                : RewriteWal(state.m_log);
  if (!done) return done;
  SetTail(state.m_log);
  if (is_append) return WriteSuperblockPair();
  if (done = WriteSuperblock(); !done) return done;
  return RemoveUnusedFiles();
}

}  // namespace wasabiwind::replica
