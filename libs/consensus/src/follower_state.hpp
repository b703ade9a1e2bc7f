/// What a member keeps of the leader that it follows.
#pragma once
#include "consensus/cluster_config.hpp"
namespace zinccleat::consensus {
/// Invariants: `leader` and `matchIndex` belong to the current term and are cleared when a new one is entered.
/// Until `leasePromisedUntil` this member helps nobody else into the leadership.
struct FollowerState {
  MemberId leader;                 ///< the leader of the current term, also this member itself; empty: unknown
  std::int64_t matchIndex = 0;     ///< up to here the log is known to equal the leader's
  TimePoint leaderHeardAt{};       ///< the newest message of a leader
  bool leaderHadLease = false;     ///< whether the leader held a valid lease when it sent that message
  TimePoint leasePromisedUntil{};  ///< the end of the promise on which the leader's lease rests
};
}  // namespace zinccleat::consensus
