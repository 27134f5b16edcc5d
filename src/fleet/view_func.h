/** @file view_func.h What a host believes of upstreams and entry hosts.
 *
 * Facts of several publishers are merged: of two reports of one upstream the
 * one of the later start counts, within a start the one with the higher
 * number. An upstream that has left stays gone until a later start reports.
 */

#ifndef WASABIWIND_FLEET_VIEW_FUNC_H_
#define WASABIWIND_FLEET_VIEW_FUNC_H_

#include <absl/container/flat_hash_map.h>
#include <fleet.pb.h>

#include <string>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::fleet {

/** What is known of a publisher of facts, by its message endpoint. */
struct PublisherState {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_acked_number = 0;
  base::TimePoint m_heard_at;
};

/** Whether each publisher calls something silent. */
using SilenceByPublisher = absl::flat_hash_map<std::string, bool>;

struct UpstreamEntry {
  gen::UpstreamReport m_report;
  SilenceByPublisher m_silence;
  std::string m_publisher;         ///< that the report came from
  base::TimePoint m_reported_at;   ///< arrival of the report
  gen::Residency m_residency;      ///< of the same start, or empty
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
  absl::flat_hash_map<std::string, gen::ControlHost>
      m_control_hosts;  ///< by name
  std::uint64_t m_leader_term = 0;
  std::string m_leader_endpoint;
};

/** A publisher that wasn't heard for this long says nothing on silence. */
inline constexpr base::milliseconds kPublisherTimeout{3'000};
/** Time for which a residency fact outlives its publisher. */
inline constexpr base::milliseconds kResidencyLifetime{4'000};

/** What a fact changed in a view. */
struct ViewChange {
  bool m_is_changed = false;
  std::string m_upstream;  ///< that changed, or ""
};

/** Merges one fact. @param publisher message endpoint of its publisher */
ViewChange ApplyFact(FleetView *view, const std::string &publisher,
                     const gen::Fact &fact, base::TimePoint now);

/** What one message changed. */
struct NewsOutcome {
  bool m_is_complete = false;  ///< no facts are missing before its first
  bool m_is_new_epoch = false;
  std::vector<std::string> m_changed_upstreams;
};

/** Merges a message of a publisher and records what it acknowledges. */
NewsOutcome ApplyNews(FleetView *view, const std::string &publisher,
                      const gen::FactUpdate &news, base::TimePoint now);

/** @return whether no publisher in touch has heard of it lately. */
bool IsSilent(const FleetView &view, const SilenceByPublisher &silence,
              base::TimePoint now);

/** @return whether an upstream may get new requests by what it reported. */
bool IsServing(const FleetView &view, const UpstreamEntry &entry);

/** @return "MODEL", or "MODEL/ADAPTER" if an adapter is named. */
std::string MakeTarget(const std::string &model, const std::string &adapter);

bool Contains(const google::protobuf::RepeatedPtrField<std::string> &list,
              const std::string &item);

/** @return whether a report names a target as held. */
bool ReportsTarget(const gen::UpstreamReport &report,
                   const std::string &target);

/** @return whether a runner holds a model, and the adapter if one is named. */
bool HasTarget(const UpstreamEntry &entry, const std::string &model,
               const std::string &adapter, base::TimePoint now);

/** Upstreams that are gone or silent are forgotten after this long. */
inline constexpr base::milliseconds kUpstreamRetention{300'000};

/** Forgets upstreams that have been gone or silent for long. */
void ForgetUpstreams(FleetView *view, base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_VIEW_FUNC_H_
