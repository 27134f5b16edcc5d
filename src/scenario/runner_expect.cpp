/** @file runner_expect.cpp Expectations and checks of a scenario. */

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>
#include <thread>

#include "net/http_client.h"
#include "scenario/parse_func.h"
#include "scenario/runner_base.h"
#include "scenario/runner_internal.h"
#include "standin/json_func.h"
#include "standin/record_base.h"

namespace wasabiwind::scenario {

namespace json = boost::json;

namespace {

std::string ToText(const json::value &value) {
  if (value.is_string()) {
    return {value.as_string().data(), value.as_string().size()};
  }
  return json::serialize(value);
}

/** @return whether the whole text is a number. */
bool ReadNumber(const std::string &text, double *number) {
  std::istringstream stream(text);
  stream >> *number;
  return !stream.fail() && stream.peek() == EOF;
}

}  // namespace

/** Checks the expectation repeatedly until it holds or its time has passed. */
base::Result<void> Runner::Expect(const Statement &statement) {
  base::TimePoint end =
      std::min(m_deadline, base::Clock::now() + statement.m_within);
  while (true) {
    base::Result<void> result = ExpectOnce(statement);
    if (result || base::Clock::now() >= end) return result;
    std::this_thread::sleep_for(kPollInterval);
  }
}

base::Result<void> Runner::ExpectOnce(const Statement &statement) {
  switch (statement.m_expect) {
    case ExpectKind::kLoad:
      return ExpectLoad(statement);
    case ExpectKind::kMetric:
      return ExpectMetric(statement);
    case ExpectKind::kStatus:
    case ExpectKind::kBody:
    case ExpectKind::kJson:
      return ExpectAnswer(statement);
    case ExpectKind::kExit:
      return ExpectExit(statement);
    case ExpectKind::kOutput: {
      const std::string &id = statement.m_arguments[0];
      if (auto done = FinishCommand(id); !done) {
        return tl::unexpected(done.error());
      }
      return ExpectText(statement, ReadFile(GetPath(id + ".out")).value_or(""));
    }
    case ExpectKind::kLog:
      return ExpectText(
          statement,
          ReadFile(GetPath(statement.m_arguments[0] + ".log")).value_or(""));
    default:
      return ExpectProcess(statement);
  }
}

base::Result<void> Runner::ExpectLoad(const Statement &statement) {
  auto report = ReadReport(statement.m_arguments[0]);
  if (!report) return tl::unexpected(report.error());
  return ExpectJson(statement, json::serialize(*report),
                    statement.m_arguments[1]);
}

base::Result<void> Runner::ExpectMetric(const Statement &statement) {
  auto answer = Fetch("GET", GetAddress(statement.m_arguments[0], "admin"),
                      "/metrics", "");
  if (!answer) return MakeFailure(answer.error().ToString());
  double value = SumMetric(answer->m_body, statement.m_arguments[1]);
  double wanted = 0.0;
  if (!ReadNumber(statement.m_value, &wanted)) {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           statement.m_value + " is not a number",
                           "compare a metric with a number");
  }
  if (Compare(value, statement.m_operator, wanted)) return {};
  return MakeFailure(fmt::format("the value is {}", value));
}

base::Result<void> Runner::ExpectAnswer(const Statement &statement) {
  auto answer =
      Fetch("GET", statement.m_arguments[0], statement.m_arguments[1], "");
  if (!answer) return MakeFailure(answer.error().ToString());
  if (statement.m_expect == ExpectKind::kBody) {
    return ExpectText(statement, answer->m_body);
  }
  if (statement.m_expect == ExpectKind::kJson) {
    return ExpectJson(statement, answer->m_body, statement.m_arguments[2]);
  }
  double wanted = 0.0;
  bool is_number = ReadNumber(statement.m_value, &wanted);
  bool holds =
      is_number && Compare(answer->m_status, statement.m_operator, wanted);
  if (holds) return {};
  return MakeFailure(
      fmt::format("the response has status {}", answer->m_status));
}

/** Compares numbers by value and other fields as text. The value to compare
 * with may also be a path in the same document. */
