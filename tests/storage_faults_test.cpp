// Exhaustive tests of `Storage` on a simulated disk that loses power or fails at each operation. No test sleeps.
#include <gtest/gtest.h>

#include "storage_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::storage_testing;

namespace {
const char* const kShapes[] = {"fiiifififi", "iifiif", "ffif"};
constexpr OperationResult kErrors[] = {OperationResult::failsBefore, OperationResult::failsAfter,
                                       OperationResult::failsAndDrops};

/// The result of an operation that is to fail in this way. Only syncs can drop unsynced data, so `failsAndDrops`
/// becomes `failsBefore` for other operations.
OperationResult errorOf(OperationResult operationResult, Operation operation) {
  const bool sync = operation == Operation::syncFile || operation == Operation::syncFolder;
  return operationResult == OperationResult::failsAndDrops && !sync ? OperationResult::failsBefore : operationResult;
}

/// An operation that fails once.
struct InjectedError {
  OperationResult operationResult;
  int code;    // errno
  int number;  // the index of the operation that fails
};
struct RunResult {
  std::string violation;  // empty: none
  bool failed = false;    // whether the run reached the operation that fails
};
/// Appends records of this shape on a disk with one error, after which the append is retried once, and a later power
/// loss. Checks every possible outcome of a power loss after each record since the error, and at the end.
RunResult runWithErrorThenPowerLoss(Checker& checker, const std::string& shape, const InjectedError& error,
                                    int powerLossAt) {
  Disk disk;
  History history;
  RunResult result;
  disk.errorCode = error.code;
  disk.operationResult = [&](Operation operation, int number) {
    if (number == error.number) {
      result.failed = true;
      return errorOf(error.operationResult, operation);
    }
    return number == powerLossAt ? OperationResult::powerLoss : OperationResult::succeeds;
  };
  const auto check = [&] {
    if (result.violation.empty())
      result.violation = checker.check(disk, history);
  };
  auto storage = storageOn(disk);
  if (!storage.load())
    return {"the empty folder could not be loaded", result.failed};
  try {
    const auto checkOnceFailed = [&] {
      if (result.failed)
        check();
    };
    if (!appendAll(storage, shape, history, 2, checkOnceFailed))
      return {"the retry failed", result.failed};
  } catch (const PowerLoss&) {
  }
  check();
  return result;
}
}  // namespace

// --- Power loss ---

TEST(StorageFaults, PowerLossAtEachOperationKeepsAcknowledgedRecords) {
  Checker checker;
  int runs = 0;
  for (const std::string shape : kShapes)
    for (int operation = 0, lost = 1; lost; ++operation, ++runs) {
      Disk disk;
      History history;
      losePowerAt(disk, operation);
      lost = runIncarnation(disk, shape, history);
      ASSERT_EQ(checker.check(disk, history), "") << shape << " power lost before operation " << operation;
    }
  RecordProperty("runs", runs);
  RecordProperty("outcomes", static_cast<int>(checker.outcomes()));
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
  EXPECT_GT(checker.distinct(), 100U);
}
TEST(StorageFaults, SecondPowerLossAtEachOperationAfterRestart) {
  Checker checker;
  for (const std::string shape : {"fiifi", "iif"})
    for (int first = 0, lost = 1; lost; ++first) {
      Disk before;
      History known;
      losePowerAt(before, first);
      lost = runIncarnation(before, shape, known);
      for (auto& folder : checker.newOutcomes(before, known))
        for (const std::string next : {"ii", "f"})
          for (int second = 0, again = 1; again; ++second) {
            Disk disk(folder);
            auto history = known;
            losePowerAt(disk, second);
            again = runIncarnation(disk, next, history);
            ASSERT_EQ(checker.check(disk, history), "")
                << shape << " power lost before " << first << ", then before " << second;
          }
    }
  RecordProperty("outcomes", static_cast<int>(checker.outcomes()));
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
}
TEST(StorageFaults, KillAtEachOperationThenPowerLossAfterRestart) {
  // A killed process leaves all files unchanged, synced or not. The records that the next process loads must be durable
  // from then on.
  Checker checker;
  for (const std::string shape : {"fiifi", "iif"})
    for (int first = 0, killed = 1; killed; ++first) {
      Disk before;
      History known;
      losePowerAt(before, first);
      killed = runIncarnation(before, shape, known);
      for (const std::string next : {"ii", "f"})
        for (int second = 0, lost = 1; lost; ++second) {
          auto disk = before;
          auto history = known;
          disk.operations = 0;
          losePowerAt(disk, second);
          lost = runIncarnation(disk, next, history);
          ASSERT_EQ(checker.check(disk, history), "")
              << shape << " killed before " << first << ", lost before " << second;
        }
    }
  RecordProperty("outcomes", static_cast<int>(checker.outcomes()));
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
}

