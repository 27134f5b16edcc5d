/** @file claim_client.cpp Client that claims keys at recorders. */

#include "once/claim_client.h"

#include <envelope.pb.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <functional>
#include <future>
#include <map>
#include <thread>

#include "base/metrics_func.h"
#include "base/random_func.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"

namespace wasabiwind::once {

namespace {

using base::Clock;
using base::milliseconds;
using base::TimePoint;

constexpr std::size_t kCommandQueueSize = 1'024;  ///< must be a power of two
/** The first message to a recorder opens its connection and may be dropped, so
 * the first resend comes soon. */
constexpr milliseconds kFirstResendInterval{5};
constexpr milliseconds kMaxResendInterval{500};
constexpr milliseconds kTickInterval{5};
constexpr base::seconds kIdleTickInterval{1};
constexpr base::seconds kReleaseTimeout{5};
/** Part of kMaxClaimTime that one claim may take; the rest covers the time
 * until the program acts on the grant. */
constexpr base::Duration kClaimTimeout = kMaxClaimTime / 2;
/** The longest pause before a retry grows by this with each of the first 10
 * attempts. */
constexpr milliseconds kSplitBackoffStep{20};

using Command = std::function<void()>;

/** Receivers, deadline and resend times of one message. */
struct DeliveryState {
  RecorderEndpoints m_recorders;
  TimePoint m_deadline;
  TimePoint m_next_send;
  milliseconds m_resend_interval = kFirstResendInterval;
};

struct PendingClaim {
  std::uint64_t m_number = 0;  ///< key in m_claims; each attempt has a new ID
  DeliveryState m_delivery;
  ClaimParameters m_parameters;
  Claimant m_claimant;
  boost::fibers::promise<ClaimResult> m_promise;
  TimePoint m_deadline;  ///< of all attempts together
  int m_attempts = 1;
};

/** A completion or a release that recorders haven't confirmed yet. */
struct PendingUpdate {
  DeliveryState m_delivery;
  gen::OnceMessage m_message;
  std::array<bool, kGroupSize> m_is_confirmed{};
  std::array<bool, kGroupSize> m_is_stored{};
  std::unique_ptr<boost::fibers::promise<bool>> m_promise;  ///< completions
};

gen::OnceClaim MakeClaim(const ClaimParameters &parameters,
                         std::uint64_t claim_id) {
  gen::OnceClaim claim;
  claim.set_key(parameters.m_key);
  claim.set_claim_id(claim_id);
  claim.set_fingerprint(parameters.m_fingerprint);
  claim.set_retention_ms(parameters.m_retention.count());
  claim.set_run_ms(parameters.m_execution_timeout.count());
  return claim;
}

/** @return whether a message is due now; if so, sets the time of the next. */
bool MarkSentIfDue(DeliveryState *delivery, TimePoint now) {
  if (now < delivery->m_next_send) return false;
  delivery->m_next_send = now + delivery->m_resend_interval;
  delivery->m_resend_interval =
      std::min(delivery->m_resend_interval * 2, kMaxResendInterval);
  return true;
}

}  // namespace

base::Result<RecorderEndpoints> ParseRecorderEndpoints(
    const std::vector<std::string> &members) {
  if (members.size() != kGroupSize) {
    return base::MakeError(
        base::ErrorKind::kInvalidArgument,
        fmt::format("a recorder group has {} members instead of {}",
                    members.size(), kGroupSize),
        "declare three members in the recorder_group section");
  }
  RecorderEndpoints endpoints;
  for (std::size_t i = 0; i < kGroupSize; ++i) {
    base::Result<net::Endpoint> endpoint = net::ParseEndpoint(members[i]);
    if (!endpoint) return tl::unexpected(endpoint.error());
    endpoints[i] = *endpoint;
  }
  return endpoints;
}

/** Only the client's thread may use the members, except for m_commands and
 * m_thread. */
struct ClaimClient::Impl {
  explicit Impl(ClaimClientOptions options)
      : m_options(std::move(options)), m_commands(kCommandQueueSize) {}

