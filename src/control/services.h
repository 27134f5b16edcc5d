/** @file services.h Membership and placement on a control host. */

#ifndef WASABIWIND_CONTROL_SERVICES_H_
#define WASABIWIND_CONTROL_SERVICES_H_

#include <control_settings.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/control_state.h"
#include "control/member_service.h"
#include "control/replica_node.h"
#include "net/http_client.h"
#include "placement/planner_func.h"

namespace wasabiwind::control {

/**
 * Answers nodes and plans the placement of replicas while this host leads.
 * All methods belong to the fiber thread of the replicated log.
 */
class ControlServices {
 public:
  using Sender =
      std::function<void(const std::string &to, const gen::MemberMessage &)>;

  /** @param state outlives this object */
  explicit ControlServices(ControlState *state) : m_state(state) {}

  /**
   * Prepares the services.
   * @param node outlives this object; opened
   */
  void Open(const gen::ControlSettings &settings, ReplicaNode *node,
            Sender send);

  /** Handles a message of a node. */
  void HandleMessage(const std::string &from,
                     const gen::MemberMessage &message);

  /** Runs until Stop. @pre Open was called; inside net::RunFiberThread */
  void Run();

  /** Ends Run after the calls in progress, a few seconds at most. */
  void Stop();

 private:
  /** Longest wait for the answer to an order or query. */
  static constexpr base::milliseconds kEngineTimeout{2'000};
  /** Longest wait for the outcome of a command. */
  static constexpr base::milliseconds kCommandTimeout{10'000};
  static constexpr base::milliseconds kTickPeriod{50};
  static constexpr base::milliseconds kConfirmPeriod{100};
  static constexpr base::milliseconds kConfirmTimeout{1'000};

  MemberServiceHooks MakeMemberHooks(Sender send);
  ControlStateHooks MakeStateHooks();
  Leadership GetLeadership() const;
  std::vector<gen::RegionCapacity> CollectRegionCapacities() const;
  void FillStatus(gen::StatusReply *status) const;
  void ConfirmLeadership();
  void UpdatePlanner(base::TimePoint now);
  void UpdateCatalog();
  void ExecuteDecisions(const placement::Decisions &decisions);
  void StartFiber(std::function<void()> body);
  void RunCommand(const gen::PlacementCommand &command, std::uint64_t term);
  void RunOrder(const placement::Order &order, std::uint64_t term);
  void RunQuery(const placement::StateQuery &query, std::uint64_t term);
  void SendAnswer(const placement::ActivationAnswer &answer);
  bool IsPlanning(std::uint64_t term) const;

  ControlState *m_state;
  ReplicaNode *m_node = nullptr;
  Sender m_send;
  placement::PlannerSettings m_planner_settings;
  std::unique_ptr<MemberService> m_members;
  std::unique_ptr<net::HttpClientPool> m_pool;
  std::optional<placement::Planner> m_planner;
  std::uint64_t m_failed_term = 0;  ///< no planner in this term: the outcome of
                                    ///< a command is unknown
  std::uint64_t m_confirmed_term = 0;  ///< last one that a quorum confirmed
  std::optional<base::TimePoint> m_confirmed_at;  ///< when it was asked
  bool m_is_catalog_stale = true;
  config::CatalogPtr m_catalog;
  bool m_is_stopped = false;
  std::size_t m_active_fibers = 0;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_SERVICES_H_
