/// The term and vote of a member: Raft's "persistent state on all servers" without the log.
#pragma once
#include "consensus/cluster_config.hpp"
#include "persistence_queue.hpp"
namespace zinccleat::consensus {
/// Invariants: `current` never decreases. A vote is cast at most once per term and never changed. Every disk record
/// contains `current`, `votedFor` and `lastLed`, so a restart loses none of them once a record is synced.
struct TermState {
  std::int64_t current = 0;        ///< Raft's currentTerm
  MemberId votedFor;               ///< the candidate that this member voted for in `current`; empty: none
  std::int64_t lastLed = 0;        ///< the newest term in which this member was the leader; 0: none
  PersistTicket recordTicket = 0;  ///< the first disk record that contains `current`
  /// This process recovered from a disk and has not been leader since. Any lease that the member had before is void.
  bool restarted = false;
};
}  // namespace zinccleat::consensus
