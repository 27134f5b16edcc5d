/** @file quota_service.h Quotas of teams at a control host. */

#ifndef WASABIWIND_FLEET_CONTROL_QUOTA_SERVICE_H_
#define WASABIWIND_FLEET_CONTROL_QUOTA_SERVICE_H_

#include <functional>
#include <string>

#include "quota/credit_holder_func.h"
#include "quota/team_bucket_func.h"
#include "routes/table_func.h"

namespace wasabiwind::fleet_control {

/**
 * Charges requests of entry hosts to the quotas of their teams, with credit of
 * the leader; grants that credit while this host leads. Not thread-safe: used
 * on one fiber thread.
 */
class QuotaService {
 public:
  struct Hooks {
    std::function<void(const std::string &to, const gen::FleetMessage &)>
        m_send;
    /** @return message endpoint of the leader; "" if unknown or this host. */
    std::function<std::string()> m_get_other_leader;
    /** @return whether this host leads for certain. */
    std::function<bool(base::TimePoint)> m_holds_lease;
    std::function<std::uint64_t()> m_get_term;
    std::function<routes::RouteIndexPtr()> m_get_routes;
  };

  QuotaService(quota::QuotaSettings settings, Hooks hooks);

  /** Takes over the teams of a new route table. Until the first one, no team is
   * known. */
  void HandleNewTable(base::TimePoint now);

  /** Answers a query of an entry host, at once or when there is credit. */
  void HandleQuery(const std::string &from, const gen::QuotaQuery &query,
                   base::TimePoint now);
  /** Takes back the credit of a request that certainly didn't run. */
  void HandleRefund(const gen::QuotaRefund &refund);
  /** Grants credit; ignored while this host doesn't hold the lease. */
  void HandleCreditRequest(const std::string &from,
                           const gen::CreditRequest &request,
                           base::TimePoint now);
  /** Handles the leader's answer to this host's request. */
  void HandleGrant(const gen::CreditGrant &grant, base::TimePoint now);

  /** Sends the requests that are due. Called at least every 100 ms. */
  void Tick(base::TimePoint now);

 private:
  /** Period of requests for credit ahead. */
  static constexpr base::milliseconds kRequestPeriod{100};

  const gen::Team *FindTeam(const std::string &name) const;
  void SendAll(const std::vector<fleet::OutMessage> &messages);
  void RequestCredit(base::TimePoint now);
  gen::CreditGrant Grant(const gen::CreditRequest &request,
                         base::TimePoint now);

  quota::QuotaSettings m_settings;
  Hooks m_hooks;
  routes::RouteIndexPtr m_routes;  ///< owns what m_teams points to
  std::map<std::string, const gen::Team *> m_teams;
  quota::CreditHolder m_holder;
  quota::TeamBuckets m_buckets;
  base::TimePoint m_requested_at;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_QUOTA_SERVICE_H_
