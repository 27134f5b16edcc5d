/** @file replica_node.h Replicated log and state machine of one host. */

#ifndef WASABIWIND_CONTROL_REPLICA_NODE_H_
#define WASABIWIND_CONTROL_REPLICA_NODE_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future/promise.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "control/disk_worker.h"
#include "control/state_machine.h"
#include "replica/raft_func.h"
#include "replica/store_base.h"

namespace wasabiwind::control {

struct ReplicaNodeOptions {
  base::NodeId m_host;
  replica::RaftSettings m_raft;
  std::uint64_t m_snapshot_after_bytes = 8 << 20;  ///< size of the log file
  std::size_t m_keep_bytes = 1 << 20;  ///< log kept for lagging hosts
};

/**
 * Runs the Raft protocol with the files and messages of this host. All
 * methods belong to one fiber thread. Commands that arrive while the disk syncs
 * share the next sync.
 */
class ReplicaNode {
 public:
  /** Sends a message to its receiver, or drops it. */
  using Sender = std::function<void(const gen::ReplicaMessage &)>;

  /** @param machine outlives this object */
  ReplicaNode(ReplicaNodeOptions options,
              std::unique_ptr<replica::FileSystem> files, Sender sender,
              ReplicatedStateMachine *machine);

  /**
   * Loads the files. A folder without a usable superblock is formatted for
   * a non-voter, see replica::FormatReplacement.
   */
  base::Result<void> Open();

  /**
   * Takes part in the replicated log until Stop.
   * @return the error of a failed write; the process must end then
   * @pre Open succeeded; called inside net::RunFiberThread
   */
  base::Result<void> Run();

  /** Ends Run and fails all waiting calls. */
  void Stop();

  /** Queues a message from another host; drops it if too many wait. */
  void Receive(gen::ReplicaMessage message);

  /**
   * Proposes a command and waits until it is committed and applied.
   * @return the outcome, or kUnavailable if this host isn't the leader
   * @return kTimeout if the outcome isn't known at the deadline: the command
   *         may still be committed
   */
  base::Result<CommandOutcome> Execute(std::string command,
                                       base::TimePoint deadline);

  /**
   * Waits until the state machine reflects everything that was committed
   * before the call.
   * @return kUnavailable if this host isn't the leader, kTimeout
   */
  base::Result<void> ConfirmRead(base::TimePoint deadline);

  /** Starts a membership change, see replica::ProposeMemberChange. */
  base::Result<void> ChangeMembers(const replica::MemberChange &change,
                                   base::TimePoint deadline);

  const replica::RaftState &GetState() const { return m_state; }

 private:
  using VoidPromise = boost::fibers::promise<base::Result<void>>;
  using OutcomePromise = boost::fibers::promise<base::Result<CommandOutcome>>;
  /** Call of a Raft function, made on the fiber of Run. */
  using Input = std::function<void(replica::RaftState *, replica::Effects *)>;

  struct PendingCommand {
    replica::TermNumber m_term = 0;
    std::shared_ptr<OutcomePromise> m_promise;
  };

  /** Read that waits until the state machine has applied an entry. */
  struct ConfirmedRead {
    replica::LogIndex m_index = 0;
    std::shared_ptr<VoidPromise> m_promise;
  };

  bool QueueInput(Input input);
  void WaitForInput();
  void HandleInputs(replica::Effects *effects);
  base::Result<void> ApplyEffects(replica::Effects *effects);
  void SendAll(const std::vector<gen::ReplicaMessage> &messages);
  base::Result<void> RestoreFromSnapshot();
  void ApplyCommitted();
  void FinishCommand(const replica::CommittedEntry &entry,
                     const CommandOutcome &outcome);
  void FinishReads(const std::vector<replica::ReadOutcome> &outcomes);
  void AnswerAppliedReads();
  void StartSnapshotIfNeeded(const replica::Effects &effects);
  void FinishSnapshot(replica::LogIndex index, std::string bytes,
                      replica::Effects *effects);
  void LogRoleChange();
  void FailWaitingCalls();

  ReplicaNodeOptions m_options;
  std::unique_ptr<replica::FileSystem> m_files;
  Sender m_sender;
  ReplicatedStateMachine *m_machine;
  std::unique_ptr<replica::Store> m_store;
  DiskWorker m_disk;
  DiskWorker m_serializer;  ///< serializes snapshots without blocking the log
  boost::fibers::fiber m_snapshot_fiber;
  bool m_is_snapshot_running = false;
  replica::RaftState m_state;
  bool m_is_stopped = false;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_wake;  ///< an input came, or Stop
  std::deque<Input> m_inputs;
  base::TimePoint m_next_tick;
  std::map<replica::LogIndex, PendingCommand> m_commands;
  std::map<std::uint64_t, std::shared_ptr<VoidPromise>> m_unconfirmed_reads;
  std::deque<ConfirmedRead> m_confirmed_reads;
  std::uint64_t m_next_read_id = 0;
  replica::Role m_logged_role = replica::Role::kEnd;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_REPLICA_NODE_H_
