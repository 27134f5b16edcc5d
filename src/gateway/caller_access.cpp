/** @file caller_access.cpp Admission of requests by the keys of teams. */

#include "access/identify_func.h"
#include "base/metrics_func.h"
#include "gateway/gateway_internal.h"

namespace wasabiwind::gateway {

namespace {

/** Longest wait for a confirmation, also as share of the time that a caller
 * waits. A host that has started or was suspended gets one within that time. */
constexpr base::milliseconds kMaxConfirmationWait{500};
constexpr double kConfirmationWaitShare = 0.4;
constexpr base::milliseconds kConfirmationPollPeriod{50};

bool RequiresConfirmation(const gen::FleetBoundsSettings &bounds) {
  return bounds.strict_revocation() == "true";
}

bool NeedsKey(const RequestScope &scope) {
  return access::HasTeams(*scope.m_routes) && !scope.m_route->is_public();
}

}  // namespace

/** @return whether keys may be accepted and refused by the current table. */
bool Gateway::IsTableConfirmed(base::TimePoint now) const {
  const gen::FleetBoundsSettings &bounds = m_settings.bounds();
  return !RequiresConfirmation(bounds) ||
         fleet::IsTableConfirmed(
             m_freshness, base::milliseconds(bounds.revocation_ms()), now);
}

void Gateway::WaitForConfirmation(RequestScope *scope) {
  base::Duration longest = kMaxConfirmationWait;
  if (scope->m_metadata.m_caller_timeout) {
    longest = std::min(longest, std::chrono::duration_cast<base::Duration>(
                                    *scope->m_metadata.m_caller_timeout *
                                    kConfirmationWaitShare));
  }
  base::TimePoint now = base::Clock::now();
  base::TimePoint end = now + longest;
  while (now < end && !IsTableConfirmed(now) && !m_is_stopped &&
         !scope->m_exchange->IsPeerGone()) {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_view_changed.wait_until(lock,
                              std::min(end, now + kConfirmationPollPeriod));
    now = base::Clock::now();
  }
}

/**
 * Identifies the caller's team.
 * @return false if the request was refused
 * @pre the route is known
 */
bool Gateway::AdmitCaller(RequestScope *scope) {
  if (!NeedsKey(*scope)) return true;
  if (!IsTableConfirmed(base::Clock::now())) {
    WaitForConfirmation(scope);
    // The confirmation is about the current table, which may be a newer one.
    if (!FindRouteOfRequest(scope)) return false;
    if (!NeedsKey(*scope)) return true;
  }
  // The clock is read after the request: a key that was revoked for longer than
  // the bound when the request was sent is refused, whatever stops this host
  // later.
  access::CallerIdentity identity = access::IdentifyCaller(
      *scope->m_routes, *scope->m_route, scope->m_metadata.m_key,
      IsTableConfirmed(base::Clock::now()));
  switch (identity.m_outcome) {
    case access::IdentityOutcome::kAccepted:
      break;
    case access::IdentityOutcome::kUnknownKey:
      Refuse(scope, 401, "unknown_key",
             "no team has this key; send a key of the current table");
      return false;
    case access::IdentityOutcome::kTableNotConfirmed:
    case access::IdentityOutcome::kEnd:
      Refuse(scope, 503, "table_not_confirmed",
             "this host can't check keys now; use another one");
      return false;
  }
  scope->m_team = identity.m_team;
  // Keys go no further than this: the request's key is made from the name.
  scope->m_metadata.m_caller = identity.m_team->name();
  return true;
}

/** @return whether the current table no longer gives the request's key to its
 * team, or isn't confirmed any more. */
bool Gateway::IsKeyRevoked(const RequestScope &scope) const {
  if (scope.m_team == nullptr || !access::HasTeams(*m_routes)) return false;
  if (!IsTableConfirmed(base::Clock::now())) return true;
  const gen::Team *team = routes::FindTeam(*m_routes, scope.m_metadata.m_key);
  return team == nullptr || team->name() != scope.m_team->name();
}

/** Queries how recent the table is, while keys are checked by it. */
void Gateway::QueryFreshness(base::TimePoint now) {
  bool is_needed = m_routes != nullptr && access::HasTeams(*m_routes) &&
                   RequiresConfirmation(m_settings.bounds());
  if (!is_needed) return;
  static prometheus::Gauge &age = base::GetGauge(
      "ww_routes_confirmation_age_seconds",
      "Time since this host's route table was known to be the newest");
  if (m_freshness.m_own_confirmed_at) {
    age.Set(std::chrono::duration<double>(now - *m_freshness.m_own_confirmed_at)
                .count());
  }
  std::set<std::string> publishers = fleet::ListPublishers(m_follower);
  SendAll(fleet::TickFreshness(
      &m_freshness, m_follower.m_choice.m_current,
      std::vector<std::string>(publishers.begin(), publishers.end()),
      fleet::kEntryFreshnessPeriod, now));
}

}  // namespace wasabiwind::gateway
