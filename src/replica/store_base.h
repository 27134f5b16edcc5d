/** @file store_base.h Log, vote and snapshot of one host in files.
 *
 * Files: `superblock` with four checksummed copies, `wal-N` with the entries,
 * `snapshot-I` with the state after entry I. Entries are synced before the
 * superblock records them as the tail. So everything up to the tail that fails
 * its checksum is damage, and everything behind it is an unfinished write that
 * nobody has acknowledged.
 */

#ifndef WASABIWIND_REPLICA_STORE_BASE_H_
#define WASABIWIND_REPLICA_STORE_BASE_H_

#include "replica/file_type.h"
#include "replica/raft_func.h"

namespace wasabiwind::replica {

/**
 * Prepares the empty folder of a first member.
 * @param members all first members, equal on each of them
 * @return kConflict if the folder isn't empty
 */
base::Result<void> FormatFirstMember(FileSystem *files,
                                     const base::NodeId &host,
                                     const Members &members);

/**
 * Prepares the folder of a host that has no usable superblock. It answers only
 * once the leader has accepted its new incarnation. What the folder held is
 * kept under names that begin with "lost-".
 * @param incarnation random, so that it differs from earlier ones
 */
base::Result<void> FormatReplacement(FileSystem *files,
                                     const base::NodeId &host,
                                     std::uint64_t incarnation);

/** Open files of one host. Not thread-safe. */
class Store {
 public:
  /**
   * Reads and checks all files, syncs what was found and removes left-overs.
   * @param[out] loaded what the files hold
   * @return kNotFound if the superblock is absent, damaged in most copies or
   *         older than the log: the host needs FormatReplacement
   * @return kIo if reading or writing fails
   */
  static base::Result<std::unique_ptr<Store>> Open(FileSystem *files,
                                                   LoadedState *loaded);

  /**
   * Writes and syncs what changed. After an error the files are in an unknown
   * state: the process must end and start again.
   * @param state as the effects left it
   */
  base::Result<void> Save(const RaftState &state, const Effects &effects);

  /** @return bytes of the log file. */
  std::uint64_t GetWalBytes() const { return m_wal_bytes; }

 private:
  explicit Store(FileSystem *files) : m_files(files) {}

  base::Result<void> LoadSuperblock();
  base::Result<void> LoadSnapshot(LoadedState *loaded);
  base::Result<bool> LoadWal(LoadedState *loaded);
  base::Result<void> CheckWalNumbers();
  base::Result<void> RemoveLeftOvers();
  base::Result<void> WriteSuperblockPair();
  base::Result<void> WriteSuperblock();
  base::Result<void> WriteSnapshot(const Snapshot &snapshot);
  base::Result<void> AppendWal(const Log &log, LogIndex from);
  base::Result<void> RewriteWal(const Log &log);
  void SetTail(const Log &log);

  FileSystem *m_files;
  std::unique_ptr<File> m_superblock_file;
  std::unique_ptr<File> m_wal;
  std::uint64_t m_wal_bytes = 0;
  gen::SuperblockRecord m_superblock;  ///< as last written
};

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_STORE_BASE_H_
