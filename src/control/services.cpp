/** @file services.cpp Membership and placement on a control host. */

#include "control/services.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <map>
#include <set>
#include <utility>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "config/catalog_type.h"
#include "config/state_func.h"
#include "control/engine_client.h"
#include "net/fiber_scheduler.h"
#include "replica/log_func.h"

namespace wasabiwind::control {

namespace {

/** Nodes that a status lists by name. */
constexpr std::size_t kMaxListedNodes = 100;

member::MemberOptions MakeMemberOptions(const gen::MemberSettings &settings) {
  member::MemberOptions options;
  options.m_lease = base::milliseconds(settings.lease_ms());
  options.m_confirm_period = base::milliseconds(settings.confirm_period_ms());
  options.m_node_timeout = base::milliseconds(settings.node_timeout_ms());
  options.m_max_direct_nodes =
      static_cast<std::size_t>(settings.max_direct_nodes());
  return options;
}

prometheus::Counter &GetOrderCounter(placement::OrderOutcome outcome) {
  static const std::map<placement::OrderOutcome, const char *> kNames = {
      {placement::OrderOutcome::kAccepted, "accepted"},
      {placement::OrderOutcome::kStaleFence, "stale_fence"},
      {placement::OrderOutcome::kNoMemory, "no_memory"},
      {placement::OrderOutcome::kRefused, "refused"},
      {placement::OrderOutcome::kLost, "lost"}};
  return base::GetCounter("ww_control_orders_total", "Orders to engines",
                          {{"outcome", kNames.at(outcome)}});
}

}  // namespace

void ControlServices::Open(const gen::ControlSettings &settings,
                           ReplicaNode *node, Sender send) {
  m_node = node;
  m_send = send;
  m_planner_settings = placement::MakePlannerSettings(settings.placement());
  m_members = std::make_unique<MemberService>(
      MakeMemberOptions(settings.member()), MakeMemberHooks(std::move(send)));
  m_members->ResetRevision(m_state->GetConfig().m_revision.Value());
  m_pool = std::make_unique<net::HttpClientPool>();
  m_state->SetHooks(MakeStateHooks());
}

MemberServiceHooks ControlServices::MakeMemberHooks(Sender send) {
  MemberServiceHooks hooks;
  hooks.m_send = std::move(send);
  hooks.m_get_leadership = [this] { return GetLeadership(); };
  hooks.m_serialize_declarations = [this] {
    return config::ToDeclarations(m_state->GetConfig()).SerializeAsString();
  };
  hooks.m_on_activation_request = [this](
                                      const std::string &node,
                                      const gen::ActivationRequest &request) {
    if (!m_planner) return;
    ExecuteDecisions(placement::OnActivationRequest(
        &*m_planner, m_state->GetLedger(), node, request, base::Clock::now()));
  };
  hooks.m_on_upstream = [this](const gen::UpstreamRecord &record) {
    if (!m_planner) return;
    placement::OnUpstream(&*m_planner, record, base::Clock::now());
  };
  return hooks;
}

ControlStateHooks ControlServices::MakeStateHooks() {
  ControlStateHooks hooks;
  hooks.m_on_delta = [this](const gen::ConfigDelta &delta) {
    m_is_catalog_stale = true;
    m_members->OnCommitted(delta, base::Clock::now());
  };
  hooks.m_on_restored = [this] {
    m_is_catalog_stale = true;
    m_members->ResetRevision(m_state->GetConfig().m_revision.Value());
  };
  hooks.m_get_region_capacities = [this] { return CollectRegionCapacities(); };
  hooks.m_fill_status = [this](gen::StatusReply *status) {
    FillStatus(status);
  };
  return hooks;
}

Leadership ControlServices::GetLeadership() const {
  const replica::RaftState &raft = m_node->GetState();
  Leadership leadership;
  leadership.m_is_leader = raft.m_role == replica::Role::kLeader;
  leadership.m_term = raft.m_term;
  if (m_confirmed_term == raft.m_term) {
    leadership.m_confirmed_at = m_confirmed_at;
  }
  const replica::Member *leader =
      replica::FindMember(raft.m_members, raft.m_leader);
  if (leader != nullptr) leadership.m_leader_address = leader->m_endpoint;
  return leadership;
}

std::vector<gen::RegionCapacity> ControlServices::CollectRegionCapacities()
    const {
  std::map<std::string, gen::RegionCapacity> capacities;
  std::map<std::string, std::set<std::string>> domains;
  for (const gen::UpstreamRecord *upstream :
       member::ListUpstreams(m_members->GetParent().m_members)) {
    if (upstream->kind() != "engine") continue;
    gen::RegionCapacity &region = capacities[upstream->region()];
    region.set_region(upstream->region());
    region.set_largest_runner_bytes(
        std::max(region.largest_runner_bytes(), upstream->memory_bytes()));
    domains[upstream->region()].insert(upstream->domain());
  }
  std::vector<gen::RegionCapacity> list;
  for (auto &[name, region] : capacities) {
    region.set_domains(static_cast<std::uint32_t>(domains[name].size()));
    list.push_back(region);
  }
  return list;
}

void ControlServices::FillStatus(gen::StatusReply *status) const {
  base::TimePoint now = base::Clock::now();
  const member::Parent &parent = m_members->GetParent();
  status->set_in_force_revision(m_members->GetInForceRevision(now));
  status->set_nodes(
      static_cast<std::uint32_t>(member::ListNodes(parent.m_members).size()));
  status->set_upstreams(static_cast<std::uint32_t>(
      member::ListUpstreams(parent.m_members).size()));
  std::uint32_t behind = 0;
  for (const auto &[name, child] : parent.m_children.m_children) {
    if (child.m_revision >= status->revision()) continue;
    ++behind;
    if (behind > kMaxListedNodes) continue;
    gen::NodeStatus *node = status->add_behind();
    node->set_node(name);
    node->set_region(child.m_record.region());
    node->set_domain(child.m_record.domain());
    node->set_revision(child.m_revision);
    auto age =
        std::chrono::duration_cast<base::milliseconds>(now - child.m_last_seen);
    node->set_confirm_age_ms(age.count());
    node->set_is_lease_over(now - child.m_last_seen >
                            m_members->GetOptions().m_lease);
  }
  status->set_nodes_behind(behind);
}

void ControlServices::HandleMessage(const std::string &from,
                                    const gen::MemberMessage &message) {
  m_members->HandleMessage(from, message, base::Clock::now());
}

/** Asks a quorum whether this host still leads, and records when it asked. */
void ControlServices::ConfirmLeadership() {
  base::TimePoint asked_at = base::Clock::now();
  std::uint64_t term = m_node->GetState().m_term;
  base::Result<void> confirmed =
      m_node->ConfirmRead(asked_at + kConfirmTimeout);
  if (!confirmed || m_node->GetState().m_term != term) return;
  m_confirmed_term = term;
  m_confirmed_at = asked_at;
}

bool ControlServices::IsPlanning(std::uint64_t term) const {
  return !m_is_stopped && m_planner && m_planner->m_term == term;
}

void ControlServices::UpdateCatalog() {
  if (!m_is_catalog_stale) return;
  m_is_catalog_stale = false;
  m_catalog = config::BuildCatalog(config::ToDeclarations(m_state->GetConfig()),
                                   m_state->GetConfig().m_revision);
  if (m_planner) placement::OnCatalog(&*m_planner, m_catalog);
}

/** Creates a planner when this host becomes the leader; discards it after. */
void ControlServices::UpdatePlanner(base::TimePoint now) {
  Leadership leadership = GetLeadership();
  bool may_plan = leadership.m_is_leader && leadership.m_confirmed_at &&
                  leadership.m_term != m_failed_term;
  if (m_planner && (!may_plan || m_planner->m_term != leadership.m_term)) {
    m_planner.reset();
  }
  if (!may_plan) return;
  UpdateCatalog();
  if (!m_planner) {
    placement::Decisions decisions;
    m_planner = placement::MakePlanner(m_planner_settings, leadership.m_term,
                                       m_catalog, now, &decisions);
    for (const gen::UpstreamRecord *upstream :
         member::ListUpstreams(m_members->GetParent().m_members)) {
      placement::OnUpstream(&*m_planner, *upstream, now);
    }
    base::LogEvent(base::LogLevel::kInfo, "placement_started",
                   {{"term", leadership.m_term}});
    ExecuteDecisions(decisions);
  }
  if (m_planner) {
    ExecuteDecisions(
        placement::OnTimer(&*m_planner, m_state->GetLedger(), now));
  }
}

void ControlServices::StartFiber(std::function<void()> body) {
  ++m_active_fibers;
  // Runs at once, so that commands enter the log in the order of the decisions.
  boost::fibers::fiber(boost::fibers::launch::dispatch, [this, body = std::move(
                                                                   body)] {
    body();
    --m_active_fibers;
  }).detach();
}

void ControlServices::ExecuteDecisions(const placement::Decisions &decisions) {
  if (!m_planner) return;
  std::uint64_t term = m_planner->m_term;
  for (const gen::PlacementCommand &command : decisions.m_commands) {
    StartFiber([this, command, term] { RunCommand(command, term); });
  }
  for (const placement::Order &order : decisions.m_orders) {
    StartFiber([this, order, term] { RunOrder(order, term); });
  }
  for (const placement::StateQuery &query : decisions.m_queries) {
    StartFiber([this, query, term] { RunQuery(query, term); });
  }
  for (const placement::ActivationAnswer &answer : decisions.m_answers) {
    SendAnswer(answer);
  }
}

void ControlServices::RunCommand(const gen::PlacementCommand &command,
                                 std::uint64_t term) {
  gen::ControlCommand wrapped;
  *wrapped.mutable_placement() = command;
  base::Result<CommandOutcome> outcome = m_node->Execute(
      wrapped.SerializeAsString(), base::Clock::now() + kCommandTimeout);
  if (!IsPlanning(term)) return;
  if (!outcome) {
    // The command may still be committed, so this planner's view of the ledger
    // may be wrong.
    base::LogEvent(base::LogLevel::kWarn, "placement_command_unknown",
                   {{"error", outcome.error().ToString()}});
    m_failed_term = term;
    m_planner.reset();
    return;
  }
  ExecuteDecisions(placement::OnCommand(&*m_planner, m_state->GetLedger(),
                                        command, outcome->has_value(),
                                        base::Clock::now()));
}

void ControlServices::RunOrder(const placement::Order &order,
                               std::uint64_t term) {
  placement::OrderResult result =
      SendOrder(m_pool.get(), order, base::Clock::now() + kEngineTimeout);
  GetOrderCounter(result.m_outcome).Increment();
  bool is_load = order.m_action == placement::OrderAction::kLoad;
  base::LogEvent(base::LogLevel::kInfo, "order_sent",
                 {{"runner", order.m_runner},
                  {"action", is_load ? "load" : "unload"},
                  {"target", order.m_target},
                  {"outcome", static_cast<int>(result.m_outcome)}});
  if (!IsPlanning(term)) return;
  ExecuteDecisions(placement::OnOrderResult(&*m_planner, m_state->GetLedger(),
                                            result, base::Clock::now()));
}

void ControlServices::RunQuery(const placement::StateQuery &query,
                               std::uint64_t term) {
  std::optional<placement::StateReport> report =
      QueryState(m_pool.get(), query, base::Clock::now() + kEngineTimeout);
  if (!report || !IsPlanning(term)) return;
  ExecuteDecisions(placement::OnStateReport(&*m_planner, m_state->GetLedger(),
                                            *report, base::Clock::now()));
}

void ControlServices::SendAnswer(const placement::ActivationAnswer &answer) {
  gen::MemberMessage message;
  *message.mutable_wake_reply() = answer.m_reply;
  // Activation requests carry the message address of the node as its name.
  for (const std::string &node : answer.m_nodes) m_send(node, message);
}

void ControlServices::Run() {
  boost::fibers::fiber confirming([this] {
    while (!m_is_stopped) {
      bool is_leader = m_node->GetState().m_role == replica::Role::kLeader;
      if (is_leader) ConfirmLeadership();
      net::SleepFor(kConfirmPeriod);
    }
  });
  while (!m_is_stopped) {
    base::TimePoint now = base::Clock::now();
    m_members->Tick(now);
    UpdatePlanner(now);
    net::SleepFor(kTickPeriod);
  }
  confirming.join();
  while (m_active_fibers > 0) net::SleepFor(kTickPeriod);
  m_pool.reset();
}

void ControlServices::Stop() { m_is_stopped = true; }

}  // namespace wasabiwind::control
