/** @file log_func.h Access to the entries of a log. */

#ifndef WASABIWIND_REPLICA_LOG_FUNC_H_
#define WASABIWIND_REPLICA_LOG_FUNC_H_

#include <optional>

#include "replica/log_type.h"

namespace wasabiwind::replica {

/** @return index of the last entry, damaged ones included. */
LogIndex GetLastIndex(const Log &log);

/** @return position of the last entry. @pre its term is known */
LogPosition GetLastPosition(const Log &log);

/** @return index of the first damaged entry, or last index + 1. */
LogIndex GetFirstDamagedIndex(const Log &log);

/** @return the term of an entry or of the base; nullopt if unknown. */
std::optional<TermNumber> GetTermAt(const Log &log, LogIndex index);

/** @pre the log holds the index */
const Entry &GetEntry(const Log &log, LogIndex index);

/** Adds an entry after the last one. */
void AppendEntry(Log *log, Entry entry);

/** Removes an entry and all that follow. @pre index > base */
void TruncateLog(Log *log, LogIndex index);

/** Removes all entries up to a position, which becomes the base. */
void DropLogPrefix(Log *log, LogPosition position);

/** Replaces a damaged entry by its content. @pre the entry is damaged */
void RepairDamagedEntry(Log *log, LogIndex index, Entry entry);

/** Sets the unknown term of a damaged entry; the next entry states it. */
void SetDamagedTerm(Log *log, LogIndex index, TermNumber term);

Entry ParseEntry(const gen::LogEntry &entry);

/** @pre the log holds the index, undamaged */
void SerializeEntry(const Log &log, LogIndex index, gen::LogEntry *entry);

Members ParseMembers(const gen::ReplicaMembers &members);
gen::ReplicaMembers SerializeMembers(const Members &members);

/** @return the member of that host name, or nullptr. */
const Member *FindMember(const Members &members, const base::NodeId &host);

/** @return the number of members that vote. */
std::size_t CountVoters(const Members &members);

/** @return members needed for a majority of the voters. */
std::size_t GetQuorumSize(const Members &members);

/** @return the checksum that snapshots carry. */
std::uint64_t HashBytes(const std::string &bytes);

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_LOG_FUNC_H_
