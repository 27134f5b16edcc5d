/** @file region_digest.cpp What other regions need to know of a region's entry
 * hosts. */

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

#include "fleet/region_digest_func.h"

namespace wasabiwind::fleet {

namespace {

struct RegionHosts {
  std::uint32_t m_count = 0;
  /** Hosts that may track, by the hash of their names. The hash chooses the
   * same ones again when others come and go. */
  std::vector<std::pair<std::uint64_t, const gen::EntryHost *>> m_serving;
};

gen::EntryHost MakeTracker(const gen::EntryHost &host) {
  gen::EntryHost tracker;
  tracker.set_name(host.name());
  tracker.set_endpoint(host.endpoint());
  tracker.set_region(host.region());
  tracker.set_domain(host.domain());
  tracker.set_state(host.state());
  return tracker;
}

gen::RegionDigest MakeDigest(const std::string &region, RegionHosts *hosts) {
  gen::RegionDigest digest;
  digest.set_region(region);
  digest.set_entry_host_count(hosts->m_count);
  std::sort(hosts->m_serving.begin(), hosts->m_serving.end());
  std::size_t count = std::min(kMaxTrackersPerRegion, hosts->m_serving.size());
  for (std::size_t i = 0; i < count; ++i) {
    *digest.add_trackers() = MakeTracker(*hosts->m_serving[i].second);
  }
  return digest;
}

}  // namespace

std::vector<gen::RegionDigest> MakeRegionDigests(const FleetView &view,
                                                 base::TimePoint now) {
  std::map<std::string, RegionHosts> regions;
  for (const auto &[name, entry] : view.m_entry_hosts) {
    RegionHosts &hosts = regions[entry.m_host.region()];
    ++hosts.m_count;
    bool is_serving = entry.m_host.state() == gen::ENTRY_SERVING &&
                      !IsSilent(view, entry.m_silence, now);
    if (!is_serving) continue;
    hosts.m_serving.emplace_back(XXH3_64bits(name.data(), name.size()),
                                 &entry.m_host);
  }
  std::vector<gen::RegionDigest> digests;
  digests.reserve(regions.size());
  for (auto &[region, hosts] : regions) {
    digests.push_back(MakeDigest(region, &hosts));
  }
  return digests;
}

std::size_t CountEntryHosts(const FleetView &view) {
  std::size_t count = 0;
  for (const auto &[region, digest] : view.m_regions) {
    count += digest.entry_host_count();
  }
  return count;
}

}  // namespace wasabiwind::fleet
