/** @file gateway_load.cpp Books of the load of runners: asking and telling. */

#include <algorithm>

#include "base/metrics_func.h"
#include "gateway/gateway_internal.h"

namespace wasabiwind::gateway {

namespace {

/** Candidates whose score is worse by this aren't asked about. */
constexpr double kAskedSpreadMs = 300;
constexpr std::size_t kMostAsked = 4;
/** Longest wait for books of runners of this region, and of others. */
constexpr base::milliseconds kNearBookWait{10};
constexpr base::milliseconds kFarBookWait{32};

void CountBooks(const char *outcome, int count) {
  base::GetCounter("ww_load_books_total",
                   "Books of runners that were asked, by outcome",
                   {{"outcome", outcome}})
      .Increment(count);
}

template <typename Message>
void AddPrompt(const RequestMetadata &facts,
               const std::vector<std::uint64_t> &keys, Message *message) {
  for (std::uint64_t key : keys) message->add_chain_keys(key);
  for (const PromptPart &part : facts.m_parts) {
    message->add_part_tokens(part.m_tokens);
  }
}

/** Puts the candidates that are worth a question first. @return how many */
std::size_t SelectAsked(std::vector<Candidate> *list) {
  std::sort(list->begin(), list->end(),
            [](const Candidate &a, const Candidate &b) {
              return GetScore(a) < GetScore(b);
            });
  std::size_t count = 0;
  while (count < std::min(kMostAsked, list->size()) &&
         GetScore((*list)[count]) <= GetScore(list->front()) + kAskedSpreadMs) {
    ++count;
  }
  return count;
}

}  // namespace

/** Chooses an upstream by its book, or by what this host knows itself. */
Choice Gateway::ChooseWithBooks(RequestScope *scope, base::TimePoint now) {
  ChoiceRequest request = MakeChoiceRequest(*scope);
  Candidates candidates =
      ListCandidates(m_follower.m_view, &m_stats, m_location, request, now);
  bool has_book =
      scope->m_service->has_engine() && !scope->m_facts.m_model.empty();
  scope->m_books_asked = 0;
  scope->m_books_known = 0;
  if (has_book && m_send_datagram && candidates.m_list.size() > 1) {
    AskBooks(scope, request, &candidates, now);
  }
  return PickCandidate(candidates);
}

/** Asks the keepers of the best candidates and waits a moment for answers. */
void Gateway::AskBooks(RequestScope *scope, const ChoiceRequest &request,
                       Candidates *candidates, base::TimePoint now) {
  std::size_t count = SelectAsked(&candidates->m_list);
  if (count < 2) return;
  PendingLoads pending{&request, candidates, 0};
  std::uint64_t number = ++m_last_load_query;
  m_load_queries[number] = &pending;
  bool is_near = true;
  for (std::size_t i = 0; i < count; ++i) {
    Candidate &candidate = candidates->m_list[i];
    gen::FleetMessage message;
    gen::LoadQuery *query = message.mutable_load_query();
    query->set_query(number);
    query->set_upstream(candidate.m_upstream);
    AddPrompt(*request.m_facts, request.m_chain_keys, query);
    const gen::EntryHost *keeper =
        FindBookKeeper(m_follower.m_view, m_location, m_self,
                       candidate.m_upstream, candidate.m_domain, now);
    if (keeper == nullptr) continue;
    ++scope->m_books_asked;
    if (keeper->name() == m_self.name()) {
      ApplyLoad(request, MakeLoadAnswer(&m_books, *query, now), &candidate);
      ++scope->m_books_known;
      continue;
    }
    is_near = is_near && keeper->region() == m_self.region();
    ++pending.m_missing;
    m_send_datagram(keeper->endpoint(), message);
  }
  int sent = pending.m_missing;
  {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_load_answered.wait_until(lock,
                               now + (is_near ? kNearBookWait : kFarBookWait),
                               [&pending] { return pending.m_missing == 0; });
  }
  m_load_queries.erase(number);
  scope->m_books_known += sent - pending.m_missing;
  CountBooks("answered", sent - pending.m_missing);
  CountBooks("late_or_lost", pending.m_missing);
}

void Gateway::HandleDatagram(const std::string &from,
                             const gen::FleetMessage &message) {
  base::TimePoint now = base::Clock::now();
  if (message.has_load_query()) {
    gen::FleetMessage reply;
    *reply.mutable_load_answer() =
        MakeLoadAnswer(&m_books, message.load_query(), now);
    if (m_send_datagram) m_send_datagram(from, reply);
  } else if (message.has_load_answer()) {
    const gen::LoadAnswer &answer = message.load_answer();
    auto found = m_load_queries.find(answer.query());
    if (found == m_load_queries.end()) return;
    PendingLoads *pending = found->second;
    for (Candidate &candidate : pending->m_candidates->m_list) {
      if (candidate.m_upstream != answer.upstream()) continue;
      ApplyLoad(*pending->m_request, answer, &candidate);
      --pending->m_missing;
      break;
    }
    if (pending->m_missing == 0) m_load_answered.notify_all();
  } else if (message.has_load_update()) {
    RecordInBook(message.load_update());
  }
}

void Gateway::RecordInBook(const gen::LoadUpdate &update) {
  auto found = m_follower.m_view.m_upstreams.find(update.upstream());
  if (found == m_follower.m_view.m_upstreams.end() || m_routes == nullptr) {
    return;
  }
  const gen::RoutedService *service =
      routes::FindService(*m_routes, found->second.m_report.service());
  if (service == nullptr) return;
  RecordLoad(&m_books, update, service->engine().kv_tokens(),
             base::Clock::now());
}

/** Tells the keeper of a runner's book what happened to a request there. */
void Gateway::TellBook(const RequestScope &scope, gen::LoadEvent event) {
  bool has_book = scope.m_service->has_engine() &&
                  !scope.m_facts.m_model.empty() && m_send_datagram;
  if (!has_book) return;
  base::TimePoint now = base::Clock::now();
  auto found = m_follower.m_view.m_upstreams.find(scope.m_upstream);
  if (found == m_follower.m_view.m_upstreams.end()) return;
  const gen::UpstreamReport &report = found->second.m_report;
  gen::FleetMessage message;
  gen::LoadUpdate *update = message.mutable_load_update();
  update->set_upstream(scope.m_upstream);
  update->set_born_ms(report.born_ms());
  update->set_request(scope.m_facts.m_id);
  update->set_event(event);
  if (event == gen::LOAD_SENT) {
    update->set_unread_tokens(scope.m_unread_tokens);
    update->set_patience_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
        0, base::ToMilliseconds(GetRemaining(scope, now)))));
    AddPrompt(scope.m_facts, scope.m_chain_keys, update);
  }
  const gen::EntryHost *keeper =
      FindBookKeeper(m_follower.m_view, m_location, m_self, scope.m_upstream,
                     report.domain(), now);
  if (keeper == nullptr) return;
  if (keeper->name() == m_self.name()) {
    RecordInBook(*update);
  } else {
    m_send_datagram(keeper->endpoint(), message);
  }
}

}  // namespace wasabiwind::gateway
