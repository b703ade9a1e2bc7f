/// The state of a leader: the replication progress of its peers and its heartbeats, from which the lease and the commit
/// index follow.
#pragma once
#include "consensus/cluster_config.hpp"
#include "peer_progress.hpp"
namespace zinccleat::consensus {
/// Raft's "volatile state on leaders". Valid only while the member is the leader; `startTerm` resets it.
///
/// Invariants: `peers` never contains the member itself. Heartbeat ids increase over all terms of a process, so a late
/// response never counts for another heartbeat.
struct LeaderState {
  std::map<MemberId, PeerProgress> peers;
  std::int64_t heartbeatId = 0;                       ///< the id of the newest heartbeat
  std::map<std::int64_t, TimePoint> heartbeatSentAt;  ///< send times of the newest heartbeats, by id
  std::int64_t firstIndexOfTerm = 0;                  ///< the index of the no-op entry that started the term
  TimePoint lastHeartbeatAt{};
  TimePoint lastQuorumAt{};            ///< when the lease was last valid
  TimePoint commitAheadOfDiskSince{};  ///< since when entries that this disk has not synced are committed; zero: none

  /// Starts a term without peers.
  /// @param firstIndex the index of the first entry of the term.
  void startTerm(TimePoint now, std::int64_t firstIndex);
  /// Assigns the next heartbeat id and records the send time.
  void startHeartbeat(TimePoint now);
  /// Records that a peer has answered a heartbeat. The peer's lease promise counts from the time when that heartbeat
  /// was sent, so a network delay cannot lengthen the lease. Ids that are unknown or too old are ignored.
  void recordLeasePromise(PeerProgress& progress, std::int64_t answeredId) const;
  /// @return null for a member that is not tracked.
  const PeerProgress* find(const MemberId& member) const;
  /// The time from which a quorum of `config` has promised the lease. Zero if no quorum has; the maximum value if
  /// `self` alone is a quorum.
  TimePoint leasePromisedByQuorumSince(const ClusterConfig& config, const MemberId& self) const;
  /// The highest index that a quorum of `config` has on disk.
  /// @param persistedIndex the highest index on the disk of `self`.
  std::int64_t indexOnQuorum(const ClusterConfig& config, const MemberId& self, std::int64_t persistedIndex) const;
};
}  // namespace zinccleat::consensus
