/** @file engine_backup.cpp Attempts beside one whose engine is silent. */

#include "entry/engine_backup.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>

namespace wasabiwind::entry {

namespace {

/** Reads up to the first token. @return why there is none, or nothing */
std::optional<AttemptFailure> ReadFirstToken(Backup *backup) {
  EngineAttempt *attempt = &backup->m_attempt;
  TokenProgress *progress = &backup->m_progress;
  std::uint64_t tokens_before = progress->m_tokens;
  base::Result<void> head = ReadMore(attempt, attempt->m_deadline);
  if (!head) {
    return MakeFailure(RetryReason::kAnswerLost, head.error().m_message);
  }
  std::optional<AttemptFailure> failure = CheckStreamHead(*attempt);
  if (failure) return failure;
  while (true) {
    std::optional<EventAction> action =
        TakeEvent(&attempt->m_reader, progress, &backup->m_output);
    attempt->m_is_done = action == EventAction::kDone;
    if (attempt->m_is_done || progress->m_is_finished ||
        progress->m_tokens > tokens_before) {
      return std::nullopt;
    }
    if (action == EventAction::kBroken) {
      return MakeFailure(RetryReason::kBadAnswer,
                         "the engine's events are not valid");
    }
    if (action) continue;
    if (attempt->m_is_body_complete) {
      return MakeFailure(RetryReason::kStreamBroken,
                         "the stream ended without a token");
    }
    base::Result<void> more = ReadMore(attempt, attempt->m_deadline);
    if (!more) {
      return MakeFailure(RetryReason::kStreamBroken, more.error().m_message);
    }
  }
}

std::optional<AttemptFailure> OpenAttempt(EntryThread *thread, Backup *backup) {
  EngineAttempt *attempt = &backup->m_attempt;
  // Pooled connections may be as silent as that of the other attempt.
  if (!SendAttempt(thread, attempt, net::HttpClientPool::Reuse::kFresh)) {
    bool is_sent =
        attempt->m_start.m_send_state != net::SendState::kNothingSent;
    return MakeFailure(
        is_sent ? RetryReason::kAnswerLost : RetryReason::kConnectFailed,
        attempt->m_start.m_error.m_message);
  }
  if (backup->m_is_abandoned) {
    return MakeFailure(RetryReason::kAnswerLost, "the attempt was abandoned");
  }
  return ReadFirstToken(backup);
}

void AbandonBackup(EntryShared *shared, EntryThread *thread, Backup *backup) {
  backup->m_is_abandoned = true;
  net::HttpCall *call = backup->m_attempt.m_start.m_call.get();
  if (backup->m_state != BackupState::kOpening) {
    StopAttempt(shared, thread, &backup->m_attempt);
  } else if (call != nullptr) {
    call->Cancel();
  }
}

}  // namespace

void BackupSet::Open(EngineAttempt attempt, const TokenProgress &progress) {
  auto backup = std::make_shared<Backup>();
  backup->m_attempt = std::move(attempt);
  backup->m_progress = progress;
  m_backups.push_back(backup);
  EntryThread *thread = m_scope->m_thread;
  ++thread->m_backup_fibers;
  boost::fibers::fiber([shared = m_scope->m_shared, thread, backup] {
    std::optional<AttemptFailure> failure = OpenAttempt(thread, backup.get());
    if (failure) backup->m_failure = std::move(*failure);
    backup->m_state = failure ? BackupState::kFailed : BackupState::kBegun;
    if (failure || backup->m_is_abandoned) {
      StopAttempt(shared, thread, &backup->m_attempt);
    }
    --thread->m_backup_fibers;
  }).detach();
}

BackupPtr BackupSet::Take(BackupState state) {
  auto found = std::find_if(
      m_backups.begin(), m_backups.end(),
      [state](const BackupPtr &backup) { return backup->m_state == state; });
  if (found == m_backups.end()) return nullptr;
  BackupPtr backup = *found;
  m_backups.erase(found);
  return backup;
}

BackupPtr BackupSet::TakeBegun() { return Take(BackupState::kBegun); }

bool BackupSet::DropFailed() {
  bool has_dropped = false;
  while (BackupPtr failed = Take(BackupState::kFailed)) {
    ReportFailure(m_scope, failed->m_attempt, failed->m_failure.m_reason, 0);
    has_dropped = true;
  }
  return has_dropped;
}

BackupPtr BackupSet::TakeLastFailed() {
  while (BackupPtr failed = Take(BackupState::kFailed)) {
    if (m_backups.empty()) return failed;
    ReportFailure(m_scope, failed->m_attempt, failed->m_failure.m_reason, 0);
  }
  return nullptr;
}

void BackupSet::Abandon() {
  for (const BackupPtr &backup : m_backups) {
    const UpstreamLease &lease = backup->m_attempt.m_lease;
    AbandonBackup(m_scope->m_shared, m_scope->m_thread, backup.get());
    m_scope->m_shared->m_dispatcher->NoteCancel(lease);
    NoteAttempt(m_scope, lease.m_upstream->m_id, "cancelled");
  }
  m_backups.clear();
}

}  // namespace wasabiwind::entry
