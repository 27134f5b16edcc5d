/** @file upstream_table.h Upstreams that this node knows. */

#ifndef WASABIWIND_ENTRY_UPSTREAM_TABLE_H_
#define WASABIWIND_ENTRY_UPSTREAM_TABLE_H_

#include <member.pb.h>

#include <functional>
#include <memory>
#include <string>

#include "base/time_type.h"
#include "entry/announcement.h"
#include "entry/dispatch.h"

namespace wasabiwind::entry {

struct UpstreamTableOptions {
  std::string m_node;    ///< name of this node, the observer in its reports
  std::string m_region;  ///< of upstreams that announce none
  base::milliseconds m_suspect_after{3'000};
  base::milliseconds m_remove_after{10'000};
  std::size_t m_max_upstreams = 4'096;
};

/** What became of an announcement. */
enum class AnnounceOutcome : std::uint8_t {
  kAccepted,
  kOldIncarnation,  ///< a newer incarnation of the upstream is known
  kTableFull,
  kEnd,
};

/**
 * Records of announced upstreams and of those that control reports, and the
 * liveness of the announced ones. Each change goes to the dispatcher, and each
 * local one to control. Thread-safe; records are spread over shards with a
 * lock each.
 */
class UpstreamTable {
 public:
  /** @param report called for each change of an upstream announced here,
   *        under the lock of its shard; must not wait */
  UpstreamTable(UpstreamTableOptions options, Dispatcher *dispatcher,
                std::function<void(const gen::UpstreamRecord &)> report);
  ~UpstreamTable();
  UpstreamTable(const UpstreamTable &) = delete;
  UpstreamTable &operator=(const UpstreamTable &) = delete;

  /** Applies an announcement or its renewal. */
  AnnounceOutcome Announce(const Announcement &announcement,
                           base::TimePoint now);

  /** Applies a record that control sent. An upstream that announces itself here
   * keeps its own record, unless control knows a newer incarnation or the
   * upstream is suspect here and announces itself to another host. */
  void ApplyRemote(const gen::UpstreamRecord &record);

  /** Marks silent upstreams as suspect and later removes them; one that another
   * host has reported takes over that host's record instead. */
  void Tick(base::TimePoint now);

  /** @return upstreams known, announced here or not. */
  std::size_t Count() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_UPSTREAM_TABLE_H_
