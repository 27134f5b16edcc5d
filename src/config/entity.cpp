/** @file entity.cpp Entities of any kind, and views of a set of them. */

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cassert>

#include "config/entity_internal.h"

namespace wasabiwind::config {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::array<const char *, static_cast<std::size_t>(EntityAction::kEnd)>
    kActionNames = {"added", "changed", "deleted", "unchanged"};

/** Number of the field `name`, the same in all entity messages. */
constexpr int kNameFieldNumber = 1;

/** @return the number of the field of a kind in gen::Change and in
 * gen::Declarations; both number their fields in the order of EntityKind. */
int GetFieldNumber(EntityKind kind) { return static_cast<int>(kind) + 1; }

const FieldDescriptor *GetDeclarationsField(EntityKind kind) {
  return gen::Declarations::descriptor()->FindFieldByNumber(
      GetFieldNumber(kind));
}

template <typename Strings>
void SortUnique(Strings *strings) {
  std::sort(strings->begin(), strings->end());
  auto end = std::unique(strings->begin(), strings->end());
  strings->DeleteSubrange(static_cast<int>(end - strings->begin()),
                          static_cast<int>(strings->end() - end));
}

/** Negative zero would print differently from zero. */
double WithoutNegativeZero(double value) { return value + 0.0; }

void NormalizeCustomer(gen::Customer *customer) {
  for (char &c : *customer->mutable_key_sha256()) {
    if (c >= 'A' && c <= 'F') c = static_cast<char>(c - 'A' + 'a');
  }
}

void NormalizeLimit(gen::Limit *limit) {
  limit->set_requests_per_s(WithoutNegativeZero(limit->requests_per_s()));
  limit->set_burst(WithoutNegativeZero(limit->burst()));
  limit->set_tokens_per_s(WithoutNegativeZero(limit->tokens_per_s()));
}

}  // namespace

const char *GetEntityKindName(EntityKind kind) {
  assert(kind < EntityKind::kEnd);
  return GetDeclarationsField(kind)->name().c_str();
}

const char *GetEntityActionName(EntityAction action) {
  assert(action < EntityAction::kEnd);
  return kActionNames[static_cast<std::size_t>(action)];
}

std::string ContentHash::ToString() const {
  return fmt::format("{:016x}{:016x}", m_high, m_low);
}

EntityKind GetKind(const gen::Change &change) {
  int number = static_cast<int>(change.entity_case());
  if (number < 1 || number > static_cast<int>(kEntityKinds)) {
    return EntityKind::kEnd;
  }
  return static_cast<EntityKind>(number - 1);
}

const Message &GetEntity(const gen::Change &change) {
  EntityKind kind = GetKind(change);
  assert(kind != EntityKind::kEnd);
  return change.GetReflection()->GetMessage(
      change,
      gen::Change::descriptor()->FindFieldByNumber(GetFieldNumber(kind)));
}

const std::string &GetName(const gen::Change &change) {
  switch (GetKind(change)) {
    case EntityKind::kModel:
      return change.model().name();
    case EntityKind::kAdapter:
      return change.adapter().name();
    case EntityKind::kDeployment:
      return change.deployment().name();
    case EntityKind::kService:
      return change.service().name();
    case EntityKind::kLimit:
      return change.limit().name();
    case EntityKind::kCustomer:
      return change.customer().name();
    default:
      assert(GetKind(change) == EntityKind::kRecorderGroup);
      return change.recorder_group().name();
  }
}

gen::Change MakeDelete(const gen::Change &change) {
  gen::Change result;
  Message *entity = result.GetReflection()->MutableMessage(
      &result, gen::Change::descriptor()->FindFieldByNumber(
                   GetFieldNumber(GetKind(change))));
  entity->GetReflection()->SetString(
      entity, entity->GetDescriptor()->FindFieldByNumber(kNameFieldNumber),
      GetName(change));
  result.set_is_delete(true);
  return result;
}

