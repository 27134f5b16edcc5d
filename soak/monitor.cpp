/** @file monitor.cpp Checks the guarantees of the programs under test. */

#include "soak/monitor.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/log_func.h"

namespace wasabiwind::soak {

namespace {

using base::Clock;
using base::LogEvent;
using base::LogLevel;
using base::TimePoint;

constexpr const char *kMovingPath = "/move/";
constexpr const char *kMovingServicePrefix = "desk-";
/** Part of the reason of refusals because of a quarantine. */
constexpr const char *kQuarantineReason = "quarantined";
/** Added to time limits for delays within this process. */
constexpr base::milliseconds kTimeMargin{250};
/** An answer of 502 or 504 is early before this share of the caller's timeout.
 */
constexpr double kEarlyFailureShare = 0.7;
constexpr std::size_t kMaxLoggedViolations = 50;
/** Part of each key, and of nothing else that callers send. */
constexpr const char *kKeyPrefix = "secret-key-";
/** Callers use keys of so many versions, most of them revoked. */
constexpr std::size_t kUsedKeys = 4;

bool IsGuaranteedNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421 ||
         status == 401;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

std::string MakeExpectedBody(const std::string &id,
                             const std::string &signature,
                             const RequestRecord &record) {
  if (!record.m_is_stream) return Monitor::MakeAnswer(id, signature);
  std::string body;
  for (int event = 1; event <= Monitor::kEventsPerStream; ++event) {
    body += Monitor::MakeEvent(id, event);
  }
  return body;
}

}  // namespace

Monitor::Monitor(SoakBounds bounds, int entries)
    : m_bounds(bounds), m_entries(static_cast<std::size_t>(entries)) {}

void Monitor::ReportViolation(const std::string &guarantee,
                              const std::string &detail) {
  m_violations.push_back(guarantee + ": " + detail);
  if (m_violations.size() > kMaxLoggedViolations) return;
  LogEvent(LogLevel::kError, "promise_broken",
           {{"promise", guarantee}, {"detail", detail}});
}

void Monitor::RecordEntryDisturbance(int entry, TimePoint until) {
  Interval interval{Clock::now(), until};
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (entry >= 0 && static_cast<std::size_t>(entry) != i) continue;
    m_entries[i].m_disturbances.push_back(interval);
  }
}

void Monitor::RecordControlDisturbance(int control, TimePoint until) {
  m_control_disturbances.push_back(Interval{Clock::now(), until, control});
}

void Monitor::RecordUpstreamDisturbance(TimePoint until) {
  m_upstream_disturbances.push_back(Interval{Clock::now(), until});
}

bool Monitor::IsDisturbed(const Interval &item, TimePoint from,
                          TimePoint until) const {
  return item.m_from <= until &&
         from <= item.m_until + m_bounds.m_recovery_time;
}

bool Monitor::IsUndisturbed(const std::vector<Interval> &list, TimePoint from,
                            TimePoint until) const {
  return std::none_of(list.begin(), list.end(), [&](const Interval &item) {
    return IsDisturbed(item, from, until);
  });
}

bool Monitor::IsOneControlDisturbed(TimePoint from, TimePoint until) const {
  std::set<int> hosts;
  for (const Interval &item : m_control_disturbances) {
    if (IsDisturbed(item, from, until)) hosts.insert(item.m_control);
  }
  return hosts.size() <= 1;
}

/** @return whether a request must be handled by a version that was acknowledged
 * at a time, or a newer one. */
bool Monitor::MustBeInForce(const RequestRecord &record,
                            TimePoint acknowledged_at, TimePoint now) const {
  TimePoint sent_at = record.m_sent_at;
  if (sent_at <= acknowledged_at + m_bounds.m_apply_time) return false;
  if (IsEntryUndisturbed(record.m_entry, sent_at - m_bounds.m_apply_time, now))
    return true;
  TimePoint from = sent_at - m_bounds.m_max_apply_time;
  const EntryState &entry = m_entries[static_cast<std::size_t>(record.m_entry)];
  return acknowledged_at < from &&
         IsUndisturbed(entry.m_disturbances, from, now) &&
         IsOneControlDisturbed(from, now);
}

