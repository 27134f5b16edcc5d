/** @file parse.cpp Parser of the scenario language (docs/scenarios.md). */

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <charconv>
#include <cmath>
#include <set>
#include <sstream>

#include "scenario/parse_func.h"

namespace wasabiwind::scenario {

namespace {

constexpr base::seconds kMaxLimit{900};
/** Default of `within`: an expectation must hold at once. */
constexpr base::Duration kNoWait{0};

/** Syntax of the arguments after a keyword. */
enum class ArgumentSyntax : std::uint8_t {
  kParts,      ///< NAMES
  kPartsFrom,  ///< NAMES from WORDS
  kPartsJson,  ///< NAMES JSON
  kPost,       ///< ADDRESS PATH [STATUS] JSON
  kDuration,   ///< DURATION
  kLabel,      ///< LABEL
  kCommand,    ///< ID WORDS...
  kRuns,       ///< IDS
  kExpect,
  kCheck,
  kEnd,
};

struct Keyword {
  const char *m_name;
  StatementKind m_kind;
  ArgumentSyntax m_syntax;
};

constexpr std::array<Keyword, 19> kKeywords = {{
    {"start", StatementKind::kStart, ArgumentSyntax::kParts},
    {"stop", StatementKind::kStop, ArgumentSyntax::kParts},
    {"terminate", StatementKind::kTerminate, ArgumentSyntax::kParts},
    {"kill", StatementKind::kKill, ArgumentSyntax::kParts},
    {"pause", StatementKind::kPause, ArgumentSyntax::kParts},
    {"continue", StatementKind::kContinue, ArgumentSyntax::kParts},
    {"restart", StatementKind::kRestart, ArgumentSyntax::kParts},
    {"replace", StatementKind::kReplace, ArgumentSyntax::kParts},
    {"partition", StatementKind::kPartition, ArgumentSyntax::kPartsFrom},
    {"heal", StatementKind::kHeal, ArgumentSyntax::kParts},
    {"fault", StatementKind::kFault, ArgumentSyntax::kPartsJson},
    {"post", StatementKind::kPost, ArgumentSyntax::kPost},
    {"wait", StatementKind::kWait, ArgumentSyntax::kDuration},
    {"mark", StatementKind::kMark, ArgumentSyntax::kLabel},
    {"load", StatementKind::kLoad, ArgumentSyntax::kCommand},
    {"run", StatementKind::kRun, ArgumentSyntax::kCommand},
    {"finish", StatementKind::kFinish, ArgumentSyntax::kRuns},
    {"expect", StatementKind::kExpect, ArgumentSyntax::kExpect},
    {"check", StatementKind::kCheck, ArgumentSyntax::kCheck},
}};

struct ExpectForm {
  const char *m_name;
  ExpectKind m_kind;
  std::size_t m_words;  ///< words between the name and the relation
  bool m_has_text;      ///< "contains TEXT" in place of a relation
  const char *m_usage;
};

constexpr std::array<ExpectForm, 8> kExpectForms = {{
    {"load", ExpectKind::kLoad, 2, false, "expect load ID FIELD OP VALUE"},
    {"metric", ExpectKind::kMetric, 2, false,
     "expect metric PART SERIES OP VALUE"},
    {"status", ExpectKind::kStatus, 2, false,
     "expect status ADDRESS PATH OP CODE"},
    {"json", ExpectKind::kJson, 3, false,
     "expect json ADDRESS PATH FIELD OP VALUE"},
    {"exit", ExpectKind::kExit, 1, false, "expect exit ID OP CODE"},
    {"body", ExpectKind::kBody, 2, true,
     "expect body ADDRESS PATH contains TEXT"},
    {"output", ExpectKind::kOutput, 1, true, "expect output ID contains TEXT"},
    {"log", ExpectKind::kLog, 1, true, "expect log PART contains TEXT"},
}};

struct OperatorName {
  const char *m_name;
  CompareOperator m_operator;
};

constexpr std::array<OperatorName, 6> kOperators = {{
    {"==", CompareOperator::kEqual},
    {"!=", CompareOperator::kNotEqual},
    {"<", CompareOperator::kLess},
    {"<=", CompareOperator::kLessEqual},
    {">", CompareOperator::kGreater},
    {">=", CompareOperator::kGreaterEqual},
}};

std::string Trim(const std::string &text) {
  std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) return "";
  std::size_t last = text.find_last_not_of(" \t\r");
  return text.substr(first, last - first + 1);
}

bool IsName(const std::string &word) {
  if (word.empty()) return false;
  return std::all_of(word.begin(), word.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '_' || c == '-';
  });
}

