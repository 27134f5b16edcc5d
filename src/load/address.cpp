/** @file address.cpp Client-side cache of entry host addresses. */

#include <algorithm>

#include "load/address_base.h"
#include "standin/json_func.h"

namespace wasabiwind::load {

namespace {

constexpr base::seconds kAvoidTime{2};
constexpr base::seconds kFetchTimeout{1};
/** Pause before the next fetch if no entry host responded. */
constexpr base::milliseconds kRetryDelay{200};
/** Limit for keep_ms, so that a wrong value doesn't last. */
constexpr base::seconds kMaxLifetime{600};

}  // namespace

base::Result<AddressList> ParseAddressList(const std::string &body) {
  AddressList list;
  base::Result<boost::json::object> object = standin::ParseObject(body);
  if (!object) return tl::unexpected(object.error());
  list.m_lifetime = std::clamp<base::milliseconds>(
      base::milliseconds(standin::GetInteger(*object, "keep_ms")),
      base::milliseconds(0), kMaxLifetime);
  const boost::json::array *items = standin::FindArray(*object, "addresses");
  if (items != nullptr) {
    for (const boost::json::value &item : *items) {
      if (!item.is_object()) continue;
      auto endpoint =
          net::ParseEndpoint(standin::GetString(item.as_object(), "address"));
      std::int64_t weight =
          standin::GetInteger(item.as_object(), "weight", 100);
      if (!endpoint || weight <= 0) continue;
      list.m_addresses.push_back(EntryAddress{
          *endpoint, static_cast<int>(std::min<std::int64_t>(weight, 10'000))});
    }
  }
  if (!list.m_addresses.empty()) return list;
  return base::MakeError(
      base::ErrorKind::kProtocol,
      "the response to GET /v1/addresses has no usable address",
      "use another entry host");
}

AddressCache::AddressCache(std::vector<net::Endpoint> initial_addresses,
                           bool direct, base::Random random)
    : m_initial_addresses(std::move(initial_addresses)),
      m_direct(direct),
      m_random(random) {
  for (const net::Endpoint &endpoint : m_initial_addresses) {
    m_addresses.push_back(EntryAddress{endpoint, 100});
  }
}

net::Endpoint AddressCache::Pick() {
  bool is_due = !m_direct && base::Clock::now() >= m_expires;
  if (is_due && !m_refreshing) Refresh();
  std::vector<const EntryAddress *> candidates;
  for (const EntryAddress &address : m_addresses) {
    if (!IsAvoided(address.m_endpoint)) candidates.push_back(&address);
  }
  if (candidates.empty()) {
    for (const EntryAddress &address : m_addresses) {
      candidates.push_back(&address);
    }
  }
  std::uint64_t total = 0;
  for (const EntryAddress *address : candidates) {
    total += static_cast<std::uint64_t>(address->m_weight);
  }
  auto rest =
      static_cast<std::int64_t>(base::NextRandomBelow(&m_random, total));
  for (const EntryAddress *address : candidates) {
    rest -= address->m_weight;
    if (rest < 0) return address->m_endpoint;
  }
  return candidates.back()->m_endpoint;
}

/** Fetches from one address after another until one responds. */
void AddressCache::Refresh() {
  m_refreshing = true;
  std::vector<net::Endpoint> candidates;
  for (const EntryAddress &address : m_addresses) {
    candidates.push_back(address.m_endpoint);
  }
  candidates.insert(candidates.end(), m_initial_addresses.begin(),
                    m_initial_addresses.end());
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [this](const net::Endpoint &endpoint) { return !IsAvoided(endpoint); });
  bool has_fetched = false;
  for (const net::Endpoint &endpoint : candidates) {
    has_fetched = FetchFrom(endpoint);
    if (has_fetched) break;
  }
  if (!has_fetched) m_expires = base::Clock::now() + kRetryDelay;
  m_refreshing = false;
}

bool AddressCache::FetchFrom(const net::Endpoint &endpoint) {
  auto response = m_clients.Fetch(
      endpoint, net::HttpRequest{"GET", "/v1/addresses", {}, ""},
      base::Clock::now() + kFetchTimeout);
  if (!response || response->m_status != 200) return false;
  base::Result<AddressList> list = ParseAddressList(response->m_body);
  if (!list) return false;
  m_addresses = std::move(list->m_addresses);
  m_expires = base::Clock::now() + list->m_lifetime;
  return true;
}

void AddressCache::Avoid(const net::Endpoint &endpoint) {
  m_avoided[endpoint] = base::Clock::now() + kAvoidTime;
  std::erase_if(m_avoided, [](const auto &item) {
    return item.second < base::Clock::now();
  });
}

bool AddressCache::IsAvoided(const net::Endpoint &endpoint) const {
  auto found = m_avoided.find(endpoint);
  return found != m_avoided.end() && base::Clock::now() < found->second;
}

}  // namespace wasabiwind::load
