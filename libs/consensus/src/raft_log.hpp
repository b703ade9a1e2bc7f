// The replicated log in memory: a snapshot, the entries after it, and the configurations that they name.
#pragma once
#include "consensus/cluster_config.hpp"
#include "transport/messages.hpp"
namespace zinccleat::consensus {
struct Snapshot {
  std::int64_t number = 0, term = 0;  // the last entry covered
  ClusterConfig config;               // the newest one at `number`; empty: this member holds nothing yet
  std::string state;
};
class RaftLog {
 public:
  // Drops everything and starts from a snapshot.
  void reset(Snapshot snapshot);
  // Numbers must follow without a gap.
  void append(transport::LogEntry entry);
  // Drops the entries at and after `number`.
  void truncateFrom(std::int64_t number);
  // Replaces the entries up to `number` by the state that they lead to.
  void compact(std::int64_t number, std::string state);

  bool holdsNothing() const { return snapshot_.config.empty(); }
  std::int64_t lastLogIndex() const { return snapshot_.number + static_cast<std::int64_t>(entries_.size()); }
  std::int64_t lastLogTerm() const { return termAt(lastLogIndex()); }
  // -1: not known here.
  std::int64_t termAt(std::int64_t number) const;
  const transport::LogEntry* at(std::int64_t number) const;
  const Snapshot& snapshot() const { return snapshot_; }
  const std::deque<transport::LogEntry>& entries() const { return entries_; }
  // The newest configuration, in force from when it is in the log, and the number of the entry that holds it.
  const ClusterConfig& config() const { return configs_.back().second; }
  std::int64_t configIndex() const { return configs_.back().first; }
  // The Raft election restriction: whether a log that ends so is no older than this one.
  bool isUpToDate(std::int64_t term, std::int64_t number) const;

 private:
  Snapshot snapshot_;
  std::deque<transport::LogEntry> entries_;
  std::vector<std::pair<std::int64_t, ClusterConfig>> configs_{{0, {}}};  // by number, the snapshot's first
};
}  // namespace zinccleat::consensus
