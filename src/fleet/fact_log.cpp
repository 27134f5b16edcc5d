/** @file fact_log.cpp Facts that a control host publishes to followers. */

#include <algorithm>
#include <vector>

#include "fleet/fact_log_func.h"

namespace wasabiwind::fleet {

namespace {

/** Bounds one message to some 100 KB. */
constexpr std::size_t kMaxFactsPerNews = 256;

/** Clears what changes with every report and says nothing new. */
gen::Fact WithoutNumber(gen::Fact fact) {
  if (fact.has_upstream()) {
    fact.mutable_upstream()->clear_report_number();
    fact.mutable_upstream()->clear_cold_left_ms();
    fact.mutable_upstream()->clear_remaining_ms();
  }
  if (fact.has_entry()) fact.mutable_entry()->clear_report_number();
  return fact;
}

bool IsSame(const gen::Fact &a, const gen::Fact &b) {
  return WithoutNumber(a).SerializeAsString() ==
         WithoutNumber(b).SerializeAsString();
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
    case gen::Fact::BODY_NOT_SET:
      break;
  }
  return "";
}

bool PutFact(FactLog *log, gen::Fact fact) {
  PublishedFact &slot = log->m_facts[GetFactKey(fact)];
  bool is_same = slot.m_number != 0 && IsSame(slot.m_fact, fact);
  slot.m_fact = std::move(fact);
  if (is_same) return false;
  slot.m_number = ++log->m_last_number;
  return true;
}

void FillNews(const FactLog &log, std::uint64_t epoch,
              std::uint64_t acked_number, FollowerKind kind, gen::News *news) {
  std::uint64_t from = epoch == log.m_epoch ? acked_number : 0;
  std::vector<const PublishedFact *> changed;
  for (const auto &[key, fact] : log.m_facts) {
    if (fact.m_number > from) changed.push_back(&fact);
  }
  std::sort(changed.begin(), changed.end(),
            [](const PublishedFact *a, const PublishedFact *b) {
              return a->m_number < b->m_number;
            });
  news->set_publisher_epoch(log.m_epoch);
  news->set_first_number(from);
  news->set_last_number(log.m_last_number);
  if (changed.size() > kMaxFactsPerNews) {
    changed.resize(kMaxFactsPerNews);
    news->set_last_number(changed.back()->m_number);
  }
  for (const PublishedFact *fact : changed) {
    gen::Fact *added = news->add_facts();
    *added = fact->m_fact;
    if (kind != FollowerKind::kEntry || !added->has_upstream()) continue;
    added->mutable_upstream()->clear_in_memory();
    added->mutable_upstream()->clear_on_disk();
  }
}

}  // namespace wasabiwind::fleet
