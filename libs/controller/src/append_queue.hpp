/// @file
/// Queue of records from several storages in one folder that wait to be written to disk. It decides which records are
/// made durable together and in which order. Calls block on disk operations; the queue is used only by the disk thread.
#pragma once
#include <deque>

#include "storage/storage.hpp"

namespace zinccleat::controller {
/// Priority class of a record.
enum class AppendUrgency {
  consensus,  ///< votes and log entries: an election or a commit may be waiting for the record
  counters,   ///< increments of replicated counters, of which other disks hold copies
};
/// A record that waits to be appended to its storage.
struct PendingAppend {
  std::shared_ptr<storage::Storage> storage;
  consensus::DiskRecord record;
  AppendUrgency urgency = AppendUrgency::consensus;
  /// Encodes the record's state just before it is written; empty if `record` already holds the encoded state. Used for
  /// states whose encoding would block the event loop. Called once, on the disk thread.
  std::function<std::string()> encodeState;
  std::function<void(const Result<void>&)> onAppended;  ///< called by the queue on the disk thread
};

/// Orders and batches appends. Guarantees:
/// - Records that wait at the same moment share one sync of the folder: n records take n + 1 syncs instead of 2 n.
/// - A consensus record waits at most for the batch in progress when it was added; a counters record waits for at most
///   one more batch.
/// - Records of one storage are appended in the order in which they were added, one per batch.
class AppendQueue {
 public:
  void add(PendingAppend append);
  bool empty() const { return waiting_.empty(); }
  /// Appends the next batch and calls `onAppended` for each of its records.
  /// @return the storages that received a full record, whose obsolete files may now be removed.
  std::vector<std::shared_ptr<storage::Storage>> appendNextBatch();

 private:
  std::vector<PendingAppend> takeBatch();

  std::deque<PendingAppend> waiting_;  // in order of arrival
  bool countersPostponed_ = false;     // counters records were left out of the previous batch and must be in the next
};
}  // namespace zinccleat::controller