  void Run(std::promise<base::Result<void>> *started);
  void Tick(TimePoint now);
  void TickClaims(TimePoint now);
  void TickUpdates(TimePoint now);
  void HandleMessage(const std::string &bytes);
  void HandleClaimReply(const std::string &from,
                        const gen::OnceClaimReply &reply);
  void HandleUpdateReply(std::map<std::uint64_t, PendingUpdate> *updates,
                         const std::string &from, std::uint64_t claim_id,
                         bool is_stored);
  void AddClaim(const ClaimParameters &parameters,
                boost::fibers::promise<ClaimResult> promise);
  void AddUpdate(std::map<std::uint64_t, PendingUpdate> *updates,
                 std::uint64_t claim_id, PendingUpdate update);
  void AddRelease(const RecorderEndpoints &recorders, const std::string &key,
                  std::uint64_t claim_id);
  bool DecidePendingClaim(PendingClaim *pending, TimePoint now);
  void RetryClaim(PendingClaim *pending, TimePoint now);
  void EndClaim(PendingClaim *pending, ClaimOutcome outcome);
  void SendClaim(PendingClaim *pending, TimePoint now);
  void SendUpdate(PendingUpdate *update, TimePoint now);
  void Send(const net::Endpoint &recorder, const gen::OnceMessage &message);
  bool HasRoom() const;
  void FailPendingCalls();

