/** @file charge.cpp Which control host an entry host asks for credit. */

#include <vector>

#include "quota/charge_func.h"

namespace wasabiwind::quota {

std::string ChooseChargeHost(const ChargeHosts &hosts,
                             const std::string &followed,
                             const std::set<std::string> &known,
                             const std::set<std::string> &asked,
                             std::uint64_t spread, base::TimePoint now) {
  auto is_avoided = [&hosts, now](const std::string &host) {
    auto found = hosts.m_avoid_until.find(host);
    return found != hosts.m_avoid_until.end() && now < found->second;
  };
  bool may_ask_followed = !followed.empty() && !asked.contains(followed);
  if (may_ask_followed && !is_avoided(followed)) return followed;
  std::vector<std::string> sound;
  std::vector<std::string> avoided;
  for (const std::string &host : known) {
    if (host == followed || asked.contains(host)) continue;
    (is_avoided(host) ? avoided : sound).push_back(host);
  }
  if (!sound.empty()) return sound[spread % sound.size()];
  if (may_ask_followed) return followed;
  return avoided.empty() ? "" : avoided[spread % avoided.size()];
}

void RecordSilentHost(ChargeHosts *hosts, const std::string &host,
                      base::TimePoint now) {
  std::erase_if(hosts->m_avoid_until,
                [now](const auto &item) { return item.second <= now; });
  hosts->m_avoid_until[host] = now + kAvoidSilentHost;
}

void RecordAnsweringHost(ChargeHosts *hosts, const std::string &host) {
  hosts->m_avoid_until.erase(host);
}

}  // namespace wasabiwind::quota
