/** @file log_events_test.cpp Compares logged events with docs/events.md. */

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace wasabiwind {
namespace {

namespace fs = std::filesystem;

using Events = std::map<std::string, std::set<std::string>>;

std::string ReadFile(const fs::path &path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** @return the arguments of a call. @param begin after its opening parenthesis
 */
std::string GetCallArguments(const std::string &text, std::size_t begin) {
  int depth = 1;
  bool is_quoted = false;
  std::size_t at = begin;
  for (; at < text.size() && depth > 0; ++at) {
    char c = text[at];
    if (c == '"' && text[at - 1] != '\\') is_quoted = !is_quoted;
    if (is_quoted) continue;
    if (c == '(') ++depth;
    if (c == ')') --depth;
  }
  return text.substr(begin, at - begin - 1);
}

std::vector<std::string> FindAll(const std::string &text, const char *pattern) {
  std::vector<std::string> found;
  std::regex expression(pattern);
  for (std::sregex_iterator it(text.begin(), text.end(), expression), end;
       it != end; ++it) {
    found.push_back((*it)[1]);
  }
  return found;
}

void AddLoggedEvents(const std::string &source, Events *events) {
  const std::string call = "LogEvent(";
  std::size_t at = source.find(call);
  for (; at != std::string::npos; at = source.find(call, at + 1)) {
    std::string arguments = GetCallArguments(source, at + call.size());
    std::string head = arguments.substr(0, arguments.find('{'));
    std::vector<std::string> fields =
        FindAll(arguments, R"(\{\s*"([a-z_0-9]+)\"\s*,)");
    for (const std::string &event : FindAll(head, "\"([a-z_0-9]+)\"")) {
      (*events)[event].insert(fields.begin(), fields.end());
    }
  }
}

Events ReadLoggedEvents() {
  Events events;
  for (const char *folder : {"src", "platform"}) {
    fs::path root = fs::path(WW_SOURCE_FOLDER) / folder;
    for (const auto &entry : fs::recursive_directory_iterator(root)) {
      if (entry.path().extension() != ".cpp") continue;
      AddLoggedEvents(ReadFile(entry.path()), &events);
    }
  }
  return events;
}

Events ReadListedEvents() {
  Events events;
  std::istringstream lines(
      ReadFile(fs::path(WW_SOURCE_FOLDER) / "docs/events.md"));
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("| `")) continue;
    std::vector<std::string> names = FindAll(line, "`([a-z_0-9]+)`");
    events[names[0]] = std::set<std::string>(names.begin() + 1, names.end());
  }
  return events;
}

// Guards against events that an operator can't look up in docs/events.md.
TEST(LogEventsTest, ListNamesEveryEventWithItsFields) {
  Events logged = ReadLoggedEvents();
  Events listed = ReadListedEvents();
  ASSERT_GT(logged.size(), 40u);
  for (const auto &[event, fields] : logged) {
    ASSERT_TRUE(listed.contains(event)) << event << " isn't in docs/events.md";
    for (const std::string &field : fields) {
      EXPECT_TRUE(listed.at(event).contains(field))
          << "field " << field << " of " << event << " isn't in docs/events.md";
    }
  }
  for (const auto &[event, fields] : listed) {
    ASSERT_TRUE(logged.contains(event)) << event << " isn't logged any more";
    for (const std::string &field : fields) {
      EXPECT_TRUE(logged.at(event).contains(field))
          << "field " << field << " of " << event << " isn't logged any more";
    }
  }
}

}  // namespace
}  // namespace wasabiwind
