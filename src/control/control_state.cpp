/** @file control_state.cpp Replicated state: configuration and grant ledger. */

#include "control/control_state.h"

#include "config/batch_cmd.h"
#include "config/state_func.h"
#include "operators/protocol_func.h"
#include "placement/ledger_cmd.h"

namespace wasabiwind::control {

namespace {

CommandOutcome MakeOutcome(const config::BatchResult &result) {
  if (result) return operators::MakeApplyReply(*result);
  return tl::unexpected(operators::MakeOperatorsError(result.error()));
}

/** @return the error for a command that this version can't parse. */
CommandOutcome MakeUnreadableOutcome() {
  return tl::unexpected(operators::MakeOperatorsError(
      base::Error{base::ErrorKind::kCorrupt, "the command can't be parsed",
                  "run the same version on all control hosts"}));
}

}  // namespace

std::string ControlState::MakeCommand(const gen::ApplyRequest &request,
                                      base::WallTime now) const {
  gen::ControlCommand command;
  gen::ConfigCommand *config = command.mutable_config();
  *config->mutable_batch() = request.batch();
  config->set_accepted_at_ms(
      std::chrono::duration_cast<base::milliseconds>(now.time_since_epoch())
          .count());
  if (m_hooks.m_get_region_capacities) {
    for (const gen::RegionCapacity &capacity :
         m_hooks.m_get_region_capacities()) {
      *config->add_facts() = capacity;
    }
  }
  return command.SerializeAsString();
}

CommandOutcome ControlState::Test(const std::string &command) const {
  gen::ControlCommand parsed;
  if (!parsed.ParseFromString(command) || !parsed.has_config()) {
    return MakeUnreadableOutcome();
  }
  return MakeOutcome(config::TestBatch(m_config, parsed.config()));
}

CommandOutcome ControlState::Apply(const std::string &command) {
  gen::ControlCommand parsed;
  if (!parsed.ParseFromString(command)) return MakeUnreadableOutcome();
  switch (parsed.command_case()) {
    case gen::ControlCommand::kConfig:
      return ApplyConfig(parsed.config());
    case gen::ControlCommand::kPlacement:
      return ApplyPlacement(parsed.placement());
    default:
      return MakeUnreadableOutcome();
  }
}

CommandOutcome ControlState::ApplyConfig(const gen::ConfigCommand &command) {
  base::Revision before = m_config.m_revision;
  config::BatchResult result = config::ExecuteBatch(&m_config, command);
  if (m_config.m_revision != before && m_hooks.m_on_delta) {
    gen::ConfigDelta delta;
    delta.set_revision(m_config.m_revision.Value());
    *delta.mutable_changes() = command.batch().changes();
    m_hooks.m_on_delta(delta);
  }
  return MakeOutcome(result);
}

CommandOutcome ControlState::ApplyPlacement(
    const gen::PlacementCommand &command) {
  base::Result<void> result = placement::ExecuteCommand(&m_ledger, command);
  if (!result)
    return tl::unexpected(operators::MakeOperatorsError(result.error()));
  return gen::ApplyReply();
}

std::function<std::string()> ControlState::PrepareSnapshot() const {
  return [config = m_config, ledger = m_ledger] {
    gen::ControlSnapshot snapshot;
    snapshot.set_config(config::SerializeSnapshot(config));
    snapshot.set_ledger(placement::SerializeLedger(ledger));
    return snapshot.SerializeAsString();
  };
}

base::Result<void> ControlState::Restore(const std::string &bytes) {
  gen::ControlSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return base::MakeError(base::ErrorKind::kCorrupt,
                           "the snapshot can't be parsed",
                           "if the other hosts can open theirs, empty this "
                           "host's data folder, start it again and replace it "
                           "on the leader");
  }
  base::Result<config::ConfigState> config =
      config::RestoreSnapshot(snapshot.config());
  if (!config) return tl::unexpected(config.error());
  base::Result<placement::Ledger> ledger =
      placement::RestoreLedger(snapshot.ledger());
  if (!ledger) return tl::unexpected(ledger.error());
  m_config = std::move(*config);
  m_ledger = std::move(*ledger);
  if (m_hooks.m_on_restored) m_hooks.m_on_restored();
  return {};
}

OperatorsResult<gen::ConfigReply> ControlState::PrintConfig(
    std::optional<base::Revision> revision) const {
  base::Result<gen::ConfigReply> reply = operators::MakeConfigReply(
      m_config, revision.value_or(m_config.m_revision));
  if (reply) return std::move(*reply);
  return tl::unexpected(operators::MakeOperatorsError(reply.error()));
}

gen::HistoryReply ControlState::ListHistory(std::size_t limit) const {
  return operators::MakeHistoryReply(m_config, limit);
}

void ControlState::FillStatus(gen::StatusReply *status) const {
  status->set_revision(m_config.m_revision.Value());
  status->set_content_hash(m_config.m_hash.ToString());
  status->set_grants(static_cast<std::uint32_t>(m_ledger.m_grants.size()));
  if (m_hooks.m_fill_status) m_hooks.m_fill_status(status);
}

}  // namespace wasabiwind::control
