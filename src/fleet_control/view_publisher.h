/** @file view_publisher.h Publishes a control host's view to entry hosts. */

#ifndef WASABIWIND_FLEET_CONTROL_VIEW_PUBLISHER_H_
#define WASABIWIND_FLEET_CONTROL_VIEW_PUBLISHER_H_

#include "fleet/view_func.h"
#include "fleet_control/publisher.h"

namespace wasabiwind::fleet_control {

/**
 * Publishes the merged view of all control hosts to the entry hosts that follow
 * this one, and digests of the regions. Not thread-safe: used on one fiber
 * thread.
 */
class ViewPublisher {
 public:
  /** @param publisher its followers are entry hosts; outlives this object
   * @param view outlives this object */
  ViewPublisher(Publisher *publisher, const fleet::FleetView *view);

  /** Publishes what the view holds on the subject of a fact that was merged
   * into it. */
  void PublishSubject(const gen::Fact &fact, base::TimePoint now);

  /** Publishes what changed by the passing of time, such as hosts that fell
   * silent with their control host. Called every 100 ms or so. */
  void Tick(base::TimePoint now);

 private:
  static constexpr base::milliseconds kRefreshPeriod{500};

  void PutUpstream(const fleet::UpstreamEntry &entry, base::TimePoint now);
  void PutResidency(const fleet::UpstreamEntry &entry, base::TimePoint now);
  void PutEntryHost(const fleet::EntryHostEntry &entry, base::TimePoint now);
  void PutDigests(base::TimePoint now);
  void PutSilentControlHosts();
  void WithdrawForgottenUpstreams();

  Publisher *m_publisher;
  const fleet::FleetView *m_view;
  base::TimePoint m_refreshed_at;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_VIEW_PUBLISHER_H_
