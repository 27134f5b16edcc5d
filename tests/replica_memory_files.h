/** @file replica_memory_files.h Files in memory that lose what isn't synced. */

#ifndef WASABIWIND_TESTS_REPLICA_MEMORY_FILES_H_
#define WASABIWIND_TESTS_REPLICA_MEMORY_FILES_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random_func.h"
#include "replica/file_type.h"

namespace wasabiwind::replica {

/** Fake data folder. A crash keeps, drops or tears each unsynced write. */
class MemoryFiles : public FileSystem {
 public:
  /** Sync does nothing: injects a disk or program that only reports success. */
  bool m_is_sync_ignored = false;
  /** Operations until all further ones fail; negative: never. */
  int m_operations_left = -1;

  base::Result<std::unique_ptr<File>> Open(const std::string &name) override {
    if (!CountOperation()) return MakePowerLossError();
    std::shared_ptr<Inode> &inode = m_names[name];
    if (inode == nullptr) {
      inode = std::make_shared<Inode>();
      m_name_changes.push_back({name, inode, ""});
    }
    return std::make_unique<MemoryFile>(this, inode);
  }

  base::Result<std::vector<std::string>> List() override {
    std::vector<std::string> names;
    for (const auto &[name, inode] : m_names) names.push_back(name);
    return names;
  }

  base::Result<void> Remove(const std::string &name) override {
    if (!CountOperation()) return MakePowerLossError();
    m_names.erase(name);
    m_name_changes.push_back({name, nullptr, ""});
    return {};
  }

  base::Result<void> Rename(const std::string &from,
                            const std::string &to) override {
    if (!CountOperation()) return MakePowerLossError();
    m_names[to] = m_names[from];
    m_names.erase(from);
    m_name_changes.push_back({to, m_names[to], from});
    return {};
  }

  base::Result<void> SyncFolder() override {
    if (!CountOperation()) return MakePowerLossError();
    m_durable_names = m_names;
    m_name_changes.clear();
    return {};
  }

  /** Simulates a power loss: afterwards only what the disk holds is visible. */
  void Crash(base::Random *random) {
    std::size_t kept = NextRandomBelow(random, m_name_changes.size() + 1);
    for (std::size_t i = 0; i < kept; ++i) {
      const NameChange &change = m_name_changes[i];
      m_durable_names.erase(change.m_old_name);
      if (change.m_inode == nullptr) {
        m_durable_names.erase(change.m_name);
      } else {
        m_durable_names[change.m_name] = change.m_inode;
      }
    }
    m_names = m_durable_names;
    m_name_changes.clear();
    for (auto &[name, inode] : m_names) inode->Crash(random);
    m_operations_left = -1;
  }

  /** Flips one bit. @return false if the file is absent or empty */
  bool FlipBit(const std::string &name, base::Random *random) {
    auto found = m_names.find(name);
    if (found == m_names.end() || found->second->m_current.empty()) {
      return false;
    }
    Inode *inode = found->second.get();
    std::size_t at = NextRandomBelow(random, inode->m_current.size());
    inode->m_current[at] ^= static_cast<char>(1 << NextRandomBelow(random, 8));
    inode->m_durable = inode->m_current;
    return true;
  }

  /** @return the first file whose name has this prefix, or "". */
  std::string FindName(const std::string &prefix) const {
    for (const auto &[name, inode] : m_names) {
      if (name.starts_with(prefix)) return name;
    }
    return "";
  }

  /** @return the bytes of a file, which may be changed. @pre it exists */
  std::string *Bytes(const std::string &name) {
    return &m_names.at(name)->m_current;
  }

  void Clear() {
    m_names.clear();
    m_durable_names.clear();
    m_name_changes.clear();
  }

 private:
  static constexpr std::size_t kSectorBytes = 512;

  struct PendingWrite {
    std::uint64_t m_offset = 0;
    std::string m_data;
  };

  struct Inode {
    std::string m_current;
    std::string m_durable;
    std::vector<PendingWrite> m_pending;

    static void Apply(std::string *bytes, std::uint64_t offset,
                      std::string_view data) {
      if (bytes->size() < offset + data.size()) {
        bytes->resize(offset + data.size());
      }
      bytes->replace(offset, data.size(), data);
    }

    void Crash(base::Random *random) {
      for (const PendingWrite &write : m_pending) {
        switch (NextRandomBelow(random, 3)) {
          case 0:
            break;
          case 1:
            Apply(&m_durable, write.m_offset, write.m_data);
            break;
          default:
            ApplySectors(write, random);
        }
      }
      m_pending.clear();
      m_current = m_durable;
    }

    /** Sectors reach the disk in any order, each wholly or not at all. */
    void ApplySectors(const PendingWrite &write, base::Random *random) {
      std::uint64_t at = 0;
      while (at < write.m_data.size()) {
        std::uint64_t end = (write.m_offset + at) / kSectorBytes + 1;
        std::uint64_t size = end * kSectorBytes - write.m_offset - at;
        std::string_view piece =
            std::string_view(write.m_data).substr(at, size);
        if (NextRandomBelow(random, 2) == 0) {
          Apply(&m_durable, write.m_offset + at, piece);
        }
        at += piece.size();
      }
    }
  };

  struct NameChange {
    std::string m_name;
    std::shared_ptr<Inode> m_inode;  ///< nullptr: removed
    std::string m_old_name;          ///< of a rename
  };

  class MemoryFile : public File {
   public:
    MemoryFile(MemoryFiles *files, std::shared_ptr<Inode> inode)
        : m_files(files), m_inode(std::move(inode)) {}

    base::Result<std::string> Read(std::uint64_t offset,
                                   std::uint64_t size) override {
      if (offset >= m_inode->m_current.size()) return std::string();
      return m_inode->m_current.substr(offset, size);
    }

    base::Result<void> Write(std::uint64_t offset,
                             std::string_view data) override {
      if (!m_files->CountOperation()) return MakePowerLossError();
      Inode::Apply(&m_inode->m_current, offset, data);
      m_inode->m_pending.push_back({offset, std::string(data)});
      return {};
    }

    base::Result<void> Sync() override {
      if (!m_files->CountOperation()) return MakePowerLossError();
      if (m_files->m_is_sync_ignored) return {};
      m_inode->m_durable = m_inode->m_current;
      m_inode->m_pending.clear();
      return {};
    }

    base::Result<std::uint64_t> GetSize() override {
      return m_inode->m_current.size();
    }

   private:
    MemoryFiles *m_files;
    std::shared_ptr<Inode> m_inode;
  };

  static tl::unexpected<base::Error> MakePowerLossError() {
    return base::MakeError(base::ErrorKind::kIo, "power lost", "restart");
  }

  /** @return whether the operation may proceed. */
  bool CountOperation() {
    if (m_operations_left < 0) return true;
    if (m_operations_left == 0) return false;
    --m_operations_left;
    return true;
  }

  std::map<std::string, std::shared_ptr<Inode>> m_names;
  std::map<std::string, std::shared_ptr<Inode>> m_durable_names;
  std::vector<NameChange> m_name_changes;
};

}  // namespace wasabiwind::replica

#endif  // WASABIWIND_TESTS_REPLICA_MEMORY_FILES_H_
