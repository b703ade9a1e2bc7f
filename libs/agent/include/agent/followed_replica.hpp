/// A replica of the fleet's state outside the core, brought up to date by log entries and snapshots. Pure. The agent
/// follows the core with one, the proxy its agent with another.
#pragma once
#include "consensus/entry_queue.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::agent {
/// Guarantees: entries are applied in the order of their indexes without a gap, and the index never goes back.
class FollowedReplica {
 public:
  /// An entry that was applied, and what it changed.
  struct Applied {
    transport::LogEntry entry;
    state_machine::ReplicatedState::Change change;
  };
  /// Queues an entry, which may arrive in any order and more than once.
  void offer(transport::LogEntry entry) { queue_.offer(std::move(entry)); }
  /// Keeps the body of a large write for its entry, which follows without it.
  void offerBody(const std::string& digest, std::string body) { queue_.addBody(digest, std::move(body)); }
  /// Applies the next entry. Its change says whether the replica is corrupted now.
  /// @return none if the next entry has not arrived yet.
  std::optional<Applied> applyNext();
  /// Whether a snapshot would bring this replica forward, or repair it.
  bool needsSnapshot(const transport::FeedSnapshot& snapshot) const;
  /// Replaces the state by that of a snapshot. If the snapshot cannot be read, its error is returned, and the replica
  /// is as before.
  Result<void> restore(const transport::FeedSnapshot& snapshot);
  /// Marks the replica as corrupted until a full snapshot has come.
  void markCorrupted() { replica_.markCorrupted(); }
  bool corrupted() const { return replica_.corrupted(); }
  /// Index of the last entry that was applied or that the last snapshot covered.
  std::int64_t lastApplied() const { return queue_.applied(); }
  /// Whether entries are queued behind one that is missing.
  bool hasGap() const { return queue_.hasGap(); }
  const state_machine::StateContents& state() const { return replica_.state(); }
  /// A snapshot for a receiver that has the configuration with this digest; see `ReplicatedState::snapshotFor`.
  transport::FeedSnapshot snapshotFor(const std::string& cachedDigest) const;

 private:
  consensus::EntryQueue queue_;
  state_machine::ReplicatedState replica_;
};
}  // namespace zinccleat::agent
