/** @file monitor.h Checks what callers, upstreams and operators see. */

#ifndef WASABIWIND_SOAK_MONITOR_H_
#define WASABIWIND_SOAK_MONITOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "soak/protocol_type.h"

namespace wasabiwind::soak {

/** Bounds of the promises, as the programs' settings state them. */
struct SoakBounds {
  base::milliseconds m_contact{4'000};      ///< calm until a host is in touch
  base::milliseconds m_drain{2'500};        ///< leave to last request
  base::milliseconds m_apply{2'500};        ///< acknowledged to in force
  base::milliseconds m_rollback{250};       ///< seen to never undone
  base::milliseconds m_order_lease{3'000};  ///< between two holders' orders
  double m_loads_per_s = 3;
  base::milliseconds m_load_window{5'000};
  double m_load_excess = 1.1;
  double m_weight_mb = 0;  ///< of a runner
  std::size_t m_adapter_slots = 0;
};

/** A request of a caller, from its first byte to its end. */
struct RequestRecord {
  std::string m_path;
  std::string m_model;
  std::string m_body;
  bool m_is_repeatable = false;
  bool m_is_stream = false;
  int m_entry = 0;
  base::TimePoint m_sent_at;
  std::vector<std::string> m_signatures;  ///< of the upstreams that ran it
  bool m_is_refused = false;              ///< with a promise that it never runs
};

/**
 * Collects facts and broken promises. Violations are kept with the time; the
 * first of each kind is logged. Belongs to one fiber thread.
 */
class Monitor {
 public:
  Monitor(SoakBounds bounds, int entries);

  /** Reports a broken promise. */
  void Break(const std::string &promise, const std::string &detail);

  const std::vector<std::string> &GetViolations() const { return m_violations; }

  // Disturbances: hosts are judged by promises with a time only when calm.

  /** A fault touches one entry host, or all if the number is -1. */
  void Disturb(int entry, base::TimePoint until);
  /** A fault touches the control hosts. */
  void DisturbControl(base::TimePoint until);
  /** A fault touches upstreams or the links to them. */
  void DisturbUpstreams(base::TimePoint until);
  /** @return whether an entry host was in touch from one time to another. */
  bool IsInTouch(int entry, base::TimePoint from, base::TimePoint until) const;
  /** A new process of an entry host begins; it may know nothing. */
  void StartEntry(int entry);

  // Requests.

  void SendRequest(const std::string &id, RequestRecord record);
  /** An upstream begins to run a request. @return false if nobody sent it */
  bool RunRequest(const std::string &service, const std::string &signature,
                  const ForwardedRequest &forwarded,
                  const net::HttpRequest &request);
  /** A caller got a final answer. */
  void EndRequest(const std::string &id, const net::HttpResponse &answer,
                  const std::string &signature);
  /** A caller lost its connection before the end of its answer. */
  void CutRequest(const std::string &id);
  /** @return the body with which an upstream answers. */
  static std::string MakeAnswer(const std::string &id,
                                const std::string &signature);
  /** @return one event of the stream that answers a request, from 1 on. */
  static std::string MakeEvent(const std::string &id, int event);
  static constexpr int kEvents = 8;  ///< of each stream

  // Leaves.

  void AcknowledgeLeave(const std::string &upstream, base::TimePoint at);
  /** A request reached an upstream. */
  void ReachUpstream(const std::string &upstream, const std::string &id);

  // Tables: version V sends the moving route to service V modulo kMoving.

  static constexpr std::uint64_t kMovingServices = 3;
  void SendTable(std::uint64_t version, const std::string &document);
  void AcknowledgeTable(std::uint64_t version);
  /** @return the highest acknowledged version. */
  std::uint64_t GetAcknowledged() const { return m_acknowledged; }
  /** An operator read a document that it asked for at a time. */
  void ReadTable(const std::string &document,
                 std::uint64_t acknowledged_before);

  // Orders.

  struct RunnerLoad {
    double m_weight_mb = 0;
    std::size_t m_adapters = 0;
  };
  /** A runner accepted an order. @param load with the order carried out */
  void AcceptOrder(const std::string &runner,
                   const fleet_control::RunnerOrder &order,
                   const RunnerLoad &load, bool is_from_store);

  std::map<std::string, int> m_counts;  ///< of what happened, for the summary

 private:
  struct Interval {
    base::TimePoint m_from;
    base::TimePoint m_until;
  };
  struct HolderState {
    std::string m_holder;
    std::uint64_t m_fence = 0;
    base::TimePoint m_at;
  };
  struct EntryState {
    std::vector<Interval> m_disturbed;
    std::uint64_t m_least_version = 0;  ///< seen to be in force
    base::TimePoint m_seen_at;          ///< of that version
  };

  bool IsCalm(const std::vector<Interval> &list, base::TimePoint from,
              base::TimePoint until) const;
  void CheckMoving(const RequestRecord &record, std::uint64_t service);
  void CheckForwarded(const RequestRecord &record,
                      const ForwardedRequest &forwarded,
                      const net::HttpRequest &request);

  SoakBounds m_bounds;
  std::vector<EntryState> m_entries;
  std::vector<Interval> m_control;
  std::vector<Interval> m_upstreams;
  std::map<std::string, RequestRecord> m_requests;
  std::map<std::string, base::TimePoint> m_left_at;  ///< acknowledged leaves
  struct TableState {
    std::string m_document;
    base::TimePoint m_sent_at;
    std::optional<base::TimePoint> m_acknowledged_at;
  };
  std::map<std::uint64_t, TableState> m_tables;
  std::uint64_t m_acknowledged = 0;
  std::map<std::string, HolderState> m_holders;  ///< by runner
  std::vector<base::TimePoint> m_store_loads;
  std::vector<std::string> m_violations;
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_MONITOR_H_
