/** @file upstream_table.cpp Upstreams that this node knows. */

#include "entry/upstream_table.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

#include "base/log_func.h"

namespace wasabiwind::entry {

namespace {

constexpr std::size_t kShards = 16;

struct Entry {
  gen::UpstreamRecord m_record;
  ReportedLoad m_load;
  base::TimePoint m_renewed;  ///< last announcement to this host
  bool m_is_local = false;    ///< announces itself to this host
  bool m_is_suspect = false;
  /** Record of the same incarnation that another entry host has reported since
   * the last announcement here. */
  std::optional<gen::UpstreamRecord> m_other_host_record;
  bool m_has_reported_again = false;  ///< in this incarnation, see Announce
};

struct Shard {
  std::mutex m_mutex;
  absl::flat_hash_map<std::string, Entry> m_entries;  ///< guarded by m_mutex
};

UpstreamViewPtr MakeView(const gen::UpstreamRecord &record, bool is_suspect) {
  base::Result<net::Endpoint> endpoint = net::ParseEndpoint(record.address());
  if (!endpoint) return nullptr;
  auto view = std::make_shared<UpstreamView>();
  view->m_id = base::UpstreamId(record.upstream());
  view->m_incarnation = base::Incarnation(record.incarnation());
  view->m_endpoint = *endpoint;
  view->m_region = base::RegionId(record.region());
  view->m_slots = record.slots();
  view->m_is_suspect = is_suspect;
  if (record.kind() == "service") {
    view->m_service = record.service();
    return view;
  }
  view->m_loaded.reserve(static_cast<std::size_t>(record.loaded_size()));
  for (const gen::LoadedTarget &loaded : record.loaded()) {
    view->m_loaded.emplace_back(loaded.target());
  }
  return view;
}

/** @return whether two records differ in more than their sequence. */
bool IsChanged(const gen::UpstreamRecord &old_record,
               const gen::UpstreamRecord &new_record) {
  gen::UpstreamRecord compared = new_record;
  compared.set_sequence(old_record.sequence());
  return compared.SerializeAsString() != old_record.SerializeAsString();
}

}  // namespace

struct UpstreamTable::Impl {
  UpstreamTableOptions m_options;
  Dispatcher *m_dispatcher;
  std::function<void(const gen::UpstreamRecord &)> m_report;
  std::array<Shard, kShards> m_shards;
  std::atomic<std::size_t> m_count = 0;

  Shard &ShardOf(const std::string &upstream) {
    return m_shards[std::hash<std::string>()(upstream) % kShards];
  }
  void Publish(const Entry &entry);
  void NoteLoad(const Entry &entry);
  bool TickEntry(Entry *entry, base::TimePoint now);
};

UpstreamTable::UpstreamTable(
    UpstreamTableOptions options, Dispatcher *dispatcher,
    std::function<void(const gen::UpstreamRecord &)> report)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_options = std::move(options);
  m_impl->m_dispatcher = dispatcher;
  m_impl->m_report = std::move(report);
}

UpstreamTable::~UpstreamTable() = default;

void UpstreamTable::Impl::Publish(const Entry &entry) {
  UpstreamViewPtr view;
  if (entry.m_record.state() == gen::UPSTREAM_READY) {
    view = MakeView(entry.m_record, entry.m_is_suspect);
  }
  if (view != nullptr) {
    m_dispatcher->PutUpstream(view);
  } else {
    m_dispatcher->RemoveUpstream(base::UpstreamId(entry.m_record.upstream()));
  }
}

void UpstreamTable::Impl::NoteLoad(const Entry &entry) {
  if (entry.m_record.kind() == "service") return;
  m_dispatcher->NoteLoad(base::UpstreamId(entry.m_record.upstream()),
                         entry.m_load.m_running, entry.m_load.m_waiting,
                         entry.m_load.m_age);
}

