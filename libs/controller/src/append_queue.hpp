/// @file
/// Records of several storages in one folder that wait for the disk: which of them are made durable together, and in
/// which order. Blocks for the disk; used by the disk's thread alone.
#pragma once
#include <deque>

#include "storage/storage.hpp"

namespace zinccleat::controller {
/// What waits for a record.
enum class AppendUrgency {
  consensus,  ///< votes, entries of a log: an election or a commit may wait for it
  counters,   ///< copies of it are on other disks as well
};
/// A record on its way to the disk.
struct PendingAppend {
  std::shared_ptr<storage::Storage> storage;
  consensus::DiskRecord record;
  AppendUrgency urgency = AppendUrgency::consensus;
  /// Encodes the record's state just before it is written; empty: it is there already. For states that would hold the
  /// event loop up. Called on the disk's thread, once.
  std::function<std::string()> encodeState;
  std::function<void(const Result<void>&)> onAppended;  ///< called by the queue, on the disk's thread
};

/// Guarantees:
/// - Records that wait at one moment share the sync of the folder: n of them take n + 1 syncs, not 2 n.
/// - A consensus record waits for no more than the batch that was under way as it came; a counters record for one more.
/// - The records of one storage are appended in the order in which they came, one in a batch.
class AppendQueue {
 public:
  void add(PendingAppend append);
  bool empty() const { return waiting_.empty(); }
  /// Makes the next ones durable and tells those who wait.
  /// @return the storages that got a full record: obsolete files may be removed.
  std::vector<std::shared_ptr<storage::Storage>> appendNextBatch();

 private:
  std::vector<PendingAppend> takeBatch();

  std::deque<PendingAppend> waiting_;  // in the order in which they came
  bool countersPostponed_ = false;     // they waited while a batch of consensus records was written
};
}  // namespace zinccleat::controller
