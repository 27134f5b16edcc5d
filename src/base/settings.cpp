/** @file settings.cpp Parses and prints INI settings as protobuf messages. */

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>
#include <ini.h>
#include <settings_options.pb.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/settings_func.h"

namespace wasabiwind::base {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

struct UnitSuffix {
  gen::Unit m_unit;
  const char *m_suffix;
  double m_factor;  ///< stored units per written unit
};

/** A suffix that ends in another one comes before it, so that "ms" isn't read
 * as "s". */
constexpr std::array<UnitSuffix, 10> kUnitSuffixes = {{
    {gen::UNIT_MILLISECONDS, "ms", 1.0},
    {gen::UNIT_MILLISECONDS, "min", 60'000.0},
    {gen::UNIT_MILLISECONDS, "s", 1'000.0},
    {gen::UNIT_MILLISECONDS, "h", 3'600'000.0},
    {gen::UNIT_MILLISECONDS, "d", 86'400'000.0},
    {gen::UNIT_BYTES, "KiB", 1024.0},
    {gen::UNIT_BYTES, "MiB", 1048576.0},
    {gen::UNIT_BYTES, "GiB", 1073741824.0},
    {gen::UNIT_BYTES, "B", 1.0},
    {gen::UNIT_RATIO, "%", 0.01},
}};

const char *DescribeUnit(gen::Unit unit) {
  switch (unit) {
    case gen::UNIT_MILLISECONDS:
      return "write a number with ms, s, min, h or d, such as 250ms";
    case gen::UNIT_BYTES:
      return "write a number with B, KiB, MiB or GiB, such as 64MiB";
    case gen::UNIT_RATIO:
      return "write a ratio such as 0.25 or 25%";
    default:
      return "write a plain number";
  }
}

/** inih truncates section names to 49 characters. */
constexpr std::size_t kMaxSectionLength = 49;
/** Printed lists are wrapped at this length, well below the 200 characters of a
 * line that inih reads. */
constexpr std::size_t kListLineLength = 120;

/** State of one parse; the reader and handler callbacks of inih share it. */
struct Parser {
  std::istringstream m_input;
  std::string m_file_name;
  int m_line = 0;
  Message *m_settings = nullptr;
  /** Messages of the sections read so far, by section name. Searching the
   * repeated field for each label would take quadratic time. */
  absl::flat_hash_map<std::string, Message *> m_sections;
  /** Keys that the file has set, to refuse a second value. */
  absl::flat_hash_set<std::pair<const Message *, const FieldDescriptor *>>
      m_given_keys;
  std::string m_section_name;  ///< of m_section
  Message *m_section = nullptr;
  bool m_is_continuation = false;  ///< the current line begins with a space
  Error m_error;
  bool m_failed = false;
};

bool Fail(Parser *parser, const std::string &key, const std::string &message,
          const std::string &remedy) {
  if (parser->m_failed) return false;
  parser->m_failed = true;
  parser->m_error = Error{ErrorKind::kInvalidSettings,
                          fmt::format("{}:{}: {}: {}", parser->m_file_name,
                                      parser->m_line, key, message),
                          remedy};
  return false;
}

const gen::SettingRule &GetRule(const FieldDescriptor &field) {
  return field.options().GetExtension(gen::setting);
}

std::string ListFields(const google::protobuf::Descriptor &descriptor) {
  std::string names;
  for (int i = 0; i < descriptor.field_count(); ++i) {
    if (!names.empty()) names += ", ";
    names += descriptor.field(i)->name();
  }
  return names;
}

/** Parses a number with the suffix of its unit. */
Result<double> ParseNumber(const std::string &text, gen::Unit unit) {
  std::string digits = text;
  double factor = 1.0;
  bool needs_suffix = unit == gen::UNIT_MILLISECONDS || unit == gen::UNIT_BYTES;
  bool has_suffix = false;
  for (const UnitSuffix &suffix : kUnitSuffixes) {
    std::size_t length = std::strlen(suffix.m_suffix);
    if (suffix.m_unit != unit || text.size() <= length) continue;
    if (text.compare(text.size() - length, length, suffix.m_suffix) != 0) {
      continue;
    }
    digits = text.substr(0, text.size() - length);
    factor = suffix.m_factor;
    has_suffix = true;
    break;
  }
  double value = 0.0;
  const char *end = digits.data() + digits.size();
  auto [stop, code] = std::from_chars(digits.data(), end, value);
  bool is_number = code == std::errc() && stop == end && std::isfinite(value);
  if (!is_number || (needs_suffix && !has_suffix && value != 0.0)) {
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("\"{}\" is not valid", text),
                     DescribeUnit(unit));
  }
  return value * factor;
}

Result<void> CheckRange(double value, const std::string &text,
                        const gen::SettingRule &rule) {
  bool has_bounds = rule.min() != 0.0 || rule.max() != 0.0;
  if (!has_bounds || (value >= rule.min() && value <= rule.max())) return {};
  return MakeError(
      ErrorKind::kInvalidSettings,
      fmt::format("\"{}\" is out of range [{}, {}]", text, rule.min(),
                  rule.max()),
      rule.remedy().empty() ? DescribeUnit(rule.unit()) : rule.remedy());
}

Result<void> SetNumber(Message *section, const FieldDescriptor &field,
                       const std::string &text) {
  const gen::SettingRule &rule = GetRule(field);
  Result<double> value = ParseNumber(text, rule.unit());
  if (!value) return tl::unexpected(value.error());
  if (Result<void> range = CheckRange(*value, text, rule); !range) {
    return range;
  }
  const Reflection *reflection = section->GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    reflection->SetDouble(section, &field, *value);
    return {};
  }
  // A fraction of a millisecond or byte is rounded; a fraction of a count is a
  // mistake.
  if (rule.unit() == gen::UNIT_MILLISECONDS || rule.unit() == gen::UNIT_BYTES) {
    value = std::round(*value);
  }
  constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53
  if (std::abs(*value) > kMaxExactInteger || std::floor(*value) != *value) {
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("\"{}\" is not a whole number", text),
                     DescribeUnit(rule.unit()));
  }
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_INT64) {
    reflection->SetInt64(section, &field, static_cast<std::int64_t>(*value));
    return {};
  }
  assert(field.cpp_type() == FieldDescriptor::CPPTYPE_INT32);
  if (std::abs(*value) > 2147483647.0) {
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("\"{}\" is too large", text),
                     "write a number below 2147483648");
  }
  reflection->SetInt32(section, &field, static_cast<std::int32_t>(*value));
  return {};
}

