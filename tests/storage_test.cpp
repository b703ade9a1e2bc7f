// Storage: the format of records, recovery, damage, and every fault and loss of power at every operation. The
// exhaustive ones go over a simulated disk; none sleeps.
#include "storage/storage.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unordered_set>

#include "controller_node.hpp"
#include "simulated_disk.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::consensus;
using namespace zinccleat::controller;
using namespace zinccleat::storage;
namespace {
using Disk = SimulatedDisk;
using Fate = SimulatedDisk::Fate;
using Operation = SimulatedDisk::Operation;

DiskRecord recordOf(std::int64_t sequence, bool full, const std::string& vote = "10.1.0.1#0") {
  DiskRecord record;
  record.seq = sequence;
  record.full = full;
  record.self = "10.1.0.1#0";
  record.votedFor = vote + "/" + std::to_string(sequence);
  return record;
}
Storage storageOn(Disk& disk) {
  return Storage(std::make_unique<SimulatedFolder>(disk));
}
Result<std::vector<DiskRecord>> loadFrom(Disk& disk) {
  return storageOn(disk).load();
}
std::vector<std::int64_t> sequencesOf(const std::vector<DiskRecord>& records) {
  std::vector<std::int64_t> all;
  all.reserve(records.size());
  for (auto& record : records)
    all.push_back(record.seq);
  return all;
}
using Sequences = std::vector<std::int64_t>;

// A folder with these records; 'f' is a full one, 'i' an increment, '-' none, 'x' one that fails its checksum.
Disk::Content folderOf(const std::string& shape) {
  Disk::Content folder;
  for (std::size_t i = 0; i < shape.size(); ++i) {
    const auto sequence = static_cast<std::int64_t>(i) + 1;
    if (shape[i] == '-')
      continue;
    auto content = encodeRecord(recordOf(sequence, shape[i] == 'f'));
    if (shape[i] == 'x')
      content.back() ^= 1;
    folder[recordName(sequence)] = content;
  }
  return folder;
}

// What a member was told of its records, over its lives.
struct History {
  std::map<std::int64_t, std::string> written;  // by sequence, encoded
  std::map<std::int64_t, bool> full;
  std::int64_t acknowledged = 0;  // must come back
  std::int64_t begun = 0;         // may come back
  std::string key() const {
    std::string all = std::to_string(acknowledged) + "/" + std::to_string(begun);
    for (auto& [sequence, content] : written)
      all += content;
    return all;
  }
};
void begin(History& history, const DiskRecord& record) {
  history.begun = record.seq;
  history.written[record.seq] = encodeRecord(record);
  history.full[record.seq] = record.full;
}
std::int64_t baseOf(const History& history, std::int64_t last) {
  auto base = last;
  while (base > 1 && !history.full.at(base))
    --base;
  return base;
}
// What is wrong with records that were recovered after this history; empty: nothing.
std::string wrongWith(const Result<std::vector<DiskRecord>>& records, const History& history) {
  if (!records)
    return "load: " + records.error().message;
  const auto last = records->empty() ? 0 : records->back().seq;
  if (last != history.acknowledged && last != history.begun)
    return "recovered up to " + std::to_string(last) + ", acknowledged " + std::to_string(history.acknowledged) +
           ", begun " + std::to_string(history.begun);
  if (records->empty())
    return {};
  auto expected = baseOf(history, last);
  for (auto& record : *records) {
    if (record.seq != expected++)
      return "record " + std::to_string(record.seq) + " in place of " + std::to_string(expected - 1);
    if (encodeRecord(record) != history.written.at(record.seq))
      return "record " + std::to_string(record.seq) + " is another one";
  }
  return expected == last + 1 ? "" : "the run ends early";
}

// Appends records of this shape, with the caller's retries, then does the removals; ends early at a loss of power.
// @return false if one was not taken after all retries.
bool appendAll(Storage& storage, const std::string& shape, History& history, int tries,
               const std::function<void()>& afterEach = {}) {
  for (const char kind : shape) {
    const auto record = recordOf(history.acknowledged + 1, kind == 'f');
    begin(history, record);
    bool taken = false;
    for (int i = 0; i < tries && !taken; ++i)
      taken = storage.append(record).has_value();
    if (!taken)
      return false;
    history.acknowledged = record.seq;
    if (afterEach)
      afterEach();
    while (storage.removeObsolete(1)) {
    }
  }
  return true;
}

// Every outcome of a loss of power, now, must be recovered in accordance with the history. Each is looked at once.
class Checker {
 public:
  std::string check(const Disk& disk, const History& history) {
    const auto key = history.key();
    for (auto& folder : disk.afterPowerLoss()) {
      ++outcomes_;
      if (!seen_.insert(keyOf(folder, key)).second)
        continue;
      Disk found(folder);
      if (auto wrong = wrongWith(loadFrom(found), history); !wrong.empty())
        return wrong + ", in a folder of" + namesIn(folder);
    }
    return {};
  }
  // The same, and hands on each outcome that is new.
  std::vector<Disk::Content> fresh(const Disk& disk, const History& history) {
    std::vector<Disk::Content> all;
    for (auto& folder : disk.afterPowerLoss())
      if (handedOn_.insert(keyOf(folder, history.key())).second)
        all.push_back(folder);
    return all;
  }
  std::size_t outcomes() const { return outcomes_; }
  std::size_t distinct() const { return seen_.size(); }

