/** @file route_state_machine.h Replicated state: route table and quarantine.
 */

#ifndef WASABIWIND_FLEET_CONTROL_ROUTE_STATE_MACHINE_H_
#define WASABIWIND_FLEET_CONTROL_ROUTE_STATE_MACHINE_H_

#include <routes.pb.h>

#include <functional>
#include <string>

#include "control/state_machine.h"

namespace wasabiwind::fleet_control {

/**
 * @return the compressed document, or kInternal if zlib fails
 */
base::Result<std::string> CompressDocument(const std::string &document);

/** @return the decompressed document, or kCorrupt. */
base::Result<std::string> ExpandDocument(const gen::StoredRouteTable &stored);

/** Holds the table with the highest version and the prompt parts that are
 * quarantined. Not thread-safe. */
class RouteStateMachine : public control::ReplicatedStateMachine {
 public:
  /** Called after a change. */
  struct Hooks {
    std::function<void()> m_on_table;
    std::function<void()> m_on_quarantine;
  };

  explicit RouteStateMachine(Hooks hooks) : m_hooks(std::move(hooks)) {}

  /**
   * Puts a table in force if its version is higher than the current one. Other
   * tables change nothing and succeed as well, so that a resent command has the
   * same outcome. Changes of the quarantine always apply.
   */
  control::CommandOutcome Apply(const std::string &bytes) override;
  std::function<std::string()> PrepareSnapshot() const override;
  base::Result<void> Restore(const std::string &bytes) override;

  const gen::StoredRouteTable &GetStored() const { return m_stored; }
  std::uint64_t GetVersion() const { return m_stored.table().version(); }

 private:
  void PutTable(gen::StoredRouteTable stored);

  Hooks m_hooks;
  gen::StoredRouteTable m_stored;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_ROUTE_STATE_MACHINE_H_