Result<void> SetBool(Message *section, const FieldDescriptor &field,
                     const std::string &text) {
  if (text != "true" && text != "false") {
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("\"{}\" is not valid", text),
                     "write true or false");
  }
  section->GetReflection()->SetBool(section, &field, text == "true");
  return {};
}

/** Adds the items of a comma-separated list to a repeated string field. */
void AppendList(Message *section, const FieldDescriptor &field,
                const std::string &text) {
  const Reflection *reflection = section->GetReflection();
  std::istringstream items(text);
  std::string item;
  while (std::getline(items, item, ',')) {
    std::size_t first = item.find_first_not_of(" \t");
    if (first == std::string::npos) continue;
    std::size_t last = item.find_last_not_of(" \t");
    reflection->AddString(section, &field,
                          item.substr(first, last - first + 1));
  }
}

Result<void> SetField(Message *section, const FieldDescriptor &field,
                      const std::string &text) {
  if (field.is_repeated()) {
    assert(field.cpp_type() == FieldDescriptor::CPPTYPE_STRING);
    section->GetReflection()->ClearField(section, &field);
    AppendList(section, field, text);
    return {};
  }
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      section->GetReflection()->SetString(section, &field, text);
      return {};
    case FieldDescriptor::CPPTYPE_BOOL:
      return SetBool(section, field, text);
    default:
      return SetNumber(section, field, text);
  }
}

Result<void> ApplyDefaults(Message *section) {
  const google::protobuf::Descriptor &descriptor = *section->GetDescriptor();
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor &field = *descriptor.field(i);
    const gen::SettingRule &rule = GetRule(field);
    if (rule.default_value().empty()) continue;
    Result<void> result = SetField(section, field, rule.default_value());
    if (!result) return result;
  }
  return {};
}

/** Parts of a section name, such as "upstream a1". */
struct SectionName {
  std::string m_field;
  std::string m_label;
};

SectionName SplitSectionName(const std::string &section) {
  std::size_t space = section.find(' ');
  if (space == std::string::npos) return {section, ""};
  std::size_t label = section.find_first_not_of(' ', space);
  return {section.substr(0, space),
          label == std::string::npos ? "" : section.substr(label)};
}

/** Adds an element with its defaults and this label. */
Message *AddElement(Message *settings, const FieldDescriptor &field,
                    const std::string &label) {
  const FieldDescriptor *name = field.message_type()->FindFieldByName("name");
  assert(name != nullptr);
  Message *element = settings->GetReflection()->AddMessage(settings, &field);
  if (!ApplyDefaults(element)) return nullptr;
  element->GetReflection()->SetString(element, name, label);
  return element;
}

