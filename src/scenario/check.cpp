/** @file check.cpp Checks of invariants over event records and reports. */

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <charconv>
#include <map>
#include <sstream>

#include "scenario/check_func.h"
#include "scenario/parse_func.h"
#include "standin/json_func.h"

namespace wasabiwind::scenario {

namespace json = boost::json;
using standin::GetBool;
using standin::GetInteger;
using standin::GetString;

namespace {

tl::unexpected<base::Error> MakeViolation(std::string message) {
  return base::MakeError(base::ErrorKind::kConflict, std::move(message));
}

std::int64_t SumFields(const json::object &object) {
  std::int64_t sum = 0;
  for (const auto &field : object) {
    if (field.value().is_number()) {
      sum += field.value().to_number<std::int64_t>();
    }
  }
  return sum;
}

/** Change of the number of engines that hold a target. */
struct ResidencyChange {
  std::int64_t m_time_us = 0;
  int m_difference = 0;
};

/** @return whether the engine holds no target at this event. */
bool IsIncarnationEnd(const std::string &event) {
  return event == "start" || event == "end" || event == kEndedEvent;
}

/** @return whether the engine no longer holds the target of this event. */
bool IsRelease(const json::object &event, const std::string &name) {
  return name == "unload" || (name == "load_end" && !GetBool(event, "ok"));
}

void AddResidencyChanges(const PartRecord &engine, const std::string &target,
                         std::vector<ResidencyChange> *changes) {
  bool is_resident = false;
  for (const json::object &event : engine.m_events) {
    std::string name = GetString(event, "event");
    bool is_target = GetString(event, "target") == target;
    bool begins = name == "load_begin" && is_target && !is_resident;
    bool ends = is_resident && (IsIncarnationEnd(name) ||
                                (is_target && IsRelease(event, name)));
    if (!begins && !ends) continue;
    is_resident = begins;
    changes->push_back({GetInteger(event, "t_us"), begins ? 1 : -1});
  }
}

/** What services recorded and ww_load reported for one order key. */
struct OrderEvidence {
  int m_executions = 0;
  bool m_is_complete = false;
  bool m_may_have_run = false;
  bool m_is_sent = false;
};

/** Name and labels of a series. */
struct Series {
  std::string m_name;
  std::map<std::string, std::string> m_labels;
};

/** Parses name{label="value",...}; a quoted value may hold any character. */
Series ParseSeries(const std::string &text) {
  Series series;
  std::size_t brace = text.find('{');
  series.m_name = text.substr(0, brace);
  std::size_t at = brace == std::string::npos ? text.size() : brace + 1;
  while (at < text.size() && text[at] != '}') {
    std::size_t equals = text.find('=', at);
    if (equals == std::string::npos) break;
    std::string label = text.substr(at, equals - at);
    std::string value;
    at = equals + 1;
    bool is_quoted = at < text.size() && text[at] == '"';
    if (is_quoted) ++at;
    while (at < text.size()) {
      char c = text[at];
      bool is_end = is_quoted ? c == '"' : c == ',' || c == '}';
      if (is_end) break;
      if (is_quoted && c == '\\' && at + 1 < text.size()) c = text[++at];
      value += c;
      ++at;
    }
    if (is_quoted && at < text.size()) ++at;
    if (at < text.size() && text[at] == ',') ++at;
    series.m_labels[label] = value;
  }
  return series;
}

}  // namespace

base::Result<std::vector<json::object>> ParseJsonLines(
    const std::string &text) {
  std::vector<json::object> objects;
  std::size_t at = 0;
  while (at < text.size()) {
    std::size_t end = text.find('\n', at);
    if (end == std::string::npos) break;
    std::string line = text.substr(at, end - at);
    at = end + 1;
    if (line.empty()) continue;
    base::Result<json::object> object = standin::ParseObject(line);
    if (!object) {
      return base::MakeError(
          base::ErrorKind::kCorrupt,
          fmt::format("line {} isn't a JSON object", objects.size() + 1),
          "check that the program writes one JSON object per line");
    }
    objects.push_back(std::move(*object));
  }
  return objects;
}

base::Result<void> CheckAnswers(const json::object &report, bool allow_loss) {
  const json::object *outcomes = standin::FindObject(report, "outcomes");
  std::int64_t planned = GetInteger(report, "planned");
  if (outcomes == nullptr || planned <= 0) {
    return MakeViolation("the load sent no request");
  }
  if (SumFields(*outcomes) != planned) {
    return MakeViolation(
        fmt::format("{} requests were planned but {} have an outcome", planned,
                    SumFields(*outcomes)));
  }
  std::vector<const char *> forbidden = {"violation", "no_answer", "not_sent"};
  if (!allow_loss) {
    forbidden.push_back("lost");
    forbidden.push_back("not_connected");
    if (GetInteger(report, "lost_attempts") > 0) {
      return MakeViolation(
          fmt::format("{} connections closed without an answer",
                      GetInteger(report, "lost_attempts")));
    }
  }
  for (const char *name : forbidden) {
    std::int64_t count = GetInteger(*outcomes, name);
    if (count == 0) continue;
    std::string kinds;
    if (const json::object *kind = standin::FindObject(report, "violations")) {
      for (const auto &field : *kind) {
        kinds += " " + std::string(field.key().data(), field.key().size());
      }
    }
    return MakeViolation(
        fmt::format("{} of {} answers are {}{}", count, planned, name, kinds));
  }
  return {};
}

base::Result<void> CheckOrders(const std::vector<json::object> &outcomes,
                               const std::vector<PartRecord> &services) {
  std::map<std::string, OrderEvidence> keys;
  for (const PartRecord &service : services) {
    for (const json::object &event : service.m_events) {
      std::string key = GetString(event, "key");
      if (GetString(event, "event") != "execute" || key.empty()) continue;
      ++keys[key].m_executions;
    }
  }
  int orders = 0;
  for (const json::object &outcome : outcomes) {
    if (GetString(outcome, "kind") != "order") continue;
    ++orders;
    OrderEvidence &order = keys[GetString(outcome, "id")];
    order.m_is_sent = true;
    if (GetBool(outcome, "may_have_run")) order.m_may_have_run = true;
    if (GetString(outcome, "outcome") == "complete") order.m_is_complete = true;
  }
  if (orders == 0) return MakeViolation("the load sent no order");
  for (const auto &[key, order] : keys) {
    if (order.m_executions > 1) {
      return MakeViolation(
          fmt::format("order {} ran {} times", key, order.m_executions));
    }
    if (order.m_is_complete && order.m_executions == 0) {
      return MakeViolation(
          fmt::format("order {} was answered but never ran", key));
    }
    bool not_run = order.m_is_sent && !order.m_may_have_run;
    if (not_run && order.m_executions > 0) {
      return MakeViolation(
          fmt::format("order {} was refused as not_run but ran", key));
    }
  }
  return {};
}

base::Result<void> CheckMemory(const std::vector<PartRecord> &engines) {
  int loads = 0;
  for (const PartRecord &engine : engines) {
    std::map<std::string, std::int64_t> held;
    std::int64_t memory = 0;
    for (const json::object &event : engine.m_events) {
      std::string name = GetString(event, "event");
      std::string target = GetString(event, "target");
      if (IsIncarnationEnd(name)) held.clear();
      if (name == "start") memory = GetInteger(event, "memory_bytes");
      if (IsRelease(event, name)) held.erase(target);
      if (name != "load_begin") continue;
      ++loads;
      held[target] = GetInteger(event, "bytes");
      std::int64_t used = 0;
      for (const auto &[other, bytes] : held) used += bytes;
      if (used <= memory) continue;
      return MakeViolation(
          fmt::format("{} held {} of {} bytes when it began to load {}",
                      engine.m_name, used, memory, target));
    }
  }
  if (loads == 0) return MakeViolation("no engine has loaded anything");
  return {};
}

base::Result<void> CheckReplicas(const std::vector<PartRecord> &engines,
                                 const std::string &target, CompareOperator op,
                                 int count) {
  std::vector<ResidencyChange> changes;
  for (const PartRecord &engine : engines) {
    AddResidencyChanges(engine, target, &changes);
  }
  // At the same microsecond, releases sort before loads, so that an engine that
  // releases the target and one that begins to load it don't overlap.
  std::sort(changes.begin(), changes.end(),
            [](const ResidencyChange &a, const ResidencyChange &b) {
              return std::pair(a.m_time_us, a.m_difference) <
                     std::pair(b.m_time_us, b.m_difference);
            });
  int replicas = 0;
  int most = 0;
  for (const ResidencyChange &change : changes) {
    replicas += change.m_difference;
    most = std::max(most, replicas);
  }
  if (Compare(most, op, count)) return {};
  return MakeViolation(
      fmt::format("{} replicas of {} were held at once", most, target));
}

base::Result<void> CheckNoWork(const PartRecord &part, std::int64_t after_us) {
  bool has_work = false;
  for (const json::object &event : part.m_events) {
    std::string name = GetString(event, "event");
    bool is_work =
        name == "run_begin" || name == "execute" || name == "load_begin";
    if (!is_work) continue;
    has_work = true;
    std::int64_t late = GetInteger(event, "t_us") - after_us;
    if (late <= 0) continue;
    return MakeViolation(fmt::format("{} got new work ({}) {} ms too late",
                                     part.m_name, name, late / 1000));
  }
  if (!has_work) {
    return MakeViolation(part.m_name + " never got any work");
  }
  return {};
}

double SumMetric(const std::string &text, const std::string &series) {
  Series wanted = ParseSeries(series);
  double sum = 0.0;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    std::size_t space = line.rfind(' ');
    if (line.empty() || line[0] == '#' || space == std::string::npos) continue;
    Series found = ParseSeries(line.substr(0, space));
    if (found.m_name != wanted.m_name) continue;
    bool matches = std::all_of(
        wanted.m_labels.begin(), wanted.m_labels.end(), [&](const auto &label) {
          auto item = found.m_labels.find(label.first);
          return item != found.m_labels.end() && item->second == label.second;
        });
    if (!matches) continue;
    double value = 0.0;
    std::from_chars(line.data() + space + 1, line.data() + line.size(), value);
    sum += value;
  }
  return sum;
}

const json::value *FindField(const json::value &value,
                             const std::string &path) {
  const json::value *current = &value;
  std::istringstream parts(path);
  std::string part;
  while (std::getline(parts, part, '.')) {
    if (const json::object *object = current->if_object()) {
      current = object->if_contains(part);
    } else if (const json::array *array = current->if_array()) {
      std::size_t index = 0;
      auto [stop, code] =
          std::from_chars(part.data(), part.data() + part.size(), index);
      bool is_index = code == std::errc() && stop == part.data() + part.size();
      current = is_index ? array->if_contains(index) : nullptr;
    } else {
      return nullptr;
    }
    if (current == nullptr) return nullptr;
  }
  return current;
}

}  // namespace wasabiwind::scenario
