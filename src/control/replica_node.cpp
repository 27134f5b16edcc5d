/** @file replica_node.cpp Replicated log and state machine of one host. */

#include "control/replica_node.h"

#include <fmt/format.h>

#include <boost/fiber/future/future.hpp>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "net/fiber_scheduler.h"
#include "replica/log_func.h"

namespace wasabiwind::control {

namespace {

using base::ErrorKind;
using base::LogEvent;
using base::LogLevel;
using replica::Role;

constexpr std::size_t kMaxInputs = 4'096;
/** Most inputs handled before one sync; bounds the time between ticks. */
constexpr std::size_t kMaxInputsPerSync = 512;
constexpr std::size_t kMaxPendingCommands = 1'000;
constexpr const char *kResendRemedy =
    "send it again with the same operation ID";

const char *GetRoleName(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre_candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
    case Role::kEnd:
      break;
  }
  return "unknown";
}

tl::unexpected<base::Error> MakeBusyError() {
  return base::MakeError(ErrorKind::kOverloaded,
                         "too many requests wait for the replicated log",
                         "retry later");
}

/** Waits for a promise until a deadline. */
template <typename Value>
base::Result<Value> WaitFor(boost::fibers::future<base::Result<Value>> *future,
                            base::TimePoint deadline) {
  bool is_ready =
      future->wait_until(deadline) == boost::fibers::future_status::ready;
  // An exception means that the promise was destroyed: the node stopped, or an
  // entry of another leader overwrote the command.
  if (is_ready && !future->get_exception_ptr()) return future->get();
  return base::MakeError(ErrorKind::kTimeout,
                         "the outcome wasn't known before the deadline passed "
                         "or the host stopped",
                         kResendRemedy);
}

}  // namespace

ReplicaNode::ReplicaNode(ReplicaNodeOptions options,
                         std::unique_ptr<replica::FileSystem> files,
                         Sender sender, ReplicatedStateMachine *machine)
    : m_options(std::move(options)),
      m_files(std::move(files)),
      m_sender(std::move(sender)),
      m_machine(machine) {}

base::Result<void> ReplicaNode::Open() {
  base::TimePoint start = base::Clock::now();
  replica::LoadedState loaded;
  auto store = replica::Store::Open(m_files.get(), &loaded);
  if (!store && store.error().m_kind == ErrorKind::kNotFound) {
    LogEvent(LogLevel::kWarn, "superblock_lost",
             {{"reason", store.error().m_message},
              {"remedy", store.error().m_remedy}});
    base::Result<void> formatted = replica::FormatReplacement(
        m_files.get(), m_options.m_host, base::MakeSeed());
    if (!formatted) return formatted;
    loaded = replica::LoadedState();
    store = replica::Store::Open(m_files.get(), &loaded);
  }
  if (!store) return tl::unexpected(store.error());
  if (loaded.m_self.m_host != m_options.m_host) {
    return base::MakeError(ErrorKind::kInvalidSettings,
                           fmt::format("the data folder belongs to host {}",
                                       loaded.m_self.m_host.Value()),
                           "check [node] name and [replica] data_folder");
  }
  m_store = std::move(*store);
  std::size_t torn_bytes = loaded.m_torn_bytes;
  m_state = replica::MakeRaftState(m_options.m_raft, std::move(loaded),
                                   base::MakeSeed(), base::Clock::now());
  if (base::Result<void> done = RestoreFromSnapshot(); !done) return done;
  LogEvent(LogLevel::kInfo, "replica_opened",
           {{"took_ms", base::ToMilliseconds(base::Clock::now() - start)},
            {"term", m_state.m_term},
            {"last_index", replica::GetLastIndex(m_state.m_log)},
            {"snapshot_index", m_state.m_snapshot.m_position.m_index},
            {"damaged_entries", m_state.m_log.m_damaged},
            {"is_snapshot_damaged", m_state.m_is_snapshot_damaged},
            {"torn_bytes", torn_bytes}});
  return {};
}

base::Result<void> ReplicaNode::RestoreFromSnapshot() {
  if (m_state.m_snapshot.m_data == nullptr) return {};
  return m_machine->Restore(*m_state.m_snapshot.m_data);
}

bool ReplicaNode::QueueInput(Input input) {
  if (m_is_stopped || m_inputs.size() >= kMaxInputs) return false;
  m_inputs.push_back(std::move(input));
  m_wake.notify_one();
  return true;
}

void ReplicaNode::Receive(gen::ReplicaMessage message) {
  auto shared = std::make_shared<gen::ReplicaMessage>(std::move(message));
  bool is_queued = QueueInput(
      [shared](replica::RaftState *state, replica::Effects *effects) {
        replica::HandleMessage(state, *shared, base::Clock::now(), effects);
      });
  if (is_queued) return;
  static prometheus::Counter &dropped =
      base::GetCounter("ww_replica_messages_dropped_total",
                       "Messages dropped because too many inputs waited");
  dropped.Increment();
}

