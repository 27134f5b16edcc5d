/** @file fact_log_func.h Facts that a control host publishes to followers.
 *
 * Each change of a fact gets the next sequence number. A follower acknowledges
 * a number and gets the facts that changed after it, so lost, delayed and
 * duplicated messages do no harm.
 */

#ifndef WASABIWIND_FLEET_FACT_LOG_FUNC_H_
#define WASABIWIND_FLEET_FACT_LOG_FUNC_H_

#include <fleet.pb.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace wasabiwind::fleet {

struct PublishedFact {
  gen::Fact m_fact;
  std::uint64_t m_number = 0;    ///< sequence number of its last change
  std::string m_stable_content;  ///< serialized, without fields that each
                                 ///< report changes
};

/** Facts of one publisher. Its size is bounded by the number of hosts and
 * upstreams. */
struct FactLog {
  std::uint64_t m_epoch = 0;  ///< differs between publisher starts
  std::uint64_t m_last_number = 0;
  std::map<std::string, PublishedFact> m_facts;  ///< by GetFactKey
  std::map<std::uint64_t, std::string> m_key_by_number;
  std::uint64_t m_unreadable_count = 0;  ///< facts that PutFact refused
};

/** @return the key of a fact: the same for facts on the same object. */
std::string GetFactKey(const gen::Fact &fact);

/** @return the key of the report of an upstream. */
std::string GetUpstreamKey(const std::string &id);

/**
 * Adds or replaces a fact. A fact that followers couldn't parse, because its
 * text isn't UTF-8, is refused and counted.
 * @return whether it differs from the previous one and got a new number
 */
bool PutFact(FactLog *log, gen::Fact fact);

/** Removes a fact. Followers that already have it keep it. */
void EraseFact(FactLog *log, const std::string &key);

/** Kind of host that follows a publisher. */
enum class FollowerKind : std::uint8_t {
  kEntry,  ///< gets no lists of weights in memory and on disk
  kControl,
  kEnd,
};

/** Followers that get the same facts. */
struct Audience {
  FollowerKind m_kind = FollowerKind::kEntry;
  /** Entry hosts get facts on those of their own region. */
  std::string m_region;

  friend auto operator<=>(const Audience &, const Audience &) = default;
};

/**
 * Adds facts that a follower lacks, in the order of their changes. A list with
 * many facts or bytes is cut; the next update continues after its last number.
 * @param epoch publisher epoch that acked_number refers to; if it isn't the
 *        epoch of the log, no fact counts as acknowledged
 */
void FillFactUpdate(const FactLog &log, std::uint64_t epoch,
                    std::uint64_t acked_number, const Audience &audience,
                    gen::FactUpdate *update);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_FACT_LOG_FUNC_H_