 private:
  static std::uint64_t keyOf(const Disk::Content& folder, const std::string& history) {
    std::uint64_t key = hash64(history);
    for (auto& [name, content] : folder)
      key = hash64(content, hash64(name, key));
    return key;
  }
  static std::string namesIn(const Disk::Content& folder) {
    std::string all;
    for (auto& [name, content] : folder)
      all += " " + name + "(" + std::to_string(content.size()) + ")";
    return all;
  }
  std::unordered_set<std::uint64_t> seen_, handedOn_;
  std::size_t outcomes_ = 0;
};

void losePowerAt(Disk& disk, int operation) {
  disk.fate = [operation](Operation, int number) { return number == operation ? Fate::powerLoss : Fate::succeeds; };
}
// One life: load, then append records of this shape. Returns whether power was lost on the way.
bool live(Disk& disk, const std::string& shape, History& history) {
  try {
    auto storage = storageOn(disk);
    const auto records = storage.load();
    EXPECT_EQ(wrongWith(records, history), "");
    if (!records)
      return true;
    // What it was told counts from here on.
    history.acknowledged = history.begun = records->empty() ? 0 : records->back().seq;
    EXPECT_TRUE(appendAll(storage, shape, history, 1));
    return false;
  } catch (const PowerLoss&) {
    return true;
  }
}
const char* const kShapes[] = {"fiiifififi", "iifiif", "ffif"};

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

// --- what recovery takes and what it calls damaged ---

TEST(Storage, RecoversFromTheNewestFullRecordWhateverReappearsBelow) {
  // The files 1, 2, 3, 4 were removed under the full record 5; 1 and 3 came back after a loss of power.
  Disk disk(folderOf("f-i-f"));
  auto storage = storageOn(disk);
  const auto records = storage.load();
  ASSERT_TRUE(records) << records.error().message;
  EXPECT_EQ(sequencesOf(*records), (Sequences{5}));
  EXPECT_EQ(disk.names.size(), 1U) << "the rubbish is removed";
  EXPECT_TRUE(storage.append(recordOf(6, false)));
}
TEST(Storage, EverySubsetOfWhatLiesBelowInEveryStateIsRubbish) {
  // Each of the four files below: absent, whole, failing its checksum, empty, or of another kind.
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
TEST(Storage, ARunFromNumberOneNeedsNoFullRecord) {
  Disk disk(folderOf("iii"));
  const auto records = loadFrom(disk);
  ASSERT_TRUE(records) << records.error().message;
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2, 3}));
}
TEST(Storage, WhatMayHaveBeenAcknowledgedAndIsGoneIsDamage) {
  for (const auto* shape :
       {"fx", "x", "f-i", "fixi", "fi-i", "-ii", "xii", "fiiix", "fiiixi", "fi-fx", "--i", "fixif-i"}) {
    const auto folder = folderOf(shape);
    Disk disk(folder);
    const auto records = loadFrom(disk);
    ASSERT_FALSE(records) << shape;
    EXPECT_EQ(records.error().code, ErrorCode::corruption) << shape;
    EXPECT_EQ(disk.content(), folder) << shape << ": nothing is changed by looking";
  }
}
TEST(Storage, AFileUnderAnotherNumberIsDamage) {
  auto folder = folderOf("fiii");
  folder[recordName(3)] = folder[recordName(2)];
  Disk disk(folder);
  const auto records = loadFrom(disk);
  ASSERT_FALSE(records);
  EXPECT_EQ(records.error().code, ErrorCode::corruption);
}
TEST(Storage, OnlyItsOwnNamesCount) {
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
  EXPECT_EQ(disk.content(), folder) << "files of others stay";
}
TEST(Storage, AnotherVersionsFormatIsRefusedAndLeftAlone) {
  const auto newer = encodeRecordAs(kRecordFormat + 1, recordOf(2, true));
  auto folder = folderOf("f");
  folder[recordName(2)] = newer;
  auto older = folderOf("");
  older["page-000000000001"] = "zcpage2 and so on";
  older["aside-2"] = "half";
  for (auto& found : {folder, older}) {
    Disk disk(found);
    auto storage = storageOn(disk);
    const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
    ASSERT_FALSE(recovery);
    EXPECT_EQ(recovery.error().code, ErrorCode::incompatibleFormat);
    EXPECT_EQ(disk.content(), found);
  }
}
TEST(Storage, EveryFlippedBitIsFoundOrHarmless) {
  const auto folder = folderOf("fiifii");  // 1 to 3 lie below the newest full record
  int found = 0;
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
          ++found;
        }
      }
  RecordProperty("bits_found", found);
  RecordProperty("bits_harmless", harmless);
  EXPECT_GT(found, 1000);
}
TEST(Storage, EveryCutAndEveryTailIsFound) {
  const auto whole = encodeRecord(recordOf(1, true));
  for (std::size_t length = 0; length < whole.size(); ++length)
    EXPECT_FALSE(decodeRecord(whole.substr(0, length))) << length;
  EXPECT_FALSE(decodeRecord(whole + "x"));
  EXPECT_TRUE(decodeRecord(whole));
}

