/** @file raft_leader.cpp Leaders: commands, replication, commit and reads. */

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "replica/raft_internal.h"

namespace wasabiwind::replica {

namespace {

/** Entries are sent again after this many heartbeats without progress. */
constexpr int kResendHeartbeats = 2;
constexpr std::size_t kMaxMembers = 7;

LogIndex AppendInCurrentTerm(RaftState *state, gen::EntryKind kind,
                             std::string body, Effects *effects) {
  Entry entry;
  entry.m_term = state->m_term;
  entry.m_kind = kind;
  entry.m_body = std::move(body);
  AppendEntry(&state->m_log, std::move(entry));
  LogIndex index = GetLastIndex(state->m_log);
  MarkLogChanged(state, index, effects);
  return index;
}

/** @return whether an entry of this leader's term is committed. */
bool HasCommittedInCurrentTerm(const RaftState &state) {
  return state.m_role == Role::kLeader &&
         state.m_commit_index >= state.m_term_start_index;
}

/** @return the error of a host that isn't the leader, or of a leader that
 * hasn't committed an entry of its term yet. */
tl::unexpected<base::Error> MakeNotLeaderError(const RaftState &state) {
  std::string leader =
      state.m_leader.IsValid() ? state.m_leader.Value() : "unknown";
  return base::MakeError(
      base::ErrorKind::kUnavailable,
      fmt::format(
          "this host isn't the leader or has just become it; the leader is {}",
          leader),
      "send the request to the leader, or retry later");
}

/** Adds progress records of new members and removes those of former ones. */
void RefreshProgress(RaftState *state, base::TimePoint now) {
  std::map<base::NodeId, Progress> *progress = &state->m_progress;
  for (const Member &member : state->m_members) {
    if (member.m_identity == state->m_self) continue;
    if (progress->contains(member.m_identity.m_host)) continue;
    Progress fresh;
    fresh.m_next = GetLastIndex(state->m_log) + 1;
    fresh.m_heard_at = now;
    fresh.m_progress_at = now;
    fresh.m_sent_at = now - state->m_settings.m_heartbeat;
    progress->emplace(member.m_identity.m_host, fresh);
  }
  std::erase_if(*progress, [state](const auto &item) {
    return FindMember(state->m_members, item.first) == nullptr;
  });
}

void SendSnapshotPart(RaftState *state, const Member &member,
                      Progress *progress, base::TimePoint now,
                      Effects *effects) {
  const Snapshot &snapshot = state->m_snapshot;
  if (snapshot.m_data == nullptr) return;
  if (progress->m_snapshot_index != snapshot.m_position.m_index) {
    progress->m_snapshot_index = snapshot.m_position.m_index;
    progress->m_snapshot_offset = 0;
  }
  gen::ReplicaMessage message = MakeMessage(*state, member.m_identity);
  gen::SnapshotPart *part = message.mutable_snapshot_part();
  part->set_last_index(snapshot.m_position.m_index);
  part->set_last_term(snapshot.m_position.m_term);
  *part->mutable_members() = SerializeMembers(snapshot.m_members);
  part->set_offset(progress->m_snapshot_offset);
  part->set_total_bytes(snapshot.m_data->size());
  part->set_checksum(snapshot.m_checksum);
  part->set_data(
      progress->m_snapshot_offset < snapshot.m_data->size()
          ? snapshot.m_data->substr(progress->m_snapshot_offset,
                                    state->m_settings.m_snapshot_part_bytes)
          : "");
  part->set_confirm_round(state->m_confirm_round);
  progress->m_sent_at = now;
  progress->m_sent_round = state->m_confirm_round;
  effects->m_messages.push_back(std::move(message));
}

/** Adds entries from an index on. @return index after the last one. */
LogIndex AddEntries(const RaftState &state, LogIndex next,
                    gen::AppendRequest *request) {
  std::size_t bytes = 0;
  while (next <= GetLastIndex(state.m_log)) {
    bytes += GetEntry(state.m_log, next).m_body.size();
    bool is_full = bytes > state.m_settings.m_max_append_bytes ||
                   static_cast<std::size_t>(request->entries_size()) >=
                       state.m_settings.m_max_append_entries;
    if (is_full && request->entries_size() != 0) break;
    SerializeEntry(state.m_log, next, request->add_entries());
    ++next;
  }
  return next;
}

void SendAppend(RaftState *state, const Member &member, Progress *progress,
                base::TimePoint now, Effects *effects) {
  LogIndex prev = progress->m_next - 1;
  // The time without progress starts when the first unacknowledged entry is
  // sent.
  if (prev == progress->m_match) progress->m_progress_at = now;
  gen::ReplicaMessage message = MakeMessage(*state, member.m_identity);
  gen::AppendRequest *request = message.mutable_append_request();
  request->set_prev_index(prev);
  request->set_prev_term(GetTermAt(state->m_log, prev).value_or(0));
  request->set_commit_index(state->m_commit_index);
  request->set_confirm_round(state->m_confirm_round);
  LogIndex next = AddEntries(*state, progress->m_next, request);
  if (!progress->m_is_probing) progress->m_next = next;
  progress->m_sent_at = now;
  progress->m_sent_round = state->m_confirm_round;
  effects->m_messages.push_back(std::move(message));
}

/** Sends one member what it lacks, and a heartbeat when one is due. */
void SendMemberMessages(RaftState *state, const Member &member,
                        Progress *progress, base::TimePoint now,
                        Effects *effects) {
  base::milliseconds heartbeat = state->m_settings.m_heartbeat;
  bool is_due = now - progress->m_sent_at >= heartbeat ||
                progress->m_sent_round < state->m_confirm_round;
  bool must_send_snapshot = progress->m_needs_snapshot ||
                            progress->m_next <= state->m_log.m_base.m_index;
  if (must_send_snapshot && state->m_snapshot.m_data != nullptr) {
    if (is_due) SendSnapshotPart(state, member, progress, now, effects);
    return;
  }
  bool is_stuck =
      progress->m_match + 1 < progress->m_next &&
      now - progress->m_progress_at >= kResendHeartbeats * heartbeat;
  if (is_stuck && !progress->m_is_probing) {
    progress->m_is_probing = true;
    progress->m_next = progress->m_match + 1;
    progress->m_progress_at = now;
    if (progress->m_next <= state->m_log.m_base.m_index) return;
  }
  bool has_entries = progress->m_next <= GetLastIndex(state->m_log);
  bool has_room =
      progress->m_next - progress->m_match < state->m_settings.m_max_in_flight;
  bool may_stream = !progress->m_is_probing && has_entries && has_room;
  if (is_due || may_stream) SendAppend(state, member, progress, now, effects);
}

/** Starts the promotion of a non-voter that has caught up. */
void PromoteCaughtUp(RaftState *state, Effects *effects) {
  if (!HasCommittedInCurrentTerm(*state)) return;
  if (state->m_members_index > state->m_commit_index) return;
  std::size_t max_voters = state->m_settings.m_max_voters;
  if (max_voters != 0 && CountVoters(state->m_members) >= max_voters) return;
  for (std::size_t i = 0; i < state->m_members.size(); ++i) {
    const Member &member = state->m_members[i];
    if (member.m_is_voter) continue;
    auto found = state->m_progress.find(member.m_identity.m_host);
    if (found == state->m_progress.end()) continue;
    if (found->second.m_match < state->m_commit_index) continue;
    Members members = state->m_members;
    members[i].m_is_voter = true;
    AppendInCurrentTerm(state, gen::ENTRY_MEMBERS,
                        SerializeMembers(members).SerializeAsString(), effects);
    RefreshMembers(state);
    return;
  }
}

base::Result<Members> AddMember(const RaftState &state,
                                const MemberChange &change) {
  Members members = state.m_members;
  if (FindMember(members, change.m_host) != nullptr) {
    return base::MakeError(
        base::ErrorKind::kConflict,
        fmt::format("host {} is already a member", change.m_host.Value()),
        "use replace if it lost its superblock");
  }
  if (members.size() >= kMaxMembers) {
    return base::MakeError(
        base::ErrorKind::kInvalidArgument,
        fmt::format("the group already has the maximum of {} members",
                    kMaxMembers),
        "remove a host first");
  }
  if (change.m_incarnation == 0 || change.m_endpoint.empty()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "the incarnation or the endpoint is missing",
                           "take both from the status of the new host");
  }
  members.push_back(Member{HostIdentity{change.m_host, change.m_incarnation},
                           false, change.m_endpoint,
                           change.m_operators_address});
  return members;
}

base::Result<Members> RemoveMember(const RaftState &state,
                                   const MemberChange &change) {
  Members members = state.m_members;
  std::erase_if(members, [&change](const Member &member) {
    return member.m_identity.m_host == change.m_host;
  });
  return members;
}

base::Result<Members> ReplaceMember(const RaftState &state,
                                    const MemberChange &change) {
  Members members = state.m_members;
  std::uint64_t incarnation = change.m_incarnation;
  auto reported = state.m_reported_incarnations.find(change.m_host);
  if (incarnation == 0 && reported != state.m_reported_incarnations.end()) {
    incarnation = reported->second;
  }
  for (Member &member : members) {
    if (member.m_identity.m_host != change.m_host) continue;
    if (incarnation == 0 || incarnation == member.m_identity.m_incarnation) {
      return base::MakeError(
          base::ErrorKind::kNotFound,
          fmt::format("host {} hasn't reported a new incarnation",
                      change.m_host.Value()),
          "start the host with an empty data folder, then retry");
    }
    member.m_identity.m_incarnation = incarnation;
    member.m_is_voter = false;
  }
  return members;
}

base::Result<Members> MakeChangedMembers(const RaftState &state,
                                         const MemberChange &change) {
  if (change.m_kind == MemberChangeKind::kAdd) return AddMember(state, change);
  if (FindMember(state.m_members, change.m_host) == nullptr) {
    return base::MakeError(
        base::ErrorKind::kNotFound,
        fmt::format("host {} isn't a member", change.m_host.Value()),
        "name a host from the status");
  }
  if (change.m_host == state.m_self.m_host) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "the leader can't change its own membership",
                           "stop this host so that another one leads");
  }
  if (change.m_kind == MemberChangeKind::kRemove) {
    return RemoveMember(state, change);
  }
  return ReplaceMember(state, change);
}

}  // namespace

