/** @file ledger_cmd.cpp Commands that change the ledger of grants. */

#include "placement/ledger_cmd.h"

#include <fmt/format.h>

namespace wasabiwind::placement {

namespace {

using base::ErrorKind;
using base::MakeError;
using base::Result;

constexpr const char *kReplanRemedy = "plan again from the current ledger";

const gen::Grant *FindGrant(const Ledger &ledger, std::uint64_t grant_id) {
  auto found = ledger.m_grants.find(grant_id);
  return found == ledger.m_grants.end() ? nullptr : &found->second;
}

tl::unexpected<base::Error> MakeUnknownGrantError(std::uint64_t grant_id) {
  return MakeError(ErrorKind::kNotFound,
                   fmt::format("grant {} doesn't exist", grant_id),
                   kReplanRemedy);
}

tl::unexpected<base::Error> MakeStateError(const gen::Grant &grant,
                                           const std::string &wanted) {
  return MakeError(ErrorKind::kConflict,
                   fmt::format("grant {} is in state {}; {}", grant.grant_id(),
                               gen::GrantState_Name(grant.state()), wanted),
                   kReplanRemedy);
}

Result<void> CheckFence(const Ledger &ledger, const gen::Fence &fence) {
  if (ToFencingToken(fence) > ledger.m_last_fence &&
      fence.term() == ledger.m_term) {
    return {};
  }
  return MakeError(
      ErrorKind::kConflict,
      fmt::format("fence ({}, {}) isn't above ({}, {})", fence.term(),
                  fence.sequence(), ledger.m_last_fence.m_term,
                  ledger.m_last_fence.m_sequence),
      kReplanRemedy);
}

bool CountsAsReplica(const Ledger &ledger, const gen::Grant &grant) {
  return !ledger.m_faults.m_count_only_confirmed ||
         grant.state() == gen::GRANT_LOADED;
}

Result<void> CheckNoDuplicate(const Ledger &ledger, const gen::Grant &wanted) {
  for (std::uint64_t id : GetRunnerGrants(ledger, wanted.runner())) {
    if (ledger.m_grants.at(id).target() != wanted.target()) continue;
    return MakeError(ErrorKind::kConflict,
                     fmt::format("runner {} already has a grant for {}",
                                 wanted.runner(), wanted.target()),
                     kReplanRemedy);
  }
  return {};
}

/** Checks that the scope and its domain may have one more replica. */
Result<void> CheckReplicas(const Ledger &ledger,
                           const gen::ReserveCommand &command) {
  const gen::Grant &wanted = command.grant();
  int replicas = 0;
  int in_domain = 0;
  for (std::uint64_t id : GetScopeGrants(ledger, wanted.scope())) {
    const gen::Grant &grant = ledger.m_grants.at(id);
    if (!CountsAsReplica(ledger, grant)) continue;
    ++replicas;
    if (grant.domain() == wanted.domain()) ++in_domain;
  }
  if (replicas >= command.decided()) {
    return MakeError(ErrorKind::kOverloaded,
                     fmt::format("{} has {} of at most {} replicas",
                                 wanted.scope(), replicas, command.decided()),
                     "wait until one is unloaded or raise max_replicas");
  }
  if (in_domain >= command.max_per_domain()) {
    return MakeError(
        ErrorKind::kOverloaded,
        fmt::format("{} already has {} replicas in failure domain {}",
                    wanted.scope(), in_domain, wanted.domain()),
        "choose another domain or raise max_per_domain");
  }
  return {};
}

Result<void> CheckMemory(const Ledger &ledger,
                         const gen::ReserveCommand &command) {
  const gen::Grant &grant = command.grant();
  std::int64_t reserved = GetReservedBytes(ledger, grant.runner());
  if (reserved + grant.bytes() <= command.runner_memory_bytes()) return {};
  return MakeError(
      ErrorKind::kOverloaded,
      fmt::format("runner {} has {} of {} bytes reserved; {} don't fit",
                  grant.runner(), reserved, command.runner_memory_bytes(),
                  grant.bytes()),
      "wait until memory is released or choose another runner");
}

Result<void> CheckBounds(const Ledger &ledger,
                         const gen::ReserveCommand &command) {
  Result<void> memory = CheckMemory(ledger, command);
  return memory ? CheckReplicas(ledger, command) : memory;
}

Result<void> ValidateReserve(const Ledger &ledger,
                             const gen::ReserveCommand &command) {
  const gen::Grant &grant = command.grant();
  if (grant.bytes() <= 0 || grant.runner().empty() || grant.scope().empty() ||
      grant.target().empty()) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        "the grant lacks its scope, target, runner or bytes",
        "set scope, target, runner and a positive number of bytes");
  }
  if (ledger.m_grants.size() >= kMaxGrants) {
    return MakeError(ErrorKind::kOverloaded,
                     "the ledger has reached its maximum of grants",
                     "unload models that are idle");
  }
  if (Result<void> fence = CheckFence(ledger, grant.fence()); !fence) {
    return fence;
  }
  if (Result<void> place = CheckNoDuplicate(ledger, grant); !place) {
    return place;
  }
  if (command.is_adoption()) return {};
  return CheckBounds(ledger, command);
}