AnnounceOutcome UpstreamTable::Announce(const Announcement &announcement,
                                        base::TimePoint now) {
  const gen::UpstreamRecord &record = announcement.m_record;
  Shard &shard = m_impl->ShardOf(record.upstream());
  std::lock_guard<std::mutex> lock(shard.m_mutex);
  auto found = shard.m_entries.find(record.upstream());
  if (found == shard.m_entries.end()) {
    if (m_impl->m_count >= m_impl->m_options.m_max_upstreams) {
      return AnnounceOutcome::kTableFull;
    }
    found = shard.m_entries.emplace(record.upstream(), Entry()).first;
    ++m_impl->m_count;
  }
  Entry &entry = found->second;
  if (record.incarnation() < entry.m_record.incarnation()) {
    return AnnounceOutcome::kOldIncarnation;
  }
  bool is_new = record.incarnation() != entry.m_record.incarnation() ||
                entry.m_record.upstream().empty();
  gen::UpstreamRecord fresh = record;
  fresh.set_observer(m_impl->m_options.m_node);
  if (fresh.region().empty()) fresh.set_region(m_impl->m_options.m_region);
  if (is_new) entry.m_has_reported_again = false;
  // Another host has reported the upstream, too. It must learn, once, that the
  // announcements come here now, or it would report the upstream as gone.
  bool must_report_again =
      entry.m_other_host_record && !entry.m_has_reported_again &&
      entry.m_other_host_record->sequence() >= entry.m_record.sequence();
  std::uint64_t sequence = entry.m_record.sequence();
  if (must_report_again) {
    entry.m_has_reported_again = true;
    sequence = entry.m_other_host_record->sequence();
  }
  bool is_changed =
      is_new || must_report_again || IsChanged(entry.m_record, fresh);
  bool was_suspect = entry.m_is_suspect;
  entry.m_renewed = now;
  entry.m_load = announcement.m_load;
  entry.m_is_local = true;
  entry.m_is_suspect = false;
  entry.m_other_host_record.reset();
  if (!is_changed && !was_suspect) {
    m_impl->NoteLoad(entry);
    return AnnounceOutcome::kAccepted;
  }
  if (is_changed) {
    fresh.set_sequence(is_new ? 1 : sequence + 1);
    entry.m_record = std::move(fresh);
    m_impl->m_report(entry.m_record);
    base::LogEvent(
        base::LogLevel::kInfo, "upstream_changed",
        {{"upstream", record.upstream()},
         {"incarnation", record.incarnation()},
         {"loaded", record.loaded_size()},
         {"state",
          record.state() == gen::UPSTREAM_READY ? "ready" : "leaving"}});
  }
  m_impl->Publish(entry);
  m_impl->NoteLoad(entry);
  return AnnounceOutcome::kAccepted;
}

void UpstreamTable::ApplyRemote(const gen::UpstreamRecord &record) {
  Shard &shard = m_impl->ShardOf(record.upstream());
  std::lock_guard<std::mutex> lock(shard.m_mutex);
  auto found = shard.m_entries.find(record.upstream());
  bool is_gone = record.state() == gen::UPSTREAM_GONE;
  if (found == shard.m_entries.end()) {
    if (is_gone || m_impl->m_count >= m_impl->m_options.m_max_upstreams) return;
    found = shard.m_entries.emplace(record.upstream(), Entry()).first;
    ++m_impl->m_count;
  }
  Entry &entry = found->second;
  const gen::UpstreamRecord &known = entry.m_record;
  bool is_newer_start = record.incarnation() > known.incarnation();
  bool is_newer_change = record.incarnation() == known.incarnation() &&
                         record.sequence() >= known.sequence() &&
                         !entry.m_is_local;
  bool is_from_other_host = entry.m_is_local &&
                            record.incarnation() == known.incarnation() &&
                            record.observer() != known.observer();
  if (is_from_other_host) {
    // The upstream may announce itself to that host from now on.
    entry.m_other_host_record.reset();
    if (!is_gone) entry.m_other_host_record = record;
  }
  bool has_moved = is_from_other_host && !is_gone && entry.m_is_suspect;
  if (!is_newer_start && !is_newer_change && !has_moved) return;
  entry.m_record = record;
  entry.m_is_local = false;
  entry.m_is_suspect = false;
  entry.m_other_host_record.reset();
  m_impl->Publish(entry);
  if (!is_gone) return;
  shard.m_entries.erase(found);
  --m_impl->m_count;
}

/** @return whether the entry is to be erased. */
bool UpstreamTable::Impl::TickEntry(Entry *entry, base::TimePoint now) {
  if (!entry->m_is_local) return false;
  base::Duration silent = now - entry->m_renewed;
  if (silent >= m_options.m_remove_after) {
    entry->m_record.set_state(gen::UPSTREAM_GONE);
    entry->m_record.set_sequence(entry->m_record.sequence() + 1);
    m_report(entry->m_record);
    Publish(*entry);
    base::LogEvent(base::LogLevel::kWarn, "upstream_removed",
                   {{"upstream", entry->m_record.upstream()}});
    return true;
  }
  if (silent < m_options.m_suspect_after || entry->m_is_suspect) return false;
  if (entry->m_other_host_record) {
    entry->m_record = *entry->m_other_host_record;
    entry->m_is_local = false;
    entry->m_other_host_record.reset();
    Publish(*entry);
    return false;
  }
  entry->m_is_suspect = true;
  Publish(*entry);
  base::LogEvent(base::LogLevel::kWarn, "upstream_suspect",
                 {{"upstream", entry->m_record.upstream()}});
  return false;
}

void UpstreamTable::Tick(base::TimePoint now) {
  for (Shard &shard : m_impl->m_shards) {
    std::lock_guard<std::mutex> lock(shard.m_mutex);
    for (auto it = shard.m_entries.begin(); it != shard.m_entries.end();) {
      auto current = it++;
      if (!m_impl->TickEntry(&current->second, now)) continue;
      shard.m_entries.erase(current);
      --m_impl->m_count;
    }
  }
}

std::size_t UpstreamTable::Count() const { return m_impl->m_count; }

}  // namespace wasabiwind::entry