base::Result<CommandOutcome> ReplicaNode::Execute(std::string command,
                                                  base::TimePoint deadline) {
  if (m_commands.size() >= kMaxPendingCommands) return MakeBusyError();
  auto promise = std::make_shared<OutcomePromise>();
  auto future = promise->get_future();
  auto shared = std::make_shared<std::string>(std::move(command));
  bool is_queued =
      QueueInput([this, promise, shared](replica::RaftState *state,
                                         replica::Effects *effects) {
        base::Result<replica::LogIndex> index =
            replica::Propose(state, std::move(*shared), effects);
        if (index) {
          // A command that still waits at this index was overwritten by an
          // entry of another leader.
          m_commands.insert_or_assign(*index,
                                      PendingCommand{state->m_term, promise});
        } else {
          promise->set_value(tl::unexpected(index.error()));
        }
      });
  if (!is_queued) return MakeBusyError();
  return WaitFor(&future, deadline);
}

base::Result<void> ReplicaNode::ConfirmRead(base::TimePoint deadline) {
  auto promise = std::make_shared<VoidPromise>();
  auto future = promise->get_future();
  bool is_queued = QueueInput([this, promise](replica::RaftState *state,
                                              replica::Effects *effects) {
    std::uint64_t read_id = m_next_read_id++;
    base::Result<void> started = replica::RequestRead(state, read_id, effects);
    if (started) {
      m_unconfirmed_reads.emplace(read_id, promise);
    } else {
      promise->set_value(started);
    }
  });
  if (!is_queued) return MakeBusyError();
  return WaitFor(&future, deadline);
}

base::Result<void> ReplicaNode::ChangeMembers(
    const replica::MemberChange &change, base::TimePoint deadline) {
  auto promise = std::make_shared<VoidPromise>();
  auto future = promise->get_future();
  bool is_queued = QueueInput(
      [promise, change](replica::RaftState *state, replica::Effects *effects) {
        base::Result<replica::LogIndex> index =
            replica::ProposeMemberChange(state, change, effects);
        if (index) {
          promise->set_value(base::Result<void>());
        } else {
          promise->set_value(tl::unexpected(index.error()));
        }
      });
  if (!is_queued) return MakeBusyError();
  return WaitFor(&future, deadline);
}

void ReplicaNode::WaitForInput() {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_wake.wait_until(lock, m_next_tick,
                    [this] { return m_is_stopped || !m_inputs.empty(); });
}

void ReplicaNode::HandleInputs(replica::Effects *effects) {
  for (std::size_t i = 0; i < kMaxInputsPerSync && !m_inputs.empty(); ++i) {
    Input input = std::move(m_inputs.front());
    m_inputs.pop_front();
    input(&m_state, effects);
  }
  base::TimePoint now = base::Clock::now();
  if (now >= m_next_tick) {
    m_next_tick = now + m_options.m_raft.m_heartbeat / 2;
    replica::Tick(&m_state, now, effects);
  }
  StartSnapshotIfNeeded(*effects);
  replica::SendLeaderMessages(&m_state, now, effects);
}

void ReplicaNode::SendAll(const std::vector<gen::ReplicaMessage> &messages) {
  for (const gen::ReplicaMessage &message : messages) m_sender(message);
}

base::Result<void> ReplicaNode::ApplyEffects(replica::Effects *effects) {
  SendAll(effects->m_messages);
  if (effects->NeedsSave()) {
    // Only this fiber changes the state, and it waits here.
    base::Result<void> saved = m_disk.Run(
        [this, effects] { return m_store->Save(m_state, *effects); });
    if (!saved) return saved;
    replica::MarkSynced(&m_state, effects);
  }
  if (effects->m_must_restore) {
    if (base::Result<void> done = RestoreFromSnapshot(); !done) return done;
  }
  SendAll(effects->m_messages_after_sync);
  FinishReads(effects->m_reads);
  ApplyCommitted();
  return {};
}

base::Result<void> ReplicaNode::Run() {
  base::Result<void> result;
  while (!m_is_stopped) {
    WaitForInput();
    if (m_is_stopped) break;
    replica::Effects effects;
    HandleInputs(&effects);
    result = ApplyEffects(&effects);
    if (!result) break;
    LogRoleChange();
  }
  FailWaitingCalls();
  if (m_snapshot_fiber.joinable()) m_snapshot_fiber.join();
  return result;
}

void ReplicaNode::Stop() {
  m_is_stopped = true;
  m_wake.notify_one();
}

void ReplicaNode::ApplyCommitted() {
  for (const replica::CommittedEntry &entry :
       replica::TakeCommitted(&m_state)) {
    if (entry.m_kind != gen::ENTRY_COMMAND) {
      FinishCommand(entry, CommandOutcome());
      continue;
    }
    FinishCommand(entry, m_machine->Apply(entry.m_body));
  }
  AnswerAppliedReads();
}

