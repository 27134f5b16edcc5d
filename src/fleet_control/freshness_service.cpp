/** @file freshness_service.cpp Tells hosts how recent their route table is. */

#include "fleet_control/freshness_service.h"

#include <utility>

#include "base/random_func.h"

namespace wasabiwind::fleet_control {

FreshnessService::FreshnessService(Hooks hooks) : m_hooks(std::move(hooks)) {
  m_state.m_last_number = base::MakeSeed();
}

void FreshnessService::RecordLeadership(base::TimePoint at) {
  std::uint64_t version = m_hooks.m_get_version();
  fleet::RecordConfirmation(&m_state, fleet::Confirmation{version, at},
                            version);
}

void FreshnessService::HandleQuery(const std::string &from,
                                   const gen::FreshnessQuery &query,
                                   base::TimePoint now) {
  bool is_first = now >= m_queried_at + kQueryRetention;
  m_queried_at = now;
  gen::FleetMessage message;
  *message.mutable_freshness_answer() =
      fleet::MakeFreshnessAnswer(m_state, query, now);
  m_hooks.m_send(from, message);
  if (is_first) Tick(now);
}

void FreshnessService::HandleAnswer(const gen::FreshnessAnswer &answer,
                                    base::TimePoint now) {
  (void)fleet::HandleFreshnessAnswer(&m_state, answer, m_hooks.m_get_version(),
                                     now);
}

void FreshnessService::Tick(base::TimePoint now) {
  if (now >= m_queried_at + kQueryRetention) return;
  for (const fleet::OutMessage &out :
       fleet::TickFreshness(&m_state, m_hooks.m_get_other_leader(), {},
                            fleet::kControlFreshnessPeriod, now)) {
    m_hooks.m_send(out.m_to, out.m_message);
  }
}

}  // namespace wasabiwind::fleet_control
