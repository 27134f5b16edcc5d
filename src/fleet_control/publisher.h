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
  std::uint64_t m_newest_routes_version = 0;
  std::uint64_t m_leader_term = 0;
  std::string m_leader_endpoint;

  friend bool operator==(const FactUpdateHeader &,
                         const FactUpdateHeader &) = default;
};

/**
 * Publishes facts to its followers: entry hosts, or other control hosts. An
 * update is encoded once for all followers that lack the same facts. Not
 * thread-safe: used on one fiber thread.
 */
class Publisher {
 public:
  using Encoder = std::function<std::string(const gen::FleetMessage &)>;
  /** @param message result of the encoder */
  using Sender =
      std::function<void(const std::string &to, const std::string &message)>;
  using HeaderSource = std::function<FactUpdateHeader()>;
  using StateSource = std::function<const gen::StoredRouteTable &()>;

  struct Hooks {
    Encoder m_encode;
    Sender m_send;
    HeaderSource m_get_header;
    StateSource m_get_state;
    /** Called when a follower has acknowledged more facts; may be empty. */
    std::function<void(base::TimePoint)> m_on_acknowledged;
  };

  explicit Publisher(Hooks hooks);

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
   * Sends outstanding facts at once and tells followers to acknowledge them
   * without waiting for their next periodic request.
   * @return the number of the last fact published so far
   */
  std::uint64_t DemandAcknowledgement();

  /** @return whether all live followers have acknowledged a fact. Control hosts
   * acknowledge it when it has reached the entry hosts that follow them. */
  bool HaveAllAcknowledged(std::uint64_t number, base::TimePoint now) const;

  /**
   * Waits until all live followers have acknowledged every fact published so
   * far.
   * @return false if some hadn't by the deadline
   */
  bool WaitForFollowers(base::TimePoint deadline);

  /** Sends the updates that are due. Run does so repeatedly. */
  void PushDue(base::TimePoint now);

  /** @return the pause after a push, so that the changes of some time are sent
   * in one message. */
  base::milliseconds GetPushPause() const;

  /** @return whether a change was published that must not wait for the end of
   * the pause. */
  bool HasUrgentChange() const { return m_is_urgent; }

  /** Sends due updates until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  const fleet::FactLog &GetLog() const { return m_log; }

  /** Stops publishing a fact. Followers that have it keep it until they expire
   * it themselves. */
  void Withdraw(const std::string &key) { fleet::EraseFact(&m_log, key); }

 private:
  /** Followers that sent nothing for this long aren't waited for. */
  static constexpr base::milliseconds kFollowerTimeout{1'300};
  /** Updates are pushed to a follower for this long after its last request. */
  static constexpr base::milliseconds kPushDuration{3'000};
  /** First delay before facts are resent that a follower states it lacks, or
   * doesn't acknowledge at once as demanded; doubles with each resend. */
  static constexpr base::milliseconds kResendDelay{250};
  static constexpr base::milliseconds kMaxResendDelay{2'000};
  static constexpr base::milliseconds kFollowerRetention{30'000};
  static constexpr base::milliseconds kTickPeriod{100};
  /** A request is answered if the last message is at least this old, so that
   * the follower knows that this host is alive. */
  static constexpr base::milliseconds kMaxAnswerInterval{400};
  /** Pause between pushes per follower; bounds the rate of messages to 500 a
   * second. */
  static constexpr base::milliseconds kPushPausePerFollower{2};
  static constexpr base::milliseconds kMaxPushPause{200};
  /** No further facts are pushed to a follower that hasn't acknowledged this
   * many bytes, so that slow followers can't fill the memory. Facts that change
   * meanwhile are sent once, in their newest state. */
  static constexpr std::size_t kMaxBytesInFlight = 256 * 1024;
  static constexpr std::size_t kMaxEncodedUpdates = 64;

  struct FollowerState {
    fleet::Audience m_audience;
    std::uint64_t m_acked_number = 0;  ///< of this publisher's epoch
    std::uint64_t m_settled_number = 0;
    std::uint64_t m_sent_number = 0;
    std::uint64_t m_sent_header_number = 0;  ///< m_header_number when last sent
    std::uint64_t m_demanded_number = 0;     ///< of the last demand sent
    std::uint64_t m_quarantine_version = 0;  ///< that it has
    std::size_t m_bytes_in_flight = 0;
    base::milliseconds m_resend_delay = kResendDelay;
    base::TimePoint m_progress_at;  ///< last acknowledgement or resend
    base::TimePoint m_heard_at;
    base::TimePoint m_sent_at;
  };

  /** What an encoded update depends on beside the state of the publisher. */
  struct UpdateKey {
    fleet::Audience m_audience;
    std::uint64_t m_first_number = 0;
    bool m_wants_quarantine = false;
    bool m_must_acknowledge = false;

    friend auto operator<=>(const UpdateKey &, const UpdateKey &) = default;
  };

  struct EncodedUpdate {
    std::string m_message;
    std::uint64_t m_last_number = 0;
  };

  static void RecordAcknowledged(FollowerState *follower,
                                 const gen::FollowRequest &request,
                                 bool is_known_epoch, base::TimePoint now);
  static std::uint64_t ChooseFirstNumber(FollowerState *follower,
                                         bool may_resend, base::TimePoint now);
  /** Number up to which a follower's facts count as acknowledged. */
  static std::uint64_t GetConfirmedNumber(const FollowerState &follower);
  void SendFactUpdate(const std::string &to, FollowerState *follower,
                      bool may_resend, base::TimePoint now);
  void SendRoutes(const std::string &to);
  const EncodedUpdate &Encode(const UpdateKey &key);
  std::string EncodeUpdate(gen::FactUpdate update) const;
  void DropOutdatedUpdates();
  bool IsPushDue(const FollowerState &follower, base::TimePoint now) const;
  bool IsResendDue(const FollowerState &follower, base::TimePoint now) const;
  bool IsDemanded(const FollowerState &follower) const;
  void WaitForPushPause();

  Hooks m_hooks;
  fleet::FactLog m_log;
  std::uint64_t m_header_number = 0;
  std::uint64_t m_demanded_number = 0;
  std::map<std::string, FollowerState> m_followers;  ///< by endpoint
  /** Valid while the facts and the following fields are unchanged. */
  std::map<UpdateKey, EncodedUpdate> m_encoded_updates;
  std::uint64_t m_encoded_last_number = 0;
  std::uint64_t m_encoded_header_number = 0;
  FactUpdateHeader m_encoded_header;
  std::string m_encoded_routes;
  std::uint64_t m_encoded_routes_version = 0;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_change_condition;
  boost::fibers::condition_variable m_ack_condition;
  bool m_has_changes = false;
  bool m_is_urgent = false;  ///< the next push doesn't wait for the pause
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_PUBLISHER_H_
