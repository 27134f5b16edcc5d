/** @file recorder_func.h Recorder of at-most-once claims. */

#ifndef WASABIWIND_ONCE_RECORDER_FUNC_H_
#define WASABIWIND_ONCE_RECORDER_FUNC_H_

#include <once.pb.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::once {

/** Recorders of one region. */
constexpr std::size_t kGroupSize = 3;
constexpr std::size_t kPeerCount = kGroupSize - 1;
/** Number of recorders that must grant a claim. */
constexpr std::size_t kMajority = 2;

/** Longest answer that is kept for resends. */
constexpr std::size_t kMaxAnswerBytes = 64 * 1024;

struct RecorderOptions {
  std::size_t m_max_bytes = std::size_t{1} << 30;  ///< records in memory
  std::size_t m_copy_page_bytes = 256 * 1024;      ///< records in a copy reply
  std::size_t m_max_tombstones = 100'000;
  /**
   * How long a release is remembered. A claim that arrives later than that
   * after its release blocks its key until the key expires.
   */
  base::seconds m_tombstone_retention{120};
  /**
   * Added to the retention of each key. The claimant may send its request up
   * to kMaxClaimTime after the grant, and the retention counts from then on.
   */
  base::seconds m_retention_margin{60};
  std::uint64_t m_first_epoch = 1;  ///< of a new group
};

/** State of one key. */
struct Record {
  /** Claims that may have the key. Several are possible only after a repair
   * from peers with different holders: the grant of the lost recorder had
   * decided between them. */
  std::vector<std::uint64_t> m_claims;
  std::uint64_t m_fingerprint = 0;
  bool m_is_completed = false;
  bool m_has_answer = false;
  std::string m_answer;
  base::WallTime m_expires_at;  ///< by the recorder's own clock
  base::WallTime m_overdue_at;  ///< end of the holder's execution timeout
};

/** What a recorder without data knows of one peer. */
struct PeerState {
  bool m_has_status = false;
  gen::OncePhase m_phase = gen::ONCE_BLANK;
  std::uint64_t m_epoch = 0;
  std::string m_after_key;  ///< last key copied
  bool m_is_copied = false;
};

/** State of one recorder. Not thread-safe. */
struct Recorder {
  RecorderOptions m_options;
  gen::OncePhase m_phase = gen::ONCE_BLANK;
  std::uint64_t m_epoch = 0;
  std::map<std::string, Record> m_records;
  std::size_t m_bytes = 0;  ///< estimated memory of m_records
  /** Key and claim ID of released claims, which are refused from then on. */
  std::set<std::pair<std::string, std::uint64_t>> m_tombstones;
  /** The tombstones with the times when they are dropped, oldest first. */
  std::deque<std::pair<base::WallTime, std::pair<std::string, std::uint64_t>>>
      m_tombstone_order;
  std::string m_sweep_key;    ///< the search for expired keys continues here
  std::uint64_t m_nonce = 0;  ///< tells which replies are to this start
  std::array<PeerState, kPeerCount> m_peers;
};

/** Message to one of the two peers. */
struct PeerMessage {
  std::size_t m_peer = 0;
  gen::OnceMessage m_message;
};

/**
 * What the program must do, in this order: append the entries to the log, sync
 * the log, and only then send the messages. A reply without entries of its own
 * waits for the sync too, because it may depend on an entry of an earlier
 * message.
 */
struct RecorderOutput {
  std::vector<gen::OnceLogEntry> m_entries;
  std::vector<gen::OnceMessage> m_replies;  ///< to the sender
  std::vector<PeerMessage> m_peer_messages;
};

/** @return a recorder without data. @param nonce random, new at each start */
Recorder MakeRecorder(const RecorderOptions &options, std::uint64_t nonce);

/** Applies an entry of the log, at start. */
void ReplayEntry(Recorder *recorder, const gen::OnceLogEntry &entry);

/** Ends the replay. Without a phase entry the recorder neither founded a group
 * nor completed a copy: all that was replayed is dropped, and the recorder
 * copies from its peers again. */
void FinishReplay(Recorder *recorder);

/** @return entries that restore the durable state, for a compacted log. */
std::vector<gen::OnceLogEntry> MakeSnapshot(const Recorder &recorder);

/** Handles a message of a claimant, or the request of a peer. */
void HandleRequest(Recorder *recorder, const gen::OnceMessage &message,
                   base::WallTime now, RecorderOutput *output);

/**
 * Handles a reply of a peer to the recorder's own status or copy request.
 * @param peer index of the sender
 */
void HandlePeerReply(Recorder *recorder, std::size_t peer,
                     const gen::OnceMessage &message, base::WallTime now,
                     RecorderOutput *output);

/** Drops old tombstones. Also repeats requests to peers while the recorder
 * isn't ready; once it is, checks a bounded number of keys and drops those that
 * have expired. */
void TickRecorder(Recorder *recorder, base::WallTime now,
                  RecorderOutput *output);

}  // namespace wasabiwind::once

#endif  // WASABIWIND_ONCE_RECORDER_FUNC_H_
