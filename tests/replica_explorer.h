/** @file replica_explorer.h Random schedules over Raft and its files. */

#ifndef WASABIWIND_TESTS_REPLICA_EXPLORER_H_
#define WASABIWIND_TESTS_REPLICA_EXPLORER_H_

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "replica/log_func.h"
#include "replica/store_base.h"
#include "replica_memory_files.h"

namespace wasabiwind::replica {

/** A fault planted in the hosts to show that the explorer detects it. */
enum class PlantedFault : std::uint8_t {
  kNone,
  kAcknowledgeBeforeSync,
  kSmallerQuorum,
  kForgetVote,
  kDamagedIsAbsent,
  kSkipReadConfirmation,
  kEnd,
};

struct ScheduleOptions {
  std::uint64_t m_seed = 0;
  PlantedFault m_fault = PlantedFault::kNone;
  int m_steps = 400;
};

struct ScheduleResult {
  std::string m_violation;  ///< empty: all invariants held
  std::size_t m_committed = 0;
  std::size_t m_reads = 0;
  std::size_t m_leaders = 0;
  std::size_t m_crashes = 0;
  std::size_t m_repaired = 0;        ///< damaged entries that became intact
  std::size_t m_replacements = 0;    ///< replacements proposed successfully
  std::size_t m_second_losses = 0;   ///< disks lost after a repaired loss
  std::size_t m_member_changes = 0;  ///< additions and removals
  std::size_t m_installs = 0;        ///< snapshots installed from a leader
  bool m_is_recovery_checked = false;
};

/** One simulated run of several hosts. */
class Explorer {
 public:
  explicit Explorer(const ScheduleOptions &options) : m_options(options) {
    m_random.m_state = options.m_seed * 0x9e3779b97f4a7c15 + 1;
    ChooseRates();
    for (std::size_t i = 0; i < m_host_count; ++i) {
      Host host;
      host.m_id = base::NodeId(std::string(1, static_cast<char>('a' + i)));
      host.m_files = std::make_unique<MemoryFiles>();
      m_members.push_back(
          Member{HostIdentity{host.m_id, 1}, true, "127.0.0.1:1", ""});
      m_hosts.push_back(std::move(host));
    }
    for (Host &host : m_hosts) {
      (void)FormatFirstMember(host.m_files.get(), host.m_id, m_members);
      host.m_files->m_is_sync_ignored =
          options.m_fault == PlantedFault::kAcknowledgeBeforeSync;
      Start(&host);
    }
  }

  ScheduleResult Run() {
    for (int i = 0; i < m_options.m_steps && !HasFailed(); ++i) Step();
    if (!HasFailed() && IsRecoverable()) CheckRecovery();
    m_result.m_committed = m_committed.size();
    m_result.m_leaders = m_leaders.size();
    return m_result;
  }

 private:
  struct Host {
    base::NodeId m_id;
    std::unique_ptr<MemoryFiles> m_files;
    std::unique_ptr<Store> m_store;
    RaftState m_state;
    bool m_is_up = false;
    LogIndex m_checked_commit_index = 0;
    TermNumber m_checked_leader_term = 0;
    std::string m_machine;  ///< chained hash of the bodies applied so far
  };

  /** The entry at an index that some host has committed. */
  struct Committed {
    TermNumber m_term = 0;
    std::string m_body;
    std::string m_machine_after;   ///< empty until some host has applied it
    TermNumber m_commit_term = 0;  ///< of the first host that committed it
  };

  struct Read {
    LogIndex m_least_index = 0;  ///< committed before the read began
  };

  std::uint64_t RandomBelow(std::uint64_t bound) {
    return NextRandomBelow(&m_random, bound);
  }
  bool Chance(std::uint64_t percent) { return RandomBelow(100) < percent; }
  Host *PickHost() { return &m_hosts[RandomBelow(m_hosts.size())]; }
  bool HasFailed() const { return !m_result.m_violation.empty(); }
  void ReportViolation(std::string what) {
    if (!HasFailed()) m_result.m_violation = std::move(what);
  }

