/** @file quota_simulation.h Quotas over control hosts and entry hosts, in
 * virtual time.
 *
 * Runs the real QuotaService of each control host; entry hosts follow the same
 * steps as gateway/team_charge.cpp. Messages are delayed and lost. A model of
 * the control group elects leaders.
 */

#ifndef WASABIWIND_TESTS_QUOTA_SIMULATION_H_
#define WASABIWIND_TESTS_QUOTA_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "fleet_control/quota_service.h"
#include "quota/charge_func.h"

namespace wasabiwind::quota {

using base::milliseconds;
using base::TimePoint;

struct SimulationOptions {
  int m_entry_hosts = 86;
  int m_control_hosts = 6;
  int m_teams = 16;
  int m_hot_teams = 0;  ///< the smallest, the largest and the next ones
  double m_hot_factor = 6;
  double m_burst_s = 1;  ///< burst of each team, in seconds of its rate
  double m_loss = 0;     ///< share of messages that are lost
  std::uint64_t m_seed = 1;
  // Planted fault: a leader goes on granting after its lease has ended.
  bool m_keeps_lease = false;
};

/** Requests of one kind. */
struct RequestKind {
  double m_cost = 0;
  double m_per_s = 0;  ///< of all teams, at 86 entry hosts
  milliseconds m_charge_wait{0};
};

/** What came to requests of teams that asked no more than their quota. */
struct Outcomes {
  int m_owed = 0;
  int m_exhausted = 0;
  int m_unavailable = 0;

  void Add(const Outcomes &other) {
    m_owed += other.m_owed;
    m_exhausted += other.m_exhausted;
    m_unavailable += other.m_unavailable;
  }

  double GetRefusedShare() const {
    return m_owed == 0 ? 0 : 1.0 * (m_exhausted + m_unavailable) / m_owed;
  }
};

class QuotaSimulation {
 public:
  explicit QuotaSimulation(const SimulationOptions &options)
      : m_options(options), m_random{options.m_seed} {
    m_settings.m_slack = 110'000;
    DeclareTeams();
    for (int i = 0; i < options.m_control_hosts; ++i) {
      m_controls.push_back(std::make_unique<Control>());
      m_controls.back()->m_name = "c" + std::to_string(i);
      m_known.insert(m_controls.back()->m_name);
      StartControl(i, milliseconds(0));
    }
    m_entries.resize(static_cast<std::size_t>(options.m_entry_hosts));
    for (int team = 0; team < options.m_teams; ++team) {
      for (const RequestKind &kind : kKinds) ScheduleArrival(team, kind);
    }
    StepGroup();
    // Buckets are filled and entry hosts settled before anything is counted.
    Run(base::seconds(15));
    m_counted_from = m_now;
  }

  TimePoint Now() const { return m_now; }
  int Leader() const { return m_leader; }

  void Run(base::Duration time) {
    TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.top().m_at <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
    }
    m_now = end;
  }

  /** The hot teams begin to send many times their usual. */
  void HeatUp() {
    for (int i = 0; i < m_options.m_hot_teams; ++i) {
      int hot = i == 0 ? m_options.m_teams - 1 : i - 1;
      m_teams[static_cast<std::size_t>(hot)].m_is_hot = true;
    }
    m_hot_from = m_now;
  }

  /** Stops a control host's processor; messages wait meanwhile. */
  void Freeze(int control, base::Duration time) {
    m_controls[control]->m_frozen_until = m_now + time;
  }

  /** Cuts a control host off from the others, not from entry hosts. */
  void Cut(int control, base::Duration time) {
    m_controls[control]->m_cut_until = m_now + time;
  }

  /** Kills a control host; it starts without a table. */
  void Restart(int control, base::Duration down) {
    Control *host = m_controls[control].get();
    host->m_service.reset();
    host->m_down_until = m_now + down;
    host->m_lease_until = TimePoint();
    At(host->m_down_until,
       [this, control] { StartControl(control, Delay(100, 700)); });
  }

  /** Kills everything at once. */
  void RestartAll(base::Duration down) {
    for (int i = 0; i < m_options.m_control_hosts; ++i) Restart(i, down);
    m_charges.clear();
    for (ChargeHosts &hosts : m_entries) hosts = ChargeHosts();
  }

  /** @return the largest use in a window, as a share of what the bound allows.
   */
  double GetLargestUse() const {
    double largest = 0;
    for (std::size_t team = 0; team < m_teams.size(); ++team) {
      double bound = GetQuota(team) * 1.1 + 110'000;
      double sum = 0;
      std::size_t first = 0;
      const std::vector<Use> &uses = m_teams[team].m_uses;
      for (const Use &use : uses) {
        sum += use.m_cost;
        for (; uses[first].m_at <= use.m_at - kWindow; ++first) {
          sum -= uses[first].m_cost;
        }
        largest = std::max(largest, sum / bound);
      }
    }
    return largest;
  }

