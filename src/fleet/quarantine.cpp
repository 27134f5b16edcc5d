/** @file quarantine.cpp Finds what crashes runners. */

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <tuple>
#include <vector>

#include "fleet/quarantine_func.h"

namespace wasabiwind::fleet {

namespace {

constexpr std::size_t kMaxCrashes = 256;
/** For a runner's slots and queue, with several parts a prompt. */
constexpr std::size_t kMaxPartsPerCrash = 512;
constexpr std::size_t kMaxRequestsPerCrash = 256;
constexpr std::size_t kMaxSoundParts = 65'536;

Suspect GetSuspect(const gen::QuarantineItem &item) {
  return Suspect{item.kind(), item.key()};
}

const gen::QuarantineItem *FindItem(const gen::Quarantine &quarantine,
                                    const Suspect &suspect) {
  for (const gen::QuarantineItem &item : quarantine.items()) {
    if (GetSuspect(item) == suspect) return &item;
  }
  return nullptr;
}

/** @return whether that is new evidence */
bool AddLostParts(RunnerCrash *crash, const gen::LostRequest &lost) {
  bool is_new = false;
  std::size_t position = 0;
  for (std::uint64_t part : lost.parts()) {
    if (!crash->m_parts.contains(part)) {
      if (crash->m_parts.size() >= kMaxPartsPerCrash) break;
      is_new = true;
    }
    std::size_t &known = crash->m_parts[part];
    known = std::max(known, position++);
  }
  return is_new;
}

/** @return whether that is new evidence */
bool AddLostArrival(RunnerCrash *crash, const gen::LostRequest &lost) {
  if (lost.request_key() == 0) return false;
  bool is_known = crash->m_requests.contains(lost.request_key());
  if (!is_known && crash->m_requests.size() >= kMaxRequestsPerCrash) {
    return false;
  }
  auto &arrivals = crash->m_requests[lost.request_key()];
  if (arrivals.size() >= kLossesToQuarantine) return false;
  return arrivals.insert(lost.arrival()).second;
}

void ForgetOldestCrash(QuarantinePlanner *planner) {
  planner->m_crashes.erase(
      std::min_element(planner->m_crashes.begin(), planner->m_crashes.end(),
                       [](const auto &a, const auto &b) {
                         return a.second.m_at < b.second.m_at;
                       }));
}

void RecordLostRequest(QuarantinePlanner *planner, const gen::LostRequest &lost,
                       base::TimePoint now) {
  auto runner = std::make_pair(lost.upstream(), lost.born_ms());
  bool is_new = !planner->m_crashes.contains(runner);
  if (is_new && planner->m_crashes.size() >= kMaxCrashes) {
    ForgetOldestCrash(planner);
  }
  RunnerCrash &crash = planner->m_crashes[runner];
  if (is_new) crash.m_at = now;
  bool has_new_arrival = AddLostArrival(&crash, lost);
  bool has_new_part = AddLostParts(&crash, lost);
  if (has_new_arrival || has_new_part) planner->m_has_new_crashes = true;
}

/** Answered requests are reported only while they are quarantined. */
void RecordSoundRequests(QuarantinePlanner *planner,
                         const gen::UseReport &report, base::TimePoint now) {
  for (std::uint64_t key : report.sound_requests()) {
    Suspect request = MakeRequestSuspect(key);
    if (!planner->m_quarantined_at.contains(request)) continue;
    planner->m_sound_at[request] = now;
  }
}

void ForgetOldEvidence(QuarantinePlanner *planner, base::TimePoint now) {
  base::TimePoint oldest = now - kEvidenceTime;
  std::erase_if(planner->m_crashes, [oldest](const auto &item) {
    return item.second.m_at < oldest;
  });
  absl::erase_if(planner->m_sound_at,
                 [oldest](const auto &item) { return item.second < oldest; });
}

/** Keeps the times of items that are quarantined, and of no others. */
void RefreshQuarantineTimes(QuarantinePlanner *planner,
                            const gen::Quarantine &current,
                            base::TimePoint now) {
  std::size_t released =
      std::erase_if(planner->m_quarantined_at, [&current](const auto &item) {
        return !IsQuarantined(current, item.first);
      });
  // Crashes that a released item explained have another cause.
  if (released != 0) planner->m_has_new_crashes = true;
  for (const gen::QuarantineItem &item : current.items()) {
    if (!item.is_released()) {
      planner->m_quarantined_at.try_emplace(GetSuspect(item), now);
    }
  }
}

gen::QuarantineChange MakeChange(const Suspect &suspect) {
  gen::QuarantineChange change;
  change.set_kind(suspect.m_kind);
  change.set_key(suspect.m_key);
  return change;
}

/** @return the release of an item whose time is over, or that was answered
 * after all. */
std::optional<gen::QuarantineChange> PlanRelease(
    const QuarantinePlanner &planner, base::TimePoint now) {
  for (const auto &[suspect, since] : planner.m_quarantined_at) {
    auto sound = planner.m_sound_at.find(suspect);
    bool is_sound = sound != planner.m_sound_at.end() && sound->second > since;
    if (!is_sound && now < since + kQuarantineTime) continue;
    gen::QuarantineChange change = MakeChange(suspect);
    change.set_is_release(true);
    change.set_is_cleared(is_sound);
    return change;
  }
  return std::nullopt;
}

/** How much speaks against a suspect. */
struct Suspicion {
  int m_crashes = 0;
  int m_losses = 0;  ///< crashes for a part, lost arrivals for a request
  base::TimePoint m_counted_at;  ///< first crash of those that count once
  std::size_t m_position = 0;    ///< highest position in a suspect prompt
  /** Quarantined requests that were in a crash with this part. */
  std::set<std::uint64_t> m_quarantined_requests;
};

using Suspicions = std::map<Suspect, Suspicion>;
using SuspectSet = absl::flat_hash_set<Suspect>;

SuspectSet ListQuarantined(const gen::Quarantine &quarantine) {
  SuspectSet suspects;
  for (const gen::QuarantineItem &item : quarantine.items()) {
    if (!item.is_released()) suspects.insert(GetSuspect(item));
  }
  return suspects;
}

bool IsExplainedByPart(const RunnerCrash &crash,
                       const SuspectSet &quarantined) {
  return std::any_of(crash.m_parts.begin(), crash.m_parts.end(),
                     [&quarantined](const auto &item) {
                       return quarantined.contains(MakePartSuspect(item.first));
                     });
}

/** @return the key of a quarantined request that was in a crash. */
std::optional<std::uint64_t> FindExplainingRequest(
    const RunnerCrash &crash, const SuspectSet &quarantined) {
  for (const auto &[key, arrivals] : crash.m_requests) {
    if (quarantined.contains(MakeRequestSuspect(key))) return key;
  }
  return std::nullopt;
}

void CountPart(Suspicion *suspicion, base::TimePoint at) {
  bool may_share_cause = suspicion->m_counted_at != base::TimePoint() &&
                         at < suspicion->m_counted_at + kCommonCauseTime;
  if (may_share_cause) return;
  suspicion->m_counted_at = at;
  ++suspicion->m_crashes;
  ++suspicion->m_losses;
}

/**
 * Counts what speaks against the parts in one crash, but for those that were
 * answered. All crashes under one quarantined request count once: the request
 * explains them, but if several requests had to be quarantined, a part that
 * they share explains more.
 */
void CountParts(const QuarantinePlanner &planner, const RunnerCrash &crash,
                std::optional<std::uint64_t> quarantined_request,
                Suspicions *suspicions) {
  for (const auto &[key, position] : crash.m_parts) {
    Suspect part = MakePartSuspect(key);
    if (planner.m_sound_at.contains(part)) continue;
    Suspicion &suspicion = (*suspicions)[part];
    suspicion.m_position = std::max(suspicion.m_position, position);
    if (!quarantined_request) {
      CountPart(&suspicion, crash.m_at);
    } else if (suspicion.m_quarantined_requests.insert(*quarantined_request)
                   .second) {
      ++suspicion.m_crashes;
      ++suspicion.m_losses;
    }
  }
}

void CountRequests(const QuarantinePlanner &planner, const RunnerCrash &crash,
                   Suspicions *suspicions) {
  for (const auto &[key, arrivals] : crash.m_requests) {
    Suspect request = MakeRequestSuspect(key);
    if (planner.m_sound_at.contains(request)) continue;
    Suspicion &suspicion = (*suspicions)[request];
    ++suspicion.m_crashes;
    suspicion.m_losses += static_cast<int>(arrivals.size());
  }
}

Suspicions CountSuspicions(const QuarantinePlanner &planner,
                           const gen::Quarantine &current) {
  std::vector<const RunnerCrash *> crashes;
  SuspectSet quarantined = ListQuarantined(current);
  for (const auto &[runner, crash] : planner.m_crashes) {
    if (!IsExplainedByPart(crash, quarantined)) crashes.push_back(&crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const RunnerCrash *a, const RunnerCrash *b) {
              return a->m_at < b->m_at;
            });
  Suspicions suspicions;
  for (const RunnerCrash *crash : crashes) {
    auto request = FindExplainingRequest(*crash, quarantined);
    CountParts(planner, *crash, request, &suspicions);
    if (!request) CountRequests(planner, *crash, &suspicions);
  }
  return suspicions;
}

/**
 * @return the suspect that explains most crashes; of equal ones the most
 *         specific one: a request, or the part that stands last in its prompts,
 *         since prompts share their first parts
 */
std::optional<Suspect> FindCause(const QuarantinePlanner &planner,
                                 const gen::Quarantine &current,
                                 bool may_be_part) {
  std::optional<Suspect> cause;
  std::tuple<int, bool, int, std::size_t> highest;
  for (const auto &[suspect, suspicion] : CountSuspicions(planner, current)) {
    bool is_request = suspect.m_kind == gen::SUSPECT_REQUEST;
    if (!is_request && !may_be_part) continue;
    const gen::QuarantineItem *known = FindItem(current, suspect);
    bool was_released = known != nullptr && known->is_released();
    int needed = was_released ? 1 : kLossesToQuarantine;
    if (suspicion.m_losses < needed) continue;
    auto rank = std::make_tuple(suspicion.m_crashes, is_request,
                                suspicion.m_losses, suspicion.m_position);
    if (cause && rank <= highest) continue;
    cause = suspect;
    highest = rank;
  }
  return cause;
}

/** Drops the least recently changed items of a kind beyond a number. */
void DropOldItems(gen::SuspectKind kind, int max_count,
                  gen::Quarantine *quarantine) {
  auto *items = quarantine->mutable_items();
  auto is_of_kind = [kind](const gen::QuarantineItem &item) {
    return item.kind() == kind;
  };
  while (std::count_if(items->begin(), items->end(), is_of_kind) > max_count) {
    items->erase(std::find_if(items->begin(), items->end(), is_of_kind));
  }
}

}  // namespace

void RecordCrashEvidence(QuarantinePlanner *planner,
                         const gen::UseReport &report, base::TimePoint now) {
  if (!planner->m_first_report_at) planner->m_first_report_at = now;
  for (std::uint64_t key : report.sound_parts()) {
    Suspect part = MakePartSuspect(key);
    bool is_known = planner->m_sound_at.contains(part);
    if (!is_known && planner->m_sound_at.size() >= kMaxSoundParts) continue;
    planner->m_sound_at[part] = now;
  }
  RecordSoundRequests(planner, report, now);
  for (const gen::LostRequest &lost : report.lost_requests()) {
    RecordLostRequest(planner, lost, now);
  }
}

std::optional<gen::QuarantineChange> PlanQuarantineChange(
    QuarantinePlanner *planner, const gen::Quarantine &current,
    base::TimePoint now) {
  ForgetOldEvidence(planner, now);
  RefreshQuarantineTimes(planner, current, now);
  if (auto release = PlanRelease(*planner, now)) return release;
  if (!planner->m_has_new_crashes) return std::nullopt;
  bool may_be_part = planner->m_first_report_at &&
                     now >= *planner->m_first_report_at + kMinEvidenceTime;
  std::optional<Suspect> cause = FindCause(*planner, current, may_be_part);
  if (cause) return MakeChange(*cause);
  if (may_be_part) planner->m_has_new_crashes = false;
  return std::nullopt;
}

void ApplyQuarantineChange(const gen::QuarantineChange &change,
                           gen::Quarantine *quarantine) {
  auto *items = quarantine->mutable_items();
  Suspect changed{change.kind(), change.key()};
  auto is_changed = [&changed](const gen::QuarantineItem &item) {
    return GetSuspect(item) == changed;
  };
  items->erase(std::remove_if(items->begin(), items->end(), is_changed),
               items->end());
  quarantine->set_version(quarantine->version() + 1);
  if (change.is_cleared()) return;
  gen::QuarantineItem *item = items->Add();
  item->set_kind(change.kind());
  item->set_key(change.key());
  item->set_is_released(change.is_release());
  DropOldItems(gen::SUSPECT_PART, kMaxQuarantinedParts, quarantine);
  DropOldItems(gen::SUSPECT_REQUEST, kMaxQuarantinedRequests, quarantine);
}

bool IsQuarantined(const gen::Quarantine &quarantine, const Suspect &suspect) {
  const gen::QuarantineItem *item = FindItem(quarantine, suspect);
  return item != nullptr && !item->is_released();
}

}  // namespace wasabiwind::fleet
