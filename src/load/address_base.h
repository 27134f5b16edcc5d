/** @file address_base.h Client-side cache of entry host addresses. */

#ifndef WASABIWIND_LOAD_ADDRESS_BASE_H_
#define WASABIWIND_LOAD_ADDRESS_BASE_H_

#include <map>
#include <string>
#include <vector>

#include "base/error_type.h"
#include "base/random_func.h"
#include "base/time_type.h"
#include "net/endpoint_type.h"
#include "net/http_client.h"

namespace wasabiwind::load {

/** One address in a response to GET /v1/addresses. */
struct EntryAddress {
  net::Endpoint m_endpoint;
  int m_weight = 100;
};

/** Parsed response to GET /v1/addresses. */
struct AddressList {
  std::vector<EntryAddress> m_addresses;
  base::milliseconds m_lifetime{0};  ///< keep_ms: how long to use it
};

/** @return kProtocol for a response without a usable address. Thread-safe. */
base::Result<AddressList> ParseAddressList(const std::string &body);

/**
 * Fetches the addresses to use from entry hosts and caches them for the time
 * that the response states. Addresses that failed are avoided for a short time.
 * Not thread-safe.
 */
class AddressCache {
 public:
  /**
   * @param initial_addresses addresses to fetch from at first
   * @param direct use the initial addresses as they are, without fetching
   */
  AddressCache(std::vector<net::Endpoint> initial_addresses, bool direct,
               base::Random random);

  /** @return a random address, by weight. @pre called inside RunFiberThread */
  net::Endpoint Pick();

  /** Avoids an address for a short time, because it failed. */
  void Avoid(const net::Endpoint &endpoint);

 private:
  void Refresh();
  bool FetchFrom(const net::Endpoint &endpoint);
  bool IsAvoided(const net::Endpoint &endpoint) const;

  std::vector<net::Endpoint> m_initial_addresses;
  bool m_direct;
  base::Random m_random;
  std::vector<EntryAddress> m_addresses;
  base::TimePoint m_expires;
  bool m_refreshing = false;
  std::map<net::Endpoint, base::TimePoint> m_avoided;  ///< until when
  net::HttpClientPool m_clients;
};

}  // namespace wasabiwind::load

#endif  // WASABIWIND_LOAD_ADDRESS_BASE_H_