bool Monitor::IsEntryUndisturbed(int entry, TimePoint from,
                                 TimePoint until) const {
  return IsUndisturbed(
             m_entries[static_cast<std::size_t>(entry)].m_disturbances, from,
             until) &&
         IsUndisturbed(m_control_disturbances, from, until);
}

void Monitor::RecordEntryStart(int entry) {
  m_entries[static_cast<std::size_t>(entry)].m_min_version = 0;
}

void Monitor::RecordRequest(const std::string &id, RequestRecord record) {
  ++m_counts["requests"];
  record.m_min_version =
      m_entries[static_cast<std::size_t>(record.m_entry)].m_min_version;
  m_requests.emplace(id, std::move(record));
}

std::string Monitor::MakeAnswer(const std::string &id,
                                const std::string &signature) {
  return fmt::format("answer to {} by {}", id, signature);
}

std::string Monitor::MakeEvent(const std::string &id, int event) {
  return fmt::format("id: {}\ndata: {} {}\n\n", event, id, event);
}

void Monitor::CheckForwardedRequest(const RequestRecord &record,
                                    const ForwardedRequest &forwarded,
                                    const net::HttpRequest &request) {
  bool is_unchanged = request.m_target == record.m_path &&
                      request.m_body == record.m_body &&
                      forwarded.m_model == record.m_model;
  if (is_unchanged) return;
  ReportViolation(
      "unchanged",
      fmt::format("request {} reached an upstream changed, with path {} and "
                  "model \"{}\"",
                  forwarded.m_id, request.m_target, forwarded.m_model));
}

std::string Monitor::MakeKey(std::uint64_t version) {
  return kKeyPrefix + std::to_string(version);
}

std::uint64_t Monitor::ChooseKeyVersion(std::uint64_t draw) const {
  auto used = static_cast<std::uint64_t>(std::min(m_tables.size(), kUsedKeys));
  if (used == 0) return kLastingKey;
  auto found = m_tables.rbegin();
  std::advance(found, static_cast<std::ptrdiff_t>(draw % used));
  return found->first;
}

/** Checks that a request that runs has a key that could still be in force, and
 * that its runner is told the team only. */
void Monitor::CheckKey(const RequestRecord &record,
                       const ForwardedRequest &forwarded,
                       const net::HttpRequest &request) {
  if (!m_has_teams) return;
  for (const net::HttpHeader &header : request.m_headers.m_items) {
    if (header.m_value.find(kKeyPrefix) == std::string::npos) continue;
    ReportViolation("secret keys", "request " + forwarded.m_id +
                                       " reached an upstream with its key");
  }
  if (forwarded.m_team != record.m_team) {
    ReportViolation(
        "teams", fmt::format("request {} on {} reached an upstream for team "
                             "\"{}\"",
                             forwarded.m_id, record.m_path, forwarded.m_team));
  }
  if (record.m_key_version == kLastingKey) return;
  ++m_counts["runs_with_passing_keys"];
  for (const auto &[version, table] : m_tables) {
    if (version <= record.m_key_version || !table.m_acknowledged_at) continue;
    base::Duration late = record.m_sent_at - *table.m_acknowledged_at;
    if (late <= m_bounds.m_revocation_time) continue;
    ReportViolation(
        "revoked keys",
        fmt::format("request {} with the key of table {} ran at entry host {} "
                    "though it was sent {} ms after table {} was acknowledged",
                    forwarded.m_id, record.m_key_version, record.m_entry,
                    base::ToMilliseconds(late), version));
    return;
  }
}

void Monitor::RecordPromptCrash() {
  ++m_counts["prompt_crashes"];
  m_prompt_crashes.push_back(Clock::now());
}

