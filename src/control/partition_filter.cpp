/** @file partition_filter.cpp Test hook that simulates a network partition. */

#include "control/partition_filter.h"

#include <envelope.pb.h>

namespace wasabiwind::control {

bool MustDrop(const PartitionFilter &filter, net::MessageDirection direction,
              const net::Endpoint &peer, const std::string &message) {
  if (direction == net::MessageDirection::kSend) {
    return filter.m_drop_to.contains(peer.ToString());
  }
  if (filter.m_drop_from.empty()) return false;
  gen::Envelope envelope;
  if (!envelope.ParseFromString(message)) return false;
  return filter.m_drop_from.contains(envelope.from_node()) ||
         filter.m_drop_from.contains(envelope.from());
}

}  // namespace wasabiwind::control
