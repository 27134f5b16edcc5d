/** @file recorder_server.cpp One recorder with its log and transport. */

#include "recorder/recorder_server.h"

#include <envelope.pb.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "base/random_func.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"
#include "once/record_log.h"

namespace wasabiwind::recorder {

namespace {

using base::LogLevel;
using base::milliseconds;

constexpr milliseconds kTickInterval{100};
/** Messages that wait for the next sync; more are dropped, and their
 * senders resend them. */
constexpr std::size_t kMaxInboxMessages = 10'000;
/** Senders beyond this number get no reply. Each sender has a socket here, and
 * claimants get a new port at each restart. */
constexpr std::size_t kMaxSenders = 4'096;
constexpr std::chrono::minutes kSenderRetention{10};
constexpr std::chrono::minutes kRetentionCheckInterval{1};
constexpr std::uint64_t kMinCompactionBytes = 16 << 20;
/** At twice its compacted size, half of the log is obsolete. */
constexpr std::uint64_t kCompactionFactor = 2;

const char *GetNotReadyReason(gen::OncePhase phase) {
  switch (phase) {
    case gen::ONCE_READY:
      return "";
    case gen::ONCE_FOUNDING:
      return "founding a new group; waiting for both other recorders";
    case gen::ONCE_COPYING:
      return "copying from both other recorders";
    default:
      return "no data; waiting for both other recorders";
  }
}

}  // namespace

struct RecorderServer::Impl {
  explicit Impl(RecorderServerOptions options)
      : m_options(std::move(options)),
        m_recorder(once::MakeRecorder(m_options.m_recorder, base::MakeSeed())) {
  }

  base::WallTime Now();
  void Receive(const std::string &bytes);
  void HandleEnvelope(const gen::Envelope &envelope);
  void QueueOutput(const std::string &sender, once::RecorderOutput *output);
  base::Result<void> SyncAndSend();
  base::Result<void> CompactIfDue();
  base::Result<void> Serve();
  void PublishState();
  bool RememberSender(const net::Endpoint &sender);
  void ForgetSilentSenders(base::TimePoint now);
  bool WaitForWork(base::TimePoint until);

  struct Outgoing {
    net::Endpoint m_to;
    gen::OnceMessage m_message;
  };

