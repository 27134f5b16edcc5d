/** @file raft_follower.cpp Followers: entries, snapshots and repair. */

#include <algorithm>
#include <cassert>

#include "replica/raft_internal.h"

namespace wasabiwind::replica {

namespace {

/** Damaged entries requested at a time. */
constexpr std::size_t kMaxRepairEntries = 64;
constexpr std::size_t kMaxRepairBytes = 512 * 1024;

gen::ReplicaMessage MakeAppendReply(const RaftState &state,
                                    const gen::ReplicaMessage &request) {
  gen::ReplicaMessage reply = MakeMessage(state, GetSender(request));
  std::uint64_t round = request.has_append_request()
                            ? request.append_request().confirm_round()
                            : request.snapshot_part().confirm_round();
  reply.mutable_append_reply()->set_confirm_round(round);
  return reply;
}

void FollowLeader(RaftState *state, const gen::ReplicaMessage &message,
                  base::TimePoint now, Effects *effects) {
  base::NodeId leader(message.from_host());
  if (state->m_role != Role::kFollower || state->m_leader != leader) {
    BecomeFollower(state, state->m_term, leader, now, effects);
  }
  state->m_leader_heard_at = now;
  ResetElectionTimer(state, now);
}

/** Removes entries that conflict with the leader's. */
void TruncateConflict(RaftState *state, LogIndex index, Effects *effects) {
  assert(index > state->m_commit_index);
  TruncateLog(&state->m_log, index);
  MarkLogChanged(state, index, effects);
}

/**
 * Decides whether a damaged entry of unknown term equals the leader's: it does
 * if a later entry of both logs has the same term.
 */
bool LaterEntryProvesMatch(const Log &log, const gen::AppendRequest &request,
                           int position) {
  for (int i = position + 1; i < request.entries_size(); ++i) {
    std::optional<TermNumber> term = GetTermAt(log, request.entries(i).index());
    if (term) return *term == request.entries(i).term();
  }
  return false;
}

/**
 * Merges the leader's entry into a log that holds an entry of the same index.
 * @return whether the log changed
 */
bool MergeEntry(RaftState *state, const gen::AppendRequest &request,
                int position, Effects *effects) {
  const gen::LogEntry &entry = request.entries(position);
  Log *log = &state->m_log;
  const Entry &slot = GetEntry(*log, entry.index());
  if (slot.m_is_term_known && slot.m_term == entry.term()) {
    if (!slot.m_is_damaged) return false;
    RepairDamagedEntry(log, entry.index(), ParseEntry(entry));
    MarkLogChanged(state, entry.index(), effects);
    return true;
  }
  if (!slot.m_is_term_known) {
    if (LaterEntryProvesMatch(*log, request, position)) {
      RepairDamagedEntry(log, entry.index(), ParseEntry(entry));
      MarkLogChanged(state, entry.index(), effects);
      return true;
    }
    // Nothing proves that the entries from here on differ from the leader's,
    // so this host may have acknowledged them. The vote floor keeps their last
    // position.
    RaiseVoteFloorToLast(state, effects);
  }
  TruncateConflict(state, entry.index(), effects);
  AppendEntry(log, ParseEntry(entry));
  return true;
}

/** Merges the entries of a request whose previous entry matches. */
void MergeEntries(RaftState *state, const gen::AppendRequest &request,
                  Effects *effects) {
  bool must_refresh = false;
  for (int i = 0; i < request.entries_size(); ++i) {
    const gen::LogEntry &entry = request.entries(i);
    if (entry.index() <= state->m_log.m_base.m_index) continue;
    if (entry.index() <= GetLastIndex(state->m_log)) {
      must_refresh |= MergeEntry(state, request, i, effects);
      continue;
    }
    AppendEntry(&state->m_log, ParseEntry(entry));
    MarkLogChanged(state, entry.index(), effects);
    must_refresh |= entry.kind() == gen::ENTRY_MEMBERS;
  }
  if (must_refresh) RefreshMembers(state);
}

/** @return index that the leader should send next after a mismatch. */
LogIndex GetConflictHint(const Log &log, LogIndex prev_index) {
  LogIndex first_damaged = GetFirstDamagedIndex(log);
  if (prev_index >= first_damaged) return first_damaged;
  std::optional<TermNumber> term = GetTermAt(log, prev_index);
  LogIndex hint = prev_index;
  while (hint > log.m_base.m_index + 1 && GetTermAt(log, hint - 1) == term) {
    --hint;
  }
  return hint;
}

/** @return whether the entry before the request's entries is in this log. */
bool MatchesPrevious(const Log &log, const gen::AppendRequest &request) {
  if (request.prev_index() < log.m_base.m_index) {
    // Entries up to the base are committed, so every later leader has them.
    return true;
  }
  if (request.prev_index() >= GetFirstDamagedIndex(log)) return false;
  return GetTermAt(log, request.prev_index()) == request.prev_term();
}

/** Answers a request of an earlier term; the reply carries the current one. */
void RejectStaleRequest(const RaftState &state,
                        const gen::ReplicaMessage &message, Effects *effects) {
  effects->m_messages_after_sync.push_back(MakeAppendReply(state, message));
}

/** Replaces the snapshot, and the log that it covers, by the received one. */
void InstallSnapshot(RaftState *state, const gen::SnapshotPart &part,
                     Effects *effects) {
  LogPosition position = state->m_incoming.m_position;
  bool is_continued =
      GetTermAt(state->m_log, position.m_index) == position.m_term;
  if (is_continued) {
    DropLogPrefix(&state->m_log, position);
  } else {
    RaiseVoteFloorToLast(state, effects);
    state->m_log = Log();
    state->m_log.m_base = position;
  }
  state->m_snapshot.m_position = position;
  state->m_snapshot.m_members = ParseMembers(part.members());
  state->m_snapshot.m_data =
      std::make_shared<const std::string>(std::move(state->m_incoming.m_data));
  state->m_snapshot.m_checksum = part.checksum();
  state->m_is_snapshot_damaged = false;
  state->m_incoming = IncomingSnapshot();
  state->m_commit_index = position.m_index;
  state->m_applied_index = position.m_index;
  RefreshMembers(state);
  MarkLogChanged(state, position.m_index + 1, effects);
  effects->m_is_snapshot_changed = true;
  effects->m_must_restore = true;
}

/** Adds a part to the incoming snapshot. @return whether it is complete. */
bool ReceivePart(RaftState *state, const gen::SnapshotPart &part) {
  LogPosition position{part.last_term(), part.last_index()};
  IncomingSnapshot *incoming = &state->m_incoming;
  if (incoming->m_position != position ||
      incoming->m_total_bytes != part.total_bytes()) {
    *incoming = IncomingSnapshot{position, part.total_bytes(), ""};
  }
  if (part.offset() == incoming->m_data.size()) {
    incoming->m_data += part.data();
  }
  if (incoming->m_data.size() < part.total_bytes()) return false;
  if (HashBytes(incoming->m_data) == part.checksum()) return true;
  incoming->m_data.clear();
  return false;
}

}  // namespace

void HandleAppendRequest(RaftState *state, const gen::ReplicaMessage &message,
                         base::TimePoint now, Effects *effects) {
  if (message.term() < state->m_term) {
    RejectStaleRequest(*state, message, effects);
    return;
  }
  FollowLeader(state, message, now, effects);
  const gen::AppendRequest &request = message.append_request();
  gen::ReplicaMessage answer = MakeAppendReply(*state, message);
  gen::AppendReply *reply = answer.mutable_append_reply();
  if (state->m_is_snapshot_damaged) {
    reply->set_needs_snapshot(true);
  } else if (!MatchesPrevious(state->m_log, request)) {
    reply->set_next_hint(GetConflictHint(state->m_log, request.prev_index()));
  } else {
    MergeEntries(state, request, effects);
    LogIndex match =
        request.prev_index() + static_cast<LogIndex>(request.entries_size());
    match = std::max(match, state->m_log.m_base.m_index);
    LogIndex commit = std::min(match, request.commit_index());
    state->m_commit_index = std::max(state->m_commit_index, commit);
    reply->set_is_accepted(true);
    reply->set_match_index(match);
  }
  effects->m_messages_after_sync.push_back(std::move(answer));
}

void HandleSnapshotPart(RaftState *state, const gen::ReplicaMessage &message,
                        base::TimePoint now, Effects *effects) {
  if (message.term() < state->m_term) {
    RejectStaleRequest(*state, message, effects);
    return;
  }
  FollowLeader(state, message, now, effects);
  const gen::SnapshotPart &part = message.snapshot_part();
  bool is_known = !state->m_is_snapshot_damaged &&
                  part.last_index() <= state->m_commit_index;
  if (!is_known && ReceivePart(state, part)) {
    InstallSnapshot(state, part, effects);
    is_known = true;
  }
  gen::ReplicaMessage answer = MakeMessage(*state, GetSender(message));
  gen::SnapshotReply *reply = answer.mutable_snapshot_reply();
  reply->set_last_index(part.last_index());
  reply->set_is_installed(is_known);
  reply->set_next_offset(state->m_incoming.m_data.size());
  reply->set_confirm_round(part.confirm_round());
  effects->m_messages_after_sync.push_back(std::move(answer));
}

void RequestRepair(RaftState *state, base::TimePoint now, Effects *effects) {
  state->m_repair_at = now + state->m_settings.m_heartbeat;
  gen::RepairRequest request;
  const Log &log = state->m_log;
  // The newest come first: each one that is repaired gives the term of the
  // entry before it.
  for (LogIndex index = GetLastIndex(log); index > log.m_base.m_index;
       --index) {
    const Entry &entry = GetEntry(log, index);
    if (!entry.m_is_damaged || !entry.m_is_term_known) continue;
    gen::EntryIdentity *wanted = request.add_wanted();
    wanted->set_index(index);
    wanted->set_term(entry.m_term);
    if (request.wanted_size() == static_cast<int>(kMaxRepairEntries)) break;
  }
  if (request.wanted_size() == 0) return;
  for (const Member &member : state->m_members) {
    if (member.m_identity.m_host == state->m_self.m_host) continue;
    gen::ReplicaMessage message = MakeMessage(*state, member.m_identity);
    *message.mutable_repair_request() = request;
    effects->m_messages.push_back(std::move(message));
  }
}

void HandleRepairRequest(const RaftState &state,
                         const gen::ReplicaMessage &message, Effects *effects) {
  gen::ReplicaMessage answer = MakeMessage(state, GetSender(message));
  gen::RepairReply *reply = answer.mutable_repair_reply();
  std::size_t bytes = 0;
  for (const gen::EntryIdentity &wanted : message.repair_request().wanted()) {
    LogIndex index = wanted.index();
    if (index <= state.m_log.m_base.m_index ||
        GetTermAt(state.m_log, index) != wanted.term()) {
      continue;
    }
    const Entry &entry = GetEntry(state.m_log, index);
    if (entry.m_is_damaged) continue;
    // The reply states the term of the entry before. For the first entry of a
    // log the base gives it.
    if (!GetTermAt(state.m_log, index - 1)) continue;
    bytes += entry.m_body.size();
    if (bytes > kMaxRepairBytes && reply->entries_size() != 0) break;
    SerializeEntry(state.m_log, index, reply->add_entries());
  }
  if (reply->entries_size() == 0) return;
  effects->m_messages.push_back(std::move(answer));
}

void HandleRepairReply(RaftState *state, const gen::ReplicaMessage &message,
                       Effects *effects) {
  Log *log = &state->m_log;
  for (const gen::LogEntry &item : message.repair_reply().entries()) {
    LogIndex index = item.index();
    if (index <= log->m_base.m_index || index > GetLastIndex(*log)) continue;
    const Entry &slot = GetEntry(*log, index);
    if (!slot.m_is_damaged || !slot.m_is_term_known) continue;
    if (slot.m_term != item.term()) continue;
    RepairDamagedEntry(log, index, ParseEntry(item));
    SetDamagedTerm(log, index - 1, item.prev_term());
    MarkLogChanged(state, index, effects);
  }
  RefreshMembers(state);
}

}  // namespace wasabiwind::replica
