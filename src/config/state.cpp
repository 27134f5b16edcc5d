/** @file state.cpp Queries and snapshots of the configuration state. */

#include <fmt/format.h>

#include "config/entity_internal.h"
#include "config/state_func.h"

namespace wasabiwind::config {

namespace {

using base::ErrorKind;
using base::MakeError;

ContentHash HashEntities(
    const std::array<EntityMap, kEntityKinds> &all_entities) {
  ContentHash sum;
  for (const EntityMap &entities : all_entities) {
    for (const auto &[name, entity] : entities) {
      AddHash(HashEntity(*entity), &sum);
    }
  }
  return sum;
}

/** The history must lead to the current revision without a gap. */
bool IsHistoryContiguous(const ConfigState &state) {
  std::uint64_t expected = state.m_revision.Value() - state.m_history.size();
  for (const gen::HistoryEntry &entry : state.m_history) {
    if (entry.revision() != ++expected) return false;
  }
  return true;
}

}  // namespace

gen::Declarations ToDeclarations(const ConfigState &state) {
  return CollectDeclarations(state.m_entities);
}

base::Revision GetOldestRevision(const ConfigState &state) {
  return base::Revision(state.m_revision.Value() - state.m_history.size());
}

base::Result<gen::Declarations> GetDeclarationsAt(const ConfigState &state,
                                                  base::Revision revision) {
  if (revision > state.m_revision) {
    return MakeError(ErrorKind::kNotFound,
                     fmt::format("revision {} doesn't exist; the current one "
                                 "is {}",
                                 revision.Value(), state.m_revision.Value()),
                     "ask for an earlier revision");
  }
  if (revision < GetOldestRevision(state)) {
    return MakeError(
        ErrorKind::kNotFound,
        fmt::format("the history no longer holds revision {}; "
                    "it reaches back to {}",
                    revision.Value(), GetOldestRevision(state).Value()),
        "ask for a later revision");
  }
  std::array<EntityMap, kEntityKinds> entities = state.m_entities;
  for (std::size_t i = state.m_history.size(); i-- > 0;) {
    const gen::HistoryEntry &entry = state.m_history[i];
    if (entry.revision() <= revision.Value()) break;
    for (const gen::Change &undo : entry.undo()) ApplyChange(undo, &entities);
  }
  return CollectDeclarations(entities);
}

base::Result<std::vector<gen::ConfigDelta>> GetDeltasAfter(
    const ConfigState &state, base::Revision revision) {
  if (revision > state.m_revision || revision < GetOldestRevision(state)) {
    return MakeError(ErrorKind::kNotFound,
                     fmt::format("no deltas lead from revision {} to {}",
                                 revision.Value(), state.m_revision.Value()),
                     "fetch a snapshot");
  }
  std::vector<gen::ConfigDelta> deltas;
  std::size_t first = revision.Value() - GetOldestRevision(state).Value();
  for (std::size_t i = first; i < state.m_history.size(); ++i) {
    gen::ConfigDelta &delta = deltas.emplace_back();
    delta.set_revision(state.m_history[i].revision());
    *delta.mutable_changes() = state.m_history[i].changes();
  }
  return deltas;
}

std::vector<EntityEffect> GetEffects(const gen::HistoryEntry &entry) {
  std::vector<EntityEffect> effects;
  for (int i = 0; i < entry.changes_size() && i < entry.undo_size(); ++i) {
    const gen::Change &change = entry.changes(i);
    const gen::Change &undo = entry.undo(i);
    EntityAction action = EntityAction::kChanged;
    if (undo.is_delete()) {
      action = EntityAction::kAdded;
    } else if (change.is_delete()) {
      action = EntityAction::kDeleted;
    } else if (HashEntity(change) == HashEntity(undo)) {
      action = EntityAction::kUnchanged;
    }
    effects.push_back({GetKind(change), GetName(change), action});
  }
  return effects;
}

void ApplyDelta(const gen::ConfigDelta &delta,
                gen::Declarations *declarations) {
  std::array<EntityMap, kEntityKinds> entities;
  for (const gen::Change &put : ListPuts(*declarations)) {
    ApplyChange(put, &entities);
  }
  for (const gen::Change &change : delta.changes()) {
    if (GetKind(change) != EntityKind::kEnd) ApplyChange(change, &entities);
  }
  *declarations = CollectDeclarations(entities);
}

std::string SerializeSnapshot(const ConfigState &state) {
  gen::ConfigSnapshot snapshot;
  snapshot.set_revision(state.m_revision.Value());
  *snapshot.mutable_declarations() = ToDeclarations(state);
  snapshot.mutable_history()->Add(state.m_history.begin(),
                                  state.m_history.end());
  snapshot.mutable_operations()->Add(state.m_operations.begin(),
                                     state.m_operations.end());
  snapshot.set_content_hash_high(state.m_hash.m_high);
  snapshot.set_content_hash_low(state.m_hash.m_low);
  return snapshot.SerializeAsString();
}

base::Result<ConfigState> RestoreSnapshot(const std::string &bytes) {
  gen::ConfigSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return MakeError(ErrorKind::kCorrupt,
                     "the configuration snapshot can't be parsed",
                     "fetch the snapshot from another control host");
  }
  ConfigState state;
  state.m_revision = base::Revision(snapshot.revision());
  for (const gen::Change &put : ListPuts(snapshot.declarations())) {
    ApplyChange(put, &state.m_entities);
  }
  state.m_hash = {snapshot.content_hash_high(), snapshot.content_hash_low()};
  for (gen::HistoryEntry &entry : *snapshot.mutable_history()) {
    state.m_history_bytes += entry.ByteSizeLong();
    state.m_history.push_back(std::move(entry));
  }
  for (gen::OperationOutcome &outcome : *snapshot.mutable_operations()) {
    state.m_operation_index[outcome.operation_id()] = state.m_operations.size();
    state.m_operations.push_back(std::move(outcome));
  }
  if (!(HashEntities(state.m_entities) == state.m_hash) ||
      !IsHistoryContiguous(state)) {
    return MakeError(ErrorKind::kCorrupt,
                     fmt::format("the configuration snapshot of revision {} "
                                 "doesn't match its hash or has a gap in its "
                                 "history",
                                 snapshot.revision()),
                     "fetch the snapshot from another control host");
  }
  return state;
}

}  // namespace wasabiwind::config