void Monitor::RecordCrashingPrompt(const std::string &id) {
  constexpr std::size_t kCrashes = 5;
  if (m_prompt_crashes.size() < kCrashes) return;
  auto found = m_requests.find(id);
  TimePoint now = Clock::now();
  TimePoint known_at = m_prompt_crashes[kCrashes - 1];
  if (found == m_requests.end() || now <= known_at + m_bounds.m_quarantine_time)
    return;
  if (!IsEntryUndisturbed(found->second.m_entry, known_at, now)) return;
  if (++m_late_crashing_prompts <= m_bounds.m_max_late_crashing_prompts) return;
  ReportViolation("crashing prompts",
                  "request " + id +
                      " with a part that crashed five runners "
                      "reached another one");
}

void Monitor::ScheduleCrash(const std::string &repeated_as) {
  ++m_repeated[repeated_as].m_scheduled_crashes;
}

bool Monitor::TakeCrash(const std::string &id) {
  auto found = m_requests.find(id);
  if (found == m_requests.end()) return false;
  const RequestRecord &record = found->second;
  if (record.m_repeated_as.empty()) return false;
  RepeatedState &state = m_repeated[record.m_repeated_as];
  if (record.m_crashes_runners) {
    ++m_counts["request_crashes"];
    state.m_crashes.push_back(Clock::now());
    return true;
  }
  if (state.m_scheduled_crashes == 0) return false;
  --state.m_scheduled_crashes;
  ++m_counts["other_crashes"];
  return true;
}

/** Checks that a request that has crashed runners reaches no further ones. */
void Monitor::CheckCrashingRequest(const std::string &id,
                                   const RequestRecord &record) {
  constexpr std::size_t kCrashes = 3;
  if (!record.m_crashes_runners) return;
  RepeatedState &state = m_repeated[record.m_repeated_as];
  if (state.m_crashes.size() < kCrashes) return;
  TimePoint now = Clock::now();
  TimePoint known_at = state.m_crashes[kCrashes - 1];
  if (now <= known_at + m_bounds.m_quarantine_time) return;
  if (!IsEntryUndisturbed(record.m_entry, known_at, now)) return;
  ++m_counts["late_crashing_requests"];
  if (++state.m_late_arrivals <= m_bounds.m_max_late_crashing_requests) return;
  ReportViolation(
      "crashing requests",
      fmt::format("request {} on {} reached a runner {} ms after it had "
                  "crashed {} of them",
                  id, record.m_path, base::ToMilliseconds(now - known_at),
                  kCrashes));
}

/** Checks that sound requests aren't taken for crashing ones for long. */
void Monitor::CheckWrongQuarantine(const RequestRecord &record, int status,
                                   const std::string &refusal_reason) {
  if (record.m_has_crashing_part || record.m_crashes_runners) return;
  const std::string &name =
      record.m_repeated_as.empty() ? record.m_path : record.m_repeated_as;
  auto found = m_wrongly_refused_at.find({record.m_entry, name});
  bool is_known = found != m_wrongly_refused_at.end();
  if (IsSuccess(status) && is_known && record.m_sent_at >= found->second)
    m_wrongly_refused_at.erase(found);
  if (refusal_reason.find(kQuarantineReason) == std::string::npos) return;
  ++m_counts["wrongly_quarantined"];
  TimePoint now = Clock::now();
  TimePoint &first =
      m_wrongly_refused_at.try_emplace({record.m_entry, name}, now)
          .first->second;
  if (now <= first + m_bounds.m_max_wrong_quarantine) return;
  if (!IsEntryUndisturbed(record.m_entry, first, now)) return;
  ReportViolation(
      "wrong quarantine",
      fmt::format("entry host {} refused {}, which is sound, for {} ms",
                  record.m_entry, name, base::ToMilliseconds(now - first)));
  first = now;
}

