/** @file store_func.h Configuration deltas and member records to distribute. */

#ifndef WASABIWIND_MEMBER_STORE_FUNC_H_
#define WASABIWIND_MEMBER_STORE_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <member.pb.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "member/member_type.h"

namespace wasabiwind::member {

/**
 * The latest configuration deltas of a host that answers confirmations.
 * Not thread-safe.
 */
struct ConfigLog {
  std::uint64_t m_revision = 0;           ///< revision after the last delta
  std::deque<gen::ConfigDelta> m_deltas;  ///< consecutive, oldest first
  std::size_t m_bytes = 0;                ///< serialized size of m_deltas
};

/**
 * Appends an accepted delta and drops the oldest ones beyond the byte limit.
 * @return false if the delta doesn't follow the last revision; nothing changes
 */
bool AppendConfigDelta(ConfigLog *log, const gen::ConfigDelta &delta,
                       const MemberOptions &options);

/** Sets the revision after a snapshot and drops all deltas. */
void ResetConfigLog(ConfigLog *log, std::uint64_t revision);

/** Deltas that bring a node up to date. */
struct DeltaSelection {
  bool m_needs_snapshot = false;  ///< deltas it lacks were dropped
  bool m_has_more = false;        ///< cut off at the size limit
  std::vector<const gen::ConfigDelta *> m_deltas;
};

/** @return the deltas after a revision, limited to max_bytes. */
DeltaSelection SelectConfigDeltas(const ConfigLog &log, std::uint64_t revision,
                                  std::size_t max_bytes);

/** A member record with its last change. */
struct MemberEntry {
  gen::MemberDelta m_delta;
  std::uint64_t m_term = 0;   ///< term of the delta's sequence number
  base::TimePoint m_changed;  ///< when this host stored the delta
};

/**
 * Nodes and upstreams, keyed by kind and name. Changes are numbered by the
 * control leader within its term; hosts that relay them keep the numbers. Only
 * the last change of a record is kept, so the store is bounded by the number
 * of members. Not thread-safe.
 */
struct MemberStore {
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;  ///< last change of m_term
  absl::flat_hash_map<std::string, MemberEntry> m_entries;
  std::map<std::uint64_t, std::string> m_by_sequence;  ///< changes of m_term
  std::uint64_t m_rejected_reports = 0;                ///< because of a limit
};

/** @return whether `incoming` is newer than `known`. */
bool IsNewerUpstream(const gen::UpstreamRecord &known,
                     const gen::UpstreamRecord &incoming);

/**
 * Control leader: numbers a reported upstream record.
 * @return whether it changed the store and must be distributed
 */
bool RecordUpstream(MemberStore *store, const gen::UpstreamRecord &record,
                    base::TimePoint now, const MemberOptions &options);

/** Control leader: as RecordUpstream, for a node. */
bool RecordNode(MemberStore *store, const gen::NodeRecord &record,
                base::TimePoint now, const MemberOptions &options);

/** Control leader: records that a node was removed.
 * @return whether the node was known and not removed already */
bool RecordNodeRemoval(MemberStore *store, const std::string &node,
                       base::TimePoint now);

/**
 * Starts a term. Records stay, but count as changes of the new term only once
 * they are reported again.
 * @pre term > store->m_term
 */
void BeginMemberTerm(MemberStore *store, std::uint64_t term);

/**
 * Node: applies a change that the leader has numbered.
 * @return whether the record has changed
 */
bool ApplyMemberDelta(MemberStore *store, std::uint64_t term,
                      const gen::MemberDelta &delta, base::TimePoint now);

/**
 * Node: applies a record from another node's direct notice, before the leader
 * has numbered it.
 * @return whether the record has changed
 */
bool ApplyUpstreamNotice(MemberStore *store, const gen::UpstreamRecord &record);

/**
 * Drops records that no node has reported again in the current term within
 * the carry-over time, and old records of removed members.
 * @return upstream records that were dropped, as state UPSTREAM_GONE
 */
std::vector<gen::UpstreamRecord> ExpireMembers(MemberStore *store,
                                               base::TimePoint now,
                                               const MemberOptions &options);

/** Member changes that bring a node up to date. */
struct MemberSelection {
  bool m_has_more = false;
  std::vector<const gen::MemberDelta *> m_deltas;
};

/** @return the store's changes after a sequence number of `term`; all of them
 * if the store has another term. */
MemberSelection SelectMemberDeltas(const MemberStore &store, std::uint64_t term,
                                   std::uint64_t sequence,
                                   std::size_t max_bytes);

/** @return the record of a node, or nullptr. */
const gen::NodeRecord *FindNode(const MemberStore &store,
                                const std::string &node);

/** @return the record of an upstream, or nullptr. */
const gen::UpstreamRecord *FindUpstream(const MemberStore &store,
                                        const std::string &upstream);

/** @return all nodes that aren't removed, by name. */
std::vector<const gen::NodeRecord *> ListNodes(const MemberStore &store);

/** @return all upstreams that aren't gone, by name. */
std::vector<const gen::UpstreamRecord *> ListUpstreams(
    const MemberStore &store);

}  // namespace wasabiwind::member

#endif  // WASABIWIND_MEMBER_STORE_FUNC_H_
