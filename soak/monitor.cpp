/** @file monitor.cpp Checks what callers, upstreams and operators see. */

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
constexpr const char *kMovingService = "desk-";
/** Added to bounds in time for the way through the stand-ins. */
constexpr base::milliseconds kMargin{250};
constexpr std::size_t kMostLogged = 50;

bool IsPromiseNotToRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

std::string MakeExpected(const std::string &id, const std::string &signature,
                         const RequestRecord &record) {
  if (!record.m_is_stream) return Monitor::MakeAnswer(id, signature);
  std::string body;
  for (int event = 1; event <= Monitor::kEvents; ++event) {
    body += Monitor::MakeEvent(id, event);
  }
  return body;
}

}  // namespace

Monitor::Monitor(SoakBounds bounds, int entries)
    : m_bounds(bounds), m_entries(static_cast<std::size_t>(entries)) {}

void Monitor::Break(const std::string &promise, const std::string &detail) {
  m_violations.push_back(promise + ": " + detail);
  if (m_violations.size() > kMostLogged) return;
  LogEvent(LogLevel::kError, "promise_broken",
           {{"promise", promise}, {"detail", detail}});
}

void Monitor::Disturb(int entry, TimePoint until) {
  Interval interval{Clock::now(), until};
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (entry >= 0 && static_cast<std::size_t>(entry) != i) continue;
    m_entries[i].m_disturbed.push_back(interval);
  }
}

void Monitor::DisturbControl(TimePoint until) {
  m_control.push_back(Interval{Clock::now(), until});
}

void Monitor::DisturbUpstreams(TimePoint until) {
  m_upstreams.push_back(Interval{Clock::now(), until});
}

bool Monitor::IsCalm(const std::vector<Interval> &list, TimePoint from,
                     TimePoint until) const {
  return std::none_of(list.begin(), list.end(), [&](const Interval &item) {
    return item.m_from <= until && from <= item.m_until + m_bounds.m_contact;
  });
}

bool Monitor::IsInTouch(int entry, TimePoint from, TimePoint until) const {
  return IsCalm(m_entries[static_cast<std::size_t>(entry)].m_disturbed, from,
                until) &&
         IsCalm(m_control, from, until);
}

void Monitor::StartEntry(int entry) {
  m_entries[static_cast<std::size_t>(entry)].m_least_version = 0;
}

void Monitor::SendRequest(const std::string &id, RequestRecord record) {
  ++m_counts["requests"];
  m_requests.emplace(id, std::move(record));
}

std::string Monitor::MakeAnswer(const std::string &id,
                                const std::string &signature) {
  return fmt::format("answer to {} by {}", id, signature);
}

std::string Monitor::MakeEvent(const std::string &id, int event) {
  return fmt::format("id: {}\ndata: {} {}\n\n", event, id, event);
}

void Monitor::CheckForwarded(const RequestRecord &record,
                             const ForwardedRequest &forwarded,
                             const net::HttpRequest &request) {
  bool is_same = request.m_target == record.m_path &&
                 request.m_body == record.m_body &&
                 forwarded.m_model == record.m_model;
  if (is_same) return;
  Break("unchanged",
        fmt::format("request {} reached an upstream as {} {}", forwarded.m_id,
                    request.m_target, forwarded.m_model));
}

bool Monitor::RunRequest(const std::string &service,
                         const std::string &signature,
                         const ForwardedRequest &forwarded,
                         const net::HttpRequest &request) {
  ++m_counts["runs"];
  auto found = m_requests.find(forwarded.m_id);
  if (found == m_requests.end()) {
    Break("asked", "nobody sent request " + forwarded.m_id);
    return false;
  }
  RequestRecord &record = found->second;
  CheckForwarded(record, forwarded, request);
  record.m_signatures.push_back(signature);
  if (!record.m_is_repeatable && record.m_signatures.size() > 1) {
    Break("at most once",
          fmt::format("request {} on {} ran {} times", forwarded.m_id,
                      record.m_path, record.m_signatures.size()));
  }
  if (!record.m_is_repeatable && record.m_is_refused) {
    Break("true refusals",
          "request " + forwarded.m_id + " ran after its refusal");
  }
  bool is_moving = record.m_path.starts_with(kMovingPath);
  bool is_engine = !record.m_model.empty();
  bool is_allowed = is_engine   ? service == "engines"
                    : is_moving ? service.starts_with(kMovingService)
                                : service == "desk-0";
  if (!is_allowed) {
    Break("route", fmt::format("request {} on {} was run by {}", forwarded.m_id,
                               record.m_path, service));
  }
  if (is_moving && is_allowed) {
    CheckMoving(record, std::stoull(service.substr(5)));
  }
  return true;
}

/** Checks that a host follows the table in force and never goes back. */
void Monitor::CheckMoving(const RequestRecord &record, std::uint64_t service) {
  TimePoint now = Clock::now();
  EntryState &entry = m_entries[static_cast<std::size_t>(record.m_entry)];
  // The table in force when the request was routed is one of these.
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
  for (const auto &[version, table] : m_tables) {
    if (version % kMovingServices != service) continue;
    if (oldest == 0 && version >= entry.m_least_version) oldest = version;
    newest = version;
  }
  bool was_seen_before =
      record.m_sent_at > entry.m_seen_at + m_bounds.m_rollback + kMargin;
  if (newest < entry.m_least_version && was_seen_before) {
    Break("never back",
          fmt::format("entry host {} used a table of {} or older after {}",
                      record.m_entry, newest, entry.m_least_version));
  }
  if (oldest > entry.m_least_version) {
    entry.m_least_version = oldest;
    entry.m_seen_at = now;
  }
  std::uint64_t required = 0;
  for (const auto &[version, table] : m_tables) {
    if (!table.m_acknowledged_at) continue;
    if (record.m_sent_at > *table.m_acknowledged_at + m_bounds.m_apply) {
      required = version;
    }
  }
  if (newest >= required || newest == 0) return;
  bool is_judged =
      IsInTouch(record.m_entry, record.m_sent_at - m_bounds.m_apply, now);
  if (is_judged) {
    Break("in force",
          fmt::format("entry host {} used table {} or older, {} is in force",
                      record.m_entry, newest, required));
  }
}

