/** @file team_charge.cpp Charges requests to the quotas of their teams. */

#include "base/metrics_func.h"
#include "gateway/gateway_internal.h"
#include "quota/quota_type.h"

namespace wasabiwind::gateway {

namespace {

/** A control host that doesn't answer within this time may be lost, so another
 * one is asked too. */
constexpr base::milliseconds kAskNextAfter{150};
/** Longest wait for an answer, also as share of the time that a caller waits.
 * It covers the election of a leader. */
constexpr base::milliseconds kMaxChargeWait{2'000};
constexpr double kChargeWaitShare = 0.25;
constexpr std::size_t kMaxAskedHosts = 3;
/** Control hosts that declined, or were silent, are asked again after this
 * long, since they elect a leader meanwhile. */
constexpr base::milliseconds kAskAllAgainAfter{200};
/** A control host that said that a query waits is asked again after this long,
 * since its answer may be lost, or the host itself. */
constexpr base::milliseconds kAskAgainAfter{400};
/** A request waits for credit during this share of its objective. */
constexpr double kCreditWaitShare = 0.25;

void CountCharge(const char *outcome) {
  base::GetCounter("ww_quota_charges_total",
                   "Requests charged to the quota of a team, by outcome",
                   {{"outcome", outcome}})
      .Increment();
}

double GetRequestCost(const RequestScope &scope) {
  std::optional<std::uint64_t> tokens;
  if (scope.m_metadata.m_output_tokens) {
    tokens = std::uint64_t{scope.m_metadata.m_prompt_tokens} +
             *scope.m_metadata.m_output_tokens;
  }
  return quota::GetCost(*scope.m_team, tokens);
}

gen::FleetMessage MakeQuery(const RequestScope &scope, std::uint64_t number,
                            base::Duration wait) {
  gen::FleetMessage message;
  gen::QuotaQuery *query = message.mutable_quota_query();
  query->set_number(number);
  query->set_team(scope.m_team->name());
  query->set_cost(GetRequestCost(scope));
  query->set_wait_ms(static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, base::ToMilliseconds(wait))));
  query->set_exhausted_wait_ms(static_cast<std::uint32_t>(
      scope.m_route->objective_ms() * kCreditWaitShare));
  return message;
}

bool IsLimited(const RequestScope &scope) {
  return scope.m_team != nullptr && quota::HasQuota(*scope.m_team);
}

}  // namespace

/**
 * Charges a request to the quota of its team.
 * @return false if the request was refused
 * @pre AdmitCaller accepted the request
 */
bool Gateway::ChargeTeam(RequestScope *scope) {
  if (!IsLimited(*scope)) return true;
  PendingCharge charge;
  AwaitCharge(scope, &charge);
  if (charge.m_outcome == gen::QUOTA_CHARGED) {
    scope->m_charged_by = charge.m_answered_by;
    scope->m_charged_at = base::Clock::now();
  }
  if (scope->m_is_caller_gone) {
    scope->m_outcome = "caller_gone";
    RefundTeam(*scope);
    return false;
  }
  switch (charge.m_outcome) {
    case gen::QUOTA_CHARGED:
      CountCharge("charged");
      return true;
    case gen::QUOTA_EXHAUSTED:
      scope->m_pause_ends_at = base::Clock::now() + charge.m_retry_after;
      CountCharge("exhausted");
      Refuse(scope, 429, kQuotaExhaustedReason,
             "the team's quota is used up; try again later");
      return false;
    default:
      CountCharge("unavailable");
      Refuse(scope, 503, "quota_unavailable",
             "no control host could charge the team's quota; try again");
      return false;
  }
}

/** @return the control host to ask next, or "" if all were asked. */
std::string Gateway::ChooseHostToCharge(const RequestScope &scope,
                                        const PendingCharge &charge,
                                        base::TimePoint now) const {
  if (charge.m_is_pending) return charge.m_answered_by;
  if (charge.m_asked.size() >= kMaxAskedHosts) return "";
  return quota::ChooseChargeHost(m_charge_hosts, m_follower.m_choice.m_current,
                                 fleet::ListPublishers(m_follower),
                                 charge.m_asked, scope.m_request_hash, now);
}

/** Waits until a charge has an outcome or its last host declined. */
void Gateway::WaitForCharge(const PendingCharge &charge, base::TimePoint end) {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_charge_answered.wait_until(lock, end, [&charge] {
    return charge.m_outcome != gen::QUOTA_UNKNOWN || charge.m_is_declined;
  });
}