  RecorderServerOptions m_options;
  once::Recorder m_recorder;
  once::RecordLog m_log;
  std::unique_ptr<net::MessageTransport> m_transport;
  std::vector<gen::Envelope> m_inbox;
  std::vector<gen::OnceLogEntry> m_entries;
  std::vector<Outgoing> m_outgoing;
  /** Senders of requests, with the time of the latest one. */
  std::map<net::Endpoint, base::TimePoint> m_senders;
  base::TimePoint m_retention_checked_at;
  base::WallTime m_latest_time;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_has_work;
  std::atomic<bool> m_is_stopped{false};
  std::atomic<int> m_phase{gen::ONCE_BLANK};  ///< for CheckReady
};

/** The wall clock may be set back, but the returned time never decreases. */
base::WallTime RecorderServer::Impl::Now() {
  m_latest_time = std::max(m_latest_time, base::WallClock::now());
  return m_latest_time;
}

void RecorderServer::Impl::Receive(const std::string &bytes) {
  std::optional<gen::Envelope> envelope = net::ParseEnvelope(bytes);
  bool is_known = envelope && envelope->has_once();
  if (!is_known || m_inbox.size() >= kMaxInboxMessages) {
    base::GetCounter("ww_recorder_dropped_total",
                     "Messages dropped by the recorder",
                     {{"reason", is_known ? "overload" : "unknown"}})
        .Increment();
    return;
  }
  m_inbox.push_back(std::move(*envelope));
  m_has_work.notify_one();
}

/** @return whether replies may be sent to the sender. */
bool RecorderServer::Impl::RememberSender(const net::Endpoint &sender) {
  auto found = m_senders.find(sender);
  if (found == m_senders.end() && m_senders.size() >= kMaxSenders) return false;
  m_senders[sender] = base::Clock::now();
  return true;
}

void RecorderServer::Impl::ForgetSilentSenders(base::TimePoint now) {
  if (now - m_retention_checked_at < kRetentionCheckInterval) return;
  m_retention_checked_at = now;
  auto position = m_senders.begin();
  while (position != m_senders.end()) {
    bool is_silent = now - position->second >= kSenderRetention;
    if (is_silent) m_transport->ClosePeer(position->first);
    position = is_silent ? m_senders.erase(position) : std::next(position);
  }
}

void RecorderServer::Impl::QueueOutput(const std::string &sender,
                                       once::RecorderOutput *output) {
  for (gen::OnceLogEntry &entry : output->m_entries) {
    m_entries.push_back(std::move(entry));
  }
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(sender);
  bool may_reply = endpoint && RememberSender(*endpoint);
  for (gen::OnceMessage &reply : output->m_replies) {
    if (may_reply) m_outgoing.push_back({*endpoint, std::move(reply)});
  }
  for (once::PeerMessage &message : output->m_peer_messages) {
    m_outgoing.push_back(
        {m_options.m_peers[message.m_peer], std::move(message.m_message)});
  }
}

void RecorderServer::Impl::HandleEnvelope(const gen::Envelope &envelope) {
  once::RecorderOutput output;
  const gen::OnceMessage &message = envelope.once();
  bool is_peer_reply = message.has_status_reply() || message.has_copy_reply();
  if (is_peer_reply) {
    for (std::size_t peer = 0; peer < once::kPeerCount; ++peer) {
      if (m_options.m_peers[peer].ToString() != envelope.from()) continue;
      once::HandlePeerReply(&m_recorder, peer, message, Now(), &output);
      // Requests the first or next page at once instead of at the next tick.
      if (m_recorder.m_phase == gen::ONCE_COPYING) {
        once::TickRecorder(&m_recorder, Now(), &output);
      }
    }
  } else {
    once::HandleRequest(&m_recorder, message, Now(), &output);
  }
  QueueOutput(envelope.from(), &output);
}

base::Result<void> RecorderServer::Impl::SyncAndSend() {
  if (!m_entries.empty()) {
    base::Result<void> appended = m_log.Append(std::move(m_entries));
    m_entries.clear();
    if (!appended) return appended;
  }
  for (const Outgoing &outgoing : m_outgoing) {
    gen::Envelope envelope = net::MakeEnvelope(
        m_transport->LocalEndpoint().ToString(), m_options.m_node_name);
    *envelope.mutable_once() = outgoing.m_message;
    m_transport->Send(outgoing.m_to, envelope.SerializeAsString());
  }
  m_outgoing.clear();
  return CompactIfDue();
}

base::Result<void> RecorderServer::Impl::CompactIfDue() {
  std::uint64_t limit = std::max(kMinCompactionBytes,
                                 m_log.GetCompactedSize() * kCompactionFactor);
  if (m_log.GetSize() < limit) return {};
  base::Result<void> compacted = m_log.Compact(once::MakeSnapshot(m_recorder));
  if (compacted) {
    base::LogEvent(LogLevel::kInfo, "log_compacted",
                   {{"bytes", m_log.GetSize()}});
  }
  return compacted;
}

void RecorderServer::Impl::PublishState() {
  static prometheus::Gauge &records =
      base::GetGauge("ww_recorder_records", "Keys held by the recorder");
  static prometheus::Gauge &bytes =
      base::GetGauge("ww_recorder_bytes", "Memory of the held keys");
  records.Set(static_cast<double>(m_recorder.m_records.size()));
  bytes.Set(static_cast<double>(m_recorder.m_bytes));
  if (m_phase.exchange(m_recorder.m_phase) == m_recorder.m_phase) return;
  base::LogEvent(LogLevel::kInfo, "recorder_phase",
                 {{"phase", gen::OncePhase_Name(m_recorder.m_phase)},
                  {"epoch", m_recorder.m_epoch},
                  {"records", m_recorder.m_records.size()}});
}

bool RecorderServer::Impl::WaitForWork(base::TimePoint until) {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_has_work.wait_until(lock, until, [this] { return !m_inbox.empty(); });
  return !m_inbox.empty();
}

base::Result<void> RecorderServer::Impl::Serve() {
  base::TimePoint next_tick = base::Clock::now();
  while (!m_is_stopped) {
    WaitForWork(next_tick);
    std::vector<gen::Envelope> inbox = std::move(m_inbox);
    m_inbox.clear();
    for (const gen::Envelope &envelope : inbox) HandleEnvelope(envelope);
    if (base::Clock::now() >= next_tick) {
      next_tick = base::Clock::now() + kTickInterval;
      once::RecorderOutput output;
      once::TickRecorder(&m_recorder, Now(), &output);
      QueueOutput("", &output);
      ForgetSilentSenders(base::Clock::now());
    }
    if (base::Result<void> synced = SyncAndSend(); !synced) return synced;
    PublishState();
  }
  return {};
}

RecorderServer::RecorderServer(RecorderServerOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

RecorderServer::~RecorderServer() = default;

base::Result<void> RecorderServer::Open() {
  base::Result<void> opened = m_impl->m_log.Open(
      m_impl->m_options.m_data_folder, [this](const gen::OnceLogEntry &entry) {
        once::ReplayEntry(&m_impl->m_recorder, entry);
      });
  if (!opened) return opened;
  once::FinishReplay(&m_impl->m_recorder);
  m_impl->PublishState();
  // Entries of a copy that wasn't finished are dropped from the log as well.
  if (m_impl->m_recorder.m_phase == gen::ONCE_BLANK) {
    base::Result<void> cleared = m_impl->m_log.Compact({});
    if (!cleared) return cleared;
  }
  net::MessageTransportOptions options;
  options.m_listen = m_impl->m_options.m_listen;
  m_impl->m_transport = std::make_unique<net::MessageTransport>(options);
  return m_impl->m_transport->Listen();
}

net::Endpoint RecorderServer::LocalEndpoint() const {
  return m_impl->m_transport->LocalEndpoint();
}

void RecorderServer::SetPeers(
    const std::array<net::Endpoint, once::kPeerCount> &peers) {
  m_impl->m_options.m_peers = peers;
}

base::Result<void> RecorderServer::Run() {
  boost::fibers::fiber receiver([this] {
    m_impl->m_transport->Run(
        [this](const std::string &message) { m_impl->Receive(message); });
  });
  base::Result<void> served = m_impl->Serve();
  m_impl->m_transport->Stop();
  receiver.join();
  return served;
}

void RecorderServer::Stop() { m_impl->m_is_stopped = true; }

std::string RecorderServer::CheckReady() const {
  return GetNotReadyReason(static_cast<gen::OncePhase>(m_impl->m_phase.load()));
}

}  // namespace wasabiwind::recorder