  void ChooseRates() {
    constexpr std::size_t kSizes[] = {3, 3, 5, 7};
    m_host_count = kSizes[RandomBelow(4)];
    m_drop_percent = RandomBelow(3) == 0 ? RandomBelow(25) : 0;
    m_duplicate_percent = RandomBelow(10);
    m_delay_percent = Chance(50) ? RandomBelow(15) : 0;
    m_max_deliveries = Chance(20) ? 1 : 3 * m_host_count;
    m_crash_weight = RandomBelow(8);
    m_partition_weight = RandomBelow(4);
    m_replace_weight = RandomBelow(3) == 0 ? 2 : 0;
    m_change_weight = Chance(30) ? 2 : 0;
    m_flip_percent = Chance(50) ? RandomBelow(100) : 0;
    // Damage on a single host must never stop the others; damage on several
    // may, but must not break an invariant.
    m_is_damage_on_one_host = Chance(50);
    m_settings.m_election_timeout = base::milliseconds(100);
    m_settings.m_heartbeat = base::milliseconds(20);
    m_settings.m_max_append_entries = 1 + RandomBelow(8);
    m_settings.m_snapshot_part_bytes = 16;
    if (m_options.m_fault == PlantedFault::kSmallerQuorum) {
      m_settings.m_quorum_for_test = m_host_count / 2;
    }
  }

  void Start(Host *host) {
    LoadedState loaded;
    base::Result<std::unique_ptr<Store>> store =
        Store::Open(host->m_files.get(), &loaded);
    if (!store && store.error().m_kind == base::ErrorKind::kNotFound) {
      std::uint64_t incarnation = 100 + m_next_incarnation++;
      (void)FormatReplacement(host->m_files.get(), host->m_id, incarnation);
      m_lost_hosts.insert(host->m_id);
      store = Store::Open(host->m_files.get(), &loaded);
    }
    if (!store && m_options.m_fault == PlantedFault::kAcknowledgeBeforeSync) {
      return;  // with syncs ignored, a crash can leave files that don't open
    }
    if (!store) {
      ReportViolation("a host can't open its files: " +
                      store.error().ToString());
      return;
    }
    PlantFaultAtStart(&loaded);
    host->m_store = std::move(*store);
    host->m_state = MakeRaftState(m_settings, std::move(loaded),
                                  NextRandom(&m_random), m_now);
    host->m_is_up = true;
    host->m_checked_commit_index = 0;
    host->m_checked_leader_term = 0;
    host->m_machine.clear();
    const Snapshot &snapshot = host->m_state.m_snapshot;
    if (snapshot.m_data != nullptr) host->m_machine = *snapshot.m_data;
    m_reads.erase(host->m_id);
  }

  void PlantFaultAtStart(LoadedState *loaded) const {
    if (m_options.m_fault == PlantedFault::kForgetVote) {
      loaded->m_voted_for = HostIdentity();
    }
    if (m_options.m_fault == PlantedFault::kDamagedIsAbsent) {
      LogIndex first = GetFirstDamagedIndex(loaded->m_log);
      TruncateLog(&loaded->m_log, first);
    }
  }

  void Crash(Host *host) {
    if (!host->m_is_up) return;
    host->m_is_up = false;
    host->m_store.reset();
    host->m_files->Crash(&m_random);
    ++m_result.m_crashes;
    if (m_damaged_host == nullptr) m_damaged_host = host;
    bool may_damage = !m_is_damage_on_one_host || host == m_damaged_host;
    if (may_damage && Chance(m_flip_percent)) Damage(host);
  }

  void Damage(Host *host) {
    constexpr const char *kPrefixes[] = {"wal-", "wal-", "superblock",
                                         "snapshot-"};
    m_has_damage = true;
    std::uint64_t kind = RandomBelow(4);
    std::uint64_t flips = kind < 2 ? 1 + RandomBelow(3) : 1;
    for (std::uint64_t i = 0; i < flips; ++i) {
      std::string name = host->m_files->FindName(kPrefixes[kind]);
      (void)host->m_files->FlipBit(name, &m_random);
    }
  }

  /** Crashes a host and restarts it without its files. */
  void LoseDisk(Host *host) {
    if (!m_lost_hosts.empty()) return;
    // While members change, a majority may depend on a host that the next
    // change removes.
    if (m_change_weight != 0) return;
    Crash(host);
    host->m_files->Clear();
    ++m_losses;
    if (m_losses > 1) ++m_result.m_second_losses;
    Start(host);
  }

