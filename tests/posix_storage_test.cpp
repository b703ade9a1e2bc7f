// Tests of `Storage` on real files of the operating system: the lock, recovery, and damaged files.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "controller_node.hpp"
#include "storage_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::storage_testing;
namespace {
std::string freshDir() {
  std::string name = std::filesystem::temp_directory_path() / "zinccleat-storage-XXXXXX";
  return ::mkdtemp(name.data());
}
int filesIn(const std::string& folder) {
  int count = 0;
  for (auto& entry : std::filesystem::directory_iterator(folder))
    (void)entry, ++count;
  return count;
}
}  // namespace

// --- Lock ---

TEST(StorageLock, SecondProcessIsRejectedAndNothingChanges) {
  const auto folder = freshDir();
  auto first = std::make_unique<Storage>(folder);
  ASSERT_TRUE(recoverStorage(*first, [](const Error&) { return false; }));
  ASSERT_TRUE(first->append(recordOf(1, true)));
  std::ofstream(folder + "/record-000000000002.tmp") << "under way";
  Storage second(folder);
  int waits = 0;
  const auto refused = recoverStorage(second, [&waits](const Error&) { return ++waits < 3; });
  EXPECT_EQ(waits, 3) << "the other process may be ending";
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ErrorCode::locked);
  EXPECT_TRUE(std::filesystem::exists(folder + "/record-000000000002.tmp"));
  first.reset();
  EXPECT_TRUE(recoverStorage(second, [](const Error&) { return false; }));
  std::filesystem::remove_all(folder);
}
TEST(StorageLock, IsReleasedWhenAProcessIsKilled) {
  const auto folder = freshDir();
  int ready[2];
  ASSERT_EQ(::pipe(ready), 0);
  const auto child = ::fork();
  if (child == 0) {
    Storage holder(folder);
    const char state = holder.lock() ? 'y' : 'n';
    (void)!::write(ready[1], &state, 1);
    for (;;)
      ::pause();
  }
  char state = 0;
  ASSERT_EQ(::read(ready[0], &state, 1), 1);
  ASSERT_EQ(state, 'y');
  Storage other(folder);
  const auto refused = other.lock();
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  ::close(ready[0]);
  ::close(ready[1]);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ErrorCode::locked);
  EXPECT_TRUE(other.lock());
  std::filesystem::remove_all(folder);
}

TEST(StorageLock, ControllerRejectsAFolderItCannotUse) {
  Settings settings;
  settings.ip = "127.0.5.2";
  settings.firstPort = 7960, settings.lastPort = 7975;
  settings.dataDir = freshDir();
  Storage holder(settings.dataDir);
  ASSERT_TRUE(holder.lock());
  runtime::Startup withoutWaiting({.inUse = Duration(0)});
  const auto locked = ControllerNode(settings).start(withoutWaiting);
  ASSERT_FALSE(locked);
  EXPECT_EQ(locked.error().message, settings.dataDir + ": another process uses this folder");
  EXPECT_EQ(filesIn(settings.dataDir), 1);
  std::filesystem::remove_all(settings.dataDir);

  settings.dataDir = freshDir();
  std::ofstream(settings.dataDir + "/page-000000000001") << "zcpage2 and so on";
  runtime::Startup startup;
  const auto older = ControllerNode(settings).start(startup);
  ASSERT_FALSE(older);
  EXPECT_NE(older.error().message.find("page-000000000001 is in an older format"), std::string::npos);
  EXPECT_TRUE(std::filesystem::exists(settings.dataDir + "/page-000000000001"));
  std::filesystem::remove_all(settings.dataDir);
}

// --- Operating system ---