Result<void> ValidateConfirmLoad(const Ledger &ledger, std::uint64_t grant_id) {
  const gen::Grant *grant = FindGrant(ledger, grant_id);
  if (grant == nullptr) return MakeUnknownGrantError(grant_id);
  if (grant->state() == gen::GRANT_LOADING) return {};
  return MakeStateError(*grant, "only a loading grant can be confirmed");
}

Result<void> ValidateRetire(const Ledger &ledger, std::uint64_t grant_id) {
  const gen::Grant *grant = FindGrant(ledger, grant_id);
  if (grant == nullptr) return MakeUnknownGrantError(grant_id);
  if (grant->state() == gen::GRANT_LOADED) return {};
  return MakeStateError(*grant, "only a loaded grant can be retired");
}

Result<void> ValidateBeginUnload(const Ledger &ledger,
                                 const gen::BeginUnloadCommand &command) {
  const gen::Grant *grant = FindGrant(ledger, command.grant_id());
  if (grant == nullptr) return MakeUnknownGrantError(command.grant_id());
  if (grant->state() == gen::GRANT_LOADED) {
    return MakeStateError(*grant, "a loaded grant must be retired first");
  }
  if (command.runner_incarnation() < grant->runner_incarnation()) {
    return MakeStateError(
        *grant, "its runner has a newer incarnation than the command");
  }
  return CheckFence(ledger, command.fence());
}

Result<void> ValidateRelease(const Ledger &ledger,
                             const gen::ReleaseCommand &command) {
  const gen::Grant *grant = FindGrant(ledger, command.grant_id());
  if (grant == nullptr) return MakeUnknownGrantError(command.grant_id());
  switch (command.reason()) {
    case gen::RELEASE_UNLOADED:
      if (grant->state() == gen::GRANT_UNLOADING) return {};
      return MakeStateError(*grant, "only an unloading grant can be released");
    case gen::RELEASE_INCARNATION_ENDED:
      if (command.newer_incarnation() > grant->runner_incarnation()) return {};
      return MakeStateError(*grant,
                            "the incarnation of its runner hasn't ended");
    default:
      return {};
  }
}

void RemoveId(absl::btree_map<std::string, Ledger::GrantIds> *index,
              const std::string &key, std::uint64_t grant_id) {
  auto found = index->find(key);
  found->second.erase(grant_id);
  if (found->second.empty()) index->erase(found);
}

void InsertGrant(Ledger *ledger, gen::Grant grant) {
  std::uint64_t id = grant.grant_id();
  ledger->m_runner_bytes[grant.runner()] += grant.bytes();
  ledger->m_by_scope[grant.scope()].insert(id);
  ledger->m_by_runner[grant.runner()].insert(id);
  if (grant.state() != gen::GRANT_LOADED) ledger->m_in_transition.insert(id);
  ledger->m_grants.emplace(id, std::move(grant));
}

void SetState(Ledger *ledger, std::uint64_t grant_id, gen::GrantState state) {
  ledger->m_grants[grant_id].set_state(state);
  if (state == gen::GRANT_LOADED) {
    ledger->m_in_transition.erase(grant_id);
  } else {
    ledger->m_in_transition.insert(grant_id);
  }
}

void AddGrant(Ledger *ledger, const gen::ReserveCommand &command) {
  gen::Grant grant = command.grant();
  grant.set_grant_id(ledger->m_next_grant_id++);
  grant.set_state(gen::GRANT_LOADING);
  if (command.is_adoption()) {
    grant.set_state(CheckBounds(*ledger, command) ? gen::GRANT_LOADED
                                                  : gen::GRANT_RETIRING);
  }
  ledger->m_last_fence = ToFencingToken(grant.fence());
  InsertGrant(ledger, std::move(grant));
}

void RemoveGrant(Ledger *ledger, std::uint64_t grant_id) {
  auto found = ledger->m_grants.find(grant_id);
  const gen::Grant &grant = found->second;
  std::int64_t &bytes = ledger->m_runner_bytes[grant.runner()];
  bytes -= grant.bytes();
  if (bytes == 0) ledger->m_runner_bytes.erase(grant.runner());
  RemoveId(&ledger->m_by_scope, grant.scope(), grant_id);
  RemoveId(&ledger->m_by_runner, grant.runner(), grant_id);
  ledger->m_in_transition.erase(grant_id);
  ledger->m_grants.erase(found);
}

