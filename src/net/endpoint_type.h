/** @file endpoint_type.h IP address and port. */

#ifndef WASABIWIND_NET_ENDPOINT_TYPE_H_
#define WASABIWIND_NET_ENDPOINT_TYPE_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/error_type.h"

namespace wasabiwind::net {

/** IP address and port of a TCP or UDP socket. */
struct Endpoint {
  std::string m_address;  ///< IPv4, or IPv6 without brackets
  std::uint16_t m_port = 0;

  /** @return "ip:port", IPv6 in brackets. */
  std::string ToString() const;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  friend bool operator==(const Endpoint &, const Endpoint &) = default;

  template <typename H>
  friend H AbslHashValue(H h, const Endpoint &endpoint) {
    return H::combine(std::move(h), endpoint.m_address, endpoint.m_port);
  }
};

/**
 * Parses "127.0.0.1:8000" or "[::1]:8000". Host names aren't resolved.
 * @return kInvalidArgument with a remedy for anything else. Thread-safe.
 */
base::Result<Endpoint> ParseEndpoint(const std::string &text);

}  // namespace wasabiwind::net

#endif  // WASABIWIND_NET_ENDPOINT_TYPE_H_