/** Asks control hosts, one after another, until one has charged or refused. */
void Gateway::AwaitCharge(RequestScope *scope, PendingCharge *charge) {
  base::TimePoint start = base::Clock::now();
  base::TimePoint end =
      start +
      std::min<base::Duration>(
          kMaxChargeWait, std::chrono::duration_cast<base::Duration>(
                              GetRemaining(*scope, start) * kChargeWaitShare));
  charge->m_number = ++m_last_charge;
  m_charges[charge->m_number] = charge;
  base::TimePoint now = start;
  while (now < end && charge->m_outcome == gen::QUOTA_UNKNOWN &&
         !scope->m_exchange->IsPeerGone()) {
    std::string host = ChooseHostToCharge(*scope, *charge, now);
    charge->m_is_declined = false;
    charge->m_is_pending = false;
    if (!host.empty()) {
      charge->m_asked.insert(host);
      charge->m_last_asked = host;
      m_sender(host, MakeQuery(*scope, charge->m_number, end - now));
    }
    base::TimePoint asked_at = now;
    if (host.empty()) charge->m_asked.clear();
    WaitForCharge(*charge, std::min(end, now + (host.empty() ? kAskAllAgainAfter
                                                             : kAskNextAfter)));
    if (charge->m_is_pending) {
      WaitForCharge(*charge, std::min(end, now + kAskAgainAfter));
    }
    now = base::Clock::now();
    // A host that can't tell, as one without a table, is avoided as well.
    // A wait that the caller's deadline cut short says nothing about a host.
    bool had_time = charge->m_is_declined || now >= asked_at + kAskNextAfter;
    bool is_silent = !host.empty() && had_time && !charge->m_is_pending &&
                     charge->m_outcome == gen::QUOTA_UNKNOWN;
    if (is_silent) quota::RecordSilentHost(&m_charge_hosts, host, now);
  }
  m_charges.erase(charge->m_number);
  if (scope->m_exchange->IsPeerGone()) scope->m_is_caller_gone = true;
}

void Gateway::HandleQuotaAnswer(const std::string &from,
                                const gen::QuotaAnswer &answer) {
  quota::RecordAnsweringHost(&m_charge_hosts, from);
  auto found = m_charges.find(answer.number());
  bool is_needed = found != m_charges.end() &&
                   found->second->m_outcome == gen::QUOTA_UNKNOWN;
  if (!is_needed) {
    // Another control host has charged the request, or it waits no longer.
    if (answer.outcome() == gen::QUOTA_CHARGED) {
      SendRefund(from, answer.team(), answer.cost(), base::Duration(0));
    }
    return;
  }
  PendingCharge *charge = found->second;
  if (answer.outcome() == gen::QUOTA_UNKNOWN) {
    charge->m_is_pending = false;
    charge->m_is_declined = from == charge->m_last_asked;
    if (charge->m_is_declined) m_charge_answered.notify_all();
    return;
  }
  charge->m_answered_by = from;
  if (answer.outcome() == gen::QUOTA_PENDING) {
    charge->m_is_pending = true;
    return;
  }
  charge->m_outcome = answer.outcome();
  charge->m_retry_after = base::milliseconds(answer.retry_after_ms());
  m_charge_answered.notify_all();
}

/** Counts a send to an upstream. The charge of a request covers one run, so a
 * send after an attempt that may have run is charged as well. */
void Gateway::RecordSend(RequestScope *scope) {
  ++scope->m_send_count;
  bool is_repeat =
      scope->m_possible_run_count > 0 && !scope->m_charged_by.empty();
  if (!is_repeat) return;
  gen::FleetMessage message =
      MakeQuery(*scope, ++m_last_charge, base::Duration(0));
  message.mutable_quota_query()->set_is_repeat(true);
  m_sender(scope->m_charged_by, message);
}

/** Gives back the credit of a request that certainly didn't run. */
void Gateway::RefundTeam(const RequestScope &scope) {
  // Only attempts that failed are counted as possible runs.
  bool may_last_have_run =
      scope.m_send_count > 0 && scope.m_attempt_end != AttemptEnd::kNotRun;
  bool may_have_run = scope.m_possible_run_count > 0 || may_last_have_run;
  if (scope.m_charged_by.empty() || may_have_run) return;
  SendRefund(scope.m_charged_by, scope.m_team->name(), GetRequestCost(scope),
             base::Clock::now() - scope.m_charged_at);
}

/** @param age time since the credit was charged */
void Gateway::SendRefund(const std::string &to, const std::string &team,
                         double cost, base::Duration age) {
  gen::FleetMessage message;
  gen::QuotaRefund *refund = message.mutable_quota_refund();
  refund->set_team(team);
  refund->set_cost(cost);
  refund->set_age_ms(static_cast<std::uint32_t>(base::ToMilliseconds(age)));
  m_sender(to, message);
}

}  // namespace wasabiwind::gateway