void ReplicaNode::FinishCommand(const replica::CommittedEntry &entry,
                                const CommandOutcome &outcome) {
  auto found = m_commands.begin();
  // Commands at lower indexes were skipped by an installed snapshot.
  while (found != m_commands.end() && found->first <= entry.m_index) {
    bool is_own =
        found->first == entry.m_index && found->second.m_term == entry.m_term;
    if (is_own) {
      found->second.m_promise->set_value(outcome);
    } else {
      found->second.m_promise->set_value(base::MakeError(
          ErrorKind::kTimeout,
          "this host lost the leadership before the outcome was known",
          kResendRemedy));
    }
    found = m_commands.erase(found);
  }
}

void ReplicaNode::FinishReads(
    const std::vector<replica::ReadOutcome> &outcomes) {
  for (const replica::ReadOutcome &outcome : outcomes) {
    auto found = m_unconfirmed_reads.find(outcome.m_read_id);
    if (found == m_unconfirmed_reads.end()) continue;
    if (outcome.m_is_confirmed) {
      m_confirmed_reads.push_back(
          ConfirmedRead{outcome.m_index, found->second});
    } else {
      found->second->set_value(
          base::MakeError(ErrorKind::kUnavailable,
                          "this host lost the leadership during the read",
                          "send the request to the new leader"));
    }
    m_unconfirmed_reads.erase(found);
  }
}

void ReplicaNode::AnswerAppliedReads() {
  while (!m_confirmed_reads.empty() &&
         m_confirmed_reads.front().m_index <= m_state.m_applied_index) {
    m_confirmed_reads.front().m_promise->set_value(base::Result<void>());
    m_confirmed_reads.pop_front();
  }
}

void ReplicaNode::StartSnapshotIfNeeded(const replica::Effects &effects) {
  bool is_large = m_store->GetWalBytes() >= m_options.m_snapshot_after_bytes;
  if (!is_large && !replica::NeedsFirstSnapshot(m_state)) return;
  if (m_is_snapshot_running || m_state.m_is_snapshot_damaged) return;
  // The log file shrinks only when the snapshot of these effects is saved.
  if (effects.m_is_snapshot_changed) return;
  replica::LogIndex index = m_state.m_applied_index;
  if (index <= m_state.m_snapshot.m_position.m_index) return;
  if (m_snapshot_fiber.joinable()) m_snapshot_fiber.join();
  m_is_snapshot_running = true;
  // Serializing 6 MB takes about 100 ms, a third of the election timeout, so it
  // runs on another thread.
  m_snapshot_fiber = boost::fibers::fiber(
      [this, index, serialize = m_machine->PrepareSnapshot()] {
        auto bytes = std::make_shared<std::string>();
        (void)m_serializer.Run([&]() -> base::Result<void> {
          *bytes = serialize();
          return {};
        });
        bool is_queued =
            QueueInput([this, index, bytes](replica::RaftState *,
                                            replica::Effects *effects) {
              FinishSnapshot(index, std::move(*bytes), effects);
            });
        m_is_snapshot_running = is_queued;
      });
}

void ReplicaNode::FinishSnapshot(replica::LogIndex index, std::string bytes,
                                 replica::Effects *effects) {
  m_is_snapshot_running = false;
  // A leader may have sent a newer snapshot in the meantime.
  if (index <= m_state.m_snapshot.m_position.m_index) return;
  if (index > m_state.m_applied_index || m_state.m_is_snapshot_damaged) return;
  std::size_t size = bytes.size();
  replica::CompactLog(&m_state, index,
                      std::make_shared<const std::string>(std::move(bytes)),
                      m_options.m_keep_bytes, effects);
  LogEvent(LogLevel::kInfo, "snapshot_taken",
           {{"index", index}, {"bytes", size}});
}

void ReplicaNode::LogRoleChange() {
  if (m_state.m_role == m_logged_role) return;
  m_logged_role = m_state.m_role;
  LogEvent(LogLevel::kInfo, "replica_role",
           {{"role", GetRoleName(m_state.m_role)},
            {"term", m_state.m_term},
            {"leader", m_state.m_leader.Value()}});
}

void ReplicaNode::FailWaitingCalls() {
  m_is_stopped = true;
  auto error = base::MakeError(ErrorKind::kTimeout, "this host is stopping",
                               kResendRemedy);
  for (auto &[index, command] : m_commands) command.m_promise->set_value(error);
  for (auto &[read_id, promise] : m_unconfirmed_reads) {
    promise->set_value(error);
  }
  for (ConfirmedRead &read : m_confirmed_reads)
    read.m_promise->set_value(error);
  m_commands.clear();
  m_unconfirmed_reads.clear();
  m_confirmed_reads.clear();
}

}  // namespace wasabiwind::control
