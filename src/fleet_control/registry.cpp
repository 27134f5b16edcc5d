/** @file registry.cpp Reports of upstreams and entry hosts. */

#include "fleet_control/registry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_func.h"
#include "base/metrics_func.h"

namespace wasabiwind::fleet_control {

Registry::Registry(Publisher *publisher, ViewPublisher *view_publisher,
                   fleet::Follower *follower, base::milliseconds heartbeat)
    : m_publisher(publisher),
      m_view_publisher(view_publisher),
      m_follower(follower),
      m_upstream_timeout(kMissedReports * heartbeat + kUpstreamTimeoutMargin) {}

void Registry::Publish(const gen::Fact &fact, base::TimePoint now) {
  fleet::ApplyFact(&m_follower->m_view, m_follower->m_own_endpoint, fact, now);
  m_publisher->Put(fact);
  m_view_publisher->PublishSubject(fact, now);
}

void Registry::NoteHeard(const std::string &key, std::size_t memory_bytes,
                         base::TimePoint now) {
  HeardSubject &subject = m_heard[key];
  m_report_memory_bytes += memory_bytes - subject.m_memory_bytes;
  subject = HeardSubject{now, memory_bytes};
}

void Registry::Forget(const std::string &key) {
  auto found = m_heard.find(key);
  if (found == m_heard.end()) return;
  m_report_memory_bytes -= found->second.m_memory_bytes;
  m_heard.erase(found);
}

bool Registry::HasRoomForUnused(const gen::UpstreamReport &report) const {
  auto known = m_heard.find(fleet::GetUpstreamKey(report.id()));
  std::size_t known_bytes =
      known == m_heard.end() ? 0 : known->second.m_memory_bytes;
  return m_report_memory_bytes - known_bytes + report.SpaceUsedLong() <=
         kMaxReportMemoryBytes;
}

ReportOutcome Registry::RecordUpstream(gen::UpstreamReport report,
                                       base::TimePoint now) {
  gen::Fact fact;
  *fact.mutable_upstream() = std::move(report);
  const gen::UpstreamReport &reported = fact.upstream();
  fleet::FleetView &view = m_follower->m_view;
  const std::string &own_endpoint = m_follower->m_own_endpoint;
  auto known = view.m_upstreams.find(reported.id());
  bool was_elsewhere = known != view.m_upstreams.end() &&
                       known->second.m_publisher != own_endpoint;
  fleet::ViewChange change = fleet::ApplyFact(&view, own_endpoint, fact, now);
  const fleet::UpstreamEntry &entry = view.m_upstreams.at(reported.id());
  // A report that an upstream is gone may lack its start time.
  bool is_current =
      entry.m_report.born_ms() == reported.born_ms() ||
      (reported.born_ms() == 0 && reported.state() == gen::UPSTREAM_GONE);
  is_current = is_current &&
               (reported.state() == gen::UPSTREAM_GONE ||
                entry.m_report.report_number() == reported.report_number());
  if (!is_current) return ReportOutcome::kOutdated;
  NoteHeard(fleet::GetFactKey(fact), reported.SpaceUsedLong(), now);
  *fact.mutable_upstream() = entry.m_report;
  fact.mutable_upstream()->set_is_silent(false);
  bool is_published =
      was_elsewhere ? m_publisher->PutAgain(fact) : m_publisher->Put(fact);
  m_view_publisher->PublishSubject(fact, now);
  if (!is_published && !change.m_is_changed) return ReportOutcome::kUnchanged;
  return is_published ? ReportOutcome::kChanged : ReportOutcome::kUnchanged;
}

void Registry::RecordEntry(gen::EntryHost entry, base::TimePoint now) {
  gen::Fact fact;
  *fact.mutable_entry() = std::move(entry);
  fact.mutable_entry()->set_is_silent(false);
  NoteHeard(fleet::GetFactKey(fact), /*memory_bytes=*/0, now);
  Publish(fact, now);
}

void Registry::RecordControl(const gen::ControlHost &control,
                             base::TimePoint now) {
  gen::Fact fact;
  *fact.mutable_control() = control;
  Publish(fact, now);
}

void Registry::MarkSilent(const gen::Fact &fact, base::TimePoint now) {
  gen::Fact silent = fact;
  if (silent.has_upstream()) silent.mutable_upstream()->set_is_silent(true);
  if (silent.has_entry()) silent.mutable_entry()->set_is_silent(true);
  base::LogEvent(base::LogLevel::kInfo, "fell_silent",
                 {{"key", fleet::GetFactKey(fact)}});
  Publish(silent, now);
}

/** @return whether this host may have missed reports by its own fault. */
bool Registry::IsLate(base::TimePoint now) {
  bool is_first = m_ticked_at == base::TimePoint();
  base::Duration delay =
      is_first ? base::Duration(0) : now - m_ticked_at - kTickPeriod;
  m_ticked_at = now;
  if (delay > kMaxTickDelay) {
    m_judges_from = now + std::max(m_upstream_timeout, kEntryTimeout);
    static prometheus::Counter &late =
        base::GetCounter("ww_registry_late_total",
                         "Times that silence wasn't judged because this host "
                         "was late itself");
    late.Increment();
    base::LogEvent(base::LogLevel::kWarn, "registry_late",
                   {{"delay_ms", base::ToMilliseconds(delay)}});
  }
  return now < m_judges_from;
}

void Registry::Tick(base::TimePoint now) {
  bool is_late = IsLate(now);
  // This host counts as a live publisher of its own facts.
  m_follower->m_view.m_publishers[m_follower->m_own_endpoint].m_heard_at = now;
  std::vector<gen::Fact> silent;
  std::vector<std::string> expired;
  for (const auto &[key, published] : m_publisher->GetLog().m_facts) {
    const gen::Fact &fact = published.m_fact;
    bool is_silent = fact.upstream().is_silent() || fact.entry().is_silent();
    bool is_gone =
        fact.has_upstream() && fact.upstream().state() == gen::UPSTREAM_GONE;
    auto heard = m_heard.find(key);
    if (heard == m_heard.end()) continue;
    if (is_silent || is_gone) {
      bool is_expired = now >= heard->second.m_at + fleet::kUpstreamRetention;
      if (is_expired) expired.push_back(key);
      continue;
    }
    base::milliseconds limit =
        fact.has_upstream() ? m_upstream_timeout : kEntryTimeout;
    if (!is_late && now >= heard->second.m_at + limit) silent.push_back(fact);
  }
  for (const gen::Fact &fact : silent) MarkSilent(fact, now);
  for (const std::string &key : expired) {
    m_publisher->Withdraw(key);
    Forget(key);
  }
}

}  // namespace wasabiwind::fleet_control
