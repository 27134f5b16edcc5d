/** @file store.cpp Configuration deltas and member records to distribute. */

#include <algorithm>
#include <cassert>
#include <utility>

#include "member/store_func.h"

namespace wasabiwind::member {

namespace {

constexpr char kNodeKind = 'n';
constexpr char kUpstreamKind = 'u';

std::string MakeKey(char kind, const std::string &name) {
  return std::string(1, kind) + ":" + name;
}

std::string GetKey(const gen::MemberDelta &delta) {
  switch (delta.change_case()) {
    case gen::MemberDelta::kUpstream:
      return MakeKey(kUpstreamKind, delta.upstream().upstream());
    case gen::MemberDelta::kNode:
      return MakeKey(kNodeKind, delta.node().node());
    case gen::MemberDelta::kRemovedNode:
      return MakeKey(kNodeKind, delta.removed_node());
    default:
      return "";
  }
}

bool IsRemoval(const gen::MemberDelta &delta) {
  if (delta.change_case() == gen::MemberDelta::kRemovedNode) return true;
  return delta.has_upstream() && delta.upstream().state() == gen::UPSTREAM_GONE;
}

/** Stores a numbered delta under its key. */
void PutEntry(MemberStore *store, gen::MemberDelta delta, base::TimePoint now) {
  std::string key = GetKey(delta);
  MemberEntry &entry = store->m_entries[key];
  if (entry.m_term == store->m_term) {
    store->m_by_sequence.erase(entry.m_delta.sequence());
  }
  store->m_by_sequence[delta.sequence()] = key;
  store->m_sequence = std::max(store->m_sequence, delta.sequence());
  entry.m_delta = std::move(delta);
  entry.m_term = store->m_term;
  entry.m_changed = now;
}

/** Gives a delta the next number and stores it. */
void AppendEntry(MemberStore *store, gen::MemberDelta delta,
                 base::TimePoint now) {
  delta.set_sequence(store->m_sequence + 1);
  PutEntry(store, std::move(delta), now);
}

using EntryMap = absl::flat_hash_map<std::string, MemberEntry>;

void EraseEntry(MemberStore *store, EntryMap::iterator entry) {
  if (entry->second.m_term == store->m_term) {
    store->m_by_sequence.erase(entry->second.m_delta.sequence());
  }
  store->m_entries.erase(entry);
}

std::size_t CountKind(const MemberStore &store, char kind) {
  std::size_t count = 0;
  for (const auto &[key, entry] : store.m_entries) {
    if (key.front() == kind) ++count;
  }
  return count;
}

/** Erases the oldest tombstone of a kind, if there is one. */
bool EvictTombstone(MemberStore *store, char kind) {
  auto oldest = store->m_entries.end();
  for (auto it = store->m_entries.begin(); it != store->m_entries.end(); ++it) {
    if (it->first.front() != kind || !IsRemoval(it->second.m_delta)) continue;
    if (oldest == store->m_entries.end() ||
        it->second.m_changed < oldest->second.m_changed) {
      oldest = it;
    }
  }
  if (oldest == store->m_entries.end()) return false;
  EraseEntry(store, oldest);
  return true;
}

bool EnsureCapacity(MemberStore *store, const std::string &key,
                    std::size_t limit) {
  if (store->m_entries.contains(key)) return true;
  if (CountKind(*store, key.front()) < limit) return true;
  if (EvictTombstone(store, key.front())) return true;
  ++store->m_rejected_reports;
  return false;
}

bool IsSameRecord(const google::protobuf::MessageLite &a,
                  const google::protobuf::MessageLite &b) {
  return a.SerializeAsString() == b.SerializeAsString();
}

}  // namespace

bool AppendConfigDelta(ConfigLog *log, const gen::ConfigDelta &delta,
                       const MemberOptions &options) {
  if (delta.revision() != log->m_revision + 1) return false;
  log->m_revision = delta.revision();
  log->m_bytes += delta.ByteSizeLong();
  log->m_deltas.push_back(delta);
  while (log->m_bytes > options.m_max_delta_bytes) {
    log->m_bytes -= log->m_deltas.front().ByteSizeLong();
    log->m_deltas.pop_front();
  }
  return true;
}

void ResetConfigLog(ConfigLog *log, std::uint64_t revision) {
  log->m_revision = revision;
  log->m_deltas.clear();
  log->m_bytes = 0;
}

DeltaSelection SelectConfigDeltas(const ConfigLog &log, std::uint64_t revision,
                                  std::size_t max_bytes) {
  DeltaSelection selection;
  if (revision >= log.m_revision) return selection;
  std::uint64_t oldest = log.m_deltas.empty() ? log.m_revision + 1
                                              : log.m_deltas.front().revision();
  if (revision + 1 < oldest) {
    selection.m_needs_snapshot = true;
    return selection;
  }
  std::size_t bytes = 0;
  for (std::size_t i = revision + 1 - oldest; i < log.m_deltas.size(); ++i) {
    bytes += log.m_deltas[i].ByteSizeLong();
    if (bytes > max_bytes && !selection.m_deltas.empty()) {
      selection.m_has_more = true;
      break;
    }
    selection.m_deltas.push_back(&log.m_deltas[i]);
  }
  return selection;
}

bool IsNewerUpstream(const gen::UpstreamRecord &known,
                     const gen::UpstreamRecord &incoming) {
  return std::pair(incoming.incarnation(), incoming.sequence()) >
         std::pair(known.incarnation(), known.sequence());
}

bool RecordUpstream(MemberStore *store, const gen::UpstreamRecord &record,
                    base::TimePoint now, const MemberOptions &options) {
  std::string key = MakeKey(kUpstreamKind, record.upstream());
  if (!EnsureCapacity(store, key, options.m_max_upstreams)) return false;
  auto known = store->m_entries.find(key);
  if (known != store->m_entries.end()) {
    const gen::UpstreamRecord &old = known->second.m_delta.upstream();
    bool is_current_term = known->second.m_term == store->m_term;
    // A record of an earlier term is numbered again even if it hasn't changed.
    if (is_current_term && !IsNewerUpstream(old, record)) return false;
    if (!is_current_term && IsNewerUpstream(record, old)) return false;
  }
  gen::MemberDelta delta;
  *delta.mutable_upstream() = record;
  AppendEntry(store, std::move(delta), now);
  return true;
}

bool RecordNode(MemberStore *store, const gen::NodeRecord &record,
                base::TimePoint now, const MemberOptions &options) {
  std::string key = MakeKey(kNodeKind, record.node());
  if (!EnsureCapacity(store, key, options.m_max_nodes)) return false;
  auto known = store->m_entries.find(key);
  if (known != store->m_entries.end() &&
      known->second.m_term == store->m_term &&
      known->second.m_delta.has_node()) {
    const gen::NodeRecord &old = known->second.m_delta.node();
    if (record.incarnation() < old.incarnation()) return false;
    if (IsSameRecord(old, record)) return false;
  }
  gen::MemberDelta delta;
  *delta.mutable_node() = record;
  AppendEntry(store, std::move(delta), now);
  return true;
}

bool RecordNodeRemoval(MemberStore *store, const std::string &node,
                       base::TimePoint now) {
  auto known = store->m_entries.find(MakeKey(kNodeKind, node));
  if (known == store->m_entries.end()) return false;
  if (IsRemoval(known->second.m_delta)) return false;
  gen::MemberDelta delta;
  delta.set_removed_node(node);
  AppendEntry(store, std::move(delta), now);
  return true;
}

void BeginMemberTerm(MemberStore *store, std::uint64_t term) {
  assert(term > store->m_term);
  store->m_term = term;
  store->m_sequence = 0;
  store->m_by_sequence.clear();
}

bool ApplyMemberDelta(MemberStore *store, std::uint64_t term,
                      const gen::MemberDelta &delta, base::TimePoint now) {
  if (term < store->m_term) return false;
  if (term > store->m_term) BeginMemberTerm(store, term);
  std::string key = GetKey(delta);
  if (key.empty()) return false;
  auto known = store->m_entries.find(key);
  if (known == store->m_entries.end()) {
    PutEntry(store, delta, now);
    return true;
  }
  const MemberEntry &entry = known->second;
  if (entry.m_term == term && entry.m_delta.sequence() >= delta.sequence()) {
    return false;
  }
  gen::MemberDelta old = entry.m_delta;
  old.set_sequence(delta.sequence());
  // A direct notice may be newer than the leader's record; its content stays.
  if (delta.has_upstream() && old.has_upstream() &&
      IsNewerUpstream(delta.upstream(), old.upstream())) {
    PutEntry(store, std::move(old), now);
    return false;
  }
  bool is_changed = !IsSameRecord(old, delta);
  PutEntry(store, delta, now);
  return is_changed;
}

bool ApplyUpstreamNotice(MemberStore *store,
                         const gen::UpstreamRecord &record) {
  auto known = store->m_entries.find(MakeKey(kUpstreamKind, record.upstream()));
  // This node sends no requests to unknown upstreams: nothing to correct.
  if (known == store->m_entries.end()) return false;
  gen::UpstreamRecord *old = known->second.m_delta.mutable_upstream();
  if (!IsNewerUpstream(*old, record)) return false;
  *old = record;
  return true;
}

std::vector<gen::UpstreamRecord> ExpireMembers(MemberStore *store,
                                               base::TimePoint now,
                                               const MemberOptions &options) {
  std::vector<std::string> expired;
  for (const auto &[key, entry] : store->m_entries) {
    bool is_unconfirmed = entry.m_term < store->m_term &&
                          now - entry.m_changed > options.m_carry_over_time;
    bool is_old_removal = IsRemoval(entry.m_delta) &&
                          now - entry.m_changed > options.m_tombstone_retention;
    if (is_unconfirmed || is_old_removal) expired.push_back(key);
  }
  std::vector<gen::UpstreamRecord> dropped;
  for (const std::string &key : expired) {
    auto found = store->m_entries.find(key);
    const gen::MemberDelta &delta = found->second.m_delta;
    if (delta.has_upstream() && !IsRemoval(delta)) {
      dropped.push_back(delta.upstream());
      dropped.back().set_state(gen::UPSTREAM_GONE);
    }
    EraseEntry(store, found);
  }
  return dropped;
}

MemberSelection SelectMemberDeltas(const MemberStore &store, std::uint64_t term,
                                   std::uint64_t sequence,
                                   std::size_t max_bytes) {
  MemberSelection selection;
  std::uint64_t after = term == store.m_term ? sequence : 0;
  std::size_t bytes = 0;
  for (auto it = store.m_by_sequence.upper_bound(after);
       it != store.m_by_sequence.end(); ++it) {
    const gen::MemberDelta &delta = store.m_entries.at(it->second).m_delta;
    bytes += delta.ByteSizeLong();
    if (bytes > max_bytes && !selection.m_deltas.empty()) {
      selection.m_has_more = true;
      break;
    }
    selection.m_deltas.push_back(&delta);
  }
  return selection;
}

const gen::NodeRecord *FindNode(const MemberStore &store,
                                const std::string &node) {
  auto found = store.m_entries.find(MakeKey(kNodeKind, node));
  if (found == store.m_entries.end()) return nullptr;
  const gen::MemberDelta &delta = found->second.m_delta;
  return delta.has_node() ? &delta.node() : nullptr;
}

const gen::UpstreamRecord *FindUpstream(const MemberStore &store,
                                        const std::string &upstream) {
  auto found = store.m_entries.find(MakeKey(kUpstreamKind, upstream));
  if (found == store.m_entries.end()) return nullptr;
  return &found->second.m_delta.upstream();
}

std::vector<const gen::NodeRecord *> ListNodes(const MemberStore &store) {
  std::vector<const gen::NodeRecord *> nodes;
  for (const auto &[key, entry] : store.m_entries) {
    if (entry.m_delta.has_node()) nodes.push_back(&entry.m_delta.node());
  }
  std::sort(nodes.begin(), nodes.end(),
            [](const gen::NodeRecord *a, const gen::NodeRecord *b) {
              return a->node() < b->node();
            });
  return nodes;
}

std::vector<const gen::UpstreamRecord *> ListUpstreams(
    const MemberStore &store) {
  std::vector<const gen::UpstreamRecord *> upstreams;
  for (const auto &[key, entry] : store.m_entries) {
    if (entry.m_delta.has_upstream() && !IsRemoval(entry.m_delta)) {
      upstreams.push_back(&entry.m_delta.upstream());
    }
  }
  std::sort(upstreams.begin(), upstreams.end(),
            [](const gen::UpstreamRecord *a, const gen::UpstreamRecord *b) {
              return a->upstream() < b->upstream();
            });
  return upstreams;
}

}  // namespace wasabiwind::member
