/** @file announcement.cpp Parser of announcements of upstreams. */

#include "entry/announcement.h"

#include <fmt/format.h>

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <limits>

#include "net/endpoint_type.h"

namespace wasabiwind::entry {

namespace json = boost::json;

namespace {

/** The record of an announcement is at most as long as its body, and messages
 * between nodes carry a record of this length beside their other content. */
constexpr std::size_t kMaxAnnouncementBytes = 256 * 1024;
constexpr std::size_t kMaxNameBytes = 256;
/** A runner holds tens of adapters; more entries than this are a mistake. */
constexpr std::size_t kMaxTargets = 10'000;
constexpr int kMaxSlots = 1'000'000;
/** Slots assumed for an upstream that announces none. */
constexpr int kDefaultSlots = 16;

/** Reads typed members of one JSON object and keeps the first error. */
class ObjectReader {
 public:
  ObjectReader(const json::object &object, base::Error *error)
      : m_object(object), m_error(error) {}

  std::string Text(const char *key, bool is_required) {
    const json::value *value = m_object.if_contains(key);
    if (value == nullptr) {
      if (is_required) Fail(key, "is missing", "send a string");
      return "";
    }
    bool is_valid = value->is_string() &&
                    value->get_string().size() <= kMaxNameBytes &&
                    !(is_required && value->get_string().empty());
    if (!is_valid) {
      Fail(key, "is not valid",
           fmt::format("send a string of 1 to {} bytes", kMaxNameBytes));
      return "";
    }
    return std::string(value->get_string());
  }

  std::int64_t Number(const char *key, std::int64_t max) {
    const json::value *value = m_object.if_contains(key);
    if (value == nullptr) return 0;
    json::error_code error;
    auto number = value->to_number<std::int64_t>(error);
    if (error || number < 0 || number > max) {
      Fail(key, "is not valid",
           fmt::format("send a whole number from 0 to {}", max));
      return 0;
    }
    return number;
  }

  double Ratio(const char *key) {
    const json::value *value = m_object.if_contains(key);
    if (value == nullptr) return 0.0;
    json::error_code error;
    double number = value->to_number<double>(error);
    if (error || !(number >= 0.0 && number <= 1.0)) {
      Fail(key, "is not valid", "send a number from 0 to 1");
      return 0.0;
    }
    return number;
  }

  /** Calls a function for each object of an optional array. */
  template <typename Function>
  void ForEach(const char *key, Function function) {
    const json::value *value = m_object.if_contains(key);
    if (value == nullptr) return;
    if (!value->is_array() || value->get_array().size() > kMaxTargets) {
      Fail(key, "is not valid",
           fmt::format("send an array of at most {} objects", kMaxTargets));
      return;
    }
    for (const json::value &item : value->get_array()) {
      if (!item.is_object()) {
        Fail(key, "has an element that isn't an object", "send objects");
        return;
      }
      ObjectReader reader(item.get_object(), m_error);
      function(&reader);
    }
  }

  /** Calls a function for an optional object. */
  template <typename Function>
  void Object(const char *key, Function function) {
    const json::value *value = m_object.if_contains(key);
    if (value == nullptr) return;
    if (!value->is_object()) {
      Fail(key, "is not an object", "send an object or leave it out");
      return;
    }
    ObjectReader reader(value->get_object(), m_error);
    function(&reader);
  }

  void Fail(const char *key, const char *problem, const std::string &remedy) {
    if (!m_error->m_message.empty()) return;
    *m_error = base::Error{base::ErrorKind::kInvalidArgument,
                           fmt::format("\"{}\" {}", key, problem), remedy};
  }

