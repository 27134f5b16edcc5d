/** @file replication_group.cpp This host's replica of the control hosts' log.
 */

#include "fleet_control/replication_group.h"

#include <fmt/format.h>

#include <boost/fiber/fiber.hpp>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/text_func.h"
#include "fleet/message_endpoint_func.h"
#include "net/endpoint_type.h"
#include "net/fiber_scheduler.h"
#include "replica/log_func.h"
#include "replica/store_base.h"

namespace wasabiwind::fleet_control {

namespace {

using base::LogEvent;
using base::LogLevel;
using replica::Role;

/** Delay before the files are reopened after an error. */
constexpr base::milliseconds kReopenDelay{400};
constexpr base::milliseconds kLeasePeriod{200};
/** Lease as a fraction of the minimum election timeout: it must end before
 * another host can be elected. */
constexpr double kLeaseFraction = 0.6;
constexpr base::milliseconds kMembershipPeriod{150};
constexpr base::milliseconds kMembershipTimeout{1'000};
/** Added to the order lease that a new leader waits for. */
constexpr base::milliseconds kOrderLeaseMargin{300};
constexpr const char *kSuperblockName = "superblock";

tl::unexpected<base::Error> MakeDataFolderError() {
  return base::MakeError(base::ErrorKind::kUnavailable,
                         "the data folder of this host can't be used now",
                         "send the request to another control host");
}

}  // namespace

ReplicationGroup::ReplicationGroup(gen::FleetControlSettings settings,
                                   control::ReplicatedStateMachine *machine,
                                   Hooks hooks)
    : m_settings(std::move(settings)),
      m_machine(machine),
      m_hooks(std::move(hooks)) {
  m_policy.m_wanted_voters =
      2 * static_cast<std::size_t>(m_settings.group().tolerated_losses()) + 1;
}

std::string ReplicationGroup::GetEndpoint(const std::string &host) const {
  return fleet::MakeMessageEndpoint(host, m_settings.network().message_port());
}

std::set<std::string> ReplicationGroup::ListMemberEndpoints() const {
  std::set<std::string> endpoints;
  if (m_node == nullptr) return endpoints;
  for (const replica::Member &member : m_node->GetState().m_members) {
    endpoints.insert(member.m_endpoint);
  }
  return endpoints;
}

replica::Members ReplicationGroup::MakeInitialMembers() const {
  replica::Members members;
  for (const std::string &host :
       base::SplitList(m_settings.network().control_hosts())) {
    replica::Member member;
    member.m_identity.m_host = base::NodeId(host);
    member.m_endpoint = GetEndpoint(host);
    member.m_operators_address = host;
    members.push_back(std::move(member));
  }
  return members;
}

/** Formats the data folder on the first start of an initial member. */
base::Result<void> ReplicationGroup::FormatFolder(replica::FileSystem *files) {
  if (m_settings.group().is_first_start() != "true") return {};
  base::NodeId own(m_settings.group().listen());
  replica::Members members = MakeInitialMembers();
  if (replica::FindMember(members, own) == nullptr) return {};
  base::Result<std::vector<std::string>> names = files->List();
  if (!names) return tl::unexpected(names.error());
  for (const std::string &name : *names) {
    if (name == kSuperblockName) return {};
  }
  // Without a superblock this host has neither voted nor acknowledged anything:
  // the files were left by an interrupted first start.
  for (const std::string &name : *names) {
    if (base::Result<void> done = files->Remove(name); !done) return done;
  }
  return replica::FormatFirstMember(files, own, members);
}

base::Result<void> ReplicationGroup::OpenReplica() {
  auto files = replica::OpenDataFolder(m_settings.group().data_folder());
  if (!files) return tl::unexpected(files.error());
  if (base::Result<void> done = FormatFolder(files->get()); !done) return done;
  control::ReplicaNodeOptions options;
  options.m_host = base::NodeId(m_settings.group().listen());
  options.m_raft.m_election_timeout =
      base::milliseconds(m_settings.group().election_timeout_ms());
  options.m_raft.m_heartbeat =
      base::milliseconds(m_settings.group().heartbeat_ms());
  options.m_raft.m_max_voters = m_policy.m_wanted_voters;
  auto node = std::make_shared<control::ReplicaNode>(
      std::move(options), std::move(*files),
      [this](const gen::ReplicaMessage &message) {
        m_hooks.m_send(GetEndpoint(message.to_host()), message);
      },
      m_machine);
  if (base::Result<void> opened = node->Open(); !opened) return opened;
  m_node = std::move(node);
  return {};
}

void ReplicationGroup::RunReplica() {
  while (!m_is_stopped) {
    base::Result<void> result = OpenReplica();
    if (result) {
      std::shared_ptr<control::ReplicaNode> node = m_node;
      result = node->Run();
      m_node.reset();
      m_lease_until = base::TimePoint();
    }
    if (m_is_stopped) return;
    if (!result) {
      LogEvent(LogLevel::kError, "data_folder_failed",
               {{"error", result.error().ToString()}});
    }
    net::SleepFor(kReopenDelay);
  }
}

void ReplicationGroup::ObserveLeader(base::TimePoint now) {
  std::string leader = GetLeader();
  std::uint64_t term = GetTerm();
  if (leader == m_known_leader && term == m_known_term) return;
  bool was_known = !m_known_leader.empty();
  m_known_leader = leader;
  m_known_term = term;
  LogEvent(LogLevel::kInfo, leader.empty() ? "leader_lost" : "leader_known",
           {{"leader", leader}, {"term", term}, {"was_known", was_known}});
  if (leader == m_settings.group().listen()) {
    m_leading_since = now;
    const replica::Log &log = m_node->GetState().m_log;
    m_had_earlier_leader = log.m_base.m_index != 0 || log.m_entries.empty() ||
                           log.m_entries.front().m_term != term;
  }
  m_hooks.m_on_leader_change();
}

void ReplicationGroup::RunLeaseRenewal() {
  while (!m_is_stopped) {
    base::TimePoint start = base::Clock::now();
    ObserveLeader(start);
    bool is_leader =
        m_node != nullptr && m_node->GetState().m_role == Role::kLeader;
    if (is_leader) {
      std::uint64_t term = GetTerm();
      auto lease = std::chrono::duration_cast<base::Duration>(
          base::milliseconds(m_settings.group().election_timeout_ms()) *
          kLeaseFraction);
      if (ConfirmRead(start + lease) && GetTerm() == term) {
        m_lease_term = term;
        m_lease_until = start + lease;
        if (m_hooks.m_on_leadership_confirmed) {
          m_hooks.m_on_leadership_confirmed(start);
        }
      }
    }
    net::SleepFor(kLeasePeriod);
  }
}

bool ReplicationGroup::HoldsLease(base::TimePoint now) const {
  return m_node != nullptr && now < m_lease_until &&
         m_node->GetState().m_role == Role::kLeader &&
         GetTerm() == m_lease_term;
}

bool ReplicationGroup::MaySendOrders(base::TimePoint now) const {
  if (!HoldsLease(now) || GetTerm() != m_known_term) return false;
  if (!m_had_earlier_leader) return true;
  return now >= m_leading_since +
                    base::milliseconds(m_settings.bounds().order_lease_ms()) +
                    kOrderLeaseMargin;
}

std::uint64_t ReplicationGroup::GetTerm() const {
  return m_node == nullptr ? 0 : m_node->GetState().m_term;
}

std::string ReplicationGroup::GetLeader() const {
  return m_node == nullptr ? "" : m_node->GetState().m_leader.Value();
}

void ReplicationGroup::HandleJoin(const gen::JoinRequest &request,
                                  base::TimePoint now) {
  fleet::JoinCandidate candidate;
  candidate.m_identity = replica::HostIdentity{base::NodeId(request.host()),
                                               request.incarnation()};
  candidate.m_endpoint = request.endpoint();
  candidate.m_operators_address = request.operators_address();
  candidate.m_heard_at = now;
  m_candidates[candidate.m_identity.m_host] = std::move(candidate);
}

/** Asks to join the group; sent to all peers, since any may be the leader. */
void ReplicationGroup::RequestJoin(base::TimePoint now) {
  const replica::RaftState &state = m_node->GetState();
  const replica::Member *self =
      replica::FindMember(state.m_members, state.m_self.m_host);
  bool is_voter =
      self != nullptr && self->m_is_voter && self->m_identity == state.m_self;
  bool has_leader =
      state.m_role == Role::kLeader ||
      now < state.m_leader_heard_at + 2 * state.m_settings.m_election_timeout;
  if (is_voter && has_leader) return;
  gen::FleetMessage message;
  gen::JoinRequest *join = message.mutable_join();
  join->set_host(state.m_self.m_host.Value());
  join->set_incarnation(state.m_self.m_incarnation);
  join->set_endpoint(m_settings.network().message_address());
  join->set_operators_address(m_settings.group().listen());
  std::set<std::string> peers = m_hooks.m_list_peers();
  for (const replica::Member &member : state.m_members) {
    if (member.m_identity.m_host != state.m_self.m_host) {
      peers.insert(member.m_endpoint);
    }
  }
  for (const std::string &peer : peers) m_hooks.m_send_fleet(peer, message);
}

void ReplicationGroup::ChangeMembers(base::TimePoint now) {
  auto change =
      fleet::PlanMemberChange(m_node->GetState(), m_candidates, m_policy, now);
  if (!change || !HoldsLease(now)) return;
  std::shared_ptr<control::ReplicaNode> node = m_node;
  base::Result<void> done =
      node->ChangeMembers(*change, now + kMembershipTimeout);
  LogEvent(LogLevel::kInfo, "members_changed",
           {{"change", static_cast<int>(change->m_kind)},
            {"host", change->m_host.Value()},
            {"incarnation", change->m_incarnation},
            {"error", done ? "" : done.error().ToString()}});
}

void ReplicationGroup::RunMembership() {
  while (!m_is_stopped) {
    net::SleepFor(kMembershipPeriod);
    base::TimePoint now = base::Clock::now();
    if (m_node == nullptr) continue;
    RequestJoin(now);
    ChangeMembers(now);
  }
}

void ReplicationGroup::Run() {
  boost::fibers::fiber node([this] { RunReplica(); });
  boost::fibers::fiber lease([this] { RunLeaseRenewal(); });
  boost::fibers::fiber members([this] { RunMembership(); });
  node.join();
  lease.join();
  members.join();
}

void ReplicationGroup::Stop() {
  m_is_stopped = true;
  if (m_node != nullptr) m_node->Stop();
}

void ReplicationGroup::Receive(gen::ReplicaMessage message) {
  if (m_node != nullptr) m_node->Receive(std::move(message));
}

base::Result<control::CommandOutcome> ReplicationGroup::Execute(
    std::string command, base::TimePoint deadline) {
  std::shared_ptr<control::ReplicaNode> node = m_node;
  if (node == nullptr) return MakeDataFolderError();
  return node->Execute(std::move(command), deadline);
}

base::Result<void> ReplicationGroup::ConfirmRead(base::TimePoint deadline) {
  std::shared_ptr<control::ReplicaNode> node = m_node;
  if (node == nullptr) return MakeDataFolderError();
  return node->ConfirmRead(deadline);
}

}  // namespace wasabiwind::fleet_control
