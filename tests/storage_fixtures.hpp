/// @file
/// Shared functions of the storage tests: a short notation for records and folders, the history of a member's records,
/// and a check of every possible outcome of a power loss against that history.
#pragma once
#include <gtest/gtest.h>

#include <set>
#include <unordered_set>

#include "simulated_disk.hpp"
#include "storage/storage.hpp"

namespace zinccleat::storage_testing {
using namespace zinccleat::consensus;
using namespace zinccleat::storage;
using Disk = SimulatedDisk;
using OperationResult = SimulatedDisk::OperationResult;
using Operation = SimulatedDisk::Operation;

inline DiskRecord recordOf(std::int64_t sequence, bool full, const std::string& vote = "10.1.0.1#0") {
  DiskRecord record;
  record.seq = sequence;
  record.full = full;
  record.self = "10.1.0.1#0";
  record.votedFor = vote + "/" + std::to_string(sequence);
  return record;
}
inline Storage storageOn(Disk& disk) {
  return Storage(std::make_unique<SimulatedFolder>(disk));
}
inline Result<std::vector<DiskRecord>> loadFrom(Disk& disk) {
  return storageOn(disk).load();
}
inline std::vector<std::int64_t> sequencesOf(const std::vector<DiskRecord>& records) {
  std::vector<std::int64_t> all;
  all.reserve(records.size());
  for (auto& record : records)
    all.push_back(record.seq);
  return all;
}
using Sequences = std::vector<std::int64_t>;

/// Creates the content of a folder.
/// @param shape one character per record from record 1 on: 'f' a full record, 'i' an increment, '-' no record, 'x' a
///        record with a wrong checksum.
inline Disk::Content folderOf(const std::string& shape) {
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

/// The records that a member has begun to append and the records that were acknowledged, over all its processes.
struct History {
  std::map<std::int64_t, std::string> written;  // encoded records by sequence number
  std::map<std::int64_t, bool> full;
  std::int64_t acknowledged = 0;  // the newest record that must be recovered
  std::int64_t begun = 0;         // the newest record that may be recovered
  std::string key() const {
    std::string all = std::to_string(acknowledged) + "/" + std::to_string(begun);
    for (auto& [sequence, content] : written)
      all += content;
    return all;
  }
};
inline void begin(History& history, const DiskRecord& record) {
  history.begun = record.seq;
  history.written[record.seq] = encodeRecord(record);
  history.full[record.seq] = record.full;
}
inline std::int64_t baseOf(const History& history, std::int64_t last) {
  auto base = last;
  while (base > 1 && !history.full.at(base))
    --base;
  return base;
}
/// Compares recovered records with the history.
/// @return a description of the first difference; empty: none.
inline std::string findViolation(const Result<std::vector<DiskRecord>>& records, const History& history) {
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
      return "record " + std::to_string(record.seq) + " instead of " + std::to_string(expected - 1);
    if (encodeRecord(record) != history.written.at(record.seq))
      return "record " + std::to_string(record.seq) + " has different content";
  }
  return expected == last + 1 ? "" : "the newest records are missing";
}

/// Appends records of this shape and removes obsolete files. A power loss ends the function with an exception.
/// @param attempts how often each record is tried.
/// @return false if all attempts for a record failed.
inline bool appendAll(Storage& storage, const std::string& shape, History& history, int attempts,
                      const std::function<void()>& afterEach = {}) {
  for (const char kind : shape) {
    const auto record = recordOf(history.acknowledged + 1, kind == 'f');
    begin(history, record);
    bool appended = false;
    for (int i = 0; i < attempts && !appended; ++i)
      appended = storage.append(record).has_value();
    if (!appended)
      return false;
    history.acknowledged = record.seq;
    if (afterEach)
      afterEach();
    while (storage.removeObsolete(1)) {
    }
  }
  return true;
}

/// Checks that every possible outcome of a power loss is recovered as the history requires. Each distinct outcome is
/// checked once.
class Checker {
 public:
  std::string check(const Disk& disk, const History& history) {
    const auto key = history.key();
    for (auto& folder : disk.afterPowerLoss()) {
      ++outcomes_;
      if (!checked_.insert(keyOf(folder, key)).second)
        continue;
      Disk found(folder);
      if (auto violation = findViolation(loadFrom(found), history); !violation.empty())
        return violation + ", in a folder of" + namesIn(folder);
    }
    return {};
  }
  /// The possible outcomes of a power loss at this moment that this function has not returned before.
  std::vector<Disk::Content> newOutcomes(const Disk& disk, const History& history) {
    std::vector<Disk::Content> all;
    for (auto& folder : disk.afterPowerLoss())
      if (returned_.insert(keyOf(folder, history.key())).second)
        all.push_back(folder);
    return all;
  }
  std::size_t outcomes() const { return outcomes_; }
  std::size_t distinct() const { return checked_.size(); }

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
  std::unordered_set<std::uint64_t> checked_, returned_;
  std::size_t outcomes_ = 0;
};

inline void losePowerAt(Disk& disk, int operation) {
  disk.operationResult = [operation](Operation, int number) {
    return number == operation ? OperationResult::powerLoss : OperationResult::succeeds;
  };
}
/// Simulates one process: loads the records, then appends records of this shape.
/// @return whether the power was lost.
inline bool runIncarnation(Disk& disk, const std::string& shape, History& history) {
  try {
    auto storage = storageOn(disk);
    const auto records = storage.load();
    EXPECT_EQ(findViolation(records, history), "");
    if (!records)
      return true;
    // The records that were loaded are durable from here on.
    history.acknowledged = history.begun = records->empty() ? 0 : records->back().seq;
    EXPECT_TRUE(appendAll(storage, shape, history, 1));
    return false;
  } catch (const PowerLoss&) {
    return true;
  }
}
}  // namespace zinccleat::storage_testing
