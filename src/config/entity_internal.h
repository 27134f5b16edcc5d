/** @file entity_internal.h Entities of any kind, and views of a set of them.
 */

#ifndef WASABIWIND_CONFIG_ENTITY_INTERNAL_H_
#define WASABIWIND_CONFIG_ENTITY_INTERNAL_H_

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

#include "config/state_type.h"

namespace wasabiwind::config {

/** @return the kind of a change, or kEnd if it names no entity. */
EntityKind GetKind(const gen::Change &change);

/** @return the entity of a change. @pre GetKind(change) != kEnd */
const google::protobuf::Message &GetEntity(const gen::Change &change);

/** @return the name of the entity. @pre GetKind(change) != kEnd */
const std::string &GetName(const gen::Change &change);

/** @return a change that deletes the entity. @pre GetKind(change) != kEnd */
gen::Change MakeDelete(const gen::Change &change);

/** Brings the entity of a change into canonical form. */
void NormalizeChange(gen::Change *change);

/** @return hash of one entity. @pre GetKind(change) != kEnd */
ContentHash HashEntity(const gen::Change &change);

void AddHash(const ContentHash &part, ContentHash *sum);
void SubtractHash(const ContentHash &part, ContentHash *sum);

/** @return one put for each entity, by kind and in the order given. */
std::vector<gen::Change> ListPuts(const gen::Declarations &declarations);

/** Puts or deletes an entity in a state's maps, without checks. */
void ApplyChange(const gen::Change &change,
                 std::array<EntityMap, kEntityKinds> *entities);

/** @return all entities as declarations, sorted by name. */
gen::Declarations CollectDeclarations(
    const std::array<EntityMap, kEntityKinds> &entities);

/** The entities as they would be after a batch. Points into the state's
 * entities and into the changes of the batch. */
class EntityView {
 public:
  EntityView(const std::array<EntityMap, kEntityKinds> *entities,
             const std::vector<gen::Change> &changes);

  /** @return the put of the entity, or nullptr. */
  const gen::Change *Find(EntityKind kind, const std::string &name) const;

  /** @return whether the batch puts or deletes an entity of the kind. */
  bool ChangesKind(EntityKind kind) const;

  /** Calls a function with each entity of a kind until it returns false. */
  template <typename Function>
  void ForEach(EntityKind kind, Function function) const {
    std::size_t index = static_cast<std::size_t>(kind);
    const auto &overlay = m_overlay[index];
    for (const auto &[name, entity] : (*m_entities)[index]) {
      if (overlay.contains(name)) continue;
      if (!function(*entity)) return;
    }
    for (const auto &[name, change] : overlay) {
      if (!change->is_delete() && !function(*change)) return;
    }
  }

 private:
  const std::array<EntityMap, kEntityKinds> *m_entities;
  std::array<absl::btree_map<std::string, const gen::Change *>, kEntityKinds>
      m_overlay;
};

/**
 * Checks one entity by itself: units and ranges of the schema, names, choices
 * and sizes.
 */
base::Result<void> CheckEntity(const gen::Change &change);

/**
 * Checks the whole configuration as it would be after a batch: references to
 * missing entities, regions, epochs of recorder groups, and whether replicas
 * fit into the failure domains and the memory of the runners.
 * @param before the entities before the batch
 * @param capacities runners to check against; empty: no such checks
 */
base::Result<void> CheckBatch(
    const std::array<EntityMap, kEntityKinds> &before, const EntityView &after,
    const std::vector<gen::Change> &changes,
    const std::vector<gen::RegionCapacity> &capacities);

}  // namespace wasabiwind::config

#endif  // WASABIWIND_CONFIG_ENTITY_INTERNAL_H_
