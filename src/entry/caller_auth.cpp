/** @file caller_auth.cpp Authentication of customers by bearer keys. */

#include <openssl/sha.h>

#include <array>
#include <string_view>

#include "entry/entry_internal.h"

namespace wasabiwind::entry {

namespace {

std::string HashKey(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(),
         digest.data());
  constexpr const char *kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (unsigned char byte : digest) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

/** @return whether two hashes are equal, in a time that doesn't depend on
 * where they differ. */
bool IsSameHash(const std::string &one, const std::string &other) {
  if (one.size() != other.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < one.size(); ++i) {
    difference |= static_cast<unsigned char>(one[i]) ^
                  static_cast<unsigned char>(other[i]);
  }
  return difference == 0;
}

const gen::Customer *FindByHash(const config::Catalog &catalog,
                                const std::string &hash) {
  for (const auto &[name, customer] : catalog.m_customers) {
    if (IsSameHash(customer->key_sha256(), hash)) return customer;
  }
  return nullptr;
}

/** @return the bearer token, or an empty view. */
std::string_view FindBearer(const net::HttpHeaders &headers) {
  const std::string *value = headers.Find("Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (value == nullptr || value->size() <= kScheme.size()) return {};
  std::string_view text = *value;
  if (text.substr(0, kScheme.size()) != kScheme) return {};
  return text.substr(kScheme.size());
}

}  // namespace

bool Authenticate(RequestScope *scope) {
  const net::HttpHeaders &headers = scope->m_request->m_headers;
  std::string named = headers.Get("X-Customer");
  std::string_view bearer = FindBearer(headers);
  const config::Catalog &catalog = *scope->m_catalog;
  const gen::Customer *customer = nullptr;
  if (!bearer.empty()) {
    customer = FindByHash(catalog, HashKey(bearer));
    bool is_valid =
        customer != nullptr && (named.empty() || named == customer->name());
    if (!is_valid) {
      Refuse(scope, route::RefusalReason::kUnauthorized);
      return false;
    }
  } else if (!named.empty()) {
    auto found = catalog.m_customers.find(named);
    // A customer without a declared key needs no credentials: its name only
    // selects limits.
    bool is_valid = found != catalog.m_customers.end() &&
                    found->second->key_sha256().empty();
    if (!is_valid) {
      Refuse(scope, route::RefusalReason::kUnauthorized);
      return false;
    }
    customer = found->second;
  }
  if (customer == nullptr) return true;
  scope->m_customer = customer->name();
  scope->m_customer_weight = customer->weight();
  return true;
}

}  // namespace wasabiwind::entry