Message *AddSection(Parser *parser, const std::string &section) {
  SectionName parts = SplitSectionName(section);
  const google::protobuf::Descriptor &root =
      *parser->m_settings->GetDescriptor();
  const FieldDescriptor *field = root.FindFieldByName(parts.m_field);
  if (field == nullptr) {
    Fail(parser, "[" + section + "]", "unknown section",
         "use one of: " + ListFields(root));
    return nullptr;
  }
  if (field->is_repeated() == parts.m_label.empty()) {
    Fail(parser, "[" + section + "]",
         field->is_repeated() ? "the section has no label"
                              : "the section takes no label",
         fmt::format("write [{}{}]", parts.m_field,
                     field->is_repeated() ? " LABEL" : ""));
    return nullptr;
  }
  if (field->is_repeated()) {
    return AddElement(parser->m_settings, *field, parts.m_label);
  }
  return parser->m_settings->GetReflection()->MutableMessage(parser->m_settings,
                                                             field);
}

/** @return the message of a section, or nullptr after an error. */
Message *FindSection(Parser *parser, const std::string &section) {
  if (parser->m_section != nullptr && parser->m_section_name == section) {
    return parser->m_section;
  }
  SectionName parts = SplitSectionName(section);
  std::string key = parts.m_field + ' ' + parts.m_label;
  auto found = parser->m_sections.find(key);
  Message *message = found != parser->m_sections.end()
                         ? found->second
                         : AddSection(parser, section);
  if (message == nullptr) return nullptr;
  parser->m_sections.emplace(std::move(key), message);
  parser->m_section_name = section;
  parser->m_section = message;
  return message;
}

int HandleKey(void *user, const char *section, const char *key,
              const char *value) {
  auto *parser = static_cast<Parser *>(user);
  if (parser->m_failed) return 0;
  Message *section_message = FindSection(parser, section);
  if (section_message == nullptr) return 0;
  const FieldDescriptor *field =
      section_message->GetDescriptor()->FindFieldByName(key);
  if (field == nullptr) {
    Fail(parser, key, fmt::format("unknown key in section [{}]", section),
         "use one of: " + ListFields(*section_message->GetDescriptor()));
    return 0;
  }
  bool is_new = parser->m_given_keys.emplace(section_message, field).second;
  if (!is_new && parser->m_is_continuation && field->is_repeated()) {
    AppendList(section_message, *field, value);
    return 1;
  }
  if (!is_new) {
    Fail(parser, key, "the key is given twice", "remove one of the lines");
    return 0;
  }
  if (Result<void> result = SetField(section_message, *field, value); !result) {
    Fail(parser, key, result.error().m_message, result.error().m_remedy);
    return 0;
  }
  return 1;
}

/**
 * Registers a section at its header line. inih reports keys only and truncates
 * long section names without an error, so sections without keys would be lost
 * and sections whose names start alike would be merged.
 */
void RegisterSection(Parser *parser, const std::string &line) {
  if (line.empty() || line[0] != '[') return;
  std::size_t end = line.find(']');
  if (end == std::string::npos) return;  // inih reports the line
  std::string section = line.substr(1, end - 1);
  // inih takes the rest of the line for a comment and reports the missing "]".
  if (section.find(" ;") != std::string::npos) return;
  if (section.size() > kMaxSectionLength) {
    Fail(parser, "[" + section + "]", "the section name is too long",
         fmt::format("keep it within {} characters", kMaxSectionLength));
    return;
  }
  FindSection(parser, section);
}

char *ReadLine(char *buffer, int size, void *stream) {
  auto *parser = static_cast<Parser *>(stream);
  std::string line;
  if (!std::getline(parser->m_input, line)) return nullptr;
  ++parser->m_line;
  // A renderer that knows no optional sections leaves them in a template. The
  // defaults hold for them.
  if (line.starts_with("{{")) line.clear();
  parser->m_is_continuation =
      !line.empty() && (line[0] == ' ' || line[0] == '\t');
  if (line.size() + 2 > static_cast<std::size_t>(size)) {
    Fail(parser, "line", "the line is too long",
         fmt::format("keep lines below {} characters", size - 2));
    line.resize(static_cast<std::size_t>(size) - 2);
  }
  if (!parser->m_failed) RegisterSection(parser, line);
  line += '\n';
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

Result<void> CheckRequired(const std::string &file_name,
                           const std::string &section_name,
                           const Message &section) {
  const google::protobuf::Descriptor &descriptor = *section.GetDescriptor();
  const Reflection *reflection = section.GetReflection();
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor &field = *descriptor.field(i);
    const gen::SettingRule &rule = GetRule(field);
    if (!rule.required()) continue;
    bool is_present = field.is_repeated()
                          ? reflection->FieldSize(section, &field) > 0
                          : reflection->HasField(section, &field);
    if (is_present) continue;
    return MakeError(ErrorKind::kInvalidSettings,
                     fmt::format("{}: [{}] {}: the key is required", file_name,
                                 section_name, field.name()),
                     rule.remedy());
  }
  return {};
}

