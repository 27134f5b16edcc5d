/** @file fact_log_func.h Facts that a control host publishes to followers.
 *
 * Each change of a fact gets the next number. A follower states up to which
 * number it has the facts and gets those that changed later, so that lost,
 * late and doubled messages do no harm.
 */

#ifndef WASABIWIND_FLEET_FACT_LOG_FUNC_H_
#define WASABIWIND_FLEET_FACT_LOG_FUNC_H_

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <string>

namespace wasabiwind::fleet {

struct PublishedFact {
  gen::Fact m_fact;
  std::uint64_t m_number = 0;  ///< of its last change
  std::string m_meaning;       ///< serialized, without what always changes
};

/** Facts of one publisher. Bounded by the hosts and upstreams that exist. */
struct FactLog {
  std::uint64_t m_epoch = 0;  ///< differs between starts of the publisher
  std::uint64_t m_last_number = 0;
  std::map<std::string, PublishedFact> m_facts;  ///< by GetFactKey
  std::map<std::uint64_t, std::string> m_key_by_number;
};

/** @return a key that facts about the same thing share. */
std::string GetFactKey(const gen::Fact &fact);

/** @return the key of an upstream's own report. */
std::string GetUpstreamKey(const std::string &id);

/**
 * Adds or replaces a fact.
 * @return whether it differs from the one before and got a new number
 */
bool PutFact(FactLog *log, gen::Fact fact);

/** Removes a fact. Followers that have it keep it. */
void EraseFact(FactLog *log, const std::string &key);

/** Whom the news are for. */
enum class FollowerKind : std::uint8_t {
  kEntry,  ///< doesn't need copies of weights that aren't loaded
  kControl,
  kEnd,
};

/**
 * Fills in the facts that a follower lacks, those that changed first.
 * @param epoch publisher's start that acked_number belongs to; another one
 *        than the log's counts as none acknowledged
 */
void FillFactUpdate(const FactLog &log, std::uint64_t epoch,
                    std::uint64_t acked_number, FollowerKind kind,
                    gen::FactUpdate *news);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_FACT_LOG_FUNC_H_