std::vector<std::string> SplitList(const std::string &word) {
  std::vector<std::string> items;
  std::istringstream stream(word);
  std::string item;
  while (std::getline(stream, item, ',')) items.push_back(item);
  return items;
}

/** A word and the position after it. */
struct Word {
  std::string m_text;
  std::size_t m_end = 0;
};

/** Parser of one file, line by line. */
class ScenarioParser {
 public:
  explicit ScenarioParser(std::string file_name)
      : m_file_name(std::move(file_name)) {}

  base::Result<Scenario> Parse(const std::string &text);

 private:
  base::Result<void> ParseLine(const std::string &line);
  base::Result<void> ParseIndented(const std::string &line);
  base::Result<void> ParseHeader(const std::string &keyword,
                                 const std::string &rest);
  base::Result<void> ParsePart(const std::string &rest);
  base::Result<void> ParseTemplate(const std::string &rest);
  base::Result<void> ParseFile(const std::string &rest);
  base::Result<void> ParseStatement(std::string line);
  base::Result<void> ParseArguments(ArgumentSyntax syntax,
                                    const std::string &rest,
                                    Statement *statement);
  base::Result<void> ParsePost(const std::string &rest, Statement *statement);
  base::Result<void> ParseCommand(const std::string &rest,
                                  Statement *statement);
  base::Result<void> ParseExpect(const std::string &rest, Statement *statement);
  base::Result<void> ParseCheck(const std::string &rest, Statement *statement);
  base::Result<void> ParseReplicas(const std::vector<std::string> &words,
                                   Statement *statement);
  base::Result<void> ParseNoWork(const std::vector<std::string> &words,
                                 Statement *statement);
  base::Result<void> ParseRelation(const std::vector<std::string> &words,
                                   std::size_t at, Statement *statement);
  base::Result<void> ExtractWithin(std::string *rest, Statement *statement);
  base::Result<void> ReadParts(const std::string &word,
                               std::vector<std::string> *names);
  base::Result<void> ReadRuns(const std::string &word,
                              std::vector<std::string> *names);
  base::Result<std::vector<std::string>> SplitWords(const std::string &text);
  base::Result<void> CheckJson(const std::string &text);
  tl::unexpected<base::Error> Fail(const std::string &message,
                                   const std::string &remedy) const;
  /** @return the error if the condition doesn't hold. */
  base::Result<void> Require(bool condition, const std::string &message,
                             const std::string &remedy) const;

  std::string m_file_name;
  Scenario m_scenario;
  int m_line = 0;
  std::set<std::string> m_part_names;
  std::set<std::string> m_file_names;
  std::set<std::string> m_runs;   ///< IDs of load and run
  std::set<std::string> m_loads;  ///< IDs of load
  std::set<std::string> m_labels;
  std::vector<PartDeclaration> m_templates;
  /** Texts that indented lines are appended to; empty: none are allowed. */
  std::vector<std::string *> m_open_blocks;
};

tl::unexpected<base::Error> ScenarioParser::Fail(
    const std::string &message, const std::string &remedy) const {
  return base::MakeError(base::ErrorKind::kInvalidArgument,
                         fmt::format("{}:{}: {}", m_file_name, m_line, message),
                         remedy);
}

base::Result<void> ScenarioParser::Require(bool condition,
                                           const std::string &message,
                                           const std::string &remedy) const {
  if (condition) return {};
  return Fail(message, remedy);
}

base::Result<Scenario> ScenarioParser::Parse(const std::string &text) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    ++m_line;
    if (auto parsed = ParseLine(line); !parsed) {
      return tl::unexpected(parsed.error());
    }
  }
  if (m_scenario.m_title.empty()) {
    return Fail("the scenario has no title", "add a line: title TEXT");
  }
  if (m_scenario.m_statements.empty()) {
    return Fail("the scenario has no statement",
                "add a line such as: start PARTS");
  }
  bool has_planted = std::any_of(
      m_scenario.m_statements.begin(), m_scenario.m_statements.end(),
      [](const Statement &statement) { return statement.m_is_planted; });
  if (has_planted && m_scenario.m_planted_failure.empty()) {
    return Fail("a planted statement has no expected failure",
                "add a line: planted-failure TEXT");
  }
  return std::move(m_scenario);
}