void NormalizeChange(gen::Change *change) {
  if (change->is_delete() && GetKind(*change) != EntityKind::kEnd) {
    *change = MakeDelete(*change);
    return;
  }
  switch (GetKind(*change)) {
    case EntityKind::kDeployment:
      SortUnique(change->mutable_deployment()->mutable_customers());
      return;
    case EntityKind::kRecorderGroup:
      SortUnique(change->mutable_recorder_group()->mutable_members());
      return;
    case EntityKind::kCustomer:
      NormalizeCustomer(change->mutable_customer());
      return;
    case EntityKind::kLimit:
      NormalizeLimit(change->mutable_limit());
      return;
    default:
      return;
  }
}

ContentHash HashEntity(const gen::Change &change) {
  std::string bytes = GetEntity(change).SerializeAsString();
  bytes += static_cast<char>(GetKind(change));
  XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

void AddHash(const ContentHash &part, ContentHash *sum) {
  sum->m_high += part.m_high;
  sum->m_low += part.m_low;
}

void SubtractHash(const ContentHash &part, ContentHash *sum) {
  sum->m_high -= part.m_high;
  sum->m_low -= part.m_low;
}

std::vector<gen::Change> ListPuts(const gen::Declarations &declarations) {
  std::vector<gen::Change> puts;
  const google::protobuf::Reflection &reflection =
      *declarations.GetReflection();
  for (std::size_t i = 0; i < kEntityKinds; ++i) {
    int number = GetFieldNumber(static_cast<EntityKind>(i));
    const FieldDescriptor *source =
        gen::Declarations::descriptor()->FindFieldByNumber(number);
    const FieldDescriptor *target =
        gen::Change::descriptor()->FindFieldByNumber(number);
    for (int j = 0; j < reflection.FieldSize(declarations, source); ++j) {
      gen::Change &put = puts.emplace_back();
      put.GetReflection()
          ->MutableMessage(&put, target)
          ->CopyFrom(reflection.GetRepeatedMessage(declarations, source, j));
    }
  }
  return puts;
}

void ApplyChange(const gen::Change &change,
                 std::array<EntityMap, kEntityKinds> *entities) {
  EntityMap &map = (*entities)[static_cast<std::size_t>(GetKind(change))];
  if (change.is_delete()) {
    map.erase(GetName(change));
    return;
  }
  map[GetName(change)] = std::make_shared<const gen::Change>(change);
}

gen::Declarations CollectDeclarations(
    const std::array<EntityMap, kEntityKinds> &entities) {
  gen::Declarations result;
  for (std::size_t i = 0; i < kEntityKinds; ++i) {
    const FieldDescriptor *field =
        GetDeclarationsField(static_cast<EntityKind>(i));
    for (const auto &[name, entity] : entities[i]) {
      result.GetReflection()
          ->AddMessage(&result, field)
          ->CopyFrom(GetEntity(*entity));
    }
  }
  return result;
}

EntityView::EntityView(const std::array<EntityMap, kEntityKinds> *entities,
                       const std::vector<gen::Change> &changes)
    : m_entities(entities) {
  for (const gen::Change &change : changes) {
    m_overlay[static_cast<std::size_t>(GetKind(change))][GetName(change)] =
        &change;
  }
}

const gen::Change *EntityView::Find(EntityKind kind,
                                    const std::string &name) const {
  std::size_t index = static_cast<std::size_t>(kind);
  auto changed = m_overlay[index].find(name);
  if (changed != m_overlay[index].end()) {
    return changed->second->is_delete() ? nullptr : changed->second;
  }
  auto found = (*m_entities)[index].find(name);
  return found == (*m_entities)[index].end() ? nullptr : found->second.get();
}

bool EntityView::ChangesKind(EntityKind kind) const {
  return !m_overlay[static_cast<std::size_t>(kind)].empty();
}

}  // namespace wasabiwind::config