void BecomeLeader(RaftState *state, base::TimePoint now, Effects *effects) {
  state->m_role = Role::kLeader;
  state->m_leader = state->m_self.m_host;
  state->m_votes.clear();
  state->m_progress.clear();
  state->m_reported_incarnations.clear();
  state->m_confirm_round = 0;
  state->m_term_start_index = GetLastIndex(state->m_log) + 1;
  AppendInCurrentTerm(state, gen::ENTRY_NOOP, "", effects);
  RefreshProgress(state, now);
  for (auto &[host, progress] : state->m_progress) {
    progress.m_next = state->m_term_start_index;
  }
}

base::Result<LogIndex> Propose(RaftState *state, std::string command,
                               Effects *effects) {
  if (state->m_role != Role::kLeader) return MakeNotLeaderError(*state);
  if (command.size() > state->m_settings.m_max_command_bytes) {
    return base::MakeError(
        base::ErrorKind::kInvalidArgument,
        fmt::format("the command has {} bytes, more than {}", command.size(),
                    state->m_settings.m_max_command_bytes),
        "split the change into several");
  }
  if (state->m_log.m_bytes + command.size() >
      state->m_settings.m_max_log_bytes) {
    return base::MakeError(base::ErrorKind::kOverloaded,
                           "the log has reached its size limit",
                           "retry after the next snapshot");
  }
  return AppendInCurrentTerm(state, gen::ENTRY_COMMAND, std::move(command),
                             effects);
}