base::Result<void> ScenarioParser::ParseLine(const std::string &line) {
  std::string trimmed = Trim(line);
  bool is_indented = !line.empty() && (line[0] == ' ' || line[0] == '\t');
  if (is_indented && !m_open_blocks.empty()) return ParseIndented(line);
  if (trimmed.empty()) return {};
  if (trimmed[0] == '#') return {};
  if (is_indented) {
    return Fail("the line is indented but belongs to no part or file",
                "start statements in the first column");
  }
  m_open_blocks.clear();
  std::size_t end = trimmed.find_first_of(" \t");
  std::string keyword = trimmed.substr(0, end);
  std::string rest = end == std::string::npos ? "" : Trim(trimmed.substr(end));
  constexpr std::array kHeaders = {"title",    "limit", "planted-failure",
                                   "template", "part",  "file"};
  if (std::find(kHeaders.begin(), kHeaders.end(), keyword) != kHeaders.end()) {
    return ParseHeader(keyword, rest);
  }
  return ParseStatement(trimmed);
}

base::Result<void> ScenarioParser::ParseIndented(const std::string &line) {
  std::string trimmed = Trim(line);
  if (!trimmed.empty() && trimmed[0] == '#') return {};
  for (std::string *block : m_open_blocks) *block += trimmed + "\n";
  return {};
}

base::Result<void> ScenarioParser::ParseHeader(const std::string &keyword,
                                               const std::string &rest) {
  if (rest.empty()) {
    return Fail(keyword + " has no value", "write it on the same line");
  }
  if (keyword == "title") {
    m_scenario.m_title = rest;
    return {};
  }
  if (keyword == "planted-failure") {
    m_scenario.m_planted_failure = rest;
    return {};
  }
  if (keyword == "limit") {
    base::Result<base::Duration> limit = ParseDuration(rest);
    if (!limit || *limit <= base::Duration::zero() || *limit > kMaxLimit) {
      return Fail(fmt::format("limit \"{}\" is not valid", rest),
                  "write a duration of at most 15min, such as 60s");
    }
    m_scenario.m_limit = *limit;
    return {};
  }
  if (keyword == "template") return ParseTemplate(rest);
  if (keyword == "part") return ParsePart(rest);
  return ParseFile(rest);
}

base::Result<void> ScenarioParser::ParseTemplate(const std::string &rest) {
  auto words = SplitWords(rest);
  if (!words) return tl::unexpected(words.error());
  if (words->size() != 2 || !IsName((*words)[0]) || !IsName((*words)[1])) {
    return Fail("the template is incomplete", "write: template NAME PROGRAM");
  }
  for (const PartDeclaration &known : m_templates) {
    if (known.m_name == (*words)[0]) {
      return Fail("the template is declared twice", "use another name");
    }
  }
  // m_open_blocks points into the vector, so its elements must not move.
  constexpr std::size_t kMaxTemplates = 64;
  m_templates.reserve(kMaxTemplates);
  if (m_templates.size() >= kMaxTemplates) {
    return Fail("too many templates", "declare at most 64");
  }
  m_templates.push_back({(*words)[0], (*words)[1], "", m_line});
  m_open_blocks.push_back(&m_templates.back().m_settings);
  return {};
}

base::Result<void> ScenarioParser::ParsePart(const std::string &rest) {
  auto words = SplitWords(rest);
  if (!words) return tl::unexpected(words.error());
  if (words->size() != 2 || !IsName((*words)[1])) {
    return Fail("the part is incomplete",
                "write: part NAME[,NAME...] PROGRAM, or a template's name");
  }
  PartDeclaration declaration{"", (*words)[1], "", m_line};
  for (const PartDeclaration &known : m_templates) {
    if (known.m_name != declaration.m_program) continue;
    declaration.m_settings = known.m_settings;
    declaration.m_program = known.m_program;
    break;
  }
  // m_open_blocks points into the vector, so its elements must not move.
  constexpr std::size_t kMaxParts = 256;
  m_scenario.m_parts.reserve(kMaxParts);
  for (const std::string &name : SplitList((*words)[0])) {
    if (!IsName(name)) {
      return Fail(fmt::format("\"{}\" is not a name", name),
                  "use letters, digits, _ and -");
    }
    if (!m_part_names.insert(name).second) {
      return Fail(fmt::format("part {} is declared twice", name),
                  "use another name");
    }
    if (m_scenario.m_parts.size() >= kMaxParts) {
      return Fail("too many parts", "declare at most 256");
    }
    declaration.m_name = name;
    m_scenario.m_parts.push_back(declaration);
    m_open_blocks.push_back(&m_scenario.m_parts.back().m_settings);
  }
  return {};
}

