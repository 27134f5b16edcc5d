/** @file announcement.h Parser of announcements of upstreams. */

#ifndef WASABIWIND_ENTRY_ANNOUNCEMENT_H_
#define WASABIWIND_ENTRY_ANNOUNCEMENT_H_

#include <member.pb.h>

#include <string>

#include "base/error_type.h"
#include "base/time_type.h"

namespace wasabiwind::entry {

/** Load that an engine reports; the actual load may have changed since. */
struct ReportedLoad {
  int m_running = 0;
  int m_waiting = 0;
  double m_kv_used = 0.0;       ///< used share of the KV cache, 0 to 1
  base::milliseconds m_age{0};  ///< age of the values when they were sent
};

struct Announcement {
  gen::UpstreamRecord m_record;  ///< without sequence and observer
  ReportedLoad m_load;
};

/**
 * Parses the body of POST /upstream/v1/announce. Unknown keys are ignored.
 * @return kInvalidArgument naming the key and what to send. Thread-safe.
 */
base::Result<Announcement> ParseAnnouncement(const std::string &body);

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_ANNOUNCEMENT_H_
