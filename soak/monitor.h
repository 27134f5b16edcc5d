/** @file monitor.h Checks the guarantees of the programs under test. */

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

/** Bounds of the guarantees, as in the settings of the programs. */
struct SoakBounds {
  /** From the last fault until a host follows the control hosts again. */
  base::milliseconds m_recovery_time{4'000};
  base::milliseconds m_drain{2'500};  ///< from leaving to the last request
  /** From a refusal with a pause until requests on their way have arrived. */
  base::milliseconds m_pause_reaction{500};
  int m_max_arrivals_in_pause = 2;
  base::milliseconds m_apply_time{2'500};  ///< from acknowledged to in force
  /** The same while one control host is affected by faults. */
  base::milliseconds m_max_apply_time{8'500};
  /** From the fifth crash under one prompt part, or the third under one
   * request, until its requests end. */
  base::milliseconds m_quarantine_time{4'000};
  /** From acknowledged until a key that the table removed works nowhere. */
  base::milliseconds m_revocation_time{2'500};
  int m_max_late_crashing_prompts = 3;
  int m_max_late_crashing_requests = 3;  ///< for each request
  /** For which sound requests may be refused in a row as crashing ones. */
  base::milliseconds m_max_wrong_quarantine{2'000};
  /** A host that has used a version for longer never uses an older one. */
  base::milliseconds m_rollback_time{250};
  base::milliseconds m_order_lease{3'000};  ///< between orders of two holders
  double m_loads_per_s = 3;
  base::milliseconds m_load_window{5'000};
  double m_max_load_ratio = 1.1;  ///< to m_loads_per_s, within the window
  double m_weight_mb = 0;         ///< limit of a runner
  std::size_t m_adapter_slots = 0;
};

/** A request of a caller and what happened to it. */
struct RequestRecord {
  std::string m_path;
  std::string m_model;
  std::string m_body;
  std::string m_team;  ///< that runners must be told, "": none
  /** Version of the table whose key it has; kLastingKey: the key that no table
   * removes, or none. */
  std::uint64_t m_key_version = 0;
  bool m_is_repeatable = false;
  bool m_is_stream = false;
  bool m_has_crashing_part = false;
  /** Name of a request that comes again with other IDs, "" if it doesn't. */
  std::string m_repeated_as;
  bool m_crashes_runners = false;  ///< whenever it is repeated
  int m_entry = 0;
  base::TimePoint m_sent_at;
  base::milliseconds m_timeout{0};  ///< of the caller
  /** The entry host used this version, or a newer one, when it was sent. */
  std::uint64_t m_min_version = 0;
  std::vector<std::string> m_signatures;  ///< of the upstreams that ran it
  bool m_is_refused = false;   ///< with a status that says it never runs
  bool m_has_arrived = false;  ///< at any upstream
  /** How it failed beside planned work before it arrived at any upstream. */
  std::string m_failure_before_arrival;
};

/**
 * Records what callers, upstreams and operators see, and checks it against the
 * guarantees. Keeps all violations and logs the first ones. Belongs to one
 * fiber thread.
 */
class Monitor {
 public:
  Monitor(SoakBounds bounds, int entries);

  /** Adds a violation of a guarantee. */
  void ReportViolation(const std::string &guarantee, const std::string &detail);

  const std::vector<std::string> &GetViolations() const { return m_violations; }

  // Disturbances. Guarantees with a time limit are checked only without faults.

  /** A fault affects an entry host until a time; `entry` -1: all of them. */
  void RecordEntryDisturbance(int entry, base::TimePoint until);
  /** A fault affects a control host until a time. */
  void RecordControlDisturbance(int control, base::TimePoint until);
  /** A fault affects upstreams or the links to them. */
  void RecordUpstreamDisturbance(base::TimePoint until);
  /**
   * @return whether no fault affected an entry host or the control hosts from
   *         one time to another, recovery time included
   */
  bool IsEntryUndisturbed(int entry, base::TimePoint from,
                          base::TimePoint until) const;
  /** A new process of an entry host starts, without any table. */
  void RecordEntryStart(int entry);

  // Requests.

  void RecordRequest(const std::string &id, RequestRecord record);
  /** An upstream starts a request. @return false if no caller sent it */
  bool RecordExecution(const std::string &service, const std::string &signature,
                       const ForwardedRequest &forwarded,
                       const net::HttpRequest &request);
  /** A caller got a complete response. */
  void RecordResponse(const std::string &id, const net::HttpResponse &answer,
                      const std::string &signature,
                      const std::string &refusal_reason);
  /** A caller lost its connection before the end of the response. */
  void RecordLostConnection(const std::string &id);
  /** @return the response body of an upstream. */
  static std::string MakeAnswer(const std::string &id,
                                const std::string &signature);
  /** @return one event of a response stream. @param event from 1 on */
  static std::string MakeEvent(const std::string &id, int event);
  static constexpr int kEventsPerStream = 8;

  // Upstreams that leave.

  // What upstreams say in answers, to the entry host that sent a request.

  void RecordSaidLeaving(const std::string &upstream, const std::string &id);
  void RecordPause(const std::string &upstream, const std::string &id,
                   base::milliseconds pause);
  /** A request reaches an upstream, which may refuse it. */
  void RecordArrival(const std::string &upstream, const std::string &id);

  void RecordLeaving(const std::string &upstream, base::TimePoint at);
  /** A request arrived at an upstream, which must not have left. */
  void RecordForwardedRequest(const std::string &upstream,
                              const std::string &id);

  // Prompts that crash runners.

  static constexpr const char *kCrashingPart = "dead";
  bool m_sends_crashing_prompts = false;
  /** A prompt with kCrashingPart crashes a runner. */
  void RecordPromptCrash();
  /** A request with kCrashingPart reaches a runner. */
  void RecordCrashingPrompt(const std::string &id);

  // Requests that crash runners, and sound ones beside them.

  /** The next runner that runs a repeated request, which is sound, crashes. */
  void ScheduleCrash(const std::string &repeated_as);
  /** @return whether the runner that runs a request crashes now */
  bool TakeCrash(const std::string &id);

  // Tables. Version V routes /move/ to service V modulo kMovingServices.

  static constexpr std::uint64_t kMovingServices = 3;
  void RecordSentTable(std::uint64_t version, const std::string &document);
  void RecordAcknowledgedTable(std::uint64_t version);
  /** @return the highest acknowledged version. */
  std::uint64_t GetAcknowledgedVersion() const {
    return m_acknowledged_version;
  }
  /**
   * An operator read a table.
   * @param acknowledged_before highest acknowledged version at the query
   */
  void RecordReadTable(const std::string &document,
                       std::uint64_t acknowledged_before);

  // Keys. Where tables have teams, version V gives team kTeam the keys of
  // kLastingKey and of V.

  static constexpr const char *kTeam = "red";
  static constexpr std::uint64_t kLastingKey = 0;
  bool m_has_teams = false;
  static std::string MakeKey(std::uint64_t version);
  /** @return one of the versions that were sent last, or kLastingKey. */
  std::uint64_t ChooseKeyVersion(std::uint64_t draw) const;

  // Orders.

  /** What a runner holds or loads. */
  struct RunnerUsage {
    double m_weight_mb = 0;
    std::size_t m_adapters = 0;
  };
  /** A runner accepted an order. @param usage with what the order adds */
  void RecordAcceptedOrder(const std::string &runner,
                           const fleet_control::RunnerOrder &order,
                           const RunnerUsage &usage, bool is_from_store);

  std::map<std::string, int> m_counts;  ///< printed in the summary

 private:
  struct Interval {
    base::TimePoint m_from;
    base::TimePoint m_until;
    int m_control = -1;  ///< number of the control host, if it is about one
  };
  struct HolderState {
    std::string m_holder;
    std::uint64_t m_fence = 0;
    base::TimePoint m_at;
  };
  struct EntryState {
    std::vector<Interval> m_disturbances;
    std::uint64_t m_min_version = 0;  ///< the host has used it or a newer one
    base::TimePoint m_seen_at;        ///< when a request first showed this
  };

  bool IsDisturbed(const Interval &item, base::TimePoint from,
                   base::TimePoint until) const;
  /** @return whether faults affected one control host at most. */
  bool IsOneControlDisturbed(base::TimePoint from, base::TimePoint until) const;
  bool MustBeInForce(const RequestRecord &record,
                     base::TimePoint acknowledged_at,
                     base::TimePoint now) const;
  bool IsUndisturbed(const std::vector<Interval> &list, base::TimePoint from,
                     base::TimePoint until) const;
  void CheckKey(const RequestRecord &record, const ForwardedRequest &forwarded,
                const net::HttpRequest &request);
  void CheckMovingRoute(const RequestRecord &record, std::uint64_t service);
  void CheckForwardedRequest(const RequestRecord &record,
                             const ForwardedRequest &forwarded,
                             const net::HttpRequest &request);
  bool IsEarlyFailure(const RequestRecord &record, int status) const;
  void CheckCrashingRequest(const std::string &id, const RequestRecord &record);
  void CheckWrongQuarantine(const RequestRecord &record, int status,
                            const std::string &refusal_reason);
  void RecordFailure(const std::string &id, const std::string &failure);
  void ReportArrivalAfterFailure(RequestRecord *record);

  SoakBounds m_bounds;
  std::vector<EntryState> m_entries;
  std::vector<Interval> m_control_disturbances;
  std::vector<Interval> m_upstream_disturbances;
  std::map<std::string, RequestRecord> m_requests;
  /** When a control host acknowledged the leave, by upstream ID. */
  std::map<std::string, base::TimePoint> m_left_at;
  struct TableState {
    std::string m_document;
    base::TimePoint m_sent_at;
    std::optional<base::TimePoint> m_acknowledged_at;
  };
  std::map<std::uint64_t, TableState> m_tables;
  std::uint64_t m_acknowledged_version = 0;
  std::map<std::string, HolderState> m_holders;  ///< by runner
  struct Pause {
    base::TimePoint m_from;
    base::TimePoint m_until;
    int m_arrivals = 0;  ///< that count against the guarantee
  };
  using EntryAndUpstream = std::pair<int, std::string>;
  std::map<EntryAndUpstream, base::TimePoint> m_said_leaving_at;
  std::map<EntryAndUpstream, Pause> m_pauses;
  std::vector<base::TimePoint> m_store_loads;
  std::vector<base::TimePoint> m_prompt_crashes;
  int m_late_crashing_prompts = 0;  ///< that count against the guarantee
  struct RepeatedState {
    std::vector<base::TimePoint> m_crashes;  ///< of runners under the request
    int m_late_arrivals = 0;      ///< that count against the guarantee
    int m_scheduled_crashes = 0;  ///< for other reasons
  };
  std::map<std::string, RepeatedState> m_repeated;  ///< by name
  /** First refusal in a row, by entry host and name or path of requests. */
  std::map<std::pair<int, std::string>, base::TimePoint> m_wrongly_refused_at;
  std::vector<std::string> m_violations;
};

}  // namespace wasabiwind::soak

#endif  // WASABIWIND_SOAK_MONITOR_H_
