// The quarantine of corrupted disks.
#include <gtest/gtest.h>

#include "storage_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::storage_testing;

TEST(StorageQuarantine, CorruptedDiskIsQuarantinedAndTheMemberStartsEmpty) {
  for (const auto* shape : {"fx", "x", "f-i", "fiiixi", "fi-fx", "fixif-i"}) {
    auto folder = folderOf(shape);
    folder["record-000000000009.tmp"] = "half";
    Disk disk(folder);
    auto storage = storageOn(disk);
    const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
    ASSERT_TRUE(recovery) << shape << ": " << recovery.error().message;
    EXPECT_TRUE(recovery->records.empty());
    EXPECT_TRUE(recovery->identityLost);
    ASSERT_EQ(recovery->warnings.size(), 1U) << "reported once, in a line";
    EXPECT_NE(recovery->warnings[0].find("damaged-000001-"), std::string::npos);
    for (auto& [name, content] : folder)
      EXPECT_EQ(disk.content()["damaged-000001-" + name], content) << shape << ": " << name;
    EXPECT_TRUE(disk.changes.empty()) << "all of it durable";
    EXPECT_TRUE(storage.append(recordOf(1, false)));
    auto restarted = storageOn(disk);
    EXPECT_EQ(sequencesOf(*restarted.load()), (Sequences{1}));
    EXPECT_TRUE(restarted.hasQuarantine()) << "remembered over restarts";
  }
}
TEST(StorageQuarantine, PowerLossAtEachOperationNeverRevivesAnOlderState) {
  int runs = 0;
  std::size_t outcomes = 0;
  for (const auto* shape : {"fx", "fi-i", "fiiix", "fixi", "fi-fx", "fiifixi", "f-f-i", "fiif-ii", "iix"})
    for (int operation = 0, lost = 1; lost; ++operation, ++runs) {
      Disk disk(folderOf(shape));
      losePowerAt(disk, operation);
      lost = 0;
      try {
        auto storage = storageOn(disk);
        const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
        ASSERT_TRUE(recovery);
      } catch (const PowerLoss&) {
        lost = 1;
      }
      for (auto& folder : disk.afterPowerLoss()) {
        ++outcomes;
        Disk found(folder);
        const auto records = loadFrom(found);
        const bool safe = records ? records->empty() : records.error().code == ErrorCode::corruption;
        ASSERT_TRUE(safe) << shape << " power lost before operation " << operation;
      }
    }
  RecordProperty("runs", runs);
  RecordProperty("outcomes", static_cast<int>(outcomes));
}
TEST(StorageQuarantine, ErrorAtEachOperationIsRetried) {
  for (const auto how : {Fate::failsBefore, Fate::failsAfter})
    for (int failing = 0, done = 0; !done; ++failing) {
      Disk disk(folderOf("fixi"));
      done = 1;
      disk.fate = [&](Operation, int number) {
        if (number != failing)
          return Fate::succeeds;
        done = 0;
        return how;
      };
      auto storage = storageOn(disk);
      const auto recovery = recoverStorage(storage, [](const Error&) { return true; });
      ASSERT_TRUE(recovery) << failing;
      ASSERT_TRUE(recovery->records.empty());
      ASSERT_TRUE(recovery->identityLost);
      std::set<std::string> contents;
      std::set<std::string> expected;
      for (auto& [name, content] : folderOf("fixi"))
        expected.insert(content);
      for (auto& [name, content] : disk.content()) {
        ASSERT_EQ(name.rfind("damaged-", 0), 0U) << name;
        contents.insert(content);
      }
      ASSERT_EQ(contents, expected) << "nothing deleted";
    }
}
TEST(StorageQuarantine, OnlyAWriteWithoutSpaceRemovesAnOlderSetNeverTheNewest) {
  Disk disk(folderOf("fx"));
  for (int set = 1; set <= 3; ++set) {
    auto storage = storageOn(disk);
    ASSERT_TRUE(recoverStorage(storage, [](const Error&) { return false; }));
    for (int sequence = 1; sequence <= 2; ++sequence)
      ASSERT_TRUE(storage.append(recordOf(sequence, sequence == 1)));
    if (set < 3)
      disk.files[static_cast<std::size_t>(disk.names[recordName(2)])].content.back() ^= 1;
  }
  EXPECT_EQ(disk.names.size(), 8U) << "three sets of two, and two records";
  auto storage = storageOn(disk);
  ASSERT_TRUE(storage.load());
  disk.capacity = disk.used();
  EXPECT_FALSE(storage.append(recordOf(3, false)));
  EXPECT_EQ(disk.names.count("damaged-000001-" + recordName(1)), 0U);
  EXPECT_EQ(disk.names.count("damaged-000002-" + recordName(1)), 1U);
  EXPECT_TRUE(storage.append(recordOf(3, false)));
  for (int i = 0; i < 5; ++i) {
    disk.capacity = disk.used();
    (void)storage.append(recordOf(4, false));
  }
  EXPECT_EQ(disk.names.count("damaged-000003-" + recordName(1)), 1U);
  EXPECT_EQ(disk.names.count("damaged-000003-" + recordName(2)), 1U);
}
