/// The replicated log in memory: a snapshot, the entries after the snapshot, the configurations in both, and the
/// indexes up to which the log is committed and is on this member's disk.
#pragma once
#include "consensus/cluster_config.hpp"
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// The applied state after a prefix of the log.
struct Snapshot {
  std::int64_t lastIncludedIndex = 0, lastIncludedTerm = 0;  ///< the last entry that the snapshot covers
  ClusterConfig config;  ///< the configuration at `lastIncludedIndex`; empty: this member has no configuration yet
  std::string state;
};
/// A configuration and the index of the entry that contains it.
struct IndexedConfig {
  std::int64_t index = 0;
  ClusterConfig config;
};
/// Invariants: indexes are consecutive, starting after the snapshot;
/// `snapshot().lastIncludedIndex <= commitIndex() <= lastLogIndex()`; `persistedIndex() <= lastLogIndex()`.
class RaftLog {
 public:
  /// Replaces the complete log by a snapshot. The snapshot counts as committed but not as persisted.
  void reset(Snapshot snapshot);
  /// Appends an entry. Aborts if its index is not `lastLogIndex() + 1`.
  void append(transport::LogEntry entry);
  /// Removes the entries at and after `index`, which must not be committed.
  void truncateFrom(std::int64_t index);
  /// Replaces the entries up to `index`, all of which must be committed, by a snapshot.
  /// @param state the applied state after the entry at `index`.
  void compact(std::int64_t index, std::string state);

  /// Whether this member has no configuration yet: an empty disk that has not received a snapshot.
  bool isUninitialized() const { return snapshot_.config.empty(); }
  std::int64_t lastLogIndex() const { return snapshot_.lastIncludedIndex + static_cast<std::int64_t>(entries_.size()); }
  std::int64_t lastLogTerm() const { return termAt(lastLogIndex()); }
  /// @return -1 if the entry is neither in the log nor the last entry that the snapshot covers.
  std::int64_t termAt(std::int64_t index) const;
  /// @return null if the entry is not in the log.
  const transport::LogEntry* at(std::int64_t index) const;
  const Snapshot& snapshot() const { return snapshot_; }
  const std::deque<transport::LogEntry>& entries() const { return entries_; }
  /// The newest configuration. A configuration takes effect when it is appended to the log, before it is committed.
  const ClusterConfig& config() const { return configs_.back().config; }
  /// The index of the entry that contains `config()`.
  std::int64_t configIndex() const { return configs_.back().index; }
  /// Raft's election restriction: whether a log with this last entry is at least as up to date as this log.
  bool isUpToDate(std::int64_t lastTerm, std::int64_t lastIndex) const;

  std::int64_t commitIndex() const { return commitIndex_; }
  /// Commits the next entry and returns it.
  const transport::LogEntry& commitNext();
  /// The index up to which the log is on this member's disk.
  std::int64_t persistedIndex() const { return persistedIndex_; }
  /// Records that the log up to this entry is on the disk. Ignored if the entry has been replaced in the meantime.
  void markPersisted(std::int64_t index, std::int64_t term);

 private:
  Snapshot snapshot_;
  std::deque<transport::LogEntry> entries_;
  std::vector<IndexedConfig> configs_{{}};  // ordered by index; the first is the configuration of the snapshot
  std::int64_t commitIndex_ = 0;
  std::int64_t persistedIndex_ = 0;
};
}  // namespace zinccleat::consensus
