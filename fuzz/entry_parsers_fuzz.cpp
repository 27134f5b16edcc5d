/** @file entry_parsers_fuzz.cpp Fuzzes the parsers of input from callers,
 * engines and announcing upstreams with seeded inputs. */

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "entry/announcement.h"
#include "entry/completion_request.h"
#include "entry/token_stream.h"
#include "fuzz/mutate_func.h"
#include "net/endpoint_type.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the inputs");
ABSL_FLAG(int, count, 20000, "inputs for each parser");

namespace wasabiwind::entry {
namespace {

using base::NextRandomBelow;
using base::Random;
using fuzz::MakeInput;

constexpr std::array<const char *, 4> kCompletions = {
    R"({"model":"d/a","messages":[{"role":"user","content":"hi"}]})",
    R"({"model":"d","prompt":["a","b"],"max_tokens":7,"stream":true})",
    R"({"model":"d","messages":[{"content":[{"text":"x"}]}],"request_id":"r"})",
    R"({"model":"d","prompt":"p","resume_from_token":5,"priority":"batch"})"};

constexpr std::array<const char *, 2> kAnnouncements = {
    R"({"upstream":"u","kind":"engine","address":"127.0.0.1:1","slots":4,)"
    R"("incarnation":3,"loaded":[{"target":"m@1","bytes":9}],"cached":)"
    R"([{"target":"m@1","tier":"disk"}],"load":{"running":1,"kv_used":0.5}})",
    R"({"upstream":"u","kind":"service","service":"s","address":"[::1]:2",)"
    R"("state":"leaving"})"};

constexpr std::array<const char *, 7> kEvents = {
    "data: {\"token_index\":0,\"choices\":[]}\n\n",
    "data: {\"token_index\":1,\"t\":\"\\\"token_index\\\":9\"}\r\n\r\n",
    "data: {\"token_index\":2,\"finish_reason\":\"stop\"}\n\n",
    ": comment\n\n",
    "event: x\ndata: {\"a\":\ndata: 1}\n\n",
    "data: {\"error\":{\"message\":\"m\"}}\n\n",
    "data: [DONE]\n\n"};

[[noreturn]] void Fail(const char *violation, const std::string &input) {
  fmt::print(stderr, "seed {}: {}; input: {}\n", absl::GetFlag(FLAGS_seed),
             violation, input);
  std::abort();
}

/** An accepted body must give a valid body for an engine, in which the caller
 * overrides none of the fields that the entry host sets. */
bool CheckCompletion(const std::string &input, bool is_chat) {
  base::Result<CompletionRequest> request =
      ParseCompletionRequest(input, is_chat);
  if (!request) return false;
  EngineExtensions extensions{"target", "standard", "id", 0};
  std::string body = MakeEngineBody(*request, extensions);
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) Fail("engine body is not JSON", input);
  const boost::json::object &object = value.get_object();
  if (object.at("model") != "target" || object.at("request_id") != "id" ||
      object.contains("resume_from_token")) {
    Fail("the caller could set a field of the entry host", input);
  }
  if (request->m_model.empty() || request->m_max_tokens < 0) {
    Fail("an invalid value was accepted", input);
  }
  return true;
}

bool CheckAnnouncement(const std::string &input) {
  base::Result<Announcement> announcement = ParseAnnouncement(input);
  if (!announcement) {
    if (announcement.error().m_remedy.empty())
      Fail("the error has no remedy", input);
    return false;
  }
  const gen::UpstreamRecord &record = announcement->m_record;
  bool is_valid = !record.upstream().empty() && record.slots() > 0 &&
                  net::ParseEndpoint(record.address()).has_value() &&
                  (record.kind() == "engine" || !record.service().empty());
  if (!is_valid) Fail("an invalid announcement was accepted", input);
  return true;
}

/** Events that a caller would be sent, and the action that ended the stream. */
struct RelayedStream {
  std::vector<std::string> m_events;
  EventAction m_end_action = EventAction::kEnd;
};

bool operator==(const RelayedStream &one, const RelayedStream &other) {
  return one.m_events == other.m_events &&
         one.m_end_action == other.m_end_action;
}

/** @return false at the end of the stream */
bool RelayEvents(EventReader *reader, TokenProgress *progress,
                 RelayedStream *relayed, const std::string &input) {
  while (true) {
    TokenEvent event;
    base::Result<bool> next = reader->Next(&event);
    if (!next) {
      relayed->m_end_action = EventAction::kBroken;
      return false;
    }
    if (!*next) return true;
    std::uint64_t before = progress->m_tokens;
    EventAction action = ClassifyEvent(event, progress);
    if (progress->m_tokens < before || progress->m_tokens > before + 1) {
      Fail("a token was lost or counted twice", input);
    }
    bool is_counted = progress->m_tokens == before + 1;
    if (is_counted && event.m_token_index != before) {
      Fail("a token was counted out of order", input);
    }
    if (action == EventAction::kForward) {
      relayed->m_events.emplace_back(event.m_data);
    } else if (action != EventAction::kDrop) {
      relayed->m_end_action = action;
      return false;
    }
  }
}

/** The relayed events must not depend on how the bytes were split. */
bool CheckEvents(Random *random, const std::string &input) {
  EventReader whole_reader;
  TokenProgress whole_progress;
  RelayedStream whole;
  whole_reader.Feed(input);
  RelayEvents(&whole_reader, &whole_progress, &whole, input);

  EventReader reader;
  TokenProgress progress;
  RelayedStream split;
  std::size_t at = 0;
  while (at < input.size()) {
    std::size_t size = 1 + NextRandomBelow(random, 40);
    reader.Feed(std::string_view(input).substr(at, size));
    at += size;
    if (!RelayEvents(&reader, &progress, &split, input)) break;
  }
  if (!(whole == split)) Fail("splitting changes the events", input);
  return !whole.m_events.empty();
}

int Run() {
  Random random{absl::GetFlag(FLAGS_seed)};
  int count = absl::GetFlag(FLAGS_count);
  int accepted = 0;
  for (int i = 0; i < count; ++i) {
    std::string body = MakeInput(&random, kCompletions);
    accepted += CheckCompletion(body, i % 2 == 0) ? 1 : 0;
    accepted += CheckAnnouncement(MakeInput(&random, kAnnouncements)) ? 1 : 0;
    std::string events;
    std::uint64_t parts = NextRandomBelow(&random, 8);
    for (std::uint64_t k = 0; k < parts; ++k) {
      events += MakeInput(&random, kEvents);
    }
    accepted += CheckEvents(&random, events) ? 1 : 0;
  }
  fmt::print("seed {}: {} of {} inputs accepted\n", absl::GetFlag(FLAGS_seed),
             accepted, 3 * count);
  // If nearly all inputs are refused, or all are accepted, nothing is tested.
  bool is_useful = accepted > count / 4 && accepted < 3 * count;
  return is_useful ? 0 : 1;
}

}  // namespace
}  // namespace wasabiwind::entry

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  return wasabiwind::entry::Run();
}
