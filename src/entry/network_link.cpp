/** @file network_link.cpp Control link over the network. */

#include "entry/network_link.h"

#include <envelope.pb.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <cassert>
#include <functional>
#include <map>
#include <mutex>

#include "base/log_func.h"
#include "base/metrics_func.h"
#include "config/state_func.h"
#include "member/follower_func.h"
#include "net/envelope_func.h"
#include "net/fiber_scheduler.h"
#include "net/message_transport.h"

namespace wasabiwind::entry {

namespace {

/** Times after a report at which its notice is sent: the transport drops a
 * message whose peer isn't connected in time. */
constexpr std::array<base::milliseconds, 5> kNoticeRepeats = {
    base::milliseconds(0), base::milliseconds(50), base::milliseconds(200),
    base::milliseconds(600), base::milliseconds(1'500)};
/** Longest sleep of the timer fiber. */
constexpr base::milliseconds kTickPeriod{250};
constexpr base::TimePoint::rep kNeverConfirmed =
    std::numeric_limits<base::TimePoint::rep>::min();

/** Returns free memory to the kernel. The mutex keeps two threads from
 * initializing the C library's allocator at once, where another allocator (that
 * of a sanitizer) is in use. */
void TrimMemory() {
  static std::mutex mutex;
  std::lock_guard<std::mutex> lock(mutex);
  malloc_trim(0);
}

/** A notice of a leaving upstream, sent to all nodes directly several times. */
struct RepeatedNotice {
  gen::UpstreamRecord m_record;
  base::TimePoint m_reported;
  std::size_t m_sent = 0;  ///< how many times it was sent
};

}  // namespace

struct NetworkLink::Impl {
  NetworkLinkOptions m_options;
  ControlLinkEvents m_events;
  net::MessageTransport m_transport;

  // Used by the thread of Run only.
  member::Follower m_follower;
  /** Upstreams that announce themselves here, by ID. */
  std::map<std::string, gen::UpstreamRecord> m_announced;
  member::SnapshotSource m_snapshot;  ///< for children; made on request
  base::TimePoint m_snapshot_requested_at;
  std::vector<RepeatedNotice> m_notices;
  /** Nodes that got notices; their connections are closed after the last one,
   * unless they are in use otherwise. */
  std::set<std::string> m_notice_peers;
  base::TimePoint m_next_expiry;
  std::unique_ptr<boost::asio::steady_timer> m_timer;
  bool m_stopped = false;
  bool m_must_trim = false;  ///< return the old configuration's memory

  // Shared with the request path.
  mutable std::mutex m_mutex;
  boost::asio::io_context *m_io_context = nullptr;  ///< guarded by m_mutex
  /** Tasks posted before Run; guarded by m_mutex. */
  std::vector<std::function<void()>> m_early_tasks;
  bool m_has_ended = false;              ///< guarded by m_mutex
  config::CatalogPtr m_catalog;          ///< guarded by m_mutex
  std::vector<gen::NodeRecord> m_nodes;  ///< guarded by m_mutex
  std::atomic<base::TimePoint::rep> m_confirmed_at = kNeverConfirmed;

  prometheus::Gauge &m_revision_gauge =
      base::GetGauge("ww_config_revision", "Configuration revision in force");
  prometheus::Counter &m_stale_counter =
      base::GetCounter("ww_config_reverts_refused_total",
                       "Replies with an older revision than the one in force");
  prometheus::Counter &m_bad_messages = base::GetCounter(
      "ww_messages_rejected_total", "Messages that could not be understood");

  Impl(NetworkLinkOptions options, ControlLinkEvents events)
      : m_options(std::move(options)),
        m_events(std::move(events)),
        m_transport({.m_listen = m_options.m_listen}) {}

  void Post(std::function<void()> task);
  void Send(const std::string &to, gen::MemberMessage message);
  void SendAll(const std::vector<member::OutgoingMessage> &messages);
  void HandleMessage(const std::string &bytes);
  void HandleMember(const std::string &from, const gen::MemberMessage &message);
  void AnswerChild(const std::string &from, const gen::ConfirmRequest &request);
  void AnswerSnapshot(const std::string &from,
                      const gen::SnapshotRequest &request);
  void HandleUpstreamNotice(const gen::UpstreamNotice &notice);
  void ApplyEffects(member::FollowerEffects effects);
  void ApplyConfig(member::FollowerEffects *effects);
  void PublishCatalog(gen::Declarations declarations, std::uint64_t revision);
  void PublishNodes();
  void NotifyChildren();
  void SendDueUpstreamNotices(base::TimePoint now);
  void SendUpstreamNotice(const gen::UpstreamRecord &record);
  void Tick();
  void RunTimer();
};

void NetworkLink::Impl::Post(std::function<void()> task) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_io_context == nullptr) {
    if (!m_has_ended) m_early_tasks.push_back(std::move(task));
    return;
  }
  boost::asio::post(*m_io_context, std::move(task));
}

void NetworkLink::Impl::Send(const std::string &to,
                             gen::MemberMessage message) {
  base::Result<net::Endpoint> peer = net::ParseEndpoint(to);
  if (!peer) {
    m_bad_messages.Increment();
    return;
  }
  gen::Envelope envelope = net::MakeEnvelope(
      m_follower.m_node.message_address(), m_follower.m_node.node());
  *envelope.mutable_member() = std::move(message);
  m_transport.Send(*peer, envelope.SerializeAsString());
}

void NetworkLink::Impl::SendAll(
    const std::vector<member::OutgoingMessage> &messages) {
  for (const member::OutgoingMessage &message : messages) {
    Send(message.m_to, message.m_message);
  }
}

void NetworkLink::Impl::HandleMessage(const std::string &bytes) {
  std::optional<gen::Envelope> envelope = net::ParseEnvelope(bytes);
  if (!envelope || !envelope->has_member()) {
    m_bad_messages.Increment();
    return;
  }
  HandleMember(envelope->from(), envelope->member());
}

void NetworkLink::Impl::HandleMember(const std::string &from,
                                     const gen::MemberMessage &message) {
  base::TimePoint now = base::Clock::now();
  switch (message.body_case()) {
    case gen::MemberMessage::kConfirmReply: {
      std::uint64_t before = m_follower.m_stale_replies;
      ApplyEffects(member::HandleConfirmReply(
          &m_follower, message.confirm_reply(), now, m_options.m_member));
      if (m_follower.m_stale_replies > before) m_stale_counter.Increment();
      break;
    }
    case gen::MemberMessage::kSnapshotChunk:
      ApplyEffects(member::HandleSnapshotChunk(&m_follower,
                                               message.snapshot_chunk(), now));
      break;
    case gen::MemberMessage::kNotice:
      member::RequestConfirm(&m_follower, now);
      break;
    case gen::MemberMessage::kConfirmRequest:
      AnswerChild(from, message.confirm_request());
      break;
    case gen::MemberMessage::kSnapshotRequest:
      AnswerSnapshot(from, message.snapshot_request());
      break;
    case gen::MemberMessage::kUpstreamNotice:
      HandleUpstreamNotice(message.upstream_notice());
      break;
    case gen::MemberMessage::kWakeReply:
      if (m_events.m_on_activation_reply) {
        m_events.m_on_activation_reply(message.wake_reply());
      }
      break;
    default:
      m_bad_messages.Increment();
      break;
  }
  Tick();
}

void NetworkLink::Impl::AnswerChild(const std::string &from,
                                    const gen::ConfirmRequest &request) {
  base::TimePoint now = base::Clock::now();
  auto age = member::GetConfirmAge(m_follower, now);
  // Without a confirmation of its own, a relay has nothing to pass on; the
  // child turns to control after its timeout.
  if (!age) return;
  member::QueueChildReports(&m_follower, request, now);
  gen::MemberMessage answer;
  *answer.mutable_confirm_reply() = member::AnswerAsRelay(
      &m_follower.m_parent, request, *age, now, m_options.m_member);
  Send(from, std::move(answer));
}

void NetworkLink::Impl::AnswerSnapshot(const std::string &from,
                                       const gen::SnapshotRequest &request) {
  const member::ConfigLog &config = m_follower.m_parent.m_config;
  if (config.m_revision == 0) return;
  m_snapshot_requested_at = base::Clock::now();
  member::RefreshSnapshot(&m_snapshot, config, [this] {
    return m_catalog->m_declarations.SerializeAsString();
  });
  gen::MemberMessage answer;
  *answer.mutable_snapshot_chunk() =
      member::MakeSnapshotChunk(m_snapshot, request);
  Send(from, std::move(answer));
}

void NetworkLink::Impl::HandleUpstreamNotice(
    const gen::UpstreamNotice &notice) {
  bool is_change = member::ApplyUpstreamNotice(&m_follower.m_parent.m_members,
                                               notice.upstream());
  if (is_change && m_events.m_on_upstream) {
    m_events.m_on_upstream(notice.upstream());
  }
}

/**
 * Builds the next configuration. Between changes the catalog holds the only
 * copy of the declarations: a second one would take a fifth of the memory that
 * a node may spend on control.
 */
void NetworkLink::Impl::ApplyConfig(member::FollowerEffects *effects) {
  if (!effects->m_snapshot && effects->m_config.empty()) return;
  gen::Declarations next;
  std::uint64_t revision = effects->m_snapshot_revision;
  if (effects->m_snapshot) {
    next = std::move(*effects->m_snapshot);
  } else if (m_catalog != nullptr) {
    next = m_catalog->m_declarations;
  }
  for (const gen::ConfigDelta &delta : effects->m_config) {
    config::ApplyDelta(delta, &next);
    revision = delta.revision();
  }
  PublishCatalog(std::move(next), revision);
}

void NetworkLink::Impl::ApplyEffects(member::FollowerEffects effects) {
  bool has_changes = effects.m_members_changed || !effects.m_config.empty() ||
                     effects.m_snapshot.has_value();
  ApplyConfig(&effects);
  if (m_follower.m_confirmed_at) {
    m_confirmed_at = m_follower.m_confirmed_at->time_since_epoch().count();
  }
  for (const gen::UpstreamRecord &record : effects.m_upstreams) {
    if (m_events.m_on_upstream) m_events.m_on_upstream(record);
  }
  SendAll(effects.m_messages);
  if (!has_changes) return;
  PublishNodes();
  NotifyChildren();
}

void NetworkLink::Impl::PublishCatalog(gen::Declarations declarations,
                                       std::uint64_t revision) {
  config::CatalogPtr catalog =
      config::BuildCatalog(std::move(declarations), base::Revision(revision));
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_catalog = catalog;
  }
  m_must_trim = true;
  m_revision_gauge.Set(static_cast<double>(revision));
  base::LogEvent(base::LogLevel::kInfo, "configuration_in_force",
                 {{"revision", revision}});
  if (m_events.m_on_catalog) m_events.m_on_catalog(catalog);
}

