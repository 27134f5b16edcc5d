/** @file store_base.h Log, vote and snapshot of one host in files.
 *
 * Files: `superblock` with four checksummed copies, `wal-N` with the entries,
 * `snapshot-I` with the state after entry I. Entries are synced before the
 * superblock records them as the tail. So everything up to the tail that fails
 * its checksum is damage, and everything after it is an unfinished write that
 * this host has not acknowledged.
 */

#ifndef WASABIWIND_REPLICA_STORE_BASE_H_
#define WASABIWIND_REPLICA_STORE_BASE_H_

#include "replica/file_type.h"
#include "replica/raft_func.h"

namespace wasabiwind::replica {

/**
 * Formats the empty data folder of a host of the initial group.
 * @param members all members of the initial group, the same on each of them
 * @return kConflict if the folder isn't empty
 */
base::Result<void> FormatFirstMember(FileSystem *files,
                                     const base::NodeId &host,
                                     const Members &members);

/**
 * Formats the data folder of a host that has no usable superblock. The host
 * counts as a member only once the leader has accepted its new incarnation. The
 * files that the folder held are kept under names that begin with "lost-".
 * @param incarnation random, so that it differs from earlier ones
 */
base::Result<void> FormatReplacement(FileSystem *files,
                                     const base::NodeId &host,
                                     std::uint64_t incarnation);

/** The files of one host, held open. Not thread-safe. */
class Store {
 public:
  /**
   * Reads and checks all files, syncs what was found and removes files that
   * are no longer used.
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
   * @param state after the calls that filled in the effects
   */
  base::Result<void> Save(const RaftState &state, const Effects &effects);

  /** @return bytes of the log file. */
  std::uint64_t GetWalBytes() const { return m_wal_bytes; }

 private:
  explicit Store(FileSystem *files) : m_files(files) {}

  base::Result<void> LoadSuperblock();
  base::Result<void> LoadSnapshot(LoadedState *loaded);
  /** @return whether the log file needs no rewrite: nothing in it is damaged
   * and nothing follows the tail. */
  base::Result<bool> LoadWal(LoadedState *loaded);
  base::Result<void> CheckWalNumbers();
  base::Result<void> RemoveUnusedFiles();
  /** Writes two of the four copies, in turn the first and the last two. */
  base::Result<void> WriteSuperblockPair();
  /** Writes all copies. */
  base::Result<void> WriteSuperblock();
  base::Result<void> WriteSnapshot(const Snapshot &snapshot);
  /** Appends entries to the log file. */
  base::Result<void> AppendWal(const Log &log, LogIndex from);
  /** Writes all entries to a log file of the next number. */
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