base::Result<LogIndex> ProposeMemberChange(RaftState *state,
                                           const MemberChange &change,
                                           Effects *effects) {
  if (!HasCommittedInCurrentTerm(*state)) return MakeNotLeaderError(*state);
  // Two changes in progress at once could have disjoint majorities.
  if (state->m_members_index > state->m_commit_index) {
    return base::MakeError(base::ErrorKind::kConflict,
                           "another membership change is in progress",
                           "retry once it is committed");
  }
  base::Result<Members> members = MakeChangedMembers(*state, change);
  if (!members) return tl::unexpected(members.error());
  LogIndex index = AppendInCurrentTerm(
      state, gen::ENTRY_MEMBERS, SerializeMembers(*members).SerializeAsString(),
      effects);
  state->m_progress.erase(change.m_host);
  state->m_reported_incarnations.erase(change.m_host);
  RefreshMembers(state);
  return index;
}

base::Result<void> RequestRead(RaftState *state, std::uint64_t read_id,
                               Effects *effects) {
  // A leader knows everything that earlier leaders committed only once an entry
  // of its own term is committed.
  if (!HasCommittedInCurrentTerm(*state)) return MakeNotLeaderError(*state);
  if (state->m_pending_reads.size() >= state->m_settings.m_max_pending_reads) {
    return base::MakeError(base::ErrorKind::kOverloaded,
                           "too many reads wait for confirmation",
                           "retry later");
  }
  ++state->m_confirm_round;
  state->m_pending_reads.push_back(
      PendingRead{read_id, state->m_confirm_round, state->m_commit_index});
  (void)effects;
  return {};
}