  /** @return outcomes of requests that came in a time while their team had
   * asked no more than its quota in the window before. */
  Outcomes GetOutcomes(bool of_hot_teams, TimePoint from, TimePoint to) const {
    Outcomes outcomes;
    for (std::size_t team = 0; team < m_teams.size(); ++team) {
      if (m_teams[team].m_is_hot != of_hot_teams) continue;
      double sum = 0;
      std::size_t first = 0;
      const std::vector<Offer> &offers = m_teams[team].m_offers;
      for (const Offer &offer : offers) {
        sum += offer.m_cost;
        for (; offers[first].m_at <= offer.m_at - kWindow; ++first) {
          sum -= offers[first].m_cost;
        }
        bool is_owed = sum <= GetQuota(team) && offer.m_at >= from &&
                       offer.m_at < to && offer.m_is_over;
        if (!is_owed) continue;
        ++outcomes.m_owed;
        if (offer.m_outcome == gen::QUOTA_EXHAUSTED) ++outcomes.m_exhausted;
        if (offer.m_outcome == gen::QUOTA_UNKNOWN) ++outcomes.m_unavailable;
      }
    }
    return outcomes;
  }

  Outcomes GetOutcomes(bool of_hot_teams) const {
    return GetOutcomes(of_hot_teams, m_counted_from, m_now);
  }

  /** @return what the hot teams used, as a share of their rate. */
  double GetHotUse() const {
    double used = 0;
    double rate = 0;
    for (const TeamState &team : m_teams) {
      if (!team.m_is_hot) continue;
      rate += team.m_rate;
      for (const Use &use : team.m_uses) {
        if (use.m_at >= m_hot_from) used += use.m_cost;
      }
    }
    if (rate == 0) return 0;
    return used / rate /
           std::chrono::duration<double>(m_now - m_hot_from).count();
  }

  double GetMessagesPerS() const {
    return static_cast<double>(m_message_count) /
           std::chrono::duration<double>(m_now - TimePoint(kStart)).count();
  }

