/** @file record.cpp Byte layout of superblock copies and log records. */

#include <xxhash.h>

#include <cstring>

#include "replica/log_func.h"
#include "replica/record_internal.h"

namespace wasabiwind::replica {

namespace {

constexpr std::uint64_t kRecordMagic = 0x7777616c72656331;
constexpr std::size_t kFrameHeaderBytes = 24;
/** Bodies of damage markers: the term of the entry is known, or unknown. */
constexpr const char *kTermKnown = "k";
constexpr const char *kTermUnknown = "u";

/** Log record header as it stands in the file, in host byte order. */
struct RawHeader {
  std::uint64_t m_magic;
  std::uint64_t m_wal_number;
  std::uint64_t m_index;
  std::uint64_t m_term;
  std::uint64_t m_prev_term;
  std::uint32_t m_body_size;
  std::uint32_t m_kind;
  std::uint64_t m_body_checksum;
  std::uint64_t m_header_checksum;  ///< of all fields before it
};
static_assert(sizeof(RawHeader) == kRecordAlignment);

std::uint64_t HashHeader(const RawHeader &header) {
  return XXH3_64bits(&header, offsetof(RawHeader, m_header_checksum));
}

}  // namespace

std::string FrameBytes(std::uint64_t magic, const std::string &bytes) {
  std::uint64_t head[] = {magic, bytes.size(), HashBytes(bytes)};
  std::string framed(reinterpret_cast<const char *>(head), sizeof(head));
  return framed + bytes;
}

std::optional<std::string> UnframeBytes(std::uint64_t magic,
                                        std::string_view framed) {
  std::uint64_t head[3];
  static_assert(sizeof(head) == kFrameHeaderBytes);
  if (framed.size() < kFrameHeaderBytes) return std::nullopt;
  std::memcpy(head, framed.data(), kFrameHeaderBytes);
  if (head[0] != magic) return std::nullopt;
  if (head[1] > framed.size() - kFrameHeaderBytes) return std::nullopt;
  std::string bytes(framed.substr(kFrameHeaderBytes, head[1]));
  if (HashBytes(bytes) != head[2]) return std::nullopt;
  return bytes;
}

void AppendRecord(std::uint64_t wal_number, const Log &log, LogIndex index,
                  std::string *bytes) {
  const Entry &entry = GetEntry(log, index);
  std::string marker = entry.m_is_term_known ? kTermKnown : kTermUnknown;
  const std::string &body = entry.m_is_damaged ? marker : entry.m_body;
  RawHeader header = {};
  header.m_magic = kRecordMagic;
  header.m_wal_number = wal_number;
  header.m_index = index;
  header.m_term = entry.m_term;
  header.m_prev_term = GetTermAt(log, index - 1).value_or(0);
  header.m_body_size = static_cast<std::uint32_t>(body.size());
  header.m_kind = static_cast<std::uint32_t>(
      entry.m_is_damaged ? gen::ENTRY_DAMAGED : entry.m_kind);
  header.m_body_checksum = HashBytes(body);
  header.m_header_checksum = HashHeader(header);
  bytes->append(reinterpret_cast<const char *>(&header), sizeof(header));
  bytes->append(body);
  bytes->resize((bytes->size() + kRecordAlignment - 1) / kRecordAlignment *
                kRecordAlignment);
}

std::optional<RecordHeader> ReadRecordHeader(std::uint64_t wal_number,
                                             std::string_view bytes,
                                             std::uint64_t offset) {
  if (offset + sizeof(RawHeader) > bytes.size()) return std::nullopt;
  RawHeader raw;
  std::memcpy(&raw, bytes.data() + offset, sizeof(raw));
  if (raw.m_magic != kRecordMagic || raw.m_wal_number != wal_number) {
    return std::nullopt;
  }
  if (raw.m_header_checksum != HashHeader(raw)) return std::nullopt;
  RecordHeader header;
  header.m_index = raw.m_index;
  header.m_term = raw.m_term;
  header.m_prev_term = raw.m_prev_term;
  header.m_kind = static_cast<gen::EntryKind>(raw.m_kind);
  header.m_body_size = raw.m_body_size;
  header.m_body_checksum = raw.m_body_checksum;
  return header;
}

Entry ReadRecordEntry(const RecordHeader &header, std::string_view bytes,
                      std::uint64_t offset) {
  Entry entry;
  entry.m_term = header.m_term;
  entry.m_kind = header.m_kind;
  std::uint64_t start = offset + sizeof(RawHeader);
  if (start + header.m_body_size <= bytes.size()) {
    entry.m_body = std::string(bytes.substr(start, header.m_body_size));
  }
  bool is_intact = entry.m_body.size() == header.m_body_size &&
                   HashBytes(entry.m_body) == header.m_body_checksum;
  if (is_intact && header.m_kind != gen::ENTRY_DAMAGED) return entry;
  entry.m_is_damaged = true;
  entry.m_is_term_known = header.m_kind != gen::ENTRY_DAMAGED ||
                          (is_intact && entry.m_body == kTermKnown);
  entry.m_kind = gen::ENTRY_NOOP;
  entry.m_body.clear();
  return entry;
}

std::uint64_t GetRecordSize(const RecordHeader &header) {
  std::uint64_t size = sizeof(RawHeader) + header.m_body_size;
  return (size + kRecordAlignment - 1) / kRecordAlignment * kRecordAlignment;
}

}  // namespace wasabiwind::replica
