/** @file placement_test_helpers.h Catalogs, runners and a log for tests. */

#ifndef WASABIWIND_TESTS_PLACEMENT_TEST_HELPERS_H_
#define WASABIWIND_TESTS_PLACEMENT_TEST_HELPERS_H_

#include <deque>
#include <string>

#include "placement/ledger_cmd.h"
#include "placement/planner_func.h"

namespace wasabiwind::placement {

constexpr std::int64_t kGib = 1LL << 30;

/** Adds model mNAME and deployment NAME to declarations. */
inline gen::Deployment *AddDeployment(gen::Declarations *all,
                                      const std::string &name,
                                      std::int64_t bytes, int max_replicas) {
  gen::Model *model = all->add_model();
  model->set_name("m" + name);
  model->set_version("1");
  model->set_weight_bytes(bytes);
  model->set_memory_bytes(bytes);
  gen::Deployment *deployment = all->add_deployment();
  deployment->set_name(name);
  deployment->set_model(model->name());
  deployment->add_regions("near");
  deployment->add_regions("far");
  deployment->set_max_replicas(max_replicas);
  deployment->set_max_per_domain(1);
  deployment->set_idle_after_ms(600'000);
  deployment->set_engine_fencing("checked");
  return deployment;
}

inline gen::UpstreamRecord MakeRunner(const std::string &name,
                                      const std::string &region,
                                      const std::string &domain,
                                      std::int64_t bytes) {
  gen::UpstreamRecord record;
  record.set_upstream(name);
  record.set_kind("engine");
  record.set_incarnation(1);
  record.set_address(name);
  record.set_region(region);
  record.set_domain(domain);
  record.set_memory_bytes(bytes);
  return record;
}

inline gen::ActivationRequest MakeActivation(const std::string &deployment,
                                             std::int64_t deadline_ms) {
  gen::ActivationRequest request;
  request.set_deployment(deployment);
  request.set_deadline_ms(deadline_ms);
  request.set_waiting(1);
  return request;
}

/** A leader with a log that commits at once, and engines that execute orders
 * at once; a load takes `m_load_time`. */
class Leader {
 public:
  explicit Leader(const gen::Declarations &all, PlannerSettings settings = {})
      : m_settings(settings) {
    Decisions decisions;
    m_planner =
        MakePlanner(settings, 1, config::BuildCatalog(all, base::Revision(1)),
                    m_now, &decisions);
    CarryOut(decisions);
  }

  void Add(const gen::UpstreamRecord &record) {
    OnUpstream(&m_planner, record, m_now);
  }

  void RequestActivation(const gen::ActivationRequest &request,
                         const std::string &node = "entry-1") {
    CarryOut(OnActivationRequest(&m_planner, m_ledger, node, request, m_now));
  }

  /** Advances the time in steps of 50 ms. */
  void Advance(base::milliseconds duration) {
    base::TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now += base::milliseconds(50);
      CarryOut(OnTimer(&m_planner, m_ledger, m_now));
    }
  }

  /** @return grants of a scope in a state. */
  int Count(const std::string &scope, gen::GrantState state) const {
    int count = 0;
    for (std::uint64_t id : GetScopeGrants(m_ledger, scope)) {
      if (m_ledger.m_grants.at(id).state() == state) ++count;
    }
    return count;
  }

  PlannerSettings m_settings;
  base::TimePoint m_now = base::TimePoint(std::chrono::hours(1));
  Planner m_planner;
  Ledger m_ledger;
  base::milliseconds m_load_time{1'000};
  std::vector<Order> m_orders;  ///< all that were sent
  std::vector<base::TimePoint> m_order_times;
  std::vector<ActivationAnswer> m_answers;  ///< all that were given
  /** When each target is loaded, by runner and target. */
  std::map<std::string, std::map<std::string, base::TimePoint>> m_entries;

 private:
  void CarryOut(const Decisions &decisions) {
    std::deque<Decisions> open = {decisions};
    while (!open.empty()) {
      Decisions next = std::move(open.front());
      open.pop_front();
      m_answers.insert(m_answers.end(), next.m_answers.begin(),
                       next.m_answers.end());
      for (const gen::PlacementCommand &command : next.m_commands) {
        bool is_accepted = ExecuteCommand(&m_ledger, command).has_value();
        open.push_back(
            OnCommand(&m_planner, m_ledger, command, is_accepted, m_now));
      }
      for (const Order &order : next.m_orders) {
        Execute(order);
        open.push_back(OnOrderResult(
            &m_planner, m_ledger,
            {order.m_order_id, order.m_grant_id, OrderOutcome::kAccepted},
            m_now));
      }
      for (const StateQuery &query : next.m_queries) {
        open.push_back(
            OnStateReport(&m_planner, m_ledger, MakeReport(query), m_now));
      }
    }
  }

  void Execute(const Order &order) {
    m_orders.push_back(order);
    m_order_times.push_back(m_now);
    auto &entries = m_entries[order.m_runner];
    if (order.m_action == OrderAction::kLoad) {
      entries.emplace(order.m_target, m_now + m_load_time);
    } else {
      entries.erase(order.m_target);
    }
  }

  StateReport MakeReport(const StateQuery &query) {
    StateReport report;
    report.m_runner = query.m_runner;
    report.m_asked_at = query.m_asked_at;
    report.m_incarnation =
        m_planner.m_runners[query.m_runner].m_record.incarnation();
    report.m_running = 0;
    for (const auto &[target, ready_at] : m_entries[query.m_runner]) {
      report.m_entries[target] =
          ready_at <= m_now ? TargetState::kLoaded : TargetState::kLoading;
    }
    return report;
  }
};

}  // namespace wasabiwind::placement

#endif  // WASABIWIND_TESTS_PLACEMENT_TEST_HELPERS_H_