void Monitor::EndRequest(const std::string &id, const net::HttpResponse &answer,
                         const std::string &signature) {
  RequestRecord &record = m_requests.at(id);
  ++m_counts[fmt::format("status_{}", answer.m_status)];
  bool ran_there =
      std::find(record.m_signatures.begin(), record.m_signatures.end(),
                signature) != record.m_signatures.end();
  if (IsSuccess(answer.m_status)) {
    if (!ran_there) {
      Break("own answers",
            fmt::format("request {} got an answer by \"{}\"", id, signature));
    } else if (answer.m_body != MakeExpected(id, signature, record)) {
      Break("own answers",
            fmt::format("request {} got \"{}\"", id, answer.m_body));
    }
    return;
  }
  if (!IsPromiseNotToRun(answer.m_status)) return;
  record.m_is_refused = true;
  if (!record.m_is_repeatable && !record.m_signatures.empty()) {
    Break("true refusals",
          fmt::format("request {} got {} though it ran", id, answer.m_status));
  }
}

void Monitor::CutRequest(const std::string &id) {
  ++m_counts["cut"];
  const RequestRecord &record = m_requests.at(id);
  TimePoint now = Clock::now();
  // A request that crosses the close of its connection isn't passed on.
  if (record.m_signatures.empty()) return;
  bool is_judged =
      IsInTouch(record.m_entry, record.m_sent_at - m_bounds.m_contact, now) &&
      IsCalm(m_upstreams, record.m_sent_at - m_bounds.m_contact, now);
  if (!is_judged) return;
  Break("planned work cuts nothing",
        fmt::format("request {} on {} at entry host {} was cut", id,
                    record.m_path, record.m_entry));
}

void Monitor::AcknowledgeLeave(const std::string &upstream, TimePoint at) {
  ++m_counts["leaves"];
  m_left_at.emplace(upstream, at);
}

void Monitor::ReachUpstream(const std::string &upstream,
                            const std::string &id) {
  auto left = m_left_at.find(upstream);
  auto request = m_requests.find(id);
  if (left == m_left_at.end() || request == m_requests.end()) return;
  TimePoint now = Clock::now();
  if (now <= left->second + m_bounds.m_drain + kMargin) return;
  if (!IsInTouch(request->second.m_entry, left->second, now)) return;
  Break("leave",
        fmt::format("request {} reached {} {} ms after its leave", id, upstream,
                    base::ToMilliseconds(now - left->second)));
}

void Monitor::SendTable(std::uint64_t version, const std::string &document) {
  m_tables.emplace(version, TableState{document, Clock::now(), std::nullopt});
}

void Monitor::AcknowledgeTable(std::uint64_t version) {
  ++m_counts["tables"];
  m_acknowledged = std::max(m_acknowledged, version);
  TableState &table = m_tables.at(version);
  if (!table.m_acknowledged_at) table.m_acknowledged_at = Clock::now();
}

void Monitor::ReadTable(const std::string &document,
                        std::uint64_t acknowledged_before) {
  ++m_counts["reads"];
  for (const auto &[version, table] : m_tables) {
    if (table.m_document != document) continue;
    if (version >= acknowledged_before) return;
    Break("nothing lost", fmt::format("table {} was read after {} was "
                                      "acknowledged",
                                      version, acknowledged_before));
    return;
  }
  Break("nothing lost",
        "a document was read that nobody sent: " + document.substr(0, 60));
}

void Monitor::AcceptOrder(const std::string &runner,
                          const fleet_control::RunnerOrder &order,
                          const RunnerLoad &load, bool is_from_store) {
  ++m_counts["orders"];
  TimePoint now = Clock::now();
  HolderState &state = m_holders[runner];
  if (state.m_holder != order.m_holder && !state.m_holder.empty()) {
    if (order.m_fence <= state.m_fence) {
      Break("one holder",
            fmt::format("runner {} got term {} of {} after {}", runner,
                        order.m_fence, order.m_holder, state.m_fence));
    } else if (now < state.m_at + m_bounds.m_order_lease) {
      Break("one holder",
            fmt::format("holders of runner {} changed within "
                        "{} ms",
                        runner, base::ToMilliseconds(now - state.m_at)));
    }
  }
  state = HolderState{order.m_holder, order.m_fence, now};
  if (load.m_weight_mb > m_bounds.m_weight_mb ||
      load.m_adapters > m_bounds.m_adapter_slots) {
    Break("memory", fmt::format("runner {} was ordered to hold {} MB and {} "
                                "adapters",
                                runner, load.m_weight_mb, load.m_adapters));
  }
  if (!is_from_store) return;
  ++m_counts["store_loads"];
  m_store_loads.push_back(now);
  std::erase_if(m_store_loads, [&](TimePoint at) {
    return at <= now - m_bounds.m_load_window;
  });
  double seconds =
      std::chrono::duration<double>(m_bounds.m_load_window).count();
  double most = m_bounds.m_loads_per_s * seconds * m_bounds.m_load_excess + 3;
  if (static_cast<double>(m_store_loads.size()) > most) {
    Break("store", fmt::format("{} loads began within the window",
                               m_store_loads.size()));
  }
}

}  // namespace wasabiwind::soak