bool Monitor::RecordExecution(const std::string &service,
                              const std::string &signature,
                              const ForwardedRequest &forwarded,
                              const net::HttpRequest &request) {
  ++m_counts["runs"];
  auto found = m_requests.find(forwarded.m_id);
  if (found == m_requests.end()) {
    ReportViolation("asked", "no caller sent request " + forwarded.m_id);
    return false;
  }
  RequestRecord &record = found->second;
  CheckForwardedRequest(record, forwarded, request);
  CheckKey(record, forwarded, request);
  record.m_has_arrived = true;
  record.m_signatures.push_back(signature);
  if (!record.m_is_repeatable && record.m_signatures.size() > 1) {
    ReportViolation("at most once",
                    fmt::format("request {} on {} ran {} times", forwarded.m_id,
                                record.m_path, record.m_signatures.size()));
  }
  if (!record.m_is_repeatable && record.m_is_refused) {
    ReportViolation("true refusals",
                    "request " + forwarded.m_id + " ran after its refusal");
  }
  bool is_moving = record.m_path.starts_with(kMovingPath);
  bool is_engine = !record.m_model.empty();
  bool is_allowed = is_engine   ? service == "engines"
                    : is_moving ? service.starts_with(kMovingServicePrefix)
                                : service == "desk-0";
  if (!is_allowed) {
    ReportViolation("route",
                    fmt::format("request {} on {} was run by service {}",
                                forwarded.m_id, record.m_path, service));
  }
  if (is_moving && is_allowed) {
    CheckMovingRoute(record, std::stoull(service.substr(5)));
  }
  return true;
}

/** Checks that a host applies tables in time and never reverts to an older
 * one. */
void Monitor::CheckMovingRoute(const RequestRecord &record,
                               std::uint64_t service) {
  TimePoint now = Clock::now();
  EntryState &entry = m_entries[static_cast<std::size_t>(record.m_entry)];
  // The request was routed by a version that selects this service; `oldest`
  // and `newest` are the first and the last that come into question.
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
  for (const auto &[version, table] : m_tables) {
    if (version % kMovingServices != service) continue;
    if (oldest == 0 && version >= record.m_min_version) oldest = version;
    newest = version;
  }
  bool is_rollback_time_over = record.m_sent_at > entry.m_seen_at +
                                                      m_bounds.m_rollback_time +
                                                      kTimeMargin;
  if (newest < entry.m_min_version && is_rollback_time_over) {
    ReportViolation(
        "never back",
        fmt::format("entry host {} used table version {} or older after {}",
                    record.m_entry, newest, entry.m_min_version));
  }
  if (oldest > entry.m_min_version) {
    entry.m_min_version = oldest;
    entry.m_seen_at = now;
  }
  std::uint64_t required = 0;
  for (const auto &[version, table] : m_tables) {
    if (!table.m_acknowledged_at) continue;
    if (MustBeInForce(record, *table.m_acknowledged_at, now)) {
      required = version;
    }
  }
  if (newest >= required || newest == 0) return;
  ReportViolation(
      "in force",
      fmt::format("entry host {} used table version {} or older, expected "
                  "{} or newer",
                  record.m_entry, newest, required));
}

/** @return whether a status says that the entry host gave up a request that
 * may have run, well before its caller would. */
bool Monitor::IsEarlyFailure(const RequestRecord &record, int status) const {
  if (status != 502 && status != 504) return false;
  auto early_time = std::chrono::duration_cast<base::Duration>(
      record.m_timeout * kEarlyFailureShare);
  return Clock::now() < record.m_sent_at + early_time;
}

void Monitor::RecordResponse(const std::string &id,
                             const net::HttpResponse &answer,
                             const std::string &signature,
                             const std::string &refusal_reason) {
  RequestRecord &record = m_requests.at(id);
  ++m_counts[fmt::format("status_{}", answer.m_status)];
  CheckWrongQuarantine(record, answer.m_status, refusal_reason);
  bool is_signature_known =
      std::find(record.m_signatures.begin(), record.m_signatures.end(),
                signature) != record.m_signatures.end();
  if (IsSuccess(answer.m_status)) {
    if (!is_signature_known) {
      ReportViolation(
          "own answers",
          fmt::format("request {} got an answer with signature \"{}\" of an "
                      "upstream that didn't run it",
                      id, signature));
    } else if (answer.m_body != MakeExpectedBody(id, signature, record)) {
      ReportViolation("own answers",
                      fmt::format("request {} got an unexpected body: \"{}\"",
                                  id, answer.m_body));
    }
    return;
  }
  if (answer.m_status == 401 && record.m_key_version == kLastingKey) {
    ReportViolation("known keys", "request " + id +
                                      " was refused though its key is in "
                                      "all tables");
  }
  if (IsEarlyFailure(record, answer.m_status)) {
    // These statuses say that an upstream may have got it.
    record.m_has_arrived = true;
    RecordFailure(id, fmt::format("got status {}", answer.m_status));
  }
  if (!IsGuaranteedNotRun(answer.m_status)) return;
  record.m_is_refused = true;
  if (!record.m_is_repeatable && !record.m_signatures.empty()) {
    ReportViolation("true refusals",
                    fmt::format("request {} got status {} though it ran", id,
                                answer.m_status));
  }
}

