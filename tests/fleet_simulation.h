/** @file fleet_simulation.h Control hosts and entry hosts that exchange facts
 * in virtual time.
 *
 * Runs the real FactExchange of each control host and the real Follower of each
 * entry host. Links have delays and losses, hosts may freeze or restart, and
 * each control host handles one message after another, with a cost for each, so
 * that too many messages delay all of them.
 */

#ifndef WASABIWIND_TESTS_FLEET_SIMULATION_H_
#define WASABIWIND_TESTS_FLEET_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/random_func.h"
#include "fleet_control/fact_exchange.h"

namespace wasabiwind::fleet_control {

struct SimulationOptions {
  int m_entry_hosts = 6;
  int m_control_hosts = 3;
  int m_upstreams = 20;
  int m_regions = 3;
  int m_domains_per_region = 2;
  std::uint64_t m_seed = 1;
  double m_loss = 0;  ///< share of messages that are lost
  /** Time for which a control host handles one message: its processor share
   * makes 0.1 ms of work last longer. */
  std::chrono::microseconds m_receive_cost{670};
  std::chrono::microseconds m_send_cost{200};
  /** Further delay of messages from the second control host to entry hosts. */
  base::milliseconds m_slow_delay{0};
  // Planted faults.
  bool m_acknowledges_early = false;  ///< control hosts don't wait for theirs
};

/** Messages and bytes of one host. */
struct Traffic {
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::uint64_t m_bytes = 0;  ///< sent and received
};

class FleetSimulation {
 public:
  explicit FleetSimulation(const SimulationOptions &options)
      : m_options(options), m_random{options.m_seed} {
    for (int i = 0; i < options.m_control_hosts; ++i) AddControl(i);
    for (int i = 0; i < options.m_entry_hosts; ++i) AddEntry(i);
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i) seeds.push_back(m_controls[i]->m_endpoint);
    for (auto &control : m_controls) {
      control->m_exchange->SetSeeds({seeds.begin(), seeds.end()});
    }
    for (auto &entry : m_entries) {
      entry->m_follower.m_seeds = {seeds.begin(), seeds.end()};
    }
  }

  base::TimePoint Now() const { return m_now; }

  /** Plays some time in steps of 5 ms. */
  void Run(base::milliseconds time) {
    base::TimePoint end = m_now + time;
    while (m_now < end) {
      m_now += kStep;
      Deliver();
      for (auto &control : m_controls) StepControl(control.get());
      for (auto &entry : m_entries) StepEntry(entry.get());
    }
  }

  /** Plays until a condition holds. @return the time it took, or the limit */
  base::milliseconds RunUntil(const std::function<bool()> &condition,
                              base::milliseconds limit) {
    base::TimePoint start = m_now;
    while (!condition() && m_now < start + limit) Run(kStep);
    return std::chrono::duration_cast<base::milliseconds>(m_now - start);
  }

