/** @file quarantine.cpp Finds prompt parts that crash runners. */

#include <algorithm>
#include <tuple>
#include <vector>

#include "fleet/quarantine_func.h"

namespace wasabiwind::fleet {

namespace {

constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxSuspectsPerCrash = 512;
constexpr std::size_t kMaxSoundParts = 65'536;

const gen::QuarantineItem *FindPart(const gen::Quarantine &quarantine,
                                    std::uint64_t part) {
  for (const gen::QuarantineItem &item : quarantine.items()) {
    if (item.key() == part) return &item;
  }
  return nullptr;
}

void RecordLostRequest(QuarantinePlanner *planner, const gen::LostRequest &lost,
                       base::TimePoint now) {
  auto key = std::make_pair(lost.upstream(), lost.born_ms());
  bool is_new = !planner->m_crashes.contains(key);
  if (is_new && planner->m_crashes.size() >= kMaxCrashes) return;
  RunnerCrash &crash = planner->m_crashes[key];
  if (is_new) crash.m_at = now;
  std::size_t position = 0;
  for (std::uint64_t part : lost.parts()) {
    if (crash.m_suspects.size() >= kMaxSuspectsPerCrash) return;
    std::size_t &known = crash.m_suspects[part];
    known = std::max(known, position++);
  }
}

void ForgetOldEvidence(QuarantinePlanner *planner, base::TimePoint now) {
  base::TimePoint oldest = now - kCrashEvidenceTime;
  std::erase_if(planner->m_crashes, [oldest](const auto &item) {
    return item.second.m_at < oldest;
  });
  absl::erase_if(planner->m_sound_at,
                 [oldest](const auto &item) { return item.second < oldest; });
}

/** Keeps the times of parts that are quarantined, and of no others. */
void RefreshQuarantineTimes(QuarantinePlanner *planner,
                            const gen::Quarantine &current,
                            base::TimePoint now) {
  std::erase_if(planner->m_quarantined_at, [&current](const auto &item) {
    return !IsQuarantined(current, item.first);
  });
  for (const gen::QuarantineItem &item : current.items()) {
    if (!item.is_released()) {
      planner->m_quarantined_at.try_emplace(item.key(), now);
    }
  }
}

/** @return a part whose time is over, or that was answered after all. */
std::optional<std::uint64_t> FindPartToRelease(const QuarantinePlanner &planner,
                                               base::TimePoint now) {
  for (const auto &[part, since] : planner.m_quarantined_at) {
    auto sound = planner.m_sound_at.find(part);
    bool is_sound = sound != planner.m_sound_at.end() && sound->second > since;
    if (is_sound || now >= since + kQuarantineTime) return part;
  }
  return std::nullopt;
}

/** How much speaks against a part. */
struct Suspicion {
  int m_crash_count = 0;
  base::TimePoint m_counted_at;  ///< first crash of those that count once
  std::size_t m_position = 0;    ///< highest position in a suspect prompt
};

/** @return whether a crash is explained by a part that is quarantined. */
bool IsExplained(const RunnerCrash &crash, const gen::Quarantine &current) {
  return std::any_of(crash.m_suspects.begin(), crash.m_suspects.end(),
                     [&current](const auto &item) {
                       return IsQuarantined(current, item.first);
                     });
}

std::map<std::uint64_t, Suspicion> CountSuspicions(
    const QuarantinePlanner &planner, const gen::Quarantine &current) {
  std::vector<const RunnerCrash *> crashes;
  for (const auto &[key, crash] : planner.m_crashes) {
    if (!IsExplained(crash, current)) crashes.push_back(&crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const RunnerCrash *a, const RunnerCrash *b) {
              return a->m_at < b->m_at;
            });
  std::map<std::uint64_t, Suspicion> suspicions;
  for (const RunnerCrash *crash : crashes) {
    for (const auto &[part, position] : crash->m_suspects) {
      if (planner.m_sound_at.contains(part)) continue;
      Suspicion &suspicion = suspicions[part];
      suspicion.m_position = std::max(suspicion.m_position, position);
      bool is_same_cause =
          suspicion.m_crash_count != 0 &&
          crash->m_at < suspicion.m_counted_at + kCommonCauseTime;
      if (is_same_cause) continue;
      suspicion.m_counted_at = crash->m_at;
      ++suspicion.m_crash_count;
    }
  }
  return suspicions;
}

/**
 * @return the part that explains most crashes; of equal ones the one that
 *         stands last in its prompts, since prompts share their first parts
 */
std::optional<std::uint64_t> FindPartToQuarantine(
    const QuarantinePlanner &planner, const gen::Quarantine &current) {
  std::optional<std::uint64_t> worst;
  std::tuple<int, std::size_t> highest;
  for (const auto &[part, suspicion] : CountSuspicions(planner, current)) {
    const gen::QuarantineItem *known = FindPart(current, part);
    bool was_released = known != nullptr && known->is_released();
    int needed = was_released ? 1 : kCrashesToQuarantine;
    if (suspicion.m_crash_count < needed) continue;
    auto rank = std::make_tuple(suspicion.m_crash_count, suspicion.m_position);
    if (worst && rank <= highest) continue;
    worst = part;
    highest = rank;
  }
  return worst;
}

gen::QuarantineChange MakeChange(std::uint64_t part, bool is_release) {
  gen::QuarantineChange change;
  change.set_key(part);
  change.set_is_release(is_release);
  return change;
}

}  // namespace

void RecordCrashEvidence(QuarantinePlanner *planner,
                         const gen::UseReport &report, base::TimePoint now) {
  if (!planner->m_first_report_at) planner->m_first_report_at = now;
  for (std::uint64_t part : report.sound_parts()) {
    bool is_known = planner->m_sound_at.contains(part);
    if (!is_known && planner->m_sound_at.size() >= kMaxSoundParts) continue;
    planner->m_sound_at[part] = now;
  }
  for (const gen::LostRequest &lost : report.lost_requests()) {
    RecordLostRequest(planner, lost, now);
  }
}

std::optional<gen::QuarantineChange> PlanQuarantineChange(
    QuarantinePlanner *planner, const gen::Quarantine &current,
    base::TimePoint now) {
  ForgetOldEvidence(planner, now);
  RefreshQuarantineTimes(planner, current, now);
  if (auto part = FindPartToRelease(*planner, now)) {
    return MakeChange(*part, /*is_release=*/true);
  }
  bool has_evidence = planner->m_first_report_at &&
                      now >= *planner->m_first_report_at + kMinEvidenceTime;
  if (!has_evidence || planner->m_crashes.empty()) return std::nullopt;
  if (auto part = FindPartToQuarantine(*planner, current)) {
    return MakeChange(*part, /*is_release=*/false);
  }
  return std::nullopt;
}

void ApplyQuarantineChange(const gen::QuarantineChange &change,
                           gen::Quarantine *quarantine) {
  auto *parts = quarantine->mutable_items();
  auto is_changed = [&change](const gen::QuarantineItem &item) {
    return item.key() == change.key();
  };
  parts->erase(std::remove_if(parts->begin(), parts->end(), is_changed),
               parts->end());
  while (parts->size() >= kMaxQuarantinedParts) parts->erase(parts->begin());
  gen::QuarantineItem *item = parts->Add();
  item->set_key(change.key());
  item->set_is_released(change.is_release());
  quarantine->set_version(quarantine->version() + 1);
}

bool IsQuarantined(const gen::Quarantine &quarantine, std::uint64_t part) {
  const gen::QuarantineItem *item = FindPart(quarantine, part);
  return item != nullptr && !item->is_released();
}

}  // namespace wasabiwind::fleet