 private:
  static constexpr base::seconds kStart{1'000};
  static constexpr base::seconds kWindow{8};
  static constexpr double kFloorRate = 29'000;
  static constexpr double kUsualShare = 1 / 1.8;
  static constexpr double kSkew = 1.2;
  static constexpr double kNotRunShare = 0.02;
  static constexpr double kRepeatShare = 0.02;
  static constexpr milliseconds kLease{900};
  static constexpr milliseconds kGroupStep{10};
  static constexpr milliseconds kTick{100};
  static constexpr milliseconds kAskNextAfter{150};
  static constexpr milliseconds kAskAgainAfter{400};
  static constexpr milliseconds kAskAllAgainAfter{200};
  static constexpr std::size_t kMaxAskedHosts = 3;
  static inline const std::vector<RequestKind> kKinds = {
      {9'200, 56, milliseconds(1'250)},
      {1'000, 41, milliseconds(2'000)},
      {200, 41, milliseconds(200)}};

  struct Event {
    TimePoint m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_run;
    bool operator<(const Event &other) const {
      return std::tie(other.m_at, other.m_order) < std::tie(m_at, m_order);
    }
  };
  struct Use {
    TimePoint m_at;
    double m_cost = 0;
  };
  struct Offer {
    TimePoint m_at;
    double m_cost = 0;
    gen::QuotaOutcome m_outcome = gen::QUOTA_UNKNOWN;
    bool m_is_over = false;
  };
  struct TeamState {
    std::string m_name;
    double m_rate = 0;
    double m_burst = 0;
    bool m_is_hot = false;
    std::vector<Use> m_uses;
    std::vector<Offer> m_offers;
  };
  struct Control {
    std::string m_name;
    std::unique_ptr<fleet_control::QuotaService> m_service;
    routes::RouteIndexPtr m_routes;
    TimePoint m_frozen_until;
    TimePoint m_cut_until;
    TimePoint m_down_until;
    TimePoint m_lease_until;
    std::uint64_t m_term = 0;
    std::uint64_t m_start = 0;  ///< counts its processes
  };
  struct Charge {
    int m_entry = 0;
    int m_team = 0;
    std::size_t m_offer = 0;
    double m_cost = 0;
    std::set<std::string> m_asked;
    std::string m_last;
    bool m_is_pending = false;  ///< a host waits for its credit
    std::string m_pending_at;   ///< that host
    int m_step = 0;             ///< counts the hosts that were asked
    TimePoint m_ends_at;
  };

  double GetQuota(std::size_t team) const {
    return m_teams[team].m_rate * 8 + m_teams[team].m_burst;
  }

  milliseconds Delay(std::uint64_t from, std::uint64_t to) {
    return milliseconds(static_cast<std::int64_t>(
        from + NextRandomBelow(&m_random, to - from)));
  }

  void At(TimePoint at, std::function<void()> run) {
    m_events.push(Event{at, ++m_last_order, std::move(run)});
  }

  /** Quotas are 1.8 times the usual demand, and at least the floor. */
  void DeclareTeams() {
    double total = 0;
    for (const RequestKind &kind : kKinds) total += kind.m_cost * kind.m_per_s;
    total *= m_options.m_entry_hosts / 86.0 / kUsualShare;
    double weights = 0;
    for (int i = 0; i < m_options.m_teams; ++i)
      weights += std::pow(i + 1, -kSkew);
    gen::RouteTable table;
    table.set_version(1);
    for (int i = 0; i < m_options.m_teams; ++i) {
      TeamState team;
      team.m_name = "team-" + std::to_string(i);
      team.m_rate =
          std::max(kFloorRate, total * std::pow(i + 1, -kSkew) / weights);
      team.m_burst = team.m_rate * m_options.m_burst_s;
      gen::Team *declared = table.add_teams();
      declared->set_name(team.m_name);
      declared->set_unit(gen::QUOTA_TOKENS);
      declared->set_rate_per_second(team.m_rate);
      declared->set_burst(team.m_burst);
      m_teams.push_back(std::move(team));
    }
    m_table = routes::MakeRouteIndex(std::move(table));
  }

  void StartControl(int index, base::Duration until_table) {
    Control *control = m_controls[static_cast<std::size_t>(index)].get();
    control->m_routes = routes::MakeRouteIndex(gen::RouteTable());
    fleet_control::QuotaService::Hooks hooks;
    hooks.m_send = [this, control](const std::string &to,
                                   const gen::FleetMessage &message) {
      Send(control->m_name, to, message);
    };
    hooks.m_get_other_leader = [this, control]() -> std::string {
      bool is_other = m_leader >= 0 && m_controls[m_leader].get() != control;
      return is_other ? m_controls[m_leader]->m_name : "";
    };
    hooks.m_holds_lease = [this, control](TimePoint now) {
      if (m_options.m_keeps_lease && control->m_term > 0) return true;
      return now < control->m_lease_until;
    };
    hooks.m_get_term = [control] { return control->m_term; };
    hooks.m_get_routes = [control] { return control->m_routes; };
    control->m_service =
        std::make_unique<fleet_control::QuotaService>(m_settings, hooks);
    std::uint64_t start = ++control->m_start;
    At(m_now + until_table, [this, control, start] {
      if (control->m_start != start || !control->m_service) return;
      control->m_routes = m_table;
      control->m_service->HandleNewTable(m_now);
    });
    At(m_now + Delay(0, 100), [this, control, start] { Tick(control, start); });
  }

  void Tick(Control *control, std::uint64_t start) {
    if (control->m_start != start || !control->m_service) return;
    if (m_now >= control->m_frozen_until) control->m_service->Tick(m_now);
    At(std::max(m_now, control->m_frozen_until) + kTick,
       [this, control, start] { Tick(control, start); });
  }

  bool IsSound(const Control &control) const {
    return control.m_service && m_now >= control.m_frozen_until &&
           m_now >= control.m_cut_until;
  }

  /** Renews the leader's lease, or elects another one after it has ended. */
  void StepGroup() {
    At(m_now + kGroupStep, [this] { StepGroup(); });
    if (m_leader >= 0 && IsSound(*m_controls[m_leader]) &&
        m_leader_start == m_controls[m_leader]->m_start) {
      m_controls[m_leader]->m_lease_until = m_now + kLease;
      m_elects_at = m_now + kLease + Delay(100, 700);
      return;
    }
    if (m_now < m_elects_at) return;
    std::vector<int> sound;
    for (int i = 0; i < m_options.m_control_hosts; ++i) {
      if (IsSound(*m_controls[i]) && m_controls[i]->m_routes == m_table) {
        sound.push_back(i);
      }
    }
    bool is_quorum =
        2 * static_cast<int>(sound.size()) > m_options.m_control_hosts;
    if (m_term > 0 && !is_quorum) return;
    m_leader =
        sound.empty() ? 0 : sound[NextRandomBelow(&m_random, sound.size())];
    m_controls[m_leader]->m_term = ++m_term;
    m_leader_start = m_controls[m_leader]->m_start;
    m_controls[m_leader]->m_lease_until = m_now + kLease;
    m_elects_at = m_now + kLease + milliseconds(100);
  }

  Control *FindControl(const std::string &name) {
    for (auto &control : m_controls) {
      if (control->m_name == name) return control.get();
    }
    return nullptr;
  }

  void Send(const std::string &from, const std::string &to,
            const gen::FleetMessage &message) {
    ++m_message_count;
    if (NextRandomUnit(&m_random) < m_options.m_loss) return;
    Control *sender = FindControl(from);
    Control *receiver = FindControl(to);
    bool is_cut =
        sender != nullptr && receiver != nullptr &&
        (m_now < sender->m_cut_until || m_now < receiver->m_cut_until);
    if (is_cut) return;
    At(m_now + Delay(1, 25),
       [this, from, to, message] { Receive(from, to, message); });
  }

  void Receive(const std::string &from, const std::string &to,
               const gen::FleetMessage &message) {
    Control *control = FindControl(to);
    if (control == nullptr) {
      HandleAnswer(from, message.quota_answer());
      return;
    }
    if (!control->m_service) return;
    if (m_now < control->m_frozen_until) {
      At(control->m_frozen_until,
         [this, from, to, message] { Receive(from, to, message); });
      return;
    }
    fleet_control::QuotaService *service = control->m_service.get();
    if (message.has_quota_query()) {
      service->HandleQuery(from, message.quota_query(), m_now);
    } else if (message.has_quota_refund()) {
      service->HandleRefund(message.quota_refund());
    } else if (message.has_credit_request()) {
      service->HandleCreditRequest(from, message.credit_request(), m_now);
    } else if (message.has_credit_grant()) {
      service->HandleGrant(message.credit_grant(), m_now);
    }
  }

  void ScheduleArrival(int team, const RequestKind &kind) {
    const TeamState &state = m_teams[static_cast<std::size_t>(team)];
    double usual = 0;
    for (const RequestKind &other : kKinds) {
      usual += other.m_per_s * other.m_cost;
    }
    double per_s = kind.m_per_s * state.m_rate * kUsualShare / usual;
    if (state.m_is_hot) per_s *= m_options.m_hot_factor;
    auto pause = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(
            NextRandomExponential(&m_random, 1 / per_s)));
    At(m_now + pause, [this, team, &kind] {
      Arrive(team, kind);
      ScheduleArrival(team, kind);
    });
  }

  void Arrive(int team, const RequestKind &kind) {
    TeamState *state = &m_teams[static_cast<std::size_t>(team)];
    std::uint64_t number = ++m_last_charge;
    Charge &charge = m_charges[number];
    charge.m_entry =
        static_cast<int>(NextRandomBelow(&m_random, m_entries.size()));
    charge.m_team = team;
    charge.m_offer = state->m_offers.size();
    charge.m_cost = kind.m_cost;
    charge.m_ends_at = m_now + kind.m_charge_wait;
    state->m_offers.push_back(Offer{m_now, kind.m_cost});
    AskNext(number, 0);
  }

  gen::FleetMessage MakeQuery(const Charge &charge, std::uint64_t number) {
    gen::FleetMessage message;
    gen::QuotaQuery *query = message.mutable_quota_query();
    query->set_number(number);
    query->set_team(m_teams[static_cast<std::size_t>(charge.m_team)].m_name);
    query->set_cost(charge.m_cost);
    query->set_wait_ms(static_cast<std::uint32_t>(
        base::ToMilliseconds(charge.m_ends_at - m_now)));
    return message;
  }

  /** See Gateway::AwaitCharge. */
  void AskNext(std::uint64_t number, int step) {
    auto found = m_charges.find(number);
    if (found == m_charges.end() || found->second.m_step != step) return;
    Charge &charge = found->second;
    ++charge.m_step;
    ChargeHosts *hosts = &m_entries[static_cast<std::size_t>(charge.m_entry)];
    if (!charge.m_last.empty()) RecordSilentHost(hosts, charge.m_last, m_now);
    charge.m_last.clear();
    if (m_now >= charge.m_ends_at) {
      Finish(number, gen::QUOTA_UNKNOWN, "");
      return;
    }
    std::string host;
    if (charge.m_is_pending) {
      host = charge.m_pending_at;
    } else if (charge.m_asked.size() < kMaxAskedHosts) {
      std::string followed =
          m_controls[static_cast<std::size_t>(charge.m_entry) %
                     m_controls.size()]
              ->m_name;
      host = ChooseChargeHost(*hosts, followed, m_known, charge.m_asked,
                              NextRandom(&m_random), m_now);
    }
    charge.m_is_pending = false;
    TimePoint next = charge.m_ends_at;
    if (!host.empty()) {
      charge.m_asked.insert(host);
      charge.m_last = host;
      Send("e" + std::to_string(charge.m_entry), host,
           MakeQuery(charge, number));
      next = std::min(next, m_now + kAskNextAfter);
    } else {
      charge.m_asked.clear();
      next = std::min(next, m_now + kAskAllAgainAfter);
    }
    step = charge.m_step;
    At(next, [this, number, step] { AskNext(number, step); });
  }

  void HandleAnswer(const std::string &from, const gen::QuotaAnswer &answer) {
    auto found = m_charges.find(answer.number());
    if (found == m_charges.end()) {
      // Nobody waits any more, so the credit goes back.
      if (answer.outcome() == gen::QUOTA_CHARGED) {
        gen::FleetMessage message;
        message.mutable_quota_refund()->set_team(answer.team());
        message.mutable_quota_refund()->set_cost(answer.cost());
        Send("e0", from, message);
      }
      return;
    }
    RecordAnsweringHost(
        &m_entries[static_cast<std::size_t>(found->second.m_entry)], from);
    if (answer.outcome() == gen::QUOTA_UNKNOWN) {
      found->second.m_is_pending = false;
      bool is_declined = from == found->second.m_last;
      if (is_declined) AskNext(answer.number(), found->second.m_step);
      return;
    }
    if (answer.outcome() == gen::QUOTA_PENDING) {
      Charge &charge = found->second;
      charge.m_is_pending = true;
      charge.m_pending_at = from;
      charge.m_last.clear();
      std::uint64_t number = answer.number();
      int step = ++charge.m_step;
      At(std::min(charge.m_ends_at, m_now + kAskAgainAfter),
         [this, number, step] { AskNext(number, step); });
      return;
    }
    Finish(answer.number(), answer.outcome(), from);
  }

  void Finish(std::uint64_t number, gen::QuotaOutcome outcome,
              const std::string &by) {
    Charge charge = m_charges.at(number);
    m_charges.erase(number);
    TeamState *team = &m_teams[static_cast<std::size_t>(charge.m_team)];
    team->m_offers[charge.m_offer].m_outcome = outcome;
    team->m_offers[charge.m_offer].m_is_over = true;
    if (outcome != gen::QUOTA_CHARGED) return;
    std::string entry = "e" + std::to_string(charge.m_entry);
    double draw = NextRandomUnit(&m_random);
    if (draw < kNotRunShare) {
      At(m_now + milliseconds(50),
         [this, charge, by] { SendRefund(charge, by, milliseconds(50)); });
      return;
    }
    team->m_uses.push_back(Use{m_now, charge.m_cost});
    if (draw > 1 - kRepeatShare) {
      team->m_uses.push_back(Use{m_now, charge.m_cost});
      gen::FleetMessage message = MakeQuery(charge, ++m_last_charge);
      message.mutable_quota_query()->set_is_repeat(true);
      Send(entry, by, message);
    }
  }

  void SendRefund(const Charge &charge, const std::string &to,
                  milliseconds age) {
    gen::FleetMessage message;
    gen::QuotaRefund *refund = message.mutable_quota_refund();
    refund->set_team(m_teams[static_cast<std::size_t>(charge.m_team)].m_name);
    refund->set_cost(charge.m_cost);
    refund->set_age_ms(static_cast<std::uint32_t>(age.count()));
    Send("e" + std::to_string(charge.m_entry), to, message);
  }

  SimulationOptions m_options;
  QuotaSettings m_settings;
  base::Random m_random;
  TimePoint m_now{kStart};
  TimePoint m_counted_from;
  TimePoint m_hot_from;
  std::priority_queue<Event> m_events;
  std::uint64_t m_last_order = 0;
  std::uint64_t m_message_count = 0;
  std::vector<TeamState> m_teams;
  routes::RouteIndexPtr m_table;
  std::vector<std::unique_ptr<Control>> m_controls;
  std::set<std::string> m_known;
  std::vector<ChargeHosts> m_entries;
  std::map<std::uint64_t, Charge> m_charges;
  std::uint64_t m_last_charge = 0;
  int m_leader = -1;
  std::uint64_t m_leader_start = 0;
  std::uint64_t m_term = 0;
  TimePoint m_elects_at;
};

}  // namespace wasabiwind::quota

#endif  // WASABIWIND_TESTS_QUOTA_SIMULATION_H_