  /** Reports an upstream to the control host of its domain. */
  ReportOutcome Report(int upstream, gen::UpstreamState state) {
    gen::UpstreamReport report;
    report.set_id("i-" + std::to_string(upstream));
    report.set_born_ms(1);
    report.set_report_number(++m_reports[upstream]);
    report.set_service("s");
    report.set_address("10.2.0.1:" + std::to_string(1'000 + upstream));
    report.set_state(state);
    report.set_slots(8);
    for (int model = 0; model < 3; ++model) {
      gen::ResidentModel *held = report.add_models();
      held->set_name("model-" + std::to_string((upstream + model) % 60));
      for (int a = 0; a < 3; ++a) held->add_adapters("a" + std::to_string(a));
    }
    return GetReporter(upstream)->RecordUpstream(report, m_now);
  }

  FactExchange *GetReporter(int upstream) {
    return m_controls[upstream % m_controls.size()]->m_exchange.get();
  }

  /** Reports all upstreams once in 1.2 s, with a change of what some hold. */
  void RunWithHeartbeats(base::milliseconds time) {
    base::TimePoint end = m_now + time;
    while (m_now < end) {
      Run(base::milliseconds(100));
      for (int i = 0; i < m_options.m_upstreams; ++i) {
        bool is_due = i % 12 == m_beat % 12;
        if (is_due && !m_gone.contains(i)) Report(i, gen::UPSTREAM_READY);
      }
      ++m_beat;
    }
  }

  /** @return how many entry hosts have heard of the state of an upstream. */
  int CountKnowing(int upstream, gen::UpstreamState state) const {
    int count = 0;
    for (const auto &entry : m_entries) {
      auto found = entry->m_follower.m_view.m_upstreams.find(
          "i-" + std::to_string(upstream));
      bool knows = found != entry->m_follower.m_view.m_upstreams.end() &&
                   found->second.m_report.state() == state;
      if (knows) ++count;
    }
    return count;
  }

  /** @return whether each entry host knows all upstreams, all entry hosts of
   * its region and the digests of all regions. */
  bool DoAllKnowAll() const {
    for (const auto &entry : m_entries) {
      const fleet::FleetView &view = entry->m_follower.m_view;
      if (static_cast<int>(view.m_upstreams.size()) < m_options.m_upstreams) {
        return false;
      }
      int neighbours = 0;
      for (const auto &other : m_entries) {
        if (other->m_region == entry->m_region) ++neighbours;
      }
      if (static_cast<int>(view.m_entry_hosts.size()) < neighbours) {
        return false;
      }
      std::uint32_t total = 0;
      for (const auto &[region, digest] : view.m_regions) {
        total += digest.entry_host_count();
      }
      if (total < static_cast<std::uint32_t>(m_options.m_entry_hosts)) {
        return false;
      }
    }
    return true;
  }

  void FreezeControl(int index, bool is_frozen) {
    m_controls[index]->m_is_frozen = is_frozen;
  }

  /** Starts all entry hosts anew, within 0.3 s. */
  void RestartEntryHosts() {
    for (auto &entry : m_entries) {
      fleet::Follower fresh = MakeFollower(*entry);
      fresh.m_seeds = entry->m_follower.m_seeds;
      entry->m_follower = std::move(fresh);
      entry->m_starts_at = m_now + GetStartDelay();
    }
  }

  /** Starts a control host anew, with an empty view. */
  void RestartControl(int index) {
    Control &control = *m_controls[index];
    control.m_exchange.reset();
    control.m_inbox.clear();
    control.m_busy_until = m_now;
    MakeExchange(&control);
    std::set<std::string> seeds;
    for (int i = 0; i < 3; ++i) seeds.insert(m_controls[i]->m_endpoint);
    control.m_exchange->SetSeeds(std::move(seeds));
  }

  /** @return how many entry hosts follow a control host. */
  int CountFollowers(int index) const {
    int count = 0;
    for (const auto &entry : m_entries) {
      if (entry->m_follower.m_choice.m_current ==
          m_controls[index]->m_endpoint) {
        ++count;
      }
    }
    return count;
  }

  void ResetTraffic() { m_traffic.clear(); }

  /** @return the highest traffic of all control hosts. */
  Traffic GetMostControlTraffic() const {
    Traffic most;
    for (const auto &control : m_controls) {
      auto found = m_traffic.find(control->m_endpoint);
      if (found == m_traffic.end()) continue;
      most.m_sent = std::max(most.m_sent, found->second.m_sent);
      most.m_received = std::max(most.m_received, found->second.m_received);
      most.m_bytes = std::max(most.m_bytes, found->second.m_bytes);
    }
    return most;
  }

  std::uint64_t GetMostEntryBytes() const {
    std::uint64_t most = 0;
    for (const auto &entry : m_entries) {
      auto found = m_traffic.find(entry->m_endpoint);
      if (found != m_traffic.end())
        most = std::max(most, found->second.m_bytes);
    }
    return most;
  }

  /** @return how far the control host with most work is behind. */
  base::milliseconds GetMostBacklog() const {
    base::Duration most{0};
    for (const auto &control : m_controls) {
      if (control->m_is_frozen) continue;
      most = std::max(most, control->m_busy_until - m_now);
    }
    return std::chrono::duration_cast<base::milliseconds>(most);
  }

  std::set<int> m_gone;  ///< upstreams that don't report any more

 private:
  static constexpr base::milliseconds kStep{5};
  static constexpr base::milliseconds kNearDelay{1};
  static constexpr base::milliseconds kFarDelay{12};
  static constexpr base::milliseconds kEntryTickPeriod{50};
  static constexpr base::milliseconds kMaxStartDelay{300};

  struct Host {
    std::string m_endpoint;
    std::string m_region;
    std::string m_domain;
  };

  struct Message {
    base::TimePoint m_at;
    std::uint64_t m_number;
    std::string m_from;
    std::string m_to;
    std::string m_bytes;

    bool operator>(const Message &other) const {
      return std::tie(m_at, m_number) > std::tie(other.m_at, other.m_number);
    }
  };

  struct Control : Host {
    std::unique_ptr<FactExchange> m_exchange;
    std::deque<Message> m_inbox;
    base::TimePoint m_busy_until;
    base::TimePoint m_ticked_at;
    base::TimePoint m_peers_pushed_at;
    base::TimePoint m_entries_pushed_at;
    bool m_is_frozen = false;
  };

  struct Entry : Host {
    std::string m_name;
    fleet::Follower m_follower;
    base::TimePoint m_starts_at;
    base::TimePoint m_ticked_at;
  };

  static std::string MakeEndpoint(int kind, int index) {
    return "10." + std::to_string(kind) + "." + std::to_string(index / 200) +
           "." + std::to_string(index % 200) + ":7000";
  }

  void Place(int index, Host *host) const {
    int domains = m_options.m_regions * m_options.m_domains_per_region;
    int domain = index % domains;
    host->m_region = "r" + std::to_string(domain % m_options.m_regions);
    host->m_domain = "d" + std::to_string(domain);
  }

  base::milliseconds GetStartDelay() {
    return base::milliseconds(base::NextRandomBelow(
        &m_random, static_cast<std::uint64_t>(kMaxStartDelay.count())));
  }

  void AddControl(int index) {
    auto control = std::make_unique<Control>();
    control->m_endpoint = MakeEndpoint(0, index);
    Place(index, control.get());
    MakeExchange(control.get());
    m_regions[control->m_endpoint] = control->m_region;
    m_controls_by_endpoint[control->m_endpoint] = control.get();
    m_controls.push_back(std::move(control));
  }

  void MakeExchange(Control *control) {
    gen::ControlHost self;
    self.set_name(control->m_endpoint);
    self.set_endpoint(control->m_endpoint);
    self.set_domain(control->m_domain);
    FactExchange::Hooks hooks;
    hooks.m_encode = [](const gen::FleetMessage &message) {
      return message.SerializeAsString();
    };
    hooks.m_send = [this, control](const std::string &to,
                                   const std::string &bytes) {
      control->m_busy_until =
          std::max(control->m_busy_until, m_now) + m_options.m_send_cost;
      Send(control->m_endpoint, to, bytes, control->m_busy_until);
    };
    hooks.m_get_header = [this] {
      FactUpdateHeader header;
      header.m_leader_term = 1;
      header.m_leader_endpoint = MakeEndpoint(0, 0);
      return header;
    };
    hooks.m_get_state = [this]() -> const gen::StoredRouteTable & {
      return m_state;
    };
    hooks.m_list_members = [] { return std::set<std::string>(); };
    hooks.m_on_upstreams_changed = [] {};
    control->m_exchange = std::make_unique<FactExchange>(
        self, base::milliseconds(1'200), std::move(hooks));
    gen::Fact fact;
    *fact.mutable_control() = self;
    control->m_exchange->Publish(fact, m_now);
  }

  void AddEntry(int index) {
    auto entry = std::make_unique<Entry>();
    entry->m_endpoint = MakeEndpoint(1, index);
    entry->m_name = "e" + std::to_string(index);
    Place(index, entry.get());
    entry->m_follower = MakeFollower(*entry);
    entry->m_starts_at = m_now + GetStartDelay();
    m_regions[entry->m_endpoint] = entry->m_region;
    m_entries_by_endpoint[entry->m_endpoint] = entry.get();
    m_entries.push_back(std::move(entry));
  }

  fleet::Follower MakeFollower(const Entry &entry) {
    fleet::Follower follower;
    follower.m_mode = fleet::FollowMode::kNearest;
    follower.m_own_endpoint = entry.m_endpoint;
    follower.m_own_name = entry.m_name;
    follower.m_own_domain = entry.m_domain;
    for (int i = 0; i < m_options.m_regions * m_options.m_domains_per_region;
         ++i) {
      Host host;
      Place(i, &host);
      if (host.m_region == entry.m_region) {
        follower.m_near_domains.insert(host.m_domain);
      }
    }
    gen::EntryHost *self = follower.m_self.mutable_entry();
    self->set_name(entry.m_name);
    self->set_born_ms(++m_last_start);
    self->set_report_number(1);
    self->set_endpoint(entry.m_endpoint);
    self->set_caller_address(entry.m_endpoint);
    self->set_region(entry.m_region);
    self->set_domain(entry.m_domain);
    self->set_state(gen::ENTRY_SERVING);
    return follower;
  }

  void Count(const std::string &host, bool is_sent, std::size_t bytes) {
    Traffic &traffic = m_traffic[host];
    ++(is_sent ? traffic.m_sent : traffic.m_received);
    traffic.m_bytes += bytes;
  }

  void Send(const std::string &from, const std::string &to,
            const std::string &bytes, base::TimePoint leaves_at) {
    Count(from, /*is_sent=*/true, bytes.size());
    if (base::NextRandomUnit(&m_random) < m_options.m_loss) return;
    base::milliseconds delay =
        m_regions[from] == m_regions[to] ? kNearDelay : kFarDelay;
    bool is_slow =
        from == m_controls[1]->m_endpoint && m_entries_by_endpoint.contains(to);
    if (is_slow) delay += m_options.m_slow_delay;
    m_messages.push(
        Message{leaves_at + delay, ++m_last_message, from, to, bytes});
  }

  void Deliver() {
    while (!m_messages.empty() && m_messages.top().m_at <= m_now) {
      Message message = m_messages.top();
      m_messages.pop();
      auto control = m_controls_by_endpoint.find(message.m_to);
      if (control == m_controls_by_endpoint.end()) {
        DeliverToEntry(message);
      } else {
        control->second->m_inbox.push_back(std::move(message));
      }
    }
    for (auto &control : m_controls) HandleInbox(control.get());
  }

  /** Handles the messages of a control host in their order, as far as its
   * processor time goes. */
  void HandleInbox(Control *control) {
    while (!control->m_is_frozen && !control->m_inbox.empty() &&
           control->m_busy_until <= m_now) {
      Message message = std::move(control->m_inbox.front());
      control->m_inbox.pop_front();
      DeliverToControl(control, message);
    }
  }

  void DeliverToControl(Control *control, const Message &message) {
    Count(message.m_to, /*is_sent=*/false, message.m_bytes.size());
    control->m_busy_until = std::max(control->m_busy_until, message.m_at) +
                            m_options.m_receive_cost;
    gen::FleetMessage body;
    body.ParseFromString(message.m_bytes);
    if (body.has_follow()) {
      control->m_exchange->HandleFollow(message.m_from, body.follow(), m_now);
      return;
    }
    if (m_options.m_acknowledges_early && body.news().must_acknowledge()) {
      AcknowledgeEarly(*control, message.m_from, body.news());
    }
    control->m_exchange->HandleFactUpdate(message.m_from, body.news(), m_now);
  }

  /** Planted fault: confirms facts before this host's followers have them. */
  void AcknowledgeEarly(const Control &control, const std::string &to,
                        const gen::FactUpdate &update) {
    gen::FleetMessage message;
    gen::FollowRequest *request = message.mutable_follow();
    request->mutable_control()->set_name(control.m_endpoint);
    request->mutable_control()->set_endpoint(control.m_endpoint);
    request->mutable_control()->set_domain(control.m_domain);
    request->set_publisher_epoch(update.publisher_epoch());
    request->set_acked_number(update.last_number());
    request->set_settled_number(update.last_number());
    Send(control.m_endpoint, to, message.SerializeAsString(), m_now);
  }

  void DeliverToEntry(const Message &message) {
    Entry *entry = m_entries_by_endpoint.at(message.m_to);
    if (m_now < entry->m_starts_at) return;
    Count(message.m_to, /*is_sent=*/false, message.m_bytes.size());
    gen::FleetMessage body;
    body.ParseFromString(message.m_bytes);
    fleet::FactUpdateResult result = fleet::HandleFactUpdate(
        &entry->m_follower, message.m_from, body.news(), m_now);
    SendAll(*entry, result.m_messages);
  }

  void SendAll(const Entry &entry,
               const std::vector<fleet::OutMessage> &messages) {
    for (const fleet::OutMessage &out : messages) {
      Send(entry.m_endpoint, out.m_to, out.m_message.SerializeAsString(),
           m_now);
    }
  }

  void StepControl(Control *control) {
    if (control->m_is_frozen || control->m_busy_until > m_now + kStep) return;
    FactExchange &exchange = *control->m_exchange;
    if (m_now >= control->m_ticked_at + Registry::kTickPeriod) {
      control->m_ticked_at = m_now;
      exchange.Tick(m_now);
    }
    Push(exchange.GetPeerPublisher(), &control->m_peers_pushed_at);
    Push(exchange.GetEntryPublisher(), &control->m_entries_pushed_at);
  }

  void Push(Publisher *publisher, base::TimePoint *pushed_at) {
    bool is_due = publisher->HasUrgentChange() ||
                  m_now >= *pushed_at + publisher->GetPushPause();
    if (!is_due) return;
    *pushed_at = m_now;
    publisher->PushDue(m_now);
  }

  void StepEntry(Entry *entry) {
    bool is_due = m_now >= entry->m_starts_at &&
                  m_now >= entry->m_ticked_at + kEntryTickPeriod;
    if (!is_due) return;
    entry->m_ticked_at = m_now;
    SendAll(*entry, fleet::TickFollower(&entry->m_follower, m_now));
  }

  SimulationOptions m_options;
  base::Random m_random;
  base::TimePoint m_now = base::TimePoint(std::chrono::seconds(100));
  std::uint64_t m_last_message = 0;
  std::uint64_t m_last_start = 0;
  int m_beat = 0;
  gen::StoredRouteTable m_state;
  std::map<int, std::uint64_t> m_reports;
  std::vector<std::unique_ptr<Control>> m_controls;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::map<std::string, Control *> m_controls_by_endpoint;
  std::map<std::string, Entry *> m_entries_by_endpoint;
  std::map<std::string, std::string> m_regions;
  std::map<std::string, Traffic> m_traffic;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_TESTS_FLEET_SIMULATION_H_
