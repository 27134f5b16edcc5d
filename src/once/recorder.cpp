/** @file recorder.cpp Recorder of at-most-once claims. */

#include <algorithm>
#include <cassert>

#include "once/recorder_func.h"

namespace wasabiwind::once {

namespace {

using base::milliseconds;
using base::WallTime;

/** Memory of a record beside its key and answer: map node, claims, times. */
constexpr std::size_t kRecordOverhead = 150;
/** Above this share of m_max_bytes no more answers are kept, so that claims
 * still fit. */
constexpr double kAnswerMemoryShare = 0.9;
/** Keys checked in one tick, so that a tick stays far below 10 ms. */
constexpr int kMaxSweptKeys = 2'000;

std::int64_t ToMs(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

WallTime FromMs(std::int64_t ms) { return WallTime(milliseconds(ms)); }

std::size_t CountBytes(const std::string &key, const Record &record) {
  return kRecordOverhead + key.size() + record.m_answer.size();
}

gen::OnceRecord ToProto(const std::string &key, const Record &record) {
  gen::OnceRecord proto;
  proto.set_key(key);
  for (std::uint64_t claim : record.m_claims) proto.add_claim_ids(claim);
  proto.set_fingerprint(record.m_fingerprint);
  proto.set_is_completed(record.m_is_completed);
  proto.set_has_answer(record.m_has_answer);
  proto.set_answer(record.m_answer);
  proto.set_expires_ms(ToMs(record.m_expires_at));
  proto.set_overdue_ms(ToMs(record.m_overdue_at));
  return proto;
}

Record FromProto(const gen::OnceRecord &proto) {
  Record record;
  record.m_claims.assign(proto.claim_ids().begin(), proto.claim_ids().end());
  record.m_fingerprint = proto.fingerprint();
  record.m_is_completed = proto.is_completed();
  record.m_has_answer = proto.has_answer();
  record.m_answer = proto.answer();
  record.m_expires_at = FromMs(proto.expires_ms());
  record.m_overdue_at = FromMs(proto.overdue_ms());
  return record;
}

void StoreInMemory(Recorder *recorder, const std::string &key, Record record) {
  auto [position, inserted] = recorder->m_records.try_emplace(key);
  if (!inserted) recorder->m_bytes -= CountBytes(key, position->second);
  position->second = std::move(record);
  recorder->m_bytes += CountBytes(key, position->second);
}

void EraseFromMemory(Recorder *recorder, const std::string &key) {
  auto found = recorder->m_records.find(key);
  if (found == recorder->m_records.end()) return;
  recorder->m_bytes -= CountBytes(key, found->second);
  recorder->m_records.erase(found);
}

void LogAndStoreRecord(Recorder *recorder, const std::string &key,
                       Record record, RecorderOutput *output) {
  gen::OnceLogEntry entry;
  *entry.mutable_put() = ToProto(key, record);
  output->m_entries.push_back(std::move(entry));
  StoreInMemory(recorder, key, std::move(record));
}

void LogAndEraseRecord(Recorder *recorder, const std::string &key,
                       RecorderOutput *output) {
  gen::OnceLogEntry entry;
  entry.set_erase_key(key);
  output->m_entries.push_back(std::move(entry));
  EraseFromMemory(recorder, key);
}

void SetEpoch(Recorder *recorder, std::uint64_t epoch, RecorderOutput *output) {
  recorder->m_epoch = epoch;
  gen::OnceLogEntry entry;
  entry.set_epoch(epoch);
  output->m_entries.push_back(std::move(entry));
}

void SetPhase(Recorder *recorder, gen::OncePhase phase,
              RecorderOutput *output) {
  recorder->m_phase = phase;
  gen::OnceLogEntry entry;
  entry.set_phase(phase);
  output->m_entries.push_back(std::move(entry));
}

Record *FindUnexpiredRecord(Recorder *recorder, const std::string &key,
                            WallTime now, RecorderOutput *output) {
  auto found = recorder->m_records.find(key);
  if (found == recorder->m_records.end()) return nullptr;
  if (found->second.m_expires_at > now) return &found->second;
  LogAndEraseRecord(recorder, key, output);
  return nullptr;
}

void DropOldTombstones(Recorder *recorder, WallTime now) {
  auto &order = recorder->m_tombstone_order;
  while (!order.empty() &&
         (order.front().first <= now ||
          order.size() > recorder->m_options.m_max_tombstones)) {
    recorder->m_tombstones.erase(order.front().second);
    order.pop_front();
  }
}

/** Remembers a release, so that its claim is refused if it arrives later. */
void AddTombstone(Recorder *recorder, const gen::OnceRelease &release,
                  WallTime now) {
  auto claim = std::make_pair(release.key(), release.claim_id());
  if (!recorder->m_tombstones.insert(claim).second) return;
  recorder->m_tombstone_order.emplace_back(
      now + recorder->m_options.m_tombstone_retention, claim);
  DropOldTombstones(recorder, now);
}

void DescribeHolder(const Record &record, WallTime now,
                    gen::OnceClaimReply *reply) {
  reply->set_holder_claim_id(record.m_claims.front());
  reply->set_holder_fingerprint(record.m_fingerprint);
  if (record.m_is_completed) {
    reply->set_state(gen::ONCE_FINISHED);
    reply->set_has_answer(record.m_has_answer);
    reply->set_answer(record.m_answer);
    return;
  }
  reply->set_state(gen::ONCE_HELD);
  reply->set_is_contested(record.m_claims.size() > 1);
  reply->set_is_overdue(record.m_overdue_at <= now);
}

Record MakeRecord(const Recorder &recorder, const gen::OnceClaim &claim,
                  WallTime now) {
  Record record;
  record.m_claims = {claim.claim_id()};
  record.m_fingerprint = claim.fingerprint();
  record.m_expires_at = now + milliseconds(claim.retention_ms()) +
                        recorder.m_options.m_retention_margin;
  record.m_overdue_at = now + milliseconds(claim.run_ms());
  return record;
}

bool IsSoleHolder(const Record &record, std::uint64_t claim) {
  return record.m_claims.size() == 1 && record.m_claims.front() == claim;
}

void HandleClaim(Recorder *recorder, const gen::OnceClaim &claim, WallTime now,
                 RecorderOutput *output) {
  gen::OnceClaimReply reply;
  reply.set_key(claim.key());
  reply.set_claim_id(claim.claim_id());
  if (recorder->m_phase == gen::ONCE_READY) {
    reply.set_epoch(recorder->m_epoch);
    Record *record = FindUnexpiredRecord(recorder, claim.key(), now, output);
    std::size_t size = kRecordOverhead + claim.key().size();
    bool is_full = recorder->m_bytes + size > recorder->m_options.m_max_bytes;
    if (recorder->m_tombstones.contains({claim.key(), claim.claim_id()})) {
      reply.set_state(gen::ONCE_RELEASED);
    } else if (record == nullptr && is_full) {
      reply.set_state(gen::ONCE_FULL);
    } else if (record == nullptr) {
      LogAndStoreRecord(recorder, claim.key(),
                        MakeRecord(*recorder, claim, now), output);
      reply.set_state(gen::ONCE_GRANTED);
    } else {
      bool is_holder =
          !record->m_is_completed && IsSoleHolder(*record, claim.claim_id());
      if (is_holder) reply.set_state(gen::ONCE_GRANTED);
      if (!is_holder) DescribeHolder(*record, now, &reply);
    }
  }
  *output->m_replies.emplace_back().mutable_claim_reply() = std::move(reply);
}

/**
 * Stores an answer only if the claim holds the key here, and until the expiry
 * that was set by the grant: a completion that arrives after the expiry must
 * neither prolong the key nor replace the next claim. No other recorder needs
 * the answer, as the two that granted the claim store it.
 */
void HandleComplete(Recorder *recorder, const gen::OnceComplete &complete,
                    WallTime now, RecorderOutput *output) {
  gen::OnceCompleteReply reply;
  reply.set_key(complete.key());
  reply.set_claim_id(complete.claim_id());
  const Record *known =
      recorder->m_phase == gen::ONCE_READY
          ? FindUnexpiredRecord(recorder, complete.key(), now, output)
          : nullptr;
  reply.set_is_stored(known != nullptr &&
                      IsSoleHolder(*known, complete.claim_id()));
  if (reply.is_stored() && !known->m_is_completed) {
    Record record = *known;
    record.m_is_completed = true;
    double limit = static_cast<double>(recorder->m_options.m_max_bytes) *
                   kAnswerMemoryShare;
    std::size_t size = complete.answer().size();
    record.m_has_answer =
        complete.has_answer() && size <= kMaxAnswerBytes &&
        static_cast<double>(recorder->m_bytes + size) <= limit;
    if (record.m_has_answer) record.m_answer = complete.answer();
    LogAndStoreRecord(recorder, complete.key(), std::move(record), output);
  }
  *output->m_replies.emplace_back().mutable_complete_reply() = std::move(reply);
}

void HandleRelease(Recorder *recorder, const gen::OnceRelease &release,
                   WallTime now, RecorderOutput *output) {
  AddTombstone(recorder, release, now);
  Record *record = FindUnexpiredRecord(recorder, release.key(), now, output);
  if (record != nullptr && !record->m_is_completed) {
    Record remaining = *record;
    std::erase(remaining.m_claims, release.claim_id());
    if (remaining.m_claims.empty()) {
      LogAndEraseRecord(recorder, release.key(), output);
    } else if (remaining.m_claims.size() < record->m_claims.size()) {
      LogAndStoreRecord(recorder, release.key(), std::move(remaining), output);
    }
  }
  gen::OnceReleaseReply reply;
  reply.set_key(release.key());
  reply.set_claim_id(release.claim_id());
  *output->m_replies.emplace_back().mutable_release_reply() = std::move(reply);
}

void HandleStatus(const Recorder &recorder, const gen::OnceStatus &status,
                  RecorderOutput *output) {
  gen::OnceStatusReply reply;
  reply.set_nonce(status.nonce());
  reply.set_phase(recorder.m_phase);
  reply.set_epoch(recorder.m_epoch);
  *output->m_replies.emplace_back().mutable_status_reply() = reply;
}

/** Adds the records after a key, with remaining times instead of points in
 * time, because clocks of different hosts are never compared. */
void FillCopyReply(const Recorder &recorder, WallTime now,
                   gen::OnceCopyReply *reply) {
  auto position = recorder.m_records.upper_bound(reply->after_key());
  std::size_t bytes = 0;
  while (position != recorder.m_records.end() &&
         bytes < recorder.m_options.m_copy_page_bytes) {
    gen::OnceRecord record = ToProto(position->first, position->second);
    std::int64_t now_ms = ToMs(now);
    record.set_expires_ms(record.expires_ms() - now_ms);
    record.set_overdue_ms(record.overdue_ms() - now_ms);
    bytes += CountBytes(position->first, position->second);
    *reply->add_records() = std::move(record);
    ++position;
  }
  reply->set_is_last(position == recorder.m_records.end());
}

/**
 * Raises the epoch before the first record is copied. A grant of the old epoch
 * is therefore in the copy, and a later grant has the new epoch, so that
 * claimants don't count it together with a grant of the lost recorder.
 */
void HandleCopy(Recorder *recorder, const gen::OnceCopy &copy, WallTime now,
                RecorderOutput *output) {
  if (recorder->m_phase != gen::ONCE_READY) return;
  if (copy.epoch() > recorder->m_epoch) {
    SetEpoch(recorder, copy.epoch(), output);
  }
  gen::OnceCopyReply reply;
  reply.set_nonce(copy.nonce());
  reply.set_epoch(recorder->m_epoch);
  reply.set_after_key(copy.after_key());
  if (copy.epoch() == recorder->m_epoch) FillCopyReply(*recorder, now, &reply);
  *output->m_replies.emplace_back().mutable_copy_reply() = std::move(reply);
}

/**
 * Merges the known record of a key into a copied one. If the claims differ,
 * the grant of the lost recorder may have given any of them the majority, so
 * all are kept and none is granted the key here. That includes a completed
 * claim: the other one may have been granted after the completed one expired
 * on the lost recorder.
 */
void MergeKnownRecord(const Record &known, Record *copied) {
  copied->m_expires_at = std::max(copied->m_expires_at, known.m_expires_at);
  copied->m_overdue_at = std::max(copied->m_overdue_at, known.m_overdue_at);
  if (copied->m_claims == known.m_claims) {
    if (!known.m_is_completed) return;
    copied->m_is_completed = true;
    copied->m_has_answer = known.m_has_answer;
    copied->m_answer = known.m_answer;
    return;
  }
  copied->m_is_completed = false;
  copied->m_has_answer = false;
  copied->m_answer.clear();
  for (std::uint64_t claim : known.m_claims) {
    bool is_listed = std::find(copied->m_claims.begin(), copied->m_claims.end(),
                               claim) != copied->m_claims.end();
    if (!is_listed) copied->m_claims.push_back(claim);
  }
}

/** Stores a copied record, merged with what is known of its key. */
void StoreCopiedRecord(Recorder *recorder, const gen::OnceRecord &proto,
                       WallTime now, RecorderOutput *output) {
  Record copied = FromProto(proto);
  copied.m_expires_at = now + milliseconds(proto.expires_ms());
  copied.m_overdue_at = now + milliseconds(proto.overdue_ms());
  if (copied.m_expires_at <= now) return;
  // A released claim never sent its request, so it needs no record.
  std::erase_if(copied.m_claims, [&](std::uint64_t claim) {
    return recorder->m_tombstones.contains({proto.key(), claim});
  });
  if (copied.m_claims.empty()) return;
  const Record *known = FindUnexpiredRecord(recorder, proto.key(), now, output);
  if (known != nullptr) MergeKnownRecord(*known, &copied);
  LogAndStoreRecord(recorder, proto.key(), std::move(copied), output);
}

bool HasAllPeerStatuses(const Recorder &recorder) {
  return std::all_of(recorder.m_peers.begin(), recorder.m_peers.end(),
                     [](const PeerState &peer) { return peer.m_has_status; });
}

std::size_t CountPeersInPhase(const Recorder &recorder, gen::OncePhase phase) {
  auto count = std::count_if(
      recorder.m_peers.begin(), recorder.m_peers.end(),
      [phase](const PeerState &peer) { return peer.m_phase == phase; });
  return static_cast<std::size_t>(count);
}

void ResetToBlank(Recorder *recorder) {
  recorder->m_phase = gen::ONCE_BLANK;
  recorder->m_peers = {};
}

void BeginCopy(Recorder *recorder, RecorderOutput *output) {
  std::uint64_t epoch = 0;
  for (const PeerState &peer : recorder->m_peers) {
    epoch = std::max(epoch, peer.m_epoch);
  }
  SetEpoch(recorder, epoch + 1, output);
  recorder->m_phase = gen::ONCE_COPYING;
}

/**
 * Three recorders without data form a new group in two steps: each enters the
 * founding phase once neither peer has data, and is ready once all three are
 * founding. A ready peer proves that all three were founding, so a founding
 * recorder becomes ready too. A blank recorder with a ready peer has lost its
 * disk. It copies from both peers as soon as both are ready; if the second one
 * has no data either, the group waits for the operators.
 */
void DecideStartPhase(Recorder *recorder, RecorderOutput *output) {
  if (!HasAllPeerStatuses(*recorder)) return;
  std::size_t ready = CountPeersInPhase(*recorder, gen::ONCE_READY);
  std::size_t founding = CountPeersInPhase(*recorder, gen::ONCE_FOUNDING);
  std::size_t blank = CountPeersInPhase(*recorder, gen::ONCE_BLANK);
  if (recorder->m_phase == gen::ONCE_FOUNDING) {
    if (ready > 0 || founding == kPeerCount) {
      SetPhase(recorder, gen::ONCE_READY, output);
    }
    return;
  }
  if (blank + founding == kPeerCount) {
    SetEpoch(recorder, recorder->m_options.m_first_epoch, output);
    SetPhase(recorder, gen::ONCE_FOUNDING, output);
  } else if (ready == kPeerCount) {
    BeginCopy(recorder, output);
  }
}

void HandleStatusReply(Recorder *recorder, PeerState *peer,
                       const gen::OnceStatusReply &reply,
                       RecorderOutput *output) {
  bool has_no_data = recorder->m_phase == gen::ONCE_BLANK ||
                     recorder->m_phase == gen::ONCE_FOUNDING;
  if (!has_no_data) return;
  if (reply.nonce() != recorder->m_nonce) return;
  peer->m_has_status = true;
  peer->m_phase = reply.phase();
  peer->m_epoch = reply.epoch();
  DecideStartPhase(recorder, output);
}

void HandleCopyReply(Recorder *recorder, PeerState *peer,
                     const gen::OnceCopyReply &reply, WallTime now,
                     RecorderOutput *output) {
  if (recorder->m_phase != gen::ONCE_COPYING || peer->m_is_copied) return;
  if (reply.nonce() != recorder->m_nonce) return;
  if (reply.epoch() > recorder->m_epoch) {
    ResetToBlank(recorder);
    return;
  }
  if (reply.epoch() != recorder->m_epoch) return;
  if (reply.after_key() != peer->m_after_key) return;
  for (const gen::OnceRecord &record : reply.records()) {
    StoreCopiedRecord(recorder, record, now, output);
    peer->m_after_key = record.key();
  }
  peer->m_is_copied = reply.is_last();
  bool is_complete =
      std::all_of(recorder->m_peers.begin(), recorder->m_peers.end(),
                  [](const PeerState &one) { return one.m_is_copied; });
  if (is_complete) SetPhase(recorder, gen::ONCE_READY, output);
}

void RequestFromPeer(const Recorder &recorder, std::size_t index,
                     RecorderOutput *output) {
  const PeerState &peer = recorder.m_peers[index];
  PeerMessage message;
  message.m_peer = index;
  if (recorder.m_phase != gen::ONCE_COPYING) {
    message.m_message.mutable_status()->set_nonce(recorder.m_nonce);
  } else {
    if (peer.m_is_copied) return;
    gen::OnceCopy *copy = message.m_message.mutable_copy();
    copy->set_nonce(recorder.m_nonce);
    copy->set_epoch(recorder.m_epoch);
    copy->set_after_key(peer.m_after_key);
  }
  output->m_peer_messages.push_back(std::move(message));
}

void EraseExpiredRecords(Recorder *recorder, WallTime now,
                         RecorderOutput *output) {
  auto position = recorder->m_records.upper_bound(recorder->m_sweep_key);
  for (int i = 0; i < kMaxSweptKeys; ++i) {
    if (position == recorder->m_records.end()) {
      recorder->m_sweep_key.clear();
      return;
    }
    std::string key = position->first;
    bool is_expired = position->second.m_expires_at <= now;
    ++position;
    recorder->m_sweep_key = key;
    if (is_expired) LogAndEraseRecord(recorder, key, output);
  }
}

}  // namespace

Recorder MakeRecorder(const RecorderOptions &options, std::uint64_t nonce) {
  Recorder recorder;
  recorder.m_options = options;
  recorder.m_nonce = nonce;
  return recorder;
}

void ReplayEntry(Recorder *recorder, const gen::OnceLogEntry &entry) {
  switch (entry.change_case()) {
    case gen::OnceLogEntry::kPut:
      StoreInMemory(recorder, entry.put().key(), FromProto(entry.put()));
      break;
    case gen::OnceLogEntry::kEraseKey:
      EraseFromMemory(recorder, entry.erase_key());
      break;
    case gen::OnceLogEntry::kEpoch:
      recorder->m_epoch = entry.epoch();
      break;
    case gen::OnceLogEntry::kPhase:
      recorder->m_phase = entry.phase();
      break;
    case gen::OnceLogEntry::CHANGE_NOT_SET:
      break;
  }
}

void FinishReplay(Recorder *recorder) {
  if (recorder->m_phase != gen::ONCE_BLANK) return;
  recorder->m_records.clear();
  recorder->m_bytes = 0;
  recorder->m_epoch = 0;
  ResetToBlank(recorder);
}

std::vector<gen::OnceLogEntry> MakeSnapshot(const Recorder &recorder) {
  std::vector<gen::OnceLogEntry> entries;
  entries.reserve(recorder.m_records.size() + 2);
  entries.emplace_back().set_epoch(recorder.m_epoch);
  for (const auto &[key, record] : recorder.m_records) {
    *entries.emplace_back().mutable_put() = ToProto(key, record);
  }
  if (recorder.m_phase != gen::ONCE_COPYING) {
    entries.emplace_back().set_phase(recorder.m_phase);
  }
  return entries;
}

void HandleRequest(Recorder *recorder, const gen::OnceMessage &message,
                   WallTime now, RecorderOutput *output) {
  switch (message.body_case()) {
    case gen::OnceMessage::kClaim:
      return HandleClaim(recorder, message.claim(), now, output);
    case gen::OnceMessage::kComplete:
      return HandleComplete(recorder, message.complete(), now, output);
    case gen::OnceMessage::kRelease:
      return HandleRelease(recorder, message.release(), now, output);
    case gen::OnceMessage::kStatus:
      return HandleStatus(*recorder, message.status(), output);
    case gen::OnceMessage::kCopy:
      return HandleCopy(recorder, message.copy(), now, output);
    default:
      return;
  }
}

void HandlePeerReply(Recorder *recorder, std::size_t peer,
                     const gen::OnceMessage &message, WallTime now,
                     RecorderOutput *output) {
  assert(peer < kPeerCount);
  PeerState *state = &recorder->m_peers[peer];
  if (message.has_status_reply()) {
    HandleStatusReply(recorder, state, message.status_reply(), output);
  } else if (message.has_copy_reply()) {
    HandleCopyReply(recorder, state, message.copy_reply(), now, output);
  }
}

void TickRecorder(Recorder *recorder, WallTime now, RecorderOutput *output) {
  DropOldTombstones(recorder, now);
  if (recorder->m_phase == gen::ONCE_READY) {
    EraseExpiredRecords(recorder, now, output);
    return;
  }
  for (std::size_t peer = 0; peer < kPeerCount; ++peer) {
    RequestFromPeer(*recorder, peer, output);
  }
}

}  // namespace wasabiwind::once
