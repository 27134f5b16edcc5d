/** @file engine_generate.cpp Slots, timing and token output of the engine. */

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <mutex>

#include "net/fiber_scheduler.h"
#include "standin/engine_base.h"
#include "standin/timer_func.h"

namespace wasabiwind::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kPrefixBlockBytes = 256;
constexpr int kTokensPerPrefixBlock = 64;
constexpr std::size_t kMaxCacheEvents = 10'000;
/** Most events in one write, when the engine is late. */
constexpr int kMaxEventsInBatch = 16;
/** Longest injected stall of a stream. */
constexpr base::seconds kStallTime{600};
constexpr int kCrashExitCode = 137;

base::Duration FromMicroseconds(double microseconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(microseconds));
}

/** @return a hash for each complete block of the prompt, chained so that it
 * covers all blocks before it too. */
std::vector<std::uint64_t> HashPrefixBlocks(const EngineJob &job) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = XXH3_64bits(job.m_target.data(), job.m_target.size());
  const std::string &prompt = job.m_plan.m_prompt;
  for (std::size_t start = 0; start + kPrefixBlockBytes <= prompt.size();
       start += kPrefixBlockBytes) {
    hash = XXH3_64bits_withSeed(prompt.data() + start, kPrefixBlockBytes, hash);
    blocks.push_back(hash);
  }
  return blocks;
}

json::object MakeUsage(const EngineJob &job) {
  return {{"prompt_tokens", job.m_plan.m_prompt_tokens},
          {"completion_tokens", job.m_plan.m_output_tokens},
          {"total_tokens",
           job.m_plan.m_prompt_tokens + job.m_plan.m_output_tokens}};
}

/**
 * Formats the event of one token. @param finish_reason nullptr on all but the
 * last one. The JSON is formatted as text, since building a JSON object for
 * each token took most of the engine's processor time.
 */
std::string MakeTokenEvent(const EngineJob &job, int index,
                           const std::string &text, const char *finish_reason) {
  std::string finish =
      finish_reason == nullptr ? "null" : fmt::format("\"{}\"", finish_reason);
  std::string usage =
      finish_reason == nullptr
          ? ""
          : fmt::format(",\"usage\":{}", json::serialize(MakeUsage(job)));
  std::string content =
      job.m_is_chat ? fmt::format("\"delta\":{{\"content\":\"{}\"}}", text)
                    : fmt::format("\"text\":\"{}\"", text);
  return fmt::format(
      "data: {{\"id\":{},\"object\":\"{}\",\"created\":{},\"model\":{},"
      "\"token_index\":{},\"choices\":[{{\"index\":0,{},"
      "\"finish_reason\":{}}}]{}}}\n\n",
      job.m_id_json,
      job.m_is_chat ? "chat.completion.chunk" : "text_completion",
      job.m_created_s, job.m_model_json, index, content, finish, usage);
}

net::HttpResponse MakePlainAnswer(const EngineJob &job, const std::string &text,
                                  const char *finish_reason) {
  json::object choice;
  choice["index"] = 0;
  if (job.m_is_chat) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finish_reason;
  json::object body;
  body["id"] = job.m_request_id;
  body["object"] = job.m_is_chat ? "chat.completion" : "text_completion";
  body["created"] = job.m_created_s;
  body["model"] = job.m_target;
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = MakeUsage(job);
  return net::MakeJsonResponse(200, json::serialize(body));
}

}  // namespace

/** @return false if the job was cancelled before it got a slot. */
bool Engine::WaitForSlot(EngineJob *job) {
  if (m_running < m_settings.engine().slots() && m_waiting.empty()) {
    ++m_running;
    return true;
  }
  m_waiting.push_back(job);
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  job->m_changed.wait(lock,
                      [job] { return job->m_has_slot || job->m_is_cancelled; });
  if (job->m_has_slot) return true;
  std::erase(m_waiting, job);
  return false;
}

/** Gives the slot to the waiting job with the highest priority, or frees it. */
void Engine::ReleaseSlot(EngineJob *) {
  // Among equal priorities this is the job that came first.
  auto next = std::min_element(m_waiting.begin(), m_waiting.end(),
                               [](const EngineJob *a, const EngineJob *b) {
                                 return a->m_priority < b->m_priority;
                               });
  if (next == m_waiting.end()) {
    --m_running;
    return;
  }
  EngineJob *job = *next;
  m_waiting.erase(next);
  job->m_has_slot = true;
  job->m_changed.notify_all();
}

const char *Engine::RunJob(EngineJob *job, net::HttpExchange &exchange) {
  Prefill(*job);
  std::string text;
  if (job->m_is_stream) {
    net::HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("X-Request-Id", job->m_request_id);
    if (!exchange.BeginStream(200, headers)) return "broken";
  }
  const char *outcome = Generate(job, exchange, &text);
  if (std::string_view(outcome) == "broken") return outcome;
  const char *finish = job->m_is_cancelled ? "cancelled" : "length";
  if (!job->m_is_stream) {
    base::Result<void> sent =
        exchange.Respond(MakePlainAnswer(*job, text, finish));
    return sent ? outcome : "broken";
  }
  bool sent = exchange.WriteStream("data: [DONE]\n\n").has_value() &&
              exchange.EndStream().has_value();
  return sent ? outcome : "broken";
}

