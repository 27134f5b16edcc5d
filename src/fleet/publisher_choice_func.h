/** @file publisher_choice_func.h Which control host an entry host follows.
 *
 * An entry host follows one control host, the nearest that works, so that the
 * work of control hosts grows with the number of entry hosts and not with its
 * product with their own number. It goes on to another one when the followed
 * one falls silent or has no leader, and back when a nearer one works again.
 * One that doesn't answer at all may be gone for good, so that others are tried
 * beside it.
 */

#ifndef WASABIWIND_FLEET_PUBLISHER_CHOICE_FUNC_H_
#define WASABIWIND_FLEET_PUBLISHER_CHOICE_FUNC_H_

#include <map>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::fleet {

/** A control host that may be followed. */
struct PublisherCandidate {
  std::string m_endpoint;
  base::TimePoint m_heard_at;  ///< last message
  base::TimePoint m_led_at;    ///< last message that named a leader
};

/** A candidate that failed isn't tried again before a time. */
struct PublisherFailure {
  base::TimePoint m_retry_at;
  base::milliseconds m_backoff{0};
};

/** Not thread-safe. */
struct PublisherChoice {
  std::string m_current;  ///< followed, "" if there is no candidate
  base::TimePoint m_current_since;
  /** Candidates that are followed as well until one of them answers, and since
   * when: a nearer one, or others while nothing came from the followed one. */
  std::map<std::string, base::TimePoint> m_probes;
  std::map<std::string, PublisherFailure> m_failures;  ///< by endpoint
};

/** A publisher that sends nothing for this long has failed. It answers requests
 * twice a second. */
inline constexpr base::milliseconds kPublisherSilence{1'500};
/** A publisher that knows no leader for this long has failed. Longer than most
 * elections, in which no publisher knows one. */
inline constexpr base::milliseconds kLeaderlessTime{2'500};
/** While a newly followed publisher hasn't answered, another one is tried as
 * well each time this has passed. Longer than most first answers take. */
inline constexpr base::milliseconds kProbeInterval{600};
/** Most that are tried beside the followed one: each sends all its facts. */
inline constexpr std::size_t kMaxProbes = 2;
inline constexpr base::milliseconds kMinPublisherBackoff{2'000};
inline constexpr base::milliseconds kMaxPublisherBackoff{16'000};

/**
 * Updates the choice. Called on each tick and after each message.
 * @param candidates in order of preference
 */
void UpdatePublisherChoice(PublisherChoice *choice,
                           const std::vector<PublisherCandidate> &candidates,
                           base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_PUBLISHER_CHOICE_FUNC_H_
