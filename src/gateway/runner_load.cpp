/** @file load_book.cpp Load of runners, kept for all entry hosts. */

#include <xxhash.h>

#include <algorithm>

#include "gateway/load_book_func.h"

namespace wasabiwind::gateway {

namespace {

/** A book without news for this long is of no use. */
constexpr base::milliseconds kBookLifetime{60'000};
constexpr std::size_t kMostRequests = 4'096;  ///< of one runner

template <typename Tokens>
RequestMetadata MakeParts(const Tokens &part_tokens) {
  RequestMetadata facts;
  for (std::uint32_t tokens : part_tokens) {
    facts.m_parts.push_back(PromptPart{"", tokens});
  }
  return facts;
}

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
                  base::TimePoint now) {
  EndRequest(book, update.request());
  if (book->m_requests.size() >= kMostRequests) return;
  BookedRequest request;
  request.m_unread_tokens = update.unread_tokens();
  request.m_ends_at = now + base::milliseconds(update.patience_ms());
  request.m_chain_keys.assign(update.chain_keys().begin(),
                              update.chain_keys().end());
  request.m_part_tokens.assign(update.part_tokens().begin(),
                               update.part_tokens().end());
  book->m_unread_tokens += request.m_unread_tokens;
  book->m_requests.emplace(update.request(), std::move(request));
}

/** A prompt is kept once it has been read, and not before. */
void ReadRequest(RunnerLoadBook *book, const std::string &id,
                 std::uint64_t capacity) {
  auto found = book->m_requests.find(id);
  if (found == book->m_requests.end()) return;
  BookedRequest &request = found->second;
  book->m_unread_tokens -= request.m_unread_tokens;
  request.m_unread_tokens = 0;
  if (request.m_chain_keys.size() != request.m_part_tokens.size()) return;
  RememberPrompt(&book->m_prefixes, MakeParts(request.m_part_tokens),
                 request.m_chain_keys, capacity);
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
  if (book.m_start_time_ms > update.born_ms()) return;
  if (book.m_start_time_ms < update.born_ms()) {
    book = RunnerLoadBook();
    book.m_start_time_ms = update.born_ms();
  }
  book.m_updated_at = now;
  if (update.event() == gen::LOAD_SENT) {
    BeginRequest(&book, update, now);
  } else if (update.event() == gen::LOAD_OVER) {
    EndRequest(&book, update.request());
  } else {
    ReadRequest(&book, update.request(), capacity);
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
  RequestMetadata facts = MakeParts(query.part_tokens());
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
  for (const auto &[name, entry] : view.m_entry_hosts) {
    if (name == own.name()) continue;
    if (fleet::IsSilent(view, entry.m_silence, now)) continue;
    consider(entry.m_host);
  }
  return best;
}

}  // namespace wasabiwind::gateway