void NetworkLink::Impl::PublishNodes() {
  std::vector<gen::NodeRecord> nodes;
  for (const gen::NodeRecord *node :
       member::ListNodes(m_follower.m_parent.m_members)) {
    if (!node->is_leaving()) nodes.push_back(*node);
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_nodes = std::move(nodes);
}

void NetworkLink::Impl::NotifyChildren() {
  gen::MemberMessage message;
  message.mutable_notice()->set_revision(
      m_follower.m_parent.m_config.m_revision);
  message.mutable_notice()->set_member_sequence(
      m_follower.m_parent.m_members.m_sequence);
  for (const auto &[name, child] : m_follower.m_parent.m_children.m_children) {
    Send(child.m_record.message_address(), message);
  }
}

/**
 * Tells every node directly that an upstream is leaving: without a leader, or
 * behind a partitioned relay, the other nodes would not learn of it through
 * control and would go on using the upstream.
 */
void NetworkLink::Impl::SendUpstreamNotice(const gen::UpstreamRecord &record) {
  gen::MemberMessage notice;
  *notice.mutable_upstream_notice()->mutable_upstream() = record;
  for (const gen::NodeRecord *node :
       member::ListNodes(m_follower.m_parent.m_members)) {
    if (node->node() == m_follower.m_node.node()) continue;
    m_notice_peers.insert(node->message_address());
    Send(node->message_address(), notice);
  }
}

void NetworkLink::Impl::SendDueUpstreamNotices(base::TimePoint now) {
  for (RepeatedNotice &notice : m_notices) {
    if (now - notice.m_reported < kNoticeRepeats[notice.m_sent]) continue;
    ++notice.m_sent;
    SendUpstreamNotice(notice.m_record);
  }
  std::erase_if(m_notices, [](const RepeatedNotice &notice) {
    return notice.m_sent == kNoticeRepeats.size();
  });
  if (!m_notices.empty()) return;
  for (const std::string &peer : m_notice_peers) {
    bool is_in_use = peer == member::GetParentAddress(m_follower);
    for (const auto &[name, child] :
         m_follower.m_parent.m_children.m_children) {
      is_in_use |= peer == child.m_record.message_address();
    }
    base::Result<net::Endpoint> endpoint = net::ParseEndpoint(peer);
    if (!is_in_use && endpoint) m_transport.ClosePeer(*endpoint);
  }
  m_notice_peers.clear();
}

void NetworkLink::Impl::Tick() {
  base::TimePoint now = base::Clock::now();
  SendDueUpstreamNotices(now);
  std::vector<gen::UpstreamRecord> announced;
  if (m_follower.m_needs_full_report) {
    for (const auto &[name, record] : m_announced) announced.push_back(record);
  }
  SendAll(
      member::TickFollower(&m_follower, announced, now, m_options.m_member));
  if (now < m_next_expiry) return;
  m_next_expiry = now + m_options.m_member.m_confirm_period;
  if (m_must_trim) {
    // The new configuration was built beside the old one, whose memory is free
    // now but would be kept by the allocator.
    m_must_trim = false;
    TrimMemory();
  }
  bool is_snapshot_unused =
      now >= m_snapshot_requested_at + m_options.m_member.m_node_timeout;
  if (is_snapshot_unused) m_snapshot = {};
  member::TickRelay(&m_follower.m_parent, now, m_options.m_member);
  for (const gen::UpstreamRecord &record : member::ExpireMembers(
           &m_follower.m_parent.m_members, now, m_options.m_member)) {
    if (m_events.m_on_upstream) m_events.m_on_upstream(record);
  }
}

void NetworkLink::Impl::RunTimer() {
  while (!m_stopped) {
    Tick();
    base::TimePoint next_tick =
        std::min(m_follower.m_next_confirm, base::Clock::now() + kTickPeriod);
    bool is_waiting = m_follower.m_pending.m_number != 0;
    if (is_waiting) next_tick = base::Clock::now() + kTickPeriod;
    for (const RepeatedNotice &notice : m_notices) {
      next_tick = std::min(next_tick,
                           notice.m_reported + kNoticeRepeats[notice.m_sent]);
    }
    net::ExpireAt(m_timer.get(), next_tick);
    net::Await([this](auto handler) { m_timer->async_wait(handler); });
  }
}

NetworkLink::NetworkLink(NetworkLinkOptions options, ControlLinkEvents events)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(events))) {}

