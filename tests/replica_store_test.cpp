/** @file replica_store_test.cpp Tests of the files of one host. */

#include <gtest/gtest.h>

#include "replica/log_func.h"
#include "replica/store_base.h"
#include "replica_memory_files.h"

namespace wasabiwind::replica {
namespace {

constexpr int kEntries = 5;

Members MakeMembers() {
  Members members;
  for (const char *name : {"a", "b", "c"}) {
    members.push_back(
        Member{HostIdentity{base::NodeId(name), 1}, true, "127.0.0.1:1", ""});
  }
  return members;
}

struct OpenedHost {
  base::Error m_error;
  LoadedState m_loaded;
  std::unique_ptr<Store> m_store;
};

OpenedHost OpenHost(MemoryFiles *files) {
  OpenedHost host;
  base::Result<std::unique_ptr<Store>> store =
      Store::Open(files, &host.m_loaded);
  if (store) {
    host.m_store = std::move(*store);
  } else {
    host.m_error = store.error();
  }
  return host;
}

/** Adds entries in term 3, one save each, as a follower would. */
void SaveEntries(OpenedHost *host) {
  RaftState state = MakeRaftState({}, host->m_loaded, 1, base::TimePoint());
  state.m_term = 3;
  state.m_voted_for = HostIdentity{base::NodeId("b"), 1};
  for (int i = 1; i <= kEntries; ++i) {
    Entry entry;
    entry.m_term = 3;
    entry.m_kind = gen::ENTRY_COMMAND;
    entry.m_body = std::string(200, static_cast<char>('0' + i));
    AppendEntry(&state.m_log, entry);
    Effects effects;
    effects.m_is_vote_changed = i == 1;
    effects.m_log_changed_from = i;
    ASSERT_TRUE(host->m_store->Save(state, effects));
  }
}

class StoreTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(FormatFirstMember(&m_files, base::NodeId("a"), MakeMembers()));
    OpenedHost host = OpenHost(&m_files);
    ASSERT_NE(host.m_store, nullptr) << host.m_error.ToString();
    SaveEntries(&host);
  }

  std::string *WalBytes() { return m_files.Bytes(m_files.FindName("wal-")); }

  MemoryFiles m_files;
  base::Random m_random{7};
};

// Guards against a restart that loses the vote or synced entries.
TEST_F(StoreTest, KeepsVoteAndEntriesOverPowerLoss) {
  m_files.Crash(&m_random);
  OpenedHost host = OpenHost(&m_files);
  ASSERT_NE(host.m_store, nullptr);
  EXPECT_EQ(host.m_loaded.m_term, 3U);
  EXPECT_EQ(host.m_loaded.m_voted_for.m_host.Value(), "b");
  EXPECT_EQ(GetLastIndex(host.m_loaded.m_log), kEntries);
  EXPECT_EQ(host.m_loaded.m_log.m_damaged, 0U);
}

// Guards against treating an unfinished write as damage, which would make the
// host wait for a repair that no peer can provide.
TEST_F(StoreTest, DropsTornTail) {
  std::string *wal = WalBytes();
  wal->append(std::string(300, 'x'));
  OpenedHost host = OpenHost(&m_files);
  ASSERT_NE(host.m_store, nullptr);
  EXPECT_EQ(GetLastIndex(host.m_loaded.m_log), kEntries);
  EXPECT_EQ(host.m_loaded.m_log.m_damaged, 0U);
  EXPECT_EQ(host.m_loaded.m_torn_bytes, 300U);
}

// Guards against treating a damaged entry, in any place and with any part of
// its record hit, as absent.
TEST_F(StoreTest, KeepsPlaceAndTermOfEachDamagedEntry) {
  std::size_t damaged = 0;
  for (std::size_t at = 0; at < WalBytes()->size(); at += 16) {
    MemoryFiles copy;
    ASSERT_TRUE(FormatFirstMember(&copy, base::NodeId("a"), MakeMembers()));
    OpenedHost first = OpenHost(&copy);
    SaveEntries(&first);
    (*copy.Bytes(copy.FindName("wal-")))[at] ^= 4;
    OpenedHost host = OpenHost(&copy);
    ASSERT_NE(host.m_store, nullptr);
    const Log &log = host.m_loaded.m_log;
    ASSERT_EQ(GetLastIndex(log), kEntries) << "byte " << at;
    for (LogIndex i = 1; i <= kEntries; ++i) {
      EXPECT_EQ(GetTermAt(log, i), 3U) << "byte " << at << " entry " << i;
    }
    EXPECT_LE(log.m_damaged, 1U);
    damaged += log.m_damaged;
    // The marker must survive the next start as well.
    OpenedHost again = OpenHost(&copy);
    EXPECT_EQ(again.m_loaded.m_log.m_damaged, log.m_damaged);
  }
  // A change of any byte except the padding must be detected as damage.
  EXPECT_GE(damaged, kEntries * (64 + 200) / 16);
}

// Guards against treating a lost log file as an empty log.
TEST_F(StoreTest, LostLogFileLeavesDamagedEntries) {
  ASSERT_TRUE(m_files.Remove(m_files.FindName("wal-")));
  OpenedHost host = OpenHost(&m_files);
  ASSERT_NE(host.m_store, nullptr);
  EXPECT_EQ(host.m_loaded.m_log.m_damaged, kEntries);
  EXPECT_EQ(GetLastPosition(host.m_loaded.m_log), (LogPosition{3, kEntries}));
}

// Guards against losing the vote through one damaged or stale copy.
TEST_F(StoreTest, OneDamagedSuperblockCopyIsTolerated) {
  for (int copy = 0; copy < 4; ++copy) {
    std::string *bytes = m_files.Bytes("superblock");
    (*bytes)[copy * 4096 + 30] ^= 1;
    OpenedHost host = OpenHost(&m_files);
    ASSERT_NE(host.m_store, nullptr) << "copy " << copy;
    EXPECT_EQ(host.m_loaded.m_voted_for.m_host.Value(), "b");
    EXPECT_EQ(GetLastIndex(host.m_loaded.m_log), kEntries);
  }
}

// Guards against voting twice in a term after the superblock was lost.
TEST_F(StoreTest, LostSuperblockNeedsReplacement) {
  ASSERT_TRUE(m_files.Remove("superblock"));
  EXPECT_EQ(OpenHost(&m_files).m_error.m_kind, base::ErrorKind::kNotFound);
  ASSERT_TRUE(FormatReplacement(&m_files, base::NodeId("a"), 77));
  OpenedHost host = OpenHost(&m_files);
  ASSERT_NE(host.m_store, nullptr);
  EXPECT_EQ(host.m_loaded.m_self.m_incarnation, 77U);
  RaftState state = MakeRaftState({}, host.m_loaded, 1, base::TimePoint());
  EXPECT_FALSE(CanCampaign(state));
  EXPECT_NE(m_files.FindName("lost-wal-"), "");
}

// Guards against voting twice in a term after an old superblock was put back.
TEST_F(StoreTest, StaleSuperblockNeedsReplacement) {
  MemoryFiles older;
  ASSERT_TRUE(FormatFirstMember(&older, base::NodeId("a"), MakeMembers()));
  OpenHost(&older);
  *m_files.Bytes("superblock") = *older.Bytes("superblock");
  EXPECT_EQ(OpenHost(&m_files).m_error.m_kind, base::ErrorKind::kNotFound);
}

}  // namespace
}  // namespace wasabiwind::replica
