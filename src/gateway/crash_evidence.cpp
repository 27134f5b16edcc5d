/** @file crash_evidence.cpp Which prompts were answered, and which were lost
 * with their runner. */

#include <utility>

#include "gateway/crash_evidence_func.h"

namespace wasabiwind::gateway {

namespace {

constexpr std::size_t kMaxLosses = 64;
constexpr std::size_t kMaxSoundParts = 256;
/** Longer than an election, so that a new leader hears of each loss. */
constexpr base::milliseconds kLossReportTime{5'000};

}  // namespace

void RecordSoundPrompt(CrashEvidence *evidence,
                       const std::vector<std::uint64_t> &parts) {
  for (std::uint64_t part : parts) {
    if (evidence->m_sound_parts.size() >= kMaxSoundParts) return;
    evidence->m_sound_parts.insert(part);
  }
}

void RecordLostRequest(CrashEvidence *evidence, gen::LostRequest prompt,
                       base::TimePoint now) {
  if (evidence->m_losses.size() >= kMaxLosses) evidence->m_losses.pop_front();
  evidence->m_losses.push_back({now, std::move(prompt)});
}

void FillCrashEvidence(CrashEvidence *evidence, gen::UseReport *report,
                       base::TimePoint now) {
  while (!evidence->m_losses.empty() &&
         now >= evidence->m_losses.front().m_at + kLossReportTime) {
    evidence->m_losses.pop_front();
  }
  for (const CrashEvidence::Loss &loss : evidence->m_losses) {
    *report->add_lost_requests() = loss.m_prompt;
  }
  for (std::uint64_t part : evidence->m_sound_parts) {
    report->add_sound_parts(part);
  }
  evidence->m_sound_parts.clear();
}

}  // namespace wasabiwind::gateway
