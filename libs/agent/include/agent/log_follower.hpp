/// The agent's side of following the replicated log: what to request from the leader, and when. Pure: messages come in,
/// messages to be sent go out, the present time is passed in.
#pragma once
#include "agent/followed_replica.hpp"
#include "agent/replica_lag.hpp"
namespace zinccleat::agent {
/// Follows one leader after the other. A gap is closed before anything behind it is applied; the leader keeps what was
/// missed.
class LogFollower {
 public:
  /// Time between two requests for what is missing.
  static constexpr auto kRefetchInterval = 150ms;
  /// Entries kept for a proxy that connects again.
  static constexpr std::size_t kTailCapacity = 256;

  /// Subscribes to the leader's log, or requests again what is missing.
  transport::FollowLog follow(TimePoint now, bool refetch);
  /// Whether the leader was sent a request since `stopFollowing`.
  bool following() const { return following_; }
  /// There is another leader, whose log has to be subscribed to.
  void stopFollowing() { following_ = false; }
  /// Whether something is missing that is known to exist.
  bool isBehind() const;
  /// How long something has been missing without any entry coming in; 0: nothing is missing. To be asked often: it
  /// counts from the first time that it was found so.
  Duration stalledFor(TimePoint now);
  /// Whether `kRefetchInterval` has passed since the last request.
  bool mayRefetch(TimePoint now) const { return now - lastFollow_ >= kRefetchInterval; }

  /// Queues the entries of a message.
  void offer(transport::FeedEntries feed);
  /// Keeps the body of a large write for its entry.
  void offerBody(transport::BodyAhead body) { replica_.offerBody(body.digest, std::move(body.body)); }
  /// Applies the next entry; see `FollowedReplica::applyNext`.
  std::optional<FollowedReplica::Applied> applyNext();
  /// Whether a snapshot would bring the replica forward.
  bool needsSnapshot(const transport::FeedSnapshot& snapshot) const { return replica_.needsSnapshot(snapshot); }
  /// Takes over a snapshot. If it cannot be read, the replica is corrupted, and the error is returned.
  Result<void> restore(const transport::FeedSnapshot& snapshot);
  /// Records the newest index that the core has committed.
  /// @return whether the replica is behind it.
  bool recordCommitIndex(TimePoint now, std::int64_t index);
  /// How long this replica has lacked what is known to be committed.
  Duration lag(TimePoint now) const { return lag_.at(now); }
  /// The newest index known to be committed.
  std::int64_t newestIndex() const { return newestIndex_; }

  /// The entries after an index; none if the tail does not reach back to it, so that a snapshot is needed.
  std::optional<transport::FeedEntries> entriesAfter(std::int64_t index) const;
  const FollowedReplica& replica() const { return replica_; }

 private:
  FollowedReplica replica_;
  std::deque<transport::LogEntry> tail_;  // the last entries applied, oldest first
  std::int64_t newestIndex_ = 0;          // the newest index known to be committed
  ReplicaLag lag_;
  TimePoint lastFollow_{};
  std::optional<TimePoint> stalledSince_;  // none: nothing was missing, or something has come since
  bool following_ = false;
};
}  // namespace zinccleat::agent
