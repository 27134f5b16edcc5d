/** @file crash_evidence.cpp Which requests were answered, and which were lost
 * with their runner. */

#include <algorithm>
#include <utility>

#include "fleet/quarantine_func.h"
#include "gateway/crash_evidence_func.h"

namespace wasabiwind::gateway {

namespace {

constexpr std::size_t kMaxLosses = 64;
constexpr std::size_t kMaxSoundParts = 256;
constexpr std::size_t kMaxAnswers = 4'096;
/** Longer than an election, so that a new leader hears of each loss. */
constexpr base::milliseconds kLossReportTime{5'000};
/** Runners that restart report themselves within this time. */
constexpr base::milliseconds kLossConfirmTime{5'000};

void DropLossesBefore(std::deque<LostRequest> *losses, base::TimePoint oldest) {
  while (!losses->empty() && losses->front().m_at <= oldest) {
    losses->pop_front();
  }
}

void ForgetOldestAnswer(CrashEvidence *evidence) {
  auto [at, key] = evidence->m_answers.front();
  evidence->m_answers.pop_front();
  auto last = evidence->m_answered_at.find(key);
  bool is_last = last != evidence->m_answered_at.end() && last->second == at;
  if (is_last) evidence->m_answered_at.erase(last);
}

}  // namespace

void RecordSoundRequest(CrashEvidence *evidence, std::uint64_t request_key,
                        const std::vector<std::uint64_t> &parts,
                        base::TimePoint now) {
  if (evidence->m_answers.size() >= kMaxAnswers) ForgetOldestAnswer(evidence);
  evidence->m_answers.emplace_back(now, request_key);
  evidence->m_answered_at[request_key] = now;
  for (std::uint64_t part : parts) {
    if (evidence->m_sound_parts.size() >= kMaxSoundParts) return;
    evidence->m_sound_parts.insert(part);
  }
}

void RecordLostRequest(CrashEvidence *evidence, LostRequest lost) {
  auto &losses = evidence->m_unconfirmed_losses;
  if (losses.size() >= kMaxLosses) losses.pop_front();
  losses.push_back(std::move(lost));
}

bool ConfirmLosses(CrashEvidence *evidence, base::TimePoint now,
                   const std::function<bool(const LostRequest &)> &has_ended) {
  auto &unconfirmed = evidence->m_unconfirmed_losses;
  DropLossesBefore(&unconfirmed, now - kLossConfirmTime);
  std::size_t count = unconfirmed.size();
  std::erase_if(unconfirmed, [&](LostRequest &lost) {
    if (!has_ended(lost)) return false;
    if (evidence->m_losses.size() >= kMaxLosses) evidence->m_losses.pop_front();
    lost.m_at = now;
    evidence->m_losses.push_back(std::move(lost));
    return true;
  });
  return unconfirmed.size() != count;
}

bool HasEnded(const fleet::FleetView &view, const LostRequest &lost) {
  std::uint64_t born_ms = lost.m_report.born_ms();
  auto found = view.m_upstreams.find(lost.m_report.upstream());
  if (found == view.m_upstreams.end() ||
      found->second.m_report.born_ms() > born_ms) {
    return true;
  }
  return std::any_of(view.m_upstreams.begin(), view.m_upstreams.end(),
                     [&lost, born_ms](const auto &item) {
                       const gen::UpstreamReport &report = item.second.m_report;
                       return report.address() == lost.m_address &&
                              report.born_ms() > born_ms;
                     });
}

void FillCrashEvidence(CrashEvidence *evidence, const SuspectSet &quarantined,
                       gen::UseReport *report, base::TimePoint now) {
  DropLossesBefore(&evidence->m_losses, now - kLossReportTime);
  for (const LostRequest &lost : evidence->m_losses) {
    *report->add_lost_requests() = lost.m_report;
  }
  for (std::uint64_t part : evidence->m_sound_parts) {
    report->add_sound_parts(part);
  }
  evidence->m_sound_parts.clear();
  while (!evidence->m_answers.empty() &&
         now >= evidence->m_answers.front().first + fleet::kEvidenceTime) {
    ForgetOldestAnswer(evidence);
  }
  for (const fleet::Suspect &suspect : quarantined) {
    bool is_answered = suspect.m_kind == gen::SUSPECT_REQUEST &&
                       evidence->m_answered_at.contains(suspect.m_key);
    if (is_answered) report->add_sound_requests(suspect.m_key);
  }
}

}  // namespace wasabiwind::gateway
