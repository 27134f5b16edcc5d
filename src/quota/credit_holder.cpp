/** @file credit_holder.cpp Credit of teams at one control host, for its entry
 * hosts. */

#include <cmath>

#include "quota/credit_holder_func.h"
#include "quota/team_bucket_func.h"

namespace wasabiwind::quota {

namespace {

/** Time constant of the mean demand. */
constexpr double kDemandDecayS = 2.0;
constexpr double kMeanCostWeight = 0.1;  ///< of the newest request
/** Credit ahead covers the demand of this share of its lifetime. */
constexpr double kAheadShare = 0.5;
/** No credit ahead is requested for less demand than this many requests within
 * a lifetime: most of it would expire. */
constexpr double kMinAheadRequests = 2;
/** Lots go back to the leader in the last part of their lifetime. */
constexpr double kReturnShare = 0.3;

fleet::OutMessage MakeAnswer(const std::string &to, std::uint64_t number,
                             gen::QuotaOutcome outcome,
                             base::milliseconds retry_after) {
  fleet::OutMessage out;
  out.m_to = to;
  gen::QuotaAnswer *answer = out.m_message.mutable_quota_answer();
  answer->set_number(number);
  answer->set_outcome(outcome);
  answer->set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
  return out;
}

fleet::OutMessage MakeChargedAnswer(const std::string &to, std::uint64_t number,
                                    const std::string &team, double cost) {
  fleet::OutMessage out = MakeAnswer(to, number, gen::QUOTA_CHARGED, {});
  gen::QuotaAnswer *answer = out.m_message.mutable_quota_answer();
  answer->set_team(team);
  answer->set_cost(cost);
  return out;
}

void RecordDemand(TeamCreditState *state, double cost, base::TimePoint now) {
  double passed_s =
      std::chrono::duration<double>(now - state->m_demand_at).count();
  bool is_first = state->m_demand_at == base::TimePoint();
  state->m_demand_per_s *= is_first ? 0 : std::exp(-passed_s / kDemandDecayS);
  state->m_demand_per_s += cost / kDemandDecayS;
  state->m_demand_at = now;
  state->m_mean_cost += kMeanCostWeight * (cost - state->m_mean_cost);
  if (is_first) state->m_mean_cost = cost;
}

double GetDemand(const TeamCreditState &state, base::TimePoint now) {
  double passed_s =
      std::chrono::duration<double>(now - state.m_demand_at).count();
  return state.m_demand_per_s * std::exp(-passed_s / kDemandDecayS);
}

void DropExpiredLots(TeamCreditState *state, base::TimePoint now) {
  while (!state->m_lots.empty() && state->m_lots.front().m_expires_at <= now) {
    state->m_lots.pop_front();
  }
}

double SumLots(const TeamCreditState &state) {
  double sum = 0;
  for (const CreditLot &lot : state.m_lots) sum += lot.m_amount;
  return sum;
}

/** Spends credit of the oldest lots. @pre the lots hold as much */
void SpendLots(TeamCreditState *state, double cost) {
  while (cost > 0 && !state->m_lots.empty()) {
    CreditLot &lot = state->m_lots.front();
    double part = std::min(cost, lot.m_amount);
    lot.m_amount -= part;
    cost -= part;
    if (lot.m_amount <= 0) state->m_lots.pop_front();
  }
}

bool TrySpendLots(TeamCreditState *state, double cost, base::TimePoint now) {
  DropExpiredLots(state, now);
  if (SumLots(*state) < cost) return false;
  SpendLots(state, cost);
  return true;
}

/** Adds a lot in the order of expiry: grants may come in another order than
 * their requests left, and a changed quota changes the lifetime. */
void AddLot(TeamCreditState *state, const CreditLot &lot) {
  auto next =
      std::upper_bound(state->m_lots.begin(), state->m_lots.end(), lot,
                       [](const CreditLot &left, const CreditLot &right) {
                         return left.m_expires_at < right.m_expires_at;
                       });
  state->m_lots.insert(next, lot);
}

/** Adds the amounts that the waiting queries of a team need. */
void WantForWaiting(const std::string &name, TeamCreditState *state,
                    SentCreditRequest *request, base::TimePoint now) {
  for (WaitingQuery &query : state->m_waiting) {
    if (query.m_credit_request != 0 || now < query.m_ask_at) continue;
    query.m_credit_request = request->m_number;
    request->m_wanted.push_back(
        WantedCredit{name, query.m_cost, query.m_number, query.m_from});
  }
}

/** Adds credit ahead for a team with enough demand. */
void WantAhead(const CreditHolder &holder, const std::string &name,
               const TeamCreditState &state, base::milliseconds lifetime,
               SentCreditRequest *request, base::TimePoint now) {
  double lifetime_s = std::chrono::duration<double>(lifetime).count();
  double demand = GetDemand(state, now) * lifetime_s;
  bool is_little =
      demand <= 0 || demand < kMinAheadRequests * state.m_mean_cost;
  if (is_little) return;
  if (now < state.m_exhausted_until) return;
  double missing = demand * kAheadShare - SumLots(state);
  for (const SentCreditRequest &sent : holder.m_sent) {
    for (const WantedCredit &wanted : sent.m_wanted) {
      bool is_ahead = wanted.m_query == 0 && wanted.m_team == name;
      if (is_ahead) missing -= wanted.m_amount;
    }
  }
  if (missing < state.m_mean_cost) return;
  request->m_wanted.push_back(WantedCredit{name, missing, 0, ""});
}

/** Takes lots that are about to expire out of use. They go back. */
void TakeOldLots(TeamCreditState *state, base::milliseconds lifetime,
                 base::TimePoint now) {
  auto margin =
      std::chrono::duration_cast<base::Duration>(lifetime * kReturnShare);
  while (!state->m_lots.empty() &&
         state->m_lots.front().m_expires_at <= now + margin) {
    state->m_returned += state->m_lots.front().m_amount;
    state->m_lots.pop_front();
  }
}

gen::TeamCredit *FillCredit(gen::TeamCredit *credit, const std::string &team,
                            double amount) {
  credit->set_team(team);
  credit->set_amount(amount);
  return credit;
}

/** @return the query that a credit request was for, or nullptr if it no longer
 * waits */
WaitingQuery *FindWaiting(CreditHolder *holder, const WantedCredit &wanted,
                          std::uint64_t request) {
  std::deque<WaitingQuery> &waiting = holder->m_teams[wanted.m_team].m_waiting;
  auto found = std::find_if(waiting.begin(), waiting.end(),
                            [&wanted, request](const WaitingQuery &query) {
                              return query.m_credit_request == request &&
                                     query.m_number == wanted.m_query &&
                                     query.m_from == wanted.m_query_from;
                            });
  return found == waiting.end() ? nullptr : &*found;
}

void EraseWaiting(CreditHolder *holder, TeamCreditState *state,
                  const WaitingQuery *query) {
  auto found = std::find_if(
      state->m_waiting.begin(), state->m_waiting.end(),
      [query](const WaitingQuery &item) { return &item == query; });
  state->m_waiting.erase(found);
  --holder->m_waiting_count;
}

/** Handles the leader's decision on a waiting query. @return its answer, unless
 * the leader is asked again */
std::optional<fleet::OutMessage> DecideWaiting(
    CreditHolder *holder, const std::string &team, TeamCreditState *state,
    WaitingQuery *query, bool is_granted, base::milliseconds retry_after,
    base::TimePoint now) {
  bool may_wait =
      !is_granted &&
      now + retry_after < std::min(query->m_refused_at, query->m_ends_at);
  if (may_wait) {
    query->m_credit_request = 0;
    query->m_ask_at = now + retry_after;
    return std::nullopt;
  }
  fleet::OutMessage answer =
      is_granted ? MakeChargedAnswer(query->m_from, query->m_number, team,
                                     query->m_cost)
                 : MakeAnswer(query->m_from, query->m_number,
                              gen::QUOTA_EXHAUSTED, retry_after);
  EraseWaiting(holder, state, query);
  return answer;
}

/** Lets the queries of a credit request be asked for again. */
void ForgetCreditRequest(CreditHolder *holder, std::uint64_t number) {
  for (auto &[name, state] : holder->m_teams) {
    for (WaitingQuery &query : state.m_waiting) {
      if (query.m_credit_request == number) query.m_credit_request = 0;
    }
  }
}

}  // namespace

std::vector<fleet::OutMessage> SetTeams(
    CreditHolder *holder,
    const std::map<std::string, const gen::Team *> &table) {
  std::vector<fleet::OutMessage> answers;
  std::erase_if(holder->m_teams, [&](const auto &item) {
    auto team = table.find(item.first);
    bool is_declared = team != table.end();
    if (is_declared && HasQuota(*team->second)) return false;
    for (const WaitingQuery &query : item.second.m_waiting) {
      answers.push_back(MakeAnswer(
          query.m_from, query.m_number,
          is_declared ? gen::QUOTA_CHARGED : gen::QUOTA_UNKNOWN, {}));
      --holder->m_waiting_count;
    }
    return true;
  });
  return answers;
}

std::vector<fleet::OutMessage> HandleQuotaQuery(
    CreditHolder *holder, const std::string &from, const gen::QuotaQuery &query,
    const gen::Team *team, bool knows_leader, base::TimePoint now) {
  // A host that has just started may lack the table, so it can't tell whether
  // the team has a quota.
  bool is_chargeable = team != nullptr && IsValidAmount(query.cost());
  bool is_limited = is_chargeable && HasQuota(*team);
  if (!is_limited) {
    if (query.is_repeat()) return {};
    return {MakeAnswer(from, query.number(),
                       is_chargeable ? gen::QUOTA_CHARGED : gen::QUOTA_UNKNOWN,
                       {})};
  }
  TeamCreditState &state = holder->m_teams[query.team()];
  // The sender may have missed an answer, so it asks again.
  bool is_waiting = std::any_of(state.m_waiting.begin(), state.m_waiting.end(),
                                [&](const WaitingQuery &item) {
                                  return item.m_from == from &&
                                         item.m_number == query.number();
                                });
  if (is_waiting) {
    return {MakeAnswer(from, query.number(), gen::QUOTA_PENDING, {})};
  }
  double cost = query.cost();
  RecordDemand(&state, cost, now);
  bool is_charged = state.m_waiting.empty() && TrySpendLots(&state, cost, now);
  if (query.is_repeat()) {
    if (!is_charged) state.m_repeats += cost;
    return {};
  }
  if (is_charged) {
    return {MakeChargedAnswer(from, query.number(), query.team(), cost)};
  }
  base::TimePoint refused_at =
      now + base::milliseconds(query.exhausted_wait_ms());
  if (refused_at < state.m_exhausted_until) {
    return {MakeAnswer(
        from, query.number(), gen::QUOTA_EXHAUSTED,
        std::chrono::ceil<base::milliseconds>(state.m_exhausted_until - now))};
  }
  if (!knows_leader || holder->m_waiting_count >= kMaxWaitingQueries) {
    return {MakeAnswer(from, query.number(), gen::QUOTA_UNKNOWN, {})};
  }
  state.m_waiting.push_back(WaitingQuery{
      from, query.number(), cost, now + base::milliseconds(query.wait_ms()),
      refused_at, std::max(now, state.m_exhausted_until), 0});
  ++holder->m_waiting_count;
  if (now >= state.m_exhausted_until) holder->m_is_request_urgent = true;
  return {MakeAnswer(from, query.number(), gen::QUOTA_PENDING, {})};
}

void HandleQuotaRefund(CreditHolder *holder, const gen::QuotaRefund &refund,
                       const gen::Team *team, const QuotaSettings &settings) {
  bool is_valid =
      team != nullptr && HasQuota(*team) && IsValidAmount(refund.cost());
  if (!is_valid) return;
  // The bucket has filled up since older charges, so their credit is gone.
  bool is_recent =
      base::milliseconds(refund.age_ms()) <= GetCreditLifetime(*team, settings);
  if (is_recent) {
    holder->m_teams[refund.team()].m_returned += refund.cost();
  }
}

std::optional<gen::CreditRequest> MakeCreditRequest(
    CreditHolder *holder, const std::map<std::string, const gen::Team *> &table,
    const QuotaSettings &settings, base::TimePoint now) {
  holder->m_is_request_urgent = false;
  SentCreditRequest sent;
  sent.m_number = holder->m_last_number + 1;
  sent.m_sent_at = now;
  gen::CreditRequest request;
  for (auto &[name, state] : holder->m_teams) {
    auto team = table.find(name);
    if (team == table.end() || !HasQuota(*team->second)) continue;
    base::milliseconds lifetime = GetCreditLifetime(*team->second, settings);
    DropExpiredLots(&state, now);
    TakeOldLots(&state, lifetime, now);
    WantForWaiting(name, &state, &sent, now);
    WantAhead(*holder, name, state, lifetime, &sent, now);
    if (state.m_returned > 0) {
      FillCredit(request.add_returned(), name, state.m_returned);
    }
    if (state.m_repeats > 0) {
      FillCredit(request.add_repeats(), name, state.m_repeats);
    }
    state.m_returned = 0;
    state.m_repeats = 0;
  }
  bool is_empty = sent.m_wanted.empty() && request.returned_size() == 0 &&
                  request.repeats_size() == 0;
  if (is_empty) return std::nullopt;
  request.set_number(sent.m_number);
  for (const WantedCredit &wanted : sent.m_wanted) {
    gen::TeamCredit *credit =
        FillCredit(request.add_wanted(), wanted.m_team, wanted.m_amount);
    credit->set_is_ahead(wanted.m_query == 0);
  }
  holder->m_last_number = sent.m_number;
  if (!sent.m_wanted.empty()) holder->m_sent.push_back(std::move(sent));
  if (holder->m_sent.size() > kMaxSentCreditRequests) {
    ForgetCreditRequest(holder, holder->m_sent.front().m_number);
    holder->m_sent.pop_front();
  }
  return request;
}

std::vector<fleet::OutMessage> HandleCreditGrant(
    CreditHolder *holder, const gen::CreditGrant &grant,
    const std::map<std::string, const gen::Team *> &table,
    const QuotaSettings &settings, base::TimePoint now) {
  std::vector<fleet::OutMessage> answers;
  auto sent = std::find_if(holder->m_sent.begin(), holder->m_sent.end(),
                           [&grant](const SentCreditRequest &item) {
                             return item.m_number == grant.number();
                           });
  if (sent == holder->m_sent.end()) return answers;
  SentCreditRequest request = std::move(*sent);
  holder->m_sent.erase(sent);
  auto count = std::min<std::size_t>(
      request.m_wanted.size(), static_cast<std::size_t>(grant.granted_size()));
  for (std::size_t i = 0; i < count; ++i) {
    const WantedCredit &wanted = request.m_wanted[i];
    const gen::TeamCredit &credit = grant.granted(static_cast<int>(i));
    auto team = table.find(wanted.m_team);
    if (team == table.end()) continue;
    base::TimePoint expires_at =
        request.m_sent_at + (HasQuota(*team->second)
                                 ? GetCreditLifetime(*team->second, settings)
                                 : kMaxCreditLifetime);
    if (now >= expires_at) continue;  // A waiting query is asked for again.
    TeamCreditState &state = holder->m_teams[wanted.m_team];
    bool is_granted = credit.amount() >= wanted.m_amount;
    base::milliseconds retry_after(credit.retry_after_ms());
    // A request that no bucket can hold says nothing about smaller ones.
    bool is_used_up =
        !is_granted && wanted.m_query != 0 && retry_after < kMaxRetryAfter;
    if (is_used_up) {
      state.m_exhausted_until =
          now + std::min<base::milliseconds>(retry_after, kMaxExhaustedPause);
    }
    if (wanted.m_query == 0) {
      bool has_room = state.m_lots.size() < kMaxCreditLots;
      if (is_granted && has_room) {
        AddLot(&state, CreditLot{wanted.m_amount, expires_at});
      } else if (is_granted) {
        state.m_returned += wanted.m_amount;
      }
    } else if (WaitingQuery *query =
                   FindWaiting(holder, wanted, request.m_number)) {
      auto answer = DecideWaiting(holder, wanted.m_team, &state, query,
                                  is_granted, retry_after, now);
      if (answer) answers.push_back(std::move(*answer));
    } else if (is_granted) {
      state.m_returned += wanted.m_amount;
    }
  }
  ForgetCreditRequest(holder, request.m_number);
  return answers;
}

std::vector<fleet::OutMessage> ExpireCredit(CreditHolder *holder,
                                            base::TimePoint now) {
  std::vector<fleet::OutMessage> answers;
  while (!holder->m_sent.empty() &&
         now >= holder->m_sent.front().m_sent_at + kCreditRequestTimeout) {
    ForgetCreditRequest(holder, holder->m_sent.front().m_number);
    holder->m_sent.pop_front();
  }
  for (auto &[name, state] : holder->m_teams) {
    DropExpiredLots(&state, now);
    std::erase_if(state.m_waiting, [&](const WaitingQuery &query) {
      if (now < query.m_ends_at) return false;
      answers.push_back(
          MakeAnswer(query.m_from, query.m_number, gen::QUOTA_UNKNOWN, {}));
      --holder->m_waiting_count;
      return true;
    });
    bool is_unasked =
        holder->m_sent.empty() &&
        std::any_of(
            state.m_waiting.begin(), state.m_waiting.end(),
            [now](const WaitingQuery &query) { return now >= query.m_ask_at; });
    if (is_unasked) holder->m_is_request_urgent = true;
  }
  return answers;
}

}  // namespace wasabiwind::quota