void SendLeaderMessages(RaftState *state, base::TimePoint now,
                        Effects *effects) {
  if (state->m_role != Role::kLeader) return;
  PromoteCaughtUp(state, effects);
  RefreshProgress(state, now);
  for (const Member &member : state->m_members) {
    auto found = state->m_progress.find(member.m_identity.m_host);
    if (found == state->m_progress.end()) continue;
    SendMemberMessages(state, member, &found->second, now, effects);
  }
}

void AdvanceCommit(RaftState *state) {
  std::vector<LogIndex> matches;
  for (const Member &member : state->m_members) {
    if (!member.m_is_voter) continue;
    if (member.m_identity == state->m_self) {
      matches.push_back(state->m_synced_index);
      continue;
    }
    auto found = state->m_progress.find(member.m_identity.m_host);
    matches.push_back(found == state->m_progress.end() ? 0
                                                       : found->second.m_match);
  }
  std::size_t needed = GetNeededVoters(*state);
  if (matches.size() < needed) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  LogIndex index = matches[needed - 1];
  // An entry of an earlier term on a majority can still be replaced; it is
  // committed only through a later entry of this term.
  if (index < state->m_term_start_index) return;
  state->m_commit_index = std::max(state->m_commit_index, index);
}

void ConfirmReads(RaftState *state, Effects *effects) {
  while (!state->m_pending_reads.empty()) {
    const PendingRead &read = state->m_pending_reads.front();
    std::set<base::NodeId> confirmed;
    for (const auto &[host, progress] : state->m_progress) {
      if (progress.m_acked_round >= read.m_round) confirmed.insert(host);
    }
    if (!IsQuorum(*state, confirmed)) return;
    effects->m_reads.push_back(ReadOutcome{read.m_read_id, true, read.m_index});
    state->m_pending_reads.pop_front();
  }
}