const char *Engine::Generate(EngineJob *job, net::HttpExchange &exchange,
                             std::string *text) {
  int count = job->m_plan.m_output_tokens;
  if (m_faults.m_short_answers && count > 1) --count;
  int sent = 0;
  base::TimePoint next = base::Clock::now();
  StreamBatch batch;
  for (int index = job->m_first_token; index < count; ++index) {
    if (job->m_is_cancelled) break;
    next += GetTokenTime();
    // Events whose time has passed already are sent in one write.
    if (next > base::Clock::now() && !Flush(&batch, exchange)) return "broken";
    SleepUntil(next);
    if (m_faults.m_skip_tokens && index == 1 && count > 2) continue;
    ++m_tokens_sent;
    std::uint64_t key =
        job->m_plan.m_prompt_hash + (m_faults.m_foreign_tokens ? 1 : 0);
    int used_index = MapTokenIndex(index, count);
    std::string token = MakeTokenText(key, used_index);
    if (job->m_is_stream) {
      bool is_last = index + 1 == count;
      batch.m_text +=
          MakeTokenEvent(*job, used_index, token, is_last ? "length" : nullptr);
      ++batch.m_events;
    } else {
      *text += token;
    }
    ++sent;
    bool is_full = batch.m_events >= kMaxEventsInBatch;
    if ((is_full || IsFaultDue(sent)) && !Flush(&batch, exchange)) {
      return "broken";
    }
    bool is_inside_stream = job->m_is_stream && index + 1 < count;
    if (is_inside_stream && sent == m_faults.m_crash_after_tokens) {
      std::_Exit(kCrashExitCode);
    }
    if (!ApplyStreamFaults(sent, exchange)) return "broken";
  }
  if (!Flush(&batch, exchange)) return "broken";
  if (job->m_is_cancelled) return "cancelled";
  if (job->m_is_stream && job->m_first_token >= count) {
    std::string event = MakeTokenEvent(*job, count, "", "length");
    if (!exchange.WriteStream(event)) return "broken";
  }
  return "complete";
}

/** @return false if the caller has disconnected. */
bool Engine::Flush(StreamBatch *batch, net::HttpExchange &exchange) {
  if (batch->m_events == 0) return true;
  bool is_sent = exchange.WriteStream(batch->m_text).has_value();
  *batch = StreamBatch();
  return is_sent;
}

/** @return whether an injected fault takes effect after this many tokens. */
bool Engine::IsFaultDue(int sent) const {
  return sent == m_faults.m_crash_after_tokens ||
         sent == m_faults.m_break_after_tokens ||
         sent == m_faults.m_stall_after_tokens;
}

/** @return the index to send in place of `index`, if tokens are swapped. */
int Engine::MapTokenIndex(int index, int count) const {
  if (!m_faults.m_swap_tokens || count < 4) return index;
  if (index == 1) return 2;
  return index == 2 ? 1 : index;
}

/** @return false if a fault closed the connection. */
bool Engine::ApplyStreamFaults(int sent, net::HttpExchange &exchange) {
  if (sent == m_faults.m_break_after_tokens) {
    exchange.Abort();
    return false;
  }
  if (sent == m_faults.m_stall_after_tokens) {
    base::TimePoint end = base::Clock::now() + kStallTime;
    while (m_faults.m_stall_after_tokens != 0 && !m_stopped &&
           base::Clock::now() < end) {
      net::SleepFor(base::milliseconds(20));
    }
  }
  return true;
}

void Engine::Prefill(const EngineJob &job) {
  int tokens = job.m_plan.m_prompt_tokens + job.m_first_token;
  tokens = std::max(0, tokens - CountCachedTokens(job));
  double time = tokens * m_settings.engine().prefill_us_per_token();
  SleepUntil(base::Clock::now() + FromMicroseconds(time * GetSlowFactor()));
  CachePrefix(job);
}

base::Duration Engine::GetTokenTime() const {
  const gen::EngineSettings &settings = m_settings.engine();
  double time =
      settings.decode_us() + settings.decode_us_per_running() * m_running;
  return FromMicroseconds(time * GetSlowFactor());
}

double Engine::GetSlowFactor() const {
  return base::Clock::now() < m_faults.m_slow_until ? m_faults.m_slow_factor
                                                    : 1.0;
}

int Engine::CountCachedTokens(const EngineJob &job) {
  int cached = 0;
  for (std::uint64_t block : HashPrefixBlocks(job)) {
    if (!m_prefixes.m_blocks.contains(block)) break;
    cached += kTokensPerPrefixBlock;
  }
  return cached;
}

void Engine::CachePrefix(const EngineJob &job) {
  auto limit = static_cast<std::size_t>(m_settings.engine().prefix_blocks());
  for (std::uint64_t block : HashPrefixBlocks(job)) {
    auto found = m_prefixes.m_blocks.find(block);
    if (found != m_prefixes.m_blocks.end()) {
      m_prefixes.m_recency.splice(m_prefixes.m_recency.begin(),
                                  m_prefixes.m_recency, found->second);
      continue;
    }
    m_prefixes.m_recency.push_front(block);
    m_prefixes.m_blocks[block] = m_prefixes.m_recency.begin();
    AddCacheEvent("stored", job.m_target, block);
    if (m_prefixes.m_recency.size() <= limit) continue;
    std::uint64_t oldest = m_prefixes.m_recency.back();
    m_prefixes.m_recency.pop_back();
    m_prefixes.m_blocks.erase(oldest);
    AddCacheEvent("evicted", job.m_target, oldest);
  }
}

void Engine::AddCacheEvent(const char *type, const std::string &target,
                           std::uint64_t block) {
  std::uint64_t sequence = m_next_event++;
  if (NextRandomUnit(&m_random) < m_settings.engine().event_loss()) return;
  m_events.push_back({{"sequence", sequence},
                      {"t_us", GetWallMicroseconds()},
                      {"type", type},
                      {"target", target},
                      {"block", fmt::format("{:016x}", block)}});
  if (m_events.size() > kMaxCacheEvents) m_events.pop_front();
}

}  // namespace wasabiwind::standin
