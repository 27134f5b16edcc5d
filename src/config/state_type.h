/** @file state_type.h State of the configuration and results of batches. */

#ifndef WASABIWIND_CONFIG_STATE_TYPE_H_
#define WASABIWIND_CONFIG_STATE_TYPE_H_

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <config.pb.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base/error_type.h"
#include "base/id_type.h"

namespace wasabiwind::config {

/** Kinds of entities, in the order of the fields of gen::Declarations. */
enum class EntityKind : std::uint8_t {
  kModel,
  kAdapter,
  kDeployment,
  kService,
  kLimit,
  kCustomer,
  kRecorderGroup,
  kEnd,
};

constexpr std::size_t kEntityKinds = static_cast<std::size_t>(EntityKind::kEnd);

/** Limits of the state, from section 7 of the design. */
constexpr std::size_t kMaxEntities = 50'000;
constexpr std::size_t kMaxEntityBytes = 64 * 1024;
constexpr std::size_t kMaxOperations = 10'000;
constexpr std::int64_t kMaxOperationAgeMs = 7LL * 24 * 3600 * 1000;
constexpr std::size_t kMaxHistory = 1'000;
/** Entries hold changes and their undo, so this is room for twice the 4 MB of
 * the design's full configuration: loaded once and replaced once. */
constexpr std::size_t kMaxHistoryBytes = 16 * 1024 * 1024;
/** Half of the largest message between nodes, so that a delta fits in one. */
constexpr std::size_t kMaxBatchBytes = 512 * 1024;

/** An entity, stored as the change that puts it. Immutable. */
using EntityPtr = std::shared_ptr<const gen::Change>;
using EntityMap = absl::btree_map<std::string, EntityPtr>;

/** Order-independent hash of a set of entities, so that each change can update
 * it. Detects accidental differences, not forgery. */
struct ContentHash {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  /** @return 32 hex digits. */
  std::string ToString() const;

  friend bool operator==(const ContentHash &, const ContentHash &) = default;
};

/**
 * The replicated configuration. It changes only through ExecuteBatch and
 * RestoreSnapshot. A copy is cheap: entities are shared. Not thread-safe.
 */
struct ConfigState {
  base::Revision m_revision{0};  ///< 0 before the first batch
  std::array<EntityMap, kEntityKinds> m_entities;
  ContentHash m_hash;
  std::deque<gen::HistoryEntry> m_history;  ///< oldest first, bounded
  std::size_t m_history_bytes = 0;
  std::deque<gen::OperationOutcome> m_operations;  ///< oldest first, bounded
  /** Operation ID to index, counted from the first operation ever stored. */
  absl::flat_hash_map<std::string, std::uint64_t> m_operation_index;
  std::uint64_t m_dropped_operations = 0;  ///< removed from m_operations
};

enum class EntityAction : std::uint8_t {
  kAdded,
  kChanged,
  kDeleted,
  kUnchanged,
  kEnd,
};

/** Effect of a batch on one entity. */
struct EntityEffect {
  EntityKind m_kind = EntityKind::kEnd;
  std::string m_name;
  EntityAction m_action = EntityAction::kEnd;

  friend bool operator==(const EntityEffect &, const EntityEffect &) = default;
};

/** An accepted batch. */
struct BatchOutcome {
  base::Revision m_revision;  ///< after the batch
  ContentHash m_hash;         ///< after the batch; zero for a resend
  bool m_is_resend = false;   ///< first outcome of a known operation ID
  std::vector<EntityEffect> m_effects;  ///< in batch order; empty for a resend

  friend bool operator==(const BatchOutcome &, const BatchOutcome &) = default;
};

/** A refused batch. */
struct BatchRefusal {
  base::Error m_error;
  std::string m_winning_operation;       ///< for a base revision conflict
  std::uint64_t m_winning_revision = 0;  ///< for a base revision conflict
  bool m_is_resend = false;  ///< first outcome of a known operation ID
};

using BatchResult = tl::expected<BatchOutcome, BatchRefusal>;

/** @return the section name of the kind, such as "recorder_group". */
const char *GetEntityKindName(EntityKind kind);

/** @return "added", "changed", "deleted" or "unchanged". */
const char *GetEntityActionName(EntityAction action);

}  // namespace wasabiwind::config

#endif  // WASABIWIND_CONFIG_STATE_TYPE_H_