void HandleAppendReply(RaftState *state, const gen::ReplicaMessage &message,
                       base::TimePoint now, Effects *effects) {
  auto found = state->m_progress.find(base::NodeId(message.from_host()));
  if (found == state->m_progress.end()) return;
  Progress *progress = &found->second;
  const gen::AppendReply &reply = message.append_reply();
  progress->m_heard_at = now;
  progress->m_acked_round =
      std::max(progress->m_acked_round, reply.confirm_round());
  LogIndex last = GetLastIndex(state->m_log);
  if (reply.is_accepted()) {
    LogIndex match = std::min(reply.match_index(), last);
    if (match > progress->m_match) {
      progress->m_match = match;
      progress->m_progress_at = now;
    }
    LogIndex next = match + 1;
    progress->m_next =
        progress->m_is_probing ? next : std::max(progress->m_next, next);
    progress->m_is_probing = false;
    progress->m_needs_snapshot = false;
  } else if (reply.needs_snapshot()) {
    progress->m_needs_snapshot = true;
  } else {
    // The hint is below m_match when entries were damaged after they were
    // acknowledged.
    progress->m_next = std::clamp<LogIndex>(reply.next_hint(), 1, last + 1);
    progress->m_is_probing = true;
  }
  AdvanceCommit(state);
  ConfirmReads(state, effects);
}

void HandleSnapshotReply(RaftState *state, const gen::ReplicaMessage &message,
                         base::TimePoint now, Effects *effects) {
  auto found = state->m_progress.find(base::NodeId(message.from_host()));
  if (found == state->m_progress.end()) return;
  Progress *progress = &found->second;
  const gen::SnapshotReply &reply = message.snapshot_reply();
  progress->m_heard_at = now;
  progress->m_acked_round =
      std::max(progress->m_acked_round, reply.confirm_round());
  if (reply.is_installed()) {
    progress->m_match = std::max(progress->m_match, reply.last_index());
    progress->m_next = std::max(progress->m_next, reply.last_index() + 1);
    progress->m_needs_snapshot = false;
    progress->m_is_probing = true;
    progress->m_progress_at = now;
  } else if (reply.last_index() == progress->m_snapshot_index &&
             reply.next_offset() != progress->m_snapshot_offset) {
    progress->m_snapshot_offset = reply.next_offset();
    progress->m_progress_at = now;
    progress->m_sent_at = now - state->m_settings.m_heartbeat;
  }
  AdvanceCommit(state);
  ConfirmReads(state, effects);
}

void CompactLog(RaftState *state, LogIndex index,
                std::shared_ptr<const std::string> data, std::size_t keep_bytes,
                Effects *effects) {
  const Log &log = state->m_log;
  assert(index > state->m_snapshot.m_position.m_index);
  assert(index <= state->m_applied_index);
  assert(!state->m_is_snapshot_damaged);
  Members members = state->m_snapshot.m_members;
  for (LogIndex i = log.m_base.m_index + 1; i <= index; ++i) {
    const Entry &entry = GetEntry(log, i);
    gen::ReplicaMembers parsed;
    if (entry.m_kind != gen::ENTRY_MEMBERS) continue;
    if (parsed.ParseFromString(entry.m_body)) members = ParseMembers(parsed);
  }
  state->m_snapshot.m_position =
      LogPosition{GetTermAt(log, index).value_or(0), index};
  state->m_snapshot.m_members = std::move(members);
  state->m_snapshot.m_checksum = HashBytes(*data);
  state->m_snapshot.m_data = std::move(data);
  LogIndex keep_from = index;
  std::size_t kept = 0;
  while (keep_from > log.m_base.m_index) {
    kept += GetEntry(log, keep_from).m_body.size() + sizeof(Entry);
    if (kept > keep_bytes) break;
    --keep_from;
  }
  DropLogPrefix(&state->m_log,
                LogPosition{GetTermAt(log, keep_from).value_or(0), keep_from});
  effects->m_is_snapshot_changed = true;
}

}  // namespace wasabiwind::replica
