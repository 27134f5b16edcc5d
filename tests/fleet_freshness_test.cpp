/** @file fleet_freshness_test.cpp Freshness of route tables under random
 * faults, in virtual time.
 */

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "fleet_control/freshness_service.h"

namespace wasabiwind::fleet_control {
namespace {

using base::milliseconds;
using base::seconds;

constexpr int kControlCount = 3;
constexpr int kEntryCount = 4;
constexpr milliseconds kRevocationTime{5'000};
constexpr milliseconds kStep{20};

/** A fault that is planted to show that the checks detect it. */
enum class Fault {
  kNone,
  kAgeFromArrival,   ///< the age counts from the arrival of the answer
  kIgnoreRelayAge,   ///< the age that the answer states isn't added
  kConfirmNoQuorum,  ///< a former leader confirms itself without a quorum
};

/** A process and its clock, which no other host shares and which goes on while
 * the process is frozen or the host is suspended. */
struct Host {
  base::Duration m_clock_offset;
  double m_clock_rate = 1;
  base::TimePoint m_frozen_until;
  bool m_is_cut_off = false;
  std::uint64_t m_version = 0;  ///< of its table; 0: none
};

struct Control : Host {
  std::unique_ptr<FreshnessService> m_service;
  bool m_is_cut_from_controls = false;
  int m_leader = 0;  ///< according to this host
  base::TimePoint m_round_at;
};

struct Entry : Host {
  fleet::FreshnessState m_state;
  int m_followed = 0;
  base::TimePoint m_heard_at;
  std::uint64_t m_announced = 0;  ///< highest version of an answer
  base::TimePoint m_requested_at;
  int m_request_count = 0;
};

struct Message {
  std::string m_from;
  std::string m_to;
  gen::FleetMessage m_body;
  base::TimePoint m_arrival;
};

/** A round in which a quorum confirmed a leader, until that host learns it. */
struct Round {
  int m_control = 0;
  base::TimePoint m_local_start;
  base::TimePoint m_arrival;
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, Fault fault) : m_random{seed}, m_fault(fault) {
    for (int i = 0; i < kControlCount; ++i) {
      SetClock(&m_controls[i]);
      m_controls[i].m_version = m_committed;
      StartControl(i);
    }
    for (int i = 0; i < kEntryCount; ++i) {
      SetClock(&m_entries[i]);
      StartEntry(&m_entries[i]);
      m_entries[i].m_followed = i % kControlCount;
    }
  }

  /** @return the violated rule, or "" */
  std::string Run(base::Duration time, bool has_faults) {
    base::TimePoint end = m_now + time;
    while (m_now < end) {
      m_now += kStep;
      // A host that wakes up accepts requests before it reads its messages.
      std::string broken = CheckRevocation();
      if (!broken.empty()) return broken;
      if (has_faults) InjectFaults();
      if (Below(200) == 0) AcceptChange();
      Elect();
      Deliver(has_faults);
      for (int i = 0; i < kControlCount; ++i) StepControl(i, has_faults);
      for (int i = 0; i < kEntryCount; ++i) StepEntry(i);
      broken = CheckRevocation();
      if (!broken.empty()) return broken;
    }
    return "";
  }

  /** @return an entry host whose table isn't confirmed, or "" */
  std::string FindUnconfirmed() const {
    for (int i = 0; i < kEntryCount; ++i) {
      if (!Accepts(m_entries[i])) return "entry" + std::to_string(i);
    }
    return "";
  }

  /** @return how many entry hosts accepted keys, summed over all steps. */
  std::uint64_t GetAcceptingCount() const { return m_accepting_count; }

  /** Cuts one control host off from the others, not from entry hosts. */
  void CutFromControls(int control) {
    m_controls[control].m_is_cut_from_controls = true;
  }

  /** Restores all links. Frozen hosts stay frozen for their time. */
  void Heal() {
    for (Control &control : m_controls) {
      control.m_is_cut_off = false;
      control.m_is_cut_from_controls = false;
    }
    for (Entry &entry : m_entries) entry.m_is_cut_off = false;
  }

  int GetLeader() const { return m_leader; }

 private:
  std::uint64_t Below(std::uint64_t bound) {
    return base::NextRandomBelow(&m_random, bound);
  }

  void SetClock(Host *host) {
    host->m_clock_offset = seconds(Below(100'000));
    host->m_clock_rate = 0.98 + 0.04 * base::NextRandomUnit(&m_random);
  }

  base::TimePoint Local(const Host &host) const {
    return base::TimePoint() + host.m_clock_offset +
           std::chrono::duration_cast<base::Duration>(m_now.time_since_epoch() *
                                                      host.m_clock_rate);
  }

  bool IsRunning(const Host &host) const {
    return host.m_frozen_until <= m_now;
  }

  /** Whether a control host runs and reaches the other ones. */
  bool IsInTouch(const Control &control) const {
    return IsRunning(control) && !control.m_is_cut_off &&
           !control.m_is_cut_from_controls;
  }

  bool HasQuorum() const {
    int count = 0;
    for (const Control &control : m_controls) count += IsInTouch(control);
    return count > kControlCount / 2;
  }

  void StartControl(int index) {
    std::erase_if(m_rounds, [index](const Round &round) {
      return round.m_control == index;
    });
    FreshnessService::Hooks hooks;
    hooks.m_send = [this, index](const std::string &to,
                                 const gen::FleetMessage &message) {
      Send("control" + std::to_string(index), to, message);
    };
    hooks.m_get_other_leader = [this, index] {
      int leader = m_controls[index].m_leader;
      return leader == index ? "" : "control" + std::to_string(leader);
    };
    hooks.m_get_version = [this, index] { return m_controls[index].m_version; };
    m_controls[index].m_service =
        std::make_unique<FreshnessService>(std::move(hooks));
  }

  void StartEntry(Entry *entry) {
    entry->m_state = fleet::FreshnessState();
    entry->m_state.m_last_number = base::NextRandom(&m_random);
    entry->m_version = 0;
    entry->m_announced = 0;
    entry->m_heard_at = m_now;
  }

  Host *FindHost(const std::string &name) {
    int index = name.back() - '0';
    if (name[0] == 'c') return &m_controls[index];
    return &m_entries[index];
  }

  void InjectFaults() {
    int control = static_cast<int>(Below(kControlCount));
    int entry = static_cast<int>(Below(kEntryCount));
    Host *host = Below(2) == 0 ? static_cast<Host *>(&m_controls[control])
                               : &m_entries[entry];
    if (Below(150) == 0) {
      host->m_frozen_until = m_now + milliseconds(Below(9'000));
    }
    if (Below(150) == 0) host->m_is_cut_off = true;
    if (Below(200) == 0) CutFromControls(control);
    if (Below(150) == 0) Heal();
    if (Below(300) == 0) StartControl(control);
    if (Below(300) == 0) StartEntry(&m_entries[entry]);
  }

  /** Lets the leader accept a table that revokes the key of the one before. */
  void AcceptChange() {
    Control &leader = m_controls[m_leader];
    bool can_commit =
        IsInTouch(leader) && HasQuorum() && leader.m_version == m_committed;
    if (!can_commit) return;
    leader.m_version = ++m_committed;
    m_acknowledged[m_committed] = m_now;
    for (int i = 0; i < kControlCount; ++i) {
      if (i != m_leader) SendTable(m_leader, "control" + std::to_string(i));
    }
  }

  /** Elects another leader if this one has been lost for a second. The former
   * one goes on for as long as it isn't in touch. */
  void Elect() {
    if (IsInTouch(m_controls[m_leader])) m_led_at = m_now;
    bool is_due = m_now > m_led_at + seconds(1) && HasQuorum();
    for (int i = 0; is_due && i < kControlCount; ++i) {
      if (!IsInTouch(m_controls[i])) continue;
      m_leader = i;
      m_led_at = m_now;
      is_due = false;
    }
    for (Control &control : m_controls) {
      if (IsInTouch(control) && Below(20) == 0) control.m_leader = m_leader;
    }
    m_controls[m_leader].m_leader = m_leader;
  }

  void SendTable(int from, const std::string &to) {
    gen::FleetMessage message;
    message.mutable_news()->set_routes_version(m_controls[from].m_version);
    Send("control" + std::to_string(from), to, message);
  }

  void Send(const std::string &from, const std::string &to,
            const gen::FleetMessage &body) {
    if (m_has_faults && Below(10) == 0) return;
    milliseconds delay(Below(40));
    if (m_has_faults && Below(20) == 0) delay = milliseconds(Below(3'000));
    m_messages.push_back(Message{from, to, body, m_now + delay});
    if (m_has_faults && Below(20) == 0) {
      delay = milliseconds(Below(6'000));
      m_messages.push_back(Message{from, to, body, m_now + delay});
    }
  }

  bool IsLinked(const std::string &from, const std::string &to) {
    if (FindHost(from)->m_is_cut_off || FindHost(to)->m_is_cut_off) {
      return false;
    }
    if (from[0] != 'c' || to[0] != 'c') return true;
    return !m_controls[from.back() - '0'].m_is_cut_from_controls &&
           !m_controls[to.back() - '0'].m_is_cut_from_controls;
  }

  void Deliver(bool has_faults) {
    m_has_faults = has_faults;
    std::vector<Message> messages;
    messages.swap(m_messages);
    for (Message &message : messages) {
      bool is_due =
          message.m_arrival <= m_now && IsRunning(*FindHost(message.m_to));
      if (!is_due) {
        m_messages.push_back(std::move(message));
      } else if (IsLinked(message.m_from, message.m_to)) {
        int index = message.m_to.back() - '0';
        if (message.m_to[0] == 'c') {
          DeliverToControl(&m_controls[index], message);
        } else {
          DeliverToEntry(&m_entries[index], message);
        }
      }
    }
  }

  void DeliverToControl(Control *control, const Message &message) {
    base::TimePoint local = Local(*control);
    const gen::FleetMessage &body = message.m_body;
    if (body.has_freshness_query()) {
      control->m_service->HandleQuery(message.m_from, body.freshness_query(),
                                      local);
    } else if (body.has_freshness_answer()) {
      control->m_service->HandleAnswer(body.freshness_answer(), local);
    } else if (body.has_follow()) {
      SendTable(message.m_to.back() - '0', message.m_from);
    } else if (body.has_news()) {
      control->m_version =
          std::max(control->m_version, body.news().routes_version());
    }
  }

  void DeliverToEntry(Entry *entry, const Message &message) {
    base::TimePoint local = Local(*entry);
    const gen::FleetMessage &body = message.m_body;
    if (body.has_news()) {
      entry->m_heard_at = m_now;
      if (body.news().routes_version() <= entry->m_version) return;
      entry->m_version = body.news().routes_version();
      fleet::HandleAdoptedTable(&entry->m_state, entry->m_version);
      return;
    }
    gen::FreshnessAnswer answer = body.freshness_answer();
    if (m_fault == Fault::kIgnoreRelayAge) answer.set_age_ms(0);
    if (m_fault == Fault::kAgeFromArrival) {
      for (auto &sent : entry->m_state.m_sent) sent.m_sent_at = local;
    }
    if (fleet::HandleFreshnessAnswer(&entry->m_state, answer, entry->m_version,
                                     local)) {
      entry->m_announced =
          std::max(entry->m_announced, answer.routes_version());
    }
  }

  void StepControl(int index, bool has_faults) {
    Control &control = m_controls[index];
    if (!IsRunning(control)) return;
    base::TimePoint local = Local(control);
    FinishRounds(index);
    if (control.m_leader == index && m_now >= control.m_round_at) {
      control.m_round_at = m_now + milliseconds(200);
      bool is_confirmed =
          (index == m_leader && IsInTouch(control) && HasQuorum()) ||
          m_fault == Fault::kConfirmNoQuorum;
      milliseconds delay(Below(has_faults ? 500 : 40));
      // A new leader holds all that was accepted before it can confirm itself.
      if (is_confirmed && index == m_leader) control.m_version = m_committed;
      if (is_confirmed) m_rounds.push_back(Round{index, local, m_now + delay});
    }
    control.m_service->Tick(local);
    if (m_now.time_since_epoch() % milliseconds(500) != base::Duration(0)) {
      return;
    }
    for (int i = 0; i < kControlCount; ++i) {
      bool is_sent = control.m_leader == index && i != index;
      if (is_sent) SendTable(index, "control" + std::to_string(i));
    }
    for (int i = 0; i < kEntryCount; ++i) {
      if (m_entries[i].m_followed != index) continue;
      SendTable(index, "entry" + std::to_string(i));
    }
  }

  void FinishRounds(int index) {
    std::vector<Round> rounds;
    rounds.swap(m_rounds);
    for (const Round &round : rounds) {
      if (round.m_control != index || round.m_arrival > m_now) {
        m_rounds.push_back(round);
      } else {
        m_controls[index].m_service->RecordLeadership(round.m_local_start);
      }
    }
  }

  void StepEntry(int index) {
    Entry &entry = m_entries[index];
    if (!IsRunning(entry)) return;
    if (m_now > entry.m_heard_at + seconds(2)) {
      entry.m_followed = (entry.m_followed + 1) % kControlCount;
      entry.m_heard_at = m_now;
    }
    std::vector<std::string> controls;
    controls.reserve(kControlCount);
    for (int i = 0; i < kControlCount; ++i) {
      controls.push_back("control" + std::to_string(i));
    }
    RequestTable(index, &entry);
    for (const fleet::OutMessage &out : fleet::TickFreshness(
             &entry.m_state, controls[entry.m_followed], controls,
             fleet::kEntryFreshnessPeriod, Local(entry))) {
      Send("entry" + std::to_string(index), out.m_to, out.m_message);
    }
  }

  /** Requests a newer table from the control hosts in turn, as
   * fleet::TickFollower does. */
  void RequestTable(int index, Entry *entry) {
    bool is_due = entry->m_announced > entry->m_version &&
                  m_now >= entry->m_requested_at + fleet::kRoutesRetryDelay;
    if (!is_due) return;
    entry->m_requested_at = m_now;
    gen::FleetMessage message;
    message.mutable_follow()->set_wants_routes_only(true);
    Send("entry" + std::to_string(index),
         "control" + std::to_string(entry->m_request_count++ % kControlCount),
         message);
  }

  bool Accepts(const Entry &entry) const {
    return entry.m_version != 0 &&
           fleet::IsTableConfirmed(entry.m_state, kRevocationTime,
                                   Local(entry));
  }

  /** A host that accepts keys accepts those of its table, also the one that the
   * next table revoked. */
  std::string CheckRevocation() {
    for (int i = 0; i < kEntryCount; ++i) {
      const Entry &entry = m_entries[i];
      if (!IsRunning(entry) || !Accepts(entry)) continue;
      ++m_accepting_count;
      auto next = m_acknowledged.find(entry.m_version + 1);
      if (next != m_acknowledged.end() &&
          m_now > next->second + kRevocationTime) {
        return "entry" + std::to_string(i) + " accepts the key of table " +
               std::to_string(entry.m_version) + " after its revocation";
      }
    }
    return "";
  }

  base::Random m_random;
  Fault m_fault;
  bool m_has_faults = false;
  base::TimePoint m_now{seconds(1'000'000)};
  std::array<Control, kControlCount> m_controls;
  std::array<Entry, kEntryCount> m_entries;
  int m_leader = 0;
  base::TimePoint m_led_at = m_now;
  std::uint64_t m_committed = 1;
  std::map<std::uint64_t, base::TimePoint> m_acknowledged;
  std::vector<Message> m_messages;
  std::vector<Round> m_rounds;
  std::uint64_t m_accepting_count = 0;
};

/** @return the first violated rule of many schedules, or "". */
std::string Explore(Fault fault, int schedules) {
  std::uint64_t accepting_count = 0;
  for (int i = 0; i < schedules; ++i) {
    std::uint64_t seed = 9'000 + static_cast<std::uint64_t>(i);
    Simulation simulation(seed, fault);
    std::string broken = simulation.Run(seconds(60), true);
    if (broken.empty()) {
      simulation.Heal();
      // Frozen hosts wake up within 9 s.
      broken = simulation.Run(seconds(15), false);
      std::string unconfirmed = simulation.FindUnconfirmed();
      if (broken.empty() && !unconfirmed.empty()) {
        broken = unconfirmed + " isn't confirmed although all is calm";
      }
    }
    if (!broken.empty()) return "seed " + std::to_string(seed) + ": " + broken;
    accepting_count += simulation.GetAcceptingCount();
  }
  return accepting_count == 0 ? "no host ever accepted a key" : "";
}

// A revoked key must work nowhere after the bound, whichever hosts are frozen,
// cut off, restarted or replaced; and without faults all hosts accept keys.
TEST(FleetFreshnessTest, NoHostAcceptsARevokedKeyAfterTheBound) {
  EXPECT_EQ(Explore(Fault::kNone, 300), "");
}

// The checks must detect each of these mistakes.
TEST(FleetFreshnessTest, DetectsPlantedFaults) {
  EXPECT_NE(Explore(Fault::kAgeFromArrival, 300), "");
  EXPECT_NE(Explore(Fault::kIgnoreRelayAge, 300), "");
  EXPECT_NE(Explore(Fault::kConfirmNoQuorum, 300), "");
}

// While tables change faster than queries are made, each answer is about a
// newer table than the host has, and replaced the one before it.
TEST(FleetFreshnessTest, TablesThatComeLateAreConfirmedByEarlierAnswers) {
  static constexpr milliseconds kChangePeriod{150};
  for (milliseconds lag :
       {milliseconds(100), milliseconds(600), milliseconds(1'500)}) {
    fleet::FreshnessState state;
    base::TimePoint start{seconds(1'000)};
    auto get_version = [start](base::TimePoint at) {
      return static_cast<std::uint64_t>((at - start) / kChangePeriod);
    };
    std::uint64_t own = 0;
    for (milliseconds at(2'000); at < seconds(20); at += milliseconds(10)) {
      base::TimePoint now = start + at;
      std::uint64_t version = get_version(now - lag);
      if (version != own) fleet::HandleAdoptedTable(&state, own = version);
      for (const fleet::OutMessage &out : fleet::TickFreshness(
               &state, "c", {}, fleet::kEntryFreshnessPeriod, now)) {
        gen::FreshnessAnswer answer;
        answer.set_number(out.m_message.freshness_query().number());
        answer.set_routes_version(get_version(now));
        (void)fleet::HandleFreshnessAnswer(&state, answer, own, now);
      }
      if (at < seconds(5)) continue;
      milliseconds expected = lag + 2 * fleet::kEntryFreshnessPeriod;
      ASSERT_TRUE(state.m_own_confirmed_at) << lag.count();
      EXPECT_LT(now - *state.m_own_confirmed_at, expected) << lag.count();
      // The host's table was no longer the newest after this time.
      base::TimePoint replaced_at = start + (own + 1) * kChangePeriod;
      ASSERT_LT(*state.m_own_confirmed_at, replaced_at) << lag.count();
    }
  }
}

// A control host without a way to the leader kept its followers from querying
// others, as it went on answering, with ages that grew.
TEST(FleetFreshnessTest, OtherControlHostsAreQueriedIfTheFollowedOneIsBehind) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulation simulation(seed, Fault::kNone);
    ASSERT_EQ(simulation.Run(seconds(5), false), "");
    ASSERT_EQ(simulation.FindUnconfirmed(), "");
    // Entry hosts follow the control hosts in turn, so some follow this one.
    simulation.CutFromControls((simulation.GetLeader() + 1) % kControlCount);
    std::string broken;
    for (int i = 0; i < 100 && broken.empty(); ++i) {
      ASSERT_EQ(simulation.Run(milliseconds(200), false), "");
      broken = simulation.FindUnconfirmed();
    }
    EXPECT_EQ(broken, "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace wasabiwind::fleet_control
