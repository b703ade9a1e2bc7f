/// What a leader keeps: the progress of its peers, its heartbeats, and what both say about its lease and the commit.
#pragma once
#include "consensus/cluster_config.hpp"
#include "peer_progress.hpp"
namespace zinccleat::consensus {
/// Raft's "volatile state on leaders". Only valid while the member leads; `startTerm` begins it afresh.
///
/// Invariants: `peers` never holds the member itself. Heartbeat ids rise over all terms of a process, so a late answer
/// never counts for another heartbeat.
struct LeaderState {
  std::map<MemberId, PeerProgress> peers;
  std::int64_t heartbeatId = 0;                       ///< the newest heartbeat
  std::map<std::int64_t, TimePoint> heartbeatSentAt;  ///< by id, the newest ones
  std::int64_t firstIndexOfTerm = 0;                  ///< the no-op entry with which the term began
  TimePoint lastHeartbeatAt{};
  TimePoint lastQuorumAt{};            ///< when the lease was last valid
  TimePoint commitAheadOfDiskSince{};  ///< others have committed what this member's disk has not synced; zero: none

  /// Forgets the peers of an earlier term.
  void startTerm(TimePoint now, std::int64_t firstIndex);
  /// Takes the next heartbeat id and notes when it was sent.
  void startHeartbeat(TimePoint now);
  /// A peer has answered a heartbeat: its lease promise counts from when that heartbeat was sent, so no delay on the
  /// way can lengthen the lease. Ids that are unknown or too old are ignored.
  void recordLeasePromise(PeerProgress& progress, std::int64_t answeredId) const;
  /// @return null for a member that is not tracked.
  const PeerProgress* find(const MemberId& member) const;
  /// Since when a quorum of `config` promises the lease; zero: no quorum does, the maximum: `self` alone is one.
  TimePoint leasePromisedByQuorumSince(const ClusterConfig& config, const MemberId& self) const;
  /// The highest index that a quorum of `config` has on disk; `persistedIndex` is that of `self`.
  std::int64_t indexOnQuorum(const ClusterConfig& config, const MemberId& self, std::int64_t persistedIndex) const;
};
}  // namespace zinccleat::consensus
