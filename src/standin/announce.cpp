/** @file announce.cpp Announcements of a test double to entry hosts. */

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <mutex>

#include "base/log_func.h"
#include "standin/announce_base.h"
#include "standin/json_func.h"
#include "standin/record_base.h"

namespace wasabiwind::standin {

namespace {

/** No entry hosts are added from responses beyond this number. */
constexpr std::size_t kMaxEntryHosts = 1024;
/** Pause after a failed announcement, such as to an entry host that starts. */
constexpr base::milliseconds kRetryDelay{200};

}  // namespace

std::uint64_t MakeIncarnation(const gen::UpstreamSettings &settings) {
  if (settings.incarnation() != 0) {
    return static_cast<std::uint64_t>(settings.incarnation());
  }
  return static_cast<std::uint64_t>(GetWallMicroseconds());
}

Announcer::Announcer(const gen::UpstreamSettings &settings,
                     std::function<boost::json::object()> make_body)
    : m_settings(settings), m_make_body(std::move(make_body)) {
  for (const std::string &text : settings.entries()) {
    base::Result<net::Endpoint> entry = net::ParseEndpoint(text);
    if (entry) {
      m_entry_hosts.push_back(*entry);
    } else {
      base::LogEvent(base::LogLevel::kError, "entry_address_invalid",
                     {{"error", entry.error().ToString()}});
    }
  }
}

void Announcer::Run() {
  while (!m_stopped) {
    WaitForNextRound(AnnounceToAll());
  }
}

void Announcer::WaitForNextRound(bool accepted) {
  base::milliseconds wait(m_settings.renew_ms());
  if (!accepted) wait = std::min(wait, kRetryDelay);
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_changed.wait_for(lock, wait,
                     [this] { return m_stopped || m_announce_now; });
  m_announce_now = false;
}

/** @return whether as many entry hosts as configured accepted it. */
bool Announcer::AnnounceToAll() {
  if (m_entry_hosts.empty()) return true;
  boost::json::object body = m_make_body();
  body["state"] = m_leaving ? "leaving" : "ready";
  std::string text = boost::json::serialize(body);
  std::size_t known = m_entry_hosts.size();
  std::size_t wanted =
      m_settings.announce_to() == 0
          ? known
          : std::min(known, static_cast<std::size_t>(m_settings.announce_to()));
  std::size_t accepted = 0;
  bool first_failed = false;
  for (std::size_t i = 0; i < known && accepted < wanted; ++i) {
    net::Endpoint entry = m_entry_hosts[(m_first_entry_host + i) % known];
    if (Announce(entry, text)) {
      ++accepted;
    } else if (accepted == 0) {
      first_failed = true;
    }
  }
  if (first_failed) m_first_entry_host = (m_first_entry_host + 1) % known;
  return accepted >= wanted;
}

bool Announcer::Announce(const net::Endpoint &entry, const std::string &body) {
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/upstream/v1/announce";
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = body;
  base::TimePoint deadline =
      base::Clock::now() + base::milliseconds(m_settings.renew_ms());
  base::Result<net::HttpResponse> answer =
      m_clients.Fetch(entry, request, deadline);
  if (!answer || answer->m_status != 200) {
    base::LogEvent(base::LogLevel::kWarn, "announce_failed",
                   {{"entry", entry.ToString()},
                    {"error", answer ? std::to_string(answer->m_status)
                                     : answer.error().ToString()}});
    return false;
  }
  AddEntryHosts(answer->m_body);
  return true;
}

void Announcer::AddEntryHosts(const std::string &answer) {
  base::Result<boost::json::object> body = ParseObject(answer);
  if (!body) return;
  const boost::json::array *entries = FindArray(*body, "entries");
  if (entries == nullptr) return;
  for (const boost::json::value &item : *entries) {
    if (!item.is_string() || m_entry_hosts.size() >= kMaxEntryHosts) continue;
    base::Result<net::Endpoint> entry = net::ParseEndpoint(
        std::string(item.as_string().data(), item.as_string().size()));
    if (!entry) continue;
    if (std::find(m_entry_hosts.begin(), m_entry_hosts.end(), *entry) ==
        m_entry_hosts.end()) {
      m_entry_hosts.push_back(*entry);
    }
  }
}

void Announcer::AnnounceNow() {
  m_announce_now = true;
  m_changed.notify_all();
}

void Announcer::Leave() {
  m_leaving = true;
  AnnounceNow();
}

void Announcer::Stop() {
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace wasabiwind::standin