base::Result<void> ScenarioParser::ParseFile(const std::string &rest) {
  bool is_plain = rest.find_first_of("/ \t") == std::string::npos &&
                  rest.find("..") == std::string::npos;
  if (!is_plain || !m_file_names.insert(rest).second) {
    return Fail(fmt::format("\"{}\" can't be the name of a file", rest),
                "write: file NAME, without folder, and only once");
  }
  constexpr std::size_t kMaxFiles = 64;
  m_scenario.m_files.reserve(kMaxFiles);
  if (m_scenario.m_files.size() >= kMaxFiles) {
    return Fail("too many files", "declare at most 64");
  }
  m_scenario.m_files.push_back({rest, ""});
  m_open_blocks.push_back(&m_scenario.m_files.back().m_text);
  return {};
}

/** Splits at spaces outside quotation marks; there are no escapes. */
base::Result<std::vector<std::string>> ScenarioParser::SplitWords(
    const std::string &text) {
  std::vector<std::string> words;
  std::string word;
  bool in_word = false;
  bool in_quotes = false;
  for (char c : text) {
    if (c == '"') {
      in_quotes = !in_quotes;
      in_word = true;
    } else if (!in_quotes && (c == ' ' || c == '\t')) {
      if (in_word) words.push_back(std::move(word));
      word.clear();
      in_word = false;
    } else {
      word += c;
      in_word = true;
    }
  }
  if (in_quotes) return Fail("a quotation mark is missing", "close it with \"");
  if (in_word) words.push_back(std::move(word));
  return words;
}

base::Result<void> ScenarioParser::ReadParts(const std::string &word,
                                             std::vector<std::string> *names) {
  std::vector<std::string> items = SplitList(word);
  if (items.empty()) return Fail("no part is named", "name a declared part");
  for (const std::string &name : items) {
    if (!m_part_names.contains(name)) {
      return Fail(fmt::format("unknown part \"{}\"", name),
                  "declare it above: part NAME PROGRAM");
    }
    names->push_back(name);
  }
  return {};
}

base::Result<void> ScenarioParser::ReadRuns(const std::string &word,
                                            std::vector<std::string> *names) {
  std::vector<std::string> items = SplitList(word);
  if (items.empty()) return Fail("no ID is given", "name a load or run");
  for (const std::string &name : items) {
    if (!m_runs.contains(name)) {
      return Fail(fmt::format("unknown ID \"{}\"", name),
                  "start it above: load ID FLAGS or run ID PROGRAM");
    }
    names->push_back(name);
  }
  return {};
}

base::Result<void> ScenarioParser::CheckJson(const std::string &text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (!error && value.is_object()) return {};
  return Fail(fmt::format("\"{}\" is not a JSON object", text),
              "write an object such as {\"slow_factor\":5}");
}

base::Result<void> ScenarioParser::ParseStatement(std::string line) {
  constexpr std::string_view kPlanted = "planted:";
  constexpr std::string_view kUnplanted = "unplanted:";
  Statement statement;
  statement.m_line = m_line;
  statement.m_text = line;
  if (line.rfind(kPlanted, 0) == 0) {
    statement.m_is_planted = true;
    line = Trim(line.substr(kPlanted.size()));
  } else if (line.rfind(kUnplanted, 0) == 0) {
    statement.m_is_unplanted = true;
    line = Trim(line.substr(kUnplanted.size()));
  }
  std::size_t end = line.find_first_of(" \t");
  std::string keyword = line.substr(0, end);
  std::string rest = end == std::string::npos ? "" : Trim(line.substr(end));
  for (const Keyword &known : kKeywords) {
    if (keyword != known.m_name) continue;
    statement.m_kind = known.m_kind;
    if (auto parsed = ParseArguments(known.m_syntax, rest, &statement);
        !parsed) {
      return parsed;
    }
    m_scenario.m_statements.push_back(std::move(statement));
    return {};
  }
  std::string known_names;
  for (const Keyword &known : kKeywords) {
    known_names += fmt::format(" {}", known.m_name);
  }
  return Fail(fmt::format("unknown statement \"{}\"", keyword),
              "use one of:" + known_names);
}