// --- Failing operations ---

TEST(StorageFaults, ErrorAtEachOperationIsRetriedThenPowerLoss) {
  constexpr int kFirstOfAppend = 2;  // operations 0 and 1 are the load of an empty folder
  Checker checker;
  int runs = 0;
  for (const auto operationResult : kErrors)
    for (const int code : {EIO, ENOSPC})
      for (const std::string shape : {"fiifi", "iif"}) {
        bool failed = true;
        for (int failing = kFirstOfAppend; failed; ++failing)
          for (int lostAfter = 1; lostAfter <= 12; ++lostAfter, ++runs) {
            const auto run =
                runWithErrorThenPowerLoss(checker, shape, {operationResult, code, failing}, failing + lostAfter);
            ASSERT_EQ(run.violation, "") << shape << " operation " << failing << " failed, power lost " << lostAfter
                                         << " later";
            failed = run.failed;
          }
      }
  RecordProperty("runs", runs);
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
}
TEST(StorageFaults, TwoErrorsAtEachPairOfOperations) {
  Checker checker;
  for (const auto operationResult : kErrors)
    for (int first = 2; first < 40; ++first)
      for (int second = first + 1; second < first + 14; ++second) {
        Disk disk;
        History history;
        disk.operationResult = [&](Operation operation, int number) {
          return number == first || number == second ? errorOf(operationResult, operation) : OperationResult::succeeds;
        };
        auto storage = storageOn(disk);
        ASSERT_TRUE(storage.load());
        ASSERT_TRUE(appendAll(storage, "fiifi", history, 3,
                              [&] { ASSERT_EQ(checker.check(disk, history), "") << first << " and " << second; }));
      }
}
TEST(StorageFaults, ShortWritesAreContinued) {
  const auto size = encodeRecord(recordOf(1, true)).size();
  for (const std::size_t longest : {std::size_t{1}, std::size_t{7}, size / 2, size - 1}) {
    Disk disk;
    History history;
    disk.maxBytesPerWrite = longest;
    auto storage = storageOn(disk);
    ASSERT_TRUE(storage.load());
    ASSERT_TRUE(appendAll(storage, "fiif", history, 1));
    EXPECT_EQ(Checker().check(disk, history), "");
  }
}
TEST(StorageFaults, PowerLossAmidShortWrites) {
  Checker checker;
  bool lost = true;
  for (int operation = 0; lost; ++operation) {
    Disk disk;
    History history;
    disk.maxBytesPerWrite = 60;
    losePowerAt(disk, operation);
    lost = runIncarnation(disk, "fif", history);
    ASSERT_EQ(checker.check(disk, history), "") << operation;
  }
}
TEST(StorageFaults, FullDiskFailsAppendsUntilThereIsSpace) {
  const auto size = encodeRecord(recordOf(1, true)).size();
  Disk disk;
  History history;
  auto storage = storageOn(disk);
  ASSERT_TRUE(storage.load());
  ASSERT_TRUE(appendAll(storage, "fi", history, 1));
  for (std::size_t space = 0; space < size; ++space) {
    disk.capacity = disk.used() + space;
    const auto before = disk.content();
    const auto appended = storage.append(recordOf(3, false));
    ASSERT_FALSE(appended);
    ASSERT_EQ(appended.error().subcode, ENOSPC);
    ASSERT_EQ(disk.content(), before) << "the failed attempt releases its space";
    ASSERT_EQ(Checker().check(disk, history), "");
    disk.makeNamesDurable();  // otherwise the unsynced names of all attempts add up
  }
  disk.capacity = std::string::npos;
  ASSERT_TRUE(appendAll(storage, "ifi", history, 1));
  EXPECT_EQ(Checker().check(disk, history), "");
}
TEST(StorageFaults, FullDiskFreesObsoleteFiles) {
  const auto size = encodeRecord(recordOf(1, true)).size();
  Disk disk;
  auto storage = storageOn(disk);
  ASSERT_TRUE(storage.load());
  for (int sequence = 1; sequence <= 4; ++sequence)
    ASSERT_TRUE(storage.append(recordOf(sequence, sequence == 1 || sequence == 4)));
  disk.capacity = disk.used() + size / 2;
  EXPECT_FALSE(storage.append(recordOf(5, false)));
  EXPECT_TRUE(storage.append(recordOf(5, false)));
  const auto records = loadFrom(disk);
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{4, 5}));
}
TEST(StorageFaults, RecoverySucceedsOnAFullDisk) {
  Disk disk(folderOf("f-i-fi"));
  disk.errorCode = ENOSPC;
  disk.operationResult = [](Operation operation, int) {
    const bool looks = operation == Operation::list || operation == Operation::read;
    return looks || operation == Operation::syncFolder ? OperationResult::succeeds : OperationResult::failsBefore;
  };
  auto storage = storageOn(disk);
  const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
  ASSERT_TRUE(recovery) << recovery.error().message;
  EXPECT_EQ(sequencesOf(recovery->records), (Sequences{5, 6}));
  EXPECT_EQ(recovery->warnings.size(), 1U) << "the folder could not be locked";
  EXPECT_FALSE(storage.append(recordOf(7, false)));
  disk.operationResult = {};
  EXPECT_TRUE(storage.append(recordOf(7, false)));
}
TEST(StorageFaults, FailedRemovalsAreRetriedLater) {
  Disk disk;
  History history;
  disk.operationResult = [](Operation operation, int) {
    return operation == Operation::remove ? OperationResult::failsBefore : OperationResult::succeeds;
  };
  auto storage = storageOn(disk);
  ASSERT_TRUE(storage.load());
  // The removal of a leftover temporary file before a write is the only removal whose failure must fail the append.
  EXPECT_FALSE(storage.append(recordOf(1, true)));
  disk.operationResult = {};
  ASSERT_TRUE(appendAll(storage, "fii", history, 1));
  begin(history, recordOf(4, true));
  ASSERT_TRUE(storage.append(recordOf(4, true)));
  history.acknowledged = 4;
  disk.operationResult = [](Operation, int) { return OperationResult::failsBefore; };
  while (storage.removeObsolete(1)) {
  }
  EXPECT_EQ(disk.names.size(), 4U);
  disk.operationResult = {};
  ASSERT_TRUE(appendAll(storage, "if", history, 1));
  EXPECT_EQ(disk.names.size(), 1U) << "obsolete files are removed after the next full record";
}

