/** @file control_state.h Replicated state: configuration and grant ledger. */

#ifndef WASABIWIND_CONTROL_CONTROL_STATE_H_
#define WASABIWIND_CONTROL_CONTROL_STATE_H_

#include <control_command.pb.h>

#include <functional>
#include <vector>

#include "config/state_type.h"
#include "control/state_machine.h"
#include "placement/ledger_type.h"

namespace wasabiwind::control {

/** Callbacks of ControlState, called on the thread of the replicated log. */
struct ControlStateHooks {
  /** A batch was applied. */
  std::function<void(const gen::ConfigDelta &)> m_on_delta;
  /** The whole state was replaced by a snapshot. */
  std::function<void()> m_on_restored;
  /** @return the capacity of each region, by which batches are checked; the
   * hook may be empty. */
  std::function<std::vector<gen::RegionCapacity>()> m_get_region_capacities;
  /** Fills in what isn't replicated, such as nodes. */
  std::function<void(gen::StatusReply *)> m_fill_status;
};

/**
 * The state machine of ww_control. Its commands are gen::ControlCommand.
 */
class ControlState : public ControlStateMachine {
 public:
  void SetHooks(ControlStateHooks hooks) { m_hooks = std::move(hooks); }

  std::string MakeCommand(const gen::ApplyRequest &request,
                          base::WallTime now) const override;
  CommandOutcome Test(const std::string &command) const override;
  CommandOutcome Apply(const std::string &command) override;
  std::function<std::string()> PrepareSnapshot() const override;
  base::Result<void> Restore(const std::string &bytes) override;
  OperatorsResult<gen::ConfigReply> PrintConfig(
      std::optional<base::Revision> revision) const override;
  gen::HistoryReply ListHistory(std::size_t limit) const override;
  void FillStatus(gen::StatusReply *status) const override;

  const config::ConfigState &GetConfig() const { return m_config; }
  const placement::Ledger &GetLedger() const { return m_ledger; }

 private:
  CommandOutcome ApplyConfig(const gen::ConfigCommand &command);
  CommandOutcome ApplyPlacement(const gen::PlacementCommand &command);

  config::ConfigState m_config;
  placement::Ledger m_ledger;
  ControlStateHooks m_hooks;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_CONTROL_STATE_H_
