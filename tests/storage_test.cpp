// Tests of the record format, and of the files that `Storage::load` loads, ignores and reports.
#include <gtest/gtest.h>

#include "storage_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::storage_testing;

TEST(Storage, RecoversFromTheNewestFullRecord) {
  // Records 1 to 4 were removed after the full record 5. A power loss undid the removals of records 1 and 3.
  Disk disk(folderOf("f-i-f"));
  auto storage = storageOn(disk);
  const auto records = storage.load();
  ASSERT_TRUE(records) << records.error().message;
  EXPECT_EQ(sequencesOf(*records), (Sequences{5}));
  EXPECT_EQ(disk.names.size(), 1U) << "obsolete files are removed";
  EXPECT_TRUE(storage.append(recordOf(6, false)));
}
TEST(Storage, FilesBelowTheBaseAreIgnoredInAnyCondition) {
  // Each of the four files before the full record 5 is absent, complete, empty, has a wrong checksum or other content.
  const std::string foreign = "something else";
  for (int state = 0; state < 5 * 5 * 5 * 5; ++state) {
    auto folder = folderOf("fiiifii");
    int rest = state;
    for (std::int64_t sequence = 1; sequence <= 4; ++sequence, rest /= 5) {
      auto& content = folder[recordName(sequence)];
      if (rest % 5 == 0)
        folder.erase(recordName(sequence));
      else if (rest % 5 == 1)
        content.back() ^= 1;
      else if (rest % 5 == 2)
        content.clear();
      else if (rest % 5 == 3)
        content = foreign;
    }
    Disk disk(folder);
    const auto records = loadFrom(disk);
    ASSERT_TRUE(records) << state << ": " << records.error().message;
    ASSERT_EQ(sequencesOf(*records), (Sequences{5, 6, 7}));
    ASSERT_EQ(disk.names.size(), 3U);
  }
}
TEST(Storage, RunFromNumberOneNeedsNoFullRecord) {
  Disk disk(folderOf("iii"));
  const auto records = loadFrom(disk);
  ASSERT_TRUE(records) << records.error().message;
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2, 3}));
}
TEST(Storage, MissingOrInvalidRecordIsCorruption) {
  for (const auto* shape :
       {"fx", "x", "f-i", "fixi", "fi-i", "-ii", "xii", "fiiix", "fiiixi", "fi-fx", "--i", "fixif-i"}) {
    const auto folder = folderOf(shape);
    Disk disk(folder);
    const auto records = loadFrom(disk);
    ASSERT_FALSE(records) << shape;
    EXPECT_EQ(records.error().code, ErrorCode::corruption) << shape;
    EXPECT_EQ(disk.content(), folder) << shape << ": load must not change the files";
  }
}
TEST(Storage, RecordUnderAnotherNumberIsCorruption) {
  auto folder = folderOf("fiii");
  folder[recordName(3)] = folder[recordName(2)];
  Disk disk(folder);
  const auto records = loadFrom(disk);
  ASSERT_FALSE(records);
  EXPECT_EQ(records.error().code, ErrorCode::corruption);
}
TEST(Storage, ForeignFilesAreIgnored) {
  auto folder = folderOf("fi");
  const Disk::Content foreign = {{"record-3", "x"},
                                 {"record-000000000003x", "x"},
                                 {"record-+00000000003", "x"},
                                 {"lock", ""},
                                 {"record--00000000003", "x"},
                                 {"notes", "x"},
                                 {"record-", "x"},
                                 {"damaged-000000-record-000000000003", "x"}};
  folder.insert(foreign.begin(), foreign.end());
  Disk disk(folder);
  const auto records = loadFrom(disk);
  ASSERT_TRUE(records) << records.error().message;
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2}));
  EXPECT_EQ(disk.content(), folder) << "load must not change foreign files";
}
TEST(Storage, FormatOfAnotherVersionIsRejectedAndUnchanged) {
  const auto newer = encodeRecordAs(kRecordFormat + 1, recordOf(2, true));
  auto folder = folderOf("f");
  folder[recordName(2)] = newer;
  auto older = folderOf("");
  older["page-000000000001"] = "zcpage2 and so on";
  older["aside-2"] = "half";
  for (auto& content : {folder, older}) {
    Disk disk(content);
    auto storage = storageOn(disk);
    const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
    ASSERT_FALSE(recovery);
    EXPECT_EQ(recovery.error().code, ErrorCode::incompatibleFormat);
    EXPECT_EQ(disk.content(), content);
  }
}
TEST(Storage, EveryFlippedBitIsDetectedOrHarmless) {
  const auto folder = folderOf("fiifii");  // records 1 to 3 are obsolete because of the full record 4
  int detected = 0;
  int harmless = 0;
  for (auto& [name, content] : folder)
    for (std::size_t i = 0; i < content.size(); ++i)
      for (int bit = 0; bit < 8; ++bit) {
        auto flipped = folder;
        auto& byte = flipped[name][i];
        byte = static_cast<char>(byte ^ (1 << bit));
        Disk disk(flipped);
        const auto records = loadFrom(disk);
        if (*recordSequence(name) < 4) {
          ASSERT_TRUE(records) << name << " byte " << i << ": " << records.error().message;
          ASSERT_EQ(sequencesOf(*records), (Sequences{4, 5, 6}));
          ++harmless;
        } else {
          ASSERT_FALSE(records) << name << " byte " << i;
          ASSERT_EQ(records.error().code, ErrorCode::corruption) << name << " byte " << i;
          ++detected;
        }
      }
  RecordProperty("bits_detected", detected);
  RecordProperty("bits_harmless", harmless);
  EXPECT_GT(detected, 1000);
}
TEST(Storage, EveryTruncationAndExtraByteIsDetected) {
  const auto content = encodeRecord(recordOf(1, true));
  for (std::size_t length = 0; length < content.size(); ++length)
    EXPECT_FALSE(decodeRecord(content.substr(0, length))) << length;
  EXPECT_FALSE(decodeRecord(content + "x"));
  EXPECT_TRUE(decodeRecord(content));
}
