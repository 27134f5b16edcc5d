/** @file freshness.cpp How recently a route table was known to be the newest.
 */

#include <algorithm>
#include <limits>

#include "fleet/freshness_func.h"

namespace wasabiwind::fleet {

namespace {

OutMessage MakeQuery(FreshnessState *state, const std::string &to,
                     base::TimePoint now) {
  OutMessage out;
  out.m_to = to;
  std::uint64_t number = ++state->m_last_number;
  out.m_message.mutable_freshness_query()->set_number(number);
  state->m_sent.push_back(SentFreshnessQuery{number, now});
  if (state->m_sent.size() > kMaxSentFreshnessQueries) {
    state->m_sent.pop_front();
  }
  return out;
}

}  // namespace

std::vector<OutMessage> TickFreshness(FreshnessState *state,
                                      const std::string &first,
                                      const std::vector<std::string> &others,
                                      base::milliseconds period,
                                      base::TimePoint now) {
  std::vector<OutMessage> messages;
  bool is_first = state->m_asked_at == base::TimePoint();
  if (!is_first && now < state->m_asked_at + period) return messages;
  if (is_first) state->m_answered_at = now;
  state->m_asked_at = now;
  if (!first.empty()) messages.push_back(MakeQuery(state, first, now));
  bool is_silent = now >= state->m_answered_at + kFreshnessSilence;
  if (is_silent && !others.empty()) {
    const std::string &other = others[state->m_asked_count++ % others.size()];
    if (other != first) messages.push_back(MakeQuery(state, other, now));
  }
  return messages;
}

void RecordConfirmation(FreshnessState *state, const Confirmation &confirmation,
                        std::uint64_t own_version) {
  if (!state->m_newest || confirmation.m_at > state->m_newest->m_at) {
    state->m_newest = confirmation;
  }
  if (confirmation.m_version > own_version) {
    state->m_pending.push_back(confirmation);
    if (state->m_pending.size() > kMaxPendingConfirmations) {
      state->m_pending.pop_front();
    }
    return;
  }
  state->m_own_confirmed_at = std::max(
      state->m_own_confirmed_at.value_or(confirmation.m_at), confirmation.m_at);
}

bool HandleFreshnessAnswer(FreshnessState *state,
                           const gen::FreshnessAnswer &answer,
                           std::uint64_t own_version, base::TimePoint now) {
  auto sent = std::find_if(state->m_sent.begin(), state->m_sent.end(),
                           [&answer](const SentFreshnessQuery &query) {
                             return query.m_number == answer.number();
                           });
  if (sent == state->m_sent.end()) return false;
  Confirmation confirmation;
  confirmation.m_version = answer.routes_version();
  confirmation.m_at = sent->m_sent_at - base::milliseconds(answer.age_ms());
  state->m_sent.erase(sent);
  if (answer.is_unknown()) return false;
  // A control host that has lost the leader goes on answering, with ages that
  // grow. Others are queried too then.
  if (now < confirmation.m_at + kFreshnessSilence) state->m_answered_at = now;
  RecordConfirmation(state, confirmation, own_version);
  return true;
}

void HandleAdoptedTable(FreshnessState *state, std::uint64_t own_version) {
  std::deque<Confirmation> pending;
  pending.swap(state->m_pending);
  for (const Confirmation &confirmation : pending) {
    RecordConfirmation(state, confirmation, own_version);
  }
}

gen::FreshnessAnswer MakeFreshnessAnswer(const FreshnessState &state,
                                         const gen::FreshnessQuery &query,
                                         base::TimePoint now) {
  gen::FreshnessAnswer answer;
  answer.set_number(query.number());
  if (!state.m_newest) {
    answer.set_is_unknown(true);
    return answer;
  }
  // Rounds up: an age must never be understated.
  std::int64_t age_ms =
      std::chrono::ceil<base::milliseconds>(now - state.m_newest->m_at).count();
  answer.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age_ms, 0, std::numeric_limits<std::uint32_t>::max())));
  answer.set_routes_version(state.m_newest->m_version);
  return answer;
}

bool IsTableConfirmed(const FreshnessState &state,
                      base::milliseconds revocation_time, base::TimePoint now) {
  if (!state.m_own_confirmed_at) return false;
  auto limit = std::chrono::duration_cast<base::Duration>(revocation_time *
                                                          kRevocationShare);
  return now < *state.m_own_confirmed_at + limit;
}

}  // namespace wasabiwind::fleet