base::Result<void> Runner::ExpectJson(const Statement &statement,
                                      const std::string &text,
                                      const std::string &path) {
  json::error_code error;
  json::value document = json::parse(text, error);
  const json::value *field = error ? nullptr : FindField(document, path);
  if (field == nullptr) return MakeFailure(fmt::format("no field {}", path));
  std::string left = ToText(*field);
  std::string right = statement.m_value;
  if (const json::value *other = FindField(document, right)) {
    right = ToText(*other);
  }
  double left_number = 0.0;
  double right_number = 0.0;
  bool holds = false;
  if (ReadNumber(left, &left_number) && ReadNumber(right, &right_number)) {
    holds = Compare(left_number, statement.m_operator, right_number);
  } else if (statement.m_operator == CompareOperator::kEqual) {
    holds = left == right;
  } else if (statement.m_operator == CompareOperator::kNotEqual) {
    holds = left != right;
  }
  if (holds) return {};
  return MakeFailure(fmt::format("the value is {}", left.substr(0, 300)));
}

base::Result<void> Runner::ExpectExit(const Statement &statement) {
  auto status = FinishCommand(statement.m_arguments[0]);
  if (!status) return tl::unexpected(status.error());
  double wanted = 0.0;
  bool is_number = ReadNumber(statement.m_value, &wanted);
  bool holds = is_number && status->m_signal == 0 &&
               Compare(status->m_code, statement.m_operator, wanted);
  if (holds) return {};
  return MakeFailure(
      fmt::format("it ended with {}: {}", status->ToString(),
                  ReadFileEnd(GetPath(statement.m_arguments[0] + ".out"))));
}

base::Result<void> Runner::ExpectText(const Statement &statement,
                                      const std::string &text) {
  if (text.find(statement.m_value) != std::string::npos) return {};
  constexpr std::size_t kShown = 500;
  return MakeFailure(fmt::format("the text is: {}", text.substr(0, kShown)));
}

base::Result<void> Runner::ExpectProcess(const Statement &statement) {
  Part &part = m_parts[statement.m_names[0]];
  bool wanted = statement.m_expect == ExpectKind::kRunning;
  if (part.m_process.IsRunning() == wanted) return {};
  return MakeFailure(wanted ? "it isn't running" : "it is running");
}

base::Result<void> Runner::Check(const Statement &statement) {
  if (statement.m_check == CheckKind::kAnswers) {
    for (const std::string &id : statement.m_names) {
      auto report = ReadReport(id);
      if (!report) return tl::unexpected(report.error());
      auto checked = CheckAnswers(*report, !statement.m_arguments.empty());
      if (!checked) return checked;
    }
    return {};
  }
  if (statement.m_check == CheckKind::kOrders) return CheckAllOrders(statement);
  auto records = ReadRecords(statement.m_parts);
  if (!records) return tl::unexpected(records.error());
  if (statement.m_check == CheckKind::kMemory) return CheckMemory(*records);
  if (statement.m_check == CheckKind::kReplicas) {
    double count = 0.0;
    ReadNumber(statement.m_value, &count);
    return CheckReplicas(*records, statement.m_arguments[0],
                         statement.m_operator, static_cast<int>(count));
  }
  std::int64_t after = m_marks[statement.m_arguments[0]] +
                       std::chrono::duration_cast<std::chrono::microseconds>(
                           statement.m_duration)
                           .count();
  for (const PartRecord &record : *records) {
    if (auto checked = CheckNoWork(record, after); !checked) return checked;
  }
  return {};
}

base::Result<void> Runner::CheckAllOrders(const Statement &statement) {
  std::vector<json::object> outcomes;
  for (const std::string &id : statement.m_names) {
    if (auto report = ReadReport(id); !report) {
      return tl::unexpected(report.error());
    }
    auto text = ReadFile(GetPath(id + ".outcomes"));
    if (!text) return tl::unexpected(text.error());
    auto lines = ParseJsonLines(*text);
    if (!lines) return tl::unexpected(lines.error());
    outcomes.insert(outcomes.end(), lines->begin(), lines->end());
  }
  auto records = ReadRecords(statement.m_parts);
  if (!records) return tl::unexpected(records.error());
  return CheckOrders(outcomes, *records);
}

base::Result<json::object> Runner::ReadReport(const std::string &id) {
  if (auto done = FinishCommand(id); !done) {
    return tl::unexpected(done.error());
  }
  auto text = ReadFile(GetPath(id + ".json"));
  if (!text) return tl::unexpected(text.error());
  return standin::ParseObject(*text);
}

base::Result<std::vector<PartRecord>> Runner::ReadRecords(
    const std::vector<std::string> &names) {
  std::vector<PartRecord> records;
  for (const std::string &name : names) {
    auto text = ReadFile(GetPath(name + ".record"));
    if (!text) return tl::unexpected(text.error());
    auto events = ParseJsonLines(*text);
    if (!events) return tl::unexpected(events.error());
    records.push_back(PartRecord{name, std::move(*events)});
  }
  return records;
}

}  // namespace wasabiwind::scenario
