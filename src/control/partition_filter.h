/** @file partition_filter.h Test hook that simulates a network partition. */

#ifndef WASABIWIND_CONTROL_PARTITION_FILTER_H_
#define WASABIWIND_CONTROL_PARTITION_FILTER_H_

#include <set>
#include <string>

#include "net/message_transport.h"

namespace wasabiwind::control {

/** Peers, by node name or endpoint, from and to which messages are dropped. */
struct PartitionFilter {
  std::set<std::string> m_drop_from;
  std::set<std::string> m_drop_to;  ///< endpoints only
};

/** @return whether a message must be dropped. */
bool MustDrop(const PartitionFilter &filter, net::MessageDirection direction,
              const net::Endpoint &peer, const std::string &message);

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_PARTITION_FILTER_H_
