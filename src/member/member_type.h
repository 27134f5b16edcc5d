/** @file member_type.h Options of membership and configuration leases. */

#ifndef WASABIWIND_MEMBER_MEMBER_TYPE_H_
#define WASABIWIND_MEMBER_MEMBER_TYPE_H_

#include <cstddef>

#include "base/time_type.h"

namespace wasabiwind::member {

struct MemberOptions {
  /** A node admits requests for this long after its last confirmation. */
  base::milliseconds m_lease{4'000};
  /** Time between two confirmations of a node. */
  base::milliseconds m_confirm_period{1'000};
  /** An unanswered confirmation goes to another host after this time. */
  base::milliseconds m_confirm_timeout{1'000};
  /** A node that hasn't confirmed for this long is considered failed. */
  base::milliseconds m_node_timeout{5'000};
  /** A record of an earlier term is dropped when its last change is this old,
   * unless it has been reported again. */
  base::milliseconds m_carry_over_time{10'000};
  /** Records of removed members are kept this long, so that nodes that were
   * disconnected learn of the removal. */
  base::milliseconds m_tombstone_retention{600'000};
  /** All nodes confirm with control directly up to this number of nodes. */
  std::size_t m_max_direct_nodes = 16;
  /** Relays per failure domain beyond that number. */
  std::size_t m_relays_per_domain = 2;
  std::size_t m_max_nodes = 1'024;
  std::size_t m_max_upstreams = 4'096;
  /** Size of the configuration deltas kept for nodes that are behind. */
  std::size_t m_max_delta_bytes = 1 << 20;
  /** Limit for the deltas of each kind in a reply; the rest follows in the
   * next one. */
  std::size_t m_max_reply_bytes = 256 * 1024;
};

}  // namespace wasabiwind::member

#endif  // WASABIWIND_MEMBER_MEMBER_TYPE_H_
