/** @file fact_exchange.cpp Facts that a control host receives and publishes. */

#include "fleet_control/fact_exchange.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

namespace wasabiwind::fleet_control {

FactExchange::FactExchange(const gen::ControlHost &self,
                           base::milliseconds heartbeat, Hooks hooks)
    : m_hooks(std::move(hooks)),
      m_peer_publisher(MakePublisherHooks()),
      m_entry_publisher([this] {
        Publisher::Hooks entry_hooks = MakePublisherHooks();
        entry_hooks.m_on_acknowledged = [this](base::TimePoint now) {
          ConfirmSettled(now);
        };
        return entry_hooks;
      }()),
      m_view_publisher(&m_entry_publisher, &m_follower.m_view),
      m_registry(&m_peer_publisher, &m_view_publisher, &m_follower, heartbeat) {
  m_follower.m_own_endpoint = self.endpoint();
  *m_follower.m_self.mutable_control() = self;
}

Publisher::Hooks FactExchange::MakePublisherHooks() {
  Publisher::Hooks hooks;
  hooks.m_encode = m_hooks.m_encode;
  hooks.m_send = m_hooks.m_send;
  hooks.m_get_header = [this] {
    FactUpdateHeader header = m_hooks.m_get_header();
    header.m_newest_routes_version =
        std::max(header.m_routes_version, m_announced_routes_version);
    return header;
  };
  hooks.m_get_state = m_hooks.m_get_state;
  return hooks;
}

void FactExchange::SetSeeds(std::set<std::string> seeds) {
  m_follower.m_seeds = std::move(seeds);
}

std::set<std::string> FactExchange::ListPeers() const {
  return fleet::ListPublishers(m_follower);
}

ReportOutcome FactExchange::RecordUpstream(const gen::UpstreamReport &report,
                                           base::TimePoint now) {
  return m_registry.RecordUpstream(report, now);
}

void FactExchange::Publish(const gen::Fact &fact, base::TimePoint now) {
  m_registry.Publish(fact, now);
}

void FactExchange::AnnounceHeader() {
  m_peer_publisher.AnnounceHeader();
  m_entry_publisher.AnnounceHeader();
}

void FactExchange::SendMessage(const fleet::OutMessage &out) {
  m_hooks.m_send(out.m_to, m_hooks.m_encode(out.m_message));
}

void FactExchange::HandleFollow(const std::string &from,
                                const gen::FollowRequest &request,
                                base::TimePoint now) {
  if (request.has_control()) {
    m_registry.RecordControl(request.control(), now);
    m_peer_publisher.HandleFollow(from, request, now);
    return;
  }
  if (request.has_entry()) m_registry.RecordEntry(request.entry(), now);
  m_entry_publisher.HandleFollow(from, request, now);
}

void FactExchange::HandleFactUpdate(const std::string &from,
                                    const gen::FactUpdate &update,
                                    base::TimePoint now) {
  if (update.routes_version() > m_announced_routes_version) {
    m_announced_routes_version = update.routes_version();
    m_entry_publisher.AnnounceHeader();
  }
  // A control host takes its route table and quarantine only from the log.
  gen::FactUpdate facts = update;
  facts.clear_routes();
  facts.set_routes_version(0);
  facts.set_newest_routes_version(0);
  facts.clear_quarantine();
  // Acknowledged below, when the facts have reached this host's followers.
  facts.set_must_acknowledge(false);
  fleet::FactUpdateResult result =
      fleet::HandleFactUpdate(&m_follower, from, facts, now);
  for (const gen::Fact &fact : facts.facts()) {
    m_view_publisher.PublishSubject(fact, now);
  }
  for (const fleet::OutMessage &out : result.m_messages) SendMessage(out);
  if (!result.m_changed_upstreams.empty()) m_hooks.m_on_upstreams_changed();
  if (!update.must_acknowledge()) return;
  const fleet::PublisherState &state = m_follower.m_view.m_publishers[from];
  m_pending_settlements.push_back(
      PendingSettlement{from, state.m_epoch, state.m_acked_number,
                        m_entry_publisher.DemandAcknowledgement()});
  ConfirmSettled(now);
}

/** Acknowledges facts of other control hosts that all followers have. */
void FactExchange::ConfirmSettled(base::TimePoint now) {
  std::erase_if(m_pending_settlements, [this, now](const auto &pending) {
    if (!m_entry_publisher.HaveAllAcknowledged(pending.m_entry_number, now)) {
      return false;
    }
    fleet::PublisherState &state =
        m_follower.m_view.m_publishers[pending.m_publisher];
    if (state.m_epoch != pending.m_epoch) return true;
    state.m_settled_number = std::max(state.m_settled_number, pending.m_number);
    SendMessage(
        fleet::MakeAcknowledgement(&m_follower, pending.m_publisher, now));
    return true;
  });
}

PublishedNumbers FactExchange::DemandAcknowledgement() {
  return PublishedNumbers{m_peer_publisher.DemandAcknowledgement(),
                          m_entry_publisher.DemandAcknowledgement()};
}

bool FactExchange::AreKnownEverywhere(const PublishedNumbers &numbers,
                                      base::TimePoint now) const {
  return m_peer_publisher.HaveAllAcknowledged(numbers.m_to_peers, now) &&
         m_entry_publisher.HaveAllAcknowledged(numbers.m_to_entry_hosts, now);
}

bool FactExchange::WaitUntilKnownEverywhere(base::TimePoint deadline) {
  (void)m_peer_publisher.DemandAcknowledgement();
  bool is_known_here = m_entry_publisher.WaitForFollowers(deadline);
  return m_peer_publisher.WaitForFollowers(deadline) && is_known_here;
}

void FactExchange::Tick(base::TimePoint now) {
  m_follower.m_group_members = m_hooks.m_list_members();
  for (const fleet::OutMessage &out : fleet::TickFollower(&m_follower, now)) {
    SendMessage(out);
  }
  m_registry.Tick(now);
  m_view_publisher.Tick(now);
  ConfirmSettled(now);
}

void FactExchange::Run() {
  boost::fibers::fiber peers([this] { m_peer_publisher.Run(); });
  m_entry_publisher.Run();
  peers.join();
}

void FactExchange::Stop() {
  m_peer_publisher.Stop();
  m_entry_publisher.Stop();
}

}  // namespace wasabiwind::fleet_control