 private:
  const json::object &m_object;
  base::Error *m_error;
};

void ReadState(ObjectReader *reader, gen::UpstreamRecord *record) {
  std::string state = reader->Text("state", /*is_required=*/false);
  if (state == "leaving") {
    record->set_state(gen::UPSTREAM_LEAVING);
  } else if (!state.empty() && state != "ready") {
    reader->Fail("state", "is not valid", "send ready or leaving");
  }
}

void ReadKind(ObjectReader *reader, gen::UpstreamRecord *record) {
  record->set_kind(reader->Text("kind", /*is_required=*/true));
  bool is_service = record->kind() == "service";
  if (!is_service && record->kind() != "engine") {
    reader->Fail("kind", "is not valid", "send engine or service");
  }
  record->set_service(reader->Text("service", is_service));
}

void ReadTargets(ObjectReader *reader, gen::UpstreamRecord *record) {
  constexpr std::int64_t kMaxBytes = std::numeric_limits<std::int64_t>::max();
  reader->ForEach("loaded", [record](ObjectReader *item) {
    gen::LoadedTarget *loaded = record->add_loaded();
    loaded->set_target(item->Text("target", /*is_required=*/true));
    loaded->set_bytes(item->Number("bytes", kMaxBytes));
  });
  reader->ForEach("cached", [record](ObjectReader *item) {
    gen::CachedTarget *cached = record->add_cached();
    cached->set_target(item->Text("target", /*is_required=*/true));
    cached->set_tier(item->Text("tier", /*is_required=*/false));
  });
}

void ReadLoad(ObjectReader *reader, ReportedLoad *load) {
  constexpr std::int64_t kMaxAge = 3'600'000;
  reader->Object("load", [load](ObjectReader *item) {
    load->m_running = static_cast<int>(item->Number("running", kMaxSlots));
    load->m_waiting = static_cast<int>(item->Number("waiting", kMaxSlots));
    load->m_kv_used = item->Ratio("kv_used");
    load->m_age = base::milliseconds(item->Number("age_ms", kMaxAge));
  });
}

}  // namespace

base::Result<Announcement> ParseAnnouncement(const std::string &body) {
  if (body.size() > kMaxAnnouncementBytes) {
    return base::MakeError(
        base::ErrorKind::kInvalidArgument,
        fmt::format("the announcement has {} bytes", body.size()),
        fmt::format("send at most {} bytes", kMaxAnnouncementBytes));
  }
  json::error_code parse_error;
  json::value value = json::parse(body, parse_error);
  if (parse_error || !value.is_object()) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           "the announcement is not a JSON object",
                           "send the object that docs/design.md section 9 "
                           "describes");
  }
  Announcement announcement;
  base::Error error;
  ObjectReader reader(value.get_object(), &error);
  gen::UpstreamRecord *record = &announcement.m_record;
  record->set_upstream(reader.Text("upstream", /*is_required=*/true));
  ReadKind(&reader, record);
  record->set_address(reader.Text("address", /*is_required=*/true));
  if (error.m_message.empty() && !net::ParseEndpoint(record->address())) {
    reader.Fail("address", "is not an endpoint",
                "send an IP number and a port, such as 127.0.0.1:8100");
  }
  record->set_incarnation(static_cast<std::uint64_t>(
      reader.Number("incarnation", std::numeric_limits<std::int64_t>::max())));
  record->set_region(reader.Text("region", /*is_required=*/false));
  record->set_domain(reader.Text("domain", /*is_required=*/false));
  record->set_accelerators(
      static_cast<int>(reader.Number("accelerators", kMaxSlots)));
  record->set_memory_bytes(
      reader.Number("memory_bytes", std::numeric_limits<std::int64_t>::max()));
  record->set_slots(static_cast<int>(reader.Number("slots", kMaxSlots)));
  if (record->slots() == 0) record->set_slots(kDefaultSlots);
  ReadState(&reader, record);
  ReadTargets(&reader, record);
  ReadLoad(&reader, &announcement.m_load);
  if (!error.m_message.empty()) return tl::unexpected(error);
  return announcement;
}

}  // namespace wasabiwind::entry