base::Result<void> ScenarioParser::ParseArguments(ArgumentSyntax syntax,
                                                  const std::string &rest,
                                                  Statement *statement) {
  if (syntax == ArgumentSyntax::kExpect) return ParseExpect(rest, statement);
  if (syntax == ArgumentSyntax::kCheck) return ParseCheck(rest, statement);
  if (syntax == ArgumentSyntax::kCommand) return ParseCommand(rest, statement);
  if (syntax == ArgumentSyntax::kPost) return ParsePost(rest, statement);
  if (syntax == ArgumentSyntax::kPartsJson) {
    std::size_t end = rest.find_first_of(" \t");
    std::string json = end == std::string::npos ? "" : Trim(rest.substr(end));
    if (auto read = ReadParts(rest.substr(0, end), &statement->m_names); !read)
      return read;
    statement->m_value = json;
    return CheckJson(json);
  }
  auto words = SplitWords(rest);
  if (!words) return tl::unexpected(words.error());
  std::size_t wanted = syntax == ArgumentSyntax::kPartsFrom ? 3 : 1;
  if (words->size() != wanted) {
    return Fail(fmt::format("expected {1} words after the keyword, found {0}",
                            words->size(), wanted),
                "see docs/scenarios.md");
  }
  switch (syntax) {
    case ArgumentSyntax::kParts:
      return ReadParts((*words)[0], &statement->m_names);
    case ArgumentSyntax::kPartsFrom:
      if ((*words)[1] != "from") {
        return Fail("\"from\" is missing",
                    "write: partition PARTS from NODES (names or addresses)");
      }
      statement->m_arguments = SplitList((*words)[2]);
      return ReadParts((*words)[0], &statement->m_names);
    case ArgumentSyntax::kRuns:
      return ReadRuns((*words)[0], &statement->m_names);
    case ArgumentSyntax::kLabel:
      if (!IsName((*words)[0])) {
        return Fail("the label is not a name", "use letters, digits, _ and -");
      }
      m_labels.insert((*words)[0]);
      statement->m_arguments = *words;
      return {};
    default:
      break;
  }
  base::Result<base::Duration> duration = ParseDuration((*words)[0]);
  if (!duration || *duration > kMaxLimit) {
    return Fail(fmt::format("\"{}\" is not a duration", (*words)[0]),
                "write a number with ms, s or min, such as 250ms");
  }
  statement->m_duration = *duration;
  return {};
}

base::Result<void> ScenarioParser::ParsePost(const std::string &rest,
                                             Statement *statement) {
  std::size_t brace = rest.find('{');
  // Skips the brace of ${NAME} in the address, which isn't that of the JSON.
  while (brace != std::string::npos && brace > 0 && rest[brace - 1] == '$') {
    brace = rest.find('{', brace + 1);
  }
  auto words = SplitWords(Trim(rest.substr(0, brace)));
  if (!words) return tl::unexpected(words.error());
  bool is_complete =
      brace != std::string::npos && words->size() >= 2 && words->size() <= 3;
  if (!is_complete) {
    return Fail("the post is incomplete",
                "write: post ADDRESS PATH [STATUS] JSON");
  }
  statement->m_arguments = *words;
  statement->m_value = rest.substr(brace);
  return CheckJson(statement->m_value);
}

base::Result<void> ScenarioParser::ParseCommand(const std::string &rest,
                                                Statement *statement) {
  auto words = SplitWords(rest);
  if (!words) return tl::unexpected(words.error());
  bool is_load = statement->m_kind == StatementKind::kLoad;
  std::size_t least = is_load ? 1 : 2;
  if (words->size() < least || !IsName((*words)[0])) {
    return Fail(
        "the command is incomplete",
        is_load ? "write: load ID FLAGS" : "write: run ID PROGRAM ARGUMENTS");
  }
  if (m_part_names.contains((*words)[0]) ||
      !m_runs.insert((*words)[0]).second) {
    return Fail(fmt::format("ID \"{}\" is already in use", (*words)[0]),
                "use another ID");
  }
  if (is_load) {
    m_loads.insert((*words)[0]);
  } else if (!IsName((*words)[1])) {
    return Fail("the program is not a name",
                "name a program of this project, such as wwctl");
  }
  statement->m_names = {(*words)[0]};
  statement->m_arguments.assign(words->begin() + 1, words->end());
  return {};
}

