/** @file batch_cmd.cpp Commands that change the configuration. */

#include "config/batch_cmd.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "config/entity_internal.h"

namespace wasabiwind::config {

namespace {

using base::ErrorKind;

constexpr std::size_t kMaxIdLength = 128;

/** A batch that passed all checks and can be applied. */
struct PreparedBatch {
  std::vector<gen::Change> m_changes;  ///< in canonical form
  std::vector<gen::Change> m_undo;
  BatchOutcome m_outcome;
};

using PrepareResult = tl::expected<PreparedBatch, BatchRefusal>;

tl::unexpected<BatchRefusal> Refuse(base::Error error) {
  BatchRefusal refusal;
  refusal.m_error = std::move(error);
  return tl::unexpected<BatchRefusal>(std::move(refusal));
}

tl::unexpected<BatchRefusal> Refuse(ErrorKind kind, std::string message,
                                    std::string remedy) {
  return Refuse(base::Error{kind, std::move(message), std::move(remedy)});
}

std::uint64_t GetFingerprint(const gen::ChangeBatch &batch) {
  std::string bytes = batch.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

const gen::OperationOutcome *FindOperation(const ConfigState &state,
                                           const std::string &operation_id) {
  auto found = state.m_operation_index.find(operation_id);
  if (found == state.m_operation_index.end()) return nullptr;
  return &state.m_operations[found->second - state.m_dropped_operations];
}

bool IsOperationIdValid(const std::string &operation_id) {
  return !operation_id.empty() && operation_id.size() <= kMaxIdLength;
}

/** @return the stored first outcome of an operation, for a resend. */
BatchResult GetFirstOutcome(const gen::OperationOutcome &first,
                            const gen::ChangeBatch &batch) {
  if (first.fingerprint() != GetFingerprint(batch)) {
    return Refuse(ErrorKind::kConflict,
                  fmt::format("operation ID {} was used for another batch",
                              first.operation_id()),
                  "choose a new operation ID for a new batch");
  }
  if (first.revision() > 0) {
    BatchOutcome outcome;
    outcome.m_revision = base::Revision(first.revision());
    outcome.m_is_resend = true;
    return outcome;
  }
  BatchRefusal refusal;
  refusal.m_error = base::Error{static_cast<ErrorKind>(first.error_kind()),
                                first.error_message(), first.error_remedy()};
  refusal.m_winning_operation = first.winning_operation();
  refusal.m_winning_revision = first.winning_revision();
  refusal.m_is_resend = true;
  return tl::unexpected<BatchRefusal>(std::move(refusal));
}

/** Refuses a batch and names the operation that was accepted for the same base
 * revision. */
BatchRefusal MakeConflictRefusal(const ConfigState &state, std::uint64_t base) {
  BatchRefusal refusal;
  refusal.m_winning_revision = base + 1;
  std::string winner = "an operation that the history no longer holds";
  std::uint64_t oldest =
      state.m_history.empty() ? 0 : state.m_history.front().revision();
  if (oldest > 0 && base + 1 >= oldest) {
    const gen::HistoryEntry &entry = state.m_history[base + 1 - oldest];
    refusal.m_winning_operation = entry.operation_id();
    winner = fmt::format("operation {} of {}", entry.operation_id(),
                         entry.operator_name());
  }
  refusal.m_error = base::Error{
      ErrorKind::kConflict,
      fmt::format("base revision {} is no longer current: {} made revision "
                  "{}, and the current revision is {}",
                  base, winner, base + 1, state.m_revision.Value()),
      "plan again from the current revision and apply with a new operation "
      "ID"};
  return refusal;
}

tl::expected<void, BatchRefusal> CheckRevision(const ConfigState &state,
                                               const gen::ChangeBatch &batch) {
  std::uint64_t current = state.m_revision.Value();
  if (batch.base_revision() == current) return {};
  if (batch.base_revision() > current) {
    return Refuse(ErrorKind::kInvalidArgument,
                  fmt::format("base revision {} doesn't exist yet; the current "
                              "revision is {}",
                              batch.base_revision(), current),
                  "read the current configuration and plan again");
  }
  return tl::unexpected<BatchRefusal>(
      MakeConflictRefusal(state, batch.base_revision()));
}

tl::expected<void, BatchRefusal> CheckBatchFields(
    const gen::ChangeBatch &batch) {
  if (!IsOperationIdValid(batch.operation_id())) {
    return Refuse(
        ErrorKind::kInvalidArgument, "the operation ID is not valid",
        fmt::format("choose a unique ID of 1 to {} characters", kMaxIdLength));
  }
  if (batch.operator_name().size() > kMaxIdLength) {
    return Refuse(ErrorKind::kInvalidArgument, "the operator name is too long",
                  fmt::format("keep it within {} characters", kMaxIdLength));
  }
  if (batch.changes().empty()) {
    return Refuse(ErrorKind::kInvalidArgument, "the batch has no changes",
                  "put or delete at least one entity");
  }
  if (batch.ByteSizeLong() > kMaxBatchBytes) {
    return Refuse(ErrorKind::kOverloaded,
                  fmt::format("the batch has {} bytes; the limit is {}",
                              batch.ByteSizeLong(), kMaxBatchBytes),
                  "split it into several batches, as wwctl apply does");
  }
  return {};
}

/** Brings the changes into canonical form and checks each by itself. */
tl::expected<std::vector<gen::Change>, BatchRefusal> PrepareChanges(
    const gen::ChangeBatch &batch) {
  std::vector<gen::Change> changes(batch.changes().begin(),
                                   batch.changes().end());
  std::array<absl::btree_map<std::string, bool>, kEntityKinds> seen;
  for (gen::Change &change : changes) {
    EntityKind kind = GetKind(change);
    if (kind == EntityKind::kEnd) {
      return Refuse(ErrorKind::kInvalidArgument, "a change names no entity",
                    "give each change one entity");
    }
    NormalizeChange(&change);
    if (base::Result<void> entity = CheckEntity(change); !entity) {
      return Refuse(entity.error());
    }
    std::size_t index = static_cast<std::size_t>(kind);
    if (seen[index].emplace(GetName(change), true).second) continue;
    return Refuse(ErrorKind::kInvalidArgument,
                  fmt::format("the batch changes {} {} twice",
                              GetEntityKindName(kind), GetName(change)),
                  "keep one of the two changes");
  }
  return changes;
}

/** Adds the effect and the undo of one change, and updates the hash. */
tl::expected<void, BatchRefusal> PrepareChange(const ConfigState &state,
                                               const gen::Change &change,
                                               PreparedBatch *prepared) {
  EntityKind kind = GetKind(change);
  const EntityMap &entities = state.m_entities[static_cast<std::size_t>(kind)];
  auto found = entities.find(GetName(change));
  const gen::Change *previous =
      found == entities.end() ? nullptr : found->second.get();
  if (previous == nullptr && change.is_delete()) {
    return Refuse(ErrorKind::kNotFound,
                  fmt::format("{} {} can't be deleted: it doesn't exist",
                              GetEntityKindName(kind), GetName(change)),
                  "remove the delete from the batch");
  }
  EntityAction action = previous == nullptr  ? EntityAction::kAdded
                        : change.is_delete() ? EntityAction::kDeleted
                                             : EntityAction::kChanged;
  ContentHash *content_hash = &prepared->m_outcome.m_hash;
  ContentHash old_hash;
  ContentHash new_hash;
  if (previous != nullptr) old_hash = HashEntity(*previous);
  if (!change.is_delete()) new_hash = HashEntity(change);
  if (previous != nullptr && old_hash == new_hash) {
    action = EntityAction::kUnchanged;
  }
  SubtractHash(old_hash, content_hash);
  AddHash(new_hash, content_hash);
  prepared->m_outcome.m_effects.push_back({kind, GetName(change), action});
  prepared->m_undo.push_back(previous == nullptr ? MakeDelete(change)
                                                 : *previous);
  return {};
}

tl::expected<void, BatchRefusal> CheckEntityCount(
    const ConfigState &state, const PreparedBatch &prepared) {
  std::size_t count = 0;
  for (const EntityMap &entities : state.m_entities) count += entities.size();
  for (const EntityEffect &effect : prepared.m_outcome.m_effects) {
    if (effect.m_action == EntityAction::kAdded) ++count;
    if (effect.m_action == EntityAction::kDeleted) --count;
  }
  if (count <= kMaxEntities) return {};
  return Refuse(ErrorKind::kOverloaded,
                fmt::format("the configuration would have {} entities; the "
                            "limit is {}",
                            count, kMaxEntities),
                "delete entities that are no longer used");
}

/** Checks a batch; shared by TestBatch and ExecuteBatch, so that they agree. */
PrepareResult PrepareBatch(const ConfigState &state,
                           const gen::ConfigCommand &command) {
  const gen::ChangeBatch &batch = command.batch();
  if (auto fields = CheckBatchFields(batch); !fields) {
    return tl::unexpected(fields.error());
  }
  if (auto revision = CheckRevision(state, batch); !revision) {
    return tl::unexpected(revision.error());
  }
  auto changes = PrepareChanges(batch);
  if (!changes) return tl::unexpected(changes.error());
  PreparedBatch prepared;
  prepared.m_changes = std::move(*changes);
  prepared.m_outcome.m_revision = state.m_revision.Next();
  prepared.m_outcome.m_hash = state.m_hash;
  for (const gen::Change &change : prepared.m_changes) {
    auto effect = PrepareChange(state, change, &prepared);
    if (!effect) return tl::unexpected(effect.error());
  }
  if (auto count = CheckEntityCount(state, prepared); !count) {
    return tl::unexpected(count.error());
  }
  EntityView after(&state.m_entities, prepared.m_changes);
  std::vector<gen::RegionCapacity> capacities(command.facts().begin(),
                                              command.facts().end());
  base::Result<void> checked =
      CheckBatch(state.m_entities, after, prepared.m_changes, capacities);
  if (!checked) return Refuse(checked.error());
  return prepared;
}

void StoreOutcome(const gen::ConfigCommand &command,
                  const PrepareResult &result, ConfigState *state) {
  gen::OperationOutcome outcome;
  outcome.set_operation_id(command.batch().operation_id());
  outcome.set_decided_at_ms(command.accepted_at_ms());
  outcome.set_fingerprint(GetFingerprint(command.batch()));
  if (result) {
    outcome.set_revision(result->m_outcome.m_revision.Value());
  } else {
    const BatchRefusal &refusal = result.error();
    outcome.set_error_kind(static_cast<std::uint32_t>(refusal.m_error.m_kind));
    outcome.set_error_message(refusal.m_error.m_message);
    outcome.set_error_remedy(refusal.m_error.m_remedy);
    outcome.set_winning_operation(refusal.m_winning_operation);
    outcome.set_winning_revision(refusal.m_winning_revision);
  }
  state->m_operation_index[outcome.operation_id()] =
      state->m_dropped_operations + state->m_operations.size();
  state->m_operations.push_back(std::move(outcome));
}

void DropOldOperations(std::int64_t now_ms, ConfigState *state) {
  auto is_too_old = [&](const gen::OperationOutcome &outcome) {
    return now_ms - outcome.decided_at_ms() > kMaxOperationAgeMs;
  };
  while (!state->m_operations.empty() &&
         (state->m_operations.size() > kMaxOperations ||
          is_too_old(state->m_operations.front()))) {
    state->m_operation_index.erase(state->m_operations.front().operation_id());
    state->m_operations.pop_front();
    ++state->m_dropped_operations;
  }
}

void AppendHistory(const gen::ConfigCommand &command,
                   const PreparedBatch &prepared, ConfigState *state) {
  gen::HistoryEntry entry;
  entry.set_revision(prepared.m_outcome.m_revision.Value());
  entry.set_operation_id(command.batch().operation_id());
  entry.set_operator_name(command.batch().operator_name());
  entry.set_accepted_at_ms(command.accepted_at_ms());
  entry.mutable_changes()->Add(prepared.m_changes.begin(),
                               prepared.m_changes.end());
  entry.mutable_undo()->Add(prepared.m_undo.begin(), prepared.m_undo.end());
  state->m_history_bytes += entry.ByteSizeLong();
  state->m_history.push_back(std::move(entry));
  while (state->m_history.size() > kMaxHistory ||
         state->m_history_bytes > kMaxHistoryBytes) {
    state->m_history_bytes -= state->m_history.front().ByteSizeLong();
    state->m_history.pop_front();
  }
}

}  // namespace

BatchResult TestBatch(const ConfigState &state,
                      const gen::ConfigCommand &command) {
  const gen::OperationOutcome *first =
      FindOperation(state, command.batch().operation_id());
  if (first != nullptr) return GetFirstOutcome(*first, command.batch());
  PrepareResult prepared = PrepareBatch(state, command);
  if (!prepared) return tl::unexpected(prepared.error());
  return std::move(prepared->m_outcome);
}

BatchResult ExecuteBatch(ConfigState *state,
                         const gen::ConfigCommand &command) {
  const gen::OperationOutcome *first =
      FindOperation(*state, command.batch().operation_id());
  if (first != nullptr) return GetFirstOutcome(*first, command.batch());
  PrepareResult prepared = PrepareBatch(*state, command);
  if (IsOperationIdValid(command.batch().operation_id())) {
    StoreOutcome(command, prepared, state);
    DropOldOperations(command.accepted_at_ms(), state);
  }
  if (!prepared) return tl::unexpected(prepared.error());
  for (const gen::Change &change : prepared->m_changes) {
    ApplyChange(change, &state->m_entities);
  }
  state->m_revision = prepared->m_outcome.m_revision;
  state->m_hash = prepared->m_outcome.m_hash;
  AppendHistory(command, *prepared, state);
  return std::move(prepared->m_outcome);
}

}  // namespace wasabiwind::config