void Monitor::RecordLostConnection(const std::string &id) {
  ++m_counts["cut"];
  RecordFailure(id, "lost its connection");
}

/** Checks that a request didn't fail beside nothing but planned work. */
void Monitor::RecordFailure(const std::string &id, const std::string &failure) {
  RequestRecord &record = m_requests.at(id);
  TimePoint now = Clock::now();
  bool is_checked =
      IsEntryUndisturbed(record.m_entry,
                         record.m_sent_at - m_bounds.m_recovery_time, now) &&
      IsUndisturbed(m_upstream_disturbances,
                    record.m_sent_at - m_bounds.m_recovery_time, now);
  if (!is_checked) return;
  record.m_failure_before_arrival = fmt::format(
      "request {} on {} at entry host {} {} after {} ms", id, record.m_path,
      record.m_entry, failure, base::ToMilliseconds(now - record.m_sent_at));
  if (record.m_has_arrived) ReportArrivalAfterFailure(&record);
}

/**
 * A failure isn't a violation if no upstream gets the request: the entry host
 * may have closed an idle connection while the request was on its way. A frozen
 * upstream gets it later.
 */
void Monitor::ReportArrivalAfterFailure(RequestRecord *record) {
  if (record->m_failure_before_arrival.empty()) return;
  ReportViolation("planned work cuts nothing",
                  record->m_failure_before_arrival);
  record->m_failure_before_arrival.clear();
}

void Monitor::RecordLeaving(const std::string &upstream, TimePoint at) {
  ++m_counts["leaves"];
  m_left_at.emplace(upstream, at);
}

void Monitor::RecordSaidLeaving(const std::string &upstream,
                                const std::string &id) {
  ++m_counts["said_leaving"];
  auto request = m_requests.find(id);
  if (request == m_requests.end()) return;
  m_said_leaving_at.try_emplace({request->second.m_entry, upstream},
                                Clock::now());
}

void Monitor::RecordPause(const std::string &upstream, const std::string &id,
                          base::milliseconds pause) {
  ++m_counts["pauses"];
  auto request = m_requests.find(id);
  if (request == m_requests.end()) return;
  TimePoint now = Clock::now();
  Pause &known = m_pauses[{request->second.m_entry, upstream}];
  if (now >= known.m_until) known = Pause{now, now + pause};
}

void Monitor::RecordArrival(const std::string &upstream,
                            const std::string &id) {
  auto request = m_requests.find(id);
  if (request == m_requests.end()) return;
  RequestRecord &record = request->second;
  record.m_has_arrived = true;
  ReportArrivalAfterFailure(&record);
  CheckCrashingRequest(id, record);
  TimePoint now = Clock::now();
  EntryAndUpstream key{record.m_entry, upstream};
  auto is_excused = [&](TimePoint from) {
    return !IsEntryUndisturbed(record.m_entry, from, now) ||
           !IsUndisturbed(m_upstream_disturbances, from, now);
  };
  auto said = m_said_leaving_at.find(key);
  bool is_after_leave =
      said != m_said_leaving_at.end() &&
      record.m_sent_at > said->second + m_bounds.m_drain + kTimeMargin;
  if (is_after_leave && !is_excused(said->second)) {
    ReportViolation("said leave", "request " + id + " reached upstream " +
                                      upstream + " after it said it leaves");
  }
  auto pause = m_pauses.find(key);
  if (pause == m_pauses.end() ||
      now < pause->second.m_from + m_bounds.m_pause_reaction ||
      now + kTimeMargin >= pause->second.m_until ||
      is_excused(pause->second.m_from)) {
    return;
  }
  if (++pause->second.m_arrivals <= m_bounds.m_max_arrivals_in_pause) return;
  ReportViolation("pause", "request " + id + " reached upstream " + upstream +
                               " although it asked for a pause");
}

