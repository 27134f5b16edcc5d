/** @file fact_exchange.h Facts that a control host receives and publishes. */

#ifndef WASABIWIND_FLEET_CONTROL_FACT_EXCHANGE_H_
#define WASABIWIND_FLEET_CONTROL_FACT_EXCHANGE_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "fleet_control/registry.h"
#include "fleet_control/view_publisher.h"

namespace wasabiwind::fleet_control {

/** Last facts published to other control hosts and to entry hosts. */
struct PublishedNumbers {
  std::uint64_t m_to_peers = 0;
  std::uint64_t m_to_entry_hosts = 0;
};

/**
 * Exchanges facts on upstreams, entry hosts and loaded models with the other
 * control hosts, and publishes the merged view to the entry hosts that follow
 * this host. Not thread-safe: used on one fiber thread.
 */
class FactExchange {
 public:
  struct Hooks {
    Publisher::Encoder m_encode;
    Publisher::Sender m_send;
    /** @return the header, without m_newest_routes_version */
    Publisher::HeaderSource m_get_header;
    Publisher::StateSource m_get_state;
    /** @return message endpoints of the members of the replicated group; empty
     * if they aren't known */
    std::function<std::set<std::string>()> m_list_members;
    /** Called when the view of upstreams changed through another host. */
    std::function<void()> m_on_upstreams_changed;
  };

  /**
   * @param self this host
   * @param heartbeat time between two reports of an upstream
   */
  FactExchange(const gen::ControlHost &self, base::milliseconds heartbeat,
               Hooks hooks);

  /** Sets the message endpoints of the control hosts that the settings name. */
  void SetSeeds(std::set<std::string> seeds);

  const fleet::FleetView &GetView() const { return m_follower.m_view; }

  /** @return the message endpoints of the other control hosts. */
  std::set<std::string> ListPeers() const;

  /** @copydoc Registry::HasRoomForUnused */
  bool HasRoomForUnused(const gen::UpstreamReport &report) const {
    return m_registry.HasRoomForUnused(report);
  }

  ReportOutcome RecordUpstream(const gen::UpstreamReport &report,
                               base::TimePoint now);

  /** Publishes a fact of this host. */
  void Publish(const gen::Fact &fact, base::TimePoint now);

  /** Sends a changed header to all followers at once. */
  void AnnounceHeader();

  /** Handles a request of an entry host or another control host.
   * @param from its message endpoint */
  void HandleFollow(const std::string &from, const gen::FollowRequest &request,
                    base::TimePoint now);

  /** Handles an update of another control host. */
  void HandleFactUpdate(const std::string &from, const gen::FactUpdate &update,
                        base::TimePoint now);

  /** Has all facts published so far acknowledged at once. */
  PublishedNumbers DemandAcknowledgement();

  /** @return whether all live entry hosts have facts: those that follow this
   * host, and through the other control hosts theirs. */
  bool AreKnownEverywhere(const PublishedNumbers &numbers,
                          base::TimePoint now) const;

  /** Waits until all live entry hosts have the facts published so far.
   * @return false if some hadn't by the deadline */
  bool WaitUntilKnownEverywhere(base::TimePoint deadline);

  /** Sends due requests, judges silence and refreshes what is published. Called
   * every Registry::kTickPeriod. */
  void Tick(base::TimePoint now);

  /** Sends due updates until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  Publisher *GetPeerPublisher() { return &m_peer_publisher; }
  Publisher *GetEntryPublisher() { return &m_entry_publisher; }

 private:
  /** Facts of another control host that this host's followers must acknowledge
   * before this host does. */
  struct PendingSettlement {
    std::string m_publisher;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_number = 0;        ///< of the other control host
    std::uint64_t m_entry_number = 0;  ///< of the publisher to entry hosts
  };

  Publisher::Hooks MakePublisherHooks();
  void SendMessage(const fleet::OutMessage &out);
  void ConfirmSettled(base::TimePoint now);

  Hooks m_hooks;
  fleet::Follower m_follower;
  /** Highest table version that other control hosts have announced. */
  std::uint64_t m_announced_routes_version = 0;
  /** Publishes what this host heard itself to the other control hosts. */
  Publisher m_peer_publisher;
  /** Publishes the view to the entry hosts that follow this host. */
  Publisher m_entry_publisher;
  ViewPublisher m_view_publisher;
  Registry m_registry;
  std::vector<PendingSettlement> m_pending_settlements;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_FACT_EXCHANGE_H_