void BeginUnload(Ledger *ledger, const gen::BeginUnloadCommand &command) {
  ledger->m_last_fence = ToFencingToken(command.fence());
  SetState(ledger, command.grant_id(), gen::GRANT_UNLOADING);
  gen::Grant &grant = ledger->m_grants[command.grant_id()];
  *grant.mutable_fence() = command.fence();
  grant.set_runner_incarnation(command.runner_incarnation());
}

}  // namespace

Result<void> ValidateCommand(const Ledger &ledger,
                             const gen::PlacementCommand &command) {
  bool is_begin = command.has_begin_term();
  bool is_current = is_begin ? command.term() > ledger.m_term
                             : command.term() == ledger.m_term;
  if (!is_current) {
    return MakeError(
        ErrorKind::kConflict,
        fmt::format("the command has term {}, the ledger has term {}",
                    command.term(), ledger.m_term),
        "let the leader of the current term decide");
  }
  switch (command.command_case()) {
    case gen::PlacementCommand::kBeginTerm:
      return {};
    case gen::PlacementCommand::kReserve:
      return ValidateReserve(ledger, command.reserve());
    case gen::PlacementCommand::kConfirmLoad:
      return ValidateConfirmLoad(ledger, command.confirm_load().grant_id());
    case gen::PlacementCommand::kRetire:
      return ValidateRetire(ledger, command.retire().grant_id());
    case gen::PlacementCommand::kBeginUnload:
      return ValidateBeginUnload(ledger, command.begin_unload());
    case gen::PlacementCommand::kRelease:
      return ValidateRelease(ledger, command.release());
    default:
      return MakeError(ErrorKind::kProtocol, "unknown placement command",
                       "update this control host");
  }
}

Result<void> ExecuteCommand(Ledger *ledger,
                            const gen::PlacementCommand &command) {
  Result<void> valid = ValidateCommand(*ledger, command);
  if (!valid) return valid;
  switch (command.command_case()) {
    case gen::PlacementCommand::kBeginTerm:
      ledger->m_term = command.term();
      break;
    case gen::PlacementCommand::kReserve:
      AddGrant(ledger, command.reserve());
      break;
    case gen::PlacementCommand::kConfirmLoad:
      SetState(ledger, command.confirm_load().grant_id(), gen::GRANT_LOADED);
      break;
    case gen::PlacementCommand::kRetire:
      SetState(ledger, command.retire().grant_id(), gen::GRANT_RETIRING);
      break;
    case gen::PlacementCommand::kBeginUnload:
      BeginUnload(ledger, command.begin_unload());
      break;
    default:
      RemoveGrant(ledger, command.release().grant_id());
      break;
  }
  return {};
}

std::string SerializeLedger(const Ledger &ledger) {
  gen::PlacementSnapshot snapshot;
  snapshot.set_term(ledger.m_term);
  snapshot.set_next_grant_id(ledger.m_next_grant_id);
  snapshot.mutable_last_fence()->set_term(ledger.m_last_fence.m_term);
  snapshot.mutable_last_fence()->set_sequence(ledger.m_last_fence.m_sequence);
  for (const auto &[id, grant] : ledger.m_grants) {
    *snapshot.add_grants() = grant;
  }
  return snapshot.SerializeAsString();
}

Result<Ledger> RestoreLedger(const std::string &bytes) {
  gen::PlacementSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return MakeError(ErrorKind::kCorrupt, "the ledger snapshot can't be parsed",
                     "fetch the snapshot from another control host");
  }
  Ledger ledger;
  ledger.m_term = snapshot.term();
  ledger.m_next_grant_id = snapshot.next_grant_id();
  ledger.m_last_fence = ToFencingToken(snapshot.last_fence());
  for (const gen::Grant &grant : snapshot.grants()) {
    InsertGrant(&ledger, grant);
  }
  return ledger;
}

std::int64_t GetReservedBytes(const Ledger &ledger, const std::string &runner) {
  auto found = ledger.m_runner_bytes.find(runner);
  return found == ledger.m_runner_bytes.end() ? 0 : found->second;
}

int CountReplicas(const Ledger &ledger, const std::string &scope) {
  return static_cast<int>(GetScopeGrants(ledger, scope).size());
}

const Ledger::GrantIds &GetScopeGrants(const Ledger &ledger,
                                       const std::string &scope) {
  static const Ledger::GrantIds kNone;
  auto found = ledger.m_by_scope.find(scope);
  return found == ledger.m_by_scope.end() ? kNone : found->second;
}

const Ledger::GrantIds &GetRunnerGrants(const Ledger &ledger,
                                        const std::string &runner) {
  static const Ledger::GrantIds kNone;
  auto found = ledger.m_by_runner.find(runner);
  return found == ledger.m_by_runner.end() ? kNone : found->second;
}

}  // namespace wasabiwind::placement