// --- losses of power ---

TEST(StorageFaults, PowerLostAtEachOperationGivesBackWhatWasAcknowledged) {
  Checker checker;
  int cuts = 0;
  for (const std::string shape : kShapes)
    for (int operation = 0, lost = 1; lost; ++operation, ++cuts) {
      Disk disk;
      History history;
      losePowerAt(disk, operation);
      lost = live(disk, shape, history);
      ASSERT_EQ(checker.check(disk, history), "") << shape << " cut before operation " << operation;
    }
  RecordProperty("cuts", cuts);
  RecordProperty("outcomes", static_cast<int>(checker.outcomes()));
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
  EXPECT_GT(checker.distinct(), 100U);
}
TEST(StorageFaults, PowerLostAtEachOperationOfTheNextLifeToo) {
  Checker checker;
  for (const std::string shape : {"fiifi", "iif"})
    for (int first = 0, lost = 1; lost; ++first) {
      Disk before;
      History known;
      losePowerAt(before, first);
      lost = live(before, shape, known);
      for (auto& folder : checker.fresh(before, known))
        for (const std::string next : {"ii", "f"})
          for (int second = 0, again = 1; again; ++second) {
            Disk disk(folder);
            auto history = known;
            losePowerAt(disk, second);
            again = live(disk, next, history);
            ASSERT_EQ(checker.check(disk, history), "")
                << shape << " cut before " << first << ", then before " << second;
          }
    }
  RecordProperty("outcomes", static_cast<int>(checker.outcomes()));
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
}
TEST(StorageFaults, KilledAtEachOperationThenPowerLostAtEachOfTheNextLife) {
  // A kill leaves the files as they were, synced or not: what the next life loads must last from then on.
  Checker checker;
  for (const std::string shape : {"fiifi", "iif"})
    for (int first = 0, killed = 1; killed; ++first) {
      Disk before;
      History known;
      losePowerAt(before, first);
      killed = live(before, shape, known);
      for (const std::string next : {"ii", "f"})
        for (int second = 0, lost = 1; lost; ++second) {
          auto disk = before;
          auto history = known;
          disk.operations = 0;
          losePowerAt(disk, second);
          lost = live(disk, next, history);
          ASSERT_EQ(checker.check(disk, history), "")
              << shape << " killed before " << first << ", lost before " << second;
        }
    }
  RecordProperty("outcomes", static_cast<int>(checker.outcomes()));
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
}

// --- operations that fail ---

