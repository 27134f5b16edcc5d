/** @file engine_backup.h Attempts beside one whose engine is silent. */

#ifndef WASABIWIND_ENTRY_ENGINE_BACKUP_H_
#define WASABIWIND_ENTRY_ENGINE_BACKUP_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/engine_attempt.h"

namespace wasabiwind::entry {

/** How far a backup is. */
enum class BackupState : std::uint8_t {
  kOpening,  ///< its fiber waits for the first token
  kBegun,    ///< its fiber has ended with the first token
  kFailed,   ///< its fiber has ended without one
};

/** An attempt that may replace a silent one. While it is being opened, it may
 * outlive its request. */
struct Backup {
  EngineAttempt m_attempt;
  BackupState m_state = BackupState::kOpening;
  bool m_is_abandoned = false;
  TokenProgress m_progress;  ///< of the caller, after m_output
  std::string m_output;      ///< events that the caller gets if it is used
  AttemptFailure m_failure;  ///< if it has failed
};
using BackupPtr = std::shared_ptr<Backup>;

/** The backups of one request. Used by the fiber of the request. */
class BackupSet {
 public:
  explicit BackupSet(RequestScope *scope) : m_scope(scope) {}

  bool IsEmpty() const { return m_backups.empty(); }

  /**
   * Sends an attempt and waits for its first token in a fiber of its own.
   * @param progress of the caller; it must stay so until TakeBegun or Abandon
   * @pre called inside RunFiberThread
   */
  void Open(EngineAttempt attempt, const TokenProgress &progress);

  /** Takes one that has its first token. @return nullptr if there is none */
  BackupPtr TakeBegun();

  /**
   * Reports and removes those that have failed.
   * @return whether there were any
   * @pre another attempt of the request runs
   */
  bool DropFailed();

  /** As DropFailed if no other attempt of the request runs: the last one is
   * taken unreported. @return nullptr unless all have failed */
  BackupPtr TakeLastFailed();

  /** Stops all, because another attempt goes on or the request ends. */
  void Abandon();

 private:
  BackupPtr Take(BackupState state);

  RequestScope *m_scope;
  std::vector<BackupPtr> m_backups;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_ENGINE_BACKUP_H_
