/// The state of a member as the follower of a leader.
#pragma once
#include "consensus/cluster_config.hpp"
namespace zinccleat::consensus {
/// Invariants: `leader` and `matchIndex` belong to the current term and are cleared when a new term is entered.
/// Until `leasePromisedUntil` this member grants no vote or pre-vote to another candidate, unless the lease is void
/// (`RaftCore::leaseForbidsVote`).
struct FollowerState {
  MemberId leader;                 ///< the leader of the current term, possibly this member; empty: unknown
  std::int64_t matchIndex = 0;     ///< the log is known to equal the leader's log up to this index
  TimePoint leaderHeardAt{};       ///< when the newest message of a leader arrived
  bool leaderHadLease = false;     ///< whether the leader had a valid lease when it sent its newest message
  TimePoint leasePromisedUntil{};  ///< when this member's lease promise to the leader ends
};
}  // namespace zinccleat::consensus
