/// The agent's part of the protocol that replicates the log: decides which entries to request from the source, and
/// when. Pure: received messages and the current time are passed in, messages to send are returned.
#pragma once
#include "agent/followed_replica.hpp"
#include "agent/replica_lag.hpp"
namespace zinccleat::agent {
/// Follows the log of one member of the core at a time, the source that `FeedSource` selects. Entries after a gap are
/// applied only when the missing entries have arrived. The source retains its entries, so the follower can request
/// those that it missed.
class LogFollower {
 public:
  /// Minimum time between two requests for missing entries.
  static constexpr auto kRefetchInterval = 150ms;
  /// Number of applied entries that are retained for a proxy that reconnects.
  static constexpr std::size_t kTailCapacity = 256;
  /// Maximum number of bytes in the bodies of the retained entries, apart from the newest entry.
  static constexpr std::size_t kTailBytes = std::size_t{8} << 20;

  /// Creates a message that subscribes to the source's log.
  /// @param refetch whether the message requests missing entries again.
  transport::FollowLog follow(TimePoint now, bool refetch);
  /// Whether `follow` has been called since `stopFollowing`.
  bool following() const { return following_; }
  /// Records that the subscription has ended, because the leader changed or the connection was lost.
  void stopFollowing() { following_ = false; }
  /// Whether entries that are known to be committed are missing, or the replica is corrupted.
  bool isBehind() const;
  /// Returns how long entries have been missing without any entry or snapshot being applied; 0 if none is missing. The
  /// time is counted from the first call that finds entries missing, so the function must be called regularly.
  Duration stalledFor(TimePoint now);
  /// Whether `kRefetchInterval` has passed since the last request.
  bool mayRefetch(TimePoint now) const { return now - lastFollow_ >= kRefetchInterval; }

  /// Queues the entries of a message.
  void offer(transport::FeedEntries feed);
  /// Stores the body of a large write until its entry arrives.
  void offerBody(transport::BodyAhead body) { replica_.offerBody(body.digest, std::move(body.body)); }
  /// Applies the next entry; see `FollowedReplica::applyNext`.
  std::optional<FollowedReplica::Applied> applyNext();
  /// See `FollowedReplica::needsSnapshot`.
  bool needsSnapshot(const transport::FeedSnapshot& snapshot) const { return replica_.needsSnapshot(snapshot); }
  /// Replaces the replica's state by that of a snapshot.
  /// @return the error if the snapshot cannot be decoded. The replica is marked as corrupted in this case.
  Result<void> restore(const transport::FeedSnapshot& snapshot);
  /// Records the commit index of the core.
  /// @return whether the replica has not applied all entries up to this index.
  bool recordCommitIndex(TimePoint now, std::int64_t index);
  /// Returns how long this replica has lacked entries that are known to be committed.
  Duration lag(TimePoint now) const { return lag_.at(now); }
  /// Highest index that is known to be committed.
  std::int64_t newestIndex() const { return newestIndex_; }

  /// Returns the entries after an index; none if they are no longer retained, so that a snapshot is needed.
  std::optional<transport::FeedEntries> entriesAfter(std::int64_t index) const;
  const FollowedReplica& replica() const { return replica_; }

 private:
  void retain(const transport::LogEntry& entry);

  FollowedReplica replica_;
  std::deque<transport::LogEntry> tail_;  // the last applied entries, oldest first
  std::size_t tailBytes_ = 0;             // total size of the bodies of `tail_`
  std::int64_t newestIndex_ = 0;          // highest index that is known to be committed
  ReplicaLag lag_;
  TimePoint lastFollow_{};
  std::optional<TimePoint> stalledSince_;  // empty if no entry was missing or one was applied since
  bool following_ = false;
};
}  // namespace zinccleat::agent