TEST(PosixStorage, RecordsAreLoadedInOrder) {
  const auto folder = freshDir();
  Storage storage(folder);
  EXPECT_FALSE(storage.append(recordOf(1, true))) << "the storage is not loaded yet";
  ASSERT_TRUE(storage.load());
  ASSERT_TRUE(storage.append(recordOf(1, true)));
  ASSERT_TRUE(storage.append(recordOf(2, false)));
  EXPECT_FALSE(storage.append(recordOf(4, false))) << "the record before it is missing";
  EXPECT_FALSE(storage.append(recordOf(2, false))) << "the record exists already";
  ASSERT_TRUE(storage.append(recordOf(3, false)));
  const auto records = Storage(folder).load();
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2, 3}));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, FullRecordMakesOlderFilesObsolete) {
  const auto folder = freshDir();
  Storage storage(folder);
  ASSERT_TRUE(storage.load());
  for (int i = 1; i <= 5; ++i)
    ASSERT_TRUE(storage.append(recordOf(i, i == 1 || i == 5)));
  EXPECT_EQ(filesIn(folder), 5) << "append must not remove obsolete files";
  EXPECT_TRUE(storage.removeObsolete(3));
  EXPECT_FALSE(storage.removeObsolete(3));
  EXPECT_EQ(filesIn(folder), 1);
  const auto records = Storage(folder).load();
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{5}));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, TornForeignAndMissingRecordsAreDetected) {
  enum class Damage { truncated, foreign, missing, changedByte };
  for (const auto damage : {Damage::truncated, Damage::foreign, Damage::missing, Damage::changedByte}) {
    SCOPED_TRACE(static_cast<int>(damage));
    const auto folder = freshDir();
    Storage storage(folder);
    ASSERT_TRUE(storage.load());
    for (int i = 1; i <= 4; ++i)
      ASSERT_TRUE(storage.append(recordOf(i, i == 1)));
    const auto file = folder + "/" + recordName(3);
    if (damage == Damage::truncated)
      std::filesystem::resize_file(file, 60);
    if (damage == Damage::foreign)
      std::ofstream(file, std::ios::trunc) << "something else";
    if (damage == Damage::missing)
      std::filesystem::remove(file);
    if (damage == Damage::changedByte) {
      std::fstream stream(file, std::ios::in | std::ios::out);
      stream.seekp(50);
      stream.put('~');
    }
    Storage next(folder);
    const auto records = next.load();
    ASSERT_FALSE(records);
    EXPECT_EQ(records.error().code, ErrorCode::corruption);
    ASSERT_TRUE(next.quarantine());
    EXPECT_TRUE(next.load()->empty());
    EXPECT_TRUE(next.hasQuarantine());
    EXPECT_EQ(filesIn(folder), damage == Damage::missing ? 3 : 4);
    std::filesystem::remove_all(folder);
  }
}
TEST(PosixStorage, FormatOfAnotherVersionIsNoCorruption) {
  const auto folder = freshDir();
  const auto file = folder + "/" + recordName(1);
  std::ofstream(file) << encodeRecordAs(kRecordFormat + 1, recordOf(1, true));
  const auto records = Storage(folder).load();
  ASSERT_FALSE(records);
  EXPECT_EQ(records.error().code, ErrorCode::incompatibleFormat);
  EXPECT_TRUE(std::filesystem::exists(file));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, TemporaryFileIsNoRecord) {
  const auto folder = freshDir();
  Storage storage(folder);
  ASSERT_TRUE(storage.load());
  ASSERT_TRUE(storage.append(recordOf(1, true)));
  const auto temporary = folder + "/" + recordName(2) + ".tmp";
  std::ofstream(temporary) << "half";
  ASSERT_TRUE(storage.append(recordOf(2, false))) << "a temporary file must not block the append";
  std::ofstream(temporary) << "half";
  const auto records = Storage(folder).load();
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2}));
  EXPECT_FALSE(std::filesystem::exists(temporary));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, PathThatIsNoFolderIsReported) {
  const auto folder = freshDir();
  std::ofstream(folder + "/file") << "x";
  Storage storage(folder + "/file");
  int waits = 0;
  const auto recovery = recoverStorage(storage, [&](const Error&) { return ++waits < 3; });
  ASSERT_FALSE(recovery);
  EXPECT_EQ(recovery.error().subcode, ENOTDIR);
  EXPECT_EQ(waits, 0);
  std::filesystem::remove_all(folder);
}
