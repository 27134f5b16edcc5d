/** @file use_sum.cpp Adds up the use reports of the entry hosts that follow a
 * control host. */

#include <algorithm>

#include "fleet/residency_func.h"
#include "fleet/use_sum_func.h"

namespace wasabiwind::fleet {

namespace {

constexpr std::size_t kMaxLostRequests = 512;
constexpr std::size_t kMaxSoundParts = 8'192;
constexpr std::size_t kMaxSoundRequests = 512;

void AddTargetUse(TargetUseSum *sum, const gen::TargetUse &use,
                  const std::string &entry, base::TimePoint now) {
  sum->m_is_changed = true;
  sum->m_arrivals += use.arrivals();
  sum->m_upstreams.insert(use.upstreams().begin(), use.upstreams().end());
  if (use.waiting() == 0) {
    sum->m_waiting.erase(entry);
  } else {
    sum->m_waiting[entry] = WaitingReport{use.waiting(), use.rank(), now};
  }
}

/** Drops what hosts reported that have stopped reporting. */
void ForgetOldWaiting(TargetUseSum *sum, base::TimePoint now) {
  std::size_t forgotten = std::erase_if(sum->m_waiting, [now](auto &item) {
    return now >= item.second.m_at + kWaitingLifetime;
  });
  if (forgotten != 0) sum->m_is_changed = true;
}

void TakeTargetUse(const TargetKey &key, TargetUseSum *sum,
                   gen::UseReport *report) {
  gen::TargetUse *use = report->add_uses();
  use->set_service(key.m_service);
  use->set_model(key.m_model);
  use->set_adapter(key.m_adapter);
  use->set_arrivals(sum->m_arrivals);
  std::uint32_t waiting = 0;
  std::optional<std::uint32_t> rank;
  for (const auto &[entry, item] : sum->m_waiting) {
    waiting += item.m_waiting;
    rank = std::min(rank.value_or(item.m_rank), item.m_rank);
  }
  use->set_waiting(waiting);
  use->set_rank(rank.value_or(0));
  for (const std::string &upstream : sum->m_upstreams) {
    use->add_upstreams(upstream);
  }
  sum->m_arrivals = 0;
  sum->m_upstreams.clear();
  // What waits is reported each time, since the reader forgets it too.
  sum->m_is_changed = !sum->m_waiting.empty();
}

}  // namespace

void AddUseReport(UseSum *sum, const gen::UseReport &report,
                  std::size_t upstream_count, base::TimePoint now) {
  for (const gen::TargetUse &use : report.uses()) {
    TargetUseSum &target =
        sum->m_targets[TargetKey{use.service(), use.model(), use.adapter()}];
    bool is_new_waiting =
        use.waiting() != 0 && !target.m_waiting.contains(report.entry());
    sum->m_has_new_waiting = sum->m_has_new_waiting || is_new_waiting;
    AddTargetUse(&target, use, report.entry(), now);
  }
  auto unreachable = static_cast<std::size_t>(report.unreachable_size());
  if (IsPlausiblyUnreachable(unreachable, upstream_count)) {
    sum->m_unreachable.insert(report.unreachable().begin(),
                              report.unreachable().end());
  }
  for (const gen::LostRequest &lost : report.lost_requests()) {
    if (sum->m_lost_requests.size() >= kMaxLostRequests) break;
    sum->m_lost_requests.insert(lost.SerializeAsString());
  }
  for (std::uint64_t part : report.sound_parts()) {
    if (sum->m_sound_parts.size() >= kMaxSoundParts) break;
    sum->m_sound_parts.insert(part);
  }
  for (std::uint64_t key : report.sound_requests()) {
    if (sum->m_sound_requests.size() >= kMaxSoundRequests) break;
    sum->m_sound_requests.insert(key);
  }
}

std::optional<gen::UseReport> TakeUseSum(UseSum *sum, base::TimePoint now) {
  gen::UseReport report;
  report.set_is_sum(true);
  for (auto &[key, target] : sum->m_targets) {
    ForgetOldWaiting(&target, now);
    if (target.m_is_changed) TakeTargetUse(key, &target, &report);
  }
  std::erase_if(sum->m_targets,
                [](const auto &item) { return item.second.m_waiting.empty(); });
  for (const std::string &upstream : sum->m_unreachable) {
    report.add_unreachable(upstream);
  }
  for (const std::string &lost : sum->m_lost_requests) {
    (void)report.add_lost_requests()->ParseFromString(lost);
  }
  for (std::uint64_t part : sum->m_sound_parts) report.add_sound_parts(part);
  for (std::uint64_t key : sum->m_sound_requests) {
    report.add_sound_requests(key);
  }
  sum->m_unreachable.clear();
  sum->m_lost_requests.clear();
  sum->m_sound_parts.clear();
  sum->m_sound_requests.clear();
  sum->m_has_new_waiting = false;
  bool is_empty = report.uses_size() == 0 && report.unreachable_size() == 0 &&
                  report.lost_requests_size() == 0 &&
                  report.sound_parts_size() == 0 &&
                  report.sound_requests_size() == 0;
  if (is_empty) return std::nullopt;
  return report;
}

}  // namespace wasabiwind::fleet
