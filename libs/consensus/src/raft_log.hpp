/// The replicated log in memory: a snapshot, the entries after it, the configurations that they name, and how far the
/// log is on this member's disk and committed.
#pragma once
#include "consensus/cluster_config.hpp"
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// The applied state up to and with one entry.
struct Snapshot {
  std::int64_t lastIncludedIndex = 0, lastIncludedTerm = 0;  ///< the last entry covered
  ClusterConfig config;  ///< the newest one at `lastIncludedIndex`; empty: this member has no configuration yet
  std::string state;
};
/// A configuration and the entry that holds it.
struct IndexedConfig {
  std::int64_t index = 0;
  ClusterConfig config;
};
/// Invariants: indexes follow one another without a gap, from the snapshot on;
/// `snapshot().lastIncludedIndex <= commitIndex() <= lastLogIndex()`; `persistedIndex() <= lastLogIndex()`.
class RaftLog {
 public:
  /// Replaces everything by a snapshot, which counts as committed and not as persisted.
  void reset(Snapshot snapshot);
  /// Adds the entry after the last one; aborts if its index leaves a gap.
  void append(transport::LogEntry entry);
  /// Drops the entries at and after `index`, which must not be committed.
  void truncateFrom(std::int64_t index);
  /// Replaces the entries up to `index`, all committed, by the state that they lead to.
  void compact(std::int64_t index, std::string state);

  /// Whether this member has no configuration yet: an empty disk that has not received a snapshot.
  bool isUninitialized() const { return snapshot_.config.empty(); }
  std::int64_t lastLogIndex() const { return snapshot_.lastIncludedIndex + static_cast<std::int64_t>(entries_.size()); }
  std::int64_t lastLogTerm() const { return termAt(lastLogIndex()); }
  /// @return -1 if the entry is not in the log and not the snapshot's last one.
  std::int64_t termAt(std::int64_t index) const;
  /// @return null if the entry is not in the log.
  const transport::LogEntry* at(std::int64_t index) const;
  const Snapshot& snapshot() const { return snapshot_; }
  const std::deque<transport::LogEntry>& entries() const { return entries_; }
  /// The newest configuration, in force from when it is in the log, committed or not.
  const ClusterConfig& config() const { return configs_.back().config; }
  /// The index of the entry that holds `config()`.
  std::int64_t configIndex() const { return configs_.back().index; }
  /// The Raft election restriction: whether a log with this last entry is at least as up to date as this one.
  bool isUpToDate(std::int64_t lastTerm, std::int64_t lastIndex) const;

  std::int64_t commitIndex() const { return commitIndex_; }
  /// Commits the next entry and returns it.
  const transport::LogEntry& commitNext();
  /// Up to here the log is on this member's disk.
  std::int64_t persistedIndex() const { return persistedIndex_; }
  /// The disk holds a log that ends with this entry. Ignored if the entry has been replaced since.
  void markPersisted(std::int64_t index, std::int64_t term);

 private:
  Snapshot snapshot_;
  std::deque<transport::LogEntry> entries_;
  std::vector<IndexedConfig> configs_{{}};  // in the order of their indexes, the snapshot's first
  std::int64_t commitIndex_ = 0;
  std::int64_t persistedIndex_ = 0;
};
}  // namespace zinccleat::consensus
