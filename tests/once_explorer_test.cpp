/** @file once_explorer_test.cpp Seeded explorer of the at-most-once protocol.
 *
 * Three recorders and many claimants exchange messages over a simulated network
 * that delivers, drops, repeats and reorders them by a seeded generator.
 * Recorders crash, lose unsynced entries and lose their disks. WW_SEED and
 * WW_SCHEDULES set the first seed and the number of schedules.
 */

#include <gtest/gtest.h>

#include <cstdlib>
#include <optional>

#include "base/random_func.h"
#include "once/claimant_func.h"
#include "once/recorder_func.h"

namespace wasabiwind::once {
namespace {

using base::milliseconds;
using base::Random;
using base::WallTime;

constexpr milliseconds kRetention{600'000};
constexpr int kStepsPerSchedule = 500;
constexpr int kDeliveryRounds = 60;
constexpr std::size_t kFirstClaimant = kGroupSize;

/** Faults that are injected to show that the explorer finds them. */
enum class Fault {
  kNone,
  kReplyWithoutSync,
  kCountMixedEpochs,
  kRepairFromOnePeer,
};

struct Packet {
  std::size_t m_from = 0;
  std::size_t m_to = 0;  ///< recorder index, or kFirstClaimant + claim index
  gen::OnceMessage m_message;
};

/** A recorder with its simulated disk. */
struct Node {
  Recorder m_recorder;
  std::vector<gen::OnceLogEntry> m_disk;
  std::size_t m_synced = 0;      ///< entries that survive a crash
  std::vector<Packet> m_unsent;  ///< wait for the sync
};

struct ClaimRun {
  Claimant m_claimant;
  WallTime m_started_at;
  std::optional<WallTime> m_proceeded_at;
  bool m_is_over = false;  ///< gave up, or wasn't granted the key
};

class Explorer {
 public:
  Explorer(std::uint64_t seed, Fault fault) : m_fault(fault) {
    m_random.m_state = seed;
    m_options.m_copy_page_bytes = 200;  // several pages in each repair
    for (std::size_t i = 0; i < kGroupSize; ++i) StartBlank(i);
  }

  /** @return an empty string, or what was violated. */
  std::string Run() {
    DeliverAll();
    for (int i = 0; i < kStepsPerSchedule && m_violation.empty(); ++i) Step();
    if (m_violation.empty()) DeliverAll();
    if (m_violation.empty()) CheckAfterFaults();
    return m_violation;
  }

 private:
  std::uint64_t Below(std::uint64_t bound) {
    return base::NextRandomBelow(&m_random, bound);
  }

  void StartBlank(std::size_t index) {
    m_nodes[index] = Node();
    m_nodes[index].m_recorder = MakeRecorder(m_options, ++m_last_nonce);
  }

  /** Keeps some of the unsynced entries, as a file system may. */
  void Crash(std::size_t index) {
    Node &node = m_nodes[index];
    std::size_t unsynced = node.m_disk.size() - node.m_synced;
    node.m_disk.resize(node.m_synced + Below(unsynced + 1));
    node.m_synced = node.m_disk.size();
    node.m_unsent.clear();
    node.m_recorder = MakeRecorder(m_options, ++m_last_nonce);
    for (const auto &entry : node.m_disk) {
      ReplayEntry(&node.m_recorder, entry);
    }
    FinishReplay(&node.m_recorder);
    if (node.m_recorder.m_phase == gen::ONCE_BLANK) {
      node.m_disk.clear();
      node.m_synced = 0;
    }
  }

  /** Does nothing unless both others are ready. */
  void LoseDisk(std::size_t index) {
    for (std::size_t other = 0; other < kGroupSize; ++other) {
      bool is_ready = m_nodes[other].m_recorder.m_phase == gen::ONCE_READY;
      if (other != index && !is_ready) return;
    }
    // The phase entry of a complete copy must be durable on the others as well.
    for (std::size_t other = 0; other < kGroupSize; ++other) {
      if (other != index) Sync(other);
    }
    StartBlank(index);
    if (Below(2) == 0) FinishRepair(index);
  }

  /** Finishes a repair while messages of claims are still in transit. */
  void FinishRepair(std::size_t index) {
    for (int round = 0; round < kDeliveryRounds; ++round) {
      if (m_nodes[index].m_recorder.m_phase == gen::ONCE_READY) return;
      Tick(index);
      for (std::size_t i = 0; i < kGroupSize; ++i) Sync(i);
      std::vector<Packet> packets = std::move(m_packets);
      m_packets.clear();
      for (const Packet &packet : packets) {
        bool is_between_recorders =
            packet.m_from < kGroupSize && packet.m_to < kGroupSize;
        if (is_between_recorders) Deliver(packet);
        if (!is_between_recorders) m_packets.push_back(packet);
      }
    }
  }

  void Tick(std::size_t index) {
    RecorderOutput output;
    TickRecorder(&m_nodes[index].m_recorder, m_now, &output);
    QueueOutput(index, index, std::move(output));
  }

  void Sync(std::size_t index) {
    Node &node = m_nodes[index];
    node.m_synced = node.m_disk.size();
    for (Packet &packet : node.m_unsent) m_packets.push_back(packet);
    node.m_unsent.clear();
  }

  void QueueOutput(std::size_t index, std::size_t sender,
                   RecorderOutput output) {
    Node &node = m_nodes[index];
    for (auto &entry : output.m_entries) node.m_disk.push_back(entry);
    for (auto &reply : output.m_replies) {
      node.m_unsent.push_back({index, sender, reply});
    }
    for (auto &message : output.m_peer_messages) {
      std::size_t to = (index + 1 + message.m_peer) % kGroupSize;
      if (m_fault == Fault::kRepairFromOnePeer && message.m_peer == 1 &&
          message.m_message.has_copy()) {
        SendFakeEmptyCopy(index, message.m_message.copy());
        continue;
      }
      node.m_unsent.push_back({index, to, message.m_message});
    }
    if (m_fault == Fault::kReplyWithoutSync) {
      for (Packet &packet : node.m_unsent) m_packets.push_back(packet);
      node.m_unsent.clear();
    }
  }

  void SendFakeEmptyCopy(std::size_t index, const gen::OnceCopy &copy) {
    gen::OnceMessage message;
    gen::OnceCopyReply *reply = message.mutable_copy_reply();
    reply->set_nonce(copy.nonce());
    reply->set_epoch(copy.epoch());
    reply->set_after_key(copy.after_key());
    reply->set_is_last(true);
    m_packets.push_back({(index + 2) % kGroupSize, index, message});
  }

  void Deliver(const Packet &packet) {
    if (packet.m_to >= kFirstClaimant) {
      DeliverToClaimant(packet);
      return;
    }
    RecorderOutput output;
    Recorder *recorder = &m_nodes[packet.m_to].m_recorder;
    bool is_peer_reply = packet.m_message.has_status_reply() ||
                         packet.m_message.has_copy_reply();
    if (is_peer_reply) {
      std::size_t peer =
          (packet.m_from + kGroupSize - packet.m_to - 1) % kGroupSize;
      HandlePeerReply(recorder, peer, packet.m_message, m_now, &output);
    } else {
      HandleRequest(recorder, packet.m_message, m_now, &output);
    }
    QueueOutput(packet.m_to, packet.m_from, std::move(output));
  }

  void DeliverToClaimant(const Packet &packet) {
    ClaimRun &run = m_claims[packet.m_to - kFirstClaimant];
    if (!packet.m_message.has_claim_reply()) return;
    if (run.m_is_over || run.m_proceeded_at) return;
    gen::OnceClaimReply reply = packet.m_message.claim_reply();
    if (m_fault == Fault::kCountMixedEpochs) reply.set_epoch(1);
    AddReply(&run.m_claimant, packet.m_from, reply);
    Decide(&run, packet.m_to - kFirstClaimant, false);
  }

  void Decide(ClaimRun *run, std::size_t index, bool is_final) {
    ClaimOutcome outcome = DecideClaim(run->m_claimant, is_final);
    if (outcome == ClaimOutcome::kPending) return;
    if (outcome == ClaimOutcome::kGranted) {
      Proceed(run);
      return;
    }
    run->m_is_over = true;
    SendRelease(index);
  }

  void Proceed(ClaimRun *run) {
    run->m_proceeded_at = m_now;
    for (const ClaimRun &other : m_claims) {
      bool is_same_key =
          other.m_claimant.m_claim.key() == run->m_claimant.m_claim.key();
      if (&other == run || !is_same_key || !other.m_proceeded_at) continue;
      if (m_now - *other.m_proceeded_at < kRetention) {
        m_violation = "two claims of one key proceeded";
      }
    }
  }

  void Send(std::size_t claim, std::size_t recorder,
            const gen::OnceMessage &message) {
    m_packets.push_back({kFirstClaimant + claim, recorder, message});
  }

  void SendRelease(std::size_t claim) {
    gen::OnceMessage message;
    const gen::OnceClaim &request = m_claims[claim].m_claimant.m_claim;
    message.mutable_release()->set_key(request.key());
    message.mutable_release()->set_claim_id(request.claim_id());
    for (std::size_t i = 0; i < kGroupSize; ++i) Send(claim, i, message);
  }

  void SendClaim(std::size_t claim) {
    gen::OnceMessage message;
    *message.mutable_claim() = m_claims[claim].m_claimant.m_claim;
    for (std::size_t i = 0; i < kGroupSize; ++i) {
      if (NeedsReply(m_claims[claim].m_claimant, i)) Send(claim, i, message);
    }
  }

  void SendComplete(std::size_t claim) {
    gen::OnceMessage message;
    const gen::OnceClaim &request = m_claims[claim].m_claimant.m_claim;
    gen::OnceComplete *complete = message.mutable_complete();
    complete->set_key(request.key());
    complete->set_claim_id(request.claim_id());
    complete->set_has_answer(true);
    complete->set_answer("answer");
    for (std::size_t i = 0; i < kGroupSize; ++i) Send(claim, i, message);
  }

  std::size_t StartClaim(const std::string &key) {
    gen::OnceClaim claim;
    claim.set_key(key);
    claim.set_claim_id(++m_last_claim);
    claim.set_retention_ms(kRetention.count());
    claim.set_run_ms(60'000);
    m_claims.push_back({MakeClaimant(claim), m_now, std::nullopt, false});
    SendClaim(m_claims.size() - 1);
    return m_claims.size() - 1;
  }

  void Advance(milliseconds duration) {
    m_now += duration;
    for (std::size_t i = 0; i < m_claims.size(); ++i) {
      ClaimRun &run = m_claims[i];
      bool is_timed_out = m_now - run.m_started_at >= kMaxClaimTime;
      bool is_undecided = !run.m_is_over && !run.m_proceeded_at;
      if (is_timed_out && is_undecided) Decide(&run, i, true);
    }
  }

  void DeliverSome() {
    if (m_packets.empty()) return;
    std::size_t index = Below(m_packets.size());
    Packet packet = m_packets[index];
    std::uint64_t roll = Below(100);
    if (roll >= 8) {  // below: delivered now and once more later
      m_packets[index] = m_packets.back();
      m_packets.pop_back();
    }
    if (roll < 90) Deliver(packet);
  }

  void ActOnClaim() {
    if (m_claims.empty()) return;
    std::size_t index = Below(m_claims.size());
    ClaimRun &run = m_claims[index];
    if (run.m_proceeded_at) {
      if (Below(4) == 0) SendComplete(index);
    } else if (run.m_is_over) {
      if (Below(4) == 0) SendRelease(index);
    } else if (Below(4) == 0) {
      Decide(&run, index, true);
    } else {
      SendClaim(index);
    }
  }

  void Step() {
    std::uint64_t choice = Below(1'000);
    std::size_t node = Below(kGroupSize);
    if (choice < 560) {
      DeliverSome();
    } else if (choice < 760) {
      Sync(node);
    } else if (choice < 820) {
      Tick(node);
    } else if (choice < 900) {
      ActOnClaim();
    } else if (choice < 930) {
      if (m_claims.size() < 24) StartClaim("key" + std::to_string(Below(3)));
    } else if (choice < 950) {
      Crash(node);
    } else if (choice < 970) {
      LoseDisk(node);
    } else {
      bool is_long = Below(60) == 0;
      Advance(is_long ? kRetention : milliseconds(Below(1'000)));
    }
  }

  /** Delivers everything, in enough rounds that nothing more happens. */
  void DeliverAll() {
    for (int round = 0; round < kDeliveryRounds; ++round) {
      for (std::size_t i = 0; i < kGroupSize; ++i) {
        Tick(i);
        Sync(i);
      }
      std::vector<Packet> packets = std::move(m_packets);
      m_packets.clear();
      for (const Packet &packet : packets) Deliver(packet);
    }
  }

  std::size_t CountHolders(const gen::OnceClaim &claim) const {
    std::size_t holders = 0;
    for (const Node &node : m_nodes) {
      auto found = node.m_recorder.m_records.find(claim.key());
      if (found == node.m_recorder.m_records.end()) continue;
      const auto &claims = found->second.m_claims;
      holders += static_cast<std::size_t>(
          std::count(claims.begin(), claims.end(), claim.claim_id()));
    }
    return holders;
  }

  void CheckAfterFaults() {
    for (const Node &node : m_nodes) {
      if (node.m_recorder.m_phase != gen::ONCE_READY) {
        m_violation = "a recorder isn't ready after all faults have ended";
        return;
      }
    }
    std::vector<gen::OnceClaim> proceeded;
    for (const ClaimRun &run : m_claims) {
      bool is_kept =
          run.m_proceeded_at && m_now - *run.m_proceeded_at < kRetention;
      if (is_kept) proceeded.push_back(run.m_claimant.m_claim);
    }
    for (const gen::OnceClaim &claim : proceeded) {
      if (CountHolders(claim) < kMajority) {
        m_violation = "a record of a claim that proceeded is lost";
        return;
      }
      StartClaim(claim.key());
    }
    std::size_t fresh = StartClaim("fresh");
    DeliverAll();
    if (m_violation.empty() && !m_claims[fresh].m_proceeded_at) {
      m_violation = "a new key isn't granted after all faults have ended";
    }
  }

  Fault m_fault;
  Random m_random;
  RecorderOptions m_options;
  std::array<Node, kGroupSize> m_nodes;
  std::vector<ClaimRun> m_claims;
  std::vector<Packet> m_packets;
  WallTime m_now{std::chrono::hours(1'000)};
  std::uint64_t m_last_nonce = 0;
  std::uint64_t m_last_claim = 0;
  std::string m_violation;
};

std::uint64_t GetEnvironmentNumber(const char *variable,
                                   std::uint64_t default_value) {
  const char *text = std::getenv(variable);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

struct Findings {
  int m_schedules = 0;
  int m_violations = 0;
  std::uint64_t m_first_seed = 0;
  std::string m_first_violation;
};

Findings Explore(Fault fault, int schedules) {
  Findings findings;
  std::uint64_t seed = GetEnvironmentNumber("WW_SEED", 1);
  for (int i = 0; i < schedules; ++i, ++seed) {
    std::string violation = Explorer(seed, fault).Run();
    ++findings.m_schedules;
    if (violation.empty()) continue;
    if (findings.m_violations++ == 0) {
      findings.m_first_seed = seed;
      findings.m_first_violation = violation;
    }
  }
  std::printf("%d schedules, %d violations; first: seed %llu %s\n",
              findings.m_schedules, findings.m_violations,
              static_cast<unsigned long long>(findings.m_first_seed),
              findings.m_first_violation.c_str());
  return findings;
}

// Guards against a second execution of a request that must run at most once,
// and against the loss of a record that shows that a request may have run.
TEST(OnceExplorerTest, NoTwoClaimsProceed) {
  int schedules = static_cast<int>(GetEnvironmentNumber("WW_SCHEDULES", 6'000));
  Findings findings = Explore(Fault::kNone, schedules);
  EXPECT_EQ(findings.m_violations, 0)
      << "seed " << findings.m_first_seed << ": " << findings.m_first_violation;
}

// The following tests inject faults and guard against an explorer that can't
// find them.
TEST(OnceExplorerTest, FindsReplyWithoutSync) {
  EXPECT_GT(Explore(Fault::kReplyWithoutSync, 3'000).m_violations, 0);
}

TEST(OnceExplorerTest, FindsMixedEpochs) {
  EXPECT_GT(Explore(Fault::kCountMixedEpochs, 6'000).m_violations, 0);
}

TEST(OnceExplorerTest, FindsRepairFromOnePeer) {
  EXPECT_GT(Explore(Fault::kRepairFromOnePeer, 3'000).m_violations, 0);
}

}  // namespace
}  // namespace wasabiwind::once