NetworkLink::~NetworkLink() = default;

base::Result<void> NetworkLink::Listen() {
  base::Result<void> listening = m_impl->m_transport.Listen();
  if (!listening) return listening;
  net::Endpoint advertise = m_impl->m_options.m_advertise;
  net::Endpoint bound = m_impl->m_transport.LocalEndpoint();
  if (advertise.m_address.empty()) advertise.m_address = bound.m_address;
  if (advertise.m_port == 0) advertise.m_port = bound.m_port;
  gen::NodeRecord node = m_impl->m_options.m_node;
  node.set_message_address(advertise.ToString());
  std::vector<std::string> controls;
  for (const net::Endpoint &control : m_impl->m_options.m_control_endpoints) {
    controls.push_back(control.ToString());
  }
  member::InitializeFollower(&m_impl->m_follower, node, std::move(controls),
                             base::Clock::now());
  return {};
}

net::Endpoint NetworkLink::MessageEndpoint() const {
  return m_impl->m_transport.LocalEndpoint();
}

void NetworkLink::Run() {
  m_impl->m_timer =
      std::make_unique<boost::asio::steady_timer>(net::CurrentIoContext());
  {
    std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->m_io_context = &net::CurrentIoContext();
    for (std::function<void()> &task : m_impl->m_early_tasks) {
      boost::asio::post(*m_impl->m_io_context, std::move(task));
    }
    m_impl->m_early_tasks.clear();
  }
  boost::fibers::fiber timer([this] { m_impl->RunTimer(); });
  m_impl->m_transport.Run(
      [this](const std::string &message) { m_impl->HandleMessage(message); });
  timer.join();
  {
    std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->m_io_context = nullptr;
    m_impl->m_has_ended = true;
  }
  m_impl->m_timer.reset();
}

