/** @file view.cpp A host's view of upstreams, entry and control hosts. */

#include <algorithm>
#include <utility>

#include "fleet/view_func.h"

namespace wasabiwind::fleet {

namespace {

std::pair<std::uint64_t, std::uint64_t> GetVersion(
    const gen::UpstreamReport &report) {
  return {report.born_ms(), report.report_number()};
}

bool IsGone(const gen::UpstreamReport &report) {
  return report.state() == gen::UPSTREAM_GONE;
}

/** @return whether a report replaces the known one. */
bool IsNewer(const gen::UpstreamReport &known,
             const gen::UpstreamReport &report) {
  if (report.born_ms() != known.born_ms()) {
    // A leave without a start time ends the known start.
    return report.born_ms() > known.born_ms() ||
           (IsGone(report) && report.born_ms() == 0);
  }
  if (IsGone(known) != IsGone(report)) return IsGone(report);
  return GetVersion(report) > GetVersion(known);
}

/** Assigns an address to the upstream that started last. */
void ClaimAddress(FleetView *view, const gen::UpstreamReport &report) {
  if (report.address().empty() || IsGone(report)) return;
  std::string &owner = view->m_id_by_address[report.address()];
  auto known = view->m_upstreams.find(owner);
  bool is_free = owner.empty() || owner == report.id() ||
                 known == view->m_upstreams.end() ||
                 IsGone(known->second.m_report) ||
                 known->second.m_report.address() != report.address() ||
                 known->second.m_report.born_ms() <= report.born_ms();
  if (is_free) owner = report.id();
}

ViewChange ApplyUpstream(FleetView *view, const std::string &publisher,
                         const gen::UpstreamReport &report,
                         base::TimePoint now) {
  auto [found, is_new] = view->m_upstreams.try_emplace(report.id());
  UpstreamEntry &entry = found->second;
  ViewChange change{false, report.id()};
  bool &silence = entry.m_silence[publisher];
  if (silence != report.is_silent()) change.m_is_changed = true;
  silence = report.is_silent();
  if (!is_new && !IsNewer(entry.m_report, report)) return change;
  std::uint64_t known_start_ms = entry.m_report.born_ms();
  std::string known_address = entry.m_report.address();
  bool is_same_start = is_new || report.born_ms() == known_start_ms;
  entry.m_report = report;
  if (IsGone(report)) {
    // A leave may omit fields; these keep their known values.
    if (report.born_ms() == 0) entry.m_report.set_born_ms(known_start_ms);
    if (report.address().empty()) entry.m_report.set_address(known_address);
  }
  if (!is_same_start && entry.m_residency.born_ms() != report.born_ms()) {
    entry.m_residency = gen::Residency();
  }
  entry.m_publisher = publisher;
  entry.m_reported_at = now;
  ClaimAddress(view, entry.m_report);
  change.m_is_changed = true;
  return change;
}

ViewChange ApplyResidency(FleetView *view, const gen::Residency &residency,
                          base::TimePoint now) {
  auto found = view->m_upstreams.find(residency.upstream());
  ViewChange change{false, residency.upstream()};
  if (found == view->m_upstreams.end()) return change;
  UpstreamEntry &entry = found->second;
  if (entry.m_report.born_ms() != residency.born_ms()) return change;
  auto version = std::make_pair(residency.term(), residency.number());
  auto known =
      std::make_pair(entry.m_residency.term(), entry.m_residency.number());
  if (version < known) return change;
  change.m_is_changed = version != known;
  entry.m_residency = residency;
  entry.m_residency_at = now;
  return change;
}

ViewChange ApplyEntry(FleetView *view, const std::string &publisher,
                      const gen::EntryHost &host) {
  auto [found, is_new] = view->m_entry_hosts.try_emplace(host.name());
  EntryHostEntry &entry = found->second;
  entry.m_silence[publisher] = host.is_silent();
  auto known =
      std::make_pair(entry.m_host.born_ms(), entry.m_host.report_number());
  auto version = std::make_pair(host.born_ms(), host.report_number());
  if (!is_new && version <= known) return ViewChange{};
  entry.m_host = host;
  return ViewChange{true, ""};
}

}  // namespace

bool IsResidencyValid(const UpstreamEntry &entry, base::TimePoint now) {
  return entry.m_residency.term() != 0 &&
         now < entry.m_residency_at + kResidencyLifetime;
}

ViewChange ApplyFact(FleetView *view, const std::string &publisher,
                     const gen::Fact &fact, base::TimePoint now) {
  switch (fact.body_case()) {
    case gen::Fact::kUpstream:
      return ApplyUpstream(view, publisher, fact.upstream(), now);
    case gen::Fact::kEntry:
      return ApplyEntry(view, publisher, fact.entry());
    case gen::Fact::kControl:
      if (fact.control().is_silent()) {
        view->m_control_hosts.erase(fact.control().name());
      } else {
        view->m_control_hosts[fact.control().name()] = fact.control();
      }
      return ViewChange{true, ""};
    case gen::Fact::kResidency:
      return ApplyResidency(view, fact.residency(), now);
    case gen::Fact::kRegion:
      view->m_regions[fact.region().region()] = fact.region();
      return ViewChange{true, ""};
    case gen::Fact::BODY_NOT_SET:
      break;
  }
  return ViewChange{};
}

FactUpdateChanges ApplyFactUpdate(FleetView *view, const std::string &publisher,
                                  const gen::FactUpdate &update,
                                  base::TimePoint now) {
  PublisherState &state = view->m_publishers[publisher];
  FactUpdateChanges outcome;
  state.m_heard_at = now;
  if (!update.leader_endpoint().empty()) state.m_led_at = now;
  if (state.m_epoch != update.publisher_epoch()) {
    state.m_epoch = update.publisher_epoch();
    state.m_acked_number = 0;
    state.m_settled_number = 0;
    outcome.m_is_new_epoch = true;
  }
  for (const gen::Fact &fact : update.facts()) {
    ViewChange change = ApplyFact(view, publisher, fact, now);
    if (change.m_is_changed && !change.m_upstream.empty()) {
      outcome.m_changed_upstreams.push_back(std::move(change.m_upstream));
    }
  }
  outcome.m_is_complete = update.first_number() <= state.m_acked_number;
  if (outcome.m_is_complete) {
    state.m_acked_number = std::max(state.m_acked_number, update.last_number());
  }
  if (update.leader_term() > view->m_leader_term ||
      (update.leader_term() == view->m_leader_term &&
       !update.leader_endpoint().empty())) {
    view->m_leader_term = update.leader_term();
    view->m_leader_endpoint = update.leader_endpoint();
  }
  return outcome;
}

bool IsSilent(const FleetView &view, const SilenceByPublisher &silence,
              base::TimePoint now) {
  for (const auto &[publisher, is_silent] : silence) {
    if (is_silent) continue;
    auto found = view.m_publishers.find(publisher);
    if (found == view.m_publishers.end()) continue;
    if (now < found->second.m_heard_at + kPublisherTimeout) return false;
  }
  return true;
}

bool IsServing(const FleetView &view, const UpstreamEntry &entry) {
  if (entry.m_report.state() != gen::UPSTREAM_READY) return false;
  auto owner = view.m_id_by_address.find(entry.m_report.address());
  return owner != view.m_id_by_address.end() &&
         owner->second == entry.m_report.id();
}

std::string MakeTarget(const std::string &model, const std::string &adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

bool Contains(const google::protobuf::RepeatedPtrField<std::string> &list,
              const std::string &item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

bool ReportsTarget(const gen::UpstreamReport &report,
                   const std::string &target) {
  std::size_t slash = target.find('/');
  std::string model = target.substr(0, slash);
  for (const gen::ResidentModel &held : report.models()) {
    if (held.name() != model) continue;
    return slash == std::string::npos ||
           Contains(held.adapters(), target.substr(slash + 1));
  }
  return false;
}

bool HasTarget(const UpstreamEntry &entry, const std::string &model,
               const std::string &adapter, base::TimePoint now) {
  std::string target = MakeTarget(model, adapter);
  if (IsResidencyValid(entry, now)) {
    const gen::Residency &residency = entry.m_residency;
    if (Contains(residency.unloaded(), model)) return false;
    if (Contains(residency.unloaded(), target)) return false;
    if (Contains(residency.loaded(), target)) return true;
  }
  return ReportsTarget(entry.m_report, target);
}

void ForgetUpstreams(FleetView *view, base::TimePoint now) {
  absl::erase_if(view->m_upstreams, [&](const auto &item) {
    const UpstreamEntry &entry = item.second;
    if (now < entry.m_reported_at + kUpstreamRetention) return false;
    return IsGone(entry.m_report) || IsSilent(*view, entry.m_silence, now);
  });
  absl::erase_if(view->m_id_by_address, [view](const auto &item) {
    return !view->m_upstreams.contains(item.second);
  });
}

}  // namespace wasabiwind::fleet
