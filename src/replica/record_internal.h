/** @file record_internal.h Byte layout of superblock copies and log records. */

#ifndef WASABIWIND_REPLICA_RECORD_INTERNAL_H_
#define WASABIWIND_REPLICA_RECORD_INTERNAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "replica/log_type.h"

namespace wasabiwind::replica {

constexpr std::uint64_t kSuperblockSpacing = 4'096;  ///< bytes between copies
constexpr std::uint64_t kSuperblockCopies = 4;
/** Records begin at multiples of this, so a scan can skip a damaged header. */
constexpr std::uint64_t kRecordAlignment = 64;

/** @return bytes with magic number, size and checksum in front. */
std::string FrameBytes(std::uint64_t magic, const std::string &bytes);

/** @return the framed bytes, or nullopt if they fail their check. */
std::optional<std::string> UnframeBytes(std::uint64_t magic,
                                        std::string_view framed);

constexpr std::uint64_t kSuperblockMagic = 0x7773757065726231;
constexpr std::uint64_t kSnapshotMagic = 0x77736e6170736831;

/** Header of a log record, as read. */
struct RecordHeader {
  LogIndex m_index = 0;
  TermNumber m_term = 0;
  TermNumber m_prev_term = 0;
  gen::EntryKind m_kind = gen::ENTRY_NOOP;
  std::uint32_t m_body_size = 0;
  std::uint64_t m_body_checksum = 0;
};

/** Appends the record of an entry, or a marker if the entry is damaged. */
void AppendRecord(std::uint64_t wal_number, const Log &log, LogIndex index,
                  std::string *bytes);

/** @return the header at an offset, or nullopt if it fails its check. */
std::optional<RecordHeader> ReadRecordHeader(std::uint64_t wal_number,
                                             std::string_view bytes,
                                             std::uint64_t offset);

/** @return the entry, damaged if the body fails its check. */
Entry ReadRecordEntry(const RecordHeader &header, std::string_view bytes,
                      std::uint64_t offset);

/** @return bytes that a record takes in the file. */
std::uint64_t GetRecordSize(const RecordHeader &header);

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_REPLICA_RECORD_INTERNAL_H_
