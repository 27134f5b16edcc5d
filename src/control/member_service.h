/** @file member_service.h Answers confirmations of nodes on control hosts. */

#ifndef WASABIWIND_CONTROL_MEMBER_SERVICE_H_
#define WASABIWIND_CONTROL_MEMBER_SERVICE_H_

#include <member.pb.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "member/parent_func.h"

namespace wasabiwind::control {

/** State of the replicated log that the service needs. */
struct Leadership {
  bool m_is_leader = false;
  std::uint64_t m_term = 0;
  /** When the last read that a quorum confirmed was started, on the leader. */
  std::optional<base::TimePoint> m_confirmed_at;
  std::string m_leader_address;  ///< message address; "" if unknown
};

/** Callbacks of the service. */
struct MemberServiceHooks {
  std::function<void(const std::string &to, const gen::MemberMessage &)> m_send;
  std::function<Leadership()> m_get_leadership;
  /** @return serialized Declarations of the current revision. */
  std::function<std::string()> m_serialize_declarations;
  /** Leader: a node asks for a target to be loaded; may be empty. */
  std::function<void(const std::string &from, const gen::ActivationRequest &)>
      m_on_activation_request;
  /** Leader: an upstream record changed; may be empty. */
  std::function<void(const gen::UpstreamRecord &)> m_on_upstream;
};

/**
 * Answers confirmations of nodes while this host leads, and redirects nodes
 * to the leader otherwise. Not thread-safe: it belongs to the thread of the
 * replicated log.
 */
class MemberService {
 public:
  MemberService(member::MemberOptions options, MemberServiceHooks hooks);

  /** Sets the revision after a start or a restored snapshot. */
  void ResetRevision(std::uint64_t revision);

  /** Records a committed batch and notifies the nodes. */
  void OnCommitted(const gen::ConfigDelta &delta, base::TimePoint now);

  /** Handles a message of a node. */
  void HandleMessage(const std::string &from, const gen::MemberMessage &message,
                     base::TimePoint now);

  /** Called about every 100 ms: removes silent nodes, notifies of changes. */
  void Tick(base::TimePoint now);

  /** @return whether a revision is in force, as far as this leader knows. */
  member::InForceStatus GetInForceStatus(std::uint64_t revision,
                                         base::TimePoint now) const;

  /** @return the latest revision that is in force at every node. */
  std::uint64_t GetInForceRevision(base::TimePoint now) const;

  /** @return the nodes and upstreams known to this host. */
  const member::Parent &GetParent() const { return m_parent; }

  const member::MemberOptions &GetOptions() const { return m_options; }

 private:
  /** When this host applied the batch of a revision. */
  struct Acceptance {
    std::uint64_t m_revision = 0;
    base::TimePoint m_accepted_at;
  };

  void AnswerConfirm(const std::string &from,
                     const gen::ConfirmRequest &request, base::TimePoint now);
  void AnswerSnapshot(const std::string &from,
                      const gen::SnapshotRequest &request);
  void Redirect(const std::string &from, const gen::ConfirmRequest &request,
                const Leadership &leadership);
  void NotifyNodes();
  base::TimePoint GetAcceptedTime(std::uint64_t revision) const;

  member::MemberOptions m_options;
  MemberServiceHooks m_hooks;
  member::Parent m_parent;
  member::SnapshotSource m_snapshot;
  std::deque<Acceptance> m_acceptances;     ///< younger than two leases
  base::TimePoint m_leadership_changed_at;  ///< by the ticks
  bool m_was_leader = false;
  bool m_needs_notice = false;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_MEMBER_SERVICE_H_
