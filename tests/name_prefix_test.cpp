/// @file
/// Tests of several storages that share one folder.
#include "storage/name_prefix.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "storage/storage.hpp"

using namespace zinccleat;
using namespace zinccleat::storage;
namespace {
struct Folder {
  std::string path = std::filesystem::temp_directory_path() / "zinccleat-prefix-XXXXXX";
  Folder() { path = ::mkdtemp(path.data()); }
  ~Folder() { std::filesystem::remove_all(path); }
  Storage plain() const { return Storage(path); }
  Storage prefixed(const std::string& prefix) const { return Storage(withNamePrefix(openPosixFolder(path), prefix)); }
};
consensus::DiskRecord recordOf(const std::string& self) {
  consensus::DiskRecord record;
  record.seq = 1;
  record.full = true;
  record.self = self;
  return record;
}
std::string selfIn(Storage storage) {
  const auto records = storage.load();
  return records && records->size() == 1 ? records->front().self : "";
}
}  // namespace

TEST(NamePrefix, StoragesInOneFolderDoNotSeeEachOther) {
  const Folder folder;
  for (const std::string prefix : {"", "shard0-", "shard1-"}) {
    auto storage = prefix.empty() ? folder.plain() : folder.prefixed(prefix);
    ASSERT_TRUE(storage.lock()) << "each storage has its own lock";
    ASSERT_TRUE(storage.load()->empty());
    ASSERT_TRUE(storage.append(recordOf("member" + prefix)));
  }
  EXPECT_EQ(selfIn(folder.plain()), "member");
  EXPECT_EQ(selfIn(folder.prefixed("shard0-")), "membershard0-");
  EXPECT_EQ(selfIn(folder.prefixed("shard1-")), "membershard1-");
}
TEST(NamePrefix, AQuarantineTouchesOnlyItsOwnFiles) {
  const Folder folder;
  for (const std::string prefix : {"shard0-", "shard1-"}) {
    auto storage = folder.prefixed(prefix);
    ASSERT_TRUE(storage.load());
    ASSERT_TRUE(storage.append(recordOf(prefix)));
  }
  auto damaged = folder.prefixed("shard0-");
  ASSERT_TRUE(damaged.quarantine());
  EXPECT_TRUE(damaged.load()->empty());
  EXPECT_TRUE(damaged.hasQuarantine());
  auto other = folder.prefixed("shard1-");
  EXPECT_EQ(other.load()->size(), 1U);
  EXPECT_FALSE(other.hasQuarantine());
}