TEST(StorageFaults, AnErrorAtEachOperationIsRetriedThenPowerLostAtEachLaterOne) {
  Checker checker;
  int runs = 0;
  for (const auto how : {Fate::failsBefore, Fate::failsAfter, Fate::failsAndDrops})
    for (const int code : {EIO, ENOSPC})
      for (const std::string shape : {"fiifi", "iif"})
        for (int failing = 2, done = 0; !done; ++failing)  // 0 and 1: the load of an empty folder
          for (int lostAfter = 1; lostAfter <= 12; ++lostAfter, ++runs) {
            Disk disk;
            History history;
            disk.errorCode = code;
            bool failed = false;
            disk.fate = [&](Operation operation, int number) {
              if (number == failing) {
                const bool sync = operation == Operation::syncFile || operation == Operation::syncFolder;
                failed = true;
                return how == Fate::failsAndDrops && !sync ? Fate::failsBefore : how;
              }
              return number == failing + lostAfter ? Fate::powerLoss : Fate::succeeds;
            };
            auto storage = storageOn(disk);
            ASSERT_TRUE(storage.load());
            try {
              ASSERT_TRUE(appendAll(storage, shape, history, 2,
                                    [&] {
                                      if (failed) {
                                        ASSERT_EQ(checker.check(disk, history), "")
                                            << shape << " operation " << failing << " failed";
                                      }
                                    }))
                  << shape << " operation " << failing << ": the retry is refused";
            } catch (const PowerLoss&) {
            }
            ASSERT_EQ(checker.check(disk, history), "")
                << shape << " operation " << failing << " failed, lost " << lostAfter << " later";
            done = !failed;
          }
  RecordProperty("runs", runs);
  RecordProperty("distinct", static_cast<int>(checker.distinct()));
}
TEST(StorageFaults, TwoErrorsAtEachPairOfOperations) {
  Checker checker;
  for (const auto how : {Fate::failsBefore, Fate::failsAfter, Fate::failsAndDrops})
    for (int first = 2; first < 40; ++first)
      for (int second = first + 1; second < first + 14; ++second) {
        Disk disk;
        History history;
        disk.fate = [&](Operation operation, int number) {
          if (number != first && number != second)
            return Fate::succeeds;
          const bool sync = operation == Operation::syncFile || operation == Operation::syncFolder;
          return how == Fate::failsAndDrops && !sync ? Fate::failsBefore : how;
        };
        auto storage = storageOn(disk);
        ASSERT_TRUE(storage.load());
        ASSERT_TRUE(appendAll(storage, "fiifi", history, 3,
                              [&] { ASSERT_EQ(checker.check(disk, history), "") << first << " and " << second; }));
      }
}
TEST(StorageFaults, ShortWritesAreCarriedOn) {
  const auto whole = encodeRecord(recordOf(1, true)).size();
  for (const std::size_t longest : {std::size_t{1}, std::size_t{7}, whole / 2, whole - 1}) {
    Disk disk;
    History history;
    disk.longestWrite = longest;
    auto storage = storageOn(disk);
    ASSERT_TRUE(storage.load());
    ASSERT_TRUE(appendAll(storage, "fiif", history, 1));
    EXPECT_EQ(Checker().check(disk, history), "");
  }
}
TEST(StorageFaults, PowerLostAmidShortWrites) {
  Checker checker;
  bool lost = true;
  for (int operation = 0; lost; ++operation) {
    Disk disk;
    History history;
    disk.longestWrite = 60;
    losePowerAt(disk, operation);
    lost = live(disk, "fif", history);
    ASSERT_EQ(checker.check(disk, history), "") << operation;
  }
}
TEST(StorageFaults, AFullDiskRefusesUntilThereIsRoomAgain) {
  const auto size = encodeRecord(recordOf(1, true)).size();
  Disk disk;
  History history;
  auto storage = storageOn(disk);
  ASSERT_TRUE(storage.load());
  ASSERT_TRUE(appendAll(storage, "fi", history, 1));
  for (std::size_t room = 0; room < size; ++room) {
    disk.capacity = disk.used() + room;
    const auto before = disk.content();
    const auto refused = storage.append(recordOf(3, false));
    ASSERT_FALSE(refused);
    ASSERT_EQ(refused.error().subcode, ENOSPC);
    ASSERT_EQ(disk.content(), before) << "the room of the failed attempt is given back";
    ASSERT_EQ(Checker().check(disk, history), "");
    disk.makeNamesDurable();  // else what each attempt made and removed adds up
  }
  disk.capacity = std::string::npos;
  ASSERT_TRUE(appendAll(storage, "ifi", history, 1));
  EXPECT_EQ(Checker().check(disk, history), "");
}
TEST(StorageFaults, AFullDiskMakesRoomOfWhatIsObsolete) {
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
TEST(StorageFaults, AMemberStartsOnAFullDisk) {
  Disk disk(folderOf("f-i-fi"));
  disk.errorCode = ENOSPC;
  disk.fate = [](Operation operation, int) {
    const bool looks = operation == Operation::list || operation == Operation::read;
    return looks || operation == Operation::syncFolder ? Fate::succeeds : Fate::failsBefore;
  };
  auto storage = storageOn(disk);
  const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
  ASSERT_TRUE(recovery) << recovery.error().message;
  EXPECT_EQ(sequencesOf(recovery->records), (Sequences{5, 6}));
  EXPECT_EQ(recovery->warnings.size(), 1U) << "no lock could be made";
  EXPECT_FALSE(storage.append(recordOf(7, false)));
  disk.fate = {};
  EXPECT_TRUE(storage.append(recordOf(7, false)));
}
TEST(StorageFaults, RemovalsThatFailBlockNothingAndAreDoneLater) {
  Disk disk;
  History history;
  disk.fate = [](Operation operation, int) {
    return operation == Operation::remove ? Fate::failsBefore : Fate::succeeds;
  };
  auto storage = storageOn(disk);
  ASSERT_TRUE(storage.load());
  // The removal of a left-over temporary file before a write is the one that counts: it must fail the write.
  EXPECT_FALSE(storage.append(recordOf(1, true)));
  disk.fate = {};
  ASSERT_TRUE(appendAll(storage, "fii", history, 1));
  begin(history, recordOf(4, true));
  ASSERT_TRUE(storage.append(recordOf(4, true)));
  history.acknowledged = 4;
  disk.fate = [](Operation, int) { return Fate::failsBefore; };
  while (storage.removeObsolete(1)) {
  }
  EXPECT_EQ(disk.names.size(), 4U);
  disk.fate = {};
  ASSERT_TRUE(appendAll(storage, "if", history, 1));
  EXPECT_EQ(disk.names.size(), 1U) << "the next full record takes them along";
}

// --- reading fails ---

TEST(StorageFaults, AReadErrorIsNoDamage) {
  const auto folder = folderOf("f-i-fii");
  for (int failing = 0; failing < 5; ++failing) {  // the list, three reads, the sync of the folder
    Disk disk(folder);
    disk.fate = [failing](Operation, int number) { return number == failing ? Fate::failsBefore : Fate::succeeds; };
    auto storage = storageOn(disk);
    const auto records = storage.load();
    ASSERT_FALSE(records) << failing;
    EXPECT_EQ(records.error().subcode, EIO);
    EXPECT_EQ(disk.content(), folder) << failing << ": nothing is changed";
    const auto again = storage.load();
    ASSERT_TRUE(again);
    EXPECT_EQ(sequencesOf(*again), (Sequences{5, 6, 7}));
  }
}
TEST(StorageFaults, RecoveryWaitsForADiskInTrouble) {
  Disk disk(folderOf("fii"));
  disk.fate = [](Operation operation, int) {
    return operation == Operation::read ? Fate::failsBefore : Fate::succeeds;
  };
  auto storage = storageOn(disk);
  int waits = 0;
  const auto recovery = recoverStorage(storage, [&](const Error& trouble) {
    EXPECT_EQ(trouble.subcode, EIO);
    EXPECT_EQ(trouble.message, "record-000000000003 can't be read: read");
    if (++waits == 100)
      disk.fate = {};
    return true;
  });
  ASSERT_TRUE(recovery);
  EXPECT_EQ(waits, 100);
  EXPECT_EQ(sequencesOf(recovery->records), (Sequences{1, 2, 3}));
  EXPECT_FALSE(recovery->identityLost);
}
TEST(StorageFaults, RecoveryGivesUpWhereWaitingIsNoUse) {
  for (const int code : {EIO, EACCES}) {
    Disk disk(folderOf("fii"));
    disk.errorCode = code;
    disk.fate = [](Operation operation, int) {
      return operation == Operation::read ? Fate::failsBefore : Fate::succeeds;
    };
    auto storage = storageOn(disk);
    int asked = 0;
    const auto recovery = recoverStorage(storage, [&](const Error&) { return ++asked < 3; });
    ASSERT_FALSE(recovery);
    EXPECT_EQ(recovery.error().subcode, code);
    EXPECT_EQ(asked, code == EIO ? 3 : 0) << "rights that are missing don't come by waiting";
    EXPECT_EQ(disk.content(), folderOf("fii"));
  }
}

// --- damaged disks are set aside ---

TEST(StorageSetAside, ADamagedDiskIsKeptUnderAnotherNameAndTheMemberStartsAnew) {
  for (const auto* shape : {"fx", "x", "f-i", "fiiixi", "fi-fx", "fixif-i"}) {
    auto folder = folderOf(shape);
    folder["record-000000000009.tmp"] = "half";
    Disk disk(folder);
    auto storage = storageOn(disk);
    const auto recovery = recoverStorage(storage, [](const Error&) { return false; });
    ASSERT_TRUE(recovery) << shape << ": " << recovery.error().message;
    EXPECT_TRUE(recovery->records.empty());
    EXPECT_TRUE(recovery->identityLost);
    ASSERT_EQ(recovery->warnings.size(), 1U) << "said once, in a line";
    EXPECT_NE(recovery->warnings[0].find("damaged-000001-"), std::string::npos);
    for (auto& [name, content] : folder)
      EXPECT_EQ(disk.content()["damaged-000001-" + name], content) << shape << ": " << name;
    EXPECT_TRUE(disk.changes.empty()) << "all of it durable";
    EXPECT_TRUE(storage.append(recordOf(1, false)));
    auto nextLife = storageOn(disk);
    EXPECT_EQ(sequencesOf(*nextLife.load()), (Sequences{1}));
    EXPECT_TRUE(nextLife.hasSetAside()) << "remembered over lives";
  }
}
TEST(StorageSetAside, PowerLostAtEachOperationNeverBringsAnOlderStateBack) {
  int cuts = 0;
  std::size_t outcomes = 0;
  for (const auto* shape : {"fx", "fi-i", "fiiix", "fixi", "fi-fx", "fiifixi", "f-f-i", "fiif-ii", "iix"})
    for (int operation = 0, lost = 1; lost; ++operation, ++cuts) {
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
        ASSERT_TRUE(safe) << shape << " cut before operation " << operation;
      }
    }
  RecordProperty("cuts", cuts);
  RecordProperty("outcomes", static_cast<int>(outcomes));
}
TEST(StorageSetAside, AnErrorAtEachOperationIsTriedAgain) {
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
TEST(StorageSetAside, OnlyAWriteWithoutRoomRemovesAnOlderSetAndNeverTheNewest) {
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

// --- one process a folder ---

TEST(StorageLock, ASecondOneIsRefusedAndNothingIsChanged) {
  const auto folder = freshDir();
  auto first = std::make_unique<Storage>(folder);
  ASSERT_TRUE(recoverStorage(*first, [](const Error&) { return false; }));
  ASSERT_TRUE(first->append(recordOf(1, true)));
  std::ofstream(folder + "/record-000000000002.tmp") << "under way";
  Storage second(folder);
  const auto refused = recoverStorage(second, [](const Error&) { return true; });
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ErrorCode::locked);
  EXPECT_TRUE(std::filesystem::exists(folder + "/record-000000000002.tmp"));
  first.reset();
  EXPECT_TRUE(recoverStorage(second, [](const Error&) { return false; }));
  std::filesystem::remove_all(folder);
}
TEST(StorageLock, TheKernelFreesItWhenAProcessIsKilled) {
  const auto folder = freshDir();
  int ready[2];
  ASSERT_EQ(::pipe(ready), 0);
  const auto child = ::fork();
  if (child == 0) {
    Storage held(folder);
    const char state = held.lock() ? 'y' : 'n';
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

TEST(StorageLock, ACoreMachineRefusesAFolderThatItCannotUse) {
  Settings settings;
  settings.ip = "127.0.5.2";
  settings.dataDir = freshDir();
  Storage held(settings.dataDir);
  ASSERT_TRUE(held.lock());
  const auto locked = ControllerNode(settings).start();
  ASSERT_FALSE(locked);
  EXPECT_EQ(locked.error().message, settings.dataDir + ": another process uses this folder");
  EXPECT_EQ(filesIn(settings.dataDir), 1);
  std::filesystem::remove_all(settings.dataDir);

  settings.dataDir = freshDir();
  std::ofstream(settings.dataDir + "/page-000000000001") << "zcpage2 and so on";
  const auto older = ControllerNode(settings).start();
  ASSERT_FALSE(older);
  EXPECT_NE(older.error().message.find("page-000000000001 is in an older format"), std::string::npos);
  EXPECT_TRUE(std::filesystem::exists(settings.dataDir + "/page-000000000001"));
  std::filesystem::remove_all(settings.dataDir);
}

// --- the operating system's files ---

TEST(PosixStorage, RecordsComeBackInOrder) {
  const auto folder = freshDir();
  Storage storage(folder);
  EXPECT_FALSE(storage.append(recordOf(1, true))) << "not loaded yet";
  ASSERT_TRUE(storage.load());
  ASSERT_TRUE(storage.append(recordOf(1, true)));
  ASSERT_TRUE(storage.append(recordOf(2, false)));
  EXPECT_FALSE(storage.append(recordOf(4, false))) << "a record is missing before it";
  EXPECT_FALSE(storage.append(recordOf(2, false))) << "this one is there";
  ASSERT_TRUE(storage.append(recordOf(3, false)));
  const auto records = Storage(folder).load();
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2, 3}));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, AFullRecordLetsTheOldOnesGo) {
  const auto folder = freshDir();
  Storage storage(folder);
  ASSERT_TRUE(storage.load());
  for (int i = 1; i <= 5; ++i)
    ASSERT_TRUE(storage.append(recordOf(i, i == 1 || i == 5)));
  EXPECT_EQ(filesIn(folder), 5) << "after the answer, not before";
  EXPECT_TRUE(storage.removeObsolete(3));
  EXPECT_FALSE(storage.removeObsolete(3));
  EXPECT_EQ(filesIn(folder), 1);
  const auto records = Storage(folder).load();
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{5}));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, TornForeignAndMissingRecordsAreFound) {
  for (int how = 0; how < 4; ++how) {
    const auto folder = freshDir();
    Storage storage(folder);
    ASSERT_TRUE(storage.load());
    for (int i = 1; i <= 4; ++i)
      ASSERT_TRUE(storage.append(recordOf(i, i == 1)));
    const auto file = folder + "/" + recordName(3);
    if (how == 0)
      std::filesystem::resize_file(file, 60);
    if (how == 1)
      std::ofstream(file, std::ios::trunc) << "something else";
    if (how == 2)
      std::filesystem::remove(file);
    if (how == 3) {
      std::fstream stream(file, std::ios::in | std::ios::out);
      stream.seekp(50);
      stream.put('~');
    }
    Storage next(folder);
    const auto records = next.load();
    ASSERT_FALSE(records) << how;
    EXPECT_EQ(records.error().code, ErrorCode::corruption) << how;
    ASSERT_TRUE(next.setAside());
    EXPECT_TRUE(next.load()->empty());
    EXPECT_TRUE(next.hasSetAside());
    EXPECT_EQ(filesIn(folder), how == 2 ? 3 : 4);
    std::filesystem::remove_all(folder);
  }
}
TEST(PosixStorage, ADiskOfAnotherVersionIsNotTakenForADamagedOne) {
  const auto folder = freshDir();
  const auto file = folder + "/" + recordName(1);
  std::ofstream(file) << encodeRecordAs(kRecordFormat + 1, recordOf(1, true));
  const auto records = Storage(folder).load();
  ASSERT_FALSE(records);
  EXPECT_EQ(records.error().code, ErrorCode::incompatibleFormat);
  EXPECT_TRUE(std::filesystem::exists(file));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, ARecordThatWasNotRenamedIsNone) {
  const auto folder = freshDir();
  Storage storage(folder);
  ASSERT_TRUE(storage.load());
  ASSERT_TRUE(storage.append(recordOf(1, true)));
  const auto temporary = folder + "/" + recordName(2) + ".tmp";
  std::ofstream(temporary) << "half";
  ASSERT_TRUE(storage.append(recordOf(2, false))) << "nor does it hinder the write";
  std::ofstream(temporary) << "half";
  const auto records = Storage(folder).load();
  ASSERT_TRUE(records);
  EXPECT_EQ(sequencesOf(*records), (Sequences{1, 2}));
  EXPECT_FALSE(std::filesystem::exists(temporary));
  std::filesystem::remove_all(folder);
}
TEST(PosixStorage, AFolderThatIsNoneIsSaid) {
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
