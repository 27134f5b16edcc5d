/** @file state_machine.h Interfaces of replicated state machines. */

#ifndef WASABIWIND_CONTROL_STATE_MACHINE_H_
#define WASABIWIND_CONTROL_STATE_MACHINE_H_

#include <operators.pb.h>

#include <functional>
#include <optional>
#include <string>

#include "base/error_type.h"
#include "base/id_type.h"
#include "base/time_type.h"

namespace wasabiwind::control {

template <typename Reply>
using OperatorsResult = tl::expected<Reply, gen::OperatorsError>;

/** Outcome of one command, the same on every host. */
using CommandOutcome = OperatorsResult<gen::ApplyReply>;

/**
 * State that changes only through commands of the log. Used by one thread. The
 * same commands in the same order must give the same state and outcomes on
 * every host, so Apply uses neither clocks nor random numbers.
 */
class ReplicatedStateMachine {
 public:
  virtual ~ReplicatedStateMachine() = default;

  /** Executes a committed command. */
  virtual CommandOutcome Apply(const std::string &command) = 0;

  /**
   * @return a function that serializes the present state for Restore. It runs
   *         on another thread while commands change this state, so it works on
   *         a copy.
   */
  virtual std::function<std::string()> PrepareSnapshot() const = 0;

  /** Replaces the state. @return kCorrupt if the bytes can't be parsed */
  virtual base::Result<void> Restore(const std::string &bytes) = 0;
};

/** State machine of ww_control, which operators change and query. */
class ControlStateMachine : public ReplicatedStateMachine {
 public:
  /** @return the command for an operators' request; it carries the time. */
  virtual std::string MakeCommand(const gen::ApplyRequest &request,
                                  base::WallTime now) const = 0;

  /** @return what Apply would return now; changes nothing. */
  virtual CommandOutcome Test(const std::string &command) const = 0;

  /** @param revision nullopt for the current one */
  virtual OperatorsResult<gen::ConfigReply> PrintConfig(
      std::optional<base::Revision> revision) const = 0;

  /** @param limit most items wanted, newest first */
  virtual gen::HistoryReply ListHistory(std::size_t limit) const = 0;

  /** Fills the fields that don't concern the control hosts. */
  virtual void FillStatus(gen::StatusReply *status) const = 0;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_STATE_MACHINE_H_
