/** @file publisher_choice.cpp Which control host an entry host follows. */

#include <algorithm>

#include "fleet/publisher_choice_func.h"

namespace wasabiwind::fleet {

namespace {

const PublisherCandidate *FindCandidate(
    const std::vector<PublisherCandidate> &candidates,
    const std::string &endpoint) {
  auto found = std::find_if(candidates.begin(), candidates.end(),
                            [&endpoint](const PublisherCandidate &candidate) {
                              return candidate.m_endpoint == endpoint;
                            });
  return found == candidates.end() ? nullptr : &*found;
}

bool HasFailed(const PublisherCandidate &candidate, base::TimePoint since,
               base::TimePoint now) {
  return now > std::max(since, candidate.m_heard_at) + kPublisherSilence ||
         now > std::max(since, candidate.m_led_at) + kLeaderlessTime;
}

bool HasAnswered(const PublisherCandidate &candidate, base::TimePoint since) {
  return candidate.m_heard_at > since && candidate.m_led_at > since;
}

void RecordFailure(PublisherChoice *choice, const std::string &endpoint,
                   base::TimePoint now) {
  PublisherFailure &failure = choice->m_failures[endpoint];
  failure.m_backoff =
      std::min(kMaxPublisherBackoff,
               std::max(kMinPublisherBackoff, failure.m_backoff * 2));
  failure.m_retry_at = now + failure.m_backoff;
}

bool MayTry(const PublisherChoice &choice, const std::string &endpoint,
            base::TimePoint now) {
  auto failure = choice.m_failures.find(endpoint);
  return failure == choice.m_failures.end() ||
         now >= failure->second.m_retry_at;
}

void Follow(PublisherChoice *choice, const std::string &endpoint,
            base::TimePoint now) {
  choice->m_current = endpoint;
  choice->m_current_since = now;
  choice->m_probes.erase(endpoint);
}

/** Gives up a current candidate that failed, and clears its failures when it
 * works. */
void CheckCurrent(PublisherChoice *choice,
                  const std::vector<PublisherCandidate> &candidates,
                  base::TimePoint now) {
  if (choice->m_current.empty()) return;
  const PublisherCandidate *current =
      FindCandidate(candidates, choice->m_current);
  if (current == nullptr) {
    choice->m_current.clear();
  } else if (HasFailed(*current, choice->m_current_since, now)) {
    RecordFailure(choice, choice->m_current, now);
    choice->m_current.clear();
  } else if (HasAnswered(*current, choice->m_current_since)) {
    choice->m_failures.erase(choice->m_current);
  }
}

/** Follows the first candidate that may be tried, rather one that isn't probed
 * without an answer; if none may, the one that may be tried first. */
void ChooseCurrent(PublisherChoice *choice,
                   const std::vector<PublisherCandidate> &candidates,
                   base::TimePoint now) {
  if (!choice->m_current.empty() || candidates.empty()) return;
  const PublisherCandidate *chosen = nullptr;
  for (const PublisherCandidate &candidate : candidates) {
    if (!MayTry(*choice, candidate.m_endpoint, now)) continue;
    bool is_probed = choice->m_probes.contains(candidate.m_endpoint);
    if (chosen == nullptr || !is_probed) chosen = &candidate;
    if (!is_probed) break;
  }
  if (chosen == nullptr) {
    chosen = &*std::min_element(
        candidates.begin(), candidates.end(),
        [choice](const PublisherCandidate &a, const PublisherCandidate &b) {
          return choice->m_failures.at(a.m_endpoint).m_retry_at <
                 choice->m_failures.at(b.m_endpoint).m_retry_at;
        });
  }
  Follow(choice, chosen->m_endpoint, now);
}

/** @return whether a candidate stands before another one. */
bool IsPreferred(const std::vector<PublisherCandidate> &candidates,
                 const std::string &endpoint, const std::string &other) {
  for (const PublisherCandidate &candidate : candidates) {
    if (candidate.m_endpoint == other) return false;
    if (candidate.m_endpoint == endpoint) return true;
  }
  return false;
}

/** @return whether nothing came from the current candidate since it was chosen.
 */
bool IsCurrentSilent(const PublisherChoice &choice,
                     const std::vector<PublisherCandidate> &candidates) {
  const PublisherCandidate *current =
      FindCandidate(candidates, choice.m_current);
  return current != nullptr && current->m_heard_at < choice.m_current_since;
}

/** Moves to the first probed candidate that has answered, and gives up those
 * that failed. @return whether the choice has moved */
bool CheckProbes(PublisherChoice *choice,
                 const std::vector<PublisherCandidate> &candidates,
                 base::TimePoint now) {
  for (const PublisherCandidate &candidate : candidates) {
    auto probe = choice->m_probes.find(candidate.m_endpoint);
    if (probe == choice->m_probes.end()) continue;
    if (HasAnswered(candidate, probe->second)) {
      choice->m_failures.erase(candidate.m_endpoint);
      Follow(choice, candidate.m_endpoint, now);
      choice->m_probes.clear();
      return true;
    }
    if (HasFailed(candidate, probe->second, now)) {
      RecordFailure(choice, candidate.m_endpoint, now);
      choice->m_probes.erase(probe);
    }
  }
  return false;
}

/** Probes the first candidate that is preferred to the current one, and no
 * other. */
void ProbePreferred(PublisherChoice *choice,
                    const std::vector<PublisherCandidate> &candidates,
                    base::TimePoint now) {
  // The order changes when more becomes known of the candidates.
  std::erase_if(choice->m_probes, [&](const auto &probe) {
    return !IsPreferred(candidates, probe.first, choice->m_current);
  });
  if (!choice->m_probes.empty()) return;
  for (const PublisherCandidate &candidate : candidates) {
    if (candidate.m_endpoint == choice->m_current) return;
    if (!MayTry(*choice, candidate.m_endpoint, now)) continue;
    choice->m_probes[candidate.m_endpoint] = now;
    return;
  }
}

/** Probes one more candidate for each kProbeInterval in which nothing came from
 * the current one: it may be gone for good. */
void ProbeAlternatives(PublisherChoice *choice,
                       const std::vector<PublisherCandidate> &candidates,
                       base::TimePoint now) {
  auto wanted = static_cast<std::size_t>((now - choice->m_current_since) /
                                         kProbeInterval);
  if (choice->m_probes.size() >= std::min(wanted, kMaxProbes)) return;
  for (const PublisherCandidate &candidate : candidates) {
    bool is_asked = candidate.m_endpoint == choice->m_current ||
                    choice->m_probes.contains(candidate.m_endpoint);
    if (is_asked || !MayTry(*choice, candidate.m_endpoint, now)) continue;
    choice->m_probes[candidate.m_endpoint] = now;
    return;
  }
}

}  // namespace

void UpdatePublisherChoice(PublisherChoice *choice,
                           const std::vector<PublisherCandidate> &candidates,
                           base::TimePoint now) {
  std::erase_if(choice->m_failures, [&candidates](const auto &item) {
    return FindCandidate(candidates, item.first) == nullptr;
  });
  std::erase_if(choice->m_probes, [&candidates](const auto &item) {
    return FindCandidate(candidates, item.first) == nullptr;
  });
  CheckCurrent(choice, candidates, now);
  ChooseCurrent(choice, candidates, now);
  if (CheckProbes(choice, candidates, now)) return;
  if (IsCurrentSilent(*choice, candidates)) {
    ProbeAlternatives(choice, candidates, now);
  } else {
    ProbePreferred(choice, candidates, now);
  }
}

}  // namespace wasabiwind::fleet
