/** @file plan.cpp Plans that make the configuration equal to files. */

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "config/declarations_func.h"
#include "operators/plan_func.h"

namespace wasabiwind::operators {

namespace {

/** Bytes of a batch that are reserved for fields other than its changes. */
constexpr std::size_t kBatchOverheadBytes = 4096;

/** Values of one printed section by key. */
using SectionText = std::map<std::string, std::string>;

/** Splits canonical INI text into its sections. Lines that continue a list are
 * appended to the value of its key. */
std::map<std::string, SectionText> SplitSections(const std::string &text) {
  std::map<std::string, SectionText> sections;
  std::istringstream lines(text);
  std::string line;
  SectionText *section = nullptr;
  std::string key;
  while (std::getline(lines, line)) {
    if (line.empty()) continue;
    if (line[0] == '[') {
      section = &sections[line.substr(1, line.size() - 2)];
      continue;
    }
    if (section == nullptr) continue;
    if (line[0] == ' ') {
      (*section)[key] += line.substr(1);
      continue;
    }
    std::size_t equals = line.find(" =");
    key = line.substr(0, equals);
    (*section)[key] = line.substr(std::min(line.size(), equals + 3));
  }
  return sections;
}

std::string PrintSection(char sign, const std::string &name,
                         const SectionText &section) {
  std::string out = fmt::format("{} [{}]\n", sign, name);
  for (const auto &[key, value] : section) {
    out += fmt::format("{}   {} = {}\n", sign, key, value);
  }
  return out;
}

std::string PrintChanges(const std::string &name, const SectionText &previous,
                         const SectionText &updated) {
  std::string out = fmt::format("~ [{}]\n", name);
  for (const auto &[key, value] : updated) {
    auto old = previous.find(key);
    std::string old_value = old == previous.end() ? "" : old->second;
    if (old_value == value) continue;
    out += fmt::format("~   {} = {} (was {})\n", key, value, old_value);
  }
  return out;
}

/** Adds the entities of one file. @return an error if one of them is declared
 * in an earlier file */
base::Result<void> AddDeclarations(
    const gen::Declarations &part, const std::string &path,
    std::map<std::string, std::string> *path_by_entity,
    gen::Declarations *all) {
  std::string text = config::PrintDeclarations(part);
  for (const auto &[name, section] : SplitSections(text)) {
    auto [entry, is_new] = path_by_entity->emplace(name, path);
    if (is_new) continue;
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           fmt::format("[{}] is declared in {} and in {}", name,
                                       entry->second, path),
                           "remove one of the two");
  }
  all->MergeFrom(part);
  return {};
}

}  // namespace

base::Result<gen::Declarations> LoadDeclarationFiles(
    const std::vector<std::string> &paths) {
  gen::Declarations all;
  std::map<std::string, std::string> path_by_entity;
  for (const std::string &path : paths) {
    base::Result<gen::Declarations> part = config::LoadDeclarations(path);
    if (!part) return part;
    base::Result<void> merged =
        AddDeclarations(*part, path, &path_by_entity, &all);
    if (!merged) return tl::unexpected(merged.error());
  }
  config::NormalizeDeclarations(&all);
  base::Result<void> checked = config::CheckDeclarations(all);
  if (!checked) return tl::unexpected(checked.error());
  return all;
}

base::Result<Plan> MakePlan(const gen::ConfigReply &current,
                            const gen::Declarations &wanted) {
  base::Result<gen::Declarations> declarations =
      config::ParseDeclarations(current.text(), "control");
  if (!declarations) {
    return base::MakeError(base::ErrorKind::kProtocol,
                           "the configuration of control can't be parsed: " +
                               declarations.error().m_message,
                           "use the wwctl of the same version as ww_control");
  }
  Plan plan;
  plan.m_base_revision = current.revision();
  plan.m_changes = config::DiffDeclarations(*declarations, wanted);
  plan.m_current = std::move(*declarations);
  plan.m_wanted = wanted;
  return plan;
}

std::size_t CountDeletes(const Plan &plan) {
  return static_cast<std::size_t>(std::count_if(
      plan.m_changes.begin(), plan.m_changes.end(),
      [](const gen::Change &change) { return change.is_delete(); }));
}

std::string PrintPlan(const Plan &plan) {
  auto before = SplitSections(config::PrintDeclarations(plan.m_current));
  auto after = SplitSections(config::PrintDeclarations(plan.m_wanted));
  std::string out;
  for (const auto &[name, section] : after) {
    auto previous = before.find(name);
    if (previous == before.end()) {
      out += PrintSection('+', name, section);
    } else if (previous->second != section) {
      out += PrintChanges(name, previous->second, section);
    }
  }
  for (const auto &[name, section] : before) {
    if (!after.contains(name)) out += fmt::format("- [{}]\n", name);
  }
  return out;
}

std::vector<gen::ChangeBatch> MakeBatches(const Plan &plan,
                                          const std::string &operation_id,
                                          const std::string &operator_name) {
  std::vector<gen::ChangeBatch> batches;
  // Counts as a full batch, so that the first change begins a new one.
  std::size_t bytes = config::kMaxBatchBytes;
  for (const gen::Change &change : plan.m_changes) {
    // The tag and length of a change take up to 6 more bytes.
    std::size_t change_bytes = change.ByteSizeLong() + 6;
    if (bytes + change_bytes + kBatchOverheadBytes > config::kMaxBatchBytes) {
      gen::ChangeBatch &batch = batches.emplace_back();
      batch.set_operator_name(operator_name);
      batch.set_base_revision(plan.m_base_revision + batches.size() - 1);
      batch.set_operation_id(
          fmt::format("{}/{}", operation_id, batches.size()));
      bytes = 0;
    }
    *batches.back().add_changes() = change;
    bytes += change_bytes;
  }
  if (batches.size() == 1) batches[0].set_operation_id(operation_id);
  return batches;
}

}  // namespace wasabiwind::operators