/** Removes a "within DURATION" at the end and stores the duration. */
base::Result<void> ScenarioParser::ExtractWithin(std::string *rest,
                                                 Statement *statement) {
  constexpr std::string_view kWithin = " within ";
  statement->m_within = kNoWait;
  std::size_t found = rest->rfind(kWithin);
  if (found == std::string::npos) return {};
  std::string text = Trim(rest->substr(found + kWithin.size()));
  base::Result<base::Duration> within = ParseDuration(text);
  if (!within || *within > kMaxLimit) {
    return Fail(fmt::format("\"{}\" is not a duration", text),
                "write: within 5s");
  }
  statement->m_within = *within;
  *rest = Trim(rest->substr(0, found));
  return {};
}

base::Result<void> ScenarioParser::ParseRelation(
    const std::vector<std::string> &words, std::size_t at,
    Statement *statement) {
  if (words.size() != at + 2) {
    return Fail("the relation is incomplete",
                "write an operator and a value, such as >= 5");
  }
  for (const OperatorName &name : kOperators) {
    if (words[at] == name.m_name) statement->m_operator = name.m_operator;
  }
  if (statement->m_operator == CompareOperator::kEnd) {
    return Fail(fmt::format("unknown operator \"{}\"", words[at]),
                "use == != < <= > or >=");
  }
  statement->m_value = words[at + 1];
  return {};
}

base::Result<void> ScenarioParser::ParseExpect(const std::string &rest,
                                               Statement *statement) {
  std::string text = rest;
  if (auto extracted = ExtractWithin(&text, statement); !extracted)
    return extracted;
  auto words = SplitWords(text);
  if (!words) return tl::unexpected(words.error());
  std::string subject = words->empty() ? "" : words->front();
  if (subject == "running" || subject == "exited") {
    statement->m_expect =
        subject == "running" ? ExpectKind::kRunning : ExpectKind::kExited;
    if (words->size() != 2) {
      return Fail("exactly one part must be named",
                  "write: expect " + subject + " PART");
    }
    return ReadParts((*words)[1], &statement->m_names);
  }
  for (const ExpectForm &form : kExpectForms) {
    if (subject != form.m_name) continue;
    statement->m_expect = form.m_kind;
    std::size_t relation_index = form.m_words + 1;
    if (words->size() != relation_index + 2) {
      return Fail("the expectation is incomplete",
                  fmt::format("write: {}", form.m_usage));
    }
    statement->m_arguments.assign(
        words->begin() + 1,
        words->begin() + static_cast<std::ptrdiff_t>(relation_index));
    base::Result<void> named;
    const std::string &first = statement->m_arguments.front();
    switch (form.m_kind) {
      case ExpectKind::kLoad:
        named = Require(m_loads.contains(first),
                        fmt::format("unknown load \"{}\"", first),
                        "start it above: load ID FLAGS");
        break;
      case ExpectKind::kExit:
      case ExpectKind::kOutput:
        named = ReadRuns(first, &statement->m_names);
        break;
      case ExpectKind::kMetric:
      case ExpectKind::kLog:
        named = ReadParts(first, &statement->m_names);
        break;
      default:
        break;
    }
    if (!named) return named;
    if (!form.m_has_text)
      return ParseRelation(*words, relation_index, statement);
    statement->m_value = words->back();
    return Require((*words)[relation_index] == "contains",
                   "\"contains\" is missing",
                   fmt::format("write: {}", form.m_usage));
  }
  return Fail(fmt::format("unknown expectation \"{}\"", subject),
              "use load, metric, status, json, exit, body, output, log, "
              "running or exited");
}

