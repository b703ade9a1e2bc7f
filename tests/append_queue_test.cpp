/// @file
/// Tests of the append queue: records of several storages share one sync of the folder, consensus records go before
/// counters records, and a failed append does not affect the other records.
#include "append_queue.hpp"

#include "storage/name_prefix.hpp"
#include "storage_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::storage_testing;
namespace {
/// Storages with name prefixes in one simulated folder, and their append queue.
class SharedFolder {
 public:
  std::shared_ptr<Storage> open(const std::string& prefix) {
    auto storage = std::make_shared<Storage>(withNamePrefix(std::make_unique<SimulatedFolder>(disk), prefix));
    EXPECT_TRUE(storage->load());
    return storage;
  }
  void add(const std::string& name, const std::shared_ptr<Storage>& storage, AppendUrgency urgency, bool full = false) {
    queue.add({storage, recordOf(++lastRecords_[storage.get()], full), urgency, {}, [this, name](const auto& appended) {
                 (appended ? appendedNames : failedNames).push_back(name);
               }});
  }
  /// Appends one batch.
  /// @return the number of syncs that the batch took.
  int run() {
    int syncs = 0;
    disk.operationResult = [&](Operation operation, int) {
      const bool syncsFile = operation == Operation::syncFile;
      syncs += syncsFile || operation == Operation::syncFolder;
      return syncsFile && syncs == failingFileSync ? OperationResult::failsBefore : OperationResult::succeeds;
    };
    appendedNames.clear();
    failedNames.clear();
    (void)queue.appendNextBatch();
    disk.operationResult = nullptr;
    return syncs;
  }

  Disk disk;
  AppendQueue queue;
  std::vector<std::string> appendedNames, failedNames;
  int failingFileSync = 0;

 private:
  std::map<const Storage*, std::int64_t> lastRecords_;
};
using Names = std::vector<std::string>;
}  // namespace

TEST(AppendQueue, RecordsThatWaitTogetherShareTheSyncOfTheFolder) {
  SharedFolder folder;
  const auto fleet = folder.open("");
  const auto shard = folder.open("shard-0-");
  folder.add("fleet", fleet, AppendUrgency::consensus);
  EXPECT_EQ(folder.run(), 2);
  folder.add("fleet", fleet, AppendUrgency::consensus);
  folder.add("shard", shard, AppendUrgency::consensus);
  EXPECT_EQ(folder.run(), 3);
  EXPECT_EQ(folder.appendedNames, (Names{"fleet", "shard"}));
  EXPECT_EQ(sequencesOf(*folder.open("")->load()), (Sequences{1, 2}));
  EXPECT_EQ(sequencesOf(*folder.open("shard-0-")->load()), (Sequences{1}));
}
TEST(AppendQueue, VotesGoBeforeCountersWhichWaitForOneBatchAtTheMost) {
  SharedFolder folder;
  const auto fleet = folder.open("");
  const auto counters = folder.open("counters-");
  folder.add("counters", counters, AppendUrgency::counters);
  folder.add("fleet", fleet, AppendUrgency::consensus);
  folder.run();
  EXPECT_EQ(folder.appendedNames, (Names{"fleet"}));
  folder.add("fleet", fleet, AppendUrgency::consensus);
  folder.run();
  EXPECT_EQ(folder.appendedNames, (Names{"counters", "fleet"}));
  EXPECT_TRUE(folder.queue.empty());
}
TEST(AppendQueue, TwoRecordsOfOneStorageAreTwoBatches) {
  SharedFolder folder;
  const auto fleet = folder.open("");
  folder.add("first", fleet, AppendUrgency::consensus);
  folder.add("second", fleet, AppendUrgency::consensus);
  folder.run();
  EXPECT_EQ(folder.appendedNames, (Names{"first"}));
  folder.run();
  EXPECT_EQ(folder.appendedNames, (Names{"second"}));
}
TEST(AppendQueue, ARecordThatFailsFailsAloneAndMayBeAppendedAgain) {
  SharedFolder folder;
  const auto fleet = folder.open("");
  const auto shard = folder.open("shard-0-");
  folder.add("fleet", fleet, AppendUrgency::consensus);
  folder.add("shard", shard, AppendUrgency::consensus);
  folder.failingFileSync = 1;
  folder.run();
  EXPECT_EQ(folder.failedNames, (Names{"fleet"}));
  EXPECT_EQ(folder.appendedNames, (Names{"shard"}));
  EXPECT_TRUE(fleet->append(recordOf(1, false)));
}
TEST(AppendQueue, WithoutASyncOfTheFolderNothingIsAppended) {
  SharedFolder folder;
  const auto fleet = folder.open("");
  folder.queue.add(
      {fleet, recordOf(1, false), AppendUrgency::consensus, {}, [](const auto& appended) { EXPECT_FALSE(appended); }});
  folder.disk.operationResult = [](Operation operation, int) {
    return operation == Operation::syncFolder ? OperationResult::failsBefore : OperationResult::succeeds;
  };
  (void)folder.queue.appendNextBatch();
  folder.disk.operationResult = nullptr;
  EXPECT_TRUE(fleet->append(recordOf(1, false)));
}
TEST(AppendQueue, AStateIsEncodedAsItIsWritten) {
  SharedFolder folder;
  const auto counters = folder.open("counters-");
  int encoded = 0;
  const auto encode = [&encoded] {
    ++encoded;
    return std::string("state");
  };
  folder.queue.add({counters, recordOf(1, true), AppendUrgency::counters, encode,
                    [](const auto& appended) { EXPECT_TRUE(appended); }});
  EXPECT_EQ(encoded, 0);
  (void)folder.queue.appendNextBatch();
  EXPECT_EQ(encoded, 1);
  EXPECT_EQ(folder.open("counters-")->load()->front().state, "state");
}
