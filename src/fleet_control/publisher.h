/** @file publisher.h Facts of this control host and who follows them. */

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

/** What every message of news carries beside facts. */
struct NewsHeader {
  std::uint64_t m_routes_version = 0;
  std::uint64_t m_leader_term = 0;
  std::string m_leader_endpoint;
};

/**
 * Publishes facts to entry hosts and other control hosts. All methods belong
 * to one fiber thread.
 */
class Publisher {
 public:
  using Sender =
      std::function<void(const std::string &to, const gen::FleetMessage &)>;
  using HeaderSource = std::function<NewsHeader()>;
  using TableSource = std::function<const gen::RouteTable &()>;

  Publisher(Sender sender, HeaderSource header, TableSource table);

  /** Publishes a fact. @return whether it was new or changed */
  bool Put(gen::Fact fact);

  /**
   * Publishes a fact under a new number though it may be the same as before:
   * followers may have had another one from elsewhere since.
   * @return true
   */
  bool PutAgain(gen::Fact fact);

  /** Tells followers of a change in the header without waiting for a timer. */
  void AnnounceHeader();

  /** Answers a follower. @param from its message endpoint */
  void HandleFollow(const std::string &from, const gen::FollowRequest &request,
                    base::TimePoint now);

  /**
   * Waits until all followers in touch have every fact published so far.
   * @return false if some hadn't at the deadline
   */
  bool WaitForFollowers(base::TimePoint deadline);

  /** Sends what is due, until Stop. @pre inside net::RunFiberThread */
  void Run();
  void Stop();

  const fleet::FactLog &GetLog() const { return m_log; }

  /** Withdraws a fact; followers forget it by themselves. */
  void Forget(const std::string &key) { fleet::EraseFact(&m_log, key); }

 private:
  /** A follower that was silent for longer isn't waited for. */
  static constexpr base::milliseconds kInTouch{1'300};
  /** FactUpdate are pushed to a follower for this long after its last request.
   */
  static constexpr base::milliseconds kPushLifetime{3'000};
  /** Facts without acknowledgement are sent again after this, then after
   * twice as long each time. */
  static constexpr base::milliseconds kResend{250};
  static constexpr base::milliseconds kMostResend{2'000};
  static constexpr base::milliseconds kForgetFollower{30'000};
  static constexpr base::milliseconds kTick{100};
  /** A follower hears of this host at least so often when it asks. */
  static constexpr base::milliseconds kLeastAnswerPeriod{400};
  /** Time between pushes for each follower, so that their rate is bounded. */
  static constexpr base::milliseconds kPausePerFollower{1};
  static constexpr base::milliseconds kMostPushPause{150};

  struct FollowerState {
    fleet::FollowerKind m_kind = fleet::FollowerKind::kEntry;
    std::uint64_t m_acked_number = 0;  ///< of this publisher's epoch
    std::uint64_t m_sent_number = 0;
    std::uint64_t m_sent_header = 0;  ///< m_header_number when last sent
    base::milliseconds m_resend_pause = kResend;
    base::TimePoint m_progress_at;  ///< last acknowledgement or repetition
    base::TimePoint m_heard_at;
    base::TimePoint m_sent_at;
  };

  static void RecordAcknowledged(FollowerState *follower, std::uint64_t number,
                                 base::TimePoint now);
  static std::uint64_t ChooseFirst(FollowerState *follower,
                                   base::TimePoint now);
  void SendNews(const std::string &to, FollowerState *follower,
                bool wants_routes, base::TimePoint now);
  void PushAll(base::TimePoint now);
  bool IsSendDue(const FollowerState &follower, base::TimePoint now) const;
  base::milliseconds GetPushPause() const;
  bool HaveAll(std::uint64_t number, base::TimePoint now) const;

  Sender m_sender;
  HeaderSource m_header;
  TableSource m_table;
  fleet::FactLog m_log;
  std::uint64_t m_header_number = 0;
  std::map<std::string, FollowerState> m_followers;  ///< by endpoint
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_wake;
  boost::fibers::condition_variable m_acked;
  bool m_is_dirty = false;
  bool m_is_stopped = false;
};

}  // namespace wasabiwind::fleet_control

#endif  // WASABIWIND_FLEET_CONTROL_PUBLISHER_H_
