/** @file quota_service.cpp Quotas of teams at a control host. */

#include "fleet_control/quota_service.h"

#include <utility>

#include "base/metrics_func.h"
#include "base/random_func.h"

namespace wasabiwind::fleet_control {

namespace {

void CountCredit(const char *outcome, int count) {
  if (count == 0) return;
  base::GetCounter("ww_quota_credit_total",
                   "Requests for credit that this leader decided, by outcome",
                   {{"outcome", outcome}})
      .Increment(count);
}

}  // namespace

QuotaService::QuotaService(quota::QuotaSettings settings, Hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)) {
  m_holder.m_last_number = base::MakeSeed();
}

void QuotaService::HandleNewTable(base::TimePoint now) {
  m_routes = m_hooks.m_get_routes();
  m_teams.clear();
  for (const gen::Team &team : m_routes->m_table.teams()) {
    m_teams[team.name()] = &team;
  }
  quota::SetQuotas(&m_buckets, m_routes->m_table, m_settings, now);
  SendAll(quota::SetTeams(&m_holder, m_teams));
}

const gen::Team *QuotaService::FindTeam(const std::string &name) const {
  auto found = m_teams.find(name);
  return found == m_teams.end() ? nullptr : found->second;
}

void QuotaService::SendAll(const std::vector<fleet::OutMessage> &messages) {
  for (const fleet::OutMessage &out : messages) {
    m_hooks.m_send(out.m_to, out.m_message);
  }
}

void QuotaService::HandleQuery(const std::string &from,
                               const gen::QuotaQuery &query,
                               base::TimePoint now) {
  bool knows_leader =
      m_hooks.m_holds_lease(now) || !m_hooks.m_get_other_leader().empty();
  SendAll(quota::HandleQuotaQuery(&m_holder, from, query,
                                  FindTeam(query.team()), knows_leader, now));
  if (m_holder.m_is_request_urgent) RequestCredit(now);
}

void QuotaService::HandleRefund(const gen::QuotaRefund &refund) {
  quota::HandleQuotaRefund(&m_holder, refund, FindTeam(refund.team()),
                           m_settings);
}

gen::CreditGrant QuotaService::Grant(const gen::CreditRequest &request,
                                     base::TimePoint now) {
  quota::StartTerm(&m_buckets, m_hooks.m_get_term(), now);
  for (const gen::TeamCredit &credit : request.returned()) {
    quota::ReturnCredit(&m_buckets, credit.team(), credit.amount(), now);
  }
  for (const gen::TeamCredit &credit : request.repeats()) {
    quota::ChargeRepeat(&m_buckets, credit.team(), credit.amount(), now);
  }
  gen::CreditGrant grant;
  grant.set_number(request.number());
  int granted_count = 0;
  for (const gen::TeamCredit &wanted : request.wanted()) {
    quota::GrantResult result = quota::GrantCredit(
        &m_buckets, wanted.team(), wanted.amount(), !wanted.is_ahead(), now);
    gen::TeamCredit *credit = grant.add_granted();
    credit->set_team(wanted.team());
    credit->set_amount(result.m_is_granted ? wanted.amount() : 0);
    credit->set_retry_after_ms(
        static_cast<std::uint32_t>(result.m_retry_after.count()));
    granted_count += result.m_is_granted ? 1 : 0;
  }
  CountCredit("granted", granted_count);
  CountCredit("exhausted", request.wanted_size() - granted_count);
  return grant;
}

void QuotaService::HandleCreditRequest(const std::string &from,
                                       const gen::CreditRequest &request,
                                       base::TimePoint now) {
  // Without the lease another leader may grant the same credit.
  if (!m_hooks.m_holds_lease(now)) return;
  gen::FleetMessage message;
  *message.mutable_credit_grant() = Grant(request, now);
  m_hooks.m_send(from, message);
}

void QuotaService::HandleGrant(const gen::CreditGrant &grant,
                               base::TimePoint now) {
  SendAll(quota::HandleCreditGrant(&m_holder, grant, m_teams, m_settings, now));
}

void QuotaService::RequestCredit(base::TimePoint now) {
  bool is_leader = m_hooks.m_holds_lease(now);
  std::string leader = m_hooks.m_get_other_leader();
  if (!is_leader && leader.empty()) return;
  std::optional<gen::CreditRequest> request =
      quota::MakeCreditRequest(&m_holder, m_teams, m_settings, now);
  m_requested_at = now;
  if (!request) return;
  if (is_leader) {
    HandleGrant(Grant(*request, now), now);
    return;
  }
  gen::FleetMessage message;
  *message.mutable_credit_request() = std::move(*request);
  m_hooks.m_send(leader, message);
}

void QuotaService::Tick(base::TimePoint now) {
  if (m_teams.empty()) return;
  SendAll(quota::ExpireCredit(&m_holder, now));
  bool is_due =
      m_holder.m_is_request_urgent || now >= m_requested_at + kRequestPeriod;
  if (is_due) RequestCredit(now);
}

}  // namespace wasabiwind::fleet_control