  /** Runs one call on a host and carries out its effects. */
  template <typename Call>
  void Execute(Host *host, Call call) {
    if (!host->m_is_up) return;
    std::size_t damaged = host->m_state.m_log.m_damaged;
    Effects effects;
    call(&host->m_state, &effects);
    SendLeaderMessages(&host->m_state, m_now, &effects);
    Send(&effects.m_messages);
    if (!host->m_store->Save(host->m_state, effects)) {
      Crash(host);
      return;
    }
    if (effects.NeedsSave()) MarkSynced(&host->m_state, &effects);
    if (effects.m_must_restore) {
      host->m_machine = *host->m_state.m_snapshot.m_data;
      ++m_result.m_installs;
    }
    // Leader's messages that are due only since the save, such as those with a
    // new commit index, are sent with the next call.
    Send(&effects.m_messages_after_sync);
    if (host->m_state.m_log.m_damaged < damaged) {
      m_result.m_repaired += damaged - host->m_state.m_log.m_damaged;
    }
    FinishReads(host, effects);
    CheckHost(host);
    bool can_compact = host->m_state.m_applied_index > 0;
    if (can_compact && NeedsFirstSnapshot(host->m_state)) Compact(host);
    if (effects.m_is_vote_changed && Chance(m_crash_weight)) {
      Crash(host);
      Start(host);
    }
  }

  void Send(std::vector<gen::ReplicaMessage> *messages) {
    for (gen::ReplicaMessage &message : *messages) {
      if (m_in_flight.size() >= kMaxInFlight) {
        m_in_flight.erase(m_in_flight.begin());
      }
      m_in_flight.push_back(std::move(message));
    }
    messages->clear();
  }

  Host *FindHost(const std::string &name) {
    for (Host &host : m_hosts) {
      if (host.m_id.Value() == name) return &host;
    }
    return nullptr;
  }

  /** On a fast network many messages arrive between two ticks. */
  void DeliverSome() {
    std::uint64_t count = 1 + RandomBelow(m_max_deliveries);
    for (std::uint64_t i = 0; i < count && !m_in_flight.empty(); ++i) {
      DeliverOne();
    }
  }

  void DeliverOne() {
    if (m_in_flight.empty()) return;
    // Mostly the oldest message, else any one, which reorders messages.
    std::size_t at = Chance(60) ? 0 : RandomBelow(m_in_flight.size());
    gen::ReplicaMessage message = m_in_flight[at];
    if (!Chance(m_duplicate_percent)) {
      m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(at));
    }
    if (Chance(m_drop_percent)) return;
    // Vote requests are delayed more often: a host must not grant a vote twice
    // when an old request arrives.
    std::uint64_t delay_percent =
        m_delay_percent * (message.has_vote_request() ? 4 : 1);
    if (Chance(delay_percent) && m_delayed.size() < kMaxDelayed) {
      m_delayed.push_back(std::move(message));
      return;
    }
    Deliver(message);
  }

