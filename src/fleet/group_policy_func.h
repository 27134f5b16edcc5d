/** @file group_policy_func.h Which change of the control group comes next. */

#ifndef WASABIWIND_FLEET_GROUP_POLICY_FUNC_H_
#define WASABIWIND_FLEET_GROUP_POLICY_FUNC_H_

#include <map>
#include <optional>

#include "replica/raft_func.h"

namespace wasabiwind::fleet {

/** A control host that asked to become a member. */
struct JoinCandidate {
  replica::HostIdentity m_identity;
  std::string m_endpoint;
  std::string m_operators_address;
  base::TimePoint m_heard_at;
};

using JoinCandidates = std::map<base::NodeId, JoinCandidate>;

struct GroupPolicy {
  std::size_t m_wanted_voters = 3;
  /** A voter that is silent for this long gives way to a standby. */
  base::milliseconds m_voter_silence{1'200};
  /** A standby that is silent for this long is removed. */
  base::milliseconds m_standby_silence{5'000};
  /** A candidate counts for this long after its last request. */
  base::milliseconds m_candidate_lifetime{1'500};
};

/**
 * Decides the next change on the leader. A lost voter is removed only when a
 * standby that has caught up can take its place, so that a partition alone
 * changes nothing; it is removed before the standby votes, because a host more
 * would raise the quorum while one is missing.
 * @return nothing while another change is under way, on other hosts, or if
 *         the group is as it should be
 */
std::optional<replica::MemberChange> PlanMemberChange(
    const replica::RaftState &state, const JoinCandidates &candidates,
    const GroupPolicy &policy, base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_GROUP_POLICY_FUNC_H_