void Monitor::RecordForwardedRequest(const std::string &upstream,
                                     const std::string &id) {
  auto left = m_left_at.find(upstream);
  auto request = m_requests.find(id);
  if (left == m_left_at.end() || request == m_requests.end()) return;
  TimePoint now = Clock::now();
  if (now <= left->second + m_bounds.m_drain + kTimeMargin) return;
  if (!IsEntryUndisturbed(request->second.m_entry, left->second, now)) return;
  ReportViolation(
      "leave",
      fmt::format("request {} reached upstream {} {} ms after it left", id,
                  upstream, base::ToMilliseconds(now - left->second)));
}

void Monitor::RecordSentTable(std::uint64_t version,
                              const std::string &document) {
  m_tables.emplace(version, TableState{document, Clock::now(), std::nullopt});
}

void Monitor::RecordAcknowledgedTable(std::uint64_t version) {
  ++m_counts["tables"];
  m_acknowledged_version = std::max(m_acknowledged_version, version);
  TableState &table = m_tables.at(version);
  if (!table.m_acknowledged_at) table.m_acknowledged_at = Clock::now();
}

void Monitor::RecordReadTable(const std::string &document,
                              std::uint64_t acknowledged_before) {
  ++m_counts["reads"];
  for (const auto &[version, table] : m_tables) {
    if (table.m_document != document) continue;
    if (version >= acknowledged_before) return;
    ReportViolation("nothing lost",
                    fmt::format("table version {} was read after {} was "
                                "acknowledged",
                                version, acknowledged_before));
    return;
  }
  ReportViolation("nothing lost", "a table was read that no operator sent: " +
                                      document.substr(0, 60));
}

void Monitor::RecordAcceptedOrder(const std::string &runner,
                                  const fleet_control::RunnerOrder &order,
                                  const RunnerUsage &usage,
                                  bool is_from_store) {
  ++m_counts["orders"];
  TimePoint now = Clock::now();
  HolderState &state = m_holders[runner];
  if (state.m_holder != order.m_holder && !state.m_holder.empty()) {
    if (order.m_fence <= state.m_fence) {
      ReportViolation(
          "one holder",
          fmt::format("runner {} got fence {} of holder {} after fence {}",
                      runner, order.m_fence, order.m_holder, state.m_fence));
    } else if (now < state.m_at + m_bounds.m_order_lease) {
      ReportViolation(
          "one holder",
          fmt::format("runner {} accepted orders of two holders within "
                      "{} ms",
                      runner, base::ToMilliseconds(now - state.m_at)));
    }
  }
  state = HolderState{order.m_holder, order.m_fence, now};
  if (usage.m_weight_mb > m_bounds.m_weight_mb ||
      usage.m_adapters > m_bounds.m_adapter_slots) {
    ReportViolation("memory",
                    fmt::format("runner {} was ordered to hold {} MB and {} "
                                "adapters",
                                runner, usage.m_weight_mb, usage.m_adapters));
  }
  if (!is_from_store) return;
  ++m_counts["store_loads"];
  m_store_loads.push_back(now);
  std::erase_if(m_store_loads, [&](TimePoint at) {
    return at <= now - m_bounds.m_load_window;
  });
  double seconds =
      std::chrono::duration<double>(m_bounds.m_load_window).count();
  double max_loads =
      m_bounds.m_loads_per_s * seconds * m_bounds.m_max_load_ratio + 3;
  if (static_cast<double>(m_store_loads.size()) > max_loads) {
    ReportViolation(
        "store", fmt::format("{} loads from the store began within one window",
                             m_store_loads.size()));
  }
}

}  // namespace wasabiwind::soak