/** Calls a function for each section message, with its printed name. */
template <typename Function>
void ForEachSection(const Message &settings, Function function) {
  const google::protobuf::Descriptor &root = *settings.GetDescriptor();
  const Reflection *reflection = settings.GetReflection();
  for (int i = 0; i < root.field_count(); ++i) {
    const FieldDescriptor &field = *root.field(i);
    if (!field.is_repeated()) {
      function(field.name(), reflection->GetMessage(settings, &field));
      continue;
    }
    const FieldDescriptor *name = field.message_type()->FindFieldByName("name");
    for (int j = 0; j < reflection->FieldSize(settings, &field); ++j) {
      const Message &element =
          reflection->GetRepeatedMessage(settings, &field, j);
      function(field.name() + " " +
                   element.GetReflection()->GetString(element, name),
               element);
    }
  }
}

std::string PrintValue(const Message &section, const FieldDescriptor &field) {
  const Reflection *reflection = section.GetReflection();
  if (field.is_repeated()) {
    std::string list;
    std::size_t line_start = 0;
    std::string scratch;
    for (int i = 0; i < reflection->FieldSize(section, &field); ++i) {
      const std::string &item =
          reflection->GetRepeatedStringReference(section, &field, i, &scratch);
      if (i > 0 && list.size() - line_start + item.size() > kListLineLength) {
        list += ",\n  ";
        line_start = list.size();
      } else if (i > 0) {
        list += ", ";
      }
      list += item;
    }
    return list;
  }
  gen::Unit unit = GetRule(field).unit();
  const char *suffix = unit == gen::UNIT_MILLISECONDS ? "ms"
                       : unit == gen::UNIT_BYTES      ? "B"
                                                      : "";
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return reflection->GetString(section, &field);
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection->GetBool(section, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return fmt::format("{}{}", reflection->GetDouble(section, &field),
                         suffix);
    case FieldDescriptor::CPPTYPE_INT32:
      return fmt::format("{}{}", reflection->GetInt32(section, &field), suffix);
    default:
      return fmt::format("{}{}", reflection->GetInt64(section, &field), suffix);
  }
}

}  // namespace

Result<void> ParseSettings(const std::string &text,
                           const std::string &file_name, Message *settings) {
  settings->Clear();
  const google::protobuf::Descriptor &root = *settings->GetDescriptor();
  for (int i = 0; i < root.field_count(); ++i) {
    const FieldDescriptor &field = *root.field(i);
    if (field.is_repeated()) continue;
    Message *section =
        settings->GetReflection()->MutableMessage(settings, &field);
    if (Result<void> result = ApplyDefaults(section); !result) return result;
  }
  Parser parser;
  parser.m_input.str(text);
  parser.m_file_name = file_name;
  parser.m_settings = settings;
  int error_line = ini_parse_stream(ReadLine, &parser, HandleKey, &parser);
  if (parser.m_failed) return tl::unexpected(parser.m_error);
  if (error_line != 0) {
    return MakeError(
        ErrorKind::kInvalidSettings,
        fmt::format("{}:{}: the line is neither a section nor a key", file_name,
                    error_line),
        "write [section], key = value or a comment that starts with ;");
  }
  Result<void> checked;
  ForEachSection(*settings, [&](const std::string &name, const Message &part) {
    if (checked) checked = CheckRequired(file_name, name, part);
  });
  return checked;
}

Result<void> LoadSettings(const std::string &path, Message *settings) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorKind::kIo,
                     fmt::format("can't read settings file {}", path),
                     "check the path and its permissions");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path, settings);
}

std::string PrintSettings(const Message &settings) {
  std::string out;
  ForEachSection(settings, [&](const std::string &name, const Message &part) {
    if (!out.empty()) out += '\n';
    out += fmt::format("[{}]\n", name);
    const google::protobuf::Descriptor &descriptor = *part.GetDescriptor();
    bool has_label = name.find(' ') != std::string::npos;
    for (int i = 0; i < descriptor.field_count(); ++i) {
      const FieldDescriptor &field = *descriptor.field(i);
      if (has_label && field.name() == "name") continue;
      out += fmt::format("{} = {}\n", field.name(), PrintValue(part, field));
    }
  });
  return out;
}

}  // namespace wasabiwind::base