base::Result<void> ScenarioParser::ParseCheck(const std::string &rest,
                                              Statement *statement) {
  auto words = SplitWords(rest);
  if (!words) return tl::unexpected(words.error());
  std::string subject = words->empty() ? "" : words->front();
  if (subject == "answers") {
    statement->m_check = CheckKind::kAnswers;
    bool allows_loss = words->size() == 3 && (*words)[2] == "allow-loss";
    if (words->size() != 2 && !allows_loss) {
      return Fail("the check is incomplete",
                  "write: check answers IDS [allow-loss]");
    }
    if (allows_loss) statement->m_arguments = {"allow-loss"};
    return ReadRuns((*words)[1], &statement->m_names);
  }
  if (subject == "orders") {
    statement->m_check = CheckKind::kOrders;
    if (words->size() != 4 || (*words)[2] != "at") {
      return Fail("the check is incomplete",
                  "write: check orders IDS at SERVICES");
    }
    if (auto read = ReadRuns((*words)[1], &statement->m_names); !read) {
      return read;
    }
    return ReadParts((*words)[3], &statement->m_parts);
  }
  if (subject == "memory") {
    statement->m_check = CheckKind::kMemory;
    if (words->size() != 2) {
      return Fail("the check is incomplete", "write: check memory ENGINES");
    }
    return ReadParts((*words)[1], &statement->m_parts);
  }
  if (subject == "replicas") return ParseReplicas(*words, statement);
  if (subject == "no-work") return ParseNoWork(*words, statement);
  return Fail(fmt::format("unknown check \"{}\"", subject),
              "use answers, orders, memory, replicas or no-work");
}

base::Result<void> ScenarioParser::ParseReplicas(
    const std::vector<std::string> &words, Statement *statement) {
  statement->m_check = CheckKind::kReplicas;
  if (words.size() != 5) {
    return Fail("the check is incomplete",
                "write: check replicas ENGINES TARGET <= N");
  }
  if (auto read = ReadParts(words[1], &statement->m_parts); !read) return read;
  statement->m_arguments = {words[2]};
  return ParseRelation(words, 3, statement);
}

base::Result<void> ScenarioParser::ParseNoWork(
    const std::vector<std::string> &words, Statement *statement) {
  statement->m_check = CheckKind::kNoWork;
  bool is_complete = words.size() == 5 && words[2] == "after";
  base::Result<base::Duration> duration =
      is_complete ? ParseDuration(words[4]) : base::Duration(0);
  if (!is_complete || !duration) {
    return Fail("the check is incomplete",
                "write: check no-work PART after LABEL DURATION");
  }
  if (!m_labels.contains(words[3])) {
    return Fail(fmt::format("unknown label \"{}\"", words[3]),
                "set it above: mark LABEL");
  }
  statement->m_arguments = {words[3]};
  statement->m_duration = *duration;
  return ReadParts(words[1], &statement->m_parts);
}

}  // namespace

base::Result<Scenario> ParseScenario(const std::string &text,
                                     const std::string &file_name) {
  return ScenarioParser(file_name).Parse(text);
}

base::Result<base::Duration> ParseDuration(const std::string &text) {
  struct Suffix {
    const char *m_text;
    double m_milliseconds;
  };
  constexpr std::array<Suffix, 3> kSuffixes = {
      {{"ms", 1.0}, {"min", 60'000.0}, {"s", 1'000.0}}};
  double value = 0.0;
  const char *end = text.data() + text.size();
  auto [stop, code] = std::from_chars(text.data(), end, value);
  std::string suffix(stop, end);
  constexpr double kMaxMilliseconds = 86'400'000.0;
  for (const Suffix &known : kSuffixes) {
    if (code != std::errc() || suffix != known.m_text) continue;
    double milliseconds = value * known.m_milliseconds;
    if (!(milliseconds >= 0.0) || milliseconds > kMaxMilliseconds) break;
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
  }
  return base::MakeError(base::ErrorKind::kInvalidArgument,
                         fmt::format("\"{}\" is not a duration", text),
                         "write a number with ms, s or min, such as 250ms");
}

bool Compare(double left, CompareOperator op, double right) {
  switch (op) {
    case CompareOperator::kEqual:
      return left == right;
    case CompareOperator::kNotEqual:
      return left != right;
    case CompareOperator::kLess:
      return left < right;
    case CompareOperator::kLessEqual:
      return left <= right;
    case CompareOperator::kGreater:
      return left > right;
    default:
      return left >= right;
  }
}

}  // namespace wasabiwind::scenario
