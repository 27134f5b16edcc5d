/** @file registry.h Reports of upstreams and entry hosts at a control host. */

#ifndef WASABIWIND_FLEET_CONTROL_REGISTRY_H_
#define WASABIWIND_FLEET_CONTROL_REGISTRY_H_

#include <cstddef>
#include <map>
#include <string>

#include "fleet/follower_func.h"
#include "fleet_control/publisher.h"
#include "fleet_control/view_publisher.h"

namespace wasabiwind::fleet_control {

/** Effect of an upstream's report. */
enum class ReportOutcome : std::uint8_t {
  kUnchanged,
  kChanged,   ///< published
  kOutdated,  ///< a later report is known
  kEnd,
};

/**
 * Publishes the reports of upstreams, entry hosts and control hosts, and marks
 * those as silent that stop reporting. Not thread-safe: used on one fiber
 * thread.
 */
class Registry {
 public:
  /**
   * @param publisher publishes to other control hosts; outlives this object
   * @param view_publisher publishes to entry hosts; outlives this object
   * @param follower holds the merged view; outlives this object
   * @param heartbeat time between two reports of an upstream
   */
  Registry(Publisher *publisher, ViewPublisher *view_publisher,
           fleet::Follower *follower, base::milliseconds heartbeat);

  /**
   * Tells whether an upstream that isn't in use may be recorded: the reports
   * that this host heard then take a bounded amount of memory.
   * @pre the report is of a service that isn't declared, or a leave of an
   *      upstream that isn't known
   */
  bool HasRoomForUnused(const gen::UpstreamReport &report) const;

  ReportOutcome RecordUpstream(gen::UpstreamReport report, base::TimePoint now);
  void RecordEntry(gen::EntryHost entry, base::TimePoint now);
  void RecordControl(const gen::ControlHost &control, base::TimePoint now);

  /** Publishes a fact and merges it into this host's view. */
  void Publish(const gen::Fact &fact, base::TimePoint now);

  /** Marks silent hosts and drops expired ones. A host that was late itself
   * judges nobody silent until all had time to report again. Called every
   * kTickPeriod. */
  void Tick(base::TimePoint now);

  static constexpr base::milliseconds kTickPeriod{100};

 private:
  /** A tick that is later by more than this means that reports were handled
   * late too. */
  static constexpr base::milliseconds kMaxTickDelay{200};
  static constexpr base::milliseconds kEntryTimeout{1'600};
  static constexpr base::milliseconds kUpstreamTimeoutMargin{500};
  static constexpr int kMissedReports = 2;
  /** Unused upstreams are recorded while the reports that this host heard take
   * at most this much memory. Hosts hold each report several times. */
  static constexpr std::size_t kMaxReportMemoryBytes = 4 << 20;

  /** A subject that this host hears itself. */
  struct HeardSubject {
    base::TimePoint m_at;            ///< of the last report
    std::size_t m_memory_bytes = 0;  ///< of the last report of an upstream
  };

  void NoteHeard(const std::string &key, std::size_t memory_bytes,
                 base::TimePoint now);
  void Forget(const std::string &key);
  void MarkSilent(const gen::Fact &fact, base::TimePoint now);

  bool IsLate(base::TimePoint now);

  Publisher *m_publisher;
  ViewPublisher *m_view_publisher;
  fleet::Follower *m_follower;
  base::milliseconds m_upstream_timeout;
  base::TimePoint m_ticked_at;
  /** Nobody is marked silent before this time. */
  base::TimePoint m_judges_from;
  std::map<std::string, HeardSubject> m_heard;  ///< by fact key
  std::size_t m_report_memory_bytes = 0;        ///< sum over m_heard
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_REGISTRY_H_
