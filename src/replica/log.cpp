/** @file log.cpp Access to the entries of a log. */

#include <xxhash.h>

#include <cassert>

#include "replica/log_func.h"

namespace wasabiwind::replica {

LogIndex GetLastIndex(const Log &log) {
  return log.m_base.m_index + log.m_entries.size();
}

LogPosition GetLastPosition(const Log &log) {
  if (log.m_entries.empty()) return log.m_base;
  assert(log.m_entries.back().m_is_term_known);
  return LogPosition{log.m_entries.back().m_term, GetLastIndex(log)};
}

LogIndex GetFirstDamagedIndex(const Log &log) {
  if (log.m_damaged == 0) return GetLastIndex(log) + 1;
  LogIndex index = log.m_base.m_index + 1;
  for (const Entry &entry : log.m_entries) {
    if (entry.m_is_damaged) break;
    ++index;
  }
  return index;
}

std::optional<TermNumber> GetTermAt(const Log &log, LogIndex index) {
  if (index == log.m_base.m_index) return log.m_base.m_term;
  if (index < log.m_base.m_index || index > GetLastIndex(log)) {
    return std::nullopt;
  }
  const Entry &entry = GetEntry(log, index);
  if (!entry.m_is_term_known) return std::nullopt;
  return entry.m_term;
}

const Entry &GetEntry(const Log &log, LogIndex index) {
  assert(index > log.m_base.m_index && index <= GetLastIndex(log));
  return log.m_entries[index - log.m_base.m_index - 1];
}

void AppendEntry(Log *log, Entry entry) {
  log->m_damaged += entry.m_is_damaged ? 1 : 0;
  log->m_bytes += entry.m_body.size();
  log->m_entries.push_back(std::move(entry));
}

void TruncateLog(Log *log, LogIndex index) {
  assert(index > log->m_base.m_index);
  while (GetLastIndex(*log) >= index) {
    const Entry &last = log->m_entries.back();
    log->m_damaged -= last.m_is_damaged ? 1 : 0;
    log->m_bytes -= last.m_body.size();
    log->m_entries.pop_back();
  }
}

void DropLogPrefix(Log *log, LogPosition position) {
  while (!log->m_entries.empty() && log->m_base.m_index < position.m_index) {
    const Entry &first = log->m_entries.front();
    log->m_damaged -= first.m_is_damaged ? 1 : 0;
    log->m_bytes -= first.m_body.size();
    log->m_entries.pop_front();
    ++log->m_base.m_index;
  }
  log->m_base = position;
}

void RepairDamagedEntry(Log *log, LogIndex index, Entry entry) {
  Entry &slot = log->m_entries[index - log->m_base.m_index - 1];
  assert(slot.m_is_damaged && !entry.m_is_damaged);
  slot = std::move(entry);
  --log->m_damaged;
  log->m_bytes += slot.m_body.size();
}

void SetDamagedTerm(Log *log, LogIndex index, TermNumber term) {
  if (index <= log->m_base.m_index || index > GetLastIndex(*log)) return;
  Entry &slot = log->m_entries[index - log->m_base.m_index - 1];
  if (!slot.m_is_damaged || slot.m_is_term_known) return;
  slot.m_term = term;
  slot.m_is_term_known = true;
}

Entry ParseEntry(const gen::LogEntry &entry) {
  Entry result;
  result.m_term = entry.term();
  result.m_kind = entry.kind();
  result.m_body = entry.body();
  return result;
}

void SerializeEntry(const Log &log, LogIndex index, gen::LogEntry *entry) {
  const Entry &source = GetEntry(log, index);
  assert(!source.m_is_damaged);
  entry->set_index(index);
  entry->set_term(source.m_term);
  entry->set_prev_term(GetTermAt(log, index - 1).value_or(0));
  entry->set_kind(source.m_kind);
  entry->set_body(source.m_body);
}

Members ParseMembers(const gen::ReplicaMembers &members) {
  Members result;
  for (const gen::ReplicaMember &member : members.members()) {
    result.push_back(Member{
        HostIdentity{base::NodeId(member.host()), member.incarnation()},
        member.is_voter(), member.endpoint(), member.operators_address()});
  }
  return result;
}

gen::ReplicaMembers SerializeMembers(const Members &members) {
  gen::ReplicaMembers result;
  for (const Member &member : members) {
    gen::ReplicaMember *item = result.add_members();
    item->set_host(member.m_identity.m_host.Value());
    item->set_incarnation(member.m_identity.m_incarnation);
    item->set_is_voter(member.m_is_voter);
    item->set_endpoint(member.m_endpoint);
    item->set_operators_address(member.m_operators_address);
  }
  return result;
}

const Member *FindMember(const Members &members, const base::NodeId &host) {
  for (const Member &member : members) {
    if (member.m_identity.m_host == host) return &member;
  }
  return nullptr;
}

std::size_t CountVoters(const Members &members) {
  std::size_t voters = 0;
  for (const Member &member : members) voters += member.m_is_voter ? 1 : 0;
  return voters;
}

std::size_t GetQuorumSize(const Members &members) {
  return CountVoters(members) / 2 + 1;
}

std::uint64_t HashBytes(const std::string &bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace wasabiwind::replica
