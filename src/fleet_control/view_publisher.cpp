/** @file view_publisher.cpp Publishes a control host's view to entry hosts. */

#include "fleet_control/view_publisher.h"

#include <utility>
#include <vector>

#include "fleet/region_digest_func.h"

namespace wasabiwind::fleet_control {

ViewPublisher::ViewPublisher(Publisher *publisher, const fleet::FleetView *view)
    : m_publisher(publisher), m_view(view) {}

void ViewPublisher::PutUpstream(const fleet::UpstreamEntry &entry,
                                base::TimePoint now) {
  gen::Fact fact;
  *fact.mutable_upstream() = entry.m_report;
  fact.mutable_upstream()->set_is_silent(
      fleet::IsSilent(*m_view, entry.m_silence, now));
  m_publisher->Put(std::move(fact));
}

/** Publishes a residency while it is valid. A follower that starts later must
 * not get one that has expired. */
void ViewPublisher::PutResidency(const fleet::UpstreamEntry &entry,
                                 base::TimePoint now) {
  gen::Fact fact;
  *fact.mutable_residency() = entry.m_residency;
  fact.mutable_residency()->set_upstream(entry.m_report.id());
  if (fleet::IsResidencyValid(entry, now)) {
    m_publisher->Put(std::move(fact));
  } else {
    m_publisher->Withdraw(fleet::GetFactKey(fact));
  }
}

void ViewPublisher::PutEntryHost(const fleet::EntryHostEntry &entry,
                                 base::TimePoint now) {
  gen::Fact fact;
  *fact.mutable_entry() = entry.m_host;
  fact.mutable_entry()->set_is_silent(
      fleet::IsSilent(*m_view, entry.m_silence, now));
  m_publisher->Put(std::move(fact));
}

void ViewPublisher::PutDigests(base::TimePoint now) {
  for (gen::RegionDigest &digest : fleet::MakeRegionDigests(*m_view, now)) {
    gen::Fact fact;
    *fact.mutable_region() = std::move(digest);
    m_publisher->Put(std::move(fact));
  }
}

/** Tells followers of control hosts that the view has dropped. */
void ViewPublisher::PutSilentControlHosts() {
  std::vector<gen::Fact> silent;
  for (const auto &[key, published] : m_publisher->GetLog().m_facts) {
    const gen::Fact &fact = published.m_fact;
    if (!fact.has_control() || fact.control().is_silent()) continue;
    if (!m_view->m_control_hosts.contains(fact.control().name())) {
      silent.push_back(fact);
    }
  }
  for (gen::Fact &fact : silent) {
    fact.mutable_control()->set_is_silent(true);
    m_publisher->Put(std::move(fact));
  }
}

void ViewPublisher::WithdrawForgottenUpstreams() {
  std::vector<std::string> forgotten;
  for (const auto &[key, published] : m_publisher->GetLog().m_facts) {
    const gen::Fact &fact = published.m_fact;
    if (!fact.has_upstream()) continue;
    if (!m_view->m_upstreams.contains(fact.upstream().id())) {
      forgotten.push_back(key);
    }
  }
  for (const std::string &key : forgotten) m_publisher->Withdraw(key);
}

void ViewPublisher::PublishSubject(const gen::Fact &fact, base::TimePoint now) {
  if (fact.has_upstream() || fact.has_residency()) {
    auto found = m_view->m_upstreams.find(fact.has_upstream()
                                              ? fact.upstream().id()
                                              : fact.residency().upstream());
    if (found == m_view->m_upstreams.end()) return;
    if (fact.has_upstream()) PutUpstream(found->second, now);
    PutResidency(found->second, now);
  } else if (fact.has_entry()) {
    auto found = m_view->m_entry_hosts.find(fact.entry().name());
    if (found != m_view->m_entry_hosts.end()) PutEntryHost(found->second, now);
  } else if (fact.has_control()) {
    m_publisher->Put(fact);
  }
}

void ViewPublisher::Tick(base::TimePoint now) {
  if (now < m_refreshed_at + kRefreshPeriod) return;
  m_refreshed_at = now;
  for (const auto &[id, entry] : m_view->m_upstreams) {
    PutUpstream(entry, now);
    PutResidency(entry, now);
  }
  for (const auto &[name, entry] : m_view->m_entry_hosts) {
    PutEntryHost(entry, now);
  }
  PutDigests(now);
  PutSilentControlHosts();
  WithdrawForgottenUpstreams();
}

}  // namespace wasabiwind::fleet_control