  ClaimClientOptions m_options;
  boost::fibers::buffered_channel<Command> m_commands;
  std::unique_ptr<net::MessageTransport> m_transport;
  base::Random m_random;
  std::map<std::uint64_t, PendingClaim> m_claims;  ///< by m_number
  /** Numbers of the pending claims by the claim ID of the current attempt. */
  std::map<std::uint64_t, std::uint64_t> m_claim_numbers;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, PendingUpdate> m_completions;  ///< by claim ID
  std::map<std::uint64_t, PendingUpdate> m_releases;     ///< by claim ID
  std::thread m_thread;
};

void ClaimClient::Impl::Run(std::promise<base::Result<void>> *started) {
  m_random.m_state = base::MakeSeed();
  net::MessageTransportOptions options;
  options.m_listen = m_options.m_listen;
  m_transport = std::make_unique<net::MessageTransport>(options);
  base::Result<void> listening = m_transport->Listen();
  bool is_listening = listening.has_value();
  started->set_value(std::move(listening));
  if (!is_listening) return;
  boost::fibers::fiber receiver([this] {
    m_transport->Run(
        [this](const std::string &message) { HandleMessage(message); });
  });
  while (true) {
    Command command;
    bool is_idle =
        m_claims.empty() && m_completions.empty() && m_releases.empty();
    milliseconds wait = is_idle ? kIdleTickInterval : kTickInterval;
    auto status = m_commands.pop_wait_for(command, wait);
    if (status == boost::fibers::channel_op_status::closed) break;
    if (status == boost::fibers::channel_op_status::success) command();
    Tick(Clock::now());
  }
  m_transport->Stop();
  receiver.join();
  FailPendingCalls();
  m_transport.reset();
}

void ClaimClient::Impl::FailPendingCalls() {
  for (auto &[id, pending] : m_claims) {
    pending.m_promise.set_value(ClaimResult());
  }
  for (auto &[id, update] : m_completions) update.m_promise->set_value(false);
  m_claims.clear();
  m_completions.clear();
  m_releases.clear();
}

bool ClaimClient::Impl::HasRoom() const {
  return m_claims.size() + m_completions.size() + m_releases.size() <
         m_options.m_max_pending;
}

void ClaimClient::Impl::Send(const net::Endpoint &recorder,
                             const gen::OnceMessage &message) {
  gen::Envelope envelope = net::MakeEnvelope(
      m_transport->LocalEndpoint().ToString(), m_options.m_node_name);
  *envelope.mutable_once() = message;
  m_transport->Send(recorder, envelope.SerializeAsString());
}

void ClaimClient::Impl::SendClaim(PendingClaim *pending, TimePoint now) {
  if (!MarkSentIfDue(&pending->m_delivery, now)) return;
  gen::OnceMessage message;
  *message.mutable_claim() = pending->m_claimant.m_claim;
  for (std::size_t i = 0; i < kGroupSize; ++i) {
    if (!NeedsReply(pending->m_claimant, i)) continue;
    Send(pending->m_delivery.m_recorders[i], message);
  }
}

void ClaimClient::Impl::SendUpdate(PendingUpdate *update, TimePoint now) {
  if (!MarkSentIfDue(&update->m_delivery, now)) return;
  for (std::size_t i = 0; i < kGroupSize; ++i) {
    if (update->m_is_confirmed[i]) continue;
    Send(update->m_delivery.m_recorders[i], update->m_message);
  }
}

void ClaimClient::Impl::AddClaim(const ClaimParameters &parameters,
                                 boost::fibers::promise<ClaimResult> promise) {
  if (!HasRoom()) {
    promise.set_value(ClaimResult());
    return;
  }
  std::uint64_t claim_id = base::NextRandom(&m_random);
  TimePoint now = Clock::now();
  PendingClaim pending;
  pending.m_parameters = parameters;
  pending.m_claimant = MakeClaimant(MakeClaim(parameters, claim_id));
  pending.m_promise = std::move(promise);
  pending.m_deadline = std::min(parameters.m_deadline, now + kClaimTimeout);
  pending.m_delivery = {parameters.m_recorders, pending.m_deadline, now};
  pending.m_number = ++m_last_number;
  m_claim_numbers[claim_id] = pending.m_number;
  auto position = m_claims.emplace(m_last_number, std::move(pending)).first;
  SendClaim(&position->second, now);
}

void ClaimClient::Impl::AddUpdate(
    std::map<std::uint64_t, PendingUpdate> *updates, std::uint64_t claim_id,
    PendingUpdate update) {
  bool is_known = updates->contains(claim_id);
  if (is_known || !HasRoom()) {
    if (update.m_promise != nullptr) update.m_promise->set_value(false);
    return;
  }
  auto position = updates->emplace(claim_id, std::move(update)).first;
  SendUpdate(&position->second, Clock::now());
}

void ClaimClient::Impl::AddRelease(const RecorderEndpoints &recorders,
                                   const std::string &key,
                                   std::uint64_t claim_id) {
  TimePoint now = Clock::now();
  PendingUpdate update;
  update.m_delivery = {recorders, now + kReleaseTimeout, now};
  update.m_message.mutable_release()->set_key(key);
  update.m_message.mutable_release()->set_claim_id(claim_id);
  AddUpdate(&m_releases, claim_id, std::move(update));
}

void ClaimClient::Impl::EndClaim(PendingClaim *pending, ClaimOutcome outcome) {
  ClaimResult result;
  // A claim ends as split only at its deadline, after which nobody may retry
  // it, so the caller must not see kSplit.
  result.m_outcome =
      outcome == ClaimOutcome::kSplit ? ClaimOutcome::kUnavailable : outcome;
  result.m_claim_id = pending->m_claimant.m_claim.claim_id();
  if (outcome == ClaimOutcome::kFinished) {
    const gen::OnceClaimReply &reply = GetFinishedReply(pending->m_claimant);
    result.m_has_answer = reply.has_answer();
    result.m_answer = reply.answer();
  }
  if (outcome != ClaimOutcome::kGranted) {
    AddRelease(pending->m_delivery.m_recorders, pending->m_parameters.m_key,
               result.m_claim_id);
  }
  base::GetCounter("ww_claims_total", "Claims by outcome",
                   {{"outcome", GetClaimOutcomeName(result.m_outcome)}})
      .Increment();
  pending->m_promise.set_value(std::move(result));
}

/** Releases and claims again under a new ID after a random pause, so that one
 * of several claimants gets a majority before the others. */
void ClaimClient::Impl::RetryClaim(PendingClaim *pending, TimePoint now) {
  AddRelease(pending->m_delivery.m_recorders, pending->m_parameters.m_key,
             pending->m_claimant.m_claim.claim_id());
  std::uint64_t claim_id = base::NextRandom(&m_random);
  milliseconds limit = kSplitBackoffStep * std::min(++pending->m_attempts, 10);
  milliseconds pause(base::NextRandomBelow(
      &m_random, static_cast<std::uint64_t>(limit.count())));
  m_claim_numbers.erase(pending->m_claimant.m_claim.claim_id());
  m_claim_numbers[claim_id] = pending->m_number;
  pending->m_claimant =
      MakeClaimant(MakeClaim(pending->m_parameters, claim_id));
  pending->m_delivery.m_next_send = now + pause;
  pending->m_delivery.m_resend_interval = kFirstResendInterval;
}

bool ClaimClient::Impl::DecidePendingClaim(PendingClaim *pending,
                                           TimePoint now) {
  bool is_final = now >= pending->m_deadline;
  ClaimOutcome outcome = DecideClaim(pending->m_claimant, is_final);
  if (outcome == ClaimOutcome::kPending) return false;
  if (outcome == ClaimOutcome::kSplit && !is_final) {
    RetryClaim(pending, now);
    return false;
  }
  EndClaim(pending, outcome);
  return true;
}

void ClaimClient::Impl::TickClaims(TimePoint now) {
  auto position = m_claims.begin();
  while (position != m_claims.end()) {
    PendingClaim *pending = &position->second;
    if (DecidePendingClaim(pending, now)) {
      m_claim_numbers.erase(pending->m_claimant.m_claim.claim_id());
      position = m_claims.erase(position);
      continue;
    }
    SendClaim(pending, now);
    ++position;
  }
}

void ClaimClient::Impl::TickUpdates(TimePoint now) {
  for (auto *updates : {&m_completions, &m_releases}) {
    auto position = updates->begin();
    while (position != updates->end()) {
      PendingUpdate *update = &position->second;
      if (now >= update->m_delivery.m_deadline) {
        if (update->m_promise != nullptr) update->m_promise->set_value(false);
        position = updates->erase(position);
        continue;
      }
      SendUpdate(update, now);
      ++position;
    }
  }
}

void ClaimClient::Impl::Tick(TimePoint now) {
  TickClaims(now);
  TickUpdates(now);
}

void ClaimClient::Impl::HandleClaimReply(const std::string &from,
                                         const gen::OnceClaimReply &reply) {
  auto number = m_claim_numbers.find(reply.claim_id());
  if (number == m_claim_numbers.end()) return;
  auto found = m_claims.find(number->second);
  PendingClaim *pending = &found->second;
  for (std::size_t i = 0; i < kGroupSize; ++i) {
    if (pending->m_delivery.m_recorders[i].ToString() != from) continue;
    AddReply(&pending->m_claimant, i, reply);
  }
  if (!DecidePendingClaim(pending, Clock::now())) return;
  m_claim_numbers.erase(pending->m_claimant.m_claim.claim_id());
  m_claims.erase(found);
}

void ClaimClient::Impl::HandleUpdateReply(
    std::map<std::uint64_t, PendingUpdate> *updates, const std::string &from,
    std::uint64_t claim_id, bool is_stored) {
  auto found = updates->find(claim_id);
  if (found == updates->end()) return;
  PendingUpdate *update = &found->second;
  for (std::size_t i = 0; i < kGroupSize; ++i) {
    if (update->m_delivery.m_recorders[i].ToString() != from) continue;
    // A recorder that can't store a completion now may do so after its repair,
    // so it gets the message again.
    bool is_completion = update->m_promise != nullptr;
    update->m_is_confirmed[i] = is_stored || !is_completion;
    update->m_is_stored[i] = is_stored;
  }
  auto count = [](const std::array<bool, kGroupSize> &flags) {
    return static_cast<std::size_t>(
        std::count(flags.begin(), flags.end(), true));
  };
  bool is_done = update->m_promise != nullptr
                     ? count(update->m_is_stored) >= kMajority
                     : count(update->m_is_confirmed) == kGroupSize;
  if (!is_done) return;
  if (update->m_promise != nullptr) update->m_promise->set_value(true);
  updates->erase(found);
}

void ClaimClient::Impl::HandleMessage(const std::string &bytes) {
  std::optional<gen::Envelope> envelope = net::ParseEnvelope(bytes);
  if (!envelope || !envelope->has_once()) return;
  const gen::OnceMessage &message = envelope->once();
  if (message.has_claim_reply()) {
    HandleClaimReply(envelope->from(), message.claim_reply());
  } else if (message.has_complete_reply()) {
    const gen::OnceCompleteReply &reply = message.complete_reply();
    HandleUpdateReply(&m_completions, envelope->from(), reply.claim_id(),
                      reply.is_stored());
  } else if (message.has_release_reply()) {
    HandleUpdateReply(&m_releases, envelope->from(),
                      message.release_reply().claim_id(), false);
  }
}

ClaimClient::ClaimClient(ClaimClientOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

ClaimClient::~ClaimClient() { Stop(); }

base::Result<void> ClaimClient::Start() {
  std::promise<base::Result<void>> started;
  std::future<base::Result<void>> result = started.get_future();
  m_impl->m_thread = std::thread([this, &started] {
    net::RunFiberThread([this, &started] { m_impl->Run(&started); });
  });
  return result.get();
}

void ClaimClient::Stop() {
  if (!m_impl->m_thread.joinable()) return;
  m_impl->m_commands.close();
  m_impl->m_thread.join();
}

ClaimResult ClaimClient::Claim(const ClaimParameters &parameters) {
  auto promise = std::make_shared<boost::fibers::promise<ClaimResult>>();
  boost::fibers::future<ClaimResult> result = promise->get_future();
  auto status = m_impl->m_commands.try_push([this, parameters, promise] {
    m_impl->AddClaim(parameters, std::move(*promise));
  });
  if (status != boost::fibers::channel_op_status::success) return {};
  return result.get();
}

bool ClaimClient::Complete(const RecorderEndpoints &recorders,
                           const std::string &key, std::uint64_t claim_id,
                           const std::string &answer,
                           base::TimePoint deadline) {
  auto promise = std::make_shared<boost::fibers::promise<bool>>();
  boost::fibers::future<bool> result = promise->get_future();
  auto status = m_impl->m_commands.try_push([=, this] {
    PendingUpdate update;
    update.m_delivery = {recorders, deadline, Clock::now()};
    gen::OnceComplete *complete = update.m_message.mutable_complete();
    complete->set_key(key);
    complete->set_claim_id(claim_id);
    complete->set_has_answer(answer.size() <= kMaxAnswerBytes);
    if (complete->has_answer()) complete->set_answer(answer);
    update.m_promise =
        std::make_unique<boost::fibers::promise<bool>>(std::move(*promise));
    m_impl->AddUpdate(&m_impl->m_completions, claim_id, std::move(update));
  });
  if (status != boost::fibers::channel_op_status::success) return false;
  return result.get();
}

void ClaimClient::Release(const RecorderEndpoints &recorders,
                          const std::string &key, std::uint64_t claim_id) {
  (void)m_impl->m_commands.try_push(
      [=, this] { m_impl->AddRelease(recorders, key, claim_id); });
}

}  // namespace wasabiwind::once
