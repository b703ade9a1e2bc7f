/// A replica of the fleet's state outside the core, updated by log entries and snapshots. Pure. The agent has a replica
/// that follows the core, and the proxy has a replica that follows the agent.
#pragma once
#include "consensus/entry_queue.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::agent {
/// Guarantees: entries are applied in index order without gaps, and the applied index never decreases.
class FollowedReplica {
 public:
  /// An applied entry and the parts of the state that the entry changed.
  struct Applied {
    transport::LogEntry entry;
    state_machine::ReplicatedState::Change change;
  };
  /// Queues an entry. Entries may arrive in any order and more than once.
  void offer(transport::LogEntry entry) { queue_.offer(std::move(entry)); }
  /// Stores the body of a large write until its entry, which is sent without the body, arrives.
  void offerBody(const std::string& digest, std::string body) { queue_.addBody(digest, std::move(body)); }
  /// Applies the next entry. `Applied::change` states whether the replica is corrupted.
  /// @return none if the next entry has not arrived yet.
  std::optional<Applied> applyNext();
  /// Whether a snapshot is newer than this replica, or would repair a corrupted replica.
  bool needsSnapshot(const transport::FeedSnapshot& snapshot) const;
  /// Replaces the state by that of a snapshot.
  /// @return the error if the snapshot cannot be decoded. The replica is unchanged in this case.
  Result<void> restore(const transport::FeedSnapshot& snapshot);
  /// Marks the replica as corrupted until a full snapshot is restored.
  void markCorrupted() { replica_.markCorrupted(); }
  bool corrupted() const { return replica_.corrupted(); }
  /// Index of the last entry that was applied or was included in the last restored snapshot.
  std::int64_t lastApplied() const { return queue_.applied(); }
  /// Whether entries are queued that come after a missing entry.
  bool hasGap() const { return queue_.hasGap(); }
  const state_machine::StateContents& state() const { return replica_.state(); }
  /// Creates a snapshot for a receiver that has cached the configuration with this digest; see
  /// `ReplicatedState::snapshotFor`.
  transport::FeedSnapshot snapshotFor(const std::string& cachedDigest) const;

 private:
  consensus::EntryQueue queue_;
  state_machine::ReplicatedState replica_;
};
}  // namespace zinccleat::agent
