/** @file fleet_residency_fixture.h A small fleet for planner tests. */

#ifndef WASABIWIND_TESTS_FLEET_RESIDENCY_FIXTURE_H_
#define WASABIWIND_TESTS_FLEET_RESIDENCY_FIXTURE_H_

#include <string>

#include "fleet/residency_func.h"

namespace wasabiwind::fleet {

inline constexpr const char *kPublisher = "10.0.0.1:7000";
inline constexpr const char *kEntryHost = "entry-1";

inline base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::seconds(100)) +
         std::chrono::milliseconds(ms);
}

/** Service "llm", whose runners have room for two models and two adapters. */
inline gen::RouteTable MakeModelTable(int models) {
  gen::RouteTable table;
  table.set_version(1);
  gen::RoutedService *service = table.add_services();
  service->set_name("llm");
  gen::EngineCapacity *engine = service->mutable_engine();
  engine->set_weight_mb(202);
  engine->set_adapter_slots(2);
  engine->set_loads_per_second(1);
  for (int i = 0; i < models; ++i) {
    gen::HostedModel *model = engine->add_models();
    model->set_name("m" + std::to_string(i));
    model->set_weight_mb(100);
    model->set_store_load_ms(6'000);
    model->set_disk_load_ms(500);
    model->set_memory_load_ms(300);
    model->set_adapters(i == 0 ? 4 : 0);
    model->set_adapter_mb(1);
  }
  return table;
}

inline gen::Fact MakeRunner(const std::string &id, std::uint64_t number,
                            const std::vector<std::string> &models) {
  gen::Fact fact;
  gen::UpstreamReport *report = fact.mutable_upstream();
  report->set_id(id);
  report->set_born_ms(5);
  report->set_report_number(number);
  report->set_service("llm");
  report->set_address("10.1.0.1:" + id.substr(2));
  for (const std::string &model : models) {
    report->add_models()->set_name(model);
    report->add_on_disk(model);
  }
  return fact;
}

inline gen::UseReport MakeUse(const std::string &model,
                              const std::string &adapter,
                              std::uint32_t waiting) {
  gen::UseReport report;
  report.set_entry(kEntryHost);
  gen::TargetUse *use = report.add_uses();
  use->set_service("llm");
  use->set_model(model);
  use->set_adapter(adapter);
  use->set_arrivals(1);
  use->set_waiting(waiting);
  return report;
}

/** A planner with a view of one publisher's facts. */
struct PlannerFixture {
  explicit PlannerFixture(int models)
      : m_routes(routes::MakeRouteIndex(MakeModelTable(models))) {}

  void Report(const gen::Fact &fact, base::TimePoint now) {
    m_view.m_publishers[kPublisher].m_heard_at = now;
    ApplyFact(&m_view, kPublisher, fact, now);
  }

  ResidencyActions Plan(base::TimePoint now) {
    m_view.m_publishers[kPublisher].m_heard_at = now;
    return PlanResidency(&m_planner, m_view, *m_routes, /*term=*/1,
                         /*plans_preloads=*/true, now);
  }

  void AnswerStatusQuery(const std::string &id, std::uint64_t accepted,
                         base::TimePoint now,
                         std::vector<std::string> targets = {}) {
    RecordStatus(
        &m_planner, id,
        StatusQueryResult{true, 5, accepted, false, std::move(targets)}, now);
  }

  ResidencyPlanner m_planner;
  FleetView m_view;
  routes::RouteIndexPtr m_routes;
};

}  // namespace wasabiwind::fleet

#endif  // WASABIWIND_TESTS_FLEET_RESIDENCY_FIXTURE_H_
