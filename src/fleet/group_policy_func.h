/** @file group_policy_func.h Chooses membership changes of the control group.
 */

#ifndef WASABIWIND_FLEET_GROUP_POLICY_FUNC_H_
#define WASABIWIND_FLEET_GROUP_POLICY_FUNC_H_

#include <map>
#include <optional>

#include "replica/raft_func.h"

namespace wasabiwind::fleet {

/** A control host that asked to join the group. */
struct JoinCandidate {
  replica::HostIdentity m_identity;
  std::string m_endpoint;
  std::string m_operators_address;
  base::TimePoint m_heard_at;
};

using JoinCandidates = std::map<base::NodeId, JoinCandidate>;

struct GroupPolicy {
  std::size_t m_wanted_voters = 3;
  /** A voter that isn't heard for this long is replaced by a standby. */
  base::milliseconds m_voter_silence{1'200};
  /** A standby that isn't heard for this long is removed. */
  base::milliseconds m_standby_silence{5'000};
  /** A join request expires after this time. */
  base::milliseconds m_candidate_lifetime{1'500};
};

/**
 * Decides the next membership change; only the leader makes changes. A lost
 * voter is removed only when a standby that has caught up can replace it, so a
 * partition alone changes nothing. It is removed before the standby becomes a
 * voter, because an additional voter would raise the quorum while one is
 * missing.
 * @return nothing on a host that isn't the leader, while another change is
 *         uncommitted, or if no change is needed
 */
std::optional<replica::MemberChange> PlanMemberChange(
    const replica::RaftState &state, const JoinCandidates &candidates,
    const GroupPolicy &policy, base::TimePoint now);

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_FLEET_GROUP_POLICY_FUNC_H_