  /** Delivers a randomly chosen delayed message, however old it is. */
  void DeliverDelayed() {
    if (m_delayed.empty()) return;
    std::size_t at = RandomBelow(m_delayed.size());
    gen::ReplicaMessage message = m_delayed[at];
    m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(at));
    Deliver(message);
  }

  void Deliver(const gen::ReplicaMessage &message) {
    if (m_blocked.contains({message.from_host(), message.to_host()})) return;
    Host *host = FindHost(message.to_host());
    if (host == nullptr) return;
    Execute(host, [&](RaftState *state, Effects *effects) {
      HandleMessage(state, message, m_now, effects);
    });
  }

  void AdvanceTime() {
    m_now += base::milliseconds(1 + RandomBelow(25));
    for (Host &host : m_hosts) {
      Execute(&host, [&](RaftState *state, Effects *effects) {
        Tick(state, m_now, effects);
      });
    }
  }

  void ProposeOnRandomHost() {
    Host *host = PickHost();
    Execute(host, [&](RaftState *state, Effects *effects) {
      if (state->m_role != Role::kLeader) return;
      (void)Propose(state, fmt::format("c{}", m_next_command++), effects);
    });
  }

  void ReadOnRandomHost() {
    Host *host = PickHost();
    if (!host->m_is_up || host->m_state.m_role != Role::kLeader) return;
    std::uint64_t read_id = m_next_read++;
    LogIndex least = m_committed.empty() ? 0 : m_committed.rbegin()->first;
    m_reads[host->m_id][read_id] = Read{least};
    if (m_options.m_fault == PlantedFault::kSkipReadConfirmation) {
      Effects effects;
      effects.m_reads.push_back(
          ReadOutcome{read_id, true, host->m_state.m_commit_index});
      FinishReads(host, effects);
      return;
    }
    Execute(host, [&](RaftState *state, Effects *effects) {
      if (!RequestRead(state, read_id, effects)) {
        m_reads[host->m_id].erase(read_id);
      }
    });
  }

  void FinishReads(Host *host, const Effects &effects) {
    for (const ReadOutcome &outcome : effects.m_reads) {
      auto found = m_reads[host->m_id].find(outcome.m_read_id);
      if (found == m_reads[host->m_id].end()) continue;
      if (outcome.m_is_confirmed) {
        ++m_result.m_reads;
        if (outcome.m_index < found->second.m_least_index) {
          ReportViolation(fmt::format(
              "stale read on {}: index {}, committed {}", host->m_id.Value(),
              outcome.m_index, found->second.m_least_index));
        }
      }
      m_reads[host->m_id].erase(found);
    }
  }

  void CompactRandomHost() { Compact(PickHost()); }

  void Compact(Host *host) {
    Execute(host, [&](RaftState *state, Effects *effects) {
      if (state->m_is_snapshot_damaged) return;
      if (state->m_applied_index <= state->m_snapshot.m_position.m_index) {
        return;
      }
      auto data = std::make_shared<const std::string>(host->m_machine);
      CompactLog(state, state->m_applied_index, data, RandomBelow(3) * 200,
                 effects);
    });
  }

  void ReplaceLostHost() {
    if (m_lost_hosts.empty()) return;
    base::NodeId lost = *m_lost_hosts.begin();
    for (Host &host : m_hosts) {
      if (!host.m_is_up || host.m_state.m_role != Role::kLeader) continue;
      Execute(&host, [&](RaftState *state, Effects *effects) {
        MemberChange change;
        change.m_kind = MemberChangeKind::kReplace;
        change.m_host = lost;
        if (ProposeMemberChange(state, change, effects)) {
          ++m_result.m_replacements;
        }
      });
    }
    if (IsRepaired(*FindHost(lost.Value()))) m_lost_hosts.erase(lost);
  }

  /** @return whether a committed entry makes a replaced host a voter again. */
  static bool IsRepaired(const Host &host) {
    const RaftState &state = host.m_state;
    if (!host.m_is_up || state.m_members_index > state.m_commit_index) {
      return false;
    }
    const Member *member = FindMember(state.m_members, host.m_id);
    return member != nullptr && member->m_is_voter &&
           member->m_identity == state.m_self;
  }

  /** Adds a host that isn't a member, or removes one if enough remain. */
  void ChangeMembers(bool may_remove) {
    constexpr std::size_t kMinMembers = 3;
    for (Host &host : m_hosts) {
      if (!host.m_is_up || host.m_state.m_role != Role::kLeader) continue;
      const Members &members = host.m_state.m_members;
      MemberChange change;
      for (const Host &other : m_hosts) {
        if (FindMember(members, other.m_id) != nullptr) continue;
        change.m_kind = MemberChangeKind::kAdd;
        change.m_host = other.m_id;
        change.m_incarnation = other.m_state.m_self.m_incarnation;
        change.m_endpoint = "127.0.0.1:1";
      }
      if (may_remove && members.size() > kMinMembers && Chance(50)) {
        change.m_kind = MemberChangeKind::kRemove;
        change.m_host = PickHost()->m_id;
      }
      if (change.m_kind == MemberChangeKind::kEnd) continue;
      Execute(&host, [&](RaftState *state, Effects *effects) {
        if (ProposeMemberChange(state, change, effects)) {
          ++m_result.m_member_changes;
        }
      });
    }
  }

  void ChangePartition() {
    if (Chance(40)) {
      m_blocked.clear();
      return;
    }
    Host *host = PickHost();
    bool is_both_ways = Chance(50);
    for (Host &other : m_hosts) {
      if (&other == host || Chance(20)) continue;
      m_blocked.insert({host->m_id.Value(), other.m_id.Value()});
      if (is_both_ways) {
        m_blocked.insert({other.m_id.Value(), host->m_id.Value()});
      }
    }
  }

  void Step() {
    std::uint64_t pick = RandomBelow(100);
    if (pick < 52) return DeliverSome();
    if (pick < 55) return DeliverDelayed();
    if (pick < 75) return AdvanceTime();
    if (pick < 85) return ProposeOnRandomHost();
    if (pick < 90) return ReadOnRandomHost();
    if (pick < 92) return CompactRandomHost();
    if (Chance(m_crash_weight * 4)) return CrashOrRestart();
    if (Chance(m_partition_weight * 5)) return ChangePartition();
    if (Chance(m_replace_weight * 5)) return LoseDisk(PickHost());
    if (Chance(m_change_weight * 10)) return ChangeMembers(true);
    ReplaceLostHost();
  }

  void CrashOrRestart() {
    Host *host = PickHost();
    if (!host->m_is_up) return Start(host);
    if (Chance(50)) return Crash(host);
    // The power fails at one of the next writes.
    host->m_files->m_operations_left = static_cast<int>(RandomBelow(12));
  }

  void CheckHost(Host *host) {
    CheckCommitted(host);
    if (HasFailed()) return;
    for (const CommittedEntry &entry : TakeCommitted(&host->m_state)) {
      CheckApplied(host, entry);
    }
    const RaftState &state = host->m_state;
    if (state.m_role == Role::kLeader &&
        host->m_checked_leader_term != state.m_term) {
      CheckNewLeader(host);
    }
  }

  /** Checks that committed entries never change. */
  void CheckCommitted(Host *host) {
    const RaftState &state = host->m_state;
    LogIndex index =
        std::max(host->m_checked_commit_index, state.m_log.m_base.m_index);
    while (index < state.m_commit_index) {
      ++index;
      const Entry &entry = GetEntry(state.m_log, index);
      auto [item, is_new] = m_committed.try_emplace(
          index, Committed{entry.m_term, entry.m_body, "", state.m_term});
      if (is_new) continue;
      if (item->second.m_term != entry.m_term ||
          item->second.m_body != entry.m_body) {
        ReportViolation(fmt::format("committed entry {} differs on {}", index,
                                    host->m_id.Value()));
      }
    }
    host->m_checked_commit_index = index;
  }

  /** Checks that all state machines go through the same states. */
  void CheckApplied(Host *host, const CommittedEntry &entry) {
    if (entry.m_kind == gen::ENTRY_COMMAND) {
      std::string chained = host->m_machine + entry.m_body;
      host->m_machine = fmt::format("{:016x}{:016x}", HashBytes(chained),
                                    HashBytes(chained + "."));
    }
    std::string *known = &m_committed[entry.m_index].m_machine_after;
    if (known->empty()) *known = host->m_machine;
    if (*known != host->m_machine) {
      ReportViolation(fmt::format("state machine of {} differs at {}",
                                  host->m_id.Value(), entry.m_index));
    }
  }

  /** Checks that a term has one leader, which holds all entries that were
   * committed in earlier terms. */
  void CheckNewLeader(Host *host) {
    const RaftState &state = host->m_state;
    host->m_checked_leader_term = state.m_term;
    auto [item, is_new] = m_leaders.try_emplace(state.m_term, state.m_self);
    if (!is_new) {
      ReportViolation(fmt::format("term {} has two leaders, {} and {}",
                                  state.m_term, item->second.m_host.Value(),
                                  host->m_id.Value()));
    }
    for (auto [index, committed] : m_committed) {
      if (index <= state.m_log.m_base.m_index) continue;
      // Delayed votes may elect a candidate of an old term, which can't commit
      // anything. This happens with seed 1005400.
      if (committed.m_commit_term >= state.m_term) continue;
      if (GetTermAt(state.m_log, index) != committed.m_term) {
        ReportViolation(
            fmt::format("leader {} of term {} lacks committed entry {}",
                        host->m_id.Value(), state.m_term, index));
      }
    }
  }

  /** @return whether the hosts must make progress again once faults end. */
  bool IsRecoverable() const {
    if (m_options.m_fault != PlantedFault::kNone) return false;
    bool was_lost = !m_lost_hosts.empty() || m_losses != 0;
    if (was_lost) return !m_has_damage;
    return !m_has_damage || m_is_damage_on_one_host;
  }

  /** Checks that all hosts apply an entry of the newest term once they are up
   * and connected. */
  void CheckRecovery() {
    constexpr int kMaxSteps = 20'000;
    m_result.m_is_recovery_checked = true;
    m_blocked.clear();
    m_crash_weight = 0;
    m_drop_percent = 0;
    m_delay_percent = 0;
    m_max_deliveries = 6 * m_host_count;
    for (Host &host : m_hosts) {
      if (!host.m_is_up) Start(&host);
      host.m_files->m_operations_left = -1;
    }
    for (int i = 0; i < kMaxSteps && !HasFailed(); ++i) {
      Chance(80) ? DeliverSome() : AdvanceTime();
      if (!m_lost_hosts.empty()) ReplaceLostHost();
      if (m_change_weight != 0) ChangeMembers(false);
      if (i % 100 == 0) ProposeOnRandomHost();
      if (HasConverged()) return;
    }
    ReportViolation("no progress after all faults ended: " + DescribeHosts());
  }

  /** @return whether all hosts have applied an entry of the newest term. */
  bool HasConverged() const {
    TermNumber term = 0;
    for (const Host &host : m_hosts) {
      const RaftState &state = host.m_state;
      if (!host.m_is_up || !CanCampaign(state)) return false;
      if (state.m_commit_index != GetLastIndex(state.m_log)) return false;
      TermNumber last = GetLastPosition(state.m_log).m_term;
      if (last != state.m_term || (term != 0 && term != last)) return false;
      if (state.m_applied_index != state.m_commit_index) return false;
      term = last;
    }
    return true;
  }

  std::string DescribeHosts() const {
    std::string text;
    for (const Host &host : m_hosts) {
      const RaftState &state = host.m_state;
      text += fmt::format(
          "[{} up={} role={} term={} base={} last={} commit={} damaged={} "
          "floor={}/{} snapshot={} snapshot_damaged={} voter={}]",
          host.m_id.Value(), host.m_is_up, static_cast<int>(state.m_role),
          state.m_term, state.m_log.m_base.m_index, GetLastIndex(state.m_log),
          state.m_commit_index, state.m_log.m_damaged,
          state.m_vote_floor.m_term, state.m_vote_floor.m_index,
          state.m_snapshot.m_position.m_index, state.m_is_snapshot_damaged,
          CanCampaign(state));
    }
    return text;
  }

  static constexpr std::size_t kMaxInFlight = 150;
  static constexpr std::size_t kMaxDelayed = 30;

  ScheduleOptions m_options;
  ScheduleResult m_result;
  base::Random m_random;
  base::TimePoint m_now;
  RaftSettings m_settings;
  std::size_t m_host_count = 3;
  std::uint64_t m_drop_percent = 0;
  std::uint64_t m_duplicate_percent = 0;
  std::uint64_t m_delay_percent = 0;
  std::uint64_t m_max_deliveries = 1;
  std::uint64_t m_crash_weight = 0;
  std::uint64_t m_partition_weight = 0;
  std::uint64_t m_replace_weight = 0;
  std::uint64_t m_change_weight = 0;
  std::uint64_t m_flip_percent = 0;
  bool m_is_damage_on_one_host = false;
  bool m_has_damage = false;
  int m_losses = 0;  ///< disks lost so far
  Host *m_damaged_host = nullptr;
  Members m_members;
  std::vector<Host> m_hosts;
  std::vector<gen::ReplicaMessage> m_in_flight;
  std::vector<gen::ReplicaMessage> m_delayed;
  std::set<std::pair<std::string, std::string>> m_blocked;
  std::set<base::NodeId> m_lost_hosts;
  std::map<LogIndex, Committed> m_committed;
  std::map<TermNumber, HostIdentity> m_leaders;
  std::map<base::NodeId, std::map<std::uint64_t, Read>> m_reads;
  std::uint64_t m_next_command = 0;
  std::uint64_t m_next_read = 0;
  std::uint64_t m_next_incarnation = 0;
};

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_TESTS_REPLICA_EXPLORER_H_