// --- Failing reads ---

TEST(StorageFaults, ReadErrorIsNoCorruption) {
  const auto folder = folderOf("f-i-fii");
  for (int failing = 0; failing < 5; ++failing) {  // operations: one list, three reads, one folder sync
    Disk disk(folder);
    disk.operationResult = [failing](Operation, int number) {
      return number == failing ? OperationResult::failsBefore : OperationResult::succeeds;
    };
    auto storage = storageOn(disk);
    const auto records = storage.load();
    ASSERT_FALSE(records) << failing;
    EXPECT_EQ(records.error().subcode, EIO);
    EXPECT_EQ(disk.content(), folder) << failing << ": load must not change the files";
    const auto again = storage.load();
    ASSERT_TRUE(again);
    EXPECT_EQ(sequencesOf(*again), (Sequences{5, 6, 7}));
  }
}
TEST(StorageFaults, RecoveryRetriesTransientErrors) {
  Disk disk(folderOf("fii"));
  disk.operationResult = [](Operation operation, int) {
    return operation == Operation::read ? OperationResult::failsBefore : OperationResult::succeeds;
  };
  auto storage = storageOn(disk);
  int waits = 0;
  const auto recovery = recoverStorage(storage, [&](const Error& error) {
    EXPECT_EQ(error.subcode, EIO);
    EXPECT_EQ(error.message, "record-000000000003 can't be read: read");
    if (++waits == 100)
      disk.operationResult = {};
    return true;
  });
  ASSERT_TRUE(recovery);
  EXPECT_EQ(waits, 100);
  EXPECT_EQ(sequencesOf(recovery->records), (Sequences{1, 2, 3}));
  EXPECT_FALSE(recovery->identityLost);
}
TEST(StorageFaults, RecoveryFailsAtOnceOnPermanentErrors) {
  for (const int code : {EIO, EACCES}) {
    Disk disk(folderOf("fii"));
    disk.errorCode = code;
    disk.operationResult = [](Operation operation, int) {
      return operation == Operation::read ? OperationResult::failsBefore : OperationResult::succeeds;
    };
    auto storage = storageOn(disk);
    int asked = 0;
    const auto recovery = recoverStorage(storage, [&](const Error&) { return ++asked < 3; });
    ASSERT_FALSE(recovery);
    EXPECT_EQ(recovery.error().subcode, code);
    EXPECT_EQ(asked, code == EIO ? 3 : 0) << "a missing permission is a permanent error";
    EXPECT_EQ(disk.content(), folderOf("fii"));
  }
}