void NetworkLink::Stop() {
  m_impl->m_transport.Stop();
  m_impl->Post([impl = m_impl.get()] {
    impl->m_stopped = true;
    impl->m_timer->cancel();
  });
}

void NetworkLink::SetPartition(const std::set<std::string> &addresses) {
  m_impl->Post([impl = m_impl.get(), addresses] {
    impl->m_transport.SetDropFilter([addresses](net::MessageDirection direction,
                                                const net::Endpoint &peer,
                                                const std::string &message) {
      if (direction == net::MessageDirection::kSend) {
        return addresses.contains(peer.ToString());
      }
      gen::Envelope envelope;
      return envelope.ParseFromString(message) &&
             addresses.contains(envelope.from());
    });
  });
}

config::CatalogPtr NetworkLink::GetCatalog() const {
  std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  return m_impl->m_catalog;
}

bool NetworkLink::IsFresh(base::TimePoint now) const {
  base::TimePoint::rep confirmed = m_impl->m_confirmed_at;
  if (confirmed == kNeverConfirmed) return false;
  base::TimePoint confirmed_at{base::Duration(confirmed)};
  return now - confirmed_at < m_impl->m_options.m_member.m_lease;
}

void NetworkLink::ReportUpstream(const gen::UpstreamRecord &record) {
  m_impl->Post([impl = m_impl.get(), record] {
    if (record.state() == gen::UPSTREAM_GONE) {
      impl->m_announced.erase(record.upstream());
    } else {
      impl->m_announced[record.upstream()] = record;
    }
    member::QueueReport(&impl->m_follower, record, base::Clock::now());
    if (record.state() == gen::UPSTREAM_LEAVING) {
      impl->m_notices.push_back({record, base::Clock::now()});
    }
    impl->Tick();
    impl->m_timer->cancel();
  });
}

void NetworkLink::RequestActivation(const gen::ActivationRequest &request) {
  m_impl->Post([impl = m_impl.get(), request] {
    gen::MemberMessage message;
    *message.mutable_wake_request() = request;
    impl->Send(member::GetLeaderAddress(impl->m_follower), std::move(message));
  });
}

std::vector<gen::NodeRecord> NetworkLink::GetNodes() const {
  std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  return m_impl->m_nodes;
}

void NetworkLink::BeginLeaving() {
  m_impl->Post([impl = m_impl.get()] {
    impl->m_follower.m_node.set_is_leaving(true);
    member::RequestConfirm(&impl->m_follower, base::Clock::now());
    impl->Tick();
  });
}

}  // namespace wasabiwind::entry
