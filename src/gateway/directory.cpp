/** @file directory.cpp Addresses of entry hosts for callers. */

#include <algorithm>

#include "gateway/directory_func.h"

namespace wasabiwind::gateway {

namespace {

/** Distance of an entry host from a caller, nearest first. */
enum class Proximity : std::uint8_t { kDomain, kRegion, kOther, kEnd };

Proximity GetProximity(const Location &location, const gen::EntryHost &host,
                       const AddressQuery &query) {
  if (host.domain() == query.m_domain) return Proximity::kDomain;
  auto region = location.m_region_by_domain.find(query.m_domain);
  bool is_same_region = host.region() == query.m_region ||
                        (region != location.m_region_by_domain.end() &&
                         region->second == host.region());
  return is_same_region ? Proximity::kRegion : Proximity::kOther;
}

/** @return whether a publisher was heard within kPublisherTimeout. */
bool HasActivePublisher(const fleet::FleetView &view, base::TimePoint now) {
  return std::any_of(view.m_publishers.begin(), view.m_publishers.end(),
                     [now](const auto &item) {
                       return now <
                              item.second.m_heard_at + fleet::kPublisherTimeout;
                     });
}

}  // namespace

std::vector<std::string> ListAddresses(const fleet::FleetView &view,
                                       const Location &location,
                                       const gen::EntryHost &own,
                                       const AddressQuery &query,
                                       base::TimePoint now) {
  bool is_silence_known = HasActivePublisher(view, now);
  std::vector<std::pair<Proximity, std::string>> hosts;
  if (own.state() == gen::ENTRY_SERVING) {
    hosts.emplace_back(GetProximity(location, own, query),
                       own.caller_address());
  }
  for (const auto &[name, entry] : view.m_entry_hosts) {
    const gen::EntryHost &host = entry.m_host;
    if (name == own.name() || host.state() != gen::ENTRY_SERVING) continue;
    if (is_silence_known && fleet::IsSilent(view, entry.m_silence, now))
      continue;
    hosts.emplace_back(GetProximity(location, host, query),
                       host.caller_address());
  }
  std::sort(hosts.begin(), hosts.end());
  std::vector<std::string> addresses;
  Proximity last = Proximity::kDomain;
  for (const auto &[proximity, address] : hosts) {
    bool is_farther = proximity != last;
    if (is_farther && addresses.size() >= kSufficientAddresses) break;
    last = proximity;
    if (addresses.size() >= kMaxAddresses) break;
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace wasabiwind::gateway
