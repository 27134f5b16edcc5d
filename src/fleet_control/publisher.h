/** @file publisher.h Publishes facts of this control host to its followers. */

#ifndef WASABIWIND_FLEET_CONTROL_PUBLISHER_H_
#define WASABIWIND_FLEET_CONTROL_PUBLISHER_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <string>

#include "base/time_type.h"
#include "fleet/fact_log_func.h"

namespace wasabiwind::fleet_control {

/** Fields of each fact update besides the facts. */
struct FactUpdateHeader {
  std::uint64_t m_routes_version = 0;
  std::uint64_t m_leader_term = 0;
  std::string m_leader_endpoint;
};

/**
 * Publishes facts to its followers: entry hosts and other control hosts. Not
 * thread-safe: used on one fiber thread.
 */
class Publisher {
 public:
  using Sender =
      std::function<void(const std::string &to, const gen::FleetMessage &)>;
  using HeaderSource = std::function<FactUpdateHeader()>;
  using StateSource = std::function<const gen::StoredRouteTable &()>;

  Publisher(Sender sender, HeaderSource header, StateSource state);

  /** Publishes a fact. @return whether it was new or changed */
  bool Put(gen::Fact fact);

  /**
   * Publishes a fact under a new number even if it hasn't changed: followers
   * may have received another version of it from another publisher since.
   * @return true
   */
  bool PutAgain(gen::Fact fact);

  /** Sends a changed header to followers without waiting for the timer. */
  void AnnounceHeader();

  /** Answers a follower. @param from message endpoint of the follower */
  void HandleFollow(const std::string &from, const gen::FollowRequest &request,
                    base::TimePoint now);

  /**
   * Waits until all live followers have acknowledged every fact published so
   * far.
   * @return false if some hadn't by the deadline
   */
  bool WaitForFollowers(base::TimePoint deadline);

  /** Sends due updates until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  const fleet::FactLog &GetLog() const { return m_log; }

  /** Stops publishing a fact. Followers that have it keep it until they expire
   * it themselves. */
  void Withdraw(const std::string &key) { fleet::EraseFact(&m_log, key); }

 private:
  /** WaitForFollowers skips followers that sent nothing for this long. */
  static constexpr base::milliseconds kFollowerTimeout{1'300};
  /** Updates are pushed to a follower for this long after its last request. */
  static constexpr base::milliseconds kPushDuration{3'000};
  /** First delay before unacknowledged facts are resent; doubles with each
   * resend. */
  static constexpr base::milliseconds kResendDelay{250};
  static constexpr base::milliseconds kMaxResendDelay{2'000};
  static constexpr base::milliseconds kFollowerRetention{30'000};
  static constexpr base::milliseconds kTickPeriod{100};
  /** A request is answered if the last message is at least this old, so that
   * the follower knows that this host is alive. */
  static constexpr base::milliseconds kMaxAnswerInterval{400};
  /** Pause between pushes per follower; bounds the rate of messages. */
  static constexpr base::milliseconds kPushPausePerFollower{1};
  static constexpr base::milliseconds kMaxPushPause{150};

  struct FollowerState {
    fleet::FollowerKind m_kind = fleet::FollowerKind::kEntry;
    std::uint64_t m_acked_number = 0;  ///< of this publisher's epoch
    std::uint64_t m_sent_number = 0;
    std::uint64_t m_sent_header_number = 0;  ///< m_header_number when last sent
    std::uint64_t m_quarantine_version = 0;  ///< that it has
    base::milliseconds m_resend_delay = kResendDelay;
    base::TimePoint m_progress_at;  ///< last acknowledgement or resend
    base::TimePoint m_heard_at;
    base::TimePoint m_sent_at;
  };

  static void RecordAcknowledged(FollowerState *follower, std::uint64_t number,
                                 base::TimePoint now);
  static std::uint64_t ChooseFirstNumber(FollowerState *follower,
                                         base::TimePoint now);
  void SendFactUpdate(const std::string &to, FollowerState *follower,
                      bool wants_routes, base::TimePoint now);
  void PushAll(base::TimePoint now);
  bool IsSendDue(const FollowerState &follower, base::TimePoint now) const;
  base::milliseconds GetPushPause() const;
  bool HaveAllAcknowledged(std::uint64_t number, base::TimePoint now) const;

  Sender m_sender;
  HeaderSource m_header;
  StateSource m_state;
  fleet::FactLog m_log;
  std::uint64_t m_header_number = 0;
  std::map<std::string, FollowerState> m_followers;  ///< by endpoint
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_change_condition;
  boost::fibers::condition_variable m_ack_condition;
  bool m_has_changes = false;
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_PUBLISHER_H_
