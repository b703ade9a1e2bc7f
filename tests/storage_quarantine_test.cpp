// Tests of the quarantine of corrupted disks.
#include <gtest/gtest.h>

#include "storage_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::storage_testing;
namespace {
bool giveUp(const Error&) {
  return false;
}
bool retry(const Error&) {
  return true;
}

/// Recovers a disk that loses power at this operation.
/// @return whether the power was lost.
bool recoverWithPowerLossAt(Disk& disk, int operation) {
  losePowerAt(disk, operation);
  try {
    auto storage = storageOn(disk);
    EXPECT_TRUE(recoverStorage(storage, giveUp));
    return false;
  } catch (const PowerLoss&) {
    return true;
  }
}
/// Whether `load` finds an empty folder or reports a corruption.
bool isEmptyOrCorrupted(const Disk::Content& folder) {
  Disk disk(folder);
  const auto records = loadFrom(disk);
  return records ? records->empty() : records.error().code == ErrorCode::corruption;
}
std::multiset<std::string> contentsOf(const Disk::Content& folder) {
  std::multiset<std::string> contents;
  for (const auto& [name, content] : folder)
    contents.insert(content);
  return contents;
}
}  // namespace

TEST(StorageQuarantine, CorruptedDiskIsQuarantinedAndTheMemberStartsEmpty) {
  for (const auto* shape : {"fx", "x", "f-i", "fiiixi", "fi-fx", "fixif-i"}) {
    auto folder = folderOf(shape);
    folder["record-000000000009.tmp"] = "half";
    Disk disk(folder);
    auto storage = storageOn(disk);
    const auto recovery = recoverStorage(storage, giveUp);
    ASSERT_TRUE(recovery) << shape << ": " << recovery.error().message;
    EXPECT_TRUE(recovery->records.empty());
    EXPECT_TRUE(recovery->identityLost);
    ASSERT_EQ(recovery->warnings.size(), 1U) << "the corruption is reported in one line";
    EXPECT_NE(recovery->warnings[0].find("damaged-000001-"), std::string::npos);
    for (auto& [name, content] : folder)
      EXPECT_EQ(disk.content()["damaged-000001-" + name], content) << shape << ": " << name;
    EXPECT_TRUE(disk.changes.empty()) << "all renames must be durable";
    EXPECT_TRUE(storage.append(recordOf(1, false)));
    auto restarted = storageOn(disk);
    EXPECT_EQ(sequencesOf(*restarted.load()), (Sequences{1}));
    EXPECT_TRUE(restarted.hasQuarantine()) << "the quarantine must be detected after a restart";
  }
}
TEST(StorageQuarantine, PowerLossAtEachOperationNeverRevivesAnOlderState) {
  int runs = 0;
  std::size_t outcomes = 0;
  for (const auto* shape : {"fx", "fi-i", "fiiix", "fixi", "fi-fx", "fiifixi", "f-f-i", "fiif-ii", "iix"})
    for (int operation = 0, lost = 1; lost; ++operation, ++runs) {
      Disk disk(folderOf(shape));
      lost = recoverWithPowerLossAt(disk, operation);
      for (const auto& folder : disk.afterPowerLoss()) {
        ++outcomes;
        ASSERT_TRUE(isEmptyOrCorrupted(folder)) << shape << " power lost before operation " << operation;
      }
    }
  RecordProperty("runs", runs);
  RecordProperty("outcomes", static_cast<int>(outcomes));
}
TEST(StorageQuarantine, ErrorAtEachOperationIsRetried) {
  const auto folder = folderOf("fixi");
  for (const auto operationResult : {OperationResult::failsBefore, OperationResult::failsAfter}) {
    bool failed = true;
    for (int failing = 0; failed; ++failing) {
      Disk disk(folder);
      failed = false;
      disk.operationResult = [&](Operation, int number) {
        if (number != failing)
          return OperationResult::succeeds;
        failed = true;
        return operationResult;
      };
      auto storage = storageOn(disk);
      const auto recovery = recoverStorage(storage, retry);
      ASSERT_TRUE(recovery) << failing;
      ASSERT_TRUE(recovery->records.empty());
      ASSERT_TRUE(recovery->identityLost);
      for (const auto& [name, content] : disk.content())
        ASSERT_TRUE(name.starts_with("damaged-")) << name;
      ASSERT_EQ(contentsOf(disk.content()), contentsOf(folder)) << "no file may be deleted";
    }
  }
}
TEST(StorageQuarantine, OnlyAWriteWithoutSpaceRemovesAnOlderSetNeverTheNewest) {
  Disk disk(folderOf("fx"));
  for (int set = 1; set <= 3; ++set) {
    auto storage = storageOn(disk);
    ASSERT_TRUE(recoverStorage(storage, giveUp));
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
