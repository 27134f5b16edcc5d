/** @file view_func.h A host's view of upstreams, entry and control hosts.
 *
 * Facts of several publishers are merged. Of two reports of one upstream, the
 * one of the later process start wins, and within one start the one with the
 * higher number. An upstream that has left stays gone until a later start of it
 * reports.
 */

#ifndef WASABIWIND_FLEET_VIEW_FUNC_H_
#define WASABIWIND_FLEET_VIEW_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <fleet.pb.h>

#include <string>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::fleet {

/** State of a publisher of facts, which a view holds by message endpoint. */
struct PublisherState {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_acked_number = 0;
  /** Facts up to this number have also reached the followers of this host. */
  std::uint64_t m_settled_number = 0;
  base::TimePoint m_heard_at;
  base::TimePoint m_led_at;  ///< last message that named a leader
};

/** Whether each publisher reports a host or upstream as silent, by endpoint. */
using SilenceByPublisher = absl::flat_hash_map<std::string, bool>;

struct UpstreamEntry {
  gen::UpstreamReport m_report;
  SilenceByPublisher m_silence;
  std::string m_publisher;         ///< source of the report
  base::TimePoint m_reported_at;   ///< arrival of the report
  gen::Residency m_residency;      ///< of the same process start, or empty
  base::TimePoint m_residency_at;  ///< arrival of the residency
};

struct EntryHostEntry {
  gen::EntryHost m_host;
  SilenceByPublisher m_silence;
};

/** Not thread-safe. */
struct FleetView {
  absl::flat_hash_map<std::string, PublisherState> m_publishers;
  absl::flat_hash_map<std::string, UpstreamEntry> m_upstreams;  ///< by id
  /** The upstream that owns an address: the one that started last. */
  absl::flat_hash_map<std::string, std::string> m_id_by_address;
  absl::flat_hash_map<std::string, EntryHostEntry> m_entry_hosts;  ///< by name
  absl::flat_hash_map<std::string, gen::RegionDigest> m_regions;   ///< by name
  absl::flat_hash_map<std::string, gen::ControlHost>
      m_control_hosts;  ///< by name
  std::uint64_t m_leader_term = 0;
  std::string m_leader_endpoint;
};

/** The silence flags of a publisher not heard for this long are ignored. */
inline constexpr base::milliseconds kPublisherTimeout{3'000};
/** A residency fact expires this long after its last arrival, so that it
 * outlives its publisher only briefly. */
inline constexpr base::milliseconds kResidencyLifetime{4'000};

/** Result of merging one fact. */
struct ViewChange {
  bool m_is_changed = false;
  std::string m_upstream;  ///< the fact is about it, or ""
};

/** Merges one fact. @param publisher message endpoint of its source */
ViewChange ApplyFact(FleetView *view, const std::string &publisher,
                     const gen::Fact &fact, base::TimePoint now);

/** Result of merging one message. */
struct FactUpdateChanges {
  bool m_is_complete = false;  ///< no gap before its first fact
  bool m_is_new_epoch = false;
  std::vector<std::string> m_changed_upstreams;
};

/** Merges a message of a publisher and updates the number to acknowledge. */
FactUpdateChanges ApplyFactUpdate(FleetView *view, const std::string &publisher,
                                  const gen::FactUpdate &update,
                                  base::TimePoint now);

/**
 * @return whether each publisher that was heard within kPublisherTimeout
 *         reports silence, or there is none
 */
bool IsSilent(const FleetView &view, const SilenceByPublisher &silence,
              base::TimePoint now);

/** @return whether a residency was received within kResidencyLifetime. */
bool IsResidencyValid(const UpstreamEntry &entry, base::TimePoint now);

/** @return whether an upstream is ready and owns its address. */
bool IsServing(const FleetView &view, const UpstreamEntry &entry);

/** @return "MODEL", or "MODEL/ADAPTER" if an adapter is named. */
std::string MakeTarget(const std::string &model, const std::string &adapter);

bool Contains(const google::protobuf::RepeatedPtrField<std::string> &list,
              const std::string &item);

/** @return whether a report lists a target as loaded. */
bool ReportsTarget(const gen::UpstreamReport &report,
                   const std::string &target);

/** @return whether a runner has a model loaded, and the adapter if named. */
bool HasTarget(const UpstreamEntry &entry, const std::string &model,
               const std::string &adapter, base::TimePoint now);

/** A gone or silent upstream is removed this long after its last report. */
inline constexpr base::milliseconds kUpstreamRetention{300'000};

/** Removes gone or silent upstreams without a report for kUpstreamRetention. */
void ForgetUpstreams(FleetView *view, base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_VIEW_FUNC_H_
