/** @file replication_group.h This host's replica of the control hosts' log. */

#ifndef WASABIWIND_FLEET_CONTROL_REPLICATION_GROUP_H_
#define WASABIWIND_FLEET_CONTROL_REPLICATION_GROUP_H_

#include <fleet.pb.h>
#include <fleet_settings.pb.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "control/replica_node.h"
#include "fleet/group_policy_func.h"

namespace wasabiwind::fleet_control {

/**
 * Runs this host's replica of the log. The group is formed from the hosts in
 * the settings; other hosts may join it and replace failed ones. A host is
 * identified by the address of its operators' HTTP server; its messages go to
 * the same IP address and the common message port. After a failed write the
 * files are reopened, so that the process keeps serving requests that need no
 * disk. Not thread-safe: used on one fiber thread.
 */
class ReplicationGroup {
 public:
  struct Hooks {
    std::function<void(const std::string &to, const gen::ReplicaMessage &)>
        m_send;
    std::function<void(const std::string &to, const gen::FleetMessage &)>
        m_send_fleet;
    /** @return message endpoints of control hosts that may lead. */
    std::function<std::set<std::string>()> m_list_peers;
    std::function<void()> m_on_leader_change;
    /** Called when a quorum has confirmed that this host led at a time and the
     * state machine reflects all that was committed before. May be empty. */
    std::function<void(base::TimePoint)> m_on_leadership_confirmed;
  };

  /** @param machine outlives this object */
  ReplicationGroup(gen::FleetControlSettings settings,
                   control::ReplicatedStateMachine *machine, Hooks hooks);

  /** Runs the replica until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  void Receive(gen::ReplicaMessage message);
  void HandleJoin(const gen::JoinRequest &request, base::TimePoint now);

  /** See control::ReplicaNode::Execute. */
  base::Result<control::CommandOutcome> Execute(std::string command,
                                                base::TimePoint deadline);
  /** See control::ReplicaNode::ConfirmRead. */
  base::Result<void> ConfirmRead(base::TimePoint deadline);

  /**
   * @return whether this host leads for certain: a quorum has confirmed it so
   *         recently that no other host can have been elected since
   */
  bool HoldsLease(base::TimePoint now) const;

  /** @return whether this host holds the lease and no order of an earlier
   * leader can still reach a runner. */
  bool MaySendOrders(base::TimePoint now) const;

  std::uint64_t GetTerm() const;

  /** @return operators' address of the leader, or "" if unknown. */
  std::string GetLeader() const;

  /** @return message endpoints of the members; empty while the files aren't
   * open. */
  std::set<std::string> ListMemberEndpoints() const;

  /** @return message endpoint of the host with this operators' address. */
  std::string GetEndpoint(const std::string &host) const;

 private:
  base::Result<void> FormatFolder(replica::FileSystem *files);
  base::Result<void> OpenReplica();
  void RunReplica();
  void RunLeaseRenewal();
  void RunMembership();
  void ObserveLeader(base::TimePoint now);
  void RequestJoin(base::TimePoint now);
  void ChangeMembers(base::TimePoint now);
  replica::Members MakeInitialMembers() const;

  gen::FleetControlSettings m_settings;
  control::ReplicatedStateMachine *m_machine;
  Hooks m_hooks;
  fleet::GroupPolicy m_policy;
  fleet::JoinCandidates m_candidates;
  std::shared_ptr<control::ReplicaNode> m_node;  ///< nullptr: files not open
  std::string m_known_leader;
  std::uint64_t m_known_term = 0;
  std::uint64_t m_lease_term = 0;
  base::TimePoint m_lease_until;
  base::TimePoint m_leading_since;
  bool m_had_earlier_leader = true;  ///< whose orders may be under way
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_REPLICATION_GROUP_H_
