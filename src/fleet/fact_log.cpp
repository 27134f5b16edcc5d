/** @file fact_log.cpp Facts that a control host publishes to followers. */

#include <iterator>
#include <utility>

#include "fleet/fact_log_func.h"

namespace wasabiwind::fleet {

namespace {

/** Bounds one message to some 100 KB if the facts are of usual length. */
constexpr int kMaxFactsPerUpdate = 256;
/** Bounds one message whatever the facts contain. A fact that is longer than
 * this is sent alone. */
constexpr std::size_t kMaxUpdateBytes = 256 * 1024;

/** @return a fact, serialized without the fields that change with each report.
 */
std::string SerializeStableFields(const gen::Fact &fact) {
  gen::Fact stable = fact;
  if (stable.has_upstream()) {
    stable.mutable_upstream()->clear_report_number();
    stable.mutable_upstream()->clear_cold_left_ms();
    stable.mutable_upstream()->clear_remaining_ms();
  }
  if (stable.has_entry()) stable.mutable_entry()->clear_report_number();
  return stable.SerializeAsString();
}

/** @return whether followers of an audience need a fact. */
bool IsFor(const Audience &audience, const gen::Fact &fact) {
  if (audience.m_kind != FollowerKind::kEntry || !fact.has_entry()) return true;
  return fact.entry().region() == audience.m_region;
}

/** @return a fact without the fields that followers of an audience don't need.
 */
gen::Fact MakeFactFor(const Audience &audience, const gen::Fact &fact) {
  gen::Fact result = fact;
  if (audience.m_kind == FollowerKind::kEntry && result.has_upstream()) {
    result.mutable_upstream()->clear_in_memory();
    result.mutable_upstream()->clear_on_disk();
  }
  return result;
}

}  // namespace

std::string GetUpstreamKey(const std::string &id) { return "upstream/" + id; }

std::string GetFactKey(const gen::Fact &fact) {
  switch (fact.body_case()) {
    case gen::Fact::kUpstream:
      return GetUpstreamKey(fact.upstream().id());
    case gen::Fact::kEntry:
      return "entry/" + fact.entry().name();
    case gen::Fact::kControl:
      return "control/" + fact.control().name();
    case gen::Fact::kResidency:
      return "residency/" + fact.residency().upstream();
    case gen::Fact::kRegion:
      return "region/" + fact.region().region();
    case gen::Fact::BODY_NOT_SET:
      break;
  }
  return "";
}

bool PutFact(FactLog *log, gen::Fact fact) {
  std::string key = GetFactKey(fact);
  std::string content = SerializeStableFields(fact);
  auto known = log->m_facts.find(key);
  if (known != log->m_facts.end() &&
      known->second.m_stable_content == content) {
    known->second.m_fact = std::move(fact);
    return false;
  }
  if (!gen::Fact().ParseFromString(content)) {
    ++log->m_unreadable_count;
    return false;
  }
  PublishedFact &slot = log->m_facts[key];
  slot.m_fact = std::move(fact);
  slot.m_stable_content = std::move(content);
  log->m_key_by_number.erase(slot.m_number);
  slot.m_number = ++log->m_last_number;
  log->m_key_by_number[slot.m_number] = std::move(key);
  return true;
}

void EraseFact(FactLog *log, const std::string &key) {
  auto found = log->m_facts.find(key);
  if (found == log->m_facts.end()) return;
  log->m_key_by_number.erase(found->second.m_number);
  log->m_facts.erase(found);
}

void FillFactUpdate(const FactLog &log, std::uint64_t epoch,
                    std::uint64_t acked_number, const Audience &audience,
                    gen::FactUpdate *update) {
  std::uint64_t from = epoch == log.m_epoch ? acked_number : 0;
  update->set_publisher_epoch(log.m_epoch);
  update->set_first_number(from);
  update->set_last_number(log.m_last_number);
  std::size_t bytes = 0;
  for (auto next = log.m_key_by_number.upper_bound(from);
       next != log.m_key_by_number.end(); ++next) {
    const gen::Fact &stored = log.m_facts.at(next->second).m_fact;
    if (!IsFor(audience, stored)) continue;
    gen::Fact fact = MakeFactFor(audience, stored);
    bytes += fact.ByteSizeLong();
    bool is_full =
        bytes > kMaxUpdateBytes || update->facts_size() == kMaxFactsPerUpdate;
    if (is_full && update->facts_size() != 0) {
      update->set_last_number(std::prev(next)->first);
      return;
    }
    *update->add_facts() = std::move(fact);
  }
}

}  // namespace wasabiwind::fleet
