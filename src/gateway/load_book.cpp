/** @file load_book.cpp Load of runners, kept for all entry hosts. */

#include <xxhash.h>

#include <algorithm>

#include "gateway/load_book_func.h"

namespace wasabiwind::gateway {

namespace {

/** A book without news for this long is of no use. */
constexpr base::milliseconds kBookLifetime{60'000};
constexpr std::size_t kMostRequests = 4'096;  ///< of one runner

void EndRequest(RunnerLoadBook *book, const std::string &request) {
  auto found = book->m_requests.find(request);
  if (found == book->m_requests.end()) return;
  book->m_unread_tokens -= found->second.m_unread_tokens;
  book->m_requests.erase(found);
}

void ForgetEndedRequests(RunnerLoadBook *book, base::TimePoint now) {
  absl::erase_if(book->m_requests, [book, now](const auto &item) {
    if (now < item.second.m_ends_at) return false;
    book->m_unread_tokens -= item.second.m_unread_tokens;
    return true;
  });
}

void BeginRequest(RunnerLoadBook *book, const gen::LoadUpdate &update,
                  std::uint64_t capacity, base::TimePoint now) {
  EndRequest(book, update.request());
  if (book->m_requests.size() >= kMostRequests) return;
  BookedRequest request;
  request.m_unread_tokens = update.unread_tokens();
  request.m_ends_at = now + base::milliseconds(update.patience_ms());
  book->m_unread_tokens += request.m_unread_tokens;
  book->m_requests.emplace(update.request(), request);
  RequestFacts facts;
  for (std::uint32_t tokens : update.part_tokens()) {
    facts.m_parts.push_back(PromptPart{"", tokens});
  }
  std::vector<std::uint64_t> keys(update.chain_keys().begin(),
                                  update.chain_keys().end());
  if (keys.size() != facts.m_parts.size()) return;
  RememberPrompt(&book->m_prefixes, facts, keys, capacity);
}

/** @return how well an entry host suits as the keeper of a runner's book. */
std::uint64_t GetKeeperRank(const std::string &upstream,
                            const std::string &entry) {
  std::uint64_t seed = XXH3_64bits(upstream.data(), upstream.size());
  return XXH3_64bits_withSeed(entry.data(), entry.size(), seed);
}

}  // namespace

void RecordLoad(LoadBooks *books, const gen::LoadUpdate &update,
                std::uint64_t capacity, base::TimePoint now) {
  RunnerLoadBook &book = (*books)[update.upstream()];
  if (book.m_born_ms > update.born_ms()) return;
  if (book.m_born_ms < update.born_ms()) {
    book = RunnerLoadBook();
    book.m_born_ms = update.born_ms();
  }
  book.m_updated_at = now;
  if (update.event() == gen::LOAD_SENT) {
    BeginRequest(&book, update, capacity, now);
  } else if (update.event() == gen::LOAD_OVER) {
    EndRequest(&book, update.request());
  } else {
    auto found = book.m_requests.find(update.request());
    if (found == book.m_requests.end()) return;
    book.m_unread_tokens -= found->second.m_unread_tokens;
    found->second.m_unread_tokens = 0;
  }
}

gen::LoadAnswer MakeLoadAnswer(LoadBooks *books, const gen::LoadQuery &query,
                               base::TimePoint now) {
  gen::LoadAnswer answer;
  answer.set_query(query.query());
  answer.set_upstream(query.upstream());
  auto found = books->find(query.upstream());
  if (found == books->end()) return answer;
  RunnerLoadBook &book = found->second;
  ForgetEndedRequests(&book, now);
  answer.set_in_flight(static_cast<std::uint32_t>(book.m_requests.size()));
  answer.set_unread_tokens(book.m_unread_tokens);
  RequestFacts facts;
  for (std::uint32_t tokens : query.part_tokens()) {
    facts.m_parts.push_back(PromptPart{"", tokens});
  }
  std::vector<std::uint64_t> keys(query.chain_keys().begin(),
                                  query.chain_keys().end());
  if (keys.size() == facts.m_parts.size()) {
    answer.set_kept_tokens(CountKeptTokens(book.m_prefixes, facts, keys));
  }
  return answer;
}

void ForgetLoads(LoadBooks *books, base::TimePoint now) {
  absl::erase_if(*books, [now](const auto &item) {
    return now >= item.second.m_updated_at + kBookLifetime;
  });
}

const gen::EntryHost *FindBookKeeper(const fleet::FleetView &view,
                                     const Location &location,
                                     const gen::EntryHost &own,
                                     const std::string &upstream,
                                     const std::string &domain,
                                     base::TimePoint now) {
  auto region = location.m_region_by_domain.find(domain);
  const gen::EntryHost *best = nullptr;
  std::uint64_t best_rank = 0;
  auto consider = [&](const gen::EntryHost &host) {
    bool is_near = region == location.m_region_by_domain.end() ||
                   host.region() == region->second;
    if (host.state() != gen::ENTRY_SERVING || !is_near) return;
    std::uint64_t rank = GetKeeperRank(upstream, host.name());
    if (best != nullptr && rank <= best_rank) return;
    best = &host;
    best_rank = rank;
  };
  consider(own);
  for (const auto &[name, entry] : view.m_entries) {
    if (name == own.name()) continue;
    if (fleet::IsSilent(view, entry.m_silence, now)) continue;
    consider(entry.m_host);
  }
  return best;
}

}  // namespace wasabiwind::gateway
