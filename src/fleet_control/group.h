/** @file group.h This host's part in the replicated log of control hosts. */

#ifndef WASABIWIND_FLEET_CONTROL_GROUP_H_
#define WASABIWIND_FLEET_CONTROL_GROUP_H_

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
 * Forms the group from the hosts that the settings name, takes other hosts in
 * and replaces lost ones. A host is named by the address of its operators'
 * HTTP; its messages go to the same IP number and the common message port.
 * After a failed write the files are opened again, so that the process goes on
 * serving what needs no disk. All methods belong to one fiber thread.
 */
class Group {
 public:
  struct Hooks {
    std::function<void(const std::string &to, const gen::ReplicaMessage &)>
        m_send;
    std::function<void(const std::string &to, const gen::FleetMessage &)>
        m_send_fleet;
    /** @return message endpoints of control hosts that may lead. */
    std::function<std::set<std::string>()> m_list_peers;
    std::function<void()> m_on_leader_change;
  };

  /** @param machine outlives this object */
  Group(gen::FleetControlSettings settings,
        control::ReplicatedStateMachine *machine, Hooks hooks);

  /** Takes part until Stop. @pre inside net::RunFiberThread */
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
   * @return whether this host surely leads: a quorum confirmed it so lately
   *         that no other host can have been elected since
   */
  bool HoldsLease(base::TimePoint now) const;

  /** @return whether no order of an earlier leader can still arrive. */
  bool MayOrder(base::TimePoint now) const;

  std::uint64_t GetTerm() const;

  /** @return operators' address of the leader, "" if none is known. */
  std::string GetLeader() const;

  /** @return message endpoint of a host by its operators' address. */
  std::string GetEndpoint(const std::string &host) const;

 private:
  base::Result<void> Format(replica::FileSystem *files);
  base::Result<void> OpenNode();
  void RunNode();
  void RunLease();
  void RunMembers();
  void ObserveLeader(base::TimePoint now);
  void AskToJoin(base::TimePoint now);
  void ChangeMembers(base::TimePoint now);
  replica::Members MakeFirstMembers() const;

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
  bool m_had_earlier_leader = true;
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_GROUP_H_
