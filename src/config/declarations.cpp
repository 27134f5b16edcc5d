/** @file declarations.cpp Prints, parses and compares sets of declarations. */

#include <fmt/format.h>

#include <algorithm>

#include "base/settings_func.h"
#include "config/declarations_func.h"
#include "config/entity_internal.h"

namespace wasabiwind::config {

namespace {

/** Kinds in an order in which each refers to earlier ones only. */
constexpr std::array<EntityKind, kEntityKinds> kReferenceOrder = {
    EntityKind::kModel,   EntityKind::kCustomer,   EntityKind::kRecorderGroup,
    EntityKind::kAdapter, EntityKind::kDeployment, EntityKind::kService,
    EntityKind::kLimit,
};

std::array<EntityMap, kEntityKinds> MakeMaps(
    const gen::Declarations &declarations) {
  std::array<EntityMap, kEntityKinds> maps;
  for (gen::Change &put : ListPuts(declarations)) {
    NormalizeChange(&put);
    ApplyChange(put, &maps);
  }
  return maps;
}

}  // namespace

void NormalizeDeclarations(gen::Declarations *declarations) {
  *declarations = CollectDeclarations(MakeMaps(*declarations));
}

base::Result<gen::Declarations> ParseDeclarations(
    const std::string &text, const std::string &file_name) {
  gen::Declarations declarations;
  base::Result<void> parsed =
      base::ParseSettings(text, file_name, &declarations);
  if (!parsed) return tl::unexpected(parsed.error());
  NormalizeDeclarations(&declarations);
  return declarations;
}

base::Result<gen::Declarations> LoadDeclarations(const std::string &path) {
  gen::Declarations declarations;
  base::Result<void> loaded = base::LoadSettings(path, &declarations);
  if (!loaded) return tl::unexpected(loaded.error());
  NormalizeDeclarations(&declarations);
  return declarations;
}

std::string PrintDeclarations(const gen::Declarations &declarations) {
  return base::PrintSettings(declarations);
}

base::Result<void> CheckDeclarations(
    const gen::Declarations &declarations,
    const std::vector<gen::RegionCapacity> &capacities) {
  std::vector<gen::Change> puts = ListPuts(declarations);
  if (puts.size() > kMaxEntities) {
    return base::MakeError(base::ErrorKind::kOverloaded,
                           fmt::format("there are {} entities; the limit is {}",
                                       puts.size(), kMaxEntities),
                           "remove entities that are no longer used");
  }
  for (gen::Change &put : puts) {
    NormalizeChange(&put);
    if (base::Result<void> entity = CheckEntity(put); !entity) return entity;
  }
  const std::array<EntityMap, kEntityKinds> no_entities;
  return CheckBatch(no_entities, EntityView(&no_entities, puts), puts,
                    capacities);
}

ContentHash HashDeclarations(const gen::Declarations &declarations) {
  ContentHash sum;
  for (const gen::Change &put : ListPuts(declarations)) {
    AddHash(HashEntity(put), &sum);
  }
  return sum;
}

std::vector<gen::Change> DiffDeclarations(const gen::Declarations &from,
                                          const gen::Declarations &to) {
  std::array<EntityMap, kEntityKinds> before = MakeMaps(from);
  std::array<EntityMap, kEntityKinds> after = MakeMaps(to);
  std::vector<gen::Change> changes;
  for (EntityKind kind : kReferenceOrder) {
    const EntityMap &previous = before[static_cast<std::size_t>(kind)];
    for (const auto &[name, put] : after[static_cast<std::size_t>(kind)]) {
      auto found = previous.find(name);
      bool is_same = found != previous.end() &&
                     HashEntity(*found->second) == HashEntity(*put);
      if (!is_same) changes.push_back(*put);
    }
  }
  for (std::size_t i = kEntityKinds; i-- > 0;) {
    std::size_t index = static_cast<std::size_t>(kReferenceOrder[i]);
    for (const auto &[name, put] : before[index]) {
      if (!after[index].contains(name)) changes.push_back(MakeDelete(*put));
    }
  }
  return changes;
}

}  // namespace wasabiwind::config
