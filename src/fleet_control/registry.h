/** @file registry.h Reports of upstreams and entry hosts at a control host. */

#ifndef WASABIWIND_FLEET_CONTROL_REGISTRY_H_
#define WASABIWIND_FLEET_CONTROL_REGISTRY_H_

#include <map>
#include <string>

#include "fleet/follower_func.h"
#include "fleet_control/publisher.h"

namespace wasabiwind::fleet_control {

/** What a report led to. */
enum class ReportOutcome : std::uint8_t {
  kUnchanged,
  kChanged,  ///< published
  kLate,     ///< a later report is known
  kEnd,
};

/**
 * Publishes what upstreams and entry hosts tell this host, and marks those
 * that fall silent. All methods belong to one fiber thread.
 */
class Registry {
 public:
  /**
   * @param publisher outlives this object
   * @param follower holds the merged view; outlives this object
   * @param heartbeat time between two reports of an upstream
   */
  Registry(Publisher *publisher, fleet::Follower *follower,
           base::milliseconds heartbeat);

  ReportOutcome RecordUpstream(gen::UpstreamReport report, base::TimePoint now);
  void RecordEntry(gen::EntryHost entry, base::TimePoint now);
  void RecordControl(const gen::ControlHost &control, base::TimePoint now);

  /** Publishes a fact and merges it into the own view. */
  void Publish(const gen::Fact &fact, base::TimePoint now);

  /** Marks what has fallen silent. Called some times a second. */
  void Tick(base::TimePoint now);

 private:
  static constexpr base::milliseconds kEntrySilence{1'600};
  static constexpr base::milliseconds kSilenceMargin{500};
  static constexpr int kMissedReports = 2;

  void MarkSilent(const gen::Fact &fact, base::TimePoint now);

  Publisher *m_publisher;
  fleet::Follower *m_follower;
  base::milliseconds m_upstream_silence;
  std::map<std::string, base::TimePoint> m_heard;  ///< by fact key
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_REGISTRY_H_
