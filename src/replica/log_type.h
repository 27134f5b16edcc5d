/** @file log_type.h Entries, positions and members of the replicated log. */

#ifndef WASABIWIND_REPLICA_LOG_TYPE_H_
#define WASABIWIND_REPLICA_LOG_TYPE_H_

#include <replica.pb.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base/id_type.h"

namespace wasabiwind::replica {

/** Number of an entry; the first entry is 1, 0 is the place before it. */
using LogIndex = std::uint64_t;
/** Number of a leadership period, from 1; 0 before the first. */
using TermNumber = std::uint64_t;

/**
 * Term and index of an entry. Two logs that hold an entry at the same position
 * are equal up to it. The order says which of two logs is more up to date.
 */
struct LogPosition {
  TermNumber m_term = 0;
  LogIndex m_index = 0;

  friend auto operator<=>(const LogPosition &, const LogPosition &) = default;
  friend bool operator==(const LogPosition &, const LogPosition &) = default;
};

/** One entry, or a placeholder for one whose content failed its checksum. */
struct Entry {
  TermNumber m_term = 0;  ///< meaningless if damaged and not m_is_term_known
  gen::EntryKind m_kind = gen::ENTRY_NOOP;
  std::string m_body;
  bool m_is_damaged = false;
  bool m_is_term_known = true;
};

/**
 * The entries that a host holds. Damaged entries keep their place: they count
 * as accepted until a peer's copy or a leader's conflicting entry replaces
 * them.
 */
struct Log {
  LogPosition m_base;           ///< position of the entry before the first one
  std::deque<Entry> m_entries;  ///< entries m_base.m_index + 1 and following
  std::size_t m_damaged = 0;    ///< damaged entries in m_entries
  std::size_t m_bytes = 0;      ///< sum of the bodies
};

/** A host with its incarnation, which is new when its superblock was lost. */
struct HostIdentity {
  base::NodeId m_host;
  std::uint64_t m_incarnation = 0;

  friend auto operator<=>(const HostIdentity &, const HostIdentity &) = default;
  friend bool operator==(const HostIdentity &, const HostIdentity &) = default;
};

struct Member {
  HostIdentity m_identity;
  bool m_is_voter = true;
  std::string m_endpoint;           ///< "ip:port" for messages
  std::string m_operators_address;  ///< "ip:port" of the operators' HTTP

  friend bool operator==(const Member &, const Member &) = default;
};

using Members = std::vector<Member>;

/** State of the state machine after the entry at a position. */
struct Snapshot {
  LogPosition m_position;
  Members m_members;
  std::shared_ptr<const std::string> m_data;  ///< nullptr only at position 0
  std::uint64_t m_checksum = 0;               ///< XXH3 of the data
};

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_LOG_TYPE_H_
